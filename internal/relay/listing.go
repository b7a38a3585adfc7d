package relay

import (
	"slices"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// listing is the list of VMs as the difference from the one that the same stream told
// before. Within half a second a few of a thousand change in what matters; the list in
// the store changes in hundreds of entries, since VMs write there that they live.
type listing struct {
	Changed []batch.Instance
	Gone    []string
}

// lastListing is the list told last, by ID.
type lastListing map[string]batch.Instance

// diff returns a list as the difference from the last one, and keeps it.
func (l lastListing) diff(list []batch.Instance) *listing {
	short := &listing{}
	now := make(map[string]bool, len(list))
	for i := range list {
		id := list[i].ID
		now[id] = true
		if before, known := l[id]; !known || !equalInstances(&before, &list[i]) {
			short.Changed = append(short.Changed, list[i])
			l[id] = list[i]
		}
	}
	for id := range l {
		if !now[id] {
			short.Gone = append(short.Gone, id)
			delete(l, id)
		}
	}
	return short
}

func equalInstances(a, b *batch.Instance) bool {
	return a.Born == b.Born && a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone && a.Draining == b.Draining &&
		a.Remaining == b.Remaining && a.Stale == b.Stale && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

// apply returns the whole list, in the order of the IDs, and keeps it.
func (l lastListing) apply(short *listing) []batch.Instance {
	for i := range short.Changed {
		l[short.Changed[i].ID] = short.Changed[i]
	}
	for _, id := range short.Gone {
		delete(l, id)
	}
	list := make([]batch.Instance, 0, len(l))
	for _, id := range sortedKeys(l) {
		list = append(list, l[id])
	}
	return list
}
