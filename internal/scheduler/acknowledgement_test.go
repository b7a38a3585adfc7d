package scheduler

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Guards against acknowledging an end of a job whose record can't be read, as if it had
// no effect. No record includes the end, and a later leader that can read the record
// would start the finished task again.
func TestEndOfAHeldJobIsNotAcknowledged(t *testing.T) {
	f := newSuccessorFixture(t, 1)
	held := oldJob(nil)
	held.Unreadable, held.RecordRevision = true, 4
	f.s.Submit(f.now, held)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOf(1, oldTask, 3, batch.EndDone)}})
	f.write()
	require.Zero(t, f.acked("vm00"), "acknowledged although no record includes it")

	// Once the job has ended, its ends have no effect and may be acknowledged.
	f.s.Cancel(f.now, "old")
	f.advance(time.Second)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOf(1, oldTask, 3, batch.EndDone)}})
	f.write()
	require.EqualValues(t, 1, f.acked("vm00"))
}

// Guards against acknowledging the end of a superseded run because the counted run was
// looked up before the reported occurrence was opened: the record names run 9, and the
// end of run 5 is reported before the new leader has opened the due occurrences.
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

// Guards against expired leases of a large fleet that differ with each call, after a
// partition longer than the leases. A random choice among equals for the VMs beyond the
// limit, each found by a full scan, made the leader rewrite the record of all VMs twice a
// second and blocked it for a tenth of a second each time.
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
	require.True(t, maps.Equal(first, f.s.ExpiredLeases()), "two calls return different VMs")
	require.Less(t, took, 20*time.Millisecond)
}

// Guards against rewriting the record of all VMs twice a second while a listed VM is
// unresponsive past its lease: its highest expired run number was recomputed each time,
// although no run can have begun there since.
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

// Guards against acknowledging a withheld end when its VM is forgotten and listed again
// while a flush is in progress: the flush marked later ends as written, and the state of
// the returned VM had no acknowledgement limit.
func TestEndStaysWithheldAfterVMIsForgotten(t *testing.T) {
	f := newCutOffFixture(t)
	f.relist()
	f.report("cut", batch.Report{Running: []batch.RunStatus{{Task: oldTask, Run: 7}}})
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOf(1, oldTask, 5, batch.EndDone)}})
	require.Zero(t, f.acked("vm00"))
	flush := f.s.PendingWrites()
	f.s.RemoveInstance(f.now, "vm00", "unlisted")
	f.s.SetInstances(f.now, f.list)
	if flush != nil {
		f.s.Flushed(flush)
	}
	require.Zero(t, f.acked("vm00"))
}

// Guards against ending the wait for a VM at a partial first report. The VM has more ends
// than fit into one report; the end of the old task comes with a later one, and the task
// was started again before.
func TestPartialReportDoesNotEndTheWait(t *testing.T) {
	f := newCutOffFixture(t)
	f.relist()
	other := batch.TaskID{Job: "old", Index: 1}
	f.report("cut", batch.Report{Ended: []batch.RunEnd{endOf(1, other, 3, batch.EndStopped)}, MoreEnded: true})
	f.s.Tick(f.now)
	f.plan()
	require.Empty(t, f.started, "started while the VM has more ends to report")
	f.write()
	f.report("cut", batch.Report{Ended: []batch.RunEnd{endOf(2, oldTask, 4, batch.EndDone)}})
	f.plan()
	require.Empty(t, f.started)
	f.write()
	require.EqualValues(t, 2, f.acked("cut"))
}
