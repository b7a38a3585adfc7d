package scheduler

import (
	"encoding/json"
	"fmt"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// taskHistory is what the VMs saw of a task.
type taskHistory struct {
	// starts are all runs that a VM began, with their place in the order of things.
	starts []modelStart
	// failedTicks are the ends of failed runs that were acknowledged.
	failedTicks []int64
	// doneAcked is set once an end `done` was acknowledged, before its VM's lease lapsed.
	doneAcked bool
	// crashes counts the VMs that the task has ended, excessStarts its starts since the
	// third while nothing else went wrong.
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

// fail keeps the first thing that broke.
func (w *world) fail(task batch.TaskID, format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, args...)
		w.violationTask = task
		w.tracef("%s broken", task)
	}
}

// checkStart looks at a run as it begins on a VM.
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
			w.fail(o.Task, "%s run %s started on %s while run %s is on %s", o.Task, runLabel(o.Run), v.id, runLabel(run), other.id)
		}
	}
	h := w.history(o.Task)
	if h.doneAcked {
		w.fail(o.Task, "%s run %s started on %s after its end was acknowledged", o.Task, runLabel(o.Run), v.id)
	}
	h.starts = append(h.starts, modelStart{run: o.Run, tick: w.tick, vm: v.id})
	w.checkCrashLimit(v, o, h)
	w.checkCapacity(v, o)
	w.checkAttempts(o.Task, h)
}

// evaluateCrashes looks at the start of a task that ends its VMs.
func (w *world) checkCrashLimit(v *modelVM, o Order, h *taskHistory) {
	if h.crashes < crashLimit || !w.faultFree || w.now < w.faultFreeSince+stableDuration {
		return
	}
	if h.excessStarts++; h.excessStarts >= excessStartLimit {
		w.fail(o.Task, "%s run %s started on %s after it had ended %d VMs", o.Task, runLabel(o.Run), v.id, h.crashes)
	}
}

// checkCapacity looks whether a VM that begins all it is told to has room for one run more.
func (w *world) checkCapacity(v *modelVM, o Order) {
	if !w.faults.resizes || w.lateDelivery {
		return
	}
	if used := int64(len(v.running)+1) * taskSize; used > w.maxRecentSize(v) {
		w.fail(o.Task, "%s run %s started on %s, which has %dm, beside %d others", o.Task, runLabel(o.Run), v.id, v.milliCPU, len(v.running))
	}
}

// checkFailedJob looks at the record of a job that a leader gives up.
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
	w.fail(batch.TaskID{Job: id}, "job %s is given up, and no task of it has ended %d VMs", id, isolatedCrashLimit)
}

// ackViolation says what the acknowledgement of an end would break: whoever notes
// that a run is done must not have started the task again meanwhile, unless the
// VM's lease lapsed before it was noted.
func (w *world) ackViolation(e *modelEnd) string {
	if e.leaseExpired {
		return ""
	}
	h := w.history(e.Task)
	switch e.Kind {
	case batch.EndDone:
		for _, s := range h.starts {
			if s.tick > e.tick {
				return fmt.Sprintf("the end done of run %s, before run %s was started on %s", runLabel(e.Run), runLabel(s.run), s.vm)
			}
		}
	case batch.EndFailed:
		if s := w.startBeyondAttempts(e.Task, h, append(h.failedTicks[:len(h.failedTicks):len(h.failedTicks)], e.tick)); s != nil {
			return fmt.Sprintf("as many failed ends as are allowed, before run %s was started on %s", runLabel(s.run), s.vm)
		}
	case batch.EndStopped, batch.EndLapsed, batch.EndBroken, batch.EndAlone:
	}
	return ""
}

// checkAck judges an end that a leader has noted.
func (w *world) checkAck(v *modelVM, e *modelEnd) {
	w.tracef("%s run %s: its end on %s is acknowledged", e.Task, runLabel(e.Run), v.id)
	if what := w.ackViolation(e); what != "" {
		w.fail(e.Task, "%s: %s acknowledged %s", e.Task, v.id, what)
	}
	h := w.history(e.Task)
	switch e.Kind {
	case batch.EndDone:
		// Where VMs are unreached for longer than their lease, a leader that has waited
		// one out may start its task while the next one hears the VM: that is lawful,
		// since what it told had lapsed.
		h.doneAcked = h.doneAcked || !e.leaseExpired || (!w.faults.unlistedVMs && !w.faults.splitLeaders)
	case batch.EndFailed:
		if !e.leaseExpired {
			h.failedTicks = append(h.failedTicks, e.tick)
		}
	case batch.EndStopped, batch.EndLapsed, batch.EndBroken, batch.EndAlone:
	}
}

// startBeyondAttempts returns a start that came after as many failed ends as are allowed.
func (w *world) startBeyondAttempts(task batch.TaskID, h *taskHistory, failed []int64) *modelStart {
	allowed := w.jobs[task.Job].attempts
	for i := range h.starts {
		before := 0
		for _, tick := range failed {
			if tick < h.starts[i].tick {
				before++
			}
		}
		if before >= allowed {
			return &h.starts[i]
		}
	}
	return nil
}

func (w *world) checkAttempts(task batch.TaskID, h *taskHistory) {
	if s := w.startBeyondAttempts(task, h, h.failedTicks); s != nil {
		w.fail(task, "%s run %s started on %s after as many failed ends as are allowed", task, runLabel(s.run), s.vm)
	}
}

// unfinished says what has not come to its end though nothing was in its way: ""
// when there is nothing of the kind.
func (w *world) unfinished() string {
	room := false
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
			return fmt.Sprintf("%s: the end %s of run %s on %s is not acknowledged, nor are %d more", e.Task, e.Kind, runLabel(e.Run), v.id, len(v.ended)-1)
		}
		room = room || (!withheld && !v.draining)
	}
	if !room {
		// Nothing can be started any more.
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

// mayWithholdAck reports whether a leader that does not know that the VM's lease has
// lapsed would break the rule by acknowledging the end.
func (w *world) mayWithholdAck(e *modelEnd) bool {
	sure := *e
	sure.leaseExpired = false
	if w.ackViolation(&sure) == "" {
		return false
	}
	w.withheldAcks++
	return true
}

// isFinal reports whether the store says that a job has ended.
func (w *world) isFinal(j *modelJob) bool {
	var p Progress
	record := w.store.records[j.spec.ID]
	return j.cancelled || (record != nil && json.Unmarshal(record, &p) == nil && p.State.Final())
}
