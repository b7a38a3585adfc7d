package scheduler

import "time"

// Some VMs run everything several times slower than others, and on some tasks
// stand still, while the VM calls itself healthy. The runs tell: their progress
// is compared with that of their siblings in the step, since what was declared
// may be off by a factor of two.

const (
	// stallTimeout is how long a run at full pace may show no progress at all:
	// two reports, during which a run of seconds gains tens of percent.
	stallTimeout = 1600 * time.Millisecond
	// minStallPace is the pace from which a filler that stands still is not just
	// slowed by order.
	minStallPace = 50
	// minRateDuration is how long a run has to be watched before its rate counts.
	minRateDuration = 900 * time.Millisecond
	// minPeers is how many other runs make a comparison of rates.
	minPeers = 2
	// minCrawlingRuns is how many runs have to crawl, and be the larger part of
	// those on the VM, before the VM is blamed.
	minCrawlingRuns = 2
	// minRelocateGain is how many times longer the rest of a run has to take here than
	// the whole of it elsewhere, before it is moved.
	minRelocateGain = 1.5
	// crawlFactor is how many times slower than its siblings a run has to be.
	// The tasks of a step differ by a factor of up to two in their work, and
	// fillers by what the VMs leave them; slow VMs are four times slower or more.
	crawlFactor = 3.0
	// copyDelay is how much longer than a hold waits a VM may be unheard before
	// copies of what it runs start elsewhere, where the step allows copies.
	copyDelay = 700 * time.Millisecond
)

// recordProgress takes a report of the run's progress in.
func (r *run) recordProgress(now Time, progress int) {
	if r.firstProgressAt == 0 {
		r.firstProgressAt, r.firstProgress = now, progress
	}
	if progress != r.progress || r.progressAt == 0 {
		r.progressAt = now
	}
	r.progress = progress
}

// progressRate is the run's progress in percent a second, 0 when it is not known yet.
func (r *run) progressRate(now Time) float64 {
	watched := now - r.firstProgressAt
	if r.firstProgressAt == 0 || watched < minRateDuration {
		return 0
	}
	return float64(r.progress-r.firstProgress) / watched.Seconds()
}

// isUnthrottled reports whether the run works at full pace.
func (r *run) isUnthrottled() bool {
	return r.state == running && (!r.task.step.spec.Filler || r.orderedPace >= minStallPace)
}

// siblingRate is the mean rate of the step's other runs, done ones included, and
// how many there are.
func (st *step) siblingRate(now Time, except *run) (mean float64, n int) {
	sum := st.doneRateSum
	n = st.doneRuns
	for k := range st.tasks {
		for _, r := range st.tasks[k].runs {
			if r == except || r.vm == except.vm || !r.isUnthrottled() {
				continue
			}
			if rate := r.progressRate(now); rate > 0 {
				sum += rate
				n++
			}
		}
	}
	if n == 0 {
		return 0, 0
	}
	return sum / float64(n), n
}

// recordDoneRate takes the rate of a run that is done into its step's mean.
func (r *run) recordDoneRate(now Time) {
	if took := now - r.confirmedAt; r.confirmedAt > 0 && took > 0 && r.orderedPace >= 100 && r.firstProgress == 0 {
		r.task.step.doneRateSum += 100 / took.Seconds()
		r.task.step.doneRuns++
	}
}

// rescueStragglers looks for runs on a VM that stand still or crawl, and gives their tasks
// another place.
func (s *Scheduler) rescueStragglers(now Time, v *vm) {
	if !s.policy.Rescue {
		return
	}
	watched, crawling := 0, 0
	for _, r := range v.runList {
		spec := r.task.step.spec
		if spec.Lasting || spec.Gang || !r.isUnthrottled() || r.progressAt == 0 {
			continue
		}
		watched++
		switch {
		case now-max(r.progressAt, r.paceOrderedAt) > stallTimeout:
			s.suspectVM(now, v, "stalled runs", r)
			s.relocate(now, r, "stalled")
		case s.isCrawling(now, r):
			crawling++
			s.relocate(now, r, "slow")
			if crawling >= minCrawlingRuns && 2*crawling > watched {
				s.suspectVM(now, v, "slow runs", r)
			}
		}
	}
}

// isCrawling reports whether the rest of the run takes much longer here than the
// whole of it elsewhere.
func (s *Scheduler) isCrawling(now Time, r *run) bool {
	if r.task.step.spec.Filler {
		// Its rate tells what the others leave, not how fast the VM is.
		return false
	}
	rate := r.progressRate(now)
	mean, n := r.task.step.siblingRate(now, r)
	if rate <= 0 || n < minPeers || rate*crawlFactor > mean {
		return false
	}
	return float64(100-r.progress)/rate > minRelocateGain*100/mean
}

func (s *Scheduler) suspectVM(now Time, v *vm, reason string, r *run) {
	if v.health.recordStall(now) {
		s.logf(Decision{Event: EventVMSuspected, VM: v.inst.ID, Task: r.task.id(), Run: r.number, Reason: reason, Age: v.health.quarantine, Value: r.progressRate(now)})
	}
}

// relocate gives a run's task another place: a copy beside it where the step
// allows copies, else a new start after the run has stopped.
func (s *Scheduler) relocate(now Time, r *run, reason string) {
	if r.task.step.spec.Speculative {
		s.startCopy(now, r.task, reason)
		return
	}
	if s.chooseVM(now, r.task) != nil {
		s.stop(now, r, reason)
	}
}

// startCopy starts a second run of a task whose first may not end soon.
func (s *Scheduler) startCopy(now Time, t *task, reason string) {
	if len(t.runs) != 1 || t.done || t.step.occ.job.state.Final() || len(t.crashes) > 0 {
		// A task that may have ended its VM is not to end another meanwhile.
		return
	}
	v := s.chooseVM(now, t)
	if v == nil || v == t.runs[0].vm {
		return
	}
	s.logf(Decision{Event: EventRunCopied, Task: t.id(), VM: v.inst.ID, Run: t.runs[0].number, Reason: reason})
	s.start(now, t, v, s.nextRunNumber())
}

// copyUnreachable starts copies of what a VM runs that has not been heard of late.
func (s *Scheduler) copyUnreachable(now Time, v *vm) {
	if !s.policy.Copies || now-v.lastReportAt <= v.holdWait+copyDelay {
		return
	}
	for _, r := range v.runList {
		if r.task.step.spec.Speculative {
			s.startCopy(now, r.task, "VM unheard")
		}
	}
}

// recordStall notes a run that stands still or crawls without a cause of its own.
func (h *health) recordStall(now Time) bool {
	if now < h.avoidUntil {
		return false
	}
	h.quarantine = min(max(2*h.quarantine, initialQuarantine), maxQuarantine)
	h.avoidUntil = now + h.quarantine
	h.probing = true
	return true
}
