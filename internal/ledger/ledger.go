// Package ledger records the resources in use on one VM and decides what else
// the VM may be given: requests by slots and connections, tasks by processors,
// memory and accelerators. It has no side effects; the time is a parameter.
//
// A request or start whose answer was lost may still run on the VM. Counting it
// as ended would overload the VM. A ledger therefore frees an uncertain
// allocation only by the VM's own list, requested after it became uncertain.
package ledger

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/model"
)

// Maximum shares of a VM that a class or service may take, so that the classes
// that are shed first leave capacity for quick requests.
const (
	heavyShareNumerator      = 3
	heavyShareDenominator    = 4
	standingShareNumerator   = 3
	standingShareDenominator = 4
	serviceShareNumerator    = 3
	serviceShareDenominator  = 4
	// connectionHeadroom connections stay unused, because the target may still
	// count a connection for a short time after this node closed it.
	connectionHeadroom = 4
)

// Decision is the result of an admission check: Admitted or the reason of the refusal.
type Decision string

// The decisions.
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

// allocation is what one request, task or reservation takes of the VM.
type allocation struct {
	class     model.Class // empty for a task
	service   string      // empty for a task
	resources model.Resources
	// uncertainSince is when the outcome of a request became unknown; zero if it did not.
	uncertainSince time.Time
	// expires is when an unconfirmed reservation ends; zero for other allocations.
	expires time.Time
}

// Ledger holds the allocations of one VM. The zero value is not usable; call New.
type Ledger struct {
	capacity model.Resources
	reserve  model.Resources
	used     model.Resources
	byClass  map[model.Class]int64
	// byService counts the slots that the requests of each service take.
	byService   map[string]int64
	allocations map[string]allocation
	ready       bool
	leaving     bool
	// foreignConnections counts the connections at the target that this node did not open.
	foreignConnections int64
}

// New returns a ledger that admits nothing until Observe is called.
// Tasks do not get the resources in reserve, which are for the VM's services.
func New(capacity, reserve model.Resources) *Ledger {
	return &Ledger{capacity: capacity, reserve: reserve, byClass: map[model.Class]int64{}, byService: map[string]int64{}, allocations: map[string]allocation{}}
}

// RequestResources returns what a request of a class takes.
func RequestResources(class model.Class) model.Resources {
	if class == model.Standing {
		return model.Resources{Connections: 1}
	}
	return model.Resources{Slots: 1, Connections: 1}
}

// Ready reports whether Observe was called.
func (l *Ledger) Ready() bool { return l.ready }

// SetLeaving sets whether the VM is leaving and is given no new work.
func (l *Ledger) SetLeaving(leaving bool) { l.leaving = leaving }

// SetReserve changes the resources that tasks do not get.
func (l *Ledger) SetReserve(reserve model.Resources) { l.reserve = reserve }

// RequestSpec describes a request for admission.
type RequestSpec struct {
	Service string
	Class   model.Class
	// Shared is set when other services use the VM too. The service then gets
	// only its share of the slots, so that a slow service leaves some to others.
	Shared bool
}

// AdmitRequest allocates what the request's class needs under id.
func (l *Ledger) AdmitRequest(id string, spec RequestSpec) Decision {
	if d := l.MayRequest(spec); d != Admitted {
		return d
	}
	return l.add(id, allocation{class: spec.Class, service: spec.Service, resources: RequestResources(spec.Class)})
}

// MayRequest decides whether a request would be admitted, without allocating.
func (l *Ledger) MayRequest(spec RequestSpec) Decision {
	if spec.Shared && spec.Class != model.Standing && l.byService[spec.Service] >= l.capacity.Slots*serviceShareNumerator/serviceShareDenominator {
		return ServiceLimit
	}
	return l.checkClass(spec.Class)
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

// FreeRequests returns how many more requests of a class could be admitted.
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

// Reserve allocates resources for a task under id. The reservation ends at
// expires unless Confirm is called before.
func (l *Ledger) Reserve(id string, r model.Resources, expires time.Time) Decision {
	if d := l.MayPlace(r); d != Admitted {
		return d
	}
	return l.add(id, allocation{resources: r, expires: expires})
}

// MayPlace decides whether a task would fit, without allocating.
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

// FreeForTasks returns the resources that tasks may still take.
func (l *Ledger) FreeForTasks() model.Resources {
	free := l.free().Sub(l.reserve)
	free.Slots, free.Connections = 0, 0
	return free
}

// Confirm makes a reservation permanent. It reports false when the reservation
// does not exist; the task must not be started then.
func (l *Ledger) Confirm(id string) bool {
	a, ok := l.allocations[id]
	if !ok {
		return false
	}
	a.expires = time.Time{}
	l.allocations[id] = a
	return true
}

// Release frees the allocation id, if it exists.
func (l *Ledger) Release(id string) {
	a, ok := l.allocations[id]
	if !ok {
		return
	}
	delete(l.allocations, id)
	l.used = l.used.Sub(a.resources)
	l.countRequest(a, -1)
}

// MarkUncertain keeps a request that was abandoned at now allocated, because the
// target may still be executing it.
func (l *Ledger) MarkUncertain(id string, now time.Time) {
	if a, ok := l.allocations[id]; ok {
		a.uncertainSince = now
		l.allocations[id] = a
	}
}

// Uncertain reports whether any allocation waits for an observation of the VM.
func (l *Ledger) Uncertain() bool {
	for _, a := range l.allocations {
		if !a.uncertainSince.IsZero() {
			return true
		}
	}
	return l.foreignConnections > 0
}

// ExpireReservations releases the reservations that expired before now.
func (l *Ledger) ExpireReservations(now time.Time) {
	for id, a := range l.allocations {
		if !a.expires.IsZero() && now.After(a.expires) {
			l.Release(id)
		}
	}
}

// Observation is the VM's own list of what it runs.
type Observation struct {
	// AskedAt is when this node requested the list, by its own clock. Allocations
	// that became uncertain later are not resolved by it.
	AskedAt time.Time
	// Tasks maps the running attempts to the resources that they take.
	Tasks map[string]model.Resources
	// InFlight lists the hop IDs of the requests executing at the target.
	InFlight []string
	// ForeignConnections counts the connections at the target that this node did not open.
	ForeignConnections int64
}

// Observe resolves uncertain allocations by the VM's own list, adds the tasks and
// requests that the ledger lacks, and makes the ledger ready.
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
			// A request that an earlier owner of the VM sent.
			a := allocation{class: model.Quick, resources: RequestResources(model.Quick), uncertainSince: o.AskedAt}
			l.add(id, a)
		}
	}
	for id, a := range l.allocations {
		if !a.uncertainSince.IsZero() && a.uncertainSince.Before(o.AskedAt) && !executing[id] {
			l.Release(id)
		}
	}
	l.foreignConnections = o.ForeignConnections
	l.ready = true
}

// Used returns the sum of all allocations, including reservations.
func (l *Ledger) Used() model.Resources { return l.used }

// Capacity returns the total resources of the VM.
func (l *Ledger) Capacity() model.Resources { return l.capacity }

// HeldCount returns the number of allocations, including reservations.
func (l *Ledger) HeldCount() int { return len(l.allocations) }

func (l *Ledger) free() model.Resources {
	free := l.capacity.Sub(l.used)
	free.Connections -= l.foreignConnections
	return free
}

func (l *Ledger) add(id string, a allocation) Decision {
	if _, ok := l.allocations[id]; ok {
		return AlreadyHeld
	}
	l.allocations[id] = a
	l.used = l.used.Add(a.resources)
	l.countRequest(a, 1)
	return Admitted
}

// countRequest adds n requests like a to the counts by class and service. Tasks
// are not counted.
func (l *Ledger) countRequest(a allocation, n int64) {
	if a.class == "" {
		return
	}
	l.byClass[a.class] += n
	if l.byService[a.service] += n * a.resources.Slots; l.byService[a.service] == 0 {
		delete(l.byService, a.service)
	}
}

// HeldBy returns the resources allocated under id, zero if there are none.
func (l *Ledger) HeldBy(id string) model.Resources { return l.allocations[id].resources }

// IsHeld reports whether there is an allocation or a reservation under id.
func (l *Ledger) IsHeld(id string) bool {
	_, ok := l.allocations[id]
	return ok
}
