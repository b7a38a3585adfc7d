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
	// tailTargetMS is the serving tasks' target, of which rounded figures are told.
	tailTargetMS = 20
	// averagingWindow is what a figure covers.
	averagingWindow = 500 * time.Millisecond
	// reportNoise is the error of a figure, as a standard deviation of its logarithm;
	// one in outlierInterval is off by outlierFactor instead.
	reportNoise     = 0.08
	outlierInterval = 40
	outlierFactor   = 2.2
	// saturationThreshold is the share of a VM's processors in use beyond which all tails there grow:
	// by saturationSlope, as a logarithm, for each VM's worth of processors too many.
	saturationThreshold = 0.95
	saturationSlope     = 8.0
	maxSaturation       = 0.25
	// startDelay is how long an order takes to be carried out.
	startDelay = 5 * time.Millisecond
)

// vm is a modelled VM.
type vm struct {
	inst batch.Instance
	runs map[batch.TaskID]*run
	// orderedRuns holds the runs in the order of their starts: floating-point sums must not
	// follow the order of a map, or equal seeds would differ.
	orderedRuns  []*run
	ends         []batch.RunEnd
	reportedEnds int
	seq          int64
	lastReportAt time.Duration
	// slowdown is how many times as long work takes; 0 stands still.
	slowdown float64
	failing  bool
	lost     bool
	// down is set between two starts under the VM's ID; born tells them apart, 0 where none
	// start again, and the present one began at bornAt.
	down   bool
	born   int64
	bornAt time.Duration
	// fullCapacity is what it has when it has not shrunk, where it ever has.
	fullCapacity batch.Resources
}

// run is a run on a VM.
type run struct {
	order   scheduler.Order
	job     *job
	spec    *batch.Step
	pace    float64
	worked  time.Duration
	started time.Duration
	// tail and use are means over the last averagingWindow.
	tail, use float64
	// overTarget is set while the tail is above its target, harmed while that is so because
	// of the fillers beside it.
	overTarget, harmed bool
	willFail           bool
}

// fleet is the modelled VMs and what is true of them.
type fleet struct {
	scenario *Scenario
	world    *world
	random   *rand.Rand
	vms      []*vm
	byID     map[string]*vm
	jobs     map[string]*job
	// doneTasks are the tasks that are done: another run's end must not count again.
	doneTasks map[batch.TaskID]bool
	// wastedCoreSeconds sums the processor seconds of work that was not kept, used those in use.
	wastedCoreSeconds, usedCoreSeconds float64
}

func newFleet(s *Scenario, w *world, seed uint64) *fleet {
	f := &fleet{
		scenario: s, world: w, random: rand.New(rand.NewPCG(seed, 23)), byID: map[string]*vm{}, jobs: map[string]*job{}, doneTasks: map[batch.TaskID]bool{},
	}
	every := time.Duration(s.Fleet.ReportMS) * time.Millisecond
	for i := range s.Fleet.VMs {
		size := 1.0
		if n := len(s.Fleet.Sizes); n > 0 {
			size = s.Fleet.Sizes[i%n]
		}
		v := &vm{
			inst: batch.Instance{
				ID: fmt.Sprintf("vm%05d", i), Pool: pool, Address: fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255), Zone: fmt.Sprintf("zone-%d", i%3),
				Labels:   []string{"a", fmt.Sprintf("r%d", i/s.Fleet.RackOf)},
				Capacity: batch.Resources{MilliCPU: int64(1000 * s.Fleet.Cores * size), MemoryMB: int64(1000 * s.Fleet.MemoryGB * size)},
			},
			runs: map[batch.TaskID]*run{}, slowdown: 1, bornAt: -initialUptime, lastReportAt: -every * time.Duration(i) / time.Duration(s.Fleet.VMs),
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

// startRun carries a start out, or refuses it.
func (f *fleet) startRun(now time.Duration, o scheduler.Order) batch.Refusal {
	v := f.byID[o.Instance.ID]
	if v == nil || v.lost || v.down {
		return batch.RefusedUnreached
	}
	j := f.jobs[o.Task.Job]
	r := &run{order: o, job: j, spec: &j.spec.Steps[o.Task.Step], pace: 1, started: now, willFail: v.failing || f.drawFailure(j)}
	if saved, err := time.ParseDuration(o.Start.Checkpoint); err == nil {
		r.worked = saved
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

func (f *fleet) endRun(v *vm, r *run, how batch.EndKind) {
	v.seq++
	e := batch.RunEnd{Seq: v.seq, Task: r.order.Task, Run: r.order.Run, Kind: how, Checkpoint: r.checkpoint()}
	v.ends = append(v.ends, e)
	delete(v.runs, r.order.Task)
	for i, other := range v.orderedRuns {
		if other == r {
			v.orderedRuns = append(v.orderedRuns[:i], v.orderedRuns[i+1:]...)
			break
		}
	}
	if how != batch.EndDone && r.job.kind != servingKind && e.Checkpoint == "" {
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

// servingLoad is the share of its declared processors that a serving run uses.
func (f *fleet) servingLoad(now time.Duration, r *run) float64 {
	s := &f.scenario.Serving
	return s.MeanLoad * (1 + s.Swing*math.Sin(2*math.Pi*(now.Seconds()/s.SwingS+r.job.loadPhase)))
}

// ready reports whether a serving run is past its startup.
func (f *fleet) ready(now time.Duration, r *run) bool {
	return now-r.started >= time.Duration(f.scenario.Serving.StartMS)*time.Millisecond
}

// fillerUse is a filler's use of processors, as a share of its VM's.
type fillerUse struct {
	image string
	use   float64
}

// advance lets a VM's runs work for a while.
func (f *fleet) advance(now, dt time.Duration, v *vm) {
	if v.lost || v.down {
		return
	}
	capacity := float64(v.inst.Capacity.MilliCPU)
	total, fillers := 0.0, 0.0
	var presses []fillerUse
	for _, r := range v.orderedRuns {
		switch r.job.kind {
		case servingKind:
			total += f.servingLoad(now, r) * float64(r.spec.Need.MilliCPU) / capacity
		case fillerKind:
			use := r.pace * 1000 * r.cores() / capacity
			presses = append(presses, fillerUse{r.spec.Image, use})
			fillers += use
		default:
			total += float64(r.spec.Need.MilliCPU) / capacity
		}
	}
	// Fillers get what is left.
	share := 1.0
	if fillers > 0 {
		share = min(1, max(1-total, 0)/fillers)
	}
	f.usedCoreSeconds += (min(total, 1) + fillers*share) * capacity / 1000 * dt.Seconds()
	for _, r := range append([]*run(nil), v.orderedRuns...) {
		if r.job.kind == servingKind {
			f.advanceServing(now, dt, v, r, presses, total+fillers)
			continue
		}
		f.advanceBatch(now, dt, v, r, share)
	}
}

// advanceServing lets a serving run's tail follow its load and what is beside it.
func (f *fleet) advanceServing(now, dt time.Duration, v *vm, r *run, presses []fillerUse, total float64) {
	if f.random.Float64() < f.scenario.Serving.FailsPerMinute*dt.Minutes() {
		f.endRun(v, r, batch.EndFailed)
		return
	}
	own := -math.Log(1-f.servingLoad(now, r)) - math.Log(f.scenario.Serving.TargetTimes)
	tail := own + saturationSlope*min(max(total-saturationThreshold, 0), maxSaturation)
	for _, p := range presses {
		if w, ok := f.world.slopes[[2]string{r.spec.Image, p.image}]; ok {
			tail += w.at(now) * p.use
		}
	}
	r.overTarget = tail > 0
	r.harmed = r.overTarget && own <= 0
	r.tail += (math.Exp(tail) - r.tail) * min(2*dt.Seconds()/averagingWindow.Seconds(), 1)
}

func (f *fleet) advanceBatch(now, dt time.Duration, v *vm, r *run, share float64) {
	pace := 0.0
	if v.slowdown > 0 {
		pace = 1 / v.slowdown
	}
	if r.spec.Filler {
		pace *= r.pace * share
		r.use += (pace*1000*r.cores() - r.use) * min(2*dt.Seconds()/averagingWindow.Seconds(), 1)
	} else {
		r.use = 1000 * r.cores()
	}
	r.worked += time.Duration(pace * float64(dt))
	length := r.job.durations[r.order.Task.Step][r.order.Task.Index]
	switch {
	case r.willFail && r.worked > length/2:
		f.endRun(v, r, batch.EndFailed)
	case r.worked >= length:
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

// report is what a VM tells, and forgets the ends that are acknowledged.
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
		length := r.job.durations[r.order.Task.Step][r.order.Task.Index]
		st.Progress = int(100 * min(float64(r.worked)/float64(length), 1))
		return st
	}
	if f.ready(now, r) {
		st.Progress = 100
	}
	off := math.Exp(f.random.NormFloat64() * reportNoise)
	if f.random.IntN(outlierInterval) == 0 {
		off *= outlierFactor
	}
	st.Usage = math.Round(r.tail * tailTargetMS * off)
	return st
}
