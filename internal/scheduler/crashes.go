package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Some tasks end each VM that begins them, within milliseconds. Nobody tells: the VM's end
// looks like any other, what ran beside the task is lost with it, and the task, started
// again elsewhere, ends the next VM. One notices by run_lost lines of one task with a
// lived_at_most_ms of next to nothing each time. Such a task has to be given up, and no
// other: neither one that was started beside it, nor one whose VMs were lost with their
// rack or their power.
//
// A VM that ends while a run on it is new makes the run's task suspect. A suspect is
// started again in a trial: on a VM where nothing else is new, and where nothing else is
// started before the trial's run has lived for recentRunDuration. A VM that ends in a trial, and no
// other VM with it but such as had just begun something, was ended by that task as far as
// one can tell. What is known to have lived is cleared.

// crashKind is what a VM's end says of a task that had just begun there.
type crashKind int64

// The kinds are part of the records of progress; their numbers stay.
const (
	// crashUnconfirmed: the VM leaves holds unanswered; it may live.
	crashUnconfirmed crashKind = iota
	// crashShared: the VM ended; other runs were as new, or other VMs ended with it.
	crashShared
	// crashIsolated: the VM ended in a trial, by itself.
	crashIsolated
	// crashMass: so many VMs ended together that a cause of their own is likelier.
	crashMass
	// crashStorm: the VM ended while VMs ended one after the other by no task.
	crashStorm
	// crashUnseen: the VM ended while nobody led who could have seen when, and which other VMs
	// ended with it.
	crashUnseen
	// crashUnloggedStart is not in records: the run was started, and may not be in the log of starts.
	crashUnloggedStart
	// crashPaired: the VM ended in a storm, by itself, as another task began there beside a
	// suspect. It counts once and a half: more than a shared end, and gives no task up as a
	// trial does.
	crashPaired
)

var crashKindNames = map[crashKind]string{
	crashUnconfirmed: "doubted", crashShared: "shared", crashIsolated: "alone", crashMass: "with many others", crashStorm: "in a storm", crashUnseen: "unseen", crashUnloggedStart: "started",
	crashPaired: "beside another",
}

// crash is a run whose VM ended, or may have ended, while it was new.
type crash struct {
	run  int64
	kind crashKind
	vm   vmIncarnation
	// lived is set where the run had lived for startCrashWindow when its VM was last heard.
	lived bool
}

const (
	// isolatedCrashLimit in trials give a task up: the first VM's end made it a suspect, so
	// that three VMs have ended under it.
	isolatedCrashLimit = 2
	// totalCrashLimit give it up although trials told nothing, since other VMs ended each
	// time or none was to be had. A task that ends its VMs may be started two times
	// after the third; the fourth start leaves one for an end that a leader which died
	// has not recorded.
	totalCrashLimit = 4
	// weakCrashDivisor is how many ends in a storm, or unseen, count as one of the others.
	weakCrashDivisor = 2
	// possibleCrashLimit give it up where VMs were never heard of again.
	possibleCrashLimit = 5
	// maxUnplacedCrashes bounds the doubts about runs of which no VM is recorded: a leader has to die
	// between the start and the next write for such a run to have begun.
	maxUnplacedCrashes = 1
	// durableCrashThreshold is from how many on a task is started again only once the store
	// has them: a successor must not begin the count anew.
	durableCrashThreshold = 2
	// failedHoldThreshold is how many holds a VM has to leave unanswered in a row for its new
	// runs to be recorded as doubted: one fails where a connection is reset.
	failedHoldThreshold = 2
)

// HoldFailed notes that a hold of an instance has failed: the instance may have ended,
// or the path to it. closed is set where the other side closed or refused the connection:
// then that was just now; a hold that is left in silence tells only that it was since the
// last answer.
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

// recordRecentRuns records that what is new on a VM may have ended it. The record is written
// long before the VM's end can be concluded, so that the count outlives this leader.
func (s *Scheduler) recordRecentRuns(now Time, v *vm) {
	for _, r := range v.runList {
		if r.mayHaveCrashed() {
			s.handleCrash(now, r, crashUnconfirmed)
		}
	}
}

// mayHaveCrashed reports whether the run may have ended its VM: it may have begun, and is
// new.
func (r *run) mayHaveCrashed() bool { return r.startSent && r.isRecent() }

// handleCrash records what the end of a run's VM says of its task.
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

// recordCrash has the job's record tell of a run and the start of a VM that it was on.
func (s *Scheduler) recordCrash(r *run, start vmIncarnation, kind crashKind) {
	r.task.setCrash(r.toCrash(kind, start))
	s.markCrashesChanged(r.task)
	if kind == crashUnconfirmed {
		s.addUnconfirmed(start, r.task, r.number)
	}
}

// toCrash is what is noted of the run, where a start of a VM may have ended under it.
func (r *run) toCrash(kind crashKind, start vmIncarnation) crash {
	return crash{run: r.number, kind: kind, vm: start, lived: r.minLifetime() >= startCrashWindow}
}

// crash returns what was noted of a run, or nil.
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

// clearCrash takes a run back whose VM has told of it since.
func (s *Scheduler) clearCrash(t *task, number int64) {
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return c.run == number })
	if len(t.crashes) < before {
		s.markCrashesChanged(t)
	}
}

// clearCrashes ends the suspicion of a task that has run on a VM without ending it.
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

// isSuspect reports whether the task has to be started in a trial. The loss of many VMs at
// once is no ground for suspicion the first time: all that was new there would have to
// wait for trials.
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

// handleVMEnd takes in that a VM has certainly ended, with what ran there. awaited is set
// where an earlier leader may have used it.
func (s *Scheduler) handleVMEnd(now Time, v *vm, awaited bool) {
	start := v.incarnation()
	if s.hasEnded(start) {
		// Its entry outlived it for some seconds, and was taken for a VM that is not heard:
		// that goes with it a second time, at a moment that has to do with neither.
		return
	}
	if !v.hasReported {
		// Another leader used it. When it ended, and which start it was, is not known.
		if !v.initiallyStale {
			s.endedUnreported = s.endedUnreported || awaited
			end := v.end(now)
			end.byTask = len(s.unconfirmedCrashes[start]) > 0
			end.bySuspect = end.byTask
			s.recentVMEnds[start] = end
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

// crashWeight is how much a crash says against its task, in ascending order.
type crashWeight int

const (
	weightNone crashWeight = iota
	weightHalf
	weightUnconfirmed
	weightWhole
	weightPaired
	weightAlone
)

// weight is how much a crash says against the task. One whose run is under way, or to come, says
// nothing yet.
func (t *task) weight(c *crash) crashWeight {
	switch c.kind {
	case crashIsolated:
		return weightAlone
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

// isDuplicateEnd reports whether another crash tells of the same end of a VM, and says as much or more: a
// start of a VM ends once, by one run of the task at most.
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
		if by := cmp.Compare(t.weight(other), t.weight(c)); by > 0 || (by == 0 && k < i) {
			return true
		}
	}
	return false
}

// evaluateCrashes gives a task up that has ended its VMs.
func (s *Scheduler) evaluateCrashes(now Time, t *task) {
	alone, counted, doubted, weak, unplaced := 0, 0, 0, 0, 0
	for i := range t.crashes {
		c := &t.crashes[i]
		if t.isDuplicateEnd(i) {
			continue
		}
		switch t.weight(c) {
		case weightAlone:
			alone++
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
				doubted++
			}
		case weightHalf:
			weak++
		case weightNone:
		}
	}
	counted += weak / weakCrashDivisor
	doubted += min(unplaced, maxUnplacedCrashes)
	if alone < isolatedCrashLimit && counted < totalCrashLimit && counted+doubted < possibleCrashLimit {
		return
	}
	s.finish(now, t.step.occ.job, batch.Failed, "VMs ended as they began "+t.id().String())
}

// A doubt outlives the run: its leases ran out, or another leader took over. doubts has
// those of each VM. What the VM tells when it is heard clears them, its certain end
// concludes them; that it is not heard proves nothing.

// addUnconfirmed notes that a run's VM may have ended under it.
func (s *Scheduler) addUnconfirmed(start vmIncarnation, t *task, number int64) {
	if s.unconfirmedCrashes[start] == nil {
		s.unconfirmedCrashes[start] = map[*task]int64{}
	}
	s.unconfirmedCrashes[start][t] = number
}

// removeUnconfirmed takes the doubt about a task on a VM back.
func (s *Scheduler) removeUnconfirmed(start vmIncarnation, t *task) {
	delete(s.unconfirmedCrashes[start], t)
	if len(s.unconfirmedCrashes[start]) == 0 {
		delete(s.unconfirmedCrashes, start)
	}
}

// restoreUnconfirmed takes over the doubts of an earlier leader.
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

// sortedTasks returns the tasks of some doubts by their runs' numbers; a gang's share one.
func sortedTasks(doubts map[*task]int64) []*task {
	if len(doubts) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(doubts), func(a, b *task) int {
		return cmp.Or(cmp.Compare(doubts[a], doubts[b]), cmp.Compare(a.index, b.index))
	})
}

// clearUnconfirmed takes the doubts about a VM back that lives: what it has not listed, nor
// told the end of, has never begun there. Runs that are under way stay in doubt.
func (s *Scheduler) clearUnconfirmed(start vmIncarnation) {
	doubts := s.unconfirmedCrashes[start]
	for _, t := range sortedTasks(doubts) {
		number := doubts[t]
		if !t.hasRun(number) {
			s.clearCrash(t, number)
			s.removeUnconfirmed(start, t)
		}
	}
}

// resolveUnconfirmed takes in that a VM has ended that runs were doubted on.
func (s *Scheduler) resolveUnconfirmed(now Time, start vmIncarnation, verdictOn func(c *crash) crashKind) {
	doubts := s.unconfirmedCrashes[start]
	delete(s.unconfirmedCrashes, start)
	for _, t := range sortedTasks(doubts) {
		number := doubts[t]
		if c := t.crash(number); c != nil && c.kind == crashUnconfirmed && !t.step.occ.job.state.Final() {
			s.setCrashKind(now, t, c, verdictOn(c))
		}
	}
}

// setCrashKind judges a crash that was in doubt.
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

// hasDurableCrashes reports whether the store has the task's crashes, as far as it must.
func (t *task) hasDurableCrashes() bool {
	crashes := len(t.crashes)
	if t.intendedRun != 0 {
		crashes--
	}
	return crashes < durableCrashThreshold || t.step.occ.job.writtenVersion >= t.crashVersion
}
