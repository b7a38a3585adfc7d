package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler/estimate"
)

// observeStepDuration updates what is known about the durations of a queue from a completed step.
func (s *Scheduler) observeStepDuration(st *step) {
	s.durationRatios.observe(st)
	if !st.durationMeasured() {
		return
	}
	queue := st.occ.job.queue
	if s.estimates[queue] == nil {
		s.estimates[queue] = &estimate.Model{}
	}
	s.estimates[queue].Observe(st.spec.Estimate, st.longestRun)
}

// usesRegression reports whether the durations of a queue are predicted by estimate.Model: only
// where declared durations are mostly noise. Elsewhere a regression gains nothing over the ratio.
func (s *Scheduler) usesRegression(queue string) bool {
	return s.policy.LearnDurations && s.policy.DurationEstimates == EstimateRegression && s.estimates[queue].IsNoisy()
}

// expectedDuration is the expected duration of one of the job's steps. Without a regression it is
// the declared one, and sums of durations are corrected as a whole; see pathFactor.
func (s *Scheduler) expectedDuration(j *job, spec *batch.Step) time.Duration {
	if s.usesRegression(j.queue) {
		return s.estimates[j.queue].Predict(spec.Estimate)
	}
	return spec.Estimate
}

// pathFactor is the factor by which paths of expected durations are corrected.
func (s *Scheduler) pathFactor(j *job) float64 {
	if s.usesRegression(j.queue) {
		return 1
	}
	return s.durationRatio(j)
}

// expectedWork is the expected work of the tasks, in processor seconds. Without a regression it
// is the declared work: a ratio common to a queue does not change the order of its jobs.
func (s *Scheduler) expectedWork(j *job, spec *batch.Step, tasks int) float64 {
	return float64(tasks) * float64(spec.Need.MilliCPU) / 1000 * s.expectedDuration(j, spec).Seconds()
}

// jobWork is the expected work of one occurrence of a job, in processor seconds.
func (s *Scheduler) jobWork(j *job) float64 {
	sum := 0.0
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		sum += s.expectedWork(j, spec, spec.Tasks)
	}
	return sum
}

// remainingWork is the expected work of the occurrence's unfinished tasks, in processor seconds.
func (s *Scheduler) remainingWork(o *occurrence) float64 {
	sum := 0.0
	for i := range o.steps {
		st := &o.steps[i]
		sum += s.expectedWork(o.job, st.spec, st.tasksLeft)
	}
	return sum
}

// remaining is the longest path through the occurrence's unfinished steps by their expected
// durations.
func (s *Scheduler) remaining(o *occurrence) time.Duration {
	path := s.longestPath(o.job, func(step int) bool { return o.steps[step].tasksLeft > 0 })
	return scaled(path, s.pathFactor(o.job))
}

// objective is the target duration of a job from its submission to its completion.
func (s *Scheduler) objective(j *job) time.Duration {
	path := j.criticalPath
	if s.usesRegression(j.queue) {
		path = s.longestPath(j, func(int) bool { return true })
	}
	return scaled(path, j.stretch*s.pathFactor(j)) + j.slack
}

// longestPath is the longest path through the steps that count, by their expected durations.
func (s *Scheduler) longestPath(j *job, counts func(step int) bool) time.Duration {
	var buffer [16]time.Duration
	end := buffer[:0]
	longest := time.Duration(0)
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		at := time.Duration(0)
		for _, d := range spec.After {
			at = max(at, end[d])
		}
		if counts(i) {
			at += s.expectedDuration(j, spec)
		}
		end = append(end, at)
		longest = max(longest, at)
	}
	return longest
}
