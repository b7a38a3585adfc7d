package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Guards against tasks that run twice: 37 did within half a second after the store's return. The
// store is away until the leader's lease expires; on its return another leader is elected while
// the first is not yet aware of it and still accepts new jobs. Both start a job that arrives
// then, each on VMs that the other has not reached. Only jobs older than the new leader waited
// for the VMs' reports.
func TestNewJobsWaitForVMsAfterTakeover(t *testing.T) {
	f := newFixture(t, 2)
	f.s.AwaitInstances([]string{"vm00", "vm01"}, f.now+12*time.Second)
	f.report("vm00", batch.Report{})
	f.submit("new", tasks(1, 100))
	f.plan()
	require.Empty(t, f.started, "started while vm01 may run it for the earlier leader")
	f.report("vm01", batch.Report{})
	f.plan()
	require.Len(t, f.started, 1)
}

// Guards against new jobs that wait for unreported VMs although no earlier leader can have
// accepted them.
func TestNewJobsDoNotWaitForUnreportedVMsForLong(t *testing.T) {
	f := newFixture(t, 2)
	f.s.AwaitInstances([]string{"vm00", "vm01"}, f.now+12*time.Second)
	f.advance(DeposedAdmissionTimeout + time.Millisecond)
	f.report("vm00", batch.Report{})
	f.s.SetHandoverRevision(50)
	for created, id := range map[int64]string{0: "unknown", 50: "overlap", 51: "new"} {
		job := &batch.Job{ID: id, Steps: []batch.Step{tasks(1, 100)}}
		f.s.Submit(f.now, Submission{Job: job, Queue: testQueue, Pool: "pool", CreatedRevision: created})
	}
	f.plan()
	require.Len(t, f.started, 1)
	require.Contains(t, f.started, "new.0.0.0")
	// The watch supplies the revision of a job that was announced without one.
	job := &batch.Job{ID: "unknown", Steps: []batch.Step{tasks(1, 100)}}
	f.s.Submit(f.now, Submission{Job: job, Queue: testQueue, Pool: "pool", CreatedRevision: 52})
	f.advance(100 * time.Millisecond)
	f.plan()
	require.Contains(t, f.started, "unknown.0.0.0")
}

// Guards against a task of an old job that runs on two VMs after a change of leader: the old
// leader started it on a VM that the new one can't reach.
func TestOldJobsWaitForUnreportedVMs(t *testing.T) {
	f := newFixture(t, 2)
	f.s.AwaitInstances([]string{"vm00", "vm01"}, f.now+12*time.Second)
	s := Submission{Job: &batch.Job{ID: "old", Steps: []batch.Step{tasks(1, 100)}}, Queue: testQueue, Pool: "pool", PredatesLeader: true}
	f.s.Submit(f.now, s)
	for range 11 {
		f.advance(time.Second)
		f.report("vm00", batch.Report{})
		f.s.Tick(f.now)
		f.plan()
	}
	require.Empty(t, f.started)
	f.advance(1100 * time.Millisecond)
	f.report("vm00", batch.Report{})
	f.s.Tick(f.now)
	f.plan()
	require.Len(t, f.started, 1)
}

// Guards against restarting a run that a VM lists: it is adopted.
func TestRunningTasksAreAdopted(t *testing.T) {
	f := newFixture(t, 1)
	f.s.AwaitInstances([]string{"vm00"}, f.now+12*time.Second)
	f.s.Submit(f.now, Submission{Job: &batch.Job{ID: "old", Steps: []batch.Step{tasks(2, 100)}}, Queue: testQueue, Pool: "pool", PredatesLeader: true})
	id := batch.TaskID{Job: "old"}
	f.report("vm00", batch.Report{Running: []batch.RunStatus{{Task: id, Run: 3}}})
	f.plan()
	require.Len(t, f.started, 1)
	require.Contains(t, f.started, "old.0.0.1")
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{{Seq: 1, Task: id, Run: 3, Kind: batch.EndDone}}})
	require.NotNil(t, f.s.PendingWrites())
}

// Guards against a job that fails after fewer failures than allowed: a failed end is recorded,
// the leader dies before acknowledging it, and the next leader reads the record and receives the
// same end again.
func TestFailedEndToldAgainCountsOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(1, 100))
	f.plan()
	first := f.last("j.0.0.0")
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, first, batch.EndFailed)}})
	record := f.s.PendingWrites().Records[0].Progress

	next := newFixture(t, 1)
	next.s.Submit(next.now, Submission{Job: &batch.Job{ID: "j", Steps: []batch.Step{tasks(1, 100)}}, Queue: testQueue, Pool: "pool", PredatesLeader: true, Progress: record})
	next.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, first, batch.EndFailed)}})
	require.Len(t, next.s.task(first.Task).failedRuns, 1)
}

// Guards against lost ends: an end may be acknowledged only once its record is written.
func TestEndsAreAcknowledgedAfterTheWrite(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(2, 100))
	f.plan()
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, f.last("j.0.0.0"), batch.EndDone)}, Running: runningReport(f.last("j.0.0.1")).Running})
	hold, _ := f.s.Hold(f.now, "vm00", 0)
	require.Zero(t, hold.Acked)
	flush := f.s.PendingWrites()
	require.Len(t, flush.Records, 1)
	f.s.RecordWritten(flush.Records[0], 7)
	f.s.Flushed(flush)
	hold, _ = f.s.Hold(f.now, "vm00", 0)
	require.EqualValues(t, 1, hold.Acked)
}

// Guards against showing a job as completed before the store has it.
func TestCompletedIsShownAfterTheWrite(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(1, 100))
	f.plan()
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, f.last("j.0.0.0"), batch.EndDone)}})
	state, _ := f.s.State("j")
	require.Equal(t, batch.Running, state)
	flush := f.s.PendingWrites()
	f.s.RecordWritten(flush.Records[0], 7)
	state, _ = f.s.State("j")
	require.Equal(t, batch.Completed, state)
}

// Guards against a wait that is too short or too long for a VM of an earlier leader that is
// unlisted and unreported: it may be cut off together with that leader, and is awaited until
// every lease that the leader may have taken has expired.
func TestUnlistedVMsAreAwaitedUntilTheirLeasesExpire(t *testing.T) {
	f := newFixture(t, 1)
	f.s.AwaitInstances([]string{"vm00", "left"}, f.now+12*time.Second)
	f.s.AddUnlisted(f.now, batch.Instance{ID: "left", Address: "10.9.9.9:1"})
	f.s.Submit(f.now, Submission{Job: &batch.Job{ID: "old", Steps: []batch.Step{tasks(1, 100)}}, Queue: testQueue, Pool: "pool", PredatesLeader: true})
	f.advance(12*time.Second - 100*time.Millisecond)
	f.report("vm00", batch.Report{})
	f.s.Tick(f.now)
	f.plan()
	require.Empty(t, f.started)
	f.advance(200 * time.Millisecond)
	f.report("vm00", batch.Report{})
	f.s.Tick(f.now)
	f.plan()
	require.Len(t, f.started, 1)
}

// Guards against restarting the runs of an unlisted VM that has only lost the store: it responds,
// and its runs are adopted.
func TestUnlistedVMThatRespondsIsAdopted(t *testing.T) {
	f := newFixture(t, 1)
	f.s.AwaitInstances([]string{"vm00", "cut"}, f.now+12*time.Second)
	f.s.AddUnlisted(f.now, batch.Instance{ID: "cut", Address: "10.9.9.9:1"})
	f.s.Submit(f.now, Submission{Job: &batch.Job{ID: "old", Steps: []batch.Step{tasks(1, 100)}}, Queue: testQueue, Pool: "pool", PredatesLeader: true})
	f.report("cut", batch.Report{Running: []batch.RunStatus{{Task: batch.TaskID{Job: "old"}, Run: 3}}})
	f.report("vm00", batch.Report{})
	f.plan()
	require.Empty(t, f.started)
}

// Guards against VMs that stay idle for the rest of a leader's tenure. A VM is unreported for
// longer than its lease while its one run ends well; the task is restarted elsewhere; the VM
// returns and reports the end. The run was rightly declared lost, although the VM, which ran
// nothing when the lease expired, reports no expiry. The end has to be acknowledged, the task
// completed and the VM given new work; the acknowledgement used to be withheld.
func TestEndOfARunWhoseLeaseExpiredIsAcknowledged(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 100))
	f.plan()
	first := f.last("j.0.0.0")
	f.confirm(first)
	other := f.list[0].ID
	if other == first.Instance.ID {
		other = f.list[1].ID
	}
	_, _ = f.s.Hold(f.now, first.Instance.ID, 0)
	f.advance(9 * time.Second)
	f.report(other, batch.Report{})
	f.s.Tick(f.now)
	f.plan()
	second := f.last("j.0.0.0")
	require.Equal(t, other, second.Instance.ID)
	f.confirm(second)
	f.s.HandleReport(f.now, f.now, first.Instance.ID, batch.Report{Clock: f.now + time.Hour, Ended: []batch.RunEnd{endOfOrder(1, first, batch.EndDone)}})
	require.Equal(t, batch.Completed, f.write()["j"].State)
	require.EqualValues(t, 1, f.acked(first.Instance.ID))
	f.plan()
	require.Len(t, f.stops, 1, "the second run is not needed any more")
	require.Equal(t, second.Run, f.stops[0].Run)
	f.submit("new", tasks(2, 9000))
	f.plan()
	require.Len(t, f.started["new.0.0.0"], 1)
	require.Len(t, f.started["new.0.0.1"], 1)
}

// Guards against withholding the acknowledgement of an end that a VM reports before the expiry of
// its lease.
func TestEndBeforeLeaseExpiryIsAcknowledged(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(2, 100))
	f.plan()
	a, b := f.last("j.0.0.0"), f.last("j.0.0.1")
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, a, batch.EndDone), endOfOrder(2, b, batch.EndLapsed)}})
	flush := f.s.PendingWrites()
	for _, r := range flush.Records {
		f.s.RecordWritten(r, 1)
	}
	f.s.Flushed(flush)
	hold, _ := f.s.Hold(f.now, "vm00", 0)
	require.EqualValues(t, 2, hold.Acked)
}

// Guards against a job that fails though its tasks failed less often than its queue allows: a
// leader takes over without a configuration, or with one that lacks the job's queue, and a task
// fails once. An unknown queue allowed a single attempt.
func TestAttemptsOfAQueueThatIsNotConfigured(t *testing.T) {
	f := newFixture(t, 1)
	f.s = New(Settings{MaxLease: 10 * time.Second}, 2, nil)
	f.s.SetInstances(f.now, f.list)
	f.reportAll(nil)
	step := tasks(1, 1000)
	queue := &batch.Queue{Name: "gone", Pool: "pool", Attempts: 3, Stretch: 2}
	f.s.Submit(f.now, Submission{Job: &batch.Job{ID: "j", Steps: []batch.Step{step}}, Queue: "gone", Pool: "pool", AcceptedQueue: queue, PredatesLeader: true})
	f.plan()
	first := f.last("j.0.0.0")
	f.confirm(first)
	f.advance(time.Second)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, first, batch.EndFailed)}})
	state, _ := f.s.State("j")
	require.Equal(t, batch.Running, state)
	f.advance(time.Second)
	f.report("vm00", batch.Report{})
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 2)
}

// Guards against a task of a timed job that runs twice after a change of leader. A new leader
// accepts the job, and a VM reports that a task of an occurrence runs or is done before the
// leader has checked the time of day, or while its clock is behind the earlier leader's. The end
// of a task that is not open was acknowledged and dropped.
func TestEndOfAnOccurrenceThatIsNotOpenYet(t *testing.T) {
	f := newFixture(t, 2)
	job := &batch.Job{ID: "j", Steps: []batch.Step{tasks(1, 1000)}, Schedule: &batch.Schedule{FirstMS: 1000, IntervalMS: 1000, Count: 3}}
	f.s.Submit(f.now, Submission{Job: job, Queue: testQueue, Pool: "pool", PredatesLeader: true})
	earlier := func(occurrence int) Order {
		return Order{Task: batch.TaskID{Job: "j", Occurrence: occurrence}, Run: 7}
	}
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, earlier(0), batch.EndDone)}})
	f.report("vm01", runningReport(earlier(1)))
	f.s.OpenDue(f.now, 2500)
	f.plan()
	require.NotContains(t, f.started, "j.0.0.0", "is done")
	require.NotContains(t, f.started, "j.1.0.0", "runs")
	require.Empty(t, f.stops)
	f.s.OpenDue(f.now, 3500)
	f.plan()
	require.Contains(t, f.started, "j.2.0.0")
}
