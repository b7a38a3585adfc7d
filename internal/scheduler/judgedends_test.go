package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// taskOf is the first task of a job of the fixture's.
func (f *fixture) taskOf(job string) *task { return &f.s.jobs[job].occs[0].steps[0].tasks[0] }

// markSuspect has a job's first task be one that a VM has ended under before.
func (f *fixture) markSuspect(job string) {
	f.taskOf(job).setCrash(crash{run: 1, kind: crashShared, vm: vmIncarnation{id: "earlier"}})
}

// startFirst gives the start of j's first task and confirms it, and returns the VM.
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

// failHolds has holds to VMs fail as their processes have ended.
func (f *fixture) failHolds(vms ...string) {
	for _, id := range vms {
		f.s.HoldFailed(f.now, id, true)
	}
}

// othersOf are the fixture's VMs but one.
func (f *fixture) othersOf(vm string) []string {
	var others []string
	for _, inst := range f.list {
		if inst.ID != vm {
			others = append(others, inst.ID)
		}
	}
	return others
}

// crashKinds are what is noted of the VMs of j's first task, but for those of suspect.
func (f *fixture) crashKinds() []crashKind {
	var kinds []crashKind
	for _, c := range f.taskOf("j").crashes {
		if c.vm.id != "earlier" {
			kinds = append(kinds, c.kind)
		}
	}
	return kinds
}

// Guards against a job that is given up for the loss of a rack: the VM of its trial was known
// to have ended before holds to the others had failed.
func TestEndIsComparedWithThoseThatAreSeenLater(t *testing.T) {
	f := newFixture(t, 5)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.markSuspect("j")
	vm := f.startFirst()
	f.advance(100 * time.Millisecond)
	f.failHolds(vm)
	f.s.RemoveInstance(f.now, vm, "another instance answers")
	require.NotContains(t, f.crashKinds(), crashIsolated, "judged before the others could be seen to have ended")
	f.advance(600 * time.Millisecond)
	for _, other := range f.othersOf(vm)[:minMassEnds] {
		f.s.HoldFailed(f.now, other, false)
	}
	f.s.Tick(f.now)
	require.Equal(t, []crashKind{crashMass}, f.crashKinds())
}

// Guards against waits that serve nothing: an end is judged as soon as all others are heard.
func TestEndIsJudgedOnceAllOthersAreHeard(t *testing.T) {
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

// Guards against a job that is given up though nothing of it has ended a VM: VMs that this
// leader had not heard ended one after the other, and so did those of the job.
func TestUnheardVMsThatEndAreAStorm(t *testing.T) {
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

// Guards against both: four ends in storms do not give a job up, twice as many do.
func TestEndsInStormsCountHalf(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	first := f.taskOf("j")
	for n := range int64(weakCrashDivisor * totalCrashLimit) {
		require.Equal(t, batch.Queued, f.s.jobs["j"].state, "given up after %d", n)
		first.setCrash(crash{run: n + 1, kind: crashStorm, vm: vmIncarnation{id: fmt.Sprintf("gone%d", n)}})
		f.s.evaluateCrashes(f.now, first)
	}
	require.Equal(t, batch.Failed, f.s.jobs["j"].state)
}

// Guards against a task that is started too often after its third VM: a suspect that found no
// VM of its own in time learned nothing by its start, though its VM ended as it began.
func TestLastToBeginIsTriedBesideOthers(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.markSuspect("j")
	vm := f.startFirst()
	// As where its patience was over: something else is new there.
	f.s.vms[vm].runs[f.last("j.0.0.0").Task].isTrial = false
	f.advance(50 * time.Millisecond)
	f.failHolds(vm)
	f.s.RemoveInstance(f.now, vm, "machine ended it")
	f.advance(classifyDelay)
	f.s.Tick(f.now)
	require.Equal(t, []crashKind{crashIsolated}, f.crashKinds())
}

// Guards against a job that is given up for a VM that another's task ended: both had begun there in
// one instant, while VMs ended one after the other, and the one that was started last was convicted.
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
		// As where it is a suspect whose patience was over.
		f.s.vms[vm].runs[f.last("j.0.0.0").Task].exclusive = true
		f.advance(50 * time.Millisecond)
		f.failHolds(vm)
		f.s.RemoveInstance(f.now, vm, "machine ended it")
		f.advance(classifyDelay)
		f.s.Tick(f.now)
		require.Equal(t, []crashKind{want}, f.crashKinds(), "beside %q", beside)
		if beside != "" {
			// The other one runs well elsewhere: then it was this one.
			f.s.clearCrashesOnEnd(f.now, f.taskOf(beside), &batch.RunEnd{Kind: batch.EndDone})
			require.Equal(t, []crashKind{crashIsolated}, f.crashKinds())
		}
	}
}

// Guards against both: with a trial and a first end an end beside another task does not give a job
// up, with one more in doubt of the moment it does.
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

// Guards against jobs that are given up for restarts of many VMs at once: where something has
// just begun on each VM, the others' ends were taken for those of other tasks' VMs.
func TestJobsOfABusyFleetAreKeptOverRestarts(t *testing.T) {
	t.Parallel()
	for _, seed := range crashSeeds(24) {
		c := newRestartFleet(t, 6, seed)
		c.noResets = seed%2 == 1
		c.runFor(time.Second)
		for strike := range 8 {
			for k := range 12 {
				id := fmt.Sprintf("busy-%d-%d", strike, k)
				c.runDurations[id] = time.Duration(60+20*k) * time.Millisecond
				c.submitJob(&batch.Job{ID: id, Payload: "p", Steps: []batch.Step{tasks(6, 1000), {Tasks: 4, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Second, After: []int{0}}}})
				c.runFor(100 * time.Millisecond)
			}
			for i, id := range c.livingIDs() {
				if i%2 == strike%2 {
					c.killVM(id)
				}
			}
		}
		c.runFor(30 * time.Second)
		c.requireInvariants()
	}
}

// Guards against a task whose first end counts for nothing, though the VMs that did not answer
// as its VM ended live.
func TestVMsThatAnswerAgainDidNotEndWithAnother(t *testing.T) {
	f := newFixture(t, 4)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	vm := f.startFirst()
	f.advance(50 * time.Millisecond)
	f.failHolds(vm)
	silent := f.othersOf(vm)[:minMassEnds]
	for _, other := range silent {
		f.s.HoldFailed(f.now, other, false)
	}
	f.s.RemoveInstance(f.now, vm, "another instance answers")
	require.Equal(t, []crashKind{crashMass}, f.crashKinds())
	f.advance(300 * time.Millisecond)
	f.report(silent[0], batch.Report{})
	require.Equal(t, []crashKind{crashShared}, f.crashKinds())
}

// Guards against an innocent job that is given up over take-overs: each successor took the loss of a
// VM on which the job's task had worked for a while for a VM that the task had ended as it began.
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
		news := f.s.UnrecordedCrashes()
		records := f.write()

		next := newSuccessorFixture(t, 2)
		next.s.Submit(next.now, Submission{
			Job: &batch.Job{ID: "j", Payload: "p", Steps: []batch.Step{tasks(1, 1000)}}, Queue: testQueue, Pool: "pool", PredatesLeader: true, Progress: records["j"], RecordRevision: 1,
		})
		require.Equal(t, []crashKind{crashUnconfirmed}, next.crashKinds())
		next.s.RemoveInstance(next.now, vm, "machine ended it")
		require.Equal(t, []crashKind{kind}, next.crashKinds(), "lived for %v", lived)

		told := newFixture(t, 2)
		told.submit("j", tasks(1, 1000))
		told.s.AcceptCrashReports(told.now, news)
		told.s.RemoveInstance(told.now, vm, "machine ended it")
		require.Equal(t, []crashKind{kind}, told.crashKinds(), "told by the leader before")
	}
}

// Guards against an innocent job that is given up since one end of a VM counted twice: two leaders had
// started its task there, one after the other, and neither saw what became of it.
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
	require.Equal(t, batch.Failed, f.s.jobs["j"].state, "another start of the VM has ended")
}
