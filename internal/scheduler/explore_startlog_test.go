package scheduler

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// writeStartLog writes pending changes of a leader's start log.
func (w *world) writeStartLog(l *modelLeader) {
	if l.logWritePending || w.mutations.skipStartLog || w.logRng.IntN(100) >= 50 {
		return
	}
	change := l.s.PendingStarts(w.now, false)
	if change == nil {
		return
	}
	var value []byte
	if change.Segment != nil {
		var err error
		if value, err = json.Marshal(change.Segment); err != nil {
			panic(err)
		}
	}
	answered := w.faultFree || w.logRng.IntN(100) >= 4
	l.logWritePending = true
	if w.faults.lateWrites && !w.faultFree && w.logRng.IntN(100) < 10 {
		// The response is lost, and the write is applied late.
		w.logMessages = append(w.logMessages, message{w.now + callTimeout, func() { w.finishLogWrite(l, change, false) }})
		w.logMessages = append(w.logMessages, message{w.now + time.Duration(w.logRng.IntN(3000))*time.Millisecond, func() { w.applyLogWrite(l, change, value) }})
		return
	}
	w.scheduleLogMessage(func() {
		if !w.reachesStore(l) {
			w.logMessages = append(w.logMessages, message{w.now + callTimeout, func() { w.finishLogWrite(l, change, false) }})
			return
		}
		if !w.holdsKey(l) {
			l.ended = true
			return
		}
		w.applyLogWrite(l, change, value)
		w.scheduleLogMessage(func() { w.finishLogWrite(l, change, answered) })
	})
}

// applyLogWrite applies a write to the start log in the store.
func (w *world) applyLogWrite(l *modelLeader, change *StartLogChange, value []byte) {
	if !w.reachesStore(l) || !w.holdsKey(l) {
		return
	}
	if change.Segment != nil {
		w.store.starts[change.Segment.ID] = value
	}
	for _, id := range change.Obsolete {
		delete(w.store.starts, id)
	}
}

// finishLogWrite reports the result of a start log write to its leader.
func (w *world) finishLogWrite(l *modelLeader, change *StartLogChange, answered bool) {
	l.logWritePending = false
	switch {
	case l.ended:
	case answered:
		l.s.StartsWritten(change)
	default:
		l.s.StartsNotWritten(w.now, change, true)
	}
}

// restoreStartLog restores the recent starts of earlier leaders from the store.
func (w *world) restoreStartLog(l *modelLeader) {
	var log []StartSegment
	for _, id := range slices.SortedFunc(maps.Keys(w.store.starts), SegmentID.Compare) {
		segment := StartSegment{ID: id}
		if err := json.Unmarshal(w.store.starts[id], &segment); err != nil {
			panic(err)
		}
		log = append(log, segment)
	}
	l.s.RestoreStarts(w.now, log)
}

// scheduleLogMessage schedules a message of a start log write after a random delay.
func (w *world) scheduleLogMessage(do func()) {
	delay := time.Millisecond + time.Duration(w.logRng.IntN(30))*time.Millisecond
	w.logMessages = append(w.logMessages, message{w.now + delay, do})
}

// deliverLogMessages processes the due messages of start log writes.
func (w *world) deliverLogMessages() {
	for _, m := range popDue(&w.logMessages, w.now) {
		m.do()
	}
}
