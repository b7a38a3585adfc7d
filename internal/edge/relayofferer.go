package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/relay"
	"github.com/rattanwall/rattanwall/internal/scheduling"
)

const (
	// offerTimeout bounds one call to the leader.
	offerTimeout = 800 * time.Millisecond
	// offerRetryDelay is the minimum pause after an offer that the leader did not accept, as it
	// may still be taking over.
	offerRetryDelay = 400 * time.Millisecond
	// offerJitter spreads the offers of many processes that see a new leader at the same
	// moment. Processes with little capacity wait up to maxLowCapacityDelay longer, so that a
	// leader receives the offers with the most capacity first.
	offerJitter         = 20 * time.Millisecond
	maxLowCapacityDelay = 150 * time.Millisecond
)

// relayOfferer offers this process to each leader as a relay for its orders.
type relayOfferer struct {
	offer         relay.Offer
	leader        func() (leader.Record, bool)
	peerAddresses *peerAddresses
	client        *http.Client
	log           *eventlog.Log
	wake          chan struct{}
	stopped       atomic.Bool
}

// trigger makes Serve send the offer soon, after the initial delay.
func (o *relayOfferer) trigger() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// stop ends the offers, before the process shuts down.
func (o *relayOfferer) stop() { o.stopped.Store(true) }

// Serve implements suture.Service.
func (o *relayOfferer) Serve(ctx context.Context) error {
	shortfall := float64(max(0, relay.MaxCapacity-o.offer.VMs)) / relay.MaxCapacity
	delay := rand.N(offerJitter) + time.Duration(shortfall*float64(maxLowCapacityDelay))
	next := time.NewTimer(delay)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
			next.Reset(delay)
			continue
		case <-next.C:
		}
		if o.sendOffer(ctx) {
			next.Reset(relay.OfferInterval - offerJitter + 2*rand.N(offerJitter))
		} else {
			next.Reset(offerRetryDelay + rand.N(offerRetryDelay))
		}
	}
}

// sendOffer sends the offer to the current leader, and reports whether no early retry is
// needed.
func (o *relayOfferer) sendOffer(ctx context.Context) bool {
	record, known := o.leader()
	if !known || record.Address == o.offer.Address || o.stopped.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	remote := scheduling.NewSchedulingProtobufClient("http://"+record.Address, o.client)
	r, err := remote.Offer(ctx, &scheduling.OfferRequest{
		Node: o.offer.Node, Address: o.offer.Address, Zone: o.offer.Zone, Vms: int32(o.offer.VMs),
	})
	if err != nil && ctx.Err() == nil {
		o.log.Event("offer_not_taken", eventlog.Fields{"leader": record.Node, "error": err.Error()})
	}
	o.peerAddresses.add(r.GetPeers()...)
	return err == nil
}
