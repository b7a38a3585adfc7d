package scheduler

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// writeStartLog writes a leader's log of starts, beside what else it writes.
func (w *world) writeStartLog(l *modelLeader) {
	if l.logWritePending || w.mutations.skipStartLog || w.logRng.IntN(100) >= 50 {
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
	answered := w.faultFree || w.logRng.IntN(100) >= 4
	l.logWritePending = true
	if w.faults.lateWrites && !w.faultFree && w.logRng.IntN(100) < 10 {
		// Its answer is lost, and it is carried out late.
		w.logMessages = append(w.logMessages, message{w.now + callTimeout, func() { w.finishLogWrite(l, c, false) }})
		w.logMessages = append(w.logMessages, message{w.now + time.Duration(w.logRng.IntN(3000))*time.Millisecond, func() { w.applyLogWrite(l, c, value) }})
		return
	}
	w.scheduleLogMessage(func() {
		if !w.reachesStore(l) {
			w.logMessages = append(w.logMessages, message{w.now + callTimeout, func() { w.finishLogWrite(l, c, false) }})
			return
		}
		if !w.holdsKey(l) {
			l.ended = true
			return
		}
		w.applyLogWrite(l, c, value)
		w.scheduleLogMessage(func() { w.finishLogWrite(l, c, answered) })
	})
}

// applyLogWrite is the store's side of a write to the log.
func (w *world) applyLogWrite(l *modelLeader, c *StartLogChange, value []byte) {
	if !w.reachesStore(l) || !w.holdsKey(l) {
		return
	}
	if c.Segment != nil {
		w.store.starts[c.Segment.ID] = value
	}
	for _, id := range c.Obsolete {
		delete(w.store.starts, id)
	}
}

// finishLogWrite tells a leader what became of a write to the log.
func (w *world) finishLogWrite(l *modelLeader, c *StartLogChange, answered bool) {
	l.logWritePending = false
	switch {
	case l.ended:
	case answered:
		l.s.StartsWritten(c)
	default:
		l.s.StartsNotWritten(w.now, c, true)
	}
}

// restoreStartLog reads what earlier leaders started of late.
func (w *world) restoreStartLog(l *modelLeader) {
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

// scheduleLogMessage has a message of a write to the log arrive.
func (w *world) scheduleLogMessage(do func()) {
	travel := time.Millisecond + time.Duration(w.logRng.IntN(30))*time.Millisecond
	w.logMessages = append(w.logMessages, message{w.now + travel, do})
}

// deliverLogMessages delivers what is due of them.
func (w *world) deliverLogMessages() {
	for _, m := range popDue(&w.logMessages, w.now) {
		m.do()
	}
}
