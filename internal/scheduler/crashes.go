package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// A faulty task may crash each VM that begins it, within milliseconds. Nothing reports this: the
// VM's end looks like any other, the runs beside the task are lost with it, and the task,
// restarted elsewhere, crashes the next VM. The sign is a series of run_lost lines of one task,
// each with a lived_at_most_ms near zero. Such a task must fail, but neither a task that was
// started beside it nor one whose VMs were lost with their rack or power may fail for it.
//
// A VM that ends while a run on it is recent makes the run's task suspect. A suspect is restarted
// in a trial: on a VM with no other recent run, where nothing else is started before the trial's
// run has lived for recentRunDuration. If a VM ends in a trial, and the only other VMs that end
// with it had just begun something too, the end is attributed to the task. A task that has run on
// a VM for long enough is cleared.

// crashKind classifies what a VM's end implies about a task that had just begun there.
type crashKind int64

// The numbers are stored in progress records and must not change.
const (
	// crashUnconfirmed: the VM leaves holds unanswered, but may still run.
	crashUnconfirmed crashKind = iota
	// crashShared: the VM ended, and other runs there were as recent or other VMs ended with it.
	crashShared
	// crashIsolated: the VM ended in a trial, and no other VM ended with it.
	crashIsolated
	// crashMass: so many VMs ended together that a common cause is likelier.
	crashMass
	// crashStorm: the VM ended while VMs were ending one after another for reasons other than
	// tasks.
	crashStorm
	// crashUnseen: the VM ended while no leader could observe when, and which other VMs ended
	// with it.
	crashUnseen
	// crashUnloggedStart is never recorded: the run was started and may be missing from the log
	// of starts.
	crashUnloggedStart
	// crashPaired: the VM alone ended during a storm, just as another task began there beside a
	// suspect. It counts one and a half times: more than a shared end, but unlike an end in a
	// trial it doesn't count as isolated.
	crashPaired
)

var crashKindNames = map[crashKind]string{
	crashUnconfirmed: "doubted", crashShared: "shared", crashIsolated: "alone", crashMass: "with many others", crashStorm: "in a storm", crashUnseen: "unseen", crashUnloggedStart: "started",
	crashPaired: "beside another",
}

// crash is a run whose VM ended, or may have ended, while the run was recent.
type crash struct {
	run  int64
	kind crashKind
	vm   vmIncarnation
	// lived is set if the run had lived for startCrashWindow at its VM's last report.
	lived bool
}

const (
	// isolatedCrashLimit is how many ends in trials make a task fail. The first VM's end made it
	// a suspect, so three VMs have ended under it by then.
	isolatedCrashLimit = 2
	// totalCrashLimit is how many ends in all make a task fail if trials are inconclusive,
	// because other VMs ended each time or no VM was free. A task that crashes its VMs may be
	// started at most twice after its third VM has ended. Failing it at the fourth end uses one
	// of these starts and leaves one for an end that a leader which died did not record.
	totalCrashLimit = 4
	// weakCrashDivisor is how many ends during a storm, or unseen ends, count as one other end.
	weakCrashDivisor = 2
	// possibleCrashLimit is how many ends, unconfirmed ones included, make a task fail if its VMs
	// never report again.
	possibleCrashLimit = 5
	// maxUnplacedCrashes bounds the unconfirmed crashes counted for runs without a recorded VM:
	// such a run has begun only if a leader died between the start and its next write.
	maxUnplacedCrashes = 1
	// durableCrashThreshold is the number of crashes from which a task is restarted only once the
	// store has them, so that a successor doesn't restart the count.
	durableCrashThreshold = 2
	// failedHoldThreshold is how many holds in a row a VM must leave unanswered before its recent
	// runs are recorded as unconfirmed crashes: a single hold also fails when a connection is
	// reset.
	failedHoldThreshold = 2
)

// HoldFailed records that a hold of an instance has failed: the instance may have ended, or the
// path to it is broken. closed is set if the other side closed or refused the connection, which
// dates the end to this moment. A hold that timed out only dates it to some time after the last
// response.
func (s *Scheduler) HoldFailed(now Time, id string, closed bool) {
	v := s.vms[id]
	if v == nil {
		return
	}
	if v.firstUnansweredAt == 0 {
		v.firstUnansweredAt, v.connectionClosed = now, closed
	}
	v.unansweredHolds++
	if v.unansweredHolds == failedHoldThreshold {
		s.recordRecentRuns(now, v)
	}
}

// recordRecentRuns records that the recent runs on a VM may have ended it. The record is written
// long before the VM's end can be confirmed, so that the count outlives this leader.
func (s *Scheduler) recordRecentRuns(now Time, v *vm) {
	for _, r := range v.runList {
		if r.mayHaveCrashed() {
			s.handleCrash(now, r, crashUnconfirmed)
		}
	}
}

// mayHaveCrashed reports whether the run may have ended its VM: it may have begun, and is recent.
func (r *run) mayHaveCrashed() bool { return r.startSent && r.isRecent() }

// handleCrash records what the end of a run's VM implies about its task, and evaluates the task.
func (s *Scheduler) handleCrash(now Time, r *run, kind crashKind) {
	t := r.task
	if t.done || t.step.occ.job.state.Final() {
		return
	}
	s.recordCrash(r, r.vm.incarnation(), kind)
	s.logf(Decision{Event: EventCrashNoted, Task: t.id(), VM: r.vm.inst.ID, Run: r.number, Reason: crashKindNames[kind], Value: float64(len(t.crashes))})
	if kind != crashUnconfirmed {
		s.evaluateCrashes(now, t)
	}
}

// recordCrash adds a run and the incarnation of the VM that it was on to its job's record.
func (s *Scheduler) recordCrash(r *run, inc vmIncarnation, kind crashKind) {
	r.task.setCrash(r.toCrash(kind, inc))
	s.markCrashesChanged(r.task)
	if kind == crashUnconfirmed {
		s.addUnconfirmed(inc, r.task, r.number)
	}
}

// toCrash returns the record of a crash of the run on an incarnation of a VM.
func (r *run) toCrash(kind crashKind, inc vmIncarnation) crash {
	return crash{run: r.number, kind: kind, vm: inc, lived: r.minLifetime() >= startCrashWindow}
}

// crash returns the crash recorded for a run, or nil.
func (t *task) crash(number int64) *crash {
	for i := range t.crashes {
		if t.crashes[i].run == number {
			return &t.crashes[i]
		}
	}
	return nil
}

func (t *task) setCrash(c crash) {
	if known := t.crash(c.run); known != nil {
		*known = c
		return
	}
	t.crashes = append(t.crashes, c)
}

func (s *Scheduler) markCrashesChanged(t *task) {
	j := t.step.occ.job
	s.markDirty(j)
	t.crashVersion = j.version
}

// clearCrash removes the crash of a run that its VM has reported since.
func (s *Scheduler) clearCrash(t *task, number int64) {
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return c.run == number })
	if len(t.crashes) < before {
		s.markCrashesChanged(t)
	}
}

// clearCrashes clears a task that has run on a VM without ending it.
func (s *Scheduler) clearCrashes(now Time, t *task) {
	if len(t.crashes) == 0 {
		return
	}
	t.crashes, t.intendedRun = nil, 0
	s.markCrashesChanged(t)
	for _, r := range t.runs {
		s.endTrial(r)
	}
	s.reclassifyBeside(now, t)
}

// isSuspect reports whether the task has to be started in a trial. A single mass loss of VMs does
// not make it suspect: otherwise every recent task there would have to wait for a trial.
func (t *task) isSuspect() bool {
	mass := 0
	for _, c := range t.crashes {
		if c.kind != crashMass {
			return true
		}
		mass++
	}
	return mass > 1
}

// handleVMEnd processes the confirmed end of a VM and of everything that ran there. awaited is
// set if an earlier leader may have used the VM.
func (s *Scheduler) handleVMEnd(now Time, v *vm, awaited bool) {
	inc := v.incarnation()
	if s.hasEnded(inc) {
		// The entry of an ended incarnation stays listed for some seconds and was taken for an
		// unresponsive VM. It is now removed a second time, at a moment unrelated to the end.
		return
	}
	if !v.hasReported {
		// Another leader used it. When it ended, and as which incarnation, is unknown.
		if !v.initiallyStale {
			s.endedUnreported = s.endedUnreported || awaited
			end := v.end(now)
			end.byTask = len(s.unconfirmedCrashes[inc]) > 0
			end.bySuspect = end.byTask
			s.recentVMEnds[inc] = end
		}
		s.resolveEarlierIncarnations(now, v)
		return
	}
	e := s.recordEnd(now, v)
	for _, r := range v.runList {
		s.recordEarlierCrash(now, r, e)
	}
	s.classifyEnds(now)
}

// crashWeight ranks how strongly a crash counts against its task, in ascending order.
type crashWeight int

const (
	weightNone crashWeight = iota
	weightHalf
	weightUnconfirmed
	weightWhole
	weightPaired
	weightIsolated
)

// weight returns how strongly a crash counts against the task. An unconfirmed crash doesn't count
// yet while its run is tracked or only intended.
func (t *task) weight(c *crash) crashWeight {
	switch c.kind {
	case crashIsolated:
		return weightIsolated
	case crashPaired:
		return weightPaired
	case crashShared:
		return weightWhole
	case crashUnconfirmed:
		if c.run != t.intendedRun && !t.hasRun(c.run) {
			return weightUnconfirmed
		}
	case crashStorm, crashUnseen:
		return weightHalf
	case crashMass, crashUnloggedStart:
	}
	return weightNone
}

// isDuplicateEnd reports whether another crash of equal or greater weight covers the same end of
// a VM: an incarnation ends once, by at most one run of the task.
func (t *task) isDuplicateEnd(i int) bool {
	c := &t.crashes[i]
	if c.vm.id == "" {
		return false
	}
	for k := range t.crashes {
		other := &t.crashes[k]
		if k == i || other.vm != c.vm {
			continue
		}
		if order := cmp.Compare(t.weight(other), t.weight(c)); order > 0 || (order == 0 && k < i) {
			return true
		}
	}
	return false
}

// evaluateCrashes fails the job of a task that has crashed too many VMs.
func (s *Scheduler) evaluateCrashes(now Time, t *task) {
	isolated, counted, unconfirmed, weak, unplaced := 0, 0, 0, 0, 0
	for i := range t.crashes {
		c := &t.crashes[i]
		if t.isDuplicateEnd(i) {
			continue
		}
		switch t.weight(c) {
		case weightIsolated:
			isolated++
			counted++
		case weightPaired:
			counted++
			weak++
		case weightWhole:
			counted++
		case weightUnconfirmed:
			if c.vm.id == "" {
				unplaced++
			} else {
				unconfirmed++
			}
		case weightHalf:
			weak++
		case weightNone:
		}
	}
	counted += weak / weakCrashDivisor
	unconfirmed += min(unplaced, maxUnplacedCrashes)
	if isolated < isolatedCrashLimit && counted < totalCrashLimit && counted+unconfirmed < possibleCrashLimit {
		return
	}
	s.finish(now, t.step.occ.job, batch.Failed, "VMs ended as they began "+t.id().String())
}

// An unconfirmed crash outlives its run: the leases may have expired, or another leader may have
// taken over. unconfirmedCrashes holds the unconfirmed crashes of each VM. The VM's next report
// clears them and its confirmed end classifies them; missing reports prove nothing.

// addUnconfirmed records that a run's VM may have ended under it.
func (s *Scheduler) addUnconfirmed(inc vmIncarnation, t *task, number int64) {
	if s.unconfirmedCrashes[inc] == nil {
		s.unconfirmedCrashes[inc] = map[*task]int64{}
	}
	s.unconfirmedCrashes[inc][t] = number
}

// removeUnconfirmed removes the unconfirmed crash of a task on a VM.
func (s *Scheduler) removeUnconfirmed(inc vmIncarnation, t *task) {
	delete(s.unconfirmedCrashes[inc], t)
	if len(s.unconfirmedCrashes[inc]) == 0 {
		delete(s.unconfirmedCrashes, inc)
	}
}

// restoreUnconfirmed restores the unconfirmed crashes recorded by an earlier leader.
func (s *Scheduler) restoreUnconfirmed(o *occurrence) {
	for i := range o.steps {
		for k := range o.steps[i].tasks {
			t := &o.steps[i].tasks[k]
			for _, c := range t.crashes {
				if c.kind == crashUnconfirmed && c.vm.id != "" {
					s.addUnconfirmed(c.vm, t, c.run)
				}
			}
		}
	}
}

// sortedTasks returns the tasks of unconfirmed crashes ordered by run number; members of a gang
// share one.
func sortedTasks(runs map[*task]int64) []*task {
	if len(runs) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(runs), func(a, b *task) int {
		return cmp.Or(cmp.Compare(runs[a], runs[b]), cmp.Compare(a.index, b.index))
	})
}

// clearUnconfirmed clears the unconfirmed crashes of a VM that is alive: a run that it neither
// lists nor reported the end of never began there. Runs that are still tracked stay unconfirmed.
func (s *Scheduler) clearUnconfirmed(inc vmIncarnation) {
	unconfirmed := s.unconfirmedCrashes[inc]
	for _, t := range sortedTasks(unconfirmed) {
		number := unconfirmed[t]
		if !t.hasRun(number) {
			s.clearCrash(t, number)
			s.removeUnconfirmed(inc, t)
		}
	}
}

// resolveUnconfirmed classifies the unconfirmed crashes of an incarnation that has ended.
func (s *Scheduler) resolveUnconfirmed(now Time, inc vmIncarnation, classify func(c *crash) crashKind) {
	unconfirmed := s.unconfirmedCrashes[inc]
	delete(s.unconfirmedCrashes, inc)
	for _, t := range sortedTasks(unconfirmed) {
		number := unconfirmed[t]
		if c := t.crash(number); c != nil && c.kind == crashUnconfirmed && !t.step.occ.job.state.Final() {
			s.setCrashKind(now, t, c, classify(c))
		}
	}
}

// setCrashKind classifies a crash that was unconfirmed, or reclassifies one.
func (s *Scheduler) setCrashKind(now Time, t *task, c *crash, kind crashKind) {
	c.kind = kind
	s.markCrashesChanged(t)
	s.logf(Decision{Event: EventCrashNoted, Task: t.id(), VM: c.vm.id, Run: c.run, Reason: crashKindNames[kind], Value: float64(len(t.crashes)), Born: c.vm.born})
	if kind == crashIsolated {
		s.confirmSuspect(now, t)
	}
	s.evaluateCrashes(now, t)
}

func (t *task) hasRun(number int64) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.number == number })
}

// hasDurableCrashes reports whether the store has the task's crashes, as far as
// durableCrashThreshold requires.
func (t *task) hasDurableCrashes() bool {
	crashes := len(t.crashes)
	if t.intendedRun != 0 {
		crashes--
	}
	return crashes < durableCrashThreshold || t.step.occ.job.writtenVersion >= t.crashVersion
}
