// Package httphosting is the adapter to the platform's HTTP interface. It alone
// defines the wire format of the store and the VM list; the stand-in platform
// imports the same message types.
package httphosting

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"github.com/rattanwall/rattanwall/internal/hosting"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/netio"
)

// WireEntry is an entry of the store in a message. Value is encoded as base64.
type WireEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Lease    string `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// WireList is the response to a listing, a watch or a put (then Entries is
// empty).
type WireList struct {
	Entries  []WireEntry `json:"entries,omitempty"`
	Revision int64       `json:"revision"`
}

// WirePut is the body of a conditional write, made if the key's revision is
// Expect.
type WirePut struct {
	Value  []byte `json:"value"`
	Expect int64  `json:"expect"`
	Lease  string `json:"lease,omitempty"`
}

// WireLease requests a lease (TTLMS, in milliseconds) or returns one (ID).
type WireLease struct {
	ID    string `json:"id,omitempty"`
	TTLMS int64  `json:"ttl_ms,omitempty"`
}

// WireVMs is the list of VMs; VMs is absent when the client has this version.
type WireVMs struct {
	Version string     `json:"version"`
	VMs     []model.VM `json:"vms,omitempty"`
}

type keyQuery struct {
	Key    string `url:"key,omitempty"`
	Prefix string `url:"prefix,omitempty"`
	After  int64  `url:"after,omitempty"`
	Expect int64  `url:"expect,omitempty"`
	// Known is the version of the list of VMs that the caller has.
	Known string `url:"known,omitempty"`
	// WaitMS is how long a watch waits for a change, in milliseconds.
	WaitMS int64 `url:"wait_ms,omitempty"`
}

// Client implements hosting.Store and hosting.VMList over HTTP.
type Client struct {
	base *sling.Sling
	http *http.Client
}

var (
	_ hosting.Store  = (*Client)(nil)
	_ hosting.VMList = (*Client)(nil)
)

const (
	// callTimeout limits one call other than a watch. After it the outcome of a
	// write is unknown and the caller has to read back.
	callTimeout = 3 * time.Second
	// maxIdleConnections is how many idle connections to the platform are kept.
	maxIdleConnections = 8
	// watchGrace is added to a watch's waiting time, so that only an
	// unresponsive watch times out.
	watchGrace = time.Second
)

// New returns a client of the platform at address (ip:port).
func New(network netio.Network, address string) *Client {
	hc := netio.Client(network, maxIdleConnections)
	return &Client{base: sling.New().Client(hc).Base("http://" + address + "/v1/"), http: hc}
}

// Close drops the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do performs one call. It returns ErrUnavailable for a request that was
// certainly not applied and ErrUnknown for one that may have been.
func (c *Client) do(ctx context.Context, s *sling.Sling, timeout time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return errors.Wrap(err, "build store request")
	}
	// Without GetBody the HTTP client cannot repeat a write by itself on a
	// reused connection: only the caller knows whether a repeat is safe.
	req.GetBody = nil
	resp, err := s.Do(req.WithContext(ctx), answer, nil)
	if resp == nil {
		return errors.Mark(errors.Wrap(err, "call store"), hosting.ErrUnknown)
	}
	if kind := statusError(resp.StatusCode); kind != nil {
		return kind
	}
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read store response"), hosting.ErrUnknown)
	}
	if resp.ContentLength == 0 {
		// The decoder ignores an empty body; the zero value would look like the
		// response of a store without keys.
		return errEmptyResponse
	}
	return nil
}

// errEmptyResponse means that the platform reported success without the
// requested content.
var errEmptyResponse = errors.Mark(errors.New("the platform's response has no content"), hosting.ErrUnknown)

// statusError maps the platform's documented status codes to errors; any other
// code leaves the outcome unknown.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return hosting.ErrNotFound
	case http.StatusPreconditionFailed:
		return hosting.ErrConflict
	case http.StatusGone:
		return hosting.ErrLeaseGone
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return hosting.ErrUnavailable
	}
	return errors.Mark(errors.Newf("store responded with status %s", strconv.Itoa(status)), hosting.ErrUnknown)
}

// Get implements hosting.Store.
func (c *Client) Get(ctx context.Context, key string) (hosting.Entry, error) {
	var w WireEntry
	if err := c.do(ctx, c.base.New().Get("key").QueryStruct(keyQuery{Key: key}), callTimeout, &w); err != nil {
		return hosting.Entry{}, err
	}
	return fromWire(w), nil
}

// List implements hosting.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]hosting.Entry, hosting.Revision, error) {
	var w WireList
	err := c.do(ctx, c.base.New().Get("keys").QueryStruct(keyQuery{Prefix: prefix}), callTimeout, &w)
	if err != nil {
		return nil, 0, err
	}
	entries := make([]hosting.Entry, len(w.Entries))
	for i, e := range w.Entries {
		entries[i] = fromWire(e)
	}
	return entries, hosting.Revision(w.Revision), nil
}

// Put implements hosting.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect hosting.Revision, lease hosting.LeaseID) (hosting.Revision, error) {
	if len(value) > hosting.MaxValueBytes {
		return 0, errors.Newf("value of %s has %d bytes, the store accepts at most %d", key, len(value), hosting.MaxValueBytes)
	}
	body := WirePut{Value: value, Expect: int64(expect), Lease: string(lease)}
	var w WireList
	err := c.do(ctx, c.base.New().Put("key").QueryStruct(keyQuery{Key: key}).BodyJSON(body), callTimeout, &w)
	return hosting.Revision(w.Revision), err
}

// Delete implements hosting.Store.
func (c *Client) Delete(ctx context.Context, key string, expect hosting.Revision) error {
	q := keyQuery{Key: key, Expect: int64(expect)}
	return c.do(ctx, c.base.New().Delete("key").QueryStruct(q), callTimeout, &WireList{})
}

// Grant implements hosting.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (hosting.LeaseID, error) {
	var w WireLease
	err := c.do(ctx, c.base.New().Post("leases").BodyJSON(WireLease{TTLMS: ttl.Milliseconds()}), callTimeout, &w)
	return hosting.LeaseID(w.ID), err
}

// Renew implements hosting.Store.
func (c *Client) Renew(ctx context.Context, id hosting.LeaseID) error {
	return c.do(ctx, c.base.New().Post("leases/renew").BodyJSON(WireLease{ID: string(id)}), callTimeout, &WireLease{})
}

// Revoke implements hosting.Store.
func (c *Client) Revoke(ctx context.Context, id hosting.LeaseID) error {
	return c.do(ctx, c.base.New().Post("leases/revoke").BodyJSON(WireLease{ID: string(id)}), callTimeout, &WireLease{})
}

// Watch implements hosting.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after hosting.Revision, wait time.Duration) ([]hosting.Event, hosting.Revision, error) {
	var w WireList
	q := keyQuery{Prefix: prefix, After: int64(after), WaitMS: wait.Milliseconds()}
	if err := c.do(ctx, c.base.New().Get("watch").QueryStruct(q), wait+watchGrace, &w); err != nil {
		return nil, after, err
	}
	events := make([]hosting.Event, len(w.Entries))
	for i, e := range w.Entries {
		events[i] = hosting.Event{Entry: fromWire(e), Deleted: e.Deleted}
	}
	return events, hosting.Revision(w.Revision), nil
}

// VMs implements hosting.VMList.
func (c *Client) VMs(ctx context.Context, known string) ([]model.VM, string, error) {
	var w WireVMs
	err := c.do(ctx, c.base.New().Get("vms").QueryStruct(keyQuery{Known: known}), callTimeout, &w)
	if err == nil && w.Version == "" {
		// Taken for a list without VMs, it would evict all tasks.
		err = errEmptyResponse
	}
	return w.VMs, w.Version, err
}

func fromWire(w WireEntry) hosting.Entry {
	return hosting.Entry{
		Key: w.Key, Value: w.Value,
		Revision: hosting.Revision(w.Revision), Lease: hosting.LeaseID(w.Lease),
	}
}
