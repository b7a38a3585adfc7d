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
	// targetMS is the serving tasks' target, of which rounded figures are told.
	targetMS = 20
	// figureSpan is what a figure covers.
	figureSpan = 500 * time.Millisecond
	// figureNoise is the error of a figure, as a standard deviation of its logarithm;
	// one in oddFigures is off by oddFactor instead.
	figureNoise = 0.08
	oddFigures  = 40
	oddFactor   = 2.2
	// fullAt is the share of a VM's processors in use beyond which all tails there grow:
	// by fullEffect, as a logarithm, for each VM's worth of processors too many.
	fullAt     = 0.95
	fullEffect = 8.0
	fullMost   = 0.25
	// startsWithin is how long an order takes to be carried out.
	startsWithin = 5 * time.Millisecond
)

// vm is a modelled VM.
type vm struct {
	inst batch.Instance
	runs map[batch.TaskID]*run
	// list holds the runs in the order of their starts: floating-point sums must not
	// follow the order of a map, or equal seeds would differ.
	list    []*run
	ends    []batch.RunEnd
	told    int
	seq     int64
	heardAt time.Duration
	// slow is how many times as long work takes; 0 stands still.
	slow    float64
	failing bool
	lost    bool
	// down is set between two starts under the VM's ID; born tells them apart, 0 where none
	// start again, and the present one began at bornAt.
	down   bool
	born   int64
	bornAt time.Duration
	// full is what it has when it has not shrunk, where it ever has.
	full batch.Resources
}

// run is a run on a VM.
type run struct {
	order   scheduler.Order
	job     *job
	spec    *batch.Step
	pace    float64
	worked  time.Duration
	started time.Duration
	// tail and use are means over the last figureSpan.
	tail, use float64
	// over is set while the tail is above its target, harmed while that is so because
	// of the fillers beside it.
	over, harmed bool
	fails        bool
}

// fleet is the modelled VMs and what is true of them.
type fleet struct {
	s      *Scenario
	w      *world
	random *rand.Rand
	vms    []*vm
	byID   map[string]*vm
	jobs   map[string]*job
	// done are the tasks that are done: another run's end must not count again.
	done map[batch.TaskID]bool
	// wasted sums the processor seconds of work that was not kept, used those in use.
	wasted, used float64
}

func newFleet(s *Scenario, w *world, seed uint64) *fleet {
	f := &fleet{
		s: s, w: w, random: rand.New(rand.NewPCG(seed, 23)), byID: map[string]*vm{}, jobs: map[string]*job{}, done: map[batch.TaskID]bool{},
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
			runs: map[batch.TaskID]*run{}, slow: 1, bornAt: -oldStart, heardAt: -every * time.Duration(i) / time.Duration(s.Fleet.VMs),
		}
		if s.restarts() {
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

// start carries a start out, or refuses it.
func (f *fleet) start(now time.Duration, o scheduler.Order) batch.Refusal {
	v := f.byID[o.Instance.ID]
	if v == nil || v.lost || v.down {
		return batch.RefusedUnreached
	}
	j := f.jobs[o.Task.Job]
	r := &run{order: o, job: j, spec: &j.spec.Steps[o.Task.Step], pace: 1, started: now, fails: v.failing || f.fails(j)}
	if saved, err := time.ParseDuration(o.Start.Checkpoint); err == nil {
		r.worked = saved
	}
	v.runs[o.Task] = r
	v.list = append(v.list, r)
	return ""
}

func (f *fleet) fails(j *job) bool {
	switch j.kind {
	case shortKind:
		return f.random.Float64() < f.s.Short.Fails
	case fillerKind:
		return f.random.Float64() < f.s.Fillers.Fails
	}
	return false
}

func (f *fleet) stop(o scheduler.Order) {
	if v := f.byID[o.Instance.ID]; v != nil {
		if r := v.runs[o.Task]; r != nil && r.order.Run == o.Run {
			f.end(v, r, batch.EndStopped)
		}
	}
}

func (f *fleet) pace(o scheduler.Order) {
	if v := f.byID[o.Instance.ID]; v != nil {
		if r := v.runs[o.Task]; r != nil && r.order.Run == o.Run {
			r.pace = float64(o.Percent) / 100
		}
	}
}

func (f *fleet) end(v *vm, r *run, how batch.EndKind) {
	v.seq++
	e := batch.RunEnd{Seq: v.seq, Task: r.order.Task, Run: r.order.Run, Kind: how, Checkpoint: r.checkpoint()}
	v.ends = append(v.ends, e)
	delete(v.runs, r.order.Task)
	for i, other := range v.list {
		if other == r {
			v.list = append(v.list[:i], v.list[i+1:]...)
			break
		}
	}
	if how != batch.EndDone && r.job.kind != servingKind && e.Checkpoint == "" {
		f.wasted += r.worked.Seconds() * r.cores()
	}
}

func (r *run) cores() float64 {
	return float64(r.spec.Need.MilliCPU) / 1000 * r.job.uses[r.order.Task.Step]
}

func (r *run) checkpoint() string {
	if !r.spec.Checkpoints || r.worked == 0 {
		return ""
	}
	return r.worked.String()
}

// load is the share of its declared processors that a serving run uses.
func (f *fleet) load(now time.Duration, r *run) float64 {
	s := &f.s.Serving
	return s.MeanLoad * (1 + s.Swing*math.Sin(2*math.Pi*(now.Seconds()/s.SwingS+r.job.phase)))
}

// ready reports whether a serving run is past its startup.
func (f *fleet) ready(now time.Duration, r *run) bool {
	return now-r.started >= time.Duration(f.s.Serving.StartMS)*time.Millisecond
}

// press is a filler's use of processors, as a share of its VM's.
type press struct {
	image string
	use   float64
}

// step lets a VM's runs work for a while.
func (f *fleet) step(now, dt time.Duration, v *vm) {
	if v.lost || v.down {
		return
	}
	capacity := float64(v.inst.Capacity.MilliCPU)
	total, fillers := 0.0, 0.0
	var presses []press
	for _, r := range v.list {
		switch r.job.kind {
		case servingKind:
			total += f.load(now, r) * float64(r.spec.Need.MilliCPU) / capacity
		case fillerKind:
			use := r.pace * 1000 * r.cores() / capacity
			presses = append(presses, press{r.spec.Image, use})
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
	f.used += (min(total, 1) + fillers*share) * capacity / 1000 * dt.Seconds()
	for _, r := range append([]*run(nil), v.list...) {
		if r.job.kind == servingKind {
			f.serve(now, dt, v, r, presses, total+fillers)
			continue
		}
		f.work(now, dt, v, r, share)
	}
}

// serve lets a serving run's tail follow its load and what is beside it.
func (f *fleet) serve(now, dt time.Duration, v *vm, r *run, presses []press, total float64) {
	if f.random.Float64() < f.s.Serving.FailsPerMinute*dt.Minutes() {
		f.end(v, r, batch.EndFailed)
		return
	}
	own := -math.Log(1-f.load(now, r)) - math.Log(f.s.Serving.TargetTimes)
	tail := own + fullEffect*min(max(total-fullAt, 0), fullMost)
	for _, p := range presses {
		if w, ok := f.w.slopes[[2]string{r.spec.Image, p.image}]; ok {
			tail += w.at(now) * p.use
		}
	}
	r.over = tail > 0
	r.harmed = r.over && own <= 0
	r.tail += (math.Exp(tail) - r.tail) * min(2*dt.Seconds()/figureSpan.Seconds(), 1)
}

func (f *fleet) work(now, dt time.Duration, v *vm, r *run, share float64) {
	pace := 0.0
	if v.slow > 0 {
		pace = 1 / v.slow
	}
	if r.spec.Filler {
		pace *= r.pace * share
		r.use += (pace*1000*r.cores() - r.use) * min(2*dt.Seconds()/figureSpan.Seconds(), 1)
	} else {
		r.use = 1000 * r.cores()
	}
	r.worked += time.Duration(pace * float64(dt))
	length := r.job.lengths[r.order.Task.Step][r.order.Task.Index]
	switch {
	case r.fails && r.worked > length/2:
		f.end(v, r, batch.EndFailed)
	case r.worked >= length:
		f.end(v, r, batch.EndDone)
		f.noteDone(now, r)
	}
}

func (f *fleet) noteDone(now time.Duration, r *run) {
	if f.done[r.order.Task] {
		f.wasted += r.worked.Seconds() * r.cores()
		return
	}
	f.done[r.order.Task] = true
	if r.job.left--; r.job.left == 0 {
		r.job.ended = now
	}
}

// report is what a VM tells, and forgets the ends that are acknowledged.
func (f *fleet) report(now time.Duration, v *vm, acked int64) batch.Report {
	for len(v.ends) > 0 && v.ends[0].Seq <= acked {
		v.ends = v.ends[1:]
	}
	v.heardAt, v.told = now, len(v.ends)
	rep := batch.Report{Born: v.born, Clock: v.clock(now), Ended: append([]batch.RunEnd(nil), v.ends...)}
	for _, r := range v.list {
		rep.Running = append(rep.Running, f.status(now, r))
	}
	return rep
}

func (f *fleet) status(now time.Duration, r *run) batch.RunStatus {
	st := batch.RunStatus{Task: r.order.Task, Run: r.order.Run, HasUsage: true, Usage: r.use, Checkpoint: r.checkpoint()}
	if r.job.kind != servingKind {
		length := r.job.lengths[r.order.Task.Step][r.order.Task.Index]
		st.Progress = int(100 * min(float64(r.worked)/float64(length), 1))
		return st
	}
	if f.ready(now, r) {
		st.Progress = 100
	}
	off := math.Exp(f.random.NormFloat64() * figureNoise)
	if f.random.IntN(oddFigures) == 0 {
		off *= oddFactor
	}
	st.Usage = math.Round(r.tail * targetMS * off)
	return st
}
