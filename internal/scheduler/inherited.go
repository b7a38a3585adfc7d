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
func (start *inheritedStart) isAccountedFor() bool {
	switch {
	case !start.resolved:
		return false
	case start.adopted != nil:
		return start.adopted.isAccountedFor()
	case start.crashedTask != nil:
		j := start.crashedTask.step.occ.job
		return j.state.Final() || j.writtenVersion >= start.crashedTask.crashVersion
	}
	return true
}

// resolveAlive resolves the start after its VM has reported what it runs.
func (start *inheritedStart) resolveAlive(v *vm) {
	start.resolved = true
	if r := v.runs[start.task]; r != nil && r.number == start.run {
		start.adopted = r
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
func (s *Scheduler) inheritStart(now Time, start *inheritedStart) {
	v := s.vms[start.vm.id]
	switch {
	case s.hasEnded(start.vm):
		s.recordInheritedCrash(now, start, crashUnseen)
	case v == nil:
		s.recordInheritedCrash(now, start, crashUnconfirmed)
	case !v.hasReported || s.isAwaited(start.vm.id):
		s.startLog.inherited[start.vm] = append(s.startLog.inherited[start.vm], start)
	case v.matchesBirth(start.vm.born):
		// The VM has seen this leader's fencing token and refuses later starts by an earlier one.
		start.resolveAlive(v)
	default:
		s.recordInheritedCrash(now, start, crashUnseen)
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
		for _, start := range s.removeInherited(inc) {
			if v.matchesBirth(inc.born) || reported[runKey{start.task, start.run}] {
				start.resolveAlive(v)
				continue
			}
			s.recordInheritedCrash(now, start, crashUnseen)
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
		for _, start := range s.removeInherited(inc) {
			start.resolved = true
		}
	}
}

// resolveInherited records a crash of the given kind for every inherited start on a VM.
func (s *Scheduler) resolveInherited(now Time, id string, kind crashKind) {
	for _, inc := range s.inheritedOn(id) {
		for _, start := range s.removeInherited(inc) {
			s.recordInheritedCrash(now, start, kind)
		}
	}
}

func (s *Scheduler) removeInherited(inc vmIncarnation) []*inheritedStart {
	starts := s.startLog.inherited[inc]
	delete(s.startLog.inherited, inc)
	return starts
}

// recordInheritedCrash records what the end of a VM implies about a start by an earlier leader.
func (s *Scheduler) recordInheritedCrash(now Time, start *inheritedStart, kind crashKind) {
	start.resolved = true
	s.openReported(now, start.task)
	t := s.task(start.task)
	if t == nil || t.done || t.step.occ.job.state.Final() || t.hasRun(start.run) || slices.Contains(t.failedRuns, start.run) {
		return
	}
	start.crashedTask = t
	if t.crash(start.run) != nil {
		return
	}
	t.setCrash(crash{run: start.run, kind: kind, vm: start.vm})
	switch kind {
	case crashUnconfirmed:
		s.addUnconfirmed(start.vm, t, start.run)
	case crashUnseen:
		s.recordUnseenEnd(start)
		kind = t.crash(start.run).kind
	case crashShared, crashIsolated, crashMass, crashStorm, crashUnloggedStart:
	}
	s.markCrashesChanged(t)
	s.logf(Decision{Event: EventCrashNoted, Task: start.task, VM: start.vm.id, Run: start.run, Reason: "inherited: " + crashKindNames[kind], Value: float64(len(t.crashes)), Born: start.vm.born})
	s.evaluateCrashes(now, t)
}

// recordUnseenEnd records that a VM has ended with a start by an earlier leader. If several VMs
// have ended, with more starts than trials can handle at one time, a rack or power was lost
// together with that leader. As when a leader observes such a loss, the first such end does not
// make a task suspect.
func (s *Scheduler) recordUnseenEnd(start *inheritedStart) {
	l := &s.startLog
	l.unseenStarts = append(l.unseenStarts, start)
	l.lostVMs[start.vm.id] = true
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
