// Package jobs keeps the records of batch jobs: which jobs were accepted, which
// attempt of which task may run on which VM, and what has ended. Records are divided
// into shards by team; a shard has one leader at a time, its only writer.
//
// This file has no I/O: a State changes only by applying operations, and an operation
// that does not fit the state is rejected. The stored log holds the same operations,
// so replaying it gives the same state.
package jobs

import (
	"fmt"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/vms"
)

// TaskState is the recorded state of a task.
type TaskState uint8

// The states of a task.
const (
	// Queued: the task waits to be placed.
	Queued TaskState = iota
	// Placed: an attempt is committed to a VM. It runs, is about to run, or was lost;
	// only the VM's owner can determine which.
	Placed
	// Done, Failed and Cancelled are final.
	Done
	Failed
	Cancelled
)

// String returns the state's name in API responses.
func (s TaskState) String() string {
	return [...]string{"queued", "placed", "done", "failed", "cancelled"}[s]
}

// Final reports whether the task will never run again.
func (s TaskState) Final() bool { return s >= Done }

// Task is the record of one task.
type Task struct {
	State TaskState `cbor:"1,keyasint,omitempty"`
	// Attempt is the number of the newest attempt. It is the fencing token: reports
	// about earlier attempts are ignored.
	Attempt int64 `cbor:"2,keyasint,omitempty"`
	// VM is the VM of the attempt while the task is placed.
	VM         string `cbor:"3,keyasint,omitempty"`
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	Failures   int    `cbor:"5,keyasint,omitempty"`
	Evictions  int    `cbor:"6,keyasint,omitempty"`
}

// Job is the record of one job.
type Job struct {
	Spec model.JobSpec `cbor:"1,keyasint"`
	// SubmittedMS is the accepting node's wall clock in Unix milliseconds.
	SubmittedMS int64  `cbor:"2,keyasint"`
	Cancelled   bool   `cbor:"3,keyasint,omitempty"`
	Tasks       []Task `cbor:"4,keyasint"`
	// EndedMS is when the last task ended; 0 while the job is open.
	EndedMS int64 `cbor:"5,keyasint,omitempty"`
	// Order is the job's position among the shard's submissions.
	Order int64 `cbor:"6,keyasint"`

	finalTasks int
}

// Key returns the job's name across teams: team/id.
func (j *Job) Key() string { return JobKey(j.Spec.Team, j.Spec.ID) }

// JobKey returns a job's name across teams.
func JobKey(team, id string) string { return team + "/" + id }

// OpKind is the kind of an operation.
type OpKind uint8

// The operations.
const (
	// OpLead: a node starts leading the shard.
	OpLead OpKind = iota + 1
	// OpSubmit: a job is accepted.
	OpSubmit
	// OpPlace: an attempt is committed to a VM, before it is started.
	OpPlace
	// OpEnd: an attempt ended.
	OpEnd
	// OpCancel: a job is cancelled.
	OpCancel
	// OpForget: an ended job's record is dropped.
	OpForget
)

// Op is one operation. Only the fields that its kind uses are set.
type Op struct {
	Kind       OpKind         `cbor:"1,keyasint"`
	Node       string         `cbor:"2,keyasint,omitempty"`
	Spec       *model.JobSpec `cbor:"3,keyasint,omitempty"`
	Job        string         `cbor:"4,keyasint,omitempty"`
	Index      int            `cbor:"5,keyasint,omitempty"`
	Attempt    int64          `cbor:"6,keyasint,omitempty"`
	VM         string         `cbor:"7,keyasint,omitempty"`
	End        vms.End        `cbor:"8,keyasint,omitempty"`
	Checkpoint string         `cbor:"9,keyasint,omitempty"`
	AtMS       int64          `cbor:"10,keyasint,omitempty"`
}

// maxFailures is how often a task may fail before it ends as failed.
const maxFailures = 5

// Errors with which Apply rejects an operation.
var (
	// ErrStale: the operation is about an attempt that is not the current one.
	ErrStale = errors.New("not the current attempt")
	// ErrNoJob: there is no such job or task.
	ErrNoJob = errors.New("no such job")
	// ErrExists: a job with this key exists already.
	ErrExists = errors.New("the job exists")
)

// State is the state of a shard.
type State struct {
	Jobs map[string]*Job `cbor:"1,keyasint"`
	// Totals counts everything that has ended, including forgotten jobs.
	Totals Totals `cbor:"2,keyasint"`
	// Submissions is the number of jobs submitted so far.
	Submissions int64 `cbor:"3,keyasint"`
}

// Totals holds a shard's counts since its creation.
type Totals struct {
	Done      int64 `json:"done" cbor:"1,keyasint,omitempty"`
	Failed    int64 `json:"failed" cbor:"2,keyasint,omitempty"`
	Cancelled int64 `json:"cancelled" cbor:"3,keyasint,omitempty"`
	Evictions int64 `json:"evictions" cbor:"4,keyasint,omitempty"`
	Lost      int64 `json:"lost" cbor:"5,keyasint,omitempty"`
}

// Add returns the sum of t and o.
func (t Totals) Add(o Totals) Totals {
	return Totals{
		Done: t.Done + o.Done, Failed: t.Failed + o.Failed, Cancelled: t.Cancelled + o.Cancelled,
		Evictions: t.Evictions + o.Evictions, Lost: t.Lost + o.Lost,
	}
}

// NewState returns an empty state.
func NewState() *State { return &State{Jobs: map[string]*Job{}} }

// restore recomputes the fields that are not stored.
func (s *State) restore() {
	if s.Jobs == nil {
		s.Jobs = map[string]*Job{}
	}
	for _, j := range s.Jobs {
		j.finalTasks = 0
		for _, t := range j.Tasks {
			if t.State.Final() {
				j.finalTasks++
			}
		}
	}
}

// Apply applies op to the state. On an error the state is unchanged.
func (s *State) Apply(op Op) error {
	switch op.Kind {
	case OpLead:
		return nil
	case OpSubmit:
		return s.submit(op)
	case OpPlace:
		return s.place(op)
	case OpEnd:
		return s.end(op)
	case OpCancel:
		return s.cancel(op)
	case OpForget:
		j := s.Jobs[op.Job]
		if j == nil || j.EndedMS == 0 {
			return ErrNoJob
		}
		delete(s.Jobs, op.Job)
		return nil
	}
	return fmt.Errorf("operation of unknown kind %d", op.Kind)
}

func (s *State) submit(op Op) error {
	if op.Spec == nil || op.Spec.Validate() != "" {
		return ErrNoJob
	}
	key := JobKey(op.Spec.Team, op.Spec.ID)
	if s.Jobs[key] != nil {
		return ErrExists
	}
	s.Submissions++
	s.Jobs[key] = &Job{Spec: *op.Spec, SubmittedMS: op.AtMS, Tasks: make([]Task, op.Spec.Tasks), Order: s.Submissions}
	return nil
}

func (s *State) task(op Op) (*Job, *Task, error) {
	j := s.Jobs[op.Job]
	if j == nil || op.Index < 0 || op.Index >= len(j.Tasks) {
		return nil, nil, ErrNoJob
	}
	return j, &j.Tasks[op.Index], nil
}

// place commits the next attempt of a queued task. The attempt number must follow the
// last one, so that two leaders cannot both commit the same attempt.
func (s *State) place(op Op) error {
	_, t, err := s.task(op)
	if err != nil {
		return err
	}
	if t.State != Queued || op.Attempt != t.Attempt+1 {
		return ErrStale
	}
	t.State, t.Attempt, t.VM = Placed, op.Attempt, op.VM
	return nil
}

// end records how the current attempt ended. Reports about any other attempt are
// rejected: applying one would requeue a task that is running or already requeued.
func (s *State) end(op Op) error {
	j, t, err := s.task(op)
	if err != nil {
		return err
	}
	if t.State != Placed || op.Attempt != t.Attempt {
		return ErrStale
	}
	t.VM = ""
	if op.Checkpoint != "" {
		t.Checkpoint = op.Checkpoint
	}
	switch op.End {
	case vms.EndFinished:
		s.finish(j, t, Done, op.AtMS)
		return nil
	case vms.EndFailed:
		t.Failures++
	case vms.EndStopped:
		t.Evictions++
		s.Totals.Evictions++
	case vms.EndLost:
		s.Totals.Lost++
	}
	switch {
	case j.Cancelled:
		s.finish(j, t, Cancelled, op.AtMS)
	case t.Failures >= maxFailures:
		s.finish(j, t, Failed, op.AtMS)
	default:
		t.State = Queued
	}
	return nil
}

// finish moves a task to a final state.
func (s *State) finish(j *Job, t *Task, state TaskState, atMS int64) {
	t.State, t.Checkpoint = state, ""
	switch state {
	case Done:
		s.Totals.Done++
	case Failed:
		s.Totals.Failed++
	case Cancelled:
		s.Totals.Cancelled++
	}
	j.finalTasks++
	if j.finalTasks == len(j.Tasks) {
		j.EndedMS = max(atMS, 1)
	}
}

// cancel ends the queued tasks; placed tasks end when their VM's owner reports it.
func (s *State) cancel(op Op) error {
	j := s.Jobs[op.Job]
	if j == nil {
		return ErrNoJob
	}
	if j.Cancelled || j.EndedMS != 0 {
		return nil
	}
	j.Cancelled = true
	for i := range j.Tasks {
		if j.Tasks[i].State == Queued {
			s.finish(j, &j.Tasks[i], Cancelled, op.AtMS)
		}
	}
	return nil
}

// Open returns the jobs that have not ended: urgent ones first, then by order of
// submission.
func (s *State) Open() []*Job {
	var open []*Job
	for _, j := range s.Jobs {
		if j.EndedMS == 0 {
			open = append(open, j)
		}
	}
	sort.Slice(open, func(a, b int) bool {
		if open[a].Spec.Urgent != open[b].Spec.Urgent {
			return open[a].Spec.Urgent
		}
		return open[a].Order < open[b].Order
	})
	return open
}

// Usage returns the resources of the placed tasks, by team.
func (s *State) Usage() map[string]model.Resources {
	usage := map[string]model.Resources{}
	for _, j := range s.Jobs {
		if j.EndedMS != 0 {
			continue
		}
		for _, t := range j.Tasks {
			if t.State == Placed {
				usage[j.Spec.Team] = usage[j.Spec.Team].Add(j.Spec.PerTask)
			}
		}
	}
	return usage
}

// Forgettable returns the keys of the ended jobs beyond the newest keep, oldest
// first, so that the state does not grow with history.
func (s *State) Forgettable(keep int) []string {
	var ended []*Job
	for _, j := range s.Jobs {
		if j.EndedMS != 0 {
			ended = append(ended, j)
		}
	}
	if len(ended) <= keep {
		return nil
	}
	sort.Slice(ended, func(a, b int) bool { return ended[a].Order < ended[b].Order })
	var keys []string
	for _, j := range ended[:len(ended)-keep] {
		keys = append(keys, j.Key())
	}
	return keys
}
