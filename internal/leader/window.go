package leader

import (
	"context"
	"sync"
	"time"
)

// window bounds the starts under way by how fast they are answered. A leader whose link
// or processor is full has all calls time out; each start that gets no answer costs a
// stop, a restart and the work of both, so that it would never catch up. VMs that leave
// starts without an answer must not shrink it: there most others are fast.
type window struct {
	mu   sync.Mutex
	size float64
	most float64
	held int
	// queue holds those that wait for a place, the first first.
	queue []chan struct{}
	// fast and slow count the outcomes since the last look at them, which was at lookedAt.
	fast, slow int
	lookedAt   time.Time
}

const (
	// firstStarts is the window of a new leader.
	firstStarts = 96
	// leastStarts keeps starts coming, so that it is noticed when they are fast again.
	leastStarts = 16
	// slowStart is the time from which a start counts as slow: mostly it takes 5 to
	// 40 ms, and after 500 the try is given up.
	slowStart = 200 * time.Millisecond
	// placeHeld is how long a start holds its place at most: one that a VM leaves
	// without an answer for 1.5 s must not keep those of other VMs from being given.
	placeHeld = 250 * time.Millisecond
	// windowEvery is how often the window is adapted: an outcome shows what was sent a
	// round trip before.
	windowEvery = 250 * time.Millisecond
	// shrinkBy and growBy change it: half of a window that is too large is enough at once,
	// and a quarter more takes it from 96 to 2,000 within three and a half seconds.
	shrinkBy = 0.5
	growBy   = 1.25
	// leastOutcomes are needed for a change.
	leastOutcomes = 8
)

func newWindow(most int) *window {
	return &window{size: min(firstStarts, float64(most)), most: float64(most)}
}

// acquire waits for a place, and returns what gives it back, which may be called often.
func (w *window) acquire(ctx context.Context) (release func(), err error) {
	w.mu.Lock()
	if float64(w.held) < w.size && len(w.queue) == 0 {
		w.held++
		w.mu.Unlock()
		return w.place(), nil
	}
	turn := make(chan struct{})
	w.queue = append(w.queue, turn)
	w.mu.Unlock()
	select {
	case <-turn:
		return w.place(), nil
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.queue {
		if other == turn {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			return nil, ctx.Err()
		}
	}
	// It was given meanwhile.
	w.held--
	w.admit()
	return nil, ctx.Err()
}

// place returns what gives a place back; after placeHeld it is given back anyway.
func (w *window) place() func() {
	var once sync.Once
	release := func() {
		once.Do(func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.held--
			w.admit()
		})
	}
	timer := time.AfterFunc(placeHeld, release)
	return func() {
		timer.Stop()
		release()
	}
}

// admit lets those in that wait while there is room. w.mu is held.
func (w *window) admit() {
	for len(w.queue) > 0 && float64(w.held) < w.size {
		w.held++
		close(w.queue[0])
		w.queue = w.queue[1:]
	}
}

// outcome notes how long a try took; answered is false when it was given up.
func (w *window) outcome(took time.Duration, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answered && took < slowStart {
		w.fast++
	} else {
		w.slow++
	}
	now := time.Now()
	if now.Sub(w.lookedAt) < windowEvery || w.fast+w.slow < leastOutcomes {
		return
	}
	if w.slow > w.fast {
		w.size = max(w.size*shrinkBy, leastStarts)
	} else {
		w.size = min(w.size*growBy, w.most)
		w.admit()
	}
	w.fast, w.slow, w.lookedAt = 0, 0, now
}

// full reports whether as many wait as the window holds: more would only wait longer,
// and hold room on VMs meanwhile.
func (w *window) full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(len(w.queue)) >= w.size
}

// figures are the window and how many wait for a place in it.
func (w *window) figures() (size, waiting int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.size), len(w.queue)
}
