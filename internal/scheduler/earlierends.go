package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// That a VM has started again is known from its next start's first report, often within a
// second. What its end says of the tasks that had just begun there is judged later, when it
// is known which other VMs ended with it. Until then the tasks are in doubt.

// judgedAfter is how long after a later start's first report the end of the earlier one is
// judged: by then holds to VMs that ended with it have failed.
const judgedAfter = 2 * time.Second

// earlierEnd is the end of a start of a VM of which a later one reports.
type earlierEnd struct {
	start   vmStart
	noticed Time
	// end is when it came.
	end vmEnd
	// trials are the runs that were on trial there.
	trials map[int64]bool
	// judged is set once kind and alone hold.
	judged bool
	kind   crashKind
	alone  bool
}

// verdictOn is what the end says of a run.
func (e *earlierEnd) verdictOn(number int64) crashKind {
	if e.alone && e.trials[number] {
		return crashAlone
	}
	return e.kind
}

// noteEarlierEnd takes in that a start of a VM has ended, nil where that says nothing of what
// ran there: it was to end, or its end was noted before.
func (s *Scheduler) noteEarlierEnd(now Time, old *vm) *earlierEnd {
	start := old.thisStart()
	if s.hasEnded(start) {
		return nil
	}
	end := old.end(now)
	s.ends[start] = end
	if old.inst.Draining || old.closed {
		s.clearDoubts(start)
		return nil
	}
	e := &earlierEnd{start: start, noticed: now, end: end, trials: map[int64]bool{}}
	s.earlier = append(s.earlier, e)
	return e
}

// doubtEarlier puts a run in doubt that may have ended its VM's earlier start.
func (s *Scheduler) doubtEarlier(now Time, r *run, e *earlierEnd) {
	if e == nil || !r.mayHaveCrashed() {
		return
	}
	if r.trial && r.confirmedAt > 0 {
		e.trials[r.number] = true
	}
	if e.judged {
		s.noteCrash(now, r, e.verdictOn(r.number))
		return
	}
	s.recordCrash(r, e.start, crashDoubted)
}

// concludeEarlierDoubts takes in that starts of a VM have ended on which runs were doubted,
// by another leader, so that nobody can tell when: those before the one that reports, or
// all where none does.
func (s *Scheduler) concludeEarlierDoubts(now Time, v *vm) {
	var ended []vmStart
	for start := range s.doubts {
		if start.id == v.inst.ID && (!v.heard || !v.mayBe(start.born)) && !s.toBeJudged(start) {
			ended = append(ended, start)
		}
	}
	slices.SortFunc(ended, func(a, b vmStart) int { return cmp.Compare(a.born, b.born) })
	for _, start := range ended {
		s.concludeDoubts(now, start, crashShared)
	}
}

func (s *Scheduler) toBeJudged(start vmStart) bool {
	return slices.ContainsFunc(s.earlier, func(e *earlierEnd) bool { return e.start == start && !e.judged })
}

// awaitsJudgement reports whether the task's next start has to wait until it is known what
// the ends of its VMs say of it. After a first one it is started again at once.
func (s *Scheduler) awaitsJudgement(t *task) bool {
	return len(t.crashes) > 1 && slices.ContainsFunc(t.crashes, func(c crash) bool {
		return c.kind == crashDoubted && c.run != t.intended && s.toBeJudged(c.vm)
	})
}

// judgeEarlierEnds judges the ends whose time has come.
func (s *Scheduler) judgeEarlierEnds(now Time) {
	if len(s.earlier) == 0 {
		return
	}
	for _, e := range s.earlier {
		if !e.judged && now-e.noticed >= judgedAfter {
			s.judgeEarlierEnd(now, e)
		}
	}
	s.earlier = slices.DeleteFunc(s.earlier, func(e *earlierEnd) bool { return now-e.noticed > endsKept })
}

func (s *Scheduler) judgeEarlierEnd(now Time, e *earlierEnd) {
	others := s.endedWith(now, e.start, &e.end)
	e.alone = others == 0 && !s.storm(now, e.start)
	e.judged, e.kind = true, crashShared
	if others >= massVMs {
		e.kind = crashMass
	}
	s.concludeDoubtsBy(now, e.start, e.verdictOn)
}
