package admission

import (
	"math"
	"time"
)

const (
	// meterInterval is the shortest time over which a rate is measured.
	meterInterval = 500 * time.Millisecond
	// rateMemory is the time constant of the measured rate.
	rateMemory = 4 * time.Second
	// arrivalMemory is the time constant of the rate of arrivals. It is short, as bursts begin and
	// end within seconds.
	arrivalMemory = 2 * time.Second
)

// Rate is a rate of completion.
type Rate struct {
	// PerSecond is in core-seconds a second, measured over Measured.
	PerSecond float64
	Measured  time.Duration
	// Capacity is the usable capacity of the fleet while it was measured.
	Capacity float64
}

// Meter measures how much work is completed while some waits. Without waiting work, completions
// show the demand and not what the fleet can do.
type Meter struct {
	rate    Rate
	since   time.Duration
	done    float64
	waiting bool
}

// Done adds completed work in core-seconds.
func (m *Meter) Done(work float64) { m.done += work }

// Sample is called regularly with whether work waits now and the usable capacity.
func (m *Meter) Sample(now time.Duration, waiting bool, capacity float64) {
	if !waiting || !m.waiting {
		m.since, m.done, m.waiting = now, 0, waiting
		return
	}
	elapsed := now - m.since
	if elapsed < meterInterval {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(rateMemory))
	if m.rate.Measured == 0 {
		weight = 1
	}
	m.rate.PerSecond += weight * (m.done/elapsed.Seconds() - m.rate.PerSecond)
	m.rate.Capacity += weight * (capacity - m.rate.Capacity)
	m.rate.Measured += elapsed
	m.since, m.done = now, 0
}

// Rate returns the measured rate.
func (m *Meter) Rate() Rate { return m.rate }

// Arrivals measures the rate of arriving work by size class.
type Arrivals struct {
	at     time.Duration
	recent [Classes]float64
}

// Add adds a job that arrives.
func (a *Arrivals) Add(now time.Duration, class int, work float64) {
	a.decay(now)
	a.recent[class] += work
}

// PerSecond returns the rate of a class in core-seconds a second.
func (a *Arrivals) PerSecond(now time.Duration, class int) float64 {
	a.decay(now)
	return a.recent[class] / arrivalMemory.Seconds()
}

func (a *Arrivals) decay(now time.Duration) {
	factor := math.Exp(-float64(max(now-a.at, 0)) / float64(arrivalMemory))
	for class := range a.recent {
		a.recent[class] *= factor
	}
	a.at = max(a.at, now)
}
