package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// observeNoisySteps completes steps whose longest task takes about two seconds and whose declared
// durations are off by a factor of two and a half either way.
func observeNoisySteps(s *Scheduler) {
	rng := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		mean := math.Exp(0.3 * rng.NormFloat64())
		declared := time.Duration(mean * math.Exp(0.9*rng.NormFloat64()) * float64(time.Second))
		s.observeStepDuration(&step{
			spec: &batch.Step{Tasks: 4, Estimate: declared}, occ: &occurrence{job: &job{queue: testQueue}},
			measuredRuns: 4, longestRun: time.Duration(2 * mean * float64(time.Second)),
		})
	}
}

// Guards against jobs that count as late, or go first, for no other reason than that their declared
// durations are too short.
func TestNoisyDeclarationsDoNotMakeJobsLate(t *testing.T) {
	f := newFixture(t, 1)
	f.s.policy.DurationEstimates = EstimateRegression
	f.reportAll(nil)
	declaring := func(id string, estimate time.Duration) *occurrence {
		spec := fillerStep("image", 1000)
		spec.Estimate = estimate
		f.s.Submit(f.now, Submission{Job: &batch.Job{ID: id, Steps: []batch.Step{spec}}, Queue: testQueue, Pool: "pool", Age: 2 * time.Second})
		return f.s.jobs[id].occs[0]
	}
	// The objective is 2 times the chain plus 1 s.
	require.Equal(t, groupLate, f.s.rank(f.now, &declaring("before", 400*time.Millisecond).steps[0]).group)
	observeNoisySteps(f.s)
	short, long := declaring("short", 400*time.Millisecond), declaring("long", 2500*time.Millisecond)
	require.Equal(t, groupOnTime, f.s.rank(f.now, &short.steps[0]).group)
	require.Equal(t, groupOnTime, f.s.rank(f.now, &long.steps[0]).group)
	require.InDelta(t, 2, f.s.remaining(short).Seconds(), 1)
	require.Less(t, f.s.remainingWork(long)/f.s.remainingWork(short), 2.0)
}

// Guards against a correction of durations by default, and by a new leader that has observed nothing.
func TestRegressionIsSwitchedOnAndHasToBeLearned(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	observeNoisySteps(f.s)
	j := &job{queue: testQueue}
	spec := &batch.Step{Tasks: 1, Estimate: time.Second, Need: batch.Resources{MilliCPU: 1000}}
	require.InDelta(t, 1, f.s.expectedWork(j, spec, 1), 1e-9)
	f.s.policy.DurationEstimates = EstimateRegression
	require.Greater(t, f.s.expectedWork(j, spec, 1), 1.5)
	require.InDelta(t, 1, f.s.expectedWork(&job{queue: "other"}, spec, 1), 1e-9)
	f.s.policy.LearnDurations = false
	require.Equal(t, time.Second, f.s.expectedDuration(j, spec))
}

// Guards against a default that rounds differently than a correction of whole paths does: the last
// nanosecond decides between jobs of equal slack.
func TestRatioCorrectsWholePaths(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	for range 40 {
		f.s.observeStepDuration(&step{
			spec: &batch.Step{Tasks: 1, Estimate: time.Second}, occ: &occurrence{job: &job{queue: testQueue}},
			measuredRuns: 1, longestRun: 1337 * time.Millisecond,
		})
	}
	rng := rand.New(rand.NewPCG(7, 8))
	for i := range 200 {
		spec := &batch.Job{ID: fmt.Sprint(i)}
		for n := range 1 + rng.IntN(6) {
			st := fillerStep("image", 1000)
			st.Estimate = time.Duration(rng.Int64N(int64(3 * time.Second)))
			if n > 0 {
				st.After = []int{rng.IntN(n)}
			}
			spec.Steps = append(spec.Steps, st)
		}
		f.s.Submit(f.now, Submission{Job: spec, Queue: testQueue, Pool: "pool"})
		j := f.s.jobs[spec.ID]
		ratio := f.s.durationRatio(j)
		require.Greater(t, ratio, 1.3)
		require.Equal(t, scaled(spec.CriticalPath(), ratio), f.s.remaining(j.occs[0]))
		require.Equal(t, scaled(spec.CriticalPath(), j.stretch*ratio)+j.slack, f.s.objective(j))
		require.Equal(t, math.Float64bits(spec.Work()), math.Float64bits(j.work))
		require.Equal(t, math.Float64bits(spec.Work()), math.Float64bits(f.s.remainingWork(j.occs[0])))
	}
}

// Guards against a backlog that a new leader took before it had learned durations: its values by
// declared work would be compared with costs by learned durations, so that jobs that declare much
// go first, and all of it after equal jobs that come later.
func TestJobsTakenBeforeDurationsAreLearnedAreRankedAsLaterOnes(t *testing.T) {
	f := newFixture(t, 1)
	f.s.policy.DurationEstimates = EstimateRegression
	f.reportAll(nil)
	declaring := func(id string, estimate time.Duration) *occurrence {
		spec := fillerStep("image", 1000)
		spec.Estimate = estimate
		f.s.Submit(f.now, Submission{Job: &batch.Job{ID: id, Steps: []batch.Step{spec}}, Queue: testQueue, Pool: "pool"})
		return f.s.jobs[id].occs[0]
	}
	short, long := declaring("short", 400*time.Millisecond), declaring("long", 2500*time.Millisecond)
	observeNoisySteps(f.s)
	laterShort, laterLong := declaring("later short", 400*time.Millisecond), declaring("later long", 2500*time.Millisecond)
	require.InDelta(t, f.s.costPerValue(f.now, laterShort), f.s.costPerValue(f.now, short), 1e-9)
	require.InDelta(t, f.s.costPerValue(f.now, laterLong), f.s.costPerValue(f.now, long), 1e-9)
	// Work per value grows with work, as part of a value is fixed.
	require.Less(t, f.s.costPerValue(f.now, short), f.s.costPerValue(f.now, long))
}

// BenchmarkRank ranks 4,000 waiting steps. It reports ns per pass over all of them.
func BenchmarkRank(b *testing.B) {
	for _, way := range []DurationEstimates{EstimateRatio, EstimateRegression} {
		b.Run(string(way), func(b *testing.B) {
			s := New(Settings{MaxLease: 10 * time.Second}, 1, nil)
			s.policy.DurationEstimates = way
			s.SetConfig(&batch.Config{Queues: []batch.Queue{{Name: testQueue, Pool: "pool", Attempts: 3, Stretch: 2}}})
			observeNoisySteps(s)
			var steps []*step
			for i := range 2000 {
				id := fmt.Sprint(i)
				s.Submit(time.Second, Submission{Job: &batch.Job{ID: id, Steps: []batch.Step{fillerStep("a", 1000), fillerStep("b", 2000)}}, Queue: testQueue, Pool: "pool"})
				o := s.jobs[id].occs[0]
				steps = append(steps, &o.steps[0], &o.steps[1])
			}
			b.ResetTimer()
			for range b.N {
				for _, st := range steps {
					st.rank = s.rank(time.Second, st)
				}
			}
		})
	}
}

// Guards against a regression where declared durations are accurate: it made the order of jobs follow
// the long tails of their durations.
func TestAccurateDeclarationsKeepTheirRatio(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	rng := rand.New(rand.NewPCG(7, 8))
	for range 200 {
		mean := math.Exp(0.5 * rng.NormFloat64())
		f.s.observeStepDuration(&step{
			spec: &batch.Step{Tasks: 4, Estimate: time.Duration(mean * float64(time.Second))}, occ: &occurrence{job: &job{queue: testQueue}},
			measuredRuns: 4, longestRun: time.Duration(1.5 * mean * math.Exp(0.2*rng.NormFloat64()) * float64(time.Second)),
		})
	}
	j := &job{queue: testQueue, spec: &batch.Job{Steps: []batch.Step{{Tasks: 4, Estimate: 3 * time.Second, Need: batch.Resources{MilliCPU: 1000}}}}}
	ratio := f.s.jobWork(j)
	f.s.policy.DurationEstimates = EstimateRegression
	require.Equal(t, ratio, f.s.jobWork(j))
	require.Equal(t, 3*time.Second, f.s.expectedDuration(j, &j.spec.Steps[0]))
}
