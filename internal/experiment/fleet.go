package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

const (
	// tailTargetMS is the serving tasks' tail latency target, in ms. Reported tail latencies are
	// rounded to whole milliseconds.
	tailTargetMS = 20
	// averagingWindow is the time that a reported metric covers.
	averagingWindow = 500 * time.Millisecond
	// reportNoise is the error of a reported tail latency, as the standard deviation of its
	// logarithm. One report in outlierInterval is off by a further outlierFactor.
	reportNoise     = 0.08
	outlierInterval = 40
	outlierFactor   = 2.2
	// saturationThreshold is the share of a VM's processors in demand above which all tail
	// latencies there grow. The logarithm grows by saturationSlope times the excess share, which
	// counts up to maxSaturation.
	saturationThreshold = 0.95
	saturationSlope     = 8.0
	maxSaturation       = 0.25
	// startDelay is the time from sending a start to its acknowledgement.
	startDelay = 5 * time.Millisecond
)

// zoneCount is the number of availability zones.
const zoneCount = 3

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// vm is a modelled VM.
type vm struct {
	inst batch.Instance
	runs map[batch.TaskID]*run
	// orderedRuns holds the runs in the order of their starts: floating-point sums in map order
	// would differ between plays of the same seed.
	orderedRuns  []*run
	ends         []batch.RunEnd
	reportedEnds int
	seq          int64
	lastReportAt time.Duration
	// slowdown is the factor by which work takes longer; 0 means that work is stalled.
	slowdown float64
	failing  bool
	lost     bool
	// down is set between two incarnations of the VM. born identifies the incarnation, which
	// began at bornAt; it is 0 in scenarios without restarts.
	down   bool
	born   int64
	bornAt time.Duration
	// fullCapacity is the original capacity of a VM that has been shrunk, else zero.
	fullCapacity batch.Resources
}

// run is one attempt of a task on a VM.
type run struct {
	order  scheduler.Order
	job    *job
	spec   *batch.Step
	pace   float64
	worked time.Duration
	// restoreLeft is the remaining time until the run resumes from its checkpoint.
	restoreLeft time.Duration
	started     time.Duration
	// tail, relative to the target, and use, in thousandths of a processor, are moving averages
	// over averagingWindow.
	tail, use float64
	// overTarget is set while the tail latency exceeds its target, harmed while it does so only
	// because of what else runs on the VM.
	overTarget, harmed bool
	willFail           bool
}

// fleet holds the modelled VMs and their true state, which the scheduler learns from reports only.
type fleet struct {
	scenario *Scenario
	world    *world
	random   *rand.Rand
	vms      []*vm
	byID     map[string]*vm
	jobs     map[string]*job
	// doneTasks are the finished tasks; the end of another run of them does not count.
	doneTasks map[batch.TaskID]bool
	// wastedCoreSeconds sums the processor time of lost or repeated work, usedCoreSeconds that
	// of all work.
	wastedCoreSeconds, usedCoreSeconds float64
	// racksByStep counts the runs by rack of steps that prefer one rack, at the last time step.
	racksByStep map[stepID]map[string]int
}

func newFleet(s *Scenario, w *world, seed uint64) *fleet {
	f := &fleet{
		scenario: s, world: w, random: rand.New(rand.NewPCG(seed, 23)), byID: map[string]*vm{}, jobs: map[string]*job{}, doneTasks: map[batch.TaskID]bool{},
	}
	reportInterval := time.Duration(s.Fleet.ReportMS) * time.Millisecond
	for i := range s.Fleet.VMs {
		size := 1.0
		if n := len(s.Fleet.Sizes); n > 0 {
			size = s.Fleet.Sizes[i%n]
		}
		v := &vm{
			inst: batch.Instance{
				ID: fmt.Sprintf("vm%05d", i), Pool: pool, Address: fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255), Zone: zoneName(i % zoneCount),
				Labels:   []string{"a", rackName(i / s.Fleet.RackOf)},
				Capacity: batch.Resources{MilliCPU: int64(1000 * s.Fleet.Cores * size), MemoryMB: int64(1000 * s.Fleet.MemoryGB * size)},
			},
			runs: map[batch.TaskID]*run{}, slowdown: 1, bornAt: -initialUptime, lastReportAt: -reportInterval * time.Duration(i) / time.Duration(s.Fleet.VMs),
		}
		if s.hasRestarts() {
			v.born, v.inst.Born = 1, 1
		}
		f.vms = append(f.vms, v)
		f.byID[v.inst.ID] = v
	}
	return f
}

func (f *fleet) instances() []batch.Instance {
	var list []batch.Instance
	for _, v := range f.vms {
		if !v.lost {
			list = append(list, v.inst)
		}
	}
	return list
}

// startRun executes a start order; it returns a refusal if the VM is unreachable.
func (f *fleet) startRun(now time.Duration, o scheduler.Order) batch.Refusal {
	v := f.byID[o.Instance.ID]
	if v == nil || v.lost || v.down {
		return batch.RefusedUnreached
	}
	j := f.jobs[o.Task.Job]
	r := &run{order: o, job: j, spec: &j.spec.Steps[o.Task.Step], pace: 1, started: now, willFail: v.failing || f.drawFailure(j)}
	if progress, err := time.ParseDuration(o.Start.Checkpoint); err == nil {
		r.worked, r.restoreLeft = progress, time.Duration(f.scenario.batchOf(j.kind).RestoreMS)*time.Millisecond
	}
	v.runs[o.Task] = r
	v.orderedRuns = append(v.orderedRuns, r)
	return ""
}

func (f *fleet) drawFailure(j *job) bool {
	switch j.kind {
	case shortKind:
		return f.random.Float64() < f.scenario.Short.Fails
	case fillerKind:
		return f.random.Float64() < f.scenario.Fillers.Fails
	}
	return false
}

func (f *fleet) stopRun(o scheduler.Order) {
	if v := f.byID[o.Instance.ID]; v != nil {
		if r := v.runs[o.Task]; r != nil && r.order.Run == o.Run {
			f.endRun(v, r, batch.EndStopped)
		}
	}
}

func (f *fleet) setPace(o scheduler.Order) {
	if v := f.byID[o.Instance.ID]; v != nil {
		if r := v.runs[o.Task]; r != nil && r.order.Run == o.Run {
			r.pace = float64(o.Percent) / 100
		}
	}
}

func (f *fleet) endRun(v *vm, r *run, endKind batch.EndKind) {
	v.seq++
	e := batch.RunEnd{Seq: v.seq, Task: r.order.Task, Run: r.order.Run, Kind: endKind, Checkpoint: r.checkpoint()}
	v.ends = append(v.ends, e)
	delete(v.runs, r.order.Task)
	for i, other := range v.orderedRuns {
		if other == r {
			v.orderedRuns = append(v.orderedRuns[:i], v.orderedRuns[i+1:]...)
			break
		}
	}
	if endKind != batch.EndDone && r.job.kind != servingKind && e.Checkpoint == "" {
		f.wastedCoreSeconds += r.worked.Seconds() * r.cores()
	}
}

func (r *run) cores() float64 {
	return float64(r.spec.Need.MilliCPU) / 1000 * r.job.usedShares[r.order.Task.Step]
}

func (r *run) checkpoint() string {
	if !r.spec.Checkpoints || r.worked == 0 {
		return ""
	}
	return r.worked.String()
}

// servingLoad returns the share of its declared processors that a serving run uses.
func (f *fleet) servingLoad(now time.Duration, r *run) float64 {
	s := &f.scenario.Serving
	return s.MeanLoad * (1 + s.Swing*math.Sin(2*math.Pi*(now.Seconds()/s.SwingS+r.job.loadPhase)))
}

// ready reports whether a serving run has finished its startup.
func (f *fleet) ready(now time.Duration, r *run) bool {
	return now-r.started >= time.Duration(f.scenario.Serving.StartMS)*time.Millisecond
}

// fillerUse is the processor use of a filler, as a share of its VM's processors.
type fillerUse struct {
	image string
	use   float64
}

// advance simulates the runs of a VM for dt.
func (f *fleet) advance(now, dt time.Duration, v *vm) {
	if v.lost || v.down {
		return
	}
	capacity := float64(v.inst.Capacity.MilliCPU)
	demand, fillerDemand := 0.0, 0.0
	var fillerUses []fillerUse
	for _, r := range v.orderedRuns {
		switch r.job.kind {
		case servingKind:
			demand += f.servingLoad(now, r) * float64(r.spec.Need.MilliCPU) / capacity
		case fillerKind:
			use := r.pace * 1000 * r.cores() / capacity
			fillerUses = append(fillerUses, fillerUse{r.spec.Image, use})
			fillerDemand += use
		default:
			demand += float64(r.spec.Need.MilliCPU) / capacity
		}
	}
	// Fillers share the processors that the other runs leave.
	share := 1.0
	if fillerDemand > 0 {
		share = min(1, max(1-demand, 0)/fillerDemand)
	}
	f.usedCoreSeconds += (min(demand, 1) + fillerDemand*share) * capacity / 1000 * dt.Seconds()
	for _, r := range append([]*run(nil), v.orderedRuns...) {
		if r.job.kind == servingKind {
			f.advanceServing(now, dt, v, r, fillerUses, demand+fillerDemand)
			continue
		}
		f.advanceBatch(now, dt, v, r, share)
	}
}

// advanceServing updates the tail latency of a serving run from its own load, the demand on
// its VM and the interference of the fillers there.
func (f *fleet) advanceServing(now, dt time.Duration, v *vm, r *run, fillerUses []fillerUse, demand float64) {
	if f.random.Float64() < f.scenario.Serving.FailsPerMinute*dt.Minutes() {
		f.endRun(v, r, batch.EndFailed)
		return
	}
	ownTail := -math.Log(1-f.servingLoad(now, r)) - math.Log(f.scenario.Serving.TargetTimes)
	tail := ownTail + saturationSlope*min(max(demand-saturationThreshold, 0), maxSaturation)
	for _, u := range fillerUses {
		if slope, ok := f.world.slopes[[2]string{r.spec.Image, u.image}]; ok {
			tail += slope.at(now) * u.use
		}
	}
	r.overTarget = tail > 0
	r.harmed = r.overTarget && ownTail <= 0
	r.tail += (math.Exp(tail) - r.tail) * min(2*dt.Seconds()/averagingWindow.Seconds(), 1)
}

func (f *fleet) advanceBatch(now, dt time.Duration, v *vm, r *run, share float64) {
	pace := 0.0
	if v.slowdown > 0 {
		pace = 1 / v.slowdown / f.rackFactor(v, r)
	}
	if r.spec.Filler {
		pace *= r.pace * share
		r.use += (pace*1000*r.cores() - r.use) * min(2*dt.Seconds()/averagingWindow.Seconds(), 1)
	} else {
		r.use = 1000 * r.cores()
	}
	if r.restoreLeft > 0 {
		r.restoreLeft -= time.Duration(pace * float64(dt))
		return
	}
	r.worked += time.Duration(pace * float64(dt))
	duration := r.job.durations[r.order.Task.Step][r.order.Task.Index]
	switch {
	case r.willFail && r.worked > duration/2:
		f.endRun(v, r, batch.EndFailed)
	case r.worked >= duration:
		f.endRun(v, r, batch.EndDone)
		f.recordDone(now, r)
	}
}

func (f *fleet) recordDone(now time.Duration, r *run) {
	if f.doneTasks[r.order.Task] {
		f.wastedCoreSeconds += r.worked.Seconds() * r.cores()
		return
	}
	f.doneTasks[r.order.Task] = true
	if r.job.tasksLeft--; r.job.tasksLeft == 0 {
		r.job.endedAt = now
	}
}

// report removes the acknowledged run ends of a VM and returns its next report.
func (f *fleet) report(now time.Duration, v *vm, acked int64) batch.Report {
	for len(v.ends) > 0 && v.ends[0].Seq <= acked {
		v.ends = v.ends[1:]
	}
	v.lastReportAt, v.reportedEnds = now, len(v.ends)
	rep := batch.Report{Born: v.born, Clock: v.clock(now), Ended: append([]batch.RunEnd(nil), v.ends...)}
	for _, r := range v.orderedRuns {
		rep.Running = append(rep.Running, f.status(now, r))
	}
	return rep
}

func (f *fleet) status(now time.Duration, r *run) batch.RunStatus {
	st := batch.RunStatus{Task: r.order.Task, Run: r.order.Run, HasUsage: true, Usage: r.use, Checkpoint: r.checkpoint()}
	if r.job.kind != servingKind {
		duration := r.job.durations[r.order.Task.Step][r.order.Task.Index]
		st.Progress = int(100 * min(float64(r.worked)/float64(duration), 1))
		return st
	}
	if f.ready(now, r) {
		st.Progress = 100
	}
	errorFactor := math.Exp(f.random.NormFloat64() * reportNoise)
	if f.random.IntN(outlierInterval) == 0 {
		errorFactor *= outlierFactor
	}
	st.Usage = math.Round(r.tail * tailTargetMS * errorFactor)
	return st
}
