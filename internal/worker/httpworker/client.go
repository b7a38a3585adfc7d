// Package httpworker implements worker.Agent over HTTP. Only it defines the wire
// format of the agent; the stand-in worker imports its message types.
package httpworker

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/worker"
)

// StatusQuery requests the changes after sequence After, waiting at most WaitMS.
type StatusQuery struct {
	After  int64 `url:"after"`
	WaitMS int64 `url:"wait_ms"`
}

// WireRenew renews the leases of all running tasks.
type WireRenew struct {
	LeaseMS int64 `json:"lease_ms"`
}

// WireStop ends an attempt.
type WireStop struct {
	worker.Ref
	Checkpoint bool `json:"checkpoint"`
}

// WireThrottle limits an attempt to a share of its processors.
type WireThrottle struct {
	worker.Ref
	Share float64 `json:"share"`
}

// WireForget removes ended attempts from the agent's list.
type WireForget struct {
	Refs []worker.Ref `json:"refs"`
}

// WireOK is an empty answer.
type WireOK struct{}

const (
	// idleConnections is the number of connections kept to an agent: one that waits
	// for changes, and one for other calls.
	idleConnections = 2
	// callTimeout bounds a call, not counting the wait of a status query.
	callTimeout = 3 * time.Second
)

// Client implements worker.Agent over HTTP.
type Client struct {
	base *sling.Sling
	http *http.Client
}

var _ worker.Agent = (*Client)(nil)

// New returns a client of the agent at address (ip:port).
func New(network netio.Network, address string) *Client {
	httpClient := netio.Client(network, idleConnections)
	return &Client{base: sling.New().Client(httpClient).Base("http://" + address + "/agent/"), http: httpClient}
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) do(ctx context.Context, s *sling.Sling, timeout time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return errors.Wrap(err, "build agent request")
	}
	// Prevents the HTTP client from repeating the request by itself; see httpplatform.
	req.GetBody = nil
	resp, err := s.Do(req.WithContext(ctx), answer, nil)
	if resp == nil {
		return errors.Mark(errors.Wrap(err, "call agent"), transportKind(err))
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return worker.ErrNoTask
	case resp.StatusCode == http.StatusConflict || resp.StatusCode == http.StatusServiceUnavailable:
		return worker.ErrRefused
	case resp.StatusCode != http.StatusOK:
		return errors.Mark(errors.Newf("agent answered %d", resp.StatusCode), worker.ErrUnknown)
	case err != nil:
		return errors.Mark(errors.Wrap(err, "read agent answer"), worker.ErrUnknown)
	}
	return nil
}

// transportKind distinguishes a call that did not connect from one whose answer was
// lost.
func transportKind(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return worker.ErrUnreachable
	}
	return worker.ErrUnknown
}

// errNoStatus is the error for a successful answer without a status.
var errNoStatus = errors.Mark(errors.New("the agent's answer holds no status"), worker.ErrUnknown)

// Status implements worker.Agent.
func (c *Client) Status(ctx context.Context, after int64, wait time.Duration) (worker.Status, error) {
	var status worker.Status
	q := StatusQuery{After: after, WaitMS: wait.Milliseconds()}
	err := c.do(ctx, c.base.New().Get("status").QueryStruct(q), callTimeout+wait, &status)
	if err == nil && status.Boot == "" {
		// Accepted as a status, it would look like that of a restarted VM without
		// tasks, and all tasks running there would be started again elsewhere.
		err = errNoStatus
	}
	return status, err
}

// Start implements worker.Agent.
func (c *Client) Start(ctx context.Context, req worker.StartRequest) error {
	return c.do(ctx, c.base.New().Post("start").BodyJSON(req), callTimeout, &WireOK{})
}

// Renew implements worker.Agent.
func (c *Client) Renew(ctx context.Context, lease time.Duration) error {
	return c.do(ctx, c.base.New().Post("renew").BodyJSON(WireRenew{lease.Milliseconds()}), callTimeout, &WireOK{})
}

// Stop implements worker.Agent.
func (c *Client) Stop(ctx context.Context, ref worker.Ref, checkpoint bool) (worker.Task, error) {
	var t worker.Task
	err := c.do(ctx, c.base.New().Post("stop").BodyJSON(WireStop{ref, checkpoint}), callTimeout, &t)
	return t, err
}

// CheckpointAll implements worker.Agent.
func (c *Client) CheckpointAll(ctx context.Context) ([]worker.Task, error) {
	var tasks []worker.Task
	err := c.do(ctx, c.base.New().Post("checkpoint"), callTimeout, &tasks)
	return tasks, err
}

// Throttle implements worker.Agent.
func (c *Client) Throttle(ctx context.Context, ref worker.Ref, share float64) error {
	return c.do(ctx, c.base.New().Post("throttle").BodyJSON(WireThrottle{ref, share}), callTimeout, &WireOK{})
}

// Forget implements worker.Agent.
func (c *Client) Forget(ctx context.Context, refs []worker.Ref) error {
	return c.do(ctx, c.base.New().Post("forget").BodyJSON(WireForget{refs}), callTimeout, &WireOK{})
}
