package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// minSampleInterval and maxSampleInterval bound the time between two compared reports:
	// the metrics cover half a second, and a task's own load must not change much
	// in between.
	minSampleInterval = 600 * time.Millisecond
	maxSampleInterval = 1800 * time.Millisecond
	// minUsageChange is the change of filler usage, as a share of the VM, below which a
	// change of tails says nothing about fillers.
	minUsageChange = 0.01
	// minTailRatio replaces a tail ratio that was rounded to zero.
	minTailRatio = 0.04
)

// endedFiller is a filler that ended recently, so that the reported tails still include
// its effect.
type endedFiller struct {
	image int
	use   float64
	at    Time
}

// recordEndedFiller records the usage of a filler that ends.
func (s *Scheduler) recordEndedFiller(now Time, r *run) {
	v, spec := r.vm, r.task.step.spec
	if v.servingRuns == 0 || !r.hasUsage || r.usage <= 0 {
		return
	}
	v.recentFillers = append(v.recentFillers, endedFiller{image: s.images.imageIndex(spec.Image), use: r.usage / v.capacityMilliCPU(), at: now})
}

// capacityMilliCPU returns the VM's capacity in thousandths of a processor; never 0.
func (v *vm) capacityMilliCPU() float64 { return float64(max(v.inst.Capacity.MilliCPU, 1)) }

// fillerUses returns the filler usage that is reflected in the VM's current tails.
func (s *Scheduler) fillerUses(now Time, v *vm) fillerUses {
	var x fillerUses
	for _, r := range v.runList {
		spec := r.task.step.spec
		if spec.Filler && r.hasUsage {
			x[s.images.imageIndex(spec.Image)] += r.usage / v.capacityMilliCPU()
		}
	}
	v.recentFillers = slices.DeleteFunc(v.recentFillers, func(e endedFiller) bool { return now-e.at >= tailSampleSpan })
	for _, e := range v.recentFillers {
		x[e.image] += e.use * (1 - float64(now-e.at)/float64(tailSampleSpan))
	}
	return x
}

// observeTails updates baselines and the interference model from a VM's new report.
func (s *Scheduler) observeTails(now Time, v *vm) {
	if v.servingRuns == 0 {
		v.lastSample = reportSample{}
		v.tailExcess = 0
		return
	}
	x := s.fillerUses(now, v)
	saturated := v.usageShare(now, &x) > maxReliableUsage
	if !saturated && s.policy.Learn {
		s.learnFromSamples(now, v, &x)
	}
	excess, samples := 0.0, 0
	for _, r := range v.runList {
		st := r.task.step
		if !st.spec.Serves() || !r.reportsTail() {
			continue
		}
		y := math.Log(max(r.tailRatio(), minTailRatio))
		pair := s.images.slopesOf(st.spec.Image)
		effect := pair.effects(&x)
		if st.baseline.known {
			excess += y - effect - st.baseline.forecast(now, maxSiblingAge/2)
			samples++
		}
		if dy, dx, ok := st.tailSamples.compare(now, v, y, &x, st.baseline.trend); ok && !saturated && s.policy.Learn {
			s.images.learn(st.spec.Image, &dx, dy)
		}
		st.tailSamples.add(tailSample{at: now, vm: v, logRatio: y, uses: x, unreliable: saturated})
		st.baseline.observe(now, st.tailSamples.loadLevel(pair))
	}
	if samples > 0 {
		v.tailExcess += excessGain * (excess/float64(samples) - v.tailExcess)
	}
}

// maxReliableUsage is the used share of a VM's processors above which its tails reflect
// the lack of processors rather than the interference of particular fillers.
const maxReliableUsage = 0.85

// usageShare returns the used share of the VM's processors, as far as known.
func (v *vm) usageShare(now Time, x *fillerUses) float64 {
	sum := float64(v.used.MilliCPU-v.servingCPU) + v.servingUse(now, 0)
	for _, use := range x {
		sum += use * v.capacityMilliCPU()
	}
	return sum / v.capacityMilliCPU()
}

// servingUse estimates the CPU usage of the serving tasks at a time ahead of now, in
// thousandths of a processor.
func (v *vm) servingUse(now Time, ahead time.Duration) float64 {
	sum := 0.0
	for _, r := range v.runList {
		if st := r.task.step; st.spec.Serves() {
			sum += st.baseline.use(now, ahead+meanSampleAge) * float64(st.spec.Need.MilliCPU)
		}
	}
	return sum
}

// excessGain is the weight of a new report in a VM's tail excess. At this weight, two to
// three reports determine it.
const excessGain = 0.4

// reportSample is the part of a VM's report that is compared with a later one.
type reportSample struct {
	at    Time
	use   fillerUses
	tails map[*run]float64
	// runs holds the keys of tails in the order of the VM's runs.
	runs []*run
}

// learnFromSamples learns the effect of fillers on tasks without siblings by comparing a
// VM's new report with an earlier one.
func (s *Scheduler) learnFromSamples(now Time, v *vm, x *fillerUses) {
	if now-v.lastSample.at < minSampleInterval {
		return
	}
	next := reportSample{at: now, use: *x, tails: make(map[*run]float64, v.servingRuns)}
	for _, r := range v.runList {
		st := r.task.step
		if st.spec.Serves() && r.reportsTail() && st.countSiblingsElsewhere(v) < minSiblings {
			next.tails[r] = r.usage
			next.runs = append(next.runs, r)
		}
	}
	if now-v.lastSample.at <= maxSampleInterval {
		s.learnFromChange(&v.lastSample, &next)
	}
	v.lastSample = next
}

func (s *Scheduler) learnFromChange(before, after *reportSample) {
	var dx fillerUses
	largest := 0.0
	for i := range dx {
		dx[i] = after.use[i] - before.use[i]
		largest = max(largest, math.Abs(dx[i]))
	}
	if largest < minUsageChange {
		return
	}
	for _, r := range after.runs {
		if earlier := before.tails[r]; earlier > 0 {
			s.images.learn(r.task.step.spec.Image, &dx, math.Log(after.tails[r]/earlier))
		}
	}
}
