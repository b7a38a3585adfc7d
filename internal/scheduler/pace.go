package scheduler

import "time"

const (
	// pressedAt is the share of its target at which a serving task's tail
	// counts as pressed: fillers beside it are slowed before it is over.
	pressedAt = 0.85
	// easyAt is the share below which fillers get more again.
	easyAt = 0.6
	// paceDown and paceUp change the fillers' share: down by half at once, since
	// the figures lag by half a second and harm counts within seconds; up slowly.
	paceDown = 0.5
	paceUp   = 20
	// paceEvery is the least time between two changes: the figure covers the
	// last half second, so that an earlier one tells of the former pace.
	paceEvery = 700 * time.Millisecond
	// paceLowest is the share below which fillers stand still.
	paceLowest = 10
)

// images is what is known of images; it is learned from the figures of runs.
type images map[string]struct{}

// pace sets the share of the fillers on a VM by the tails of what serves there.
func (s *Scheduler) pace(now Time, v *vm) {
	if v.serving == 0 && v.fillerPace == 100 {
		v.pressed = false
		return
	}
	worst := 0.0
	for _, r := range v.runs {
		if r.task.step.spec.Serves() && r.hasUsage && r.state == running {
			target := float64(r.task.step.spec.TailTarget) / float64(time.Millisecond)
			worst = max(worst, r.usage/target)
		}
	}
	v.pressed = worst > pressedAt
	if now-v.pacedAt >= paceEvery {
		v.setPace(now, worst)
	}
	s.applyPace(now, v)
}

func (v *vm) setPace(now Time, worst float64) {
	pace := v.fillerPace
	switch {
	case worst > pressedAt:
		pace = int(float64(pace) * paceDown)
		if pace < paceLowest {
			pace = 0
		}
	case worst < easyAt:
		pace = min(100, pace+paceUp)
	}
	if pace != v.fillerPace {
		v.fillerPace = pace
		v.pacedAt = now
	}
}

// applyPace orders the VM's pace for each filler that has another one.
func (s *Scheduler) applyPace(now Time, v *vm) {
	for _, r := range v.runs {
		if !r.task.step.spec.Filler || r.state != running {
			continue
		}
		if r.paced == v.fillerPace && (r.percent == r.paced || now-r.pacedAt < paceEvery) {
			continue
		}
		s.logf(Decision{Event: "run_paced", Task: r.task.id(), VM: v.inst.ID, Run: r.number, Value: float64(v.fillerPace)})
		r.paced = v.fillerPace
		r.pacedAt = now
		s.orders = append(s.orders, Order{Kind: OrderPace, Instance: v.inst, Task: r.task.id(), Run: r.number, Percent: v.fillerPace})
	}
}
