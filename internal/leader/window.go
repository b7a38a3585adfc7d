package leader

import (
	"context"
	"sync"
	"time"
)

// startWindow bounds the starts under way by how fast they are answered. A leader whose link
// or processor is full has all calls time out; each start that gets no answer costs a
// stop, a restart and the work of both, so that it would never catch up. VMs that leave
// starts without an answer must not shrink it: there most others are fast.
type startWindow struct {
	mu      sync.Mutex
	size    float64
	maxSize float64
	inUse   int
	// waiters holds those that wait for a place, the first first.
	waiters []chan struct{}
	// fastOutcomes and slow count the outcomes since the last look at them, which was at adaptedAt.
	fastOutcomes, slowOutcomes int
	adaptedAt                  time.Time
}

const (
	// initialWindowSize is the window of a new leader.
	initialWindowSize = 96
	// minWindowSize keeps starts coming, so that it is noticed when they are fast again.
	minWindowSize = 16
	// slowStartThreshold is the time from which a start counts as slow: mostly it takes 5 to
	// 40 ms, and after 500 the try is given up.
	slowStartThreshold = 200 * time.Millisecond
	// maxPlaceDuration is how long a start holds its place at most: one that a VM leaves
	// without an answer for 1.5 s must not keep those of other VMs from being given.
	maxPlaceDuration = 250 * time.Millisecond
	// windowAdaptInterval is how often the window is adapted: an outcome shows what was sent a
	// round trip before.
	windowAdaptInterval = 250 * time.Millisecond
	// shrinkFactor and growFactor change it: half of a window that is too large is enough at once,
	// and a quarter more takes it from 96 to 2,000 within three and a half seconds.
	shrinkFactor = 0.5
	growFactor   = 1.25
	// minOutcomes are needed for a change.
	minOutcomes = 8
)

func newStartWindow(most int) *startWindow {
	return &startWindow{size: min(initialWindowSize, float64(most)), maxSize: float64(most)}
}

// acquire waits for a place, and returns what gives it back, which may be called often.
func (w *startWindow) acquire(ctx context.Context) (release func(), err error) {
	w.mu.Lock()
	if float64(w.inUse) < w.size && len(w.waiters) == 0 {
		w.inUse++
		w.mu.Unlock()
		return w.releaseFunc(), nil
	}
	turn := make(chan struct{})
	w.waiters = append(w.waiters, turn)
	w.mu.Unlock()
	select {
	case <-turn:
		return w.releaseFunc(), nil
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.waiters {
		if other == turn {
			w.waiters = append(w.waiters[:i], w.waiters[i+1:]...)
			return nil, ctx.Err()
		}
	}
	// It was given meanwhile.
	w.inUse--
	w.admitWaiters()
	return nil, ctx.Err()
}

// releaseFunc returns what gives a place back; after maxPlaceDuration it is given back anyway.
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
	timer := time.AfterFunc(maxPlaceDuration, release)
	return func() {
		timer.Stop()
		release()
	}
}

// admitWaiters lets those in that wait while there is room. w.mu is held.
func (w *startWindow) admitWaiters() {
	for len(w.waiters) > 0 && float64(w.inUse) < w.size {
		w.inUse++
		close(w.waiters[0])
		w.waiters = w.waiters[1:]
	}
}

// recordOutcome notes how long a try took; answered is false when it was given up.
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

// isFull reports whether as many wait as the window holds: more would only wait longer,
// and hold room on VMs meanwhile.
func (w *startWindow) isFull() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(len(w.waiters)) >= w.size
}

// stats are the window and how many wait for a place in it.
func (w *startWindow) stats() (size, waiting int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.size), len(w.waiters)
}
