package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// Offer is a process's offer to serve as a relay.
type Offer struct {
	Node string
	// Address is the address at which it serves its peers.
	Address string
	// Zone is the process's availability zone.
	Zone string
	// VMs is the number of VMs it can serve; see Capacity.
	VMs int
}

// DirectVMs is the default for the largest fleet that a leader serves without relays. A fleet of
// this size takes about 7 % of a core.
const DirectVMs = 64

// OfferInterval is the time between a process's offers.
const OfferInterval = 8 * time.Second

// readyPollInterval is how often AwaitReady checks whether the relays have enough capacity.
const readyPollInterval = 10 * time.Millisecond

// MaxCapacity is the maximum number of VMs that one relay offers to serve.
const MaxCapacity = 64

// Capacity returns how many VMs a process can serve as a relay with half of its processor
// (given as a share of a core) and 0.7 of its link. A VM takes about 1 ms of a core per second
// (2.5 starts and a hold), and up to 20 KB/s (5 starts with payloads of 2.4 KB, holds, and the
// results sent to the leader). Smaller capacities would mean more relays and so a higher cost
// for the leader, which sends each a message every few milliseconds.
func Capacity(processor, linkMbps float64) int {
	const (
		cpuPerVM  = 0.001
		bitsPerVM = 8 * 20000
		cpuShare  = 0.5
		linkShare = 0.7
		minVMs    = 4
		megabit   = 1e6
	)
	capacity := cpuShare * processor / cpuPerVM
	if linkMbps > 0 {
		capacity = min(capacity, linkShare*linkMbps*megabit/bitsPerVM)
	}
	return int(min(max(capacity, minVMs), MaxCapacity))
}

// Pool sends a leader's orders to VMs, through relays if the fleet is large. It implements
// batch.Agents for the leader.
type Pool struct {
	// Direct sends orders to VMs from this process.
	Direct batch.Agents
	// List reads the list of VMs from this process.
	List Instances
	// Node is the name of this process; it does not become its own relay.
	Node string
	// DirectVMs is the largest fleet that is served without relays.
	DirectVMs int
	// Processor is the share of a core that this process has.
	Processor float64
	// LinkMbps is the bandwidth of this process's link in megabits per second, 0 if unknown.
	LinkMbps float64
	Log      *eventlog.Log
	// ObserveDelay receives the time between the arrival of a VM's report and its processing;
	// may be nil.
	ObserveDelay func(time.Duration)

	mu sync.Mutex
	// tenureCtx is the context of the current or last tenure, nil before the first.
	tenureCtx context.Context
	fence     int64
	offers    map[string]*receivedOffer
	streams   map[string]*stream
	// dialing holds the capacity of processes to which a stream is being opened, by node.
	dialing map[string]int
	// fleet maps the IDs of VMs whose leases are being renewed to their availability zones;
	// routes maps them to their relays.
	fleet  map[string]string
	routes map[string]*stream
	// misses counts the consecutive holds that a VM has not responded to.
	misses map[string]int
	// loads is the number of VMs of each relay.
	loads map[*stream]int
	// listReader is the relay that reads the list of VMs.
	listReader *stream

	payloadCache payloadCache
}

// receivedOffer is the latest offer of a process.
type receivedOffer struct {
	Offer
	receivedAt time.Duration
	// notBefore is the earliest time of the next dial after a failure.
	notBefore time.Duration
}

// Lead begins a tenure, which ends with ctx, and discards the state of the previous one.
func (p *Pool) Lead(ctx context.Context, fence int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tenureCtx, p.fence = ctx, fence
	p.offers, p.streams, p.dialing = map[string]*receivedOffer{}, map[string]*stream{}, map[string]int{}
	p.fleet, p.routes, p.loads = map[string]string{}, map[string]*stream{}, map[*stream]int{}
	p.misses, p.listReader = map[string]int{}, nil
}

// AddOffer records an offer. leading is false if this process does not lead; the offer is then
// ignored.
func (p *Pool) AddOffer(o Offer) (leading bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isLeading() {
		return false
	}
	known := p.offers[o.Node]
	if known == nil {
		known = &receivedOffer{}
		p.offers[o.Node] = known
	}
	known.Offer, known.receivedAt = o, steady.Now()
	p.openStreams()
	return true
}

func (p *Pool) isLeading() bool { return p.tenureCtx != nil && p.tenureCtx.Err() == nil }

// SetFleet sets the VMs to serve: a map of IDs to availability zones, which the pool keeps.
func (p *Pool) SetFleet(fleet map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isLeading() {
		return
	}
	p.fleet = fleet
	for id := range p.routes {
		if _, held := fleet[id]; !held {
			p.unroute(id)
		}
	}
	for id := range p.misses {
		if _, held := fleet[id]; !held {
			delete(p.misses, id)
		}
	}
	p.openStreams()
	p.rebalance()
}

// AwaitReady waits up to d for the relays to have capacity for the fleet, so that VMs are not
// first served directly and moved to a relay a moment later.
func (p *Pool) AwaitReady(ctx context.Context, d time.Duration) {
	deadline := time.Now().Add(d)
	for ctx.Err() == nil && time.Now().Before(deadline) && !p.isReady() {
		pause.For(ctx, readyPollInterval)
	}
}

func (p *Pool) isReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isLeading() || len(p.fleet) <= p.DirectVMs {
		return true
	}
	capacity := 0
	for _, s := range p.streams {
		capacity += s.offer.VMs
	}
	return capacity >= len(p.fleet)
}

// Relayed reports whether a VM is assigned to a relay.
func (p *Pool) Relayed(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routes[id] != nil
}

// Serving returns the number of VMs that each relay serves, by node.
func (p *Pool) Serving() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]int, len(p.streams))
	for node, s := range p.streams {
		all[node] = p.loads[s]
	}
	return all
}
