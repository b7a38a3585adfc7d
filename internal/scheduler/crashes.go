package scheduler

import (
	"slices"
	"time"

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
// started before the trial's run has lived for newFor. A VM that ends in a trial, and no
// other VM with it but such as had just begun something, was ended by that task as far as
// one can tell. What is known to have lived is cleared.

// crashKind is what a VM's end says of a task that had just begun there.
type crashKind int64

// The kinds are part of the records of progress; their numbers stay.
const (
	// crashDoubted: the VM leaves holds unanswered; it may live.
	crashDoubted crashKind = iota
	// crashShared: the VM ended; other runs were as new, or other VMs ended with it.
	crashShared
	// crashAlone: the VM ended in a trial, by itself.
	crashAlone
	// crashMass: so many VMs ended together that a cause of their own is likelier.
	crashMass
)

var crashKindNames = map[crashKind]string{crashDoubted: "doubted", crashShared: "shared", crashAlone: "alone", crashMass: "with many others"}

// crash is a run whose VM ended, or may have ended, while it was new.
type crash struct {
	run  int64
	kind crashKind
}

const (
	// crashesAlone in trials give a task up: the first VM's end made it a suspect, so
	// that three VMs have ended under it.
	crashesAlone = 2
	// crashesInAll give it up although trials told nothing, since other VMs ended each
	// time or none was to be had. A task that ends its VMs may be started two times
	// after the third; the fourth start leaves one for an end that a leader which died
	// has not recorded.
	crashesInAll = 4
	// massVMs is how many other VMs have to end together with one for their end to have
	// a cause of its own.
	massVMs = 2
	// crashesRecorded is from how many on a task is started again only once the store
	// has them: a successor must not begin the count anew.
	crashesRecorded = 2
	// doubtAfter is how many holds a VM has to leave unanswered in a row for its new
	// runs to be recorded as doubted: one fails where a connection is reset.
	doubtAfter = 2
	// endedTogether is how far apart VMs may be seen to end that end together, closedWithin
	// how long before a connection is found closed the VM may have ended.
	endedTogether = 100 * time.Millisecond
	closedWithin  = 200 * time.Millisecond
	// begunJustBefore is how long before a VM's end is noticed a run has to have begun
	// there to be likely to have ended it: a hold may wait for 0.15 s before it is sent.
	begunJustBefore = 300 * time.Millisecond
	// endsKept is how long the ends of VMs are kept to be compared: longer than it takes
	// to conclude that another VM has ended, by its lease at the latest.
	endsKept = 15 * time.Second
)

// vmEnd is the end of a VM, or of its answers.
type vmEnd struct {
	id string
	// It came after aliveAt, and was noticed at noticedAt.
	aliveAt, noticedAt Time
	// byTask is set where a task is likely to have ended it: it had begun just before.
	byTask bool
}

// Unanswered notes that a hold of an instance has failed: the instance may have ended,
// or the path to it. closed is set where the other side closed or refused the connection:
// then that was just now; a hold that is left in silence tells only that it was since the
// last answer.
func (s *Scheduler) Unanswered(now Time, id string, closed bool) {
	v := s.vms[id]
	if v == nil {
		return
	}
	if v.unansweredAt == 0 {
		v.unansweredAt, v.closedAtOnce = now, closed
	}
	v.unansweredHolds++
	if v.unansweredHolds == doubtAfter {
		s.doubtNewRuns(v)
	}
}

// doubtNewRuns records that what is new on a VM may have ended it. The record is written
// long before the VM's end can be concluded, so that the count outlives this leader.
func (s *Scheduler) doubtNewRuns(v *vm) {
	for _, r := range v.ordered {
		if r.mayHaveCrashed() {
			s.noteCrash(r, crashDoubted)
		}
	}
}

// mayHaveCrashed reports whether the run may have ended its VM: it may have begun, and is
// new.
func (r *run) mayHaveCrashed() bool {
	return (r.begun || r.confirmedAt > 0) && r.isNew()
}

// noteCrash records what the end of a run's VM says of its task.
func (s *Scheduler) noteCrash(r *run, kind crashKind) {
	t := r.task
	if t.done || t.step.occ.job.state.Final() {
		return
	}
	t.setCrash(r.number, kind)
	s.touchCrashes(t)
	s.logf(Decision{Event: EventCrashNoted, Task: t.id(), VM: r.vm.inst.ID, Run: r.number, Reason: crashKindNames[kind], Value: float64(len(t.crashes))})
}

func (t *task) setCrash(number int64, kind crashKind) {
	for i := range t.crashes {
		if t.crashes[i].run == number {
			t.crashes[i].kind = kind
			return
		}
	}
	t.crashes = append(t.crashes, crash{run: number, kind: kind})
}

func (s *Scheduler) touchCrashes(t *task) {
	j := t.step.occ.job
	s.touch(j)
	t.crashVersion = j.version
}

// clearCrash takes a run back whose VM has told of it since.
func (s *Scheduler) clearCrash(t *task, number int64) {
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return c.run == number })
	if len(t.crashes) < before {
		s.touchCrashes(t)
	}
}

// clearCrashes ends the suspicion of a task that has run on a VM without ending it.
func (s *Scheduler) clearCrashes(t *task) {
	if len(t.crashes) == 0 {
		return
	}
	t.crashes, t.intended = nil, 0
	s.touchCrashes(t)
	for _, r := range t.runs {
		s.endTrial(r)
	}
}

// suspect reports whether the task has to be started in a trial. The loss of many VMs at
// once is no ground for suspicion the first time: all that was new there would have to
// wait for trials.
func (t *task) suspect() bool {
	mass := 0
	for _, c := range t.crashes {
		if c.kind != crashMass {
			return true
		}
		mass++
	}
	return mass > 1
}

// crashedUnder takes in that a VM has ended, with what ran there. certain is false where
// only its leases are over: it may be cut off.
func (s *Scheduler) crashedUnder(now Time, v *vm, certain bool) {
	if s.hasEnded(v.inst.ID) {
		// Its entry outlived it for some seconds, and was taken for a VM that is not heard:
		// that goes with it a second time, at a moment that has to do with neither.
		return
	}
	end := v.end(now)
	others := s.endedWith(now, &end)
	storm := s.storm(now, v)
	s.ends = append(s.ends, end)
	v.endNoted = true
	if v.inst.Draining || v.closed {
		// It was to end.
		return
	}
	for _, r := range v.ordered {
		if !r.mayHaveCrashed() {
			continue
		}
		kind := crashShared
		switch {
		case others >= massVMs:
			kind = crashMass
		case certain && r.trial && r.confirmedAt > 0 && others == 0 && !storm:
			kind = crashAlone
		}
		s.noteCrash(r, kind)
		s.judgeCrashes(now, r.task)
	}
}

// judgeCrashes gives a task up that has ended its VMs.
func (s *Scheduler) judgeCrashes(now Time, t *task) {
	alone, counted := 0, 0
	for _, c := range t.crashes {
		switch c.kind {
		case crashAlone:
			alone++
			counted++
		case crashShared:
			counted++
		case crashDoubted, crashMass:
		}
	}
	if alone < crashesAlone && counted < crashesInAll {
		return
	}
	s.finish(now, t.step.occ.job, batch.Failed, "VMs ended as they began "+t.id().String())
}

// settleDoubts concludes of a task that is to be started again that the VMs of its earlier
// runs have ended: a leader that died had doubted them, and nothing was heard of them.
func (s *Scheduler) settleDoubts(now Time, t *task) {
	settled := false
	for i := range t.crashes {
		c := &t.crashes[i]
		if c.kind == crashDoubted && c.run != t.intended && !t.hasRun(c.run) {
			c.kind = crashShared
			settled = true
		}
	}
	if settled {
		s.touchCrashes(t)
		s.judgeCrashes(now, t)
	}
}

func (t *task) hasRun(number int64) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.number == number })
}

// crashesDurable reports whether the store has the task's crashes, as far as it must.
func (t *task) crashesDurable() bool {
	crashes := len(t.crashes)
	if t.intended != 0 {
		crashes--
	}
	return crashes < crashesRecorded || t.step.occ.job.written >= t.crashVersion
}

// end describes the VM's end if it has ended.
func (v *vm) end(now Time) vmEnd {
	e := vmEnd{id: v.inst.ID, aliveAt: v.heardAt, noticedAt: now}
	if v.unansweredAt > 0 {
		e.noticedAt = v.unansweredAt
	}
	if v.unansweredAt > 0 && v.closedAtOnce {
		e.aliveAt = max(e.aliveAt, e.noticedAt-closedWithin)
	}
	for _, r := range v.ordered {
		e.aliveAt = max(e.aliveAt, r.confirmedAt)
		if r.confirmedAt > 0 && r.mayHaveCrashed() && e.noticedAt-r.confirmedAt < begunJustBefore {
			e.byTask = true
		}
	}
	return e
}

// endedWith counts the other VMs that ended, or stopped to answer, about when one did, and
// that no task is likely to have ended.
func (s *Scheduler) endedWith(now Time, end *vmEnd) (others int) {
	s.ends = slices.DeleteFunc(s.ends, func(e vmEnd) bool { return now-e.noticedAt > endsKept })
	count := func(e *vmEnd) {
		if e.id == end.id || e.byTask || e.aliveAt > end.noticedAt+endedTogether || e.noticedAt < end.aliveAt-endedTogether {
			return
		}
		others++
	}
	for i := range s.ends {
		count(&s.ends[i])
	}
	for _, v := range s.vms {
		if v.unansweredAt > 0 && !v.inst.Draining && !v.closed && !s.hasEnded(v.inst.ID) {
			e := v.end(now)
			count(&e)
		}
	}
	return others
}

// takeEndBack forgets that a VM was taken to have ended: it answers again.
func (s *Scheduler) takeEndBack(v *vm) {
	v.endNoted = false
	s.ends = slices.DeleteFunc(s.ends, func(e vmEnd) bool { return e.id == v.inst.ID })
}

func (s *Scheduler) hasEnded(id string) bool {
	return slices.ContainsFunc(s.ends, func(e vmEnd) bool { return e.id == id })
}

// storm reports whether as many VMs ended of late by no task as there are others that
// answer: whatever ends them may have ended v as well.
func (s *Scheduler) storm(now Time, v *vm) bool {
	ended := 0
	for i := range s.ends {
		if !s.ends[i].byTask {
			ended++
		}
	}
	if ended < massVMs {
		return false
	}
	living := 0
	for _, o := range s.vms {
		if o != v && o.heard && !o.silent(now) && o.unansweredAt == 0 {
			living++
		}
	}
	return ended >= living
}
