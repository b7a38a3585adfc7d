package entry

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// fakeStore simulates commits and reads, with faults set by its fields. A commit without a
// response may have been carried out.
type fakeStore struct {
	durable.Store
	commits int
	// unresponsive leaves commits and reads without a response.
	unresponsive atomic.Bool
	// loseNextResponse carries out one commit and loses its response.
	loseNextResponse bool
	// resetsConnections breaks each connection immediately; gets counts the reads.
	resetsConnections bool
	gets              atomic.Int64
	// recovered ends resetsConnections.
	recovered atomic.Bool
	keys      map[string]bool
}

func (s *fakeStore) Commit(ctx context.Context, txn durable.Txn) (int64, error) {
	s.commits++
	if s.unresponsive.Load() {
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), durable.ErrUnknown)
	}
	if s.resetsConnections && !s.recovered.Load() {
		return 0, errReset
	}
	key := txn.Writes[0].Key
	if s.keys[key] {
		return 0, &durable.ConflictError{Current: []durable.Item{{Key: key}}}
	}
	s.keys[key] = true
	if s.loseNextResponse {
		s.loseNextResponse = false
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), durable.ErrUnknown)
	}
	return 1, nil
}

var errReset = errors.Mark(errors.New("connection reset"), durable.ErrUnknown)

func (s *fakeStore) Get(ctx context.Context, _ string) (*durable.Item, error) {
	s.gets.Add(1)
	if s.unresponsive.Load() {
		<-ctx.Done()
		return nil, errors.Mark(ctx.Err(), durable.ErrUnknown)
	}
	if s.resetsConnections && !s.recovered.Load() {
		return nil, errReset
	}
	return nil, nil
}

// unreachablePeers simulates an unreachable leader.
type unreachablePeers struct{ Peers }

var errUnreachable = errors.Mark(errors.New("not connected"), durable.ErrRefused)

func (unreachablePeers) Submit(context.Context, string, []byte, Guard) error { return errUnreachable }

func (unreachablePeers) State(context.Context, string) (batch.State, bool, error) {
	return "", false, errUnreachable
}

func (unreachablePeers) RefusalRevision(context.Context, string) (int64, error) {
	return 0, errUnreachable
}

func (unreachablePeers) Cancel(context.Context, string) (bool, error) { return false, errUnreachable }

func (unreachablePeers) Announce(context.Context, string, []byte) error { return errUnreachable }

type entryFixture struct {
	*Entry
	store *fakeStore
	// storeRespondedAt is the time of the store's last response to the watch.
	storeRespondedAt atomic.Int64
	submitted        int
}

func newEntryFixture() *entryFixture {
	f := &entryFixture{store: &fakeStore{keys: map[string]bool{}}}
	f.storeRespondedAt.Store(int64(steady.Now()))
	f.Entry = &Entry{
		Store: f.store, Peers: unreachablePeers{}, StoreRespondedAt: func() time.Duration { return time.Duration(f.storeRespondedAt.Load()) },
		ConfirmConfig:   func(context.Context) {},
		LeaderReachable: func() bool { return false }, WallMS: func() int64 { return 0 }, Log: eventlog.New(io.Discard, logrus.ErrorLevel),
	}
	return f
}

func (f *entryFixture) submit(ctx context.Context) error {
	f.submitted++
	job := &batch.Job{ID: fmt.Sprintf("%016d", f.submitted), Steps: []batch.Step{{Tasks: 1}}}
	return f.Submit(ctx, &batch.Queue{Name: "q", Pool: "p"}, job)
}

// Callers of a process that was just cut off from the store received an unknown outcome for two
// seconds, which prevents a retry elsewhere: only the watch, with one response a second,
// revealed the outage. After one submission went unanswered, the next ones must be refused
// immediately.
func TestSubmissionsAreRefusedAtOnceAfterOneWentUnanswered(t *testing.T) {
	f := newEntryFixture()
	f.store.unresponsive.Store(true)
	require.True(t, errkind.Is(f.submit(t.Context()), errkind.StoreUnknown))
	sent := f.store.commits
	began := time.Now()
	require.True(t, errkind.Is(f.submit(t.Context()), errkind.StoreUnavailable))
	require.Less(t, time.Since(began), 100*time.Millisecond)
	require.Equal(t, sent, f.store.commits, "submission was refused but sent to the store")
	// The watch receives a response again.
	f.store.unresponsive.Store(false)
	f.storeRespondedAt.Store(int64(steady.Now()))
	require.NoError(t, f.submit(t.Context()))
}

// A cancellation that can't be stored is refused immediately as well.
func TestCancellationIsRefusedAtOnceWithoutStoreAndLeader(t *testing.T) {
	f := newEntryFixture()
	f.storeRespondedAt.Store(0)
	began := time.Now()
	err := f.Cancel(t.Context(), &batch.Queue{Name: "q"}, "0000000000000001")
	require.True(t, errkind.Is(err, errkind.StoreUnavailable))
	require.Less(t, time.Since(began), 100*time.Millisecond)
}

// One lost response must not mark the store as unreachable: the second attempt finds what the
// first has written.
func TestOneLostResponseDoesNotRefuseSubmissions(t *testing.T) {
	f := newEntryFixture()
	f.store.loseNextResponse = true
	require.NoError(t, f.submit(t.Context()))
	require.NoError(t, f.submit(t.Context()))
}

// A caller that disconnects before the response must not mark the store as unreachable.
func TestCallerDisconnectDoesNotMarkTheStoreUnreachable(t *testing.T) {
	f := newEntryFixture()
	f.store.unresponsive.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
	defer cancel()
	require.Error(t, f.submit(ctx))
	f.store.unresponsive.Store(false)
	require.NoError(t, f.submit(t.Context()))
}

// While the store resets every connection, each job sent to it ends with an unknown outcome and
// can't be submitted elsewhere: 150 jobs in four seconds. The resets take milliseconds, and
// only calls that waited for 0.3 s counted as evidence.
func TestSubmissionsAreRefusedAfterOneSawConnectionResets(t *testing.T) {
	f := newEntryFixture()
	f.store.resetsConnections = true
	require.True(t, errkind.Is(f.submit(t.Context()), errkind.StoreUnknown))
	sent := f.store.commits
	require.True(t, errkind.Is(f.submit(t.Context()), errkind.StoreUnavailable))
	require.Equal(t, sent, f.store.commits, "submission was refused but sent to the store")
}

// A recovered store is detected by a probe, not by a caller's job.
func TestStoreRecoveryIsDetectedByAProbe(t *testing.T) {
	f := newEntryFixture()
	f.store.resetsConnections = true
	require.True(t, errkind.Is(f.submit(t.Context()), errkind.StoreUnknown))
	require.Eventually(t, func() bool { return f.store.gets.Load() > 0 }, 2*time.Second, 10*time.Millisecond)
	f.store.recovered.Store(true)
	require.Eventually(t, f.StoreReachable, 2*time.Second, 10*time.Millisecond)
	require.NoError(t, f.submit(t.Context()))
}

// A submission of unknown outcome succeeds if the store recovers within minRetryDuration, since
// its caller can't retry elsewhere. After that the caller receives the unknown outcome
// promptly.
func TestUnknownOutcomeIsResolvedWhenTheStoreRecoversSoon(t *testing.T) {
	f := newEntryFixture()
	f.store.resetsConnections = true
	time.AfterFunc(minRetryDuration/2, func() { f.store.recovered.Store(true) })
	require.NoError(t, f.submit(t.Context()))

	f = newEntryFixture()
	f.store.resetsConnections = true
	began := time.Now()
	require.True(t, errkind.Is(f.submit(t.Context()), errkind.StoreUnknown))
	require.GreaterOrEqual(t, time.Since(began), minRetryDuration)
	require.Less(t, time.Since(began), 2*minRetryDuration)
}

// recordingPeers simulates a leader that has a job or not, and records announcements.
type recordingPeers struct {
	unreachablePeers
	knowsJob  bool
	announced chan []byte
}

func (h *recordingPeers) State(context.Context, string) (batch.State, bool, error) {
	return batch.Queued, h.knowsJob, nil
}

func (h *recordingPeers) Announce(_ context.Context, _ string, record []byte) error {
	h.announced <- record
	return nil
}

// Announcing every accepted job in full filled a third of a leader's narrow link with jobs that
// its watch had already delivered. A job is announced only if the leader does not have it.
func TestJobIsAnnouncedOnlyToALeaderThatDoesNotKnowIt(t *testing.T) {
	for _, hasJob := range []bool{true, false} {
		peers := &recordingPeers{knowsJob: hasJob, announced: make(chan []byte, 1)}
		e := &Entry{Peers: peers}
		e.announce(t.Context(), "j", []byte("record"))
		select {
		case record := <-peers.announced:
			require.False(t, hasJob)
			require.Equal(t, "record", string(record))
		case <-time.After(5 * announceDelay):
			require.True(t, hasJob)
		}
		e.announce(t.Context(), "j", nil)
		require.Nil(t, <-peers.announced, "a cancellation is announced immediately")
	}
}

// A refused request for an unknown queue is logged with the configuration version and the age
// of its confirmation.
func TestUnknownQueueIsLogged(t *testing.T) {
	f := newEntryFixture()
	lines := make(lineWriter, 1)
	f.Log = eventlog.New(lines, logrus.InfoLevel)
	f.InForce = func() *batch.Config {
		return &batch.Config{Version: 7, Queues: []batch.Queue{{Name: "q", Host: "jobs.example", Prefix: "/work/"}}}
	}
	f.ConfirmedAge = func() (time.Duration, bool) { return 0, true }
	queue, rest, err := f.Route(t.Context(), "jobs.example", "/work/1")
	require.NoError(t, err)
	require.Equal(t, "q", queue.Name)
	require.Equal(t, "1", rest)
	_, _, err = f.Route(t.Context(), "jobs.example", "/other/"+strings.Repeat("x", 500))
	require.True(t, errkind.Is(err, errkind.NotFound))
	line := <-lines
	require.Contains(t, line, "queue_unknown")
	require.Contains(t, line, `"version":7`)
	require.Contains(t, line, `"confirmed_ago_ms":0`)
	require.Less(t, len(line), 400)
}

// A queue that was just added is found even if no watch has delivered it. NotFound requires a
// configuration confirmed to be the newest; otherwise the caller is sent elsewhere.
func TestUnknownQueueIsLookedUp(t *testing.T) {
	f := newEntryFixture()
	config := &batch.Config{Version: 7}
	f.InForce = func() *batch.Config { return config }
	age, ok := time.Hour, true
	f.ConfirmedAge = func() (time.Duration, bool) { return age, ok }
	route := func() error {
		_, _, err := f.Route(t.Context(), "jobs.example", "/work/1")
		return err
	}
	for _, step := range []struct {
		age  time.Duration
		ok   bool
		want errkind.Kind
	}{
		{time.Hour, true, errkind.StoreUnavailable},
		{0, false, errkind.StoreUnavailable},
		{maxConfigPropagationDelay + time.Millisecond, true, errkind.StoreUnavailable},
		{maxConfigPropagationDelay, true, errkind.NotFound},
	} {
		age, ok = step.age, step.ok
		require.True(t, errkind.Is(route(), step.want), "%+v", step)
	}
	require.Equal(t, unavailableRetryAfter, errkind.From(f.routeWithoutConfig(t)).RetryAfter)
	f.ConfirmConfig = func(context.Context) {
		config = &batch.Config{Version: 8, Queues: []batch.Queue{{Name: "q", Host: "jobs.example", Prefix: "/work/"}}}
	}
	require.NoError(t, route())
}

// routeWithoutConfig returns the error of Route while there is no configuration.
func (f *entryFixture) routeWithoutConfig(t *testing.T) error {
	previous := f.InForce
	defer func() { f.InForce = previous }()
	f.InForce = func() *batch.Config { return nil }
	_, _, err := f.Route(t.Context(), "jobs.example", "/work/1")
	return err
}

// lineWriter sends each line of a log to its channel.
type lineWriter chan string

func (w lineWriter) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}

// refusingPeers simulates a leader that responds that it does not reach the store either.
type refusingPeers struct{ unreachablePeers }

func (refusingPeers) Submit(context.Context, string, []byte, Guard) error {
	return errors.Mark(errors.Mark(errors.New("not sent"), durable.ErrRefused), ErrPeerRefused)
}

// Guards against callers that use up their retries, a second apart, within an outage of the store.
// While the leader does not reach the store either, they are told to wait for as long as the
// outage has lasted, within bounds. If only this process is cut off, another one serves them soon.
func TestRetryAfterGrowsWithAnOutageThatTheLeaderSees(t *testing.T) {
	f := newEntryFixture()
	f.LeaderReachable = func() bool { return true }
	f.Peers = refusingPeers{}
	f.store.resetsConnections = true
	require.True(t, errkind.Is(f.submit(t.Context()), errkind.StoreUnknown))
	retryAfter := func(outage time.Duration) time.Duration {
		f.storeRespondedAt.Store(int64(steady.Now() - outage))
		err := errkind.From(f.submit(t.Context()))
		require.Equal(t, errkind.StoreUnavailable, err.Kind)
		return err.RetryAfter
	}
	require.Equal(t, unavailableRetryAfter, retryAfter(700*time.Millisecond))
	require.InDelta(t, 2*time.Second, retryAfter(2*time.Second), float64(100*time.Millisecond))
	require.Equal(t, maxOutageRetryAfter, retryAfter(time.Minute))
	f.Peers = unreachablePeers{}
	require.Equal(t, unavailableRetryAfter, retryAfter(time.Minute))
}

// Guards against callers that use up their retries within an outage of the store in which no leader
// can be reached: other processes tell as well that the store is away for all.
func TestRetryAfterGrowsWithAnOutageThatPeersSee(t *testing.T) {
	f := newEntryFixture()
	lacking := true
	f.PeersLackStore = func() bool { return lacking }
	f.storeRespondedAt.Store(int64(steady.Now() - 2500*time.Millisecond))
	err := errkind.From(f.submit(t.Context()))
	require.Equal(t, errkind.StoreUnavailable, err.Kind)
	require.InDelta(t, 2500*time.Millisecond, err.RetryAfter, float64(200*time.Millisecond))
	lacking = false
	require.Equal(t, unavailableRetryAfter, errkind.From(f.submit(t.Context())).RetryAfter, "only this process is cut off")
}
