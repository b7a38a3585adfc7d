// Package fakenet is an in-memory network for tests under testing/synctest.
// Hosts listen and connect by ip:port; a test can kill a host, partition hosts
// from each other, or make open connections drop all data.
package fakenet

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rattanwall/rattanwall/internal/netio"
)

// firstPort is one below the first port assigned to a listener on port 0 or to a
// connection.
const firstPort = 10000

// Network connects hosts by IP address. Its hosts need no registration.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	endpoints map[*endpoint]struct{}
	blocked   func(from, to string) bool
	healed    chan struct{}
	nextPort  int
}

// New returns a network without hosts.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{}, endpoints: map[*endpoint]struct{}{},
		blocked: func(string, string) bool { return false }, healed: make(chan struct{}), nextPort: firstPort,
	}
}

// Host returns the network as the host with that IP address sees it.
func (n *Network) Host(ip string) netio.Network { return &host{network: n, ip: ip} }

// SetCut holds back the data from one IP address to another for which cut
// returns true, until a later SetCut allows it. cut may block one direction
// only.
func (n *Network) SetCut(cut func(from, to string) bool) {
	n.mu.Lock()
	n.blocked = cut
	close(n.healed)
	n.healed = make(chan struct{})
	var deliver []*endpoint
	for e := range n.endpoints {
		if !cut(e.ip, e.peer.ip) {
			deliver = append(deliver, e)
		}
	}
	n.mu.Unlock()
	for _, e := range deliver {
		e.deliver()
	}
}

// Silence makes all connections now open between two hosts drop all further
// data in both directions, permanently. New connections work.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for e := range n.endpoints {
		if e.ip == a && e.peer.ip == b || e.ip == b && e.peer.ip == a {
			e.mu.Lock()
			e.blackholed = true
			e.mu.Unlock()
		}
	}
}

// Kill resets all connections of a host and closes its listeners, as a crash
// of its process does.
func (n *Network) Kill(ip string) {
	n.mu.Lock()
	var reset []*endpoint
	for e := range n.endpoints {
		if e.ip == ip {
			reset = append(reset, e)
		}
	}
	for address, l := range n.listeners {
		if l.ip == ip {
			delete(n.listeners, address)
			l.markClosed()
		}
	}
	n.mu.Unlock()
	for _, e := range reset {
		e.abort(syscall.ECONNRESET)
	}
}

func (n *Network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked(from, to)
}

// host is a Network as seen from one IP address.
type host struct {
	network *Network
	ip      string
}

// Listen implements netio.Network.
func (h *host) Listen(address string) (net.Listener, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == "0" {
		n.nextPort++
		port = strconv.Itoa(n.nextPort)
	}
	full := net.JoinHostPort(h.ip, port)
	if n.listeners[full] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, ip: h.ip, address: full, queue: make(chan net.Conn, 1024), closed: make(chan struct{})}
	n.listeners[full] = l
	return l, nil
}

// DialContext implements netio.Network.
func (h *host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for n.isBlocked(h.ip, to) || n.isBlocked(to, h.ip) {
		n.mu.Lock()
		healed := n.healed
		n.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		case <-healed:
		}
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	client, server := n.newConnPair(h.ip, to)
	select {
	case l.queue <- server:
		return client, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
}

// newConnPair returns the two endpoints of a new connection.
func (n *Network) newConnPair(a, b string) (client, server *endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextPort++
	client = newEndpoint(n, a, n.nextPort)
	server = newEndpoint(n, b, n.nextPort)
	client.peer, server.peer = server, client
	n.endpoints[client], n.endpoints[server] = struct{}{}, struct{}{}
	return client, server
}

// listener implements net.Listener.
type listener struct {
	network *Network
	ip      string
	address string
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) markClosed() { l.once.Do(func() { close(l.closed) }) }

// Close implements net.Listener.
func (l *listener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	l.network.mu.Unlock()
	l.markClosed()
	for {
		select {
		case c := <-l.queue:
			_ = c.Close()
		default:
			return nil
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
