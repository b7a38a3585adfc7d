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
	// askPeersAfter is how long the store may leave a process without word of the
	// configuration before it asks its peers: one reading, and an answer that is slow. With
	// a call to a peer that is less than the 2 s in which a version is to be in force.
	askPeersAfter = configReadEvery + 400*time.Millisecond
	// askPeersEvery is the pause between two questions while a peer knows; after rounds in
	// which none did it grows up to askPeersMax.
	askPeersEvery = 500 * time.Millisecond
	askPeersMax   = 2 * time.Second
	// roundsApart is the least time between two rounds, however many callers wait.
	roundsApart = 100 * time.Millisecond
	// peerAnswerTimeout bounds one question.
	peerAnswerTimeout = 400 * time.Millisecond
	// peersAtOnce is how many peers are asked at once where it is not known which of
	// them knows.
	peersAtOnce = 3
)

// configPeers asks other processes for the configuration, and who leads, while the store
// does not tell it.
type configPeers struct {
	config *configuration
	known  *addresses
	leader func() (leader.Record, bool)
	// told is told of the leader that a peer knows.
	told func(r leader.Record, fence int64, peer string)
	// answered is told of each peer that answers.
	answered func(address string)
	client   *http.Client
	log      *eventlog.Log
	// wake ends a pause.
	wake chan struct{}
	// preferred is the peer that knew last, "" for none, and askedLeader the leader at that
	// time: a new one is asked first again.
	preferred, askedLeader string
}

// soon has peers asked now.
func (p *configPeers) soon() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Serve implements suture.Service.
func (p *configPeers) Serve(ctx context.Context) error {
	wait, retry := askPeersAfter, askPeersEvery
	began := -roundsApart
	for {
		woken := p.rest(ctx, wait)
		pause.For(ctx, began+roundsApart-steady.Now())
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if silent := p.config.sinceRead(); silent < askPeersAfter && !woken {
			wait, retry = askPeersAfter-silent, askPeersEvery
			continue
		}
		// Someone who waits needs to know now, not as of a peer's last reading, and what the
		// peer tells is to serve others for a while.
		within := time.Duration(0)
		if woken {
			within = confirmedJustNow / 2
		}
		began = steady.Now()
		if p.round(ctx, within) {
			wait, retry = askPeersEvery, askPeersEvery
		} else {
			wait, retry = retry, min(2*retry, askPeersMax)
		}
	}
}

// rest waits, and reports whether it was ended by soon.
func (p *configPeers) rest(ctx context.Context, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case <-p.wake:
		return true
	}
}

// round asks the peer that knew last, and where it does not any more all others, several at
// once, those included of which it learns meanwhile. It reports whether one knew.
func (p *configPeers) round(ctx context.Context, within time.Duration) bool {
	if record, _ := p.leader(); record.Address != p.askedLeader {
		p.preferred, p.askedLeader = "", record.Address
	}
	if p.preferred != "" && p.ask(ctx, p.preferred, within) {
		return true
	}
	tried := map[string]bool{p.known.self: true, p.preferred: true}
	p.preferred = ""
	for p.preferred == "" {
		batch := p.untried(tried)
		if len(batch) == 0 {
			return false
		}
		p.preferred = p.askAll(ctx, batch, within)
	}
	return true
}

// askAll asks some peers at once and returns one that knew, "" for none.
func (p *configPeers) askAll(ctx context.Context, peers []string, within time.Duration) (knowing string) {
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

// untried are the next peers to ask, and notes them: the leader first, which has just been in
// touch with the store.
func (p *configPeers) untried(tried map[string]bool) []string {
	record, _ := p.leader()
	var next []string
	for _, address := range append([]string{record.Address}, p.known.list(record.Address)...) {
		if address != "" && !tried[address] && len(next) < peersAtOnce {
			tried[address] = true
			next = append(next, address)
		}
	}
	return next
}

// ask asks one peer, and reports whether it knew which configuration is the newest. With
// within set the peer looks up what it knows from longer ago.
func (p *configPeers) ask(ctx context.Context, address string, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, peerAnswerTimeout)
	defer cancel()
	sentAt := steady.Now()
	remote := scheduling.NewSchedulingProtobufClient("http://"+address, p.client)
	r, err := remote.Config(ctx, &scheduling.ConfigRequest{Revision: p.config.latest().Revision, Address: p.known.self, WithinMs: within.Milliseconds()})
	if err != nil {
		p.known.remove(address)
		p.log.Event("config_peer_failed", eventlog.Fields{"peer": address, "error": err.Error()})
		return false
	}
	p.answered(address)
	p.known.add(r.GetPeers()...)
	if fence := r.GetLeaderFence(); fence > 0 {
		p.told(leader.Record{Node: r.GetLeaderNode(), Address: r.GetLeaderAddress()}, fence, address)
	}
	if len(r.GetValue()) > 0 {
		p.config.install(&durable.Item{Value: r.GetValue(), Revision: r.GetRevision()}, address)
	}
	if !r.GetConfirmed() {
		return false
	}
	ago := time.Duration(r.GetConfirmedAgoMs()) * time.Millisecond
	p.config.confirm(sentAt - ago)
	if within > 0 {
		return ago <= within
	}
	return ago < askPeersAfter
}

// tell answers a peer. Only what this process has read itself counts as confirmed: of hearsay
// that peers tell each other nobody could say how old it is.
func (c *configuration) tell(r *scheduling.ConfigRequest) *scheduling.ConfigResponse {
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
