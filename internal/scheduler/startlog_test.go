package scheduler

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// writeStarts writes the pending part of the log of starts to store.
func (f *fixture) writeStarts(store map[SegmentID]StartSegment) {
	c := f.s.PendingStarts(f.now, true)
	if c == nil {
		return
	}
	applyChange(store, c)
	f.s.StartsWritten(c)
}

// loggedStart starts a task of the job "old" and returns the stored log and the VM.
func loggedStart(t *testing.T) (store map[SegmentID]StartSegment, vm string) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.s.Submit(f.now, oldJob(nil))
	store = map[SegmentID]StartSegment{}
	f.plan()
	f.writeStarts(store)
	require.Len(t, store, 1)
	return store, f.last("old.0.0.0").Instance.ID
}

// successorWithLog returns the fixture of a successor that restores the log and awaits two VMs.
func successorWithLog(t *testing.T, store map[SegmentID]StartSegment) *fixture {
	f := newSuccessorFixture(t, 2)
	f.s.AwaitInstances([]string{"vm00", "vm01"}, f.now+awaitDuration)
	f.s.Submit(f.now, oldJob(nil))
	var log []StartSegment
	for id, g := range store {
		// The segments pass through their stored form.
		raw, err := json.Marshal(g)
		require.NoError(t, err)
		read := StartSegment{ID: id}
		require.NoError(t, json.Unmarshal(raw, &read))
		log = append(log, read)
	}
	f.s.RestoreStarts(f.now, log)
	return f
}

// Guards against a task that is started too often after its third VM has ended: a leader died
// after a start, before it could record the end of the VM.
func TestSuccessorSuspectsAStartWhoseVMHasEnded(t *testing.T) {
	for name, end := range map[string]func(*fixture, string){
		"the machine service names it": func(f *fixture, vm string) { f.s.RemoveInstance(f.now, vm, "machine ended it") },
		"it has restarted": func(f *fixture, vm string) {
			f.s.vms[vm].inst.Born = 4
			f.report(vm, batch.Report{Born: 5})
		},
		"the wait for it expires": func(f *fixture, _ string) { f.advance(2 * awaitDuration); f.s.Tick(f.now) },
	} {
		t.Run(name, func(t *testing.T) {
			store, vm := loggedStart(t)
			if name == "it has restarted" {
				for id, g := range store {
					g.VMs[0].Born = 4
					store[id] = g
				}
			}
			f := successorWithLog(t, store)
			require.False(t, f.taskOf("old").isSuspect())
			end(f, vm)
			require.True(t, f.taskOf("old").isSuspect())
			f.writeStarts(store)
			require.Len(t, store, 1, "removed before the job's record was written")
			f.write()
			f.writeStarts(store)
			require.Empty(t, store)
		})
	}
}

// Guards against suspects without cause: the VMs of the logged starts are alive.
func TestStartOnALiveVMIsNoCrash(t *testing.T) {
	running := batch.RunStatus{Task: batch.TaskID{Job: "old"}, Run: 1<<runNumberBits | 1}
	for name, report := range map[string]batch.Report{
		"it runs":                {Running: []batch.RunStatus{running}},
		"it never began":         {},
		"it has ended":           {Ended: []batch.RunEnd{{Seq: 1, Task: running.Task, Run: running.Run, Kind: batch.EndFailed}}},
		"on a later incarnation": {Born: 7, Running: []batch.RunStatus{running}},
	} {
		t.Run(name, func(t *testing.T) {
			store, vm := loggedStart(t)
			f := successorWithLog(t, store)
			f.report(vm, report)
			require.Empty(t, f.taskOf("old").crashes)
			f.advance(recentRunDuration + time.Millisecond)
			f.report(vm, batch.Report{Born: report.Born, Running: report.Running})
			f.write()
			f.writeStarts(store)
			require.Empty(t, store)
		})
	}
}

// Guards against suspects without cause: a draining VM is not ended by a task that had begun
// there.
func TestStartOnADrainedVMIsNoCrash(t *testing.T) {
	store, vm := loggedStart(t)
	f := successorWithLog(t, store)
	f.s.vms[vm].inst.Draining = true
	f.s.RemoveInstance(f.now, vm, "machine ended it")
	require.Empty(t, f.taskOf("old").crashes)
}

// Guards against ignoring a start on a VM that is no longer known: it may be alive, or may have
// ended under the task.
func TestStartOnAnUnknownVMIsUnconfirmed(t *testing.T) {
	store, vm := loggedStart(t)
	f := newSuccessorFixture(t, 0)
	f.s.Submit(f.now, oldJob(nil))
	for _, g := range store {
		f.s.RestoreStarts(f.now, []StartSegment{g})
	}
	require.Equal(t, crashUnconfirmed, f.taskOf("old").crashes[0].kind)
	f.s.SetInstances(f.now, []batch.Instance{{ID: vm, Pool: "pool", Address: "10.0.0.0:1"}})
	f.report(vm, batch.Report{})
	require.Empty(t, f.taskOf("old").crashes)
}

// Guards against a log that grows without bound: it holds only recent starts.
func TestStartLogDropsOldRuns(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(2, 100))
	store := map[SegmentID]StartSegment{}
	f.plan()
	orders := []Order{f.last("j.0.0.0"), f.last("j.0.0.1")}
	for _, o := range orders {
		f.confirm(o)
	}
	f.writeStarts(store)
	require.Len(t, store, 1)
	f.advance(recentRunDuration + time.Millisecond)
	f.report("vm00", runningReport(orders...))
	require.Nil(t, f.s.PendingStarts(f.now, false), "a removal waits for another write")
	f.advance(obsoleteRemovalDelay)
	require.NotNil(t, f.s.PendingStarts(f.now, false), "the removal is delayed for too long")
	f.writeStarts(store)
	require.Empty(t, store)
}

// applyChange applies a change as the store does.
func applyChange(store map[SegmentID]StartSegment, c *StartLogChange) {
	if c.Segment != nil {
		store[c.Segment.ID] = *c.Segment
	}
	for _, id := range c.Obsolete {
		delete(store, id)
	}
}

// Guards against starts that are in no segment: the response to a write was lost, others were
// ordered meanwhile, and the first write is carried out last.
func TestLateWriteReplacesNoLaterSegment(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	store := map[SegmentID]StartSegment{}
	f.submit("a", tasks(1, 100))
	f.plan()
	late := f.s.PendingStarts(f.now, false)
	f.s.StartsNotWritten(f.now, late, true)
	f.s.Submit(f.now, oldJob(nil))
	f.advance(planInterval)
	f.plan()
	vm := f.last("old.0.0.0").Instance.ID
	second := f.s.PendingStarts(f.now, false)
	require.Equal(t, 2, second.Len())
	applyChange(store, second)
	f.s.StartsWritten(second)
	applyChange(store, late)

	next := successorWithLog(t, store)
	next.s.RemoveInstance(next.now, vm, "machine ended it")
	require.True(t, next.taskOf("old").isSuspect())
}

// Guards against a segment that stays in the store: its write had no response and is carried out
// after its runs have lived.
func TestSegmentOfALateWriteIsRemoved(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	store := map[SegmentID]StartSegment{}
	f.submit("a", tasks(1, 100))
	f.plan()
	o := f.last("a.0.0.0")
	f.confirm(o)
	late := f.s.PendingStarts(f.now, false)
	f.s.StartsNotWritten(f.now, late, true)
	f.advance(recentRunDuration + time.Millisecond)
	f.report("vm00", runningReport(o))
	f.writeStarts(store)
	require.Nil(t, f.s.PendingStarts(f.now, true))
	f.advance(lateWriteWindow - recentRunDuration - 2*time.Millisecond)
	applyChange(store, late)
	f.writeStarts(store)
	require.Len(t, store, 1, "the write may still be carried out")
	f.advance(2 * time.Millisecond)
	f.writeStarts(store)
	require.Empty(t, store)
}

// Guards against losing the starts of a refused write: the next write contains them, and no trace
// of the refused one is kept.
func TestRefusedStartsAreWrittenAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("a", tasks(1, 100))
	f.plan()
	f.s.StartsNotWritten(f.now, f.s.PendingStarts(f.now, false), false)
	again := f.s.PendingStarts(f.now, false)
	require.Equal(t, 1, again.Len())
	f.s.StartsWritten(again)
	f.advance(time.Minute)
	require.Len(t, f.s.startLog.segments, 1)
}

// Guards against a suspect's start that is neither in the log nor in its job's record: the VM has
// listed the run, which clears the unconfirmed crash, while the run is still recent.
func TestTrialThatIsListedStaysInTheLog(t *testing.T) {
	f := newFixture(t, 3)
	f.reportAll(nil)
	f.s.Submit(f.now, oldJob(nil))
	f.markSuspect("old")
	store := map[SegmentID]StartSegment{}
	for range 10 {
		f.plan()
		if len(f.started["old.0.0.0"]) > 0 {
			break
		}
		f.write()
		f.advance(planInterval)
	}
	o := f.last("old.0.0.0")
	require.True(t, f.s.PrepareStart(f.now, o))
	f.confirm(o)
	f.write()
	f.writeStarts(store)
	f.advance(300 * time.Millisecond)
	f.report(o.Instance.ID, runningReport(o))
	f.write()
	f.writeStarts(store)
	require.Len(t, store, 1)
}

// Guards against a start that is missing for a third leader: the second adopted the run and ended
// before the run had lived long enough under it.
func TestAdoptedRunStaysInTheLogWhileRecent(t *testing.T) {
	store, vm := loggedStart(t)
	f := successorWithLog(t, store)
	status := batch.RunStatus{Task: batch.TaskID{Job: "old"}, Run: 1<<runNumberBits | 1}
	f.report(vm, batch.Report{Running: []batch.RunStatus{status}})
	f.writeStarts(store)
	require.Len(t, store, 1)
	f.advance(recentRunDuration + time.Millisecond)
	f.report(vm, batch.Report{Running: []batch.RunStatus{status}})
	f.advance(obsoleteRemovalDelay)
	f.writeStarts(store)
	require.Empty(t, store)
}

// Guards against a segment that is removed before the job's record holds the crash: a
// predecessor's process has already reported it.
func TestSegmentWaitsForTheJobRecord(t *testing.T) {
	store, vm := loggedStart(t)
	f := successorWithLog(t, store)
	f.s.AcceptCrashReports(f.now, []CrashReport{{Task: batch.TaskID{Job: "old"}, Run: 1<<runNumberBits | 1, Kind: int64(crashUnconfirmed), VM: vm}})
	f.s.RemoveInstance(f.now, vm, "machine ended it")
	f.writeStarts(store)
	require.Len(t, store, 1)
	f.write()
	f.writeStarts(store)
	require.Empty(t, store)
}

// Guards against tasks that wait seconds for trials: a rack is lost together with the leader, and
// every recent task there would be suspect. If only few starts were recent, as when each VM was
// ended by its own task, the tasks are suspect.
func TestRackLostWithItsLeaderMakesNoSuspects(t *testing.T) {
	for name, c := range map[string]struct {
		jobs    int
		suspect bool
	}{"a rack": {maxSuspectsPerPass + 1, false}, "three tasks": {minMassEnds + 1, true}} {
		t.Run(name, func(t *testing.T) {
			f := newSuccessorFixture(t, minMassEnds+2)
			g := StartSegment{ID: SegmentID{1, 1}}
			for i := range minMassEnds + 1 {
				g.VMs = append(g.VMs, StartVM{ID: f.list[i].ID})
			}
			for i := range c.jobs {
				id := fmt.Sprintf("j%02d", i)
				f.submit(id, tasks(1, 100))
				g.Steps = append(g.Steps, StepStarts{Job: id, Runs: [][3]int64{{0, int64(i + 1), int64(i % len(g.VMs))}}})
			}
			f.s.AwaitInstances([]string{"vm00", "vm01", "vm02"}, f.now+awaitDuration)
			f.s.RestoreStarts(f.now, []StartSegment{g})
			for _, vm := range g.VMs {
				f.s.RemoveInstance(f.now, vm.ID, "machine ended it")
			}
			for i := range c.jobs {
				require.Equal(t, c.suspect, f.taskOf(fmt.Sprintf("j%02d", i)).isSuspect())
			}
		})
	}
}

// Guards against a failure on segments with unknown tasks and indexes out of range: they are
// skipped.
func TestInvalidSegmentsAreSkipped(t *testing.T) {
	f := newSuccessorFixture(t, 1)
	f.s.Submit(f.now, oldJob(nil))
	f.s.RestoreStarts(f.now, []StartSegment{{
		ID: SegmentID{1, 1}, VMs: []StartVM{{ID: "gone"}},
		Steps: []StepStarts{
			{Job: "old", Runs: [][3]int64{{0, 1, 1}, {-1, 1, 0}, {9, 1, 0}}},
			{Job: "old", Step: -1, Runs: [][3]int64{{0, 1, 0}}},
			{Job: "old", Step: 4, Runs: [][3]int64{{0, 1, 0}}},
			{Job: "none", Runs: [][3]int64{{0, 1, 0}}},
		},
	}})
	require.Empty(t, f.taskOf("old").crashes)
	require.Equal(t, []SegmentID{{1, 1}}, f.s.PendingStarts(f.now, true).Obsolete)
}

// startMany starts tasks, ten of each job, on VMs with IDs of 20 bytes.
func startMany(t *testing.T, vms, starts int) *fixture {
	f := newFixture(t, 0)
	for i := range vms {
		inst := instance(i)
		inst.ID, inst.Born = fmt.Sprintf("%020d", i), 1_780_000_000_000+int64(i)
		f.list = append(f.list, inst)
	}
	f.s.SetInstances(f.now, f.list)
	f.reportAll(nil)
	for i := range starts / 10 {
		f.submit(fmt.Sprintf("%016x", i), tasks(10, 100))
	}
	f.plan()
	return f
}

// Guards against a log that fills the leaders' links: large sites start hundreds of tasks a
// second.
func TestLoggedStartsAreSmall(t *testing.T) {
	for _, vms := range []int{48, 1000} {
		f := startMany(t, vms, 100)
		c := f.s.PendingStarts(f.now, false)
		require.Equal(t, 100, c.Len())
		value, err := json.Marshal(c.Segment)
		require.NoError(t, err)
		t.Logf("%d VMs, %d of them used: %d bytes a start", vms, len(c.Segment.VMs), len(value)/c.Len())
		require.Less(t, len(value), 100*c.Len())
	}
}
