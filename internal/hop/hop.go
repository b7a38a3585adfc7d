// Package hop sends one HTTP request to the next process, a peer or a target,
// and always knows afterwards whether that process can have run it.
//
// What goes wrong without it: a connection that has gone silent, or is reset,
// swallows a request; the sender cannot tell a request that was never seen from
// one whose answer was lost, and either repeats a booking or refuses one that
// ran. A guarded request therefore holds its body back until the other side
// says "100 Continue" on that very connection. Until then the other side has
// only headers, and a body that never arrives is never executed; so giving up
// before the body is released proves that the request did not run.
package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/netio"
)

// Error is a failed exchange.
type Error struct {
	// NotRun is set when the other side certainly did not run the request.
	NotRun bool
	// Connected is set when a connection was had.
	Connected bool
	// Unresponsive is set when the other side gave no sign of life on an open connection.
	Unresponsive bool
	cause        error
}

// Error implements error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

var (
	// errAbandoned ends a body that was given up before it was released.
	errAbandoned = errors.New("request given up before its body was sent")
	// errUnresponsive is the cause when no "100 Continue" came in time.
	errUnresponsive = errors.New("no sign of life on the connection")
)

// Options of a Client. Zero fields take the defaults below.
type Options struct {
	// MaxConnections bounds the connections open to one address, idle ones and
	// those being dialled included. Zero sets no bound.
	MaxConnections int
	// Network connects; TCP if not set.
	Network netio.Network
	// IdleTimeout closes a connection unused for so long; default 5 s. Short,
	// because a connection may go silent while nobody uses it.
	IdleTimeout time.Duration
}

// SendPolicy says how a request deals with a connection that shows no sign of life.
type SendPolicy struct {
	// Guarded holds the body back until the other side says "100 Continue".
	Guarded bool
	// Timeout is how long to wait for that, or, on a reused connection, for the
	// answer to a request that is not guarded. Zero waits as long as the request.
	Timeout time.Duration
	// MayAbandon, if set, is asked before an unguarded request is given up.
	MayAbandon func() bool
}

const (
	defaultIdleTimeout = 5 * time.Second
	// dialTimeout is short: all hops are within a few milliseconds, and what could
	// not be connected to is tried elsewhere.
	dialTimeout = 300 * time.Millisecond
	// effectivelyNever keeps the HTTP library from sending a guarded body by itself.
	effectivelyNever = 365 * 24 * time.Hour
	// connBufferSize is the size of the library's buffers for a connection.
	connBufferSize = 8 << 10
)

// Client sends requests to one or more addresses. Its connections are its own.
type Client struct {
	transport *http.Transport
	open      atomic.Int64
}

// NewClient returns a client with options o.
func NewClient(o Options) *Client {
	c := &Client{}
	if o.Network == nil {
		o.Network = netio.TCP{}
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := o.Network.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c.open.Add(1)
			return &countedConn{Conn: conn, open: &c.open}, nil
		},
		MaxConnsPerHost:       o.MaxConnections,
		MaxIdleConnsPerHost:   max(o.MaxConnections, 64),
		IdleConnTimeout:       o.IdleTimeout,
		ExpectContinueTimeout: effectivelyNever,
		DisableCompression:    true,
		ReadBufferSize:        connBufferSize,
		WriteBufferSize:       connBufferSize,
	}
	return c
}

// Open returns the number of connections open now.
func (c *Client) Open() int64 { return c.open.Load() }

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// countedConn counts itself out when closed.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// The states of a gate. It leaves gateHeld once, to one of the other two.
const (
	gateHeld int32 = iota
	gateReleased
	gateAbandoned
)

// gatedBody is a body that can be given up as long as no byte was asked of it.
type gatedBody struct {
	io.Reader
	state atomic.Int32
}

// Read releases the body, unless it was abandoned first.
func (g *gatedBody) Read(b []byte) (int, error) {
	if g.state.Load() != gateReleased && !g.state.CompareAndSwap(gateHeld, gateReleased) {
		return 0, errAbandoned
	}
	return g.Reader.Read(b)
}

// Close implements io.Closer; the body belongs to whoever made the request.
func (g *gatedBody) Close() error { return nil }

// abandon reports whether the body was never asked for, and never will be.
func (g *gatedBody) abandon() bool {
	return g.state.CompareAndSwap(gateHeld, gateAbandoned) || g.state.Load() == gateAbandoned
}

// emptyBody is a body of no bytes that is not http.NoBody. The HTTP library
// repeats a request without a body by itself when a reused connection breaks;
// with this body it does not, and the repeat stays our decision, counted and
// under the retry budget.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// Do sends r and returns the answer's head. An error is an *Error. The answer's
// body must be read to its end or closed.
//
// The body of a guarded request is read only once the other side has shown that
// it is there, so after an error with NotRun it may be sent elsewhere.
func (c *Client) Do(r *http.Request, p SendPolicy) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	watch := &responseWatch{policy: p, cancel: cancel}
	out := r.Clone(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: watch.gotConn}))
	out.GetBody = nil
	watch.prepareBody(out)
	resp, err := c.transport.RoundTrip(out)
	watch.stop()
	if err != nil {
		silent := errors.Is(context.Cause(ctx), errUnresponsive)
		notRun := watch.notRun()
		cancel(nil)
		if silent {
			// What swallowed this connection's bytes may have lost the others too.
			c.CloseIdle()
		}
		return nil, &Error{NotRun: notRun, Connected: watch.connected.Load(), Unresponsive: silent, cause: err}
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: func() { cancel(nil) }}
	return resp, nil
}

// responseWatch gives a request up when its connection shows no sign of life.
type responseWatch struct {
	policy    SendPolicy
	cancel    context.CancelCauseFunc
	gate      *gatedBody
	connected atomic.Bool

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// prepareBody gives out the body that the watch needs.
func (w *responseWatch) prepareBody(out *http.Request) {
	if !w.policy.Guarded {
		if out.Body == nil || out.Body == http.NoBody {
			out.Body, out.ContentLength = emptyBody{}, 0
		}
		return
	}
	w.gate = &gatedBody{Reader: out.Body}
	if out.Body == nil || out.Body == http.NoBody {
		w.gate.Reader = emptyBody{}
	}
	out.Body = w.gate
	if out.ContentLength <= 0 {
		// Named here so that the library does not read ahead to find the length.
		out.ContentLength, out.TransferEncoding = -1, []string{"chunked"}
	}
	out.Header.Set("Expect", "100-continue")
}

// gotConn starts the clock: waiting for a free connection is not silence, and
// an unguarded request is timed only on a connection that was used before,
// since it is open ones that go silent.
func (w *responseWatch) gotConn(info httptrace.GotConnInfo) {
	w.connected.Store(true)
	if w.policy.Timeout <= 0 || w.gate == nil && !info.Reused {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped && w.timer == nil {
		w.timer = time.AfterFunc(w.policy.Timeout, w.expired)
	}
}

func (w *responseWatch) expired() {
	switch {
	case w.gate != nil && !w.gate.abandon():
		return
	case w.gate == nil && w.policy.MayAbandon != nil && !w.policy.MayAbandon():
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.cancel(errUnresponsive)
	}
}

func (w *responseWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// notRun reports, after a failure, whether the other side cannot have run the
// request, and makes sure of it.
func (w *responseWatch) notRun() bool {
	if w.gate != nil {
		return w.gate.abandon()
	}
	return !w.connected.Load()
}

// cancelBody frees the request's context when its answer is closed.
type cancelBody struct {
	io.ReadCloser
	cancel func()
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// Bounded reports whether the end of the answer's body can be told from a
// cut-off: it has a length, is chunked, or has no body at all. An answer that
// is ended by closing the connection is not bounded.
func Bounded(resp *http.Response) bool {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return true
	}
	return resp.Request != nil && resp.Request.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}
