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

// kind is what a job is.
type kind int

const (
	servingKind kind = iota
	shortKind
	fillerKind
	kinds
)

var kindNames = [kinds]string{"serving", "short", "fillers"}

// pool is that of all queues.
const pool = "pool"

// mostSpread bounds a factor of size.
const mostSpread = 4.0

// job is a job of the load, with what is true of it.
type job struct {
	kind kind
	at   time.Duration
	spec *batch.Job
	// lengths are the true durations of each step's tasks.
	lengths [][]time.Duration
	// uses is the share of its declared processors that each step's tasks use.
	uses []float64
	// phase is that of a serving job's load, 0 to 1; leaves is when it is cancelled.
	phase  float64
	leaves time.Duration
	work   float64
	worth  float64
	// left counts the tasks that are not done; ended is when the last was.
	left      int
	ended     time.Duration
	failed    bool
	cancelled bool
	// crashes is set where the first task ends each VM that begins it.
	crashes   bool
	objective time.Duration
}

// world is what the scheduler is not told: the load to come, and who presses on whom.
type world struct {
	jobs []*job
	// slopes are the effects of filler images on serving images.
	slopes map[[2]string]wobbling
}

// wobbling is a slope that changes within seconds.
type wobbling struct{ mean, wobble, period, phase float64 }

func (w wobbling) at(now time.Duration) float64 {
	return w.mean * (1 + w.wobble*math.Sin(2*math.Pi*(now.Seconds()/w.period+w.phase)))
}

// generator draws a world; equal seeds give equal worlds.
type generator struct {
	*rand.Rand
	s *Scenario
	w world
	n int
}

func newWorld(s *Scenario, seed uint64) *world {
	g := &generator{Rand: rand.New(rand.NewPCG(seed, 11)), s: s}
	g.w.slopes = g.interference()
	for range s.Serving.Jobs {
		g.add(g.serving(0))
	}
	lead := seconds(s.LeadS)
	g.arrive(s.Serving.PerS, nil, func(at time.Duration) { g.add(g.serving(at)) })
	g.arrive(s.Short.PerS, s.Short.Bursts, func(at time.Duration) { g.add(g.batch(shortKind, &s.Short, at)) })
	g.arrive(s.Fillers.PerS, s.Fillers.Bursts, func(at time.Duration) { g.add(g.batch(fillerKind, &s.Fillers, at)) })
	for _, j := range g.w.jobs {
		if j.at > 0 {
			j.at += lead
		}
	}
	slices.SortStableFunc(g.w.jobs, func(a, b *job) int { return cmp.Compare(a.at, b.at) })
	g.setWorth(shortKind, s.Short.Worth)
	g.setWorth(fillerKind, s.Fillers.Worth)
	return &g.w
}

func (g *generator) add(j *job) { g.w.jobs = append(g.w.jobs, j) }

// arrive calls add for each arrival during the load.
func (g *generator) arrive(perS float64, bursts []Burst, add func(at time.Duration)) {
	if perS <= 0 {
		return
	}
	highest := 1.0
	for _, b := range bursts {
		highest = max(highest, b.Times)
	}
	for at := 0.0; ; {
		at += g.ExpFloat64() / (perS * highest)
		if at >= g.s.LoadS {
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

// spread is a factor with mean 1 and a long tail.
func (g *generator) spread(sigma float64) float64 {
	return min(math.Exp(g.NormFloat64()*sigma-sigma*sigma/2), mostSpread)
}

func (g *generator) count(mean, sigma float64) int {
	return max(int(math.Round(mean*g.spread(sigma))), 1)
}

func image(prefix string, n int) string { return fmt.Sprintf("%s-%02d", prefix, n) }

func (g *generator) id() string {
	g.n++
	return fmt.Sprintf("j%06d", g.n)
}

// Spreads of sizes, as standard deviations of logarithms, and how far tasks of one
// step are from each other.
const (
	widthSpread  = 0.7
	coresSpread  = 0.35
	stepsSpread  = 0.4
	lengthSpread = 0.5
	staySpread   = 0.5
	uneven       = 0.3
	// servingMemory is a serving task's memory for each processor it declares, in MB.
	servingMemory = 2000
)

func (g *generator) serving(at time.Duration) *job {
	s := &g.s.Serving
	step := batch.Step{
		Tasks: g.count(s.Tasks, widthSpread/2), Lasting: true, Image: image("serve", g.IntN(s.Images)),
		Need:       batch.Resources{MilliCPU: int64(1000 * s.Cores * g.spread(coresSpread)), MemoryMB: int64(servingMemory * s.Cores)},
		Estimate:   time.Duration(s.StartMS) * time.Millisecond,
		TailTarget: targetMS * time.Millisecond, MaxUnavailable: 1,
	}
	if g.Float64() < 0.5 {
		step.MaxPerVM = 1
	}
	j := &job{kind: servingKind, at: at, phase: g.Float64(), worth: s.Worth, uses: []float64{1}, spec: &batch.Job{ID: g.id(), Steps: []batch.Step{step}}, left: step.Tasks}
	if at > 0 {
		j.leaves = at + seconds(g.s.LeadS+s.StayS*g.spread(staySpread))
	}
	return j
}

func (g *generator) batch(k kind, b *Batch, at time.Duration) *job {
	j := &job{kind: k, at: at, spec: &batch.Job{ID: g.id()}}
	length := b.Seconds * g.spread(lengthSpread)
	tasks := g.count(b.Tasks, widthSpread)
	off := math.Exp(g.NormFloat64() * b.EstimateError)
	chain := 0.0
	for n := range g.count(b.Steps, stepsSpread) {
		step := batch.Step{
			Tasks: tasks, Filler: k == fillerKind, Image: image("fill", g.IntN(b.Images)), Checkpoints: g.Float64() < b.Checkpoints,
			Need:     batch.Resources{MilliCPU: max(int64(1000*b.Cores*g.spread(coresSpread)), 1), MemoryMB: int64(1000 * b.MemoryGB * g.spread(uneven))},
			Estimate: seconds(length * off),
		}
		if n > 0 {
			step.After = []int{n - 1}
		}
		lengths := make([]time.Duration, tasks)
		for i := range lengths {
			lengths[i] = seconds(length * g.spread(uneven))
			j.work += lengths[i].Seconds() * float64(step.Need.MilliCPU) / 1000
		}
		chain += slices.Max(lengths).Seconds()
		j.left += tasks
		j.lengths = append(j.lengths, lengths)
		j.uses = append(j.uses, min(b.Used*(0.75+0.5*g.Float64()), 1))
		j.spec.Steps = append(j.spec.Steps, step)
	}
	j.objective = seconds(b.Terms.Stretch*chain + b.Terms.SlackS)
	return j
}

// fixedWorth is the part of a mean job's worth that each has; mostWorth bounds it.
const (
	fixedWorth = 0.3
	mostWorth  = 4.0
)

// setWorth gives the jobs of a kind their worth by their work.
func (g *generator) setWorth(k kind, worth float64) {
	sum, n := 0.0, 0
	for _, j := range g.w.jobs {
		if j.kind == k {
			sum += j.work
			n++
		}
	}
	for _, j := range g.w.jobs {
		if j.kind == k {
			j.worth = worth * min(fixedWorth+(1-fixedWorth)*j.work/(sum/float64(n)), mostWorth)
		}
	}
}

func (g *generator) interference() map[[2]string]wobbling {
	i := &g.s.Interference
	slopes := map[[2]string]wobbling{}
	presses := make([]int, g.s.Fillers.Images)
	for f := range presses {
		presses[f] = -1
		if g.Float64() < i.Pressing {
			presses[f] = g.IntN(i.Resources)
		}
	}
	for n := range g.s.Serving.Images {
		minds := g.IntN(i.Resources)
		for f, resource := range presses {
			// Two draws for each pair, whether it presses or not, keep worlds alike.
			w := wobbling{mean: i.Slope * g.spread(0.3), wobble: i.Wobble, period: 4 + 10*g.Float64(), phase: g.Float64()}
			if resource == minds {
				slopes[[2]string{image("serve", n), image("fill", f)}] = w
			}
		}
	}
	return slopes
}
