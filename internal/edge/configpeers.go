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
	// peerAnswerTimeout bounds one question.
	peerAnswerTimeout = 400 * time.Millisecond
	// peersAtOnce is how many peers are asked at once where it is not known which of
	// them knows.
	peersAtOnce = 3
)

// configPeers asks other processes for the configuration while the store does not tell it.
type configPeers struct {
	config *configuration
	known  *addresses
	leader func() (leader.Record, bool)
	client *http.Client
	log    *eventlog.Log
	// wake ends a pause.
	wake chan struct{}
	// preferred is the peer that knew last, "" for none.
	preferred string
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
	for {
		woken := p.rest(ctx, wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if silent := p.config.sinceRead(); silent < askPeersAfter && !woken {
			wait, retry = askPeersAfter-silent, askPeersEvery
			continue
		}
		if p.round(ctx) {
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
func (p *configPeers) round(ctx context.Context) bool {
	if p.preferred != "" && p.ask(ctx, p.preferred) {
		return true
	}
	tried := map[string]bool{p.known.self: true, p.preferred: true}
	p.preferred = ""
	for p.preferred == "" {
		batch := p.untried(tried)
		if len(batch) == 0 {
			return false
		}
		p.preferred = p.askAll(ctx, batch)
	}
	return true
}

// askAll asks some peers at once and returns one that knew, "" for none.
func (p *configPeers) askAll(ctx context.Context, peers []string) (knowing string) {
	knew := make([]bool, len(peers))
	var asked sync.WaitGroup
	for i, address := range peers {
		asked.Go(func() { knew[i] = p.ask(ctx, address) })
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

// ask asks one peer, and reports whether it knew which configuration is the newest.
func (p *configPeers) ask(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerAnswerTimeout)
	defer cancel()
	sentAt := steady.Now()
	remote := scheduling.NewSchedulingProtobufClient("http://"+address, p.client)
	r, err := remote.Config(ctx, &scheduling.ConfigRequest{Revision: p.config.latest().Revision, Address: p.known.self})
	if err != nil {
		p.known.remove(address)
		p.log.Event("config_peer_failed", eventlog.Fields{"peer": address, "error": err.Error()})
		return false
	}
	p.known.add(r.GetPeers()...)
	if len(r.GetValue()) > 0 {
		p.config.install(&durable.Item{Value: r.GetValue(), Revision: r.GetRevision()}, address)
	}
	if !r.GetConfirmed() {
		return false
	}
	ago := time.Duration(r.GetConfirmedAgoMs()) * time.Millisecond
	p.config.confirm(sentAt - ago)
	return ago < askPeersAfter
}

// tell answers a peer.
func (c *configuration) tell(r *scheduling.ConfigRequest) *scheduling.ConfigResponse {
	item := c.latest()
	resp := &scheduling.ConfigResponse{Revision: item.Revision}
	if item.Revision > r.GetRevision() {
		resp.Value = item.Value
	}
	ago, ever := c.confirmedAgo()
	// Rounded up: what is told may be too long, never too short.
	resp.Confirmed, resp.ConfirmedAgoMs = ever, int64((ago+time.Millisecond-1)/time.Millisecond)
	return resp
}
