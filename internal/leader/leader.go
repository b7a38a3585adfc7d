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

// Agents gives orders to instances.
type Agents = batch.Agents

// Relays spread the Agents' work over other processes where the fleet is large.
type Relays interface {
	// Lead begins a tenure, which ends with ctx.
	Lead(ctx context.Context, fence int64)
	// SetFleet tells which VMs are held, by ID with their availability zone.
	SetFleet(fleet map[string]string)
	// AwaitReady waits up to d until there are relays for the fleet.
	AwaitReady(ctx context.Context, d time.Duration)
	// Relayed reports whether orders to a VM go through a relay.
	Relayed(id string) bool
	// Serving returns the relays by node, with how many VMs each serves.
	Serving() map[string]int
}

// Adviser knows which instances may run a step of some queues. It returns their
// tickets by ID and how long these last.
type Adviser interface {
	Advise(ctx context.Context, task batch.TaskID, ids []string) (map[string]string, time.Duration, error)
}

// Instances lists the instances that are registered.
type Instances func(ctx context.Context) ([]batch.Instance, error)

const (
	// listInterval is how often the list of instances is read: a draining one must
	// get nothing new after 2 s, and one read costs the store as little as one
	// change of one entry.
	listInterval = 500 * time.Millisecond
	// listTimeout bounds one reading of the list: with 3,000 VMs six pages, one
	// after the other, on a processor that is busy.
	listTimeout = 2 * time.Second
	// planRestFactor is the rest after a plan, as a multiple of its time. Planning takes
	// longer the more waits; without the rest a leader with a backlog does nothing
	// else, its calls time out, and it loses its lease.
	planRestFactor = 3
	// planRestFloorPerVM is the least rest for each VM: each plan looks at all of them, whatever
	// there is to decide. maxPlanRestFloor bounds it, since a start waits for the next plan.
	planRestFloorPerVM = 15 * time.Microsecond
	maxPlanRestFloor   = 20 * time.Millisecond
	// planInterval is how often the plan is looked at without a cause.
	planInterval = 50 * time.Millisecond
	// maxConcurrentOrders bounds the calls under way: one takes some 5 ms, so that 900
	// a second need five. More are given after a change of leader, and their
	// timeouts must not run while they wait for the processor or a connection.
	maxConcurrentOrders = 96
	// maxConcurrentRelayed bounds those that go through relays, which have no connections
	// and few timeouts here: at 25 ms each 4,000 a second need a hundred, and
	// after a change of leader a whole fleet's are given at once.
	maxConcurrentRelayed = 2048
	// relaysReadyTimeout is how long a new leader waits for relays before it holds a large
	// fleet itself: processes offer themselves when they see its key.
	relaysReadyTimeout = 500 * time.Millisecond
	// rebuildTimeout bounds one attempt to read all records.
	rebuildTimeout    = 5 * time.Second
	rebuildRetryDelay = 200 * time.Millisecond
	// jobsWatchTimeout is how long one watch for new jobs waits.
	jobsWatchTimeout = 2 * time.Second
)

// Leader does the leader's work during a tenure.
type Leader struct {
	Store  durable.Store
	Agents Agents
	// Relays may be nil: then all orders are given from this process.
	Relays    Relays
	Adviser   Adviser
	Instances Instances
	Machines  Machines
	// Node is this process's name, told to the machine service.
	Node string
	// Address is where its peers reach it, told to successors.
	Address      string
	Predecessors Predecessors
	// Waves returns the waves that the operator asked for.
	Waves      func() []batch.Wave
	ReportWave WaveReport
	// Config returns the configuration in force, or nil.
	Config   func() *batch.Config
	Settings scheduler.Settings
	Log      *eventlog.Log
	// WallMS is the time of day in milliseconds since 1970.
	WallMS func() int64
	// ObserveDecision is told of each decision, for the metrics; may be nil.
	ObserveDecision func(scheduler.Decision)
	// ObserveDelay is told how long work of this leader waited or took; may be nil.
	ObserveDelay func(Delay, time.Duration)
	// ObserveEnd is told of each end that a VM tells for the first time; may be nil.
	ObserveEnd func(scheduler.EndStatus)

	mu   sync.Mutex
	term *term
	// closedTenures are the tenures of this process that ended, while leases of theirs last.
	closedTenures []closedTenure
}

// term is the state of one tenure.
type term struct {
	*Leader
	tenure *Tenure
	log    *eventlog.Log

	// mu guards sched and what follows.
	mu                sync.Mutex
	sched             *scheduler.Scheduler
	recordedInstances instanceAddresses
	// expiredLeases is what the store has under expiredLeasesKey.
	expiredLeases map[string]scheduler.ExpiredLease
	// expiredLeasesRead is set once that is known.
	expiredLeasesRead bool
	// instancesRevision is that of the record of instances.
	instancesRevision int64
	holds             map[string]context.CancelFunc
	// unackedEnds are the ends that each VM goes on telling.
	unackedEnds map[string]unackedEnds
	config      *batch.Config
	// closed is set once the leases of the tenure were told to a successor, or kept
	// for it: no further ones may be taken.
	closed bool
	// pastTenures are the tenures before this one, pastTenuresComplete whether these are all.
	pastTenures         []PastTenure
	pastTenuresComplete bool
	// currentHoldWait is how long a hold waits, in nanoseconds.
	currentHoldWait atomic.Int64
	// fleetSize is how many VMs are held.
	fleetSize atomic.Int64
	// flushed is closed and replaced after each flush.
	flushed       chan struct{}
	planRequested chan struct{}
	work          sync.WaitGroup
	// startWindow bounds the starts under way, backlog those that wait to be given, carrying the other calls from this process,
	// relayed those through others.
	startWindow               *startWindow
	backlog                   *scheduler.Backlog
	directCalls, relayedCalls chan struct{}
	// relaysAwaited is set once relays were waited for.
	relaysAwaited bool
	// modelRead is set once it is known what earlier leaders have learned. Only the
	// rebuild, and after it the model's loop, look at it.
	modelRead bool
	// cancelledEarly are the jobs whose cancellation came before they did, with the
	// time at which it came.
	cancelledEarly map[string]time.Duration
	// removed are the jobs that this leader has removed of late.
	removed removals
	// adviceMu is held during a question to the adviser.
	adviceMu sync.Mutex
}

// Lead does the leader's work until ctx ends.
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

// logEnd tells what goes on without this leader: where leases that it took may
// live, and for how long, and which ends its successor will hear.
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
}

func (l *Leader) currentTerm() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// run starts the loops of the tenure and waits for its end.
func (t *term) run(ctx context.Context, revision int64) {
	jobs := &follow.Follower{Store: t.Store, Prefix: jobsPrefix, Wait: jobsWatchTimeout, Handle: t.observeJobs, After: revision}
	for _, loop := range []func(context.Context){
		func(ctx context.Context) { _ = jobs.Serve(ctx) }, t.listLoop, t.flushLoop, t.unknownJobsLoop, t.predecessorsLoop, t.newJobsRevisionLoop, t.livenessLoop, t.forgetLoop, t.modelLoop, t.wavesLoop, t.tokenLoop,
	} {
		t.work.Go(func() { loop(ctx) })
	}
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	confirmed, late := true, time.Duration(0)
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
		began := steady.Now()
		t.plan(ctx, late)
		rested := steady.Now()
		rest := t.restAfterPlan(rested - began)
		pause.For(ctx, rest)
		// How late the rest ends tells how long whatever is ready waits for the processor.
		late = steady.Now() - rested - rest
	}
}

// restAfterPlan is the rest after a plan that took so long.
func (t *term) restAfterPlan(took time.Duration) time.Duration {
	vms := time.Duration(t.fleetSize.Load())
	return min(max(planRestFactor*took, min(vms*planRestFloorPerVM, maxPlanRestFloor)), planInterval)
}

// logConfirmation tells when this leader begins to act without being confirmed, and
// when that ends: meanwhile another may lead, while leases are renewed here.
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

// sinceRenewed is how old the last renewal is that the store answered.
func (t *Tenure) sinceRenewed() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return steady.Now() - t.renewedAt
}

// requestPlan makes the plan be looked at soon.
func (t *term) requestPlan() {
	select {
	case t.planRequested <- struct{}{}:
	default:
	}
}

// plan decides and has the orders given, by a process that is so late with what is ready.
func (t *term) plan(ctx context.Context, late time.Duration) {
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
	t.sched.SetStartBudget(t.startCapacity(now, late))
	t.sched.ConfirmLeadership(t.tenure.RenewedAt())
	t.sched.Tick(now)
	t.sched.OpenDue(now, t.WallMS())
	orders := t.sched.Plan(now)
	left := t.sched.StartBudgetLeft()
	t.mu.Unlock()
	t.observeDelay(DelayPlan, steady.Now()-now)
	decidedAt := steady.Now()
	given := t.backlog.RecordPlan(decidedAt, scheduler.CountStarts(orders), left)
	for i := range orders {
		o := orders[i]
		t.work.Go(func() {
			t.executeOrder(ctx, o, func(now time.Duration) {
				t.observeDelay(DelayOrder, now-decidedAt)
				given(now)
			})
		})
	}
}

// startCapacity is how many starts may be decided now, by a process that is so late.
func (t *term) startCapacity(now, late time.Duration) scheduler.StartBudget {
	if t.startWindow.isFull() {
		return scheduler.StartBudget{}
	}
	return t.backlog.Budget(now, late)
}

// Delay is what of a leader's work waits, or takes time: where its processor is full, all
// of them grow.
type Delay string

// The delays.
const (
	// DelayOrder: a start waited between its decision and its being given.
	DelayOrder Delay = "order"
	// DelayReport: a VM's report waited between its arrival from a relay and its being taken on.
	DelayReport Delay = "report"
	// DelayPlan: a plan took so long.
	DelayPlan Delay = "plan"
)

// Delays are all of them.
var Delays = []Delay{DelayOrder, DelayReport, DelayPlan}

func (t *term) observeDelay(d Delay, took time.Duration) {
	if t.ObserveDelay != nil {
		t.ObserveDelay(d, took)
	}
}

// confirmPollInterval is how often an unconfirmed leader looks whether it is confirmed.
const confirmPollInterval = 20 * time.Millisecond

// awaitConfirmed waits until the lease is known to be ours, and reports whether
// it is. A leader that was cut off and comes back goes on with what it had, but
// must not take up what came meanwhile: a successor may have started it, on VMs
// that this one does not hear.
func (t *term) awaitConfirmed() bool {
	for !t.tenure.Confirmed() {
		if !t.tenure.MayAct() {
			return false
		}
		time.Sleep(confirmPollInterval)
	}
	return true
}

// AcceptAnnouncement takes a job, or a cancellation, over that is in the store already. It
// returns false when this process does not lead for certain: then the leader's
// watch tells it.
func (l *Leader) AcceptAnnouncement(key string, value []byte) bool {
	t := l.currentTerm()
	if t == nil || !t.tenure.Confirmed() {
		return false
	}
	t.observeJobs([]durable.Item{{Key: key, Value: value}}, false)
	return true
}

// lockConfirmed takes the lock at a moment at which the lease is known to be ours;
// ok is false when the tenure is over. The lease may run out during the wait for
// the lock.
func (t *term) lockConfirmed() (ok bool) {
	for t.awaitConfirmed() {
		t.mu.Lock()
		if t.tenure.Confirmed() {
			return true
		}
		t.mu.Unlock()
	}
	return false
}

// observeJobs takes new jobs and cancels over.
func (t *term) observeJobs(items []durable.Item, _ bool) {
	if !t.lockConfirmed() {
		return
	}
	for i := range items {
		if !items[i].Deleted {
			t.observeJob(&items[i])
		}
	}
	t.mu.Unlock()
	t.requestPlan()
}

func (t *term) observeJob(item *durable.Item) {
	now := steady.Now()
	id, cancelled := parseJobKey(item.Key)
	if cancelled {
		if _, known := t.sched.State(id); !known {
			t.cancelledEarly[id] = now
		}
		t.sched.Cancel(now, id)
		return
	}
	if t.removed.covers(id, item) {
		return
	}
	r, err := decodeJob(id, item.Value)
	if err != nil {
		t.log.Warn("job_unreadable", err, eventlog.Fields{"job": id})
		return
	}
	sub := r.submission(t.jobAge(r))
	sub.CreatedRevision = item.Created
	// A job that this leader does not know and that has ended: what it did is in its
	// record, and its payload is gone.
	sub.Unreadable = r.Ended
	_, sub.Cancelled = t.cancelledEarly[id]
	t.sched.Submit(now, sub)
}

// maxJobAge bounds the age of a submission: it comes from two clocks of the time of
// day, which may jump.
const maxJobAge = time.Minute

// jobAge is how long ago a job was submitted.
func (t *term) jobAge(r *JobRecord) time.Duration {
	age := time.Duration(t.WallMS()-r.SubmittedMS) * time.Millisecond
	return min(max(age, 0), maxJobAge)
}

func (t *term) logDecision(d scheduler.Decision) {
	if t.ObserveDecision != nil {
		t.ObserveDecision(d)
	}
	t.log.EventOf(d.Event, func() eventlog.Fields { return decisionFields(&d) })
}

// decisionFields are a decision's for its line.
func decisionFields(d *scheduler.Decision) eventlog.Fields {
	f := eventlog.Fields{}
	if d.Job != "" {
		f["job"] = d.Job
	}
	if d.Task.Job != "" {
		f["job"], f["task"] = d.Task.Job, d.Task.String()
	}
	if d.VM != "" {
		f["vm"] = d.VM
	}
	if d.Run != 0 {
		f["run"] = d.Run
	}
	if d.Reason != "" {
		f["reason"] = d.Reason
	}
	if d.Age != 0 {
		f["age_ms"] = d.Age.Milliseconds()
	}
	if d.Value != 0 {
		f["value"] = d.Value
	}
	if d.Event == scheduler.EventRunLost {
		f["lived_ms"], f["lived_at_most_ms"] = d.MinLifetime.Milliseconds(), d.MaxLifetime.Milliseconds()
	}
	if d.RecentRuns != 0 {
		f["new_runs"] = d.RecentRuns
	}
	if d.SinceReport != 0 {
		f["unheard_ms"] = d.SinceReport.Milliseconds()
	}
	if d.Born != 0 {
		f["born"], f["acked"] = d.Born, d.Acked
	}
	if d.LeaseLeft != 0 {
		f["lease_left_ms"] = d.LeaseLeft.Milliseconds()
	}
	return f
}
