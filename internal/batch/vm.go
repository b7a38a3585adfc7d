package batch

import (
	"fmt"
	"time"

	"github.com/rattanwall/rattanwall/internal/model"
)

// Resources is an amount of each limited resource of a VM.
type Resources = model.Resources

// Instance is a VM as its entry on the list describes it. A VM may restart under the same
// ID: the new incarnation runs nothing, has seen no fencing token, and restarts its clock
// and the numbering of its ends. Orders name the ID and reach the current incarnation.
type Instance struct {
	ID string
	// Born identifies the VM's incarnation: the wall-clock time of its start in Unix
	// milliseconds, 0 if unknown. Wall clocks may jump, so a later incarnation may have
	// a lower value.
	Born    int64
	Pool    string
	Address string
	// Zone is the availability zone.
	Zone string
	// Draining is set when the instance accepts no new tasks and leaves soon.
	Draining bool
	// Remaining is the minimum time until a draining instance leaves; 0 means unknown.
	Remaining time.Duration
	Capacity  Resources
	// Stale is set when the instance has not refreshed its entry for some time, so that
	// the other fields may be out of date.
	Stale bool
	// Labels holds the VM's kind and rack, in this order.
	Labels []string
}

// Rack returns the label of the instance's rack, or "" if unknown.
func (i *Instance) Rack() string {
	if len(i.Labels) < 2 {
		return ""
	}
	return i.Labels[len(i.Labels)-1]
}

// HasLabel reports whether label is empty or one of the instance's labels.
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
	// EndLapsed means that the run's lease expired.
	EndLapsed EndKind = "lapsed"
	// EndBroken means that another member of the gang ended.
	EndBroken EndKind = "broken"
	// EndAlone means that the other members of the gang did not start in time.
	EndAlone EndKind = "alone"
)

// RunStatus describes a run in its VM's report.
type RunStatus struct {
	Task TaskID
	Run  int64
	// Checkpoint is the newest saved progress; empty for none.
	Checkpoint string
	// Progress is the percentage of the run's work that is done, 0 to 100; for a lasting
	// run, of its startup: at 100 it is available.
	Progress int
	// Usage is approximate and covers the last half second: the tail latency in
	// milliseconds for a serving task, otherwise the processor use in millicores.
	Usage float64
	// HasUsage is false when the VM did not report Usage.
	HasUsage bool
}

// RunEnd is the end of a run, which its VM reports until it is acknowledged.
type RunEnd struct {
	// Seq numbers the ends of one instance from 1.
	Seq        int64
	Task       TaskID
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// Report is an instance's report on its runs.
type Report struct {
	// Born identifies the reporting incarnation; 0 if unknown.
	Born    int64
	Clock   time.Duration
	Running []RunStatus
	Ended   []RunEnd
	// MoreEnded is set when Ended may be truncated: a run that is in neither list may
	// have ended.
	MoreEnded bool
}

// StartOrder requests the start of a run on an instance.
type StartOrder struct {
	Task       TaskID
	Run        int64
	Payload    string
	Checkpoint string
	// Ticket is the adviser's permission, if the queue requires one.
	Ticket string
	// Fence is the fencing token of the leader that sends the order.
	Fence int64
	// Born is the incarnation that the order is for, 0 for any. Other incarnations refuse
	// it with RefusedRestarted.
	Born int64
	// LeaseUntil is the end of the run's lease on the instance's own clock.
	LeaseUntil time.Duration
}

// HoldOrder renews the leases of all runs of an instance and requests its report.
type HoldOrder struct {
	Fence int64
	// LeaseUntil is the new end of the leases on the instance's own clock; 0 renews nothing.
	LeaseUntil time.Duration
	// Acked is the highest acknowledged RunEnd.Seq; ends up to it are not reported again.
	Acked int64
	// Wait bounds how long the instance may delay its response until a run ends.
	Wait time.Duration
}

// Refusal is the reason why an order was not carried out.
type Refusal string

// Reasons for which an order is refused.
const (
	// RefusedFence means that the instance has seen a higher fencing token.
	RefusedFence Refusal = "fence"
	// RefusedOld means that the run number is not above that of a run that ended there.
	RefusedOld Refusal = "old"
	// RefusedLate means that the lease would already have expired.
	RefusedLate     Refusal = "late"
	RefusedCapacity Refusal = "room"
	RefusedTicket   Refusal = "ticket"
	// RefusedBusy means that the instance is unhealthy and did nothing.
	RefusedBusy Refusal = "busy"
	// RefusedUnreached means that the instance could not be reached and the order was not sent.
	RefusedUnreached Refusal = "unreached"
	// RefusedInvalid means that the instance considers the order invalid.
	RefusedInvalid Refusal = "invalid"
	// RefusedGone means that another instance responds at the address.
	RefusedGone Refusal = "gone"
	// RefusedRestarted means that the order is for another incarnation of the instance.
	RefusedRestarted Refusal = "restarted"
)

// RefusalError reports that an order was definitely not carried out.
type RefusalError struct {
	Reason Refusal
	// Cause is the error that kept the order from being sent; nil if the receiver refused it.
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
