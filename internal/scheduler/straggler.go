package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler/runtimes"
)

// Some VMs run all tasks several times slower than others, or make no progress on some, while
// reporting that they are healthy. They are detected by comparing the progress of their runs with
// that of sibling runs in the same step, since declared durations may be off by a factor of two.

const (
	// stallTimeout is how long a run at full pace may make no progress: the time of two reports,
	// in which a run of a few seconds progresses by tens of percent.
	stallTimeout = 1600 * time.Millisecond
	// minStallPace is the pace from which lack of progress is not explained by the pace alone.
	minStallPace = 50
	// minRateDuration is the minimum time of observation for a progress rate.
	minRateDuration = 900 * time.Millisecond
	// minPeers is the minimum number of other runs for a comparison of rates.
	minPeers = 2
	// minCrawlingRuns is the minimum number of crawling runs, which must also be the majority of
	// the runs observed so far on the VM, for the VM to become suspect.
	minCrawlingRuns = 2
	// minRelocateGain is the minimum ratio of a run's remaining time here to the full time
	// elsewhere for a relocation.
	minRelocateGain = 1.5
	// crawlFactor is the ratio of the siblings' rate to that of a run from which the run crawls.
	// The work of a step's tasks differs by a factor of up to two, and the rate of fillers by
	// what the VMs leave them; slow VMs are slower by a factor of four or more.
	crawlFactor = 3.0
	// copyDelay is how much longer than its hold's wait a VM may be unreachable before copies of
	// its runs start elsewhere, if the step allows copies.
	copyDelay = 700 * time.Millisecond
)

// recordProgress records the progress in a report, before its checkpoint is.
func (r *run) recordProgress(now Time, st *batch.RunStatus) {
	progress := st.Progress
	if st.Checkpoint != "" && st.Checkpoint != r.checkpoint {
		r.checkpointProgress = progress
	}
	if r.firstProgressAt == 0 {
		r.firstProgressAt, r.firstProgress = now, progress
	}
	if progress != r.progress || r.progressAt == 0 {
		r.progressAt = now
	}
	r.progress = progress
}

// progressRate is the run's progress in percent per second, or 0 if it is not known yet.
func (r *run) progressRate(now Time) float64 {
	observed := now - r.firstProgressAt
	if r.firstProgressAt == 0 || observed < minRateDuration {
		return 0
	}
	return float64(r.progress-r.firstProgress) / observed.Seconds()
}

// isUnthrottled reports whether the run's pace does not explain a lack of progress.
func (r *run) isUnthrottled() bool {
	return r.state == running && (!r.task.step.spec.Filler || r.orderedPace >= minStallPace)
}

// siblingRate returns the mean rate of the step's runs on other VMs, including completed ones,
// and their number.
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

// recordDoneRate adds the rate of a completed run to its step's mean.
func (s *Scheduler) recordDoneRate(now Time, r *run) {
	known := r.firstProgress == 0
	if s.policy.Stragglers != runtimes.WayRate {
		known = r.ranAtOwnSpeed()
	}
	if took := now - r.confirmedAt; r.confirmedAt > 0 && took > 0 && r.orderedPace >= 100 && known {
		r.task.step.doneRateSum += 100 / took.Seconds()
		r.task.step.doneRuns++
	}
}

// rescueStragglers relocates the tasks whose runs on the VM make no progress or crawl.
func (s *Scheduler) rescueStragglers(now Time, v *vm) {
	if !s.policy.Rescue {
		return
	}
	checked, crawling := 0, 0
	for _, r := range v.runList {
		spec := r.task.step.spec
		if spec.Lasting || spec.Gang || !r.isUnthrottled() || r.progressAt == 0 {
			continue
		}
		checked++
		switch {
		case now-max(r.progressAt, r.paceOrderedAt) > stallTimeout:
			s.suspectVM(now, v, "stalled runs", r)
			s.relocate(now, r, ReasonStalled)
		case s.policy.Stragglers != runtimes.WayRate:
			s.reviewSlowRun(now, r)
		case s.isCrawling(now, r) && !s.isLong(now, r):
			crawling++
			if s.relocate(now, r, ReasonSlow) {
				s.recordSlowRun(now, r)
			}
			if crawling >= minCrawlingRuns && 2*crawling > checked {
				s.suspectVM(now, v, "slow runs", r)
			}
		}
	}
}

// isCrawling reports whether the rest of the run takes much longer here than the whole run
// elsewhere.
func (s *Scheduler) isCrawling(now Time, r *run) bool {
	if r.task.step.spec.Filler {
		// Its rate depends on the processors that other tasks leave, not on the speed of the VM.
		return false
	}
	rate := r.progressRate(now)
	mean, n := r.task.step.siblingRate(now, r)
	if rate <= 0 || n < minPeers || rate*crawlFactor > mean {
		return false
	}
	return float64(100-r.progress)/rate > minRelocateGain*100/mean
}

// isLong reports whether a crawling run's task is long rather than its VM slow: the task crawled
// before, and no other task's run crawls on this VM.
func (s *Scheduler) isLong(now Time, r *run) bool {
	if r.task.slowOn == "" {
		return false
	}
	for _, o := range r.vm.runList {
		if o != r && !o.task.step.spec.Lasting && o.isUnthrottled() && s.isCrawling(now, o) {
			return false
		}
	}
	return true
}

func (s *Scheduler) suspectVM(now Time, v *vm, reason string, r *run) {
	if v.health.recordStall(now) {
		s.logf(Decision{Event: EventVMSuspected, VM: v.inst.ID, Task: r.task.id(), Run: r.number, Reason: reason, Age: v.health.quarantine, Value: r.progressRate(now)})
	}
}

// relocate moves a run's task: it starts a copy if the step allows copies, else it stops the run
// so that the task restarts elsewhere. It reports whether it did.
func (s *Scheduler) relocate(now Time, r *run, reason string) bool {
	if r.task.step.spec.Speculative {
		return s.startCopy(now, r.task, reason)
	}
	if s.chooseVM(now, r.task) == nil {
		return false
	}
	s.stop(now, r, reason)
	return true
}

// startCopy starts a second run of a task whose first run may not end soon. It reports whether it
// did.
func (s *Scheduler) startCopy(now Time, t *task, reason string) bool {
	if len(t.runs) != 1 || t.done || t.step.occ.job.state.Final() || len(t.crashes) > 0 {
		// A task that may have crashed its VM must not put another VM at risk.
		return false
	}
	v := s.chooseVM(now, t)
	if v == nil || v == t.runs[0].vm {
		return false
	}
	s.logf(Decision{Event: EventRunCopied, Task: t.id(), VM: v.inst.ID, Run: t.runs[0].number, Reason: reason})
	t.copyRun, t.copiedAt, t.copyReason = s.start(now, t, v, s.nextRunNumber()).number, now, reason
	return true
}

// Reasons of copies and stops.
const (
	// ReasonSlow: the run is slower than its siblings.
	ReasonSlow = "slow"
	// ReasonStalled: the run makes no progress.
	ReasonStalled = "stalled"
	// ReasonUnheard: its VM does not report.
	ReasonUnheard = "VM unheard"
)

// copyUnreachable starts copies of the runs on a VM that has not reported recently.
func (s *Scheduler) copyUnreachable(now Time, v *vm) {
	if !s.policy.Copies || now-v.lastReportAt <= v.holdWait+copyDelay {
		return
	}
	for _, r := range v.runList {
		if r.task.step.spec.Speculative {
			s.startCopy(now, r.task, ReasonUnheard)
		}
	}
}

// recordStall records a run that makes no or little progress for no reason of its own, and
// quarantines the VM unless it already is quarantined.
func (h *health) recordStall(now Time) bool {
	if now < h.avoidUntil {
		return false
	}
	h.quarantine = min(max(2*h.quarantine, initialQuarantine), maxQuarantine)
	h.avoidUntil = now + h.quarantine
	h.probing = true
	return true
}
