package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// voidingTTL is how long a refusal or a tombstone stays in the store: longer than a write may
	// be delayed, and than callers go on submitting a job.
	voidingTTL = 3 * time.Minute
	// recordLeaseUse is for how long a lease is given to new records.
	recordLeaseUse = time.Minute
)

// writeVoidingRecord writes a refusal or a tombstone, which is removed after voidingTTL.
func (e *Entry) writeVoidingRecord(ctx context.Context, key string, conditions []durable.Condition) error {
	lease, err := e.recordLease.get(ctx, e.Store)
	if err != nil {
		return err
	}
	_, err = e.Store.Commit(ctx, durable.Txn{
		Conditions: conditions,
		Writes:     []durable.Write{{Key: key, Value: emptyRecord, Lease: lease}},
	})
	if errors.Is(err, durable.ErrLeaseGone) {
		e.recordLease.drop(lease)
	}
	return err
}

// recordLease is a lease that is never renewed, so that the records with it are removed from the
// store even if the process that wrote them has ended.
type recordLease struct {
	mu        sync.Mutex
	lease     int64
	grantedAt time.Duration
}

// get returns a lease that lasts for voidingTTL less recordLeaseUse at least.
func (l *recordLease) get(ctx context.Context, store durable.Store) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := steady.Now()
	if l.lease != 0 && now-l.grantedAt < recordLeaseUse {
		return l.lease, nil
	}
	lease, err := store.Grant(ctx, voidingTTL)
	if err != nil {
		return 0, err
	}
	l.lease, l.grantedAt = lease, now
	return lease, nil
}

// drop stops the use of a lease that has ended.
func (l *recordLease) drop(lease int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == lease {
		l.lease = 0
	}
}
