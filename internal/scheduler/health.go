package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// suspectThreshold is how many consecutive jobs have to fail on a VM before it is
	// suspected. Declared failure rates are up to 5 % per task, so two failures in a row
	// occur by chance once in 400 cases.
	suspectThreshold = 2
	// initialQuarantine is how long a suspected VM gets no work at first. It doubles with
	// each failed probe up to maxQuarantine.
	initialQuarantine = 2 * time.Second
	maxQuarantine     = 8 * time.Second
	// busyDelay is how long a VM gets no work after it refused a start as unhealthy.
	busyDelay = 500 * time.Millisecond
	// unansweredDelay is how long a VM gets no work after it did not respond to a start.
	unansweredDelay = time.Second
)

// health rates a VM by the outcome of its runs. The VM's own health report is not used,
// since a VM that fails every run may report itself healthy.
type health struct {
	// failStreak counts the jobs that failed here in a row.
	failStreak int
	lastFailed *job
	avoidUntil Time
	// probing limits the VM to one run at a time until a run completes; probe is the
	// latest such run.
	probing    bool
	probe      *run
	quarantine time.Duration
}

// usable reports whether the VM may get a run of the step now. Lasting tasks never end
// and are thus no probes; they only wait for the end of the quarantine.
func (h *health) usable(now Time, spec *batch.Step) bool {
	return now >= h.avoidUntil && (!h.probing || spec.Lasting || h.probe == nil || h.probe.released)
}

// recordStart makes a run the probe of a suspected VM.
func (h *health) recordStart(r *run) {
	if h.probing && !r.task.step.spec.Lasting {
		h.probe = r
	}
}

func (h *health) reset() { *h = health{} }

// recordFailure records a failed run of j and reports whether the VM is now quarantined.
// Since a job may fail on every VM, it counts only once here and only if it has not
// failed elsewhere.
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

// recordRelocation keeps new work off a VM while a run that is slow there is restarted elsewhere.
func (h *health) recordRelocation(now Time) { h.avoidUntil = max(h.avoidUntil, now+busyDelay) }

func (h *health) recordUnanswered(now Time) { h.avoidUntil = max(h.avoidUntil, now+unansweredDelay) }

// updateHealth updates the health of a run's VM from the run's end.
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
