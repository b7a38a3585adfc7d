package vms

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/ledger"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/target"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// admitOrder is the order in which waiting classes get freed slots.
var admitOrder = []model.Class{model.Quick, model.Heavy, model.Standing}

const (
	// suspectDuration is how long a VM gets no requests after a failed connection; it
	// doubles with each consecutive failure, up to maxSuspectDuration.
	suspectDuration    = 500 * time.Millisecond
	maxSuspectDuration = 30 * time.Second
	// minQueueLimit requests may always wait. Beyond that, the queue holds no more
	// requests than are served within the longest wait, so that none waits in vain.
	// maxQueueLimit bounds memory.
	minQueueLimit = 8
	maxQueueLimit = 4096
	// latencyWeight is the weight of the newest request in the moving average.
	latencyWeight = 0.1
)

// waiter is a request that waits for a slot.
type waiter struct {
	service string
	class   model.Class
	hopID   string
	grant   chan *Grant
}

// queue holds the waiting requests of one class in order of arrival, with counts by
// service.
type queue struct {
	waiters   []*waiter
	byService map[string]int
}

func (q *queue) add(w *waiter) {
	if q.byService == nil {
		q.byService = map[string]int{}
	}
	q.waiters = append(q.waiters, w)
	q.byService[w.service]++
}

// filter keeps the waiters for which keep returns true and removes the others.
func (q *queue) filter(keep func(*waiter) bool) {
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if keep(w) {
			kept = append(kept, w)
			continue
		}
		if q.byService[w.service]--; q.byService[w.service] == 0 {
			delete(q.byService, w.service)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
}

// remove removes w and reports whether it was queued.
func (q *queue) remove(w *waiter) bool {
	before := len(q.waiters)
	q.filter(func(other *waiter) bool { return other != w })
	return len(q.waiters) < before
}

// Grant is a slot at a VM for one request. End must be called exactly once.
type Grant struct {
	// HopID is unique to this request at this hop.
	HopID string
	// VM is the VM's name.
	VM        string
	Target    target.Target
	manager   *Manager
	machine   *machine
	class     model.Class
	startedAt time.Time
}

// EndKind is how a request to a target ended.
type EndKind int

// The ends of a request.
const (
	// EndCompleted: the whole response was read.
	EndCompleted EndKind = iota
	// EndNotRun: the target certainly did not process the request.
	EndNotRun
	// EndUnreached: the connection to the target failed.
	EndUnreached
	// EndUncertain: the request was abandoned; the target may still be processing it.
	EndUncertain
)

// MayAct reports whether this node still owns the VM. It is called right before the
// request is sent.
func (g *Grant) MayAct() bool { return g.manager.mayAct(g.machine) }

// Parameters of SuspectTimeout.
const (
	minSuspectTimeout    = 250 * time.Millisecond
	suspectTimeoutFactor = 20
)

// SuspectTimeout returns how long a response may take before the connection is
// suspected: a multiple of the VM's average latency, at least minSuspectTimeout.
func (g *Grant) SuspectTimeout() time.Duration {
	g.manager.mu.Lock()
	defer g.manager.mu.Unlock()
	return max(suspectTimeoutFactor*g.machine.latency, minSuspectTimeout)
}

// End releases the slot, unless the target may still be processing the request.
func (g *Grant) End(kind EndKind) {
	m := g.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch kind {
	case EndUncertain:
		g.machine.ledger.MarkUncertain(g.HopID, now)
		g.machine.refreshStatus()
		return
	case EndUnreached:
		g.machine.connectFailures++
		g.machine.refreshStatus()
		g.machine.suspectUntil = now.Add(min(suspectDuration<<min(g.machine.connectFailures, 10), maxSuspectDuration))
	case EndCompleted:
		g.machine.connectFailures = 0
		if g.class == model.Standing {
			break
		}
		duration := now.Sub(g.startedAt)
		g.machine.latency += time.Duration(latencyWeight * float64(duration-g.machine.latency))
	}
	g.machine.ledger.Release(g.HopID)
	m.wakeWaiters()
}

// Acquire obtains a slot for a request at one of the owned VMs. It queues the
// request, by class and within the limits, for at most wait; zero does not queue. Its
// errors imply that the request was not run.
func (m *Manager) Acquire(ctx context.Context, service string, class model.Class, wait time.Duration) (*Grant, error) {
	m.mu.Lock()
	m.hopCount++
	hopID := itoa(int64(m.hopCount)) + "-" + strconv.FormatUint(rand.Uint64(), 36)
	q := m.queues[class]
	// Requests already waiting for the same service go first, and while quick
	// requests wait, no other class gets a freed slot.
	if q.byService[service] == 0 && (class == model.Quick || len(m.queues[model.Quick].waiters) == 0) {
		if g := m.tryAcquire(service, class, hopID); g != nil {
			m.mu.Unlock()
			return g, nil
		}
	}
	if wait <= 0 {
		m.mu.Unlock()
		return nil, errkind.New(errkind.NoCapacity, "", nil)
	}
	if q.byService[service] >= m.queueLimit(service, wait) {
		m.mu.Unlock()
		return nil, errkind.New(errkind.Overloaded, "too many "+string(class)+" requests wait", nil)
	}
	w := &waiter{service: service, class: class, hopID: hopID, grant: make(chan *Grant, 1)}
	q.add(w)
	m.mu.Unlock()
	return m.await(ctx, w, wait)
}

// queueLimit returns how many requests of a service may wait: half of what the owned
// VMs serve within wait at their average latency, between minQueueLimit and
// maxQueueLimit. m.mu is held.
func (m *Manager) queueLimit(service string, wait time.Duration) int {
	svc := m.Config().Document.Services[service]
	servedPerWait := 0.0
	for _, mc := range m.owned {
		if svc.InZone(mc.vm.Zone) && mc.reachable {
			servedPerWait += float64(mc.ledger.Capacity().Slots) * wait.Seconds() / mc.latency.Seconds()
		}
	}
	return min(max(int(servedPerWait/2), minQueueLimit), maxQueueLimit)
}

func (m *Manager) await(ctx context.Context, w *waiter, wait time.Duration) (*Grant, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	err := errkind.New(errkind.Overloaded, "no slot came free in time", nil)
	select {
	case g := <-w.grant:
		return g, nil
	case <-timer.C:
	case <-ctx.Done():
		err = errkind.New(errkind.DeadlineNotRun, "", ctx.Err())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.queues[w.class].remove(w) {
		return nil, err
	}
	// The slot was granted at the same moment.
	return <-w.grant, nil
}

// wakeWaiters assigns free slots to waiting requests, class by class. While quick
// requests are still waiting, the other classes get none. m.mu is held.
func (m *Manager) wakeWaiters() {
	for _, class := range admitOrder {
		q := m.queues[class]
		full := map[string]bool{}
		q.filter(func(w *waiter) bool {
			if full[w.service] {
				return true
			}
			g := m.tryAcquire(w.service, class, w.hopID)
			if g == nil {
				full[w.service] = true
				return true
			}
			w.grant <- g
			return false
		})
		if class == model.Quick && len(q.waiters) > 0 {
			return
		}
	}
}

// tryAcquire obtains a slot at the better of two VMs picked at random among those
// that have one, or returns nil. Two choices are enough to avoid the worst VM, and
// the randomness keeps nodes from all choosing the same one. m.mu is held.
func (m *Manager) tryAcquire(service string, class model.Class, hopID string) *Grant {
	svc, ok := m.Config().Document.Services[service]
	if !ok {
		return nil
	}
	ask := ledger.RequestSpec{Service: service, Class: class, Shared: len(m.Config().Document.Services) > 1}
	now := time.Now()
	var first, second *machine
	seen := 0
	for _, mc := range m.owned {
		if !svc.InZone(mc.vm.Zone) || !mc.reachable || now.Before(mc.suspectUntil) || mc.ledger.MayRequest(ask) != ledger.Admitted || !m.mayAct(mc) {
			continue
		}
		seen++
		// Reservoir sampling of two.
		switch {
		case first == nil:
			first = mc
		case second == nil:
			second = mc
		default:
			if i := rand.IntN(seen); i == 0 {
				first = mc
			} else if i == 1 {
				second = mc
			}
		}
	}
	if first == nil {
		return nil
	}
	if second != nil && expectedWait(second) < expectedWait(first) {
		first = second
	}
	if first.ledger.AdmitRequest(hopID, ask) != ledger.Admitted {
		return nil
	}
	return &Grant{
		HopID: hopID, VM: first.vm.Name, Target: first.target,
		manager: m, machine: first, class: class, startedAt: now,
	}
}

// expectedWait estimates a request's wait at a VM: its average latency, scaled by its
// used slots.
func expectedWait(mc *machine) float64 {
	return mc.latency.Seconds() * float64(mc.ledger.Used().Slots+1)
}

// Serves reports whether any owned VM serves the service.
func (m *Manager) Serves(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := m.Config().Document.Services[service]
	for _, mc := range m.owned {
		if svc.InZone(mc.vm.Zone) && mc.ledger.Ready() {
			return true
		}
	}
	return false
}

// Free returns how many requests of a class the owned VMs could admit now.
func (m *Manager) Free(service string, class model.Class) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := m.Config().Document.Services[service]
	var free int64
	for _, mc := range m.owned {
		if svc.InZone(mc.vm.Zone) {
			free += mc.ledger.FreeRequests(class)
		}
	}
	return free
}

// waiting returns the number of waiting requests. m.mu is held.
func (m *Manager) waiting() int64 {
	var n int64
	for _, q := range m.queues {
		n += int64(len(q.waiters))
	}
	return n
}

// Waiting returns how many requests wait for a slot at this node.
func (m *Manager) Waiting() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waiting()
}
