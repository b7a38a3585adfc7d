package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

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

const (
	// DirectVMs is up to how many VMs a leader mostly serves all by itself: a fleet of
	// this size takes some 7 % of a core of it.
	DirectVMs = 64
	// spareRoom is how much more room the relays have than there are VMs: one of
	// them may be lost, and what it served finds a place at once.
	spareRoom = 1.3
	// crowdedRelay is the use of a relay's room from which a VM is not given to it.
	crowdedRelay = 2.0
	// foreignZone is what a relay in another availability zone counts as fuller: bytes
	// between zones cost more, and a zone that is cut off keeps its own relays.
	foreignZone = 0.4
	// redialAfter is the pause before a relay that was lost is tried again.
	redialAfter = 2 * time.Second
	// offerLasts is how long an offer is believed; it is repeated each OfferEvery.
	offerLasts = 3 * OfferEvery
	// OfferEvery is how often a process repeats its offer.
	OfferEvery = 8 * time.Second
	// messageCost is the leader's processor time for a message to, and one from, a
	// relay, besides what is in them.
	messageCost = 50 * time.Microsecond
	// messageShare is the share of the leader's processor that messages may take: it
	// gives the pause between two messages of a stream. At 0.8 of a core and 22 relays
	// that is 9 ms.
	messageShare = 0.15
	// leastPause bounds that pause from below: batches of a few orders each.
	leastPause = 4 * time.Millisecond
	mostPause  = 50 * time.Millisecond
	// readyPoll is how often a new leader looks whether enough relays are there.
	readyPoll = 10 * time.Millisecond
)

// Room returns how many VMs a process can serve with half of its processor, a share of
// a core, and 0.7 of its link: a VM takes some 1 ms of a core a second (2.5 starts and
// a hold), and 8 KB/s. More relays than that cost the leader: it sends each job's payload
// to each of them.
func Room(processor, linkMbps float64) int {
	const (
		perVM        = 0.001
		bitsPerVM    = 8 * 8000
		share        = 0.5
		linkShare    = 0.7
		least, most  = 4, 64
		bitsPerMegab = 1e6
	)
	room := share * processor / perVM
	if linkMbps > 0 {
		room = min(room, linkShare*linkMbps*bitsPerMegab/bitsPerVM)
	}
	return int(min(max(room, least), most))
}

// Pool gives a leader's orders to instances, through relays where the fleet is large.
// It is the leader's Agents.
type Pool struct {
	// Direct gives orders from this process.
	Direct Agents
	// List reads the list of VMs from this process.
	List Instances
	// Node is this process's name.
	Node string
	// DirectVMs is up to how many VMs this process serves itself.
	DirectVMs int
	// Processor is the share of a core that this process has.
	Processor float64
	Log       *eventlog.Log

	mu sync.Mutex
	// leading is the context of the tenure, nil while this process does not lead.
	leading context.Context
	fence   int64
	offers  map[string]*offered
	streams map[string]*stream
	// dialing are the processes to which a stream is being opened.
	dialing map[string]int
	// fleet are the VMs that are held, by ID; routes says by which relay.
	fleet  map[string]string
	routes map[string]*stream
	// misses counts the holds in a row that a VM left without an answer.
	misses map[string]int
	loads  map[*stream]int

	payloads packer
}

// offered is an offer and when it was made.
type offered struct {
	Offer
	at time.Duration
	// notBefore is when it may be taken up, after a failure.
	notBefore time.Duration
}

// Lead begins a tenure, which ends with ctx.
func (p *Pool) Lead(ctx context.Context, fence int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leading, p.fence = ctx, fence
	p.offers, p.streams, p.dialing = map[string]*offered{}, map[string]*stream{}, map[string]int{}
	p.fleet, p.routes, p.loads = map[string]string{}, map[string]*stream{}, map[*stream]int{}
	p.misses = map[string]int{}
}

// Offered notes an offer. leading is false when this process does not lead.
func (p *Pool) Offered(o Offer) (leading bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leads() {
		return false
	}
	known := p.offers[o.Node]
	if known == nil {
		known = &offered{}
		p.offers[o.Node] = known
	}
	known.Offer, known.at = o, steady.Now()
	p.recruit()
	return true
}

func (p *Pool) leads() bool { return p.leading != nil && p.leading.Err() == nil }

// SetFleet tells which VMs are held, by ID with their availability zone.
func (p *Pool) SetFleet(fleet map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leads() {
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
	p.recruit()
	p.rebalance()
}

// AwaitReady waits up to d until relays have room for the fleet, so that VMs are not
// held from here first and from there a moment later.
func (p *Pool) AwaitReady(ctx context.Context, d time.Duration) {
	limit := time.Now().Add(d)
	for ctx.Err() == nil && time.Now().Before(limit) && !p.ready() {
		pause.For(ctx, readyPoll)
	}
}

func (p *Pool) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leads() || len(p.fleet) <= p.DirectVMs {
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

// wanted is how much room the relays have to have together.
func (p *Pool) wanted() int {
	if len(p.fleet) <= p.DirectVMs {
		return 0
	}
	return int(spareRoom * float64(len(p.fleet)))
}

// recruit opens streams until the relays have the room that is wanted. p.mu is held.
func (p *Pool) recruit() {
	room := 0
	zoneRoom := map[string]int{}
	for _, s := range p.streams {
		room += s.offer.VMs
		zoneRoom[s.offer.Zone] += s.offer.VMs
	}
	for node, vms := range p.dialing {
		room += vms
		zoneRoom[p.offers[node].Zone] += vms
	}
	wanted := p.wanted()
	for room < wanted {
		o := p.bestOffer(zoneRoom)
		if o == nil {
			return
		}
		room += o.VMs
		zoneRoom[o.Zone] += o.VMs
		p.dialing[o.Node] = o.VMs
		go p.open(p.leading, o.Offer, p.fence)
	}
}

// bestOffer is that of the process with the most room, in the availability zone whose
// VMs have the least of it; nil for none.
func (p *Pool) bestOffer(zoneRoom map[string]int) *offered {
	now := steady.Now()
	perZone := map[string]int{}
	for _, zone := range p.fleet {
		perZone[zone]++
	}
	var best *offered
	bestRoom := 0
	for _, node := range sortedKeys(p.offers) {
		o := p.offers[node]
		if _, dialing := p.dialing[node]; dialing || p.streams[node] != nil || node == p.Node || now < o.notBefore || now-o.at > offerLasts {
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

// pauseOf is the pause between two messages of one stream of so many.
func (p *Pool) pauseOf(streams int) time.Duration {
	every := time.Duration(float64(streams) * float64(messageCost) / (messageShare * max(p.Processor, 0.01)))
	return min(max(every, leastPause), mostPause)
}

// open opens a stream and serves it until it breaks.
func (p *Pool) open(ctx context.Context, o Offer, fence int64) {
	p.mu.Lock()
	every := p.pauseOf(len(p.streams) + len(p.dialing))
	p.mu.Unlock()
	s, err := dial(ctx, o, hello{Node: p.Node, Fence: fence, Every: every}, &p.payloads)
	p.mu.Lock()
	if p.leading != ctx {
		// Another tenure has begun.
		p.mu.Unlock()
		if s != nil {
			_ = s.conn.Close()
		}
		return
	}
	delete(p.dialing, o.Node)
	if err != nil {
		p.failed(o.Node)
		p.mu.Unlock()
		if ctx.Err() == nil {
			p.Log.Warn("relay_not_reached", err, eventlog.Fields{"node": o.Node, "address": o.Address})
		}
		return
	}
	p.streams[o.Node] = s
	p.mu.Unlock()
	p.Log.Event("relay_joined", eventlog.Fields{"node": o.Node, "zone": o.Zone, "vms": o.VMs, "every_ms": every.Milliseconds()})
	err = s.serve(ctx)
	p.lost(ctx, s, err)
}

// failed notes that a process could not be used. p.mu is held.
func (p *Pool) failed(node string) {
	if o := p.offers[node]; o != nil {
		o.notBefore = steady.Now() + redialAfter
	}
}

// lost gives what a broken stream has served to others.
func (p *Pool) lost(ctx context.Context, s *stream, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leading != ctx || ctx.Err() != nil {
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
	p.failed(s.offer.Node)
	p.Log.Event("relay_lost", eventlog.Fields{"node": s.offer.Node, "vms": vms, "leaving": s.leaving, "error": cause.Error()})
	p.recruit()
}

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
	best := p.roomiest(vm.Zone, nil)
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

// mostDetours bounds the relays that are tried in turn for a VM that does not answer:
// each makes connections of its own, and mostly it is the VM that is gone.
const mostDetours = 3

// heldVia notes how a hold went that a relay carried. A VM that leaves it without an
// answer may have lost the path to this relay only, and gets another one.
func (p *Pool) heldVia(vm *batch.Instance, s *stream, err error) {
	var refusal *batch.RefusalError
	answered := err == nil || (errors.As(err, &refusal) && refusal.Reason != batch.RefusedUnreached)
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		delete(p.misses, vm.ID)
		return
	}
	p.misses[vm.ID]++
	if p.misses[vm.ID] > mostDetours || p.routes[vm.ID] != s {
		return
	}
	if other := p.roomiest(vm.Zone, s); other != nil {
		p.unroute(vm.ID)
		p.assign(vm.ID, other)
	}
}

// roomiest is the relay with the most room for a VM of a zone, other than the one given.
// p.mu is held.
func (p *Pool) roomiest(zone string, but *stream) *stream {
	var best *stream
	least := crowdedRelay
	for _, node := range sortedKeys(p.streams) {
		s := p.streams[node]
		if s == but || !s.usable() {
			continue
		}
		use := p.use(s)
		if s.offer.Zone != zone {
			use += foreignZone
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
	// unevenUse is the difference in use between two relays from which VMs move.
	unevenUse = 0.5
	// movedAtOnce bounds the VMs that move at a time: each has new connections made.
	movedAtOnce = 16
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
	if p.use(fullest)-p.use(emptiest) < unevenUse {
		return
	}
	moved := 0
	for _, id := range sortedKeys(p.routes) {
		if moved >= movedAtOnce || p.use(fullest)-p.use(emptiest) < unevenUse/2 {
			return
		}
		if p.routes[id] == fullest {
			p.unroute(id)
			p.assign(id, emptiest)
			moved++
		}
	}
}

// pathTries bounds the relays that are tried for one order that was not written.
const pathTries = 3

// do gives an order through the VM's relay, or from here where it has none.
func (p *Pool) do(vm *batch.Instance, order func(Agents) error) error {
	for range pathTries {
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

// Start implements Agents.
func (p *Pool) Start(ctx context.Context, vm *batch.Instance, o batch.StartOrder) (clock time.Duration, err error) {
	err = p.do(vm, func(a Agents) (err error) {
		clock, err = a.Start(ctx, vm, o)
		return err
	})
	return clock, err
}

// Stop implements Agents.
func (p *Pool) Stop(ctx context.Context, vm *batch.Instance, task batch.TaskID, run, fence int64) error {
	return p.do(vm, func(a Agents) error { return a.Stop(ctx, vm, task, run, fence) })
}

// Pace implements Agents.
func (p *Pool) Pace(ctx context.Context, vm *batch.Instance, task batch.TaskID, run int64, percent int, fence int64) error {
	return p.do(vm, func(a Agents) error { return a.Pace(ctx, vm, task, run, percent, fence) })
}

// Hold implements Agents.
func (p *Pool) Hold(ctx context.Context, vm *batch.Instance, o batch.HoldOrder) (rep batch.Report, err error) {
	err = p.do(vm, func(a Agents) (err error) {
		rep, err = a.Hold(ctx, vm, o)
		if s, relayed := a.(*stream); relayed && !errors.Is(err, errNotWritten) {
			p.heldVia(vm, s, err)
		}
		return err
	})
	return rep, err
}

// Instances returns the list of VMs. A relay reads it, if there is one, and tells what has
// changed: the whole takes 1.2 MB/s of the link where there are 3,000 VMs.
func (p *Pool) Instances(ctx context.Context) ([]batch.Instance, error) {
	if s := p.reader(); s != nil {
		askCtx, cancel := context.WithTimeout(ctx, listWithin)
		defer cancel()
		if list, err := s.Instances(askCtx); err == nil {
			return list, nil
		}
	}
	return p.List(ctx)
}

// listWithin is how long a relay has to read the list before this process reads it.
const listWithin = 800 * time.Millisecond

// reader is the relay that reads the list, or nil.
func (p *Pool) reader() *stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leads() {
		return nil
	}
	return p.roomiest("", nil)
}
