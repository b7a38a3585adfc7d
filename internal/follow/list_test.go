package follow

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/durable"
)

// changingStore is a store whose prefix changes between loads.
type changingStore struct {
	durable.Store
	items  []durable.Item
	events []durable.Item
	err    error
	ranges int
	// revision is the store's current revision.
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

// Guards against lists that miss updates, additions, deletions or undecodable entries
// when only changes are fetched.
func TestListFollowsChanges(t *testing.T) {
	s := &changingStore{items: []durable.Item{newItem("a", "1", 1), newItem("b", "1", 2)}, revision: 2}
	l := newList(s)
	require.Equal(t, []string{"a=1", "b=1"}, mustLoad(t, l))
	s.events = []durable.Item{newItem("b", "2", 3), newItem("c", "1", 4), {Key: "a", Revision: 5, Deleted: true}}
	s.revision = 5
	require.Equal(t, []string{"b=2", "c=1"}, mustLoad(t, l))
	s.events = append(s.events, newItem("c", "bad", 6))
	s.revision = 6
	require.Equal(t, []string{"b=2"}, mustLoad(t, l), "left out while it can't be decoded")
	require.Equal(t, 1, s.ranges)
}

// Guards against using an outdated list, so that a draining VM gets new tasks for seconds:
// while the store loses its history, watches return ErrCompacted, or no events although
// there are changes. An empty response must not count as "nothing has changed".
func TestListIsReadAgainAfterLostHistory(t *testing.T) {
	s := &changingStore{items: []durable.Item{newItem("a", "1", 1)}, revision: 1}
	l := newList(s)
	require.Equal(t, []string{"a=1"}, mustLoad(t, l))
	s.err, s.items, s.revision = durable.ErrCompacted, []durable.Item{newItem("a", "2", 9)}, 9
	require.Equal(t, []string{"a=2"}, mustLoad(t, l))
	s.err, s.items, s.revision = nil, []durable.Item{newItem("a", "3", 12)}, 12
	require.Equal(t, []string{"a=2"}, mustLoad(t, l), "the watch returns no events")
	l.lastReadAt, l.lastChangeAt = l.lastReadAt-maxQuietDuration, l.lastChangeAt-maxQuietDuration
	require.Equal(t, []string{"a=3"}, mustLoad(t, l))
	require.Equal(t, 3, s.ranges)
}

// Guards against returning an outdated list after a watch whose result is unknown.
func TestListLoadReturnsWatchError(t *testing.T) {
	s := &changingStore{items: []durable.Item{newItem("a", "1", 1)}, revision: 1, err: durable.ErrUnknown}
	l := newList(s)
	require.Equal(t, []string{"a=1"}, mustLoad(t, l))
	_, err := l.Load(t.Context())
	require.ErrorIs(t, err, durable.ErrUnknown)
}

// Guards against treating outdated entries as current: OnUnchanged gets the longest time for
// which an entry may have been unchanged. After the first load this is unknown; later it
// counts from the load before the change.
func TestListReportsUnchangedDuration(t *testing.T) {
	s := &changingStore{items: []durable.Item{newItem("a", "1", 1), newItem("b", "1", 2)}, revision: 2}
	l := newList(s)
	unchangedFor := map[string]time.Duration{}
	l.OnUnchanged = func(value *string, d time.Duration) { unchangedFor[(*value)[:1]] = d }
	mustLoad(t, l)
	s.events, s.revision = []durable.Item{newItem("a", "2", 3)}, 3
	mustLoad(t, l)
	require.Empty(t, unchangedFor, "no entry has changed twice")
	time.Sleep(30 * time.Millisecond)
	s.events, s.revision = append(s.events, newItem("a", "3", 4)), 4
	mustLoad(t, l)
	require.GreaterOrEqual(t, unchangedFor["a"], 30*time.Millisecond, "it may have changed right after the previous load")
	require.Less(t, unchangedFor["a"], time.Second)
	require.Equal(t, unknownUnchangedDuration, unchangedFor["b"])
}

// OnDecodeError is optional: an undecodable entry is left out without it, too.
func TestUndecodableEntryIsLeftOutWithoutAHandler(t *testing.T) {
	l := newList(&changingStore{items: []durable.Item{newItem("vm/a", "1", 1), newItem("vm/b", "bad", 2)}, revision: 2})
	l.OnDecodeError = nil
	require.Equal(t, []string{"vm/a=1"}, mustLoad(t, l))
}
