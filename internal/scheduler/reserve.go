package scheduler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Lasting tasks hold their processors for minutes. Where more of them come than
// there is room for, they fill every gap as it opens, and short tasks that may
// not share processors find none: they wait while they could have run a hundred
// times. A part of the processors is therefore kept from lasting tasks, sized by
// what short tasks use. It is kept on one VM in three: a third of the room on each
// would be too narrow for a short task of four processors.

const (
	// initialReserve is the share kept before anything is known.
	initialReserve = 0.05
	// reservePeakRatio is the ratio of the kept share to the mean use: arrivals come
	// in bursts.
	reservePeakRatio = 1.0
	// reserveRiseTime and reserveFallTime are the time constants of the mean.
	reserveRiseTime = 2 * time.Second
	reserveFallTime = 15 * time.Second
)

// reserve follows the use of short tasks.
type reserve struct {
	// use is the mean share of all processors that short tasks use or wait for.
	use         float64
	updatedAt   Time
	initialized bool
}

// isShort reports whether a step's tasks hold processors of their own for a while only.
func isShort(spec *batch.Step) bool { return !spec.Lasting && !spec.Filler }

// update takes the share of now into the mean.
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

// share is the part of all processors that lasting tasks leave free, at most so much:
// lasting work is not to be crowded out.
func (r *reserve) share(most float64) float64 { return min(reservePeakRatio*r.use, most) }

// crowdedShare is the share of all processors declared by lasting and short tasks from
// which the fleet counts as crowded: below half of it in use nobody may be left waiting.
const crowdedShare = 0.6

// updateShortUse measures what short tasks use and wait for, whether the fleet is crowded,
// and how many VMs serve nothing.
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

// keepsReserve reports whether the VM is one that keeps a reserve.
func (v *vm) keepsReserve(on int) bool { return xxhash.Sum64String(v.inst.ID)%uint64(on) == 0 }

// leavesReserve reports whether a lasting task leaves the VM's reserve free, or need not
// because it ran before or has waited for long: when a VM dies, what it ran has to be
// at work again within nine seconds, and its lease takes eight of them.
func (s *Scheduler) leavesReserve(now Time, v *vm, t *task, free batch.Resources) bool {
	if t.lastRunEnd > 0 || now-t.step.runnableAt > milliseconds(s.policy.ReservePatienceMS) || !v.keepsReserve(s.policy.ReserveOn) {
		return true
	}
	left := float64(free.MilliCPU - t.step.spec.Need.MilliCPU)
	return left >= float64(s.policy.ReserveOn)*s.reserve.share(s.policy.ReserveMost)*float64(v.inst.Capacity.MilliCPU)
}
