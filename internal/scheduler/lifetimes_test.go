package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against run_lost lines that don't show whether a task may have ended its VM:
// they had only the time from the order to the conclusion, about two seconds for every
// run, and not how long the run had run.
func TestLostRunReportsLifetime(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("old", tasks(1, 1000))
	f.plan()
	f.confirm(f.last("old.0.0.0"))
	f.advance(3 * time.Second)
	f.report("vm00", runningReport(f.last("old.0.0.0")))
	f.submit("new", tasks(1, 1000))
	f.plan()
	f.confirm(f.last("new.0.0.0"))
	f.advance(13 * time.Millisecond)
	f.s.HoldFailed(f.now, "vm00", true)
	f.advance(2 * time.Second)
	f.s.HoldFailed(f.now, "vm00", true)
	f.s.RemoveInstance(f.now, "vm00", "machine ended it")

	lost := map[string]Decision{}
	for _, d := range f.log {
		switch d.Event {
		case EventRunLost:
			lost[d.Task.Job] = d
		case EventVMGone:
			require.Equal(t, 1, d.RecentRuns)
		}
	}
	require.Equal(t, 3*time.Second, lost["old"].MinLifetime)
	require.Equal(t, 3013*time.Millisecond, lost["old"].MaxLifetime)
	require.Zero(t, lost["new"].MinLifetime)
	require.Equal(t, 13*time.Millisecond, lost["new"].MaxLifetime)
}

// Guards against a maximum lifetime that ends at a failed hold although the VM has
// reported since.
func TestReportClearsUnansweredHolds(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	f.confirm(f.last("j.0.0.0"))
	f.s.HoldFailed(f.now, "vm00", true)
	f.advance(time.Second)
	f.report("vm00", runningReport(f.last("j.0.0.0")))
	f.advance(time.Second)
	f.s.RemoveInstance(f.now, "vm00", "machine ended it")
	last := f.log[len(f.log)-1]
	require.Equal(t, EventRunLost, last.Event)
	require.Equal(t, 2*time.Second, last.MaxLifetime)
	require.Equal(t, time.Second, last.MinLifetime)
}
