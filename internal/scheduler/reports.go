package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// holdResponseTimeout is how long after the end of its wait the response to a hold is
// still accepted. The call itself times out earlier unless the process was suspended.
const holdResponseTimeout = time.Second

// HandleReport processes an instance's report; its hold was sent at sentAt. It returns
// false for an unknown instance and for a report that is read too late because this
// process was suspended: the VM may have ended and restarted since, so the hold counts
// as failed.
func (s *Scheduler) HandleReport(now, sentAt Time, id string, rep batch.Report) bool {
	v := s.vms[id]
	if v == nil {
		return false
	}
	if now-sentAt > v.holdWait+holdResponseTimeout {
		s.HoldFailed(now, id, false)
		return false
	}
	if !v.matchesBirth(rep.Born) {
		v = s.handleRestart(now, sentAt, v, &rep)
	}
	if rep.Born != 0 {
		v.born = rep.Born
	}
	s.recordFenced(v)
	v.setClock(sentAt, now, rep.Clock)
	v.otherIncarnation = false
	if !v.hasReported {
		v.hasReported, v.firstReportAt = true, now
		// An earlier leader may have renewed the leases there until now, or have sent orders
		// meant for the previous incarnation.
		v.leaseExpiry = max(v.leaseExpiry, now+leaseExpiryDelay(s.settings.maxInitialLease(rep.Clock)))
		s.applyExpiredLease(v)
		s.endedUnreported = s.endedUnreported || (rep.Born != 0 && s.isAwaited(id) && s.settings.recentlyStarted(rep.Clock))
		s.planNeeded = true
		s.logf(Decision{Event: EventVMHeard, VM: id, Value: float64(len(rep.Running)), Born: rep.Born})
	}
	if now-v.lastReportAt > minReturnGap {
		s.planNeeded = true
	}
	v.lastReportAt = now
	if v.firstUnansweredAt > 0 {
		s.confirmAlive(now, v.incarnation())
	}
	v.holdUnanswered, v.firstUnansweredAt, v.unansweredHolds = false, 0, 0
	v.missingSince = 0
	if !rep.MoreEnded {
		delete(s.awaitedVMs, id)
	}
	s.processEnds(now, v, rep.Ended)
	clear(v.unknownRuns)
	s.clearUnwanted(v)
	listed := make(map[*run]bool, len(rep.Running))
	for i := range rep.Running {
		if r := s.processRunStatus(now, v, &rep.Running[i]); r != nil {
			listed[r] = true
		}
	}
	for _, r := range v.runList {
		if !listed[r] && !rep.MoreEnded {
			s.handleUnlistedRun(now, sentAt, r)
		}
	}
	s.resolveFromReport(now, v, &rep)
	s.resolveEarlierIncarnations(now, v)
	if !rep.MoreEnded {
		s.clearUnconfirmed(v.incarnation())
	}
	v.tailsStale = true
	s.observeTails(now, v)
	s.images.solve(now)
	s.updatePaces(now, v)
	s.rescueStragglers(now, v)
	return true
}

// minReturnGap is the gap between two reports of an instance after which its return
// triggers a plan.
const minReturnGap = 3500 * time.Millisecond

func (v *vm) setClock(sentAt, gotAt Time, value time.Duration) {
	if value > 0 {
		v.clock = clock{known: true, sentAt: sentAt, gotAt: gotAt, value: value}
	}
}

// processRunStatus updates a listed run and returns it, or nil if it should not run.
func (s *Scheduler) processRunStatus(now Time, v *vm, st *batch.RunStatus) *run {
	r := v.runs[st.Task]
	if r != nil && r.number == st.Run {
		if r.state == starting {
			r.confirmStart(now)
		}
	} else {
		r = s.adopt(now, v, st)
	}
	if r == nil {
		return nil
	}
	s.recordAlive(now, r)
	r.recordProgress(now, st)
	r.usage, r.hasUsage = st.Usage, st.HasUsage
	r.recordFullUse(now)
	if st.Checkpoint != "" {
		r.checkpoint = st.Checkpoint
		r.task.checkpoint = st.Checkpoint
	}
	return r
}

// adopt attaches a run that this leader did not start, or stops it.
func (s *Scheduler) adopt(now Time, v *vm, st *batch.RunStatus) *run {
	if s.jobUnresolved(st.Task.Job) {
		v.recordUnknownRun(st)
		s.recordUnknownJob(now, st.Task.Job)
		return nil
	}
	s.openReported(now, st.Task)
	t := s.task(st.Task)
	if t == nil || t.done || t.step.occ.job.state.Final() || (len(t.runs) > 0 && !t.step.spec.Speculative) || v.runs[st.Task] != nil {
		s.stopUnwanted(v, st)
		return nil
	}
	r := &run{task: t, vm: v, number: st.Run, state: running, orderedAt: now, confirmedAt: now, startSent: true, orderedPace: unknownPace}
	s.attachRun(r)
	t.step.occ.job.started = true
	s.logf(Decision{Event: EventRunAdopted, Task: st.Task, VM: v.inst.ID, Run: st.Run})
	return r
}

// task returns a task of an open occurrence, or nil.
func (s *Scheduler) task(id batch.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	o := j.occs[id.Occurrence]
	if o == nil || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return &o.steps[id.Step].tasks[id.Index]
}

// handleUnlistedRun declares a run lost that its VM lists neither as running nor as
// ended, if the report was requested after the VM had confirmed the run or its stop.
func (s *Scheduler) handleUnlistedRun(now, sentAt Time, r *run) {
	confirmed := r.state != starting && r.confirmedAt > 0 && r.confirmedAt < sentAt
	stopped := r.stopConfirmedAt > 0 && r.stopConfirmedAt < sentAt
	if !confirmed && !stopped {
		return
	}
	s.logf(Decision{Event: EventRunLost, Task: r.task.id(), VM: r.vm.inst.ID, Run: r.number, Reason: "not listed", Age: now - r.orderedAt, Born: r.vm.born, Acked: r.vm.ackableSeq()})
	if r.previousEnd != nil {
		// If any incarnation had the run, it was the previous one.
		s.removeUnconfirmed(r.vm.incarnation(), r.task)
		s.recordEarlierCrash(now, r, r.previousEnd)
	}
	s.releaseLostRun(now, r)
}

// releaseLostRun releases a run whose end was not reported.
func (s *Scheduler) releaseLostRun(now Time, r *run) {
	r.task.lostAt = now
	s.releaseRun(now, r)
}
