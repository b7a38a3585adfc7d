package scheduler

import (
	"slices"
	"time"
)

// RemovableJobs returns up to limit jobs that ended longer than keep ago and whose end is
// durable. They stay known until DropJobs.
func (s *Scheduler) RemovableJobs(now Time, keep time.Duration, limit int) []string {
	var ended []string
	for id, j := range s.jobs {
		if j.state.Final() && j.durableState == j.state && now-j.endedAt > keep {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	return ended[:min(len(ended), limit)]
}

// DropJobs forgets jobs that are no longer in the store.
func (s *Scheduler) DropJobs(ids []string) {
	for _, id := range ids {
		delete(s.jobs, id)
	}
}
