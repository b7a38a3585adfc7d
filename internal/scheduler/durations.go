package scheduler

import (
	"math"
	"time"
)

// The objective of a job is a multiple of the longest chain of its tasks, but the declared
// durations are means: a step lasts as long as its longest task. The ratio of the two is learned
// per queue. Without it, jobs count as late long before they are, and under overload the work
// that was put into them is lost.

const (
	// initialDurationRatio is the assumed ratio of a step's duration to its declared one: that of
	// the longest of some ten tasks whose durations differ by a third.
	initialDurationRatio = 1.5
	// minDurationRatio and maxDurationRatio bound the ratio.
	minDurationRatio = 1.0
	maxDurationRatio = 3.0
	// durationRatioWeight is the weight of a new step in the moving average of the ratio's
	// logarithm.
	durationRatioWeight = 1.0 / 16
	// minMeasuredShare is the share of a step's tasks with a measured duration from which the
	// longest of them counts as the duration of the step.
	minMeasuredShare = 0.5
)

// durationRatios holds the logarithm of the mean ratio of the duration of steps to their declared
// duration, by queue.
type durationRatios map[string]float64

// of returns the ratio for a queue.
func (d durationRatios) of(queue string) float64 {
	if ratio, known := d[queue]; known {
		return math.Exp(ratio)
	}
	return initialDurationRatio
}

// observe adds a completed step.
func (d durationRatios) observe(st *step) {
	if float64(st.measuredRuns) < minMeasuredShare*float64(st.spec.Tasks) || st.spec.Estimate <= 0 {
		return
	}
	ratio := min(max(st.longestRun.Seconds()/st.spec.Estimate.Seconds(), minDurationRatio), maxDurationRatio)
	queue := st.occ.job.queue
	mean := math.Log(d.of(queue))
	d[queue] = mean + durationRatioWeight*(math.Log(ratio)-mean)
}

// measureDuration records the duration of a completed run for its step, unless the run resumed
// from a checkpoint or was slowed.
func (r *run) measureDuration(now Time) {
	if r.confirmedAt == 0 || r.resumed || r.paceOrderedAt > 0 {
		return
	}
	st := r.task.step
	st.longestRun = max(st.longestRun, now-r.confirmedAt)
	st.measuredRuns++
}

// durationRatio is the ratio of the real durations of a job's steps to their declared ones.
func (s *Scheduler) durationRatio(j *job) float64 {
	if !s.policy.LearnDurations {
		return 1
	}
	return s.durationRatios.of(j.queue)
}

// objective is the target duration of a job from its submission to its completion.
func (s *Scheduler) objective(j *job) time.Duration {
	return scaled(j.criticalPath, j.stretch*s.durationRatio(j)) + j.slack
}

// scaled returns d times the factor.
func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
