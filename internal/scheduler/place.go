package scheduler

import (
	"fmt"
	"math"
	"strings"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// fillerUseShare is the share of their declared processors that fillers use on
	// average.
	fillerUseShare = 0.9
	// fillerOvercommit is how much more than the rest fillers may declare on a VM
	// without tails to watch.
	fillerOvercommit = 1.2
	// mismatchPenalty is what a place away from the data costs in the score, where 1
	// is a whole VM's processors.
	mismatchPenalty = 2.0
	// sameRackBonus draws the tasks of one step to one rack.
	sameRackBonus = 2.0
	// tolerableEffect is the effect, as a logarithm, that is within the slopes' noise for
	// a tenth of a VM's processors.
	tolerableEffect = 0.05
	// negligibleEffect is the effect, as a logarithm, of a filler that may start beside
	// any serving task.
	negligibleEffect = 0.02
)

// chooseVM returns the best VM for a task, or nil.
func (s *Scheduler) chooseVM(now Time, t *task) *vm {
	var best *vm
	bestScore := 0.0
	rack := ""
	if t.step.spec.SameRack {
		rack = t.step.currentRack()
	}
	for _, v := range s.vmList {
		if !s.hasCapacity(now, v, t.step.spec) || s.placementObstacle(now, v, t) != obstacleNone {
			continue
		}
		score, ok := s.score(now, v, t.step.spec)
		if !ok {
			continue
		}
		if rack != "" && v.inst.Rack() == rack {
			score += sameRackBonus
		}
		if v.inst.ID == t.lastFailedOn {
			score -= mismatchPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = v, score
		}
		if s.policy.Placement == PlacementFirst {
			break
		}
	}
	return best
}

// isStarving reports whether a filler's job has had nothing running for so long that it
// starts beside others and takes its share of their processors.
func (s *Scheduler) isStarving(now Time, t *task) bool {
	st, after := t.step, milliseconds(s.policy.StarvedAfterMS)
	if s.crowded {
		after = milliseconds(s.policy.StarvedCrowdedMS)
	}
	return after > 0 && st.spec.Filler && !st.spec.Gang && st.occ.job.running == 0 && now-max(st.runnableAt, t.lastRunEnd) > after
}

// leastAffectedVM returns the VM with memory for a starving filler on which it
// presses least, or nil.
func (s *Scheduler) leastAffectedVM(now Time, t *task) *vm {
	var best *vm
	least := 0.0
	for _, v := range s.vmList {
		if o := s.placementObstacle(now, v, t); o != obstacleNone && o != obstacleLeftover {
			continue
		}
		p := s.pressure(now, v, t.step.spec.Image, t.step.spec.Need.MilliCPU)
		pressed := math.Exp(p.worst) + float64(v.fillerCPU)/v.capacityMilliCPU()
		if best == nil || pressed < least {
			best, least = v, pressed
		}
	}
	if best != nil {
		s.logf(Decision{Event: EventTaskStarved, Task: t.id(), VM: best.inst.ID, Age: now - t.step.runnableAt, Value: least})
	}
	return best
}

// currentRack is where a task of the step runs already, or "".
func (st *step) currentRack() string {
	for k := range st.tasks {
		for _, r := range st.tasks[k].runs {
			return r.vm.inst.Rack()
		}
	}
	return ""
}

// obstacle is why a VM may not be given a task now.
type obstacle int

// The obstacles. obstaclePressure is last: it is found with the score.
const (
	obstacleNone obstacle = iota
	obstacleUnreachable
	obstacleRestarted
	obstacleDraining
	obstaclePool
	obstacleSuspected
	obstaclePerVM
	obstacleTrial
	obstacleCapacity
	obstacleProcessor
	obstacleReserve
	obstacleMemory
	obstacleLeftover
	obstacleAdvice
	obstaclePressure
	obstacleCount
)

var obstacleNames = [obstacleCount]string{"none", "unheard", "restarted", "draining", "pool", "suspected", "per_vm", "trial", "capacity", "processor", "reserve", "memory", "leftover", "advice", "pressure"}

// maxUnackedEnds is how many ends a VM may have to be acknowledged and get new work: it
// tells 500 at a time, and a run whose end is beyond them is in doubt.
const maxUnackedEnds = 200

// placementObstacle reports what keeps the VM from being given the task now.
func (s *Scheduler) placementObstacle(now Time, v *vm, t *task) obstacle {
	spec := t.step.spec
	switch {
	case v.inst.Pool != t.step.occ.job.pool || !v.inst.HasLabel(spec.Label):
		return obstaclePool
	case !v.hasReported || !v.listed || v.isUnresponsive(now) || v.firstUnansweredAt > 0 || len(v.unknownRuns) > 0:
		return obstacleUnreachable
	case !v.entryMatchesIncarnation(), !v.fenced, v.otherIncarnation, s.startedSinceConfirmedTenure(v):
		return obstacleRestarted
	case v.inst.Draining || v.closed || v.ackLimit > 0 || v.processedSeq-v.durableSeq > maxUnackedEnds:
		return obstacleDraining
	case s.policy.Quarantine && !v.health.usable(now, spec):
		return obstacleSuspected
	case spec.MaxPerVM > 0 && t.step.runsPerVM[v] >= spec.MaxPerVM, v.runs[t.id()] != nil:
		return obstaclePerVM
	case v.onTrial(now, t):
		return obstacleTrial
	case s.mayExceedCapacity(now, v):
		return obstacleCapacity
	}
	free := v.inst.Capacity.Sub(v.used)
	switch {
	case spec.Need.MemoryMB > free.MemoryMB || spec.Need.Accelerators > free.Accelerators:
		return obstacleMemory
	case !spec.Filler && spec.Need.MilliCPU > free.MilliCPU:
		return obstacleProcessor
	case spec.Lasting && !spec.Filler && !s.leavesReserve(now, v, t, free):
		return obstacleReserve
	case spec.Filler && s.fillerHeadroom(now, v) < fillerUseShare*float64(spec.Need.MilliCPU):
		return obstacleLeftover
	}
	if s.needsAdvice(t.step) {
		if _, ok := t.step.validTicket(now, v); !ok {
			return obstacleAdvice
		}
	}
	return obstacleNone
}

// obstaclesOf counts, for a task that found no VM, how many VMs each obstacle
// rules out.
func (s *Scheduler) obstaclesOf(now Time, t *task) string {
	var count [obstacleCount]int
	for _, v := range s.vmList {
		o := s.placementObstacle(now, v, t)
		if o == obstacleNone {
			o = obstaclePressure
		}
		count[o]++
	}
	var b strings.Builder
	for o, n := range count {
		if n > 0 {
			fmt.Fprintf(&b, "%s=%d ", obstacleNames[o], n)
		}
	}
	return strings.TrimSpace(b.String())
}

// fillerHeadroom is what one more filler may be expected to get of the VM, in
// thousandths of a processor.
func (s *Scheduler) fillerHeadroom(now Time, v *vm) float64 {
	if v.servingRuns == 0 {
		return fillerOvercommit*float64(v.inst.Capacity.MilliCPU-v.used.MilliCPU) - float64(v.fillerCPU)
	}
	s.predictedTails(now, v)
	return v.fillerCapacity - v.fillerFullUse
}

// purity is the share of the image among what serves on the VM. Few pairs of
// images press, but of five serving images beside each other one nearly always
// minds a filler: where the images are kept apart, most fillers find VMs where
// nobody minds them. Serving tasks do not press on each other, so that packing
// them tightly costs their tails nothing.
func (v *vm) purity(image string, empty float64) float64 {
	if v.servingRuns == 0 {
		return empty
	}
	same := int64(0)
	for _, r := range v.runList {
		if spec := r.task.step.spec; spec.Serves() && spec.Image == image {
			same += spec.Need.MilliCPU
		}
	}
	return float64(same) / float64(max(v.servingCPU, 1))
}

// keepEmptyPurity rates an empty VM that is to be left to others: worse than any that serves.
const keepEmptyPurity = -0.3

// emptyPurity rates a VM that serves nothing, for a serving task: the last few are left
// to fillers and short tasks as long as there is room elsewhere.
func (s *Scheduler) emptyPurity() float64 {
	if float64(s.nonServingVMs) <= s.policy.KeepEmpty*float64(s.reportedVMs) {
		return keepEmptyPurity
	}
	return s.policy.EmptyPurity
}

// score rates a VM that fits; higher is better. ok is false when the task would
// press too hard on what serves there.
func (s *Scheduler) score(now Time, v *vm, spec *batch.Step) (score float64, ok bool) {
	capacity := v.capacityMilliCPU()
	free := float64(v.inst.Capacity.MilliCPU-v.used.MilliCPU) / capacity
	score = free
	if s.policy.Placement != PlacementScored {
		return score, true
	}
	switch {
	case spec.Filler:
		score = s.fillerHeadroom(now, v) / capacity
		p := s.pressure(now, v, spec.Image, spec.Need.MilliCPU)
		if limit := math.Log(s.policy.PeakLimit); s.policy.PeakLimit > 0 && (p.peak > limit || p.nearTerm > limit) {
			return 0, false
		}
		score -= s.policy.EffectPenalty * max(0, p.effect-tolerableEffect)
	case spec.Serves():
		score = s.policy.PurityWeight*v.purity(spec.Image, s.emptyPurity()) - free
	}
	if spec.DataRack != "" && v.inst.Rack() != spec.DataRack {
		score -= mismatchPenalty
	}
	if spec.Need.Accelerators == 0 && v.inst.Capacity.Accelerators > 0 {
		score -= mismatchPenalty
	}
	return score, true
}
