package follow

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/durable"
)

// changingStore is a store whose prefix changes between looks.
type changingStore struct {
	durable.Store
	items  []durable.Item
	events []durable.Item
	err    error
	ranges int
	// revision is that of the store.
	revision int64
}

func (s *changingStore) Range(context.Context, string) ([]durable.Item, int64, error) {
	s.ranges++
	return s.items, s.revision, nil
}

func (s *changingStore) Watch(_ context.Context, _ string, after int64, _ time.Duration) ([]durable.Item, int64, error) {
	var later []durable.Item
	for _, e := range s.events {
		if e.Revision > after {
			later = append(later, e)
		}
	}
	return later, s.revision, s.err
}

func newList(s durable.Store) *List[string] {
	return &List[string]{Store: s, Prefix: "vm/", OnDecodeError: func(error) {}, Decode: func(item durable.Item) (string, error) {
		if string(item.Value) == "bad" {
			return "", errors.New("bad")
		}
		return item.Key + "=" + string(item.Value), nil
	}}
}

func mustLoad(t *testing.T, l *List[string]) []string {
	list, err := l.Load(t.Context())
	require.NoError(t, err)
	return list
}

func newItem(key, value string, revision int64) durable.Item {
	return durable.Item{Key: key, Value: []byte(value), Revision: revision}
}

func TestListFollowsChanges(t *testing.T) {
	s := &changingStore{items: []durable.Item{newItem("a", "1", 1), newItem("b", "1", 2)}, revision: 2}
	l := newList(s)
	require.Equal(t, []string{"a=1", "b=1"}, mustLoad(t, l))
	s.events = []durable.Item{newItem("b", "2", 3), newItem("c", "1", 4), {Key: "a", Revision: 5, Deleted: true}}
	s.revision = 5
	require.Equal(t, []string{"b=2", "c=1"}, mustLoad(t, l))
	s.events = append(s.events, newItem("c", "bad", 6))
	s.revision = 6
	require.Equal(t, []string{"b=2"}, mustLoad(t, l), "left out while it can't be read")
	require.Equal(t, 1, s.ranges)
}

// Symptom: a VM that drains gets new tasks for seconds.
// Sequence: the store loses its history; watches hear nothing for a while, though there
// are changes, and then that the history is gone.
// Cause it guards against: an empty answer was taken for "nothing has changed".
func TestListIsReadAgainAfterLostHistory(t *testing.T) {
	s := &changingStore{items: []durable.Item{newItem("a", "1", 1)}, revision: 1}
	l := newList(s)
	require.Equal(t, []string{"a=1"}, mustLoad(t, l))
	s.err, s.items, s.revision = durable.ErrCompacted, []durable.Item{newItem("a", "2", 9)}, 9
	require.Equal(t, []string{"a=2"}, mustLoad(t, l))
	s.err, s.items, s.revision = nil, []durable.Item{newItem("a", "3", 12)}, 12
	require.Equal(t, []string{"a=2"}, mustLoad(t, l), "the watch hears nothing")
	l.lastReadAt, l.lastChangeAt = l.lastReadAt-maxQuietDuration, l.lastChangeAt-maxQuietDuration
	require.Equal(t, []string{"a=3"}, mustLoad(t, l))
	require.Equal(t, 3, s.ranges)
}

func TestListLoadReturnsWatchError(t *testing.T) {
	s := &changingStore{items: []durable.Item{newItem("a", "1", 1)}, revision: 1, err: durable.ErrUnknown}
	l := newList(s)
	require.Equal(t, []string{"a=1"}, mustLoad(t, l))
	_, err := l.Load(t.Context())
	require.ErrorIs(t, err, durable.ErrUnknown)
}

// Whoever needs to know whether an entry is up to date is told how long it has not changed.
// At the first look that is not known; later it counts from the look before the change.
func TestListReportsUnchangedDuration(t *testing.T) {
	s := &changingStore{items: []durable.Item{newItem("a", "1", 1), newItem("b", "1", 2)}, revision: 2}
	l := newList(s)
	since := map[string]time.Duration{}
	l.OnUnchanged = func(value *string, d time.Duration) { since[(*value)[:1]] = d }
	mustLoad(t, l)
	s.events, s.revision = []durable.Item{newItem("a", "2", 3)}, 3
	mustLoad(t, l)
	require.Empty(t, since, "entries may be written once")
	time.Sleep(30 * time.Millisecond)
	s.events, s.revision = append(s.events, newItem("a", "3", 4)), 4
	mustLoad(t, l)
	require.GreaterOrEqual(t, since["a"], 30*time.Millisecond, "it may have changed right after the look before")
	require.Less(t, since["a"], time.Second)
	require.Equal(t, unknownUnchangedDuration, since["b"])
}
