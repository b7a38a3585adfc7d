package leader

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// A VM that a new leader does not hear may run what an earlier one started, until the
// last lease there is over. Who took it knows when that is: a new leader asks its
// predecessors, and waits out in full only those that do not answer.

const (
	// predecessorsDelay is how long a new leader tries to hear the VMs itself, most of
	// which answer within a few milliseconds, before it asks anybody.
	predecessorsDelay = 300 * time.Millisecond
	// predecessorsInterval is the pause between questions: a process that died is back
	// after some seconds and knows that its earlier life has ended.
	predecessorsInterval = 400 * time.Millisecond
	predecessorsTimeout  = 500 * time.Millisecond
)

// PastTenure names a tenure of which leases may last.
type PastTenure struct {
	Fence   int64  `json:"fence"`
	Node    string `json:"node"`
	Address string `json:"address"`
}

// LeaseReport is what a process says of a tenure of its.
type LeaseReport struct {
	// Remaining is how long leases may last, in the order of the VMs asked about.
	Remaining []time.Duration
	// Remembered is set when the process that led says so, and not one that was started
	// again since: Left then holds for the leaders before it, too.
	Remembered bool
	// Crashes are what that tenure knew and may not have written.
	Crashes []scheduler.CrashReport
}

// Predecessors asks the process of an earlier tenure how long leases on the VMs may
// last and what it could not write, and ends that tenure.
type Predecessors interface {
	LeasesLeft(ctx context.Context, past PastTenure, successor int64, vms []string) (LeaseReport, error)
}

// readPastTenures returns the tenures before this one that were not waited out. complete is
// false when an earlier leader did not record itself.
func (t *term) readPastTenures(ctx context.Context) (past []PastTenure, complete bool, err error) {
	item, err := t.Store.Get(ctx, tenuresKey)
	if err != nil || item == nil {
		return nil, false, err
	}
	if err := json.Unmarshal(item.Value, &past); err != nil {
		t.log.Warn("tenures_unreadable", err, nil)
		return nil, false, nil
	}
	// After a reading that failed halfway the record names this tenure, too.
	seen := map[int64]bool{t.tenure.Fence: true}
	past = slices.DeleteFunc(past, func(p PastTenure) bool {
		known := seen[p.Fence]
		seen[p.Fence] = true
		return known
	})
	return past, true, nil
}

// recordTenures writes the tenures that a successor has to ask, this one among them. It
// is written before the first order of a tenure is given.
func (t *term) recordTenures(ctx context.Context, past []PastTenure) error {
	self := PastTenure{Fence: t.tenure.Fence, Node: t.Node, Address: t.Address}
	value, err := json.Marshal(append([]PastTenure{self}, past...))
	if err != nil {
		return err
	}
	_, err = t.commit(ctx, durable.Txn{
		Conditions: []durable.Condition{t.leaderCondition()},
		Writes:     []durable.Write{{Key: tenuresKey, Value: value}},
	})
	return err
}

// predecessorsLoop shortens the wait for silent VMs by what predecessors say, and takes over
// what they could not write: they are asked once in any case. They go off the record once no VM
// is waited for any more: what they have told is known to this process alone, which may die.
func (t *term) predecessorsLoop(ctx context.Context) {
	pause.For(ctx, predecessorsDelay)
	open := t.pastTenures
	said := map[string]time.Duration{}
	known := false
	for first := true; ctx.Err() == nil && (first || t.awaitsVMs()); first = false {
		if !known {
			open = t.askPredecessors(ctx, open, said)
			known = len(open) == 0 && t.pastTenuresComplete
			if known {
				t.mu.Lock()
				t.sched.ShortenWaits(said)
				t.mu.Unlock()
				t.requestPlan()
			}
		}
		pause.For(ctx, predecessorsInterval)
	}
	if ctx.Err() != nil || len(t.pastTenures) == 0 && t.pastTenuresComplete {
		return
	}
	if err := t.recordTenures(ctx, nil); err != nil && ctx.Err() == nil {
		// A successor asks more processes than it has to.
		t.log.Warn("tenures_not_written", err, nil)
	}
}

// awaitsVMs reports whether VMs of earlier leaders are still waited for.
func (t *term) awaitsVMs() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sched.AwaitedInstances()) > 0
}

// askPredecessors asks the tenures and returns those for which nobody answered. said gets, for each
// silent VM, the latest moment at which a lease of those that answered is over.
func (t *term) askPredecessors(ctx context.Context, past []PastTenure, said map[string]time.Duration) []PastTenure {
	t.mu.Lock()
	vms := t.sched.AwaitedInstances()
	t.mu.Unlock()
	var mu sync.Mutex
	var left []PastTenure
	remembered := int64(0)
	var asked sync.WaitGroup
	for _, p := range past {
		asked.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, predecessorsTimeout)
			defer cancel()
			leases, err := t.Predecessors.LeasesLeft(callCtx, p, t.tenure.Fence, vms)
			now := steady.Now()
			if err == nil && len(leases.Remaining) != len(vms) {
				err = errors.Newf("%d leases told of %d VMs", len(leases.Remaining), len(vms))
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				left = append(left, p)
				return
			}
			longest := time.Duration(0)
			for i, id := range vms {
				said[id] = max(said[id], now+leases.Remaining[i])
				longest = max(longest, leases.Remaining[i])
			}
			if leases.Remembered {
				remembered = max(remembered, p.Fence)
			}
			if len(leases.Crashes) > 0 {
				t.mu.Lock()
				t.sched.AcceptCrashReports(now, leases.Crashes)
				t.mu.Unlock()
			}
			t.log.Event("predecessor_answered", eventlog.Fields{
				"node": p.Node, "fence": p.Fence, "remembered": leases.Remembered, "vms": len(vms), "lease_left_ms": longest.Milliseconds(), "crashes": len(leases.Crashes),
			})
		})
	}
	asked.Wait()
	return slices.DeleteFunc(left, func(p PastTenure) bool { return p.Fence < remembered })
}

// closedTenure are when the leases of a tenure that ended are certainly over, and what it may not
// have written.
type closedTenure struct {
	fence       int64
	leaseExpiry map[string]time.Duration
	crashes     []scheduler.CrashReport
	// lastExpiry is when all of them are.
	lastExpiry time.Duration
}

// close ends the term and returns its leases, after which it takes no further ones.
func (t *term) close() closedTenure {
	t.tenure.End()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	l := closedTenure{fence: t.tenure.Fence, leaseExpiry: t.sched.LeaseDeadlines(), crashes: t.sched.UnrecordedCrashes()}
	for _, over := range l.leaseExpiry {
		l.lastExpiry = max(l.lastExpiry, over)
	}
	return l
}

// endTerm notes the end of a term, whose leases may last.
func (l *Leader) endTerm(t *term) {
	ended := t.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = nil
	kept := l.closedTenures[:0]
	for _, e := range l.closedTenures {
		if e.lastExpiry > steady.Now() {
			kept = append(kept, e)
		}
	}
	l.closedTenures = append(kept, ended)
}

// LeasesLeft says how long leases that were taken in the tenure of the given fence, or
// before it, may last on the VMs. That tenure is over already. One that is not known
// was that of the process's earlier life, which ended before this one began, or all
// its leases are over.
func (l *Leader) LeasesLeft(fence int64, vms []string) LeaseReport {
	now := steady.Now()
	known := l.leasesOf(fence)
	said := LeaseReport{Remaining: make([]time.Duration, len(vms)), Remembered: known != nil}
	if known != nil {
		said.Crashes = known.crashes
	}
	for i, id := range vms {
		over := l.Settings.TakeoverWait(0)
		if known != nil {
			over = known.leaseExpiry[id]
		}
		said.Remaining[i] = max(0, over-now)
	}
	return said
}

func (l *Leader) leasesOf(fence int64) *closedTenure {
	l.mu.Lock()
	t := l.term
	for _, e := range l.closedTenures {
		if e.fence == fence {
			l.mu.Unlock()
			return &e
		}
	}
	l.mu.Unlock()
	if t == nil || t.tenure.Fence != fence {
		return nil
	}
	closed := t.close()
	return &closed
}
