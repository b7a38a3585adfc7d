// Package graceful stops HTTP servers without dropping requests.
//
// [http.Server.Shutdown] waits for a connection that has sent nothing yet, but closes
// it without a response when its first request is read. A [Server] therefore shuts down
// only after every accepted connection has received a response.
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
	// pendingConns are the connections whose first request has not arrived or whose
	// request is in progress.
	pendingConns map[net.Conn]struct{}
	// drained receives a value when pendingConns becomes empty.
	drained chan struct{}
	// serveMu is held while a listener is served.
	serveMu sync.Mutex
}

// New wraps s and sets its ConnState hook, which must be unused. The ReadHeaderTimeout
// of s bounds how long Stop waits for a connection that sends nothing.
func New(s *http.Server) *Server {
	g := &Server{http: s, pendingConns: map[net.Conn]struct{}{}, drained: make(chan struct{}, 1)}
	s.ConnState = g.trackConn
	return g
}

// Addr returns the configured address of the wrapped server.
func (s *Server) Addr() string { return s.http.Addr }

// SetHandler sets the handler of all requests. It must be called before Serve.
func (s *Server) SetHandler(h http.Handler) { s.http.Handler = h }

// Serve accepts connections until the listener fails. It returns [http.ErrServerClosed]
// if Stop or Close has been called, even before Serve.
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

// Stop closes the listener, waits until all connections have received a response, and
// closes them. It returns the error of ctx if that ends first. No connection is accepted
// afterwards.
func (s *Server) Stop(ctx context.Context) error {
	s.http.SetKeepAlivesEnabled(false)
	s.mu.Lock()
	s.stopping = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	// Once the accept loop has returned, trackConn has seen every accepted connection.
	s.serveMu.Lock()
	defer s.serveMu.Unlock()
	for s.hasPending() {
		select {
		case <-s.drained:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for requests in progress")
		}
	}
	return errors.Wrap(s.http.Shutdown(ctx), "shut down HTTP server")
}

// Close closes the listener and all connections immediately.
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

// trackConn is the server's ConnState hook. It updates pendingConns.
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
