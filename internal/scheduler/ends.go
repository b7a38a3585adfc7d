package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// retryDelay is the wait before a task that failed is started again; it grows
// with each failure, so that a task that always fails leaves room to others.
const retryDelay = 50 * time.Millisecond

// processEnd takes the end of a run over. Ends are told again until they are
// acknowledged, to this leader and to the next: all of it is idempotent.
func (s *Scheduler) processEnd(now Time, v *vm, e *batch.RunEnd) {
	r := v.runs[e.Task]
	if r != nil && r.number != e.Run {
		r = nil
	}
	var lasted time.Duration
	if r != nil {
		lasted = now - r.orderedAt
	}
	s.logf(Decision{Event: EventRunEnded, Task: e.Task, VM: v.inst.ID, Run: e.Run, Reason: string(e.Kind), Age: lasted})
	s.openReported(now, e.Task)
	t := s.task(e.Task)
	if t != nil && e.Checkpoint != "" && !t.done && e.Run >= t.latestStarted() {
		// An older run's is behind that of the one that was started after it.
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
			r.recordDoneRate(now)
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

// clearCrashesOnEnd clears a task of what its VM has told of a run: the VM has not ended under
// it. One that ended by itself has done its work, or failed, without ending its VM.
func (s *Scheduler) clearCrashesOnEnd(now Time, t *task, e *batch.RunEnd) {
	if e.Kind == batch.EndDone || e.Kind == batch.EndFailed {
		s.clearCrashes(now, t)
		return
	}
	s.clearCrash(t, e.Run)
}

// logUncountedEnd logs an end that does not count: without the line nobody could tell
// afterwards that a task had ended well twice, and which run was taken.
func (s *Scheduler) logUncountedEnd(v *vm, e *batch.RunEnd, t *task) {
	switch {
	case t == nil:
		s.logf(Decision{Event: EventEndUntracked, Task: e.Task, VM: v.inst.ID, Run: e.Run, Reason: s.untrackedReason(e.Task)})
	case t.done && e.Kind == batch.EndDone && e.Run != t.doneRun:
		s.logf(Decision{Event: EventEndSuperseded, Task: e.Task, VM: v.inst.ID, Run: e.Run, Reason: "run " + strconv.FormatInt(t.doneRun, 10) + " counts"})
	}
}

// untrackedReason says why a task is not kept.
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
		// One end stands for the whole gang.
		for k := range t.step.tasks {
			s.markDone(now, &t.step.tasks[k], number)
		}
	} else {
		s.markDone(now, t, number)
	}
	s.markDirty(t.step.occ.job)
	if t.step.tasksLeft == 0 {
		s.stepDone(now, t.step)
	}
	s.planNeeded = true
}

func (s *Scheduler) markDone(now Time, t *task, number int64) {
	if t.done {
		return
	}
	t.done = true
	t.doneRun = number
	t.step.tasksLeft--
	if len(t.runs) == 0 {
		t.step.waiting--
	}
	if !t.step.spec.Gang {
		s.stopRuns(now, t, "copy done")
	}
}

// taskFailed counts a failed run once, however often its end is told.
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

// failedGangRuns counts the runs of a gang that failed: its members share a run's number,
// and several may fail before the others are ended.
func (st *step) failedGangRuns() int {
	failed := map[int64]bool{}
	for k := range st.tasks {
		for _, number := range st.tasks[k].failedRuns {
			failed[number] = true
		}
	}
	return len(failed)
}

// attachRun counts a run on its VM and task.
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

// releaseRun takes a run that has ended off its VM and its task.
func (s *Scheduler) releaseRun(now Time, r *run) {
	r.task.latestRun = max(r.task.latestRun, r.number)
	s.detachRun(now, r)
}

// detachRun takes a run off its VM and its task that has never been started.
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

// PrepareStart reports whether a start that was ordered a while ago is still to be given.
// Orders wait for their turn where there are many of them; meanwhile a copy may
// have ended, or the job been cancelled, and a start that is carried out after
// that runs what is done already. A run that is not begun has certainly never
// started.
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
		// It had room when the start was decided.
		s.dropStart(now, r, "no room")
	case !v.entryMatchesIncarnation():
		s.dropStart(now, r, reasonRestarted)
	default:
		r.startSent, r.startSentAt = true, now
		return true
	}
	return false
}

// Started takes the outcome of a start order over. err is nil when the VM has
// the run, a refusal when it certainly has not and never will, and anything else
// when that is not known: then the run is stopped, since only a confirmed stop
// keeps a late start from happening.
// clockValue is the VM's clock, 0 where it was not told.
func (s *Scheduler) Started(now, sentAt Time, o Order, clockValue time.Duration, refusal batch.Refusal, unknown bool) {
	v := s.vms[o.Instance.ID]
	if v == nil {
		return
	}
	clockWentBack := clockValue > 0 && v.clock.gotAt <= sentAt && clockValue < v.clock.value
	if clockWentBack || (refusal == batch.RefusedRestarted && v.lastReportAt <= sentAt) {
		// Another start has answered: nothing more is given to it before it has reported.
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

// confirmStart notes that the VM has the run. Only then has its job begun: an order may
// wait for its turn.
func (r *run) confirmStart(now Time) {
	r.state, r.startSent = running, true
	r.confirmedAt = now
	if r.startSentAt == 0 {
		r.startSentAt = now
	}
	r.task.step.occ.job.started = true
}

// Stopped notes that a VM confirmed a stop: the run has ended or never starts.
func (s *Scheduler) Stopped(now Time, o Order) {
	v := s.vms[o.Instance.ID]
	if v == nil {
		return
	}
	if r := v.runs[o.Task]; r != nil && r.number == o.Run {
		r.stopConfirmedAt = now
	}
}
