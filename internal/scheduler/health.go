package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// suspectThreshold is how many jobs in a row have to fail on a VM, with none done
	// there in between, before the VM is suspected. Declared failure rates are
	// up to 5 % a task: two in a row by chance come once in 400.
	suspectThreshold = 2
	// initialQuarantine is how long a suspected VM gets nothing at first; it doubles
	// with each failed probe up to maxQuarantine.
	initialQuarantine = 2 * time.Second
	maxQuarantine     = 8 * time.Second
	// busyDelay is the wait after a VM said that it is unhealthy.
	busyDelay = 500 * time.Millisecond
	// unansweredDelay is the wait after a VM left a start without an answer.
	unansweredDelay = time.Second
)

// health is what runs on a VM tell of the VM itself. Its own word is not used:
// a VM that fails everything may call itself healthy.
type health struct {
	// failStreak counts the jobs that failed here in a row.
	failStreak int
	lastFailed *job
	avoidUntil Time
	// probing allows one run at a time, until one is done; probe is the last one.
	probing    bool
	probe      *run
	quarantine time.Duration
}

// usable reports whether the VM may get a run of the step now. A lasting task is
// no probe, since it never ends: it goes where it may as soon as the time is over.
func (h *health) usable(now Time, spec *batch.Step) bool {
	return now >= h.avoidUntil && (!h.probing || spec.Lasting || h.probe == nil || h.probe.released)
}

// recordStart notes a run as the probe of a suspected VM.
func (h *health) recordStart(r *run) {
	if h.probing && !r.task.step.spec.Lasting {
		h.probe = r
	}
}

func (h *health) reset() { *h = health{} }

// recordFailure notes a failed run of j. A job that fails everywhere says nothing of
// the VM: it counts once, and only while it has not failed elsewhere.
func (h *health) recordFailure(now Time, j *job, elsewhere bool) bool {
	if elsewhere || h.lastFailed == j {
		return false
	}
	h.lastFailed = j
	h.failStreak++
	if h.failStreak < suspectThreshold && !h.probing {
		return false
	}
	h.quarantine = min(max(2*h.quarantine, initialQuarantine), maxQuarantine)
	h.avoidUntil = now + h.quarantine
	h.probing = true
	return true
}

func (h *health) recordRefusal(now Time, r batch.Refusal) {
	if r == batch.RefusedBusy {
		h.avoidUntil = max(h.avoidUntil, now+busyDelay)
	}
}

func (h *health) recordUnanswered(now Time) { h.avoidUntil = max(h.avoidUntil, now+unansweredDelay) }

// updateHealth takes what the end of a run tells of its VM.
func (s *Scheduler) updateHealth(now Time, r *run, kind batch.EndKind) {
	v := r.vm
	switch kind {
	case batch.EndDone:
		v.health.reset()
	case batch.EndFailed:
		if r.task.step.spec.Lasting {
			return
		}
		j := r.task.step.occ.job
		if v.health.recordFailure(now, j, j.failedElsewhere(v.inst.ID)) {
			s.logf(Decision{Event: EventVMSuspected, VM: v.inst.ID, Reason: "failed runs", Age: v.health.quarantine, Value: float64(v.health.failStreak)})
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
