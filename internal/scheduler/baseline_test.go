package scheduler

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load level must not rise because of a single task with interference unknown to the model,
// or of one on a VM without free processors.
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

// Guards against underestimating a rising load, so that fillers are slowed only after the target
// is exceeded: a level without a trend lags behind.
func TestBaselineFollowsARisingLoad(t *testing.T) {
	var b baseline
	now := time.Second
	for ; now < 6*time.Second; now += 50 * time.Millisecond {
		b.observe(now, -2+0.3*now.Seconds())
	}
	ahead := time.Second
	require.InDelta(t, -2+0.3*(now+ahead).Seconds(), b.forecast(now, ahead), 0.05)
}

// The estimated use follows a periodic load between its peak and its trough.
func TestUseFollowsAPeriodicLoad(t *testing.T) {
	var b baseline
	at := func(now Time) float64 { return -1 + 0.7*math.Sin(2*math.Pi*now.Seconds()/10) }
	now := time.Second
	for ; now < 22500*time.Millisecond; now += 50 * time.Millisecond {
		b.observe(now, at(now))
	}
	require.InDelta(t, -0.3, b.peak(now), 0.1)
	// With a use of 0.48 x (1 +- 0.67), the tails differ by a factor of e^1.4.
	require.InDelta(t, 0.8, b.use(now, 0), 0.1)
	for ; now < 27500*time.Millisecond; now += 50 * time.Millisecond {
		b.observe(now, at(now))
	}
	require.InDelta(t, 0.16, b.use(now, 0), 0.1)
}
