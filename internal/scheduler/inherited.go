package scheduler

import (
	"cmp"
	"slices"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Recent starts by earlier leaders are resolved VM by VM. A VM that reports shows what became of
// them; on a VM that has ended, any of them may have caused the end.

// inheritedStart is a start by an earlier leader. It is resolved once its outcome is known: then
// adopted is the run if its VM has it, and crashedTask is the task whose record has to hold the
// crash if it may have ended its VM.
type inheritedStart struct {
	task        batch.TaskID
	run         int64
	vm          vmIncarnation
	resolved    bool
	adopted     *run
	crashedTask *task
}

// isAccountedFor reports whether a successor no longer needs the log for the start.
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

// resolveAlive resolves the start after its VM has reported what it runs.
func (i *inheritedStart) resolveAlive(v *vm) {
	i.resolved = true
	if r := v.runs[i.task]; r != nil && r.number == i.run {
		i.adopted = r
	}
}

// RestoreStarts restores the recent starts of earlier leaders and returns their number. Call it
// once the VMs that they used and their jobs are loaded.
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

// inheritStart adds a start by an earlier leader.
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
		// The VM has seen this leader's fencing token and refuses later starts by an earlier one.
		i.resolveAlive(v)
	default:
		s.recordInheritedCrash(now, i, crashUnseen)
	}
}

// inheritedStarts returns the starts in the segment. Indexes out of range, as another program may
// have written them, are skipped.
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

// inheritedOn returns the incarnations of a VM with inherited starts, ordered by birth.
func (s *Scheduler) inheritedOn(id string) []vmIncarnation {
	var incs []vmIncarnation
	for inc := range s.startLog.inherited {
		if inc.id == id {
			incs = append(incs, inc)
		}
	}
	slices.SortFunc(incs, func(a, b vmIncarnation) int { return cmp.Compare(a.born, b.born) })
	return incs
}

// resolveFromReport resolves the starts on a VM by its first complete report: a start that the
// report does not list never began there. Earlier incarnations of the VM have ended.
func (s *Scheduler) resolveFromReport(now Time, v *vm, rep *batch.Report) {
	if rep.MoreEnded || len(s.startLog.inherited) == 0 {
		return
	}
	reported := reportedRuns(rep)
	for _, inc := range s.inheritedOn(v.inst.ID) {
		for _, i := range s.removeInherited(inc) {
			if v.matchesBirth(inc.born) || reported[runKey{i.task, i.run}] {
				i.resolveAlive(v)
				continue
			}
			s.recordInheritedCrash(now, i, crashUnseen)
		}
	}
}

// resolveEndedVM resolves the starts on a VM that has ended. A VM that was about to end was not
// ended by a task.
func (s *Scheduler) resolveEndedVM(now Time, v *vm) {
	if !v.inst.Draining && !v.closed {
		s.resolveInherited(now, v.inst.ID, crashUnseen)
		return
	}
	for _, inc := range s.inheritedOn(v.inst.ID) {
		for _, i := range s.removeInherited(inc) {
			i.resolved = true
		}
	}
}

// resolveInherited records a crash of the given kind for every inherited start on a VM.
func (s *Scheduler) resolveInherited(now Time, id string, kind crashKind) {
	for _, inc := range s.inheritedOn(id) {
		for _, i := range s.removeInherited(inc) {
			s.recordInheritedCrash(now, i, kind)
		}
	}
}

func (s *Scheduler) removeInherited(inc vmIncarnation) []*inheritedStart {
	starts := s.startLog.inherited[inc]
	delete(s.startLog.inherited, inc)
	return starts
}

// recordInheritedCrash records what the end of a VM implies about a start by an earlier leader.
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

// recordUnseenEnd records that a VM has ended with a start by an earlier leader. If several VMs
// have ended, with more starts than trials can handle at one time, a rack or power was lost
// together with that leader. As when a leader observes such a loss, the first such end does not
// make a task suspect.
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
