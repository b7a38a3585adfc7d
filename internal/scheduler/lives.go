package scheduler

import (
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// livesAfter is how long an instance has to be unheard before the machine service is
	// asked whether it lives: a hold takes a second, and one lost packet another 0.3 s.
	livesAfter = 1500 * time.Millisecond
	// missedFor is how far apart two lists have to be that both lack an instance: its
	// machine may have moved from one page to another while one of them was read.
	missedFor = 400 * time.Millisecond
	// leastPresent is the share of the instances heard of late that a list has to have
	// to be believed.
	leastPresent = 0.5
)

// Doubtful reports whether there are instances that may have ended: unheard for a
// while, with runs, or waited for.
func (s *Scheduler) Doubtful(now Time) bool {
	for id, v := range s.vms {
		if v.doubtful(now) && (len(v.runs) > 0 || s.awaited(id)) {
			return true
		}
	}
	return false
}

func (v *vm) doubtful(now Time) bool { return now-v.lastReportAt > livesAfter }

// SetLives takes over which instances live by the machine service's list, which was
// asked for at askedAt. It runs the machines: an instance that it does not name as the
// present life of a machine that is up has ended, and need not be waited for until its
// lease is over. One that is cut off is named like all others.
func (s *Scheduler) SetLives(now, askedAt Time, list []batch.Machine) {
	up := make(map[string]bool, len(list))
	for i := range list {
		if list[i].State == batch.MachineUp {
			up[list[i].Instance] = true
		}
	}
	if !s.believable(now, up) {
		return
	}
	for _, v := range slices.Clone(s.vmList) {
		id := v.inst.ID
		switch {
		case up[id] || v.lastReportAt >= askedAt || !v.doubtful(now):
			v.missingSince = 0
		case v.missingSince == 0:
			v.missingSince = askedAt
		case askedAt-v.missingSince >= missedFor && !v.startsUnderWay(now):
			s.Gone(now, id, "machine ended it")
		}
	}
}

// startsUnderWay reports whether a start may arrive that was ordered from the VM: if its
// machine has just begun another under the same ID, that one takes it.
func (v *vm) startsUnderWay(now Time) bool {
	return v.mayRestart() && slices.ContainsFunc(v.runList, func(r *run) bool {
		return r.startSent && r.confirmedAt == 0 && now-r.startSentAt < orderTravel
	})
}

// believable reports whether a list names enough of the instances that certainly live.
func (s *Scheduler) believable(now Time, up map[string]bool) bool {
	living, named := 0, 0
	for id, v := range s.vms {
		if !v.hasReported || v.doubtful(now) {
			continue
		}
		living++
		if up[id] {
			named++
		}
	}
	return named > 0 && float64(named) >= leastPresent*float64(living)
}
