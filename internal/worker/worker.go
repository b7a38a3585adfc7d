// Package worker defines the interface to the platform's agent on each VM, which
// runs tasks under leases. The wire format is in an adapter package. The owner of a
// VM rebuilds its ledger from the agent's own list of tasks, which is authoritative.
package worker

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/model"
)

// State is the state of a task at an agent.
type State string

// The states of a task at an agent. All but Running are final.
const (
	Running  State = "running"
	Finished State = "finished"
	Failed   State = "failed"
	// Stopped means that Stop ended the task.
	Stopped State = "stopped"
	// Lapsed means that the agent ended the task because its lease expired.
	Lapsed State = "lapsed"
)

// Ref identifies one attempt at a task.
type Ref struct {
	// Task is the string form of the TaskID.
	Task string `json:"task"`
	// Attempt is the number of this start of the task, from 1.
	Attempt int64 `json:"attempt"`
}

// Task is one entry of an agent's list.
type Task struct {
	Ref
	State     State           `json:"state"`
	Resources model.Resources `json:"resources"`
	// Checkpoint is what another attempt can resume from; empty before the first
	// checkpoint.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Status is a snapshot of an agent's list.
type Status struct {
	// Sequence increases with each change of a task, also across restarts of the VM.
	Sequence int64 `json:"sequence"`
	// Boot changes when the VM restarts.
	Boot string `json:"boot"`
	// Tasks holds only the tasks that changed after the requested sequence. Complete
	// lists would be most of the data that an agent sends.
	Tasks []Task `json:"tasks,omitempty"`
	// InFlight holds the hop IDs of the requests executing at the VM's target.
	InFlight []string `json:"in_flight"`
	// Connections counts the open connections at the VM's target.
	Connections int `json:"connections"`
	// Usage is the latest measurement, which is delayed.
	Usage Usage `json:"usage"`
}

// StartRequest asks an agent to run one attempt at a task.
type StartRequest struct {
	Ref
	Resources model.Resources `json:"resources"`
	// DurationMS is the declared run time in milliseconds.
	DurationMS int64 `json:"duration_ms"`
	// Resume is the checkpoint to resume from; empty to start from the beginning.
	Resume string `json:"resume,omitempty"`
	// LeaseMS is how long the task may run without a renewal, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// NotAfterUnixMS is the time, by the agent's wall clock, after which the agent
	// refuses the start. A start that was buffered while the VM was paused would
	// otherwise run concurrently with the next attempt.
	NotAfterUnixMS int64 `json:"not_after_unix_ms"`
}

// Usage is a delayed measurement of one VM.
type Usage struct {
	// AgeMS is the age of the measurement in milliseconds.
	AgeMS    int64           `json:"age_ms"`
	InUse    model.Resources `json:"in_use"`
	Slowdown float64         `json:"slowdown"`
}

// Errors of calls to an agent.
var (
	// ErrRefused means that the agent refused the call, which had no effect.
	ErrRefused = errors.New("the agent refused")
	// ErrNoTask means that the agent does not list the attempt.
	ErrNoTask = errors.New("the agent does not know the task")
	// ErrUnreachable means that the call did not reach the agent.
	ErrUnreachable = errors.New("the agent was not reached")
	// ErrUnknown means that the call may have taken effect.
	ErrUnknown = errors.New("the agent's answer was lost")
)

// Agent runs tasks on one VM.
type Agent interface {
	// Status returns the tasks that changed after a sequence, or all tasks if it is below
	// 0. It waits up to wait for a change.
	Status(ctx context.Context, after int64, wait time.Duration) (Status, error)
	// Start runs an attempt. A repeated call for the same attempt has no effect.
	Start(ctx context.Context, req StartRequest) error
	// Renew renews the leases of all tasks running on the VM.
	Renew(ctx context.Context, lease time.Duration) error
	// Stop ends an attempt, after a checkpoint if requested, and returns its final
	// entry. Stopping an ended attempt returns the same entry.
	Stop(ctx context.Context, ref Ref, checkpoint bool) (Task, error)
	// CheckpointAll saves the progress of all running attempts and returns them.
	CheckpointAll(ctx context.Context) ([]Task, error)
	// Throttle limits an attempt to a share of its processors, 0 to 1.
	Throttle(ctx context.Context, ref Ref, share float64) error
	// Forget removes ended attempts from the list, after their end was recorded. It
	// does not count as a change.
	Forget(ctx context.Context, refs []Ref) error
}
