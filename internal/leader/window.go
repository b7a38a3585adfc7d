package leader

import (
	"context"
	"sync"
	"time"
)

// startWindow limits concurrent starts by their response times. When the link or the processor
// of a leader is saturated, all calls time out; each start without a response costs a stop, a
// restart and the work of both, so that the leader would never catch up. VMs that do not
// respond to starts must not shrink the window; in that case most other starts are fast.
type startWindow struct {
	mu      sync.Mutex
	size    float64
	maxSize float64
	inUse   int
	// waiters are the callers of acquire that wait for a slot, in order of arrival.
	waiters []chan struct{}
	// fastOutcomes and slowOutcomes count the attempts since the last adaptation, at
	// adaptedAt.
	fastOutcomes, slowOutcomes int
	adaptedAt                  time.Time
}

const (
	// initialWindowSize is the window size of a new leader.
	initialWindowSize = 96
	// minWindowSize keeps some starts going, so that recovery is noticed.
	minWindowSize = 16
	// slowStartThreshold is the response time from which a start counts as slow. Most take 5
	// to 40 ms; after 500 ms the attempt times out.
	slowStartThreshold = 200 * time.Millisecond
	// maxSlotDuration bounds how long a start occupies a slot: one that gets no response for
	// 1.5 s must not delay those to other VMs.
	maxSlotDuration = 250 * time.Millisecond
	// windowAdaptInterval is how often the window is adapted: an outcome reflects what was
	// sent one round trip earlier.
	windowAdaptInterval = 250 * time.Millisecond
	// shrinkFactor and growFactor change the size in one step. Halving is enough for a window
	// that is too large; growing by a quarter takes it from 96 to 2,000 within three and a
	// half seconds.
	shrinkFactor = 0.5
	growFactor   = 1.25
	// minOutcomes is the minimum number of outcomes for an adaptation.
	minOutcomes = 8
)

func newStartWindow(maxSize int) *startWindow {
	return &startWindow{size: min(initialWindowSize, float64(maxSize)), maxSize: float64(maxSize)}
}

// acquire waits for a slot. release frees it and may be called repeatedly.
func (w *startWindow) acquire(ctx context.Context) (release func(), err error) {
	w.mu.Lock()
	if float64(w.inUse) < w.size && len(w.waiters) == 0 {
		w.inUse++
		w.mu.Unlock()
		return w.releaseFunc(), nil
	}
	granted := make(chan struct{})
	w.waiters = append(w.waiters, granted)
	w.mu.Unlock()
	select {
	case <-granted:
		return w.releaseFunc(), nil
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, waiter := range w.waiters {
		if waiter == granted {
			w.waiters = append(w.waiters[:i], w.waiters[i+1:]...)
			return nil, ctx.Err()
		}
	}
	// The slot was granted meanwhile.
	w.inUse--
	w.admitWaiters()
	return nil, ctx.Err()
}

// releaseFunc returns a function that frees a slot. The slot is freed after maxSlotDuration
// in any case.
func (w *startWindow) releaseFunc() func() {
	var once sync.Once
	release := func() {
		once.Do(func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.inUse--
			w.admitWaiters()
		})
	}
	timer := time.AfterFunc(maxSlotDuration, release)
	return func() {
		timer.Stop()
		release()
	}
}

// admitWaiters grants free slots to waiters. w.mu is held.
func (w *startWindow) admitWaiters() {
	for len(w.waiters) > 0 && float64(w.inUse) < w.size {
		w.inUse++
		close(w.waiters[0])
		w.waiters = w.waiters[1:]
	}
}

// recordOutcome records the duration of an attempt; answered is false if it timed out.
func (w *startWindow) recordOutcome(took time.Duration, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answered && took < slowStartThreshold {
		w.fastOutcomes++
	} else {
		w.slowOutcomes++
	}
	now := time.Now()
	if now.Sub(w.adaptedAt) < windowAdaptInterval || w.fastOutcomes+w.slowOutcomes < minOutcomes {
		return
	}
	if w.slowOutcomes > w.fastOutcomes {
		w.size = max(w.size*shrinkFactor, minWindowSize)
	} else {
		w.size = min(w.size*growFactor, w.maxSize)
		w.admitWaiters()
	}
	w.fastOutcomes, w.slowOutcomes, w.adaptedAt = 0, 0, now
}

// isFull reports whether the waiters are as many as the window holds. More would only wait
// longer and occupy VM capacity meanwhile.
func (w *startWindow) isFull() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(len(w.waiters)) >= w.size
}

// stats returns the window size and the number of waiters.
func (w *startWindow) stats() (size, waiting int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.size), len(w.waiters)
}
