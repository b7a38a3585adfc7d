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

// simulation replays a load against a scheduler: jobs arrive at set times, VMs carry
// orders out a few milliseconds later, and tails follow loads, pressing fillers
// and lack of processors by laws that the scheduler is not told.
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

	// servingTime sums the time of serving tasks at work, overTime that over their
	// targets.
	servingTime, overTime time.Duration
	// doneWork sums the processor time of fillers that are done.
	doneWork float64
}

// arrival is a job of the load.
type arrival struct {
	at  Time
	job *batch.Job
	// length and use are a filler's true duration and the share of its declared
	// processors that it uses; phase that of a serving job's load.
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
	// simTailTarget is the serving tasks' target in milliseconds, a round figure is
	// told of the tails.
	simTailTarget = 24.0
)

// newSimulation returns a player with so many VMs of 64 processors in racks of eight.
func newSimulation(t *testing.T, vms int, seed uint64) *simulation {
	p := &simulation{
		t: t, now: time.Second, random: rand.New(rand.NewPCG(seed, 7)), byID: map[string]*simulatedVM{},
		slopes: map[[2]string]float64{}, jobs: map[string]*simulatedJob{},
	}
	p.s = New(Settings{MaxLease: 10 * time.Second}, 1, nil)
	p.s.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{{Name: testQueue, Pool: "pool", Attempts: 3, Stretch: 2, Slack: time.Second}}})
	var list []batch.Instance
	for i := range vms {
		inst := instance(i)
		inst.ID, inst.Address = fmt.Sprintf("vm%03d", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
		inst.Capacity = batch.Resources{MilliCPU: 64_000, MemoryMB: 1 << 20}
		list = append(list, inst)
		v := &simulatedVM{inst: inst, runs: map[batch.TaskID]*simulatedRun{}, reportedAt: p.now - time.Duration(i)*simReportInterval/time.Duration(vms)}
		p.vms = append(p.vms, v)
		p.byID[inst.ID] = v
	}
	p.s.SetInstances(p.now, list)
	return p
}

// submitServing adds serving jobs of some images with loads in different phases.
func (p *simulation) submitServing(jobs, tasks int, images ...string) {
	for n := range jobs {
		step := servingStep(images[n%len(images)], 12_000+int64(p.random.IntN(2000)))
		step.Tasks, step.TailTarget = tasks, simTailTarget*time.Millisecond
		p.arrivals = append(p.arrivals, arrival{at: p.now, phase: p.random.Float64(), job: &batch.Job{ID: fmt.Sprintf("s%03d", n), Steps: []batch.Step{step}}})
	}
}

// submitFillers adds filler jobs of one step of some images at a rate until an end.
func (p *simulation) submitFillers(perSecond float64, tasks int, from, until Time, images ...string) {
	for at := from; at < until; at += p.nextGap(perSecond) {
		length := time.Duration((0.6 + 0.8*p.random.Float64()) * float64(2700*time.Millisecond))
		p.submit(at, length, p.filler(tasks, 2700*time.Millisecond, images))
	}
}

// submitFillerChains adds filler jobs of one to four steps, one after the other, some of
// them ten times as large as others.
func (p *simulation) submitFillerChains(perSecond float64, from, until Time, images ...string) {
	for at := from; at < until; at += p.nextGap(perSecond) {
		length := time.Duration(p.randomFactor(0.5) * float64(2200*time.Millisecond))
		tasks := max(int(math.Round(8*p.randomFactor(0.6))), 1)
		var steps []batch.Step
		for n := range min(max(int(math.Round(2*p.randomFactor(0.4))), 1), 4) {
			step := p.filler(tasks, time.Duration(float64(length)*(0.8+0.4*p.random.Float64())), images)
			if n > 0 {
				step.After = []int{n - 1}
			}
			steps = append(steps, step)
		}
		p.submit(at, length, steps...)
	}
}

// nextGap is the time to the next arrival.
func (p *simulation) nextGap(perSecond float64) Time {
	return time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second))
}

// randomFactor is a factor with mean 1 and a long tail.
func (p *simulation) randomFactor(sigma float64) float64 {
	return min(math.Exp(p.random.NormFloat64()*sigma-sigma*sigma/2), 4)
}

func (p *simulation) filler(tasks int, estimate time.Duration, images []string) batch.Step {
	step := fillerStep(images[p.random.IntN(len(images))], 5000+int64(p.random.IntN(4000)))
	step.Tasks, step.Estimate = tasks, estimate
	return step
}

// submit adds a filler job whose tasks take length.
func (p *simulation) submit(at Time, length time.Duration, steps ...batch.Step) {
	p.arrivals = append(p.arrivals, arrival{at: at, length: length, use: 1, job: &batch.Job{ID: fmt.Sprintf("f%05d", len(p.arrivals)), Steps: steps}})
}

// runUntil runs the load until an end.
func (p *simulation) runUntil(until Time) {
	for ; p.now < until; p.now += simStep {
		p.submitDue()
		for _, o := range p.s.Plan(p.now) {
			p.carryOut(o)
		}
		for _, v := range p.vms {
			p.advanceVM(v)
			if p.now-v.reportedAt >= simReportInterval || len(v.ends) > v.reportedEnds {
				p.report(v)
			}
		}
	}
}

func (p *simulation) submitDue() {
	rest := p.arrivals[:0]
	for _, a := range p.arrivals {
		if a.at > p.now {
			rest = append(rest, a)
			continue
		}
		left := 0
		for i := range a.job.Steps {
			left += a.job.Steps[i].Tasks
		}
		p.jobs[a.job.ID] = &simulatedJob{arrival: a, left: left}
		p.s.Submit(p.now, Submission{Job: a.job, Queue: testQueue, Pool: "pool"})
	}
	p.arrivals = rest
}

func (p *simulation) carryOut(o Order) {
	v := p.byID[o.Instance.ID]
	switch o.Kind {
	case OrderStart:
		job := p.jobs[o.Task.Job]
		v.runs[o.Task] = &simulatedRun{order: o, job: job, spec: &job.job.Steps[o.Task.Step], pace: 1, started: p.now}
		p.s.Started(p.now, p.now, o, p.now+time.Hour, "", false)
	case OrderStop:
		if r := v.runs[o.Task]; r != nil && r.order.Run == o.Run {
			p.endRun(v, r, batch.EndStopped)
		}
		p.s.Stopped(p.now, o)
	case OrderPace:
		if r := v.runs[o.Task]; r != nil && r.order.Run == o.Run {
			r.pace = float64(o.Percent) / 100
		}
		p.s.HandlePaceResult(o, true)
	}
}

func (p *simulation) endRun(v *simulatedVM, r *simulatedRun, kind batch.EndKind) {
	v.seq++
	checkpoint := fmt.Sprint(int64(r.worked))
	v.ends = append(v.ends, batch.RunEnd{Seq: v.seq, Task: r.order.Task, Run: r.order.Run, Kind: kind, Checkpoint: checkpoint})
	delete(v.runs, r.order.Task)
}

// loadShare is the share of its declared processors that a serving run uses.
func (p *simulation) loadShare(r *simulatedRun) float64 {
	return 0.48 * (1 + 0.6*math.Sin(2*math.Pi*(p.now.Seconds()/simSwingPeriod.Seconds()+r.job.phase)))
}

// advanceVM lets a VM's runs work for one step of time.
func (p *simulation) advanceVM(v *simulatedVM) {
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
		used += p.loadShare(r) * float64(r.spec.Need.MilliCPU) / capacity
	}
	for _, r := range v.runs {
		if r.spec.Serves() {
			p.advanceServing(r, effect, used)
		} else {
			p.advanceFiller(v, r)
		}
	}
}

func (p *simulation) advanceServing(r *simulatedRun, effect map[string]float64, used float64) {
	tail := 2.36*p.loadShare(r) - 2.07
	for image, use := range effect {
		tail += p.slopes[[2]string{r.spec.Image, image}] * use
	}
	// Where hardly a processor is left, all tails grow several times over.
	tail += 8 * min(max(used-0.95, 0), 0.25)
	if tail > 0 {
		p.overTime += simStep
	}
	p.servingTime += simStep
	r.tail += (math.Exp(tail) - r.tail) * float64(simStep) / float64(simSampleSpan) * 2
}

func (p *simulation) advanceFiller(v *simulatedVM, r *simulatedRun) {
	r.worked += time.Duration(r.pace * float64(simStep))
	r.use += (r.pace*r.job.use*float64(r.spec.Need.MilliCPU) - r.use) * float64(simStep) / float64(simSampleSpan) * 2
	if r.worked < r.job.length {
		return
	}
	p.doneWork += r.job.length.Seconds() * r.job.use * float64(r.spec.Need.MilliCPU) / 1000
	p.endRun(v, r, batch.EndDone)
	if r.job.left--; r.job.left == 0 {
		r.job.ended = p.now
	}
}

// report delivers what a VM tells.
func (p *simulation) report(v *simulatedVM) {
	v.reportedAt = p.now
	rep := batch.Report{Clock: p.now + time.Hour, Ended: v.ends}
	v.reportedEnds = len(v.ends)
	for _, r := range v.runs {
		st := batch.RunStatus{Task: r.order.Task, Run: r.order.Run, HasUsage: true, Progress: 100}
		if r.spec.Serves() {
			st.Usage = math.Round(r.tail * simTailTarget * math.Exp(p.random.NormFloat64()*0.08))
		} else {
			st.Usage = r.use
			st.Progress = int(100 * float64(r.worked) / float64(r.job.length))
			st.Checkpoint = fmt.Sprint(int64(r.worked))
		}
		rep.Running = append(rep.Running, st)
	}
	_, ok := p.s.Hold(p.now, v.inst.ID, simReportInterval)
	require.True(p.t, ok)
	p.s.HandleReport(p.now, p.now, v.inst.ID, rep)
}

// overTargetShare is the share of the serving time over target.
func (p *simulation) overTargetShare() float64 {
	return float64(p.overTime) / float64(max(p.servingTime, 1))
}

// endedWithin reports whether a filler job ended within a multiple of its objective.
func (j *simulatedJob) endedWithin(factor float64) bool {
	objective := time.Duration(float64(2*j.job.Chain()+time.Second) * factor)
	return j.ended > 0 && j.ended-j.at <= objective
}

// fillers are the filler jobs that came before an end, the smallest first.
func (p *simulation) fillers(until Time) []*simulatedJob {
	var list []*simulatedJob
	for _, j := range p.jobs {
		if j.job.Steps[0].Filler && j.at <= until {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *simulatedJob) int { return cmp.Compare(a.job.Work(), b.job.Work()) })
	return list
}

// onTime is the share of filler jobs that ended within their objective.
func onTime(jobs []*simulatedJob) float64 {
	good := 0
	for _, j := range jobs {
		if j.endedWithin(1) {
			good++
		}
	}
	return float64(good) / float64(max(len(jobs), 1))
}

// workOnTime is the share of the filler jobs' work that ended within the objective.
func workOnTime(jobs []*simulatedJob) float64 {
	all, good := 0.0, 0.0
	for _, j := range jobs {
		all += j.job.Work()
		if j.endedWithin(1) {
			good += j.job.Work()
		}
	}
	return good / all
}
