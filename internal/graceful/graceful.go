// Package graceful stops HTTP servers without cutting off a request.
//
// [http.Server.Shutdown] waits for a connection that has sent nothing yet, but closes
// it unanswered when its first request is read. A [Server] therefore shuts down only
// once each connection that it took has been answered.
package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// Server is an HTTP server for one listener at a time.
type Server struct {
	http *http.Server

	mu       sync.Mutex
	listener net.Listener
	stopping bool
	// pendingConns are connections whose first request is to come, or whose request is
	// under way.
	pendingConns map[net.Conn]struct{}
	// drained is told when awaited becomes empty.
	drained chan struct{}
	// serveMu is held while a listener is served.
	serveMu sync.Mutex
}

// New wraps a server, whose ConnState must be free and whose ReadHeaderTimeout bounds
// how long a stop waits for a connection that sends nothing.
func New(s *http.Server) *Server {
	g := &Server{http: s, pendingConns: map[net.Conn]struct{}{}, drained: make(chan struct{}, 1)}
	s.ConnState = g.trackConn
	return g
}

// Addr is the address of the wrapped server.
func (s *Server) Addr() string { return s.http.Addr }

// SetHandler sets what answers; call it before Serve.
func (s *Server) SetHandler(h http.Handler) { s.http.Handler = h }

// Serve takes connections until the listener fails. It returns [http.ErrServerClosed]
// once Stop or Close has been called, also when it is called after them.
func (s *Server) Serve(ln net.Listener) error {
	s.serveMu.Lock()
	defer s.serveMu.Unlock()
	s.mu.Lock()
	s.listener = ln
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		_ = ln.Close()
		return http.ErrServerClosed
	}
	err := s.http.Serve(ln)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return http.ErrServerClosed
	}
	return err
}

// Stop closes the listener and returns once all connections are answered and closed,
// or with the error of ctx. No connection is taken afterwards.
func (s *Server) Stop(ctx context.Context) error {
	s.http.SetKeepAlivesEnabled(false)
	s.mu.Lock()
	s.stopping = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	// Once the accept loop has returned, each connection it took has been observed.
	s.serveMu.Lock()
	defer s.serveMu.Unlock()
	for s.hasPending() {
		select {
		case <-s.drained:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "requests are under way")
		}
	}
	return errors.Wrap(s.http.Shutdown(ctx), "shut down")
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	return s.http.Close()
}

func (s *Server) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pendingConns) > 0
}

// trackConn is told of each change of a connection.
func (s *Server) trackConn(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		s.pendingConns[conn] = struct{}{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(s.pendingConns, conn)
		if len(s.pendingConns) == 0 {
			select {
			case s.drained <- struct{}{}:
			default:
			}
		}
	}
}
