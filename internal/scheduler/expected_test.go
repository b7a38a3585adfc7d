package scheduler

import (
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
