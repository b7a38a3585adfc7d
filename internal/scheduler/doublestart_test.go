package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// awaitDuration is how long the leaders of these tests wait for instances of earlier
// leaders.
const awaitDuration = 13 * time.Second

// oldTask is the only task of oldJob, which earlier leaders knew.
var oldTask = batch.TaskID{Job: "old"}

// oldJob returns the job "old" as a new leader reads it.
func oldJob(p *Progress) Submission {
	return Submission{Job: &batch.Job{ID: "old", Steps: []batch.Step{tasks(1, 100)}}, Queue: testQueue, Pool: "pool", PredatesLeader: true, Progress: p}
}

// endOf returns the end of a run with an arbitrary number, such as one of an earlier leader.
func endOf(seq int64, task batch.TaskID, run int64, kind batch.EndKind) batch.RunEnd {
	return batch.RunEnd{Seq: seq, Task: task, Run: run, Kind: kind}
}

// newSuccessorFixture returns a fixture whose leader has a higher fencing token.
func newSuccessorFixture(t *testing.T, vms int) *fixture {
	f := newFixture(t, vms)
	f.fence = 9
	f.s = New(Settings{MaxLease: 10 * time.Second}, f.fence, func(d Decision) { f.log = append(f.log, d) })
	f.s.ConfirmLeadership(distantFuture)
	f.s.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{{Name: testQueue, Pool: "pool", Attempts: 3, Stretch: 2, Slack: time.Second}}})
	f.s.SetInstances(f.now, f.list)
	return f
}

// write makes all pending records durable and returns them as the next leader reads them.
func (f *fixture) write() map[string]*Progress {
	out := map[string]*Progress{}
	flush := f.s.PendingWrites()
	if flush == nil {
		return out
	}
	for _, r := range flush.Records {
		value, err := json.Marshal(r.Progress)
		require.NoError(f.t, err)
		out[r.Job] = &Progress{}
		require.NoError(f.t, json.Unmarshal(value, out[r.Job]))
		f.s.RecordWritten(r, 1)
	}
	f.s.Flushed(flush)
	return out
}

// acked returns the highest end that the next hold acknowledges to a VM.
func (f *fixture) acked(vm string) int64 {
	o, ok := f.s.Hold(f.now, vm, 0)
	require.True(f.t, ok, "unknown VM %s", vm)
	return o.Acked
}

// advanceUntilStarted advances the time by up to d while one VM reports and the leader
// plans, until the task was started the given number of times.
func (f *fixture) advanceUntilStarted(d time.Duration, vm string, task batch.TaskID, starts int) {
	const tick = 100 * time.Millisecond
	for range d / tick {
		f.advance(tick)
		f.report(vm, batch.Report{})
		f.s.Tick(f.now)
		f.plan()
		if len(f.started[task.String()]) >= starts {
			return
		}
	}
}

// newCutOffFixture returns a fixture whose leader has one VM that reports, vm00, and an
// unlisted one that earlier leaders used, "cut".
func newCutOffFixture(t *testing.T) *fixture {
	f := newSuccessorFixture(t, 1)
	f.s.AwaitInstances([]string{"vm00", "cut"}, f.now+awaitDuration)
	f.s.AddUnlisted(f.now, batch.Instance{ID: "cut", Pool: "pool", Address: "10.9.9.9:1"})
	f.s.Submit(f.now, oldJob(nil))
	f.report("vm00", batch.Report{})
	return f
}

// relist adds the VM "cut" to the list.
func (f *fixture) relist() {
	back := instance(9)
	back.ID, back.Address = "cut", "10.9.9.9:1"
	f.list = append(f.list, back)
	f.s.SetInstances(f.now, f.list)
}

// Guards against declaring unlisted VMs ended before every lease of an earlier leader has
// expired. A zone was partitioned at 8 s with its leader and VMs. The new leader saw the
// VMs unlisted at 11.97 s, declared them gone at 15.98 s and started their tasks from
// 16.48 s on. The old leader renewed leases until 13.81 s, which made them valid until
// 22 s, so that 243 tasks ran twice.
func TestLeaseOutlivesListEntry(t *testing.T) {
	f := newCutOffFixture(t)
	f.advanceUntilStarted(unlistedRetention-200*time.Millisecond, "vm00", oldTask, 1)
	require.Empty(t, f.started, "started again at %v, while it may run on the VM that is cut off until %v", f.now, time.Second+awaitDuration)
}

// Guards against ending the wait for an unlisted VM when it is forgotten, after ten
// seconds off the list: it never reported its runs to the new leader, so that a lease may
// still be valid there, as above but six seconds later.
func TestLeaseOutlivesForgetting(t *testing.T) {
	f := newCutOffFixture(t)
	f.advanceUntilStarted(awaitDuration-200*time.Millisecond, "vm00", oldTask, 1)
	require.Empty(t, f.started, "started again at %v, while it may run on the VM that is cut off until %v", f.now, time.Second+awaitDuration)
}

// Guards against declaring a draining VM ended because it is unlisted and unresponsive,
// while its lease is valid. The VM was partitioned before it left, and its task was
// started elsewhere 1.2 s after its entry was removed.
func TestLeaseOutlivesDraining(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	o := f.last("j.0.0.0")
	f.confirm(o)
	// The end of the lease on the VM's clock, which is an hour ahead.
	lease := o.Start.LeaseUntil
	var rest []batch.Instance
	for i := range f.list {
		f.list[i].Draining = f.list[i].ID == o.Instance.ID
		if !f.list[i].Draining {
			rest = append(rest, f.list[i])
		}
	}
	f.s.SetInstances(f.now, f.list)
	// One more hold arrives there; all later messages are lost.
	hold, _ := f.s.Hold(f.now, o.Instance.ID, 0)
	lease = max(lease, hold.LeaseUntil)
	f.s.HandleReport(f.now, f.now, o.Instance.ID, batch.Report{Clock: f.now + time.Hour, Running: runningReport(o).Running})
	f.advance(100 * time.Millisecond)
	f.s.SetInstances(f.now, rest)
	f.advanceUntilStarted(20*time.Second, rest[0].ID, o.Task, 2)
	require.Len(t, f.started["j.0.0.0"], 2, "never started again")
	require.Greater(t, f.now+time.Hour, lease, "started again at %v, while its lease on the draining VM is valid until %v", f.now, lease-time.Hour)
}

// Guards against treating an unknown lease as expired: when a partition ended, the leader
// checked for expired leases between a VM's first report, with runs of an earlier leader,
// and the next hold, and started the tasks a second time.
func TestLeaseOutlivesFirstReport(t *testing.T) {
	f := newCutOffFixture(t)
	f.advance(5 * time.Second)
	f.relist()
	f.s.HandleReport(f.now, f.now, "cut", batch.Report{Clock: f.now + time.Hour, Running: []batch.RunStatus{{Task: oldTask, Run: 3}}})
	for range 8 {
		f.advance(time.Second)
		f.report("vm00", batch.Report{})
		f.s.Tick(f.now)
		f.plan()
		require.Empty(t, f.started, "started again at %v", f.now)
	}
	f.advanceUntilStarted(2*time.Second, "vm00", oldTask, 1)
	require.Len(t, f.started, 1, "not started again although every lease there has expired")
}

// Guards against a deposed leader that declares a lease expired. It is partitioned from
// the store and a VM but may act for some seconds; its successor adopts the VM's runs
// and acknowledges their ends, and the old leader starts the task on a VM it can reach.
func TestLeaseOutlivesTheLead(t *testing.T) {
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
	f.s.leadConfirmedAt = f.now + 5*time.Second
	f.advanceUntilStarted(12*time.Second, other, first.Task, 2)
	require.Len(t, f.started["j.0.0.0"], 1, "started again by a leader that may be deposed")
	f.s.ConfirmLeadership(f.now)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 2, "not started again although it led all the time")
}

// Checks that a leader that may be deposed does not end the wait for VMs of earlier leaders.
func TestWaitForSilentVMsOutlivesTheLead(t *testing.T) {
	f := newCutOffFixture(t)
	f.s.leadConfirmedAt = f.now + awaitDuration - time.Millisecond
	f.advanceUntilStarted(2*awaitDuration, "vm00", oldTask, 1)
	require.Empty(t, f.started)
	f.s.ConfirmLeadership(f.now)
	f.advanceUntilStarted(time.Second, "vm00", oldTask, 1)
	require.Len(t, f.started, 1)
}

// Guards against a VM that gets no work because only an earlier leader knew that its lease
// had expired. The task was completed elsewhere after the lease; after a change of leader
// the VM returns and reports that its own run completed.
func TestNextLeaderKnowsThatALeaseRanOut(t *testing.T) {
	f := newCutOffFixture(t)
	f.advanceUntilStarted(2*awaitDuration, "vm00", oldTask, 1)
	second := f.last("old.0.0.0")
	f.confirm(second)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, second, batch.EndDone)}})
	records := f.write()

	next := newSuccessorFixture(t, 1)
	next.s.RestoreExpiredLeases(f.s.ExpiredLeases())
	next.s.Submit(next.now, oldJob(records["old"]))
	next.report("vm00", batch.Report{})
	next.relist()
	next.report("cut", batch.Report{Ended: []batch.RunEnd{endOf(1, oldTask, 3, batch.EndDone)}})
	next.write()
	require.EqualValues(t, 1, next.acked("cut"))
}

// Guards against starting a task twice, 1.5 s after a change of leader. A leader that does
// not know yet that it is deposed accepts a new job and starts it on a VM that its
// successor can't reach. The successor must treat jobs of that period like older ones,
// even after the earlier leader has certainly stopped starting tasks.
func TestJobOfOverlappingLeadersWaitsForUnresponsiveVMs(t *testing.T) {
	f := newSuccessorFixture(t, 2)
	f.s.AwaitInstances([]string{"vm00", "vm01"}, f.now+awaitDuration)
	f.advance(100 * time.Millisecond)
	f.submit("new", tasks(1, 100))
	f.advanceUntilStarted(awaitDuration-500*time.Millisecond, "vm00", batch.TaskID{Job: "new"}, 1)
	require.Empty(t, f.started, "started at %v, while an earlier leader's run may be on vm01 until %v", f.now, time.Second+awaitDuration)
	f.advanceUntilStarted(time.Second, "vm00", batch.TaskID{Job: "new"}, 1)
	require.Len(t, f.started, 1)
}

// As above, where the successor's watch delivers the job some seconds late.
func TestLateJobOfOverlappingLeadersWaitsForUnresponsiveVMs(t *testing.T) {
	f := newSuccessorFixture(t, 2)
	f.s.AwaitInstances([]string{"vm00", "vm01"}, f.now+awaitDuration)
	f.advance(4 * time.Second)
	f.s.Submit(f.now, Submission{
		Job: &batch.Job{ID: "new", Steps: []batch.Step{tasks(1, 100)}}, Queue: testQueue, Pool: "pool", Age: 3900 * time.Millisecond,
	})
	f.advanceUntilStarted(awaitDuration-4500*time.Millisecond, "vm00", batch.TaskID{Job: "new"}, 1)
	require.Empty(t, f.started, "started at %v, while an earlier leader's run may be on vm01 until %v", f.now, time.Second+awaitDuration)
}

// Guards against skipping ends that follow the end of an unknown job: their runs, which
// the VM no longer lists, would be declared lost and their tasks started again. The end
// of the unknown job delays only acknowledgements.
func TestEndsBehindOneOfUnknownJobAreProcessed(t *testing.T) {
	f := newSuccessorFixture(t, 1)
	f.reportAll(nil)
	f.submit("known", tasks(1, 100))
	f.plan()
	o := f.last("known.0.0.0")
	f.confirm(o)
	f.advance(time.Second)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOf(1, batch.TaskID{Job: "late"}, 3, batch.EndDone), endOfOrder(2, o, batch.EndDone)}})
	f.advance(time.Second)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOf(1, batch.TaskID{Job: "late"}, 3, batch.EndDone), endOfOrder(2, o, batch.EndDone)}})
	f.plan()
	require.Len(t, f.started["known.0.0.0"], 1)
	require.Equal(t, batch.Completed, f.write()["known"].State)
}

// startedTwice returns a fixture where oldTask was started a second time, because the VM
// of its first, confirmed run did not list it although the lease never expired. The
// caller can report the end of the first run later.
func startedTwice(t *testing.T) (f *fixture, first, second Order) {
	f = newSuccessorFixture(t, 2)
	f.reportAll(nil)
	f.s.Submit(f.now, oldJob(nil))
	f.plan()
	first = f.last("old.0.0.0")
	f.confirm(first)
	f.advance(time.Second)
	f.reportAll(nil)
	f.plan()
	second = f.last("old.0.0.0")
	require.NotEqual(t, first.Run, second.Run)
	f.confirm(second)
	f.advance(time.Second)
	return f, first, second
}

// secondRunDone is startedTwice with the second run completed, and returns the records.
func secondRunDone(t *testing.T) (f *fixture, first Order, records map[string]*Progress) {
	f, first, second := startedTwice(t)
	f.report(second.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(1, second, batch.EndDone)}})
	records = f.write()
	require.Equal(t, batch.Completed, records["old"].State)
	return f, first, records
}

// Guards against acknowledging the end of a superseded run, which counts the task as
// executed twice. A run is declared lost while its VM is up, and a second run completes;
// once that had ended, the leader no longer knew that it is the run that counts.
func TestCountedRunIsKnownAfterItsEnd(t *testing.T) {
	f, first, _ := secondRunDone(t)
	seq := f.acked(first.Instance.ID) + 7
	f.report(first.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(seq, first, batch.EndDone)}})
	f.write()
	require.Less(t, f.acked(first.Instance.ID), seq, "the end of the first run was acknowledged; a later run counts")
}

// As above, where the VM returns after another change of leader: the record contained
// that the task is done but not by which run.
func TestCountedRunIsKnownToTheNextLeader(t *testing.T) {
	_, _, records := secondRunDone(t)
	f := newSuccessorFixture(t, 1)
	f.s.Submit(f.now, oldJob(records["old"]))
	f.report("vm00", batch.Report{})
	f.relist()
	f.report("cut", batch.Report{Ended: []batch.RunEnd{endOf(1, oldTask, 3, batch.EndDone)}})
	f.write()
	require.Zero(t, f.acked("cut"), "the end of run 3 was acknowledged; a later run counts")
}

// As above, where the job has unfinished tasks, so that its record has no final state.
func TestCountedRunIsKnownToTheNextLeaderInAnOpenJob(t *testing.T) {
	open := oldJob(nil)
	open.Job = &batch.Job{ID: "open", Steps: []batch.Step{tasks(2, 100)}}
	task := batch.TaskID{Job: "open"}
	f := newSuccessorFixture(t, 1)
	f.s.Submit(f.now, open)
	f.report("vm00", batch.Report{})
	f.plan()
	second := f.last(task.String())
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, second, batch.EndDone)}, Running: runningReport(f.last("open.0.0.1")).Running})
	open.Progress = f.write()["open"]

	next := newSuccessorFixture(t, 1)
	next.s.Submit(next.now, open)
	next.report("vm00", runningReport(f.last("open.0.0.1")))
	next.relist()
	next.report("cut", batch.Report{Ended: []batch.RunEnd{endOf(1, task, 3, batch.EndDone)}})
	next.write()
	require.Zero(t, next.acked("cut"), "the end of run 3 was acknowledged; a later run counts")
}

// Guards against acknowledging that a run completed after a later run of the task was
// started and failed, which counts the task as executed twice: an end was treated as
// superseded only while a later run was in progress.
func TestCountedRunIsNotOneBeforeAFailedRun(t *testing.T) {
	f, first, second := startedTwice(t)
	f.report(second.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(1, second, batch.EndFailed)}})
	seq := f.acked(first.Instance.ID) + 7
	f.report(first.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(seq, first, batch.EndDone)}})
	f.write()
	require.Less(t, f.acked(first.Instance.ID), seq, "the end of the first run was acknowledged; a later run was started")
}

// Guards against acknowledging the end of an unknown job. The watch of a new leader
// delivers the job only after a VM has reported the end of its task; no record includes
// the end, and the finished task was started again.
func TestAcknowledgedEndIsOfAKnownJob(t *testing.T) {
	f := newSuccessorFixture(t, 1)
	task := batch.TaskID{Job: "late"}
	rep := batch.Report{Ended: []batch.RunEnd{endOf(1, task, 3, batch.EndDone)}}
	f.report("vm00", rep)
	f.write()
	acked := f.acked("vm00")
	f.submit("late", tasks(1, 100))
	f.plan()
	require.Zero(t, acked, "acknowledged before the job is known")
	require.Empty(t, f.started, "started although its end is known")
	f.report("vm00", rep)
	f.plan()
	require.Empty(t, f.started, "started although its end is known")
	require.Equal(t, batch.Completed, f.write()["late"].State)
	require.EqualValues(t, 1, f.acked("vm00"))
}

// As above with failed runs: the task would be started more often than its queue allows.
func TestAcknowledgedFailureIsOfAKnownJob(t *testing.T) {
	f := newSuccessorFixture(t, 1)
	task := batch.TaskID{Job: "late"}
	rep := batch.Report{Ended: []batch.RunEnd{
		endOf(1, task, 3, batch.EndFailed), endOf(2, task, 4, batch.EndFailed), endOf(3, task, 5, batch.EndFailed),
	}}
	f.report("vm00", rep)
	f.write()
	acked := f.acked("vm00")
	f.submit("late", tasks(1, 100))
	f.report("vm00", rep)
	f.plan()
	require.Zero(t, acked, "acknowledged before the job is known")
	require.Empty(t, f.started, "started after three failed runs, the maximum of its queue")
}

// Guards against two concurrent runs of a task: a VM reports a run of a job that the leader
// does not know yet. The run was ordered to stop as unwanted, and when the job became
// known, its task was started elsewhere before the stop was carried out.
func TestAcknowledgedRunIsOfAKnownJob(t *testing.T) {
	f := newSuccessorFixture(t, 2)
	task := batch.TaskID{Job: "late"}
	f.reportAll(map[string]batch.Report{"vm00": {Running: []batch.RunStatus{{Task: task, Run: 3}}}})
	f.plan()
	f.submit("late", tasks(1, 100))
	f.plan()
	require.Empty(t, f.started, "started while run 3 was last reported by vm00")
}

// Guards against losing acknowledged ends of occurrences that a leader has restored but
// not opened. A new leader receives an end of occurrence 1 before it has checked which
// occurrences are due, and its record lacked occurrence 0, whose tasks were repeated.
func TestAcknowledgedEndsStayInTheRecord(t *testing.T) {
	sub := Submission{
		Job: &batch.Job{
			ID: "timed", Steps: []batch.Step{tasks(2, 100)}, Schedule: &batch.Schedule{FirstMS: 1000, IntervalMS: 1000, Count: 3},
		},
		Queue: testQueue, Pool: "pool", PredatesLeader: true,
	}
	task := func(occurrence, index int) batch.TaskID {
		return batch.TaskID{Job: "timed", Occurrence: occurrence, Index: index}
	}
	first := newSuccessorFixture(t, 1)
	first.s.Submit(first.now, sub)
	first.s.OpenDue(first.now, 1500)
	first.report("vm00", batch.Report{Ended: []batch.RunEnd{
		endOf(1, task(0, 0), 3, batch.EndDone), endOf(2, task(0, 1), 4, batch.EndFailed), endOf(3, task(0, 1), 5, batch.EndFailed),
	}})
	sub.Progress = first.write()["timed"]
	require.EqualValues(t, 3, first.acked("vm00"))

	second := newSuccessorFixture(t, 1)
	second.s.Submit(second.now, sub)
	second.report("vm00", batch.Report{Ended: []batch.RunEnd{endOf(4, task(1, 0), 6, batch.EndDone)}})
	sub.Progress = second.write()["timed"]
	require.EqualValues(t, 4, second.acked("vm00"))

	third := newSuccessorFixture(t, 1)
	third.s.Submit(third.now, sub)
	third.s.OpenDue(third.now, 2500)
	third.report("vm00", batch.Report{})
	third.plan()
	require.NotContains(t, third.started, "timed.0.0.0", "its end was acknowledged")
	require.NotContains(t, third.started, "timed.1.0.0", "its end was acknowledged")
	require.Len(t, third.s.task(task(0, 1)).failedRuns, 2, "their ends were acknowledged")
}
