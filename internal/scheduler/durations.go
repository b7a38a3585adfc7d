package scheduler

import (
	"math"
	"time"
)

// The objective of a job is a multiple of the longest chain of its tasks, but the declared
// durations are means: a step lasts as long as its longest task. The ratio of the two is learned
// per queue. Without it, jobs count as late long before they are, and under overload the work
// that was put into them is lost. Where declared durations are off by much more than that ratio,
// its mean says nothing about a single job, and the declared ones are used.

const (
	// minRatioSteps is the number of completed steps from which a ratio is used.
	minRatioSteps = 8
	// maxLogRatio bounds the logarithm of the ratio of a single step.
	maxLogRatio = 2.0
	// maxDurationRatio bounds the ratio in use; it is at least 1.
	maxDurationRatio = 3.0
	// durationRatioWeight is the weight of a new step in the moving averages, once there are
	// enough of them.
	durationRatioWeight = 1.0 / 16
	// reliableSpread is the standard deviation of the logarithm up to which a ratio is used
	// whole, unreliableSpread that from which it is not used.
	reliableSpread   = 0.45
	unreliableSpread = 0.75
	// minMeasuredShare is the share of a step's tasks with a measured duration from which the
	// longest of them counts as the duration of the step.
	minMeasuredShare = 0.5
)

// durationRatio describes the ratio of the durations of a queue's steps to their declared ones.
type durationRatio struct {
	steps int
	// mean and variance are moving averages of the ratio's logarithm.
	mean, variance float64
}

// value returns the ratio by which declared durations are corrected.
func (d *durationRatio) value() float64 {
	if d == nil || d.steps < minRatioSteps {
		return 1
	}
	trust := (unreliableSpread - math.Sqrt(d.variance)) / (unreliableSpread - reliableSpread)
	return min(max(math.Exp(d.mean*min(max(trust, 0), 1)), 1), maxDurationRatio)
}

// add adds the ratio of a step.
func (d *durationRatio) add(ratio float64) {
	d.steps++
	weight := max(1/float64(d.steps), durationRatioWeight)
	difference := min(max(math.Log(ratio), -maxLogRatio), maxLogRatio) - d.mean
	d.mean += weight * difference
	d.variance = (1 - weight) * (d.variance + weight*difference*difference)
}

// durationRatios holds the ratio of each queue.
type durationRatios map[string]*durationRatio

// observe adds a completed step.
func (d durationRatios) observe(st *step) {
	if !st.durationMeasured() {
		return
	}
	queue := st.occ.job.queue
	if d[queue] == nil {
		d[queue] = &durationRatio{}
	}
	d[queue].add(st.longestRun.Seconds() / st.spec.Estimate.Seconds())
}

// durationMeasured reports whether enough runs were measured for the longest of them to count as
// the duration of the step.
func (st *step) durationMeasured() bool {
	return float64(st.measuredRuns) >= minMeasuredShare*float64(st.spec.Tasks) && st.spec.Estimate > 0 && st.longestRun > 0
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
func (s *Scheduler) durationRatio(j *job) float64 { return s.durationRatioOf(j.queue) }

// durationRatioOf is the same for a queue.
func (s *Scheduler) durationRatioOf(queue string) float64 {
	if !s.policy.LearnDurations {
		return 1
	}
	return s.durationRatios[queue].value()
}

// scaled returns d times the factor.
func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
