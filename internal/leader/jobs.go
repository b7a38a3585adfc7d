package leader

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// awaitConfirmed waits until this process is certain to hold the leader's lease, and reports
// whether it does. A leader that was cut off and is connected again continues what it had
// started, but must not accept jobs that arrived meanwhile: a successor may have started them
// on VMs that are unreachable from here.
func (t *term) awaitConfirmed() bool {
	for !t.tenure.Confirmed() {
		if !t.tenure.MayAct() {
			return false
		}
		time.Sleep(confirmPollInterval)
	}
	return true
}

// AcceptAnnouncement accepts a job or a cancellation that is already in the store. It returns
// false when this process is not confirmed as the leader; then the leader's watch delivers the
// change.
func (l *Leader) AcceptAnnouncement(key string, value []byte) bool {
	if id, cancelled := parseJobKey(key); cancelled {
		return l.acceptCancellation(id)
	}
	t := l.currentTerm()
	if t == nil || !t.tenure.Confirmed() {
		return false
	}
	t.observeJobs([]durable.Item{{Key: key, Value: value}}, false)
	return true
}

// lockConfirmed locks t.mu while the leader's lease is confirmed; ok is false when the tenure
// is over. The lease may expire during the wait for the lock, so it is checked again
// afterwards.
func (t *term) lockConfirmed() (ok bool) {
	for t.awaitConfirmed() {
		t.mu.Lock()
		if t.tenure.Confirmed() {
			return true
		}
		t.mu.Unlock()
	}
	return false
}

// observeJobs accepts new jobs and cancellations.
func (t *term) observeJobs(items []durable.Item, _ bool) {
	if !t.lockConfirmed() {
		return
	}
	for i := range items {
		if !items[i].Deleted {
			t.observeJob(&items[i])
		}
	}
	t.mu.Unlock()
	t.requestPlan()
}

func (t *term) observeJob(item *durable.Item) {
	now := steady.Now()
	id, cancelled := parseJobKey(item.Key)
	if cancelled {
		t.cancelJob(now, id)
		return
	}
	if t.removed.covers(id, item) {
		return
	}
	r, err := decodeJob(id, item.Value)
	if err != nil {
		t.log.Warn("job_unreadable", err, eventlog.Fields{"job": id})
		return
	}
	sub := r.submission(t.jobAge(r))
	sub.CreatedRevision = item.Created
	// An ended job that is unknown to this leader: its results are in its record, and its
	// payload was removed.
	sub.Unreadable = r.Ended
	_, sub.Cancelled = t.cancelledEarly[id]
	t.sched.Submit(now, sub)
}

// jobAge returns the time since a job was submitted.
func (t *term) jobAge(r *JobRecord) time.Duration {
	age := time.Duration(t.WallMS()-r.SubmittedMS) * time.Millisecond
	return min(max(age, 0), maxJobAge)
}
