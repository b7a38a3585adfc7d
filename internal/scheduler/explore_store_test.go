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
	// crashes is set if the first task of each step crashes its VMs.
	crashes bool
}

// jobEvent is an event of a watch of the jobs.
type jobEvent struct {
	at     Time
	job    *modelJob
	cancel bool
}

// modelStore simulates the durable store.
type modelStore struct {
	downUntil Time
	// holder is the leader that holds the key until keyUntil.
	holder      *modelLeader
	keyUntil    Time
	jobs        []*modelJob
	events      []jobEvent
	records     map[string][]byte
	instances   map[string]string
	expiredRuns map[string]ExpiredLease
	tenures     []*modelLeader
	starts      map[SegmentID][]byte
	evacuations *batch.Evacuations
}

func (j *modelJob) submission(now Time) Submission {
	return Submission{Job: j.spec, Queue: j.queue, Pool: "pool", Age: now - j.acceptedAt, CreatedRevision: int64(j.acceptedAt)}
}

// listedInstances returns the VMs that have an entry in the store.
func (w *world) listedInstances() []batch.Instance {
	var listed []batch.Instance
	for _, v := range w.vms {
		if v.listed {
			listed = append(listed, w.instance(v))
		}
	}
	return listed
}

// submit adds a random job to the store.
func (w *world) submit() {
	if w.now < w.store.downUntil {
		return
	}
	j := &modelJob{spec: &batch.Job{ID: fmt.Sprintf("j%d", len(w.store.jobs))}, queue: "many", attempts: unlimitedAttempts, acceptedAt: w.now}
	j.spec.Steps = []batch.Step{tasks(1+w.rng.IntN(w.maxTasks()), taskSize)}
	if w.chance(20) {
		j.spec.Steps = append(j.spec.Steps, tasks(1, taskSize))
		j.spec.Steps[1].After = []int{0}
	}
	// Distinct estimates give each job its own place in the queue: jobs with equal places would
	// start in map iteration order.
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

// publish adds an event to the watch. A leader whose own process accepted the request applies the
// event at once.
func (w *world) publish(e jobEvent) {
	w.store.events = append(w.store.events, e)
	for _, l := range w.leaders {
		if w.chance(20) && w.now >= l.readyAt && w.isConfirmed(l) && w.reachesStore(l) {
			w.applyEvent(l, e)
		}
	}
}

// cancelRecentJob cancels one of the last five jobs.
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
