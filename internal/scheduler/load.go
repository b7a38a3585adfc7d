package scheduler

import (
	"fmt"
	"time"
)

// loadLogInterval is the interval between log lines about the fleet's load.
const loadLogInterval = 2 * time.Second

// fleetLoad is the capacity of the VMs that have reported and the demand on them, in thousandths
// of a processor.
type fleetLoad struct {
	capacity int64
	// lasting and short are the declared processors of lasting and short tasks with a run.
	lasting, short int64
	// fillerDemand is what the running fillers would use at their paces, fillerUse their last
	// measured use.
	fillerDemand, fillerUse float64
	// saturated counts the VMs whose fillers use less than their demand, withFillers those that
	// run any. Some fillers never use what they declare.
	saturated, withFillers int
	// overTarget counts the serving runs over their targets, serving all of them.
	overTarget, serving int
}

// saturationRatio is the ratio of use to demand below which a VM's fillers count as saturated.
const saturationRatio = 0.9

// measureLoad sums up the VMs' last reports.
func (s *Scheduler) measureLoad() fleetLoad {
	var l fleetLoad
	for _, v := range s.vmList {
		if v.hasReported {
			l.add(v)
		}
	}
	return l
}

func (l *fleetLoad) add(v *vm) {
	l.capacity += v.inst.Capacity.MilliCPU
	l.short += v.shortCPU
	l.lasting += v.used.MilliCPU - v.shortCPU
	ask, use := v.measuredFillerUse()
	l.fillerDemand += ask
	l.fillerUse += use
	if ask > 0 {
		l.withFillers++
		if use < saturationRatio*ask {
			l.saturated++
		}
	}
	for _, r := range v.runList {
		if !r.task.step.spec.Serves() || !r.hasUsage {
			continue
		}
		l.serving++
		if r.tailRatio() > 1 {
			l.overTarget++
		}
	}
}

// measuredFillerUse sums up the demand and the measured use of the VM's fillers that report their
// usage.
func (v *vm) measuredFillerUse() (ask, use float64) {
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

// logLoad logs the fleet's load once per loadLogInterval.
func (s *Scheduler) logLoad(now Time) {
	if now-s.loadLoggedAt < loadLogInterval {
		return
	}
	s.loadLoggedAt = now
	l := s.measureLoad()
	total := float64(max(l.capacity, 1))
	s.logf(Decision{Event: EventFleetLoad, Value: float64(s.waitingTasks()), Reason: fmt.Sprintf(
		"lasting=%.2f short=%.2f fillers_ask=%.2f fillers_use=%.2f saturated=%d/%d over_target=%d/%d",
		float64(l.lasting)/total, float64(l.short)/total, l.fillerDemand/total, l.fillerUse/total, l.saturated, l.withFillers, l.overTarget, l.serving)})
}
