package fakenet

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// receiveBufferSize is the number of unread bytes at a receiver above which
// the sender blocks.
const receiveBufferSize = 256 << 10

// endpoint is one end of a connection, with the data sent to it and not yet
// read.
type endpoint struct {
	network *Network
	ip      string
	port    int
	peer    *endpoint

	mu   sync.Mutex
	cond *sync.Cond
	// received has arrived and is not yet read; undelivered was sent by this
	// endpoint while the network blocked it.
	received    []byte
	undelivered []byte
	// closePending is set when this endpoint was closed with undelivered data.
	closePending bool
	err          error
	closed       bool
	blackholed   bool
	readDeadline time.Time
	timer        *time.Timer
}

func newEndpoint(n *Network, ip string, port int) *endpoint {
	e := &endpoint{network: n, ip: ip, port: port}
	e.cond = sync.NewCond(&e.mu)
	return e
}

// Read implements net.Conn.
func (e *endpoint) Read(b []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		switch {
		case e.closed:
			return 0, net.ErrClosed
		case !e.readDeadline.IsZero() && !time.Now().Before(e.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case len(e.received) > 0:
			n := copy(b, e.received)
			e.received = e.received[n:]
			e.cond.Broadcast()
			return n, nil
		case e.err != nil:
			return 0, e.err
		}
		e.cond.Wait()
	}
}

// Write implements net.Conn.
func (e *endpoint) Write(b []byte) (int, error) {
	blocked := e.network.isBlocked(e.ip, e.peer.ip)
	e.mu.Lock()
	if e.closed || e.err != nil && !errors.Is(e.err, io.EOF) {
		e.mu.Unlock()
		return 0, syscall.EPIPE
	}
	if e.blackholed {
		e.mu.Unlock()
		return len(b), nil
	}
	if blocked || len(e.undelivered) > 0 {
		e.undelivered = append(e.undelivered, b...)
		e.mu.Unlock()
		return len(b), nil
	}
	e.mu.Unlock()
	return e.peer.receive(b)
}

func (e *endpoint) receive(b []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.received) > receiveBufferSize && !e.closed && e.err == nil {
		e.cond.Wait()
	}
	if e.closed {
		return 0, syscall.ECONNRESET
	}
	e.received = append(e.received, b...)
	e.cond.Broadcast()
	return len(b), nil
}

// deliver sends the data that was written while the network blocked it.
func (e *endpoint) deliver() {
	e.mu.Lock()
	undelivered, closing := e.undelivered, e.closePending
	e.undelivered, e.closePending = nil, false
	blackholed := e.blackholed
	e.mu.Unlock()
	if len(undelivered) > 0 && !blackholed {
		_, _ = e.peer.receive(undelivered)
	}
	if closing && !blackholed {
		e.peer.fail(io.EOF)
	}
}

// fail makes reads at this endpoint return err after the received data.
func (e *endpoint) fail(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err == nil {
		e.err = err
	}
	e.cond.Broadcast()
}

// abort closes this endpoint and resets the other.
func (e *endpoint) abort(err error) {
	e.markClosed()
	if !e.network.isBlocked(e.ip, e.peer.ip) {
		e.peer.fail(err)
	}
}

func (e *endpoint) markClosed() {
	e.network.mu.Lock()
	delete(e.network.endpoints, e)
	e.network.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.timer != nil {
		e.timer.Stop()
	}
	e.cond.Broadcast()
}

// Close implements net.Conn.
func (e *endpoint) Close() error {
	blocked := e.network.isBlocked(e.ip, e.peer.ip)
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return net.ErrClosed
	}
	blackholed := e.blackholed
	if blocked || len(e.undelivered) > 0 {
		// The endpoint stays registered so that its data is delivered later.
		e.closePending, e.closed = true, true
		e.cond.Broadcast()
		e.mu.Unlock()
		return nil
	}
	e.mu.Unlock()
	e.markClosed()
	if !blackholed {
		e.peer.fail(io.EOF)
	}
	return nil
}

// SetLinger resets the connection, as (*net.TCPConn).SetLinger(0) makes Close
// do.
func (e *endpoint) SetLinger(int) error {
	e.abort(syscall.ECONNRESET)
	return nil
}

// LocalAddr implements net.Conn.
func (e *endpoint) LocalAddr() net.Addr { return addr(net.JoinHostPort(e.ip, strconv.Itoa(e.port))) }

// RemoteAddr implements net.Conn.
func (e *endpoint) RemoteAddr() net.Addr { return e.peer.LocalAddr() }

// SetDeadline implements net.Conn.
func (e *endpoint) SetDeadline(t time.Time) error { return e.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (e *endpoint) SetReadDeadline(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readDeadline = t
	if e.timer != nil {
		e.timer.Stop()
		e.timer = nil
	}
	if !t.IsZero() && !e.closed {
		e.timer = time.AfterFunc(time.Until(t), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.cond.Broadcast()
		})
	}
	e.cond.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn. It has no effect: writes block only
// while the receiver's buffer is full.
func (e *endpoint) SetWriteDeadline(time.Time) error { return nil }
