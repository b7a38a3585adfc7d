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
	// playStep is the resolution of virtual time.
	playStep = 20 * time.Millisecond
	// account is the span by which lasting work is rated.
	account = 2 * time.Second
	// harmFactor is how many times more a tail over its target costs than a task that
	// is away, where what fills beside it is the cause.
	harmFactor = 4.0
	// lateFactor times its objective a job still earns lateShare.
	lateFactor = 3.0
	lateShare  = 0.15
	// leaseOver is how long after it was lost a VM counts as ended by its lease.
	leaseOver = 9 * time.Second
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
	s       *Scenario
	f       *fleet
	variant *Variant
	sched   *scheduler.Scheduler
	fence   int64
	now     time.Duration
	// arrivals are the jobs still to come.
	arrivals   []*job
	known      []*job
	store      map[string]*scheduler.Progress
	starts     map[scheduler.SegmentID]scheduler.StartSegment
	faults     []Fault
	recoveries []recovery
	// relist are the VMs whose entries are still those of the start before.
	relist []recovery
	// leaderAt is when the next leader takes over, absent is set until then.
	leaderAt time.Duration
	absent   bool
	lostAt   map[string]time.Duration
	crashing crashing

	// starting are the starts that the leader has decided and not given, credit the share of
	// one that it has had time for.
	starting []decidedStart
	credit   float64
	backlog  *scheduler.Backlog

	earned, owed [kinds]float64
	harm         map[batch.TaskID]time.Duration
	spans        map[*job]*span
	waits        map[*job]time.Duration
	out          Outcome
	busy         time.Duration
	allocs       uint64
}

// span is a lasting job's account of the present two seconds.
type span struct{ atWork, lost, all time.Duration }

// Play plays one seed of a scenario with a variant. Equal arguments give equal outcomes
// but for the figures of time and allocations.
func Play(ctx context.Context, s *Scenario, v *Variant, seed uint64) (Outcome, error) {
	w := newWorld(s, seed)
	v.apply(w)
	p := &player{
		backlog: scheduler.NewBacklog(),
		s:       s, f: newFleet(s, w, seed), variant: v, arrivals: w.jobs, store: map[string]*scheduler.Progress{}, starts: map[scheduler.SegmentID]scheduler.StartSegment{}, lostAt: map[string]time.Duration{},
		harm: map[batch.TaskID]time.Duration{}, spans: map[*job]*span{}, waits: map[*job]time.Duration{}, faults: append([]Fault(nil), s.Faults...),
		crashing: crashing{random: rand.New(rand.NewPCG(seed, 29))},
	}
	p.elect()
	end := seconds(s.LeadS + s.LoadS + s.AfterS)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for p.now = playStep; p.now < end; p.now += playStep {
		if err := ctx.Err(); err != nil {
			return Outcome{}, err
		}
		p.step()
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
		model = p.f.w.knowledge(p.s.Serving.Images, p.s.Fillers.Images)
	}
	if len(model.Images) > 0 {
		p.sched.SetInterferenceModel(model)
	}
	p.sched.SetConfig(p.config())
	p.sched.SetInstances(p.now, p.f.instances())
	for _, j := range p.known {
		if !j.cancelled {
			p.submit(j, true)
		}
	}
	var log []scheduler.StartSegment
	for _, id := range slices.SortedFunc(maps.Keys(p.starts), scheduler.SegmentID.Compare) {
		log = append(log, p.starts[id])
	}
	p.sched.RestoreStarts(p.now, log)
}

func (p *player) config() *batch.Config {
	c := &batch.Config{Version: 1}
	for k, t := range [kinds]*Terms{&p.s.Serving.Terms, &p.s.Short.Terms, &p.s.Fillers.Terms} {
		c.Queues = append(c.Queues, batch.Queue{
			Name: kindNames[k], Pool: pool, Attempts: t.Attempts, Stretch: t.Stretch, Slack: seconds(t.SlackS), Priority: t.Priority,
		})
	}
	return c
}

func (p *player) submit(j *job, existed bool) {
	p.sched.Submit(p.now, scheduler.Submission{
		Job: j.spec, Queue: kindNames[j.kind], Pool: pool, Age: p.now - j.at, PredatesLeader: existed, Progress: p.store[j.spec.ID],
	})
}

func (p *player) step() {
	p.arrive()
	p.beginFaults()
	p.heal()
	p.crash()
	p.relistVMs()
	if p.absent && p.now >= p.leaderAt {
		p.absent = false
		p.elect()
	}
	if !p.absent {
		p.lead()
	}
	for _, v := range p.f.vms {
		p.f.step(p.now, playStep, v)
	}
	if p.now >= seconds(p.s.LeadS) {
		p.rate()
	}
}

// arrive hands in the jobs that are due and cancels those that leave.
func (p *player) arrive() {
	for len(p.arrivals) > 0 && p.arrivals[0].at <= p.now && !p.absent {
		j := p.arrivals[0]
		p.arrivals = p.arrivals[1:]
		p.f.jobs[j.spec.ID] = j
		p.mark(j)
		p.known = append(p.known, j)
		p.submit(j, false)
	}
	for _, j := range p.known {
		if j.leaves > 0 && p.now >= j.leaves && !j.cancelled && !p.absent {
			j.cancelled = true
			p.sched.Cancel(p.now, j.spec.ID)
		}
	}
}

// lead is one turn of the leader: reports, what is due by time, a plan.
func (p *player) lead() {
	every := time.Duration(p.s.Fleet.ReportMS) * time.Millisecond
	began := time.Now()
	for _, v := range p.f.vms {
		if v.lost {
			p.giveUp(v)
			continue
		}
		if v.down {
			continue
		}
		if p.now-v.heardAt >= every || len(v.ends) > v.told {
			hold, ok := p.sched.Hold(p.now, v.inst.ID, every)
			if ok {
				p.sched.HandleReport(p.now, p.now, v.inst.ID, p.f.report(p.now, v, hold.Acked))
			}
		}
	}
	p.sched.SetStartBudget(p.backlog.Budget(p.now, 0))
	p.sched.Tick(p.now)
	orders := p.sched.Plan(p.now)
	p.busy += time.Since(began)
	given := p.backlog.RecordPlan(p.now, scheduler.CountStarts(orders), p.sched.StartBudgetLeft())
	for _, o := range orders {
		p.carryOut(o, given)
	}
	p.giveStarts()
	p.flush()
}

// decidedStart is a start that was decided, and who is told when it is given.
type decidedStart struct {
	scheduler.Order
	given func(now time.Duration)
}

// giveStarts gives what has been decided, as far as the leader's processor does.
func (p *player) giveStarts() {
	p.credit = min(p.credit+p.s.Leader.StartsPerS*playStep.Seconds(), p.s.Leader.StartsPerS)
	for len(p.starting) > 0 && (p.credit >= 1 || p.s.Leader.StartsPerS == 0) {
		o := p.starting[0]
		p.starting = p.starting[1:]
		p.credit--
		o.given(p.now)
		if p.sched.PrepareStart(p.now, o.Order) {
			p.give(o.Order)
		}
	}
	if len(p.starting) == 0 {
		p.credit = min(p.credit, 1)
	}
}

// give has a VM carry a start out.
func (p *player) give(o scheduler.Order) {
	p.out.Starts++
	refusal := p.f.start(p.now, o)
	if j := p.f.jobs[o.Task.Job]; refusal == "" && p.waits[j] == 0 {
		p.waits[j] = p.now - j.at + 1
	}
	p.sched.Started(p.now+startsWithin, p.now, o, p.f.byID[o.Instance.ID].clock(p.now), refusal, false)
	if refusal == "" {
		p.began(o)
	}
}

// giveUp tells the leader that a VM has ended, when its lease is over.
func (p *player) giveUp(v *vm) {
	if at := p.lostAt[v.inst.ID]; at > 0 && p.now-at > leaseOver {
		p.sched.RemoveInstance(p.now, v.inst.ID, "lost")
	}
}

func (p *player) carryOut(o scheduler.Order, given func(time.Duration)) {
	switch o.Kind {
	case scheduler.OrderStart:
		p.starting = append(p.starting, decidedStart{o, given})
	case scheduler.OrderStop:
		p.f.stop(o)
		p.sched.Stopped(p.now, o)
	case scheduler.OrderPace:
		p.out.PaceOrders++
		p.f.pace(o)
		p.sched.HandlePaceResult(o, true)
	case scheduler.OrderAdvise, scheduler.OrderMaintain:
		// No scenario has an adviser or waves of maintenance.
	}
}

// flush writes what the leader has to record.
func (p *player) flush() {
	f := p.sched.PendingWrites()
	if c := p.sched.PendingStarts(p.now, f != nil); c != nil {
		if c.Segment != nil {
			p.starts[c.Segment.ID] = *c.Segment
		}
		for _, id := range c.Obsolete {
			delete(p.starts, id)
		}
		p.sched.StartsWritten(c)
	}
	if f == nil {
		return
	}
	for _, r := range f.Records {
		p.store[r.Job] = r.Progress
		p.sched.RecordWritten(r, 1)
		if j := p.f.jobs[r.Job]; r.Progress.State == batch.Failed {
			j.failed = true
		}
	}
	p.sched.Flushed(f)
}

func (p *player) beginFaults() {
	rest := p.faults[:0]
	for _, f := range p.faults {
		at := seconds(p.s.LeadS + f.AtS)
		switch {
		case p.now < at:
			rest = append(rest, f)
		case f.Kind == FaultTakeover:
			p.takeOver(f)
		case f.Kind == FaultCrashing:
			p.crashing.share, p.crashing.until = f.Share, p.now+seconds(f.ForS)
		default:
			p.befall(f)
		}
	}
	p.faults = rest
}

func (p *player) takeOver(f Fault) { p.leaderAt, p.absent = p.now+seconds(f.ForS), true }

// recovery ends a fault of VMs.
type recovery struct {
	at time.Duration
	vm *vm
}

// befall strikes VMs at random, and those that recover do so when the fault is over.
func (p *player) befall(f Fault) {
	struck := p.f.random.Perm(len(p.f.vms))[:int(f.Share*float64(len(p.f.vms))+0.5)]
	for _, i := range struck {
		v := p.f.vms[i]
		switch f.Kind {
		case FaultSlow:
			v.slow = f.Times
		case FaultStalled:
			v.slow = 0
		case FaultFailing:
			v.failing = true
		case FaultLost:
			p.lose(v)
		case FaultRestarted:
			p.endStart(v)
		case FaultShrunk:
			p.resize(v, f.Times)
		case FaultTakeover, FaultCrashing:
		}
		if f.ForS > 0 {
			p.recoveries = append(p.recoveries, recovery{at: p.now + seconds(f.ForS), vm: v})
		}
	}
}

// heal ends the faults of VMs that are over.
func (p *player) heal() {
	for _, r := range p.recoveries {
		if p.now >= r.at {
			r.vm.slow, r.vm.failing = 1, false
			if r.vm.down {
				p.startAgain(r.vm)
			}
			if r.vm.full != (batch.Resources{}) {
				p.resize(r.vm, 1)
			}
		}
	}
	p.recoveries = slices.DeleteFunc(p.recoveries, func(r recovery) bool { return p.now >= r.at })
}

func (p *player) lose(v *vm) {
	v.lost = true
	p.lostAt[v.inst.ID] = p.now
	v.runs, v.list, v.ends = map[batch.TaskID]*run{}, nil, nil
	p.sched.SetInstances(p.now, p.f.instances())
}
