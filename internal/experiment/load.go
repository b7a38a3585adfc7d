package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// jobKind is the kind of work of a job; each kind has a queue of its own.
type jobKind int

const (
	servingKind jobKind = iota
	shortKind
	fillerKind
	kindCount
)

var kindNames = [kindCount]string{"serving", "short", "fillers"}

// pool is the pool of all queues and VMs.
const pool = "pool"

// maxSpread bounds the factors that drawFactor returns.
const maxSpread = 4.0

// job is a job of the load with its true properties and its state.
type job struct {
	kind      jobKind
	arrivesAt time.Duration
	spec      *batch.Job
	// durations holds the true duration of each task by step; serving jobs have none.
	durations [][]time.Duration
	// usedShares holds, by step, the share of the declared processors that a task uses.
	usedShares []float64
	// loadPhase is the phase of a serving job's load, 0 to 1. cancelAt is when the job is
	// cancelled; 0 is never.
	loadPhase float64
	cancelAt  time.Duration
	totalWork float64
	value     float64
	// tasksLeft is the number of unfinished tasks; endedAt is when the last one finished.
	tasksLeft int
	endedAt   time.Duration
	failed    bool
	// accepted is set once the job was accepted; tries counts its refusals.
	accepted  bool
	tries     int
	cancelled bool
	// isCrashing is set if the first task crashes every VM on which it starts.
	isCrashing bool
	objective  time.Duration
}

// world holds what is hidden from the scheduler: the future load, and the interference between
// images.
type world struct {
	jobs []*job
	// slopes are the effects of fillers on serving tasks, by serving image and filler image.
	slopes map[[2]string]varyingSlope
}

// varyingSlope is an interference slope that varies periodically, with a period in seconds.
type varyingSlope struct{ mean, amplitude, period, phase float64 }

func (w varyingSlope) at(now time.Duration) float64 {
	return w.mean * (1 + w.amplitude*math.Sin(2*math.Pi*(now.Seconds()/w.period+w.phase)))
}

// generator generates a world at random; equal seeds give equal worlds.
type generator struct {
	*rand.Rand
	scenario *Scenario
	world    world
	jobCount int
}

func newWorld(s *Scenario, seed uint64) *world {
	g := &generator{Rand: rand.New(rand.NewPCG(seed, 11)), scenario: s}
	g.world.slopes = g.drawInterference()
	for range s.Serving.Jobs {
		g.addJob(g.servingJob(0))
	}
	lead := seconds(s.LeadS)
	g.addArrivals(s.Serving.PerS, nil, func(at time.Duration) { g.addJob(g.servingJob(at)) })
	g.addArrivals(s.Short.PerS, s.Short.Bursts, func(at time.Duration) { g.addJob(g.batchJob(shortKind, &s.Short, at)) })
	g.addArrivals(s.Fillers.PerS, s.Fillers.Bursts, func(at time.Duration) { g.addJob(g.batchJob(fillerKind, &s.Fillers, at)) })
	for _, j := range g.world.jobs {
		if j.arrivesAt > 0 {
			j.arrivesAt += lead
		}
	}
	slices.SortStableFunc(g.world.jobs, func(a, b *job) int { return cmp.Compare(a.arrivesAt, b.arrivesAt) })
	g.assignValues(shortKind, s.Short.Worth)
	g.assignValues(fillerKind, s.Fillers.Worth)
	return &g.world
}

func (g *generator) addJob(j *job) { g.world.jobs = append(g.world.jobs, j) }

// addArrivals calls add for each arrival of a Poisson process during the load, at a rate of
// perS that bursts multiply.
func (g *generator) addArrivals(perS float64, bursts []Burst, add func(at time.Duration)) {
	if perS <= 0 {
		return
	}
	maxTimes := 1.0
	for _, b := range bursts {
		maxTimes = max(maxTimes, b.Times)
	}
	for at := 0.0; ; {
		at += g.ExpFloat64() / (perS * maxTimes)
		if at >= g.scenario.LoadS {
			return
		}
		times := 1.0
		for _, b := range bursts {
			if at >= b.AtS && at < b.AtS+b.ForS {
				times *= b.Times
			}
		}
		if g.Float64() < times/maxTimes {
			add(seconds(at))
		}
	}
}

// drawFactor returns a log-normal random factor with mean 1, cut off at maxSpread.
func (g *generator) drawFactor(sigma float64) float64 {
	return min(math.Exp(g.NormFloat64()*sigma-sigma*sigma/2), maxSpread)
}

func (g *generator) drawCount(mean, sigma float64) int {
	return max(int(math.Round(mean*g.drawFactor(sigma))), 1)
}

// happens draws an event of the given probability. Of one that never happens, nothing is drawn:
// scenarios without it keep their worlds.
func (g *generator) happens(probability float64) bool {
	return probability > 0 && g.Float64() < probability
}

func imageName(prefix string, n int) string { return fmt.Sprintf("%s-%02d", prefix, n) }

func (g *generator) nextID() string {
	g.jobCount++
	return fmt.Sprintf("j%06d", g.jobCount)
}

// Standard deviations of the logarithms of random sizes. taskSpread is that between the tasks
// of one step.
const (
	widthSpread  = 0.7
	coresSpread  = 0.35
	stepsSpread  = 0.4
	lengthSpread = 0.5
	staySpread   = 0.5
	taskSpread   = 0.3
	// servingMemoryPerCoreMB is the memory of a serving task per declared processor, in MB.
	servingMemoryPerCoreMB = 2000
)

func (g *generator) servingJob(at time.Duration) *job {
	s := &g.scenario.Serving
	step := batch.Step{
		Tasks: g.drawCount(s.Tasks, widthSpread/2), Lasting: true, Image: imageName("serve", g.IntN(s.Images)),
		Need:       batch.Resources{MilliCPU: int64(1000 * s.Cores * g.drawFactor(coresSpread)), MemoryMB: int64(servingMemoryPerCoreMB * s.Cores)},
		Estimate:   time.Duration(s.StartMS) * time.Millisecond,
		TailTarget: tailTargetMS * time.Millisecond, MaxUnavailable: 1,
	}
	if g.Float64() < 0.5 {
		step.MaxPerVM = 1
	}
	j := &job{kind: servingKind, arrivesAt: at, loadPhase: g.Float64(), value: s.Worth, usedShares: []float64{1}, spec: &batch.Job{ID: g.nextID(), Steps: []batch.Step{step}}, tasksLeft: step.Tasks}
	if at > 0 {
		j.cancelAt = at + seconds(g.scenario.LeadS+s.StayS*g.drawFactor(staySpread))
	}
	return j
}

func (g *generator) batchJob(k jobKind, b *Batch, at time.Duration) *job {
	j := &job{kind: k, arrivesAt: at, spec: &batch.Job{ID: g.nextID()}}
	meanDuration := b.Seconds * g.drawFactor(lengthSpread)
	if g.happens(b.LongJobs) {
		meanDuration *= b.LongTimes
	}
	tasks := g.drawCount(b.Tasks, widthSpread)
	estimateError := math.Exp(g.NormFloat64() * b.EstimateError)
	criticalPath := 0.0
	for n := range g.drawCount(b.Steps, stepsSpread) {
		step := batch.Step{
			Tasks: tasks, Filler: k == fillerKind, Image: imageName("fill", g.IntN(b.Images)), Checkpoints: g.Float64() < b.Checkpoints,
			Need:        batch.Resources{MilliCPU: max(int64(1000*b.Cores*g.drawFactor(coresSpread)), 1), MemoryMB: int64(1000 * b.MemoryGB * g.drawFactor(taskSpread))},
			Estimate:    seconds(meanDuration * estimateError),
			Speculative: g.happens(b.Copies),
		}
		if n > 0 {
			step.After = []int{n - 1}
		}
		taskDurations := make([]time.Duration, tasks)
		for i := range taskDurations {
			taskDurations[i] = seconds(meanDuration * g.drawFactor(taskSpread))
			if g.happens(b.LongTasks) {
				taskDurations[i] = seconds(taskDurations[i].Seconds() * b.LongTimes)
			}
			j.totalWork += taskDurations[i].Seconds() * float64(step.Need.MilliCPU) / 1000
		}
		criticalPath += slices.Max(taskDurations).Seconds()
		j.tasksLeft += tasks
		j.durations = append(j.durations, taskDurations)
		j.usedShares = append(j.usedShares, min(b.Used*(0.75+0.5*g.Float64()), 1))
		j.spec.Steps = append(j.spec.Steps, step)
	}
	g.preferRack(j, &b.Racks)
	j.objective = seconds(b.Terms.Stretch*criticalPath + b.Terms.SlackS)
	return j
}

// fixedValueShare is the part of the mean value that each job has whatever its work;
// maxValueFactor bounds a job's value in multiples of the mean.
const (
	fixedValueShare = 0.3
	maxValueFactor  = 4.0
)

// assignValues sets the values of the jobs of a kind by their work; a job of mean work has
// meanValue.
func (g *generator) assignValues(k jobKind, meanValue float64) {
	sum, n := 0.0, 0
	for _, j := range g.world.jobs {
		if j.kind == k {
			sum += j.totalWork
			n++
		}
	}
	for _, j := range g.world.jobs {
		if j.kind == k {
			j.value = meanValue * min(fixedValueShare+(1-fixedValueShare)*j.totalWork/(sum/float64(n)), maxValueFactor)
		}
	}
}

func (g *generator) drawInterference() map[[2]string]varyingSlope {
	i := &g.scenario.Interference
	slopes := map[[2]string]varyingSlope{}
	pressedResources := make([]int, g.scenario.Fillers.Images)
	for f := range pressedResources {
		pressedResources[f] = -1
		if g.Float64() < i.Pressing {
			pressedResources[f] = g.IntN(i.Resources)
		}
	}
	for n := range g.scenario.Serving.Images {
		sensitiveTo := g.IntN(i.Resources)
		for f, resource := range pressedResources {
			// Drawing for every pair, whether it interferes or not, keeps worlds of the same seed
			// alike across scenarios.
			slope := varyingSlope{mean: i.Slope * g.drawFactor(0.3), amplitude: i.Wobble, period: 4 + 10*g.Float64(), phase: g.Float64()}
			if resource == sensitiveTo {
				slopes[[2]string{imageName("serve", n), imageName("fill", f)}] = slope
			}
		}
	}
	return slopes
}
