package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Checks that the statistics and a VM's status show whether a lease may still be valid
// on a VM that is unlisted and unresponsive, and for how long.
func TestStatsCountUnexpiredLeases(t *testing.T) {
	f := newFixture(t, 3)
	f.report("vm00", batch.Report{})
	f.report("vm01", batch.Report{})
	// The clocks are known now, so these holds request leases.
	f.report("vm00", batch.Report{})
	f.report("vm01", batch.Report{})
	f.s.AwaitInstances([]string{"vm02"}, f.now+time.Minute)
	x := f.s.Stats(f.now)
	require.Equal(t, Stats{Fence: 1, VMs: 3, Unreported: 1, Leased: 2, Awaited: 1, LongestLease: x.LongestLease}, x)
	require.InDelta(t, 8.5, x.LongestLease.Seconds(), 0.5)

	f.s.SetInstances(f.now, f.list[1:])
	f.advance(2 * time.Second)
	f.report("vm01", batch.Report{})
	f.report("vm02", batch.Report{})
	x = f.s.Stats(f.now)
	// On vm02 a lease of an earlier leader from before the first report may be valid.
	require.Equal(t, Stats{Fence: 1, VMs: 3, Unlisted: 1, Unresponsive: 1, LeasedUnresponsive: 1, Leased: 3, LongestLease: x.LongestLease}, x)
	s, ok := f.s.VMStatus(f.now, "vm00")
	require.True(t, ok)
	require.Equal(t, VMStatus{Reported: true, SinceUnlisted: 2 * time.Second, SinceReport: 2 * time.Second, LeaseLeft: s.LeaseLeft}, s)
	require.InDelta(t, 6.5, s.LeaseLeft.Seconds(), 0.5)

	f.advance(7 * time.Second)
	s, _ = f.s.VMStatus(f.now, "vm00")
	require.Zero(t, s.LeaseLeft)
	_, ok = f.s.VMStatus(f.now, "vm09")
	require.False(t, ok)
}

// Checks each status of a reported end. Only an end whose task is open has an effect.
func TestEndStatus(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.reportAll(nil)
	f.submit("j", tasks(2, 1000))
	f.plan()
	first, second := f.last("j.0.0.0"), f.last("j.0.0.1")
	f.confirm(first)
	f.confirm(second)
	end := endOfOrder(1, first, batch.EndDone)
	vm := first.Instance.ID
	require.Equal(t, EndOpen, f.s.EndStatus(vm, 0, &end))
	f.report(vm, batch.Report{Ended: []batch.RunEnd{end}})
	require.Equal(t, EndDuplicate, f.s.EndStatus(vm, 0, &end))

	// The end is reported to the next leader too, whose record has the run that counts.
	next := newSuccessorFixture(t, 1)
	next.s.Submit(next.now, Submission{
		Job: &batch.Job{ID: "j", Steps: []batch.Step{tasks(2, 1000)}}, Queue: testQueue, Pool: "pool", PredatesLeader: true, Progress: f.write()["j"],
	})
	require.Equal(t, EndDuplicate, next.s.EndStatus(vm, 0, &end))
	other := end
	other.Run--
	require.Equal(t, EndAfterDone, next.s.EndStatus(vm, 0, &other))

	older := batch.RunEnd{Seq: 2, Task: first.Task, Run: first.Run - 1, Kind: batch.EndDone}
	require.Equal(t, EndAfterDone, f.s.EndStatus(vm, 0, &older))
	older.Task.Job = "none"
	require.Equal(t, EndUnknownJob, f.s.EndStatus(vm, 0, &older))
	older.Task = first.Task
	older.Task.Occurrence = 1
	require.Equal(t, EndNotOpen, f.s.EndStatus(vm, 0, &older))
	older.Task = second.Task
	f.s.Cancel(f.now, "j")
	require.Equal(t, EndAfterDone, f.s.EndStatus(vm, 0, &older))
}

// Checks that run numbers identify their leader, with two numbers of one task that were
// assigned by different leaders.
func TestFenceOfRunNumber(t *testing.T) {
	require.Equal(t, int64(706), FenceOf(11844717423))
	require.Equal(t, int64(4246), FenceOf(71236059276))
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	require.Equal(t, f.fence, FenceOf(f.last("j.0.0.0").Run))
}
