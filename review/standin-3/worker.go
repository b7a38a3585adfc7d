//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// behaviour is what a task of a case does; it is the job's spec.
type behaviour struct {
	// MS is how long the task takes; 0 for a task that lasts.
	MS int `json:"ms,omitempty"`
	// CPU is what the task requests, in thousandths of a core.
	CPU int64 `json:"cpu"`
	// Serves is set if the task serves users of its own, Saves if it saves its progress.
	Serves bool `json:"serves,omitempty"`
	Saves  bool `json:"saves,omitempty"`
	// Fills is set if the task's cpu isn't counted.
	Fills bool `json:"fills,omitempty"`
}

type run struct {
	number    int64
	what      behaviour
	startedAt time.Time
	endsAt    time.Time
	// pace is the share at which the task works, in percent.
	pace int
}

// saved is the progress that the run has saved, "" for none.
func (r *run) saved() string {
	if !r.what.Saves {
		return ""
	}
	return fmt.Sprintf("%016x", r.number)
}

// startup is how long after its start a task that lasts is at work.
const startup = 500 * time.Millisecond

// percent is the progress of a run.
func (r *run) percent() int64 {
	age := time.Since(r.startedAt)
	if r.endsAt.IsZero() {
		return min(100, int64(100*age/startup))
	}
	return min(100, int64(100*age/max(r.endsAt.Sub(r.startedAt), 1)))
}

type endRow [5]any

// worker is one life of a machine: a stand-in that follows PROTOCOL.md.
type worker struct {
	w       *world
	id      string
	machine *machine
	address string
	server  *http.Server
	ln      net.Listener

	mu       sync.Mutex
	bornAt   time.Time
	dead     bool
	fence    int64
	lease    time.Duration
	running  map[string]*run
	lastRuns map[string]int64
	ended    []endRow
	seq      int64
	changed  chan struct{}
	// silent makes every call hang without an answer, as on a path that is cut.
	silent bool
	conns  map[net.Conn]struct{}
}

// maxReportedEnds is how many ends one answer has.
const maxReportedEnds = 500

func (k *worker) clock() time.Duration { return time.Since(k.bornAt) }

func newWorker(w *world, m *machine, id string) *worker {
	k := &worker{w: w, id: id, machine: m, bornAt: time.Now(), running: map[string]*run{}, lastRuns: map[string]int64{}, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	k.ln, k.address = w.listen()
	k.server = &http.Server{Handler: k, ConnState: func(c net.Conn, s http.ConnState) {
		k.mu.Lock()
		defer k.mu.Unlock()
		switch s {
		case http.StateNew:
			k.conns[c] = struct{}{}
		case http.StateClosed:
			delete(k.conns, c)
		}
	}}
	go func() { _ = k.server.Serve(k.ln) }()
	go k.loop()
	return k
}

// crash ends the worker and everything that runs on it.
func (k *worker) crash() {
	k.mu.Lock()
	k.dead = true
	for task, r := range k.running {
		k.w.rec.ended(k, task, r.number, "crashed")
	}
	k.running = map[string]*run{}
	k.mu.Unlock()
	_ = k.server.Close()
}

// loop ends the runs that are over, and all runs when the lease has expired.
func (k *worker) loop() {
	for {
		time.Sleep(5 * time.Millisecond)
		k.mu.Lock()
		if k.dead {
			k.mu.Unlock()
			return
		}
		k.step()
		k.mu.Unlock()
	}
}

func (k *worker) step() {
	if len(k.running) > 0 && k.clock() > k.lease {
		for task, r := range k.running {
			k.end(task, r, "lapsed")
		}
		return
	}
	for task, r := range k.running {
		if !r.endsAt.IsZero() && time.Now().After(r.endsAt) {
			k.end(task, r, "done")
		}
	}
}

func (k *worker) end(task string, r *run, how string) {
	delete(k.running, task)
	k.seq++
	k.ended = append(k.ended, endRow{k.seq, task, r.number, how, r.saved()})
	k.lastRuns[task] = max(k.lastRuns[task], r.number)
	k.w.rec.ended(k, task, r.number, how)
	close(k.changed)
	k.changed = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
	Percent  int    `json:"percent"`
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	_ = json.NewDecoder(r.Body).Decode(&o)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dead {
		panic(http.ErrAbortHandler)
	}
	if k.silent {
		k.mu.Unlock()
		<-r.Context().Done()
		k.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != k.id {
		k.reply(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	k.step()
	if o.Fence < k.fence {
		k.reply(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	k.fence = o.Fence
	switch r.URL.Path {
	case "/-/run-start":
		k.start(rw, o)
	case "/-/run-stop":
		k.lastRuns[o.Task] = max(k.lastRuns[o.Task], o.Run)
		if held := k.running[o.Task]; held != nil && held.number <= o.Run {
			k.w.rec.stopping(k, o.Task, held)
			k.end(o.Task, held, "stopped")
		}
		k.reply(rw, http.StatusOK, map[string]any{})
	case "/-/hold":
		k.hold(rw, r, o)
	case "/-/pace":
		if held := k.running[o.Task]; held != nil && held.number == o.Run {
			held.pace = o.Percent
			k.w.rec.paced(k, o.Task, o.Run, o.Percent)
		}
		k.reply(rw, http.StatusOK, map[string]any{})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (k *worker) reply(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = max(k.clock().Milliseconds(), 1)
	raw, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

func (k *worker) extendLease(deadlineMS int64) {
	until := min(time.Duration(deadlineMS)*time.Millisecond, k.clock()+holdMax)
	k.lease = max(k.lease, until)
}

func (k *worker) start(rw http.ResponseWriter, o order) {
	if time.Duration(o.Deadline)*time.Millisecond < k.clock() {
		k.reply(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	k.extendLease(o.Deadline)
	held := k.running[o.Task]
	if held != nil && held.number == o.Run {
		k.reply(rw, http.StatusOK, map[string]any{})
		return
	}
	if held != nil || o.Run <= k.lastRuns[o.Task] {
		k.reply(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	var b behaviour
	if json.Unmarshal([]byte(o.Spec), &b) != nil {
		k.reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	used := int64(0)
	for _, r := range k.running {
		if !r.what.Fills {
			used += r.what.CPU
		}
	}
	if !b.Fills {
		used += b.CPU
	}
	if used > k.machine.cpu {
		k.reply(rw, http.StatusConflict, map[string]any{"reason": "room"})
		return
	}
	now := time.Now()
	r := &run{number: o.Run, what: b, startedAt: now, pace: 100}
	if b.MS > 0 {
		r.endsAt = now.Add(time.Duration(b.MS) * time.Millisecond)
	}
	k.running[o.Task] = r
	k.w.rec.started(k, o.Task, o.Run, o.Spec)
	k.reply(rw, http.StatusOK, map[string]any{})
}

func (k *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.Deadline > 0 {
		k.extendLease(o.Deadline)
	}
	for len(k.ended) > 0 && k.ended[0][0].(int64) <= o.LastSeen {
		k.w.rec.noted(k, k.ended[0][1].(string), k.ended[0][2].(int64), k.ended[0][3].(string))
		k.ended = k.ended[1:]
	}
	limit := time.Now().Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for len(k.ended) == 0 && time.Now().Before(limit) && !k.dead && r.Context().Err() == nil {
		changed := k.changed
		timer := time.NewTimer(time.Until(limit))
		k.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		k.mu.Lock()
	}
	if k.dead || k.silent {
		panic(http.ErrAbortHandler)
	}
	running := []any{}
	for task, held := range k.running {
		running = append(running, []any{task, held.number, held.saved(), held.percent(), k.figure(held)})
	}
	finished := append([]endRow{}, k.ended[:min(len(k.ended), maxReportedEnds)]...)
	answer := map[string]any{"running": running, "finished": finished}
	if k.w.tellBirths {
		answer["born"] = k.bornAt.UnixMilli()
	}
	k.reply(rw, http.StatusOK, answer)
}

// figure is the last cell of a running row: the tail of a task that serves, else the cpu in use.
func (k *worker) figure(r *run) int64 {
	if r.what.Serves {
		return k.machine.tail.Load()
	}
	return r.what.CPU * int64(r.pace) / 100
}

// entry is what the worker writes to the platform's store.
func (k *worker) entry(seq int64) []byte {
	entry := map[string]any{
		"service": k.machine.pool, "address": k.address, "zone": k.machine.zone, "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": seq,
		"machine": k.machine.name, "capacity": map[string]int64{"cpu": k.machine.cpu, "mem_mb": 4 * k.machine.cpu, "gpu": 0}, "labels": []string{k.machine.kind, k.machine.rack},
	}
	if k.w.tellBirths {
		entry["born"] = k.bornAt.UnixMilli()
	}
	raw, _ := json.Marshal(entry)
	return raw
}
