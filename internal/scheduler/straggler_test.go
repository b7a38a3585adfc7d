package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// progressReport is a report of runs with their progress.
func progressReport(percent int, orders ...Order) batch.Report {
	rep := runningReport(orders...)
	for i := range rep.Running {
		rep.Running[i].Progress = percent
	}
	return rep
}

// Symptom: jobs hang although their VM answers and calls itself healthy.
// Sequence: the tasks on one VM stand still.
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

// A run that makes progress, however slowly reports come, is left alone.
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

// Symptom: a job with a task on a VM that went silent waits for the whole lease.
// Where the step allows copies, one starts elsewhere, and the first to finish counts.
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
	require.Len(t, f.stops, 1, "the other copy runs on")
	state, _ := f.s.State("j")
	require.Equal(t, batch.Running, state)
	require.Equal(t, batch.Completed, f.s.PendingWrites().Records[0].Progress.State)
}

// Without leave for copies the task waits until the lease is certainly over.
func TestNoCopyWithoutLeave(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 100))
	f.plan()
	o := f.last("j.0.0.0")
	f.confirm(o)
	silent := o.Instance.ID
	deadline := f.now + time.Duration(float64(f.s.settings.Lease())/minClockRate) + leaseExpiryMargin
	for f.now < deadline-time.Second {
		f.advance(500 * time.Millisecond)
		for _, inst := range f.list {
			if inst.ID != silent {
				f.report(inst.ID, batch.Report{})
			}
		}
		// Retries of the hold must not prolong the lease.
		_, _ = f.s.Hold(f.now, silent, 0)
		f.s.Tick(f.now)
		f.plan()
	}
	require.Len(t, f.started["j.0.0.0"], 1, "started while the VM may run it")
	f.now = deadline + 1100*time.Millisecond
	for _, inst := range f.list {
		if inst.ID != silent {
			f.report(inst.ID, batch.Report{})
		}
	}
	f.s.Tick(f.now)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 2)
}

// Symptom: a task is started seconds after its end was taken note of.
// Sequence: a copy is ordered, and waits behind thousands of other orders; the
// first run is heard to be done, and the copy is told to stop.
// Cause: orders were carried out as they had been decided, however late.
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
