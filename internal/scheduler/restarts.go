package scheduler

import (
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// A VM may restart under its ID. Its state then belongs to the new incarnation: its runs, the
// sequence numbers of its ends, its clock and the fencing token that it has seen. A vm therefore
// stands for one incarnation. Orders are addressed by ID only and reach whichever incarnation is
// running. Between the end of one and the first report of the next, either may carry them out, so
// that orders from that time are resolved by the next one's report.

// vmIncarnation identifies an incarnation of a VM; born is 0 if unknown.
type vmIncarnation struct {
	id   string
	born int64
}

// incarnation returns the incarnation that has reported, or else that of the listed entry.
func (v *vm) incarnation() vmIncarnation {
	if v.born != 0 {
		return vmIncarnation{v.inst.ID, v.born}
	}
	return vmIncarnation{v.inst.ID, v.inst.Born}
}

// matchesBirth reports whether a report with the given birth may come from this incarnation.
func (v *vm) matchesBirth(born int64) bool { return born == 0 || v.born == 0 || v.born == born }

// mayRestart reports whether the VM may restart under its ID. Only VMs that report their birth
// do.
func (v *vm) mayRestart() bool { return v.born != 0 }

// startedSinceConfirmedTenure reports whether the incarnation may have begun after another leader
// was elected. That leader may have reached the previous incarnation, and this one has not seen
// that leader's fencing token.
func (s *Scheduler) startedSinceConfirmedTenure(v *vm) bool {
	return v.mayRestart() && v.firstReportAt > s.leadConfirmedAt
}

// entryMatchesIncarnation reports whether the listed entry is that of the reporting incarnation.
// Pool, labels and capacity of another one don't apply to it.
func (v *vm) entryMatchesIncarnation() bool { return v.matchesBirth(v.inst.Born) }

const (
	// maxOrderDelay bounds the time from an attempt at a start to its arrival: the attempt times
	// out after half a second, and a relay discards orders that were under way for longer than
	// 0.6 s.
	maxOrderDelay = 1100 * time.Millisecond
	// maxRestartDetectionDelay bounds the time from a restart of a VM until orders are meant for
	// the new incarnation: before, nothing is sent to a VM that has left a hold unanswered.
	maxRestartDetectionDelay = 2 * time.Second
)

// maxInitialLease is the longest lease, by its clock, that may exist on a VM at its first report.
// On a recently restarted VM, orders meant for the previous incarnation may have been granted the
// longest lease that VMs grant.
func (s Settings) maxInitialLease(clock time.Duration) time.Duration {
	if s.recentlyStarted(clock) {
		return s.MaxLease
	}
	return s.Lease()
}

// recentlyStarted reports whether orders meant for the previous incarnation may have left runs on
// a VM with the given clock.
func (s Settings) recentlyStarted(clock time.Duration) bool {
	return clock < maxRestartDetectionDelay+maxOrderDelay+s.MaxLease
}

// runExpiry returns when the run has certainly ended unless its lease is renewed. A run that no
// report has listed may be on a later incarnation, which interpreted the order's deadline by its
// own clock and granted at most MaxLease.
func (s *Scheduler) runExpiry(r *run) Time {
	if !r.vm.mayRestart() || !r.startSent || r.listedAt > 0 {
		return r.vm.leaseExpiry
	}
	return max(r.vm.leaseExpiry, r.startSentAt+maxOrderDelay+leaseExpiryDelay(s.settings.MaxLease))
}

// vmLeaseExpiry returns when everything on the VM has certainly ended unless a lease is renewed.
func (s *Scheduler) vmLeaseExpiry(v *vm) Time {
	expiry := v.leaseExpiry
	for _, r := range v.runList {
		expiry = max(expiry, s.runExpiry(r))
	}
	return expiry
}

// reasonRestarted is the reason for runs lost because their VM restarted under its ID.
const reasonRestarted = "started again"

// handleRestart replaces a VM by its next incarnation, which has just reported, and returns it.
func (s *Scheduler) handleRestart(now, sentAt Time, old *vm, rep *batch.Report) *vm {
	v := s.newVM(now, old.inst)
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
	reported := reportedRuns(rep)
	for _, r := range old.runList {
		if s.mayRunOnIncarnation(sentAt, r, rep, reported) {
			s.moveRun(now, r, v, end)
		} else {
			s.recordEarlierCrash(now, r, end)
		}
	}
	s.dropRuns(now, old, reasonRestarted)
	return v
}

// An order that a VM has accepted may be carried out seconds later, and by its next incarnation
// if it restarted meanwhile. Each incarnation is sent orders with its own fencing token, so that
// once it has seen a hold it refuses orders meant for the previous one. A leader may use as a
// token any revision of the store at which it wrote something on the condition that it leads: its
// successor's token is higher.

// RaiseToken sets a higher fencing token that this leader may use.
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

// NeedsToken reports whether a restarted VM waits for a higher token.
func (s *Scheduler) NeedsToken() bool {
	return slices.ContainsFunc(s.vmList, func(v *vm) bool { return v.needsToken })
}

// Token returns the fencing token for orders to an instance.
func (s *Scheduler) Token(id string) int64 {
	if v := s.vms[id]; v != nil {
		return v.token
	}
	return s.fence
}

// recordFenced sets fenced once the VM has answered a hold with its current token.
func (s *Scheduler) recordFenced(v *vm) {
	if !v.fenced && !v.needsToken && v.lastHoldToken == v.token {
		v.fenced, s.planNeeded = true, true
	}
}

// runKey identifies a run of a task.
type runKey struct {
	task   batch.TaskID
	number int64
}

// reportedRuns returns the runs that a report lists as running or ended.
func reportedRuns(rep *batch.Report) map[runKey]bool {
	reported := make(map[runKey]bool, len(rep.Running)+len(rep.Ended))
	for i := range rep.Running {
		reported[runKey{rep.Running[i].Task, rep.Running[i].Run}] = true
	}
	for i := range rep.Ended {
		reported[runKey{rep.Ended[i].Task, rep.Ended[i].Run}] = true
	}
	return reported
}

// mayRunOnIncarnation reports whether a run ordered from an earlier incarnation may be on the
// reporting one: its order was sent, the earlier one has not listed it, and it was not confirmed
// before the request for a report that does not list it.
func (s *Scheduler) mayRunOnIncarnation(sentAt Time, r *run, rep *batch.Report, reported map[runKey]bool) bool {
	if reported[runKey{r.task.id(), r.number}] {
		return true
	}
	if !r.startSent || r.listedAt > 0 {
		return false
	}
	return rep.MoreEnded || r.confirmedAt == 0 || r.confirmedAt >= sentAt
}

// moveRun assigns a run to a later incarnation of its VM. A stop is ordered again, since the
// later incarnation has not received the first.
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
