package scheduler

import (
	"maps"
	"slices"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// A leader that is deposed or cut off from the store as a VM ends can't record what that implies
// about the tasks there. Its process still has this state, and reports it to its successor.

// CrashReport is what a leader reports to its successor about a run whose VM ended, or may have.
type CrashReport struct {
	Task batch.TaskID
	Run  int64
	// Kind is a crashKind, as in progress records.
	Kind int64
	// VM is the instance, Born identifies its incarnation.
	VM   string
	Born int64
	// Lived is as in progress records.
	Lived bool
}

// maxCrashReports bounds the rows that a leader reports, crashes first. A row takes some 80
// bytes.
const maxCrashReports = 2000

// UnrecordedCrashes returns what the store may lack: crashes that were not written, recent runs
// on VMs that leave holds unanswered, and recent runs that are not in the log of starts.
func (s *Scheduler) UnrecordedCrashes() []CrashReport {
	var crashes, started []CrashReport
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		for _, number := range slices.Sorted(maps.Keys(j.occs)) {
			for i := range j.occs[number].steps {
				for k := range j.occs[number].steps[i].tasks {
					t := &j.occs[number].steps[i].tasks[k]
					crashes = append(crashes, t.unrecordedCrashes()...)
					started = append(started, t.unloggedStarts()...)
				}
			}
		}
	}
	reports := append(crashes, started...)
	return reports[:min(len(reports), maxCrashReports)]
}

// crashReport returns the row for a crash of the task.
func (t *task) crashReport(c crash) CrashReport {
	return CrashReport{Task: t.id(), Run: c.run, Kind: int64(c.kind), VM: c.vm.id, Born: c.vm.born, Lived: c.lived}
}

func (t *task) unrecordedCrashes() []CrashReport {
	j := t.step.occ.job
	if t.done || j.state.Final() {
		return nil
	}
	var reports []CrashReport
	for _, c := range t.crashes {
		if c.vm.id != "" && j.writtenVersion < t.crashVersion {
			reports = append(reports, t.crashReport(c))
		}
	}
	for _, r := range t.runs {
		if r.vm.firstUnansweredAt > 0 && r.mayHaveCrashed() && t.crash(r.number) == nil {
			reports = append(reports, t.crashReport(r.toCrash(crashUnconfirmed, r.vm.incarnation())))
		}
	}
	return reports
}

// unloggedStarts returns rows for recent runs on responsive VMs that are not in the log of
// starts.
func (t *task) unloggedStarts() []CrashReport {
	if t.done || t.step.occ.job.state.Final() {
		return nil
	}
	var reports []CrashReport
	for _, r := range t.runs {
		if r.vm.firstUnansweredAt == 0 && r.mayHaveCrashed() && !r.inStartLog && t.crash(r.number) == nil {
			reports = append(reports, t.crashReport(r.toCrash(crashUnloggedStart, r.vm.incarnation())))
		}
	}
	return reports
}

// AcceptCrashReports processes the crashes that an earlier leader reports.
func (s *Scheduler) AcceptCrashReports(now Time, reports []CrashReport) {
	for i := range reports {
		rep := &reports[i]
		if rep.Task.Step < 0 || rep.Task.Index < 0 {
			continue
		}
		if _, known := crashKindNames[crashKind(rep.Kind)]; !known {
			// The kind is from another version of the program.
			continue
		}
		if crashKind(rep.Kind) == crashUnloggedStart {
			s.inheritStart(now, &inheritedStart{task: rep.Task, run: rep.Run, vm: vmIncarnation{rep.VM, rep.Born}})
			continue
		}
		t := s.task(rep.Task)
		if t == nil || t.done || t.step.occ.job.state.Final() || t.hasRun(rep.Run) {
			continue
		}
		c := crash{run: rep.Run, kind: crashKind(rep.Kind), vm: vmIncarnation{rep.VM, rep.Born}, lived: rep.Lived}
		known := t.crash(rep.Run)
		switch {
		case known == nil && c.kind == crashUnconfirmed:
			s.addUnconfirmed(c.vm, t, c.run)
		case known != nil && (known.kind != crashUnconfirmed || c.kind == crashUnconfirmed):
			continue
		case known != nil:
			s.removeUnconfirmed(known.vm, t)
		}
		t.setCrash(c)
		s.markCrashesChanged(t)
		s.logf(Decision{Event: EventCrashNoted, Task: t.id(), VM: rep.VM, Run: rep.Run, Reason: "told: " + crashKindNames[c.kind], Value: float64(len(t.crashes)), Born: rep.Born})
		s.evaluateCrashes(now, t)
	}
}
