package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleMin and sampleMax bound the time between two reports that are
	// compared: the figures cover half a second, and a task's own load must not
	// have moved much.
	sampleMin = 600 * time.Millisecond
	sampleMax = 1800 * time.Millisecond
	// leastChange is the use, as a share of the VM, below which a figure tells
	// nothing of fillers.
	leastChange = 0.01
	// leastRatio is taken for a tail that rounds to nothing.
	leastRatio = 0.04
)

// endedFiller is a filler that has just ended on a VM: the figures still show it.
type endedFiller struct {
	image int
	use   float64
	at    Time
}

// noteEndedFiller remembers what a filler used.
func (s *Scheduler) noteEndedFiller(now Time, r *run) {
	v, spec := r.vm, r.task.step.spec
	if v.serving == 0 || !r.hasUsage || r.usage <= 0 {
		return
	}
	v.ended = append(v.ended, endedFiller{image: s.images.number(spec.Image), use: r.usage / v.processors(), at: now})
}

// processors are the VM's processors, in thousandths; never 0.
func (v *vm) processors() float64 { return float64(max(v.inst.Capacity.MilliCPU, 1)) }

// figureUses are the fillers' uses that the VM's figures of now show.
func (s *Scheduler) figureUses(now Time, v *vm) uses {
	var x uses
	for _, r := range v.ordered {
		spec := r.task.step.spec
		if spec.Filler && r.hasUsage {
			x[s.images.number(spec.Image)] += r.usage / v.processors()
		}
	}
	v.ended = slices.DeleteFunc(v.ended, func(e endedFiller) bool { return now-e.at >= figureSpan })
	for _, e := range v.ended {
		x[e.image] += e.use * (1 - float64(now-e.at)/float64(figureSpan))
	}
	return x
}

// observeTails takes in what a VM's new report tells of loads and effects.
func (s *Scheduler) observeTails(now Time, v *vm) {
	if v.serving == 0 {
		v.sample = sample{}
		v.excess = 0
		return
	}
	x := s.figureUses(now, v)
	full := v.total(now, &x) > nearlyFull
	if !full && s.policy.Learn {
		s.compareSamples(now, v, &x)
	}
	excess, figures := 0.0, 0
	for _, r := range v.ordered {
		st := r.task.step
		if !st.spec.Serves() || !r.atWork() {
			continue
		}
		y := math.Log(max(r.ratio(), leastRatio))
		pair := s.images.pair(st.spec.Image)
		effect := pair.effects(&x)
		if st.base.known {
			excess += y - effect - st.base.forecast(now, siblingSpan/2)
			figures++
		}
		if dy, dx, ok := st.figures.compare(now, v, y, &x, st.base.trend); ok && !full && s.policy.Learn {
			s.images.learn(st.spec.Image, &dx, dy)
		}
		st.figures.add(figure{at: now, vm: v, y: y, x: x, doubtful: full})
		st.base.observe(now, st.figures.load(pair))
	}
	if figures > 0 {
		v.excess += excessGain * (excess/float64(figures) - v.excess)
	}
}

// nearlyFull is the share of a VM's processors in use from which its tails tell of
// the lack of processors rather than of who presses.
const nearlyFull = 0.85

// total is the share of the VM's processors in use, as far as it is known.
func (v *vm) total(now Time, x *uses) float64 {
	sum := float64(v.used.MilliCPU-v.servingCPU) + v.servingUse(now, 0)
	for _, use := range x {
		sum += use * v.processors()
	}
	return sum / v.processors()
}

// servingUse is what the serving tasks are taken to use after some time from now,
// in thousandths of a processor.
func (v *vm) servingUse(now Time, ahead time.Duration) float64 {
	sum := 0.0
	for _, r := range v.ordered {
		if st := r.task.step; st.spec.Serves() {
			sum += st.base.use(now, ahead+baselineAge) * float64(st.spec.Need.MilliCPU)
		}
	}
	return sum
}

// excessGain is the weight of a new report in a VM's excess: two to three reports
// decide it.
const excessGain = 0.4

// sample is a VM's report as it is compared with the next.
type sample struct {
	at    Time
	use   uses
	tails map[*run]float64
	// runs holds the keys of tails in the order of the VM's runs.
	runs []*run
}

// compareSamples learns of tasks without siblings by comparing a VM's new report
// with an earlier one.
func (s *Scheduler) compareSamples(now Time, v *vm, x *uses) {
	if now-v.sample.at < sampleMin {
		return
	}
	next := sample{at: now, use: *x, tails: make(map[*run]float64, v.serving)}
	for _, r := range v.ordered {
		st := r.task.step
		if st.spec.Serves() && r.atWork() && st.siblingsElsewhere(v) < leastSiblings {
			next.tails[r] = r.usage
			next.runs = append(next.runs, r)
		}
	}
	if now-v.sample.at <= sampleMax {
		s.compare(&v.sample, &next)
	}
	v.sample = next
}

func (s *Scheduler) compare(before, after *sample) {
	var dx uses
	largest := 0.0
	for i := range dx {
		dx[i] = after.use[i] - before.use[i]
		largest = max(largest, math.Abs(dx[i]))
	}
	if largest < leastChange {
		return
	}
	for _, r := range after.runs {
		if earlier := before.tails[r]; earlier > 0 {
			s.images.learn(r.task.step.spec.Image, &dx, math.Log(after.tails[r]/earlier))
		}
	}
}
