package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// awaitDuration is how long the leaders of these tests are told to wait for instances
// of earlier leaders.
const awaitDuration = 13 * time.Second

// oldTask is the one task of a job that earlier leaders knew.
var oldTask = batch.TaskID{Job: "old"}

// oldJob is that job, as a new leader reads it.
func oldJob(p *Progress) Submission {
	return Submission{Job: &batch.Job{ID: "old", Steps: []batch.Step{tasks(1, 100)}}, Queue: testQueue, Pool: "pool", PredatesLeader: true, Progress: p}
}

// endOf is how an earlier leader's run of a task ended.
func endOf(seq int64, task batch.TaskID, run int64, kind batch.EndKind) batch.RunEnd {
	return batch.RunEnd{Seq: seq, Task: task, Run: run, Kind: kind}
}

// newSuccessorFixture is a fixture with a leader after f's.
func newSuccessorFixture(t *testing.T, vms int) *fixture {
	f := newFixture(t, vms)
	f.fence = 9
	f.s = New(Settings{MaxLease: 10 * time.Second}, f.fence, func(d Decision) { f.log = append(f.log, d) })
	f.s.ConfirmLeadership(distantFuture)
	f.s.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{{Name: testQueue, Pool: "pool", Attempts: 3, Stretch: 2, Slack: time.Second}}})
	f.s.SetInstances(f.now, f.list)
	return f
}

// write makes all that is pending durable and returns the records as the store
// gives them to the next leader.
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

// acked is the highest end that the next hold acknowledges to a VM.
func (f *fixture) acked(vm string) int64 {
	o, ok := f.s.Hold(f.now, vm, 0)
	require.True(f.t, ok, "unknown VM %s", vm)
	return o.Acked
}

// advanceUntilStarted lets time go by while one VM is heard and the leader plans, until the task
// was started so many times.
func (f *fixture) advanceUntilStarted(d time.Duration, heard string, task batch.TaskID, starts int) {
	const tick = 100 * time.Millisecond
	for range d / tick {
		f.advance(tick)
		f.report(heard, batch.Report{})
		f.s.Tick(f.now)
		f.plan()
		if len(f.started[task.String()]) >= starts {
			return
		}
	}
}

// newCutOffFixture is a leader with one VM that it hears, vm00, and one that earlier leaders
// used and that is off the list, "cut".
func newCutOffFixture(t *testing.T) *fixture {
	f := newSuccessorFixture(t, 1)
	f.s.AwaitInstances([]string{"vm00", "cut"}, f.now+awaitDuration)
	f.s.AddUnlisted(f.now, batch.Instance{ID: "cut", Pool: "pool", Address: "10.9.9.9:1"})
	f.s.Submit(f.now, oldJob(nil))
	f.report("vm00", batch.Report{})
	return f
}

// relist puts the VM that was cut off back on the list.
func (f *fixture) relist() {
	back := instance(9)
	back.ID, back.Address = "cut", "10.9.9.9:1"
	f.list = append(f.list, back)
	f.s.SetInstances(f.now, f.list)
}

// What happened: two runs of one task at once, on VMs that are both up.
// Sequence: an availability zone is cut off from the store and from the other
// zones, with the leader and its VMs in it. Another leader is elected elsewhere;
// the VMs go off the list. Four seconds later it counts each of them as gone and
// starts their tasks again, while the old leader may still renew their leases.
// Cause: the end of a VM's life was concluded from its absence on the list, before
// every lease that an earlier leader may have taken is over.
// What settled it, from the logs of a cut that began at 8 s: the new leader's vm_unlisted
// at 11.97 s and vm_gone, "off the list and unheard", at 15.98 s; its first run_started of
// such a task at 16.48 s; the old leader's leader_lease_unrenewed not before 13.81 s, so
// that its leases lasted until 22 s. 243 tasks ran twice.
func TestLeaseOutlivesListEntry(t *testing.T) {
	f := newCutOffFixture(t)
	f.advanceUntilStarted(unlistedRetention-200*time.Millisecond, "vm00", oldTask, 1)
	require.Empty(t, f.started, "started again at %v, while it may run on the VM that is cut off until %v", f.now, time.Second+awaitDuration)
}

// What happened: as above, but six seconds later.
// Sequence: the VM that is off the list has no run that the new leader knows, since
// it was never heard; after ten seconds off the list it is forgotten.
// Cause: a VM that is forgotten for being off the list was no longer waited for
// either, though nobody had heard what it runs.
func TestLeaseOutlivesForgetting(t *testing.T) {
	f := newCutOffFixture(t)
	f.advanceUntilStarted(awaitDuration-200*time.Millisecond, "vm00", oldTask, 1)
	require.Empty(t, f.started, "started again at %v, while it may run on the VM that is cut off until %v", f.now, time.Second+awaitDuration)
}

// What happened: two runs of one task at once, one of them on a draining VM.
// Sequence: a VM says that it drains, and is cut off from the store and the leader
// before it has left; its entry goes. The leader takes it to have left 1.2 s later
// and starts its task elsewhere, while the VM lives and its lease runs.
// Cause: a draining VM that is off the list and unheard was taken for one that has
// ended, whatever its lease.
func TestLeaseOutlivesDraining(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	o := f.last("j.0.0.0")
	f.confirm(o)
	// The VM's lease, on its clock, which is an hour ahead.
	lease := o.Start.LeaseUntil
	var rest []batch.Instance
	for i := range f.list {
		f.list[i].Draining = f.list[i].ID == o.Instance.ID
		if !f.list[i].Draining {
			rest = append(rest, f.list[i])
		}
	}
	f.s.SetInstances(f.now, f.list)
	// One more hold arrives there; the rest of the talk with it is lost.
	hold, _ := f.s.Hold(f.now, o.Instance.ID, 0)
	lease = max(lease, hold.LeaseUntil)
	f.s.HandleReport(f.now, f.now, o.Instance.ID, batch.Report{Clock: f.now + time.Hour, Running: runningReport(o).Running})
	f.advance(100 * time.Millisecond)
	f.s.SetInstances(f.now, rest)
	f.advanceUntilStarted(20*time.Second, rest[0].ID, o.Task, 2)
	require.Len(t, f.started["j.0.0.0"], 2, "never started again")
	require.Greater(t, f.now+time.Hour, lease, "started again at %v, while its lease on the draining VM runs until %v", f.now, lease-time.Hour)
}

// What happened: tasks ran twice at once, the moment a cut ended.
// Sequence: a leader hears a VM for the first time, which tells what an earlier
// leader runs there; before the next hold takes a lease, the leader looks which
// leases are over.
// Cause: a lease of which nothing was known counted as over.
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
	require.Len(t, f.started, 1, "not started again though every lease there is over")
}

// What happened: a task was started after its end had been acknowledged.
// Sequence: a leader is cut off from the store and from a VM whose lease it took; it
// may act for some seconds more. Another is elected, which hears the VM and takes what
// runs there over. The first counts the VM's lease as over and starts its task again,
// on a VM that only it reaches.
// Cause: a lease was taken to be over by a leader that may not lead any more.
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
	require.Len(t, f.started["j.0.0.0"], 1, "started again by a leader that is cut off")
	f.s.ConfirmLeadership(f.now)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 2, "not started again though it led all the while")
}

// A leader that is cut off does not take the wait for earlier leaders' VMs to be over.
func TestWaitForSilentVMsOutlivesTheLead(t *testing.T) {
	f := newCutOffFixture(t)
	f.s.leadConfirmedAt = f.now + awaitDuration - time.Millisecond
	f.advanceUntilStarted(2*awaitDuration, "vm00", oldTask, 1)
	require.Empty(t, f.started)
	f.s.ConfirmLeadership(f.now)
	f.advanceUntilStarted(time.Second, "vm00", oldTask, 1)
	require.Len(t, f.started, 1)
}

// What happened: a VM stood idle for as long as its leaders led.
// Sequence: a VM is given up rightly, after its lease, and its task done elsewhere;
// another leader is elected; the VM is back and tells that its run ended well.
// Cause: that the lease had run out was known to the first leader only.
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

// What happened: two runs of one task at once, a second and a half after a change
// of leader.
// Sequence: a leader whose key is gone, which it has not heard of, takes a new job
// up and starts it on a VM that the next leader does not reach. The next leader has
// the job too, and starts it once the earlier one has certainly learned that it is
// deposed.
// Cause: that the earlier leader starts no more says nothing of what it has started.
// A job that came while it may still have followed new ones is as good as an old one.
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

// What happened: as above, seconds later.
// Sequence: the job came in the same time, and the next leader's watch tells it late.
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

// What must not happen: an end is not looked at, since one before it is of a job that
// is not known; its run, which the VM does not list any more, counts as lost, and its
// task is started again.
// The end of the unknown job holds up what is acknowledged, and nothing else.
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

// startedTwice brings about: a run of oldTask was confirmed on a VM, which then did
// not list it, though its lease never ran out; the task was started again elsewhere.
// The end of the first run is kept on its VM, and told later.
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

// secondRunDone lets the second run end well, and returns the records then.
func secondRunDone(t *testing.T) (f *fixture, first Order, records map[string]*Progress) {
	f, first, second := startedTwice(t)
	f.report(second.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(1, second, batch.EndDone)}})
	records = f.write()
	require.Equal(t, batch.Completed, records["old"].State)
	return f, first, records
}

// What happened: a task counts as run twice: the end of its first run, before its
// second one was started, was acknowledged after both.
// Sequence: a run is given up while its VM lives, and its task is started again
// elsewhere; that run ends well. Then the VM tells that the first run ended well.
// Cause: an end counted as superseded only while a later run was under way; which
// run counted as done was not known any more once it had ended.
func TestCountedRunIsKnownAfterItsEnd(t *testing.T) {
	f, first, _ := secondRunDone(t)
	seq := f.acked(first.Instance.ID) + 7
	f.report(first.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(seq, first, batch.EndDone)}})
	f.write()
	require.Less(t, f.acked(first.Instance.ID), seq, "the end of the first run was acknowledged; a later run counts")
}

// What happened: as above, but the VM is back after another change of leader.
// Cause: the record told that the task is done, and not by which run.
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

// What happened: as above, where other tasks of the job are still to be done, so
// that the record has no final state.
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

// What happened: a task counts as run twice: an end `done` was acknowledged after a
// later run of the task had been started, and had failed.
// Sequence: a run is given up while its VM lives, and its task is started again
// elsewhere; that run fails. Then the VM tells that the first run ended well.
// Cause: an end counted as superseded only while a later run was under way.
func TestCountedRunIsNotOneBeforeAFailedRun(t *testing.T) {
	f, first, second := startedTwice(t)
	f.report(second.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(1, second, batch.EndFailed)}})
	seq := f.acked(first.Instance.ID) + 7
	f.report(first.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(seq, first, batch.EndDone)}})
	f.write()
	require.Less(t, f.acked(first.Instance.ID), seq, "the end of the first run was acknowledged; a later run was started")
}

// What happened: a task was started after its end `done` had been acknowledged.
// Sequence: a leader takes a job on and starts it; another is elected, whose watch
// of new jobs is late or silent. A VM tells it the end of the job's task; the flush
// that follows acknowledges it, though no record holds it. Then the job is learned.
// Cause: an end of a job that is not known counted as processed.
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
	require.Empty(t, f.started, "started though its end is known")
	f.report("vm00", rep)
	f.plan()
	require.Empty(t, f.started, "started though its end is known")
	require.Equal(t, batch.Completed, f.write()["late"].State)
	require.EqualValues(t, 1, f.acked("vm00"))
}

// What happened: a task is started more often than its queue allows.
// Sequence: as above, and the end that is told is that of a failed run.
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
	require.Empty(t, f.started, "started after three failed runs, which is all its queue allows")
}

// What happened: two runs of one task at once.
// Sequence: as above, but the run is under way when the VM is heard. It is ordered
// to stop, as one of a job that there is not; then the job is learned, and started
// elsewhere before the VM has carried the stop out.
// Cause: a run of a job that is not known was not held on its VM.
func TestAcknowledgedRunIsOfAKnownJob(t *testing.T) {
	f := newSuccessorFixture(t, 2)
	task := batch.TaskID{Job: "late"}
	f.reportAll(map[string]batch.Report{"vm00": {Running: []batch.RunStatus{{Task: task, Run: 3}}}})
	f.plan()
	f.submit("late", tasks(1, 100))
	f.plan()
	require.Empty(t, f.started, "started while run 3 was last seen on vm00")
}

// What happened: tasks of a timed job whose ends were acknowledged are started again.
// Sequence: a record tells of occurrence 0 that one task is done and another failed.
// The next leader takes the job up and is told an end of occurrence 1, before it has
// looked at the time of day; it writes the job's record, and another is elected.
// Cause: a record was written of the occurrences that were open, without those that
// the leader had read of and not opened yet.
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
	require.Len(t, third.s.task(task(0, 1)).failedRuns, 2, "ends that were acknowledged")
}
