package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// progressWithIntents is the record of a job whose task ended a VM once, and was to be started again by
// each of some leaders.
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

// Guards against a job that is given up for runs that never began: each leader that died
// before it found a VM for a suspect left a doubt behind, and five gave the job up.
func TestIntentsThatNeverBeganAreNoCrashes(t *testing.T) {
	f := newSuccessorFixture(t, 2)
	f.s.AwaitInstances([]string{"vm00", "vm01"}, f.now+awaitDuration)
	f.s.Submit(f.now, oldJob(progressWithIntents(2, 3, 4, 5)))
	f.reportAll(nil)
	f.write()
	f.plan()
	require.Equal(t, batch.Queued, f.s.jobs["old"].state)
	require.Len(t, f.taskOf("old").crashes, totalCrashLimit, "those of its VMs, and the run that this leader intends")
}

// The same where a VM has ended meanwhile: one of the runs may have begun there, hardly two.
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

// Guards against a count that is lost: an intended run may have begun on a VM that has ended.
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
