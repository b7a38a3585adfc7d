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

// processEnds takes those ends over that are new.
func (s *Scheduler) processEnds(now Time, v *vm, ends []batch.RunEnd) {
	known := v.processedSeq
	for i := range ends {
		if ends[i].Kind == batch.EndLapsed {
			v.expirySeq = max(v.expirySeq, ends[i].Seq)
		}
	}
	for i := range ends {
		e := &ends[i]
		if e.Seq <= known {
			continue
		}
		v.processedSeq = max(v.processedSeq, e.Seq)
		if s.jobUnresolved(e.Task.Job) {
			s.deferEnd(now, v, e)
			continue
		}
		s.processKnownEnd(now, v, e)
	}
}

// processKnownEnd takes one end of a known job over.
func (s *Scheduler) processKnownEnd(now Time, v *vm, e *batch.RunEnd) {
	s.openReported(now, e.Task)
	if e.Kind == batch.EndDone && !v.expiredAfter(e) && s.isSuperseded(e) {
		s.withhold(v, e)
		return
	}
	s.processEnd(now, v, e)
}

// expiredAfter reports whether every lease on the VM was over at some moment after
// the end: then the run was given up rightly, and its end binds nobody. The VM tells of
// a lapse only where something was running still.
func (v *vm) expiredAfter(e *batch.RunEnd) bool {
	return e.Seq < v.expirySeq || e.Run <= v.maxExpiredRun
}

// isSuperseded reports whether a later run of the task was started although this end
// says that it was done. Run numbers rise with each start.
func (s *Scheduler) isSuperseded(e *batch.RunEnd) bool {
	j := s.jobs[e.Task.Job]
	if j == nil || e.Task.Step >= len(j.spec.Steps) {
		return false
	}
	if spec := &j.spec.Steps[e.Task.Step]; spec.Speculative || spec.Lasting {
		return false
	}
	if t := s.task(e.Task); t != nil {
		return t.latestStarted() > e.Run
	}
	return j.countedRun(e.Task) > e.Run
}

// latestStarted is the highest number of a run of the task that may have been started.
func (t *task) latestStarted() int64 {
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

// accountedSeq is the highest end up to which all are accounted for, once what is
// pending is written.
func (v *vm) accountedSeq() int64 {
	mark := v.processedSeq
	if v.ackLimit > 0 {
		mark = min(mark, v.ackLimit-1)
	}
	for seq := range v.deferredEnds {
		mark = min(mark, seq-1)
	}
	return mark
}

// ackableSeq is the highest end that may be acknowledged.
func (v *vm) ackableSeq() int64 { return v.durableSeq }

// jobUnresolved reports whether a VM may know more of a job than this leader: its watch is
// late or silent, and an earlier leader took the job on; or the job is held, since what
// is known of it can't be read.
func (s *Scheduler) jobUnresolved(job string) bool {
	if j := s.jobs[job]; j != nil {
		return j.held && !j.state.Final()
	}
	_, absent := s.absentJobs[job]
	return !absent
}

func (s *Scheduler) recordUnknownJob(now Time, job string) {
	if s.jobs[job] != nil {
		return
	}
	if _, noted := s.unknownJobsSince[job]; !noted {
		s.unknownJobsSince[job] = now
	}
}

// deferEnd keeps an end until its job is known, or known not to exist.
func (s *Scheduler) deferEnd(now Time, v *vm, e *batch.RunEnd) {
	if v.deferredEnds == nil {
		v.deferredEnds = map[int64]batch.RunEnd{}
	}
	v.deferredEnds[e.Seq] = *e
	s.recordUnknownJob(now, e.Task.Job)
	s.logf(Decision{Event: EventEndDeferred, Task: e.Task, VM: v.inst.ID, Run: e.Run, Reason: string(e.Kind)})
}

// recordUnknownRun notes a run of a job that is not known, or held: the VM gets nothing
// new while nobody knows what the run needs.
func (v *vm) recordUnknownRun(st *batch.RunStatus) {
	if v.unknownRuns == nil {
		v.unknownRuns = map[batch.TaskID]int64{}
	}
	v.unknownRuns[st.Task] = st.Run
}

// UnknownJobs returns the jobs that VMs have told of for so long and that this leader does
// not know, by ID. The store has to be asked: each is then to be given to Submit or Absent.
func (s *Scheduler) UnknownJobs(now Time, since time.Duration) []string {
	var ids []string
	for id, told := range s.unknownJobsSince {
		if now-told >= since {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// unreadableRetryDelay is the pause before a job whose record can't be read is asked for
// again: somebody has to mend it.
const unreadableRetryDelay = 5 * time.Second

// JobUnreadable notes that the store has such a job, whose record can't be read: what VMs
// tell of it is kept.
func (s *Scheduler) JobUnreadable(now Time, id string) {
	if s.jobs[id] == nil {
		s.unknownJobsSince[id] = now + unreadableRetryDelay
	}
}

// absentJobRetention is how long it is remembered that a job does not exist, in which its
// VMs' next reports come in. After that the store is asked anew.
const absentJobRetention = time.Minute

// JobAbsent notes that the store has no such job: its record was removed long after its
// end. What VMs tell of it has no effect.
func (s *Scheduler) JobAbsent(now Time, id string) {
	if s.jobs[id] != nil {
		return
	}
	s.absentJobs[id] = now
	s.processDeferred(now, id)
}

// expireAbsentJobs drops what is old of the jobs that do not exist.
func (s *Scheduler) expireAbsentJobs(now Time) {
	for id, at := range s.absentJobs {
		if now-at > absentJobRetention {
			delete(s.absentJobs, id)
		}
	}
}

// processDeferred takes over what VMs have told of a job before it was known, or while it was
// held: ends first, in their order.
func (s *Scheduler) processDeferred(now Time, id string) {
	if _, told := s.unknownJobsSince[id]; !told && (s.jobs[id] == nil || !s.jobs[id].held) {
		return
	}
	delete(s.unknownJobsSince, id)
	for _, v := range s.vmList {
		for _, e := range v.takeDeferredEnds(id) {
			s.processKnownEnd(now, v, &e)
		}
		for _, st := range v.takeUnknownRuns(id) {
			s.adopt(now, v, &st)
		}
	}
	s.planNeeded = true
}

// takeUnknownRuns removes the runs of a job that was not known and returns them.
func (v *vm) takeUnknownRuns(job string) []batch.RunStatus {
	var found []batch.RunStatus
	for task, number := range v.unknownRuns {
		if task.Job == job {
			found = append(found, batch.RunStatus{Task: task, Run: number})
			delete(v.unknownRuns, task)
		}
	}
	slices.SortFunc(found, func(a, b batch.RunStatus) int { return cmp.Compare(a.Task.String(), b.Task.String()) })
	return found
}

// takeDeferredEnds removes the deferred ends of a job and returns them by their number.
func (v *vm) takeDeferredEnds(job string) []batch.RunEnd {
	var ends []batch.RunEnd
	for seq, e := range v.deferredEnds {
		if e.Task.Job == job {
			ends = append(ends, e)
			delete(v.deferredEnds, seq)
		}
	}
	slices.SortFunc(ends, func(a, b batch.RunEnd) int { return cmp.Compare(a.Seq, b.Seq) })
	return ends
}
