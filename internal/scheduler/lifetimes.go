package scheduler

import "time"

// recentRunDuration is how long a run counts as recent after its start was confirmed. A
// task that ends its VM as it begins has done so by then.
const recentRunDuration = time.Second

// minLifetime returns how long the run is known to have run.
func (r *run) minLifetime() time.Duration {
	if r.confirmedAt == 0 {
		return 0
	}
	return max(0, r.listedAt-r.confirmedAt)
}

// maxLifetime returns the longest that the run can have run if its VM has ended.
func (r *run) maxLifetime(now Time) time.Duration {
	until := now
	if r.vm.firstUnansweredAt > 0 {
		until = r.vm.firstUnansweredAt
	}
	return max(0, until-r.orderedAt)
}

// isRecent reports whether the run is not known to have run for recentRunDuration.
func (r *run) isRecent() bool { return r.minLifetime() < recentRunDuration }

func (v *vm) recentRuns() int {
	n := 0
	for _, r := range v.runList {
		if r.isRecent() {
			n++
		}
	}
	return n
}

// recordAlive records that a VM still lists the run. A run that is no longer recent did
// not end its VM, which clears the task's crashes.
func (s *Scheduler) recordAlive(now Time, r *run) {
	r.listedAt = now
	s.clearCrash(r.task, r.number)
	if !r.isRecent() {
		s.clearCrashes(now, r.task)
		s.endTrial(r)
	}
}
