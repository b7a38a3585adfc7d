package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// Guards against missing a change for good: while a store loses its history, its watches
// return no events for a second although there are changes, and an empty response carries
// the newest revision. A watch that continued from it at once would never get ErrCompacted.
func TestEmptyWatchesAdvanceSlowly(t *testing.T) {
	p := position{after: 10}
	p.advance(0, 20, false)
	require.EqualValues(t, 10, p.after)
	p.advance(time.Second, 30, false)
	require.EqualValues(t, 10, p.after)
	p.advance(settleDelay, 40, false)
	require.EqualValues(t, 20, p.after, "the revision that is at least settleDelay old")
	p.advance(settleDelay+time.Second, 50, true)
	require.EqualValues(t, 50, p.after, "a response with events advances the position at once")
}

// scriptedStore returns the results of watches in turn; further watches block.
type scriptedStore struct {
	durable.Store
	mu      sync.Mutex
	ranges  int
	watches []func() ([]durable.Item, int64, error)
}

func (s *scriptedStore) Range(context.Context, string) ([]durable.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranges++
	return []durable.Item{{Key: "k", Revision: int64(s.ranges)}}, int64(s.ranges), nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) ([]durable.Item, int64, error) {
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

// Guards against missed changes after errors: lost history makes the follower read the whole
// prefix again; after another failed call it reports the error and repeats the watch.
func TestLostHistoryAndFailedCalls(t *testing.T) {
	s := &scriptedStore{watches: []func() ([]durable.Item, int64, error){
		func() ([]durable.Item, int64, error) { return nil, 0, durable.ErrUnknown },
		func() ([]durable.Item, int64, error) { return []durable.Item{{Key: "k", Revision: 5}}, 5, nil },
		func() ([]durable.Item, int64, error) { return nil, 0, durable.ErrCompacted },
	}}
	var seen []int64
	failures := 0
	ctx, cancel := context.WithCancel(t.Context())
	f := &Follower{
		Store: s, Prefix: "k", Wait: time.Second, OnError: func(error) { failures++ },
		Handle: func(items []durable.Item, _ int64, _ bool) {
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

// silentWatchStore is a store whose watches return no events while its prefix changes.
type silentWatchStore struct {
	durable.Store
	revision atomic.Int64
	// failingReads and hangingReads are the numbers of next reads that fail and that get no
	// response.
	failingReads, hangingReads atomic.Int32
	ranges                     atomic.Int64
}

func (s *silentWatchStore) Range(ctx context.Context, _ string) ([]durable.Item, int64, error) {
	s.ranges.Add(1)
	if s.failingReads.Add(-1) >= 0 {
		return nil, 0, durable.ErrRefused
	}
	if s.hangingReads.Add(-1) >= 0 {
		ctx, cancel := context.WithTimeout(ctx, durable.FirstResponse(ctx, time.Minute))
		defer cancel()
		<-ctx.Done()
		return nil, 0, durable.ErrUnknown
	}
	n := s.revision.Load()
	return []durable.Item{{Key: "k", Revision: n}}, n, nil
}

func (s *silentWatchStore) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) ([]durable.Item, int64, error) {
	<-ctx.Done()
	return nil, 0, durable.ErrUnknown
}

// Guards against changes that stay unnoticed when the watch returns no events: polls find
// them within the bound, even if two polls fail or one gets no response.
func TestChangesAreReadWhileTheWatchHearsNothing(t *testing.T) {
	const period, bound = time.Second, 2 * time.Second
	s := &silentWatchStore{}
	s.revision.Store(1)
	var seen, readAt atomic.Int64
	f := &Follower{
		Store: s, Prefix: "k", Wait: time.Minute, PollInterval: period,
		OnRead: func(began time.Duration) { readAt.Store(int64(began)) },
		Handle: func(items []durable.Item, _ int64, _ bool) { seen.Store(items[0].Revision) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	serveErr := make(chan error, 1)
	go func() { serveErr <- f.Serve(ctx) }()
	awaitRevision := func(want int64, within time.Duration) {
		t.Helper()
		require.Eventually(t, func() bool { return seen.Load() == want }, within, 5*time.Millisecond)
	}
	awaitRevision(1, bound)
	for i, injectFault := range []func(){func() {}, func() { s.failingReads.Store(2) }, func() { s.hangingReads.Store(1) }} {
		injectFault()
		s.revision.Add(1)
		awaitRevision(int64(i+2), bound)
	}
	before := s.ranges.Load()
	s.revision.Add(1)
	f.PollNow()
	awaitRevision(5, period/2)
	require.Equal(t, before+1, s.ranges.Load())
	require.Eventually(t, func() bool { return steady.Now()-time.Duration(readAt.Load()) < period/2 }, period/2, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-serveErr, context.Canceled)
}

// Guards against handling changes older than those already handled or marked as known,
// which would bring back an old configuration or leader.
func TestStaleChangesAreIgnored(t *testing.T) {
	var seen []int64
	f := &Follower{Handle: func(items []durable.Item, _ int64, _ bool) { seen = append(seen, items[0].Revision) }}
	require.True(t, f.handleSnapshot([]durable.Item{{Revision: 4}}, 10, 0))
	f.handleEvents([]durable.Item{{Revision: 9}})
	f.handleEvents([]durable.Item{{Revision: 9}, {Revision: 12}})
	require.False(t, f.handleSnapshot([]durable.Item{{Revision: 4}}, 11, 1), "begun before the watch returned 12")
	require.True(t, f.handleSnapshot([]durable.Item{{Revision: 12}}, 13, 2))
	require.Equal(t, []int64{4, 12, 12}, seen)
	f.MarkKnown(20)
	f.handleEvents([]durable.Item{{Revision: 19}})
	require.False(t, f.handleSnapshot([]durable.Item{{Revision: 12}}, 19, 3), "begun before 20 was written")
	require.True(t, f.handleSnapshot([]durable.Item{{Revision: 20}}, 20, 4))
	require.Equal(t, []int64{4, 12, 12, 20}, seen)
}

// slowStore responds to reads after delay, if that is within the time that the caller waits.
type slowStore struct {
	scriptedStore
	delay        time.Duration
	firstTimeout atomic.Int64
}

func (s *slowStore) Range(ctx context.Context, prefix string) ([]durable.Item, int64, error) {
	s.firstTimeout.Store(int64(durable.FirstResponse(ctx, 0)))
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(s.delay):
		return s.scriptedStore.Range(ctx, prefix)
	}
}

// Guards against polls that never succeed over a narrow link: a response that has begun in time may
// take longer than an unresponsive connection is given.
func TestLongPollIsNotAborted(t *testing.T) {
	t.Parallel()
	s := &slowStore{delay: pollResponseTimeout + 400*time.Millisecond}
	read := make(chan struct{}, 8)
	f := &Follower{Store: s, Prefix: "k", Wait: time.Second, StartRevision: 1, PollInterval: 50 * time.Millisecond, Handle: func([]durable.Item, int64, bool) {
		select {
		case read <- struct{}{}:
		default:
		}
	}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = f.Serve(ctx) }()
	select {
	case <-read:
	case <-time.After(3 * time.Second):
		t.Fatal("the poll was aborted")
	}
	require.EqualValues(t, pollResponseTimeout, s.firstTimeout.Load())
}
