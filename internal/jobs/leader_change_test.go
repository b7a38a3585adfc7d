package jobs

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/vms"
	"github.com/rattanwall/rattanwall/internal/worker"
)

func submitOf(id string) Op {
	sp := spec(id, 1)
	return Op{Kind: OpSubmit, Spec: &sp}
}

// Guards against losing jobs after a change of leader. A leader whose ring is full is
// paused while it writes its snapshot, and a successor writes a newer one. On the
// conflict the old leader must not adopt the successor's revision and overwrite the
// newer snapshot.
func TestSuccessorSnapshotIsNotReplaced(t *testing.T) {
	store := newStore()
	old, next := newLog(store), newLog(store)
	oldState, err := old.load(t.Context())
	require.NoError(t, err)
	require.NoError(t, oldState.Apply(submitOf("a")))
	require.NoError(t, old.append(t.Context(), []Op{submitOf("a")}))

	state, err := next.load(t.Context())
	require.NoError(t, err)
	require.NoError(t, state.Apply(submitOf("b")))
	require.NoError(t, next.append(t.Context(), []Op{submitOf("b")}))
	require.NoError(t, next.writeSnapshot(t.Context(), state))

	for range 3 {
		require.ErrorIs(t, old.writeSnapshot(t.Context(), oldState), ErrSuperseded)
	}
	snap, err := store.Get(t.Context(), next.snapKey())
	require.NoError(t, err)
	require.Equal(t, next.snapRev, snap.Revision)
}

// Guards against reading a shard as nearly empty, and writing on from there, when its
// snapshot is missing or older than the oldest entry of the ring. A missing entry
// followed by later ones is an error, not the end of the log.
func TestLogGapIsAnError(t *testing.T) {
	store := newStore()
	l := newLog(store)
	state, err := l.load(t.Context())
	require.NoError(t, err)
	for i := range 2 * ringSize {
		require.NoError(t, l.append(t.Context(), []Op{{Kind: OpLead, Node: "n"}}))
		if i == ringSize {
			require.NoError(t, l.writeSnapshot(t.Context(), state))
		}
	}
	_, err = newLog(store).load(t.Context())
	require.NoError(t, err)
	require.NoError(t, store.Delete(t.Context(), l.snapKey(), l.snapRev))
	_, err = newLog(store).load(t.Context())
	require.Error(t, err)
}

// Guards against executing a finished task again. A leader is paused, and its
// successor starts the task's next attempt. That attempt's end is reported to the old
// leader, whose state does not know the attempt. If it confirmed the end without
// checking that it still leads, the VM would forget an end that is not recorded.
func TestDeposedLeaderConfirmsNoEnds(t *testing.T) {
	isLeader := true
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	l := newLeader("00", "n", newStore(), nil, nil, func() bool { return isLeader }, logrus.NewEntry(logger))
	state, err := l.log.load(t.Context())
	require.NoError(t, err)
	l.state = state
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for c := range l.commands {
			_ = l.process(ctx, []command{c})
		}
	}()
	defer close(l.commands)
	report := []vms.Attempt{{Ref: worker.Ref{Task: "t/j:0", Attempt: 3}, End: vms.EndFinished}}
	callCtx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	_, err = l.Report(callCtx, report)
	require.NoError(t, err, "a report about a job that does not exist must succeed while the node leads")
	isLeader = false
	_, err = l.Report(callCtx, report)
	require.True(t, errkind.Is(err, errkind.NotOwner), "%v", err)
}
