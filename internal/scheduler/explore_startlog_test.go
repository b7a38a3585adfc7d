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
	w.afterLog(func() {
		if !w.reachesStore(l) {
			w.logged = append(w.logged, message{w.now + callLost, func() { l.logging = false }})
			return
		}
		if !w.leads(l) {
			l.ended = true
			return
		}
		if c.Segment != nil {
			w.store.starts[c.Segment.ID] = value
		}
		for _, id := range c.Obsolete {
			delete(w.store.starts, id)
		}
		w.afterLog(func() {
			l.logging = false
			if answered && !l.ended {
				l.s.StartsWritten(c)
			}
		})
	})
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
	var due, rest []message
	for _, m := range w.logged {
		if m.at <= w.now {
			due = append(due, m)
		} else {
			rest = append(rest, m)
		}
	}
	w.logged = rest
	for _, m := range due {
		m.do()
	}
}
