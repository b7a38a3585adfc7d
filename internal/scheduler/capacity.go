package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// The capacity of a VM may change while tasks run on it; its entry in the list of VMs shows the
// change. A VM that guards its capacity refuses starts that exceed it. One that does not guard it
// accepts them, all its runs suffer, and the leader gets no error. Starts that were decided
// before the change was known are therefore checked again before they are sent. VMs that do not
// guard their capacity get no starts while the list has not been read, or the VM has not updated
// its entry, for some time.

// listMaxAge is the maximum age of the list of VMs for starts on VMs that do not guard their
// capacity. The list is read twice a second, and one or two reads may fail.
const listMaxAge = 2 * time.Second

// updateUnguarded records whether any pool has VMs that do not guard their capacity. Usually
// there are none, and the checks of single VMs are skipped.
func (s *Scheduler) updateUnguarded() {
	s.hasUnguardedPools = false
	for _, pool := range s.config.Pools {
		s.hasUnguardedPools = s.hasUnguardedPools || !pool.GuardsCapacity
	}
}

// guardsCapacity reports whether the VM refuses starts that exceed its capacity.
func (s *Scheduler) guardsCapacity(v *vm) bool {
	pool, known := s.config.Pools[v.inst.Pool]
	return !known || pool.GuardsCapacity
}

// mayExceedCapacity reports whether a start might exceed the capacity of a VM that does not guard
// it: current runs, including those being stopped, exceed it already, or the capacity is
// outdated.
func (s *Scheduler) mayExceedCapacity(now Time, v *vm) bool {
	return s.hasUnguardedPools && !s.guardsCapacity(v) && (v.inst.Stale || now-s.listReadAt > listMaxAge || exceeds(v.used, v.inst.Capacity))
}

func exceeds(used, capacity batch.Resources) bool {
	return used.MilliCPU > capacity.MilliCPU || used.MemoryMB > capacity.MemoryMB || used.Accelerators > capacity.Accelerators
}

// recordCapacity processes a change of the VM's capacity.
func (s *Scheduler) recordCapacity(v *vm, before batch.Resources) {
	if v.inst.Capacity == before {
		return
	}
	s.planNeeded = true
	v.tailsStale = true
	s.logf(Decision{Event: EventVMResized, VM: v.inst.ID, Reason: "was " + before.String(), Value: float64(v.inst.Capacity.MilliCPU)})
}

// dropStart revokes an ordered start that is certainly not sent. The other members of a gang are
// stopped, since they would wait for it forever.
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
