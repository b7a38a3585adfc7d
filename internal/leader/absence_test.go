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

// What happened: a task ran on two VMs after a change of leader.
// Sequence: a VM crashes and is back at the same address within seconds; the entry
// of its earlier life is on the list still; the leader gives the new life work and
// dies; the next leader reads a list with both entries.
// Cause: of two entries with one address the one that came last on the list counted,
// so that the new life was taken for one that had ended and was not waited for.
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
		require.ElementsMatch(t, []string{"earlier", "later"}, te.sched.AwaitedInstances(), "waited for")
	}
}

// What happened: some VMs were not held any more, and some jobs never started,
// until the next change of leader.
// Sequence: the store does not answer a leader for six seconds; in the moment after
// it may not act any more, some of its loops find that and end; then the store is
// back, and the renewal that was under way succeeds.
// Cause: the right to act came back to a tenure that had ended in part.
func TestTenureThatCouldNotActStaysEnded(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tenure := &Tenure{Fence: 1, renewedAt: steady.Now() - maxUnrenewedTenure - time.Millisecond, cancel: cancel}
	require.False(t, tenure.MayAct())
	tenure.renewed(steady.Now() - renewTimeout)
	require.False(t, tenure.MayAct(), "acts again")
	require.False(t, tenure.Confirmed())
	require.Error(t, ctx.Err(), "the tenure's loops go on")
}
