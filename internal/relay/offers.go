package relay

import (
	"context"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// capacityFactor is the wanted total capacity of the relays as a multiple of the fleet,
	// so that the VMs of a lost relay can move to the other relays at once.
	capacityFactor = 1.3
	// redialDelay is the time before a lost or unreachable relay is dialed again.
	redialDelay = 2 * time.Second
	// offerLifetime is the time for which an offer stays valid.
	offerLifetime = 3 * OfferInterval
	// messageCPUCost is the leader's processor time for one message to a relay and one from
	// it, without their content.
	messageCPUCost = 50 * time.Microsecond
	// messageCPUShare is the share of the leader's processor that messages may take. It
	// determines the interval between the messages of a stream: 17 ms with 0.8 of a core and
	// 22 relays.
	messageCPUShare = 0.08
	// minMessageInterval is long enough to collect batches of a few orders. maxMessageInterval
	// bounds the delay that is added to a start: short tasks are to start within 0.3 s.
	minMessageInterval = 4 * time.Millisecond
	maxMessageInterval = 50 * time.Millisecond
)

// wantedCapacity returns the total capacity in VMs that the relays should have. p.mu is held.
func (p *Pool) wantedCapacity() int {
	if len(p.fleet) <= p.DirectVMs {
		return 0
	}
	return int(capacityFactor * float64(len(p.fleet)))
}

// openStreams opens streams until the relays have the wanted capacity. p.mu is held.
func (p *Pool) openStreams() {
	capacity := 0
	zoneCapacity := map[string]int{}
	for _, s := range p.streams {
		if s.usable() {
			capacity += s.offer.VMs
			zoneCapacity[s.offer.Zone] += s.offer.VMs
		}
	}
	for node, vms := range p.dialing {
		capacity += vms
		zoneCapacity[p.offers[node].Zone] += vms
	}
	wanted := p.wantedCapacity()
	for capacity < wanted {
		o := p.bestOffer(zoneCapacity)
		if o == nil {
			return
		}
		capacity += o.VMs
		zoneCapacity[o.Zone] += o.VMs
		p.dialing[o.Node] = o.VMs
		go p.serveStream(p.tenureCtx, o.Offer, p.fence)
	}
}

// bestOffer returns the offer with the largest capacity, or nil. An offer counts half in an
// availability zone whose relays already have capacity for the zone's VMs. p.mu is held.
func (p *Pool) bestOffer(zoneCapacity map[string]int) *receivedOffer {
	now := steady.Now()
	zoneVMs := map[string]int{}
	for _, zone := range p.fleet {
		zoneVMs[zone]++
	}
	var best *receivedOffer
	bestCapacity := 0
	for _, node := range sortedKeys(p.offers) {
		o := p.offers[node]
		if _, dialing := p.dialing[node]; dialing || p.streams[node] != nil || node == p.Node || now < o.notBefore || now-o.receivedAt > offerLifetime {
			continue
		}
		capacity := o.VMs
		if zoneCapacity[o.Zone] >= zoneVMs[o.Zone] {
			capacity /= 2
		}
		if best == nil || capacity > bestCapacity {
			best, bestCapacity = o, capacity
		}
	}
	return best
}

// sortedKeys makes choices among map entries independent of the iteration order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// messageInterval returns the minimum time between two messages of a stream, given the number of
// streams.
func (p *Pool) messageInterval(streams int) time.Duration {
	interval := time.Duration(float64(streams) * float64(messageCPUCost) / (messageCPUShare * max(p.Processor, 0.01)))
	return min(max(interval, minMessageInterval), maxMessageInterval)
}

// serveStream opens a stream to a relay and serves it until it breaks.
func (p *Pool) serveStream(ctx context.Context, o Offer, fence int64) {
	p.mu.Lock()
	interval := p.messageInterval(len(p.streams) + len(p.dialing))
	p.mu.Unlock()
	s, err := dial(ctx, o, hello{Node: p.Node, Fence: fence, Every: interval}, isNarrowLink(p.LinkMbps), &p.payloadCache)
	p.mu.Lock()
	if p.tenureCtx != ctx {
		// Another tenure has begun.
		p.mu.Unlock()
		if s != nil {
			_ = s.conn.Close()
		}
		return
	}
	delete(p.dialing, o.Node)
	if err != nil {
		p.delayRedial(o.Node)
		p.mu.Unlock()
		if ctx.Err() == nil {
			p.Log.Warn("relay_not_reached", err, eventlog.Fields{"node": o.Node, "address": o.Address})
		}
		return
	}
	s.observeDelay = p.ObserveDelay
	p.streams[o.Node] = s
	p.mu.Unlock()
	p.Log.Event("relay_joined", eventlog.Fields{"node": o.Node, "zone": o.Zone, "vms": o.VMs, "every_ms": interval.Milliseconds(), "packed": s.writer.compressor != nil})
	err = s.serve(ctx)
	p.removeStream(ctx, s, err)
}

// delayRedial postpones the next dial of a node that failed. p.mu is held.
func (p *Pool) delayRedial(node string) {
	if o := p.offers[node]; o != nil {
		o.notBefore = steady.Now() + redialDelay
	}
}

// removeStream removes a broken stream. Its VMs get another relay with their next order.
func (p *Pool) removeStream(ctx context.Context, s *stream, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tenureCtx != ctx || ctx.Err() != nil {
		return
	}
	vms := p.loads[s]
	for id, route := range p.routes {
		if route == s {
			p.unroute(id)
		}
	}
	delete(p.loads, s)
	delete(p.streams, s.offer.Node)
	p.delayRedial(s.offer.Node)
	p.Log.Event("relay_lost", eventlog.Fields{"node": s.offer.Node, "vms": vms, "leaving": s.isLeaving(), "error": cause.Error()})
	p.openStreams()
}
