package edge

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/scheduling"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// askPeersDelay is how long the store may leave a process without confirmation of the
	// configuration before it asks its peers: one read interval plus a slow response. Together
	// with one call to a peer it is shorter than the 2 s within which a version must be in
	// force.
	askPeersDelay = configReadInterval + 400*time.Millisecond
	// minAskPeersInterval is the pause between rounds while a peer confirms the newest
	// configuration; after rounds in which none does, the pause grows up to
	// maxAskPeersInterval.
	minAskPeersInterval = 500 * time.Millisecond
	maxAskPeersInterval = 2 * time.Second
	// minRoundInterval is the minimum time between the starts of two rounds, whatever the
	// number of waiting callers.
	minRoundInterval = 100 * time.Millisecond
	// maxRoundAge is how long the result of a round says something about the store: the longest
	// pause between rounds, and a round.
	maxRoundAge = maxAskPeersInterval + time.Second
	// peerAnswerTimeout bounds one call to a peer.
	peerAnswerTimeout = 400 * time.Millisecond
	// peerValueTimeout bounds the transfer of a configuration from a peer. A large one takes a
	// second on a narrow link, and a transfer that is aborted begins again.
	peerValueTimeout = 1500 * time.Millisecond
	// maxParallelPeers is how many peers are asked in parallel while no preferred peer is
	// known.
	maxParallelPeers = 3
)

// configFetcher fetches the configuration and the current leader from other processes while the
// store does not respond.
type configFetcher struct {
	config      *configuration
	evacuations *evacuations
	peers       *peerAddresses
	leader      func() (leader.Record, bool)
	// onLeaderReported is called with the leader that a peer reports.
	onLeaderReported func(r leader.Record, fence int64, peer string)
	// onPeerResponse is called with the address of each peer that responds.
	onPeerResponse func(address string)
	client         *http.Client
	log            *eventlog.Log
	// wake interrupts the pause between rounds.
	wake chan struct{}
	// responses counts the peers that responded in the current round; peersLackStoreAt is when a
	// round last ended in which peers responded and none confirmed the configuration by a recent
	// response of the store, 0 if the last round was another. It is on the monotonic clock.
	responses        atomic.Int32
	peersLackStoreAt atomic.Int64
	// transfer is held while a configuration is transferred: several at a time would each take
	// several times as long on a narrow link.
	transfer sync.Mutex
	// preferredPeer is the peer that last confirmed the newest configuration, "" for none;
	// lastLeaderAddress is the leader at that time. A change of leader clears preferredPeer, so
	// that the new leader is asked first.
	preferredPeer, lastLeaderAddress string
}

// trigger starts a round of peer requests as soon as minRoundInterval allows.
func (p *configFetcher) trigger() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Serve implements suture.Service.
func (p *configFetcher) Serve(ctx context.Context) error {
	wait, retry := askPeersDelay, minAskPeersInterval
	began := -minRoundInterval
	for {
		woken := p.waitOrWake(ctx, wait)
		pause.For(ctx, began+minRoundInterval-steady.Now())
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if elapsed := p.config.sinceRead(); elapsed < askPeersDelay && !woken {
			wait, retry = askPeersDelay-elapsed, minAskPeersInterval
			continue
		}
		// A waiting caller needs a current confirmation, not one from a peer's last read; half
		// of maxConfirmationAge leaves time in which the result also serves later callers.
		maxAge := time.Duration(0)
		if woken {
			maxAge = maxConfirmationAge / 2
		}
		began = steady.Now()
		confirmed := p.askPeers(ctx, maxAge)
		p.recordRound(confirmed, woken)
		if confirmed {
			wait, retry = minAskPeersInterval, minAskPeersInterval
		} else {
			wait, retry = retry, min(2*retry, maxAskPeersInterval)
		}
	}
}

// recordRound records whether the peers that responded lack the store as well. A round for a
// waiting caller asks for more than a recent response of the store: without a confirmation it says
// nothing.
func (p *configFetcher) recordRound(confirmed, forCaller bool) {
	responded := p.responses.Swap(0) > 0
	if forCaller && !confirmed {
		return
	}
	at := time.Duration(0)
	if responded && !confirmed {
		at = steady.Now()
	}
	p.peersLackStoreAt.Store(int64(at))
}

// peersLackStore reports whether the last round, if it ended recently, found that the peers that
// respond have no response from the store either.
func (p *configFetcher) peersLackStore() bool {
	at := time.Duration(p.peersLackStoreAt.Load())
	return at > 0 && steady.Now()-at < maxRoundAge
}

// waitOrWake waits for d or until trigger is called, and reports whether it was woken by
// trigger.
func (p *configFetcher) waitOrWake(ctx context.Context, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case <-p.wake:
		return true
	}
}

// askPeers asks the preferred peer and, if that one can't confirm the newest configuration, all
// other peers, several in parallel, including peers learned from responses on the way. It
// reports whether one confirmed it.
func (p *configFetcher) askPeers(ctx context.Context, maxAge time.Duration) bool {
	if record, _ := p.leader(); record.Address != p.lastLeaderAddress {
		p.preferredPeer, p.lastLeaderAddress = "", record.Address
	}
	if p.preferredPeer != "" && p.ask(ctx, p.preferredPeer, maxAge) {
		return true
	}
	tried := map[string]bool{p.peers.self: true, p.preferredPeer: true}
	p.preferredPeer = ""
	for p.preferredPeer == "" {
		batch := p.nextPeers(tried)
		if len(batch) == 0 {
			return false
		}
		p.preferredPeer = p.askAll(ctx, batch, maxAge)
	}
	return true
}

// askAll asks some peers in parallel and returns one that confirmed the newest configuration,
// or "".
func (p *configFetcher) askAll(ctx context.Context, peers []string, maxAge time.Duration) (confirming string) {
	confirmed := make([]bool, len(peers))
	var calls sync.WaitGroup
	for i, address := range peers {
		calls.Go(func() { confirmed[i] = p.ask(ctx, address, maxAge) })
	}
	calls.Wait()
	if i := slices.Index(confirmed, true); i >= 0 {
		return peers[i]
	}
	return ""
}

// nextPeers returns the next peers to ask and adds them to tried. The leader comes first, since
// it was in contact with the store recently.
func (p *configFetcher) nextPeers(tried map[string]bool) []string {
	record, _ := p.leader()
	var next []string
	for _, address := range append([]string{record.Address}, p.peers.list(record.Address)...) {
		if address != "" && !tried[address] && len(next) < maxParallelPeers {
			tried[address] = true
			next = append(next, address)
		}
	}
	return next
}

// ask asks one peer, and reports whether it confirmed the newest configuration recently enough.
// With maxAge set, the peer looks the configuration up again if its own confirmation is older.
func (p *configFetcher) ask(ctx context.Context, address string, maxAge time.Duration) bool {
	sentAt := steady.Now()
	r, err := p.call(ctx, address, peerAnswerTimeout, &scheduling.ConfigRequest{WithinMs: maxAge.Milliseconds(), OmitValue: true})
	if err == nil && r.GetRevision() > p.config.latest().Revision {
		r, err = p.transferFrom(ctx, address, r)
	}
	if err != nil {
		p.peers.remove(address)
		p.log.Event("config_peer_failed", eventlog.Fields{"peer": address, "error": err.Error()})
		return false
	}
	p.responses.Add(1)
	p.onPeerResponse(address)
	p.peers.add(r.GetPeers()...)
	if fence := r.GetLeaderFence(); fence > 0 {
		p.onLeaderReported(leader.Record{Node: r.GetLeaderNode(), Address: r.GetLeaderAddress()}, fence, address)
	}
	p.evacuations.install(evacuationsOf(r), address)
	if !r.GetConfirmed() {
		return false
	}
	age := time.Duration(r.GetConfirmedAgoMs()) * time.Millisecond
	p.config.recordConfirmation(sentAt - age)
	if maxAge > 0 {
		return age <= maxAge
	}
	return age < askPeersDelay
}

// call asks a peer for its configuration, and installs the value that the response contains.
func (p *configFetcher) call(ctx context.Context, address string, timeout time.Duration, r *scheduling.ConfigRequest) (*scheduling.ConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.Revision, r.EvacuationsRevision, r.Address = p.config.latest().Revision, p.evacuations.inForce.Load().Revision, p.peers.self
	resp, err := scheduling.NewSchedulingProtobufClient("http://"+address, p.client).Config(ctx, r)
	if err == nil && len(resp.GetValue()) > 0 {
		p.config.install(&durable.Item{Value: resp.GetValue(), Revision: resp.GetRevision()}, address)
	}
	return resp, err
}

// transferFrom fetches the newer configuration that a peer announced in r, unless another peer's
// has made that unnecessary, and returns the response that covers it.
func (p *configFetcher) transferFrom(ctx context.Context, address string, r *scheduling.ConfigResponse) (*scheduling.ConfigResponse, error) {
	p.transfer.Lock()
	defer p.transfer.Unlock()
	if p.config.latest().Revision >= r.GetRevision() {
		return r, nil
	}
	_, err := p.call(ctx, address, peerValueTimeout, &scheduling.ConfigRequest{})
	return r, err
}

// evacuationsOf returns the evacuations in a peer's response.
func evacuationsOf(r *scheduling.ConfigResponse) *batch.Evacuations {
	e := &batch.Evacuations{Revision: r.GetEvacuationsRevision()}
	for _, z := range r.GetEvacuations() {
		e.Zones = append(e.Zones, batch.Evacuation{Zone: z.GetZone(), Revision: z.GetRevision()})
	}
	return e
}

// addTo adds the evacuations in force to the response to a peer that has older ones. It is
// called after the configuration's confirmation is in the response, which covers them as well.
func (e *evacuations) addTo(resp *scheduling.ConfigResponse, r *scheduling.ConfigRequest) {
	inForce := e.inForce.Load()
	if inForce.Revision <= r.GetEvacuationsRevision() {
		return
	}
	resp.EvacuationsRevision = inForce.Revision
	for _, z := range inForce.Zones {
		resp.Evacuations = append(resp.Evacuations, &scheduling.Evacuation{Zone: z.Zone, Revision: z.Revision})
	}
}

// configResponse builds the response to a peer. Only this process's own reads of the store
// count as confirmed: the age of a confirmation passed on between peers could not be
// determined.
func (c *configuration) configResponse(r *scheduling.ConfigRequest) *scheduling.ConfigResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := &scheduling.ConfigResponse{Revision: c.newest.Revision, Confirmed: c.readAt > 0}
	if c.newest.Revision > r.GetRevision() && !r.GetOmitValue() {
		resp.Value = c.newest.Value
	}
	// Rounded up: the reported age may be too high but never too low.
	resp.ConfirmedAgoMs = int64((steady.Now() - c.readAt + time.Millisecond - 1) / time.Millisecond)
	return resp
}
