package runtimes

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of runs that a learned speed remembers.
	maxSamples = 8
	// maxSampleAge is the age from which a run says nothing about its VM's speed any more.
	maxSampleAge = 10 * time.Second
	// minSamples is the number of runs from which a speed is known: one alone may belong to a
	// long task.
	minSamples = 2
	// SlowSpeed is the speed, as a share of that of the siblings' VMs, up to which a run or a VM
	// is slow.
	SlowSpeed = 1.0 / 3
	// soundSpeed is the speed from which a run shows that its VM is sound. The work of sibling
	// tasks differs by about a third.
	soundSpeed = 1 / 1.6
)

// Speed is the learned speed of one incarnation of a VM. The zero value has learned nothing.
type Speed struct {
	samples [maxSamples]sample
	next    int
}

// sample is one run's rate as a share of its siblings' mean rate.
type sample struct {
	at    time.Duration
	ratio float64
}

// Observe adds a completed run, whose rate of progress was ratio times the mean rate of its
// siblings elsewhere.
func (s *Speed) Observe(now time.Duration, ratio float64) {
	s.samples[s.next] = sample{at: now, ratio: ratio}
	s.next = (s.next + 1) % maxSamples
}

// SpeedEstimate is what is known of a VM's speed.
type SpeedEstimate struct {
	// Ratio is the speed as a share of that of other VMs; 1 if it is not known.
	Ratio float64
	// Runs is the number of recent runs that it is based on, Slow that of the slow ones.
	Runs, Slow int
	// Age is the age of the newest of them; 0 if there is none.
	Age time.Duration
}

// Known reports whether there are enough runs for an estimate.
func (e SpeedEstimate) Known() bool { return e.Runs >= minSamples }

// IsSlow reports whether the VM is known to be slow.
func (e SpeedEstimate) IsSlow() bool { return e.Known() && e.Ratio <= SlowSpeed }

// SoundSince counts the runs ended since a time that show that the VM is sound. Earlier ones say
// nothing of a run that is slow now: the VM may have turned slow meanwhile.
func (s *Speed) SoundSince(since time.Duration) int {
	n := 0
	for i := range s.samples {
		if x := &s.samples[i]; x.ratio >= soundSpeed && x.at >= since {
			n++
		}
	}
	return n
}

// At estimates the speed by the recent runs: by their median, since a single long task says
// nothing about its VM, and of an even number by the faster of the two in the middle.
func (s *Speed) At(now time.Duration) SpeedEstimate {
	var buffer [maxSamples]float64
	ratios := buffer[:0]
	e := SpeedEstimate{Ratio: 1}
	for i := range s.samples {
		x := &s.samples[i]
		age := now - x.at
		if x.ratio <= 0 || age > maxSampleAge {
			continue
		}
		if len(ratios) == 0 || age < e.Age {
			e.Age = age
		}
		ratios = append(ratios, x.ratio)
		if x.ratio <= SlowSpeed {
			e.Slow++
		}
	}
	e.Runs = len(ratios)
	if e.Known() {
		slices.Sort(ratios)
		e.Ratio = ratios[len(ratios)/2]
	}
	return e
}
