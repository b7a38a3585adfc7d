package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// progressWithIntents returns the record of a job whose task is one crash below the total
// limit and was then intended to be started by each of the given leaders.
func progressWithIntents(leaders ...int64) *Progress {
	sp := StepProgress{}
	for n := range int64(totalCrashLimit - 1) {
		sp.Crashes = append(sp.Crashes, CrashProgress{Run: 1<<runNumberBits | (n + 1), Kind: int64(crashShared), VM: "gone"})
	}
	for _, fence := range leaders {
		sp.Crashes = append(sp.Crashes, CrashProgress{Run: fence<<runNumberBits | 7, Kind: int64(crashUnconfirmed)})
	}
	return &Progress{Open: []OccurrenceProgress{{Steps: []StepProgress{sp}}}}
}

// Guards against a job that fails for runs that never began: each leader that died before
// it found a VM for a suspect left an unconfirmed crash, and five made the job fail.
func TestIntentsThatNeverBeganAreNoCrashes(t *testing.T) {
	f := newSuccessorFixture(t, 2)
	f.s.AwaitInstances([]string{"vm00", "vm01"}, f.now+awaitDuration)
	f.s.Submit(f.now, oldJob(progressWithIntents(2, 3, 4, 5)))
	f.reportAll(nil)
	f.write()
	f.plan()
	require.Equal(t, batch.Queued, f.s.jobs["old"].state)
	require.Len(t, f.taskOf("old").crashes, totalCrashLimit, "the recorded crashes and the run that this leader intends")
}

// As above, where a VM has ended meanwhile: at most one of the runs is assumed to have
// begun there.
func TestIntentsOfSeveralLeadersCountOnce(t *testing.T) {
	f := newSuccessorFixture(t, 2)
	f.s.AwaitInstances([]string{"vm00", "vm01"}, f.now+awaitDuration)
	f.s.Submit(f.now, oldJob(progressWithIntents(2, 3, 4, 5)))
	f.report("vm00", batch.Report{})
	f.s.RemoveInstance(f.now, "vm01", "machine ended it")
	f.write()
	f.plan()
	require.Equal(t, batch.Queued, f.s.jobs["old"].state)
}

// Guards against a lost crash: an intended run may have begun on a VM that ended before
// its first report.
func TestIntentsAreKeptWhereAVMEndedUnreported(t *testing.T) {
	for name, end := range map[string]func(*fixture){
		"the machine service names it": func(f *fixture) { f.s.RemoveInstance(f.now, "vm01", "machine ended it") },
		"it is waited out":             func(f *fixture) { f.advance(2 * awaitDuration); f.s.Tick(f.now); f.report("vm00", batch.Report{}) },
		"it has started again": func(f *fixture) {
			f.s.HandleReport(f.now, f.now, "vm01", batch.Report{Born: 5, Clock: time.Second})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newSuccessorFixture(t, 2)
			f.s.AwaitInstances([]string{"vm00", "vm01"}, f.now+awaitDuration)
			f.s.Submit(f.now, oldJob(progressWithIntents(2)))
			f.report("vm00", batch.Report{})
			end(f)
			f.write()
			f.plan()
			require.Len(t, f.taskOf("old").crashes, totalCrashLimit+1)
		})
	}
}
