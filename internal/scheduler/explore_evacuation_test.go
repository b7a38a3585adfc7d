package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// evacuationReadInterval is the interval at which leaders read the evacuations.
	evacuationReadInterval = time.Second
	// evacuationDeadline is the time after a request by which its zone gets no more starts.
	evacuationDeadline = 5 * time.Second
)

// injectEvacuation requests the evacuation of a zone, requests it again, or withdraws it.
func (w *world) injectEvacuation() {
	if w.now < w.store.downUntil {
		return
	}
	w.setEvacuated(w.rng.IntN(zoneCount), w.chance(60))
}

// setEvacuated writes or removes the request to evacuate a zone.
func (w *world) setEvacuated(zone int, evacuated bool) {
	before := w.store.evacuations
	next := &batch.Evacuations{Revision: before.Revision + 1}
	next.Zones = slices.DeleteFunc(slices.Clone(before.Zones), func(z batch.Evacuation) bool { return z.Zone == fmt.Sprint(zone) })
	switch {
	case !evacuated:
		w.evacuatedAt[zone] = 0
	case w.evacuatedAt[zone] == 0:
		w.evacuatedAt[zone] = w.now
	}
	if evacuated {
		next.Zones = append(next.Zones, batch.Evacuation{Zone: fmt.Sprint(zone), Revision: next.Revision})
	}
	w.store.evacuations = next
	w.tracef("zone %d is evacuated: %t", zone, evacuated)
}

// readEvacuations lets a leader read the evacuations from the store.
func (w *world) readEvacuations(l *modelLeader) {
	if !w.reachesStore(l) {
		l.disturbedAt = w.now
		return
	}
	if w.now >= l.nextEvacuationRead && !w.mutations.ignoreEvacuations {
		l.nextEvacuationRead = w.now + evacuationReadInterval
		l.s.SetEvacuations(w.store.evacuations)
	}
}

// checkEvacuation checks that a leader that was undisturbed for stableDuration starts nothing in a
// zone from evacuationDeadline after its evacuation was requested.
func (w *world) checkEvacuation(v *modelVM, o Order) {
	began := w.evacuatedAt[v.zone]
	if began == 0 || w.now-began <= evacuationDeadline || w.lateDelivery {
		return
	}
	for _, l := range w.leaders {
		if l.fence == FenceOf(o.Run) && w.now-max(l.disturbedAt, l.frozenUntil) > stableDuration {
			w.fail(o.Task, "%s run %s started on %s, whose zone is evacuated since %v", o.Task, runLabel(o.Run), v.id, began)
		}
	}
}
