package leader

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// State returns what callers may be told of a job. leading is false when this
// process does not lead; known is false when it has not heard of the job.
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

// Waiting counts a queue's jobs of which nothing has started.
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

// Stats are the state of a leader in counts.
type Stats struct {
	scheduler.Stats
	// Confirmed is set while the lease can't have run out: nobody else leads.
	Confirmed bool
	// UnackedEnds counts the ends that VMs go on telling; OldestUnacked is since
	// when the oldest is told.
	UnackedEnds   int
	OldestUnacked time.Duration
	// StartWindow is how many starts may be under way, StartsWaiting how many wait for
	// their turn.
	StartWindow, StartsWaiting int
	// Relays are the processes that carry orders, with how many VMs each serves.
	Relays map[string]int
}

// Stats returns the state in counts; leading is false when this process does
// not lead, or may not give orders any more.
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
	for _, told := range t.unackedEnds {
		f.UnackedEnds += told.count
		f.OldestUnacked = max(f.OldestUnacked, now-told.since)
	}
	f.StartWindow, f.StartsWaiting = t.startWindow.stats()
	if t.Relays != nil {
		f.Relays = t.Relays.Serving()
	}
	return f
}

// Explain says where a job stands; ok is false when this process does not lead or
// does not know it.
func (l *Leader) Explain(id string) (x scheduler.Explanation, ok bool) {
	t := l.currentTerm()
	if t == nil {
		return x, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sched.Explain(steady.Now(), id)
}
