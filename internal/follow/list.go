package follow

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// List is a list under a prefix of which most entries change all the time, in parts that
// matter to nobody: VMs that write that they live. Whoever looks at it again gets what
// has changed since, which is a third of the whole: of 120 VMs that are looked at twice a
// second the whole list takes 100 KB/s.
type List[T any] struct {
	Store  durable.Store
	Prefix string
	Decode func(durable.Item) (T, error)
	// Unreadable is told of each entry that can't be decoded; it is left out.
	Unreadable func(error)
	// Unchanged, where set, is told of each value that is returned for how long its entry
	// has been unchanged at most; for an entry that was there at the first look that is
	// not known, and counts from long ago. It is not told before an entry has changed
	// twice: where those who live do not write all the time, it would mean nothing.
	Unchanged func(value *T, since time.Duration)

	mu      sync.Mutex
	entries map[string]listEntry[T]
	// order holds the keys in the order in which they came.
	order []string
	after int64
	// changesOften is set once an entry has changed twice.
	changesOften bool
	// readAt is when the whole list was read, changedAt when a change was last told,
	// lookedAt when the list was last looked at.
	readAt, changedAt, lookedAt time.Duration
}

type listEntry[T any] struct {
	value    T
	readable bool
	revision int64
	// changedAfter is the last look at which the entry had not changed yet, 0 for none.
	changedAfter time.Duration
	// changes counts its changes since it was first read.
	changes int
}

// longAgo is how long an entry counts as unchanged of which it is not known.
const longAgo = time.Hour

const (
	// wholeEvery is how often the whole list is read all the same: nothing is to be
	// missed for good.
	wholeEvery = 5 * time.Second
	// unheardAfter is how long a list may go without changes, or without being looked
	// at, and be gone on from: a store that loses its history may tell of no changes
	// for a second although there are some.
	unheardAfter = 1500 * time.Millisecond
	// changesWait is how long the store may wait for a change.
	changesWait = 10 * time.Millisecond
)

// Look returns the list as it is now.
func (l *List[T]) Look(ctx context.Context) ([]T, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := steady.Now()
	err := durable.ErrCompacted
	if l.after > 0 && now-l.readAt < wholeEvery && now-max(l.changedAt, l.readAt) < unheardAfter && now-l.lookedAt < unheardAfter {
		err = l.change(ctx)
	}
	if errors.Is(err, durable.ErrCompacted) {
		err = l.read(ctx)
	}
	if err != nil {
		return nil, err
	}
	l.lookedAt = now
	list := make([]T, 0, len(l.order))
	for _, key := range l.order {
		if e := l.entries[key]; e.readable {
			list = append(list, e.value)
			l.tellUnchanged(&list[len(list)-1], now, e.changedAfter)
		}
	}
	return list, nil
}

func (l *List[T]) tellUnchanged(value *T, now, changedAfter time.Duration) {
	switch {
	case l.Unchanged == nil, !l.changesOften:
	case changedAfter == 0:
		l.Unchanged(value, longAgo)
	default:
		l.Unchanged(value, now-changedAfter)
	}
}

// read reads the whole list.
func (l *List[T]) read(ctx context.Context) error {
	items, revision, err := l.Store.Range(ctx, l.Prefix)
	if err != nil {
		return err
	}
	before := l.entries
	l.entries, l.order = make(map[string]listEntry[T], len(items)), l.order[:0]
	for i := range items {
		key := items[i].Key
		if known, ok := before[key]; ok && known.revision == items[i].Revision {
			l.entries[key] = known
		} else {
			l.entries[key] = l.decode(&items[i], known, ok)
		}
		l.order = append(l.order, key)
	}
	l.after, l.readAt = revision, steady.Now()
	return nil
}

// change takes the changes over that came since the last look.
func (l *List[T]) change(ctx context.Context) error {
	events, revision, err := l.Store.Watch(ctx, l.Prefix, l.after, changesWait)
	if err != nil || len(events) == 0 {
		return err
	}
	for i := range events {
		item := &events[i]
		known, listed := l.entries[item.Key]
		switch {
		case item.Revision <= known.revision:
		case item.Deleted:
			l.remove(item.Key)
		default:
			if !listed {
				l.order = append(l.order, item.Key)
			}
			l.entries[item.Key] = l.decode(item, known, listed)
		}
	}
	l.after, l.changedAt = revision, steady.Now()
	return nil
}

func (l *List[T]) remove(key string) {
	delete(l.entries, key)
	for i, other := range l.order {
		if other == key {
			l.order = append(l.order[:i], l.order[i+1:]...)
			return
		}
	}
}

func (l *List[T]) decode(item *durable.Item, before listEntry[T], listed bool) listEntry[T] {
	value, err := l.Decode(*item)
	if err != nil {
		l.Unreadable(err)
	}
	changes := 0
	if listed {
		changes = before.changes + 1
	}
	l.changesOften = l.changesOften || changes > 1
	return listEntry[T]{value: value, readable: err == nil, revision: item.Revision, changedAfter: l.lookedAt, changes: changes}
}
