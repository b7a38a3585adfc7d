package capacity

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rattanwall/rattanwall/internal/harness"
	"github.com/rattanwall/rattanwall/internal/netio"
)

// Kind is the kind of server that a connection goes to.
type Kind string

// The kinds of control traffic of a node, by the server.
const (
	KindStore  Kind = "store"
	KindAgent  Kind = "agent"
	KindTarget Kind = "target"
	KindPeer   Kind = "peer"
)

// Kinds lists the kinds in the order of the report.
var Kinds = []Kind{KindStore, KindPeer, KindAgent, KindTarget}

// counters counts the bytes that nodes send and receive on the connections they open, in both
// directions, by kind. Connections opened by peers are not counted: that is the same traffic at
// the other end.
type counters struct {
	mu     sync.Mutex
	byPort map[string]Kind
	bytes  map[Kind]*atomic.Int64
}

func newCounters() *counters {
	c := &counters{byPort: map[string]Kind{}, bytes: map[Kind]*atomic.Int64{}}
	for _, k := range Kinds {
		c.bytes[k] = &atomic.Int64{}
	}
	return c
}

// setKind sets the kind of server at an address. Addresses without a kind are peers.
func (c *counters) setKind(address string, k Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byPort[address] = k
}

func (c *counters) kindOf(address string) Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k, ok := c.byPort[address]; ok {
		return k
	}
	return KindPeer
}

func (c *counters) snapshot() map[Kind]int64 {
	now := map[Kind]int64{}
	for k, n := range c.bytes {
		now[k] = n.Load()
	}
	return now
}

// countingHosts puts all hosts on loopback and counts the traffic of nodes.
type countingHosts struct {
	counters *counters
	nodes    map[string]bool
}

// Host implements harness.Hosts.
func (h countingHosts) Host(name string) (network netio.Network, ip string) {
	network, ip = harness.Loopback{}.Host(name)
	if h.nodes[name] {
		network = countingNetwork{network, h.counters}
	}
	return network, ip
}

// countingNetwork counts the bytes on the connections that are opened through it.
type countingNetwork struct {
	netio.Network
	counters *counters
}

// DialContext implements netio.Network.
func (n countingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, n.counters, address}, nil
}

type countingConn struct {
	net.Conn
	counters *counters
	address  string
}

func (c *countingConn) add(n int) { c.counters.bytes[c.counters.kindOf(c.address)].Add(int64(n)) }

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.add(n)
	return n, err
}
