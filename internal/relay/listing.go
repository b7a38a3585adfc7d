package relay

import (
	"slices"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// listing is the list of VMs as the difference from the previous one on the same stream.
// Within half a second only a few of a thousand entries change in a relevant field, while
// hundreds change in the store because VMs write their heartbeats there.
type listing struct {
	Changed []batch.Instance
	Gone    []string
}

// lastListing is the list most recently sent or received, by ID.
type lastListing map[string]batch.Instance

// diff returns the difference between list and the previous list, and stores list.
func (l lastListing) diff(list []batch.Instance) *listing {
	delta := &listing{}
	present := make(map[string]bool, len(list))
	for i := range list {
		id := list[i].ID
		present[id] = true
		if before, known := l[id]; !known || !equalInstances(&before, &list[i]) {
			delta.Changed = append(delta.Changed, list[i])
			l[id] = list[i]
		}
	}
	for id := range l {
		if !present[id] {
			delta.Gone = append(delta.Gone, id)
			delete(l, id)
		}
	}
	return delta
}

// equalInstances reports whether two instances with the same ID are equal.
func equalInstances(a, b *batch.Instance) bool {
	return a.Born == b.Born && a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone && a.Draining == b.Draining &&
		a.Remaining == b.Remaining && a.Stale == b.Stale && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

// apply applies a difference to the previous list, and returns and stores the result, sorted by ID.
func (l lastListing) apply(delta *listing) []batch.Instance {
	for i := range delta.Changed {
		l[delta.Changed[i].ID] = delta.Changed[i]
	}
	for _, id := range delta.Gone {
		delete(l, id)
	}
	list := make([]batch.Instance, 0, len(l))
	for _, id := range sortedKeys(l) {
		list = append(list, l[id])
	}
	return list
}
