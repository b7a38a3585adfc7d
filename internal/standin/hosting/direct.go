package hosting

import (
	"context"
	"net/http"
	"time"

	"github.com/rattanwall/rattanwall/internal/hosting"
	wire "github.com/rattanwall/rattanwall/internal/hosting/httphosting"
	"github.com/rattanwall/rattanwall/internal/model"
)

// Direct calls the stand-in without a network, for tests of code that uses a
// store and for the contract tests of the stand-in itself.
type Direct struct{ *Platform }

var (
	_ hosting.Store  = Direct{}
	_ hosting.VMList = Direct{}
)

// statusError returns the error to which the adapter maps a status.
func statusError(status int) error {
	switch status {
	case statusOK:
		return nil
	case statusNotFound:
		return hosting.ErrNotFound
	case statusConflict:
		return hosting.ErrConflict
	case http.StatusGone:
		return hosting.ErrLeaseGone
	}
	return hosting.ErrUnknown
}

func entry(w wire.WireEntry) hosting.Entry {
	return hosting.Entry{Key: w.Key, Value: w.Value, Revision: hosting.Revision(w.Revision), Lease: hosting.LeaseID(w.Lease)}
}

// Get implements hosting.Store.
func (d Direct) Get(_ context.Context, key string) (hosting.Entry, error) {
	e, status := d.get(key)
	return entry(e), statusError(status)
}

// List implements hosting.Store.
func (d Direct) List(_ context.Context, prefix string) ([]hosting.Entry, hosting.Revision, error) {
	l := d.list(prefix)
	entries := make([]hosting.Entry, len(l.Entries))
	for i, e := range l.Entries {
		entries[i] = entry(e)
	}
	return entries, hosting.Revision(l.Revision), nil
}

// Put implements hosting.Store.
func (d Direct) Put(_ context.Context, key string, value []byte, expect hosting.Revision, lease hosting.LeaseID) (hosting.Revision, error) {
	l, status := d.put(key, wire.WirePut{Value: value, Expect: int64(expect), Lease: string(lease)})
	return hosting.Revision(l.Revision), statusError(status)
}

// Delete implements hosting.Store.
func (d Direct) Delete(_ context.Context, key string, expect hosting.Revision) error {
	_, status := d.remove(key, int64(expect))
	return statusError(status)
}

// Grant implements hosting.Store.
func (d Direct) Grant(_ context.Context, ttl time.Duration) (hosting.LeaseID, error) {
	return hosting.LeaseID(d.grant(ttl).ID), nil
}

// Renew implements hosting.Store.
func (d Direct) Renew(_ context.Context, id hosting.LeaseID) error {
	_, status := d.renew(string(id))
	return statusError(status)
}

// Revoke implements hosting.Store.
func (d Direct) Revoke(_ context.Context, id hosting.LeaseID) error {
	_, status := d.revoke(string(id))
	return statusError(status)
}

// Watch implements hosting.Store.
func (d Direct) Watch(ctx context.Context, prefix string, after hosting.Revision, wait time.Duration) ([]hosting.Event, hosting.Revision, error) {
	l := d.awaitChanges(ctx, prefix, int64(after), wait)
	events := make([]hosting.Event, len(l.Entries))
	for i, e := range l.Entries {
		events[i] = hosting.Event{Entry: entry(e), Deleted: e.Deleted}
	}
	return events, hosting.Revision(l.Revision), nil
}

// VMs implements hosting.VMList.
func (d Direct) VMs(_ context.Context, known string) (list []model.VM, version string, err error) {
	l := d.vmList(known)
	return l.VMs, l.Version, nil
}
