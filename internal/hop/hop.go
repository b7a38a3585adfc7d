// Package hop sends one HTTP request to the next process, a peer or a target,
// and determines after a failure whether that process can have run it.
//
// When a connection stops responding or is reset, the sender cannot distinguish
// a request that was never received from one whose answer was lost. It would
// then repeat a booking that ran, or report one that ran as failed. A guarded
// request therefore withholds its body until the other side responds with
// "100 Continue" on the same connection. Until then the other side has only the
// headers, and a request without its body is never executed, so a request that
// is abandoned before its body is released did not run.
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

// Error describes a failed exchange.
type Error struct {
	// NotRun is set when the other side cannot have run the request.
	NotRun bool
	// Connected is set when a connection was established.
	Connected bool
	// Unresponsive is set when the other side did not respond on an open connection.
	Unresponsive bool
	cause        error
}

// Error implements error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

var (
	// errAbandoned is the read error of a body whose request was abandoned before
	// the body was released.
	errAbandoned = errors.New("request abandoned before its body was sent")
	// errUnresponsive cancels a request whose connection did not respond in time.
	errUnresponsive = errors.New("no response on the connection")
)

// Options configures a Client. Zero fields take the defaults below.
type Options struct {
	// MaxConnections bounds the connections open to one address, including idle
	// ones and those being dialled. Zero sets no bound.
	MaxConnections int
	// Network dials the connections; TCP if nil.
	Network netio.Network
	// IdleTimeout closes a connection that was unused for this long; default 5 s.
	// It is short because an idle connection may break without notice.
	IdleTimeout time.Duration
}

// SendPolicy controls when a request on an unresponsive connection is abandoned.
type SendPolicy struct {
	// Guarded withholds the body until the other side responds with "100 Continue".
	Guarded bool
	// Timeout bounds the wait for "100 Continue" or, for an unguarded request on a
	// reused connection, for the answer. Zero means no bound but the request's context.
	Timeout time.Duration
	// MayAbandon, if set, decides whether an unguarded request that timed out is
	// abandoned.
	MayAbandon func() bool
}

const (
	defaultIdleTimeout = 5 * time.Second
	// dialTimeout is short: all hops are within a few milliseconds, and a request
	// that could not connect is tried elsewhere.
	dialTimeout = 300 * time.Millisecond
	// effectivelyNever keeps the HTTP library from sending a guarded body without
	// "100 Continue".
	effectivelyNever = 365 * 24 * time.Hour
	// connBufferSize is the size of the HTTP library's buffers of a connection.
	connBufferSize = 8 << 10
)

// Client sends requests to one or more addresses over its own connection pool.
type Client struct {
	transport *http.Transport
	open      atomic.Int64
}

// NewClient returns a client without open connections.
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

// Open returns the number of open connections.
func (c *Client) Open() int64 { return c.open.Load() }

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// countedConn decrements the count of open connections when it is closed.
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

// The states of a gatedBody. It leaves gateHeld once, for one of the other two.
const (
	gateHeld int32 = iota
	gateReleased
	gateAbandoned
)

// gatedBody is a request body that can be abandoned until its first read.
type gatedBody struct {
	io.Reader
	state atomic.Int32
}

// Read releases the body, unless it was abandoned before.
func (g *gatedBody) Read(b []byte) (int, error) {
	if g.state.Load() != gateReleased && !g.state.CompareAndSwap(gateHeld, gateReleased) {
		return 0, errAbandoned
	}
	return g.Reader.Read(b)
}

// Close implements io.Closer. It does nothing: the body belongs to the caller of Do.
func (g *gatedBody) Close() error { return nil }

// abandon prevents the body from being read. It reports false when a read has
// already released it.
func (g *gatedBody) abandon() bool {
	return g.state.CompareAndSwap(gateHeld, gateAbandoned) || g.state.Load() == gateAbandoned
}

// emptyBody is an empty body that differs from http.NoBody. The HTTP library
// repeats a request without a body on its own when a reused connection breaks;
// with this body it does not, so that every repeat is counted and subject to the
// retry budget.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// Do sends r and returns the response with an unread body, which must be read to
// its end or closed. Errors are of type *Error.
//
// The body of a guarded request is read only after the other side has responded,
// so after an error with NotRun it can be sent elsewhere.
func (c *Client) Do(r *http.Request, p SendPolicy) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	watch := &responseWatch{policy: p, cancel: cancel}
	out := r.Clone(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: watch.gotConn}))
	out.GetBody = nil
	watch.prepareBody(out)
	resp, err := c.transport.RoundTrip(out)
	watch.stop()
	if err != nil {
		unresponsive := errors.Is(context.Cause(ctx), errUnresponsive)
		notRun := watch.notRun()
		cancel(nil)
		if unresponsive {
			// The fault may affect the idle connections too.
			c.CloseIdle()
		}
		return nil, &Error{NotRun: notRun, Connected: watch.connected.Load(), Unresponsive: unresponsive, cause: err}
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: func() { cancel(nil) }}
	return resp, nil
}

// responseWatch cancels a request whose connection does not respond in time.
type responseWatch struct {
	policy    SendPolicy
	cancel    context.CancelCauseFunc
	gate      *gatedBody
	connected atomic.Bool

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// prepareBody replaces the body of out by the one that the policy needs.
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
		// Set here so that the library does not read ahead to determine the length.
		out.ContentLength, out.TransferEncoding = -1, []string{"chunked"}
	}
	out.Header.Set("Expect", "100-continue")
}

// gotConn starts the timeout, which excludes the wait for a free connection. An
// unguarded request is timed only on a reused connection: a new one has just
// proved to work.
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

// notRun reports after a failure whether the other side cannot have run the
// request. It prevents a guarded body that was not read yet from being sent.
func (w *responseWatch) notRun() bool {
	if w.gate != nil {
		return w.gate.abandon()
	}
	return !w.connected.Load()
}

// cancelBody releases the request's context when the response body is closed.
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

// Bounded reports whether the end of the response body can be distinguished from
// a truncation: the body has a length, is chunked, or is absent. A body that ends
// with the connection is not bounded.
func Bounded(resp *http.Response) bool {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return true
	}
	return resp.Request != nil && resp.Request.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}
