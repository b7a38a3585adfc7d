// Package batch defines the domain types of jobs that consist of ordered steps:
// the jobs, their tasks and runs, the VMs that execute them, and the queues they
// are submitted to. It has no behaviour beyond arithmetic and validation.
package batch

import (
	"fmt"
	"time"
)

// Limits on a job's declaration. They bound the scheduler's memory for one accepted
// job, which is about 100 bytes per task.
const (
	MaxSpecBytes = 4000
	MaxSteps     = 64
	MaxTasks     = 10_000
	// MaxOccurrences bounds the occurrences of a timed job.
	MaxOccurrences = 100_000
	// maxAmount bounds each declared amount so that sums cannot overflow.
	maxAmount = 1 << 40
	// maxDuration bounds each declared duration so that sums cannot overflow.
	maxDuration = 30 * 24 * time.Hour
)

// Job is a caller's submission: steps of equal tasks, executed in the order of the
// steps' dependencies.
type Job struct {
	// ID is chosen by the caller; a repeated submission with the same ID is the same job.
	ID string `json:"-"`
	// Payload is passed unchanged to every task.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Schedule repeats the steps at set times; nil means once, immediately.
	Schedule *Schedule `json:"schedule,omitempty"`
}

// Schedule defines when the occurrences of a timed job are due.
type Schedule struct {
	// FirstMS is the due time of occurrence 0, in Unix milliseconds.
	FirstMS int64 `json:"first_ms"`
	// IntervalMS is the time between consecutive due times.
	IntervalMS int64 `json:"interval_ms"`
	// Count is the number of occurrences, 1 or more.
	Count int `json:"count"`
}

// Step is a set of equal tasks.
type Step struct {
	Tasks int `json:"tasks"`
	// Need is the resources that one task takes on its VM.
	Need Resources `json:"need"`
	// Estimate is the declared duration of a task; it may be inaccurate.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the earlier steps, by index, whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints is set when tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang is set when tasks make progress only while all of them run; they end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set when tasks run slower if they are spread over several racks.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the VM must have; empty means any VM.
	Label string `json:"label,omitempty"`
	// DataRack is the rack near the tasks' data; tasks run slower in other racks.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerVM bounds the step's tasks on one VM, per occurrence; 0 means no bound.
	MaxPerVM int `json:"max_per_vm,omitempty"`
	// Speculative is set when a task may run in several copies; the first to finish counts.
	Speculative bool `json:"speculative,omitempty"`
	// Lasting is set when tasks run until the job is cancelled; they are restarted
	// however they end.
	Lasting bool `json:"lasting,omitempty"`
	// Image names what the tasks execute; tasks of the same image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget bounds the tail latency of serving tasks; 0 means that the tasks do
	// not serve requests.
	TailTarget time.Duration `json:"tail_target,omitempty"`
	// Filler is set when tasks do not count against a VM's processors and use only
	// processor time that other tasks leave idle.
	Filler bool `json:"filler,omitempty"`
	// MaxUnavailable bounds the lasting tasks of the step that the scheduler may make
	// unavailable at the same time.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
}

// Serves reports whether the step's tasks serve requests under a latency target.
func (s *Step) Serves() bool { return s.TailTarget > 0 }

// Occurrences returns how many times the job's steps are executed.
func (j *Job) Occurrences() int {
	if j.Schedule == nil {
		return 1
	}
	return j.Schedule.Count
}

// DueMS returns when an occurrence of a timed job is due, in Unix milliseconds.
func (j *Job) DueMS(occurrence int) int64 {
	return j.Schedule.FirstMS + int64(occurrence)*j.Schedule.IntervalMS
}

// Lasts reports whether the job runs until it is cancelled.
func (j *Job) Lasts() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// CriticalPath returns the longest sum of estimates along any chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
	longest := time.Duration(0)
	end := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		for _, d := range j.Steps[i].After {
			end[i] = max(end[i], end[d])
		}
		end[i] += j.Steps[i].Estimate
		longest = max(longest, end[i])
	}
	return longest
}

// Work returns the declared processor time of one occurrence, in core-seconds.
func (j *Job) Work() float64 {
	sum := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		sum += float64(s.Tasks) * float64(s.Need.MilliCPU) / 1000 * s.Estimate.Seconds()
	}
	return sum
}

// Validate returns an error that names the first invalid field and how to fix it.
func (j *Job) Validate() error {
	switch {
	case len(j.Payload) > MaxSpecBytes:
		return fmt.Errorf("payload: use at most %d bytes", MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("steps: give 1 to %d steps", MaxSteps)
	}
	if s := j.Schedule; s != nil && (s.Count < 1 || s.Count > MaxOccurrences || s.IntervalMS < 0 || s.FirstMS < 0) {
		return fmt.Errorf("schedule: give 1 to %d occurrences and times of 0 or more", MaxOccurrences)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Tasks
	}
	if tasks > MaxTasks {
		return fmt.Errorf("steps: use at most %d tasks in all", MaxTasks)
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return fmt.Errorf("steps[%d]: give 1 to %d tasks", index, MaxTasks)
	}
	if s.Estimate < 0 || s.Estimate > maxDuration || s.TailTarget < 0 || s.TailTarget > maxDuration {
		return fmt.Errorf("steps[%d]: times go from 0 to %s", index, maxDuration)
	}
	for _, amount := range []int64{s.Need.MilliCPU, s.Need.MemoryMB, s.Need.Accelerators, int64(s.MaxPerVM), int64(s.MaxUnavailable)} {
		if amount < 0 || amount > maxAmount {
			return fmt.Errorf("steps[%d]: amounts go from 0 to %d", index, int64(maxAmount))
		}
	}
	for _, d := range s.After {
		if d < 0 || d >= index {
			return fmt.Errorf("steps[%d]: a step may only come after earlier steps, not after %d", index, d)
		}
	}
	return nil
}

// TaskID identifies a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the form used in logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// State is a job's state as reported to its caller.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }
