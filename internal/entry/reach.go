package entry

import (
	"sync/atomic"
	"time"

	"github.com/rattanwall/rattanwall/internal/steady"
)

// Reachability tells whether the other side of a path answers, from the calls that this
// process makes. A path that was cut goes on taking calls, and each of them is
// then of unknown outcome: a caller whose job may or may not have been accepted
// can't come back with it elsewhere, while one that is refused at once can.
// The zero value is a path that was never used.
type Reachability struct {
	respondedAt, unansweredAt, resetAt atomic.Int64
}

const (
	// minUnansweredTime is how long a call has to be without an answer to tell anything by
	// itself: a caller may leave, or have little time, and an idle connection may be
	// reset while new ones work. Calls are answered within some 20 ms, and given up
	// after 500.
	minUnansweredTime = 300 * time.Millisecond
	// maxResetInterval: two calls that were broken off sooner, the second begun after the
	// first, tell as much if no answer came between them and they are no further apart. A
	// store that resets connections does so within milliseconds; waiting for silence, each
	// caller's job would be sent into the outage and end in doubt.
	maxResetInterval = 2 * time.Second
)

// RecordResponse notes an answer, whatever it says.
func (r *Reachability) RecordResponse() { r.respondedAt.Store(int64(steady.Now())) }

// RecordUnanswered notes a call that was sent at sentAt, on the steady clock, and got no
// answer. An answer to a later call counts more.
func (r *Reachability) RecordUnanswered(sentAt time.Duration) {
	if now := steady.Now(); now-sentAt >= minUnansweredTime && r.LastResponseAt() <= sentAt {
		r.unansweredAt.Store(int64(now))
	}
}

// RecordReset notes a call that was sent at sentAt and whose connection was broken off
// without an answer, however soon.
func (r *Reachability) RecordReset(sentAt time.Duration) {
	r.RecordUnanswered(sentAt)
	now := steady.Now()
	before := time.Duration(r.resetAt.Swap(int64(now)))
	if before > 0 && before <= sentAt && now-before < maxResetInterval && r.LastResponseAt() < before {
		r.unansweredAt.Store(int64(now))
	}
}

// LastResponseAt is when the last answer came, on the steady clock; 0 for never.
func (r *Reachability) LastResponseAt() time.Duration { return time.Duration(r.respondedAt.Load()) }

// RespondedWithin reports whether an answer came within d, the last one at alsoAt or here,
// and no call has gone unanswered since.
func (r *Reachability) RespondedWithin(d, alsoAt time.Duration) bool {
	at := max(r.LastResponseAt(), alsoAt)
	return at > 0 && steady.Now()-at < d && at > time.Duration(r.unansweredAt.Load())
}
