package vms

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/hop"
	"github.com/rattanwall/rattanwall/internal/ledger"
	"github.com/rattanwall/rattanwall/internal/model"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// queueLimit is how many requests of a class may wait for a slot at this node.
// Standing watches do not wait: they are the first to be shed.
var queueLimit = map[model.Class]int{model.Quick: 256, model.Heavy: 64, model.Standing: 0}

// admitOrder is the order in which waiting classes get what comes free.
var admitOrder = []model.Class{model.Quick, model.Heavy, model.Standing}

const (
	// suspectFor keeps requests off a VM that was not connected to; it is doubled
	// with each such try in a row, up to maxSuspect.
	suspectFor = 500 * time.Millisecond
	maxSuspect = 30 * time.Second
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

// Grant is one request's place at a VM. End must be called exactly once.
type Grant struct {
	// HopID is unique to this request at this hop.
	HopID string
	// VM is the VM's name, Address that of its target.
	VM, Address string
	Client      *hop.Client
	manager     *Manager
	machine     *machine
	class       model.Class
	startedAt   time.Time
}

// EndKind says how a request at a target ended.
type EndKind int

// How a request ended.
const (
	// EndWhole: the whole answer was read.
	EndWhole EndKind = iota
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
	minPatience    = 250 * time.Millisecond
	patienceFactor = 20
)

// Patience is how long an answer may take before the connection is suspected:
// the VM's usual time many times over.
func (g *Grant) Patience() time.Duration {
	g.manager.mu.Lock()
	defer g.manager.mu.Unlock()
	return max(patienceFactor*g.machine.latency, minPatience)
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
		return
	case EndUnreached:
		g.machine.unreached++
		g.machine.suspectUntil = now.Add(min(suspectFor<<min(g.machine.unreached, 10), maxSuspect))
	case EndWhole:
		g.machine.unreached = 0
		if g.class == model.Standing {
			break
		}
		took := now.Sub(g.startedAt)
		g.machine.latency += time.Duration(latencyWeight * float64(took-g.machine.latency))
	}
	g.machine.ledger.Release(g.HopID)
	m.wakeWaiters()
}

// Acquire takes a place for a request at one of the owned VMs. With wait set it
// queues, in its class and within the limits, until ctx ends or maxWait has
// passed. Its errors say NotRun.
func (m *Manager) Acquire(ctx context.Context, service string, class model.Class, wait time.Duration) (*Grant, error) {
	m.mu.Lock()
	m.hops++
	hopID := itoa(int64(m.hops)) + "-" + strconv.FormatUint(rand.Uint64(), 36)
	// Whoever waits in a class is served before newcomers.
	if len(m.waiters[class]) == 0 {
		if g := m.tryAcquire(service, class, hopID); g != nil {
			m.mu.Unlock()
			return g, nil
		}
	}
	if wait <= 0 {
		m.mu.Unlock()
		return nil, errkind.New(errkind.NoCapacity, "", nil)
	}
	if len(m.waiters[class]) >= queueLimit[class] {
		m.mu.Unlock()
		return nil, errkind.New(errkind.Overloaded, "too many "+string(class)+" requests wait", nil)
	}
	w := &waiter{service: service, class: class, hopID: hopID, grant: make(chan *Grant, 1)}
	m.waiters[class] = append(m.waiters[class], w)
	m.mu.Unlock()
	return m.await(ctx, w, wait)
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
	for i, other := range m.waiters[w.class] {
		if other == w {
			m.waiters[w.class] = append(m.waiters[w.class][:i:i], m.waiters[w.class][i+1:]...)
			return nil, err
		}
	}
	// The grant came at the same moment.
	return <-w.grant, nil
}

// wakeWaiters gives what is free to those who wait. m.mu is held.
func (m *Manager) wakeWaiters() {
	for _, class := range admitOrder {
		queue := m.waiters[class]
		if len(queue) == 0 {
			continue
		}
		left := queue[:0]
		for _, w := range queue {
			if g := m.tryAcquire(w.service, class, w.hopID); g != nil {
				w.grant <- g
			} else {
				left = append(left, w)
			}
		}
		m.waiters[class] = left
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
	now := time.Now()
	var first, second *machine
	seen := 0
	for _, mc := range m.owned {
		if !svc.InZone(mc.vm.Zone) || !mc.reachable || now.Before(mc.suspectUntil) || mc.ledger.FreeRequests(class) <= 0 || !m.mayAct(mc) {
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
	if first.ledger.AdmitRequest(hopID, class) != ledger.Admitted {
		return nil
	}
	return &Grant{
		HopID: hopID, VM: first.vm.Name, Address: first.vm.TargetAddress, Client: first.client,
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

// Waiting returns how many requests wait for a slot here.
func (m *Manager) Waiting() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return int64(len(m.waiters[model.Quick]) + len(m.waiters[model.Heavy]))
}
