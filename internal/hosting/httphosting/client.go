// Package httphosting is the adapter to the platform's HTTP interface. It is
// the only package that knows the wire format of the store and the VM list;
// the stand-in platform imports the same message types.
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

// WireEntry is a key on the wire. Value travels as base64.
type WireEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Lease    string `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// WireList answers a listing, a watch or a put (then Entries is empty).
type WireList struct {
	Entries  []WireEntry `json:"entries,omitempty"`
	Revision int64       `json:"revision"`
}

// WirePut asks for a conditional write.
type WirePut struct {
	Value  []byte `json:"value"`
	Expect int64  `json:"expect"`
	Lease  string `json:"lease,omitempty"`
}

// WireLease asks for a lease (TTLMS, milliseconds) or answers with one (ID).
type WireLease struct {
	ID    string `json:"id,omitempty"`
	TTLMS int64  `json:"ttl_ms,omitempty"`
}

// WireVMs is the list of VMs; VMs is absent when the version is known.
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
	// callTimeout bounds one call other than a watch. Past it the outcome of a
	// write is unknown and the caller has to read back.
	callTimeout = 3 * time.Second
	// maxIdleConnections is how many connections to the platform are kept.
	maxIdleConnections = 8
	// watchGrace is added to a watch's waiting time, so that only a watch gone
	// silent runs into its timeout.
	watchGrace = time.Second
)

// New returns a client of the platform at address (ip:port).
func New(network netio.Network, address string) *Client {
	hc := netio.Client(network, maxIdleConnections)
	return &Client{base: sling.New().Client(hc).Base("http://" + address + "/v1/"), http: hc}
}

// Close drops the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do performs one call. A request that was certainly not applied comes back as
// ErrUnavailable, one that may have been as ErrUnknown.
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
		return errors.Mark(errors.Wrap(err, "read store answer"), hosting.ErrUnknown)
	}
	if resp.ContentLength == 0 {
		// Decoding passes over it; taken for an answer it would tell of a store
		// without keys.
		return errEmptyResponse
	}
	return nil
}

// errEmptyResponse: the platform answered with success and nothing of what was asked.
var errEmptyResponse = errors.Mark(errors.New("the answer has no content"), hosting.ErrUnknown)

// statusError maps the published status codes of the platform.
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
	return errors.Mark(errors.Newf("store answered %s", strconv.Itoa(status)), hosting.ErrUnknown)
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
		return 0, errors.Newf("value of %s has %d bytes, the store takes %d", key, len(value), hosting.MaxValueBytes)
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
		// A list without VMs has all tasks evicted.
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
