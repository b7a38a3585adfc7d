package scheduler

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// What happened: a task whose end was acknowledged was started again.
// Sequence: a leader can't read the record of a job's progress and holds the job. A VM
// tells that a run of the job has ended well; the end is acknowledged, though no record
// has it. The next leader, of the version that wrote the record, can read it: the task
// is not done there, and the VM has forgotten its end.
// Cause: the end of a held job counted as one without effect.
func TestEndOfAHeldJobIsNotAcknowledged(t *testing.T) {
	f := newSuccessorFixture(t, 1)
	held := oldJob(nil)
	held.Unreadable, held.RecordRevision = true, 4
	f.s.Submit(f.now, held)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOf(1, oldTask, 3, batch.EndDone)}})
	f.write()
	require.Zero(t, f.acked("vm00"), "acknowledged, and no record has it")

	// Once the job has ended its ends have no effect, and the VM is free.
	f.s.Cancel(f.now, "old")
	f.advance(time.Second)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOf(1, oldTask, 3, batch.EndDone)}})
	f.write()
	require.EqualValues(t, 1, f.acked("vm00"))
}

// What happened: an end was acknowledged of a run that does not count.
// Sequence: the record names a task of a timed job's occurrence as done, by run 9 of
// it. A new leader is told the end of run 5 before it has looked which occurrences are
// due.
// Cause: which run counts was looked up before the occurrence was opened that the VM
// tells of.
func TestOlderEndOfUnopenedOccurrenceIsNotAcknowledged(t *testing.T) {
	f := newSuccessorFixture(t, 1)
	task := batch.TaskID{Job: "old", Occurrence: 1}
	job := oldJob(&Progress{DoneLow: 1, Open: []OccurrenceProgress{{
		Number: 1, Steps: []StepProgress{{Done: []byte{1}, Runs: packRuns([]int64{9})}},
	}}})
	job.Job.Steps = []batch.Step{tasks(2, 100)}
	job.Job.Schedule = &batch.Schedule{Count: 3, FirstMS: 1 << 40, IntervalMS: 1000}
	f.s.Submit(f.now, job)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOf(1, task, 5, batch.EndDone)}})
	f.write()
	require.Zero(t, f.acked("vm00"), "run 9 counts")
}

// What happened: a leader wrote the record of all VMs twice a second for as long as it
// led, and held everything else up for a tenth of a second each time.
// Sequence: a fleet is cut off from its leader for longer than its leases, and is back.
// Cause: from more VMs than are kept, those left out were drawn by chance among equals,
// so that the record always differed; each was found by a look at all.
func TestExpiredLeasesOfLargeFleetAreStable(t *testing.T) {
	f := newFixture(t, 0)
	for i := range 3000 {
		inst := instance(0)
		inst.ID, inst.Address = fmt.Sprintf("vm%04d", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
		f.list = append(f.list, inst)
	}
	f.s.SetInstances(f.now, f.list)
	f.reportAll(nil)
	f.advance(20 * time.Second)
	f.s.Tick(f.now)
	f.reportAll(nil)
	began := time.Now()
	first := f.s.ExpiredLeases()
	took := time.Since(began)
	t.Logf("took %v", took)
	require.True(t, maps.Equal(first, f.s.ExpiredLeases()), "another choice with each call")
	require.Less(t, took, 20*time.Millisecond)
}

// What happened: the record of all VMs was written twice a second while one VM was
// down.
// Sequence: a VM is unheard past its lease and still listed; the leader goes on
// starting tasks on the others.
// Cause: the highest run number by the end of the VM's leases was taken anew with each
// look at it, though nothing can have begun there since.
func TestExpiredLeaseOfUnreachableVMIsStable(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.advanceUntilStarted(15*time.Second, "vm00", batch.TaskID{}, 1)
	f.s.Tick(f.now)
	first := f.s.ExpiredLeases()
	require.Contains(t, first, "vm01")
	f.submit("j", tasks(1, 100))
	f.advanceUntilStarted(time.Second, "vm00", batch.TaskID{Job: "j"}, 1)
	require.NotEmpty(t, f.started)
	f.s.Tick(f.now)
	require.Equal(t, first, f.s.ExpiredLeases())
}

// What happened: an end that was withheld was acknowledged.
// Sequence: the end of a run that does not count is withheld; what is pending is on its
// way to the store while the VM, off the list for long, is forgotten and listed again.
// Cause: the flush named ends beyond the withheld one as written, and the VM that is
// back knew nothing of a limit.
func TestEndStaysWithheldAfterVMIsForgotten(t *testing.T) {
	f := newCutOffFixture(t)
	f.relist()
	f.report("cut", batch.Report{Running: []batch.RunStatus{{Task: oldTask, Run: 7}}})
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOf(1, oldTask, 5, batch.EndDone)}})
	require.Zero(t, f.acked("vm00"))
	onItsWay := f.s.PendingWrites()
	f.s.RemoveInstance(f.now, "vm00", "unlisted")
	f.s.SetInstances(f.now, f.list)
	if onItsWay != nil {
		f.s.Flushed(onItsWay)
	}
	require.Zero(t, f.acked("vm00"))
}

// What happened: a task was started again after its run had ended well.
// Sequence: a VM holds more ends than one report has room for. A new leader hears the VM
// for the first time, and takes it that it knows all that ran there; the end of the old
// task comes with a later report, once the ones before it are acknowledged.
// Cause: a report that is not whole counted as the VM's word on what it does not name.
func TestPartialReportDoesNotEndTheWait(t *testing.T) {
	f := newCutOffFixture(t)
	f.relist()
	other := batch.TaskID{Job: "old", Index: 1}
	f.report("cut", batch.Report{Ended: []batch.RunEnd{endOf(1, other, 3, batch.EndStopped)}, MoreEnded: true})
	f.s.Tick(f.now)
	f.plan()
	require.Empty(t, f.started, "started while the VM has more to tell")
	f.write()
	f.report("cut", batch.Report{Ended: []batch.RunEnd{endOf(2, oldTask, 4, batch.EndDone)}})
	f.plan()
	require.Empty(t, f.started)
	f.write()
	require.EqualValues(t, 2, f.acked("cut"))
}
