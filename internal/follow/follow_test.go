package follow

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/durable"
)

// Symptom: a change is never noticed.
// Sequence: the store's watches hear nothing for a second while there are
// changes; an empty answer carries the newest revision; then the history goes.
// Cause it guards against: going on from that revision at once, so that nothing
// ever tells that something was missed.
func TestEmptyAnswersMoveOnSlowly(t *testing.T) {
	p := position{after: 10}
	p.moved(0, 20, false)
	require.EqualValues(t, 10, p.after)
	p.moved(time.Second, 30, false)
	require.EqualValues(t, 10, p.after)
	p.moved(settle, 40, false)
	require.EqualValues(t, 20, p.after, "the revision seen long enough ago")
	p.moved(settle+time.Second, 50, true)
	require.EqualValues(t, 50, p.after, "events tell where they end")
}

// scripted answers watches in turn, then waits.
type scripted struct {
	durable.Store
	mu      sync.Mutex
	ranges  int
	watches []func() ([]durable.Item, int64, error)
}

func (s *scripted) Range(context.Context, string) ([]durable.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranges++
	return []durable.Item{{Key: "k", Revision: int64(s.ranges)}}, int64(s.ranges), nil
}

func (s *scripted) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) ([]durable.Item, int64, error) {
	s.mu.Lock()
	if len(s.watches) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	next := s.watches[0]
	s.watches = s.watches[1:]
	s.mu.Unlock()
	return next()
}

// After lost history the whole prefix is read again; after a failed call the same
// watch is tried again, and the failure is told.
func TestHistoryLostAndCallsFailed(t *testing.T) {
	s := &scripted{watches: []func() ([]durable.Item, int64, error){
		func() ([]durable.Item, int64, error) { return nil, 0, durable.ErrUnknown },
		func() ([]durable.Item, int64, error) { return []durable.Item{{Key: "k", Revision: 5}}, 5, nil },
		func() ([]durable.Item, int64, error) { return nil, 0, durable.ErrCompacted },
	}}
	var seen []int64
	failures := 0
	ctx, cancel := context.WithCancel(t.Context())
	f := &Follower{
		Store: s, Prefix: "k", Wait: time.Second, Failed: func(error) { failures++ },
		Handle: func(items []durable.Item, _ bool) {
			seen = append(seen, items[0].Revision)
			if len(seen) == 3 {
				cancel()
			}
		},
	}
	require.ErrorIs(t, f.Serve(ctx), context.Canceled)
	require.Equal(t, []int64{1, 5, 2}, seen)
	require.Equal(t, 1, failures)
}
