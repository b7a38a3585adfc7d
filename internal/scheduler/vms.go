package scheduler

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// unresponsiveMargin is how much longer than a hold's wait an instance may go without a report
// before it gets no new work and no longer leases: a call travels for a few milliseconds, and a
// lost packet is resent within 0.3 s.
const unresponsiveMargin = 900 * time.Millisecond

// isUnresponsive reports whether the instance's last report is too old for it to be given work.
func (v *vm) isUnresponsive(now Time) bool { return now-v.lastReportAt > v.holdWait+unresponsiveMargin }

// SetInstances applies the store's list.
func (s *Scheduler) SetInstances(now Time, list []batch.Instance) {
	s.listReadAt = now
	listed := make(map[string]bool, len(list))
	for i := range list {
		if s.lacksBirth(&list[i]) {
			continue
		}
		listed[list[i].ID] = true
		s.setInstance(now, list[i])
	}
	for _, v := range s.vmList {
		if v.listed && !listed[v.inst.ID] {
			v.listed = false
			v.unlistedAt = now
			s.logf(v.lifecycleDecision(now, EventVMUnlisted, ""))
		}
	}
}

// lacksBirth reports whether an entry has no birth although the VM reports one. Such an entry is
// another writer's: it says nothing about the VM, which counts as unlisted, and its address may be
// another VM's.
func (s *Scheduler) lacksBirth(inst *batch.Instance) bool {
	v := s.vms[inst.ID]
	return v != nil && v.born != 0 && inst.Born == 0
}

func (s *Scheduler) setInstance(now Time, inst batch.Instance) {
	v := s.vms[inst.ID]
	if v == nil {
		v = s.addVM(now, inst)
		s.logf(Decision{Event: EventVMListed, VM: inst.ID, Reason: inst.Zone, Value: float64(inst.Capacity.MilliCPU)})
		s.planNeeded = true
	}
	if inst.Draining && !v.inst.Draining {
		s.logf(Decision{Event: EventVMDraining, VM: inst.ID, Age: inst.Remaining})
	}
	if !v.listed || inst.Born != v.inst.Born || inst.Draining != v.inst.Draining || inst.Stale != v.inst.Stale {
		s.planNeeded = true
	}
	before := v.inst.Capacity
	v.listed = true
	v.inst = inst
	s.updateEvacuated(v)
	s.recordCapacity(v, before)
}

// AddUnlisted adds an instance that earlier leaders used and that is off the list. It gets holds
// like the others, since it may only have lost its connection to the store.
func (s *Scheduler) AddUnlisted(now Time, inst batch.Instance) {
	if s.vms[inst.ID] != nil {
		return
	}
	s.addVM(now, inst).unlistedAt = now
}

func (s *Scheduler) addVM(now Time, inst batch.Instance) *vm {
	v := s.newVM(now, inst)
	v.token, v.fenced = s.fence, true
	s.vms[inst.ID] = v
	s.sortVMs()
	return v
}

func (s *Scheduler) newVM(now Time, inst batch.Instance) *vm {
	v := &vm{inst: inst, initiallyStale: inst.Stale, runs: map[batch.TaskID]*run{}, fillerPaceCap: fullPace, lastReportAt: now}
	s.updateEvacuated(v)
	return v
}

// sortVMs keeps the VMs in a fixed order, so that equal inputs give equal plans.
func (s *Scheduler) sortVMs() {
	s.vmList = s.vmList[:0]
	for _, v := range s.vms {
		s.vmList = append(s.vmList, v)
	}
	sort.Slice(s.vmList, func(i, k int) bool { return s.vmList[i].inst.ID < s.vmList[k].inst.ID })
}

// AwaitedInstances returns the instances that are still awaited, by ID.
func (s *Scheduler) AwaitedInstances() []string { return slices.Sorted(maps.Keys(s.awaitedVMs)) }

// RecordedInstances returns, by ID, the instances that a successor has to reach or wait for:
// those that may be given work, and those where a lease may still be valid. An unlisted instance
// whose lease has expired is left out, or a successor would wait for it in vain.
func (s *Scheduler) RecordedInstances(now Time) map[string]batch.Instance {
	out := make(map[string]batch.Instance, len(s.vms))
	for id, v := range s.vms {
		if v.listed || len(v.runs) > 0 || now <= s.vmLeaseExpiry(v) || s.isAwaited(id) {
			out[id] = v.inst
		}
	}
	return out
}

// Instance returns a VM as orders address it; its Born is that of the reporting incarnation. ok
// is false if the VM is unknown.
func (s *Scheduler) Instance(id string) (inst batch.Instance, ok bool) {
	v := s.vms[id]
	if v == nil {
		return inst, false
	}
	inst = v.inst
	inst.Born = v.born
	return inst, true
}

// Instances returns the instances to send holds to, by ID.
func (s *Scheduler) Instances() map[string]batch.Instance {
	out := make(map[string]batch.Instance, len(s.vms))
	for id, v := range s.vms {
		out[id] = v.inst
	}
	return out
}

// lifecycleDecision returns a log line on a VM's lifecycle with the status of its lease. Value is
// the number of its runs.
func (v *vm) lifecycleDecision(now Time, event, reason string) Decision {
	d := Decision{Event: event, VM: v.inst.ID, Reason: reason, Value: float64(len(v.runs)), RecentRuns: v.recentRuns(), SinceReport: now - v.lastReportAt}
	if v.leaseExpiry > 0 {
		d.LeaseLeft = v.leaseExpiry - now
	}
	return d
}

// reasonUnlisted is the reason for removing an unlisted instance that certainly runs nothing. It
// may be alive.
const reasonUnlisted = "unlisted"

// RemoveReplaced removes a VM at whose address another VM responds: the incarnation that was
// there, as returned by Instance, has ended. A later one may be at another address.
func (s *Scheduler) RemoveReplaced(now Time, inst *batch.Instance) {
	if v := s.vms[inst.ID]; v != nil && v.matchesBirth(inst.Born) && v.inst.Address == inst.Address {
		s.RemoveInstance(now, inst.ID, "another instance answers")
	}
}

// RemoveInstance removes an instance that has certainly ended, or that runs nothing.
func (s *Scheduler) RemoveInstance(now Time, id, reason string) {
	awaited := s.isAwaited(id)
	delete(s.awaitedVMs, id)
	v := s.vms[id]
	if v == nil {
		return
	}
	s.logf(v.lifecycleDecision(now, EventVMGone, reason))
	if reason == reasonUnlisted {
		// Its unconfirmed crashes stay recorded as such.
		delete(s.unconfirmedCrashes, v.incarnation())
	} else {
		s.handleVMEnd(now, v, awaited)
		s.resolveEndedVM(now, v)
	}
	s.dropRuns(now, v, reason)
	delete(s.vms, id)
	s.sortVMs()
	s.planNeeded = true
}

// dropRuns treats all runs on v as ended.
func (s *Scheduler) dropRuns(now Time, v *vm, reason string) {
	s.clearUnwanted(v)
	for _, r := range v.runList {
		s.dropRun(now, r, reason)
	}
}

// dropRun treats a run as ended although no end was reported.
func (s *Scheduler) dropRun(now Time, r *run, reason string) {
	s.logf(Decision{
		Event: EventRunLost, Task: r.task.id(), VM: r.vm.inst.ID, Run: r.number, Reason: reason, Age: now - r.orderedAt,
		MinLifetime: r.minLifetime(), MaxLifetime: r.maxLifetime(now), SinceReport: now - r.vm.lastReportAt, LeaseLeft: s.runExpiry(r) - now,
	})
	s.releaseLostRun(now, r)
}

// maxAckDelay is how long after a report its ends may be acknowledged. A later incarnation that
// receives the acknowledgement would forget ends of its own that it has not reported; within this
// time it can't have begun and ended a run. The client of the VMs ensures that an acknowledgement
// is not delayed on its way for longer.
const maxAckDelay = 500 * time.Millisecond

// Hold returns the order that renews an instance's lease, given that it is sent now. While the
// last hold is unanswered the lease is not renewed, so that it can expire and its runs can be
// restarted elsewhere. Nor are ends acknowledged, since another incarnation may respond.
func (s *Scheduler) Hold(now Time, id string, wait time.Duration) (batch.HoldOrder, bool) {
	v := s.vms[id]
	if v == nil {
		return batch.HoldOrder{}, false
	}
	v.holdWait = wait
	o := batch.HoldOrder{Fence: v.token, Acked: v.ackableSeq(), Wait: wait}
	if v.mayRestart() && (v.holdUnanswered || now-v.lastReportAt > maxAckDelay) {
		o.Acked = 0
	}
	if v.clock.known && !v.holdUnanswered {
		o.LeaseUntil = v.renew(now, s.settings.leaseFor(v))
	}
	v.holdUnanswered, v.lastHoldToken = true, v.token
	return o, true
}

// HasUnackedEnds reports whether an instance has reported ends that may not be acknowledged yet,
// since their effects are not durable.
func (s *Scheduler) HasUnackedEnds(id string) bool {
	v := s.vms[id]
	return v != nil && v.processedSeq > v.ackableSeq()
}

// Tick performs the work that is due by time alone; call it before each plan.
func (s *Scheduler) Tick(now Time) {
	s.logLoad(now)
	s.logInterference(now)
	s.logSpeeds(now)
	s.expireAwaited(now)
	s.expireAbsentJobs(now)
	s.classifyEnds(now)
	for _, v := range slices.Clone(s.vmList) {
		s.tickVM(now, v.inst.ID, v)
	}
}

// logInterference logs the learned interference every interferenceLogInterval.
func (s *Scheduler) logInterference(now Time) {
	if now-s.interferenceLoggedAt > interferenceLogInterval && len(s.images.slopesByServing) > 0 {
		s.interferenceLoggedAt = now
		s.logf(Decision{Event: EventInterference, Reason: s.images.describe()})
	}
}

// tickVM copies the runs of an unreported instance where that is allowed, treats them as ended
// once its lease has expired, moves lasting tasks off a draining instance, and removes an unlisted one that
// runs nothing.
func (s *Scheduler) tickVM(now Time, id string, v *vm) {
	s.copyUnreachable(now, v)
	if v.hasReported && now > v.leaseExpiry {
		s.expireLeases(now, v)
	}
	if v.inst.Draining && v.listed && v.entryMatchesIncarnation() && s.policy.MoveOffDraining {
		s.moveOffDraining(now, v)
	}
	if !v.listed && len(v.runs) == 0 && now-v.unlistedAt > unlistedRetention && now > s.vmLeaseExpiry(v) && !s.isAwaited(id) {
		expiredRun := v.maxExpiredRun
		s.RemoveInstance(now, id, reasonUnlisted)
		if expiredRun > 0 {
			s.retainExpiredLease(id, ExpiredLease{Run: expiredRun, Born: v.born})
		}
	}
}

// moveOffDraining moves lasting tasks off a draining VM, one task of a step at a time. Each is
// away only for its stop and its startup, not until the VM has left.
func (s *Scheduler) moveOffDraining(now Time, v *vm) {
	for _, r := range v.runList {
		if r.task.step.spec.Lasting {
			s.moveLasting(now, r)
		}
	}
}

// interferenceLogInterval is how often the learned interference is logged.
const interferenceLogInterval = 5 * time.Second
