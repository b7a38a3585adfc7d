package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// newFullFixture returns a fixture whose only VM is occupied by one task, and the start
// order of that task.
func newFullFixture(t *testing.T) (f *fixture, occupant Order) {
	f = newFixture(t, 1)
	f.reportAll(nil)
	f.submit("first", tasks(1, 9000))
	f.plan()
	occupant = f.last("first.0.0.0")
	f.confirm(occupant)
	return f, occupant
}

func lastingStep(milliCPU int64) batch.Step {
	s := tasks(1, milliCPU)
	s.Lasting = true
	return s
}

// Guards against a one-second task that waits for seconds while lasting tasks take each
// processor that becomes free, where there are more lasting tasks than capacity.
func TestShortTasksGoBeforeNewLastingOnes(t *testing.T) {
	f, occupant := newFullFixture(t)
	f.submit("watch", lastingStep(8000))
	f.submit("check", tasks(1, 8000))
	f.plan()
	f.advance(500 * time.Millisecond)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, occupant, batch.EndDone)}})
	f.plan()
	require.Contains(t, f.started, "check.0.0.0")
	require.NotContains(t, f.started, "watch.0.0.0")
}

// Checks that a lasting task that ran before and lost its VM or failed is restarted
// before anything else, since its users notice the outage at once.
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

// Checks that a short task that is already late does not delay lasting tasks.
func TestLateShortTasksGoBehindLastingOnes(t *testing.T) {
	f, occupant := newFullFixture(t)
	f.submit("check", tasks(1, 8000))
	f.advance(10 * time.Second)
	f.report("vm00", runningReport(occupant))
	f.submit("watch", lastingStep(8000))
	f.plan()
	f.advance(500 * time.Millisecond)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, occupant, batch.EndDone)}})
	f.plan()
	require.Contains(t, f.started, "watch.0.0.0")
	require.NotContains(t, f.started, "check.0.0.0")
}

// Guards against counting a job as started when its first start is decided. After a
// takeover with thousands of VMs, orders wait in a backlog: a queue was reported to have
// no waiting jobs while sixteen had waited for five seconds.
func TestJobWaitsUntilItsFirstStartIsConfirmed(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	require.Equal(t, 1, f.s.WaitingJobs(testQueue))
	f.confirm(f.last("j.0.0.0"))
	require.Zero(t, f.s.WaitingJobs(testQueue))
}
