package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// The end of a VM is recorded some tenths of a second late, since holds have to fail first. If
// the leader dies in that time the end is never recorded, and its successor would restart the
// task's count from zero. The log of starts holds recent starts, so that the successor can tell
// which tasks may have ended a VM that is gone.

const (
	// maxObsoleteRemovals bounds the segments that are removed by one write.
	maxObsoleteRemovals = 8
	// obsoleteRemovalDelay is how long obsolete segments wait for another write to remove them
	// with.
	obsoleteRemovalDelay = time.Second
	// lateWriteWindow bounds how late the store may carry out a write that had no response.
	lateWriteWindow = 5 * time.Second
)

// SegmentID identifies a segment of the log by the leader's fencing token and the segment's
// number within that leader's tenure.
type SegmentID struct {
	Fence, Number int64
}

// Compare orders segments by the time of writing.
func (a SegmentID) Compare(b SegmentID) int {
	return cmp.Or(cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.Number, b.Number))
}

// StartSegment holds the starts of a leader between two writes.
type StartSegment struct {
	ID SegmentID `json:"-"`
	// VMs are referenced by index from Steps.
	VMs   []StartVM    `json:"v"`
	Steps []StepStarts `json:"s"`
}

// StartVM is an incarnation of a VM.
type StartVM struct {
	ID   string `json:"i"`
	Born int64  `json:"b,omitempty"`
}

// StepStarts holds the starts of one step's tasks.
type StepStarts struct {
	Job        string `json:"j"`
	Occurrence int    `json:"o,omitempty"`
	Step       int    `json:"s,omitempty"`
	// Runs holds for each start the task's index, the run's number without the fencing token in
	// its upper bits (which is the segment's), and the VM's index.
	Runs [][3]int64 `json:"r"`
}

// StartLogChange is a pending write to the log.
type StartLogChange struct {
	// Segment is to be written under its ID; nil for none.
	Segment *StartSegment
	// Obsolete are the segments to be removed.
	Obsolete []SegmentID
}

// Len returns the number of starts that the change adds.
func (c *StartLogChange) Len() int {
	n := 0
	if c == nil || c.Segment == nil {
		return n
	}
	for i := range c.Segment.Steps {
		n += len(c.Segment.Steps[i].Runs)
	}
	return n
}

// startLog is the log of a leader's starts, with what remains of its predecessors' logs.
type startLog struct {
	// tail has the runs whose write is neither under way nor answered. inFlight is being written;
	// segments may be in the store.
	tail     []*run
	inFlight *segment
	segments []*segment
	next     int64
	// obsoleteSince is when the first of the segments became obsolete; 0 for none.
	obsoleteSince Time
	// inherited are the starts by earlier leaders on VMs whose status is still unknown.
	inherited map[vmIncarnation][]*inheritedStart
	// unseenStarts are those of them whose VMs have ended; lostVMs are these VMs.
	unseenStarts []*inheritedStart
	lostVMs      map[string]bool
}

// segment is a part of the log that is written and removed as a whole.
type segment struct {
	id SegmentID
	// retainUntil is set if its write had no response: it may be carried out until then.
	retainUntil Time
	runs        []*run
	inherited   []*inheritedStart
}

// logStart adds a run that this leader has ordered to the log.
func (s *Scheduler) logStart(r *run) {
	if r.number>>runNumberBits == s.fence {
		s.startLog.tail = append(s.startLog.tail, r)
	}
}

// isAccountedFor reports whether a successor no longer needs the log for the run: it has ended or
// lived long enough, or the store has what its VM's end implies.
func (r *run) isAccountedFor() bool {
	j := r.task.step.occ.job
	switch {
	case r.task.done || j.state.Final():
		return true
	case !r.released:
		// A suspect's recorded run is removed as soon as its VM lists it, so the record does not
		// suffice.
		return !r.isRecent()
	case r.task.crash(r.number) != nil:
		return j.writtenVersion >= r.task.crashVersion
	}
	return true
}

// prune drops the starts that are accounted for, and reports whether the segment is obsolete.
func (g *segment) prune(now Time) bool {
	g.runs = slices.DeleteFunc(g.runs, (*run).isAccountedFor)
	g.inherited = slices.DeleteFunc(g.inherited, (*inheritedStart).isAccountedFor)
	return len(g.runs) == 0 && len(g.inherited) == 0 && now >= g.retainUntil
}

// PendingStarts returns what has to be written of the log of starts, or nil. otherWrites is set
// if something else is written in any case. Report the result of the write with StartsWritten or
// StartsNotWritten before the next call.
func (s *Scheduler) PendingStarts(now Time, otherWrites bool) *StartLogChange {
	l := &s.startLog
	c := &StartLogChange{}
	l.tail = slices.DeleteFunc(l.tail, (*run).isAccountedFor)
	if len(l.tail) > 0 {
		l.next++
		l.inFlight, l.tail = &segment{id: SegmentID{s.fence, l.next}, runs: l.tail}, nil
		c.Segment = l.inFlight.encode()
	}
	for _, g := range l.segments {
		if len(c.Obsolete) < maxObsoleteRemovals && g.prune(now) {
			c.Obsolete = append(c.Obsolete, g.id)
		}
	}
	if len(c.Obsolete) > 0 && l.obsoleteSince == 0 {
		l.obsoleteSince = now
	}
	due := c.Segment != nil || len(c.Obsolete) == maxObsoleteRemovals || (len(c.Obsolete) > 0 && (otherWrites || now-l.obsoleteSince >= obsoleteRemovalDelay))
	if !due {
		return nil
	}
	return c
}

// StartsWritten records that a change is in the store.
func (s *Scheduler) StartsWritten(c *StartLogChange) {
	l := &s.startLog
	l.segments = slices.DeleteFunc(l.segments, func(g *segment) bool { return slices.Contains(c.Obsolete, g.id) })
	if len(c.Obsolete) > 0 {
		l.obsoleteSince = 0
	}
	if c.Segment != nil {
		for _, r := range l.inFlight.runs {
			r.inStartLog = true
		}
		l.segments, l.inFlight = append(l.segments, l.inFlight), nil
	}
}

// StartsNotWritten records that a change is not in the store or, if unknown is set, may not be.
// Its starts are written again in a segment with another number: a write that is carried out late
// must not replace a newer one.
func (s *Scheduler) StartsNotWritten(now Time, c *StartLogChange, unknown bool) {
	l := &s.startLog
	if c.Segment == nil {
		return
	}
	if unknown {
		l.segments = append(l.segments, &segment{id: l.inFlight.id, retainUntil: now + lateWriteWindow})
	}
	l.tail, l.inFlight = append(l.inFlight.runs, l.tail...), nil
}

// encode returns the segment in its stored form.
func (g *segment) encode() *StartSegment {
	type stepKey struct {
		job              string
		occurrence, step int
	}
	out := &StartSegment{ID: g.id}
	vms, steps := map[vmIncarnation]int{}, map[stepKey]int{}
	for _, r := range g.runs {
		inc, id := r.vm.incarnation(), r.task.id()
		vm, known := vms[inc]
		if !known {
			vm = len(out.VMs)
			vms[inc] = vm
			out.VMs = append(out.VMs, StartVM{ID: inc.id, Born: inc.born})
		}
		key := stepKey{id.Job, id.Occurrence, id.Step}
		step, known := steps[key]
		if !known {
			step = len(out.Steps)
			steps[key] = step
			out.Steps = append(out.Steps, StepStarts{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step})
		}
		out.Steps[step].Runs = append(out.Steps[step].Runs, [3]int64{int64(id.Index), r.number & (1<<runNumberBits - 1), int64(vm)})
	}
	return out
}
