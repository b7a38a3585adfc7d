package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testSteps = 400

// observeSteps adds steps whose durations vary by spread and whose declared durations are off by
// errorSpread (standard deviations of logarithms). Actual durations are factor times longer than
// the true means.
func observeSteps(m *Model, spread, errorSpread, factor float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range testSteps {
		mean := math.Exp(spread * rng.NormFloat64())
		declared := mean * math.Exp(errorSpread*rng.NormFloat64())
		m.Observe(seconds(declared), seconds(factor*mean))
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against predictions from too few steps.
func TestFewStepsPredictWhatIsDeclared(t *testing.T) {
	m := &Model{}
	require.Equal(t, time.Second, m.Predict(time.Second))
	for range minSteps - 1 {
		m.Observe(time.Second, 2*time.Second)
	}
	require.Equal(t, time.Second, m.Predict(time.Second))
	m.Observe(time.Second, 2*time.Second)
	require.InDelta(t, 2, m.Predict(time.Second).Seconds(), 0.01)
	var unknown *Model
	require.False(t, unknown.Known())
}

// Guards against accurate declarations that are drawn to the mean of their queue.
func TestAccurateDeclarationsAreScaled(t *testing.T) {
	m := &Model{}
	observeSteps(m, 0.5, 0.05, 1.6)
	require.InDelta(t, 1.6*0.3, m.Predict(seconds(0.3)).Seconds(), 0.06)
	require.InDelta(t, 1.6*3, m.Predict(seconds(3)).Seconds(), 0.6)
}

// Guards against declarations that are mostly noise and decide on the order of jobs.
func TestNoisyDeclarationsTendToTheMean(t *testing.T) {
	m := &Model{}
	observeSteps(m, 0.5, 0.9, 1.6)
	// The least squares slope is 0.25 / (0.25 + 0.81).
	require.InDelta(t, 0.24, m.Slope(), 0.12)
	ratio := m.Predict(seconds(3)).Seconds() / m.Predict(seconds(0.3)).Seconds()
	require.Less(t, ratio, 3.0)
	require.Greater(t, ratio, 1.0)
}

// Guards against a slope that is learned from declarations that hardly differ.
func TestEqualDeclarationsAreCorrectedByTheirRatio(t *testing.T) {
	m := &Model{}
	rng := rand.New(rand.NewPCG(3, 4))
	for range testSteps {
		m.Observe(time.Second, seconds(1.5*math.Exp(0.3*rng.NormFloat64())))
	}
	require.InDelta(t, 1.5, m.Predict(time.Second).Seconds(), 0.25)
	require.InDelta(t, 3, m.Predict(2*time.Second).Seconds(), 0.6)
}

// Guards against an absurd declaration that outweighs all others, and against absurd predictions.
func TestAbsurdDeclarationsAreBounded(t *testing.T) {
	m := &Model{}
	observeSteps(m, 0.2, 0.1, 1)
	before := m.Predict(time.Second)
	m.Observe(time.Nanosecond, time.Hour)
	m.Observe(0, time.Hour)
	m.Observe(time.Second, -time.Second)
	require.InDelta(t, before.Seconds(), m.Predict(time.Second).Seconds(), 0.5)
	require.LessOrEqual(t, m.Predict(time.Millisecond), maxFactor*time.Millisecond)
	require.GreaterOrEqual(t, m.Predict(10_000*time.Hour), 10_000/maxFactor*time.Hour)
}

// Guards against an absurd declaration after which the noise of all others is believed.
func TestAbsurdDeclarationsDoNotDecideTheSlope(t *testing.T) {
	for _, declared := range []time.Duration{time.Nanosecond, time.Millisecond, 30 * 24 * time.Hour} {
		m := &Model{}
		observeSteps(m, 0.5, 0.9, 1.6)
		m.Observe(declared, 2*time.Second)
		// The least squares slope of the others is 0.24.
		require.InDelta(t, 0.24, m.Slope(), 0.2, declared)
		require.InDelta(t, 1.6, m.Predict(time.Second).Seconds(), 0.6, declared)
	}
}
