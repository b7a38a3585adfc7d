package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Guards against starts that are refused for lack of capacity, or exceed a step's bound per VM,
// after a network partition. A reconnected VM lists runs of tasks that run elsewhere by now. They
// are ordered to stop, which takes a while, and other tasks are started in their place at once.
// The stopping runs were not counted.
func TestUnwantedRunsTakeRoomUntilTheyAreGone(t *testing.T) {
	f := newFixture(t, 2)
	f.report("vm01", batch.Report{})
	step := tasks(2, 6000)
	step.MaxPerVM = 1
	f.submit("j", step)
	f.plan()
	second := f.last("j.0.0.0")
	require.Equal(t, "vm01", second.Instance.ID)
	first := second
	first.Run--
	f.report("vm00", runningReport(first))
	f.plan()
	require.Len(t, f.stops, 1)
	require.NotContains(t, f.started, "j.0.0.1", "started beside another task of its step")
	f.submit("other", tasks(1, 6000))
	f.plan()
	require.NotContains(t, f.started, "other.0.0.0", "started before there is capacity")
	f.report("vm00", runningReport(first))
	f.plan()
	require.NotContains(t, f.started, "j.0.0.1")
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, first, batch.EndStopped)}})
	f.plan()
	require.Len(t, f.started, 2, "exactly one of the two waiting tasks must start")
	require.Equal(t, int64(6000), f.s.vms["vm00"].used.MilliCPU)
}
