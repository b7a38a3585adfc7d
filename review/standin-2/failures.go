//go:build review2

package main

import (
	"fmt"
	"time"
)

const (
	// lastingSteps and lastingTasks are the most steps of a job and tasks of a step on the site.
	lastingSteps = 5
	lastingTasks = 36
	// failAfter is how long each run of the lasting job lives.
	failAfter = 60
	// enoughFailures is after how many of them one worker crashes, at the latest after crashAfter.
	enoughFailures = 62_000
	crashAfter     = 75 * time.Second
	// afterCrash is how long small jobs go on coming then; finishAfter is bounds.finish_s.
	afterCrash  = 7 * time.Second
	crashFor    = 4500 * time.Millisecond
	finishAfter = 14 * time.Second
	// tasksOfSmall is the number of tasks of each small job.
	tasksOfSmall = 4
)

// playFailures runs a job of lasting tasks that fail soon after each start, beside small jobs. After
// a while one worker crashes and comes back.
func playFailures(c *cluster, trouble bool) (string, error) {
	const lasting = "ff000000000000f0"
	c.terse[lasting] = true
	steps := make([]map[string]any, lastingSteps)
	for i := range steps {
		steps[i] = map[string]any{"count": lastingTasks, "cpu": 500, "mem_mb": 256, "estimate_ms": 1000, "long_running": true}
	}
	if status := c.submit(c.nodes[0], lasting, behaviour{Millis: failAfter, Fails: true}, steps); status != 200 {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	var jobs []string
	began := time.Now()
	var crashedAt time.Time
	for i := 0; crashedAt.IsZero() || time.Since(crashedAt) < afterCrash; i++ {
		id := fmt.Sprintf("%016x", 0x1000+i)
		small := []map[string]any{{"count": tasksOfSmall, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}}
		if status := c.submit(c.nodes[i%edgeCount], id, behaviour{Millis: 500}, small); status == 200 {
			jobs = append(jobs, id)
		}
		failures := c.endsOf(lasting, "failed")
		if i%5 == 0 {
			c.record.logf("lasting job: %d starts, %d ends as failed", c.startsSince(lasting, began), failures)
		}
		if crashedAt.IsZero() && (failures >= enoughFailures || time.Since(began) > crashAfter) {
			crashedAt = time.Now()
			if trouble {
				c.crashFor(c.machines[0], crashFor)
			}
		}
		time.Sleep(time.Second)
	}
	time.Sleep(finishAfter)
	return c.judgeSmallJobs(jobs)
}

// crashFor crashes a machine's worker and starts another one there after d.
func (c *cluster) crashFor(m *machine, d time.Duration) {
	m.crash()
	time.AfterFunc(d, func() {
		if err := m.start(); err != nil {
			c.record.logf("worker does not start: %v", err)
		}
	})
}

// judgeSmallJobs checks the rule LOST for jobs after the end of the traffic.
func (c *cluster) judgeSmallJobs(jobs []string) (string, error) {
	idle := map[string]bool{}
	since := time.Now()
	for _, id := range jobs {
		if state, status := c.state(c.nodes[0], id); state != "completed" {
			c.record.logf("client: GET %s: %d %s, %d runs now", id, status, state, c.runningOf(id))
			idle[id] = c.runningOf(id) == 0
		}
	}
	for end := since.Add(3500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for id := range idle {
			if c.runningOf(id) > 0 || c.startsSince(id, since) > 0 {
				idle[id] = false
			}
		}
	}
	for _, m := range c.machines {
		if w := m.current(); w != nil {
			c.record.logf("worker %s: %d ends not taken note of", w.id, w.unacknowledged())
		}
	}
	broken := 0
	for _, id := range sortedKeys(idle) {
		if state, _ := c.state(c.nodes[0], id); idle[id] && state != "completed" {
			done := c.endsOf(id, "done")
			c.record.logf("job %s: %s, %d of %d tasks are done, nothing has run for 3.5 s", id, state, done, tasksOfSmall)
			if done < tasksOfSmall {
				broken++
			}
		}
	}
	if broken > 0 {
		return fmt.Sprintf("%d accepted jobs have nothing running for 3 s, %s after the end of the traffic, while the workers are idle", broken, finishAfter), nil
	}
	return "", nil
}
