package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Submission is an accepted job as the store has it.
type Submission struct {
	Job *batch.Job
	// Queue and Pool are those that the job was submitted to.
	Queue string
	Pool  string
	// AcceptedQueue is the queue as it was when the job was accepted; it counts where the
	// configuration does not have the queue, or is not known yet. May be nil.
	AcceptedQueue *batch.Queue
	// Age is how long ago the caller asked.
	Age time.Duration
	// PredatesLeader is set when the submission is older than this leader.
	PredatesLeader bool
	// CreatedRevision is the store's revision of the submission, 0 when it is not known.
	CreatedRevision int64
	// Cancelled is set when the job is cancelled already.
	Cancelled bool
	// Progress is what an earlier leader recorded; nil for none.
	Progress *Progress
	// Unreadable is set when there is such a record that can't be read.
	Unreadable bool
	// RecordRevision is the store revision of Progress.
	RecordRevision int64
}

// Submit takes a job on. A job that is known is left as it is.
func (s *Scheduler) Submit(now Time, sub Submission) {
	if j := s.jobs[sub.Job.ID]; j != nil {
		j.predatesLeader = j.predatesLeader && (sub.PredatesLeader || s.mayPredateTenure(sub.CreatedRevision))
		return
	}
	j := &job{
		spec: sub.Job, queue: sub.Queue, pool: sub.Pool, submittedAt: now - sub.Age, state: batch.Queued,
		predatesLeader: sub.PredatesLeader || s.mayPredateTenure(sub.CreatedRevision), occs: map[int]*occurrence{}, doneOccs: map[int]bool{}, recordRevision: sub.RecordRevision,
		criticalPath: sub.Job.Chain(), work: sub.Job.Work(), maxAttempts: 1,
	}
	j.objective = j.criticalPath
	if sub.AcceptedQueue != nil {
		j.applyQueue(sub.AcceptedQueue)
	}
	s.jobs[sub.Job.ID] = j
	s.updateMeanWork(j)
	s.applyConfig(j)
	if sub.Progress != nil {
		j.restore(sub.Progress)
		// When it ended is not recorded: it is kept from now on.
		j.endedAt = now
	}
	s.logf(Decision{Event: EventJobTaken, Job: sub.Job.ID, Reason: sub.Queue, Age: sub.Age, Value: j.work})
	if sub.Cancelled {
		s.cancel(now, j)
	}
	switch {
	case j.state.Final():
	case sub.Unreadable:
		// Started from nothing, all that was done would be done again.
		j.held, j.started = true, true
		s.logf(Decision{Event: EventJobHeld, Job: sub.Job.ID, Reason: "progress unreadable"})
	default:
		s.openJob(now, j)
	}
	s.processDeferred(now, sub.Job.ID)
	s.planNeeded = true
}

// applyConfig takes the queue's figures over. A queue that is gone leaves those
// of the last configuration that had it, or of the job's acceptance.
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

// applyQueue takes a queue's figures over.
func (j *job) applyQueue(q *batch.Queue) {
	j.maxAttempts = max(q.Attempts, 1)
	j.priority = q.Priority
	j.advice = q.Advice
	j.objective = time.Duration(q.Stretch*float64(j.criticalPath)) + q.Slack
}

// SetConfig installs a configuration; the caller makes sure that it is newer.
func (s *Scheduler) SetConfig(c *batch.Config) {
	s.config = c
	s.updateUnguarded()
	for _, j := range s.jobs {
		s.applyConfig(j)
	}
	s.planNeeded = true
}

// openJob creates the occurrences that are to be executed now.
func (s *Scheduler) openJob(now Time, j *job) {
	if j.spec.Schedule != nil {
		j.nextOcc = j.doneLow
		s.timedJobs[j.spec.ID] = j
		return
	}
	s.openOccurrence(now, j, 0)
}

// OpenDue creates the occurrences of timed jobs that are due by the time of day.
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

// openReported opens the occurrence of a task that a VM tells of. An earlier leader
// found it due; this one may not have looked at the time of day yet, or by a clock
// that is behind. What is told of a task that is not open would be forgotten, and
// the task started again.
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

// enqueue puts a step with tasks to start into the ready list.
func (s *Scheduler) enqueue(st *step) {
	if st.queued || st.blockers > 0 || st.waiting == 0 || st.occ.job.state.Final() {
		return
	}
	st.queued = true
	s.readySteps = append(s.readySteps, st)
	s.planNeeded = true
}

// stepDone releases the steps that waited for st.
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

// finish gives a job its final state and stops what still runs of it.
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
	s.logf(Decision{Event: EventJobEnded, Job: j.spec.ID, Reason: string(state) + ": " + reason, Age: now - j.submittedAt, Value: j.objective.Seconds()})
	for _, number := range slices.Sorted(maps.Keys(j.occs)) {
		o := j.occs[number]
		for i := range o.steps {
			for k := range o.steps[i].tasks {
				s.stopRuns(now, &o.steps[i].tasks[k], "job "+string(state))
			}
		}
	}
}

// Cancel ends a job at its caller's wish.
func (s *Scheduler) Cancel(now Time, id string) {
	if j := s.jobs[id]; j != nil {
		s.cancel(now, j)
	}
}

func (s *Scheduler) cancel(now Time, j *job) { s.finish(now, j, batch.Cancelled, "caller") }

// State returns what callers may be told of a job, and whether it is known.
// "Completed" and "failed" are told once the store has them, since another
// leader must not contradict them.
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

// WaitingJobs counts the jobs of a queue of which nothing has started.
func (s *Scheduler) WaitingJobs(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.queue == queue && !j.started && !j.state.Final() {
			n++
		}
	}
	return n
}

// markDirty marks a job whose record has to be written.
func (s *Scheduler) markDirty(j *job) {
	j.version++
	s.dirtyJobs[j.spec.ID] = j
}
