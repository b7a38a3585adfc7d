package entry

import (
	"maps"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// unknownCancelRate is how many cancellations of unknown jobs a process records per second in
	// the long run, and unknownCancelBurst how many at once. Each is a write and leaves a record for
	// voidingTTL. All processes of a deployment share the writes that the store accepts.
	unknownCancelRate, unknownCancelBurst = 2, 16
	// queueCancelRate and queueCancelBurst are the limits of each queue, so that the callers of
	// one leave room for those of others.
	queueCancelRate, queueCancelBurst = 1, 8
)

// unknownCancels limits the cancellations of unknown jobs. The zero value is ready for use.
type unknownCancels struct {
	mu      sync.Mutex
	total   *rate.Limiter
	byQueue map[string]*rate.Limiter
}

// admit reports whether a queue's cancellation may be recorded, and counts it if so.
func (u *unknownCancels) admit(queue string) bool {
	total, ofQueue := u.limiters(queue)
	return ofQueue.Allow() && total.Allow()
}

// exhausted reports whether a queue's cancellation would not be admitted now.
func (u *unknownCancels) exhausted(queue string) bool {
	total, ofQueue := u.limiters(queue)
	return ofQueue.Tokens() < 1 || total.Tokens() < 1
}

func (u *unknownCancels) limiters(queue string) (total, ofQueue *rate.Limiter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.total == nil {
		u.total, u.byQueue = rate.NewLimiter(unknownCancelRate, unknownCancelBurst), map[string]*rate.Limiter{}
	}
	ofQueue = u.byQueue[queue]
	if ofQueue == nil {
		// A limiter that is full again is like a new one.
		maps.DeleteFunc(u.byQueue, func(_ string, l *rate.Limiter) bool { return l.Tokens() >= queueCancelBurst })
		ofQueue = rate.NewLimiter(queueCancelRate, queueCancelBurst)
		u.byQueue[queue] = ofQueue
	}
	return u.total, ofQueue
}
