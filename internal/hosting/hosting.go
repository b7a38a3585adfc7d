// Package hosting says what rattanwall needs of the platform it runs on: a
// small key-value service (Store) and a lagging list of VMs (VMList). The wire
// format lives in an adapter package; nothing here knows it.
package hosting

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/model"
)

// Revision numbers the writes of the whole store; each write gets a higher one.
// Zero stands for "no such key".
type Revision int64

// LeaseID names a lease that the store keeps by its own clock.
type LeaseID string

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is that of the write that set the value.
	Revision Revision
	// Lease is the lease that the key dies with; empty for none.
	Lease LeaseID
}

// Event tells of a change to a key under a watched prefix.
type Event struct {
	Entry
	// Deleted is set when the key is gone; Value is then empty.
	Deleted bool
}

// MaxValueBytes is the largest value that the store takes.
const MaxValueBytes = 1 << 20

// What a call to the store may return besides its result.
var (
	// ErrConflict: the key's revision was not the expected one; nothing was written.
	ErrConflict = errors.New("the key has another revision")
	// ErrNotFound: the key does not exist.
	ErrNotFound = errors.New("no such key")
	// ErrLeaseGone: the lease expired or was revoked; nothing was written.
	ErrLeaseGone = errors.New("the lease is gone")
	// ErrUnavailable: the store refused or was not reached; nothing was written.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrUnknown: the answer was lost after the call may have taken effect. The
	// caller must read back before it repeats or gives up.
	ErrUnknown = errors.New("the store's answer was lost")
)

// Store is the platform's key-value service. Each method is one call against
// its rates, a waiting Watch included. All honour ctx.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key starts with prefix, sorted by key, and
	// the store's revision at that moment.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Put writes value if the key's revision is expect (zero: the key must not
	// exist), and returns the new revision. With a lease, the key dies with it.
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

// VMList is the platform's lagging list of live and leaving VMs.
type VMList interface {
	// VMs returns the list as the platform has it now and its version. When that
	// version is known, the list is nil: an unchanged list is not sent again.
	VMs(ctx context.Context, known string) (list []model.VM, version string, err error)
}
