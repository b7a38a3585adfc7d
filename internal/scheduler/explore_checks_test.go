package scheduler

import (
	"encoding/json"
	"fmt"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// taskHistory holds what the VMs observed of a task.
type taskHistory struct {
	// starts are all runs that a VM started, with their ticks.
	starts []modelStart
	// failedTicks are the ticks of the acknowledged ends of failed runs.
	failedTicks []int64
	// doneAcked is set when an end `done` is acknowledged before its VM's lease has expired.
	doneAcked bool
	// crashes counts the VMs that the task has crashed, excessStarts its starts after the
	// third crash in the stable, fault-free phase.
	crashes, excessStarts int
}

type modelStart struct {
	run  int64
	tick int64
	vm   string
}

func (w *world) history(task batch.TaskID) *taskHistory {
	h := w.tasks[task]
	if h == nil {
		h = &taskHistory{}
		w.tasks[task] = h
	}
	return h
}

// fail records a violation unless there is an earlier one.
func (w *world) fail(task batch.TaskID, format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, args...)
		w.violationTask = task
		w.tracef("%s: violation", task)
	}
}

// checkStart checks that the task runs nowhere else and may be started, as a VM starts it.
func (w *world) checkStart(v *modelVM, o Order) {
	w.starts++
	w.tick++
	w.tracef("%s run %s starts on %s", o.Task, runLabel(o.Run), v.id)
	for _, other := range w.vms {
		if other.dead {
			continue
		}
		w.enforceLease(other)
		if run := other.runNumber(o.Task); run != 0 {
			w.fail(o.Task, "%s run %s started on %s while run %s is running on %s", o.Task, runLabel(o.Run), v.id, runLabel(run), other.id)
		}
	}
	h := w.history(o.Task)
	if h.doneAcked {
		w.fail(o.Task, "%s run %s started on %s after its end was acknowledged", o.Task, runLabel(o.Run), v.id)
	}
	h.starts = append(h.starts, modelStart{run: o.Run, tick: w.tick, vm: v.id})
	w.checkCrashLimit(v, o, h)
	w.checkCapacity(v, o)
	w.checkEvacuation(v, o)
	w.checkAttempts(o.Task, h)
}

// checkCrashLimit checks how often a task is started after its third crash.
func (w *world) checkCrashLimit(v *modelVM, o Order, h *taskHistory) {
	if h.crashes < crashLimit || !w.faultFree || w.now < w.faultFreeSince+stableDuration {
		return
	}
	if h.excessStarts++; h.excessStarts >= excessStartLimit {
		w.fail(o.Task, "%s run %s started on %s after the task had crashed %d VMs", o.Task, runLabel(o.Run), v.id, h.crashes)
	}
}

// checkCapacity checks that a VM that accepts each start has capacity for one more run.
func (w *world) checkCapacity(v *modelVM, o Order) {
	if !w.faults.resizes || w.lateDelivery {
		return
	}
	if used := int64(len(v.running)+1) * taskSize; used > w.maxRecentSize(v) {
		w.fail(o.Task, "%s run %s started on %s, which has %dm, in addition to %d others", o.Task, runLabel(o.Run), v.id, v.milliCPU, len(v.running))
	}
}

// checkFailedJob checks that a job which fails for crashes has a task that crashed VMs.
func (w *world) checkFailedJob(id string, p *Progress) {
	j := w.jobs[id]
	if p.State != batch.Failed || j.attempts < unlimitedAttempts {
		return
	}
	for task, h := range w.tasks {
		if task.Job == id && h.crashes >= isolatedCrashLimit {
			return
		}
	}
	w.fail(batch.TaskID{Job: id}, "job %s failed although none of its tasks has crashed %d VMs", id, isolatedCrashLimit)
}

// ackViolation describes the rule that acknowledging the end would violate, or returns "". A task
// must not have been started again between the end of its run and the acknowledgement, unless the
// VM's lease has expired before the acknowledgement.
func (w *world) ackViolation(e *modelEnd) string {
	if e.leaseExpired {
		return ""
	}
	h := w.history(e.Task)
	switch e.Kind {
	case batch.EndDone:
		for _, s := range h.starts {
			if s.tick > e.tick {
				return fmt.Sprintf("the end done of run %s, which precedes the start of run %s on %s", runLabel(e.Run), runLabel(s.run), s.vm)
			}
		}
	case batch.EndFailed:
		if s := w.startBeyondAttempts(e.Task, h, append(h.failedTicks[:len(h.failedTicks):len(h.failedTicks)], e.tick)); s != nil {
			return fmt.Sprintf("the last allowed failed end, which precedes the start of run %s on %s", runLabel(s.run), s.vm)
		}
	case batch.EndStopped, batch.EndLapsed, batch.EndBroken, batch.EndAlone:
	}
	return ""
}

// checkAck checks that an end may be acknowledged.
func (w *world) checkAck(v *modelVM, e *modelEnd) {
	w.tracef("%s run %s: end on %s acknowledged", e.Task, runLabel(e.Run), v.id)
	if violation := w.ackViolation(e); violation != "" {
		w.fail(e.Task, "%s: %s acknowledged %s", e.Task, v.id, violation)
	}
	h := w.history(e.Task)
	switch e.Kind {
	case batch.EndDone:
		// If a VM is unreachable for longer than its lease, a leader that waited for the lease
		// to expire may start the task while the next leader receives the VM's report. That is
		// allowed, because the reported lease had expired.
		h.doneAcked = h.doneAcked || !e.leaseExpired || (!w.faults.unlistedVMs && !w.faults.splitLeaders)
	case batch.EndFailed:
		if !e.leaseExpired {
			h.failedTicks = append(h.failedTicks, e.tick)
		}
	case batch.EndStopped, batch.EndLapsed, batch.EndBroken, batch.EndAlone:
	}
}

// startBeyondAttempts returns a start that follows the last allowed failed end, or nil.
func (w *world) startBeyondAttempts(task batch.TaskID, h *taskHistory, failed []int64) *modelStart {
	allowed := w.jobs[task.Job].attempts
	for i := range h.starts {
		failures := 0
		for _, tick := range failed {
			if tick < h.starts[i].tick {
				failures++
			}
		}
		if failures >= allowed {
			return &h.starts[i]
		}
	}
	return nil
}

func (w *world) checkAttempts(task batch.TaskID, h *taskHistory) {
	if s := w.startBeyondAttempts(task, h, h.failedTicks); s != nil {
		w.fail(task, "%s run %s started on %s after the last allowed failed end", task, runLabel(s.run), s.vm)
	}
}

// unfinished describes an end that was not acknowledged or a job that has not ended although
// nothing prevented it. It returns "" if there is none.
func (w *world) unfinished() string {
	hasCapacity := false
	for _, v := range w.living() {
		withheld := false
		for _, e := range v.ended {
			if w.ackViolation(e) != "" || w.mayWithholdAck(e) {
				withheld = true
			}
		}
		if len(v.ended) > 0 && !withheld {
			e := v.ended[0]
			w.violationTask = e.Task
			return fmt.Sprintf("%s: the end %s of run %s on %s and %d more are not acknowledged", e.Task, e.Kind, runLabel(e.Run), v.id, len(v.ended)-1)
		}
		hasCapacity = hasCapacity || (!withheld && !v.draining && w.evacuatedAt[v.zone] == 0)
	}
	if !hasCapacity {
		// No VM can start anything.
		w.saturated = true
		return ""
	}
	for _, j := range w.store.jobs {
		if !w.isFinal(j) {
			return fmt.Sprintf("job %s, accepted at %v, has not ended", j.spec.ID, j.acceptedAt)
		}
	}
	return ""
}

// mayWithholdAck reports whether acknowledging the end would violate a rule from the view of a
// leader that is not aware of the expiry of the VM's lease.
func (w *world) mayWithholdAck(e *modelEnd) bool {
	unexpired := *e
	unexpired.leaseExpired = false
	if w.ackViolation(&unexpired) == "" {
		return false
	}
	w.withheldAcks++
	return true
}

// isFinal reports whether a job was cancelled or its record has a final state.
func (w *world) isFinal(j *modelJob) bool {
	var p Progress
	record := w.store.records[j.spec.ID]
	return j.cancelled || (record != nil && json.Unmarshal(record, &p) == nil && p.State.Final())
}
