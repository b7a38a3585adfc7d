package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// retryDelay is the delay before a failed task is started again. It grows with each
// failure, so that a task that always fails leaves capacity to others.
const retryDelay = 50 * time.Millisecond

// processEnd applies the end of a run. It is idempotent, since a VM repeats an end to
// this leader and its successors until it is acknowledged.
func (s *Scheduler) processEnd(now Time, v *vm, e *batch.RunEnd) {
	r := v.runs[e.Task]
	if r != nil && r.number != e.Run {
		r = nil
	}
	var age time.Duration
	if r != nil {
		age = now - r.orderedAt
	}
	s.logf(Decision{Event: EventRunEnded, Task: e.Task, VM: v.inst.ID, Run: e.Run, Reason: string(e.Kind), Age: age})
	s.openReported(now, e.Task)
	t := s.task(e.Task)
	if t != nil && e.Checkpoint != "" && !t.done && e.Run >= t.latestStarted() {
		// The checkpoint of an older run is behind that of a later one.
		t.checkpoint = e.Checkpoint
	}
	if r != nil {
		r.task.step.occ.job.started = true
		s.updateHealth(now, r, e.Kind)
	}
	s.logUncountedEnd(v, e, t)
	if t != nil {
		s.clearCrashesOnEnd(now, t, e)
	}
	if t == nil || t.step.occ.job.state.Final() {
		if r != nil {
			s.releaseRun(now, r)
		}
		return
	}
	switch e.Kind {
	case batch.EndDone:
		if r != nil {
			if s.settings.FarFactor <= 1 || s.placeOf(r) != PlaceAway {
				s.learnSpeed(now, r)
			}
			s.recordDoneRate(now, r)
			r.measureDuration(now)
			s.releaseRun(now, r)
		}
		s.taskDone(now, t, e.Run)
		return
	case batch.EndFailed:
		s.taskFailed(now, t, v, e.Run)
	case batch.EndStopped, batch.EndLapsed, batch.EndBroken, batch.EndAlone:
		// Not the task's fault: no attempt is counted.
	}
	if r != nil {
		s.releaseRun(now, r)
	}
}

// clearCrashesOnEnd removes the crash of a run whose end its VM reported, since the VM
// survived it. A run that completed or failed by itself clears all crashes of the task.
func (s *Scheduler) clearCrashesOnEnd(now Time, t *task, e *batch.RunEnd) {
	if e.Kind == batch.EndDone || e.Kind == batch.EndFailed {
		s.clearCrashes(now, t)
		return
	}
	s.clearCrash(t, e.Run)
}

// logUncountedEnd logs an end that has no effect. The log line shows that a task was
// completed twice and which run counts.
func (s *Scheduler) logUncountedEnd(v *vm, e *batch.RunEnd, t *task) {
	switch {
	case t == nil:
		s.logf(Decision{Event: EventEndUntracked, Task: e.Task, VM: v.inst.ID, Run: e.Run, Reason: s.untrackedReason(e.Task)})
	case t.done && e.Kind == batch.EndDone && e.Run != t.doneRun:
		s.logf(Decision{Event: EventEndSuperseded, Task: e.Task, VM: v.inst.ID, Run: e.Run, Reason: "run " + strconv.FormatInt(t.doneRun, 10) + " counts"})
	}
}

// untrackedReason returns why there is no open task with the ID.
func (s *Scheduler) untrackedReason(id batch.TaskID) string {
	j := s.jobs[id.Job]
	switch {
	case j == nil:
		return "no such job"
	case j.held:
		return "job held"
	case j.state.Final():
		return "job " + string(j.state)
	case id.Occurrence < j.doneLow || j.doneOccs[id.Occurrence]:
		return "occurrence ended"
	}
	return "no such task"
}

func (s *Scheduler) taskDone(now Time, t *task, number int64) {
	if t.step.spec.Lasting || t.done {
		return
	}
	if t.step.spec.Gang {
		// The end of one member completes the whole gang.
		for k := range t.step.tasks {
			s.markDone(now, &t.step.tasks[k], number)
		}
	} else {
		s.markDone(now, t, number)
	}
	s.markDirty(t.step.occ.job)
	if t.step.tasksLeft == 0 {
		s.observeStepDuration(t.step)
		s.stepDone(now, t.step)
	}
	s.planNeeded = true
}

func (s *Scheduler) markDone(now Time, t *task, number int64) {
	if t.done {
		return
	}
	s.recordCopyEnd(now, t, number)
	t.done = true
	t.doneRun = number
	s.recordDone(t)
	t.step.tasksLeft--
	if len(t.runs) == 0 {
		t.step.waiting--
	}
	if !t.step.spec.Gang {
		s.stopRuns(now, t, "copy done")
	}
}

// taskFailed counts a failed run once, however often its end is reported.
func (s *Scheduler) taskFailed(now Time, t *task, v *vm, number int64) {
	if t.done || slices.Contains(t.failedRuns, number) {
		return
	}
	t.failedRuns = append(t.failedRuns, number)
	t.lastFailedOn = v.inst.ID
	if t.step.spec.Lasting {
		t.notBefore = now + retryDelay
		return
	}
	failures := len(t.failedRuns)
	if t.step.spec.Gang {
		failures = t.step.failedGangRuns()
	}
	t.notBefore = now + time.Duration(failures)*retryDelay
	j := t.step.occ.job
	s.markDirty(j)
	if failures >= j.maxAttempts {
		s.finish(now, j, batch.Failed, "a task failed "+t.id().String())
	}
}

// failedGangRuns counts the failed runs of a gang. Its members share a run number, and
// several of them may fail before the others are ended.
func (st *step) failedGangRuns() int {
	failed := map[int64]bool{}
	for k := range st.tasks {
		for _, number := range st.tasks[k].failedRuns {
			failed[number] = true
		}
	}
	return len(failed)
}

// attachRun adds a run to its VM and task.
func (s *Scheduler) attachRun(r *run) {
	v, spec := r.vm, r.task.step.spec
	v.runs[r.task.id()] = r
	v.runList = append(v.runList, r)
	v.health.recordStart(r)
	v.tailsStale = true
	v.occupy(spec)
	if spec.Serves() {
		if v.servingRuns == 0 {
			s.nonServingVMs--
		}
		v.servingRuns++
		v.servingCPU += spec.Need.MilliCPU
	}
	st := r.task.step
	if len(r.task.runs) == 0 && !r.task.done {
		st.waiting--
	}
	r.task.runs = append(r.task.runs, r)
	st.occ.job.running++
	st.addPerVM(v)
}

// releaseRun removes an ended run from its VM and its task.
func (s *Scheduler) releaseRun(now Time, r *run) {
	r.task.latestRun = max(r.task.latestRun, r.number)
	s.detachRun(now, r)
}

// detachRun removes a run from its VM and its task. Called directly, it is for runs that
// were never started.
func (s *Scheduler) detachRun(now Time, r *run) {
	if r.released {
		return
	}
	r.released = true
	s.endTrial(r)
	v, t := r.vm, r.task
	spec := t.step.spec
	delete(v.runs, t.id())
	v.runList = slices.DeleteFunc(slices.Clone(v.runList), func(o *run) bool { return o == r })
	v.tailsStale = true
	if spec.Filler {
		s.recordEndedFiller(now, r)
	}
	v.vacate(spec)
	if spec.Serves() {
		v.servingRuns--
		v.servingCPU -= spec.Need.MilliCPU
	}
	t.step.removePerVM(v)
	if i := slices.Index(t.runs, r); i >= 0 {
		t.runs = slices.Delete(t.runs, i, i+1)
	}
	t.step.occ.job.running--
	t.lastRunEnd = now
	if len(t.runs) == 0 && !t.done {
		t.step.waiting++
		s.enqueue(t.step)
	}
	s.planNeeded = true
}

// stopRuns orders all runs of a task to stop.
func (s *Scheduler) stopRuns(now Time, t *task, reason string) {
	for _, r := range t.runs {
		s.stop(now, r, reason)
	}
}

func (s *Scheduler) stop(now Time, r *run, reason string) {
	if r.state == stopping {
		return
	}
	r.state = stopping
	s.logf(Decision{Event: EventRunStopped, Task: r.task.id(), VM: r.vm.inst.ID, Run: r.number, Reason: reason, Age: now - r.orderedAt})
	s.orderStop(r.vm, r.task.id(), r.number)
}

func (s *Scheduler) orderStop(v *vm, id batch.TaskID, number int64) {
	s.orders = append(s.orders, Order{Kind: OrderStop, Instance: v.inst, Task: id, Run: number})
}

// PrepareStart reports whether an ordered start is still to be sent and records that it
// is. Orders may wait in a backlog; meanwhile a copy may have ended or the job been
// cancelled, and the start would then repeat finished work. A run whose start is dropped
// here has certainly never begun.
func (s *Scheduler) PrepareStart(now Time, o Order) bool {
	v := s.vms[o.Instance.ID]
	if v == nil {
		return false
	}
	r := v.runs[o.Task]
	if r == nil || r.number != o.Run {
		return false
	}
	switch {
	case r.state == stopping:
		s.dropStart(now, r, "stopped")
	case s.mayExceedCapacity(now, v):
		// The capacity was sufficient when the start was decided.
		s.dropStart(now, r, "no room")
	case !v.entryMatchesIncarnation():
		s.dropStart(now, r, reasonRestarted)
	case v.evacuated:
		s.dropStart(now, r, reasonEvacuated)
	default:
		r.startSent, r.startSentAt = true, now
		return true
	}
	return false
}

// Started processes the outcome of a start order that was sent at sentAt. A refusal
// means that the VM does not have the run and never will. If unknown is set, the VM may
// or may not have it, and the run is stopped, since only a confirmed stop prevents a
// late start. Otherwise the VM has the run. clockValue is the VM's clock, 0 if not
// reported.
func (s *Scheduler) Started(now, sentAt Time, o Order, clockValue time.Duration, refusal batch.Refusal, unknown bool) {
	v := s.vms[o.Instance.ID]
	if v == nil {
		return
	}
	clockRegressed := clockValue > 0 && v.clock.gotAt <= sentAt && clockValue < v.clock.value
	if clockRegressed || (refusal == batch.RefusedRestarted && v.lastReportAt <= sentAt) {
		// Another incarnation responded; it gets nothing more until it has reported.
		v.otherIncarnation = true
	}
	r := v.runs[o.Task]
	if r == nil || r.number != o.Run {
		return
	}
	switch {
	case unknown:
		s.logf(Decision{Event: EventStartUnknown, Task: o.Task, VM: v.inst.ID, Run: o.Run, Age: now - r.orderedAt})
		v.health.recordUnanswered(now)
		s.stop(now, r, "start unknown")
	case refusal != "":
		s.logf(Decision{Event: EventStartRefused, Task: o.Task, VM: v.inst.ID, Run: o.Run, Reason: string(refusal), Age: now - r.orderedAt})
		v.health.recordRefusal(now, refusal)
		if refusal == batch.RefusedTicket {
			r.task.step.dropTicket(v.inst.ID)
		}
		r.task.notBefore = now + retryDelay
		s.clearCrash(r.task, r.number)
		s.detachRun(now, r)
	case r.state == starting:
		r.confirmStart(now)
		if s.policy.PaceAtStart && r.task.step.spec.Filler {
			s.updatePaces(now, v)
		}
	}
}

// confirmStart records that the VM has the run. Only now does its job count as started,
// since an order may wait in a backlog before it is sent.
func (r *run) confirmStart(now Time) {
	r.state, r.startSent = running, true
	r.confirmedAt = now
	if r.startSentAt == 0 {
		r.startSentAt = now
	}
	r.task.step.occ.job.started = true
}

// Stopped records that a VM confirmed a stop: the run has ended or will never start.
func (s *Scheduler) Stopped(now Time, o Order) {
	v := s.vms[o.Instance.ID]
	if v == nil {
		return
	}
	if r := v.runs[o.Task]; r != nil && r.number == o.Run {
		r.stopConfirmedAt = now
	}
}
