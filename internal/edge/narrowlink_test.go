package edge

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// narrowLink limits what all connections of a client receive together.
type narrowLink struct {
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time
}

func (l *narrowLink) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &narrowConn{Conn: c, link: l}, err
	}}}
}

// occupy waits until the link has transferred n bytes.
func (l *narrowLink) occupy(n int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// narrowConn is a connection over a narrow link.
type narrowConn struct {
	net.Conn
	link *narrowLink
}

// maxNarrowRead is the number of bytes that a connection receives at a time.
const maxNarrowRead = 4 << 10

// Read implements net.Conn.
func (c *narrowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), maxNarrowRead)])
	c.link.occupy(n)
	return n, err
}

// Guards against processes that keep an old configuration for seconds after a cut while the store
// turns them away: a configuration of a thousand queues takes longer over a narrow link than one
// call to a peer may, and transfers from several peers at a time were all aborted and repeated.
func TestLargeConfigurationArrivesFromPeersOverNarrowLink(t *testing.T) {
	t.Parallel()
	const size, bytesPerSecond = 250_000, 500_000
	newer := func(p *fakeConfigPeer, n int64) {
		item := versionItem(n)
		p.config.install(&durable.Item{Value: append(item.Value, strings.Repeat(" ", size)...), Revision: item.Revision}, "store")
		p.config.recordStoreRead(steady.Now())
	}
	peers := make([]*fakeConfigPeer, 6)
	addresses := make([]string, len(peers))
	for i := range peers {
		peers[i] = &fakeConfigPeer{config: newTestConfiguration()}
		newer(peers[i], 2)
		addresses[i] = servePeer(t, peers[i])
	}
	c := newTestConfiguration()
	c.install(versionItem(1), "store")
	link := &narrowLink{bytesPerSecond: bytesPerSecond}
	p := &configFetcher{
		config: c, evacuations: newTestEvacuations(), peers: &peerAddresses{self: "127.0.0.1:2"}, leader: func() (leader.Record, bool) { return leader.Record{Address: addresses[0]}, true },
		onLeaderReported: func(leader.Record, int64, string) {}, onPeerResponse: func(string) {},
		client: link.client(), log: quietLog(), wake: make(chan struct{}, 1),
	}
	p.peers.add(addresses...)
	began := time.Now()
	require.True(t, p.askPeers(t.Context(), 0))
	require.EqualValues(t, 2, c.inForce.Load().Version)
	// A version has to be in force 3 s after its acknowledgement, and peers are asked after 1.4 s.
	require.Less(t, time.Since(began), 1600*time.Millisecond)
	for _, peer := range peers {
		newer(peer, 3)
	}
	require.True(t, p.askPeers(t.Context(), 0))
	require.EqualValues(t, 3, c.inForce.Load().Version)
}
