package scheduler

import (
	"fmt"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// modelJob is an accepted job.
type modelJob struct {
	spec       *batch.Job
	queue      string
	attempts   int
	acceptedAt Time
	cancelled  bool
	// crashes: the first task of each step ends its VMs.
	crashes bool
}

// jobEvent is what a watch of the jobs tells.
type jobEvent struct {
	at     Time
	job    *modelJob
	cancel bool
}

// modelStore is the durable store.
type modelStore struct {
	downUntil Time
	// holder has the leader's key until keyUntil.
	holder      *modelLeader
	keyUntil    Time
	jobs        []*modelJob
	events      []jobEvent
	records     map[string][]byte
	instances   map[string]string
	expiredRuns map[string]ExpiredLease
	tenures     []*modelLeader
	starts      map[SegmentID][]byte
}

func (j *modelJob) submission(now Time) Submission {
	return Submission{Job: j.spec, Queue: j.queue, Pool: "pool", Age: now - j.acceptedAt, CreatedRevision: int64(j.acceptedAt)}
}

// listedInstances is the store's list of VMs.
func (w *world) listedInstances() []batch.Instance {
	var out []batch.Instance
	for _, v := range w.vms {
		if v.listed {
			out = append(out, w.instance(v))
		}
	}
	return out
}

// submit accepts a job; a leader whose own process accepts it need not wait for
// its watch.
func (w *world) submit() {
	if w.now < w.store.downUntil {
		return
	}
	j := &modelJob{spec: &batch.Job{ID: fmt.Sprintf("j%d", len(w.store.jobs))}, queue: "many", attempts: unlimitedAttempts, acceptedAt: w.now}
	j.spec.Steps = []batch.Step{tasks(1+w.rng.IntN(2), taskSize)}
	if w.chance(20) {
		j.spec.Steps = append(j.spec.Steps, tasks(1, taskSize))
		j.spec.Steps[1].After = []int{0}
	}
	// No two jobs have the same work, so that no two have the same place in the queue:
	// such would start in the order of a map.
	for i := range j.spec.Steps {
		j.spec.Steps[i].Estimate += time.Duration(len(w.store.jobs)) * time.Millisecond
	}
	if w.faults.attemptLimits && w.chance(70) {
		j.queue, j.attempts = "two", 2
		if w.chance(50) {
			j.queue, j.attempts = "three", 3
		}
	}
	j.crashes = w.faults.crashingTasks && w.chance(10)
	if w.faults.scheduledJobs && w.chance(50) {
		j.spec.Schedule = &batch.Schedule{FirstMS: w.wallMS() + w.upTo(time.Second).Milliseconds(), IntervalMS: 200 + w.upTo(3*time.Second).Milliseconds(), Count: 1 + w.rng.IntN(4)}
	}
	w.store.jobs = append(w.store.jobs, j)
	w.jobs[j.spec.ID] = j
	w.publish(jobEvent{at: w.now, job: j})
}

func (w *world) publish(e jobEvent) {
	w.store.events = append(w.store.events, e)
	for _, l := range w.leaders {
		if w.chance(20) && w.now >= l.readyAt && w.isConfirmed(l) && w.reachesStore(l) {
			w.applyEvent(l, e)
		}
	}
}

// cancelRecentJob cancels a job of late.
func (w *world) cancelRecentJob() {
	n := len(w.store.jobs)
	if n == 0 || w.now < w.store.downUntil {
		return
	}
	if j := w.store.jobs[n-1-w.rng.IntN(min(n, 5))]; !j.cancelled {
		j.cancelled = true
		w.publish(jobEvent{at: w.now, job: j, cancel: true})
	}
}

// wallMS is the time of day in milliseconds.
func (w *world) wallMS() int64 { return 1_000_000 + w.now.Milliseconds() }
