package scheduler

import (
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// A VM may start again under its ID. All that it holds and counts is then that of the new
// start: what it runs, the numbers of its ends, its clock, the fencing token that it has
// seen. A vm is therefore one start. Orders name the ID only, and reach whichever start is
// there: between the end of one and the first report of the next they may be carried out by
// either, so that what was ordered in that time is settled with the next one.

// vmIncarnation names one start of a VM; born is 0 where it is not told.
type vmIncarnation struct {
	id   string
	born int64
}

// incarnation is which start of its VM v is: the one that has reported, or else that of the
// entry on the list.
func (v *vm) incarnation() vmIncarnation {
	if v.born != 0 {
		return vmIncarnation{v.inst.ID, v.born}
	}
	return vmIncarnation{v.inst.ID, v.inst.Born}
}

// matchesBirth reports whether a report with the given birth may come from this start.
func (v *vm) matchesBirth(born int64) bool { return born == 0 || v.born == 0 || v.born == born }

// mayRestart reports whether the VM may start again under its ID: those that may tell their
// births.
func (v *vm) mayRestart() bool { return v.born != 0 }

// startedSinceConfirmedTenure reports whether the start may have begun after another leader was elected: that one
// may have heard the start before, whose fencing token this one has not seen.
func (s *Scheduler) startedSinceConfirmedTenure(v *vm) bool {
	return v.mayRestart() && v.firstReportAt > s.leadConfirmedAt
}

// entryMatchesIncarnation reports whether the entry on the list is that of the start that
// reports. Pool, labels and capacity of another one say nothing of it.
func (v *vm) entryMatchesIncarnation() bool { return v.matchesBirth(v.inst.Born) }

const (
	// maxOrderDelay bounds the time from a try of a start to its arrival: it is given up after
	// half a second, and a relay carries out none that was under way for longer than 0.6 s.
	maxOrderDelay = 1100 * time.Millisecond
	// maxRestartDetectionDelay bounds the time from a start of a VM until what is sent there is meant for
	// it: before, nothing is sent to a VM that has left a hold without an answer.
	maxRestartDetectionDelay = 2 * time.Second
)

// maxInitialLease is the longest lease that there may be on a VM that is heard for the first
// time, by its clock. On one that has started of late, orders that were meant for the
// start before may have been granted the longest one that VMs grant.
func (s Settings) maxInitialLease(clock time.Duration) time.Duration {
	if s.recentlyStarted(clock) {
		return s.MaxLease
	}
	return s.Lease()
}

// recentlyStarted reports whether orders that were meant for the start before may have left
// something on a VM whose clock tells so much.
func (s Settings) recentlyStarted(clock time.Duration) bool {
	return clock < maxRestartDetectionDelay+maxOrderDelay+s.MaxLease
}

// runExpiry is when the run has certainly ended, unless its lease is renewed. A run that no
// report has listed may be on a later start of the VM, which took the order's deadline for
// one on its own clock, and granted as much of it as it does at most.
func (s *Scheduler) runExpiry(r *run) Time {
	if !r.vm.mayRestart() || !r.startSent || r.listedAt > 0 {
		return r.vm.leaseExpiry
	}
	return max(r.vm.leaseExpiry, r.startSentAt+maxOrderDelay+leaseExpiryDelay(s.settings.MaxLease))
}

// vmLeaseExpiry is when everything on the VM has certainly ended, unless a lease is renewed.
func (s *Scheduler) vmLeaseExpiry(v *vm) Time {
	over := v.leaseExpiry
	for _, r := range v.runList {
		over = max(over, s.runExpiry(r))
	}
	return over
}

// reasonRestarted: a VM has started again under its ID.
const reasonRestarted = "started again"

// handleRestart takes in that a later start of a VM has reported, and returns it.
func (s *Scheduler) handleRestart(now, sentAt Time, old *vm, rep *batch.Report) *vm {
	v := newVM(now, old.inst)
	v.born = rep.Born
	v.token, v.needsToken = max(s.maxToken, old.token), s.maxToken <= old.token
	v.listed, v.unlistedAt, v.holdWait = old.listed, old.unlistedAt, old.holdWait
	s.vms[v.inst.ID] = v
	s.sortVMs()
	s.planNeeded = true
	d := old.lifecycleDecision(now, EventVMRestarted, "")
	d.Born, d.Acked = rep.Born, old.ackableSeq()
	s.logf(d)
	end := s.recordEnd(now, old)
	told := reportedRuns(rep)
	for _, r := range old.runList {
		if s.mayRunOnIncarnation(sentAt, r, rep, told) {
			s.moveRun(now, r, v, end)
		} else {
			s.recordEarlierCrash(now, r, end)
		}
	}
	s.dropRuns(now, old, reasonRestarted)
	return v
}

// An order that a VM has taken may be carried out seconds later, and by its next start where it
// has started again meanwhile. Each start is sent orders with a fencing token of its own, so that
// it refuses what was meant for the one before once it has seen a hold. A leader may use any
// revision of the store at which it wrote something on condition that it leads: its successor's
// token is higher.

// RaiseToken tells of a higher fencing token that this leader may use.
func (s *Scheduler) RaiseToken(token int64) {
	if token <= s.maxToken {
		return
	}
	s.maxToken = token
	for _, v := range s.vmList {
		if v.needsToken {
			v.token, v.needsToken = token, false
		}
	}
}

// NeedsToken reports whether a VM has started again and waits for a higher token.
func (s *Scheduler) NeedsToken() bool {
	return slices.ContainsFunc(s.vmList, func(v *vm) bool { return v.needsToken })
}

// Token returns the fencing token of what is sent to an instance.
func (s *Scheduler) Token(id string) int64 {
	if v := s.vms[id]; v != nil {
		return v.token
	}
	return s.fence
}

// recordGuarded takes in that the VM has answered its last hold.
func (s *Scheduler) recordGuarded(v *vm) {
	if !v.fenced && !v.needsToken && v.lastHoldToken == v.token {
		v.fenced, s.planNeeded = true, true
	}
}

// runKey names a run of a task.
type runKey struct {
	task   batch.TaskID
	number int64
}

// reportedRuns are the runs that a report tells of.
func reportedRuns(rep *batch.Report) map[runKey]bool {
	told := make(map[runKey]bool, len(rep.Running)+len(rep.Ended))
	for i := range rep.Running {
		told[runKey{rep.Running[i].Task, rep.Running[i].Run}] = true
	}
	for i := range rep.Ended {
		told[runKey{rep.Ended[i].Task, rep.Ended[i].Run}] = true
	}
	return told
}

// mayRunOnIncarnation reports whether a run that was ordered from an earlier start may be on the one
// that reports: its order was given, and neither has the earlier one listed it, nor was it
// confirmed before a report was asked for that does not tell of it.
func (s *Scheduler) mayRunOnIncarnation(sentAt Time, r *run, rep *batch.Report, told map[runKey]bool) bool {
	if told[runKey{r.task.id(), r.number}] {
		return true
	}
	if !r.startSent || r.listedAt > 0 {
		return false
	}
	return rep.MoreEnded || r.confirmedAt == 0 || r.confirmedAt >= sentAt
}

// moveRun has a run count on a later start of its VM. A stop is ordered again: the later
// start knows nothing of the first.
func (s *Scheduler) moveRun(now Time, r *run, to *vm, end *vmEndRecord) {
	t := r.task
	s.detachRun(now, r)
	moved := &run{
		task: t, vm: to, number: r.number, state: r.state, orderedAt: r.orderedAt, confirmedAt: r.confirmedAt,
		startSent: r.startSent, startSentAt: r.startSentAt, checkpoint: r.checkpoint, orderedPace: unknownPace, isTrial: r.isTrial, exclusive: r.exclusive, previousEnd: end,
	}
	s.attachRun(moved)
	s.logStart(moved)
	if r.exclusive {
		to.trialRun = moved
	}
	if c := t.crash(r.number); c != nil && c.kind == crashUnconfirmed {
		s.removeUnconfirmed(r.vm.incarnation(), t)
		s.recordCrash(moved, to.incarnation(), crashUnconfirmed)
	}
	if moved.state == stopping {
		s.orderStop(to, t.id(), moved.number)
	}
}
