// Package durable says what the product needs of the store that keeps what must
// outlast its processes: conditional writes of several keys at once, watches and
// leases. An adapter implements it; nothing here knows the wire.
package durable

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the write that set the value; the store's revisions
	// rise with each change.
	Revision int64
	// Created is the revision of the write that created the key.
	Created int64
	// Deleted is set in a watch's events when the key is gone.
	Deleted bool
}

// Condition requires that a key has a revision; 0 means that it must not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets a key. With a lease the key is removed when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is written whole or not at all.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// MaxTxnEntries bounds the conditions, writes and deletes of one Txn together.
const MaxTxnEntries = 32

// What a call may return besides its result.
var (
	// ErrRefused: the store did nothing.
	ErrRefused = errors.New("the store refused the call; nothing was written")
	// ErrUnknown: no answer came; the call may have been or may yet be carried out.
	ErrUnknown = errors.New("the store's answer was lost")
	// ErrLeaseGone: the lease has ended; nothing was written.
	ErrLeaseGone = errors.New("the lease has ended")
	// ErrCompacted: the history after the given revision is gone; read again.
	ErrCompacted = errors.New("the history is compacted")
)

// ConflictError says that a condition did not hold; nothing was written.
type ConflictError struct {
	// Current holds the items named in the conditions, as they are now; keys
	// that do not exist are left out.
	Current []Item
}

// Error implements error.
func (e *ConflictError) Error() string { return "a condition of the write does not hold" }

// Item returns the current item of key, or nil.
func (e *ConflictError) Item(key string) *Item {
	for i := range e.Current {
		if e.Current[i].Key == key {
			return &e.Current[i]
		}
	}
	return nil
}

// Store is the durable store. Each method is one call, except Range, which makes
// one call a page. All honour ctx. Answers are linearizable.
type Store interface {
	// Get returns the item of key, or nil when there is none.
	Get(ctx context.Context, key string) (*Item, error)
	// Range returns all items whose key begins with prefix and a revision from
	// which a watch misses none of their later changes.
	Range(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits up to wait for changes under prefix after a revision, and
	// returns them with the revision to continue from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// Commit carries a transaction out and returns its revision.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Grant creates a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew restarts a lease.
	Renew(ctx context.Context, lease int64) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease int64) error
}
