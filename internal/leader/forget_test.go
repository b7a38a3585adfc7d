package leader

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// lateStore checks conditions. It can leave a commit without a response, and carry it out later.
type lateStore struct {
	durable.Store
	revision  int64
	revisions map[string]int64
	delayNext bool
	delayed   []durable.Txn
	// loseNext carries out the next commit and loses its response.
	loseNext bool
}

func (s *lateStore) Get(context.Context, string) (*durable.Item, error) { return nil, nil }

// Range returns the job with the key prefix, if there is one.
func (s *lateStore) Range(_ context.Context, prefix string) ([]durable.Item, int64, error) {
	revision, ok := s.revisions[prefix]
	if !ok {
		return nil, s.revision, nil
	}
	return []durable.Item{{Key: prefix, Value: queuedJobItem.Value, Revision: revision, Created: revision}}, s.revision, nil
}

func (s *lateStore) Commit(_ context.Context, txn durable.Txn) (int64, error) {
	if s.delayNext {
		s.delayNext = false
		s.delayed = append(s.delayed, txn)
		return 0, durable.ErrUnknown
	}
	conflict, holds := &durable.ConflictError{}, true
	for _, c := range txn.Conditions {
		revision, ok := s.revisions[c.Key]
		if ok {
			conflict.Current = append(conflict.Current, durable.Item{Key: c.Key, Revision: revision})
		}
		holds = holds && revision == c.Revision
	}
	if !holds {
		return 0, conflict
	}
	s.revision++
	for _, w := range txn.Writes {
		s.revisions[w.Key] = s.revision
	}
	for _, key := range txn.Deletes {
		delete(s.revisions, key)
	}
	if s.loseNext {
		s.loseNext = false
		return 0, durable.ErrUnknown
	}
	return s.revision, nil
}

// newForgettingTerm returns a term with jobs that ended long ago, as far as it knows with records of
// revision 2.
func newForgettingTerm(t *testing.T, store *lateStore, jobs int) *term {
	te := newTerm(t, store, 0)
	store.revisions[leaderKey] = te.tenure.Fence
	for n := range jobs {
		id := fmt.Sprint("j", n)
		te.sched.Submit(steady.Now()-2*endedJobRetention, scheduler.Submission{
			Job: &batch.Job{ID: id, Steps: []batch.Step{{Tasks: 1}}}, Cancelled: true,
		})
		store.revisions[JobKey(id)], store.revisions[CancelKey(id)], store.revisions[ProgressKey(id)] = 2, 1, 2
	}
	for _, r := range te.sched.PendingWrites().Records {
		te.sched.RecordWritten(r, 2)
	}
	return te
}

// Guards against an accepted job that is removed from the store by the delayed removal of an earlier
// job of its ID.
func TestDelayedRemovalLeavesALaterJobOfItsID(t *testing.T) {
	store := &lateStore{revision: 10, revisions: map[string]int64{}}
	te := newForgettingTerm(t, store, 1)
	store.delayNext = true
	te.forget(t.Context())
	te.forget(t.Context())
	require.NotContains(t, store.revisions, JobKey("j0"))
	store.revisions[JobKey("j0")] = 20
	for _, txn := range store.delayed {
		_, _ = store.Commit(t.Context(), txn)
	}
	require.Contains(t, store.revisions, JobKey("j0"))
}

// Guards against an accepted job that is removed, or never started, because the response to the
// removal of an earlier job of its ID was lost.
func TestRemovalWithoutResponseLeavesALaterJobOfItsID(t *testing.T) {
	store := &lateStore{revision: 10, revisions: map[string]int64{}}
	te := newForgettingTerm(t, store, 1)
	store.loseNext = true
	te.forget(t.Context())
	store.revisions[JobKey("j0")] = 20
	te.observeJobs([]durable.Item{{Key: JobKey("j0"), Value: queuedJobItem.Value, Created: 20}}, false)
	for range 3 {
		te.forget(t.Context())
	}
	require.Contains(t, store.revisions, JobKey("j0"))
	state, known := te.sched.State("j0")
	require.True(t, known)
	require.Equal(t, batch.Queued, state)
}

// Guards against records that are never removed, since the response to the last write of one was
// lost: the removal adopts the stored revision.
func TestRemovalAdoptsTheStoredRevision(t *testing.T) {
	store := &lateStore{revision: 10, revisions: map[string]int64{}}
	te := newForgettingTerm(t, store, 2*maxJobsPerForget)
	store.revisions[ProgressKey("j0")] = 3
	for range 3 {
		te.forget(t.Context())
	}
	require.Len(t, store.revisions, 1, "only the leader's key is left")
}

// Guards against removals that the store rejects as too large.
func TestRemovalFitsIntoATransaction(t *testing.T) {
	store := &lateStore{revision: 10, revisions: map[string]int64{}, delayNext: true}
	te := newForgettingTerm(t, store, 2*maxJobsPerForget)
	te.forget(t.Context())
	txn := store.delayed[0]
	require.Len(t, txn.Deletes, 3*maxJobsPerForget)
	require.LessOrEqual(t, len(txn.Conditions)+len(txn.Writes)+len(txn.Deletes), durable.MaxTxnEntries)
}
