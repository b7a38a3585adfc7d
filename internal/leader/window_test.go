package leader

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// narrowLink transmits one message at a time.
type narrowLink struct {
	mu sync.Mutex
	// freeAt is when all queued messages have been transmitted.
	freeAt time.Time
	// messageTime is the transmission time of one message.
	messageTime time.Duration
}

// send queues a message and reports whether it was transmitted within orderTimeout. A message
// that timed out occupies the link all the same.
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

// sendStarts sends starts at the given rate for some time, as term.start does: up to
// maxStartTries attempts each, and a stop if none got a response. It returns the number of
// starts with a response.
func sendStarts(w *startWindow, link *narrowLink, perSecond int, duration time.Duration) int {
	var starts sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		time.Sleep(time.Second / time.Duration(perSecond))
		if w.isFull() {
			continue
		}
		starts.Go(func() {
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
	starts.Wait()
	return answered
}

// Guards against a narrow link that stays saturated after a burst of twice its capacity, so
// that hardly any task is started for the rest of the day and lasting tasks are not restarted.
// Every call timed out, and each start without a response was sent three times and then
// stopped, so that the link carried only messages that were already obsolete.
func TestWindowKeepsANarrowLinkUseful(t *testing.T) {
	const perSecond = 250
	run := func(w *startWindow) (share float64) {
		link := &narrowLink{messageTime: time.Second / perSecond}
		return float64(sendStarts(w, link, 2*perSecond, 10*time.Second)) / (10 * perSecond)
	}
	synctest.Test(t, func(t *testing.T) {
		fixed := &startWindow{size: maxConcurrentRelayed, maxSize: maxConcurrentRelayed}
		require.Less(t, run(fixed), 0.3, "the load does not saturate a fixed window")
		require.Greater(t, run(newStartWindow(maxConcurrentRelayed)), 0.8)
	})
}

// Guards against blocking all starts while a third of the VMs is cut off: slots must not be
// kept until a start times out, and the window must not shrink because of these VMs.
func TestUnresponsiveVMsDoNotBlockStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStartWindow(maxConcurrentOrders)
		var starts sync.WaitGroup
		answered := make(chan struct{}, 10_000)
		for n := range 3000 {
			time.Sleep(time.Millisecond)
			starts.Go(func() {
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
		starts.Wait()
	})
}

// Guards against slots lost to a waiting caller that is cancelled: the freed slot must pass to
// the next waiter, and a repeated release must free it only once.
func TestCancelledWaiterLeavesNoSlotInUse(t *testing.T) {
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
