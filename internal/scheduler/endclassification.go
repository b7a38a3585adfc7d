package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The end of a VM may be confirmed within milliseconds: its next incarnation reports, or another
// VM responds at its address. What the end implies about the tasks that had just begun there is
// classified later, once it is known which other VMs ended with it. Until then the crashes are
// unconfirmed.

// classifyDelay is the time from noticing a VM's end to classifying it. By then, holds to VMs
// that ended with it have failed.
const classifyDelay = 2 * time.Second

// vmEndRecord is the end of an incarnation and its classification for the runs that were recent
// there.
type vmEndRecord struct {
	inc vmIncarnation
	end vmEnd
	// classifyBy is the latest time of classification.
	classifyBy Time
	// trials are the runs on trial there, and the exclusive runs that had just begun.
	trials map[int64]endInTrial
	// classified is set once kind, simultaneous and withRecentStart hold: how many VMs ended with
	// it, and how many of these had a recent start.
	classified                    bool
	kind                          crashKind
	simultaneous, withRecentStart int
	// unconfirmed are those of simultaneous that were unresponsive at the classification.
	unconfirmed []vmIncarnation
	// runs are the runs classified by this end.
	runs map[*task]int64
}

// endInTrial describes how a VM's end relates to the start of a run on trial there.
type endInTrial struct {
	// justBegun is set if the VM ended just after the run had begun.
	justBegun bool
	// beside are the other tasks that had just begun there and are not known to have run
	// elsewhere since.
	beside []*task
}

// kindFor classifies a run by this end. During a storm, a trial is conclusive only if the VM
// ended just as the run began, and less so if another task's run began at the same moment.
func (e *vmEndRecord) kindFor(number int64) crashKind {
	trial, onTrial := e.trials[number]
	switch {
	case !onTrial || e.simultaneous > 0:
		return e.kind
	case e.kind != crashStorm:
		return crashIsolated
	case !trial.justBegun:
		return crashStorm
	case len(trial.beside) > 0:
		return crashPaired
	}
	return crashIsolated
}

// recordEnd records the end of an incarnation that had reported. It returns nil if the end
// implies nothing about its runs: the VM was about to end, or the end is already recorded.
func (s *Scheduler) recordEnd(now Time, v *vm) *vmEndRecord {
	inc := v.incarnation()
	if s.hasEnded(inc) {
		return nil
	}
	end := v.end(now)
	s.recentVMEnds[inc] = end
	if v.inst.Draining || v.closed {
		s.clearUnconfirmed(inc)
		return nil
	}
	e := &vmEndRecord{inc: inc, end: end, classifyBy: end.noticedAt + classifyDelay, trials: map[int64]endInTrial{}}
	s.vmEndRecords = append(s.vmEndRecords, e)
	return e
}

// recordEarlierCrash records a run that may have ended an earlier incarnation of its VM.
func (s *Scheduler) recordEarlierCrash(now Time, r *run, e *vmEndRecord) {
	if e == nil || !r.mayHaveCrashed() {
		return
	}
	justBegun := e.end.momentKnown && e.end.noticedAt-r.confirmedAt < startCrashWindow
	if r.confirmedAt > 0 && (r.isTrial || (r.exclusive && justBegun && !r.vm.hasUnconfirmedStart(r))) {
		e.trials[r.number] = endInTrial{justBegun: justBegun, beside: e.end.recentBeside(r.task)}
	}
	if e.classified {
		s.handleCrash(now, r, e.kindFor(r.number))
		return
	}
	s.recordCrash(r, e.inc, crashUnconfirmed)
}

// hasUnconfirmedStart reports whether a run other than r may have begun on the VM at any moment,
// since its start order has no response.
func (v *vm) hasUnconfirmedStart(r *run) bool {
	return slices.ContainsFunc(v.runList, func(o *run) bool { return o != r && o.startSent && o.confirmedAt == 0 })
}

// resolveEarlierIncarnations classifies the unconfirmed crashes that another leader recorded on
// ended incarnations of a VM, whose time of end is unknown. These are the incarnations before the
// one that reports, or all if none does.
func (s *Scheduler) resolveEarlierIncarnations(now Time, v *vm) {
	var ended []vmIncarnation
	for inc := range s.unconfirmedCrashes {
		if inc.id == v.inst.ID && (!v.hasReported || !v.matchesBirth(inc.born)) && !s.isUnclassified(inc) {
			ended = append(ended, inc)
		}
	}
	slices.SortFunc(ended, func(a, b vmIncarnation) int { return cmp.Compare(a.born, b.born) })
	for _, inc := range ended {
		s.resolveUnconfirmed(now, inc, earlierCrashKind)
	}
}

// earlierCrashKind classifies an unconfirmed crash recorded by another leader when the VMs that
// ended with its VM are unknown. A task that crashes its VMs does so as it begins: a run that had
// lived for a while was more likely lost with its VM.
func earlierCrashKind(c *crash) crashKind {
	if c.lived {
		return crashUnseen
	}
	return crashShared
}

func (s *Scheduler) isUnclassified(inc vmIncarnation) bool {
	return slices.ContainsFunc(s.vmEndRecords, func(e *vmEndRecord) bool { return e.inc == inc && !e.classified })
}

// awaitsClassification reports whether the task's next start has to wait until the ends of its
// VMs are classified. After a first end it is restarted at once.
func (s *Scheduler) awaitsClassification(t *task) bool {
	return len(t.crashes) > 1 && slices.ContainsFunc(t.crashes, func(c crash) bool {
		return c.kind == crashUnconfirmed && c.run != t.intendedRun && s.isUnclassified(c.vm)
	})
}

// classifyEnds classifies the ends that are due, and those for which it is already known whether
// many VMs ended together, so that recent tasks needn't wait.
func (s *Scheduler) classifyEnds(now Time) {
	if len(s.vmEndRecords) == 0 {
		return
	}
	for _, e := range s.vmEndRecords {
		if e.classified {
			continue
		}
		e.simultaneous, e.withRecentStart, e.unconfirmed = s.countSimultaneousEnds(now, e.inc, &e.end)
		if e.simultaneous >= minMassEnds || now >= e.classifyBy || s.othersReportedSince(e) {
			s.classifyEnd(now, e)
		}
	}
	s.vmEndRecords = slices.DeleteFunc(s.vmEndRecords, func(e *vmEndRecord) bool { return now-e.classifyBy > endRetention })
}

// othersReportedSince reports whether all other VMs have reported since the end.
func (s *Scheduler) othersReportedSince(e *vmEndRecord) bool {
	for _, v := range s.vmList {
		if v.inst.ID != e.inc.id && v.lastReportAt <= e.end.noticedAt && !s.hasEnded(v.incarnation()) {
			return false
		}
	}
	return true
}

func (s *Scheduler) classifyEnd(now Time, e *vmEndRecord) {
	e.classified, e.kind = true, crashShared
	switch {
	case e.simultaneous >= minMassEnds:
		e.kind = crashMass
	case s.inStorm(now, e.inc):
		e.kind = crashStorm
	}
	e.runs = maps.Clone(s.unconfirmedCrashes[e.inc])
	s.resolveUnconfirmed(now, e.inc, func(c *crash) crashKind { return e.kindFor(c.run) })
}

// confirmSuspect attributes to a task the earlier ends of VMs on which it had just begun, after a
// VM has ended in its trial. Ends that were classified by counting those are reclassified.
func (s *Scheduler) confirmSuspect(now Time, t *task) {
	found := false
	for inc, e := range s.recentVMEnds {
		if !e.bySuspect && slices.Contains(e.recent, t) {
			e.bySuspect, found = true, true
			s.recentVMEnds[inc] = e
		}
	}
	if !found {
		return
	}
	for _, e := range slices.Clone(s.vmEndRecords) {
		if !e.classified || e.withRecentStart == 0 {
			continue
		}
		before := e.withRecentStart
		if e.simultaneous, e.withRecentStart, e.unconfirmed = s.countSimultaneousEnds(now, e.inc, &e.end); e.withRecentStart < before {
			s.reclassifyEnd(now, e)
		}
	}
}

// reclassifyBeside reclassifies the ends of VMs where a task had just begun beside another task's
// trial, after the task has run on a VM without ending it: it didn't end that VM either.
func (s *Scheduler) reclassifyBeside(now Time, t *task) {
	for _, e := range slices.Clone(s.vmEndRecords) {
		if e.removeBeside(t) && e.classified {
			s.reclassifyEnd(now, e)
		}
	}
}

func (e *vmEndRecord) removeBeside(t *task) (found bool) {
	for number, trial := range e.trials {
		if i := slices.Index(trial.beside, t); i >= 0 {
			trial.beside = slices.Delete(trial.beside, i, i+1)
			e.trials[number], found = trial, true
		}
	}
	return found
}

// confirmAlive corrects the ends that counted an unresponsive incarnation as ended with them,
// after it has responded again.
func (s *Scheduler) confirmAlive(now Time, inc vmIncarnation) {
	for _, e := range slices.Clone(s.vmEndRecords) {
		if i := slices.Index(e.unconfirmed, inc); e.classified && i >= 0 {
			e.unconfirmed = slices.Delete(e.unconfirmed, i, i+1)
			e.simultaneous--
			e.withRecentStart = min(e.withRecentStart, e.simultaneous)
			s.reclassifyEnd(now, e)
		}
	}
}

// reclassifyEnd reclassifies the runs of an end that coincided with fewer others than assumed.
func (s *Scheduler) reclassifyEnd(now Time, e *vmEndRecord) {
	if e.kind == crashMass && e.simultaneous < minMassEnds {
		e.kind = crashShared
		if s.inStorm(now, e.inc) {
			e.kind = crashStorm
		}
	}
	for _, t := range sortedTasks(e.runs) {
		number := e.runs[t]
		c := t.crash(number)
		if c == nil || c.vm != e.inc || t.step.occ.job.state.Final() {
			continue
		}
		if kind := e.kindFor(number); kind != c.kind {
			s.setCrashKind(now, t, c, kind)
		}
	}
}
