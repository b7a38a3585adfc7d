package scheduler

import (
	"slices"
	"time"
)

// RemovableJobs returns jobs whose end the store has for longer than keep, at most so many.
// They stay known until they are dropped.
func (s *Scheduler) RemovableJobs(now Time, keep time.Duration, most int) []string {
	var ended []string
	for id, j := range s.jobs {
		if j.state.Final() && j.durableState == j.state && now-j.endedAt > keep {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	return ended[:min(len(ended), most)]
}

// DropJobs forgets jobs that are no longer in the store.
func (s *Scheduler) DropJobs(ids []string) {
	for _, id := range ids {
		delete(s.jobs, id)
	}
}
