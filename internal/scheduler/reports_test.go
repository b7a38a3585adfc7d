package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Guards against a lease that exceeds the requested duration by the wait of the hold: the
// VM's clock was taken as read when the hold was sent, not when it was answered. The next
// leader waits only one lease duration and started the task up to a second too early.
func TestLeaseIsNoLongerThanTheNextLeaderWaits(t *testing.T) {
	f := newFixture(t, 1)
	sentAt := f.now
	_, known := f.s.Hold(sentAt, "vm00", time.Second)
	require.True(t, known)
	f.advance(time.Second)
	clock := f.now + time.Hour
	f.s.HandleReport(f.now, sentAt, "vm00", batch.Report{Clock: clock})
	order, _ := f.s.Hold(f.now, "vm00", time.Second)
	require.LessOrEqual(t, order.LeaseUntil-clock, f.s.settings.Lease(), "lease duration on the VM's clock")
}

// Guards against declaring a run lost because a truncated report lists it neither as
// running nor as ended. With a slow store more ends accumulate at a VM than fit into one
// report, and a finished task was executed again on another VM.
func TestRunBeyondTruncatedEndsIsNotLost(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(2, 100))
	f.plan()
	a, b := f.last("j.0.0.0"), f.last("j.0.0.1")
	f.confirm(a)
	f.confirm(b)
	f.advance(time.Second)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, a, batch.EndDone)}, MoreEnded: true})
	f.plan()
	require.Len(t, f.started["j.0.0.1"], 1, "started again before its end is reported")
	f.advance(time.Second)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(2, b, batch.EndDone)}})
	require.Equal(t, batch.Completed, f.s.PendingWrites().Records[0].Progress.State)
}

// Guards against declaring a VM ended because another entry has its address, after its
// own entry expired or its heartbeats were lost. Its tasks were started again while they
// ran. Only the VM's response shows whether another instance has the address.
func TestEntryWithSameAddressDoesNotEndVM(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	o := f.last("j.0.0.0")
	f.confirm(o)
	var list []batch.Instance
	for _, inst := range f.list {
		if inst.ID == o.Instance.ID {
			inst = batch.Instance{ID: "stray", Pool: "nobody's", Address: inst.Address}
		}
		list = append(list, inst)
	}
	f.s.SetInstances(f.now, list)
	f.advance(time.Second)
	for _, inst := range f.list {
		if inst.ID != o.Instance.ID {
			f.report(inst.ID, batch.Report{})
		}
	}
	f.s.Tick(f.now)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 1, "started again while the VM's lease is valid")
}

// Guards against a job that fails because of a copy of a finished task: the task is one
// failure below its limit, one of its two copies completes, and the other fails before
// its stop arrives.
func TestFailureOfACopyAfterTheTaskIsDone(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	step := tasks(2, 3000)
	step.Speculative = true
	f.submit("j", step)
	var o Order
	for seq := range int64(3) {
		f.advance(time.Second)
		f.reportAll(nil)
		f.plan()
		require.Len(t, f.started["j.0.0.0"], int(seq)+1)
		o = f.last("j.0.0.0")
		f.confirm(o)
		if seq < 2 {
			f.report(o.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(seq+1, o, batch.EndFailed)}})
		}
	}
	other := f.list[0].ID
	if other == o.Instance.ID {
		other = f.list[1].ID
	}
	second := o
	second.Run++
	f.report(other, runningReport(second))
	f.report(o.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(3, o, batch.EndDone)}})
	f.report(other, batch.Report{Ended: []batch.RunEnd{endOfOrder(3, second, batch.EndFailed)}})
	require.Equal(t, batch.Queued, f.s.jobs["j"].state, "its other task is still open")
}

// Guards against counting the failure of each gang member as an attempt: two members fail
// before either VM has ended its member as broken, and the job failed after two failed
// runs of the gang where its queue allows three.
func TestGangRunThatFailsCountsOnce(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	step := tasks(2, 6000)
	step.Gang = true
	f.submit("g", step)
	for round := range int64(2) {
		f.advance(time.Second)
		f.reportAll(nil)
		f.plan()
		a, b := f.last("g.0.0.0"), f.last("g.0.0.1")
		f.confirm(a)
		f.confirm(b)
		f.report(a.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(round+1, a, batch.EndFailed)}})
		f.report(b.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(round+1, b, batch.EndFailed)}})
	}
	require.Len(t, f.started["g.0.0.0"], 2)
	require.False(t, f.s.jobs["g"].state.Final(), "failed after two of three attempts")
}

// Guards against withholding the end of a lasting task, after which its VM got no new
// work. The task ends as done on a partitioned VM and is started again elsewhere once the
// lease has expired, as a lasting task is whatever its end; then the VM reports the end.
func TestEndOfALastingTaskIsNotWithheld(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	step := tasks(1, 1000)
	step.Lasting = true
	f.submit("j", step)
	f.plan()
	first := f.last("j.0.0.0")
	f.confirm(first)
	_, _ = f.s.Hold(f.now, first.Instance.ID, 0)
	for range 12 {
		f.advance(time.Second)
		for _, inst := range f.list {
			if inst.ID != first.Instance.ID {
				f.report(inst.ID, runningReport(f.started["j.0.0.0"][1:]...))
			}
		}
		f.s.Tick(f.now)
		for _, o := range f.plan() {
			f.confirm(o)
		}
	}
	require.Len(t, f.started["j.0.0.0"], 2)
	f.s.HandleReport(f.now, f.now, first.Instance.ID, batch.Report{Clock: f.now + time.Hour, Ended: []batch.RunEnd{endOfOrder(1, first, batch.EndDone)}})
	if flush := f.s.PendingWrites(); flush != nil {
		for _, r := range flush.Records {
			f.s.RecordWritten(r, 1)
		}
		f.s.Flushed(flush)
	}
	hold, _ := f.s.Hold(f.now, first.Instance.ID, 0)
	require.EqualValues(t, 1, hold.Acked)
}

// Guards against replacing a checkpoint by that of an older run. A run is declared lost
// and its successor saves more; then the first VM reports the first run's end with its
// older checkpoint, and the next start would repeat saved work.
func TestCheckpointOfAnOlderRunDoesNotCount(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	step := tasks(1, 1000)
	step.Checkpoints = true
	f.submit("j", step)
	f.plan()
	o := f.last("j.0.0.0")
	f.confirm(o)
	newer := runningReport(o)
	newer.Running[0].Checkpoint = "newer"
	f.report(o.Instance.ID, newer)
	other := f.list[0].ID
	if other == o.Instance.ID {
		other = f.list[1].ID
	}
	older := endOfOrder(1, o, batch.EndLapsed)
	older.Run, older.Checkpoint = o.Run-1, "older"
	f.report(other, batch.Report{Ended: []batch.RunEnd{older}})
	f.report(o.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(1, o, batch.EndStopped)}})
	f.advance(time.Second)
	f.reportAll(nil)
	f.plan()
	require.Equal(t, "newer", f.last("j.0.0.0").Start.Checkpoint)
}

// Guards against dropping a job that has just completed, so that it would be executed
// again if resubmitted. The end time of a restored job was taken as the process start,
// and the process had been up for longer than ended jobs are kept.
func TestEndedJobIsKeptByTheNextLeader(t *testing.T) {
	f := newFixture(t, 1)
	keep := 10 * time.Minute
	f.advance(2 * keep)
	f.s.Submit(f.now, Submission{
		Job: &batch.Job{ID: "j", Steps: []batch.Step{tasks(1, 100)}}, Queue: testQueue, Pool: "pool", PredatesLeader: true,
		Progress: &Progress{State: batch.Completed}, RecordRevision: 3,
	})
	require.Empty(t, f.s.RemovableJobs(f.now, keep, 10))
	f.advance(keep + time.Second)
	require.Equal(t, []string{"j"}, f.s.RemovableJobs(f.now, keep, 10))
}
