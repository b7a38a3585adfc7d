//go:build review2

package main

import (
	"fmt"
	"time"
)

const (
	// greyFor is how long the only worker of a kind fails all that it starts.
	greyFor = 5 * time.Second
	// longRun is how long the long task runs, in milliseconds.
	longRun = 70_000
)

// playProbation lets the only worker of a kind fail all that it starts for some seconds. Then a long
// task runs there, and short ones that need the same kind are to run beside it.
func playProbation(c *cluster, trouble bool) (string, error) {
	m := c.machines[workerCount-1]
	steps := func(estimate int) []map[string]any {
		return []map[string]any{{"count": 1, "cpu": 2000, "mem_mb": 1024, "estimate_ms": estimate, "required_label": "b"}}
	}
	if trouble {
		m.setGrey(true)
	}
	for i := range 2 {
		if status := c.submitTo(c.nodes[i], laterPrefix, fmt.Sprintf("%016x", 0xa0+i), behaviour{Millis: 1000}, steps(1000)); status != 200 {
			return "", fmt.Errorf("a job was not accepted: %d", status)
		}
	}
	time.Sleep(time.Second)
	if status := c.submit(c.nodes[2], fmt.Sprintf("%016x", 0xb0), behaviour{Millis: longRun}, steps(longRun)); status != 200 {
		return "", fmt.Errorf("the long job was not accepted: %d", status)
	}
	time.Sleep(greyFor - time.Second)
	if trouble {
		m.setGrey(false)
	}
	time.Sleep(5 * time.Second)
	var jobs []string
	for i := range 3 {
		id := fmt.Sprintf("%016x", 0x1000+i)
		if status := c.submitTo(c.nodes[i], laterPrefix, id, behaviour{Millis: 1000}, steps(1000)); status != 200 {
			return "", fmt.Errorf("a job was not accepted: %d", status)
		}
		jobs = append(jobs, id)
	}
	time.Sleep(finishAfter + 8*time.Second)
	idle := 0
	for _, id := range jobs {
		state, status := c.state(c.nodes[0], id)
		starts := c.startsSince(id, c.record.began)
		c.record.logf("client: GET %s: %d %s; started %d times", id, status, state, starts)
		if state == "queued" && starts == 0 {
			idle++
		}
	}
	w := m.current()
	w.mu.Lock()
	c.record.logf("worker %s runs %d tasks of 2 of its 32 cores", w.id, len(w.running))
	w.mu.Unlock()
	if idle > 0 {
		return fmt.Sprintf("%d accepted jobs have nothing running %s after the end of the traffic, while the only worker that they may use has 30 of 32 cores free", idle, finishAfter+8*time.Second), nil
	}
	return "", nil
}
