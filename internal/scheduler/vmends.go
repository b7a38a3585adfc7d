package scheduler

import (
	"maps"
	"slices"
	"time"
)

// VMs that end together have a cause of their own: a rack, a switch, power. To tell such an
// end from one that a task has brought about, the ends of late are compared.

const (
	// minMassEnds is how many other VMs have to end together with one for their end to have
	// a cause of its own.
	minMassEnds = 2
	// simultaneousWindow is how far apart VMs may be seen to end that end together, maxCloseDetectionDelay
	// how long before a connection is found closed the VM may have ended.
	simultaneousWindow     = 100 * time.Millisecond
	maxCloseDetectionDelay = 200 * time.Millisecond
	// startCrashWindow is how long before a VM's end is noticed a run has to have begun
	// there to be likely to have ended it: a hold may wait for 0.15 s before it is sent.
	startCrashWindow = 300 * time.Millisecond
	// endRetention is how long the ends of VMs are kept to be compared: longer than it takes
	// to conclude that another VM has ended, by its lease at the latest.
	endRetention = 15 * time.Second
)

// vmEnd is the end of a VM, or of its answers.
type vmEnd struct {
	// It came after aliveAt, and was noticed at noticedAt.
	aliveAt, noticedAt Time
	// byTask is set where a task may have ended it: it had begun just before. bySuspect is set
	// where that was a suspect: on a busy fleet something has just begun on each VM.
	byTask, bySuspect bool
	// recent are the tasks that had just begun.
	recent []*task
	// momentKnown is set where noticedAt is when it ended, but for a moment: a connection was closed.
	momentKnown bool
}

// end describes the VM's end if it has ended.
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

// recentBeside are the tasks other than this one, and its gang, that had just begun on the VM.
func (e *vmEnd) recentBeside(t *task) []*task {
	return slices.DeleteFunc(slices.Clone(e.recent), func(o *task) bool { return o.unit() == t.unit() })
}

// isSimultaneous reports whether two VMs may have ended at the same moment. Two of which the moment
// is known, and that tasks may have ended, have to agree closely.
func (e *vmEnd) isSimultaneous(other *vmEnd) bool {
	if e.byTask && other.byTask && e.momentKnown && other.momentKnown {
		return (e.noticedAt - other.noticedAt).Abs() <= simultaneousWindow
	}
	return e.aliveAt <= other.noticedAt+simultaneousWindow && e.noticedAt >= other.aliveAt-simultaneousWindow
}

// countSimultaneousEnds counts the VMs other than the one that ended, or stopped to answer, about when
// it did, and that no suspect is likely to have ended. busy are those of them on which
// something else had just begun, unsure those that only do not answer: they may live.
func (s *Scheduler) countSimultaneousEnds(now Time, ended vmIncarnation, end *vmEnd) (others, busy int, unsure []vmIncarnation) {
	maps.DeleteFunc(s.recentVMEnds, func(_ vmIncarnation, e vmEnd) bool { return now-e.noticedAt > endRetention })
	count := func(e *vmEnd) bool {
		if e.bySuspect || !e.isSimultaneous(end) {
			return false
		}
		others++
		if e.byTask {
			busy++
		}
		return true
	}
	for start, e := range s.recentVMEnds {
		if start.id != ended.id {
			count(&e)
		}
	}
	for _, other := range s.vms {
		if other.inst.ID == ended.id || !other.hasReported || other.firstUnansweredAt == 0 || other.inst.Draining || other.closed || s.hasEnded(other.incarnation()) {
			continue
		}
		if e := other.end(now); count(&e) {
			unsure = append(unsure, other.incarnation())
		}
	}
	return others, busy, unsure
}

func (s *Scheduler) hasEnded(start vmIncarnation) bool {
	_, ended := s.recentVMEnds[start]
	return ended
}

// inStorm reports whether as many VMs ended of late by no task as there are others that
// answer: whatever ends them may have ended this one as well.
func (s *Scheduler) inStorm(now Time, of vmIncarnation) bool {
	ended := 0
	for start, e := range s.recentVMEnds {
		if start != of && !e.byTask {
			ended++
		}
	}
	if ended < minMassEnds {
		return false
	}
	living := 0
	for _, o := range s.vms {
		if o.inst.ID != of.id && o.hasReported && !o.isUnresponsive(now) && o.firstUnansweredAt == 0 {
			living++
		}
	}
	return ended >= living
}
