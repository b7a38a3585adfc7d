package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// paceRiseInterval is the least time between two rises on a VM: a change takes
	// effect after 0.1 s, and the figure then covers half a second more.
	paceRiseInterval = 700 * time.Millisecond
	// paceRiseStep is how much a filler gets back at a time after a blind stop, in percent.
	paceRiseStep = 25
	// minPaceRise is the least rise of a pace that is worth an order, in percent,
	// unless it is to full pace.
	minPaceRise = 10
	// minPacedEffect is the effect, as a logarithm, below which a filler is left alone:
	// to slow it would not show.
	minPacedEffect = 0.02
	// runExpiry is the share of its target from which a tail counts as over: the
	// figure is rough.
	overTargetRatio = 0.97
	// maxMoveProgress: a run that cannot resume is moved only below this progress,
	// in percent: what it has done is lost.
	maxMoveProgress = 15
	// moveDelay is how long a run is left where it is at first.
	moveDelay = time.Second
	// fullPace is the pace at which a run starts, in percent.
	fullPace = 100
)

// updatePaces slows the fillers on a VM that press on what serves there, and gives back
// what the tails allow.
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

// isBlind reports whether a tail has been over its target for so long that nobody
// in particular can be blamed.
func (v *vm) isBlind(now, after Time) bool {
	return after > 0 && v.overTargetSince > 0 && now-v.overTargetSince > after
}

// updateBlindCap stops all fillers while the VM is blind, and gives them back step by
// step afterwards.
func (v *vm) updateBlindCap(now, after Time) {
	switch {
	case v.isBlind(now, after):
		v.fillerPaceCap, v.fillerPaceCapAt = 0, now
	case v.fillerPaceCap < fullPace && now-v.fillerPaceCapAt >= paceRiseInterval:
		v.fillerPaceCap, v.fillerPaceCapAt = min(v.fillerPaceCap+paceRiseStep, fullPace), now
	}
}

// worstServingRun is the serving run nearest to its target, or nil.
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

// pacedFiller is a running filler with the paces, in shares, that are worked out
// for it: below trigger it need not be slowed, aim is what slowing gives it.
type pacedFiller struct {
	run          *run
	image        int
	use          float64
	trigger, aim float64
	effect       float64
}

// pacedFillers are the VM's running fillers, in a fixed order.
func (s *Scheduler) pacedFillers(v *vm) []pacedFiller {
	var list []pacedFiller
	for _, r := range v.runList {
		spec := r.task.step.spec
		if spec.Filler && r.state == running {
			// What it would use at full pace: the figure lags behind the pace.
			use := r.fullUse() / v.capacityMilliCPU()
			list = append(list, pacedFiller{run: r, image: s.images.imageIndex(spec.Image), use: use, trigger: 1, aim: 1})
		}
	}
	slices.SortFunc(list, func(a, b pacedFiller) int { return cmp.Compare(a.run.number, b.run.number) })
	return list
}

// solvePaces works out paces that keep every predicted tail on the VM within its
// target, taking from those first that press most.
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
		room := v.fillerBudget(now, paceLookahead, s.policy.RoomLimit) / v.capacityMilliCPU()
		limitTotalUse(fillers, room+headroomSlack, triggerPace)
		limitTotalUse(fillers, room, aimPace)
	}
}

// headroomSlack is the share of the VM by which fillers may use more than there is
// room for before they are slowed.
const headroomSlack = 0.04

func triggerPace(f *pacedFiller) *float64 { return &f.trigger }
func aimPace(f *pacedFiller) *float64     { return &f.aim }

// fullUse is what a filler uses at full pace, in thousandths of a processor: as
// seen, else as declared.
func (r *run) fullUse() float64 {
	if r.fullPaceUsage > 0 {
		return r.fullPaceUsage
	}
	return float64(r.task.step.spec.Need.MilliCPU)
}

// recordFullUse takes a report in that shows what the run uses at full pace.
func (r *run) recordFullUse(now Time) {
	if r.orderedPace == fullPace && r.hasUsage && r.usage > 0 && now-max(r.orderedAt, r.paceOrderedAt) > paceRiseInterval {
		r.fullPaceUsage = r.usage
	}
}

// limitTotalUse lowers all paces by the same factor until the fillers use no more than
// the VM has left.
func limitTotalUse(fillers []pacedFiller, room float64, pace func(*pacedFiller) *float64) {
	sum := 0.0
	for i := range fillers {
		sum += fillers[i].use * *pace(&fillers[i])
	}
	if sum <= room {
		return
	}
	for i := range fillers {
		*pace(&fillers[i]) *= max(room, 0) / sum
	}
}

// limitTail lowers paces until a tail that is full with all of them at full pace is
// within bound.
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
		take := min(*p, excess/f.effect)
		*p -= take
		excess -= take * f.effect
	}
}

// applyPace orders the pace that was worked out, where it differs enough: down at
// once, up when the last change shows in the figures.
func (s *Scheduler) applyPace(now Time, f *pacedFiller, most int, mayRise bool) {
	r := f.run
	aim := min(int(fullPace*f.aim), most)
	if aim == unknownPace {
		aim--
	}
	trigger := min(int(math.Ceil(fullPace*f.trigger)), most)
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

// HandlePaceResult takes the outcome of an order of pace over: one that failed is ordered
// again with the next report.
func (s *Scheduler) HandlePaceResult(o Order, ok bool) {
	v := s.vms[o.Instance.ID]
	if v == nil || ok {
		return
	}
	if r := v.runs[o.Task]; r != nil && r.number == o.Run && r.orderedPace == o.Percent {
		r.orderedPace = unknownPace
	}
}

// unknownPace is the pace of a run whose last order was not answered; any
// decision differs from it.
const unknownPace = 99

// moveSlowed stops a slowed filler that is better off on another VM. It starts
// again there from its checkpoint.
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
