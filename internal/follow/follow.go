// Package follow keeps up with the changes under a prefix of the durable store.
package follow

import (
	"context"
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
	// Failed is told of each failed call; may be nil.
	Failed func(error)

	heardAt atomic.Int64
	reread  atomic.Bool
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

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	p := position{after: f.After}
	wait := pauseMin
	for ctx.Err() == nil {
		var err error
		if p.after == 0 || f.reread.Swap(false) {
			p, err = f.read(ctx)
		} else {
			err = f.watch(ctx, &p)
		}
		switch {
		case err == nil:
			wait = pauseMin
			f.heardAt.Store(int64(steady.Now()))
			continue
		case errors.Is(err, durable.ErrCompacted):
			p = position{}
			continue
		}
		if f.Failed != nil && ctx.Err() == nil {
			f.Failed(err)
		}
		pause.For(ctx, wait)
		wait = min(2*wait, pauseMax)
	}
	return ctx.Err()
}

func (f *Follower) read(ctx context.Context) (position, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, revision, err := f.Store.Range(ctx, f.Prefix)
	if err != nil {
		return position{}, err
	}
	f.Handle(items, true)
	return position{after: revision}, nil
}

func (f *Follower) watch(ctx context.Context, p *position) error {
	events, revision, err := f.Store.Watch(ctx, f.Prefix, p.after, f.Wait)
	if err != nil {
		return err
	}
	if len(events) > 0 {
		f.Handle(events, false)
	}
	p.moved(steady.Now(), revision, len(events) > 0)
	return nil
}
