package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// minSampleInterval and maxSampleInterval bound the time between two reports that are
	// compared: the figures cover half a second, and a task's own load must not
	// have moved much.
	minSampleInterval = 600 * time.Millisecond
	maxSampleInterval = 1800 * time.Millisecond
	// minUsageChange is the use, as a share of the VM, below which a figure tells
	// nothing of fillers.
	minUsageChange = 0.01
	// minTailRatio is taken for a tail that rounds to nothing.
	minTailRatio = 0.04
)

// endedFiller is a filler that has just ended on a VM: the figures still show it.
type endedFiller struct {
	image int
	use   float64
	at    Time
}

// recordEndedFiller remembers what a filler used.
func (s *Scheduler) recordEndedFiller(now Time, r *run) {
	v, spec := r.vm, r.task.step.spec
	if v.servingRuns == 0 || !r.hasUsage || r.usage <= 0 {
		return
	}
	v.recentFillers = append(v.recentFillers, endedFiller{image: s.images.imageIndex(spec.Image), use: r.usage / v.capacityMilliCPU(), at: now})
}

// capacityMilliCPU are the VM's processors, in thousandths; never 0.
func (v *vm) capacityMilliCPU() float64 { return float64(max(v.inst.Capacity.MilliCPU, 1)) }

// fillerUses are the fillers' uses that the VM's figures of now show.
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

// observeTails takes in what a VM's new report tells of loads and effects.
func (s *Scheduler) observeTails(now Time, v *vm) {
	if v.servingRuns == 0 {
		v.lastSample = reportSample{}
		v.tailExcess = 0
		return
	}
	x := s.fillerUses(now, v)
	full := v.usageShare(now, &x) > maxReliableUsage
	if !full && s.policy.Learn {
		s.learnFromSamples(now, v, &x)
	}
	excess, figures := 0.0, 0
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
			figures++
		}
		if dy, dx, ok := st.tailSamples.compare(now, v, y, &x, st.baseline.trend); ok && !full && s.policy.Learn {
			s.images.learn(st.spec.Image, &dx, dy)
		}
		st.tailSamples.add(tailSample{at: now, vm: v, logRatio: y, uses: x, unreliable: full})
		st.baseline.observe(now, st.tailSamples.loadLevel(pair))
	}
	if figures > 0 {
		v.tailExcess += excessGain * (excess/float64(figures) - v.tailExcess)
	}
}

// maxReliableUsage is the share of a VM's processors in use from which its tails tell of
// the lack of processors rather than of who presses.
const maxReliableUsage = 0.85

// usageShare is the share of the VM's processors in use, as far as it is known.
func (v *vm) usageShare(now Time, x *fillerUses) float64 {
	sum := float64(v.used.MilliCPU-v.servingCPU) + v.servingUse(now, 0)
	for _, use := range x {
		sum += use * v.capacityMilliCPU()
	}
	return sum / v.capacityMilliCPU()
}

// servingUse is what the serving tasks are taken to use after some time from now,
// in thousandths of a processor.
func (v *vm) servingUse(now Time, ahead time.Duration) float64 {
	sum := 0.0
	for _, r := range v.runList {
		if st := r.task.step; st.spec.Serves() {
			sum += st.baseline.use(now, ahead+meanSampleAge) * float64(st.spec.Need.MilliCPU)
		}
	}
	return sum
}

// excessGain is the weight of a new report in a VM's excess: two to three reports
// decide it.
const excessGain = 0.4

// reportSample is a VM's report as it is compared with the next.
type reportSample struct {
	at    Time
	use   fillerUses
	tails map[*run]float64
	// runs holds the keys of tails in the order of the VM's runs.
	runs []*run
}

// learnFromSamples learns of tasks without siblings by comparing a VM's new report
// with an earlier one.
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
