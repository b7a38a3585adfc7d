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
	// timeStep is the increment of virtual time.
	timeStep = 20 * time.Millisecond
	// ratingInterval is the interval at which the value of serving jobs is credited.
	ratingInterval = 2 * time.Second
	// harmFactor is the cost of a tail latency over its target that fillers cause, relative to
	// the cost of an unavailable task.
	harmFactor = 4.0
	// A job that finishes late, but within lateFactor times its objective, earns
	// lateValueShare of its value.
	lateFactor     = 3.0
	lateValueShare = 0.15
	// leaseExpiryDelay is the time from the loss of a VM to the expiry of its lease, when the
	// leader removes it.
	leaseExpiryDelay = 9 * time.Second
)

// Outcome holds the results of one play of a scenario.
type Outcome struct {
	Seed uint64 `json:"seed"`
	// Service is the earned value over the requested value, 0 to 1.
	Service float64 `json:"service"`
	// Kinds is the same by kind of work.
	Kinds map[string]float64 `json:"kinds"`
	// Largest and Smallest are the same for the largest tenth and the smaller half of the
	// filler jobs.
	Largest  float64 `json:"largest_fillers"`
	Smallest float64 `json:"smaller_fillers"`
	// HarmS is the time for which serving tasks exceeded their target because of fillers, in
	// task seconds.
	HarmS float64 `json:"harm_task_s"`
	// LongestHarmS is the longest such time of one task before it met its target again.
	LongestHarmS float64 `json:"longest_harm_s"`
	// LongestWaitS is the longest wait of a short job for the start of its first task.
	LongestWaitS float64 `json:"longest_short_wait_s"`
	// WorstZone and BestZone are the service of batch work by zone of callers, and
	// LongestUnservedS the age of the oldest accepted batch job that has not ended; they are
	// given if the scenario names zones.
	WorstZone        float64 `json:"worst_zone,omitempty"`
	BestZone         float64 `json:"best_zone,omitempty"`
	LongestUnservedS float64 `json:"longest_unserved_s,omitempty"`
	// Refusals counts the refused submissions.
	Refusals int `json:"refusals,omitempty"`
	// Used is the mean share of all processors in use during the play.
	Used float64 `json:"used"`
	// WastedS is lost or repeated work, in processor seconds.
	WastedS float64 `json:"wasted_s"`
	// CrashingJobs counts the jobs with a task that crashes its VMs, Crashes the VMs that such
	// tasks crashed.
	CrashingJobs int `json:"crashing_jobs,omitempty"`
	Crashes      int `json:"crashes,omitempty"`
	// Restarts counts the restarts of VMs under their IDs.
	Restarts int `json:"restarts,omitempty"`
	// Copies counts the copies of runs, CopiesWon those that were done first, SlowStops the runs
	// that were stopped because they were slow.
	Copies    int `json:"copies,omitempty"`
	CopiesWon int `json:"copies_won,omitempty"`
	SlowStops int `json:"slow_stops,omitempty"`
	// RunsAway counts the starts outside the rack that the task prefers, RackWaitS is the time that
	// steps waited for places in racks, in seconds.
	RunsAway  int     `json:"runs_away,omitempty"`
	RackWaitS float64 `json:"rack_wait_s,omitempty"`
	// PaceOrders and Starts count the pace orders and the starts sent to VMs.
	PaceOrders int `json:"pace_orders"`
	Starts     int `json:"starts"`
	// NsPerDecision is the time spent in the scheduler's planning and reports, in ns per start.
	// AllocsPerDecision is the number of allocations per start, those of the model included; it
	// is given only if one play runs at a time.
	NsPerDecision     float64 `json:"ns_per_decision"`
	AllocsPerDecision float64 `json:"allocs_per_decision"`
}

// player plays one world with one policy.
type player struct {
	scenario *Scenario
	fleet    *fleet
	variant  *Variant
	sched    *scheduler.Scheduler
	fence    int64
	now      time.Duration
	// arrivals are the jobs not yet submitted, by arrival time.
	arrivals      []*job
	submittedJobs []*job
	// returning are the refused jobs whose callers will submit them again; forecasts are the
	// leader's of late.
	returning         []returningJob
	forecasts         []timedForecast
	store             map[string]*scheduler.Progress
	startSegments     map[scheduler.SegmentID]scheduler.StartSegment
	faults            []Fault
	pendingRecoveries []vmEvent
	// pendingListings are the restarted VMs that are still listed with their previous
	// incarnation.
	pendingListings []vmEvent
	// nextLeaderAt is when the next leader takes over; noLeader is set until then.
	nextLeaderAt time.Duration
	noLeader     bool
	lostAt       map[string]time.Duration
	crashFault   crashFault
	// evacuations are in force until reopenAt.
	evacuations *batch.Evacuations
	reopenAt    time.Duration

	// pendingStarts are the starts that the leader has decided and not sent, startCredit the
	// number (with a fraction) that it has had time to send since.
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

// servingAccount sums task time of a serving job over the current rating interval of two seconds.
type servingAccount struct{ readyTime, lostTime, totalTime time.Duration }

// Play plays one seed of a scenario with a variant. Equal arguments give equal outcomes
// except for NsPerDecision and AllocsPerDecision, which are measured.
func Play(ctx context.Context, s *Scenario, v *Variant, seed uint64) (Outcome, error) {
	w := newWorld(s, seed)
	v.apply(w)
	p := &player{
		backlog:  scheduler.NewBacklog(),
		scenario: s, fleet: newFleet(s, w, seed), variant: v, arrivals: w.jobs, store: map[string]*scheduler.Progress{}, startSegments: map[scheduler.SegmentID]scheduler.StartSegment{}, lostAt: map[string]time.Duration{},
		harmDurations: map[batch.TaskID]time.Duration{}, accounts: map[*job]*servingAccount{}, firstTaskWaits: map[*job]time.Duration{}, faults: append([]Fault(nil), s.Faults...),
		evacuations: &batch.Evacuations{}, crashFault: crashFault{random: rand.New(rand.NewPCG(seed, 29))},
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

// elect begins the tenure of a new leader, which reads the jobs and starts from the store and
// learns of the runs from the VMs.
func (p *player) elect() {
	p.fence++
	var model scheduler.InterferenceModel
	if p.sched != nil {
		model = p.sched.InterferenceModel()
	}
	policy := p.variant.Policy
	p.sched = scheduler.New(scheduler.Settings{MaxLease: 10 * time.Second, StopTimeout: 500 * time.Millisecond, UnavailableDuration: 4500 * time.Millisecond, FarFactor: p.scenario.Racks.FarFactor, Policy: &policy}, p.fence, p.countDecision)
	p.sched.ConfirmLeadership(time.Hour)
	if p.variant.Informed {
		model = p.fleet.world.trueInterference(p.scenario.Serving.Images, p.scenario.Fillers.Images)
	}
	if len(model.Images) > 0 {
		p.sched.SetInterferenceModel(model)
	}
	p.sched.SetConfig(p.config())
	p.sched.SetEvacuations(p.evacuations)
	p.sched.SetInstances(p.now, p.fleet.instances())
	for _, j := range p.submittedJobs {
		if j.accepted && !j.cancelled {
			p.submit(j, true)
		}
	}
	var segments []scheduler.StartSegment
	for _, id := range slices.SortedFunc(maps.Keys(p.startSegments), scheduler.SegmentID.Compare) {
		segments = append(segments, p.startSegments[id])
	}
	p.sched.RestoreStarts(p.now, segments)
}

// countDecision counts copies and stops of slow runs.
func (p *player) countDecision(d scheduler.Decision) {
	p.countPlaces(d)
	switch {
	case d.Event == scheduler.EventRunCopied:
		p.result.Copies++
	case d.Event == scheduler.EventCopyEnded && d.Outcome == scheduler.CopyWon:
		p.result.CopiesWon++
	case d.Event == scheduler.EventRunStopped && d.Reason == scheduler.ReasonSlow:
		p.result.SlowStops++
	}
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

func (p *player) submit(j *job, predatesLeader bool) {
	p.sched.Submit(p.now, scheduler.Submission{
		Job: j.spec, Queue: kindNames[j.kind], Pool: pool, Zone: p.scenario.Callers.zoneOf(j.spec.ID), Age: p.now - j.arrivesAt, PredatesLeader: predatesLeader, Progress: p.store[j.spec.ID],
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
	p.fleet.racksByStep = p.fleet.countRacks()
	for _, v := range p.fleet.vms {
		p.fleet.advance(p.now, timeStep, v)
	}
	if p.now >= seconds(p.scenario.LeadS) {
		p.rateServing()
	}
}

// submitArrivals submits the jobs that are due and cancels serving jobs whose stay has ended.
func (p *player) submitArrivals() {
	for len(p.arrivals) > 0 && p.arrivals[0].arrivesAt <= p.now && !p.noLeader {
		j := p.arrivals[0]
		p.arrivals = p.arrivals[1:]
		p.fleet.jobs[j.spec.ID] = j
		p.markCrashing(j)
		p.submittedJobs = append(p.submittedJobs, j)
		if !p.refuses(j) {
			p.accept(j)
		}
	}
	p.submitReturning()
	for _, j := range p.submittedJobs {
		if j.cancelAt > 0 && p.now >= j.cancelAt && !j.cancelled && !p.noLeader {
			j.cancelled = true
			p.sched.Cancel(p.now, j.spec.ID)
		}
	}
}

// accept accepts a job.
func (p *player) accept(j *job) {
	j.accepted = true
	p.submit(j, false)
}

// runLeader executes one round of the leader: it collects reports, runs timers, plans, and
// executes the orders.
func (p *player) runLeader() {
	reportInterval := time.Duration(p.scenario.Fleet.ReportMS) * time.Millisecond
	startedAt := time.Now()
	for _, v := range p.fleet.vms {
		if v.lost {
			p.removeLost(v)
			continue
		}
		if v.down {
			continue
		}
		if p.now-v.lastReportAt >= reportInterval || len(v.ends) > v.reportedEnds {
			hold, ok := p.sched.Hold(p.now, v.inst.ID, reportInterval)
			if ok {
				p.sched.HandleReport(p.now, p.now, v.inst.ID, p.fleet.report(p.now, v, hold.Acked))
			}
		}
	}
	p.sched.SetStartBudget(p.backlog.Budget(p.now, 0))
	p.sched.Tick(p.now)
	orders := p.sched.Plan(p.now)
	p.keepForecast()
	p.schedulerTime += time.Since(startedAt)
	onSent := p.backlog.RecordPlan(p.now, scheduler.CountStarts(orders), p.sched.StartBudgetLeft())
	for _, o := range orders {
		p.executeOrder(o, onSent)
	}
	p.sendStarts()
	p.writeRecords()
}

// pendingStart is a start that was decided but not sent; onSent is called when it is sent.
type pendingStart struct {
	scheduler.Order
	onSent func(now time.Duration)
}

// sendStarts sends the pending starts, at most Leader.StartsPerS a second.
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

// sendStart starts a run on its VM and reports the result to the scheduler.
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

// removeLost removes a lost VM from the scheduler once its lease has expired.
func (p *player) removeLost(v *vm) {
	if at := p.lostAt[v.inst.ID]; at > 0 && p.now-at > leaseExpiryDelay {
		p.sched.RemoveInstance(p.now, v.inst.ID, "lost")
	}
}

func (p *player) executeOrder(o scheduler.Order, onSent func(time.Duration)) {
	switch o.Kind {
	case scheduler.OrderStart:
		p.pendingStarts = append(p.pendingStarts, pendingStart{o, onSent})
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

// writeRecords writes the leader's pending records and starts to the store.
func (p *player) writeRecords() {
	writes := p.sched.PendingWrites()
	if starts := p.sched.PendingStarts(p.now, writes != nil); starts != nil {
		if starts.Segment != nil {
			p.startSegments[starts.Segment.ID] = *starts.Segment
		}
		for _, id := range starts.Obsolete {
			delete(p.startSegments, id)
		}
		p.sched.StartsWritten(starts)
	}
	if writes == nil {
		return
	}
	for _, r := range writes.Records {
		p.store[r.Job] = r.Progress
		p.sched.RecordWritten(r, 1)
		if j := p.fleet.jobs[r.Job]; r.Progress.State == batch.Failed {
			j.failed = true
		}
	}
	p.sched.Flushed(writes)
}

func (p *player) beginFaults() {
	remaining := p.faults[:0]
	for _, f := range p.faults {
		at := seconds(p.scenario.LeadS + f.AtS)
		switch {
		case p.now < at:
			remaining = append(remaining, f)
		case f.Kind == FaultTakeover:
			p.removeLeader(f)
		case f.Kind == FaultCrashing:
			p.crashFault.share, p.crashFault.until = f.Share, p.now+seconds(f.ForS)
		case f.Kind == FaultEvacuated:
			p.evacuate(int(f.Share*zoneCount+0.5), p.now+seconds(f.ForS))
		default:
			p.applyFault(f)
		}
	}
	p.faults = remaining
}

func (p *player) removeLeader(f Fault) { p.nextLeaderAt, p.noLeader = p.now+seconds(f.ForS), true }

// vmEvent is something that happens to a VM at a set time, such as the end of a fault.
type vmEvent struct {
	at time.Duration
	vm *vm
}

// applyFault applies a fault to VMs chosen at random and schedules their recovery, if any.
func (p *player) applyFault(f Fault) {
	affected := p.fleet.random.Perm(len(p.fleet.vms))[:int(f.Share*float64(len(p.fleet.vms))+0.5)]
	for _, i := range affected {
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
		case FaultTakeover, FaultCrashing, FaultEvacuated:
		}
		if f.ForS > 0 {
			p.pendingRecoveries = append(p.pendingRecoveries, vmEvent{at: p.now + seconds(f.ForS), vm: v})
		}
	}
}

// evacuate evacuates the first zones until a time.
func (p *player) evacuate(zones int, until time.Duration) {
	p.reopenAt = until
	p.evacuations = &batch.Evacuations{Revision: p.evacuations.Revision + 1}
	for i := range zones {
		p.evacuations.Zones = append(p.evacuations.Zones, batch.Evacuation{Zone: zoneName(i), Revision: p.evacuations.Revision})
	}
	p.sched.SetEvacuations(p.evacuations)
}

// endFaults ends evacuations, and restores the VMs whose faults are over.
func (p *player) endFaults() {
	if p.reopenAt > 0 && p.now >= p.reopenAt {
		p.evacuate(0, 0)
	}
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
