package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// failTwoJobs makes two consecutive jobs fail on the fixture's only VM.
func failTwoJobs(f *fixture) {
	for i, id := range []string{"x", "y"} {
		f.submit(id, tasks(1, 100))
		f.plan()
		f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(int64(i+1), f.last(id+".0.0.0"), batch.EndFailed)}})
		f.s.Cancel(f.now, id)
	}
}

// Guards against tasks that use up their attempts on a VM that fails every run but
// reports itself healthy. Two consecutive failed jobs quarantine it; afterwards it gets
// one run at a time until one completes.
func TestFailingVMIsSuspectedAndProbed(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	failTwoJobs(f)
	f.submit("j", tasks(3, 100))
	f.plan()
	require.NotContains(t, f.started, "j.0.0.0")
	f.advance(initialQuarantine + time.Millisecond)
	f.reportAll(nil)
	f.plan()
	require.Contains(t, f.started, "j.0.0.0")
	require.NotContains(t, f.started, "j.0.0.1", "more than one probe")
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(3, f.last("j.0.0.0"), batch.EndDone)}})
	f.plan()
	require.Contains(t, f.started, "j.0.0.1")
	require.Contains(t, f.started, "j.0.0.2")
}

// Guards against a suspected VM that is never used again because a lasting task there
// counts as a probe, which never ends.
func TestSuspectedVMWithLastingTaskIsProbed(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("s", servingStep("web", 1000))
	f.plan()
	f.confirm(f.last("s.0.0.0"))
	failTwoJobs(f)
	f.advance(initialQuarantine + time.Millisecond)
	f.report("vm00", progressReport(100, f.last("s.0.0.0")))
	f.submit("l", servingStep("web", 1000))
	f.submit("j", tasks(1, 100))
	f.plan()
	require.Contains(t, f.started, "l.0.0.0")
	require.Contains(t, f.started, "j.0.0.0")
}

// Guards against suspecting VMs because of a job that fails on every VM.
func TestAlwaysFailingJobSuspectsNoVM(t *testing.T) {
	f := newFixture(t, 3)
	f.reportAll(nil)
	f.submit("bad", tasks(3, 100))
	f.plan()
	for i, inst := range f.list {
		_ = i
		for k := range 3 {
			o := f.last(batch.TaskID{Job: "bad", Index: k}.String())
			if o.Instance.ID == inst.ID {
				f.report(inst.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(1, o, batch.EndFailed)}})
			}
		}
	}
	for _, v := range f.s.vmList {
		require.False(t, v.health.probing, v.inst.ID)
	}
}
