package batch

import (
	"fmt"
	"time"

	"github.com/rattanwall/rattanwall/internal/model"
)

// Resources is an amount of each thing that a VM has only so much of.
type Resources = model.Resources

// Instance is a VM as its entry on the list describes it. A VM may start again under its
// ID: it then runs nothing, has seen no fencing token, and counts its ends and its time
// anew. Orders name the ID and reach whichever start is there.
type Instance struct {
	ID string
	// Born tells the starts of a VM apart: the time of day of the start, in milliseconds
	// since 1970; 0 where it is not told. Clocks of the time of day jump, so that a later
	// start need not have the higher value.
	Born    int64
	Pool    string
	Address string
	// Zone is the availability zone.
	Zone string
	// Draining instances take no new tasks and leave soon.
	Draining bool
	// Remaining is the least time that a draining instance has left; 0 is unknown.
	Remaining time.Duration
	Capacity  Resources
	// Stale is set where the instance has not written for some time that it lives: what it
	// said of itself may be out of date.
	Stale bool
	// Labels holds the VM's kind and its rack, in this order.
	Labels []string
}

// Rack is the rack's label, or "" when it is not told.
func (i *Instance) Rack() string {
	if len(i.Labels) < 2 {
		return ""
	}
	return i.Labels[len(i.Labels)-1]
}

// HasLabel reports whether label is empty or among the instance's labels.
func (i *Instance) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range i.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// EndKind is how a run ended.
type EndKind string

// The ways a run ends. Only EndFailed counts against a task's attempts.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLapsed: the lease expired.
	EndLapsed EndKind = "lapsed"
	// EndBroken: another member of the gang ended.
	EndBroken EndKind = "broken"
	// EndAlone: the other members of the gang did not come in time.
	EndAlone EndKind = "alone"
)

// RunStatus is a run as its VM lists it.
type RunStatus struct {
	Task TaskID
	Run  int64
	// Checkpoint is the newest saved progress; empty for none.
	Checkpoint string
	// Progress is the share of its work that is done, 0 to 100; for a lasting
	// run, of its startup: at 100 it is at work.
	Progress int
	// Usage is a rough figure of the last half second: milliseconds of tail
	// latency for a serving task, else thousandths of a processor in use.
	Usage float64
	// HasUsage is false when the VM did not tell the figure.
	HasUsage bool
}

// RunEnd is the end of a run as its VM lists it, until it is acknowledged.
type RunEnd struct {
	// Seq numbers the ends of one instance, from 1.
	Seq        int64
	Task       TaskID
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// Report is an instance's own account of what it runs.
type Report struct {
	// Born is that of the start which reports, 0 where it is not told.
	Born    int64
	Clock   time.Duration
	Running []RunStatus
	Ended   []RunEnd
	// MoreEnded is set when there may be ends that Ended has no room for: a run
	// that is in neither list may have ended all the same.
	MoreEnded bool
}

// StartOrder tells an instance to start a run.
type StartOrder struct {
	Task       TaskID
	Run        int64
	Payload    string
	Checkpoint string
	// Ticket is the adviser's permission, where the queue needs one.
	Ticket string
	// Fence is the fencing token of the leader that gives the order.
	Fence int64
	// Born is the start of the instance that the order is for, 0 for any. No other one carries
	// it out: it is refused as RefusedRestarted.
	Born int64
	// LeaseUntil is on the instance's own clock.
	LeaseUntil time.Duration
}

// HoldOrder renews the lease of everything that an instance runs and asks for
// its report.
type HoldOrder struct {
	Fence int64
	// LeaseUntil is on the instance's own clock; 0 renews nothing.
	LeaseUntil time.Duration
	// Acked is the highest end sequence that need not be told again.
	Acked int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Refusal is why an instance did not carry an order out.
type Refusal string

// The refusals.
const (
	// RefusedFence: the instance has seen a higher fencing token.
	RefusedFence Refusal = "fence"
	// RefusedOld: the run is not higher than one that ended there.
	RefusedOld Refusal = "old"
	// RefusedLate: the lease would be over already.
	RefusedLate     Refusal = "late"
	RefusedCapacity Refusal = "room"
	RefusedTicket   Refusal = "ticket"
	// RefusedBusy: the instance is unhealthy and has done nothing.
	RefusedBusy Refusal = "busy"
	// RefusedUnreached: the instance was not reached; the order never left.
	RefusedUnreached Refusal = "unreached"
	// RefusedInvalid: the order makes no sense to the instance.
	RefusedInvalid Refusal = "invalid"
	// RefusedGone: another instance answers at that address.
	RefusedGone Refusal = "gone"
	// RefusedRestarted: another start of the instance is there than the one that was meant.
	RefusedRestarted Refusal = "restarted"
)

// RefusalError says that an order was certainly not carried out.
type RefusalError struct {
	Reason Refusal
	// Cause is why nothing was reached; nil where the other side refused.
	Cause error
}

// Error implements error.
func (e *RefusalError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("refused: %s: %v", e.Reason, e.Cause)
	}
	return fmt.Sprintf("refused: %s", e.Reason)
}

// Unwrap returns the cause.
func (e *RefusalError) Unwrap() error { return e.Cause }
