package edge

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/scheduling"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// askPeersDelay is how long the store may leave a process without word of the
	// configuration before it asks its peers: one reading, and an answer that is slow. With
	// a call to a peer that is less than the 2 s in which a version is to be in force.
	askPeersDelay = configReadInterval + 400*time.Millisecond
	// minAskPeersInterval is the pause between two questions while a peer knows; after rounds in
	// which none did it grows up to maxAskPeersInterval.
	minAskPeersInterval = 500 * time.Millisecond
	maxAskPeersInterval = 2 * time.Second
	// minRoundInterval is the least time between two rounds, however many callers wait.
	minRoundInterval = 100 * time.Millisecond
	// peerAnswerTimeout bounds one question.
	peerAnswerTimeout = 400 * time.Millisecond
	// maxParallelPeers is how many peers are asked at once where it is not known which of
	// them knows.
	maxParallelPeers = 3
)

// configFetcher asks other processes for the configuration, and who leads, while the store
// does not tell it.
type configFetcher struct {
	config *configuration
	peers  *peerAddresses
	leader func() (leader.Record, bool)
	// onLeaderReported is told of the leader that a peer knows.
	onLeaderReported func(r leader.Record, fence int64, peer string)
	// onPeerResponse is told of each peer that answers.
	onPeerResponse func(address string)
	client         *http.Client
	log            *eventlog.Log
	// wake ends a pause.
	wake chan struct{}
	// preferredPeer is the peer that knew last, "" for none, and lastLeaderAddress the leader at that
	// time: a new one is asked first again.
	preferredPeer, lastLeaderAddress string
}

// trigger has peers asked now.
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
		if silent := p.config.sinceRead(); silent < askPeersDelay && !woken {
			wait, retry = askPeersDelay-silent, minAskPeersInterval
			continue
		}
		// Someone who waits needs to know now, not as of a peer's last reading, and what the
		// peer tells is to serve others for a while.
		within := time.Duration(0)
		if woken {
			within = maxConfirmationAge / 2
		}
		began = steady.Now()
		if p.askPeers(ctx, within) {
			wait, retry = minAskPeersInterval, minAskPeersInterval
		} else {
			wait, retry = retry, min(2*retry, maxAskPeersInterval)
		}
	}
}

// waitOrWake waits, and reports whether it was ended by soon.
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

// askPeers asks the peer that knew last, and where it does not any more all others, several at
// once, those included of which it learns meanwhile. It reports whether one knew.
func (p *configFetcher) askPeers(ctx context.Context, within time.Duration) bool {
	if record, _ := p.leader(); record.Address != p.lastLeaderAddress {
		p.preferredPeer, p.lastLeaderAddress = "", record.Address
	}
	if p.preferredPeer != "" && p.ask(ctx, p.preferredPeer, within) {
		return true
	}
	tried := map[string]bool{p.peers.self: true, p.preferredPeer: true}
	p.preferredPeer = ""
	for p.preferredPeer == "" {
		batch := p.nextPeers(tried)
		if len(batch) == 0 {
			return false
		}
		p.preferredPeer = p.askAll(ctx, batch, within)
	}
	return true
}

// askAll asks some peers at once and returns one that knew, "" for none.
func (p *configFetcher) askAll(ctx context.Context, peers []string, within time.Duration) (knowing string) {
	knew := make([]bool, len(peers))
	var asked sync.WaitGroup
	for i, address := range peers {
		asked.Go(func() { knew[i] = p.ask(ctx, address, within) })
	}
	asked.Wait()
	if i := slices.Index(knew, true); i >= 0 {
		return peers[i]
	}
	return ""
}

// nextPeers are the next peers to ask, and notes them: the leader first, which has just been in
// touch with the store.
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

// ask asks one peer, and reports whether it knew which configuration is the newest. With
// within set the peer looks up what it knows from longer ago.
func (p *configFetcher) ask(ctx context.Context, address string, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, peerAnswerTimeout)
	defer cancel()
	sentAt := steady.Now()
	remote := scheduling.NewSchedulingProtobufClient("http://"+address, p.client)
	r, err := remote.Config(ctx, &scheduling.ConfigRequest{Revision: p.config.latest().Revision, Address: p.peers.self, WithinMs: within.Milliseconds()})
	if err != nil {
		p.peers.remove(address)
		p.log.Event("config_peer_failed", eventlog.Fields{"peer": address, "error": err.Error()})
		return false
	}
	p.onPeerResponse(address)
	p.peers.add(r.GetPeers()...)
	if fence := r.GetLeaderFence(); fence > 0 {
		p.onLeaderReported(leader.Record{Node: r.GetLeaderNode(), Address: r.GetLeaderAddress()}, fence, address)
	}
	if len(r.GetValue()) > 0 {
		p.config.install(&durable.Item{Value: r.GetValue(), Revision: r.GetRevision()}, address)
	}
	if !r.GetConfirmed() {
		return false
	}
	ago := time.Duration(r.GetConfirmedAgoMs()) * time.Millisecond
	p.config.recordConfirmation(sentAt - ago)
	if within > 0 {
		return ago <= within
	}
	return ago < askPeersDelay
}

// configResponse answers a peer. Only what this process has read itself counts as confirmed: of hearsay
// that peers tell each other nobody could say how old it is.
func (c *configuration) configResponse(r *scheduling.ConfigRequest) *scheduling.ConfigResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := &scheduling.ConfigResponse{Revision: c.newest.Revision, Confirmed: c.readAt > 0}
	if c.newest.Revision > r.GetRevision() {
		resp.Value = c.newest.Value
	}
	// Rounded up: what is told may be too long, never too short.
	resp.ConfirmedAgoMs = int64((steady.Now() - c.readAt + time.Millisecond - 1) / time.Millisecond)
	return resp
}
