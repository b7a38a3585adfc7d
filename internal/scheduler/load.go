package scheduler

import (
	"fmt"
	"time"
)

// loadEvery is how often the fleet's load is logged.
const loadEvery = 2 * time.Second

// load is what the heard VMs have and what is asked of them, in thousandths of a
// processor.
type load struct {
	capacity int64
	// lasting and short are the declared processors of the tasks that hold some.
	lasting, short int64
	// fillersAsk is what the running fillers would use at their pace, fillerFullUse
	// what they were last seen to use.
	fillersAsk, fillersUse float64
	// saturated counts the VMs whose fillers use less than they ask for, filled
	// those that have any. Some declare more than they ever use.
	saturated, filled int
	// over counts the serving runs over their targets, serving all of them.
	over, serving int
}

// saturatedAt is the share of what they ask for below which fillers count as
// getting less.
const saturatedAt = 0.9

// measureLoad sums the VMs' last reports up.
func (s *Scheduler) measureLoad() load {
	var l load
	for _, v := range s.vmList {
		if v.hasReported {
			l.add(v)
		}
	}
	return l
}

func (l *load) add(v *vm) {
	l.capacity += v.inst.Capacity.MilliCPU
	l.short += v.shortCPU
	l.lasting += v.used.MilliCPU - v.shortCPU
	ask, use := v.measuredFillers()
	l.fillersAsk += ask
	l.fillersUse += use
	if ask > 0 {
		l.filled++
		if use < saturatedAt*ask {
			l.saturated++
		}
	}
	for _, r := range v.runList {
		if !r.task.step.spec.Serves() || !r.hasUsage {
			continue
		}
		l.serving++
		if r.ratio() > 1 {
			l.over++
		}
	}
}

// measuredFillers sums what the VM's fillers would use at their pace and what they were
// seen to use, over those that have told a figure.
func (v *vm) measuredFillers() (ask, use float64) {
	for _, r := range v.runList {
		spec := r.task.step.spec
		if !spec.Filler || !r.hasUsage || r.state != running {
			continue
		}
		ask += float64(spec.Need.MilliCPU) * float64(r.orderedPace) / 100
		use += r.usage
	}
	return ask, use
}

// logLoad logs the fleet's load now and then.
func (s *Scheduler) logLoad(now Time) {
	if now-s.loadLoggedAt < loadEvery {
		return
	}
	s.loadLoggedAt = now
	l := s.measureLoad()
	total := float64(max(l.capacity, 1))
	s.logf(Decision{Event: EventFleetLoad, Value: float64(s.waitingTasks()), Reason: fmt.Sprintf(
		"lasting=%.2f short=%.2f fillers_ask=%.2f fillers_use=%.2f saturated=%d/%d over_target=%d/%d",
		float64(l.lasting)/total, float64(l.short)/total, l.fillersAsk/total, l.fillersUse/total, l.saturated, l.filled, l.over, l.serving)})
}
