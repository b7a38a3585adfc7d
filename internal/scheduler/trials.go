package scheduler

import (
	"slices"
	"time"
)

const (
	// maxTrialWait is how long a suspect waits for a VM without other recent runs: a VM that
	// accepts nothing new has none after two reports. After that the suspect is started beside
	// other runs, since a task whose turn has come may not wait much longer.
	maxTrialWait = 2200 * time.Millisecond
	// trialReservationDuration is how long a VM is reserved for a suspect, which starts there as
	// soon as no other run is recent.
	trialReservationDuration = maxTrialWait + 300*time.Millisecond
	// maxTrialShare is the share of the VMs that may be used for trials at one time; the others
	// go on accepting new tasks.
	maxTrialShare = 0.25
	// maxTrialCandidates bounds the VMs compared for one trial, maxSuspectsPerPass the suspects
	// considered in one pass: there may be a thousand VMs, but suspects are few.
	maxTrialCandidates = 64
	maxSuspectsPerPass = 16
)

// trialUnit identifies what is on trial together: a gang or a single task.
type trialUnit struct {
	task *task
	gang *step
}

func (t *task) unit() trialUnit {
	if t.step.spec.Gang {
		return trialUnit{gang: t.step}
	}
	return trialUnit{task: t}
}

// onTrial reports whether the VM is used or reserved for the trial of another task.
func (v *vm) onTrial(now Time, t *task) bool {
	if v.trialRun != nil && v.trialRun.task.unit() != t.unit() {
		return true
	}
	return v.reservedTask != nil && now < v.reservedUntil && v.reservedTask.unit() != t.unit()
}

// hasRecentRunsOfOthers reports whether the VM has recent runs other than the task's and its
// gang's.
func (v *vm) hasRecentRunsOfOthers(t *task) bool {
	for _, r := range v.runList {
		if r.isRecent() && r.task.unit() != t.unit() {
			return true
		}
	}
	return false
}

// endTrial reopens the VM of a run for other tasks if the run was on trial.
func (s *Scheduler) endTrial(r *run) {
	if r.vm.trialRun != r {
		return
	}
	r.vm.trialRun = nil
	for _, o := range r.vm.runList {
		if o != r && o.task.unit() == r.task.unit() && o.isRecent() {
			// The trial goes on with another member of the gang.
			r.vm.trialRun = o
			return
		}
	}
	s.planNeeded = true
}

// countTrials counts the VMs that are used or reserved for trials.
func (s *Scheduler) countTrials(now Time) int {
	n := 0
	for _, v := range s.vmList {
		if v.trialRun != nil || (v.reservedTask != nil && now < v.reservedUntil) {
			n++
		}
	}
	return n
}

// countResponding counts the responsive VMs. The entry of a VM that has ended stays for some
// seconds.
func (s *Scheduler) countResponding(now Time) int {
	n := 0
	for _, v := range s.vmList {
		if v.hasReported && v.firstUnansweredAt == 0 && !v.isUnresponsive(now) {
			n++
		}
	}
	return n
}

// admitsSuspect reports whether a suspect is considered in this pass. It starts the suspect's
// wait in any case: suspects that wait for trials must not keep the others from starting.
func (r *planPass) admitsSuspect(t *task) bool {
	if t.suspectSince == 0 {
		t.suspectSince = r.now
	}
	count := &r.suspectCount
	if t.isOverdue(r.now) {
		count = &r.overdueCount
	}
	*count++
	return *count <= maxSuspectsPerPass
}

// isOverdue reports whether a suspect has waited for a VM of its own for maxTrialWait.
func (t *task) isOverdue(now Time) bool { return now-t.suspectSince > maxTrialWait }

// startSuspect starts a suspect in a trial, or reserves a VM for it. Among the VMs without recent
// runs it prefers the one with the fewest runs, since all of them are lost if it ends.
func (s *Scheduler) startSuspect(now Time, t *task) {
	s.clearStaleIntents(t)
	s.evaluateCrashes(now, t)
	if t.step.occ.job.state.Final() {
		return
	}
	best, free := s.trialVM(now, t)
	switch {
	case free && s.recordIntent(t):
		s.startExclusive(now, t, best, true)
	case free:
		s.reserveForTrial(now, best, t)
	case t.isOverdue(now) && s.recordIntent(t):
		v := s.chooseVM(now, t)
		if v == nil && s.isStarving(now, t) {
			v = s.leastAffectedVM(now, t)
		}
		if v != nil {
			s.startExclusive(now, t, v, false)
		}
	case best != nil && best.reservedTask != t && float64(s.countTrials(now)) < max(1, maxTrialShare*float64(s.countResponding(now))):
		s.reserveForTrial(now, best, t)
	}
}

// isSuspect reports whether a member of the gang is suspect.
func (st *step) isSuspect() bool {
	for k := range st.tasks {
		if st.tasks[k].isSuspect() {
			return true
		}
	}
	return false
}

// reserveGangTrial reserves capacity for a gang in a trial, on VMs without other recent runs.
func (s *Scheduler) reserveGangTrial(now Time, st *step) []*run {
	first := &st.tasks[0]
	for k := range st.tasks {
		s.clearStaleIntents(&st.tasks[k])
		s.evaluateCrashes(now, &st.tasks[k])
	}
	if st.occ.job.state.Final() {
		return nil
	}
	if first.suspectSince == 0 {
		first.suspectSince = now
	}
	if first.intendedRun == 0 {
		number := s.nextRunNumber()
		for k := range st.tasks {
			s.setIntendedRun(&st.tasks[k], number)
		}
		return nil
	}
	runs := s.allocateGang(now, st, first.intendedRun, s.chooseForTrial)
	isTrial := runs != nil
	if !isTrial && now-first.suspectSince > maxTrialWait {
		runs = s.allocateGang(now, st, first.intendedRun, s.chooseVM)
	}
	for _, r := range runs {
		r.isTrial, r.exclusive, r.vm.trialRun = isTrial, true, r
		r.task.suspectSince, r.task.intendedRun = 0, 0
		s.recordCrash(r, r.vm.incarnation(), crashUnconfirmed)
	}
	return runs
}

// chooseForTrial returns the best VM without other recent runs, or nil. It reserves none: members
// of a gang share VMs, and VMs reserved for single members would block the other members.
func (s *Scheduler) chooseForTrial(now Time, t *task) *vm {
	if v, free := s.trialVM(now, t); free {
		return v
	}
	return nil
}

// reserveForTrial reserves a VM for a suspect.
func (s *Scheduler) reserveForTrial(now Time, v *vm, t *task) {
	v.reservedTask, v.reservedUntil, t.reservedVM = t, now+trialReservationDuration, v
}

// trialVM returns the best VM for a trial of the task among some that have capacity, and whether
// no other run is recent there. A VM reserved for the task remains the choice.
func (s *Scheduler) trialVM(now Time, t *task) (best *vm, free bool) {
	if v := t.reservedVM; v != nil && s.vms[v.inst.ID] == v && v.reservedTask == t && now < v.reservedUntil && s.fitsTrial(now, v, t) {
		return v, !v.hasRecentRunsOfOthers(t)
	}
	examined := 0
	for i := range s.vmList {
		if examined == maxTrialCandidates {
			break
		}
		v := s.vmList[(s.trialCursor+i)%len(s.vmList)]
		if !s.fitsTrial(now, v, t) {
			continue
		}
		examined++
		isFree := !v.hasRecentRunsOfOthers(t)
		if best == nil || (isFree && !free) || (isFree == free && len(v.runs) < len(best.runs)) {
			best, free = v, isFree
		}
	}
	s.trialCursor++
	return best, free
}

// fitsTrial reports whether the task may be placed on the VM.
func (s *Scheduler) fitsTrial(now Time, v *vm, t *task) bool {
	if !s.hasCapacity(now, v, t.step.spec) || s.placementObstacle(now, v, t) != obstacleNone {
		return false
	}
	_, ok := s.score(now, v, t.step.spec)
	return ok
}

// startExclusive starts a suspect on a VM that accepts nothing else while the run is recent. It
// is a trial if no other run is recent there now.
func (s *Scheduler) startExclusive(now Time, t *task, v *vm, isTrial bool) {
	r := s.start(now, t, v, t.intendedRun)
	r.isTrial, r.exclusive, v.trialRun = isTrial, true, r
	t.suspectSince, t.intendedRun, t.reservedVM, v.reservedTask = 0, 0, nil, nil
	s.recordCrash(r, r.vm.incarnation(), crashUnconfirmed)
}

// recordIntent records a suspect's next run as an unconfirmed crash, and reports whether it may
// be started. From the second crash on the store must have the record first, or a leader that
// dies as the VM ends loses the count.
func (s *Scheduler) recordIntent(t *task) bool {
	if t.intendedRun == 0 {
		s.setIntendedRun(t, s.nextRunNumber())
	}
	return t.hasDurableCrashes()
}

// clearStaleIntents removes the runs that earlier leaders intended and that never began. A task's
// next start waits until all VMs that these leaders may have used have reported, so that such a
// run began only if one of those VMs ended instead.
func (s *Scheduler) clearStaleIntents(t *task) {
	if s.endedUnreported {
		return
	}
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool {
		return c.kind == crashUnconfirmed && c.vm.id == "" && c.run>>runNumberBits < s.fence
	})
	if len(t.crashes) < before {
		s.markCrashesChanged(t)
	}
}

func (s *Scheduler) setIntendedRun(t *task, number int64) {
	t.intendedRun = number
	t.setCrash(crash{run: number, kind: crashUnconfirmed})
	s.markCrashesChanged(t)
	s.planNeeded = true
}
