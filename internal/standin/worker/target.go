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

// The faults that a request asks for by its query parameter "fault". They make
// the target misbehave for just that request.
const (
	// FaultResetEarly resets the connection before the body is read; nothing runs.
	FaultResetEarly = "reset-early"
	// FaultResetAfter runs the request, then resets without an answer.
	FaultResetAfter = "reset-after"
	// FaultResetMid sends half of the answer, then resets.
	FaultResetMid = "reset-mid"
	// FaultLate ignores the deadline and answers after it.
	FaultLate = "late"
	// FaultDuplicate sends the answer twice on the connection.
	FaultDuplicate = "duplicate"
	// FaultWrongID answers with another request's id.
	FaultWrongID = "wrong-id"
	// FaultCloseDelimited answers with no length, ended by closing.
	FaultCloseDelimited = "close-delimited"
)

// serveTarget serves requests on a free port of host.
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

// handleRequest executes one request once its body has fully arrived. A body
// that is cut off is not executed.
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

// serveWork takes the time asked for in "ms", slowed by the VM's tasks, and answers
// with "size" bytes.
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

// writeAnswer writes the body, misbehaving as fault asks.
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

// writeRawAnswer writes the answer by hand, twice for FaultDuplicate.
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
	one := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n\r\n%s", len(body), wire.HeaderRequestID, id, body)
	_, _ = io.WriteString(conn, one+one)
	// Kept open a while, so that the second answer waits on the connection.
	time.Sleep(200 * time.Millisecond)
}

// reset closes the connection with a TCP reset.
func reset(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	if s, ok := conn.(*trackedConn); ok {
		if lingers, ok := s.Conn.(interface{ SetLinger(sec int) error }); ok {
			_ = lingers.SetLinger(0)
		}
	}
	_ = conn.Close()
}

// serveWatch sends one line an interval until the caller leaves: "event N\n", with
// N going on from the resume point.
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

// trackingListener hands out connections that can be made to go silent, and
// counts those that are open.
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

// trackedConn is a connection that loses track of its other end when silenced:
// what is written vanishes and nothing more is read.
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
