package scheduler

import "github.com/rattanwall/rattanwall/internal/batch"

// An evacuated availability zone gets no new work: no starts, copies, restarts, moves or trials.
// Starts that were decided before are dropped when they are about to be sent. Work that runs
// there continues, and its leases, stops and paces are sent as before: stopping it would lose
// what is not saved, and most tasks end within seconds.

// reasonEvacuated is the reason for dropping a start on a VM of an evacuated zone.
const reasonEvacuated = "zone evacuated"

// SetEvacuations applies the evacuations in force.
func (s *Scheduler) SetEvacuations(evacuations *batch.Evacuations) {
	if evacuations == s.evacuations {
		return
	}
	begun, ended := evacuations.Changes(s.evacuations)
	s.evacuations = evacuations
	if len(begun)+len(ended) == 0 {
		return
	}
	s.planNeeded = true
	for _, v := range s.vmList {
		s.updateEvacuated(v)
	}
	for _, z := range begun {
		s.logf(Decision{Event: EventZoneEvacuated, Zone: z.Zone, Revision: z.Revision, Value: float64(s.runsInZone(z.Zone))})
	}
	for _, z := range ended {
		s.logf(Decision{Event: EventZoneReopened, Zone: z.Zone, Revision: evacuations.Revision, Value: float64(s.runsInZone(z.Zone))})
	}
}

// updateEvacuated sets whether the VM is in an evacuated zone.
func (s *Scheduler) updateEvacuated(v *vm) { _, v.evacuated = s.evacuations.Of(v.inst.Zone) }

func (s *Scheduler) runsInZone(zone string) int {
	n := 0
	for _, v := range s.vmList {
		if v.inst.Zone == zone {
			n += len(v.runs)
		}
	}
	return n
}
