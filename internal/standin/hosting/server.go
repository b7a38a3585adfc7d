package hosting

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	wire "github.com/rattanwall/rattanwall/internal/hosting/httphosting"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/netio"
)

const (
	statusOK       = http.StatusOK
	statusNotFound = http.StatusNotFound
	statusConflict = http.StatusPreconditionFailed
	statusGone     = http.StatusGone

	// vmListCall is the kind under which reads of the list of VMs are counted.
	vmListCall = "vms"
	// leaseExpiryInterval is how often a waiting watch checks for expired leases.
	leaseExpiryInterval = 100 * time.Millisecond
)

// Faults are set per listener, so that one availability zone can be affected
// while others are not.
type Faults struct {
	// Down makes each call of the store fail with 503; nothing is applied. The
	// list of VMs is a separate service of the platform and stays available.
	Down bool `json:"down"`
	// ListDown makes each read of the list of VMs fail.
	ListDown bool `json:"list_down"`
	// Cut makes each call hang until the caller gives up; nothing is applied.
	Cut bool `json:"cut"`
	// SlowMS delays each call, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers closes the connection instead of responding to the next N
	// writes, after each took effect.
	LoseAnswers int64 `json:"lose_answers"`
	// WatchSilent makes watches block until the caller gives up.
	WatchSilent bool `json:"watch_silent"`
	// WatchReplay makes each watch return the whole history again.
	WatchReplay bool `json:"watch_replay"`
}

// Listener serves the platform's interface at one address.
type Listener struct {
	platform *Platform
	server   *http.Server
	address  string

	mu     sync.Mutex
	faults Faults
}

// Listen serves p at address (ip:port, port 0 for any free one).
func (p *Platform) Listen(network netio.Network, address string) (*Listener, error) {
	ln, err := network.Listen(address)
	if err != nil {
		return nil, err
	}
	l := &Listener{platform: p, address: ln.Addr().String()}
	l.server = &http.Server{Handler: l.routes(), ReadHeaderTimeout: time.Minute}
	go func() { _ = l.server.Serve(ln) }()
	return l, nil
}

// Address returns the ip:port that the listener serves.
func (l *Listener) Address() string { return l.address }

// SetFaults replaces the listener's faults.
func (l *Listener) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Close stops serving and closes the open connections.
func (l *Listener) Close() { _ = l.server.Close() }

func (l *Listener) routes() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern, kind string, write bool, f func(*http.Request) (any, int)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			l.serve(w, r, kind, write, f)
		})
	}
	p := l.platform
	handle("GET /v1/key", "get", false, func(r *http.Request) (any, int) { return withStatus(p.get(r.FormValue("key"))) })
	handle("GET /v1/keys", "list", false, func(r *http.Request) (any, int) { return p.list(r.FormValue("prefix")), statusOK })
	handle("PUT /v1/key", "put", true, func(r *http.Request) (any, int) {
		var body wire.WirePut
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			return nil, http.StatusBadRequest
		}
		return withStatus(p.put(r.URL.Query().Get("key"), body))
	})
	handle("DELETE /v1/key", "delete", true, func(r *http.Request) (any, int) {
		expect, _ := strconv.ParseInt(r.URL.Query().Get("expect"), 10, 64)
		return withStatus(p.remove(r.URL.Query().Get("key"), expect))
	})
	handle("POST /v1/leases", "grant", true, func(r *http.Request) (any, int) {
		return p.grant(time.Duration(leaseBody(r).TTLMS) * time.Millisecond), statusOK
	})
	handle("POST /v1/leases/renew", "renew", true, func(r *http.Request) (any, int) { return withStatus(p.renew(leaseBody(r).ID)) })
	handle("POST /v1/leases/revoke", "revoke", true, func(r *http.Request) (any, int) { return withStatus(p.revoke(leaseBody(r).ID)) })
	handle("GET /v1/watch", "watch", false, l.watch)
	handle("GET /v1/vms", vmListCall, false, func(r *http.Request) (any, int) { return p.vmList(r.FormValue("known")), statusOK })

	// The routes below are for tests and the demo, not part of the published protocol.
	mux.HandleFunc("PUT /faults", func(_ http.ResponseWriter, r *http.Request) {
		var f Faults
		if json.NewDecoder(r.Body).Decode(&f) == nil {
			l.SetFaults(f)
		}
	})
	mux.HandleFunc("PUT /vm", func(_ http.ResponseWriter, r *http.Request) {
		var vm model.VM
		if json.NewDecoder(r.Body).Decode(&vm) == nil {
			p.SetVM(vm)
		}
	})
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { _ = p.Recorder.Dump(w) })
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls(), statusOK) })
	return mux
}

func withStatus[T any](v T, status int) (any, int) { return v, status }

func leaseBody(r *http.Request) wire.WireLease {
	var body wire.WireLease
	_ = json.NewDecoder(r.Body).Decode(&body)
	return body
}

// serve handles one call with the listener's faults applied.
func (l *Listener) serve(w http.ResponseWriter, r *http.Request, kind string, write bool, f func(*http.Request) (any, int)) {
	l.platform.count(kind)
	l.mu.Lock()
	faults := l.faults
	lose := write && faults.LoseAnswers > 0
	if lose {
		l.faults.LoseAnswers--
	}
	l.mu.Unlock()
	// The body is read first because the server detects that a caller has
	// disconnected only once the body is read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if faults.Cut {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if faults.SlowMS > 0 {
		time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
	}
	if kind == vmListCall && faults.ListDown || kind != vmListCall && faults.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer, status := f(r)
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, answer, status)
}

// watch returns the changes after a revision as soon as there are any.
func (l *Listener) watch(r *http.Request) (any, int) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.WatchSilent {
		<-r.Context().Done()
	}
	if faults.WatchReplay {
		after = 0
	}
	waitMS, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	return l.platform.awaitChanges(r.Context(), r.FormValue("prefix"), after, time.Duration(waitMS)*time.Millisecond), statusOK
}

// awaitChanges returns the changes under prefix after a revision as soon as there are
// any, or none after wait.
func (p *Platform) awaitChanges(ctx context.Context, prefix string, after int64, wait time.Duration) wire.WireList {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	tick := time.NewTicker(leaseExpiryInterval)
	defer tick.Stop()
	for {
		answer, changed := p.changesSince(prefix, after)
		if len(answer.Entries) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-deadline.C:
			return answer
		case <-ctx.Done():
			return answer
		}
	}
}

func writeJSON(w http.ResponseWriter, v any, status int) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
