package relay

import (
	"context"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// capacityFactor is how much more room the relays have than there are VMs: one of
	// them may be lost, and what it served finds a place at once.
	capacityFactor = 1.3
	// redialDelay is the pause before a relay that was lost is tried again.
	redialDelay = 2 * time.Second
	// offerLifetime is how long an offer is believed.
	offerLifetime = 3 * OfferInterval
	// messageCPUCost is the leader's processor time for a message to, and one from, a
	// relay, besides what is in them.
	messageCPUCost = 50 * time.Microsecond
	// messageCPUShare is the share of the leader's processor that messages may take: it
	// gives the pause between two messages of a stream. At 0.8 of a core and 22 relays
	// that is 17 ms.
	messageCPUShare = 0.08
	// minMessageInterval bounds that pause from below: batches of a few orders each. maxMessageInterval
	// bounds what it adds to a start: short tasks are to begin within 0.3 s.
	minMessageInterval = 4 * time.Millisecond
	maxMessageInterval = 50 * time.Millisecond
)

// wantedCapacity is how much room the relays have to have together.
func (p *Pool) wantedCapacity() int {
	if len(p.fleet) <= p.DirectVMs {
		return 0
	}
	return int(capacityFactor * float64(len(p.fleet)))
}

// openStreams opens streams until the relays have the room that is wanted. p.mu is held.
func (p *Pool) openStreams() {
	room := 0
	zoneRoom := map[string]int{}
	for _, s := range p.streams {
		if s.usable() {
			room += s.offer.VMs
			zoneRoom[s.offer.Zone] += s.offer.VMs
		}
	}
	for node, vms := range p.dialing {
		room += vms
		zoneRoom[p.offers[node].Zone] += vms
	}
	wanted := p.wantedCapacity()
	for room < wanted {
		o := p.bestOffer(zoneRoom)
		if o == nil {
			return
		}
		room += o.VMs
		zoneRoom[o.Zone] += o.VMs
		p.dialing[o.Node] = o.VMs
		go p.serveStream(p.tenureCtx, o.Offer, p.fence)
	}
}

// bestOffer is that of the process with the most room, in the availability zone whose
// VMs have the least of it; nil for none.
func (p *Pool) bestOffer(zoneRoom map[string]int) *receivedOffer {
	now := steady.Now()
	perZone := map[string]int{}
	for _, zone := range p.fleet {
		perZone[zone]++
	}
	var best *receivedOffer
	bestRoom := 0
	for _, node := range sortedKeys(p.offers) {
		o := p.offers[node]
		if _, dialing := p.dialing[node]; dialing || p.streams[node] != nil || node == p.Node || now < o.notBefore || now-o.receivedAt > offerLifetime {
			continue
		}
		room := o.VMs
		if zoneRoom[o.Zone] >= perZone[o.Zone] {
			room /= 2
		}
		if best == nil || room > bestRoom {
			best, bestRoom = o, room
		}
	}
	return best
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// messageInterval is the pause between two messages of one stream of so many.
func (p *Pool) messageInterval(streams int) time.Duration {
	every := time.Duration(float64(streams) * float64(messageCPUCost) / (messageCPUShare * max(p.Processor, 0.01)))
	return min(max(every, minMessageInterval), maxMessageInterval)
}

// serveStream opens a stream and serves it until it breaks.
func (p *Pool) serveStream(ctx context.Context, o Offer, fence int64) {
	p.mu.Lock()
	every := p.messageInterval(len(p.streams) + len(p.dialing))
	p.mu.Unlock()
	s, err := dial(ctx, o, hello{Node: p.Node, Fence: fence, Every: every}, isNarrowLink(p.LinkMbps), &p.payloadCache)
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
	p.Log.Event("relay_joined", eventlog.Fields{"node": o.Node, "zone": o.Zone, "vms": o.VMs, "every_ms": every.Milliseconds(), "packed": s.writer.compressor != nil})
	err = s.serve(ctx)
	p.removeStream(ctx, s, err)
}

// delayRedial notes that a process could not be used. p.mu is held.
func (p *Pool) delayRedial(node string) {
	if o := p.offers[node]; o != nil {
		o.notBefore = steady.Now() + redialDelay
	}
}

// removeStream gives what a broken stream has served to others.
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
	p.Log.Event("relay_lost", eventlog.Fields{"node": s.offer.Node, "vms": vms, "leaving": s.leaving, "error": cause.Error()})
	p.openStreams()
}
