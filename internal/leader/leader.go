package leader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/follow"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// Agents sends orders to instances.
type Agents = batch.Agents

// Relays distributes the calls of Agents over other processes in a large fleet.
type Relays interface {
	// Lead begins a tenure, which ends when ctx is cancelled.
	Lead(ctx context.Context, fence int64)
	// SetFleet sets the VMs that are held: availability zone by VM ID.
	SetFleet(fleet map[string]string)
	// AwaitReady waits up to d until relays are available for the fleet.
	AwaitReady(ctx context.Context, d time.Duration)
	// Relayed reports whether orders to a VM go through a relay.
	Relayed(id string) bool
	// Serving returns the number of VMs that each relay serves, by node.
	Serving() map[string]int
}

// Adviser selects the instances that may run a step of queues that require advice. It returns
// their tickets by instance ID and how long the tickets are valid.
type Adviser interface {
	Advise(ctx context.Context, task batch.TaskID, ids []string) (map[string]string, time.Duration, error)
}

// Instances returns the registered instances.
type Instances func(ctx context.Context) ([]batch.Instance, error)

const (
	// listInterval is the interval between reads of the instance list. A draining instance
	// must get no new tasks after 2 s; one read costs the store as little as one change of one
	// entry.
	listInterval = 500 * time.Millisecond
	// listTimeout bounds one read of the list: with 3,000 VMs it takes six pages in sequence,
	// on a busy processor.
	listTimeout = 2 * time.Second
	// planRestFactor is the pause after a plan as a multiple of the time the plan took.
	// Planning takes longer the more tasks wait; without the pause a leader with a backlog
	// does nothing else, its calls time out, and it loses its lease.
	planRestFactor = 3
	// planRestFloorPerVM is the minimum pause per VM: each plan examines all VMs, even when
	// there is nothing to decide. maxPlanRestFloor caps it, since a start waits for the next
	// plan.
	planRestFloorPerVM = 15 * time.Microsecond
	maxPlanRestFloor   = 20 * time.Millisecond
	// planInterval is the interval between plans when nothing triggers one.
	planInterval = 50 * time.Millisecond
	// maxConcurrentOrders bounds the concurrent calls from this process. One takes about 5 ms,
	// so 900 a second need five. A change of leader causes more, and their timeouts must not
	// run while they wait for the processor or a connection.
	maxConcurrentOrders = 96
	// maxConcurrentRelayed bounds the calls that go through relays, which use no connections
	// and few timeouts in this process. At 25 ms each, 4,000 a second need a hundred; after a
	// change of leader those of a whole fleet are sent at once.
	maxConcurrentRelayed = 2048
	// relaysReadyTimeout is how long a new leader waits for relays before it holds a large
	// fleet itself. Processes offer to relay when they see the leader's key.
	relaysReadyTimeout = 500 * time.Millisecond
	// rebuildTimeout bounds one attempt to read all records.
	rebuildTimeout    = 5 * time.Second
	rebuildRetryDelay = 200 * time.Millisecond
	// jobsWatchTimeout bounds one watch call for new jobs.
	jobsWatchTimeout = 2 * time.Second
	// jobsReadTimeout bounds one read of all jobs after the store lost its history. Some
	// thousand jobs take several seconds on a narrow link; a read without progress is aborted
	// sooner.
	jobsReadTimeout = 20 * time.Second
)

// Leader runs the scheduler during the tenures of this process.
type Leader struct {
	Store  durable.Store
	Agents Agents
	// Relays may be nil; then this process sends all orders itself.
	Relays    Relays
	Adviser   Adviser
	Instances Instances
	Machines  Machines
	// Node is the name of this process, sent to the machine service.
	Node string
	// Address is where peers reach this process; it is recorded for successors.
	Address      string
	Predecessors Predecessors
	// Waves returns the maintenance waves that the operator requested.
	Waves      func() []batch.Wave
	ReportWave WaveReport
	// Config returns the configuration in force, or nil.
	Config func() *batch.Config
	// Evacuations returns the evacuations in force; never nil. ReadEvacuations reads them from
	// the store first, so that a new leader knows those of which its process was not told.
	Evacuations     func() *batch.Evacuations
	ReadEvacuations func(ctx context.Context) error
	Settings        scheduler.Settings
	Log             *eventlog.Log
	// WallMS is the time of day in milliseconds since 1970.
	WallMS func() int64
	// ObserveDecision is called with each decision, for metrics; may be nil.
	ObserveDecision func(scheduler.Decision)
	// ObserveDelay is called with each delay of this leader's work; may be nil.
	ObserveDelay func(Delay, time.Duration)
	// ObserveEnd is called when a VM reports an end for the first time; may be nil.
	ObserveEnd func(scheduler.EndStatus)

	mu   sync.Mutex
	term *term
	// closedTenures are the ended tenures of this process whose leases may not have expired.
	closedTenures []closedTenure
	// earlyCancellations holds when cancellations were announced while there was no term.
	earlyCancellations map[string]time.Duration
}

// term is the state of one tenure.
type term struct {
	*Leader
	tenure *Tenure
	log    *eventlog.Log

	// mu guards sched and the fields below it.
	mu                sync.Mutex
	sched             *scheduler.Scheduler
	recordedInstances instanceAddresses
	// expiredLeases is the stored value of expiredLeasesKey.
	expiredLeases map[string]scheduler.ExpiredLease
	// expiredLeasesRead is set once expiredLeases has been read.
	expiredLeasesRead bool
	// instancesRevision is the store revision of the instance record.
	instancesRevision int64
	holds             map[string]context.CancelFunc
	// unackedEnds holds the unacknowledged ends of each VM.
	unackedEnds map[string]unackedEnds
	config      *batch.Config
	// closed is set once the leases of the tenure were reported to a successor or kept for
	// one. No lease may be renewed afterwards.
	closed bool
	// pastTenures are the earlier tenures whose leases may last; pastTenuresComplete is set if
	// none is missing.
	pastTenures         []PastTenure
	pastTenuresComplete bool
	// currentHoldWait is the wait of a hold in nanoseconds.
	currentHoldWait atomic.Int64
	// fleetSize is the number of VMs that are held.
	fleetSize atomic.Int64
	// flushed is closed and replaced after each flush.
	flushed       chan struct{}
	planRequested chan struct{}
	work          sync.WaitGroup
	// startWindow bounds the concurrent starts; backlog tracks starts that are decided but not
	// sent yet. directCalls bounds the other calls from this process, relayedCalls those
	// through relays.
	startWindow               *startWindow
	backlog                   *scheduler.Backlog
	directCalls, relayedCalls chan struct{}
	// relaysAwaited is set after the first wait for relays.
	relaysAwaited bool
	// modelRead is set once the stored model has been read, or is known to be absent. It is
	// used by the rebuild and, after it, by modelLoop only.
	modelRead bool
	// cancelledEarly holds the time of each cancellation that arrived before its job.
	cancelledEarly map[string]time.Duration
	// removed are the jobs that this leader removed recently.
	removed removals
	// unknownPools are the listed instances that were last left out since the configuration does
	// not name their pools.
	unknownPools map[string]bool
	// adviceMu is held during a call to the adviser.
	adviceMu sync.Mutex
}

// Lead schedules until ctx ends.
func (l *Leader) Lead(ctx context.Context, tenure *Tenure) {
	t := &term{
		Leader: l, tenure: tenure, log: l.Log, recordedInstances: instanceAddresses{}, removed: removals{}, cancelledEarly: map[string]time.Duration{},
		holds: map[string]context.CancelFunc{}, unackedEnds: map[string]unackedEnds{}, flushed: make(chan struct{}),
		planRequested: make(chan struct{}, 1), directCalls: make(chan struct{}, maxConcurrentOrders), relayedCalls: make(chan struct{}, maxConcurrentRelayed),
		startWindow: newStartWindow(maxConcurrentOrders), backlog: scheduler.NewBacklog(),
	}
	if l.Relays != nil {
		t.startWindow = newStartWindow(maxConcurrentRelayed)
		l.Relays.Lead(ctx, tenure.Fence)
	}
	t.sched = scheduler.New(l.Settings, tenure.Fence, t.logDecision)
	jobs, err := t.rebuild(ctx)
	if err != nil {
		return
	}
	l.setTerm(t)
	defer l.endTerm(t)
	t.log.Event("leader_ready", eventlog.Fields{"fence": tenure.Fence, "jobs": jobs.jobCount, "starts": jobs.startCount})
	t.run(ctx, jobs.revision)
	t.work.Wait()
	t.logEnd()
}

// logEnd logs what outlasts the tenure: the VMs with leases, the longest lease, and the ends
// that the VMs will report to the successor.
func (t *term) logEnd() {
	f := t.stats()
	t.log.Event("leader_ended", eventlog.Fields{
		"fence": f.Fence, "vms": f.VMs, "runs": f.Runs, "leased_vms": f.Leased, "longest_lease_ms": f.LongestLease.Milliseconds(),
		"unacknowledged_ends": f.UnackedEnds, "confirmed_ago_ms": t.tenure.sinceRenewed().Milliseconds(),
	})
}

func (l *Leader) setTerm(t *term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = t
	l.applyEarlyCancellations(t)
}

func (l *Leader) currentTerm() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// run starts the loops of the tenure and plans until it ends.
func (t *term) run(ctx context.Context, revision int64) {
	jobs := &follow.Follower{
		Store: t.Store, Prefix: jobsPrefix, Wait: jobsWatchTimeout, ReadTimeout: jobsReadTimeout, StartRevision: revision,
		Handle:  func(items []durable.Item, _ int64, whole bool) { t.observeJobs(items, whole) },
		OnError: func(err error) { t.log.Warn("jobs_not_followed", err, eventlog.Fields{"fence": t.tenure.Fence}) },
	}
	for _, loop := range []func(context.Context){
		func(ctx context.Context) { _ = jobs.Serve(ctx) }, t.listLoop, t.flushLoop, t.unknownJobsLoop, t.predecessorsLoop, t.newJobsRevisionLoop, t.livenessLoop, t.forgetLoop, t.modelLoop, t.wavesLoop, t.tokenLoop,
	} {
		t.work.Go(func() { loop(ctx) })
	}
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	confirmed, lag := true, time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.planRequested:
		case <-ticker.C:
		}
		confirmed = t.logConfirmation(confirmed)
		if !t.tenure.MayAct() {
			t.tenure.End()
			return
		}
		planStart := steady.Now()
		t.plan(ctx, lag)
		restStart := steady.Now()
		rest := t.restAfterPlan(restStart - planStart)
		pause.For(ctx, rest)
		// The excess of the pause is how long ready work waits for the processor.
		lag = steady.Now() - restStart - rest
	}
}

// restAfterPlan returns the pause after a plan that took the given time.
func (t *term) restAfterPlan(took time.Duration) time.Duration {
	vms := time.Duration(t.fleetSize.Load())
	return min(max(planRestFactor*took, min(vms*planRestFloorPerVM, maxPlanRestFloor)), planInterval)
}

// logConfirmation logs when this leader starts or stops acting without a confirmed lease.
// Meanwhile another process may lead, while this one renews leases of VMs.
func (t *term) logConfirmation(before bool) bool {
	now := t.tenure.Confirmed()
	if now == before {
		return now
	}
	f := eventlog.Fields{"fence": t.tenure.Fence, "confirmed_ago_ms": t.tenure.sinceRenewed().Milliseconds()}
	if now {
		t.log.Event("leader_confirmed", f)
	} else {
		t.log.Event("leader_unconfirmed", f)
	}
	return now
}

// sinceRenewed returns the time since the last successful renewal was sent.
func (t *Tenure) sinceRenewed() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return steady.Now() - t.renewedAt
}

// requestPlan triggers a plan without waiting for the next interval.
func (t *term) requestPlan() {
	select {
	case t.planRequested <- struct{}{}:
	default:
	}
}

// plan makes decisions and sends the resulting orders. lag is how long ready work waits for
// the processor.
func (t *term) plan(ctx context.Context, lag time.Duration) {
	now := steady.Now()
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	if c := t.Config(); c != nil && c != t.config {
		t.config = c
		t.sched.SetConfig(c)
	}
	t.sched.SetEvacuations(t.Evacuations())
	t.sched.SetStartBudget(t.startCapacity(now, lag))
	t.sched.ConfirmLeadership(t.tenure.RenewedAt())
	t.sched.Tick(now)
	t.sched.OpenDue(now, t.WallMS())
	orders := t.sched.Plan(now)
	budgetLeft := t.sched.StartBudgetLeft()
	t.mu.Unlock()
	t.observeDelay(DelayPlan, steady.Now()-now)
	decidedAt := steady.Now()
	recordSent := t.backlog.RecordPlan(decidedAt, scheduler.CountStarts(orders), budgetLeft)
	for i := range orders {
		o := orders[i]
		t.work.Go(func() {
			t.executeOrder(ctx, o, func(now time.Duration) {
				t.observeDelay(DelayOrder, now-decidedAt)
				recordSent(now)
			})
		})
	}
}

// startCapacity returns how many starts may be decided now. lag is how long ready work waits
// for the processor.
func (t *term) startCapacity(now, lag time.Duration) scheduler.StartBudget {
	if t.startWindow.isFull() {
		return scheduler.StartBudget{}
	}
	return t.backlog.Budget(now, lag)
}

// Delay is a kind of delay in the leader's work. All kinds grow when its processor is
// saturated.
type Delay string

// Kinds of delays.
const (
	// DelayOrder is the time between the decision of a start and its sending.
	DelayOrder Delay = "order"
	// DelayReport is the time between the arrival of a VM's report from a relay and its
	// processing.
	DelayReport Delay = "report"
	// DelayPlan is the duration of a plan.
	DelayPlan Delay = "plan"
)

// Delays lists all kinds of delays.
var Delays = []Delay{DelayOrder, DelayReport, DelayPlan}

func (t *term) observeDelay(d Delay, took time.Duration) {
	if t.ObserveDelay != nil {
		t.ObserveDelay(d, took)
	}
}

// confirmPollInterval is how often an unconfirmed leader checks whether it is confirmed.
const confirmPollInterval = 20 * time.Millisecond

// maxJobAge bounds the age of a submission, which is the difference of two wall clocks, either
// of which may jump.
const maxJobAge = time.Minute
