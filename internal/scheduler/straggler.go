package scheduler

import "time"

// Some VMs run everything several times slower than others, and on some tasks
// stand still, while the VM calls itself healthy. The runs tell: their progress
// is compared with that of their siblings in the step, since what was declared
// may be off by a factor of two.

const (
	// stallAfter is how long a run at full pace may show no progress at all:
	// two reports, during which a run of seconds gains tens of percent.
	stallAfter = 1600 * time.Millisecond
	// stallPace is the pace from which a filler that stands still is not just
	// slowed by order.
	stallPace = 50
	// rateAfter is how long a run has to be watched before its rate counts.
	rateAfter = 900 * time.Millisecond
	// leastPeers is how many other runs make a comparison of rates.
	leastPeers = 2
	// leastCrawling is how many runs have to crawl, and be the larger part of
	// those on the VM, before the VM is blamed.
	leastCrawling = 2
	// moveGain is how many times longer the rest of a run has to take here than
	// the whole of it elsewhere, before it is moved.
	moveGain = 1.5
	// crawlFactor is how many times slower than its siblings a run has to be.
	// The tasks of a step differ by a factor of up to two in their work, and
	// fillers by what the VMs leave them; slow VMs are four times slower or more.
	crawlFactor = 3.0
	// copySlack is how much longer than a hold waits a VM may be unheard before
	// copies of what it runs start elsewhere, where the step allows copies.
	copySlack = 700 * time.Millisecond
)

// follow takes a report of the run's progress in.
func (r *run) follow(now Time, progress int) {
	if r.firstProgressAt == 0 {
		r.firstProgressAt, r.firstProgress = now, progress
	}
	if progress != r.progress || r.progressAt == 0 {
		r.progressAt = now
	}
	r.progress = progress
}

// rate is the run's progress in percent a second, 0 when it is not known yet.
func (r *run) rate(now Time) float64 {
	watched := now - r.firstProgressAt
	if r.firstProgressAt == 0 || watched < rateAfter {
		return 0
	}
	return float64(r.progress-r.firstProgress) / watched.Seconds()
}

// unhindered reports whether the run works at full pace.
func (r *run) unhindered() bool {
	return r.state == running && (!r.task.step.spec.Filler || r.orderedPace >= stallPace)
}

// siblings is the mean rate of the step's other runs, done ones included, and
// how many there are.
func (st *step) siblings(now Time, except *run) (mean float64, n int) {
	sum := st.doneRateSum
	n = st.doneRuns
	for k := range st.tasks {
		for _, r := range st.tasks[k].runs {
			if r == except || r.vm == except.vm || !r.unhindered() {
				continue
			}
			if rate := r.rate(now); rate > 0 {
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

// noteDone takes the rate of a run that is done into its step's mean.
func (r *run) noteDone(now Time) {
	if took := now - r.confirmedAt; r.confirmedAt > 0 && took > 0 && r.orderedPace >= 100 && r.firstProgress == 0 {
		r.task.step.doneRateSum += 100 / took.Seconds()
		r.task.step.doneRuns++
	}
}

// rescue looks for runs on a VM that stand still or crawl, and gives their tasks
// another place.
func (s *Scheduler) rescue(now Time, v *vm) {
	if !s.policy.Rescue {
		return
	}
	watched, crawling := 0, 0
	for _, r := range v.runList {
		spec := r.task.step.spec
		if spec.Lasting || spec.Gang || !r.unhindered() || r.progressAt == 0 {
			continue
		}
		watched++
		switch {
		case now-max(r.progressAt, r.paceOrderedAt) > stallAfter:
			s.suspect(now, v, "stalled runs", r)
			s.relocate(now, r, "stalled")
		case s.crawls(now, r):
			crawling++
			s.relocate(now, r, "slow")
			if crawling >= leastCrawling && 2*crawling > watched {
				s.suspect(now, v, "slow runs", r)
			}
		}
	}
}

// crawls reports whether the rest of the run takes much longer here than the
// whole of it elsewhere.
func (s *Scheduler) crawls(now Time, r *run) bool {
	if r.task.step.spec.Filler {
		// Its rate tells what the others leave, not how fast the VM is.
		return false
	}
	rate := r.rate(now)
	mean, n := r.task.step.siblings(now, r)
	if rate <= 0 || n < leastPeers || rate*crawlFactor > mean {
		return false
	}
	return float64(100-r.progress)/rate > moveGain*100/mean
}

func (s *Scheduler) suspect(now Time, v *vm, reason string, r *run) {
	if v.health.stalled(now) {
		s.logf(Decision{Event: EventVMSuspected, VM: v.inst.ID, Task: r.task.id(), Run: r.number, Reason: reason, Age: v.health.quarantine, Value: r.rate(now)})
	}
}

// relocate gives a run's task another place: a copy beside it where the step
// allows copies, else a new start after the run has stopped.
func (s *Scheduler) relocate(now Time, r *run, reason string) {
	if r.task.step.spec.Speculative {
		s.startCopy(now, r.task, reason)
		return
	}
	if s.choose(now, r.task) != nil {
		s.stop(now, r, reason)
	}
}

// startCopy starts a second run of a task whose first may not end soon.
func (s *Scheduler) startCopy(now Time, t *task, reason string) {
	if len(t.runs) != 1 || t.done || t.step.occ.job.state.Final() || len(t.crashes) > 0 {
		// A task that may have ended its VM is not to end another meanwhile.
		return
	}
	v := s.choose(now, t)
	if v == nil || v == t.runs[0].vm {
		return
	}
	s.logf(Decision{Event: EventRunCopied, Task: t.id(), VM: v.inst.ID, Run: t.runs[0].number, Reason: reason})
	s.start(now, t, v, s.number())
}

// copyUnheard starts copies of what a VM runs that has not been heard of late.
func (s *Scheduler) copyUnheard(now Time, v *vm) {
	if !s.policy.Copies || now-v.lastReportAt <= v.holdWait+copySlack {
		return
	}
	for _, r := range v.runList {
		if r.task.step.spec.Speculative {
			s.startCopy(now, r.task, "VM unheard")
		}
	}
}

// stalled notes a run that stands still or crawls without a cause of its own.
func (h *health) stalled(now Time) bool {
	if now < h.avoidUntil {
		return false
	}
	h.quarantine = min(max(2*h.quarantine, initialQuarantine), maxQuarantine)
	h.avoidUntil = now + h.quarantine
	h.probing = true
	return true
}
