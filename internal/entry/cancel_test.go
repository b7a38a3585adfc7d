package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// newStoreEntry returns a process that reaches a store, however long the test takes, and no leader.
func newStoreEntry(store durable.Store) *entryFixture {
	f := newEntryFixture()
	f.Store, f.StoreRespondedAt = store, steady.Now
	return f
}

func (f *entryFixture) submitTest(t *testing.T) error {
	return f.Submit(t.Context(), &batch.Queue{Name: "q", Pool: "p"}, &batch.Job{ID: testID, Steps: []batch.Step{{Tasks: 1}}})
}

func (f *entryFixture) cancelTest(t *testing.T) error { return f.cancelJob(t, "q", testID) }

func (f *entryFixture) cancelJob(t *testing.T, queue, id string) error {
	return f.Cancel(t.Context(), &batch.Queue{Name: queue}, id)
}

// Guards against a job that runs after its cancellation was acknowledged: the write of its
// submission reaches the store after the cancellation has found no job there.
func TestDelayedWriteOfACancelledJobIsVoid(t *testing.T) {
	store := newConditionalStore()
	store.delayAll = true
	require.True(t, errkind.Is(newStoreEntry(store).submitTest(t), errkind.StoreUnknown))
	store.delayAll = false
	require.True(t, errkind.Is(newStoreEntry(store).cancelTest(t), errkind.NotFound))
	require.NotEmpty(t, store.delayed)
	store.deliver()
	require.False(t, store.hasJob())
}

// Guards against a cancellation that was acknowledged and does not hold, and against an acceptance of
// a job that is not stored, for four calls about one job that follow each other, whichever of their
// writes are delayed and until when.
func TestCancellationsHoldInAnyOrder(t *testing.T) {
	const (
		calls = 4
		// Each call is a submission or a cancellation, its write may be delayed, and the delayed
		// writes may be carried out before it.
		isCancellation, isDelayed, deliversBefore = 1, 2, 4
		variants                                  = 8
	)
	patterns := 1
	for range calls {
		patterns *= variants
	}
	for pattern := range patterns {
		store := newConditionalStore()
		f := newStoreEntry(store)
		outcomes := []string{}
		cancelled, accepted := false, false
		for n, rest := 0, pattern; n < calls; n, rest = n+1, rest/variants {
			if rest&deliversBefore != 0 {
				store.deliver()
			}
			store.delayNext = rest&isDelayed != 0
			if rest&isCancellation != 0 {
				known, err := f.recordCancel(t.Context(), &cancellation{id: testID})
				cancelled = cancelled || err == nil
				outcomes = append(outcomes, fmt.Sprintf("cancel %t %v", known, err))
				continue
			}
			err := f.create(t.Context(), testID, nil, Guard{})
			accepted = accepted || err == nil
			outcomes = append(outcomes, fmt.Sprintf("submit %v", err))
			require.False(t, errors.Is(err, ErrCancelledBefore) && store.hasJob(), "%v", outcomes)
		}
		store.deliver()
		require.False(t, cancelled && store.hasJob() && !store.has(leader.CancelKey(testID)), "%v", outcomes)
		require.False(t, accepted && !store.hasJob(), "%v", outcomes)
		require.False(t, store.hasJob() && store.has(leader.TombstoneKey(testID)), "%v", outcomes)
	}
}

// Guards against a job that is stored after its cancellation by a submission that arrives later, as
// repeated by its client: at a process with the store, and at one that only reaches the leader.
func TestSubmissionAfterItsCancellationIsRefused(t *testing.T) {
	store := newConditionalStore()
	direct := newStoreEntry(store)
	require.True(t, errkind.Is(direct.cancelTest(t), errkind.NotFound))
	cutOff := newStoreEntry(&fakeStore{resetsConnections: true})
	cutOff.storeRespondedAt.Store(0)
	cutOff.LeaderReachable = func() bool { return true }
	cutOff.Peers = leaderWithStore{Entry: direct.Entry}
	guarded := newGuardedEntry(store)
	guarded.predict(0)
	for name, f := range map[string]*entryFixture{"direct": direct, "through the leader": cutOff, "with admission": guarded.entryFixture} {
		err := f.submitTest(t)
		require.True(t, errkind.Is(err, errkind.AlreadyExists), "%s: %v", name, err)
		require.Equal(t, errkind.NotRun, errkind.From(err).Answer().Outcome, name)
		require.Equal(t, voidingTTL, errkind.From(err).RetryAfter, name)
	}
	require.False(t, store.hasJob())
}

// Guards against an unknown outcome, and against "not cancelled", for a cancellation whose first
// write had no response and is carried out at any later time.
func TestLostResponseToACancellation(t *testing.T) {
	for name, lose := range map[string]func(*conditionalStore){
		"delayed": func(s *conditionalStore) { s.delayNext = true },
		"done":    func(s *conditionalStore) { s.loseNext = true },
	} {
		for _, stored := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " ", stored), func(t *testing.T) {
				store := newConditionalStore()
				f := newStoreEntry(store)
				if stored {
					require.NoError(t, f.submitTest(t))
				}
				lose(store)
				err := f.cancelTest(t)
				require.Equal(t, stored, err == nil)
				require.Equal(t, !stored, errkind.Is(err, errkind.NotFound))
				store.deliver()
				require.Equal(t, stored, store.has(leader.CancelKey(testID)))
				require.Equal(t, !stored, store.has(leader.TombstoneKey(testID)))
			})
		}
	}
}

// Guards against a job that runs after its cancellation, which read that there was no job just
// before it was stored.
func TestJobStoredDuringItsCancellationIsCancelled(t *testing.T) {
	store := newConditionalStore()
	store.beforeCommit = func() { require.NoError(t, newStoreEntry(store).submitTest(t)) }
	require.NoError(t, newStoreEntry(store).cancelTest(t))
	require.True(t, store.hasJob())
	require.True(t, store.has(leader.CancelKey(testID)))
	require.False(t, store.has(leader.TombstoneKey(testID)))
}

// Guards against tombstones that stay for good, and against a call for each of them that grants a
// lease.
func TestTombstonesShareALease(t *testing.T) {
	store := newConditionalStore()
	f := newStoreEntry(store)
	for n := range 3 {
		id := fmt.Sprintf("%016x", n)
		require.True(t, errkind.Is(f.cancelJob(t, "q", id), errkind.NotFound))
		require.Equal(t, int64(1), store.leaseOf[leader.TombstoneKey(id)])
	}
	require.Equal(t, int64(1), store.leases)
}

// Guards against a cancellation that fails because the store has ended the lease of tombstones
// early, as in an outage.
func TestTombstoneGetsANewLeaseAfterItsLeaseEnded(t *testing.T) {
	store := newConditionalStore()
	f := newStoreEntry(store)
	require.True(t, errkind.Is(f.cancelJob(t, "q", "0000000000000001"), errkind.NotFound))
	store.endedLease = 1
	require.True(t, errkind.Is(f.cancelTest(t), errkind.NotFound))
	require.Equal(t, int64(2), store.leaseOf[leader.TombstoneKey(testID)])
}

// knowingPeers simulates a leader that knows one job.
type knowingPeers struct {
	unreachablePeers
	known string
}

func (p knowingPeers) State(_ context.Context, id string) (batch.State, bool, error) {
	return batch.Running, id == p.known, nil
}

func (knowingPeers) Announce(context.Context, string, []byte) error { return nil }

// Guards against cancellations that cost more calls to the store than a read and a write.
func TestCancellationTakesAReadAndAWrite(t *testing.T) {
	store := newConditionalStore()
	f := newStoreEntry(store)
	require.NoError(t, f.submitTest(t))
	for _, id := range []string{testID, testID, "0000000000000001", "0000000000000001", "0000000000000002"} {
		reads, commits := store.reads, store.commits
		_ = f.cancelJob(t, "q", id)
		require.Equal(t, 1, store.reads-reads, id)
		require.Equal(t, 1, store.commits-commits, id)
	}
	require.Equal(t, int64(1), store.leases)
}

// Guards against a flood of cancellations of unknown jobs that fills the store, uses up its calls,
// or delays the cancellations of other callers: those of known jobs, and those of other queues.
func TestFloodOfUnknownCancellationsIsBounded(t *testing.T) {
	const flood = 5000
	store := newConditionalStore()
	f := newStoreEntry(store)
	f.Peers = knowingPeers{known: testID}
	require.NoError(t, f.submitTest(t))
	items, commits, reads := len(store.items), store.commits, store.reads
	began := time.Now()
	limited := 0
	for n := range flood {
		if err := f.cancelJob(t, "flooded", fmt.Sprintf("%016x", n)); errkind.Is(err, errkind.Overloaded) {
			limited++
			require.Equal(t, errkind.NotRun, errkind.From(err).Answer().Outcome)
			require.Positive(t, errkind.From(err).RetryAfter)
		}
	}
	admitted := queueCancelBurst + queueCancelRate*int(time.Since(began)/time.Second+1)
	require.GreaterOrEqual(t, limited, flood-admitted)
	require.LessOrEqual(t, len(store.items)-items, admitted)
	require.LessOrEqual(t, store.commits-commits, admitted)
	require.LessOrEqual(t, store.reads-reads, admitted)
	require.NoError(t, f.cancelTest(t), "a known job is cancelled")
	require.True(t, errkind.Is(f.cancelJob(t, "other", "00000000000000bb"), errkind.NotFound), "another queue's caller is served")
}

// Guards against known jobs that can't be cancelled while there is no leader, since a flood of
// cancellations of unknown jobs comes at the same process: the store tells which job is known.
func TestKnownJobIsCancelledWithoutALeaderDuringAFlood(t *testing.T) {
	store := newConditionalStore()
	f := newStoreEntry(store)
	require.NoError(t, f.submitTest(t))
	limited := false
	for n := 0; !limited; n++ {
		require.Less(t, n, 10*queueCancelBurst)
		limited = errkind.Is(f.cancelJob(t, "q", fmt.Sprintf("%016x", n)), errkind.Overloaded)
	}
	require.NoError(t, f.cancelTest(t))
}

// Guards against limits that are kept for queues that no longer need them.
func TestLimitsOfIdleQueuesAreForgotten(t *testing.T) {
	var u unknownCancels
	for n := range 1000 {
		require.False(t, u.exhausted(fmt.Sprint(n)))
	}
	require.Len(t, u.byQueue, 1)
}

// Guards against a cancellation that outlives its job: the job was removed after the cancellation
// had read it, and nothing would ever remove a mark that is written then.
func TestCancellationOfARemovedJobLeavesNoMark(t *testing.T) {
	store := newConditionalStore()
	f := newStoreEntry(store)
	require.NoError(t, f.submitTest(t))
	store.beforeCommit = func() { delete(store.items, leader.JobKey(testID)) }
	require.True(t, errkind.Is(f.cancelTest(t), errkind.NotFound))
	require.False(t, store.has(leader.CancelKey(testID)))
}

// Guards against a job that is cancelled by a delayed write of the cancellation of an earlier job
// with its ID, which was removed.
func TestDelayedCancellationDoesNotReachALaterJobOfItsID(t *testing.T) {
	store := newConditionalStore()
	f := newStoreEntry(store)
	require.NoError(t, f.submitTest(t))
	store.delayNext = true
	require.NoError(t, f.cancelTest(t))
	delete(store.items, leader.JobKey(testID))
	delete(store.items, leader.CancelKey(testID))
	require.NoError(t, f.submitTest(t))
	store.deliver()
	require.True(t, store.hasJob())
	require.False(t, store.has(leader.CancelKey(testID)))
}
