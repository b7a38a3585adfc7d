// Package ledger keeps, for one VM, what it holds and decides what more it may
// be given: requests by slots and connections, tasks by processors, memory and
// accelerators. It is pure: time comes in as a parameter and nothing is sent.
//
// What goes wrong without it: a request or start whose answer was lost is
// counted as over while the VM still runs it, and the VM is given more than it
// holds. A ledger therefore frees what is uncertain only on the word of the
// VM's own list, taken after the uncertainty arose.
package ledger

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/model"
)

// Shares of a VM that a class may take at most, so that the classes shed first
// cannot crowd out quick requests.
const (
	heavyShareNumerator      = 3
	heavyShareDenominator    = 4
	standingShareNumerator   = 3
	standingShareDenominator = 4
	serviceShareNumerator    = 3
	serviceShareDenominator  = 4
	// connectionHeadroom stays unused, since a connection that we closed may
	// count at the target for a moment longer.
	connectionHeadroom = 4
)

// Decision says whether something was admitted, and if not, why.
type Decision string

// The verdicts.
const (
	Admitted              Decision = "admitted"
	NotReady              Decision = "not ready: the VM's own list was not read yet"
	Leaving               Decision = "the VM is leaving"
	NoSlot                Decision = "no free slot"
	NoConnection          Decision = "no free connection"
	ClassLimit            Decision = "the class has its share of the VM"
	ServiceLimit          Decision = "the service has its share of the VM"
	InsufficientResources Decision = "processors, memory or accelerators do not suffice"
	AlreadyHeld           Decision = "already held"
)

// allocation is one thing that the VM holds.
type allocation struct {
	class     model.Class // empty for a task
	service   string      // of a request
	resources model.Resources
	// uncertainSince is when we lost track of a request; zero while we have it.
	uncertainSince time.Time
	// expires ends a reservation that was not used; zero for none.
	expires time.Time
}

// Ledger of one VM. The zero value is not usable; call New.
type Ledger struct {
	capacity model.Resources
	reserve  model.Resources
	used     model.Resources
	byClass  map[model.Class]int64
	// byService counts the slots that each service's requests hold.
	byService   map[string]int64
	allocations map[string]allocation
	ready       bool
	leaving     bool
	// foreignConnections are open at the target but not ours.
	foreignConnections int64
}

// New returns a ledger that admits nothing until Rebuild was called.
// reserve is kept free of tasks for the VM's services.
func New(capacity, reserve model.Resources) *Ledger {
	return &Ledger{capacity: capacity, reserve: reserve, byClass: map[model.Class]int64{}, byService: map[string]int64{}, allocations: map[string]allocation{}}
}

// RequestResources is what a request of a class takes.
func RequestResources(class model.Class) model.Resources {
	if class == model.Standing {
		return model.Resources{Connections: 1}
	}
	return model.Resources{Slots: 1, Connections: 1}
}

// Ready reports whether the VM's own list was read.
func (l *Ledger) Ready() bool { return l.ready }

// SetLeaving sets whether the VM may be given new work.
func (l *Ledger) SetLeaving(leaving bool) { l.leaving = leaving }

// SetReserve changes what is kept free of tasks.
func (l *Ledger) SetReserve(reserve model.Resources) { l.reserve = reserve }

// RequestSpec is a request that wants a place.
type RequestSpec struct {
	Service string
	Class   model.Class
	// Shared is set when other services use the VM too: the service then gets
	// only its share of the slots, so that one that is slow leaves some to others.
	Shared bool
}

// AdmitRequest takes a slot and a connection, as the class needs, under id.
func (l *Ledger) AdmitRequest(id string, a RequestSpec) Decision {
	if v := l.MayRequest(a); v != Admitted {
		return v
	}
	return l.add(id, allocation{class: a.Class, service: a.Service, resources: RequestResources(a.Class)})
}

// MayRequest decides without taking anything.
func (l *Ledger) MayRequest(a RequestSpec) Decision {
	if a.Shared && a.Class != model.Standing && l.byService[a.Service] >= l.capacity.Slots*serviceShareNumerator/serviceShareDenominator {
		return ServiceLimit
	}
	return l.checkClass(a.Class)
}

func (l *Ledger) checkClass(class model.Class) Decision {
	switch {
	case !l.ready:
		return NotReady
	case l.leaving:
		return Leaving
	}
	free := l.free()
	need := RequestResources(class)
	switch {
	case need.Slots > free.Slots:
		return NoSlot
	case need.Connections > free.Connections-connectionHeadroom:
		return NoConnection
	case class == model.Heavy && l.byClass[class] >= l.capacity.Slots*heavyShareNumerator/heavyShareDenominator,
		class == model.Standing && l.byClass[class] >= l.capacity.Connections*standingShareNumerator/standingShareDenominator:
		return ClassLimit
	}
	return Admitted
}

// FreeRequests returns how many requests of a class could be admitted now.
func (l *Ledger) FreeRequests(class model.Class) int64 {
	if l.checkClass(class) != Admitted {
		return 0
	}
	free := l.free()
	n := free.Connections - connectionHeadroom
	switch class {
	case model.Standing:
		return min(n, l.capacity.Connections*standingShareNumerator/standingShareDenominator-l.byClass[class])
	case model.Heavy:
		n = min(n, l.capacity.Slots*heavyShareNumerator/heavyShareDenominator-l.byClass[class])
	}
	return min(n, free.Slots)
}

// Reserve takes resources for a task under id until expires, when the
// reservation ends by itself unless Keep was called.
func (l *Ledger) Reserve(id string, r model.Resources, expires time.Time) Decision {
	if v := l.MayPlace(r); v != Admitted {
		return v
	}
	return l.add(id, allocation{resources: r, expires: expires})
}

// MayPlace decides whether a task would fit, without taking anything.
func (l *Ledger) MayPlace(r model.Resources) Decision {
	switch {
	case !l.ready:
		return NotReady
	case l.leaving:
		return Leaving
	case !r.FitsIn(l.FreeForTasks()):
		return InsufficientResources
	}
	return Admitted
}

// FreeForTasks returns what tasks may still take.
func (l *Ledger) FreeForTasks() model.Resources {
	free := l.free().Sub(l.reserve)
	free.Slots, free.Connections = 0, 0
	return free
}

// Confirm turns a reservation into a hold; it reports false when the reservation
// is not there, and the task must then not be started.
func (l *Ledger) Confirm(id string) bool {
	h, ok := l.allocations[id]
	if !ok {
		return false
	}
	h.expires = time.Time{}
	l.allocations[id] = h
	return true
}

// Release frees id; it does nothing when id is not held.
func (l *Ledger) Release(id string) {
	h, ok := l.allocations[id]
	if !ok {
		return
	}
	delete(l.allocations, id)
	l.used = l.used.Sub(h.resources)
	l.countRequest(h, -1)
}

// MarkUncertain keeps a request's slot taken although we gave it up at now: the
// target may still be executing it.
func (l *Ledger) MarkUncertain(id string, now time.Time) {
	if h, ok := l.allocations[id]; ok {
		h.uncertainSince = now
		l.allocations[id] = h
	}
}

// Uncertain reports whether any request's slot waits for the VM's word.
func (l *Ledger) Uncertain() bool {
	for _, h := range l.allocations {
		if !h.uncertainSince.IsZero() {
			return true
		}
	}
	return l.foreignConnections > 0
}

// ExpireReservations ends the reservations that were not used by now.
func (l *Ledger) ExpireReservations(now time.Time) {
	for id, h := range l.allocations {
		if !h.expires.IsZero() && now.After(h.expires) {
			l.Release(id)
		}
	}
}

// Observation is the VM's own word.
type Observation struct {
	// AskedAt is when the list was asked for, by the asker's clock. What became
	// uncertain later is not settled by it.
	AskedAt time.Time
	// Tasks maps the running attempts to what they take.
	Tasks map[string]model.Resources
	// InFlight are the hop ids executing at the target.
	InFlight []string
	// ForeignConnections are open at the target and not this node's.
	ForeignConnections int64
}

// Observe settles what is uncertain by the VM's own list, takes up what the VM
// holds and we did not know, and makes the ledger ready.
func (l *Ledger) Observe(o Observation) {
	for id, r := range o.Tasks {
		if _, ok := l.allocations[id]; !ok {
			l.add(id, allocation{resources: r})
		}
	}
	executing := make(map[string]bool, len(o.InFlight))
	for _, id := range o.InFlight {
		executing[id] = true
		if _, ok := l.allocations[id]; !ok {
			// A request of an earlier owner.
			h := allocation{class: model.Quick, resources: RequestResources(model.Quick), uncertainSince: o.AskedAt}
			l.add(id, h)
		}
	}
	for id, h := range l.allocations {
		if !h.uncertainSince.IsZero() && h.uncertainSince.Before(o.AskedAt) && !executing[id] {
			l.Release(id)
		}
	}
	l.foreignConnections = o.ForeignConnections
	l.ready = true
}

// Used returns what is held now, reservations included.
func (l *Ledger) Used() model.Resources { return l.used }

// Capacity returns what the VM can hold.
func (l *Ledger) Capacity() model.Resources { return l.capacity }

// HeldCount returns the number of things held.
func (l *Ledger) HeldCount() int { return len(l.allocations) }

func (l *Ledger) free() model.Resources {
	free := l.capacity.Sub(l.used)
	free.Connections -= l.foreignConnections
	return free
}

func (l *Ledger) add(id string, h allocation) Decision {
	if _, ok := l.allocations[id]; ok {
		return AlreadyHeld
	}
	l.allocations[id] = h
	l.used = l.used.Add(h.resources)
	l.countRequest(h, 1)
	return Admitted
}

// countRequest keeps the counts by class and service; tasks have neither.
func (l *Ledger) countRequest(h allocation, n int64) {
	if h.class == "" {
		return
	}
	l.byClass[h.class] += n
	if l.byService[h.service] += n * h.resources.Slots; l.byService[h.service] == 0 {
		delete(l.byService, h.service)
	}
}

// HeldBy returns what id holds, nothing if it is not held.
func (l *Ledger) HeldBy(id string) model.Resources { return l.allocations[id].resources }

// IsHeld reports whether id is held, as a reservation or for good.
func (l *Ledger) IsHeld(id string) bool {
	_, ok := l.allocations[id]
	return ok
}
