package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// The capacity of a VM may shrink while tasks run there, and grow again; its entry on the
// list tells. A VM that guards its capacity refuses what does not fit. One that does not
// begins it, and all that runs there suffers: the leader notices nothing. What was decided
// before the list told is therefore looked at again before the order is given, and where
// the list has not been read, or the VM has not written there, for some time, such VMs get
// nothing new.

// listMaxAge is how old the list of VMs may be for work to be given to VMs that do not guard
// their capacity: it is read twice a second, and a call or two may fail.
const listMaxAge = 2 * time.Second

// updateUnguarded notes whether there are VMs that do not guard their capacity: mostly there are
// none, and no VM need be looked at.
func (s *Scheduler) updateUnguarded() {
	s.hasUnguardedPools = false
	for _, pool := range s.config.Pools {
		s.hasUnguardedPools = s.hasUnguardedPools || !pool.GuardsCapacity
	}
}

// guardsCapacity reports whether the VM refuses what it has no room for.
func (s *Scheduler) guardsCapacity(v *vm) bool {
	pool, known := s.config.Pools[v.inst.Pool]
	return !known || pool.GuardsCapacity
}

// mayExceedCapacity reports whether a start might bring a VM that does not guard its capacity
// over it: more is in use already, by runs that are being stopped as well, or what it has
// is not known any more.
func (s *Scheduler) mayExceedCapacity(now Time, v *vm) bool {
	return s.hasUnguardedPools && !s.guardsCapacity(v) && (v.inst.Stale || now-s.listReadAt > listMaxAge || exceeds(v.used, v.inst.Capacity))
}

func exceeds(used, capacity batch.Resources) bool {
	return used.MilliCPU > capacity.MilliCPU || used.MemoryMB > capacity.MemoryMB || used.Accelerators > capacity.Accelerators
}

// recordCapacity takes a changed capacity into account.
func (s *Scheduler) recordCapacity(v *vm, before batch.Resources) {
	if v.inst.Capacity == before {
		return
	}
	s.planNeeded = true
	v.tailsStale = true
	s.logf(Decision{Event: EventVMResized, VM: v.inst.ID, Reason: "was " + before.String(), Value: float64(v.inst.Capacity.MilliCPU)})
}

// dropStart takes back a start that was ordered and is certainly not given. The other
// members of a gang would wait for it in vain.
func (s *Scheduler) dropStart(now Time, r *run, reason string) {
	t := r.task
	s.logf(Decision{Event: EventRunNotBegun, Task: t.id(), VM: r.vm.inst.ID, Run: r.number, Reason: reason, Age: now - r.orderedAt})
	s.clearCrash(t, r.number)
	s.detachRun(now, r)
	if !t.step.spec.Gang {
		return
	}
	for k := range t.step.tasks {
		s.stopRuns(now, &t.step.tasks[k], "gang not begun")
	}
}
