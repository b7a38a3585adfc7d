package entry

import (
	"sync/atomic"
	"time"

	"github.com/rattanwall/rattanwall/internal/steady"
)

// Reach tells whether the other side of a path answers, from the calls that this
// process makes. A path that was cut goes on taking calls, and each of them is
// then of unknown outcome: a caller whose job may or may not have been accepted
// can't come back with it elsewhere, while one that is refused at once can.
// The zero value is a path that was never used.
type Reach struct {
	answeredAt, unansweredAt, brokenAt atomic.Int64
}

const (
	// leastSilence is how long a call has to be without an answer to tell anything by
	// itself: a caller may leave, or have little time, and an idle connection may be
	// reset while new ones work. Calls are answered within some 20 ms, and given up
	// after 500.
	leastSilence = 300 * time.Millisecond
	// brokenTwice: two calls that were broken off sooner, the second begun after the
	// first, tell as much if no answer came between them and they are no further apart. A
	// store that resets connections does so within milliseconds; waiting for silence, each
	// caller's job would be sent into the outage and end in doubt.
	brokenTwice = 2 * time.Second
)

// Answered notes an answer, whatever it says.
func (r *Reach) Answered() { r.answeredAt.Store(int64(steady.Now())) }

// Unanswered notes a call that was sent at sentAt, on the steady clock, and got no
// answer. An answer to a later call counts more.
func (r *Reach) Unanswered(sentAt time.Duration) {
	if now := steady.Now(); now-sentAt >= leastSilence && r.AnsweredAt() <= sentAt {
		r.unansweredAt.Store(int64(now))
	}
}

// Broken notes a call that was sent at sentAt and whose connection was broken off
// without an answer, however soon.
func (r *Reach) Broken(sentAt time.Duration) {
	r.Unanswered(sentAt)
	now := steady.Now()
	before := time.Duration(r.brokenAt.Swap(int64(now)))
	if before > 0 && before <= sentAt && now-before < brokenTwice && r.AnsweredAt() < before {
		r.unansweredAt.Store(int64(now))
	}
}

// AnsweredAt is when the last answer came, on the steady clock; 0 for never.
func (r *Reach) AnsweredAt() time.Duration { return time.Duration(r.answeredAt.Load()) }

// Within reports whether an answer came within d, the last one at alsoAt or here,
// and no call has gone unanswered since.
func (r *Reach) Within(d, alsoAt time.Duration) bool {
	at := max(r.AnsweredAt(), alsoAt)
	return at > 0 && steady.Now()-at < d && at > time.Duration(r.unansweredAt.Load())
}
