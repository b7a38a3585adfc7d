package scheduler

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load of a step is what most of its tasks tell: one that something unknown
// presses on, and one on a VM without processors left, do not raise it.
func TestLoadIsTheMedianOfSiblings(t *testing.T) {
	p := newEffectModel()
	pair := p.slopesOf("web")
	var f tailSamples
	for i := range 7 {
		y := -1.0
		if i < 2 {
			y = 1.5
		}
		f.add(tailSample{vm: &vm{}, logRatio: y, unreliable: i == 1})
	}
	require.InDelta(t, -1, f.loadLevel(pair), 0.01)
}

// Symptom: a load that rises is taken for lower than it is, so that fillers are
// slowed only when the target is exceeded already.
// Cause it guards against: a level without a trend lags behind.
func TestBaselineFollowsARisingLoad(t *testing.T) {
	var b baseline
	now := time.Second
	for ; now < 6*time.Second; now += 50 * time.Millisecond {
		b.observe(now, -2+0.3*now.Seconds())
	}
	ahead := time.Second
	require.InDelta(t, -2+0.3*(now+ahead).Seconds(), b.forecast(now, ahead), 0.05)
}

// A load that swings is known by its peak and trough, and use follows it between.
func TestUseFollowsAPeriodicLoad(t *testing.T) {
	var b baseline
	at := func(now Time) float64 { return -1 + 0.7*math.Sin(2*math.Pi*now.Seconds()/10) }
	now := time.Second
	for ; now < 22500*time.Millisecond; now += 50 * time.Millisecond {
		b.observe(now, at(now))
	}
	require.InDelta(t, -0.3, b.peak(now), 0.1)
	// The tails of 0.48 x (1 +- 0.67) in use differ by a factor of e^1.4.
	require.InDelta(t, 0.8, b.use(now, 0), 0.1)
	for ; now < 27500*time.Millisecond; now += 50 * time.Millisecond {
		b.observe(now, at(now))
	}
	require.InDelta(t, 0.16, b.use(now, 0), 0.1)
}
