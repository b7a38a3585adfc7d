package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// That a VM has ended may be known within milliseconds: its next start reports, or another
// one answers at its address. What its end says of the tasks that had just begun there is
// judged later, when it is known which other VMs ended with it. Until then the tasks are in
// doubt.

// classifyDelay is how long after it was noticed the end of a VM is judged: by then holds to
// VMs that ended with it have failed.
const classifyDelay = 2 * time.Second

// vmEndRecord is the end of a start of a VM and what it says of the runs that were new there.
type vmEndRecord struct {
	start vmIncarnation
	end   vmEnd
	// classifyBy is when it is judged at the latest.
	classifyBy Time
	// trials are the runs that were on trial there, or the last to begin and just begun.
	trials map[int64]endInTrial
	// classified is set once kind and others hold: how many VMs ended with it, of which something
	// had just begun on busy.
	classified                    bool
	kind                          crashKind
	simultaneous, withRecentStart int
	// unconfirmed are those of others that did not answer when it was judged.
	unconfirmed []vmIncarnation
	// runs are those that were judged by it.
	runs map[*task]int64
}

// endInTrial tells how a VM's end follows the start of a run that was on trial there.
type endInTrial struct {
	// justBegun is set where the VM ended just after the run had begun.
	justBegun bool
	// beside are the other tasks that had just begun there, too, and that are not known to
	// have run elsewhere since.
	beside []*task
}

// kindFor is what the end says of a run. In a storm a trial tells only where the VM ended
// just as its run began, and less where another task's run began at the same moment.
func (e *vmEndRecord) kindFor(number int64) crashKind {
	trial, tried := e.trials[number]
	switch {
	case !tried || e.simultaneous > 0:
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

// recordEnd takes in that a start of a VM that was heard has ended, nil where that says nothing
// of what ran there: it was to end, or its end was noted before.
func (s *Scheduler) recordEnd(now Time, v *vm) *vmEndRecord {
	start := v.incarnation()
	if s.hasEnded(start) {
		return nil
	}
	end := v.end(now)
	s.recentVMEnds[start] = end
	if v.inst.Draining || v.closed {
		s.clearUnconfirmed(start)
		return nil
	}
	e := &vmEndRecord{start: start, end: end, classifyBy: end.noticedAt + classifyDelay, trials: map[int64]endInTrial{}}
	s.classifiedVMEnds = append(s.classifiedVMEnds, e)
	return e
}

// recordEarlierCrash puts a run in doubt that may have ended its VM's earlier start.
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
	s.recordCrash(r, e.start, crashUnconfirmed)
}

// hasUnconfirmedStart reports whether a run other than r may have begun on the VM at any moment: its
// start has no answer.
func (v *vm) hasUnconfirmedStart(r *run) bool {
	return slices.ContainsFunc(v.runList, func(o *run) bool { return o != r && o.startSent && o.confirmedAt == 0 })
}

// resolveEarlierIncarnations takes in that starts of a VM have ended on which runs were doubted,
// by another leader, so that nobody can tell when: those before the one that reports, or
// all where none does.
func (s *Scheduler) resolveEarlierIncarnations(now Time, v *vm) {
	var ended []vmIncarnation
	for start := range s.unconfirmedCrashes {
		if start.id == v.inst.ID && (!v.hasReported || !v.matchesBirth(start.born)) && !s.isUnclassified(start) {
			ended = append(ended, start)
		}
	}
	slices.SortFunc(ended, func(a, b vmIncarnation) int { return cmp.Compare(a.born, b.born) })
	for _, start := range ended {
		s.resolveUnconfirmed(now, start, earlierCrashKind)
	}
}

// earlierCrashKind is what the end of a VM says of a run that another leader had in doubt, when
// nobody can tell which other VMs ended with it. A task that ends its VMs does so as it begins:
// a run that had lived for a while was more likely lost with its VM.
func earlierCrashKind(c *crash) crashKind {
	if c.lived {
		return crashUnseen
	}
	return crashShared
}

func (s *Scheduler) isUnclassified(start vmIncarnation) bool {
	return slices.ContainsFunc(s.classifiedVMEnds, func(e *vmEndRecord) bool { return e.start == start && !e.classified })
}

// awaitsClassification reports whether the task's next start has to wait until it is known what
// the ends of its VMs say of it. After a first one it is started again at once.
func (s *Scheduler) awaitsClassification(t *task) bool {
	return len(t.crashes) > 1 && slices.ContainsFunc(t.crashes, func(c crash) bool {
		return c.kind == crashUnconfirmed && c.run != t.intendedRun && s.isUnclassified(c.vm)
	})
}

// classifyEnds judges the ends whose time has come, and those of which it is known already
// whether many VMs ended together: what was new there need not wait.
func (s *Scheduler) classifyEnds(now Time) {
	if len(s.classifiedVMEnds) == 0 {
		return
	}
	for _, e := range s.classifiedVMEnds {
		if e.classified {
			continue
		}
		e.simultaneous, e.withRecentStart, e.unconfirmed = s.countSimultaneousEnds(now, e.start, &e.end)
		if e.simultaneous >= minMassEnds || now >= e.classifyBy || s.othersReportedSince(e) {
			s.classifyEnd(now, e)
		}
	}
	s.classifiedVMEnds = slices.DeleteFunc(s.classifiedVMEnds, func(e *vmEndRecord) bool { return now-e.classifyBy > endRetention })
}

// othersReportedSince reports whether all other VMs have been heard since the end.
func (s *Scheduler) othersReportedSince(e *vmEndRecord) bool {
	for _, v := range s.vmList {
		if v.inst.ID != e.start.id && v.lastReportAt <= e.end.noticedAt && !s.hasEnded(v.incarnation()) {
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
	case s.inStorm(now, e.start):
		e.kind = crashStorm
	}
	e.runs = maps.Clone(s.unconfirmedCrashes[e.start])
	s.resolveUnconfirmed(now, e.start, func(c *crash) crashKind { return e.kindFor(c.run) })
}

// confirmSuspect takes in that a VM has ended in the trial of a task: those on which it had just begun
// before, and that were taken for others that ended by themselves, were ended by it. Ends that
// were judged by these are judged again.
func (s *Scheduler) confirmSuspect(now Time, t *task) {
	found := false
	for start, e := range s.recentVMEnds {
		if !e.bySuspect && slices.Contains(e.recent, t) {
			e.bySuspect, found = true, true
			s.recentVMEnds[start] = e
		}
	}
	if !found {
		return
	}
	for _, e := range slices.Clone(s.classifiedVMEnds) {
		if !e.classified || e.withRecentStart == 0 {
			continue
		}
		before := e.withRecentStart
		if e.simultaneous, e.withRecentStart, e.unconfirmed = s.countSimultaneousEnds(now, e.start, &e.end); e.withRecentStart < before {
			s.reclassifyEnd(now, e)
		}
	}
}

// reclassifyBeside takes in that a task has run on a VM without ending it: where it had just begun beside
// another one's trial, it did not end that VM either.
func (s *Scheduler) reclassifyBeside(now Time, t *task) {
	for _, e := range slices.Clone(s.classifiedVMEnds) {
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

// confirmAlive takes in that a start of a VM lives that had left holds unanswered: it did not end
// with those that did meanwhile.
func (s *Scheduler) confirmAlive(now Time, start vmIncarnation) {
	for _, e := range slices.Clone(s.classifiedVMEnds) {
		if i := slices.Index(e.unconfirmed, start); e.classified && i >= 0 {
			e.unconfirmed = slices.Delete(e.unconfirmed, i, i+1)
			e.simultaneous--
			e.withRecentStart = min(e.withRecentStart, e.simultaneous)
			s.reclassifyEnd(now, e)
		}
	}
}

// reclassifyEnd judges the runs of an end anew that fewer others came with than was believed.
func (s *Scheduler) reclassifyEnd(now Time, e *vmEndRecord) {
	if e.kind == crashMass && e.simultaneous < minMassEnds {
		e.kind = crashShared
		if s.inStorm(now, e.start) {
			e.kind = crashStorm
		}
	}
	for _, t := range sortedTasks(e.runs) {
		number := e.runs[t]
		c := t.crash(number)
		if c == nil || c.vm != e.start || t.step.occ.job.state.Final() {
			continue
		}
		if kind := e.kindFor(number); kind != c.kind {
			s.setCrashKind(now, t, c, kind)
		}
	}
}
