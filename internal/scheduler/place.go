package scheduler

import (
	"fmt"
	"math"
	"strings"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// fillerUseShare is the average share of their declared processors that fillers use.
	fillerUseShare = 0.9
	// fillerOvercommit is the factor by which fillers may overcommit the free processors of a VM
	// that has no serving tasks.
	fillerOvercommit = 1.2
	// mismatchPenalty lowers the score of VMs away from the data, with unneeded accelerators, or
	// on which the task failed last. A score of 1 corresponds to all processors of a VM.
	mismatchPenalty = 2.0
	// sameRackBonus raises the score of VMs in the rack of the step's other tasks.
	sameRackBonus = 2.0
	// tolerableEffect is the effect on a tail, as a logarithm, that is within the noise of the
	// learned slopes for a filler with a tenth of a VM's processors.
	tolerableEffect = 0.05
	// negligibleEffect is the effect, as a logarithm, up to which a filler may start beside any
	// serving task.
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

// isStarving reports whether a filler's job has had no runs for so long that the filler may start
// despite interference and lack of processors.
func (s *Scheduler) isStarving(now Time, t *task) bool {
	st, after := t.step, milliseconds(s.policy.StarvedAfterMS)
	if s.crowded {
		after = milliseconds(s.policy.StarvedCrowdedMS)
	}
	return after > 0 && st.spec.Filler && !st.spec.Gang && st.occ.job.running == 0 && now-max(st.runnableAt, t.lastRunEnd) > after
}

// leastAffectedVM returns the VM with enough memory on which a starving filler interferes least,
// or nil.
func (s *Scheduler) leastAffectedVM(now Time, t *task) *vm {
	var best *vm
	lowest := 0.0
	for _, v := range s.vmList {
		if o := s.placementObstacle(now, v, t); o != obstacleNone && o != obstacleLeftover {
			continue
		}
		p := s.pressure(now, v, t.step.spec.Image, t.step.spec.Need.MilliCPU)
		impact := math.Exp(p.worst) + float64(v.fillerCPU)/v.capacityMilliCPU()
		if best == nil || impact < lowest {
			best, lowest = v, impact
		}
	}
	if best != nil {
		s.logf(Decision{Event: EventTaskStarved, Task: t.id(), VM: best.inst.ID, Age: now - t.step.runnableAt, Value: lowest})
	}
	return best
}

// currentRack returns the rack of one of the step's runs, or "".
func (st *step) currentRack() string {
	for k := range st.tasks {
		for _, r := range st.tasks[k].runs {
			return r.vm.inst.Rack()
		}
	}
	return ""
}

// obstacle is a reason why a task cannot be placed on a VM now.
type obstacle int

// The obstacles. obstaclePressure is last: it is detected only when the VM is rated.
const (
	obstacleNone obstacle = iota
	obstacleUnreachable
	obstacleRestarted
	obstacleDraining
	obstacleEvacuated
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

var obstacleNames = [obstacleCount]string{"none", "unheard", "restarted", "draining", "evacuated", "pool", "suspected", "per_vm", "trial", "capacity", "processor", "reserve", "memory", "leftover", "advice", "pressure"}

// maxUnackedEnds is the number of unacknowledged run ends up to which a VM gets new work. A
// report lists at most 500 ends, and a run whose end is beyond them counts as an unconfirmed
// crash.
const maxUnackedEnds = 200

// placementObstacle returns the reason why the task cannot be placed on the VM now, or
// obstacleNone.
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
	case v.evacuated:
		return obstacleEvacuated
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

// obstaclesOf counts, for a task without a suitable VM, the VMs that each obstacle excludes.
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

// fillerHeadroom is the processor time that one more filler is expected to get on the VM, in
// thousandths of a processor.
func (s *Scheduler) fillerHeadroom(now Time, v *vm) float64 {
	if v.servingRuns == 0 {
		return fillerOvercommit*float64(v.inst.Capacity.MilliCPU-v.used.MilliCPU) - float64(v.fillerCPU)
	}
	s.predictedTails(now, v)
	return v.fillerCapacity - v.fillerFullUse
}

// purity is the image's share of the serving processors on the VM, or empty if nothing serves
// there. Few pairs of images interfere, but of five serving images on a VM nearly always one is
// sensitive to a given filler. Grouping serving tasks by image leaves VMs without interference
// for most fillers. Serving tasks do not interfere with each other, so packing them densely does
// not lengthen their tails.
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

// keepEmptyPurity is the purity of an empty VM that is kept for other tasks. It is below that of
// any serving VM.
const keepEmptyPurity = -0.3

// emptyPurity is the purity of an empty VM for a serving task. The last few empty VMs are kept
// for fillers and short tasks while there is capacity elsewhere.
func (s *Scheduler) emptyPurity() float64 {
	if float64(s.nonServingVMs) <= s.policy.KeepEmpty*float64(s.reportedVMs) {
		return keepEmptyPurity
	}
	return s.policy.EmptyPurity
}

// score rates a VM without obstacles for a task; higher is better. It returns false if the
// predicted interference with the VM's serving tasks is too strong.
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
	score -= s.slowVMPenalty(now, v, spec)
	return score, true
}
