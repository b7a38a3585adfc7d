// Package durable defines the interface of the store for state that must survive the
// processes: atomic conditional writes of several keys, watches and leases. Adapters
// implement it; it is independent of the wire protocol.
package durable

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Item is a key-value pair with its revisions.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the write that set the value. The store's revision
	// increases with each change.
	Revision int64
	// Created is the revision of the write that created the key.
	Created int64
	// Deleted is set in watch events when the key was removed.
	Deleted bool
}

// Condition requires that a key has the given revision; 0 means that it must not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets a key. If Lease is set, the key is removed when that lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is a transaction, which the store applies entirely or not at all.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// MaxTxnEntries bounds the conditions, writes and deletes of one Txn together.
const MaxTxnEntries = 32

// Errors that store calls return, besides ConflictError.
var (
	// ErrRefused means that the store did nothing.
	ErrRefused = errors.New("the store refused the call; nothing was written")
	// ErrUnknown means that no response arrived: the call may have been, or may still
	// be, carried out.
	ErrUnknown = errors.New("the store's answer was lost")
	// ErrLeaseGone means that the lease has ended and nothing was written.
	ErrLeaseGone = errors.New("the lease has ended")
	// ErrCompacted means that the history after the given revision is no longer
	// available and the caller must read the prefix again.
	ErrCompacted = errors.New("the history is compacted")
)

// ConflictError reports that a condition did not hold and nothing was written.
type ConflictError struct {
	// Current holds the current items of the keys in the conditions; keys that do not
	// exist are omitted.
	Current []Item
}

// Error implements error.
func (e *ConflictError) Error() string { return "a condition of the write does not hold" }

// Item returns the current item of key, or nil if there is none.
func (e *ConflictError) Item(key string) *Item {
	for i := range e.Current {
		if e.Current[i].Key == key {
			return &e.Current[i]
		}
	}
	return nil
}

// Store is the durable store. Each method makes one call, except Range, which makes
// one call per page. All methods honour ctx. Results are linearizable.
type Store interface {
	// Get returns the item of key, or nil if there is none.
	Get(ctx context.Context, key string) (*Item, error)
	// Range returns all items whose key begins with prefix, and a revision; a watch
	// from that revision returns all later changes. It fails if the store has not begun to
	// respond within the time set by WithFirstResponse.
	Range(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits at most wait for changes under prefix after a revision. It returns
	// them with the revision to continue from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Grant creates a lease that ends ttl after its last renewal, and returns its ID.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew restarts the ttl of a lease.
	Renew(ctx context.Context, lease int64) error
	// End ends a lease immediately and removes its keys.
	End(ctx context.Context, lease int64) error
}
