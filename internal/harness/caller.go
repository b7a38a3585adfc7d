package harness

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/route"
	"github.com/rattanwall/rattanwall/internal/standin/record"
)

// Caller sends single requests and returns their responses in detail.
type Caller struct {
	client *http.Client
	token  string
	url    string
}

// Answer is the response that a caller received.
type Answer struct {
	// Err is set when there was no response or it was incomplete.
	Err     error
	Status  int
	Outcome string
	Kind    string
	Header  http.Header
	Body    []byte
	Took    time.Duration
}

// Caller returns a caller of the deployment's service at a node.
func (d *Deployment) Caller(node string) *Caller {
	network, _ := d.Hosts.Host(CallerHost)
	c := &Caller{client: netio.Client(network, 4), token: d.Team}
	for _, n := range d.Balancer.All() {
		if n.Name == node {
			c.url = "http://" + n.Callers + "/svc/"
		}
	}
	return c
}

// Close closes the caller's idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Send sends a request with the request ID id; path starts with the service's
// name. header may be nil.
func (c *Caller) Send(ctx context.Context, method, path, id string, body io.Reader, header http.Header) Answer {
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, body)
	if err != nil {
		return Answer{Err: err}
	}
	req.GetBody = nil
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set(route.HeaderRequestID, id)
	started := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return Answer{Err: err, Took: time.Since(started)}
	}
	defer func() { _ = resp.Body.Close() }()
	a := Answer{
		Status: resp.StatusCode, Header: resp.Header,
		Outcome: resp.Header.Get(route.HeaderOutcome), Kind: resp.Header.Get(route.HeaderError),
	}
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Took = time.Since(started)
	return a
}

// Runs returns how many times targets began to execute the request with the
// caller's request ID id.
func (d *Deployment) Runs(id string) int {
	n := 0
	for _, e := range d.Recorder.Events() {
		if e.Kind == record.RequestStart && e.ID == id {
			n++
		}
	}
	return n
}

// Patch changes the configuration as an operator does and returns once every
// node uses the new version.
func (d *Deployment) Patch(ctx context.Context, patch string) error {
	keeper := d.Nodes()[0].Keeper()
	head, err := keeper.Patch(ctx, config.Patch{
		BaseVersion: keeper.Current().Head.Version, Author: "operator", Body: json.RawMessage(patch),
	})
	if err != nil {
		return err
	}
	return await(ctx, func() bool {
		for _, n := range d.Nodes() {
			if n.Keeper().Current().Head.Version < head.Version {
				return false
			}
		}
		return true
	})
}
