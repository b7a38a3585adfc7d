package follow

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// List caches the entries under a prefix where most entries change all the time in parts
// that are irrelevant to the reader, such as the heartbeats that VMs write. Each Load
// fetches only the changes since the previous one, a third of the data: reading the whole
// list of 120 VMs twice a second takes 100 KB/s.
type List[T any] struct {
	Store  durable.Store
	Prefix string
	Decode func(durable.Item) (T, error)
	// OnDecodeError is called with the error of each entry that Decode rejects. Load
	// leaves such entries out.
	OnDecodeError func(error)
	// OnUnchanged, if not nil, is called for each value that Load returns, with the longest
	// time for which its entry may have been unchanged. For an entry that has not changed
	// since the first Load this is unknown and unknownUnchangedDuration is passed. It is not
	// called until some entry has changed twice: where live VMs do not write regularly, an
	// unchanged entry has no meaning.
	OnUnchanged func(value *T, unchangedFor time.Duration)

	mu      sync.Mutex
	entries map[string]listEntry[T]
	// order holds the keys in the order in which they were first read.
	order []string
	after int64
	// hasRepeatedChanges is set once an entry has changed twice.
	hasRepeatedChanges bool
	// Monotonic times of the last read of the whole list, of the last watch response with
	// changes, and of the last Load.
	lastReadAt, lastChangeAt, lastLoadAt time.Duration
}

type listEntry[T any] struct {
	value     T
	isDecoded bool
	revision  int64
	// lastUnchangedAt is the time of the last Load before the entry's latest change, 0 if
	// there was none.
	lastUnchangedAt time.Duration
	// changeCount is the number of changes since the entry was first read.
	changeCount int
}

// unknownUnchangedDuration is passed to OnUnchanged for entries whose last change is unknown.
const unknownUnchangedDuration = time.Hour

const (
	// fullReadInterval is the interval after which the whole list is read even if watches
	// work, so that no change is missed for good.
	fullReadInterval = 5 * time.Second
	// maxQuietDuration is the time without changes, or without a Load, after which the
	// whole list is read instead of its changes. A store that loses its history may
	// return no changes for a second although there are some.
	maxQuietDuration = 1500 * time.Millisecond
	// watchTimeout bounds how long the store waits for a change.
	watchTimeout = 10 * time.Millisecond
)

// Load updates the list from the store and returns its decoded values.
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

func (l *List[T]) reportUnchanged(value *T, now, lastUnchangedAt time.Duration) {
	switch {
	case l.OnUnchanged == nil, !l.hasRepeatedChanges:
	case lastUnchangedAt == 0:
		l.OnUnchanged(value, unknownUnchangedDuration)
	default:
		l.OnUnchanged(value, now-lastUnchangedAt)
	}
}

// read reads the whole list and keeps the entries whose revision is unchanged.
func (l *List[T]) read(ctx context.Context) error {
	items, revision, err := l.Store.Range(ctx, l.Prefix)
	if err != nil {
		return err
	}
	previous := l.entries
	l.entries, l.order = make(map[string]listEntry[T], len(items)), l.order[:0]
	for i := range items {
		key := items[i].Key
		if known, ok := previous[key]; ok && known.revision == items[i].Revision {
			l.entries[key] = known
		} else {
			l.entries[key] = l.decode(&items[i], known, ok)
		}
		l.order = append(l.order, key)
	}
	l.after, l.lastReadAt = revision, steady.Now()
	return nil
}

// applyChanges fetches and applies the changes since the last read or watch.
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

func (l *List[T]) decode(item *durable.Item, previous listEntry[T], listed bool) listEntry[T] {
	value, err := l.Decode(*item)
	if err != nil && l.OnDecodeError != nil {
		l.OnDecodeError(err)
	}
	changes := 0
	if listed {
		changes = previous.changeCount + 1
	}
	l.hasRepeatedChanges = l.hasRepeatedChanges || changes > 1
	return listEntry[T]{value: value, isDecoded: err == nil, revision: item.Revision, lastUnchangedAt: l.lastLoadAt, changeCount: changes}
}
