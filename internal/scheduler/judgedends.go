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

// judgedAfter is how long after it was noticed the end of a VM is judged: by then holds to
// VMs that ended with it have failed.
const judgedAfter = 2 * time.Second

// judgedEnd is the end of a start of a VM and what it says of the runs that were new there.
type judgedEnd struct {
	start vmStart
	end   vmEnd
	// judgeAt is when it is judged at the latest.
	judgeAt Time
	// trials are the runs that were on trial there, or the last to begin and just begun.
	trials map[int64]endInTrial
	// judged is set once kind and others hold: how many VMs ended with it, of which something
	// had just begun on busy.
	judged       bool
	kind         crashKind
	others, busy int
	// unsure are those of others that did not answer when it was judged.
	unsure []vmStart
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

// verdictOn is what the end says of a run. In a storm a trial tells only where the VM ended
// just as its run began, and less where another task's run began at the same moment.
func (e *judgedEnd) verdictOn(number int64) crashKind {
	trial, tried := e.trials[number]
	switch {
	case !tried || e.others > 0:
		return e.kind
	case e.kind != crashStorm:
		return crashAlone
	case !trial.justBegun:
		return crashStorm
	case len(trial.beside) > 0:
		return crashPaired
	}
	return crashAlone
}

// noteEnd takes in that a start of a VM that was heard has ended, nil where that says nothing
// of what ran there: it was to end, or its end was noted before.
func (s *Scheduler) noteEnd(now Time, v *vm) *judgedEnd {
	start := v.thisStart()
	if s.hasEnded(start) {
		return nil
	}
	end := v.end(now)
	s.recentVMEnds[start] = end
	if v.inst.Draining || v.closed {
		s.clearDoubts(start)
		return nil
	}
	e := &judgedEnd{start: start, end: end, judgeAt: end.noticedAt + judgedAfter, trials: map[int64]endInTrial{}}
	s.classifiedVMEnds = append(s.classifiedVMEnds, e)
	return e
}

// doubtEarlier puts a run in doubt that may have ended its VM's earlier start.
func (s *Scheduler) doubtEarlier(now Time, r *run, e *judgedEnd) {
	if e == nil || !r.mayHaveCrashed() {
		return
	}
	justBegun := e.end.closed && e.end.noticedAt-r.confirmedAt < begunJustBefore
	if r.confirmedAt > 0 && (r.isTrial || (r.exclusive && justBegun && !r.vm.mayBegin(r))) {
		e.trials[r.number] = endInTrial{justBegun: justBegun, beside: e.end.freshBeside(r.task)}
	}
	if e.judged {
		s.noteCrash(now, r, e.verdictOn(r.number))
		return
	}
	s.recordCrash(r, e.start, crashDoubted)
}

// mayBegin reports whether a run other than r may have begun on the VM at any moment: its
// start has no answer.
func (v *vm) mayBegin(r *run) bool {
	return slices.ContainsFunc(v.runList, func(o *run) bool { return o != r && o.startSent && o.confirmedAt == 0 })
}

// concludeEarlierDoubts takes in that starts of a VM have ended on which runs were doubted,
// by another leader, so that nobody can tell when: those before the one that reports, or
// all where none does.
func (s *Scheduler) concludeEarlierDoubts(now Time, v *vm) {
	var ended []vmStart
	for start := range s.unconfirmedCrashes {
		if start.id == v.inst.ID && (!v.hasReported || !v.mayBe(start.born)) && !s.toBeJudged(start) {
			ended = append(ended, start)
		}
	}
	slices.SortFunc(ended, func(a, b vmStart) int { return cmp.Compare(a.born, b.born) })
	for _, start := range ended {
		s.concludeDoubts(now, start, verdictOnEarlier)
	}
}

// verdictOnEarlier is what the end of a VM says of a run that another leader had in doubt, when
// nobody can tell which other VMs ended with it. A task that ends its VMs does so as it begins:
// a run that had lived for a while was more likely lost with its VM.
func verdictOnEarlier(c *crash) crashKind {
	if c.lived {
		return crashUnseen
	}
	return crashShared
}

func (s *Scheduler) toBeJudged(start vmStart) bool {
	return slices.ContainsFunc(s.classifiedVMEnds, func(e *judgedEnd) bool { return e.start == start && !e.judged })
}

// awaitsJudgement reports whether the task's next start has to wait until it is known what
// the ends of its VMs say of it. After a first one it is started again at once.
func (s *Scheduler) awaitsJudgement(t *task) bool {
	return len(t.crashes) > 1 && slices.ContainsFunc(t.crashes, func(c crash) bool {
		return c.kind == crashDoubted && c.run != t.intendedRun && s.toBeJudged(c.vm)
	})
}

// judgeEnds judges the ends whose time has come, and those of which it is known already
// whether many VMs ended together: what was new there need not wait.
func (s *Scheduler) judgeEnds(now Time) {
	if len(s.classifiedVMEnds) == 0 {
		return
	}
	for _, e := range s.classifiedVMEnds {
		if e.judged {
			continue
		}
		e.others, e.busy, e.unsure = s.endedWith(now, e.start, &e.end)
		if e.others >= massVMs || now >= e.judgeAt || s.outlived(e) {
			s.judgeEnd(now, e)
		}
	}
	s.classifiedVMEnds = slices.DeleteFunc(s.classifiedVMEnds, func(e *judgedEnd) bool { return now-e.judgeAt > endsKept })
}

// outlived reports whether all other VMs have been heard since the end.
func (s *Scheduler) outlived(e *judgedEnd) bool {
	for _, v := range s.vmList {
		if v.inst.ID != e.start.id && v.lastReportAt <= e.end.noticedAt && !s.hasEnded(v.thisStart()) {
			return false
		}
	}
	return true
}

func (s *Scheduler) judgeEnd(now Time, e *judgedEnd) {
	e.judged, e.kind = true, crashShared
	switch {
	case e.others >= massVMs:
		e.kind = crashMass
	case s.storm(now, e.start):
		e.kind = crashStorm
	}
	e.runs = maps.Clone(s.unconfirmedCrashes[e.start])
	s.concludeDoubts(now, e.start, func(c *crash) crashKind { return e.verdictOn(c.run) })
}

// accuse takes in that a VM has ended in the trial of a task: those on which it had just begun
// before, and that were taken for others that ended by themselves, were ended by it. Ends that
// were judged by these are judged again.
func (s *Scheduler) accuse(now Time, t *task) {
	found := false
	for start, e := range s.recentVMEnds {
		if !e.bySuspect && slices.Contains(e.fresh, t) {
			e.bySuspect, found = true, true
			s.recentVMEnds[start] = e
		}
	}
	if !found {
		return
	}
	for _, e := range slices.Clone(s.classifiedVMEnds) {
		if !e.judged || e.busy == 0 {
			continue
		}
		before := e.busy
		if e.others, e.busy, e.unsure = s.endedWith(now, e.start, &e.end); e.busy < before {
			s.judgeAgain(now, e)
		}
	}
}

// acquit takes in that a task has run on a VM without ending it: where it had just begun beside
// another one's trial, it did not end that VM either.
func (s *Scheduler) acquit(now Time, t *task) {
	for _, e := range slices.Clone(s.classifiedVMEnds) {
		if e.acquit(t) && e.judged {
			s.judgeAgain(now, e)
		}
	}
}

func (e *judgedEnd) acquit(t *task) (found bool) {
	for number, trial := range e.trials {
		if i := slices.Index(trial.beside, t); i >= 0 {
			trial.beside = slices.Delete(trial.beside, i, i+1)
			e.trials[number], found = trial, true
		}
	}
	return found
}

// answersAgain takes in that a start of a VM lives that had left holds unanswered: it did not end
// with those that did meanwhile.
func (s *Scheduler) answersAgain(now Time, start vmStart) {
	for _, e := range slices.Clone(s.classifiedVMEnds) {
		if i := slices.Index(e.unsure, start); e.judged && i >= 0 {
			e.unsure = slices.Delete(e.unsure, i, i+1)
			e.others--
			e.busy = min(e.busy, e.others)
			s.judgeAgain(now, e)
		}
	}
}

// judgeAgain judges the runs of an end anew that fewer others came with than was believed.
func (s *Scheduler) judgeAgain(now Time, e *judgedEnd) {
	if e.kind == crashMass && e.others < massVMs {
		e.kind = crashShared
		if s.storm(now, e.start) {
			e.kind = crashStorm
		}
	}
	for _, t := range inOrder(e.runs) {
		number := e.runs[t]
		c := t.crash(number)
		if c == nil || c.vm != e.start || t.step.occ.job.state.Final() {
			continue
		}
		if kind := e.verdictOn(number); kind != c.kind {
			s.setCrashKind(now, t, c, kind)
		}
	}
}
