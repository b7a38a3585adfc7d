package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// A VM's end is in no record before some tenths of a second have passed: holds have to fail
// first. A leader that dies in this time takes it along, and its successor would count the
// task's ends from nothing. The log of starts has what was started of late, so that the
// successor knows what may have ended a VM that it does not find again.

const (
	// mostObsolete bounds the segments that are removed by one write.
	mostObsolete = 8
	// obsoletePatience is how long segments wait for a write to be removed by.
	obsoletePatience = time.Second
)

// SegmentID names a segment of the log: the leader's fencing token and its number there.
type SegmentID struct {
	Fence, Number int64
}

// Compare orders segments as they were written.
func (a SegmentID) Compare(b SegmentID) int {
	return cmp.Or(cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.Number, b.Number))
}

// StartSegment is what a leader started between two writes.
type StartSegment struct {
	ID SegmentID `json:"-"`
	// VMs are those that Steps name by their place.
	VMs   []StartVM    `json:"v"`
	Steps []StepStarts `json:"s"`
}

// StartVM is one start of a VM.
type StartVM struct {
	ID   string `json:"i"`
	Born int64  `json:"b,omitempty"`
}

// StepStarts are the starts of one step's tasks.
type StepStarts struct {
	Job        string `json:"j"`
	Occurrence int    `json:"o,omitempty"`
	Step       int    `json:"s,omitempty"`
	// Runs are, for each start, the task's index, the run's number without the leader's
	// fencing token, and the VM's place.
	Runs [][3]int64 `json:"r"`
}

// StartLogChange is what has to be written of the log.
type StartLogChange struct {
	// Segment replaces what the store has under its ID; nil for none.
	Segment *StartSegment
	// Obsolete are the segments to be removed.
	Obsolete []SegmentID
}

// Len is how many starts the change adds.
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

// startLog is the log of a leader's starts, and what is left of its predecessors'.
type startLog struct {
	// tail has the runs that no write was made from yet. sent is what was sent and may not be
	// in the store, segments are there.
	tail     []*run
	sent     *segment
	segments []*segment
	next     int64
	// obsoleteSince is when the first of the segments became obsolete; 0 for none.
	obsoleteSince Time
	// inherited are the starts of earlier leaders on VMs of which nothing is known yet.
	inherited map[vmStart][]*inheritedStart
}

// segment is a part of the log that is written and removed as a whole.
type segment struct {
	id        SegmentID
	runs      []*run
	inherited []*inheritedStart
}

// inheritedStart is a start by an earlier leader.
type inheritedStart struct {
	task batch.TaskID
	run  int64
	vm   vmStart
	// settled is set once it is known what became of it. noted is the task whose record
	// then has to tell.
	settled bool
	noted   *task
}

// logStart has a successor know of a run that this leader has ordered.
func (s *Scheduler) logStart(r *run) {
	if r.number>>runBits == s.fence {
		s.starts.tail = append(s.starts.tail, r)
	}
}

// accounted reports whether a successor needs the log no more to know of the run: it has
// ended or lived, or the store has what its VM's end says of it.
func (r *run) accounted() bool {
	j := r.task.step.occ.job
	switch {
	case r.task.done || j.state.Final():
		return true
	case r.task.crash(r.number) != nil:
		return j.written >= r.task.crashVersion
	}
	return r.dead || !r.isNew()
}

func (i *inheritedStart) accounted() bool {
	if !i.settled || i.noted == nil {
		return i.settled
	}
	j := i.noted.step.occ.job
	return j.state.Final() || j.written >= i.noted.crashVersion
}

// obsolete drops what is accounted for, and reports whether nothing is left.
func (g *segment) obsolete() bool {
	g.runs = slices.DeleteFunc(g.runs, (*run).accounted)
	g.inherited = slices.DeleteFunc(g.inherited, (*inheritedStart).accounted)
	return len(g.runs) == 0 && len(g.inherited) == 0
}

// PendingStarts returns what has to be written of the log of starts, nil for nothing. riding is
// set where something else is written in any case. The change before must have been written, or
// have failed.
func (s *Scheduler) PendingStarts(now Time, riding bool) *StartLogChange {
	l := &s.starts
	l.tail = slices.DeleteFunc(l.tail, (*run).accounted)
	if len(l.tail) > 0 {
		if l.sent == nil {
			l.next++
			l.sent = &segment{id: SegmentID{s.fence, l.next}}
		}
		l.sent.runs = append(l.sent.runs, l.tail...)
		l.tail = nil
	}
	c := &StartLogChange{}
	if l.sent != nil {
		if l.sent.obsolete() {
			// An answer may have been lost.
			l.segments, l.sent = append(l.segments, l.sent), nil
		} else {
			c.Segment = l.sent.encode()
		}
	}
	for _, g := range l.segments {
		if len(c.Obsolete) < mostObsolete && g.obsolete() {
			c.Obsolete = append(c.Obsolete, g.id)
		}
	}
	if len(c.Obsolete) > 0 && l.obsoleteSince == 0 {
		l.obsoleteSince = now
	}
	due := c.Segment != nil || len(c.Obsolete) == mostObsolete || (len(c.Obsolete) > 0 && (riding || now-l.obsoleteSince >= obsoletePatience))
	if !due {
		return nil
	}
	return c
}

// StartsWritten notes that a change is in the store.
func (s *Scheduler) StartsWritten(c *StartLogChange) {
	l := &s.starts
	l.segments = slices.DeleteFunc(l.segments, func(g *segment) bool { return slices.Contains(c.Obsolete, g.id) })
	if len(c.Obsolete) > 0 {
		l.obsoleteSince = 0
	}
	if c.Segment != nil {
		for _, r := range l.sent.runs {
			r.logged = true
		}
		l.segments, l.sent = append(l.segments, l.sent), nil
	}
}

// encode returns the segment as it is written.
func (g *segment) encode() *StartSegment {
	type stepKey struct {
		job              string
		occurrence, step int
	}
	out := &StartSegment{ID: g.id}
	vms, steps := map[vmStart]int{}, map[stepKey]int{}
	for _, r := range g.runs {
		start, id := r.vm.thisStart(), r.task.id()
		vm, known := vms[start]
		if !known {
			vm = len(out.VMs)
			vms[start] = vm
			out.VMs = append(out.VMs, StartVM{ID: start.id, Born: start.born})
		}
		key := stepKey{id.Job, id.Occurrence, id.Step}
		step, known := steps[key]
		if !known {
			step = len(out.Steps)
			steps[key] = step
			out.Steps = append(out.Steps, StepStarts{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step})
		}
		out.Steps[step].Runs = append(out.Steps[step].Runs, [3]int64{int64(id.Index), r.number & (1<<runBits - 1), int64(vm)})
	}
	return out
}

// RestoreStarts takes over what earlier leaders started of late. Call it once the VMs that they
// used and their jobs are known. It returns how many starts these are.
func (s *Scheduler) RestoreStarts(now Time, log []StartSegment) int {
	count := 0
	for i := range log {
		g := &segment{id: log[i].ID, inherited: log[i].starts()}
		s.starts.segments = append(s.starts.segments, g)
		count += len(g.inherited)
		for _, start := range g.inherited {
			s.inherit(now, start)
		}
	}
	return count
}

// inherit takes a start by an earlier leader over.
func (s *Scheduler) inherit(now Time, i *inheritedStart) {
	v := s.vms[i.vm.id]
	switch {
	case s.hasEnded(i.vm):
		s.noteInherited(now, i, crashUnseen)
	case v == nil:
		s.noteInherited(now, i, crashDoubted)
	case !v.heard || s.awaited(i.vm.id):
		s.starts.inherited[i.vm] = append(s.starts.inherited[i.vm], i)
	case v.mayBe(i.vm.born):
		// It has told what it runs, and has seen this leader's fencing token before.
		i.settled = true
	default:
		s.noteInherited(now, i, crashUnseen)
	}
}

// starts returns what the segment names. What another program has written may name nothing.
func (g *StartSegment) starts() []*inheritedStart {
	var out []*inheritedStart
	for _, st := range g.Steps {
		for _, r := range st.Runs {
			index, number, vm := r[0], r[1], r[2]
			if index < 0 || st.Step < 0 || vm < 0 || vm >= int64(len(g.VMs)) {
				continue
			}
			out = append(out, &inheritedStart{
				task: batch.TaskID{Job: st.Job, Occurrence: st.Occurrence, Step: st.Step, Index: int(index)},
				run:  g.ID.Fence<<runBits | number, vm: vmStart{g.VMs[vm].ID, g.VMs[vm].Born},
			})
		}
	}
	return out
}

// inheritedOn returns the starts of a VM to which earlier leaders gave something, by birth.
func (s *Scheduler) inheritedOn(id string) []vmStart {
	var on []vmStart
	for start := range s.starts.inherited {
		if start.id == id {
			on = append(on, start)
		}
	}
	slices.SortFunc(on, func(a, b vmStart) int { return cmp.Compare(a.born, b.born) })
	return on
}

// settleHeard takes in a VM's first whole report: what it tells of is known from now on, and
// what it does not tell of has never begun there. Its earlier starts have ended.
func (s *Scheduler) settleHeard(now Time, v *vm, rep *batch.Report) {
	if rep.MoreEnded || len(s.starts.inherited) == 0 {
		return
	}
	told := toldRuns(rep)
	for _, start := range s.inheritedOn(v.inst.ID) {
		for _, i := range s.takeInherited(start) {
			if v.mayBe(start.born) || told[runKey{i.task, i.run}] {
				i.settled = true
				continue
			}
			s.noteInherited(now, i, crashUnseen)
		}
	}
}

// settleGone takes in that a VM has ended. One that was to end was ended by nothing there.
func (s *Scheduler) settleGone(now Time, v *vm) {
	if !v.inst.Draining && !v.closed {
		s.settleInherited(now, v.inst.ID, crashUnseen)
		return
	}
	for _, start := range s.inheritedOn(v.inst.ID) {
		for _, i := range s.takeInherited(start) {
			i.settled = true
		}
	}
}

// settleInherited notes what is to be thought of all that earlier leaders started on a VM.
func (s *Scheduler) settleInherited(now Time, id string, kind crashKind) {
	for _, start := range s.inheritedOn(id) {
		for _, i := range s.takeInherited(start) {
			s.noteInherited(now, i, kind)
		}
	}
}

func (s *Scheduler) takeInherited(start vmStart) []*inheritedStart {
	taken := s.starts.inherited[start]
	delete(s.starts.inherited, start)
	return taken
}

// noteInherited records what the end of a VM says of a start by an earlier leader.
func (s *Scheduler) noteInherited(now Time, i *inheritedStart, kind crashKind) {
	i.settled = true
	s.openTold(now, i.task)
	t := s.task(i.task)
	if t == nil || t.done || t.step.occ.job.state.Final() || t.hasRun(i.run) || t.crash(i.run) != nil || slices.Contains(t.failedRuns, i.run) {
		return
	}
	i.noted = t
	t.setCrash(crash{run: i.run, kind: kind, vm: i.vm})
	s.touchCrashes(t)
	if kind == crashDoubted {
		s.doubt(i.vm, t, i.run)
	}
	s.logf(Decision{Event: EventCrashNoted, Task: i.task, VM: i.vm.id, Run: i.run, Reason: "inherited: " + crashKindNames[kind], Value: float64(len(t.crashes)), Born: i.vm.born})
	s.judgeCrashes(now, t)
}
