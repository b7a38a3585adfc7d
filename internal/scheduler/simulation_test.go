package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// simulation runs a load against a scheduler: jobs arrive at given times, VMs carry out orders a
// few milliseconds later, and tails depend on the load, on interfering fillers and on lack of
// processors by a model unknown to the scheduler.
type simulation struct {
	t      *testing.T
	s      *Scheduler
	now    Time
	random *rand.Rand
	vms    []*simulatedVM
	byID   map[string]*simulatedVM
	// slopes are the true effects of filler images on serving images.
	slopes   map[[2]string]float64
	arrivals []arrival
	jobs     map[string]*simulatedJob

	// servingTime is the total time of running serving tasks, overTime the part of it over their
	// targets.
	servingTime, overTime time.Duration
	// doneWork is the processor time of completed fillers, in seconds.
	doneWork float64
}

// arrival is a job and its time of submission.
type arrival struct {
	at  Time
	job *batch.Job
	// length and use are a filler's true duration and the share of its declared processors that
	// it uses; phase is the phase of a serving job's load.
	length time.Duration
	use    float64
	phase  float64
}

type simulatedJob struct {
	arrival
	ended Time
	left  int
}

type simulatedVM struct {
	inst         batch.Instance
	runs         map[batch.TaskID]*simulatedRun
	ends         []batch.RunEnd
	seq          int64
	reportedAt   Time
	reportedEnds int
}

type simulatedRun struct {
	order   Order
	job     *simulatedJob
	spec    *batch.Step
	pace    float64
	started Time
	worked  time.Duration
	// tail and use are means over the last half second.
	tail, use float64
}

const (
	simStep           = 20 * time.Millisecond
	simReportInterval = 600 * time.Millisecond
	simSampleSpan     = 500 * time.Millisecond
	simSwingPeriod    = 10 * time.Second
	// simTailTarget is the serving tasks' target in milliseconds. Tails are reported as whole
	// milliseconds.
	simTailTarget = 24.0
)

// newSimulation returns a simulation with VMs of 64 processors.
func newSimulation(t *testing.T, vms int, seed uint64) *simulation {
	sim := &simulation{
		t: t, now: time.Second, random: rand.New(rand.NewPCG(seed, 7)), byID: map[string]*simulatedVM{},
		slopes: map[[2]string]float64{}, jobs: map[string]*simulatedJob{},
	}
	sim.s = New(Settings{MaxLease: 10 * time.Second}, 1, nil)
	sim.s.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{{Name: testQueue, Pool: "pool", Attempts: 3, Stretch: 2, Slack: time.Second}}})
	var list []batch.Instance
	for i := range vms {
		inst := instance(i)
		inst.ID, inst.Address = fmt.Sprintf("vm%03d", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
		inst.Capacity = batch.Resources{MilliCPU: 64_000, MemoryMB: 1 << 20}
		list = append(list, inst)
		v := &simulatedVM{inst: inst, runs: map[batch.TaskID]*simulatedRun{}, reportedAt: sim.now - time.Duration(i)*simReportInterval/time.Duration(vms)}
		sim.vms = append(sim.vms, v)
		sim.byID[inst.ID] = v
	}
	sim.s.SetInstances(sim.now, list)
	return sim
}

// submitServing adds serving jobs of the images with loads in random phases.
func (sim *simulation) submitServing(jobs, tasks int, images ...string) {
	for n := range jobs {
		step := servingStep(images[n%len(images)], 12_000+int64(sim.random.IntN(2000)))
		step.Tasks, step.TailTarget = tasks, simTailTarget*time.Millisecond
		sim.arrivals = append(sim.arrivals, arrival{at: sim.now, phase: sim.random.Float64(), job: &batch.Job{ID: fmt.Sprintf("s%03d", n), Steps: []batch.Step{step}}})
	}
}

// submitFillers adds single-step filler jobs of the images at a mean rate in the given period.
func (sim *simulation) submitFillers(perSecond float64, tasks int, from, until Time, images ...string) {
	for at := from; at < until; at += sim.nextGap(perSecond) {
		length := time.Duration((0.6 + 0.8*sim.random.Float64()) * float64(2700*time.Millisecond))
		sim.submit(at, length, sim.filler(tasks, 2700*time.Millisecond, images))
	}
}

// submitFillerChains adds filler jobs of one to four consecutive steps, some of them ten times as
// large as others.
func (sim *simulation) submitFillerChains(perSecond float64, from, until Time, images ...string) {
	for at := from; at < until; at += sim.nextGap(perSecond) {
		length := time.Duration(sim.randomFactor(0.5) * float64(2200*time.Millisecond))
		tasks := max(int(math.Round(8*sim.randomFactor(0.6))), 1)
		var steps []batch.Step
		for n := range min(max(int(math.Round(2*sim.randomFactor(0.4))), 1), 4) {
			step := sim.filler(tasks, time.Duration(float64(length)*(0.8+0.4*sim.random.Float64())), images)
			if n > 0 {
				step.After = []int{n - 1}
			}
			steps = append(steps, step)
		}
		sim.submit(at, length, steps...)
	}
}

// nextGap returns a random time to the next arrival.
func (sim *simulation) nextGap(perSecond float64) Time {
	return time.Duration(sim.random.ExpFloat64() / perSecond * float64(time.Second))
}

// randomFactor returns a random factor with mean 1 and a long tail.
func (sim *simulation) randomFactor(sigma float64) float64 {
	return min(math.Exp(sim.random.NormFloat64()*sigma-sigma*sigma/2), 4)
}

func (sim *simulation) filler(tasks int, estimate time.Duration, images []string) batch.Step {
	step := fillerStep(images[sim.random.IntN(len(images))], 5000+int64(sim.random.IntN(4000)))
	step.Tasks, step.Estimate = tasks, estimate
	return step
}

// submit adds a filler job whose tasks take length.
func (sim *simulation) submit(at Time, length time.Duration, steps ...batch.Step) {
	sim.arrivals = append(sim.arrivals, arrival{at: at, length: length, use: 1, job: &batch.Job{ID: fmt.Sprintf("f%05d", len(sim.arrivals)), Steps: steps}})
}

// runUntil runs the simulation up to the given time.
func (sim *simulation) runUntil(until Time) {
	for ; sim.now < until; sim.now += simStep {
		sim.submitDue()
		for _, o := range sim.s.Plan(sim.now) {
			sim.carryOut(o)
		}
		for _, v := range sim.vms {
			sim.advanceVM(v)
			if sim.now-v.reportedAt >= simReportInterval || len(v.ends) > v.reportedEnds {
				sim.report(v)
			}
		}
	}
}

func (sim *simulation) submitDue() {
	rest := sim.arrivals[:0]
	for _, a := range sim.arrivals {
		if a.at > sim.now {
			rest = append(rest, a)
			continue
		}
		left := 0
		for i := range a.job.Steps {
			left += a.job.Steps[i].Tasks
		}
		sim.jobs[a.job.ID] = &simulatedJob{arrival: a, left: left}
		sim.s.Submit(sim.now, Submission{Job: a.job, Queue: testQueue, Pool: "pool"})
	}
	sim.arrivals = rest
}

func (sim *simulation) carryOut(o Order) {
	v := sim.byID[o.Instance.ID]
	switch o.Kind {
	case OrderStart:
		job := sim.jobs[o.Task.Job]
		v.runs[o.Task] = &simulatedRun{order: o, job: job, spec: &job.job.Steps[o.Task.Step], pace: 1, started: sim.now}
		sim.s.Started(sim.now, sim.now, o, sim.now+time.Hour, "", false)
	case OrderStop:
		if r := v.runs[o.Task]; r != nil && r.order.Run == o.Run {
			sim.endRun(v, r, batch.EndStopped)
		}
		sim.s.Stopped(sim.now, o)
	case OrderPace:
		if r := v.runs[o.Task]; r != nil && r.order.Run == o.Run {
			r.pace = float64(o.Percent) / 100
		}
		sim.s.HandlePaceResult(o, true)
	}
}

func (sim *simulation) endRun(v *simulatedVM, r *simulatedRun, kind batch.EndKind) {
	v.seq++
	checkpoint := fmt.Sprint(int64(r.worked))
	v.ends = append(v.ends, batch.RunEnd{Seq: v.seq, Task: r.order.Task, Run: r.order.Run, Kind: kind, Checkpoint: checkpoint})
	delete(v.runs, r.order.Task)
}

// loadShare is the share of its declared processors that a serving run uses now.
func (sim *simulation) loadShare(r *simulatedRun) float64 {
	return 0.48 * (1 + 0.6*math.Sin(2*math.Pi*(sim.now.Seconds()/simSwingPeriod.Seconds()+r.job.phase)))
}

// advanceVM advances a VM's runs by simStep.
func (sim *simulation) advanceVM(v *simulatedVM) {
	capacity := float64(v.inst.Capacity.MilliCPU)
	used := 0.0
	effect := map[string]float64{}
	for _, r := range v.runs {
		if r.spec.Filler {
			use := r.pace * r.job.use * float64(r.spec.Need.MilliCPU) / capacity
			effect[r.spec.Image] += use
			used += use
			continue
		}
		used += sim.loadShare(r) * float64(r.spec.Need.MilliCPU) / capacity
	}
	for _, r := range v.runs {
		if r.spec.Serves() {
			sim.advanceServing(r, effect, used)
		} else {
			sim.advanceFiller(v, r)
		}
	}
}

func (sim *simulation) advanceServing(r *simulatedRun, effect map[string]float64, used float64) {
	tail := 2.36*sim.loadShare(r) - 2.07
	for image, use := range effect {
		tail += sim.slopes[[2]string{r.spec.Image, image}] * use
	}
	// With hardly a free processor, all tails grow several times over.
	tail += 8 * min(max(used-0.95, 0), 0.25)
	if tail > 0 {
		sim.overTime += simStep
	}
	sim.servingTime += simStep
	r.tail += (math.Exp(tail) - r.tail) * float64(simStep) / float64(simSampleSpan) * 2
}

func (sim *simulation) advanceFiller(v *simulatedVM, r *simulatedRun) {
	r.worked += time.Duration(r.pace * float64(simStep))
	r.use += (r.pace*r.job.use*float64(r.spec.Need.MilliCPU) - r.use) * float64(simStep) / float64(simSampleSpan) * 2
	if r.worked < r.job.length {
		return
	}
	sim.doneWork += r.job.length.Seconds() * r.job.use * float64(r.spec.Need.MilliCPU) / 1000
	sim.endRun(v, r, batch.EndDone)
	if r.job.left--; r.job.left == 0 {
		r.job.ended = sim.now
	}
}

// report delivers the VM's report to the scheduler.
func (sim *simulation) report(v *simulatedVM) {
	v.reportedAt = sim.now
	rep := batch.Report{Clock: sim.now + time.Hour, Ended: v.ends}
	v.reportedEnds = len(v.ends)
	for _, r := range v.runs {
		st := batch.RunStatus{Task: r.order.Task, Run: r.order.Run, HasUsage: true, Progress: 100}
		if r.spec.Serves() {
			st.Usage = math.Round(r.tail * simTailTarget * math.Exp(sim.random.NormFloat64()*0.08))
		} else {
			st.Usage = r.use
			st.Progress = int(100 * float64(r.worked) / float64(r.job.length))
			st.Checkpoint = fmt.Sprint(int64(r.worked))
		}
		rep.Running = append(rep.Running, st)
	}
	_, ok := sim.s.Hold(sim.now, v.inst.ID, simReportInterval)
	require.True(sim.t, ok)
	sim.s.HandleReport(sim.now, sim.now, v.inst.ID, rep)
}

// overTargetShare is the share of the serving time over target.
func (sim *simulation) overTargetShare() float64 {
	return float64(sim.overTime) / float64(max(sim.servingTime, 1))
}

// endedWithin reports whether a filler job ended within a multiple of its objective.
func (j *simulatedJob) endedWithin(factor float64) bool {
	objective := time.Duration(float64(2*j.job.CriticalPath()+time.Second) * factor)
	return j.ended > 0 && j.ended-j.at <= objective
}

// fillers returns the filler jobs submitted up to the given time, the smallest first.
func (sim *simulation) fillers(until Time) []*simulatedJob {
	var list []*simulatedJob
	for _, j := range sim.jobs {
		if j.job.Steps[0].Filler && j.at <= until {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *simulatedJob) int { return cmp.Compare(a.job.Work(), b.job.Work()) })
	return list
}

// onTime is the share of filler jobs that ended within their objective.
func onTime(jobs []*simulatedJob) float64 {
	inTime := 0
	for _, j := range jobs {
		if j.endedWithin(1) {
			inTime++
		}
	}
	return float64(inTime) / float64(max(len(jobs), 1))
}

// workOnTime is the share of the filler jobs' work that ended within the objective.
func workOnTime(jobs []*simulatedJob) float64 {
	all, inTime := 0.0, 0.0
	for _, j := range jobs {
		all += j.job.Work()
		if j.endedWithin(1) {
			inTime += j.job.Work()
		}
	}
	return inTime / all
}
