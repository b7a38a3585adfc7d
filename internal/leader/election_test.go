package leader

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/durable"
)

// electionStore calls onGrant while a candidate waits for its lease, and records commits.
type electionStore struct {
	durable.Store
	onGrant func()
	commits []durable.Txn
}

func (s *electionStore) Grant(context.Context, time.Duration) (int64, error) {
	s.onGrant()
	return 7, nil
}

func (s *electionStore) Commit(_ context.Context, txn durable.Txn) (int64, error) {
	s.commits = append(s.commits, txn)
	return 100, nil
}

func leaderItem(node string, revision int64) durable.Item {
	return durable.Item{Key: leaderKey, Value: []byte(`{"node":"` + node + `","address":"` + node + `:1"}`), Revision: revision}
}

// Guards against electing two leaders within 15 ms, of which the second deposes the first. A
// candidate finds the key vacant and requests a lease; meanwhile its watch reports that
// another process has acquired the key. It must not write on condition of the other's
// revision.
func TestCandidateDoesNotReplaceAnother(t *testing.T) {
	store := &electionStore{}
	e := NewElection(store, Record{Node: "me", Address: "me:1"}, 1, nil, nil)
	e.observe(nil, true)
	require.True(t, e.isVacant())
	store.onGrant = func() { e.observe([]durable.Item{leaderItem("other", 50)}, false) }
	_, err := e.acquire(context.Background())
	require.ErrorIs(t, err, errKeyTaken)
	require.Empty(t, store.commits)
}

// A restarted process replaces its own key without waiting for the lease to expire.
func TestKeyOfOwnEarlierIncarnationIsReplaced(t *testing.T) {
	store := &electionStore{onGrant: func() {}}
	e := NewElection(store, Record{Node: "me", Address: "me:1"}, 1, nil, nil)
	e.observe([]durable.Item{leaderItem("other", 40)}, true)
	require.False(t, e.isVacant())
	e.observe([]durable.Item{leaderItem("me", 50)}, true)
	tenure, err := e.acquire(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 100, tenure.Fence)
	require.Equal(t, []durable.Condition{{Key: leaderKey, Revision: 50}}, store.commits[0].Conditions)
}
