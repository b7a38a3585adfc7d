package leader

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// narrowLink carries one message after the other.
type narrowLink struct {
	mu sync.Mutex
	// freeAt is when what is queued has been carried.
	freeAt time.Time
	// messageTime is the time that one takes.
	messageTime time.Duration
}

// send queues a message, and returns whether it was carried within the time that a try
// of an order has. One that was given up takes the link all the same.
func (l *narrowLink) send() bool {
	l.mu.Lock()
	l.freeAt = laterTime(l.freeAt, time.Now()).Add(l.messageTime)
	wait := time.Until(l.freeAt)
	l.mu.Unlock()
	time.Sleep(min(wait, orderTimeout))
	return wait < orderTimeout
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sendStarts gives so many starts a second over the link for some time, as term.start
// does: three tries each, and a stop for one that was left without an answer. It returns
// how many were answered.
func sendStarts(w *startWindow, link *narrowLink, perSecond int, length time.Duration) int {
	var all sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Second / time.Duration(perSecond))
		if w.isFull() {
			continue
		}
		all.Go(func() {
			release, err := w.acquire(context.Background())
			if err != nil {
				return
			}
			defer release()
			for range maxStartTries {
				began := time.Now()
				ok := link.send()
				w.recordOutcome(time.Since(began), ok)
				if ok {
					mu.Lock()
					answered++
					mu.Unlock()
					return
				}
			}
			link.send()
		})
	}
	all.Wait()
	return answered
}

// What happened: for the rest of a day hardly a task was started on a narrow link, and
// lasting tasks were not restarted.
// Sequence: a burst of twice what the leader's link carries.
// Cause: every call timed out; each start without an answer was sent three times and
// stopped, so that the link stayed full of what nobody waited for.
func TestWindowKeepsANarrowLinkUseful(t *testing.T) {
	const perSecond = 250
	play := func(w *startWindow) (share float64) {
		link := &narrowLink{messageTime: time.Second / perSecond}
		return float64(sendStarts(w, link, 2*perSecond, 10*time.Second)) / (10 * perSecond)
	}
	synctest.Test(t, func(t *testing.T) {
		fixed := &startWindow{size: maxConcurrentRelayed, maxSize: maxConcurrentRelayed}
		require.Less(t, play(fixed), 0.3, "the load that the window is for")
		require.Greater(t, play(newStartWindow(maxConcurrentRelayed)), 0.8)
	})
}

// Symptom: nothing is started for as long as some VMs are cut off.
// Sequence: a third of the VMs leave starts without an answer.
// Cause it guards against: places that are held until a start is given up, and a window
// that shrinks for the VMs' fault.
func TestUnresponsiveVMsDoNotBlockStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStartWindow(maxConcurrentOrders)
		var all sync.WaitGroup
		answered := make(chan struct{}, 10_000)
		for n := range 3000 {
			time.Sleep(time.Millisecond)
			all.Go(func() {
				release, err := w.acquire(t.Context())
				if err != nil {
					return
				}
				defer release()
				if n%3 == 0 {
					time.Sleep(maxStartTries * orderTimeout)
					w.recordOutcome(orderTimeout, false)
					return
				}
				time.Sleep(5 * time.Millisecond)
				w.recordOutcome(5*time.Millisecond, true)
				answered <- struct{}{}
			})
		}
		time.Sleep(100 * time.Millisecond)
		require.GreaterOrEqual(t, len(answered), 1900)
		size, _ := w.stats()
		require.Equal(t, maxConcurrentOrders, size)
		all.Wait()
	})
}

func TestCancelledWaiterLeavesNoPlaceInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &startWindow{size: 1, maxSize: 1}
		release, err := w.acquire(t.Context())
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = w.acquire(ctx) }()
		synctest.Wait()
		next := make(chan func(), 1)
		go func() {
			r, err := w.acquire(t.Context())
			if err == nil {
				next <- r
			}
		}()
		synctest.Wait()
		cancel()
		synctest.Wait()
		release()
		release()
		(<-next)()
		_, waiting := w.stats()
		require.Zero(t, waiting)
		require.Zero(t, w.inUse)
	})
}
