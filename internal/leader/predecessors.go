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

// A VM that is unresponsive to a new leader may run tasks of an earlier one until the last
// lease there expires. The process that renewed the lease knows when that is: a new leader
// asks its predecessors, and waits the full time only for those that do not respond.

const (
	// predecessorsDelay is how long a new leader tries to reach the VMs itself before it asks
	// its predecessors. Most VMs respond within a few milliseconds.
	predecessorsDelay = 300 * time.Millisecond
	// predecessorsInterval is the pause between requests to predecessors. A process that died
	// is restarted after some seconds and knows that its earlier incarnation has ended.
	predecessorsInterval = 400 * time.Millisecond
	predecessorsTimeout  = 500 * time.Millisecond
)

// PastTenure identifies an earlier tenure whose leases may last.
type PastTenure struct {
	Fence   int64  `json:"fence"`
	Node    string `json:"node"`
	Address string `json:"address"`
}

// LeaseReport is the response of a process about a tenure of its own.
type LeaseReport struct {
	// Remaining holds how long leases may last, in the order of the requested VMs.
	Remaining []time.Duration
	// Remembered is set when the responding process itself led the tenure and was not
	// restarted since. Remaining then covers earlier leaders, too.
	Remembered bool
	// Crashes are the crashes known to that tenure that may not have been written.
	Crashes []scheduler.CrashReport
}

// Predecessors asks the process of an earlier tenure how long leases on the VMs may last and
// which crashes it could not write. The request ends that tenure.
type Predecessors interface {
	LeasesLeft(ctx context.Context, past PastTenure, successor int64, vms []string) (LeaseReport, error)
}

// readPastTenures returns the earlier tenures whose leases were not waited out. complete is
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
	// After a rebuild that failed halfway the record contains this tenure, too.
	seen := map[int64]bool{t.tenure.Fence: true}
	past = slices.DeleteFunc(past, func(p PastTenure) bool {
		duplicate := seen[p.Fence]
		seen[p.Fence] = true
		return duplicate
	})
	return past, true, nil
}

// recordTenures writes the tenures that a successor has to ask, including this one. It runs
// before the first order of a tenure is sent.
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

// predecessorsLoop shortens the wait for unresponsive VMs by the responses of predecessors,
// and accepts the crashes that they could not write; for those they are asked at least once.
// Predecessors are removed from the record only when no VM is awaited any more: their
// responses are known to this process alone, which may die.
func (t *term) predecessorsLoop(ctx context.Context) {
	pause.For(ctx, predecessorsDelay)
	pending := t.pastTenures
	expiry := map[string]time.Duration{}
	complete := false
	for first := true; ctx.Err() == nil && (first || t.awaitsVMs()); first = false {
		if !complete {
			pending = t.askPredecessors(ctx, pending, expiry)
			complete = len(pending) == 0 && t.pastTenuresComplete
			if complete {
				t.mu.Lock()
				t.sched.ShortenWaits(expiry)
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

// awaitsVMs reports whether VMs of earlier leaders are still awaited.
func (t *term) awaitsVMs() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sched.AwaitedInstances()) > 0
}

// askPredecessors asks the processes of the tenures and returns the tenures without a
// response. It raises expiry, for each awaited VM, to the latest expiry of a lease among the
// responses.
func (t *term) askPredecessors(ctx context.Context, past []PastTenure, expiry map[string]time.Duration) []PastTenure {
	t.mu.Lock()
	vms := t.sched.AwaitedInstances()
	t.mu.Unlock()
	var mu sync.Mutex
	var unanswered []PastTenure
	remembered := int64(0)
	var calls sync.WaitGroup
	for _, p := range past {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, predecessorsTimeout)
			defer cancel()
			leases, err := t.Predecessors.LeasesLeft(callCtx, p, t.tenure.Fence, vms)
			now := steady.Now()
			if err == nil && len(leases.Remaining) != len(vms) {
				err = errors.Newf("predecessor reported %d leases for %d VMs", len(leases.Remaining), len(vms))
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unanswered = append(unanswered, p)
				if ctx.Err() == nil {
					t.log.Warn("predecessor_unanswered", err, eventlog.Fields{"node": p.Node, "fence": p.Fence})
				}
				return
			}
			longest := time.Duration(0)
			for i, id := range vms {
				expiry[id] = max(expiry[id], now+leases.Remaining[i])
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
	calls.Wait()
	return slices.DeleteFunc(unanswered, func(p PastTenure) bool { return p.Fence < remembered })
}

// closedTenure holds when the leases of an ended tenure have certainly expired, and the
// crashes that it may not have written.
type closedTenure struct {
	fence       int64
	leaseExpiry map[string]time.Duration
	crashes     []scheduler.CrashReport
	// lastExpiry is the latest time in leaseExpiry.
	lastExpiry time.Duration
}

// close ends the tenure and returns its leases. No lease is renewed afterwards.
func (t *term) close() closedTenure {
	t.tenure.End()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	l := closedTenure{fence: t.tenure.Fence, leaseExpiry: t.sched.LeaseDeadlines(), crashes: t.sched.UnrecordedCrashes()}
	for _, expiry := range l.leaseExpiry {
		l.lastExpiry = max(l.lastExpiry, expiry)
	}
	return l
}

// endTerm records the end of a term whose leases may last.
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

// LeasesLeft returns how long leases of the tenure with the given fence, or of earlier ones,
// may last on the VMs, and ends that tenure. If the tenure is unknown, it belonged to an
// earlier incarnation of this process, which ended before this one began, or all its leases
// have expired.
func (l *Leader) LeasesLeft(fence int64, vms []string) LeaseReport {
	now := steady.Now()
	tenure := l.leasesOf(fence)
	report := LeaseReport{Remaining: make([]time.Duration, len(vms)), Remembered: tenure != nil}
	if tenure != nil {
		report.Crashes = tenure.crashes
	}
	for i, id := range vms {
		expiry := l.Settings.TakeoverWait(0)
		if tenure != nil {
			expiry = tenure.leaseExpiry[id]
		}
		report.Remaining[i] = max(0, expiry-now)
	}
	return report
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
