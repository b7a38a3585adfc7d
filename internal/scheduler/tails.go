package scheduler

import (
	"math"
	"time"
)

// tail is what is predicted for the tasks of one serving image on a VM, as
// logarithms of shares of their targets, with all fillers at full pace.
type tail struct {
	image  string
	slopes *slopes
	// peak is for the peak of the load, soon for the next second.
	peak, nearTerm float64
}

const (
	// tailsMaxAge is how long predicted tails are used.
	tailsMaxAge = 100 * time.Millisecond
	// paceLookahead is how far ahead a rising load is looked at: an order takes 0.1 s
	// to work, and the next report comes within 0.6 s.
	paceLookahead = 700 * time.Millisecond
	// excessNoise is the excess that the figures' noise alone gives.
	excessNoise = 0.1
	// maxExcess bounds what an unexplained excess may hold back.
	maxExcess = 0.5
)

// unexplainedExcess is the excess of the VM's tails that the model does not explain, as far as
// it is not noise.
func (v *vm) unexplainedExcess() float64 { return min(max(v.tailExcess-excessNoise, 0), maxExcess) }

// nearTermLevel is the level of the step's load that fillers have to leave room for now:
// that of the next second where it rises.
func (b *baseline) nearTermLevel(now Time) float64 {
	return max(b.forecast(now, meanSampleAge), b.forecast(now, meanSampleAge+paceLookahead))
}

// headroomLookahead is how far ahead a filler that starts has to have room.
const headroomLookahead = 1500 * time.Millisecond

// fillerBudget is what fillers may use of the VM now and after some time, in
// thousandths of a processor, where limit is the share of all that may be in use.
func (v *vm) fillerBudget(now Time, ahead time.Duration, limit float64) float64 {
	rest := limit*v.capacityMilliCPU() - float64(v.used.MilliCPU-v.servingCPU)
	return rest - max(v.servingUse(now, 0), v.servingUse(now, ahead))
}

// predictedTails returns the VM's predicted tails.
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

// startedProgress reports whether a serving run is past its startup and tells a tail.
func (r *run) reportsTail() bool {
	return r.state == running && r.hasUsage && r.usage > 0 && r.progress >= 100
}

// tailRatio is a serving run's tail as a share of its target.
func (r *run) tailRatio() float64 {
	if !r.hasUsage || r.usage <= 0 {
		return assumedPeak
	}
	return r.usage / (float64(r.task.step.spec.TailTarget) / float64(time.Millisecond))
}

// pressure is what a filler would do to the tails on a VM; the tails are
// logarithms of shares of their targets.
type pressure struct {
	// effect is the largest growth of a tail by the filler alone.
	effect float64
	// worst is the highest tail soon; peak the highest at the peak of the load, and
	// soon the highest soon, of those that the filler has an effect on.
	worst, peak, nearTerm float64
}

// pressure predicts the tails on a VM with one more filler of an image that uses
// so many thousandths of a processor.
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
