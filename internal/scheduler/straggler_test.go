package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// progressReport returns a report of runs with the given progress.
func progressReport(percent int, orders ...Order) batch.Report {
	rep := runningReport(orders...)
	for i := range rep.Running {
		rep.Running[i].Progress = percent
	}
	return rep
}

// Guards against jobs that hang because the tasks on one VM make no progress although the VM
// reports that it is healthy.
func TestStalledRunMovesElsewhere(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 100))
	f.plan()
	o := f.last("j.0.0.0")
	f.confirm(o)
	for range 3 {
		f.advance(900 * time.Millisecond)
		f.reportAll(map[string]batch.Report{o.Instance.ID: progressReport(0, o)})
		f.plan()
	}
	require.Len(t, f.stops, 1)
	f.reportAll(map[string]batch.Report{o.Instance.ID: {Ended: []batch.RunEnd{endOfOrder(1, o, batch.EndStopped)}}})
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 2)
	require.NotEqual(t, o.Instance.ID, f.last("j.0.0.0").Instance.ID)
}

// A run that makes progress must not be moved, however rarely reports arrive.
func TestProgressingRunStays(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 100))
	f.plan()
	o := f.last("j.0.0.0")
	f.confirm(o)
	for i := range 5 {
		f.advance(time.Second)
		f.reportAll(map[string]batch.Report{o.Instance.ID: progressReport(10*i, o)})
		f.plan()
	}
	require.Empty(t, f.stops)
}

// Guards against a job that waits for the expiry of the lease of an unresponsive VM. If the step
// allows copies, one starts elsewhere, and the first run to end counts.
func TestCopyOfUnheardRun(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	s := tasks(1, 100)
	s.Speculative = true
	f.submit("j", s)
	f.plan()
	first := f.last("j.0.0.0")
	f.confirm(first)
	other := f.list[0].ID
	if other == first.Instance.ID {
		other = f.list[1].ID
	}
	f.advance(f.s.vms[first.Instance.ID].holdWait + copyDelay + time.Millisecond)
	f.report(other, batch.Report{})
	f.s.Tick(f.now)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 2)
	second := f.last("j.0.0.0")
	require.Equal(t, other, second.Instance.ID)
	f.report(other, batch.Report{Ended: []batch.RunEnd{endOfOrder(1, second, batch.EndDone)}})
	f.plan()
	require.Len(t, f.stops, 1, "the other copy was not stopped")
	state, _ := f.s.State("j")
	require.Equal(t, batch.Running, state)
	require.Equal(t, batch.Completed, f.s.PendingWrites().Records[0].Progress.State)
}

// If the step does not allow copies, the task waits until the lease has certainly expired.
func TestNoCopyWithoutLeave(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 100))
	f.plan()
	o := f.last("j.0.0.0")
	f.confirm(o)
	unresponsive := o.Instance.ID
	deadline := f.now + time.Duration(float64(f.s.settings.Lease())/minClockRate) + leaseExpiryMargin
	for f.now < deadline-time.Second {
		f.advance(500 * time.Millisecond)
		for _, inst := range f.list {
			if inst.ID != unresponsive {
				f.report(inst.ID, batch.Report{})
			}
		}
		// Retries of the hold must not extend the lease.
		_, _ = f.s.Hold(f.now, unresponsive, 0)
		f.s.Tick(f.now)
		f.plan()
	}
	require.Len(t, f.started["j.0.0.0"], 1, "started while the VM may still run it")
	f.now = deadline + 1100*time.Millisecond
	for _, inst := range f.list {
		if inst.ID != unresponsive {
			f.report(inst.ID, batch.Report{})
		}
	}
	f.s.Tick(f.now)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 2)
}

// Guards against a task that is started seconds after its end was processed. A copy is ordered
// and waits behind thousands of other orders; meanwhile the first run is reported done, and the
// copy is to stop. Orders were carried out as decided, however late.
func TestOvertakenStartIsNotGiven(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	step := tasks(1, 1000)
	step.Speculative = true
	f.submit("j", step)
	f.plan()
	first := f.last("j.0.0.0")
	f.confirm(first)
	f.report(first.Instance.ID, runningReport(first))
	f.advance(2 * time.Second)
	other := f.list[0].ID
	if other == first.Instance.ID {
		other = f.list[1].ID
	}
	f.report(other, batch.Report{})
	f.s.Tick(f.now)
	f.plan()
	second := f.last("j.0.0.0")
	require.NotEqual(t, first.Run, second.Run, "no copy was ordered")
	require.True(t, f.s.PrepareStart(f.now, second))
	f.report(first.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(1, first, batch.EndDone)}})
	require.False(t, f.s.PrepareStart(f.now, second))
	require.False(t, f.s.PrepareStart(f.now, second), "the run is gone")
}
