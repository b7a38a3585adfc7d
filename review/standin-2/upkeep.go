//go:build review2

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// serversCut is the length of the cut of two workers.
	serversCut = 5500 * time.Millisecond
	// watchTasks is the number of tasks of the lasting step, of which mayMiss may be away.
	watchTasks = 24
	mayMiss    = 1
	// upkeepTakes and noticeTime are bounds.maintenance_s and bounds.notice_ms.
	upkeepTakes = 2 * time.Second
	noticeTime  = 4500 * time.Millisecond
	watchJob    = "00000000000000c1"
	// afterCut is for how long the wave is watched after the cut.
	afterCut = 25 * time.Second
)

// availability judges AVAIL for the tasks of watchJob.
type availability struct {
	c *cluster

	mu sync.Mutex
	// orderedAway holds the tasks that an order has ended and that are not at work again, with the
	// worker on which it ended them.
	orderedAway map[string]string
	broken      string
}

// at checks the rule as an order ends a task on a worker.
func (a *availability) at(on *worker, task, order string) {
	if jobOf(task) != watchJob {
		return
	}
	atWork := a.c.placesOf(watchJob)
	a.mu.Lock()
	defer a.mu.Unlock()
	away := []string{}
	for other, endedOn := range a.orderedAway {
		if slices.ContainsFunc(atWork[other], func(id string) bool { return id != endedOn }) {
			delete(a.orderedAway, other)
			continue
		}
		if other != task {
			away = append(away, other)
		}
	}
	a.orderedAway[task] = on.id
	a.c.record.logf("%s ends task %s on %s; others that such orders ended and that are away: %v", order, task, on.id, away)
	if len(away) >= mayMiss && a.broken == "" {
		a.broken = fmt.Sprintf("%s ends task %s, which is at work, while %d others of its step are away and %d may be", order, task, len(away), mayMiss)
	}
}

// placesOf returns the workers that run each task of a job.
func (c *cluster) placesOf(job string) map[string][]string {
	places := map[string][]string{}
	for _, m := range c.machines {
		w := m.current()
		if w == nil {
			continue
		}
		for _, task := range w.tasks() {
			if jobOf(task) == job {
				places[task] = append(places[task], w.id)
			}
		}
	}
	return places
}

// serveUpkeep takes a machine down for its upkeep.
func (a *availability) serveUpkeep(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	for _, m := range a.c.machines {
		if m.name != o.Machine {
			continue
		}
		if m.upkept {
			reply(rw, http.StatusOK, map[string]any{})
			return
		}
		w := m.current()
		if w == nil {
			reply(rw, http.StatusConflict, map[string]any{"reason": "busy"})
			return
		}
		m.upkept = true
		a.c.record.logf("%s, token %s, orders the upkeep of %s", r.Header.Get("Holder"), r.Header.Get("Fence-Token"), o.Machine)
		for _, task := range w.tasks() {
			a.at(w, task, "an upkeep")
		}
		a.c.crashFor(m, upkeepTakes)
		reply(rw, http.StatusOK, map[string]any{})
		return
	}
	reply(rw, http.StatusBadRequest, nil)
}

// tasks returns the tasks that the worker runs.
func (w *worker) tasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return sortedKeys(w.running)
}

// leader returns the process that last wrote the leader's key.
func (c *cluster) leader() *node {
	raw, _ := c.store.store.Value("lead/leader")
	var out struct {
		Node string `json:"node"`
	}
	_ = json.Unmarshal(raw, &out)
	for _, n := range c.nodes {
		if n.name == out.Node {
			return n
		}
	}
	return nil
}

// playUpkeep cuts two workers off while the leader is stopped as planned and the operator asks for the
// upkeep of all machines.
func playUpkeep(c *cluster, trouble bool) (string, error) {
	a := &availability{c: c, orderedAway: map[string]string{}}
	c.upkeep = a.serveUpkeep
	c.stopped = func(w *worker, task string) { go a.at(w, task, "a stop") }
	step := map[string]any{"count": watchTasks, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 500, "long_running": true, "may_miss": mayMiss}
	if status := c.submit(c.nodes[0], watchJob, behaviour{}, []map[string]any{step}); status != 200 {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	for end := time.Now().Add(15 * time.Second); c.runningOf(watchJob) < watchTasks; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return "", errors.New("the lasting tasks did not start")
		}
	}
	time.Sleep(noticeTime)
	if trouble {
		c.machines[0].setCut(true)
		c.machines[1].setCut(true)
	}
	leader := c.leader()
	if leader == nil {
		return "", errors.New("nobody leads")
	}
	c.record.logf("%s, which leads, gets SIGTERM", leader.name)
	if err := leader.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return "", err
	}
	names := []string{}
	for _, m := range c.machines {
		names = append(names, m.name)
	}
	raw, err := json.Marshal(map[string]any{"wave": 1, "machines": names, "duration_s": 60, "max_count": 2})
	if err != nil {
		return "", err
	}
	c.store.put("op/wave/1", raw)
	c.record.logf("the operator asks for wave 1: %s", raw)
	time.Sleep(serversCut)
	if trouble {
		c.machines[0].setCut(false)
		c.machines[1].setCut(false)
	}
	time.Sleep(afterCut)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.broken, nil
}
