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

// window is how much may wait at a receiver before the sender has to wait.
const window = 256 << 10

// end is one end of a connection: what was sent to it and not yet read.
type end struct {
	network *Network
	ip      string
	port    int
	peer    *end

	mu   sync.Mutex
	cond *sync.Cond
	// in arrived; held was sent by this end and waits for the network to heal.
	in   []byte
	held []byte
	// heldClose: this end was closed while its bytes were held.
	heldClose bool
	err       error
	closed    bool
	silent    bool
	readBy    time.Time
	timer     *time.Timer
}

func newEnd(n *Network, ip string, port int) *end {
	e := &end{network: n, ip: ip, port: port}
	e.cond = sync.NewCond(&e.mu)
	return e
}

// Read implements net.Conn.
func (e *end) Read(b []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		switch {
		case e.closed:
			return 0, net.ErrClosed
		case !e.readBy.IsZero() && !time.Now().Before(e.readBy):
			return 0, os.ErrDeadlineExceeded
		case len(e.in) > 0:
			n := copy(b, e.in)
			e.in = e.in[n:]
			e.cond.Broadcast()
			return n, nil
		case e.err != nil:
			return 0, e.err
		}
		e.cond.Wait()
	}
}

// Write implements net.Conn.
func (e *end) Write(b []byte) (int, error) {
	cut := e.network.isCut(e.ip, e.peer.ip)
	e.mu.Lock()
	if e.closed || e.err != nil && !errors.Is(e.err, io.EOF) {
		e.mu.Unlock()
		return 0, syscall.EPIPE
	}
	if e.silent {
		e.mu.Unlock()
		return len(b), nil
	}
	if cut || len(e.held) > 0 {
		e.held = append(e.held, b...)
		e.mu.Unlock()
		return len(b), nil
	}
	e.mu.Unlock()
	return e.peer.receive(b)
}

func (e *end) receive(b []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.in) > window && !e.closed && e.err == nil {
		e.cond.Wait()
	}
	if e.closed {
		return 0, syscall.ECONNRESET
	}
	e.in = append(e.in, b...)
	e.cond.Broadcast()
	return len(b), nil
}

// deliver sends what was held while the network was cut.
func (e *end) deliver() {
	e.mu.Lock()
	held, closing := e.held, e.heldClose
	e.held, e.heldClose = nil, false
	silent := e.silent
	e.mu.Unlock()
	if len(held) > 0 && !silent {
		_, _ = e.peer.receive(held)
	}
	if closing && !silent {
		e.peer.fail(io.EOF)
	}
}

// fail ends reading at this end, after what has arrived.
func (e *end) fail(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err == nil {
		e.err = err
	}
	e.cond.Broadcast()
}

// abort closes this end and resets the other.
func (e *end) abort(err error) {
	e.shut()
	if !e.network.isCut(e.ip, e.peer.ip) {
		e.peer.fail(err)
	}
}

func (e *end) shut() {
	e.network.mu.Lock()
	delete(e.network.ends, e)
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
func (e *end) Close() error {
	cut := e.network.isCut(e.ip, e.peer.ip)
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return net.ErrClosed
	}
	silent := e.silent
	if cut || len(e.held) > 0 {
		// The end stays known, so that what it holds arrives later.
		e.heldClose, e.closed = true, true
		e.cond.Broadcast()
		e.mu.Unlock()
		return nil
	}
	e.mu.Unlock()
	e.shut()
	if !silent {
		e.peer.fail(io.EOF)
	}
	return nil
}

// SetLinger makes Close send a reset, as (*net.TCPConn).SetLinger(0) does.
func (e *end) SetLinger(int) error {
	e.abort(syscall.ECONNRESET)
	return nil
}

// LocalAddr implements net.Conn.
func (e *end) LocalAddr() net.Addr { return addr(net.JoinHostPort(e.ip, strconv.Itoa(e.port))) }

// RemoteAddr implements net.Conn.
func (e *end) RemoteAddr() net.Addr { return e.peer.LocalAddr() }

// SetDeadline implements net.Conn.
func (e *end) SetDeadline(t time.Time) error { return e.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (e *end) SetReadDeadline(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readBy = t
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

// SetWriteDeadline implements net.Conn. Writes do not wait for long.
func (e *end) SetWriteDeadline(time.Time) error { return nil }
