package scheduler

import (
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// livenessCheckDelay is how long after an instance's last report the machine service is asked
	// about it: a hold takes a second, and one lost packet another 0.3 s.
	livenessCheckDelay = 1500 * time.Millisecond
	// minMissingDuration is the minimum time between two lists that both lack an instance: its
	// machine may have moved from one page to another while one of the lists was read.
	minMissingDuration = 400 * time.Millisecond
	// minListedShare is the share of the recently reporting instances that a list must contain to
	// be accepted.
	minListedShare = 0.5
)

// NeedsLivenessCheck reports whether there are instances that may have ended: without a report
// for a while, and either with runs or awaited.
func (s *Scheduler) NeedsLivenessCheck(now Time) bool {
	for id, v := range s.vms {
		if v.needsLivenessCheck(now) && (len(v.runs) > 0 || s.isAwaited(id)) {
			return true
		}
	}
	return false
}

func (v *vm) needsLivenessCheck(now Time) bool { return now-v.lastReportAt > livenessCheckDelay }

// SetLiveInstances processes the machine service's list, requested at askedAt. The service runs
// the machines: an instance that the list does not name as the current one of a machine that is
// up has ended, and need not be awaited until its lease expires. An instance that is cut off from
// the network is still listed.
func (s *Scheduler) SetLiveInstances(now, askedAt Time, list []batch.Machine) {
	up := make(map[string]bool, len(list))
	for i := range list {
		if list[i].State == batch.MachineUp {
			up[list[i].Instance] = true
		}
	}
	if !s.isPlausibleList(now, up) {
		return
	}
	for _, v := range slices.Clone(s.vmList) {
		id := v.inst.ID
		switch {
		case up[id] || v.lastReportAt >= askedAt || !v.needsLivenessCheck(now):
			v.missingSince = 0
		case v.missingSince == 0:
			v.missingSince = askedAt
		case askedAt-v.missingSince >= minMissingDuration && !v.hasPendingStart(now):
			s.RemoveInstance(now, id, "machine ended it")
		}
	}
}

// hasPendingStart reports whether a start order sent to the VM may still arrive. If its machine
// has just begun another incarnation under the same ID, that one accepts it.
func (v *vm) hasPendingStart(now Time) bool {
	return v.mayRestart() && slices.ContainsFunc(v.runList, func(r *run) bool {
		return r.startSent && r.confirmedAt == 0 && now-r.startSentAt < maxOrderDelay
	})
}

// isPlausibleList reports whether a list names enough of the instances that are certainly alive.
func (s *Scheduler) isPlausibleList(now Time, up map[string]bool) bool {
	alive, named := 0, 0
	for id, v := range s.vms {
		if !v.hasReported || v.needsLivenessCheck(now) {
			continue
		}
		alive++
		if up[id] {
			named++
		}
	}
	return named > 0 && float64(named) >= minListedShare*float64(alive)
}
