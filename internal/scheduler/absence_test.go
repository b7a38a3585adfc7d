package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// What happened: a task that a VM runs for a leader that is cut off was started
// again by the next leader up to a second before its lease was over.
// Sequence: a hold waits a second for an end, and its answer brings the VM's clock
// as it is then; the next hold is sent. The next leader waits for a lease's length
// after the last moment at which the leader before it may have renewed one.
// Cause: the lease was counted as if the clock had been read when the hold was
// sent, so that it was longer by the hold's wait than any leader takes it for.
func TestLeaseIsNoLongerThanTheNextLeaderWaits(t *testing.T) {
	f := newFixture(t, 1)
	sentAt := f.now
	_, known := f.s.Hold(sentAt, "vm00", time.Second)
	require.True(t, known)
	f.advance(time.Second)
	clock := f.now + time.Hour
	f.s.HandleReport(f.now, sentAt, "vm00", batch.Report{Clock: clock})
	order, _ := f.s.Hold(f.now, "vm00", time.Second)
	require.LessOrEqual(t, order.LeaseUntil-clock, f.s.settings.Lease(), "how long the lease lasts on the VM's clock")
}

// What happened: a task that was done ran again on another VM.
// Sequence: the store is slow, so that ends pile up at a VM, more than one report
// holds; a run ends there, and its end is not among those that are told; the
// leader finds the run in neither list.
// Cause: a run that is not listed counted as lost although the list of ends was cut
// off.
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
	require.Len(t, f.started["j.0.0.1"], 1, "started again before its end is told")
	f.advance(time.Second)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(2, b, batch.EndDone)}})
	require.Equal(t, batch.Completed, f.s.PendingWrites().Records[0].Progress.State)
}

// What happened: the tasks of a VM that lives were started again while they ran.
// Sequence: the VM's entry lapses with the store, or its heartbeats are lost; an
// entry of another writer holds the VM's address.
// Cause: an entry with the same address was taken for the end of the VM's life. The
// VM's own answer tells whether another instance is there, and comes at once.
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
	require.Len(t, f.started["j.0.0.0"], 1, "started again while the VM's lease runs")
}

// What happened: a job was shown as failed although none of its tasks had been
// given up. Sequence: a task has failed as often as its queue allows but once; two copies of
// it run; one is done, and the other fails before its stop arrives.
// Cause: failures were counted for a task that was done.
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
	require.Equal(t, batch.Queued, f.s.jobs["j"].state, "its other task is under way")
}

// What happened: a job was shown as failed after two runs of its gang had failed,
// where its queue allows three.
// Sequence: two members of a gang fail at the same moment, before either VM has
// ended its member as broken; this happens twice.
// Cause: the failures of members were added up, although a gang fails as one.
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

// What happened: a VM that came back after a cut got nothing new for as long as the
// leader led.
// Sequence: a lasting task ends `done` on a VM that is cut off; it is started again
// elsewhere once the lease is over; the VM comes back and tells the end.
// Cause: the end was withheld, as that of a task that must not run twice; a lasting
// task is started again however it ends.
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

// What happened: work that was saved was done again.
// Sequence: a run is counted as lost and started again with what it had saved; the
// second run saves more; the first VM comes back and tells the first run's end
// with its older checkpoint; the second run is stopped and started a third time.
// Cause: a checkpoint counted whichever run it came from.
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

// What happened: a job that had just completed was not known any more, and the same
// job handed in again was executed anew.
// Sequence: a process that has been up for longer than ended jobs are kept becomes
// the leader, and reads the job's record.
// Cause: the moment at which the job had ended was taken to be the start of the process.
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
