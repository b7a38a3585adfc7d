package scheduler

import (
	"math"
	"time"
)

// tail is the prediction for the tasks of one serving image on a VM, with all fillers at full
// pace. Values are logarithms of the tail latency as a share of its target.
type tail struct {
	image  string
	slopes *slopes
	// peak is the tail at peak load, nearTerm that of the next second.
	peak, nearTerm float64
}

const (
	// tailsMaxAge is how long predicted tails are reused.
	tailsMaxAge = 100 * time.Millisecond
	// paceLookahead is how far ahead a rising load is predicted for pacing: an order takes 0.1 s
	// to take effect, and the next report arrives within 0.6 s.
	paceLookahead = 700 * time.Millisecond
	// excessNoise is the excess explained by the noise of the samples.
	excessNoise = 0.1
	// maxExcess bounds the unexplained excess that is added to predictions.
	maxExcess = 0.5
)

// unexplainedExcess is the excess of the VM's tails beyond the model's prediction and the noise.
func (v *vm) unexplainedExcess() float64 { return min(max(v.tailExcess-excessNoise, 0), maxExcess) }

// nearTermLevel is the level that fillers have to allow for now: that of the next second if the
// load rises.
func (b *baseline) nearTermLevel(now Time) float64 {
	return max(b.forecast(now, meanSampleAge), b.forecast(now, meanSampleAge+paceLookahead))
}

// headroomLookahead is how far ahead the processors for a starting filler have to be available.
const headroomLookahead = 1500 * time.Millisecond

// fillerBudget is the processor time available to fillers, in thousandths of a processor: the
// lower of its values now and after the time ahead. The limit is the share of all processors that
// may be in use.
func (v *vm) fillerBudget(now Time, ahead time.Duration, limit float64) float64 {
	available := limit*v.capacityMilliCPU() - float64(v.used.MilliCPU-v.servingCPU)
	return available - max(v.servingUse(now, 0), v.servingUse(now, ahead))
}

// predictedTails returns the predicted tails of the VM's serving images.
func (s *Scheduler) predictedTails(now Time, v *vm) []tail {
	if v.servingRuns == 0 {
		return nil
	}
	if !v.tailsStale && now-v.tailsAt < tailsMaxAge {
		return v.tails
	}
	v.tails = v.tails[:0]
	v.fillerCapacity = v.fillerBudget(now, headroomLookahead, s.policy.RoomLimit)
	v.fillerFullUse = 0
	for _, r := range v.runList {
		st := r.task.step
		if st.spec.Serves() {
			v.addTail(s.images.slopesOf(st.spec.Image), st.spec.Image, st.baseline.peak(now), st.baseline.nearTermLevel(now)+v.unexplainedExcess())
		}
	}
	for _, r := range v.runList {
		spec := r.task.step.spec
		if !spec.Filler {
			continue
		}
		v.fillerFullUse += r.fullUse()
		number, use := s.images.imageIndex(spec.Image), r.fullUse()/v.capacityMilliCPU()
		for i := range v.tails {
			e := v.tails[i].slopes.effect(number, use)
			v.tails[i].peak += e
			v.tails[i].nearTerm += e
		}
	}
	v.tailsAt, v.tailsStale = now, false
	return v.tails
}

func (v *vm) addTail(pair *slopes, image string, peak, soon float64) {
	for i := range v.tails {
		if t := &v.tails[i]; t.image == image {
			t.peak, t.nearTerm = max(t.peak, peak), max(t.nearTerm, soon)
			return
		}
	}
	v.tails = append(v.tails, tail{image: image, slopes: pair, peak: peak, nearTerm: soon})
}

// reportsTail reports whether a serving run has completed its startup and reports a tail.
func (r *run) reportsTail() bool {
	return r.state == running && r.hasUsage && r.usage > 0 && r.progress >= 100
}

// tailRatio is a serving run's tail as a share of its target, or assumedPeak if it is unknown.
func (r *run) tailRatio() float64 {
	if !r.hasUsage || r.usage <= 0 {
		return assumedPeak
	}
	return r.usage / (float64(r.task.step.spec.TailTarget) / float64(time.Millisecond))
}

// pressure is the predicted interference of a filler with the tails on a VM, as logarithms of
// shares of their targets.
type pressure struct {
	// effect is the largest increase of a tail by the filler alone.
	effect float64
	// worst is the highest near-term tail on the VM. peak and nearTerm are the highest tails at
	// peak load and in the near term among those that the filler affects.
	worst, peak, nearTerm float64
}

// pressure predicts the tails on a VM with one more filler of the image that uses milliCPU.
func (s *Scheduler) pressure(now Time, v *vm, image string, milliCPU int64) pressure {
	p := pressure{worst: math.Inf(-1), peak: math.Inf(-1), nearTerm: math.Inf(-1)}
	number := s.images.imageIndex(image)
	share := float64(milliCPU) / v.capacityMilliCPU()
	for i := range s.predictedTails(now, v) {
		t := &v.tails[i]
		e := t.slopes.effect(number, share)
		p.effect = max(p.effect, e)
		p.worst = max(p.worst, t.nearTerm+e)
		if e > negligibleEffect {
			p.peak = max(p.peak, t.peak+e)
			p.nearTerm = max(p.nearTerm, t.nearTerm+e)
		}
	}
	return p
}
