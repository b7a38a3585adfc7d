package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// taskOf returns the first task of a job of the fixture.
func (f *fixture) taskOf(job string) *task { return &f.s.jobs[job].occs[0].steps[0].tasks[0] }

// markSuspect makes a job's first task suspect by the end of an earlier VM.
func (f *fixture) markSuspect(job string) {
	f.taskOf(job).setCrash(crash{run: 1, kind: crashShared, vm: vmIncarnation{id: "earlier"}})
}

// startFirst starts j's first task, confirms it, and returns its VM.
func (f *fixture) startFirst() string {
	const task = "j.0.0.0"
	for range 10 {
		if len(f.started[task]) > 0 {
			break
		}
		f.write()
		f.advance(planInterval)
		f.plan()
	}
	o := f.last(task)
	require.True(f.t, f.s.PrepareStart(f.now, o))
	f.confirm(o)
	return o.Instance.ID
}

// failHolds makes holds to VMs fail as if their processes had just ended.
func (f *fixture) failHolds(vms ...string) {
	for _, id := range vms {
		f.s.HoldFailed(f.now, id, true)
	}
}

// othersOf returns the fixture's VMs except one.
func (f *fixture) othersOf(vm string) []string {
	var others []string
	for _, inst := range f.list {
		if inst.ID != vm {
			others = append(others, inst.ID)
		}
	}
	return others
}

// crashKinds returns the crash kinds of j's first task, except for the crash of markSuspect.
func (f *fixture) crashKinds() []crashKind {
	var kinds []crashKind
	for _, c := range f.taskOf("j").crashes {
		if c.vm.id != "earlier" {
			kinds = append(kinds, c.kind)
		}
	}
	return kinds
}

// Guards against a job that fails because of a lost rack: the VM of its trial was confirmed as
// ended before holds to the others had failed.
func TestEndIsComparedWithLaterEnds(t *testing.T) {
	f := newFixture(t, 5)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.markSuspect("j")
	vm := f.startFirst()
	f.advance(100 * time.Millisecond)
	f.failHolds(vm)
	f.s.RemoveInstance(f.now, vm, "another instance answers")
	require.NotContains(t, f.crashKinds(), crashIsolated, "classified before the other ends could be noticed")
	f.advance(600 * time.Millisecond)
	for _, other := range f.othersOf(vm)[:minMassEnds] {
		f.s.HoldFailed(f.now, other, false)
	}
	f.s.Tick(f.now)
	require.Equal(t, []crashKind{crashMass}, f.crashKinds())
}

// Guards against needless waits: an end is classified as soon as all other VMs have reported.
func TestEndIsClassifiedOnceAllOthersReport(t *testing.T) {
	f := newFixture(t, 3)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.markSuspect("j")
	vm := f.startFirst()
	f.advance(50 * time.Millisecond)
	f.failHolds(vm)
	f.s.RemoveInstance(f.now, vm, "another instance answers")
	f.advance(50 * time.Millisecond)
	for _, other := range f.othersOf(vm) {
		f.report(other, batch.Report{})
	}
	f.s.Tick(f.now)
	require.Equal(t, []crashKind{crashIsolated}, f.crashKinds())
}

// Guards against a job that fails though none of its tasks ended a VM: VMs that had not reported
// to this leader ended one after another, and then a VM of the job did.
func TestEndsOfUnreportedVMsAreAStorm(t *testing.T) {
	f := newFixture(t, 6)
	for _, inst := range f.list[:3] {
		f.report(inst.ID, batch.Report{})
	}
	f.s.RemoveInstance(f.now, "vm03", "machine ended it")
	f.s.RemoveInstance(f.now, "vm04", "machine ended it")
	f.s.RemoveInstance(f.now, "vm05", "machine ended it")
	f.advance(5 * time.Second)
	for _, inst := range f.list[:3] {
		f.report(inst.ID, batch.Report{})
	}
	f.submit("j", tasks(1, 1000))
	vm := f.startFirst()
	f.advance(700 * time.Millisecond)
	f.failHolds(vm)
	f.advance(classifyDelay)
	f.s.RemoveInstance(f.now, vm, "machine ended it")
	require.Equal(t, []crashKind{crashStorm}, f.crashKinds())
}

// Guards against failing a job too early and too late: four ends in storms don't fail a job,
// twice as many do.
func TestEndsInStormsCountHalf(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	first := f.taskOf("j")
	for n := range int64(weakCrashDivisor * totalCrashLimit) {
		require.Equal(t, batch.Queued, f.s.jobs["j"].state, "failed after %d ends", n)
		first.setCrash(crash{run: n + 1, kind: crashStorm, vm: vmIncarnation{id: fmt.Sprintf("gone%d", n)}})
		f.s.evaluateCrashes(f.now, first)
	}
	require.Equal(t, batch.Failed, f.s.jobs["j"].state)
}

// Guards against a task that is started too often after its third VM has ended: a suspect that
// found no VM of its own in time was not classified by its start, though its VM ended as it began.
func TestExclusiveStartBesideOthersIsConclusive(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.markSuspect("j")
	vm := f.startFirst()
	// As after the suspect's wait: another run there is recent.
	f.s.vms[vm].runs[f.last("j.0.0.0").Task].isTrial = false
	f.advance(50 * time.Millisecond)
	f.failHolds(vm)
	f.s.RemoveInstance(f.now, vm, "machine ended it")
	f.advance(classifyDelay)
	f.s.Tick(f.now)
	require.Equal(t, []crashKind{crashIsolated}, f.crashKinds())
}

// Guards against a job that fails for a VM that another job's task ended: both had begun there at
// the same moment during a storm, and the one started last was classified as the cause.
func TestOneOfTwoThatBeginInAStormIsNotTried(t *testing.T) {
	for beside, want := range map[string]crashKind{"": crashIsolated, "k": crashPaired} {
		f := newFixture(t, 3)
		f.report("vm00", batch.Report{})
		f.s.RemoveInstance(f.now, "vm01", "machine ended it")
		f.s.RemoveInstance(f.now, "vm02", "machine ended it")
		f.advance(5 * time.Second)
		f.report("vm00", batch.Report{})
		f.submit("j", tasks(1, 1000))
		if beside != "" {
			f.submit(beside, tasks(1, 1000))
		}
		vm := f.startFirst()
		if beside != "" {
			o := f.last(beside + ".0.0.0")
			require.True(t, f.s.PrepareStart(f.now, o))
			f.confirm(o)
		}
		// As for a suspect whose wait is over.
		f.s.vms[vm].runs[f.last("j.0.0.0").Task].exclusive = true
		f.advance(50 * time.Millisecond)
		f.failHolds(vm)
		f.s.RemoveInstance(f.now, vm, "machine ended it")
		f.advance(classifyDelay)
		f.s.Tick(f.now)
		require.Equal(t, []crashKind{want}, f.crashKinds(), "beside %q", beside)
		if beside != "" {
			// The other task has completed elsewhere, so it didn't end the VM.
			f.s.clearCrashesOnEnd(f.now, f.taskOf(beside), &batch.RunEnd{Kind: batch.EndDone})
			require.Equal(t, []crashKind{crashIsolated}, f.crashKinds())
		}
	}
}

// Guards against failing a job too early and too late: with a trial and a first end, an end
// beside another task doesn't fail a job; with one more unseen end it does.
func TestEndBesideAnotherCountsOnceAndAHalf(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	first := f.taskOf("j")
	for n, kind := range []crashKind{crashShared, crashPaired, crashIsolated} {
		first.setCrash(crash{run: int64(n + 1), kind: kind, vm: vmIncarnation{id: fmt.Sprintf("gone%d", n)}})
	}
	f.s.evaluateCrashes(f.now, first)
	require.Equal(t, batch.Queued, f.s.jobs["j"].state)
	first.setCrash(crash{run: 9, kind: crashUnseen, vm: vmIncarnation{id: "unseen"}})
	f.s.evaluateCrashes(f.now, first)
	require.Equal(t, batch.Failed, f.s.jobs["j"].state)
}

// Guards against jobs that fail because many VMs restart at once: where each VM has a recent
// start, the ends of the other VMs were attributed to their own tasks.
func TestJobsOfABusyFleetAreKeptOverRestarts(t *testing.T) {
	t.Parallel()
	for _, seed := range crashSeeds(24) {
		c := newRestartFleet(t, 6, seed)
		c.noResets = seed%2 == 1
		c.runFor(time.Second)
		for round := range 8 {
			for k := range 12 {
				id := fmt.Sprintf("busy-%d-%d", round, k)
				c.runDurations[id] = time.Duration(60+20*k) * time.Millisecond
				c.submitJob(&batch.Job{ID: id, Payload: "p", Steps: []batch.Step{tasks(6, 1000), {Tasks: 4, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Second, After: []int{0}}}})
				c.runFor(100 * time.Millisecond)
			}
			for i, id := range c.livingIDs() {
				if i%2 == round%2 {
					c.killVM(id)
				}
			}
		}
		c.runFor(30 * time.Second)
		c.requireInvariants()
	}
}

// Guards against a task whose first end isn't counted: the VMs that were unresponsive as its VM
// ended are alive.
func TestVMsThatRespondAgainDidNotEndWithAnother(t *testing.T) {
	f := newFixture(t, 4)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	vm := f.startFirst()
	f.advance(50 * time.Millisecond)
	f.failHolds(vm)
	unresponsive := f.othersOf(vm)[:minMassEnds]
	for _, other := range unresponsive {
		f.s.HoldFailed(f.now, other, false)
	}
	f.s.RemoveInstance(f.now, vm, "another instance answers")
	require.Equal(t, []crashKind{crashMass}, f.crashKinds())
	f.advance(300 * time.Millisecond)
	f.report(unresponsive[0], batch.Report{})
	require.Equal(t, []crashKind{crashShared}, f.crashKinds())
}

// Guards against a job that fails after changes of leader though its task ended no VM: each
// successor classified the loss of a VM on which the task had run for a while as an end at the
// task's start.
func TestDoubtAboutARunThatHadLivedCountsHalf(t *testing.T) {
	for lived, kind := range map[time.Duration]crashKind{0: crashShared, startCrashWindow: crashUnseen} {
		f := newFixture(t, 2)
		f.reportAll(nil)
		f.submit("j", tasks(1, 1000))
		f.plan()
		vm := f.startFirst()
		f.advance(lived)
		f.report(vm, runningReport(f.last("j.0.0.0")))
		for range failedHoldThreshold {
			f.s.HoldFailed(f.now, vm, false)
		}
		reports := f.s.UnrecordedCrashes()
		records := f.write()

		next := newSuccessorFixture(t, 2)
		next.s.Submit(next.now, Submission{
			Job: &batch.Job{ID: "j", Payload: "p", Steps: []batch.Step{tasks(1, 1000)}}, Queue: testQueue, Pool: "pool", PredatesLeader: true, Progress: records["j"], RecordRevision: 1,
		})
		require.Equal(t, []crashKind{crashUnconfirmed}, next.crashKinds())
		next.s.RemoveInstance(next.now, vm, "machine ended it")
		require.Equal(t, []crashKind{kind}, next.crashKinds(), "lived for %v", lived)

		other := newFixture(t, 2)
		other.submit("j", tasks(1, 1000))
		other.s.AcceptCrashReports(other.now, reports)
		other.s.RemoveInstance(other.now, vm, "machine ended it")
		require.Equal(t, []crashKind{kind}, other.crashKinds(), "reported by the previous leader")
	}
}

// Guards against a job that fails since one end of a VM is counted twice: two leaders had started
// its task there, one after the other, and neither saw the outcome.
func TestOneEndOfAVMCountsOnce(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	first := f.taskOf("j")
	for n := range int64(totalCrashLimit - 1) {
		first.setCrash(crash{run: n + 1, kind: crashShared, vm: vmIncarnation{id: fmt.Sprintf("gone%d", n)}})
	}
	first.setCrash(crash{run: 8, kind: crashShared, vm: vmIncarnation{id: "gone0"}})
	first.setCrash(crash{run: 9, kind: crashUnconfirmed, vm: vmIncarnation{id: "gone1"}})
	f.s.evaluateCrashes(f.now, first)
	require.Equal(t, batch.Queued, f.s.jobs["j"].state)
	first.setCrash(crash{run: 10, kind: crashShared, vm: vmIncarnation{id: "gone0", born: 7}})
	f.s.evaluateCrashes(f.now, first)
	require.Equal(t, batch.Failed, f.s.jobs["j"].state, "another incarnation of the VM has ended")
}
