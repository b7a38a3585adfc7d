package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// failStreak is how many jobs in a row have to fail on a VM, with none done
	// there in between, before the VM is suspected. Declared failure rates are
	// up to 5 % a task: two in a row by chance come once in 400.
	failStreak = 2
	// quarantine is how long a suspected VM gets nothing at first; it doubles
	// with each failed probe up to maxQuarantine.
	quarantine    = 2 * time.Second
	maxQuarantine = 8 * time.Second
	// busyPause is the wait after a VM said that it is unhealthy.
	busyPause = 500 * time.Millisecond
	// unansweredPause is the wait after a VM left a start without an answer.
	unansweredPause = time.Second
)

// health is what runs on a VM tell of the VM itself. Its own word is not used:
// a VM that fails everything may call itself healthy.
type health struct {
	// streak counts the jobs that failed here in a row.
	streak     int
	lastFailed *job
	avoidUntil Time
	// probing allows one run at a time, until one is done; probe is the last one.
	probing  bool
	probe    *run
	sentence time.Duration
}

// usable reports whether the VM may get a run of the step now. A lasting task is
// no probe, since it never ends: it goes where it may as soon as the time is over.
func (h *health) usable(now Time, spec *batch.Step) bool {
	return now >= h.avoidUntil && (!h.probing || spec.Lasting || h.probe == nil || h.probe.dead)
}

// started notes a run as the probe of a suspected VM.
func (h *health) started(r *run) {
	if h.probing && !r.task.step.spec.Lasting {
		h.probe = r
	}
}

func (h *health) done() { *h = health{} }

// failed notes a failed run of j. A job that fails everywhere says nothing of
// the VM: it counts once, and only while it has not failed elsewhere.
func (h *health) failed(now Time, j *job, elsewhere bool) bool {
	if elsewhere || h.lastFailed == j {
		return false
	}
	h.lastFailed = j
	h.streak++
	if h.streak < failStreak && !h.probing {
		return false
	}
	h.sentence = min(max(2*h.sentence, quarantine), maxQuarantine)
	h.avoidUntil = now + h.sentence
	h.probing = true
	return true
}

func (h *health) refused(now Time, r batch.Refusal) {
	if r == batch.RefusedBusy {
		h.avoidUntil = max(h.avoidUntil, now+busyPause)
	}
}

func (h *health) unanswered(now Time) { h.avoidUntil = max(h.avoidUntil, now+unansweredPause) }

// learn takes what the end of a run tells of its VM.
func (s *Scheduler) learn(now Time, r *run, kind batch.EndKind) {
	v := r.vm
	switch kind {
	case batch.EndDone:
		v.health.done()
	case batch.EndFailed:
		if r.task.step.spec.Lasting {
			return
		}
		j := r.task.step.occ.job
		if v.health.failed(now, j, j.failedElsewhere(v.inst.ID)) {
			s.logf(Decision{Event: EventVMSuspected, VM: v.inst.ID, Reason: "failed runs", Age: v.health.sentence, Value: float64(v.health.streak)})
		}
	case batch.EndStopped, batch.EndLapsed, batch.EndBroken, batch.EndAlone:
	}
}

// failedElsewhere reports whether a run of the job failed on another VM.
func (j *job) failedElsewhere(id string) bool {
	for _, o := range j.occs {
		for i := range o.steps {
			for k := range o.steps[i].tasks {
				if on := o.steps[i].tasks[k].lastFailedOn; on != "" && on != id {
					return true
				}
			}
		}
	}
	return false
}
