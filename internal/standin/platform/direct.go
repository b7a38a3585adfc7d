package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/platform"
	wire "github.com/rattanwall/rattanwall/internal/platform/httpplatform"
)

// Direct is the stand-in without a wire between: for tests of what uses a store,
// and to hold the stand-in itself to the contract.
type Direct struct{ *Platform }

var (
	_ platform.Store  = Direct{}
	_ platform.VMList = Direct{}
)

// statusError is what the adapter makes of a status.
func statusError(status int) error {
	switch status {
	case statusOK:
		return nil
	case statusNotFound:
		return platform.ErrNotFound
	case statusConflict:
		return platform.ErrConflict
	case http.StatusGone:
		return platform.ErrLeaseGone
	}
	return platform.ErrUnknown
}

func entry(w wire.WireEntry) platform.Entry {
	return platform.Entry{Key: w.Key, Value: w.Value, Revision: platform.Revision(w.Revision), Lease: platform.LeaseID(w.Lease)}
}

// Get implements platform.Store.
func (d Direct) Get(_ context.Context, key string) (platform.Entry, error) {
	e, status := d.get(key)
	return entry(e), statusError(status)
}

// List implements platform.Store.
func (d Direct) List(_ context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	l := d.list(prefix)
	entries := make([]platform.Entry, len(l.Entries))
	for i, e := range l.Entries {
		entries[i] = entry(e)
	}
	return entries, platform.Revision(l.Revision), nil
}

// Put implements platform.Store.
func (d Direct) Put(_ context.Context, key string, value []byte, expect platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	l, status := d.put(key, wire.WirePut{Value: value, Expect: int64(expect), Lease: string(lease)})
	return platform.Revision(l.Revision), statusError(status)
}

// Delete implements platform.Store.
func (d Direct) Delete(_ context.Context, key string, expect platform.Revision) error {
	_, status := d.remove(key, int64(expect))
	return statusError(status)
}

// Grant implements platform.Store.
func (d Direct) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return platform.LeaseID(d.grant(ttl).ID), nil
}

// Renew implements platform.Store.
func (d Direct) Renew(_ context.Context, id platform.LeaseID) error {
	_, status := d.renew(string(id))
	return statusError(status)
}

// Revoke implements platform.Store.
func (d Direct) Revoke(_ context.Context, id platform.LeaseID) error {
	_, status := d.revoke(string(id))
	return statusError(status)
}

// Watch implements platform.Store.
func (d Direct) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Event, platform.Revision, error) {
	l := d.await(ctx, prefix, int64(after), wait)
	events := make([]platform.Event, len(l.Entries))
	for i, e := range l.Entries {
		events[i] = platform.Event{Entry: entry(e), Deleted: e.Deleted}
	}
	return events, platform.Revision(l.Revision), nil
}

// VMs implements platform.VMList.
func (d Direct) VMs(_ context.Context, known string) (list []model.VM, version string, err error) {
	l := d.vmList(known)
	return l.VMs, l.Version, nil
}
