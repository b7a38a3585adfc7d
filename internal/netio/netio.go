// Package netio abstracts how a process listens and connects. Production uses TCP;
// tests use package fakenet, which can lose and delay data and break connections.
package netio

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Network listens and connects by ip:port.
type Network interface {
	Listen(address string) (net.Listener, error)
	// DialContext has the signature that http.Transport needs; network is "tcp".
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// dialTimeout bounds the time to connect. A dial that exceeds it did not reach the
// other side.
const dialTimeout = time.Second

// TCP implements Network with the operating system's TCP.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// DialContext implements Network.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, address)
}

// idleTimeout is how long a client keeps an unused connection open.
const idleTimeout = 30 * time.Second

// Client returns an HTTP client over n that keeps up to idle connections open
// to each address.
func Client(n Network, idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: n.DialContext, MaxIdleConnsPerHost: idle, IdleConnTimeout: idleTimeout,
	}}
}
