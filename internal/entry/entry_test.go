package entry

import (
	"context"
	"fmt"
	"io"
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

// fakeStore answers commits by a script; what it does not answer it may have done.
type fakeStore struct {
	durable.Store
	commits int
	// silent leaves commits without an answer.
	silent bool
	// loseNext does one commit and loses its answer.
	loseNext bool
	keys     map[string]bool
}

func (s *fakeStore) Commit(ctx context.Context, txn durable.Txn) (int64, error) {
	s.commits++
	if s.silent {
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), durable.ErrUnknown)
	}
	key := txn.Writes[0].Key
	if s.keys[key] {
		return 0, &durable.ConflictError{}
	}
	s.keys[key] = true
	if s.loseNext {
		s.loseNext = false
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), durable.ErrUnknown)
	}
	return 1, nil
}

// noPeers is a leader that can't be reached.
type noPeers struct{ Peers }

var errUnreachable = errors.Mark(errors.New("not connected"), durable.ErrRefused)

func (noPeers) Submit(context.Context, string, []byte) error   { return errUnreachable }
func (noPeers) Announce(context.Context, string, []byte) error { return errUnreachable }

type entryFixture struct {
	*Entry
	store *fakeStore
	// heardAt is when the watch last heard.
	heardAt time.Duration
	n       int
}

func newEntryFixture() *entryFixture {
	f := &entryFixture{store: &fakeStore{keys: map[string]bool{}}, heardAt: steady.Now()}
	f.Entry = &Entry{
		Store: f.store, Peers: noPeers{}, StoreHeardAt: func() time.Duration { return f.heardAt },
		LeaderAnswers: func() bool { return false }, WallMS: func() int64 { return 0 }, Log: eventlog.New(io.Discard, logrus.ErrorLevel),
	}
	return f
}

func (f *entryFixture) submit(ctx context.Context) error {
	f.n++
	job := &batch.Job{ID: fmt.Sprintf("%016d", f.n), Steps: []batch.Step{{Tasks: 1}}}
	return f.Submit(ctx, &batch.Queue{Name: "q", Pool: "p"}, job)
}

// Symptom: for two seconds after a process is cut off, its callers are told that it
// is not known whether their jobs were accepted, and can't try elsewhere.
// Sequence: the store stops answering; a submission waits two tries out; more come.
// Cause: only the watch, which hears once a second, told that the store is away.
func TestSubmissionsAreRefusedAtOnceAfterOneWentUnanswered(t *testing.T) {
	f := newEntryFixture()
	f.store.silent = true
	require.True(t, errkind.Is(f.submit(t.Context()), errkind.StoreUnknown))
	sent := f.store.commits
	began := time.Now()
	require.True(t, errkind.Is(f.submit(t.Context()), errkind.StoreUnavailable))
	require.Less(t, time.Since(began), 100*time.Millisecond)
	require.Equal(t, sent, f.store.commits, "told that it was not accepted, and was sent")
	// The watch hears again.
	f.store.silent = false
	f.heardAt = steady.Now()
	require.NoError(t, f.submit(t.Context()))
}

// A cancellation is refused at once, too, where it can't be stored.
func TestCancellationIsRefusedAtOnceWithoutStoreAndLeader(t *testing.T) {
	f := newEntryFixture()
	f.heardAt = 0
	began := time.Now()
	err := f.Cancel(t.Context(), &batch.Queue{Name: "q"}, "0000000000000001")
	require.True(t, errkind.Is(err, errkind.StoreUnavailable))
	require.Less(t, time.Since(began), 100*time.Millisecond)
}

// One lost answer is no reason to refuse: the second try finds what the first did.
func TestOneLostAnswerRefusesNobody(t *testing.T) {
	f := newEntryFixture()
	f.store.loseNext = true
	require.NoError(t, f.submit(t.Context()))
	require.NoError(t, f.submit(t.Context()))
}

// A caller that leaves before the answer says nothing of the store.
func TestCallerThatLeavesIsNoEvidence(t *testing.T) {
	f := newEntryFixture()
	f.store.silent = true
	ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
	defer cancel()
	require.Error(t, f.submit(ctx))
	f.store.silent = false
	require.NoError(t, f.submit(t.Context()))
}
