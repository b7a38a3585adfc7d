package scheduler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Lasting tasks hold their processors for minutes. When more of them arrive than fit, they occupy
// all capacity as it becomes free, and short tasks, which cannot share processors, wait for a
// time in which they could have run a hundred times. A part of the processors is therefore
// reserved for short tasks, sized by their recent use. One VM in three keeps the reserve: a third
// of it on every VM would be too small for a short task of four processors.

const (
	// initialReserve is the reserved share before any use is known.
	initialReserve = 0.05
	// reservePeakRatio is the ratio of the reserved share to the mean use, to allow for bursts of
	// arrivals.
	reservePeakRatio = 1.0
	// reserveRiseTime and reserveFallTime are the time constants of the mean.
	reserveRiseTime = 2 * time.Second
	reserveFallTime = 15 * time.Second
)

// reserve tracks the processor use of short tasks.
type reserve struct {
	// use is the mean share of all processors that short tasks use or wait for.
	use         float64
	updatedAt   Time
	initialized bool
}

// isShort reports whether a step's tasks need processors of their own for a limited time.
func isShort(spec *batch.Step) bool { return !spec.Lasting && !spec.Filler }

// update adds the current share to the mean.
func (r *reserve) update(now Time, use float64) {
	if !r.initialized {
		*r = reserve{use: initialReserve / reservePeakRatio, updatedAt: now, initialized: true}
	}
	constant := reserveFallTime
	if use > r.use {
		constant = reserveRiseTime
	}
	r.use += (use - r.use) * (1 - math.Exp(-float64(now-r.updatedAt)/float64(constant)))
	r.updatedAt = now
}

// share is the part of all processors to reserve, at most limit: reserves must not displace
// lasting tasks.
func (r *reserve) share(limit float64) float64 { return min(reservePeakRatio*r.use, limit) }

// crowdedShare is the share of all processors declared by lasting and short tasks from which the
// fleet counts as crowded. A fleet with less than half of its processors in use must not leave
// tasks waiting.
const crowdedShare = 0.6

// updateShortUse updates the demand of short tasks, whether the fleet is crowded, and the number
// of VMs without serving tasks.
func (s *Scheduler) updateShortUse(now Time) {
	capacity, use, held := 0.0, 0.0, 0.0
	s.reportedVMs, s.nonServingVMs = 0, 0
	for _, v := range s.vmList {
		if v.hasReported {
			capacity += float64(v.inst.Capacity.MilliCPU)
			use += float64(v.shortCPU)
			held += float64(v.used.MilliCPU)
			s.reportedVMs++
			if v.servingRuns == 0 {
				s.nonServingVMs++
			}
		}
	}
	for _, st := range s.readySteps {
		if isShort(st.spec) {
			use += float64(st.waiting) * float64(st.spec.Need.MilliCPU)
		}
	}
	if capacity > 0 {
		s.reserve.update(now, min(use/capacity, 1))
		s.crowded = held >= crowdedShare*capacity
	}
}

// keepsReserve reports whether the VM is the one in n that keeps a reserve.
func (v *vm) keepsReserve(n int) bool { return xxhash.Sum64String(v.inst.ID)%uint64(n) == 0 }

// leavesReserve reports whether a lasting task leaves the VM's reserve free, or may use it
// because it ran before or has waited for long. When a VM ends, its lasting tasks have to run
// again within nine seconds, and the expiry of its lease takes eight of them.
func (s *Scheduler) leavesReserve(now Time, v *vm, t *task, free batch.Resources) bool {
	if t.lastRunEnd > 0 || now-t.step.runnableAt > milliseconds(s.policy.ReservePatienceMS) || !v.keepsReserve(s.policy.ReserveOn) {
		return true
	}
	left := float64(free.MilliCPU - t.step.spec.Need.MilliCPU)
	return left >= float64(s.policy.ReserveOn)*s.reserve.share(s.policy.ReserveMost)*float64(v.inst.Capacity.MilliCPU)
}
