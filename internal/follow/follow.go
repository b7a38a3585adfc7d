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
	// settleDelay is how old a revision has to be before an empty answer moves the
	// watch on to it. A store that loses its history may let watches hear
	// nothing for a second although there are changes: a watch that went on
	// from the newest revision at once would never learn of them, while from an
	// older one it is told that its history is gone, and reads again.
	settleDelay = 3 * time.Second
	// minRetryDelay and maxRetryDelay bound the wait after a failed call. The first is
	// short, since one lost connection is common and the next call works.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
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
	// StartRevision is the revision to begin from; 0 reads the whole prefix first.
	StartRevision int64
	// PollInterval is how often the whole prefix is read beside the watch, 0 for never. A
	// watch that hears nothing is no proof that nothing has changed.
	PollInterval time.Duration
	// OnRead is told of each whole reading after it was handled, with the time at which it
	// was begun on the steady clock: what was handled holds at least what there was then.
	// May be nil.
	OnRead func(began time.Duration)
	// OnError is told of each failed call; may be nil.
	OnError func(error)

	lastResponseAt  atomic.Int64
	rereadRequested atomic.Bool
	// soon makes a reading beside the watch begin.
	pollRequestsOnce sync.Once
	pollRequests     chan struct{}

	// mu is held while Handle is called. handled is the revision of the newest change that
	// was handled or is known, calls how often there was one.
	mu              sync.Mutex
	handledRevision int64
	handleCount     int
}

// Reread makes the follower read the whole prefix again, when the next watch
// returns at the latest.
func (f *Follower) Reread() { f.rereadRequested.Store(true) }

// position is the revision to watch from.
type position struct {
	after int64
	// candidate is the newest revision of an empty answer, seen at since.
	candidate      int64
	candidateSince time.Duration
}

// advance notes an answer's revision.
func (p *position) advance(now time.Duration, revision int64, events bool) {
	if events {
		*p = position{after: revision}
		return
	}
	if p.candidate == 0 {
		p.candidate, p.candidateSince = revision, now
		return
	}
	if now-p.candidateSince >= settleDelay {
		p.after = max(p.after, p.candidate)
		p.candidate, p.candidateSince = revision, now
	}
}

// LastResponseAt is when the store last answered, on the steady clock; 0 for never.
func (f *Follower) LastResponseAt() time.Duration { return time.Duration(f.lastResponseAt.Load()) }

// PollNow makes a reading beside the watch begin now, unless one is under way.
func (f *Follower) PollNow() {
	select {
	case f.pollRequestChan() <- struct{}{}:
	default:
	}
}

func (f *Follower) pollRequestChan() chan struct{} {
	f.pollRequestsOnce.Do(func() { f.pollRequests = make(chan struct{}, 1) })
	return f.pollRequests
}

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.PollInterval > 0 {
		var polls sync.WaitGroup
		defer polls.Wait()
		defer cancel()
		polls.Go(func() { f.poll(ctx) })
	}
	return f.follow(ctx)
}

// MarkKnown tells the follower that all changes up to a revision are known from elsewhere: what
// a watch or a reading that is under way tells of them is not handled.
func (f *Follower) MarkKnown(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handledRevision = max(f.handledRevision, revision)
	f.handleCount++
}

// poll reads the prefix again and again. It is apart from the watch, so that neither waits
// for a connection of the other that went silent.
func (f *Follower) poll(ctx context.Context) {
	wait, retry := f.PollInterval, minRetryDelay
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-f.pollRequestChan():
		}
		began := steady.Now()
		readCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		_, err := f.read(readCtx)
		cancel()
		if err == nil {
			wait, retry = f.PollInterval-(steady.Now()-began), minRetryDelay
		} else {
			f.reportError(ctx, err)
			wait, retry = retry, min(2*retry, f.PollInterval)
		}
		timer.Reset(max(wait, minRetryDelay))
	}
}

func (f *Follower) reportError(ctx context.Context, err error) {
	if f.OnError != nil && ctx.Err() == nil {
		f.OnError(err)
	}
}

func (f *Follower) follow(ctx context.Context) error {
	p := position{after: f.StartRevision}
	wait := minRetryDelay
	for ctx.Err() == nil {
		var err error
		if p.after == 0 || f.rereadRequested.Swap(false) {
			p, err = f.readWithTimeout(ctx)
		} else {
			err = f.watch(ctx, &p)
		}
		switch {
		case err == nil:
			wait = minRetryDelay
			continue
		case errors.Is(err, durable.ErrCompacted):
			p = position{}
			continue
		}
		f.reportError(ctx, err)
		pause.For(ctx, wait)
		wait = min(2*wait, maxRetryDelay)
	}
	return ctx.Err()
}

func (f *Follower) readWithTimeout(ctx context.Context) (position, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.read(ctx)
}

// read reads the whole prefix, and returns the position to watch from.
func (f *Follower) read(ctx context.Context) (position, error) {
	began := steady.Now()
	f.mu.Lock()
	before := f.handleCount
	f.mu.Unlock()
	items, revision, err := f.Store.Range(ctx, f.Prefix)
	if err != nil {
		return position{}, err
	}
	f.lastResponseAt.Store(int64(steady.Now()))
	if f.handleSnapshot(items, revision, before) && f.OnRead != nil {
		f.OnRead(began)
	}
	return position{after: revision}, nil
}

// handleSnapshot hands a reading on that began after so many calls of Handle, unless one that
// came meanwhile has told of later changes. It reports whether it did.
func (f *Follower) handleSnapshot(items []durable.Item, revision int64, before int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.handleCount != before && revision < f.handledRevision {
		return false
	}
	f.handledRevision = revision
	f.handleCount++
	f.Handle(items, true)
	return true
}

// handleEvents hands on what a watch told and no reading has.
func (f *Follower) handleEvents(events []durable.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	handled := f.handledRevision
	var news []durable.Item
	for i := range events {
		if events[i].Revision <= f.handledRevision {
			continue
		}
		news = append(news, events[i])
		handled = max(handled, events[i].Revision)
	}
	if f.handledRevision = handled; len(news) > 0 {
		f.handleCount++
		f.Handle(news, false)
	}
}

func (f *Follower) watch(ctx context.Context, p *position) error {
	events, revision, err := f.Store.Watch(ctx, f.Prefix, p.after, f.Wait)
	if err != nil {
		return err
	}
	f.lastResponseAt.Store(int64(steady.Now()))
	f.handleEvents(events)
	p.advance(steady.Now(), revision, len(events) > 0)
	return nil
}
