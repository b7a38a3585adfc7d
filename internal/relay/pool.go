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

// Offer says that a process would be a relay.
type Offer struct {
	Node string
	// Address is where it serves its peers.
	Address string
	// Zone is its availability zone.
	Zone string
	// VMs is how many VMs it can serve; see Room.
	VMs int
}

// DirectVMs is up to how many VMs a leader mostly serves all by itself: a fleet of this
// size takes some 7 % of a core of it.
const DirectVMs = 64

// OfferInterval is how often a process repeats its offer.
const OfferInterval = 8 * time.Second

// readyPollInterval is how often a new leader looks whether enough relays are there.
const readyPollInterval = 10 * time.Millisecond

// MaxCapacity bounds the VMs of one relay.
const MaxCapacity = 64

// Capacity returns how many VMs a process can serve with half of its processor, a share of
// a core, and 0.7 of its link: a VM takes some 1 ms of a core a second (2.5 starts and
// a hold), and up to 20 KB/s (5 starts with payloads of 2.4 KB, holds, and what the leader
// is told). More relays than that cost the leader: it sends each a message every few
// milliseconds.
func Capacity(processor, linkMbps float64) int {
	const (
		perVM     = 0.001
		bitsPerVM = 8 * 20000
		share     = 0.5
		linkShare = 0.7
		least     = 4
		megabit   = 1e6
	)
	room := share * processor / perVM
	if linkMbps > 0 {
		room = min(room, linkShare*linkMbps*megabit/bitsPerVM)
	}
	return int(min(max(room, least), MaxCapacity))
}

// Pool gives a leader's orders to instances, through relays where the fleet is large.
// It is the leader's Agents.
type Pool struct {
	// Direct gives orders from this process.
	Direct batch.Agents
	// List reads the list of VMs from this process.
	List Instances
	// Node is this process's name.
	Node string
	// DirectVMs is up to how many VMs this process serves itself.
	DirectVMs int
	// Processor is the share of a core that this process has.
	Processor float64
	// LinkMbps is the bandwidth of this process's link in megabits a second, 0 where it is
	// not told.
	LinkMbps float64
	Log      *eventlog.Log
	// ObserveDelay is told how long a VM's report waited between its arrival and its being
	// taken on; may be nil.
	ObserveDelay func(time.Duration)

	mu sync.Mutex
	// tenureCtx is the context of the tenure, nil while this process does not lead.
	tenureCtx context.Context
	fence     int64
	offers    map[string]*receivedOffer
	streams   map[string]*stream
	// dialing are the processes to which a stream is being opened.
	dialing map[string]int
	// fleet are the VMs that are held, by ID; routes says by which relay.
	fleet  map[string]string
	routes map[string]*stream
	// misses counts the holds in a row that a VM left without an answer.
	misses map[string]int
	loads  map[*stream]int
	// listReader is the relay that read the list of VMs last.
	listReader *stream

	payloadCache payloadCache
}

// receivedOffer is an offer and when it was made.
type receivedOffer struct {
	Offer
	receivedAt time.Duration
	// notBefore is when it may be taken up, after a failure.
	notBefore time.Duration
}

// Lead begins a tenure, which ends with ctx.
func (p *Pool) Lead(ctx context.Context, fence int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tenureCtx, p.fence = ctx, fence
	p.offers, p.streams, p.dialing = map[string]*receivedOffer{}, map[string]*stream{}, map[string]int{}
	p.fleet, p.routes, p.loads = map[string]string{}, map[string]*stream{}, map[*stream]int{}
	p.misses, p.listReader = map[string]int{}, nil
}

// AddOffer notes an offer. leading is false when this process does not lead.
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

// SetFleet tells which VMs are held, by ID with their availability zone.
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

// AwaitReady waits up to d until relays have room for the fleet, so that VMs are not
// held from here first and from there a moment later.
func (p *Pool) AwaitReady(ctx context.Context, d time.Duration) {
	limit := time.Now().Add(d)
	for ctx.Err() == nil && time.Now().Before(limit) && !p.isReady() {
		pause.For(ctx, readyPollInterval)
	}
}

func (p *Pool) isReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isLeading() || len(p.fleet) <= p.DirectVMs {
		return true
	}
	room := 0
	for _, s := range p.streams {
		room += s.offer.VMs
	}
	return room >= len(p.fleet)
}

// Relayed reports whether orders to a VM go through a relay.
func (p *Pool) Relayed(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routes[id] != nil
}

// Serving returns the relays by node, with how many VMs each serves.
func (p *Pool) Serving() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]int, len(p.streams))
	for node, s := range p.streams {
		all[node] = p.loads[s]
	}
	return all
}
