package scheduler

import "time"

// newFor is how long after its start was confirmed a run counts as new: what ends its VM
// as it begins has done so by then.
const newFor = time.Second

// lived is how long the run is known to have run.
func (r *run) lived() time.Duration {
	if r.confirmedAt == 0 {
		return 0
	}
	return max(0, r.listedAt-r.confirmedAt)
}

// livedAtMost is the longest that the run can have run, if its VM has ended.
func (r *run) livedAtMost(now Time) time.Duration {
	until := now
	if r.vm.unansweredAt > 0 {
		until = r.vm.unansweredAt
	}
	return max(0, until-r.orderedAt)
}

// isNew reports whether the run is not known to have lived for newFor.
func (r *run) isNew() bool { return r.lived() < newFor }

func (v *vm) newRuns() int {
	n := 0
	for _, r := range v.ordered {
		if r.isNew() {
			n++
		}
	}
	return n
}

// noteAlive notes that a VM has the run still. One that has lived for newFor has not ended
// its VM.
func (s *Scheduler) noteAlive(now Time, r *run) {
	r.listedAt = now
	s.clearCrash(r.task, r.number)
	if !r.isNew() {
		s.clearCrashes(now, r.task)
		s.endTrial(r)
	}
}
