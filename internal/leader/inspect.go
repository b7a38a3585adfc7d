package leader

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// State returns the state of a job. leading is false when this process does not lead, known is
// false when the job is unknown to it.
func (l *Leader) State(id string) (state batch.State, known, leading bool) {
	t := l.currentTerm()
	if t == nil || !t.tenure.MayAct() {
		return "", false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state, known = t.sched.State(id)
	return state, known, true
}

// Forecast returns the predicted waits of new jobs and the age of the prediction; nil when this
// process is not confirmed as the leader, or its policy refuses nothing.
func (l *Leader) Forecast() (f *admission.Forecast, age time.Duration) {
	t := l.currentTerm()
	if t == nil || !t.tenure.Confirmed() {
		return nil, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := steady.Now()
	f = t.sched.Forecast(now)
	return f, t.sched.ForecastAge(now)
}

// Waiting returns the number of jobs in a queue none of whose tasks has started.
func (l *Leader) Waiting(queue string) (n int, leading bool) {
	t := l.currentTerm()
	if t == nil || !t.tenure.MayAct() {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sched.WaitingJobs(queue), true
}

// Dump returns the scheduler's state, or nil when this process does not lead.
func (l *Leader) Dump() *scheduler.Dump {
	t := l.currentTerm()
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.sched.Dump(steady.Now())
	return &d
}

// Stats are counts of a leader's state.
type Stats struct {
	scheduler.Stats
	// Confirmed is set while the lease can't have expired, so that no other process leads.
	Confirmed bool
	// UnackedEnds counts the ends that VMs keep reporting. OldestUnacked is the age of the
	// oldest one.
	UnackedEnds   int
	OldestUnacked time.Duration
	// StartWindow is the limit of concurrent starts, StartsWaiting the number of starts that
	// wait for a slot.
	StartWindow, StartsWaiting int
	// Relays holds the number of VMs that each relay serves, by node.
	Relays map[string]int
}

// Stats returns the current counts; leading is false when this process does not lead or may
// not send orders any more.
func (l *Leader) Stats() (f Stats, leading bool) {
	t := l.currentTerm()
	if t == nil || !t.tenure.MayAct() {
		return f, false
	}
	return t.stats(), true
}

func (t *term) stats() Stats {
	now := steady.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	f := Stats{Stats: t.sched.Stats(now), Confirmed: t.tenure.Confirmed()}
	for _, unacked := range t.unackedEnds {
		f.UnackedEnds += unacked.count
		f.OldestUnacked = max(f.OldestUnacked, now-unacked.since)
	}
	f.StartWindow, f.StartsWaiting = t.startWindow.stats()
	if t.Relays != nil {
		f.Relays = t.Relays.Serving()
	}
	return f
}

// Explain describes the status of a job; ok is false when this process does not lead or does
// not know the job.
func (l *Leader) Explain(id string) (x scheduler.Explanation, ok bool) {
	t := l.currentTerm()
	if t == nil {
		return x, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sched.Explain(steady.Now(), id)
}
