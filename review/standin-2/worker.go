//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	maxLease    = 10 * time.Second
	maxListed   = 500
	workerCPU   = 32000
	workerMemMB = 128000
)

// behaviour is the spec of the cases' jobs: it tells a worker how a task behaves.
type behaviour struct {
	// Millis is how long a run lasts, 0 for ever.
	Millis int64 `json:"ms"`
	// Fails is set if each run ends as failed.
	Fails bool `json:"fails,omitempty"`
}

// machine is a machine with one worker at a time, at a fixed address.
type machine struct {
	name, address, zone string
	labels              []string
	cluster             *cluster

	mu     sync.Mutex
	life   int
	worker *worker
	// grey is set while the machine fails all that it starts.
	grey bool
	// upkept is set once the machine had its upkeep.
	upkept bool
	// cut is closed at the end of the cut that separates the machine from all others; nil for none.
	cut chan struct{}
}

// setCut separates the machine from all others, or ends that. Its runs go on.
func (m *machine) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cut {
		m.cut = make(chan struct{})
	} else if m.cut != nil {
		close(m.cut)
		m.cut = nil
	}
	m.cluster.record.logf("machine %s is cut off: %t", m.name, cut)
}

// cutEnd returns a channel that is closed at the end of the cut, nil if there is none.
func (m *machine) cutEnd() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

// setGrey makes all runs fail that begin from now on, or ends that.
func (m *machine) setGrey(grey bool) {
	m.mu.Lock()
	m.grey = grey
	m.mu.Unlock()
	m.cluster.record.logf("machine %s fails all that it starts: %t", m.name, grey)
}

func (m *machine) isGrey() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.grey
}

// greyFailure is how long a run lives on a machine that fails all that it starts.
const greyFailure = 200 * time.Millisecond

// worker is one life of a machine.
type worker struct {
	id        string
	machine   *machine
	server    *http.Server
	startedAt time.Time
	stopped   chan struct{}
	// quiet drops the lines of the record about runs.
	quiet func(task string) bool

	mu       sync.Mutex
	dead     bool
	fence    int64
	lease    time.Duration
	running  map[string]*taskRun
	lastRuns map[string]int64
	ended    []endRow
	seq      int64
	beats    int64
	changed  chan struct{}
}

type taskRun struct {
	run       int64
	startedAt time.Time
	behaviour behaviour
	timer     *time.Timer
}

// endRow is [N, task, run, how, saved].
type endRow struct {
	seq  int64
	task string
	run  int64
	how  string
}

// MarshalJSON implements json.Marshaler.
func (e endRow) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{e.seq, e.task, e.run, e.how, ""})
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// start begins a new life of the machine.
func (m *machine) start() error {
	ln, err := net.Listen("tcp", m.address)
	for tries := 0; err != nil && tries < 50; tries++ {
		time.Sleep(10 * time.Millisecond)
		ln, err = net.Listen("tcp", m.address)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.life++
	w := &worker{
		id: fmt.Sprintf("i-%s-%d", m.name, m.life), machine: m, startedAt: time.Now().Add(-time.Millisecond), stopped: make(chan struct{}),
		running: map[string]*taskRun{}, lastRuns: map[string]int64{}, changed: make(chan struct{}),
	}
	m.worker = w
	m.mu.Unlock()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(ln) }()
	go w.beat()
	go w.expire()
	m.cluster.record.logf("worker %s up at %s, labels %v", w.id, m.address, m.labels)
	return nil
}

// current returns the worker of the machine, nil while it is down.
func (m *machine) current() *worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worker
}

// crash ends the worker of the machine, with all that it runs.
func (m *machine) crash() {
	m.mu.Lock()
	w := m.worker
	m.worker = nil
	m.mu.Unlock()
	if w == nil {
		return
	}
	w.mu.Lock()
	w.dead = true
	lost := []string{}
	for task, r := range w.running {
		r.timer.Stop()
		lost = append(lost, fmt.Sprintf("%s/%d after %d ms", task, r.run, time.Since(r.startedAt).Milliseconds()))
	}
	w.running = map[string]*taskRun{}
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	close(w.stopped)
	_ = w.server.Close()
	if len(lost) > 5 {
		lost = append(lost[:5], fmt.Sprintf("and %d more", len(lost)-5))
	}
	m.cluster.record.logf("worker %s crashes; runs lost with it: %v", w.id, lost)
	// Its entry is removed after three heartbeat intervals of silence.
	time.AfterFunc(3*heartbeat, func() { m.cluster.store.store.Remove("servers/" + w.id) })
}

// beat writes the worker's entry at each heartbeat.
func (w *worker) beat() {
	for {
		w.mu.Lock()
		w.beats++
		dead, n, clock := w.dead, w.beats, w.clock()
		w.mu.Unlock()
		if dead {
			return
		}
		raw, err := json.Marshal(map[string]any{
			"service": "pool", "address": w.machine.address, "zone": w.machine.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int64{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0}, "labels": w.machine.labels, "clock_ms": clock.Milliseconds(), "seq": n,
		})
		if err == nil && w.machine.cutEnd() == nil {
			w.machine.cluster.store.put("servers/"+w.id, raw)
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// expire ends all runs when the lease has expired.
func (w *worker) expire() {
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(20 * time.Millisecond):
		}
		w.mu.Lock()
		if w.clock() > w.lease {
			for task, r := range w.running {
				w.end(task, r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.startedAt) }

// end lists the end of a run; the caller holds mu.
func (w *worker) end(task string, r *taskRun, how string) {
	r.timer.Stop()
	delete(w.running, task)
	w.seq++
	w.ended = append(w.ended, endRow{w.seq, task, r.run, how})
	w.lastRuns[task] = max(w.lastRuns[task], r.run)
	w.machine.cluster.observeEnd(w, task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if r.Method == http.MethodPost && json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	if w.machine.cutEnd() != nil {
		// Nothing that arrives during a cut is carried out, and nothing is answered.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != w.id {
		reply(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock().Milliseconds()})
		return
	}
	w.mu.Lock()
	status, body := w.serve(r, &o)
	dead := w.dead
	w.mu.Unlock()
	if cut := w.machine.cutEnd(); dead || cut != nil {
		panic(http.ErrAbortHandler)
	}
	body["clock_ms"] = w.clock().Milliseconds()
	reply(rw, status, body)
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(rw).Encode(body)
	}
}

// serve carries out a call; the caller holds mu.
func (w *worker) serve(r *http.Request, o *order) (int, map[string]any) {
	switch r.URL.Path {
	case "/healthz":
		return http.StatusOK, map[string]any{}
	case "/-/hold", "/-/run-start", "/-/run-stop", "/-/pace":
	default:
		return http.StatusNotFound, map[string]any{}
	}
	if o.Fence < w.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/-/hold":
		return w.hold(r, o)
	case "/-/run-start":
		return w.runStart(o)
	case "/-/run-stop":
		w.lastRuns[o.Task] = max(w.lastRuns[o.Task], o.Run)
		if run := w.running[o.Task]; run != nil && run.run <= o.Run {
			if stopped := w.machine.cluster.stopped; stopped != nil {
				stopped(w, o.Task)
			}
			w.end(o.Task, run, "stopped")
		}
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) extend(deadlineMS int64) {
	until := min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+maxLease)
	w.lease = max(w.lease, until)
}

func (w *worker) runStart(o *order) (int, map[string]any) {
	if time.Duration(o.Deadline)*time.Millisecond < w.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.extend(o.Deadline)
	if run := w.running[o.Task]; run != nil && run.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if o.Run <= w.lastRuns[o.Task] || w.running[o.Task] != nil {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	var b behaviour
	if json.Unmarshal([]byte(o.Spec), &b) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	run := &taskRun{run: o.Run, startedAt: time.Now(), behaviour: b}
	how := "done"
	if b.Fails {
		how = "failed"
	}
	lasts := time.Duration(b.Millis) * time.Millisecond
	if b.Millis == 0 {
		lasts = time.Hour
	}
	if w.machine.isGrey() {
		how, lasts = "failed", greyFailure
	}
	task := o.Task
	run.timer = time.AfterFunc(lasts, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.dead && w.running[task] == run {
			w.end(task, run, how)
		}
	})
	w.running[o.Task] = run
	w.machine.cluster.observeStart(w, o)
	return http.StatusOK, map[string]any{}
}

// hold forgets acknowledged ends and waits for one; the caller holds mu.
func (w *worker) hold(r *http.Request, o *order) (int, map[string]any) {
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	for len(w.ended) > 0 && w.ended[0].seq <= o.LastSeen {
		w.ended = w.ended[1:]
	}
	deadline := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil && !w.dead {
		changed := w.changed
		w.mu.Unlock()
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		w.mu.Lock()
	}
	running := []any{}
	for task, run := range w.running {
		percent := int64(100)
		if run.behaviour.Millis > 0 {
			percent = min(99, 100*time.Since(run.startedAt).Milliseconds()/run.behaviour.Millis)
		}
		running = append(running, []any{task, run.run, "", percent, 0})
	}
	listed := append([]endRow{}, w.ended[:min(len(w.ended), maxListed)]...)
	return http.StatusOK, map[string]any{"running": running, "finished": listed}
}

// unacknowledged returns the number of ends that the worker still lists.
func (w *worker) unacknowledged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ended)
}
