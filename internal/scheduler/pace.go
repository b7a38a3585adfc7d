package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// pressedAt is the share of its target at which a serving task's tail counts
	// as pressed: fillers beside it are slowed before it is over.
	pressedAt = 0.88
	// aimAt is the share that slowing and placing aim for. The rest is for the
	// task's own load, which moves by a few percent a second.
	aimAt = 0.8
	// paceEvery is the least time between two changes on a VM: a change takes
	// effect after 0.1 s, and the figure then covers half a second more.
	paceEvery = 700 * time.Millisecond
	// paceUp is how much a filler gets back at a time, in percent.
	paceUp = 25
	// least is the effect, as a logarithm, below which a filler is left alone:
	// to slow it would not show.
	leastEffect = 0.03
	// blindAfter is how long a tail may stay over its target with nobody to
	// blame before all fillers beside it stand still: the harm counts after
	// about 4 s.
	blindAfter = 1500 * time.Millisecond
	// overAt is the share of its target from which a tail counts as over: the
	// figure is rough.
	overAt = 0.97
	// moveBelow is the pace at which a filler is better off elsewhere.
	moveBelow = 20
	// moveProgress: a run that cannot resume is moved only below this progress,
	// in percent: what it has done is lost.
	moveProgress = 15
	// moveAfter is how long a run is left where it is at first.
	moveAfter = time.Second
)

// pace slows the fillers on a VM that press on what serves there, and gives back
// what the tails allow.
func (s *Scheduler) pace(now Time, v *vm) {
	if v.serving == 0 {
		v.overSince = 0
		s.giveBack(now, v)
		return
	}
	worst := v.worst()
	v.noteOver(now, worst)
	switch {
	case now-v.pacedAt < paceEvery && !v.blind(now):
	case worst != nil && worst.ratio() > pressedAt:
		s.slow(now, v, worst)
	default:
		s.giveBack(now, v)
	}
}

// blind reports whether a tail has been over its target for so long that nobody
// in particular can be blamed.
func (v *vm) blind(now Time) bool { return v.overSince > 0 && now-v.overSince > blindAfter }

// worst is the serving run nearest to its target, or nil.
func (v *vm) worst() *run {
	var worst *run
	for _, r := range v.runs {
		if r.task.step.spec.Serves() && r.hasUsage && r.state == running && (worst == nil || r.ratio() > worst.ratio()) {
			worst = r
		}
	}
	return worst
}

func (v *vm) noteOver(now Time, worst *run) {
	switch {
	case worst == nil || worst.ratio() <= overAt:
		v.overSince = 0
	case v.overSince == 0:
		v.overSince = now
	}
}

// fillers are the VM's running fillers, those with the largest effect on the
// serving image first.
func (s *Scheduler) fillers(v *vm, serving string) ([]*run, []float64) {
	capacity := float64(max(v.inst.Capacity.MilliCPU, 1))
	var runs []*run
	for _, r := range v.runs {
		if r.task.step.spec.Filler && r.state == running {
			runs = append(runs, r)
		}
	}
	effect := func(r *run) float64 {
		// What it would use at full pace: the figure lags behind the pace.
		use := float64(r.task.step.spec.Need.MilliCPU)
		return s.images.slope(serving, s.images.number(r.task.step.spec.Image)) * use / capacity
	}
	slices.SortFunc(runs, func(a, b *run) int {
		switch ea, eb := effect(a), effect(b); {
		case ea > eb:
			return -1
		case ea < eb:
			return 1
		}
		return int(a.number - b.number)
	})
	effects := make([]float64, len(runs))
	for i, r := range runs {
		effects[i] = effect(r)
	}
	return runs, effects
}

// slow takes as much of the fillers' pace as brings the worst tail to aimAt,
// from those that press most.
func (s *Scheduler) slow(now Time, v *vm, worst *run) {
	excess := math.Log(worst.ratio() / aimAt)
	runs, effects := s.fillers(v, worst.task.step.spec.Image)
	blind := v.blind(now)
	for i, r := range runs {
		switch {
		case blind:
			s.setPace(now, r, 0)
			continue
		case excess <= 0 || effects[i] < leastEffect:
			continue
		}
		take := min(float64(r.paced)/100*effects[i], excess)
		excess -= take
		s.setPace(now, r, max(0, r.paced-int(math.Ceil(100*take/effects[i]))))
		s.moveAway(now, r)
	}
}

// giveBack raises the pace of slowed fillers, as far as the tails allow.
func (s *Scheduler) giveBack(now Time, v *vm) {
	for _, r := range v.runs {
		if !r.task.step.spec.Filler || r.state != running || r.paced >= 100 {
			continue
		}
		more := min(paceUp, 100-r.paced)
		use := r.task.step.spec.Need.MilliCPU * int64(more) / 100
		if worst, effect := s.pressure(now, v, r.task.step.spec.Image, use); worst > aimAt && effect > leastEffect {
			s.moveAway(now, r)
			continue
		}
		s.setPace(now, r, r.paced+more)
		v.tailsStale = true
	}
}

func (s *Scheduler) setPace(now Time, r *run, percent int) {
	if percent == r.paced {
		return
	}
	s.logf(Decision{Event: EventRunPaced, Task: r.task.id(), VM: r.vm.inst.ID, Run: r.number, Value: float64(percent)})
	r.paced, r.pacedAt = percent, now
	r.vm.pacedAt = now
	s.orders = append(s.orders, Order{Kind: OrderPace, Instance: r.vm.inst, Task: r.task.id(), Run: r.number, Percent: percent})
}

// Paced takes the outcome of an order of pace over: one that failed is ordered
// again with the next report.
func (s *Scheduler) Paced(o Order, ok bool) {
	v := s.vms[o.Instance.ID]
	if v == nil || ok {
		return
	}
	if r := v.runs[o.Task]; r != nil && r.number == o.Run && r.paced == o.Percent {
		r.paced = unknownPace
	}
}

// unknownPace is the pace of a run whose last order was not answered; any
// decision differs from it.
const unknownPace = 99

// moveAway stops a slowed filler that is better off on another VM. It starts
// again there from its checkpoint.
func (s *Scheduler) moveAway(now Time, r *run) {
	t := r.task
	if r.paced >= moveBelow || now-r.orderedAt < moveAfter || t.step.spec.Gang || t.step.occ.job.state.Final() {
		return
	}
	if !t.step.spec.Checkpoints && r.progress > moveProgress {
		return
	}
	if s.choose(now, t) == nil {
		return
	}
	s.stop(now, r, "slowed")
}
