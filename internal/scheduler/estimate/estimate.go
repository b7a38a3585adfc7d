// Package estimate predicts how long the steps of jobs take from their declared durations and
// from those of completed steps. It has no clock and no state beyond the model.
//
// A step lasts as long as its longest task, while declared durations are means and may be far
// off. How much a declared duration says is learned per queue: where it is accurate, predictions
// are proportional to it; where it is mostly noise, they tend to the mean of the queue. The
// relation is a linear regression of logarithms, since errors of estimates are factors.
package estimate

import (
	"math"
	"time"
)

const (
	// minSteps is the number of completed steps from which a prediction differs from the declared
	// duration.
	minSteps = 8
	// sampleWeight is the weight of a new step in the moving averages, once there are enough
	// steps.
	sampleWeight = 1.0 / 48
	// maxLogRatio bounds the logarithm of the ratio of a single step's duration to its declared
	// one.
	maxLogRatio = 3.0
	// maxLogDeviation bounds the deviation of a single step's declared duration from the queue's
	// mean (logarithms), so that one absurd declaration does not decide the slope.
	maxLogDeviation = 3.0
	// maxFactor bounds the ratio of a prediction to its declared duration, in both directions.
	maxFactor = 8.0
	// noisySlope is the slope below which declared durations are mostly noise: their errors vary
	// more than the durations themselves.
	noisySlope = 0.4
	// priorVariance is the variance of the declared durations' logarithm with which the slope
	// starts at 1: declared durations that hardly differ say nothing about the slope.
	priorVariance = 0.02
)

// Model relates the durations of a queue's steps to their declared ones. The zero value predicts
// what is declared.
type Model struct {
	steps int
	// declared and actual are moving averages of the logarithms of durations in seconds; variance
	// is that of declared, covariance that of both.
	declared, actual     float64
	variance, covariance float64
}

// Observe adds a completed step. Durations that are not positive are ignored.
func (m *Model) Observe(declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	x := math.Log(declared.Seconds())
	if m.Known() {
		x = min(max(x, m.declared-maxLogDeviation), m.declared+maxLogDeviation)
	}
	y := x + min(max(math.Log(actual.Seconds())-x, -maxLogRatio), maxLogRatio)
	m.steps++
	weight := max(1/float64(m.steps), sampleWeight)
	dx, dy := x-m.declared, y-m.actual
	m.declared += weight * dx
	m.actual += weight * dy
	m.variance = (1 - weight) * (m.variance + weight*dx*dx)
	m.covariance = (1 - weight) * (m.covariance + weight*dx*dy)
}

// Known reports whether enough steps have been observed for predictions.
func (m *Model) Known() bool { return m != nil && m.steps >= minSteps }

// IsNoisy reports whether declared durations are known to say little about single steps.
func (m *Model) IsNoisy() bool { return m.Known() && m.Slope() < noisySlope }

// Slope is the share of a declared duration's deviation from the queue's mean that is believed,
// from 0 to 1.
func (m *Model) Slope() float64 {
	return min(max((m.covariance+priorVariance)/(m.variance+priorVariance), 0), 1)
}

// Predict returns the expected duration of a step with a declared duration.
func (m *Model) Predict(declared time.Duration) time.Duration {
	if !m.Known() || declared <= 0 {
		return declared
	}
	x := math.Log(declared.Seconds())
	factor := math.Exp(m.actual + m.Slope()*(x-m.declared) - x)
	return time.Duration(min(max(factor, 1/maxFactor), maxFactor) * float64(declared))
}
