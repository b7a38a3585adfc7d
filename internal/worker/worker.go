// Package worker says what rattanwall needs of the platform's agent on each
// VM, which runs tasks under leases. The wire format lives in an adapter
// package. The agent's own list of tasks is the ground truth from which an
// owner rebuilds its ledger.
package worker

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/model"
)

// State is what an agent says of a task.
type State string

// The states of a task at an agent. All but Running are final.
const (
	Running  State = "running"
	Finished State = "finished"
	Failed   State = "failed"
	// Stopped means that Stop ended it.
	Stopped State = "stopped"
	// Lapsed means that its lease ran out and the agent ended it.
	Lapsed State = "lapsed"
)

// Ref names one attempt at a task.
type Ref struct {
	// Task is the TaskID's string form.
	Task string `json:"task"`
	// Attempt counts the starts of the task over its life, from 1.
	Attempt int64 `json:"attempt"`
}

// Task is one entry of an agent's list.
type Task struct {
	Ref
	State     State           `json:"state"`
	Resources model.Resources `json:"resources"`
	// Checkpoint resumes the task elsewhere; empty before the first checkpoint.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Status is an agent's list at one moment.
type Status struct {
	// Sequence grows with each change of a task, over restarts of the VM too.
	Sequence int64 `json:"sequence"`
	// Boot changes when the VM restarts.
	Boot string `json:"boot"`
	// Tasks are those that have changed since the sequence that was asked for. A
	// whole list with each change would be most of what an agent sends.
	Tasks []Task `json:"tasks,omitempty"`
	// InFlight holds the hop ids of the requests now executing on the VM's target.
	InFlight []string `json:"in_flight"`
	// Connections counts the connections open at the VM's target.
	Connections int `json:"connections"`
	// Usage is the newest measurement, which lags.
	Usage Usage `json:"usage"`
}

// StartRequest asks an agent to run one attempt at a task.
type StartRequest struct {
	Ref
	Resources model.Resources `json:"resources"`
	// DurationMS is the declared run time in milliseconds.
	DurationMS int64 `json:"duration_ms"`
	// Resume is the checkpoint to go on from; empty starts from the beginning.
	Resume string `json:"resume,omitempty"`
	// LeaseMS is how long the task may run without a renewal, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// NotAfterUnixMS makes the agent refuse a start that it reads later, by its
	// own wall clock: a start that waited in the buffers of a VM that was paused
	// would otherwise run beside its own successor.
	NotAfterUnixMS int64 `json:"not_after_unix_ms"`
}

// Usage is a lagging measurement of one VM.
type Usage struct {
	// AgeMS is how long ago it was taken, in milliseconds.
	AgeMS    int64           `json:"age_ms"`
	InUse    model.Resources `json:"in_use"`
	Slowdown float64         `json:"slowdown"`
}

// What a call to an agent may return besides its result.
var (
	// ErrRefused: the agent refused; nothing was done.
	ErrRefused = errors.New("the agent refused")
	// ErrNoTask: the agent does not know that attempt.
	ErrNoTask = errors.New("the agent does not know the task")
	// ErrUnreachable: the call certainly did not reach the agent.
	ErrUnreachable = errors.New("the agent was not reached")
	// ErrUnknown: the call may have taken effect.
	ErrUnknown = errors.New("the agent's answer was lost")
)

// Agent runs tasks on one VM.
type Agent interface {
	// Status returns the tasks that changed after a sequence, all with one below 0,
	// as soon as there are any, or after wait at the latest.
	Status(ctx context.Context, after int64, wait time.Duration) (Status, error)
	// Start runs an attempt. Repeating it for the same attempt has no effect.
	Start(ctx context.Context, req StartRequest) error
	// Renew restarts the leases of all tasks running on the VM.
	Renew(ctx context.Context, lease time.Duration) error
	// Stop ends an attempt, with a checkpoint first if asked, and returns its
	// final entry. Stopping an ended attempt returns that entry.
	Stop(ctx context.Context, ref Ref, checkpoint bool) (Task, error)
	// CheckpointAll saves the progress of all running attempts and returns them.
	CheckpointAll(ctx context.Context) ([]Task, error)
	// Throttle limits an attempt to a share of its processors, 0 to 1.
	Throttle(ctx context.Context, ref Ref, share float64) error
	// Forget drops ended attempts from the list, once their end is recorded. It
	// does not count as a change.
	Forget(ctx context.Context, refs []Ref) error
}
