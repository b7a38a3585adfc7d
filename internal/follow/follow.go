// Package follow tracks the changes under a prefix of the durable store.
package follow

import (
	"cmp"
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
	// settleDelay is the minimum age of a revision before an empty watch response
	// advances the watch to it. A store that loses its history may deliver no events
	// for a second although there are changes. A watch that advanced to the newest
	// revision at once would miss them for good; from an older revision it gets
	// ErrCompacted and reads the prefix again.
	settleDelay = 3 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. The minimum
	// is short because single lost connections are common and the next call works.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// defaultReadTimeout bounds a read of the whole prefix in place of a watch.
	defaultReadTimeout = 3 * time.Second
	// pollResponseTimeout bounds the wait for the beginning of a poll's response. It is short so
	// that a poll on an unresponsive connection leaves time for another.
	pollResponseTimeout = 700 * time.Millisecond
	// pollTimeout bounds a poll. A large configuration takes a second on a narrow link, and a
	// poll that is aborted begins again.
	pollTimeout = 2500 * time.Millisecond
)

// Handler processes changes up to a revision of the store. If whole is set, items is the
// complete content of the prefix at that revision, and keys that are missing from it no longer
// exist.
type Handler func(items []durable.Item, revision int64, whole bool)

// Follower follows one prefix. It implements suture.Service.
type Follower struct {
	Store  durable.Store
	Prefix string
	// Wait is how long one watch call waits for changes. It bounds how long an
	// unresponsive connection of the watch stays undetected.
	Wait   time.Duration
	Handle Handler
	// StartRevision is the revision to watch from; 0 reads the whole prefix first.
	StartRevision int64
	// PollInterval is the interval between reads of the whole prefix in parallel with the
	// watch; 0 disables them. They are needed because a watch without events does not prove
	// that nothing has changed.
	PollInterval time.Duration
	// ReadTimeout bounds a read of the whole prefix in place of a watch; 3 s if it is 0. Large
	// prefixes need more on a narrow link: a read that is aborted begins again, and meanwhile no
	// changes are handled.
	ReadTimeout time.Duration
	// OnRead is called after each read of the whole prefix was handled, with the monotonic
	// time at which the read began: what was handled includes all changes up to then. It
	// may be nil.
	OnRead func(began time.Duration)
	// OnError is called with the error of each failed call. It may be nil.
	OnError func(error)

	lastResponseAt  atomic.Int64
	rereadRequested atomic.Bool
	// pollRequests triggers a poll; use pollRequestChan.
	pollRequestsOnce sync.Once
	pollRequests     chan struct{}

	// mu is held while Handle is called. handledRevision is the revision of the newest
	// change that was handled or marked as known; handleCount counts these updates.
	mu              sync.Mutex
	handledRevision int64
	handleCount     int
}

// Reread makes the follower read the whole prefix again, at the latest when the current
// watch call returns.
func (f *Follower) Reread() { f.rereadRequested.Store(true) }

// position is the revision to watch from.
type position struct {
	after int64
	// candidate is the revision of an empty watch response, received at candidateSince.
	candidate      int64
	candidateSince time.Duration
}

// advance updates the position with the revision of a watch response.
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

// LastResponseAt returns the monotonic time of the store's last response; 0 means never.
func (f *Follower) LastResponseAt() time.Duration { return time.Duration(f.lastResponseAt.Load()) }

// PollNow starts a poll immediately, or after the one in progress.
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

// Serve implements suture.Service. It returns the error of ctx when ctx ends.
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

// MarkKnown records that the caller has all changes up to a revision from another source.
// Changes up to it that a watch or read in progress returns are not handled.
func (f *Follower) MarkKnown(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handledRevision = max(f.handledRevision, revision)
	f.handleCount++
}

// poll reads the whole prefix every PollInterval. It runs in parallel with the watch so
// that neither waits for an unresponsive connection of the other.
func (f *Follower) poll(ctx context.Context) {
	wait, retryDelay := f.PollInterval, minRetryDelay
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
		_, err := f.read(durable.WithFirstResponse(readCtx, pollResponseTimeout))
		cancel()
		if err == nil {
			wait, retryDelay = f.PollInterval-(steady.Now()-began), minRetryDelay
		} else {
			f.reportError(ctx, err)
			wait, retryDelay = retryDelay, min(2*retryDelay, f.PollInterval)
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
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		var err error
		if p.after == 0 || f.rereadRequested.Swap(false) {
			p, err = f.readWithTimeout(ctx)
		} else {
			err = f.watch(ctx, &p)
		}
		switch {
		case err == nil:
			retryDelay = minRetryDelay
			continue
		case errors.Is(err, durable.ErrCompacted):
			p = position{}
			continue
		}
		f.reportError(ctx, err)
		pause.For(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
	return ctx.Err()
}

func (f *Follower) readWithTimeout(ctx context.Context) (position, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(f.ReadTimeout, defaultReadTimeout))
	defer cancel()
	return f.read(ctx)
}

// read reads and handles the whole prefix, and returns the position to watch from.
func (f *Follower) read(ctx context.Context) (position, error) {
	began := steady.Now()
	f.mu.Lock()
	countBefore := f.handleCount
	f.mu.Unlock()
	items, revision, err := f.Store.Range(ctx, f.Prefix)
	if err != nil {
		return position{}, err
	}
	f.lastResponseAt.Store(int64(steady.Now()))
	if f.handleSnapshot(items, revision, countBefore) && f.OnRead != nil {
		f.OnRead(began)
	}
	return position{after: revision}, nil
}

// handleSnapshot handles the result of a read of the whole prefix, unless later changes were
// handled or marked as known during the read. countBefore is handleCount at the start of the
// read. It reports whether the result was handled.
func (f *Follower) handleSnapshot(items []durable.Item, revision int64, countBefore int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.handleCount != countBefore && revision < f.handledRevision {
		return false
	}
	f.handledRevision = revision
	f.handleCount++
	f.Handle(items, revision, true)
	return true
}

// handleEvents handles the events of a watch that are newer than handledRevision.
func (f *Follower) handleEvents(events []durable.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := f.handledRevision
	var unhandled []durable.Item
	for i := range events {
		if events[i].Revision <= f.handledRevision {
			continue
		}
		unhandled = append(unhandled, events[i])
		newest = max(newest, events[i].Revision)
	}
	if f.handledRevision = newest; len(unhandled) > 0 {
		f.handleCount++
		f.Handle(unhandled, newest, false)
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
