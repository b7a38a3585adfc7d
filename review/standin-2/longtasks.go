//go:build review2

package main

import (
	"fmt"
	"time"
)

const (
	// longTasks is how many tasks the long job has, each of longTaskMillis.
	longTasks        = 36
	longTaskMillis   = 300_000
	longTaskEstimate = 5_000
	// burstJobs is how many small jobs come then.
	burstJobs = 60
)

// playLongTasks runs a job whose tasks take minutes, beside small jobs.
func playLongTasks(c *cluster, trouble bool) (string, error) {
	const long = "ff000000000000f1"
	if trouble {
		step := map[string]any{"count": longTasks, "cpu": 2000, "mem_mb": 1024, "estimate_ms": longTaskEstimate}
		if status := c.submit(c.nodes[0], long, behaviour{Millis: longTaskMillis}, []map[string]any{step}); status != 200 {
			return "", fmt.Errorf("the long job was not accepted: %d", status)
		}
	}
	// The long tasks run for a while before the small jobs come.
	time.Sleep(20 * time.Second)
	var jobs []string
	for i := range burstJobs {
		id := fmt.Sprintf("%016x", 0x1000+i)
		small := []map[string]any{{"count": tasksOfSmall, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1000}}
		if status := c.submit(c.nodes[i%edgeCount], id, behaviour{Millis: 1000}, small); status == 200 {
			jobs = append(jobs, id)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(finishAfter)
	if trouble {
		c.record.logf("long job: %d starts, %d runs now, %d ends as stopped, %d as done", c.startsSince(long, c.record.began), c.runningOf(long), c.endsOf(long, "stopped"), c.endsOf(long, "done"))
	}
	return c.judgeSmallJobs(jobs)
}
