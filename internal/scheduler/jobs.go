package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Submission is an accepted job as recorded in the store.
type Submission struct {
	Job *batch.Job
	// Queue and Pool are those that the job was submitted to.
	Queue string
	Pool  string
	// AcceptedQueue is the queue's configuration when the job was accepted. It applies if
	// the current configuration is not known yet or lacks the queue. May be nil.
	AcceptedQueue *batch.Queue
	// Zone is the availability zone in which the job was accepted, "" if unknown.
	Zone string
	// Age is how long ago the caller submitted the job.
	Age time.Duration
	// PredatesLeader is set if the submission is older than this leader.
	PredatesLeader bool
	// CreatedRevision is the store revision of the submission; 0 if unknown.
	CreatedRevision int64
	// Cancelled is set if the job is already cancelled.
	Cancelled bool
	// Progress is the record of an earlier leader; nil for none.
	Progress *Progress
	// Unreadable is set if there is such a record but it can't be read.
	Unreadable bool
	// RecordRevision is the store revision of Progress.
	RecordRevision int64
}

// Submit accepts a job. For a known job it can only clear that it predates this leader.
func (s *Scheduler) Submit(now Time, sub Submission) {
	if j := s.jobs[sub.Job.ID]; j != nil {
		j.predatesLeader = j.predatesLeader && (sub.PredatesLeader || s.mayPredateTenure(sub.CreatedRevision))
		return
	}
	j := &job{
		spec: sub.Job, queue: sub.Queue, pool: sub.Pool, zone: sub.Zone, submittedAt: now - sub.Age, state: batch.Queued,
		predatesLeader: sub.PredatesLeader || s.mayPredateTenure(sub.CreatedRevision), occs: map[int]*occurrence{}, doneOccs: map[int]bool{}, recordRevision: sub.RecordRevision,
		criticalPath: sub.Job.CriticalPath(), maxAttempts: 1, stretch: 1,
	}
	if sub.AcceptedQueue != nil {
		j.applyQueue(sub.AcceptedQueue)
	}
	j.work = s.jobWork(j)
	s.jobs[sub.Job.ID] = j
	s.updateMeanWork(j)
	s.applyConfig(j)
	if sub.Progress != nil {
		j.restore(sub.Progress)
		// The end time is not recorded, so retention is counted from now.
		j.endedAt = now
	}
	s.logf(Decision{Event: EventJobTaken, Job: sub.Job.ID, Reason: sub.Queue, Age: sub.Age, Value: j.work})
	if sub.Cancelled {
		s.cancel(now, j)
	}
	switch {
	case j.state.Final():
	case sub.Unreadable:
		// Without the record, finished tasks would be executed again.
		j.held, j.started = true, true
		s.logf(Decision{Event: EventJobHeld, Job: sub.Job.ID, Reason: "progress unreadable"})
	default:
		s.openJob(now, j)
	}
	if !sub.PredatesLeader {
		s.recordArrival(now, j)
	}
	s.processDeferred(now, sub.Job.ID)
	s.planNeeded = true
}

// applyConfig applies the queue's current configuration. If the queue was removed, the
// job keeps the last configuration that had it, or that of its acceptance.
func (s *Scheduler) applyConfig(j *job) {
	if s.config == nil {
		return
	}
	q := s.config.Queue(j.queue)
	if q == nil {
		return
	}
	j.pool = q.Pool
	j.applyQueue(q)
}

// applyQueue applies the parameters of a queue.
func (j *job) applyQueue(q *batch.Queue) {
	j.maxAttempts = max(q.Attempts, 1)
	j.priority = q.Priority
	j.advice = q.Advice
	j.stretch, j.slack = q.Stretch, q.Slack
}

// SetConfig installs a configuration, which must be newer than the current one.
func (s *Scheduler) SetConfig(c *batch.Config) {
	s.config = c
	s.updateUnguarded()
	for _, j := range s.jobs {
		s.applyConfig(j)
	}
	s.planNeeded = true
}

// openJob opens the job's single occurrence, or registers a timed job for OpenDue.
func (s *Scheduler) openJob(now Time, j *job) {
	if j.spec.Schedule != nil {
		j.nextOcc = j.doneLow
		s.timedJobs[j.spec.ID] = j
		return
	}
	s.openOccurrence(now, j, 0)
}

// OpenDue opens the occurrences of timed jobs that are due at wall clock time wallMS, in
// Unix milliseconds.
func (s *Scheduler) OpenDue(now Time, wallMS int64) {
	var due []string
	for id, j := range s.timedJobs {
		if j.nextOcc >= j.spec.Occurrences() || j.spec.DueMS(j.nextOcc) <= wallMS {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		j := s.timedJobs[id]
		for j.nextOcc < j.spec.Occurrences() && j.spec.DueMS(j.nextOcc) <= wallMS {
			if j.unopened(j.nextOcc) {
				s.openOccurrence(now, j, j.nextOcc)
			}
			j.nextOcc++
		}
		if j.nextOcc >= j.spec.Occurrences() {
			delete(s.timedJobs, id)
		}
	}
}

// openReported opens the occurrence of a task that a VM reports. An earlier leader found
// it due; this one may not have checked the wall clock yet, or its clock is behind. The
// report of a task that is not open would be lost and the task started again.
func (s *Scheduler) openReported(now Time, id batch.TaskID) {
	j := s.timedJobs[id.Job]
	if j != nil && id.Occurrence < j.spec.Occurrences() && j.unopened(id.Occurrence) {
		s.openOccurrence(now, j, id.Occurrence)
	}
}

// unopened reports whether an occurrence is neither open nor finished.
func (j *job) unopened(number int) bool {
	return number >= j.doneLow && !j.doneOccs[number] && j.occs[number] == nil
}

func (s *Scheduler) openOccurrence(now Time, j *job, number int) {
	o := &occurrence{job: j, number: number, steps: make([]step, len(j.spec.Steps)), stepsLeft: len(j.spec.Steps), dueAt: now}
	if j.spec.Schedule == nil {
		o.dueAt = j.submittedAt
	}
	j.occs[number] = o
	for i := range o.steps {
		spec := &j.spec.Steps[i]
		o.steps[i] = step{occ: o, index: i, spec: spec, tasks: make([]task, spec.Tasks), tasksLeft: spec.Tasks, waiting: spec.Tasks, blockers: len(spec.After), runnableAt: now}
		st := &o.steps[i]
		for k := range st.tasks {
			st.tasks[k] = task{step: st, index: k}
		}
	}
	if j.restoredProgress != nil {
		j.restoredProgress.apply(o)
		s.restoreUnconfirmed(o)
	}
	for i := range o.steps {
		if o.steps[i].tasksLeft == 0 {
			s.stepDone(now, &o.steps[i])
		}
	}
	for i := range o.steps {
		s.enqueue(&o.steps[i])
	}
}

// enqueue adds a step with tasks to start to the ready list.
func (s *Scheduler) enqueue(st *step) {
	if st.queued || st.blockers > 0 || st.waiting == 0 || st.occ.job.state.Final() {
		return
	}
	st.queued = true
	s.readySteps = append(s.readySteps, st)
	s.planNeeded = true
}

// stepDone unblocks the steps that depend on st.
func (s *Scheduler) stepDone(now Time, st *step) {
	o := st.occ
	o.stepsLeft--
	for i := st.index + 1; i < len(o.steps); i++ {
		next := &o.steps[i]
		for _, d := range next.spec.After {
			if d == st.index {
				next.blockers--
			}
		}
		next.runnableAt = now
		s.enqueue(next)
	}
	if o.stepsLeft == 0 {
		s.occurrenceDone(now, o)
	}
}

func (s *Scheduler) occurrenceDone(now Time, o *occurrence) {
	j := o.job
	j.recordCountedRuns(o)
	delete(j.occs, o.number)
	j.doneOccs[o.number] = true
	for j.doneOccs[j.doneLow] {
		delete(j.doneOccs, j.doneLow)
		j.doneLow++
	}
	if j.doneLow >= j.spec.Occurrences() {
		s.finish(now, j, batch.Completed, "all tasks done")
	}
}

// finish sets a job's final state and stops its remaining runs.
func (s *Scheduler) finish(now Time, j *job, state batch.State, reason string) {
	if j.state.Final() {
		return
	}
	j.state = state
	j.endedAt = now
	if j.held {
		defer s.processDeferred(now, j.spec.ID)
	}
	delete(s.timedJobs, j.spec.ID)
	s.markDirty(j)
	s.logf(Decision{Event: EventJobEnded, Job: j.spec.ID, Reason: string(state) + ": " + reason, Age: now - j.submittedAt, Value: s.objective(j).Seconds()})
	for _, number := range slices.Sorted(maps.Keys(j.occs)) {
		o := j.occs[number]
		for i := range o.steps {
			s.endPlaceWait(now, &o.steps[i], PlaceNone)
			for k := range o.steps[i].tasks {
				s.stopRuns(now, &o.steps[i].tasks[k], "job "+string(state))
			}
		}
	}
}

// Cancel ends a job at its caller's request.
func (s *Scheduler) Cancel(now Time, id string) {
	if j := s.jobs[id]; j != nil {
		s.cancel(now, j)
	}
}

func (s *Scheduler) cancel(now Time, j *job) { s.finish(now, j, batch.Cancelled, "caller") }

// State returns the state of a job to report to callers, and whether the job is known.
// Completed and Failed are reported only once they are durable, so that a later leader
// can't contradict them.
func (s *Scheduler) State(id string) (batch.State, bool) {
	j := s.jobs[id]
	switch {
	case j == nil:
		return "", false
	case j.state == batch.Cancelled:
		return batch.Cancelled, true
	case j.state.Final() && j.durableState != j.state:
		return batch.Running, true
	case j.state.Final():
		return j.state, true
	case j.started:
		return batch.Running, true
	}
	return batch.Queued, true
}

// WaitingJobs counts the jobs of a queue without a started run.
func (s *Scheduler) WaitingJobs(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.queue == queue && !j.started && !j.state.Final() {
			n++
		}
	}
	return n
}

// markDirty marks a job's record as to be written.
func (s *Scheduler) markDirty(j *job) {
	j.version++
	s.dirtyJobs[j.spec.ID] = j
}
