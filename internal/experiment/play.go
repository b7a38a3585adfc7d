package experiment

import (
	"context"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

const (
	// timeStep is the resolution of virtual time.
	timeStep = 20 * time.Millisecond
	// ratingInterval is the span by which lasting work is rated.
	ratingInterval = 2 * time.Second
	// harmFactor is how many times more a tail over its target costs than a task that
	// is away, where what fills beside it is the cause.
	harmFactor = 4.0
	// lateFactor times its objective a job still earns lateValueShare.
	lateFactor     = 3.0
	lateValueShare = 0.15
	// leaseExpiryDelay is how long after it was lost a VM counts as ended by its lease.
	leaseExpiryDelay = 9 * time.Second
)

// Outcome is what one play of a scenario came to.
type Outcome struct {
	Seed uint64 `json:"seed"`
	// Service is the worth earned over the worth asked for, 0 to 1.
	Service float64 `json:"service"`
	// Kinds has the same by kind of work.
	Kinds map[string]float64 `json:"kinds"`
	// Largest and Smallest are those of the largest tenth and the smaller half of the
	// filler jobs.
	Largest  float64 `json:"largest_fillers"`
	Smallest float64 `json:"smaller_fillers"`
	// HarmS is the time that serving tasks were over their target because of fillers, in
	// task seconds.
	HarmS float64 `json:"harm_task_s"`
	// LongestHarmS is the longest that one task was so on end.
	LongestHarmS float64 `json:"longest_harm_s"`
	// LongestWaitS is the longest wait of a short job's first task.
	LongestWaitS float64 `json:"longest_short_wait_s"`
	// Used is the share of all processors in use during the load.
	Used float64 `json:"used"`
	// WastedS is work that was not kept, in processor seconds.
	WastedS float64 `json:"wasted_s"`
	// CrashingJobs counts the jobs with a task that ends its VMs, Crashes the VMs that
	// such tasks ended.
	CrashingJobs int `json:"crashing_jobs,omitempty"`
	Crashes      int `json:"crashes,omitempty"`
	// Restarts counts the VMs that started again under their IDs.
	Restarts int `json:"restarts,omitempty"`
	// PaceOrders and Starts count orders.
	PaceOrders int `json:"pace_orders"`
	Starts     int `json:"starts"`
	// NsPerDecision and AllocsPerDecision are the processor time and allocations of the
	// scheduler for each start, all its calls counted; allocations, those of the model
	// included, are told where one play runs at a time.
	NsPerDecision     float64 `json:"ns_per_decision"`
	AllocsPerDecision float64 `json:"allocs_per_decision"`
}

// player plays one world against one policy.
type player struct {
	scenario *Scenario
	fleet    *fleet
	variant  *Variant
	sched    *scheduler.Scheduler
	fence    int64
	now      time.Duration
	// arrivals are the jobs still to come.
	arrivals          []*job
	submittedJobs     []*job
	store             map[string]*scheduler.Progress
	startSegments     map[scheduler.SegmentID]scheduler.StartSegment
	faults            []Fault
	pendingRecoveries []vmEvent
	// pendingListings are the VMs whose entries are still those of the start before.
	pendingListings []vmEvent
	// nextLeaderAt is when the next leader takes over, absent is set until then.
	nextLeaderAt time.Duration
	noLeader     bool
	lostAt       map[string]time.Duration
	crashFault   crashFault

	// pendingStarts are the starts that the leader has decided and not given, credit the share of
	// one that it has had time for.
	pendingStarts []pendingStart
	startCredit   float64
	backlog       *scheduler.Backlog

	earned, requested [kindCount]float64
	harmDurations     map[batch.TaskID]time.Duration
	accounts          map[*job]*servingAccount
	firstTaskWaits    map[*job]time.Duration
	result            Outcome
	schedulerTime     time.Duration
	allocs            uint64
}

// servingAccount is a lasting job's account of the present two seconds.
type servingAccount struct{ readyTime, lostTime, totalTime time.Duration }

// Play plays one seed of a scenario with a variant. Equal arguments give equal outcomes
// but for the figures of time and allocations.
func Play(ctx context.Context, s *Scenario, v *Variant, seed uint64) (Outcome, error) {
	w := newWorld(s, seed)
	v.apply(w)
	p := &player{
		backlog:  scheduler.NewBacklog(),
		scenario: s, fleet: newFleet(s, w, seed), variant: v, arrivals: w.jobs, store: map[string]*scheduler.Progress{}, startSegments: map[scheduler.SegmentID]scheduler.StartSegment{}, lostAt: map[string]time.Duration{},
		harmDurations: map[batch.TaskID]time.Duration{}, accounts: map[*job]*servingAccount{}, firstTaskWaits: map[*job]time.Duration{}, faults: append([]Fault(nil), s.Faults...),
		crashFault: crashFault{random: rand.New(rand.NewPCG(seed, 29))},
	}
	p.elect()
	end := seconds(s.LeadS + s.LoadS + s.AfterS)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for p.now = timeStep; p.now < end; p.now += timeStep {
		if err := ctx.Err(); err != nil {
			return Outcome{}, err
		}
		p.advance()
	}
	runtime.ReadMemStats(&after)
	p.allocs = after.Mallocs - before.Mallocs
	return p.outcome(seed), nil
}

// elect begins a leader's term: it learns of the jobs from the store and of the runs
// from the VMs.
func (p *player) elect() {
	p.fence++
	var model scheduler.InterferenceModel
	if p.sched != nil {
		model = p.sched.InterferenceModel()
	}
	policy := p.variant.Policy
	p.sched = scheduler.New(scheduler.Settings{MaxLease: 10 * time.Second, StopTimeout: 500 * time.Millisecond, UnavailableDuration: 4500 * time.Millisecond, Policy: &policy}, p.fence, nil)
	p.sched.ConfirmLeadership(time.Hour)
	if p.variant.Informed {
		model = p.fleet.world.trueInterference(p.scenario.Serving.Images, p.scenario.Fillers.Images)
	}
	if len(model.Images) > 0 {
		p.sched.SetInterferenceModel(model)
	}
	p.sched.SetConfig(p.config())
	p.sched.SetInstances(p.now, p.fleet.instances())
	for _, j := range p.submittedJobs {
		if !j.cancelled {
			p.submit(j, true)
		}
	}
	var log []scheduler.StartSegment
	for _, id := range slices.SortedFunc(maps.Keys(p.startSegments), scheduler.SegmentID.Compare) {
		log = append(log, p.startSegments[id])
	}
	p.sched.RestoreStarts(p.now, log)
}

func (p *player) config() *batch.Config {
	c := &batch.Config{Version: 1}
	for k, t := range [kindCount]*Terms{&p.scenario.Serving.Terms, &p.scenario.Short.Terms, &p.scenario.Fillers.Terms} {
		c.Queues = append(c.Queues, batch.Queue{
			Name: kindNames[k], Pool: pool, Attempts: t.Attempts, Stretch: t.Stretch, Slack: seconds(t.SlackS), Priority: t.Priority,
		})
	}
	return c
}

func (p *player) submit(j *job, existed bool) {
	p.sched.Submit(p.now, scheduler.Submission{
		Job: j.spec, Queue: kindNames[j.kind], Pool: pool, Age: p.now - j.arrivesAt, PredatesLeader: existed, Progress: p.store[j.spec.ID],
	})
}

func (p *player) advance() {
	p.submitArrivals()
	p.beginFaults()
	p.endFaults()
	p.processCrashes()
	p.updateListings()
	if p.noLeader && p.now >= p.nextLeaderAt {
		p.noLeader = false
		p.elect()
	}
	if !p.noLeader {
		p.runLeader()
	}
	for _, v := range p.fleet.vms {
		p.fleet.advance(p.now, timeStep, v)
	}
	if p.now >= seconds(p.scenario.LeadS) {
		p.rateServing()
	}
}

// submitArrivals hands in the jobs that are due and cancels those that leave.
func (p *player) submitArrivals() {
	for len(p.arrivals) > 0 && p.arrivals[0].arrivesAt <= p.now && !p.noLeader {
		j := p.arrivals[0]
		p.arrivals = p.arrivals[1:]
		p.fleet.jobs[j.spec.ID] = j
		p.markCrashing(j)
		p.submittedJobs = append(p.submittedJobs, j)
		p.submit(j, false)
	}
	for _, j := range p.submittedJobs {
		if j.cancelAt > 0 && p.now >= j.cancelAt && !j.cancelled && !p.noLeader {
			j.cancelled = true
			p.sched.Cancel(p.now, j.spec.ID)
		}
	}
}

// runLeader is one turn of the leader: reports, what is due by time, a plan.
func (p *player) runLeader() {
	every := time.Duration(p.scenario.Fleet.ReportMS) * time.Millisecond
	began := time.Now()
	for _, v := range p.fleet.vms {
		if v.lost {
			p.removeLost(v)
			continue
		}
		if v.down {
			continue
		}
		if p.now-v.lastReportAt >= every || len(v.ends) > v.reportedEnds {
			hold, ok := p.sched.Hold(p.now, v.inst.ID, every)
			if ok {
				p.sched.HandleReport(p.now, p.now, v.inst.ID, p.fleet.report(p.now, v, hold.Acked))
			}
		}
	}
	p.sched.SetStartBudget(p.backlog.Budget(p.now, 0))
	p.sched.Tick(p.now)
	orders := p.sched.Plan(p.now)
	p.schedulerTime += time.Since(began)
	given := p.backlog.RecordPlan(p.now, scheduler.CountStarts(orders), p.sched.StartBudgetLeft())
	for _, o := range orders {
		p.executeOrder(o, given)
	}
	p.sendStarts()
	p.writeRecords()
}

// pendingStart is a start that was decided, and who is told when it is given.
type pendingStart struct {
	scheduler.Order
	onSent func(now time.Duration)
}

// sendStarts gives what has been decided, as far as the leader's processor does.
func (p *player) sendStarts() {
	p.startCredit = min(p.startCredit+p.scenario.Leader.StartsPerS*timeStep.Seconds(), p.scenario.Leader.StartsPerS)
	for len(p.pendingStarts) > 0 && (p.startCredit >= 1 || p.scenario.Leader.StartsPerS == 0) {
		o := p.pendingStarts[0]
		p.pendingStarts = p.pendingStarts[1:]
		p.startCredit--
		o.onSent(p.now)
		if p.sched.PrepareStart(p.now, o.Order) {
			p.sendStart(o.Order)
		}
	}
	if len(p.pendingStarts) == 0 {
		p.startCredit = min(p.startCredit, 1)
	}
}

// sendStart has a VM carry a start out.
func (p *player) sendStart(o scheduler.Order) {
	p.result.Starts++
	refusal := p.fleet.startRun(p.now, o)
	if j := p.fleet.jobs[o.Task.Job]; refusal == "" && p.firstTaskWaits[j] == 0 {
		p.firstTaskWaits[j] = p.now - j.arrivesAt + 1
	}
	p.sched.Started(p.now+startDelay, p.now, o, p.fleet.byID[o.Instance.ID].clock(p.now), refusal, false)
	if refusal == "" {
		p.scheduleCrash(o)
	}
}

// removeLost tells the leader that a VM has ended, when its lease is over.
func (p *player) removeLost(v *vm) {
	if at := p.lostAt[v.inst.ID]; at > 0 && p.now-at > leaseExpiryDelay {
		p.sched.RemoveInstance(p.now, v.inst.ID, "lost")
	}
}

func (p *player) executeOrder(o scheduler.Order, given func(time.Duration)) {
	switch o.Kind {
	case scheduler.OrderStart:
		p.pendingStarts = append(p.pendingStarts, pendingStart{o, given})
	case scheduler.OrderStop:
		p.fleet.stopRun(o)
		p.sched.Stopped(p.now, o)
	case scheduler.OrderPace:
		p.result.PaceOrders++
		p.fleet.setPace(o)
		p.sched.HandlePaceResult(o, true)
	case scheduler.OrderAdvise, scheduler.OrderMaintain:
		// No scenario has an adviser or waves of maintenance.
	}
}

// writeRecords writes what the leader has to record.
func (p *player) writeRecords() {
	f := p.sched.PendingWrites()
	if c := p.sched.PendingStarts(p.now, f != nil); c != nil {
		if c.Segment != nil {
			p.startSegments[c.Segment.ID] = *c.Segment
		}
		for _, id := range c.Obsolete {
			delete(p.startSegments, id)
		}
		p.sched.StartsWritten(c)
	}
	if f == nil {
		return
	}
	for _, r := range f.Records {
		p.store[r.Job] = r.Progress
		p.sched.RecordWritten(r, 1)
		if j := p.fleet.jobs[r.Job]; r.Progress.State == batch.Failed {
			j.failed = true
		}
	}
	p.sched.Flushed(f)
}

func (p *player) beginFaults() {
	rest := p.faults[:0]
	for _, f := range p.faults {
		at := seconds(p.scenario.LeadS + f.AtS)
		switch {
		case p.now < at:
			rest = append(rest, f)
		case f.Kind == FaultTakeover:
			p.removeLeader(f)
		case f.Kind == FaultCrashing:
			p.crashFault.share, p.crashFault.until = f.Share, p.now+seconds(f.ForS)
		default:
			p.applyFault(f)
		}
	}
	p.faults = rest
}

func (p *player) removeLeader(f Fault) { p.nextLeaderAt, p.noLeader = p.now+seconds(f.ForS), true }

// vmEvent ends a fault of VMs.
type vmEvent struct {
	at time.Duration
	vm *vm
}

// applyFault strikes VMs at random, and those that recover do so when the fault is over.
func (p *player) applyFault(f Fault) {
	struck := p.fleet.random.Perm(len(p.fleet.vms))[:int(f.Share*float64(len(p.fleet.vms))+0.5)]
	for _, i := range struck {
		v := p.fleet.vms[i]
		switch f.Kind {
		case FaultSlow:
			v.slowdown = f.Times
		case FaultStalled:
			v.slowdown = 0
		case FaultFailing:
			v.failing = true
		case FaultLost:
			p.loseVM(v)
		case FaultRestarted:
			p.stopVM(v)
		case FaultShrunk:
			p.resizeVM(v, f.Times)
		case FaultTakeover, FaultCrashing:
		}
		if f.ForS > 0 {
			p.pendingRecoveries = append(p.pendingRecoveries, vmEvent{at: p.now + seconds(f.ForS), vm: v})
		}
	}
}

// endFaults ends the faults of VMs that are over.
func (p *player) endFaults() {
	for _, r := range p.pendingRecoveries {
		if p.now >= r.at {
			r.vm.slowdown, r.vm.failing = 1, false
			if r.vm.down {
				p.restartVM(r.vm)
			}
			if r.vm.fullCapacity != (batch.Resources{}) {
				p.resizeVM(r.vm, 1)
			}
		}
	}
	p.pendingRecoveries = slices.DeleteFunc(p.pendingRecoveries, func(r vmEvent) bool { return p.now >= r.at })
}

func (p *player) loseVM(v *vm) {
	v.lost = true
	p.lostAt[v.inst.ID] = p.now
	v.runs, v.orderedRuns, v.ends = map[batch.TaskID]*run{}, nil, nil
	p.sched.SetInstances(p.now, p.fleet.instances())
}
