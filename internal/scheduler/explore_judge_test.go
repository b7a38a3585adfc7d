package scheduler

import (
	"encoding/json"
	"fmt"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// history is what the VMs saw of a task.
type history struct {
	// starts are all runs that a VM began, with their place in the order of things.
	starts []modelStart
	// failed are the ends of failed runs that were acknowledged.
	failed []int64
	// noted is set once an end `done` was acknowledged, before its VM's lease lapsed.
	noted bool
	// crashes counts the VMs that the task has ended, afterThird its starts since the
	// third while nothing else went wrong.
	crashes, afterThird int
}

type modelStart struct {
	run  int64
	tick int64
	vm   string
}

func (w *world) history(task batch.TaskID) *history {
	h := w.tasks[task]
	if h == nil {
		h = &history{}
		w.tasks[task] = h
	}
	return h
}

// fail keeps the first thing that broke.
func (w *world) fail(task batch.TaskID, format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, args...)
		w.brokenTask = task
		w.tracef("%s broken", task)
	}
}

// judgeStart looks at a run as it begins on a VM.
func (w *world) judgeStart(v *modelVM, o Order) {
	w.starts++
	w.tick++
	w.tracef("%s run %s starts on %s", o.Task, runName(o.Run), v.id)
	for _, other := range w.vms {
		if other.dead {
			continue
		}
		w.lapse(other)
		if run := other.run(o.Task); run != 0 {
			w.fail(o.Task, "%s run %s started on %s while run %s is on %s", o.Task, runName(o.Run), v.id, runName(run), other.id)
		}
	}
	h := w.history(o.Task)
	if h.noted {
		w.fail(o.Task, "%s run %s started on %s after its end was acknowledged", o.Task, runName(o.Run), v.id)
	}
	h.starts = append(h.starts, modelStart{run: o.Run, tick: w.tick, vm: v.id})
	w.judgeCrashes(v, o, h)
	w.judgeSize(v, o)
	w.judgeAttempts(o.Task, h)
}

// evaluateCrashes looks at the start of a task that ends its VMs.
func (w *world) judgeCrashes(v *modelVM, o Order, h *history) {
	if h.crashes < mostCrashes || !w.calm || w.now < w.calmAt+stableFor {
		return
	}
	if h.afterThird++; h.afterThird >= mostAfter {
		w.fail(o.Task, "%s run %s started on %s after it had ended %d VMs", o.Task, runName(o.Run), v.id, h.crashes)
	}
}

// judgeSize looks whether a VM that begins all it is told to has room for one run more.
func (w *world) judgeSize(v *modelVM, o Order) {
	if !w.faults.resizes || w.late {
		return
	}
	if used := int64(len(v.running)+1) * taskSize; used > w.sizeThatCounts(v) {
		w.fail(o.Task, "%s run %s started on %s, which has %dm, beside %d others", o.Task, runName(o.Run), v.id, v.milliCPU, len(v.running))
	}
}

// judgeGivenUp looks at the record of a job that a leader gives up.
func (w *world) judgeGivenUp(id string, p *Progress) {
	j := w.jobs[id]
	if p.State != batch.Failed || j.attempts < manyAttempts {
		return
	}
	for task, h := range w.tasks {
		if task.Job == id && h.crashes >= isolatedCrashLimit {
			return
		}
	}
	w.fail(batch.TaskID{Job: id}, "job %s is given up, and no task of it has ended %d VMs", id, isolatedCrashLimit)
}

// wouldBreak says what the acknowledgement of an end would break: whoever notes
// that a run is done must not have started the task again meanwhile, unless the
// VM's lease lapsed before it was noted.
func (w *world) wouldBreak(e *modelEnd) string {
	if e.lapsed {
		return ""
	}
	h := w.history(e.Task)
	switch e.Kind {
	case batch.EndDone:
		for _, s := range h.starts {
			if s.tick > e.tick {
				return fmt.Sprintf("the end done of run %s, before run %s was started on %s", runName(e.Run), runName(s.run), s.vm)
			}
		}
	case batch.EndFailed:
		if s := w.overBudget(e.Task, h, append(h.failed[:len(h.failed):len(h.failed)], e.tick)); s != nil {
			return fmt.Sprintf("as many failed ends as are allowed, before run %s was started on %s", runName(s.run), s.vm)
		}
	case batch.EndStopped, batch.EndLapsed, batch.EndBroken, batch.EndAlone:
	}
	return ""
}

// acknowledged judges an end that a leader has noted.
func (w *world) acknowledged(v *modelVM, e *modelEnd) {
	w.tracef("%s run %s: its end on %s is acknowledged", e.Task, runName(e.Run), v.id)
	if what := w.wouldBreak(e); what != "" {
		w.fail(e.Task, "%s: %s acknowledged %s", e.Task, v.id, what)
	}
	h := w.history(e.Task)
	switch e.Kind {
	case batch.EndDone:
		// Where VMs are unreached for longer than their lease, a leader that has waited
		// one out may start its task while the next one hears the VM: that is lawful,
		// since what it told had lapsed.
		h.noted = h.noted || !e.lapsed || (!w.faults.list && !w.faults.alone)
	case batch.EndFailed:
		if !e.lapsed {
			h.failed = append(h.failed, e.tick)
		}
	case batch.EndStopped, batch.EndLapsed, batch.EndBroken, batch.EndAlone:
	}
}

// overBudget returns a start that came after as many failed ends as are allowed.
func (w *world) overBudget(task batch.TaskID, h *history, failed []int64) *modelStart {
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

func (w *world) judgeAttempts(task batch.TaskID, h *history) {
	if s := w.overBudget(task, h, h.failed); s != nil {
		w.fail(task, "%s run %s started on %s after as many failed ends as are allowed", task, runName(s.run), s.vm)
	}
}

// unfinished says what has not come to its end though nothing was in its way: ""
// when there is nothing of the kind.
func (w *world) unfinished() string {
	room := false
	for _, v := range w.living() {
		withheld := false
		for _, e := range v.ended {
			if w.wouldBreak(e) != "" || w.mayWithhold(e) {
				withheld = true
			}
		}
		if len(v.ended) > 0 && !withheld {
			e := v.ended[0]
			w.brokenTask = e.Task
			return fmt.Sprintf("%s: the end %s of run %s on %s is not acknowledged, nor are %d more", e.Task, e.Kind, runName(e.Run), v.id, len(v.ended)-1)
		}
		room = room || (!withheld && !v.draining)
	}
	if !room {
		// Nothing can be started any more.
		w.full = true
		return ""
	}
	for _, j := range w.store.jobs {
		if !w.final(j) {
			return fmt.Sprintf("job %s, accepted at %v, has not ended", j.spec.ID, j.at)
		}
	}
	return ""
}

// mayWithhold reports whether a leader that does not know that the VM's lease has
// lapsed would break the rule by acknowledging the end.
func (w *world) mayWithhold(e *modelEnd) bool {
	sure := *e
	sure.lapsed = false
	if w.wouldBreak(&sure) == "" {
		return false
	}
	w.overcautious++
	return true
}

// final reports whether the store says that a job has ended.
func (w *world) final(j *modelJob) bool {
	var p Progress
	record := w.store.records[j.spec.ID]
	return j.cancelled || (record != nil && json.Unmarshal(record, &p) == nil && p.State.Final())
}
