package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/scheduling"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// decodeVersion decodes a configuration whose value is its version number.
func decodeVersion(value []byte) (*batch.Config, error) {
	c := &batch.Config{}
	if _, err := fmt.Sscan(string(value), &c.Version); err != nil {
		return nil, errors.Wrap(err, "version")
	}
	return c, nil
}

func quietLog() *eventlog.Log { return eventlog.New(io.Discard, logrus.PanicLevel) }

func newTestConfiguration() *configuration { return newConfiguration(decodeVersion, quietLog()) }

func versionItem(n int64) *durable.Item {
	return &durable.Item{Value: fmt.Appendf(nil, "%d", n), Revision: 10 * n}
}

// An older configuration, from an overtaken response or from a peer that is behind, is never
// installed. One that can't be decoded leaves the last one in force and is reported as
// unreadable.
func TestOlderConfigurationIsNeverInstalled(t *testing.T) {
	c := newTestConfiguration()
	c.install(versionItem(3), "store")
	c.install(versionItem(2), "peer")
	require.EqualValues(t, 3, c.inForce.Load().Version)
	c.recordConfirmation(steady.Now())
	_, ok := c.inForceConfirmedAge()
	require.True(t, ok)
	c.install(&durable.Item{Value: []byte("?"), Revision: 40}, "store")
	require.EqualValues(t, 3, c.inForce.Load().Version)
	require.EqualValues(t, 40, c.unreadableRevision())
	_, ok = c.inForceConfirmedAge()
	require.False(t, ok, "a newer configuration exists that can't be decoded")
	c.install(versionItem(5), "peer")
	require.EqualValues(t, 5, c.inForce.Load().Version)
	require.Zero(t, c.unreadableRevision())
}

// fakeConfigPeer simulates a peer that responds with its configuration and peers, and counts
// calls.
type fakeConfigPeer struct {
	scheduling.Scheduling
	config *configuration
	peers  []string
	calls  atomic.Int64
}

func (p *fakeConfigPeer) Config(_ context.Context, r *scheduling.ConfigRequest) (*scheduling.ConfigResponse, error) {
	p.calls.Add(1)
	resp := p.config.configResponse(r)
	resp.Peers = p.peers
	return resp, nil
}

func servePeer(t *testing.T, p *fakeConfigPeer) string {
	server := httptest.NewServer(scheduling.NewSchedulingServer(p))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// A process without access to the store has a version that a peer holds within 2 s, even if the
// leader is behind and other peers are gone. No peer is asked while the store responds.
func TestConfigurationIsLearntFromPeers(t *testing.T) {
	current, behind := &fakeConfigPeer{config: newTestConfiguration()}, &fakeConfigPeer{config: newTestConfiguration()}
	current.config.install(versionItem(2), "store")
	behind.config.install(versionItem(1), "store")
	currentAddress := servePeer(t, current)
	// Only the leader is known initially; its peers are one process that is gone and one that
	// is current.
	behind.peers = []string{"127.0.0.1:1", currentAddress}
	lead := leader.Record{Address: servePeer(t, behind)}
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				current.config.recordStoreRead(steady.Now())
			}
		}
	}()
	defer close(stop)

	c := newTestConfiguration()
	c.install(versionItem(1), "store")
	c.recordStoreRead(steady.Now())
	p := &configFetcher{
		config: c, evacuations: newTestEvacuations(), peers: &peerAddresses{self: "127.0.0.1:2"}, leader: func() (leader.Record, bool) { return lead, true },
		onLeaderReported: func(leader.Record, int64, string) {}, onPeerResponse: func(string) {},
		client: &http.Client{}, log: quietLog(), wake: make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Serve(ctx) }()
	defer func() {
		cancel()
		require.ErrorIs(t, <-ended, context.Canceled)
	}()
	for end := steady.Now() + askPeersDelay; steady.Now() < end; time.Sleep(100 * time.Millisecond) {
		c.recordStoreRead(steady.Now())
	}
	require.Zero(t, behind.calls.Load(), "a peer was asked although the store responds")
	hasVersion := func(want int64) func() bool { return func() bool { return c.inForce.Load().Version == want } }
	require.Eventually(t, hasVersion(2), 2*time.Second, 10*time.Millisecond)
	current.config.install(versionItem(3), "store")
	require.Eventually(t, hasVersion(3), time.Second, 10*time.Millisecond)
	age, ok := c.confirmedAge()
	require.True(t, ok)
	require.Less(t, age, 2*time.Second)
}

// Requests for nonexistent queues, however many, must not make a process ask its peers more
// often than once per minRoundInterval.
func TestPeerQueriesAreRateLimited(t *testing.T) {
	peer := &fakeConfigPeer{config: newTestConfiguration()}
	lead := leader.Record{Address: servePeer(t, peer)}
	p := &configFetcher{
		config: newTestConfiguration(), evacuations: newTestEvacuations(), peers: &peerAddresses{}, leader: func() (leader.Record, bool) { return lead, true },
		onLeaderReported: func(leader.Record, int64, string) {}, onPeerResponse: func(string) {},
		client: &http.Client{}, log: quietLog(), wake: make(chan struct{}, 1),
	}
	const duration = time.Second
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			p.trigger()
			time.Sleep(time.Millisecond)
		}
	}()
	require.ErrorIs(t, p.Serve(ctx), context.DeadlineExceeded)
	require.Positive(t, peer.calls.Load())
	require.LessOrEqual(t, peer.calls.Load(), int64(duration/minRoundInterval)+1)
}

// The kept addresses are bounded, and include neither the process itself nor removed ones.
func TestAddressesAreBounded(t *testing.T) {
	a := &peerAddresses{self: "self"}
	a.add("self", "", "p0", "p0")
	require.Equal(t, []string{"p0"}, a.list(""))
	for i := range 50 {
		a.add(fmt.Sprintf("p%d", i))
	}
	require.Len(t, a.list(""), maxPeerAddresses)
	first := a.list("")[0]
	require.NotContains(t, a.list(first), first)
	a.remove(first)
	require.NotContains(t, a.list(""), first)
}

// Guards against callers that are told to come back at once during an outage for all, and against
// callers that wait although only this process has lost the store.
func TestPeersTellAnOutageForAllFromACut(t *testing.T) {
	peer := &fakeConfigPeer{config: newTestConfiguration()}
	peer.config.install(versionItem(1), "store")
	address := servePeer(t, peer)
	c := newTestConfiguration()
	c.install(versionItem(1), "store")
	p := &configFetcher{
		config: c, evacuations: newTestEvacuations(), peers: &peerAddresses{self: "127.0.0.1:2"}, leader: func() (leader.Record, bool) { return leader.Record{Address: address}, true },
		onLeaderReported: func(leader.Record, int64, string) {}, onPeerResponse: func(string) {},
		client: &http.Client{}, log: quietLog(), wake: make(chan struct{}, 1),
	}
	round := func(forCaller bool) { p.recordRound(p.askPeers(t.Context(), 0), forCaller) }
	round(true)
	require.False(t, p.peersLackStore(), "a round for a caller asks for more than a recent response")
	round(false)
	require.True(t, p.peersLackStore())
	peer.config.recordStoreRead(steady.Now())
	round(false)
	require.False(t, p.peersLackStore())
}
