package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// An end may be acknowledged once it is accounted for: its effect is durable, or it
// certainly has none. The VM forgets acknowledged ends. Acknowledged too early, the end
// of a job that is not known here yet would be lost and its task started again, and the
// end of a superseded run would count its task as executed twice.

// processEnds processes the ends that were not processed before.
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

// processKnownEnd processes one end whose job is known, or known not to exist.
func (s *Scheduler) processKnownEnd(now Time, v *vm, e *batch.RunEnd) {
	s.openReported(now, e.Task)
	if e.Kind == batch.EndDone && !v.expiredAfter(e) && s.isSuperseded(e) {
		s.withhold(v, e)
		return
	}
	s.processEnd(now, v, e)
}

// expiredAfter reports whether every lease on the VM had expired at some moment after the
// end. The run was then correctly declared lost, and its end need not count. VMs report
// an expiry only if it ended a run, hence the check of maxExpiredRun.
func (v *vm) expiredAfter(e *batch.RunEnd) bool {
	return e.Seq < v.expirySeq || e.Run <= v.maxExpiredRun
}

// isSuperseded reports whether a later run of the task, which has a higher number, was
// started although this end reports the task as done.
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

// latestStarted returns the highest number of a run of the task that may have been started.
func (t *task) latestStarted() int64 {
	latest := max(t.latestRun, t.doneRun)
	for _, r := range t.runs {
		latest = max(latest, r.number)
	}
	return latest
}

// withhold leaves an end unacknowledged permanently: the task was started again although
// no lease expired in between. The later run counts; acknowledging the earlier end too
// would count the task as executed twice. Later ends of the VM can't be acknowledged
// either, so it gets no new work.
func (s *Scheduler) withhold(v *vm, e *batch.RunEnd) {
	if v.ackLimit == 0 {
		v.ackLimit = e.Seq
	}
	s.logf(Decision{Event: EventEndWithheld, Task: e.Task, VM: v.inst.ID, Run: e.Run})
}

// accountedSeq returns the highest sequence number up to which all ends are accounted
// for once the pending records are written.
func (v *vm) accountedSeq() int64 {
	last := v.processedSeq
	if v.ackLimit > 0 {
		last = min(last, v.ackLimit-1)
	}
	for seq := range v.deferredEnds {
		last = min(last, seq-1)
	}
	return last
}

// ackableSeq returns the highest end that may be acknowledged.
func (v *vm) ackableSeq() int64 { return v.durableSeq }

// jobUnresolved reports whether reports about a job have to be deferred: either the job is
// unknown, possibly because this leader's watch is late and an earlier leader accepted the
// job, or the job is held because its record can't be read.
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
	if _, recorded := s.unknownJobsSince[job]; !recorded {
		s.unknownJobsSince[job] = now
	}
}

// deferEnd keeps an end until its job is known or known not to exist.
func (s *Scheduler) deferEnd(now Time, v *vm, e *batch.RunEnd) {
	if v.deferredEnds == nil {
		v.deferredEnds = map[int64]batch.RunEnd{}
	}
	v.deferredEnds[e.Seq] = *e
	s.recordUnknownJob(now, e.Task.Job)
	s.logf(Decision{Event: EventEndDeferred, Task: e.Task, VM: v.inst.ID, Run: e.Run, Reason: string(e.Kind)})
}

// recordUnknownRun records a run of an unknown or held job. While there is such a run, its
// resource needs are unknown and the VM gets no new work.
func (v *vm) recordUnknownRun(st *batch.RunStatus) {
	if v.unknownRuns == nil {
		v.unknownRuns = map[batch.TaskID]int64{}
	}
	v.unknownRuns[st.Task] = st.Run
}

// UnknownJobs returns the sorted IDs of unknown jobs that were first reported at least
// since ago. The caller reads them from the store and passes each to Submit, JobAbsent or
// JobUnreadable.
func (s *Scheduler) UnknownJobs(now Time, since time.Duration) []string {
	var ids []string
	for id, at := range s.unknownJobsSince {
		if now-at >= since {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// unreadableRetryDelay is the delay before an unreadable job is read again. It is long,
// since the record has to be repaired by an operator.
const unreadableRetryDelay = 5 * time.Second

// JobUnreadable records that the job is in the store but can't be read. Reports about it
// stay deferred.
func (s *Scheduler) JobUnreadable(now Time, id string) {
	if s.jobs[id] == nil {
		s.unknownJobsSince[id] = now + unreadableRetryDelay
	}
}

// absentJobRetention is how long a job is remembered as nonexistent. The next reports of
// its VMs arrive within that time; later ones make the leader read the store again.
const absentJobRetention = time.Minute

// JobAbsent records that the job is not in the store, because its record was removed long
// after its end. Reports about it have no effect.
func (s *Scheduler) JobAbsent(now Time, id string) {
	if s.jobs[id] != nil {
		return
	}
	s.absentJobs[id] = now
	s.processDeferred(now, id)
}

// expireAbsentJobs removes old entries of nonexistent jobs.
func (s *Scheduler) expireAbsentJobs(now Time) {
	for id, at := range s.absentJobs {
		if now-at > absentJobRetention {
			delete(s.absentJobs, id)
		}
	}
}

// processDeferred processes the reports about a job from before it was known or while it
// was held. Ends come first, in the order of their sequence numbers.
func (s *Scheduler) processDeferred(now Time, id string) {
	if _, reported := s.unknownJobsSince[id]; !reported && (s.jobs[id] == nil || !s.jobs[id].held) {
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

// takeUnknownRuns removes and returns the recorded runs of an unknown job.
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

// takeDeferredEnds removes and returns the deferred ends of a job in sequence order.
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
