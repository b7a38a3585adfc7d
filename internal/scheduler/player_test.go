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

// player replays a load against a scheduler: jobs arrive at set times, VMs carry
// orders out a few milliseconds later, and tails follow loads, pressing fillers
// and lack of processors by laws that the scheduler is not told.
type player struct {
	t      *testing.T
	s      *Scheduler
	now    Time
	random *rand.Rand
	vms    []*playedVM
	byID   map[string]*playedVM
	// slopes are the true effects of filler images on serving images.
	slopes   map[[2]string]float64
	arrivals []arrival
	jobs     map[string]*playedJob

	// servedFor sums the time of serving tasks at work, overFor that over their
	// targets.
	servedFor, overFor time.Duration
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

type playedJob struct {
	arrival
	ended Time
	left  int
}

type playedVM struct {
	inst    batch.Instance
	runs    map[batch.TaskID]*playedRun
	ends    []batch.RunEnd
	seq     int64
	heardAt Time
	told    int
}

type playedRun struct {
	order   Order
	job     *playedJob
	spec    *batch.Step
	pace    float64
	started Time
	worked  time.Duration
	// tail and use are means over the last half second.
	tail, use float64
}

const (
	playStep    = 20 * time.Millisecond
	playReports = 600 * time.Millisecond
	playFigures = 500 * time.Millisecond
	playSwing   = 10 * time.Second
	// playTarget is the serving tasks' target in milliseconds, a round figure is
	// told of the tails.
	playTarget = 24.0
)

// newPlayer returns a player with so many VMs of 64 processors in racks of eight.
func newPlayer(t *testing.T, vms int, seed uint64) *player {
	p := &player{
		t: t, now: time.Second, random: rand.New(rand.NewPCG(seed, 7)), byID: map[string]*playedVM{},
		slopes: map[[2]string]float64{}, jobs: map[string]*playedJob{},
	}
	p.s = New(Settings{MaxLease: 10 * time.Second}, 1, nil)
	p.s.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{{Name: testQueue, Pool: "pool", Attempts: 3, Stretch: 2, Slack: time.Second}}})
	var list []batch.Instance
	for i := range vms {
		inst := instance(i)
		inst.ID, inst.Address = fmt.Sprintf("vm%03d", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
		inst.Capacity = batch.Resources{MilliCPU: 64_000, MemoryMB: 1 << 20}
		list = append(list, inst)
		v := &playedVM{inst: inst, runs: map[batch.TaskID]*playedRun{}, heardAt: p.now - time.Duration(i)*playReports/time.Duration(vms)}
		p.vms = append(p.vms, v)
		p.byID[inst.ID] = v
	}
	p.s.SetInstances(p.now, list)
	return p
}

// serve adds serving jobs of some images with loads in different phases.
func (p *player) serve(jobs, tasks int, images ...string) {
	for n := range jobs {
		step := serving(images[n%len(images)], 12_000+int64(p.random.IntN(2000)))
		step.Tasks, step.TailTarget = tasks, playTarget*time.Millisecond
		p.arrivals = append(p.arrivals, arrival{at: p.now, phase: p.random.Float64(), job: &batch.Job{ID: fmt.Sprintf("s%03d", n), Steps: []batch.Step{step}}})
	}
}

// fill adds filler jobs of one step of some images at a rate until an end.
func (p *player) fill(perSecond float64, tasks int, from, until Time, images ...string) {
	for at := from; at < until; at += p.pause(perSecond) {
		length := time.Duration((0.6 + 0.8*p.random.Float64()) * float64(2700*time.Millisecond))
		p.submit(at, length, p.filler(tasks, 2700*time.Millisecond, images))
	}
}

// fillChains adds filler jobs of one to four steps, one after the other, some of
// them ten times as large as others.
func (p *player) fillChains(perSecond float64, from, until Time, images ...string) {
	for at := from; at < until; at += p.pause(perSecond) {
		length := time.Duration(p.spread(0.5) * float64(2200*time.Millisecond))
		tasks := max(int(math.Round(8*p.spread(0.6))), 1)
		var steps []batch.Step
		for n := range min(max(int(math.Round(2*p.spread(0.4))), 1), 4) {
			step := p.filler(tasks, time.Duration(float64(length)*(0.8+0.4*p.random.Float64())), images)
			if n > 0 {
				step.After = []int{n - 1}
			}
			steps = append(steps, step)
		}
		p.submit(at, length, steps...)
	}
}

// pause is the time to the next arrival.
func (p *player) pause(perSecond float64) Time {
	return time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second))
}

// spread is a factor with mean 1 and a long tail.
func (p *player) spread(sigma float64) float64 {
	return min(math.Exp(p.random.NormFloat64()*sigma-sigma*sigma/2), 4)
}

func (p *player) filler(tasks int, estimate time.Duration, images []string) batch.Step {
	step := filling(images[p.random.IntN(len(images))], 5000+int64(p.random.IntN(4000)))
	step.Tasks, step.Estimate = tasks, estimate
	return step
}

// submit adds a filler job whose tasks take length.
func (p *player) submit(at Time, length time.Duration, steps ...batch.Step) {
	p.arrivals = append(p.arrivals, arrival{at: at, length: length, use: 1, job: &batch.Job{ID: fmt.Sprintf("f%05d", len(p.arrivals)), Steps: steps}})
}

// play runs the load until an end.
func (p *player) play(until Time) {
	for ; p.now < until; p.now += playStep {
		p.submitDue()
		for _, o := range p.s.Plan(p.now) {
			p.carryOut(o)
		}
		for _, v := range p.vms {
			p.work(v)
			if p.now-v.heardAt >= playReports || len(v.ends) > v.told {
				p.report(v)
			}
		}
	}
}

func (p *player) submitDue() {
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
		p.jobs[a.job.ID] = &playedJob{arrival: a, left: left}
		p.s.Submit(p.now, Submission{Job: a.job, Queue: testQueue, Pool: "pool"})
	}
	p.arrivals = rest
}

func (p *player) carryOut(o Order) {
	v := p.byID[o.Instance.ID]
	switch o.Kind {
	case OrderStart:
		job := p.jobs[o.Task.Job]
		v.runs[o.Task] = &playedRun{order: o, job: job, spec: &job.job.Steps[o.Task.Step], pace: 1, started: p.now}
		p.s.Started(p.now, p.now, o, p.now+time.Hour, "", false)
	case OrderStop:
		if r := v.runs[o.Task]; r != nil && r.order.Run == o.Run {
			p.end(v, r, batch.EndStopped)
		}
		p.s.Stopped(p.now, o)
	case OrderPace:
		if r := v.runs[o.Task]; r != nil && r.order.Run == o.Run {
			r.pace = float64(o.Percent) / 100
		}
		p.s.Paced(o, true)
	}
}

func (p *player) end(v *playedVM, r *playedRun, kind batch.EndKind) {
	v.seq++
	checkpoint := fmt.Sprint(int64(r.worked))
	v.ends = append(v.ends, batch.RunEnd{Seq: v.seq, Task: r.order.Task, Run: r.order.Run, Kind: kind, Checkpoint: checkpoint})
	delete(v.runs, r.order.Task)
}

// load is the share of its declared processors that a serving run uses.
func (p *player) load(r *playedRun) float64 {
	return 0.48 * (1 + 0.6*math.Sin(2*math.Pi*(p.now.Seconds()/playSwing.Seconds()+r.job.phase)))
}

// work lets a VM's runs work for one step of time.
func (p *player) work(v *playedVM) {
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
		used += p.load(r) * float64(r.spec.Need.MilliCPU) / capacity
	}
	for _, r := range v.runs {
		if r.spec.Serves() {
			p.workServing(r, effect, used)
		} else {
			p.workFiller(v, r)
		}
	}
}

func (p *player) workServing(r *playedRun, effect map[string]float64, used float64) {
	tail := 2.36*p.load(r) - 2.07
	for image, use := range effect {
		tail += p.slopes[[2]string{r.spec.Image, image}] * use
	}
	// Where hardly a processor is left, all tails grow several times over.
	tail += 8 * min(max(used-0.95, 0), 0.25)
	if tail > 0 {
		p.overFor += playStep
	}
	p.servedFor += playStep
	r.tail += (math.Exp(tail) - r.tail) * float64(playStep) / float64(playFigures) * 2
}

func (p *player) workFiller(v *playedVM, r *playedRun) {
	r.worked += time.Duration(r.pace * float64(playStep))
	r.use += (r.pace*r.job.use*float64(r.spec.Need.MilliCPU) - r.use) * float64(playStep) / float64(playFigures) * 2
	if r.worked < r.job.length {
		return
	}
	p.doneWork += r.job.length.Seconds() * r.job.use * float64(r.spec.Need.MilliCPU) / 1000
	p.end(v, r, batch.EndDone)
	if r.job.left--; r.job.left == 0 {
		r.job.ended = p.now
	}
}

// report delivers what a VM tells.
func (p *player) report(v *playedVM) {
	v.heardAt = p.now
	rep := batch.Report{Clock: p.now + time.Hour, Ended: v.ends}
	v.told = len(v.ends)
	for _, r := range v.runs {
		st := batch.RunStatus{Task: r.order.Task, Run: r.order.Run, HasUsage: true, Progress: 100}
		if r.spec.Serves() {
			st.Usage = math.Round(r.tail * playTarget * math.Exp(p.random.NormFloat64()*0.08))
		} else {
			st.Usage = r.use
			st.Progress = int(100 * float64(r.worked) / float64(r.job.length))
			st.Checkpoint = fmt.Sprint(int64(r.worked))
		}
		rep.Running = append(rep.Running, st)
	}
	_, ok := p.s.Hold(p.now, v.inst.ID, playReports)
	require.True(p.t, ok)
	p.s.HandleReport(p.now, p.now, v.inst.ID, rep)
}

// over is the share of the serving time over target.
func (p *player) over() float64 { return float64(p.overFor) / float64(max(p.servedFor, 1)) }

// done reports whether a filler job ended within a multiple of its objective.
func (j *playedJob) done(factor float64) bool {
	objective := time.Duration(float64(2*j.job.Chain()+time.Second) * factor)
	return j.ended > 0 && j.ended-j.at <= objective
}

// fillers are the filler jobs that came before an end, the smallest first.
func (p *player) fillers(until Time) []*playedJob {
	var list []*playedJob
	for _, j := range p.jobs {
		if j.job.Steps[0].Filler && j.at <= until {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *playedJob) int { return cmp.Compare(a.job.Work(), b.job.Work()) })
	return list
}

// onTime is the share of filler jobs that ended within their objective.
func onTime(jobs []*playedJob) float64 {
	good := 0
	for _, j := range jobs {
		if j.done(1) {
			good++
		}
	}
	return float64(good) / float64(max(len(jobs), 1))
}

// workOnTime is the share of the filler jobs' work that ended within the objective.
func workOnTime(jobs []*playedJob) float64 {
	all, good := 0.0, 0.0
	for _, j := range jobs {
		all += j.job.Work()
		if j.done(1) {
			good += j.job.Work()
		}
	}
	return good / all
}
