package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a task that is started too often after its third VM has ended: a leader was
// deposed as the VM ended, and its count was lost.
func TestSuccessorAcceptsUnwrittenCrashes(t *testing.T) {
	f := newFixture(t, 3)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.submit("other", tasks(1, 1000))
	f.write()
	vm := f.startFirst()
	f.advance(50 * time.Millisecond)
	f.failHolds(vm)
	reports := f.s.UnrecordedCrashes()
	require.Len(t, reports, 1, "a run on an unresponsive VM")
	require.EqualValues(t, crashUnconfirmed, reports[0].Kind)

	next := newFixture(t, 3)
	next.reportAll(nil)
	next.submit("j", tasks(1, 1000))
	next.s.AcceptCrashReports(next.now, reports)
	require.True(t, next.taskOf("j").isSuspect())

	f.s.RemoveInstance(f.now, vm, "machine ended it")
	f.advance(classifyDelay)
	f.s.Tick(f.now)
	classified := f.s.UnrecordedCrashes()
	require.Len(t, classified, 1)
	require.NotEqualValues(t, crashUnconfirmed, classified[0].Kind)
	next.s.AcceptCrashReports(next.now, classified)
	require.EqualValues(t, classified[0].Kind, next.taskOf("j").crashes[0].kind, "the unconfirmed crash is classified")
	next.s.AcceptCrashReports(next.now, reports)
	require.EqualValues(t, classified[0].Kind, next.taskOf("j").crashes[0].kind, "a late report changes nothing")

	f.write()
	require.Empty(t, f.s.UnrecordedCrashes(), "the store has it")
}

// Guards against a failure on reports about unknown tasks: they are skipped.
func TestReportsOfUnknownTasksAreSkipped(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("j", tasks(1, 1000))
	known := f.taskOf("j").id()
	for _, change := range []func(*CrashReport){
		func(rep *CrashReport) { rep.Task.Job = "none" },
		func(rep *CrashReport) { rep.Task.Occurrence = 4 },
		func(rep *CrashReport) { rep.Task.Step = -1 },
		func(rep *CrashReport) { rep.Task.Index = 9 },
	} {
		rep := CrashReport{Task: known, Run: 3, VM: "vm00"}
		change(&rep)
		f.s.AcceptCrashReports(f.now, []CrashReport{rep})
	}
	require.Empty(t, f.taskOf("j").crashes)
}

// Guards against a task that is started too often after its third VM has ended: a leader could
// not write its starts, and was deposed before a hold failed.
func TestSuccessorAcceptsUnloggedStarts(t *testing.T) {
	f := newFixture(t, 3)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	vm := f.startFirst()
	reports := f.s.UnrecordedCrashes()
	require.Len(t, reports, 1)
	require.EqualValues(t, crashUnloggedStart, reports[0].Kind)

	t.Run("its VM has ended", func(t *testing.T) {
		next := newSuccessorFixture(t, 3)
		next.s.AwaitInstances([]string{vm}, next.now+awaitDuration)
		next.submit("j", tasks(1, 1000))
		next.s.AcceptCrashReports(next.now, reports)
		require.False(t, next.taskOf("j").isSuspect())
		next.s.RemoveInstance(next.now, vm, "machine ended it")
		require.True(t, next.taskOf("j").isSuspect())
	})
	t.Run("its VM had ended", func(t *testing.T) {
		next := newSuccessorFixture(t, 3)
		next.s.AwaitInstances([]string{vm}, next.now+awaitDuration)
		next.submit("j", tasks(1, 1000))
		next.s.RemoveInstance(next.now, vm, "machine ended it")
		next.s.AcceptCrashReports(next.now, reports)
		require.Equal(t, crashUnseen, next.taskOf("j").crashes[0].kind)
	})
	t.Run("its VM is alive", func(t *testing.T) {
		next := newSuccessorFixture(t, 3)
		next.submit("j", tasks(1, 1000))
		next.reportAll(nil)
		next.s.AcceptCrashReports(next.now, reports)
		require.Empty(t, next.taskOf("j").crashes)
	})

	f.writeStarts(map[SegmentID]StartSegment{})
	require.Empty(t, f.s.UnrecordedCrashes(), "the log has it")
}
