package leader

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// Guards against a task running on two VMs after a change of leader. A VM crashes and is back
// at the same address within seconds, while the entry of its earlier incarnation is still
// listed. The leader gives the new incarnation work and dies; the next leader reads both
// entries. If only the later entry with an address counted, the new incarnation could be taken
// for one that has ended, and would not be awaited.
func TestInstancesSharingAnAddressAreBothAwaited(t *testing.T) {
	earlier := batch.Instance{ID: "earlier", Address: "10.0.0.1:1"}
	later := batch.Instance{ID: "later", Address: "10.0.0.1:1"}
	for _, list := range [][]batch.Instance{{earlier, later}, {later, earlier}, {earlier}} {
		te := newReportedTerm(map[string]string{instancesKey: `{"earlier":"10.0.0.1:1","later":"10.0.0.1:1"}`})
		te.sched = scheduler.New(scheduler.Settings{}, 9, nil)
		te.Config = func() *batch.Config { return nil }
		te.Instances = func(context.Context) ([]batch.Instance, error) { return list, nil }
		_, err := te.tryRebuild(t.Context())
		require.NoError(t, err)
		require.ElementsMatch(t, []string{"earlier", "later"}, te.sched.AwaitedInstances(), "awaited instances")
	}
}

// Guards against VMs that are not held and jobs that never start until the next change of
// leader. The store does not respond to a leader for six seconds, and some loops of the tenure
// end when it may not act any more. Then a renewal that was under way succeeds; it must not
// revive a tenure that has ended in part.
func TestTenureThatCouldNotActStaysEnded(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tenure := &Tenure{Fence: 1, renewedAt: steady.Now() - maxUnrenewedTenure - time.Millisecond, cancel: cancel}
	require.False(t, tenure.MayAct())
	tenure.renewed(steady.Now() - renewTimeout)
	require.False(t, tenure.MayAct(), "the tenure may act again")
	require.False(t, tenure.Confirmed())
	require.Error(t, ctx.Err(), "the tenure's loops continue")
}
