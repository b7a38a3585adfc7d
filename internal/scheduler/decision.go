package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Decision is a log line: an event of the closed list in docs/OPERATIONS.md, its
// subject and its reason.
type Decision struct {
	Event string
	Job   string
	Task  batch.TaskID
	VM    string
	Run   int64
	// Reason names the input that led to the decision.
	Reason string
	// Age is the age of that input, or how long the subject has waited.
	Age time.Duration
	// Group is the queue group of the step whose task is started.
	Group string
	// Place is where a started run is, or how a wait for a place ended.
	Place Place
	// PredictedWait is the wait until the job's first start that was predicted when the job
	// arrived. It is set for that start if HasPrediction is.
	PredictedWait time.Duration
	HasPrediction bool
	// Value is a number that belongs to the reason.
	Value float64
	// Outcome tells which run of a copied task was first: CopyWon or CopyLost.
	Outcome string
	// MinLifetime is how long a lost run is known to have run, MaxLifetime the longest that
	// it can have run, which is until a hold to its VM first went unanswered. Runs that end
	// their VM as they begin live for a few milliseconds each time.
	MinLifetime, MaxLifetime time.Duration
	// RecentRuns counts the runs that had just begun on a VM that is gone.
	RecentRuns int
	// SinceReport is the time since the VM's last report, LeaseLeft how long a lease of
	// this leader may still be valid there (negative if expired). Both are set where the
	// end of a VM or of its runs is inferred.
	SinceReport, LeaseLeft time.Duration
	// Born identifies the VM's incarnation, Acked the highest end acknowledged to it. They
	// are set where a VM first reports or restarts, or a run is not listed.
	Born, Acked int64
	// Zone is the availability zone whose evacuation begins or ends, Revision the store
	// revision of the request.
	Zone     string
	Revision int64
}

// OrderKind is the type of an order.
type OrderKind int

// The kinds of order.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
	// OrderAdvise asks the adviser which of Candidates may run the task's step; the
	// leader passes the outcome to Advised.
	OrderAdvise
	// OrderMaintain begins the maintenance of Machine; the leader passes the outcome to
	// HandleMaintenanceResult.
	OrderMaintain
)

// Order is an instruction for an instance. The leader carries it out and passes the
// outcome to Started or Stopped.
type Order struct {
	Kind     OrderKind
	Instance batch.Instance
	Start    batch.StartOrder
	Task     batch.TaskID
	Run      int64
	Percent  int
	// Candidates are the IDs of the instances that OrderAdvise names.
	Candidates []string
	// Machine and Wave name a maintenance.
	Machine string
	Wave    int64
}
