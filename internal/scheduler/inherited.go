package scheduler

import (
	"cmp"
	"slices"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// What earlier leaders started of late is settled VM by VM: one that is heard tells what became of
// it; what was on one that has ended may have ended it.

// inheritedStart is a start by an earlier leader. It is settled once it is known what became of it:
// then live is the run, if its VM has it, and noted the task whose record has to tell, if it may have
// ended its VM.
type inheritedStart struct {
	task    batch.TaskID
	run     int64
	vm      vmStart
	settled bool
	live    *run
	noted   *task
}

// accounted reports whether a successor needs the log no more to know of the start.
func (i *inheritedStart) accounted() bool {
	switch {
	case !i.settled:
		return false
	case i.live != nil:
		return i.live.accounted()
	case i.noted != nil:
		j := i.noted.step.occ.job
		return j.state.Final() || j.writtenVersion >= i.noted.crashVersion
	}
	return true
}

// settleAlive takes in that the VM has told what it runs.
func (i *inheritedStart) settleAlive(v *vm) {
	i.settled = true
	if r := v.runs[i.task]; r != nil && r.number == i.run {
		i.live = r
	}
}

// RestoreStarts takes over what earlier leaders started of late. Call it once the VMs that they
// used and their jobs are known. It returns how many starts these are.
func (s *Scheduler) RestoreStarts(now Time, log []StartSegment) int {
	count := 0
	for i := range log {
		g := &segment{id: log[i].ID, inherited: log[i].inheritedStarts()}
		s.startLog.segments = append(s.startLog.segments, g)
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
	case !v.hasReported || s.awaited(i.vm.id):
		s.startLog.inherited[i.vm] = append(s.startLog.inherited[i.vm], i)
	case v.mayBe(i.vm.born):
		// It has seen this leader's fencing token, and begins nothing of an earlier one any more.
		i.settleAlive(v)
	default:
		s.noteInherited(now, i, crashUnseen)
	}
}

// inheritedStarts returns what the segment names. What another program has written may name nothing.
func (g *StartSegment) inheritedStarts() []*inheritedStart {
	var out []*inheritedStart
	for _, st := range g.Steps {
		for _, r := range st.Runs {
			index, number, vm := r[0], r[1], r[2]
			if index < 0 || st.Step < 0 || vm < 0 || vm >= int64(len(g.VMs)) {
				continue
			}
			out = append(out, &inheritedStart{
				task: batch.TaskID{Job: st.Job, Occurrence: st.Occurrence, Step: st.Step, Index: int(index)},
				run:  g.ID.Fence<<runNumberBits | number, vm: vmStart{g.VMs[vm].ID, g.VMs[vm].Born},
			})
		}
	}
	return out
}

// inheritedOn returns the starts of a VM to which earlier leaders gave something, by birth.
func (s *Scheduler) inheritedOn(id string) []vmStart {
	var on []vmStart
	for start := range s.startLog.inherited {
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
	if rep.MoreEnded || len(s.startLog.inherited) == 0 {
		return
	}
	told := toldRuns(rep)
	for _, start := range s.inheritedOn(v.inst.ID) {
		for _, i := range s.takeInherited(start) {
			if v.mayBe(start.born) || told[runKey{i.task, i.run}] {
				i.settleAlive(v)
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
	taken := s.startLog.inherited[start]
	delete(s.startLog.inherited, start)
	return taken
}

// noteInherited records what the end of a VM says of a start by an earlier leader.
func (s *Scheduler) noteInherited(now Time, i *inheritedStart, kind crashKind) {
	i.settled = true
	s.openReported(now, i.task)
	t := s.task(i.task)
	if t == nil || t.done || t.step.occ.job.state.Final() || t.hasRun(i.run) || slices.Contains(t.failedRuns, i.run) {
		return
	}
	i.noted = t
	if t.crash(i.run) != nil {
		return
	}
	t.setCrash(crash{run: i.run, kind: kind, vm: i.vm})
	switch kind {
	case crashDoubted:
		s.doubt(i.vm, t, i.run)
	case crashUnseen:
		s.noteUnseen(i)
		kind = t.crash(i.run).kind
	case crashShared, crashAlone, crashMass, crashStorm, crashStarted:
	}
	s.touchCrashes(t)
	s.logf(Decision{Event: EventCrashNoted, Task: i.task, VM: i.vm.id, Run: i.run, Reason: "inherited: " + crashKindNames[kind], Value: float64(len(t.crashes)), Born: i.vm.born})
	s.judgeCrashes(now, t)
}

// noteUnseen takes in that a VM has ended with a start of an earlier leader. Where several have, with
// more starts than there are trials at one time, a rack or power was lost with that leader: as where a
// leader lives to see it, the first such end is no ground for suspicion.
func (s *Scheduler) noteUnseen(i *inheritedStart) {
	l := &s.startLog
	l.unseen = append(l.unseen, i)
	l.lostVMs[i.vm.id] = true
	if len(l.lostVMs) <= massVMs || len(l.unseen) <= suspectsAtOnce {
		return
	}
	for _, u := range l.unseen {
		if c := u.noted.crash(u.run); c != nil && c.kind == crashUnseen && len(u.noted.crashes) == 1 {
			c.kind = crashMass
			s.touchCrashes(u.noted)
		}
	}
}
