package route

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/vms"
)

// A standing watch is an answer of one event per line that stays open for hours.
// The node counts its lines, so that the watch can be resumed at another place
// after the last event that the caller received, when a node or a VM goes away.

const bufferSize = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

// The reasons why a watch ended, as sent in the trailer.
const (
	endDrain  = "drain"
	endTarget = "target"
	endLost   = "lost"
	// endIdle is not sent: the watch is resumed on a new connection.
	endIdle = "idle"
)

const (
	// watchRetries bounds the consecutive tries without an event.
	watchRetries = 5
	watchBackoff = 100 * time.Millisecond
	// initialIdle is how long a watch may be without an event before it is resumed
	// on a new connection, because its own may be broken without notice. While this
	// brings no event, the time doubles up to maxIdle, so that watches with few
	// events cost little.
	initialIdle = 10 * time.Second
	maxIdle     = 5 * time.Minute
)

// serveWatch serves a caller's watch and transparently resumes it at another place
// when its place goes away.
func (rt *Router) serveWatch(ctx context.Context, w http.ResponseWriter, req *request) {
	if rt.stopping() {
		WriteError(w, errkind.New(errkind.Draining, "come back at once: the balancer knows other nodes", nil))
		return
	}
	w.Header().Set("Trailer", HeaderResume+", "+HeaderEnd)
	w.Header().Set(HeaderRequestID, req.origin)
	started := false
	failures := 0
	idle := initialIdle
	for {
		got, err := rt.tryPlace(ctx, req, req.body(w), map[string]bool{}, failures == watchRetries)
		if err == nil {
			if !started {
				copyHeader(w.Header(), got.Header)
				w.WriteHeader(got.Status)
				_ = http.NewResponseController(w).Flush()
				started = true
			}
			before := req.resume
			end := rt.copyEvents(ctx, w, got, &req.resume, idle)
			if end == endIdle {
				idle = min(2*idle, maxIdle)
				if req.resume > before {
					idle = initialIdle
				}
				continue
			}
			if end == endDrain && rt.stopping() || end == endTarget || ctx.Err() != nil {
				endWatch(w, end, req.resume)
				return
			}
			if req.resume > before {
				failures = 0
			}
		}
		failures++
		if failures > watchRetries || !started && err != nil && !isRetryable(err) {
			rt.failWatch(w, started, err, req.resume)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-rt.stopCh:
			rt.failWatch(w, started, errkind.New(errkind.Draining, "", nil), req.resume)
			return
		case <-time.After(watchBackoff * time.Duration(failures)):
		}
	}
}

func (rt *Router) failWatch(w http.ResponseWriter, started bool, err error, resume int64) {
	if !started {
		w.Header().Del("Trailer")
		WriteError(w, err)
		return
	}
	end := endLost
	if rt.stopping() {
		end = endDrain
	}
	endWatch(w, end, resume)
}

func endWatch(w http.ResponseWriter, end string, resume int64) {
	w.Header().Set(HeaderResume, strconv.FormatInt(resume, 10))
	w.Header().Set(HeaderEnd, end)
}

func (rt *Router) stopping() bool {
	select {
	case <-rt.stopCh:
		return true
	default:
		return false
	}
}

// relayWatch passes a watch on to the peer that serves its caller.
func (rt *Router) relayWatch(ctx context.Context, w http.ResponseWriter, got *answer, resume int64) {
	w.Header().Set("Trailer", HeaderResume+", "+HeaderEnd)
	copyHeader(w.Header(), got.Header)
	w.WriteHeader(got.Status)
	_ = http.NewResponseController(w).Flush()
	end := rt.copyEvents(ctx, w, got, &resume, maxIdle)
	if end == endLost || end == endIdle {
		panic(http.ErrAbortHandler)
	}
	endWatch(w, end, resume)
}

// copyEvents passes complete events on and counts them in seen, until the watch
// ends. An incomplete line is not passed on.
func (rt *Router) copyEvents(ctx context.Context, w http.ResponseWriter, got *answer, seen *int64, idle time.Duration) string {
	defer func() { _ = got.Body.Close() }()
	rc := http.NewResponseController(w)
	lines := make(chan []byte)
	stop := make(chan struct{})
	defer close(stop)
	go readLines(got.Body, lines, stop)
	timer := time.NewTimer(idle)
	defer timer.Stop()
	for {
		select {
		case line, ok := <-lines:
			if !ok {
				got.finish(vms.EndUncertain)
				return got.endReason()
			}
			if _, err := w.Write(line); err != nil || rc.Flush() != nil {
				got.finish(vms.EndUncertain)
				return endLost
			}
			*seen++
			timer.Reset(idle)
		case <-timer.C:
			got.finish(vms.EndUncertain)
			return endIdle
		case <-rt.stopCh:
			got.finish(vms.EndUncertain)
			return endDrain
		case <-ctx.Done():
			got.finish(vms.EndUncertain)
			return endLost
		}
	}
}

// endReason returns why a watch ended, after its last line was read.
func (a *answer) endReason() string {
	if a.trailer != nil {
		if end := a.trailer().Get(HeaderEnd); end != "" {
			return end
		}
	}
	return endLost
}

// readLines sends each complete line of body to lines until body ends or stop is
// closed.
func readLines(body io.Reader, lines chan<- []byte, stop <-chan struct{}) {
	defer close(lines)
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return
		}
		select {
		case lines <- line:
		case <-stop:
			return
		}
	}
}
