package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// Guards against starting tasks of a cancelled job seconds after the cancellation was acknowledged:
// it was announced while the leader's lease was not confirmed, was refused, and is not announced
// again, and the store's watch delivered nothing.
func TestCancellationIsAcceptedWhileUnconfirmed(t *testing.T) {
	te := newTerm(t, nil, leaseTTL)
	te.term = te
	te.sched.Submit(steady.Now(), queuedSubmission("j"))
	require.False(t, te.AcceptAnnouncement(CancelKey("j"), nil), "the leader is not confirmed")
	state, _ := te.sched.State("j")
	require.Equal(t, batch.Cancelled, state)
	require.False(t, te.AcceptAnnouncement(JobKey("k"), queuedJobItem.Value), "a job is accepted by a leader that may be deposed")
	_, known := te.sched.State("k")
	require.False(t, known)
}

// Guards against losing a cancellation that is announced to a process that has been elected and is
// still reading what earlier leaders left.
func TestCancellationBeforeTheTermIsKept(t *testing.T) {
	te := newTerm(t, nil, 0)
	require.False(t, te.AcceptAnnouncement(CancelKey("j"), nil))
	require.False(t, te.AcceptAnnouncement(CancelKey("k"), nil))
	te.earlyCancellations["k"] -= earlyCancellationRetention
	te.sched.Submit(steady.Now(), queuedSubmission("j"))
	te.sched.Submit(steady.Now(), queuedSubmission("k"))
	te.setTerm(te)
	state, _ := te.sched.State("j")
	require.Equal(t, batch.Cancelled, state)
	state, _ = te.sched.State("k")
	require.Equal(t, batch.Queued, state, "an announcement of long ago is applied")
	require.Empty(t, te.earlyCancellations)
	for i := range 2 * maxEarlyCancellations {
		te.term = nil
		te.AcceptAnnouncement(CancelKey(time.Duration(i).String()), nil)
	}
	require.Len(t, te.earlyCancellations, maxEarlyCancellations)
}

func queuedSubmission(id string) scheduler.Submission {
	return scheduler.Submission{Job: &batch.Job{ID: id, Steps: []batch.Step{{Tasks: 1}}}}
}
