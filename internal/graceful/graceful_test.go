package graceful

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newBlockingServer returns a server whose handler waits until release is closed.
func newBlockingServer(release chan struct{}) *Server {
	return New(&http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusTeapot)
	})})
}

// serve starts s on the loopback interface. serveErr receives the result of Serve.
func serve(t *testing.T, s *Server) (address string, serveErr chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	serveErr = make(chan error, 1)
	go func() { serveErr <- s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String(), serveErr
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn
}

func sendRequest(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
}

func requireResponse(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusTeapot, resp.StatusCode)
	return resp
}

// beginStop calls Stop in the background and returns once the listener is closed. The
// channel receives the result of Stop.
func beginStop(t *testing.T, s *Server, address string, timeout time.Duration) chan error {
	t.Helper()
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	go func() { done <- s.Stop(ctx) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, 5*time.Second, time.Millisecond)
	return done
}

func closeChan(c chan struct{}) chan struct{} {
	close(c)
	return c
}

// Guards against a stop that drops a request in progress.
func TestRequestInProgressIsAnswered(t *testing.T) {
	release := make(chan struct{})
	s := newBlockingServer(release)
	address, serveErr := serve(t, s)
	conn := dial(t, address)
	sendRequest(t, conn)
	require.Eventually(t, s.hasPending, time.Second, time.Millisecond)
	done := beginStop(t, s, address, 5*time.Second)
	select {
	case err := <-done:
		require.Fail(t, "Stop returned before the request in progress was answered", "%v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	require.True(t, requireResponse(t, conn).Close)
	require.NoError(t, <-done)
	require.ErrorIs(t, <-serveErr, http.ErrServerClosed)
}

// Guards against closing a connection without a response when it was accepted before the
// stop and sends its first request during it.
func TestFirstRequestDuringTheStopIsAnswered(t *testing.T) {
	s := newBlockingServer(closeChan(make(chan struct{})))
	address, _ := serve(t, s)
	conn := dial(t, address)
	require.Eventually(t, s.hasPending, time.Second, time.Millisecond)
	done := beginStop(t, s, address, 5*time.Second)
	sendRequest(t, conn)
	require.True(t, requireResponse(t, conn).Close)
	require.NoError(t, <-done)
}

// Guards against requests that are read but not answered when many connections are opened
// and used as the stop begins. A connection whose request is not read is refused or reset.
func TestStopAnswersEachRequestRead(t *testing.T) {
	for range 20 {
		s := newBlockingServer(closeChan(make(chan struct{})))
		var read, answered int
		var mu sync.Mutex
		s.http.ConnState = func(c net.Conn, state http.ConnState) {
			s.trackConn(c, state)
			if state == http.StateActive {
				mu.Lock()
				read++
				mu.Unlock()
			}
		}
		address, _ := serve(t, s)
		var clients sync.WaitGroup
		for range 8 {
			clients.Go(func() {
				for range 30 {
					conn, err := net.Dial("tcp", address)
					if err != nil {
						return
					}
					_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err == nil {
						_ = resp.Body.Close()
						mu.Lock()
						answered++
						mu.Unlock()
					}
					_ = conn.Close()
				}
			})
		}
		time.Sleep(3 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		require.NoError(t, s.Stop(ctx))
		cancel()
		clients.Wait()
		require.Equal(t, read, answered)
	}
}

// Guards against a client that sends nothing and delays the stop by more than the
// server's ReadHeaderTimeout.
func TestIdleConnectionDelaysStopForBoundedTime(t *testing.T) {
	s := newBlockingServer(closeChan(make(chan struct{})))
	address, _ := serve(t, s)
	dial(t, address)
	require.Eventually(t, s.hasPending, time.Second, time.Millisecond)
	began := time.Now()
	require.NoError(t, s.Stop(t.Context()))
	require.Less(t, time.Since(began), 3*time.Second)
}

// Guards against a stop that waits for requests in progress beyond its context.
func TestStopEndsWithItsContext(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	s := newBlockingServer(release)
	address, _ := serve(t, s)
	sendRequest(t, dial(t, address))
	require.Eventually(t, s.hasPending, time.Second, time.Millisecond)
	require.ErrorIs(t, <-beginStop(t, s, address, 50*time.Millisecond), context.DeadlineExceeded)
}

// Guards against a listener that is served, or left open, after the server was stopped.
func TestListenerAfterTheStopIsRefused(t *testing.T) {
	s := newBlockingServer(nil)
	_, serveErr := serve(t, s)
	require.NoError(t, s.Stop(t.Context()))
	require.ErrorIs(t, <-serveErr, http.ErrServerClosed)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.ErrorIs(t, s.Serve(ln), http.ErrServerClosed)
	require.Error(t, ln.Close(), "closed by Serve")
}
