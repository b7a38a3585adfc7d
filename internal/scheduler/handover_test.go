package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a task that is started again after its third VM: a leader was deposed as the VM
// ended, and its count was lost.
func TestSuccessorLearnsOfCrashesThatWereNotWritten(t *testing.T) {
	f := newFixture(t, 3)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.submit("other", tasks(1, 1000))
	f.write()
	vm := f.startFirst()
	f.advance(50 * time.Millisecond)
	f.failHolds(vm)
	news := f.s.UnrecordedCrashes()
	require.Len(t, news, 1, "a run on a VM that does not answer")
	require.EqualValues(t, crashUnconfirmed, news[0].Kind)

	next := newFixture(t, 3)
	next.reportAll(nil)
	next.submit("j", tasks(1, 1000))
	next.s.AcceptCrashReports(next.now, news)
	require.True(t, next.taskOf("j").isSuspect())

	f.s.RemoveInstance(f.now, vm, "machine ended it")
	f.advance(classifyDelay)
	f.s.Tick(f.now)
	judged := f.s.UnrecordedCrashes()
	require.Len(t, judged, 1)
	require.NotEqualValues(t, crashUnconfirmed, judged[0].Kind)
	next.s.AcceptCrashReports(next.now, judged)
	require.EqualValues(t, judged[0].Kind, next.taskOf("j").crashes[0].kind, "what was in doubt is judged")
	next.s.AcceptCrashReports(next.now, news)
	require.EqualValues(t, judged[0].Kind, next.taskOf("j").crashes[0].kind, "told late")

	f.write()
	require.Empty(t, f.s.UnrecordedCrashes(), "the store has it")
}

// Guards against a failure on reports about unknown tasks: they are skipped.
func TestNewsOfUnknownTasksIsPassedOver(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("j", tasks(1, 1000))
	known := f.taskOf("j").id()
	for _, change := range []func(*CrashReport){
		func(n *CrashReport) { n.Task.Job = "none" },
		func(n *CrashReport) { n.Task.Occurrence = 4 },
		func(n *CrashReport) { n.Task.Step = -1 },
		func(n *CrashReport) { n.Task.Index = 9 },
	} {
		n := CrashReport{Task: known, Run: 3, VM: "vm00"}
		change(&n)
		f.s.AcceptCrashReports(f.now, []CrashReport{n})
	}
	require.Empty(t, f.taskOf("j").crashes)
}

// Guards against a task that is started again after its third VM: a leader could not write its
// starts, and was deposed before a hold failed.
func TestSuccessorLearnsOfStartsThatAreNotLogged(t *testing.T) {
	f := newFixture(t, 3)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	vm := f.startFirst()
	news := f.s.UnrecordedCrashes()
	require.Len(t, news, 1)
	require.EqualValues(t, crashUnloggedStart, news[0].Kind)

	t.Run("its VM has ended", func(t *testing.T) {
		next := newSuccessorFixture(t, 3)
		next.s.AwaitInstances([]string{vm}, next.now+awaitDuration)
		next.submit("j", tasks(1, 1000))
		next.s.AcceptCrashReports(next.now, news)
		require.False(t, next.taskOf("j").isSuspect())
		next.s.RemoveInstance(next.now, vm, "machine ended it")
		require.True(t, next.taskOf("j").isSuspect())
	})
	t.Run("its VM had ended", func(t *testing.T) {
		next := newSuccessorFixture(t, 3)
		next.s.AwaitInstances([]string{vm}, next.now+awaitDuration)
		next.submit("j", tasks(1, 1000))
		next.s.RemoveInstance(next.now, vm, "machine ended it")
		next.s.AcceptCrashReports(next.now, news)
		require.Equal(t, crashUnseen, next.taskOf("j").crashes[0].kind)
	})
	t.Run("its VM lives", func(t *testing.T) {
		next := newSuccessorFixture(t, 3)
		next.submit("j", tasks(1, 1000))
		next.reportAll(nil)
		next.s.AcceptCrashReports(next.now, news)
		require.Empty(t, next.taskOf("j").crashes)
	})

	f.writeStarts(map[SegmentID]StartSegment{})
	require.Empty(t, f.s.UnrecordedCrashes(), "the log has it")
}
