package worker

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/worker"
	wire "github.com/rattanwall/rattanwall/internal/worker/httpworker"
)

// serveAgent serves the agent's interface at host, on the port of the VM's
// agent address or any free one.
func (w *Worker) serveAgent(network netio.Network, host string) error {
	ln, err := network.Listen(net.JoinHostPort(host, portOf(w.vm.AgentAddress)))
	if err != nil {
		return err
	}
	w.vm.AgentAddress = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /agent/status", w.handleStatus)
	handle(mux, "POST /agent/start", w.handleStart)
	handle(mux, "POST /agent/renew", func(b wire.WireRenew) (any, int) {
		w.renew(time.Duration(b.LeaseMS) * time.Millisecond)
		return wire.WireOK{}, http.StatusOK
	})
	handle(mux, "POST /agent/stop", func(b wire.WireStop) (any, int) { return found(w.stop(b.Ref, b.Checkpoint)) })
	mux.HandleFunc("POST /agent/checkpoint", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, w.checkpointAll(), http.StatusOK)
	})
	handle(mux, "POST /agent/throttle", func(b wire.WireThrottle) (any, int) {
		return found(wire.WireOK{}, w.throttle(b.Ref, b.Share))
	})
	handle(mux, "POST /agent/forget", func(b wire.WireForget) (any, int) {
		w.forget(b.Refs)
		return wire.WireOK{}, http.StatusOK
	})
	// For tests, not part of the published protocol.
	mux.HandleFunc("PUT /faults", func(_ http.ResponseWriter, r *http.Request) {
		var f Faults
		if json.NewDecoder(r.Body).Decode(&f) == nil {
			w.SetFaults(f)
		}
	})
	mux.HandleFunc("POST /silence", func(http.ResponseWriter, *http.Request) { w.Silence() })
	mux.HandleFunc("GET /record", func(rw http.ResponseWriter, _ *http.Request) { _ = w.recorder.Dump(rw) })
	server := &http.Server{Handler: w.withAgentFaults(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(ln) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return nil
}

// withAgentFaults aborts all calls but those that set faults while the agent is
// down.
func (w *Worker) withAgentFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		down := w.faults.AgentDown && r.URL.Path != "/faults"
		w.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(rw, r)
	})
}

func (w *Worker) handleStart(req worker.StartRequest) (any, int) {
	late := req.NotAfterUnixMS != 0 && time.Now().UnixMilli() > req.NotAfterUnixMS
	if req.LeaseMS <= 0 || req.Attempt <= 0 || req.Task == "" || late {
		return nil, http.StatusConflict
	}
	w.start(req)
	w.mu.Lock()
	lose := w.faults.LoseStartAnswers > 0
	if lose {
		w.faults.LoseStartAnswers--
	}
	w.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	return wire.WireOK{}, http.StatusOK
}

func (w *Worker) handleStatus(rw http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	writeJSON(rw, w.awaitChange(r.Context(), after, time.Duration(waitMS)*time.Millisecond), http.StatusOK)
}

// awaitChange returns the status with the changes after a sequence number, once
// there are any or after wait.
func (w *Worker) awaitChange(ctx context.Context, after int64, wait time.Duration) worker.Status {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s, changed := w.status(after)
		if s.Sequence != after {
			return s
		}
		select {
		case <-changed:
		case <-timeout.C:
			return s
		case <-ctx.Done():
			return s
		}
	}
}

// usage returns the VM's usage as it was UsageLagMS ago. w.mu is held.
func (w *Worker) usage() worker.Usage {
	used := w.usedResourcesAt(time.Now().Add(-time.Duration(w.faults.UsageLagMS) * time.Millisecond))
	return worker.Usage{AgeMS: w.faults.UsageLagMS, InUse: used, Slowdown: w.slowdownFor(used)}
}

// handle registers a handler of calls whose JSON body is a B.
func handle[B any](mux *http.ServeMux, pattern string, f func(B) (any, int)) {
	mux.HandleFunc(pattern, func(rw http.ResponseWriter, r *http.Request) {
		var body B
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		answer, status := f(body)
		writeJSON(rw, answer, status)
	})
}

func found[T any](v T, ok bool) (any, int) {
	if !ok {
		return wire.WireOK{}, http.StatusNotFound
	}
	return v, http.StatusOK
}

func writeJSON(rw http.ResponseWriter, v any, status int) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v)
}

// portOf returns the port of an ip:port, or "0" (any free port) without one.
func portOf(address string) string {
	if _, port, err := net.SplitHostPort(address); err == nil {
		return port
	}
	return "0"
}
