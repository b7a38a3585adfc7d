package runtimes_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/scheduler/runtimes"
)

const (
	slowRatio = 0.2
	// now is the time at which the last observed run ended.
	now = time.Minute
)

// speedOf returns the speed learned from runs that ended a tenth of a second apart, the last now.
func speedOf(ratios ...float64) *runtimes.Speed {
	var s runtimes.Speed
	for i, ratio := range ratios {
		s.Observe(now-time.Duration(len(ratios)-1-i)*100*time.Millisecond, ratio)
	}
	return &s
}

func TestSpeedIsUnknownWithoutRuns(t *testing.T) {
	e := speedOf().At(now)
	require.False(t, e.Known())
	require.Equal(t, 1.0, e.Ratio)
	require.Zero(t, e.Age)
}

// Guards against a sound VM that counts as slow because of one long task.
func TestOneLongTaskIsNoSlowVM(t *testing.T) {
	for _, ratios := range [][]float64{{slowRatio}, {1, slowRatio}, {slowRatio, 1.1, 0.9}} {
		e := speedOf(ratios...).At(now)
		require.False(t, e.IsSlow(), "%v: %+v", ratios, e)
	}
	require.Equal(t, 1, speedOf(slowRatio, 1.1, 0.9).At(now).Slow)
}

func TestSlowVMIsLearned(t *testing.T) {
	e := speedOf(slowRatio, 0.25, slowRatio).At(now + time.Second)
	require.True(t, e.IsSlow())
	require.Equal(t, 3, e.Slow)
	require.Equal(t, time.Second, e.Age)
}

// Guards against a VM that stays without work after it has recovered.
func TestSpeedIsForgotten(t *testing.T) {
	s := speedOf(slowRatio, slowRatio)
	require.True(t, s.At(now+9*time.Second).IsSlow())
	require.False(t, s.At(now+11*time.Second).Known())
	for range 3 {
		s.Observe(now+2*time.Second, 1)
	}
	require.False(t, s.At(now+3*time.Second).IsSlow())
}

func TestQuantilesOfSpread(t *testing.T) {
	var s runtimes.Spread
	require.Equal(t, 1.0, s.Quantile(0.9))
	for range 10 {
		for i := range 100 {
			ratio := 1.0
			if i < 3 {
				ratio = 7
			}
			s.Observe(ratio)
		}
	}
	require.Equal(t, 1.0, s.Quantile(0.9))
	require.Equal(t, 7.0, s.Quantile(0.99))
	require.InDelta(t, 0.03, s.TailShare(3), 0.01)
}

// A share that few observations support must not decide alone.
func TestTailShareOfFewRuns(t *testing.T) {
	var s runtimes.Spread
	require.Equal(t, s.TailShare(3), (*runtimes.Spread)(nil).TailShare(3))
	s.Observe(7)
	require.Less(t, s.TailShare(3), 0.05)
}

// Guards against a long task that is taken for a slow VM, and against the reverse.
func TestCauseOfASlowRun(t *testing.T) {
	const share = 0.03
	unknown := runtimes.Evidence{LongShare: share, SlowVMShare: share}
	for name, c := range map[string]struct {
		change    func(*runtimes.Evidence)
		low, high float64
	}{
		"nothing else known":          {func(*runtimes.Evidence) {}, 0.4, 0.6},
		"other tasks slow here":       {func(e *runtimes.Evidence) { e.SlowOthers = 1 }, 0.9, 1},
		"other tasks sound here":      {func(e *runtimes.Evidence) { e.SoundOthers = 1 }, 0, 0.2},
		"task slow elsewhere":         {func(e *runtimes.Evidence) { e.SlowElsewhere = true }, 0, 0.1},
		"task slow elsewhere, others": {func(e *runtimes.Evidence) { e.SlowElsewhere, e.SlowOthers = true, 2 }, 0.9, 1},
		"many long tasks":             {func(e *runtimes.Evidence) { e.LongShare = 0.3 }, 0, 0.2},
		"many slow VMs":               {func(e *runtimes.Evidence) { e.SlowVMShare = 0.3 }, 0.8, 1},
		"mixed":                       {func(e *runtimes.Evidence) { e.SlowOthers, e.SoundOthers = 1, 3 }, 0, 0.2},
	} {
		e := unknown
		c.change(&e)
		p := runtimes.ProbabilityOfSlowVM(e)
		require.GreaterOrEqual(t, p, c.low, name)
		require.LessOrEqual(t, p, c.high, name)
	}
}

// slowRun is a run on a VM that is five times slower, a second after its siblings began with it.
func slowRun(slowVM float64) runtimes.Facts {
	return runtimes.Facts{
		Remaining: 4 * time.Second, Siblings: time.Second, Whole: 5 * time.Second, Next: 200 * time.Millisecond, Lost: time.Second,
		RestartDelay: 200 * time.Millisecond, SlowVM: slowVM,
	}
}

func TestCopyPays(t *testing.T) {
	for _, c := range []struct {
		name   string
		way    runtimes.Way
		slowVM float64
		load   float64
		want   runtimes.Remedy
	}{
		{"slow VM, idle", runtimes.WayGain, 0.95, 0.5, runtimes.Copy},
		{"slow VM, full: the copy frees the slow one", runtimes.WayGain, 0.95, 1, runtimes.Copy},
		{"long task, full", runtimes.WayGain, 0.05, 1, runtimes.Leave},
		{"long task, idle", runtimes.WayGain, 0.05, 0.5, runtimes.Leave},
		{"unclear, idle", runtimes.WayGain, 0.5, 0.5, runtimes.Copy},
		{"unclear, full", runtimes.WayGain, 0.5, 1, runtimes.Leave},
		{"only where idle, full", runtimes.WayIdle, 0.95, 1, runtimes.Leave},
		{"only where idle, idle", runtimes.WayIdle, 0.95, 0.5, runtimes.Copy},
	} {
		f := slowRun(c.slowVM)
		f.MayCopy, f.Load = true, c.load
		choice := runtimes.Choose(c.way, f)
		require.Equal(t, c.want, choice.Remedy, "%s: %+v", c.name, choice)
	}
}

// A run that ends before its siblings delays nothing, so a copy saves nothing.
func TestCopyOfARunThatIsNotTheLastDoesNotPay(t *testing.T) {
	f := slowRun(0.95)
	f.MayCopy, f.Next = true, f.Remaining
	require.Equal(t, runtimes.Leave, runtimes.Choose(runtimes.WayGain, f).Remedy)
}

// Guards against copies of a step that does not allow them.
func TestRestartPaysWhereCopiesAreNotAllowed(t *testing.T) {
	require.Equal(t, runtimes.Restart, runtimes.Choose(runtimes.WayGain, slowRun(0.95)).Remedy)
	require.Equal(t, runtimes.Leave, runtimes.Choose(runtimes.WayGain, slowRun(0.05)).Remedy)
	f := slowRun(0.95)
	f.Lost, f.Load = 10*time.Second, 1
	require.Equal(t, runtimes.Leave, runtimes.Choose(runtimes.WayGain, f).Remedy, "much work would be lost")
	f.Lost = 0
	require.Equal(t, runtimes.Restart, runtimes.Choose(runtimes.WayGain, f).Remedy, "a checkpoint saved it")
}
