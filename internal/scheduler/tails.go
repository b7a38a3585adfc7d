package scheduler

import (
	"math"
	"time"
)

// tail is what is predicted for the tasks of one serving image on a VM, as
// logarithms of shares of their targets, with all fillers at full pace.
type tail struct {
	image string
	pair  *slopes
	// peak is for the peak of the load, soon for the next second.
	peak, soon float64
}

const (
	// tailsValid is how long predicted tails are used.
	tailsValid = 100 * time.Millisecond
	// paceLead is how far ahead a rising load is looked at: an order takes 0.1 s
	// to work, and the next report comes within 0.6 s.
	paceLead = 700 * time.Millisecond
	// excessNoise is the excess that the figures' noise alone gives.
	excessNoise = 0.1
	// maxExcess bounds what an unexplained excess may hold back.
	maxExcess = 0.5
)

// held is the excess of the VM's tails that the model does not explain, as far as
// it is not noise.
func (v *vm) held() float64 { return min(max(v.tailExcess-excessNoise, 0), maxExcess) }

// soon is the level of the step's load that fillers have to leave room for now:
// that of the next second where it rises.
func (b *baseline) soon(now Time) float64 {
	return max(b.forecast(now, baselineAge), b.forecast(now, baselineAge+paceLead))
}

// roomLead is how far ahead a filler that starts has to have room.
const roomLead = 1500 * time.Millisecond

// roomFor is what fillers may use of the VM now and after some time, in
// thousandths of a processor, where limit is the share of all that may be in use.
func (v *vm) roomFor(now Time, ahead time.Duration, limit float64) float64 {
	rest := limit*v.capacityMilliCPU() - float64(v.used.MilliCPU-v.servingCPU)
	return rest - max(v.servingUse(now, 0), v.servingUse(now, ahead))
}

// tailsOf returns the VM's predicted tails.
func (s *Scheduler) tailsOf(now Time, v *vm) []tail {
	if v.servingRuns == 0 {
		return nil
	}
	if !v.tailsStale && now-v.tailsAt < tailsValid {
		return v.tails
	}
	v.tails = v.tails[:0]
	v.fillerCapacity = v.roomFor(now, roomLead, s.policy.RoomLimit)
	v.fillerFullUse = 0
	for _, r := range v.runList {
		st := r.task.step
		if st.spec.Serves() {
			v.addTail(s.images.pair(st.spec.Image), st.spec.Image, st.baseline.peak(now), st.baseline.soon(now)+v.held())
		}
	}
	for _, r := range v.runList {
		spec := r.task.step.spec
		if !spec.Filler {
			continue
		}
		v.fillerFullUse += r.fullUse()
		number, use := s.images.number(spec.Image), r.fullUse()/v.capacityMilliCPU()
		for i := range v.tails {
			e := v.tails[i].pair.effect(number, use)
			v.tails[i].peak += e
			v.tails[i].soon += e
		}
	}
	v.tailsAt, v.tailsStale = now, false
	return v.tails
}

func (v *vm) addTail(pair *slopes, image string, peak, soon float64) {
	for i := range v.tails {
		if t := &v.tails[i]; t.image == image {
			t.peak, t.soon = max(t.peak, peak), max(t.soon, soon)
			return
		}
	}
	v.tails = append(v.tails, tail{image: image, pair: pair, peak: peak, soon: soon})
}

// atWork reports whether a serving run is past its startup and tells a tail.
func (r *run) atWork() bool {
	return r.state == running && r.hasUsage && r.usage > 0 && r.progress >= 100
}

// ratio is a serving run's tail as a share of its target.
func (r *run) ratio() float64 {
	if !r.hasUsage || r.usage <= 0 {
		return unknownPeak
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
	worst, peak, soon float64
}

// pressure predicts the tails on a VM with one more filler of an image that uses
// so many thousandths of a processor.
func (s *Scheduler) pressure(now Time, v *vm, image string, milliCPU int64) pressure {
	p := pressure{worst: math.Inf(-1), peak: math.Inf(-1), soon: math.Inf(-1)}
	number := s.images.number(image)
	share := float64(milliCPU) / v.capacityMilliCPU()
	for i := range s.tailsOf(now, v) {
		t := &v.tails[i]
		e := t.pair.effect(number, share)
		p.effect = max(p.effect, e)
		p.worst = max(p.worst, t.soon+e)
		if e > negligible {
			p.peak = max(p.peak, t.peak+e)
			p.soon = max(p.soon, t.soon+e)
		}
	}
	return p
}
