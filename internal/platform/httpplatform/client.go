// Package httpplatform is the adapter to the platform's HTTP interface. It is
// the only package that knows the wire format of the store and the VM list;
// the stand-in platform imports the same message types.
package httpplatform

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/platform"
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

// Client implements platform.Store and platform.VMList over HTTP.
type Client struct {
	base *sling.Sling
	http *http.Client
}

var (
	_ platform.Store  = (*Client)(nil)
	_ platform.VMList = (*Client)(nil)
)

const (
	// callTimeout bounds one call other than a watch. Past it the outcome of a
	// write is unknown and the caller has to read back.
	callTimeout = 3 * time.Second
	// idleConnections is how many connections to the platform are kept.
	idleConnections = 8
	// watchGrace is added to a watch's waiting time, so that only a watch gone
	// silent runs into its timeout.
	watchGrace = time.Second
)

// New returns a client of the platform at address (ip:port).
func New(network netio.Network, address string) *Client {
	hc := netio.Client(network, idleConnections)
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
		return errors.Mark(errors.Wrap(err, "call store"), platform.ErrUnknown)
	}
	if kind := statusError(resp.StatusCode); kind != nil {
		return kind
	}
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read store answer"), platform.ErrUnknown)
	}
	return nil
}

// statusError maps the published status codes of the platform.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return platform.ErrNotFound
	case http.StatusPreconditionFailed:
		return platform.ErrConflict
	case http.StatusGone:
		return platform.ErrLeaseGone
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return platform.ErrUnavailable
	}
	return errors.Mark(errors.Newf("store answered %s", strconv.Itoa(status)), platform.ErrUnknown)
}

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, key string) (platform.Entry, error) {
	var w WireEntry
	if err := c.do(ctx, c.base.New().Get("key").QueryStruct(keyQuery{Key: key}), callTimeout, &w); err != nil {
		return platform.Entry{}, err
	}
	return fromWire(w), nil
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	var w WireList
	err := c.do(ctx, c.base.New().Get("keys").QueryStruct(keyQuery{Prefix: prefix}), callTimeout, &w)
	if err != nil {
		return nil, 0, err
	}
	entries := make([]platform.Entry, len(w.Entries))
	for i, e := range w.Entries {
		entries[i] = fromWire(e)
	}
	return entries, platform.Revision(w.Revision), nil
}

// Put implements platform.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, errors.Newf("value of %s has %d bytes, the store takes %d", key, len(value), platform.MaxValueBytes)
	}
	body := WirePut{Value: value, Expect: int64(expect), Lease: string(lease)}
	var w WireList
	err := c.do(ctx, c.base.New().Put("key").QueryStruct(keyQuery{Key: key}).BodyJSON(body), callTimeout, &w)
	return platform.Revision(w.Revision), err
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, key string, expect platform.Revision) error {
	q := keyQuery{Key: key, Expect: int64(expect)}
	return c.do(ctx, c.base.New().Delete("key").QueryStruct(q), callTimeout, &WireList{})
}

// Grant implements platform.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var w WireLease
	err := c.do(ctx, c.base.New().Post("leases").BodyJSON(WireLease{TTLMS: ttl.Milliseconds()}), callTimeout, &w)
	return platform.LeaseID(w.ID), err
}

// Renew implements platform.Store.
func (c *Client) Renew(ctx context.Context, id platform.LeaseID) error {
	return c.do(ctx, c.base.New().Post("leases/renew").BodyJSON(WireLease{ID: string(id)}), callTimeout, &WireLease{})
}

// Revoke implements platform.Store.
func (c *Client) Revoke(ctx context.Context, id platform.LeaseID) error {
	return c.do(ctx, c.base.New().Post("leases/revoke").BodyJSON(WireLease{ID: string(id)}), callTimeout, &WireLease{})
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Event, platform.Revision, error) {
	var w WireList
	q := keyQuery{Prefix: prefix, After: int64(after), WaitMS: wait.Milliseconds()}
	if err := c.do(ctx, c.base.New().Get("watch").QueryStruct(q), wait+watchGrace, &w); err != nil {
		return nil, after, err
	}
	events := make([]platform.Event, len(w.Entries))
	for i, e := range w.Entries {
		events[i] = platform.Event{Entry: fromWire(e), Deleted: e.Deleted}
	}
	return events, platform.Revision(w.Revision), nil
}

// VMs implements platform.VMList.
func (c *Client) VMs(ctx context.Context, known string) ([]model.VM, string, error) {
	var w WireVMs
	err := c.do(ctx, c.base.New().Get("vms").QueryStruct(keyQuery{Known: known}), callTimeout, &w)
	return w.VMs, w.Version, err
}

func fromWire(w WireEntry) platform.Entry {
	return platform.Entry{
		Key: w.Key, Value: w.Value,
		Revision: platform.Revision(w.Revision), Lease: platform.LeaseID(w.Lease),
	}
}
