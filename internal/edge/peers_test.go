package edge

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/entry"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/ports"
)

// fixedElection simulates an election won by the process at the given address.
type fixedElection string

func (l fixedElection) Leader() (leader.Record, bool) {
	return leader.Record{Node: "leader", Address: string(l)}, true
}

func newTestLeaderClient(address string) *leaderClient {
	return &leaderClient{self: "self", election: fixedElection(address), client: &http.Client{}}
}

// A job submitted through a dead leader is certainly not stored, so the submission must be
// refused, not of unknown outcome. The leader dies, and a process without access to the store
// calls it: a connection that was never made must not count as a lost response.
func TestSubmitToADeadLeaderIsRefused(t *testing.T) {
	block, err := ports.Claim()
	require.NoError(t, err)
	defer block.Release()
	err = newTestLeaderClient(block.Address(0)).Submit(t.Context(), "id", nil, entry.Guard{})
	require.True(t, errors.Is(err, durable.ErrRefused))
	require.False(t, errors.Is(err, durable.ErrUnknown))
}

// A leader that accepts a call and does not respond may have stored the job. It counts as
// unreachable until it responds to another call.
func TestSubmitToAnUnresponsiveLeaderIsUnknown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	p := newTestLeaderClient(ln.Addr().String())
	p.reachability.RecordResponse()
	require.True(t, p.reachability.RespondedWithin(maxLeaderResponseAge, 0))
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	err = p.Submit(ctx, "id", nil, entry.Guard{})
	require.True(t, errors.Is(err, durable.ErrUnknown))
	require.False(t, p.reachability.RespondedWithin(maxLeaderResponseAge, 0))
	p.reachability.RecordResponse()
	require.True(t, p.reachability.RespondedWithin(maxLeaderResponseAge, 0))
}

// Guards against taking a job that was refused meanwhile for one whose outcome is unknown, or for
// one that only this path did not store: its caller must be told that it does not run.
func TestRefusedSinceIsToldBetweenPeers(t *testing.T) {
	err := toTwirpError(entry.ErrRefusedSince)
	require.True(t, isLeaderResponse(err))
	err = toStoreError(err)
	require.True(t, errors.Is(err, entry.ErrRefusedSince))
	require.False(t, errors.Is(err, durable.ErrUnknown))
}

// Guards against an unknown outcome for a job that was cancelled before it was stored, or for a
// cancellation that the leader did not record because of its limit.
func TestRefusalsForCancellationsAreToldBetweenPeers(t *testing.T) {
	err := toTwirpError(entry.ErrCancelledBefore)
	require.True(t, isLeaderResponse(err))
	err = toStoreError(err)
	require.True(t, errors.Is(err, entry.ErrCancelledBefore))
	require.False(t, errors.Is(err, entry.ErrRefusedSince))
	require.False(t, errors.Is(err, durable.ErrUnknown))

	err = toStoreError(toTwirpError(entry.ErrCancelLimit))
	require.True(t, errors.Is(err, durable.ErrRefused))
	require.False(t, errors.Is(err, durable.ErrUnknown))
}
