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
	// maxRelayUse is the use of a relay's room from which a VM is not given to it.
	maxRelayUse = 2.0
	// otherZonePenalty is what a relay in another availability zone counts as fuller: bytes
	// between zones cost more, and a zone that is cut off keeps its own relays.
	otherZonePenalty = 0.4
)

// unroute takes a VM off its relay. p.mu is held.
func (p *Pool) unroute(id string) {
	if s := p.routes[id]; s != nil {
		p.loads[s]--
		delete(p.routes, id)
	}
}

// route returns the relay of a VM, nil for none.
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

// assign has a relay, or none, serve a VM. p.mu is held.
func (p *Pool) assign(id string, s *stream) {
	if s != nil {
		p.routes[id] = s
		p.loads[s]++
	}
}

// maxReroutes bounds the relays that are tried in turn for a VM that does not answer:
// each makes connections of its own, and mostly it is the VM that is gone.
const maxReroutes = 3

// recordHold notes how a hold went that a relay carried. A VM that leaves it without an
// answer may have lost the path to this relay only, and gets another one.
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

// leastUsed is the relay with the most room for a VM of a zone, other than the one given.
// p.mu is held.
func (p *Pool) leastUsed(zone string, but *stream) *stream {
	var best *stream
	least := maxRelayUse
	for _, node := range sortedKeys(p.streams) {
		s := p.streams[node]
		if s == but || !s.usable() {
			continue
		}
		use := p.use(s)
		if s.offer.Zone != zone {
			use += otherZonePenalty
		}
		if use < least {
			best, least = s, use
		}
	}
	return best
}

// use is the share of a relay's room that is taken. p.mu is held.
func (p *Pool) use(s *stream) float64 { return float64(p.loads[s]) / float64(s.offer.VMs) }

const (
	// rebalanceThreshold is the difference in use between two relays from which VMs move.
	rebalanceThreshold = 0.5
	// maxMovedVMs bounds the VMs that move at a time: each has new connections made.
	maxMovedVMs = 16
)

// rebalance moves some VMs from the fullest relay to the emptiest: one that was lost and
// is back serves nothing. p.mu is held.
func (p *Pool) rebalance() {
	var open []*stream
	for _, node := range sortedKeys(p.streams) {
		if s := p.streams[node]; s.usable() {
			open = append(open, s)
		}
	}
	if len(open) < 2 {
		return
	}
	byUse := func(a, b *stream) int { return cmp.Compare(p.use(a), p.use(b)) }
	emptiest, fullest := slices.MinFunc(open, byUse), slices.MaxFunc(open, byUse)
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

// maxRelayAttempts bounds the relays that are tried for one order that was not written.
const maxRelayAttempts = 3

// do gives an order through the VM's relay, or from here where it has none.
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

// Instances returns the list of VMs. A relay reads it, if there is one, and tells what has
// changed: the whole takes 1.2 MB/s of the link where there are 3,000 VMs.
func (p *Pool) Instances(ctx context.Context) ([]batch.Instance, error) {
	if s := p.selectListReader(); s != nil {
		askCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		list, err := s.Instances(askCtx)
		if err == nil {
			return list, nil
		}
		p.replaceListReader(s)
	}
	return p.List(ctx)
}

// listTimeout is how long a relay has to read the list before this process reads it.
const listTimeout = 800 * time.Millisecond

// selectListReader is the relay that reads the list, or nil. It stays the same one while it can:
// another has to read and tell the whole list first.
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

// replaceListReader has another relay read the list.
func (p *Pool) replaceListReader(s *stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listReader == s {
		p.listReader = p.leastUsed("", s)
	}
}
