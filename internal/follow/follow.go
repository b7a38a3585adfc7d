// Package follow keeps up with the changes under a prefix of the durable store.
package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// settle is how old a revision has to be before an empty answer moves the
	// watch on to it. A store that loses its history may let watches hear
	// nothing for a second although there are changes: a watch that went on
	// from the newest revision at once would never learn of them, while from an
	// older one it is told that its history is gone, and reads again.
	settle = 3 * time.Second
	// pauseMin and pauseMax bound the wait after a failed call. The first is
	// short, since one lost connection is common and the next call works.
	pauseMin = 50 * time.Millisecond
	pauseMax = 400 * time.Millisecond
	// readTimeout bounds the reading of a whole prefix.
	readTimeout = 3 * time.Second
	// pollTimeout bounds a reading beside the watch: one on a connection that went silent
	// leaves time for another.
	pollTimeout = 700 * time.Millisecond
)

// Handler takes changes over. With whole set, items are all there are under the
// prefix, and what is missing from them is gone.
type Handler func(items []durable.Item, whole bool)

// Follower follows one prefix. It implements suture.Service.
type Follower struct {
	Store  durable.Store
	Prefix string
	// Wait is how long one watch waits. It bounds how long a watch whose
	// connection went silent goes unnoticed.
	Wait   time.Duration
	Handle Handler
	// After is the revision to begin from; 0 reads the whole prefix first.
	After int64
	// ReadEvery is how often the whole prefix is read beside the watch, 0 for never. A
	// watch that hears nothing is no proof that nothing has changed.
	ReadEvery time.Duration
	// Read is told of each whole reading after it was handled, with the time at which it
	// was begun on the steady clock: what was handled holds at least what there was then.
	// May be nil.
	Read func(began time.Duration)
	// Failed is told of each failed call; may be nil.
	Failed func(error)

	heardAt atomic.Int64
	reread  atomic.Bool
	// soon makes a reading beside the watch begin.
	soonOnce sync.Once
	soon     chan struct{}

	// mu is held while Handle is called. handled is the revision of the newest change that
	// was handled or is known, calls how often there was one.
	mu      sync.Mutex
	handled int64
	calls   int
}

// Reread makes the follower read the whole prefix again, when the next watch
// returns at the latest.
func (f *Follower) Reread() { f.reread.Store(true) }

// position is the revision to watch from.
type position struct {
	after int64
	// candidate is the newest revision of an empty answer, seen at since.
	candidate int64
	since     time.Duration
}

// moved notes an answer's revision.
func (p *position) moved(now time.Duration, revision int64, events bool) {
	if events {
		*p = position{after: revision}
		return
	}
	if p.candidate == 0 {
		p.candidate, p.since = revision, now
		return
	}
	if now-p.since >= settle {
		p.after = max(p.after, p.candidate)
		p.candidate, p.since = revision, now
	}
}

// HeardAt is when the store last answered, on the steady clock; 0 for never.
func (f *Follower) HeardAt() time.Duration { return time.Duration(f.heardAt.Load()) }

// ReadSoon makes a reading beside the watch begin now, unless one is under way.
func (f *Follower) ReadSoon() {
	select {
	case f.wake() <- struct{}{}:
	default:
	}
}

func (f *Follower) wake() chan struct{} {
	f.soonOnce.Do(func() { f.soon = make(chan struct{}, 1) })
	return f.soon
}

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.ReadEvery > 0 {
		var polls sync.WaitGroup
		defer polls.Wait()
		defer cancel()
		polls.Go(func() { f.poll(ctx) })
	}
	return f.follow(ctx)
}

// Known tells the follower that all changes up to a revision are known from elsewhere: what
// a watch or a reading that is under way tells of them is not handled.
func (f *Follower) Known(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handled = max(f.handled, revision)
	f.calls++
}

// poll reads the prefix again and again. It is apart from the watch, so that neither waits
// for a connection of the other that went silent.
func (f *Follower) poll(ctx context.Context) {
	wait, retry := f.ReadEvery, pauseMin
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-f.wake():
		}
		began := steady.Now()
		readCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		_, err := f.read(readCtx)
		cancel()
		if err == nil {
			wait, retry = f.ReadEvery-(steady.Now()-began), pauseMin
		} else {
			f.failed(ctx, err)
			wait, retry = retry, min(2*retry, f.ReadEvery)
		}
		timer.Reset(max(wait, pauseMin))
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if f.Failed != nil && ctx.Err() == nil {
		f.Failed(err)
	}
}

func (f *Follower) follow(ctx context.Context) error {
	p := position{after: f.After}
	wait := pauseMin
	for ctx.Err() == nil {
		var err error
		if p.after == 0 || f.reread.Swap(false) {
			p, err = f.readWhole(ctx)
		} else {
			err = f.watch(ctx, &p)
		}
		switch {
		case err == nil:
			wait = pauseMin
			continue
		case errors.Is(err, durable.ErrCompacted):
			p = position{}
			continue
		}
		f.failed(ctx, err)
		pause.For(ctx, wait)
		wait = min(2*wait, pauseMax)
	}
	return ctx.Err()
}

func (f *Follower) readWhole(ctx context.Context) (position, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.read(ctx)
}

// read reads the whole prefix, and returns the position to watch from.
func (f *Follower) read(ctx context.Context) (position, error) {
	began := steady.Now()
	f.mu.Lock()
	before := f.calls
	f.mu.Unlock()
	items, revision, err := f.Store.Range(ctx, f.Prefix)
	if err != nil {
		return position{}, err
	}
	f.heardAt.Store(int64(steady.Now()))
	if f.handleWhole(items, revision, before) && f.Read != nil {
		f.Read(began)
	}
	return position{after: revision}, nil
}

// handleWhole hands a reading on that began after so many calls of Handle, unless one that
// came meanwhile has told of later changes. It reports whether it did.
func (f *Follower) handleWhole(items []durable.Item, revision int64, before int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls != before && revision < f.handled {
		return false
	}
	f.handled = revision
	f.calls++
	f.Handle(items, true)
	return true
}

// handleEvents hands on what a watch told and no reading has.
func (f *Follower) handleEvents(events []durable.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	handled := f.handled
	var news []durable.Item
	for i := range events {
		if events[i].Revision <= f.handled {
			continue
		}
		news = append(news, events[i])
		handled = max(handled, events[i].Revision)
	}
	if f.handled = handled; len(news) > 0 {
		f.calls++
		f.Handle(news, false)
	}
}

func (f *Follower) watch(ctx context.Context, p *position) error {
	events, revision, err := f.Store.Watch(ctx, f.Prefix, p.after, f.Wait)
	if err != nil {
		return err
	}
	f.heardAt.Store(int64(steady.Now()))
	f.handleEvents(events)
	p.moved(steady.Now(), revision, len(events) > 0)
	return nil
}
