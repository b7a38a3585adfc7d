//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/rattanwall/rattanwall/platform/platformtest"
)

const (
	workerHeartbeat = 1500 * time.Millisecond
	// maxMissedBeats is how many heartbeats a worker misses before its entry is removed.
	maxMissedBeats = 3
	workerCPU      = 32_000
	workerMemoryMB = 128_000
	workerTick     = 10 * time.Millisecond
)

// host is a machine that runs one worker after another at one address.
type host struct {
	f       *fleet
	name    string
	zone    string
	rack    string
	address string
	lives   int

	mu     sync.Mutex
	worker *worker
}

// worker is one life of a host's worker.
type worker struct {
	id        string
	host      *host
	startedAt time.Time
	ln        net.Listener
	server    *http.Server

	mu       sync.Mutex
	dead     bool
	fence    int64
	deadline time.Duration
	running  map[string]*workRun
	highest  map[string]int64
	ended    [][5]any
	seq      int64
	changed  chan struct{}
}

type workRun struct {
	run       int64
	cpu       int64
	startedAt time.Time
	// duration is that of a run, or of the startup of one that lasts.
	duration time.Duration
	lasts    bool
}

// fleet is all hosts. It also serves the list of machines.
type fleet struct {
	r     *record
	store *platformtest.Store
	hosts []*host

	mu sync.Mutex
	// ends counts the ends by kind, by job.
	ends map[string]map[string]int
	cpu  map[string]int64
}

// newFleet starts the hosts, some to a rack.
func newFleet(r *record, store *platformtest.Store) (*fleet, error) {
	f := &fleet{r: r, store: store, ends: map[string]map[string]int{}, cpu: map[string]int64{}}
	for i := range workerCount {
		h := &host{
			f: f, name: fmt.Sprintf("m-%02d", i), zone: platformtest.ZoneName(i / (workerCount / zoneCount)),
			rack: platformtest.RackName(i / (workerCount / rackCount)),
		}
		if err := h.start(); err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
	}
	return f, nil
}

// start starts the host's next worker.
func (h *host) start() error {
	address := h.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.address = ln.Addr().String()
	h.lives++
	w := &worker{
		id: fmt.Sprintf("i-%s-%d", h.name[2:], h.lives), host: h, startedAt: time.Now(), ln: ln,
		running: map[string]*workRun{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	h.worker = w
	go func() { _ = w.server.Serve(ln) }()
	go w.live()
	return nil
}

// crash ends the host's worker. Another one is up after the given time.
func (h *host) crash(down time.Duration) {
	h.mu.Lock()
	w := h.worker
	h.worker = nil
	h.mu.Unlock()
	if w == nil {
		return
	}
	w.mu.Lock()
	w.dead = true
	lost := len(w.running)
	w.mu.Unlock()
	_ = w.server.Close()
	h.f.r.printf("%s (%s, rack %s) crashes with %d runs", w.id, h.name, h.rack, lost)
	time.AfterFunc(down, func() {
		if err := h.start(); err != nil {
			h.f.r.printf("%s: %v", h.name, err)
		}
	})
	time.AfterFunc(maxMissedBeats*workerHeartbeat, func() { h.f.store.Remove("servers/" + w.id) })
}

func (w *worker) clock() time.Duration { return time.Since(w.startedAt) }

// live writes the worker's entry and ends its runs in time.
func (w *worker) live() {
	beat := time.Time{}
	for {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		w.step()
		w.mu.Unlock()
		if time.Since(beat) >= workerHeartbeat {
			beat = time.Now()
			raw, _ := json.Marshal(map[string]any{
				"service": "pool", "address": w.host.address, "zone": w.host.zone, "version": "v1", "slots": 8, "state": "ready",
				"capacity": map[string]int64{"cpu": workerCPU, "mem_mb": workerMemoryMB}, "labels": []string{"a", w.host.rack}, "seq": w.clock().Milliseconds(),
			})
			w.host.f.store.Put("servers/"+w.id, raw)
		}
		time.Sleep(workerTick)
	}
}

// step ends what is finished, or everything if the lease is over. w.mu is held.
func (w *worker) step() {
	for task, run := range w.running {
		switch {
		case w.clock() > w.deadline:
			w.end(task, run.run, "lapsed")
		case !run.lasts && time.Since(run.startedAt) >= run.duration:
			w.end(task, run.run, "done")
		}
	}
}

func (w *worker) end(task string, run int64, how string) {
	delete(w.running, task)
	w.seq++
	w.ended = append(w.ended, [5]any{w.seq, task, run, how, ""})
	w.highest[task] = max(w.highest[task], run)
	w.host.f.countEnd(task, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

const jobIDLength = 16

func (f *fleet) countEnd(task, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	job := task[:jobIDLength]
	if f.ends[job] == nil {
		f.ends[job] = map[string]int{}
	}
	f.ends[job][how]++
}

// endsOf returns the ends of a job's runs that workers listed, by kind.
func (f *fleet) endsOf(job string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for how, n := range f.ends[job] {
		out[how] = n
	}
	return out
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Task     string `json:"task"`
		Run      int64  `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline_ms"`
		Fence    int64  `json:"fencing_token"`
		LastSeen int64  `json:"last_seen"`
		Wait     int64  `json:"wait_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != w.id {
		answer(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock().Milliseconds()})
		return
	}
	body := map[string]any{}
	status := http.StatusOK
	w.mu.Lock()
	w.step()
	lease := min(time.Duration(o.Deadline)*time.Millisecond, w.clock()+maxLease)
	switch {
	case o.Fence < w.fence:
		status, body["reason"] = http.StatusConflict, "fence"
	case r.URL.Path == "/-/run-start":
		w.fence = o.Fence
		status, body["reason"] = w.runStart(o.Task, o.Run, o.Spec, lease)
	case r.URL.Path == "/-/run-stop":
		w.fence = o.Fence
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if run := w.running[o.Task]; run != nil && run.run <= o.Run {
			w.end(o.Task, run.run, "stopped")
		}
	case r.URL.Path == "/-/hold":
		w.fence = o.Fence
		w.deadline = max(w.deadline, lease)
		w.hold(r, o.LastSeen, time.Duration(o.Wait)*time.Millisecond, body)
	case r.URL.Path == "/-/pace":
		w.fence = o.Fence
	default:
		status = http.StatusNotFound
	}
	body["clock_ms"] = w.clock().Milliseconds()
	w.mu.Unlock()
	answer(rw, status, body)
}

func (w *worker) runStart(task string, run int64, spec string, lease time.Duration) (status int, reason string) {
	if lease < w.clock() {
		return http.StatusConflict, "late"
	}
	w.deadline = max(w.deadline, lease)
	if now := w.running[task]; now != nil && now.run == run {
		return http.StatusOK, ""
	}
	if run <= w.highest[task] || w.running[task] != nil {
		return http.StatusConflict, "old"
	}
	var t struct {
		Millis int64 `json:"ms"`
		CPU    int64 `json:"cpu"`
		Lasts  bool  `json:"lasts"`
	}
	if json.Unmarshal([]byte(spec), &t) != nil {
		return http.StatusBadRequest, ""
	}
	used := t.CPU
	for _, other := range w.running {
		used += other.cpu
	}
	if used > workerCPU {
		return http.StatusConflict, "room"
	}
	w.running[task] = &workRun{run: run, cpu: t.CPU, startedAt: time.Now(), duration: time.Duration(t.Millis) * time.Millisecond, lasts: t.Lasts}
	w.host.f.r.printf("%s starts %s run %d", w.id, task, run)
	return http.StatusOK, ""
}

// hold waits for an end and lists what runs and has ended. w.mu is held, but not while it waits.
func (w *worker) hold(r *http.Request, lastSeen int64, wait time.Duration, body map[string]any) {
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= lastSeen {
		w.ended = w.ended[1:]
	}
	until := time.Now().Add(wait)
	for len(w.ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
		changed := w.changed
		w.mu.Unlock()
		timer := time.NewTimer(time.Until(until))
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		w.mu.Lock()
	}
	names := make([]string, 0, len(w.running))
	for task := range w.running {
		names = append(names, task)
	}
	sort.Strings(names)
	rows := []any{}
	for _, task := range names {
		run := w.running[task]
		percent := min(100, int64(100*time.Since(run.startedAt)/max(run.duration, 1)))
		rows = append(rows, []any{task, run.run, "", percent, run.cpu})
	}
	body["running"] = rows
	body["finished"] = append([][5]any{}, w.ended...)
}

// ServeHTTP serves the list of machines.
func (f *fleet) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	rows := []any{}
	for _, h := range f.hosts {
		h.mu.Lock()
		row := map[string]any{"machine": h.name, "pool": "pool", "state": "down", "zone": h.zone, "labels": []string{"a", h.rack}}
		if h.worker != nil {
			row["state"], row["id"] = stateUp, h.worker.id
		}
		h.mu.Unlock()
		rows = append(rows, row)
	}
	answer(w, http.StatusOK, map[string]any{"machines": rows})
}
