package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// refusalLeaseTTL is how long a refusal stays in the store: longer than a write may be
	// delayed, and than callers go on submitting a job.
	refusalLeaseTTL = 3 * time.Minute
	// refusalLeaseUse is for how long a lease is given to new refusals.
	refusalLeaseUse = time.Minute
)

// refusalLease is a lease that is never renewed, so that the refusals with it are removed from the
// store even if the process that wrote them has ended.
type refusalLease struct {
	mu        sync.Mutex
	lease     int64
	grantedAt time.Duration
}

// get returns a lease that lasts for refusalLeaseTTL less refusalLeaseUse at least.
func (l *refusalLease) get(ctx context.Context, store durable.Store) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := steady.Now()
	if l.lease != 0 && now-l.grantedAt < refusalLeaseUse {
		return l.lease, nil
	}
	lease, err := store.Grant(ctx, refusalLeaseTTL)
	if err != nil {
		return 0, err
	}
	l.lease, l.grantedAt = lease, now
	return lease, nil
}

// drop stops the use of a lease that has ended.
func (l *refusalLease) drop(lease int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == lease {
		l.lease = 0
	}
}
