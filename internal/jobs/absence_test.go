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

// What happened: jobs were gone after a change of leader.
// Sequence: a leader whose ring is full is paused as it writes its snapshot; another
// takes over and writes a newer one; the first wakes, is told of the conflict and
// tries again.
// Cause: it took the other's revision over without a look at what the other had
// written, and replaced the newer snapshot by its own.
func TestSnapshotOfASuccessorIsNotReplaced(t *testing.T) {
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

// What happened: a shard was read as if it were nearly empty, and written on.
// Sequence: its snapshot is missing, or is older than the oldest entry of the ring.
// Cause: an entry that is not there was taken for the end of the log, though later
// ones are.
func TestGapInTheLogIsNotItsEnd(t *testing.T) {
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

// What happened: a task that had finished was executed again.
// Sequence: a leader is paused; another takes over and starts the next attempt of a
// task; its end is reported to the first leader as it wakes, to which the attempt
// does not fit; it says that the end is recorded, and the VM forgets it.
// Cause: an answer for which nothing had to be written was given without a look at
// whether the node still leads.
func TestDeposedLeaderRecordsNoEnds(t *testing.T) {
	leads := true
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	l := newLeader("00", "n", newStore(), nil, nil, func() bool { return leads }, logrus.NewEntry(logger))
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
	require.NoError(t, err, "the job is known not to be there")
	leads = false
	_, err = l.Report(callCtx, report)
	require.True(t, errkind.Is(err, errkind.NotOwner), "%v", err)
}
