package scheduler

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// logStarts writes a leader's log of starts, beside what else it writes.
func (w *world) logStarts(l *modelLeader) {
	if l.logging || w.breaks.forgetsStarts || w.logRng.IntN(100) >= 50 {
		return
	}
	c := l.s.PendingStarts(w.now, false)
	if c == nil {
		return
	}
	var value []byte
	if c.Segment != nil {
		var err error
		if value, err = json.Marshal(c.Segment); err != nil {
			panic(err)
		}
	}
	answered := w.calm || w.logRng.IntN(100) >= 4
	l.logging = true
	if w.faults.lateWrites && !w.calm && w.logRng.IntN(100) < 10 {
		// Its answer is lost, and it is carried out late.
		w.logged = append(w.logged, message{w.now + callLost, func() { w.startsNoted(l, c, false) }})
		w.logged = append(w.logged, message{w.now + time.Duration(w.logRng.IntN(3000))*time.Millisecond, func() { w.applyLog(l, c, value) }})
		return
	}
	w.afterLog(func() {
		if !w.reachesStore(l) {
			w.logged = append(w.logged, message{w.now + callLost, func() { w.startsNoted(l, c, false) }})
			return
		}
		if !w.leads(l) {
			l.ended = true
			return
		}
		w.applyLog(l, c, value)
		w.afterLog(func() { w.startsNoted(l, c, answered) })
	})
}

// applyLog is the store's side of a write to the log.
func (w *world) applyLog(l *modelLeader, c *StartLogChange, value []byte) {
	if !w.reachesStore(l) || !w.leads(l) {
		return
	}
	if c.Segment != nil {
		w.store.starts[c.Segment.ID] = value
	}
	for _, id := range c.Obsolete {
		delete(w.store.starts, id)
	}
}

// startsNoted tells a leader what became of a write to the log.
func (w *world) startsNoted(l *modelLeader, c *StartLogChange, answered bool) {
	l.logging = false
	switch {
	case l.ended:
	case answered:
		l.s.StartsWritten(c)
	default:
		l.s.StartsNotWritten(w.now, c, true)
	}
}

// restoreStarts reads what earlier leaders started of late.
func (w *world) restoreStarts(l *modelLeader) {
	var log []StartSegment
	for _, id := range slices.SortedFunc(maps.Keys(w.store.starts), SegmentID.Compare) {
		g := StartSegment{ID: id}
		if err := json.Unmarshal(w.store.starts[id], &g); err != nil {
			panic(err)
		}
		log = append(log, g)
	}
	l.s.RestoreStarts(w.now, log)
}

// afterLog has a message of a write to the log arrive.
func (w *world) afterLog(do func()) {
	travel := time.Millisecond + time.Duration(w.logRng.IntN(30))*time.Millisecond
	w.logged = append(w.logged, message{w.now + travel, do})
}

// carryLog delivers what is due of them.
func (w *world) carryLog() {
	for _, m := range takeDue(&w.logged, w.now) {
		m.do()
	}
}
