package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// paceRiseInterval is the minimum time between two rises on a VM: a change takes effect after
	// 0.1 s, and the next usage sample covers another half second.
	paceRiseInterval = 700 * time.Millisecond
	// paceRiseStep is the step by which fillers are restored after a stop of all fillers, in
	// percent.
	paceRiseStep = 25
	// minPaceRise is the smallest rise that is ordered, in percent, unless it restores the full
	// pace.
	minPaceRise = 10
	// minPacedEffect is the effect, as a logarithm, below which a filler is not slowed, since
	// slowing it would make no visible difference.
	minPacedEffect = 0.02
	// overTargetRatio is the share of its target from which a tail counts as over the target. It
	// is below 1 since samples are imprecise.
	overTargetRatio = 0.97
	// maxMoveProgress is the progress, in percent, up to which a run without checkpoints is
	// moved, since its work is lost.
	maxMoveProgress = 15
	// moveDelay is the minimum time after its start before a run is moved.
	moveDelay = time.Second
	// fullPace is the pace at which a run starts, in percent.
	fullPace = 100
)

// updatePaces slows the fillers that interfere with serving tasks on a VM, and restores them as
// far as the predicted tails allow.
func (s *Scheduler) updatePaces(now Time, v *vm) {
	fillers := s.pacedFillers(v)
	if v.servingRuns == 0 {
		v.overTargetSince = 0
		v.fillerPaceCap = fullPace
	} else {
		v.recordOverTarget(now, v.worstServingRun())
		v.updateBlindCap(now, milliseconds(s.policy.BlindAfterMS))
	}
	if len(fillers) == 0 || !s.policy.Pace {
		return
	}
	s.solvePaces(now, v, fillers)
	mayRise := now-v.paceChangedAt >= paceRiseInterval
	for i := range fillers {
		s.applyPace(now, &fillers[i], v.fillerPaceCap, mayRise)
	}
}

// isBlind reports whether a tail has been over its target for longer than the limit: the model
// evidently does not identify the cause.
func (v *vm) isBlind(now, limit Time) bool {
	return limit > 0 && v.overTargetSince > 0 && now-v.overTargetSince > limit
}

// updateBlindCap stops all fillers while the VM is blind, and restores them in steps afterwards.
func (v *vm) updateBlindCap(now, limit Time) {
	switch {
	case v.isBlind(now, limit):
		v.fillerPaceCap, v.fillerPaceCapAt = 0, now
	case v.fillerPaceCap < fullPace && now-v.fillerPaceCapAt >= paceRiseInterval:
		v.fillerPaceCap, v.fillerPaceCapAt = min(v.fillerPaceCap+paceRiseStep, fullPace), now
	}
}

// worstServingRun returns the serving run with the highest ratio of tail to target, or nil.
func (v *vm) worstServingRun() *run {
	var worst *run
	for _, r := range v.runList {
		if r.task.step.spec.Serves() && r.hasUsage && r.state == running && (worst == nil || r.tailRatio() > worst.tailRatio()) {
			worst = r
		}
	}
	return worst
}

func (v *vm) recordOverTarget(now Time, worst *run) {
	switch {
	case worst == nil || worst.tailRatio() <= overTargetRatio:
		v.overTargetSince = 0
	case v.overTargetSince == 0:
		v.overTargetSince = now
	}
}

// pacedFiller is a running filler and its computed paces, as shares of the full pace. It is
// slowed to aim if its current pace is above trigger.
type pacedFiller struct {
	run          *run
	image        int
	use          float64
	trigger, aim float64
	effect       float64
}

// pacedFillers returns the VM's running fillers in order of run number.
func (s *Scheduler) pacedFillers(v *vm) []pacedFiller {
	var list []pacedFiller
	for _, r := range v.runList {
		spec := r.task.step.spec
		if spec.Filler && r.state == running {
			// Computed from the use at full pace, since usage samples lag behind the pace.
			use := r.fullUse() / v.capacityMilliCPU()
			list = append(list, pacedFiller{run: r, image: s.images.imageIndex(spec.Image), use: use, trigger: 1, aim: 1})
		}
	}
	slices.SortFunc(list, func(a, b pacedFiller) int { return cmp.Compare(a.run.number, b.run.number) })
	return list
}

// solvePaces computes paces that keep every predicted tail on the VM within its target, slowing
// the fillers with the largest effect first.
func (s *Scheduler) solvePaces(now Time, v *vm, fillers []pacedFiller) {
	for i := range s.predictedTails(now, v) {
		t := &v.tails[i]
		for k := range fillers {
			fillers[k].effect = t.slopes.effect(fillers[k].image, fillers[k].use)
		}
		slices.SortStableFunc(fillers, func(a, b pacedFiller) int { return cmp.Compare(b.effect, a.effect) })
		limitTail(fillers, t.nearTerm, math.Log(s.policy.PressedAt), triggerPace)
		limitTail(fillers, t.nearTerm, math.Log(s.policy.AimAt), aimPace)
	}
	if v.servingRuns > 0 {
		budget := v.fillerBudget(now, paceLookahead, s.policy.RoomLimit) / v.capacityMilliCPU()
		limitTotalUse(fillers, budget+headroomSlack, triggerPace)
		limitTotalUse(fillers, budget, aimPace)
	}
}

// headroomSlack is the share of the VM's processors by which fillers may exceed their budget
// before they are slowed.
const headroomSlack = 0.04

func triggerPace(f *pacedFiller) *float64 { return &f.trigger }
func aimPace(f *pacedFiller) *float64     { return &f.aim }

// fullUse is a filler's processor use at full pace, in thousandths of a processor: the last
// measured value, or the declared one.
func (r *run) fullUse() float64 {
	if r.fullPaceUsage > 0 {
		return r.fullPaceUsage
	}
	return float64(r.task.step.spec.Need.MilliCPU)
}

// recordFullUse records the usage of the last report if the run was at full pace for all of the
// sample.
func (r *run) recordFullUse(now Time) {
	if r.orderedPace == fullPace && r.hasUsage && r.usage > 0 && now-max(r.orderedAt, r.paceOrderedAt) > paceRiseInterval {
		r.fullPaceUsage = r.usage
	}
}

// limitTotalUse scales all paces down by the same factor so that the fillers' total use is within
// budget.
func limitTotalUse(fillers []pacedFiller, budget float64, pace func(*pacedFiller) *float64) {
	sum := 0.0
	for i := range fillers {
		sum += fillers[i].use * *pace(&fillers[i])
	}
	if sum <= max(budget, 0) {
		return
	}
	for i := range fillers {
		*pace(&fillers[i]) *= max(budget, 0) / sum
	}
}

// limitTail lowers paces, in the order of fillers, until the predicted tail is at most bound.
// Tail full is the prediction with all fillers at full pace; both are logarithms.
func limitTail(fillers []pacedFiller, full, bound float64, pace func(*pacedFiller) *float64) {
	excess := full - bound
	for i := range fillers {
		excess -= fillers[i].effect * (1 - *pace(&fillers[i]))
	}
	for i := range fillers {
		f := &fillers[i]
		if excess <= 0 || f.effect < minPacedEffect {
			return
		}
		p := pace(f)
		reduction := min(*p, excess/f.effect)
		*p -= reduction
		excess -= reduction * f.effect
	}
}

// applyPace orders the computed pace if it differs enough: lower paces at once, higher ones only
// when the samples reflect the last change.
func (s *Scheduler) applyPace(now Time, f *pacedFiller, limit int, mayRise bool) {
	r := f.run
	aim := min(int(fullPace*f.aim), limit)
	if aim == unknownPace {
		aim--
	}
	trigger := min(int(math.Ceil(fullPace*f.trigger)), limit)
	switch {
	case r.orderedPace > trigger || r.orderedPace == unknownPace:
		s.setPace(now, r, aim)
	case aim > r.orderedPace && mayRise && (aim >= r.orderedPace+minPaceRise || aim == fullPace):
		s.setPace(now, r, aim)
	}
	s.moveSlowed(now, r)
}

func (s *Scheduler) setPace(now Time, r *run, percent int) {
	if percent == r.orderedPace {
		return
	}
	s.logf(Decision{Event: EventRunPaced, Task: r.task.id(), VM: r.vm.inst.ID, Run: r.number, Value: float64(percent)})
	r.orderedPace, r.paceOrderedAt = percent, now
	r.vm.paceChangedAt = now
	s.orders = append(s.orders, Order{Kind: OrderPace, Instance: r.vm.inst, Task: r.task.id(), Run: r.number, Percent: percent})
}

// HandlePaceResult processes the result of a pace order. A failed order is repeated with the next
// report.
func (s *Scheduler) HandlePaceResult(o Order, ok bool) {
	v := s.vms[o.Instance.ID]
	if v == nil || ok {
		return
	}
	if r := v.runs[o.Task]; r != nil && r.number == o.Run && r.orderedPace == o.Percent {
		r.orderedPace = unknownPace
	}
}

// unknownPace marks a run whose last pace order was not confirmed, so that any computed pace
// differs from it.
const unknownPace = 99

// moveSlowed stops a slowed filler if another VM is suitable. It restarts there from its
// checkpoint.
func (s *Scheduler) moveSlowed(now Time, r *run) {
	t := r.task
	if r.orderedPace >= s.policy.MoveBelow || now-r.orderedAt < moveDelay || t.step.spec.Gang || t.step.occ.job.state.Final() {
		return
	}
	if !t.step.spec.Checkpoints && r.progress > maxMoveProgress {
		return
	}
	if s.chooseVM(now, t) == nil {
		return
	}
	s.stop(now, r, "slowed")
}
