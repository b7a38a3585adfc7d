// Package hosting defines what rattanwall needs of the platform it runs on: a
// small key-value service (Store) and a list of VMs that may lag (VMList). The
// wire format is left to an adapter package.
package hosting

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/model"
)

// Revision orders the writes of the whole store: each write gets a higher one.
// Zero means that the key does not exist.
type Revision int64

// LeaseID identifies a lease, which the store expires by its own clock.
type LeaseID string

// Entry is a key of the store with its value and last write.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the revision of the write that set the value.
	Revision Revision
	// Lease is the lease whose end deletes the key; empty for none.
	Lease LeaseID
}

// Event is a change to a key under a watched prefix.
type Event struct {
	Entry
	// Deleted is set when the key was deleted; Value is then empty.
	Deleted bool
}

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Errors returned by the methods of Store.
var (
	// ErrConflict means that the key's revision was not the expected one and
	// nothing was written.
	ErrConflict = errors.New("the key has another revision")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("no such key")
	// ErrLeaseGone means that the lease expired or was revoked and nothing was
	// written.
	ErrLeaseGone = errors.New("the lease is gone")
	// ErrUnavailable means that the store refused the call or was not reached
	// and nothing was written.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrUnknown means that the response was lost and the call may have taken
	// effect. The caller must read the key back before it retries or gives up.
	ErrUnknown = errors.New("the store's answer was lost")
)

// Store is the platform's key-value service. Each method, a waiting Watch
// included, counts as one call against its rate limits. All observe ctx.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key starts with prefix, sorted by key, and
	// the store's revision at that moment.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Put writes value if the key's revision is expect (zero: the key must not
	// exist), and returns the new revision. The end of lease, if any, deletes
	// the key.
	Put(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error)
	// Delete removes the key if its revision is expect.
	Delete(ctx context.Context, key string, expect Revision) error
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew restarts the lease's ttl, or returns ErrLeaseGone.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends the lease at once and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits for changes under prefix after the given revision and returns
	// them with the revision to watch from next. It returns no events when
	// nothing changed within wait.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
}

// VMList is the platform's list of live and leaving VMs, which may lag.
type VMList interface {
	// VMs returns the platform's current list and its version. If that version
	// equals known, the list is nil: an unchanged list is not sent again.
	VMs(ctx context.Context, known string) (list []model.VM, version string, err error)
}
