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
	task        batch.TaskID
	run         int64
	vm          vmIncarnation
	resolved    bool
	adopted     *run
	crashedTask *task
}

// isAccountedFor reports whether a successor needs the log no more to know of the start.
func (i *inheritedStart) isAccountedFor() bool {
	switch {
	case !i.resolved:
		return false
	case i.adopted != nil:
		return i.adopted.isAccountedFor()
	case i.crashedTask != nil:
		j := i.crashedTask.step.occ.job
		return j.state.Final() || j.writtenVersion >= i.crashedTask.crashVersion
	}
	return true
}

// resolveAlive takes in that the VM has told what it runs.
func (i *inheritedStart) resolveAlive(v *vm) {
	i.resolved = true
	if r := v.runs[i.task]; r != nil && r.number == i.run {
		i.adopted = r
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
			s.inheritStart(now, start)
		}
	}
	return count
}

// inheritStart takes a start by an earlier leader over.
func (s *Scheduler) inheritStart(now Time, i *inheritedStart) {
	v := s.vms[i.vm.id]
	switch {
	case s.hasEnded(i.vm):
		s.recordInheritedCrash(now, i, crashUnseen)
	case v == nil:
		s.recordInheritedCrash(now, i, crashUnconfirmed)
	case !v.hasReported || s.isAwaited(i.vm.id):
		s.startLog.inherited[i.vm] = append(s.startLog.inherited[i.vm], i)
	case v.matchesBirth(i.vm.born):
		// It has seen this leader's fencing token, and begins nothing of an earlier one any more.
		i.resolveAlive(v)
	default:
		s.recordInheritedCrash(now, i, crashUnseen)
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
				run:  g.ID.Fence<<runNumberBits | number, vm: vmIncarnation{g.VMs[vm].ID, g.VMs[vm].Born},
			})
		}
	}
	return out
}

// inheritedOn returns the starts of a VM to which earlier leaders gave something, by birth.
func (s *Scheduler) inheritedOn(id string) []vmIncarnation {
	var on []vmIncarnation
	for start := range s.startLog.inherited {
		if start.id == id {
			on = append(on, start)
		}
	}
	slices.SortFunc(on, func(a, b vmIncarnation) int { return cmp.Compare(a.born, b.born) })
	return on
}

// resolveFromReport takes in a VM's first whole report: what it tells of is known from now on, and
// what it does not tell of has never begun there. Its earlier starts have ended.
func (s *Scheduler) resolveFromReport(now Time, v *vm, rep *batch.Report) {
	if rep.MoreEnded || len(s.startLog.inherited) == 0 {
		return
	}
	told := reportedRuns(rep)
	for _, start := range s.inheritedOn(v.inst.ID) {
		for _, i := range s.removeInherited(start) {
			if v.matchesBirth(start.born) || told[runKey{i.task, i.run}] {
				i.resolveAlive(v)
				continue
			}
			s.recordInheritedCrash(now, i, crashUnseen)
		}
	}
}

// resolveEndedVM takes in that a VM has ended. One that was to end was ended by nothing there.
func (s *Scheduler) resolveEndedVM(now Time, v *vm) {
	if !v.inst.Draining && !v.closed {
		s.resolveInherited(now, v.inst.ID, crashUnseen)
		return
	}
	for _, start := range s.inheritedOn(v.inst.ID) {
		for _, i := range s.removeInherited(start) {
			i.resolved = true
		}
	}
}

// resolveInherited notes what is to be thought of all that earlier leaders started on a VM.
func (s *Scheduler) resolveInherited(now Time, id string, kind crashKind) {
	for _, start := range s.inheritedOn(id) {
		for _, i := range s.removeInherited(start) {
			s.recordInheritedCrash(now, i, kind)
		}
	}
}

func (s *Scheduler) removeInherited(start vmIncarnation) []*inheritedStart {
	taken := s.startLog.inherited[start]
	delete(s.startLog.inherited, start)
	return taken
}

// recordInheritedCrash records what the end of a VM says of a start by an earlier leader.
func (s *Scheduler) recordInheritedCrash(now Time, i *inheritedStart, kind crashKind) {
	i.resolved = true
	s.openReported(now, i.task)
	t := s.task(i.task)
	if t == nil || t.done || t.step.occ.job.state.Final() || t.hasRun(i.run) || slices.Contains(t.failedRuns, i.run) {
		return
	}
	i.crashedTask = t
	if t.crash(i.run) != nil {
		return
	}
	t.setCrash(crash{run: i.run, kind: kind, vm: i.vm})
	switch kind {
	case crashUnconfirmed:
		s.addUnconfirmed(i.vm, t, i.run)
	case crashUnseen:
		s.recordUnseenEnd(i)
		kind = t.crash(i.run).kind
	case crashShared, crashIsolated, crashMass, crashStorm, crashUnloggedStart:
	}
	s.markCrashesChanged(t)
	s.logf(Decision{Event: EventCrashNoted, Task: i.task, VM: i.vm.id, Run: i.run, Reason: "inherited: " + crashKindNames[kind], Value: float64(len(t.crashes)), Born: i.vm.born})
	s.evaluateCrashes(now, t)
}

// recordUnseenEnd takes in that a VM has ended with a start of an earlier leader. Where several have, with
// more starts than there are trials at one time, a rack or power was lost with that leader: as where a
// leader lives to see it, the first such end is no ground for suspicion.
func (s *Scheduler) recordUnseenEnd(i *inheritedStart) {
	l := &s.startLog
	l.unseenStarts = append(l.unseenStarts, i)
	l.lostVMs[i.vm.id] = true
	if len(l.lostVMs) <= minMassEnds || len(l.unseenStarts) <= maxSuspectsPerPass {
		return
	}
	for _, u := range l.unseenStarts {
		if c := u.crashedTask.crash(u.run); c != nil && c.kind == crashUnseen && len(u.crashedTask.crashes) == 1 {
			c.kind = crashMass
			s.markCrashesChanged(u.crashedTask)
		}
	}
}
