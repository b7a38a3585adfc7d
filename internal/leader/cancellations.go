package leader

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// earlyCancellationRetention is how long a cancellation that was announced to a process
	// without a term is kept: longer than a rebuild takes.
	earlyCancellationRetention = 30 * time.Second
	// maxEarlyCancellations bounds the cancellations kept. Beyond them, the watch of jobs
	// delivers them.
	maxEarlyCancellations = 1000
)

// acceptCancellation applies a cancellation that is already in the store. It returns false when
// this process is not confirmed as the leader. The cancellation is applied all the same while the
// tenure may act, and kept for a term that is yet to begin: it only stops work, and an
// announcement is not repeated, while the watch may deliver nothing for seconds.
func (l *Leader) acceptCancellation(id string) bool {
	t := l.currentOrKeep(id)
	if t == nil || !t.tenure.MayAct() {
		return false
	}
	t.mu.Lock()
	t.cancelJob(steady.Now(), id)
	t.mu.Unlock()
	t.requestPlan()
	return t.tenure.Confirmed()
}

// currentOrKeep returns the current term. If there is none, it keeps the cancellation.
func (l *Leader) currentOrKeep(id string) *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == nil && len(l.earlyCancellations) < maxEarlyCancellations {
		if l.earlyCancellations == nil {
			l.earlyCancellations = map[string]time.Duration{}
		}
		l.earlyCancellations[id] = steady.Now()
	}
	return l.term
}

// applyEarlyCancellations applies the cancellations that were announced before the term began.
// l.mu is held.
func (l *Leader) applyEarlyCancellations(t *term) {
	now := steady.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, at := range l.earlyCancellations {
		if now-at < earlyCancellationRetention {
			t.cancelJob(now, id)
		}
	}
	l.earlyCancellations = nil
}

// cancelJob cancels a job, or records the cancellation of a job that is not known yet. t.mu is
// held.
func (t *term) cancelJob(now time.Duration, id string) {
	if _, known := t.sched.State(id); !known {
		t.cancelledEarly[id] = now
	}
	t.sched.Cancel(now, id)
}
