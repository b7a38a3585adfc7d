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
	// OnDecodeError is told of each entry that can't be decoded; it is left out.
	OnDecodeError func(error)
	// Unchanged, where set, is told of each value that is returned for how long its entry
	// has been unchanged at most; for an entry that was there at the first look that is
	// not known, and counts from long ago. It is not told before an entry has changed
	// twice: where those who live do not write all the time, it would mean nothing.
	OnUnchanged func(value *T, since time.Duration)

	mu      sync.Mutex
	entries map[string]listEntry[T]
	// order holds the keys in the order in which they came.
	order []string
	after int64
	// hasRepeatedChanges is set once an entry has changed twice.
	hasRepeatedChanges bool
	// lastReadAt is when the whole list was read, lastChangeAt when a change was last told,
	// lastLoadAt when the list was last looked at.
	lastReadAt, lastChangeAt, lastLoadAt time.Duration
}

type listEntry[T any] struct {
	value     T
	isDecoded bool
	revision  int64
	// lastUnchangedAt is the last look at which the entry had not changed yet, 0 for none.
	lastUnchangedAt time.Duration
	// changeCount counts its changes since it was first read.
	changeCount int
}

// unknownUnchangedDuration is how long an entry counts as unchanged of which it is not known.
const unknownUnchangedDuration = time.Hour

const (
	// fullReadInterval is how often the whole list is read all the same: nothing is to be
	// missed for good.
	fullReadInterval = 5 * time.Second
	// maxQuietDuration is how long a list may go without changes, or without being looked
	// at, and be gone on from: a store that loses its history may tell of no changes
	// for a second although there are some.
	maxQuietDuration = 1500 * time.Millisecond
	// watchTimeout is how long the store may wait for a change.
	watchTimeout = 10 * time.Millisecond
)

// Load returns the list as it is now.
func (l *List[T]) Load(ctx context.Context) ([]T, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := steady.Now()
	err := durable.ErrCompacted
	if l.after > 0 && now-l.lastReadAt < fullReadInterval && now-max(l.lastChangeAt, l.lastReadAt) < maxQuietDuration && now-l.lastLoadAt < maxQuietDuration {
		err = l.applyChanges(ctx)
	}
	if errors.Is(err, durable.ErrCompacted) {
		err = l.read(ctx)
	}
	if err != nil {
		return nil, err
	}
	l.lastLoadAt = now
	list := make([]T, 0, len(l.order))
	for _, key := range l.order {
		if e := l.entries[key]; e.isDecoded {
			list = append(list, e.value)
			l.reportUnchanged(&list[len(list)-1], now, e.lastUnchangedAt)
		}
	}
	return list, nil
}

func (l *List[T]) reportUnchanged(value *T, now, changedAfter time.Duration) {
	switch {
	case l.OnUnchanged == nil, !l.hasRepeatedChanges:
	case changedAfter == 0:
		l.OnUnchanged(value, unknownUnchangedDuration)
	default:
		l.OnUnchanged(value, now-changedAfter)
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
	l.after, l.lastReadAt = revision, steady.Now()
	return nil
}

// applyChanges takes the changes over that came since the last look.
func (l *List[T]) applyChanges(ctx context.Context) error {
	events, revision, err := l.Store.Watch(ctx, l.Prefix, l.after, watchTimeout)
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
	l.after, l.lastChangeAt = revision, steady.Now()
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
		l.OnDecodeError(err)
	}
	changes := 0
	if listed {
		changes = before.changeCount + 1
	}
	l.hasRepeatedChanges = l.hasRepeatedChanges || changes > 1
	return listEntry[T]{value: value, isDecoded: err == nil, revision: item.Revision, lastUnchangedAt: l.lastLoadAt, changeCount: changes}
}
