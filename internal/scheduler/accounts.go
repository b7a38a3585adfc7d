package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// An end may be acknowledged once it is accounted for: its effect is in a durable
// record, or it has none for certain. What is acknowledged is forgotten at its VM:
// the end of a job that this leader has yet to learn would be lost, and the task
// started again; and an end of a run that does not count would make two of one task.

// takeEnds takes those ends over that are new.
func (s *Scheduler) takeEnds(now Time, v *vm, ends []batch.RunEnd) {
	known := v.seen
	for i := range ends {
		if ends[i].Kind == batch.EndLapsed {
			v.lapsedSeq = max(v.lapsedSeq, ends[i].Seq)
		}
	}
	for i := range ends {
		e := &ends[i]
		if e.Seq <= known {
			continue
		}
		v.seen = max(v.seen, e.Seq)
		if s.untold(e.Task.Job) {
			s.deferEnd(now, v, e)
			continue
		}
		s.account(now, v, e)
	}
}

// account takes one end of a known job over.
func (s *Scheduler) account(now Time, v *vm, e *batch.RunEnd) {
	s.openTold(now, e.Task)
	if e.Kind == batch.EndDone && !v.lapsedAfter(e) && s.superseded(e) {
		s.withhold(v, e)
		return
	}
	s.ended(now, v, e)
}

// lapsedAfter reports whether every lease on the VM was over at some moment after
// the end: then the run was given up rightly, and its end binds nobody. The VM tells of
// a lapse only where something was running still.
func (v *vm) lapsedAfter(e *batch.RunEnd) bool {
	return e.Seq < v.lapsedSeq || e.Run <= v.lapsedRun
}

// superseded reports whether a later run of the task was started although this end
// says that it was done. Run numbers rise with each start.
func (s *Scheduler) superseded(e *batch.RunEnd) bool {
	j := s.jobs[e.Task.Job]
	if j == nil || e.Task.Step >= len(j.spec.Steps) {
		return false
	}
	if spec := &j.spec.Steps[e.Task.Step]; spec.Speculative || spec.Lasting {
		return false
	}
	if t := s.task(e.Task); t != nil {
		return t.latest() > e.Run
	}
	return j.countedRun(e.Task) > e.Run
}

// latest is the highest number of a run of the task that may have been started.
func (t *task) latest() int64 {
	latest := max(t.latestRun, t.doneRun)
	for _, r := range t.runs {
		latest = max(latest, r.number)
	}
	return latest
}

// withhold leaves an end unacknowledged for good: the task was started again, though
// no lease ran out in between. The later run counts; to take note of the first one's
// end now would make two of it. What comes after it can't be acknowledged either, so
// that the VM gets nothing new.
func (s *Scheduler) withhold(v *vm, e *batch.RunEnd) {
	if v.ackLimit == 0 {
		v.ackLimit = e.Seq
	}
	s.logf(Decision{Event: EventEndWithheld, Task: e.Task, VM: v.inst.ID, Run: e.Run})
}

// accounted is the highest end up to which all are accounted for, once what is
// pending is written.
func (v *vm) accounted() int64 {
	mark := v.seen
	if v.ackLimit > 0 {
		mark = min(mark, v.ackLimit-1)
	}
	for seq := range v.deferred {
		mark = min(mark, seq-1)
	}
	return mark
}

// acked is the highest end that may be acknowledged.
func (v *vm) acked() int64 { return v.durable }

// untold reports whether a VM may know more of a job than this leader: its watch is
// late or silent, and an earlier leader took the job on; or the job is held, since what
// is known of it can't be read.
func (s *Scheduler) untold(job string) bool {
	if j := s.jobs[job]; j != nil {
		return j.held && !j.state.Final()
	}
	_, absent := s.absent[job]
	return !absent
}

func (s *Scheduler) noteUntold(now Time, job string) {
	if s.jobs[job] != nil {
		return
	}
	if _, noted := s.untoldSince[job]; !noted {
		s.untoldSince[job] = now
	}
}

// deferEnd keeps an end until its job is known, or known not to exist.
func (s *Scheduler) deferEnd(now Time, v *vm, e *batch.RunEnd) {
	if v.deferred == nil {
		v.deferred = map[int64]batch.RunEnd{}
	}
	v.deferred[e.Seq] = *e
	s.noteUntold(now, e.Task.Job)
	s.logf(Decision{Event: EventEndDeferred, Task: e.Task, VM: v.inst.ID, Run: e.Run, Reason: string(e.Kind)})
}

// noteStranger notes a run of a job that is not known, or held: the VM gets nothing
// new while nobody knows what the run needs.
func (v *vm) noteStranger(st *batch.RunStatus) {
	if v.strangers == nil {
		v.strangers = map[batch.TaskID]int64{}
	}
	v.strangers[st.Task] = st.Run
}

// Untold returns the jobs that VMs have told of for so long and that this leader does
// not know, by ID. The store has to be asked: each is then to be given to Submit or Absent.
func (s *Scheduler) Untold(now Time, since time.Duration) []string {
	var ids []string
	for id, told := range s.untoldSince {
		if now-told >= since {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// unreadablePause is the pause before a job whose record can't be read is asked for
// again: somebody has to mend it.
const unreadablePause = 5 * time.Second

// Unreadable notes that the store has such a job, whose record can't be read: what VMs
// tell of it is kept.
func (s *Scheduler) Unreadable(now Time, id string) {
	if s.jobs[id] == nil {
		s.untoldSince[id] = now + unreadablePause
	}
}

// absentFor is how long it is remembered that a job does not exist, in which its
// VMs' next reports come in. After that the store is asked anew.
const absentFor = time.Minute

// Absent notes that the store has no such job: its record was removed long after its
// end. What VMs tell of it has no effect.
func (s *Scheduler) Absent(now Time, id string) {
	if s.jobs[id] != nil {
		return
	}
	s.absent[id] = now
	s.settle(now, id)
}

// forgetAbsent drops what is old of the jobs that do not exist.
func (s *Scheduler) forgetAbsent(now Time) {
	for id, at := range s.absent {
		if now-at > absentFor {
			delete(s.absent, id)
		}
	}
}

// settle takes over what VMs have told of a job before it was known, or while it was
// held: ends first, in their order.
func (s *Scheduler) settle(now Time, id string) {
	if _, told := s.untoldSince[id]; !told && (s.jobs[id] == nil || !s.jobs[id].held) {
		return
	}
	delete(s.untoldSince, id)
	for _, v := range s.order {
		for _, e := range v.takeDeferred(id) {
			s.account(now, v, &e)
		}
		for _, st := range v.takeStrangers(id) {
			s.adopt(now, v, &st)
		}
	}
	s.changed = true
}

// takeStrangers removes the runs of a job that was not known and returns them.
func (v *vm) takeStrangers(job string) []batch.RunStatus {
	var found []batch.RunStatus
	for task, number := range v.strangers {
		if task.Job == job {
			found = append(found, batch.RunStatus{Task: task, Run: number})
			delete(v.strangers, task)
		}
	}
	slices.SortFunc(found, func(a, b batch.RunStatus) int { return cmp.Compare(a.Task.String(), b.Task.String()) })
	return found
}

// takeDeferred removes the deferred ends of a job and returns them by their number.
func (v *vm) takeDeferred(job string) []batch.RunEnd {
	var ends []batch.RunEnd
	for seq, e := range v.deferred {
		if e.Task.Job == job {
			ends = append(ends, e)
			delete(v.deferred, seq)
		}
	}
	slices.SortFunc(ends, func(a, b batch.RunEnd) int { return cmp.Compare(a.Seq, b.Seq) })
	return ends
}
