package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler/fairshare"
)

// fairness is the state of fair shares; nil if the policy has them off.
type fairness struct {
	ledger *fairshare.Ledger
	// total is the capacity of the VMs that have reported, by which amounts are normalized.
	total  batch.Resources
	shares []fairshare.Share
	over   map[fairshare.User]bool
	// updatedAt is when the shares were computed, loggedAt when they were last logged.
	updatedAt, loggedAt Time
}

const (
	// sharesInterval is the shortest interval between computations of the shares.
	sharesInterval = 200 * time.Millisecond
	// sharesLogInterval is the interval between log lines about them, maxLoggedShares the most
	// users in one.
	sharesLogInterval = 2 * time.Second
	maxLoggedShares   = 12
)

func newFairness(p *Policy) *fairness {
	if !p.UsesZones() {
		return nil
	}
	return &fairness{ledger: fairshare.NewLedger(milliseconds(p.FairShareWindowMS)), updatedAt: -sharesInterval, loggedAt: -sharesLogInterval}
}

// user returns who a job's room is charged to.
func (j *job) user() fairshare.User {
	return fairshare.User{Priority: j.priority, Queue: j.queue, Zone: j.zone}
}

// amount is what one task of the step takes: its dominant share of the fleet, in seconds.
func (f *fairness) amount(spec *batch.Step) float64 {
	share := float64(spec.Need.MilliCPU) / float64(max(f.total.MilliCPU, 1))
	if f.total.MemoryMB > 0 {
		share = max(share, float64(spec.Need.MemoryMB)/float64(f.total.MemoryMB))
	}
	if f.total.Accelerators > 0 {
		share = max(share, float64(spec.Need.Accelerators)/float64(f.total.Accelerators))
	}
	return share * spec.Estimate.Seconds()
}

// chargeShare charges the start of a task to its user. Lasting tasks hold their room for minutes
// and are not divided by shares.
func (s *Scheduler) chargeShare(now Time, t *task) {
	if s.fairness != nil && !t.step.spec.Lasting {
		s.fairness.ledger.Charge(now, t.step.occ.job.user(), s.fairness.amount(t.step.spec))
	}
}

// updateShares computes who was given more than its part.
func (s *Scheduler) updateShares(now Time) {
	f := s.fairness
	if f == nil || now-f.updatedAt < sharesInterval {
		return
	}
	f.updatedAt = now
	f.total = batch.Resources{}
	for _, v := range s.vmList {
		if v.hasReported {
			f.total = f.total.Add(v.inst.Capacity)
		}
	}
	waiting := map[fairshare.User]float64{}
	for _, st := range s.readySteps {
		if !st.spec.Lasting && st.waiting > 0 {
			waiting[st.occ.job.user()] += float64(st.waiting) * f.amount(st.spec)
		}
	}
	f.shares = f.ledger.Shares(now, waiting, s.policy.FairShareTolerance)
	f.over = map[fairshare.User]bool{}
	for i := range f.shares {
		if f.shares[i].Over {
			f.over[f.shares[i].User] = true
		}
	}
	s.logShares(now)
}

// logShares logs the shares while anyone is over its part.
func (s *Scheduler) logShares(now Time) {
	f := s.fairness
	if len(f.over) == 0 || now-f.loggedAt < sharesLogInterval {
		return
	}
	f.loggedAt = now
	var text strings.Builder
	for i := range f.shares[:min(len(f.shares), maxLoggedShares)] {
		x := &f.shares[i]
		fmt.Fprintf(&text, "%s/%s given=%.3f part=%.3f waits=%.3f over=%t ", x.Queue, x.Zone, x.Given, x.Part, x.Waiting, x.Over)
	}
	s.logf(Decision{Event: EventFairShare, Reason: strings.TrimSpace(text.String()), Value: float64(len(f.over))})
}

// isOverShare reports whether the job's user was given more than its part.
func (s *Scheduler) isOverShare(j *job) bool {
	return s.policy.FairShare && s.fairness.over[j.user()]
}

// overZones returns the callers' zones of a queue that were given more than their part.
func (s *Scheduler) overZones(queue string) []string {
	if s.fairness == nil {
		return nil
	}
	var zones []string
	for i := range s.fairness.shares {
		if x := &s.fairness.shares[i]; x.Over && x.Queue == queue {
			zones = append(zones, x.Zone)
		}
	}
	return zones
}

// waitWithoutRun is how long the step could have run while its job had nothing running.
func (st *step) waitWithoutRun(now Time) time.Duration {
	since := st.runnableAt
	for k := range st.tasks {
		since = max(since, st.tasks[k].lastRunEnd)
	}
	return now - since
}

// overdueSteps returns the steps of which one task is tried before all others of their group: those
// that have waited for longer than the policy's bound. They are ordered by group, the longest
// waiting first.
func (s *Scheduler) overdueSteps(now Time) []*step {
	if s.policy.FairSharePatienceMS == 0 {
		return nil
	}
	var list []*step
	for _, st := range s.readySteps {
		if !st.spec.Lasting && fairshare.IsOverdue(st.waitWithoutRun(now), milliseconds(s.policy.FairSharePatienceMS), st.occ.job.running) {
			list = append(list, st)
		}
	}
	slices.SortStableFunc(list, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.rank.group, b.rank.group), cmp.Compare(b.waitWithoutRun(now), a.waitWithoutRun(now)))
	})
	return list
}

// startOverdue starts at most one task, or one gang, of a step.
func (s *Scheduler) startOverdue(pass *planPass, st *step) {
	if !s.mayStart(st) {
		return
	}
	before, waiting := s.startBudget, st.waiting
	s.startBudget = StartBudget{Starts: min(before.Starts, 1), Batch: min(before.Batch, 1)}
	limited := s.startBudget
	s.startStep(pass, st)
	s.startBudget = StartBudget{
		Starts: before.Starts - (limited.Starts - s.startBudget.Starts),
		Batch:  before.Batch - (limited.Batch - s.startBudget.Batch),
	}
	if st.waiting < waiting {
		s.logf(Decision{Event: EventTaskOverdue, Job: st.occ.job.spec.ID, Reason: st.rank.group.String(), Age: st.waitWithoutRun(pass.now), Zone: st.occ.job.zone})
	}
}
