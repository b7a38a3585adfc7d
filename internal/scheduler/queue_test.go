package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// newFullFixture occupies the only VM with one task of a job and returns its order.
func newFullFixture(t *testing.T) (f *fixture, holds Order) {
	f = newFixture(t, 1)
	f.reportAll(nil)
	f.submit("first", tasks(1, 9000))
	f.plan()
	holds = f.last("first.0.0.0")
	f.confirm(holds)
	return f, holds
}

func lastingStep(milliCPU int64) batch.Step {
	s := tasks(1, milliCPU)
	s.Lasting = true
	return s
}

// Symptom: a check of a second waits for seconds while standing work takes each
// processor that comes free.
// Load: more standing work than there is room for.
func TestShortTasksGoBeforeNewLastingOnes(t *testing.T) {
	f, holds := newFullFixture(t)
	f.submit("watch", lastingStep(8000))
	f.submit("check", tasks(1, 8000))
	f.plan()
	f.advance(500 * time.Millisecond)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, holds, batch.EndDone)}})
	f.plan()
	require.Contains(t, f.started, "check.0.0.0")
	require.NotContains(t, f.started, "watch.0.0.0")
}

// Standing work that was at work before, and lost its VM or failed, comes back
// before anything else: its users notice at once.
func TestLastingTasksComeBackFirst(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("watch", lastingStep(8000))
	f.plan()
	first := f.last("watch.0.0.0")
	f.confirm(first)
	f.submit("check", tasks(1, 8000))
	f.advance(time.Second)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, first, batch.EndLapsed)}})
	f.plan()
	require.Len(t, f.started["watch.0.0.0"], 2)
	require.NotContains(t, f.started, "check.0.0.0")
}

// A check that is late already does not keep standing work waiting.
func TestLateShortTasksGoBehindLastingOnes(t *testing.T) {
	f, holds := newFullFixture(t)
	f.submit("check", tasks(1, 8000))
	f.advance(10 * time.Second)
	f.report("vm00", runningReport(holds))
	f.submit("watch", lastingStep(8000))
	f.plan()
	f.advance(500 * time.Millisecond)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, holds, batch.EndDone)}})
	f.plan()
	require.Contains(t, f.started, "watch.0.0.0")
	require.NotContains(t, f.started, "check.0.0.0")
}

// Symptom: a queue is said to have no waiting jobs while sixteen have waited for
// five seconds. Sequence: a leader takes over with thousands of VMs; its orders wait
// for their turn. Cause: a job counted as begun when its first start was decided.
func TestJobWaitsUntilItsFirstStartIsConfirmed(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	require.Equal(t, 1, f.s.WaitingJobs(testQueue))
	f.confirm(f.last("j.0.0.0"))
	require.Zero(t, f.s.WaitingJobs(testQueue))
}
