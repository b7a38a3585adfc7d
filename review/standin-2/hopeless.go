//go:build review2

package main

import (
	"fmt"
	"time"
)

const (
	// trafficJobs is how many jobs of a lasting task come, one each trafficGap. One in hopelessEvery
	// can never be done.
	trafficJobs   = 1400
	trafficGap    = 33 * time.Millisecond
	hopelessEvery = 20
	// maxWait is how long a lasting task is given to start after the end of the traffic.
	maxWait = finishAfter + 4*time.Second
)

// playHopeless hands in small lasting jobs that any worker can run, and a few among them that are too
// large for every worker.
func playHopeless(c *cluster, trouble bool) (string, error) {
	var jobs []string
	hopeless := 0
	next := time.Now()
	for i := range trafficJobs {
		id := fmt.Sprintf("%016x", 0x10000+i)
		c.mu.Lock()
		c.terse[id] = true
		c.mu.Unlock()
		step := map[string]any{"count": 1, "cpu": 100, "mem_mb": 64, "estimate_ms": 500, "long_running": true}
		isHopeless := i%hopelessEvery == hopelessEvery-1
		if isHopeless && !trouble {
			continue
		}
		if isHopeless {
			// No two of these jobs need the same, and none needs less than another in all respects.
			hopeless++
			step["cpu"], step["mem_mb"] = workerCPU+1000+500*hopeless, 64000-500*hopeless
		}
		status := c.submit(c.nodes[i%edgeCount], id, behaviour{}, []map[string]any{step})
		if status == 200 && !isHopeless {
			jobs = append(jobs, id)
		}
		next = next.Add(trafficGap)
		time.Sleep(time.Until(next))
	}
	c.record.logf("end of the traffic: %d jobs were accepted that any worker can run, %d that none can", len(jobs), hopeless)
	time.Sleep(maxWait)
	idle, running := 0, 0
	for _, id := range jobs {
		n := c.runningOf(id)
		running += n
		if n > 0 || c.startsSince(id, c.record.began) > 0 {
			continue
		}
		state, status := c.state(c.nodes[0], id)
		c.record.logf("client: GET %s: %d %s; none of its runs was ever started", id, status, state)
		if status == 200 {
			idle++
		}
	}
	c.record.logf("%d tasks run, on %.1f of %d cores", running, float64(running)/10, workerCount*workerCPU/1000)
	if idle > 0 {
		return fmt.Sprintf("%d accepted jobs that any worker can run have nothing running %s after the end of the traffic, with most of all cores free", idle, maxWait), nil
	}
	return "", nil
}
