package runtimes

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// maxSpreadSamples is the number of recent runs of a queue that its spread is learned from.
	maxSpreadSamples = 256
	// minSpreadSamples is the number of runs from which quantiles are known.
	minSpreadSamples = 32
)

// Spread is the learned spread of a queue's durations: of the ratio of a task's duration to that
// of its siblings. The zero value has learned nothing.
type Spread struct {
	ratios []float64
	next   int
}

// Observe adds a completed run that took ratio times as long as its siblings.
func (s *Spread) Observe(ratio float64) {
	if len(s.ratios) < maxSpreadSamples {
		s.ratios = append(s.ratios, ratio)
		return
	}
	s.ratios[s.next] = ratio
	s.next = (s.next + 1) % maxSpreadSamples
}

// Known reports whether there are enough runs for quantiles.
func (s *Spread) Known() bool { return s != nil && len(s.ratios) >= minSpreadSamples }

// Quantile returns a quantile of the ratios, q from 0 to 1; 1 if it is not known.
func (s *Spread) Quantile(q float64) float64 {
	if !s.Known() {
		return 1
	}
	sorted := slices.Clone(s.ratios)
	slices.Sort(sorted)
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}

// TailShare returns the share of tasks that take at least ratio times as long as their siblings.
// Few observations count for little: a share that is not known is defaultShare.
func (s *Spread) TailShare(ratio float64) float64 {
	if s == nil {
		return defaultShare
	}
	long := 0
	for _, x := range s.ratios {
		if x >= ratio {
			long++
		}
	}
	return smoothedShare(long, len(s.ratios))
}

const (
	// defaultShare is the expected share of long tasks, and of slow VMs, before any are observed.
	defaultShare = 0.02
	// defaultWeight is the number of observations that weigh as much as defaultShare.
	defaultWeight = 50
)

// smoothedShare is the share of n observations that count, shrunk towards defaultShare.
func smoothedShare(count, n int) float64 {
	return (float64(count) + defaultShare*defaultWeight) / (float64(n) + defaultWeight)
}

// SlowShare returns the expected share of slow VMs, given that slow of known ones are.
func SlowShare(slow, known int) float64 { return smoothedShare(slow, known) }
