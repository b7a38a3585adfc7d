package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// maxRelayUse is the ratio of VMs to capacity from which a relay is assigned no more VMs.
	maxRelayUse = 2.0
	// otherZonePenalty is added to the use of a relay in another availability zone: traffic
	// between zones costs more, and a zone that is cut off keeps its own relays.
	otherZonePenalty = 0.4
)

// unroute removes a VM from its relay. p.mu is held.
func (p *Pool) unroute(id string) {
	if s := p.routes[id]; s != nil {
		p.loads[s]--
		delete(p.routes, id)
	}
}

// route returns the relay of a VM, and assigns one if needed; nil if there is none.
func (p *Pool) route(vm *batch.Instance) *stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.routes[vm.ID]; s != nil {
		if s.usable() {
			return s
		}
		p.unroute(vm.ID)
	}
	if _, held := p.fleet[vm.ID]; !held {
		return nil
	}
	best := p.leastUsed(vm.Zone, nil)
	p.assign(vm.ID, best)
	return best
}

// assign assigns a VM to a relay; a nil relay is ignored. p.mu is held.
func (p *Pool) assign(id string, s *stream) {
	if s != nil {
		p.routes[id] = s
		p.loads[s]++
	}
}

// maxReroutes bounds the relays that are tried in turn for a VM that does not respond: each
// opens its own connections, and usually the VM itself is gone.
const maxReroutes = 3

// recordHold records the outcome of a hold through a relay. A VM that does not respond may
// have lost the path to this relay only, and is assigned to another one.
func (p *Pool) recordHold(vm *batch.Instance, s *stream, err error) {
	var refusal *batch.RefusalError
	answered := err == nil || (errors.As(err, &refusal) && refusal.Reason != batch.RefusedUnreached)
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		delete(p.misses, vm.ID)
		return
	}
	p.misses[vm.ID]++
	if p.misses[vm.ID] > maxReroutes || p.routes[vm.ID] != s {
		return
	}
	if other := p.leastUsed(vm.Zone, s); other != nil {
		p.unroute(vm.ID)
		p.assign(vm.ID, other)
	}
}

// leastUsed returns the usable relay with the lowest use, as seen from a zone, except the given
// one; nil if all are full. p.mu is held.
func (p *Pool) leastUsed(zone string, except *stream) *stream {
	var best *stream
	leastUse := maxRelayUse
	for _, node := range sortedKeys(p.streams) {
		s := p.streams[node]
		if s == except || !s.usable() {
			continue
		}
		use := p.use(s)
		if s.offer.Zone != zone {
			use += otherZonePenalty
		}
		if use < leastUse {
			best, leastUse = s, use
		}
	}
	return best
}

// use returns the ratio of a relay's VMs to its capacity. p.mu is held.
func (p *Pool) use(s *stream) float64 { return float64(p.loads[s]) / float64(s.offer.VMs) }

const (
	// rebalanceThreshold is the difference in use between two relays from which VMs are moved.
	rebalanceThreshold = 0.5
	// maxMovedVMs bounds the VMs moved at a time, because each needs new connections.
	maxMovedVMs = 16
)

// rebalance moves some VMs from the fullest relay to the emptiest, since a relay that
// returns after a loss serves none. p.mu is held.
func (p *Pool) rebalance() {
	var candidates []*stream
	for _, node := range sortedKeys(p.streams) {
		if s := p.streams[node]; s.usable() {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) < 2 {
		return
	}
	byUse := func(a, b *stream) int { return cmp.Compare(p.use(a), p.use(b)) }
	emptiest, fullest := slices.MinFunc(candidates, byUse), slices.MaxFunc(candidates, byUse)
	if p.use(fullest)-p.use(emptiest) < rebalanceThreshold {
		return
	}
	moved := 0
	for _, id := range sortedKeys(p.routes) {
		if moved >= maxMovedVMs || p.use(fullest)-p.use(emptiest) < rebalanceThreshold/2 {
			return
		}
		if p.routes[id] == fullest {
			p.unroute(id)
			p.assign(id, emptiest)
			moved++
		}
	}
}

// maxRelayAttempts bounds the relays that are tried while an order has not been written to any.
const maxRelayAttempts = 3

// do sends an order through the VM's relay, or directly if there is none.
func (p *Pool) do(vm *batch.Instance, order func(batch.Agents) error) error {
	for range maxRelayAttempts {
		s := p.route(vm)
		if s == nil {
			break
		}
		if err := order(s); !errors.Is(err, errNotWritten) {
			return err
		}
	}
	return order(p.Direct)
}

// Start implements batch.Agents.
func (p *Pool) Start(ctx context.Context, vm *batch.Instance, o batch.StartOrder) (clock time.Duration, err error) {
	err = p.do(vm, func(a batch.Agents) (err error) {
		clock, err = a.Start(ctx, vm, o)
		return err
	})
	return clock, err
}

// Stop implements batch.Agents.
func (p *Pool) Stop(ctx context.Context, vm *batch.Instance, task batch.TaskID, run, fence int64) error {
	return p.do(vm, func(a batch.Agents) error { return a.Stop(ctx, vm, task, run, fence) })
}

// Pace implements batch.Agents.
func (p *Pool) Pace(ctx context.Context, vm *batch.Instance, task batch.TaskID, run int64, percent int, fence int64) error {
	return p.do(vm, func(a batch.Agents) error { return a.Pace(ctx, vm, task, run, percent, fence) })
}

// Hold implements batch.Agents.
func (p *Pool) Hold(ctx context.Context, vm *batch.Instance, o batch.HoldOrder) (rep batch.Report, err error) {
	err = p.do(vm, func(a batch.Agents) (err error) {
		rep, err = a.Hold(ctx, vm, o)
		if s, relayed := a.(*stream); relayed && !errors.Is(err, errNotWritten) {
			p.recordHold(vm, s, err)
		}
		return err
	})
	return rep, err
}

// Instances returns the list of VMs. If there is a relay, it reads the list and sends only
// the changes, since the whole list takes 1.2 MB/s of the link with 3,000 VMs.
func (p *Pool) Instances(ctx context.Context) ([]batch.Instance, error) {
	if s := p.selectListReader(); s != nil {
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		list, err := s.Instances(listCtx)
		if err == nil {
			return list, nil
		}
		p.replaceListReader(s)
	}
	return p.List(ctx)
}

// listTimeout bounds the read of the list by a relay; after it this process reads the list itself.
const listTimeout = 800 * time.Millisecond

// selectListReader returns the relay that reads the list, or nil. It is kept as long as it is
// usable, since another relay would first have to send the whole list.
func (p *Pool) selectListReader() *stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isLeading() {
		return nil
	}
	if p.listReader == nil || !p.listReader.usable() {
		p.listReader = p.leastUsed("", nil)
	}
	return p.listReader
}

// replaceListReader selects another relay than s to read the list.
func (p *Pool) replaceListReader(s *stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listReader == s {
		p.listReader = p.leastUsed("", s)
	}
}
