package scheduler

import (
	"maps"
	"slices"
	"time"
)

// VMs that end together have a common cause: a rack, a switch or power. To distinguish such an
// end from one caused by a task, recent ends are compared.

const (
	// minMassEnds is how many other VMs must end together with one for a common cause to be
	// assumed.
	minMassEnds = 2
	// simultaneousWindow is how far apart the ends of VMs that end together may be noticed.
	// maxCloseDetectionDelay bounds the time from a VM's end until its connection is found
	// closed.
	simultaneousWindow     = 100 * time.Millisecond
	maxCloseDetectionDelay = 200 * time.Millisecond
	// startCrashWindow is how long before a VM's end is noticed a run must have begun there to be
	// a likely cause: a hold may wait for 0.15 s before it is sent.
	startCrashWindow = 300 * time.Millisecond
	// endRetention is how long the ends of VMs are kept for comparison: longer than it takes to
	// confirm that another VM has ended, at the latest by its lease.
	endRetention = 15 * time.Second
)

// vmEnd is the end of a VM, or the time from which it was unresponsive.
type vmEnd struct {
	// The VM ended after aliveAt, and this was noticed at noticedAt.
	aliveAt, noticedAt Time
	// byTask is set if a task may have ended the VM since it had just begun there. bySuspect is
	// set if that task was a suspect: on a busy fleet each VM has a recent start.
	byTask, bySuspect bool
	// recent are the tasks that had just begun.
	recent []*task
	// momentKnown is set if noticedAt is close to the end itself since a connection was closed.
	momentKnown bool
}

// end returns the VM's end, given that it has ended.
func (v *vm) end(now Time) vmEnd {
	e := vmEnd{aliveAt: v.lastReportAt, noticedAt: now}
	if v.firstUnansweredAt > 0 {
		e.noticedAt = v.firstUnansweredAt
	}
	if v.firstUnansweredAt > 0 && v.connectionClosed {
		e.aliveAt, e.momentKnown = max(e.aliveAt, e.noticedAt-maxCloseDetectionDelay), true
	}
	for _, r := range v.runList {
		e.aliveAt = max(e.aliveAt, r.confirmedAt)
		if r.confirmedAt > 0 && r.mayHaveCrashed() && e.noticedAt-r.confirmedAt < startCrashWindow {
			e.byTask, e.bySuspect = true, e.bySuspect || r.isTrial || r.exclusive
			e.recent = append(e.recent, r.task)
		}
	}
	return e
}

// recentBeside returns the tasks that had just begun on the VM, other than this one and its gang.
func (e *vmEnd) recentBeside(t *task) []*task {
	return slices.DeleteFunc(slices.Clone(e.recent), func(o *task) bool { return o.unit() == t.unit() })
}

// isSimultaneous reports whether two VMs may have ended at the same moment. If both moments are
// known and tasks may have caused both ends, the moments have to agree closely.
func (e *vmEnd) isSimultaneous(other *vmEnd) bool {
	if e.byTask && other.byTask && e.momentKnown && other.momentKnown {
		return (e.noticedAt - other.noticedAt).Abs() <= simultaneousWindow
	}
	return e.aliveAt <= other.noticedAt+simultaneousWindow && e.noticedAt >= other.aliveAt-simultaneousWindow
}

// countSimultaneousEnds counts the other VMs that ended, or became unresponsive, at about the
// same time and probably not by a suspect. withRecentStart counts those on which something else
// had just begun; unconfirmed lists those that are only unresponsive and may be alive.
func (s *Scheduler) countSimultaneousEnds(now Time, ended vmIncarnation, end *vmEnd) (simultaneous, withRecentStart int, unconfirmed []vmIncarnation) {
	maps.DeleteFunc(s.recentVMEnds, func(_ vmIncarnation, e vmEnd) bool { return now-e.noticedAt > endRetention })
	count := func(e *vmEnd) bool {
		if e.bySuspect || !e.isSimultaneous(end) {
			return false
		}
		simultaneous++
		if e.byTask {
			withRecentStart++
		}
		return true
	}
	for inc, e := range s.recentVMEnds {
		if inc.id != ended.id {
			count(&e)
		}
	}
	for _, other := range s.vms {
		if other.inst.ID == ended.id || !other.hasReported || other.firstUnansweredAt == 0 || other.inst.Draining || other.closed || s.hasEnded(other.incarnation()) {
			continue
		}
		if e := other.end(now); count(&e) {
			unconfirmed = append(unconfirmed, other.incarnation())
		}
	}
	return simultaneous, withRecentStart, unconfirmed
}

func (s *Scheduler) hasEnded(inc vmIncarnation) bool {
	_, ended := s.recentVMEnds[inc]
	return ended
}

// inStorm reports whether at least as many VMs recently ended for reasons other than tasks as
// there are responsive VMs other than subject. The same cause may have ended subject.
func (s *Scheduler) inStorm(now Time, subject vmIncarnation) bool {
	ended := 0
	for inc, e := range s.recentVMEnds {
		if inc != subject && !e.byTask {
			ended++
		}
	}
	if ended < minMassEnds {
		return false
	}
	responsive := 0
	for _, o := range s.vms {
		if o.inst.ID != subject.id && o.hasReported && !o.isUnresponsive(now) && o.firstUnansweredAt == 0 {
			responsive++
		}
	}
	return ended >= responsive
}
