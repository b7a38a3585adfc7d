package worker

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/standin/record"
	wire "github.com/rattanwall/rattanwall/internal/target/httptarget"
)

// Faults that a request selects with its query parameter "fault". They apply to
// that request only.
const (
	// FaultResetEarly resets the connection before the body is read; the request does not run.
	FaultResetEarly = "reset-early"
	// FaultResetAfter runs the request, then resets without a response.
	FaultResetAfter = "reset-after"
	// FaultResetMid sends half of the response, then resets.
	FaultResetMid = "reset-mid"
	// FaultLate ignores the deadline and responds after it.
	FaultLate = "late"
	// FaultDuplicate sends the response twice on the connection.
	FaultDuplicate = "duplicate"
	// FaultWrongID responds with another request's ID.
	FaultWrongID = "wrong-id"
	// FaultCloseDelimited sends a response without a length, whose end is the
	// close of the connection.
	FaultCloseDelimited = "close-delimited"
)

// serveTarget serves requests at host, on the port of the VM's target address or
// any free one.
func (w *Worker) serveTarget(network netio.Network, host string) error {
	ln, err := network.Listen(net.JoinHostPort(host, portOf(w.vm.TargetAddress)))
	if err != nil {
		return err
	}
	w.vm.TargetAddress = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/", w.handleRequest)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(&trackingListener{Listener: ln, worker: w}) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return nil
}

// handleRequest executes one request once its body has fully arrived. A request
// whose body is truncated is not executed.
func (w *Worker) handleRequest(rw http.ResponseWriter, r *http.Request) {
	fault := r.URL.Query().Get("fault")
	if fault == FaultResetEarly {
		reset(rw)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	hop, origin := r.Header.Get(wire.HeaderRequestID), r.Header.Get(wire.HeaderOriginID)
	class := model.Class(r.Header.Get(wire.HeaderClass))
	if strings.HasSuffix(r.URL.Path, "/watch") {
		class = model.Standing
	}
	event := record.Event{Kind: record.RequestStart, VM: w.vm.Name, ID: origin, Hop: hop, Class: class}
	w.recorder.Add(event)
	if class != model.Standing {
		w.setInFlight(hop, true)
	}
	end := func(reason string) {
		if class != model.Standing {
			w.setInFlight(hop, false)
		}
		event.Kind, event.Reason = record.RequestEnd, reason
		w.recorder.Add(event)
	}
	rw.Header().Set(wire.HeaderRequestID, hop)
	if class == model.Standing {
		end(w.serveWatch(rw, r))
		return
	}
	w.serveWork(rw, r, fault, origin, end)
}

func (w *Worker) setInFlight(hop string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on {
		w.inFlight[hop] = struct{}{}
	} else {
		delete(w.inFlight, hop)
	}
}

// serveWork takes the time given in "ms", slowed down by the VM's tasks, and
// responds with "size" bytes.
func (w *Worker) serveWork(rw http.ResponseWriter, r *http.Request, fault, origin string, end func(string)) {
	ms, _ := strconv.ParseFloat(r.URL.Query().Get("ms"), 64)
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	timer := time.NewTimer(time.Duration(ms * w.slowdown() * float64(time.Millisecond)))
	defer timer.Stop()
	var deadline <-chan time.Time
	if left, err := strconv.ParseInt(r.Header.Get(wire.HeaderDeadlineMS), 10, 64); err == nil && fault != FaultLate {
		deadline = time.After(time.Duration(left) * time.Millisecond)
	}
	done := r.Context().Done()
	if fault == FaultLate {
		done = nil
	}
	select {
	case <-timer.C:
	case <-done:
		end("caller gone")
		return
	case <-deadline:
		end("deadline")
		rw.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	end("done")
	writeAnswer(rw, fault, origin, AnswerBody(origin, size))
}

// writeAnswer writes the response with the fault applied.
func writeAnswer(rw http.ResponseWriter, fault, origin string, body []byte) {
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch fault {
	case FaultResetAfter:
		reset(rw)
	case FaultResetMid:
		_, _ = rw.Write(body[:len(body)/2])
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	case FaultDuplicate, FaultCloseDelimited:
		writeRawAnswer(rw, fault, body)
	case FaultWrongID:
		rw.Header().Set(wire.HeaderRequestID, "not-"+origin)
		_, _ = rw.Write(body)
	default:
		_, _ = rw.Write(body)
	}
}

// writeRawAnswer writes the response directly to the connection, twice for
// FaultDuplicate.
func writeRawAnswer(rw http.ResponseWriter, fault string, body []byte) {
	id := rw.Header().Get(wire.HeaderRequestID)
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if fault == FaultCloseDelimited {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n%s: %s\r\n\r\n%s", wire.HeaderRequestID, id, body)
		return
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n\r\n%s", len(body), wire.HeaderRequestID, id, body)
	_, _ = io.WriteString(conn, response+response)
	// The connection stays open for a while so that the second response waits on it.
	time.Sleep(200 * time.Millisecond)
}

// reset closes the connection with a TCP reset.
func reset(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	if s, ok := conn.(*trackedConn); ok {
		if linger, ok := s.Conn.(interface{ SetLinger(sec int) error }); ok {
			_ = linger.SetLinger(0)
		}
	}
	_ = conn.Close()
}

// serveWatch sends one line "event N\n" per interval until the caller leaves,
// with N continuing from the resume point, and returns why it ended.
func (w *Worker) serveWatch(rw http.ResponseWriter, r *http.Request) string {
	interval, _ := strconv.Atoi(r.URL.Query().Get("interval_ms"))
	next, _ := strconv.ParseInt(r.Header.Get(wire.HeaderResume), 10, 64)
	rc := http.NewResponseController(rw)
	rw.WriteHeader(http.StatusOK)
	_ = rc.Flush()
	ticker := time.NewTicker(time.Duration(max(interval, 1)) * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-r.Context().Done():
			return "caller gone"
		case <-ticker.C:
		}
		next++
		if _, err := fmt.Fprintf(rw, "event %d\n", next); err != nil || rc.Flush() != nil {
			return "connection lost"
		}
	}
}

// trackingListener tracks a worker's open connections, which Worker.Silence can
// make drop all data.
type trackingListener struct {
	net.Listener
	worker *Worker
}

var lastConnID atomic.Int64

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &trackedConn{Conn: c, worker: l.worker, closed: make(chan struct{})}
	s.id = strconv.FormatInt(lastConnID.Add(1), 10)
	l.worker.mu.Lock()
	l.worker.conns[s] = struct{}{}
	l.worker.mu.Unlock()
	l.worker.recorder.Add(record.Event{Kind: record.ConnOpen, VM: l.worker.vm.Name, ID: s.id})
	return s, nil
}

// trackedConn is a connection that, once blackholed, discards what is written
// and reads nothing more.
type trackedConn struct {
	net.Conn
	worker     *Worker
	id         string
	blackholed atomic.Bool
	once       sync.Once
	closed     chan struct{}
}

func (c *trackedConn) blackhole() { c.blackholed.Store(true) }

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.blackholed.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.worker.mu.Lock()
		delete(c.worker.conns, c)
		c.worker.mu.Unlock()
		c.worker.recorder.Add(record.Event{Kind: record.ConnClose, VM: c.worker.vm.Name, ID: c.id})
	})
	return c.Conn.Close()
}
