// Package netio is how a process listens and connects. Production uses TCP;
// tests use package fakenet, which loses, delays and cuts what they ask for.
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
	// DialContext has the signature that http.Transport wants; network is "tcp".
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// dialTimeout bounds connecting; past it the other side was not reached.
const dialTimeout = time.Second

// TCP is the real network.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// DialContext implements Network.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, address)
}

// idleTimeout closes connections of Client that nobody uses.
const idleTimeout = 30 * time.Second

// Client returns an HTTP client over n that keeps up to idle connections open
// to each address.
func Client(n Network, idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: n.DialContext, MaxIdleConnsPerHost: idle, IdleConnTimeout: idleTimeout,
	}}
}
