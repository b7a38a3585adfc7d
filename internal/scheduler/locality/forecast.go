package locality

import (
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Release is the expected end of a run, after which its VM has that much more capacity.
type Release struct {
	After time.Duration
	Freed batch.Resources
}

// VM is the capacity of a VM for a task: what is free now and what becomes free. Free amounts may
// be negative.
type VM struct {
	Free     batch.Resources
	Releases []Release
}

// Request is a number of equal tasks that want places.
type Request struct {
	// Need has to be free for a start, Taken is what a started task takes. They differ for tasks
	// that may overcommit processors.
	Need, Taken batch.Resources
	// Ahead is the number of tasks that get places before, Tasks that of the tasks themselves.
	Ahead, Tasks int
	// Together is set if the tasks start all at once.
	Together bool
	// Duration is how long a task holds its place.
	Duration time.Duration
}

// maxEvents bounds the events of one forecast. What lies beyond is as good as never.
const maxEvents = 2000

// event is a release of capacity on a VM.
type event struct {
	at    time.Duration
	vm    int
	freed batch.Resources
}

// Forecast returns the expected time until each of the tasks has a place on one of the VMs, in
// ascending order; Never for those beyond what can be foreseen.
func Forecast(vms []VM, q *Request) []time.Duration {
	f := forecast{free: make([]batch.Resources, len(vms)), request: q, ahead: q.Ahead}
	for i := range vms {
		f.free[i] = vms[i].Free
		for _, r := range vms[i].Releases {
			f.events = append(f.events, event{at: r.After, vm: i, freed: r.Freed})
		}
	}
	slices.SortStableFunc(f.events, compareEvents)
	for i := range vms {
		f.fill(0, i)
	}
	for n := 0; n < len(f.events) && n < maxEvents && len(f.found) < q.Tasks; n++ {
		e := f.events[n]
		f.free[e.vm] = f.free[e.vm].Add(e.freed)
		f.fill(e.at, e.vm)
	}
	for len(f.found) < q.Tasks {
		f.found = append(f.found, Never)
	}
	if q.Together {
		last := f.found[q.Tasks-1]
		for i := range f.found {
			f.found[i] = last
		}
	}
	return f.found
}

// forecast is a simulation of the starts on some VMs.
type forecast struct {
	request *Request
	free    []batch.Resources
	// events are in order of time.
	events []event
	ahead  int
	found  []time.Duration
}

func compareEvents(a, b event) int {
	switch {
	case a.at < b.at:
		return -1
	case a.at > b.at:
		return 1
	}
	return 0
}

// fill starts tasks on a VM while it has capacity.
func (f *forecast) fill(now time.Duration, vm int) {
	q := f.request
	for len(f.found) < q.Tasks && q.Need.FitsIn(f.free[vm]) {
		f.free[vm] = f.free[vm].Sub(q.Taken)
		isAhead := f.ahead > 0
		if isAhead {
			f.ahead--
		} else {
			f.found = append(f.found, now)
		}
		if isAhead || !q.Together {
			f.insert(event{at: now + q.Duration, vm: vm, freed: q.Taken})
		}
	}
}

// insert adds a future event.
func (f *forecast) insert(e event) {
	i, _ := slices.BinarySearchFunc(f.events, e, func(a, b event) int {
		if a.at <= b.at {
			return -1
		}
		return 1
	})
	f.events = slices.Insert(f.events, i, e)
}
