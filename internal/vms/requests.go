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

// admitOrder is the order in which waiting classes get what comes free.
var admitOrder = []model.Class{model.Quick, model.Heavy, model.Standing}

const (
	// suspectDuration keeps requests off a VM that was not connected to; it is doubled
	// with each such try in a row, up to maxSuspectDuration.
	suspectDuration    = 500 * time.Millisecond
	maxSuspectDuration = 30 * time.Second
	// minQueueLimit may wait in any case; beyond that the queue is as long as is served
	// within the longest wait, so that nobody waits in vain. maxQueueLimit bounds memory.
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

// queue is what waits in one class, in order of arrival, with counts by service.
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

// filter keeps the waiters that keep says, and forgets the others.
func (q *queue) filter(keep func(*waiter) bool) {
	left := q.waiters[:0]
	for _, w := range q.waiters {
		if keep(w) {
			left = append(left, w)
			continue
		}
		if q.byService[w.service]--; q.byService[w.service] == 0 {
			delete(q.byService, w.service)
		}
	}
	clear(q.waiters[len(left):])
	q.waiters = left
}

// remove takes w out and reports whether it was there.
func (q *queue) remove(w *waiter) bool {
	before := len(q.waiters)
	q.filter(func(other *waiter) bool { return other != w })
	return len(q.waiters) < before
}

// Grant is one request's place at a VM. End must be called exactly once.
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

// EndKind says how a request at a target ended.
type EndKind int

// How a request ended.
const (
	// EndCompleted: the whole answer was read.
	EndCompleted EndKind = iota
	// EndNotRun: the target certainly did not run it.
	EndNotRun
	// EndUnreached: the target could not be connected to.
	EndUnreached
	// EndUncertain: given up; the target may still be running it.
	EndUncertain
)

// MayAct reports whether this node still owns the VM. Asked right before the
// request is sent.
func (g *Grant) MayAct() bool { return g.manager.mayAct(g.machine) }

// The bounds of Patience.
const (
	minSuspectTimeout    = 250 * time.Millisecond
	suspectTimeoutFactor = 20
)

// SuspectTimeout is how long an answer may take before the connection is suspected:
// the VM's usual time many times over.
func (g *Grant) SuspectTimeout() time.Duration {
	g.manager.mu.Lock()
	defer g.manager.mu.Unlock()
	return max(suspectTimeoutFactor*g.machine.latency, minSuspectTimeout)
}

// End gives the place back as far as the ending allows.
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
		took := now.Sub(g.startedAt)
		g.machine.latency += time.Duration(latencyWeight * float64(took-g.machine.latency))
	}
	g.machine.ledger.Release(g.HopID)
	m.wakeWaiters()
}

// Acquire takes a place for a request at one of the owned VMs. It queues, in its
// class and within the limits, for at most wait; zero does not queue. Its errors
// say NotRun.
func (m *Manager) Acquire(ctx context.Context, service string, class model.Class, wait time.Duration) (*Grant, error) {
	m.mu.Lock()
	m.hopCount++
	hopID := itoa(int64(m.hopCount)) + "-" + strconv.FormatUint(rand.Uint64(), 36)
	q := m.queues[class]
	// Whoever waits for the same service is served first, and while quick
	// requests wait, no other class takes what comes free.
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

// queueLimit is how many requests of a service the owned VMs serve within wait,
// going by their usual latency. m.mu is held.
func (m *Manager) queueLimit(service string, wait time.Duration) int {
	svc := m.Config().Document.Services[service]
	perWait := 0.0
	for _, mc := range m.owned {
		if svc.InZone(mc.vm.Zone) && mc.reachable {
			perWait += float64(mc.ledger.Capacity().Slots) * wait.Seconds() / mc.latency.Seconds()
		}
	}
	return min(max(int(perWait/2), minQueueLimit), maxQueueLimit)
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
	// The grant came at the same moment.
	return <-w.grant, nil
}

// wakeWaiters gives what is free to those who wait, class by class. While quick
// requests are left waiting, the others get nothing. m.mu is held.
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

// tryAcquire takes a place at the better of two VMs picked at random among
// those that have one, or returns nil. Two are enough to avoid the worst, and
// chance keeps nodes from all choosing the same. m.mu is held.
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

// expectedWait rates a VM for a request: its usual latency, more the busier it is.
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

// Free returns how many requests of a class the owned VMs could take now.
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

// waiting counts the requests that wait. m.mu is held.
func (m *Manager) waiting() int64 {
	var n int64
	for _, q := range m.queues {
		n += int64(len(q.waiters))
	}
	return n
}

// Waiting returns how many requests wait for a slot here.
func (m *Manager) Waiting() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waiting()
}
