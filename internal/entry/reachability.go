package entry

import (
	"sync/atomic"
	"time"

	"github.com/rattanwall/rattanwall/internal/steady"
)

// Reachability tracks whether the remote side of a path responds, based on the calls that this
// process makes. A broken path may still accept calls, each of which then has an unknown
// outcome. Refusing calls early avoids that: the caller of a job of unknown outcome can't
// submit it elsewhere, whereas a refused caller can do so immediately. The zero value is a path
// that was never used.
type Reachability struct {
	respondedAt, unansweredAt, resetAt atomic.Int64
}

const (
	// minUnansweredTime is how long a single call must stay without a response to count as
	// evidence: a caller may disconnect or have a short deadline, and an idle connection may be
	// reset while new ones work. Calls normally complete within 20 ms, and time out after 500 ms.
	minUnansweredTime = 300 * time.Millisecond
	// maxResetInterval is the maximum time between two connection resets that together count as
	// evidence, if the second call began after the first reset and no response came in between.
	// A store that resets connections does so within milliseconds; waiting for
	// minUnansweredTime would send each caller's job into the outage and leave its outcome
	// unknown.
	maxResetInterval = 2 * time.Second
)

// RecordResponse records a response, whatever its content.
func (r *Reachability) RecordResponse() { r.respondedAt.Store(int64(steady.Now())) }

// RecordUnanswered records a call that was sent at sentAt, on the monotonic clock, and got no
// response. It is ignored if a response arrived after sentAt.
func (r *Reachability) RecordUnanswered(sentAt time.Duration) {
	if now := steady.Now(); now-sentAt >= minUnansweredTime && r.LastResponseAt() <= sentAt {
		r.unansweredAt.Store(int64(now))
	}
}

// RecordReset records a call that was sent at sentAt and whose connection was reset without a
// response, however early.
func (r *Reachability) RecordReset(sentAt time.Duration) {
	r.RecordUnanswered(sentAt)
	now := steady.Now()
	previous := time.Duration(r.resetAt.Swap(int64(now)))
	if previous > 0 && previous <= sentAt && now-previous < maxResetInterval && r.LastResponseAt() < previous {
		r.unansweredAt.Store(int64(now))
	}
}

// LastResponseAt returns when the last response arrived, on the monotonic clock; 0 for never.
func (r *Reachability) LastResponseAt() time.Duration { return time.Duration(r.respondedAt.Load()) }

// RespondedWithin reports whether the last response, either recorded here or at
// otherResponseAt, arrived within d, and no call has gone unanswered since.
func (r *Reachability) RespondedWithin(d, otherResponseAt time.Duration) bool {
	at := max(r.LastResponseAt(), otherResponseAt)
	return at > 0 && steady.Now()-at < d && at > time.Duration(r.unansweredAt.Load())
}
