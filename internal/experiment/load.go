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

// jobKind is what a job is.
type jobKind int

const (
	servingKind jobKind = iota
	shortKind
	fillerKind
	kindCount
)

var kindNames = [kindCount]string{"serving", "short", "fillers"}

// pool is that of all queues.
const pool = "pool"

// maxSpread bounds a factor of size.
const maxSpread = 4.0

// job is a job of the load, with what is true of it.
type job struct {
	kind      jobKind
	arrivesAt time.Duration
	spec      *batch.Job
	// durations are the true durations of each step's tasks.
	durations [][]time.Duration
	// usedShares is the share of its declared processors that each step's tasks use.
	usedShares []float64
	// loadPhase is that of a serving job's load, 0 to 1; leaves is when it is cancelled.
	loadPhase float64
	cancelAt  time.Duration
	totalWork float64
	value     float64
	// tasksLeft counts the tasks that are not done; ended is when the last was.
	tasksLeft int
	endedAt   time.Duration
	failed    bool
	cancelled bool
	// isCrashing is set where the first task ends each VM that begins it.
	isCrashing bool
	objective  time.Duration
}

// world is what the scheduler is not told: the load to come, and who presses on whom.
type world struct {
	jobs []*job
	// slopes are the effects of filler images on serving images.
	slopes map[[2]string]varyingSlope
}

// varyingSlope is a slope that changes within seconds.
type varyingSlope struct{ mean, amplitude, period, phase float64 }

func (w varyingSlope) at(now time.Duration) float64 {
	return w.mean * (1 + w.amplitude*math.Sin(2*math.Pi*(now.Seconds()/w.period+w.phase)))
}

// generator draws a world; equal seeds give equal worlds.
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

// addArrivals calls add for each arrival during the load.
func (g *generator) addArrivals(perS float64, bursts []Burst, add func(at time.Duration)) {
	if perS <= 0 {
		return
	}
	highest := 1.0
	for _, b := range bursts {
		highest = max(highest, b.Times)
	}
	for at := 0.0; ; {
		at += g.ExpFloat64() / (perS * highest)
		if at >= g.scenario.LoadS {
			return
		}
		times := 1.0
		for _, b := range bursts {
			if at >= b.AtS && at < b.AtS+b.ForS {
				times *= b.Times
			}
		}
		if g.Float64() < times/highest {
			add(seconds(at))
		}
	}
}

// drawFactor is a factor with mean 1 and a long tail.
func (g *generator) drawFactor(sigma float64) float64 {
	return min(math.Exp(g.NormFloat64()*sigma-sigma*sigma/2), maxSpread)
}

func (g *generator) drawCount(mean, sigma float64) int {
	return max(int(math.Round(mean*g.drawFactor(sigma))), 1)
}

func imageName(prefix string, n int) string { return fmt.Sprintf("%s-%02d", prefix, n) }

func (g *generator) nextID() string {
	g.jobCount++
	return fmt.Sprintf("j%06d", g.jobCount)
}

// Spreads of sizes, as standard deviations of logarithms, and how far tasks of one
// step are from each other.
const (
	widthSpread  = 0.7
	coresSpread  = 0.35
	stepsSpread  = 0.4
	lengthSpread = 0.5
	staySpread   = 0.5
	taskSpread   = 0.3
	// servingMemoryPerCoreMB is a serving task's memory for each processor it declares, in MB.
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
	length := b.Seconds * g.drawFactor(lengthSpread)
	tasks := g.drawCount(b.Tasks, widthSpread)
	off := math.Exp(g.NormFloat64() * b.EstimateError)
	chain := 0.0
	for n := range g.drawCount(b.Steps, stepsSpread) {
		step := batch.Step{
			Tasks: tasks, Filler: k == fillerKind, Image: imageName("fill", g.IntN(b.Images)), Checkpoints: g.Float64() < b.Checkpoints,
			Need:     batch.Resources{MilliCPU: max(int64(1000*b.Cores*g.drawFactor(coresSpread)), 1), MemoryMB: int64(1000 * b.MemoryGB * g.drawFactor(taskSpread))},
			Estimate: seconds(length * off),
		}
		if n > 0 {
			step.After = []int{n - 1}
		}
		lengths := make([]time.Duration, tasks)
		for i := range lengths {
			lengths[i] = seconds(length * g.drawFactor(taskSpread))
			j.totalWork += lengths[i].Seconds() * float64(step.Need.MilliCPU) / 1000
		}
		chain += slices.Max(lengths).Seconds()
		j.tasksLeft += tasks
		j.durations = append(j.durations, lengths)
		j.usedShares = append(j.usedShares, min(b.Used*(0.75+0.5*g.Float64()), 1))
		j.spec.Steps = append(j.spec.Steps, step)
	}
	j.objective = seconds(b.Terms.Stretch*chain + b.Terms.SlackS)
	return j
}

// fixedValueShare is the part of a mean job's worth that each has; maxValueFactor bounds it.
const (
	fixedValueShare = 0.3
	maxValueFactor  = 4.0
)

// assignValues gives the jobs of a kind their worth by their work.
func (g *generator) assignValues(k jobKind, worth float64) {
	sum, n := 0.0, 0
	for _, j := range g.world.jobs {
		if j.kind == k {
			sum += j.totalWork
			n++
		}
	}
	for _, j := range g.world.jobs {
		if j.kind == k {
			j.value = worth * min(fixedValueShare+(1-fixedValueShare)*j.totalWork/(sum/float64(n)), maxValueFactor)
		}
	}
}

func (g *generator) drawInterference() map[[2]string]varyingSlope {
	i := &g.scenario.Interference
	slopes := map[[2]string]varyingSlope{}
	presses := make([]int, g.scenario.Fillers.Images)
	for f := range presses {
		presses[f] = -1
		if g.Float64() < i.Pressing {
			presses[f] = g.IntN(i.Resources)
		}
	}
	for n := range g.scenario.Serving.Images {
		minds := g.IntN(i.Resources)
		for f, resource := range presses {
			// Two draws for each pair, whether it presses or not, keep worlds alike.
			w := varyingSlope{mean: i.Slope * g.drawFactor(0.3), amplitude: i.Wobble, period: 4 + 10*g.Float64(), phase: g.Float64()}
			if resource == minds {
				slopes[[2]string{imageName("serve", n), imageName("fill", f)}] = w
			}
		}
	}
	return slopes
}
