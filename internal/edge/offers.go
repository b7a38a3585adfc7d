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
	// offerTimeout bounds one offer.
	offerTimeout = 800 * time.Millisecond
	// offerRetryDelay is the pause after an offer that the leader did not take: it may
	// just be taking over.
	offerRetryDelay = 400 * time.Millisecond
	// offerJitter spreads the offers of many processes that see a new leader at the
	// same moment; those with little room wait for up to maxLowCapacityDelay more, so that a
	// leader has those with the most first.
	offerJitter         = 20 * time.Millisecond
	maxLowCapacityDelay = 150 * time.Millisecond
)

// relayOfferer tells each leader that this process can carry orders for it.
type relayOfferer struct {
	offer         relay.Offer
	leader        func() (leader.Record, bool)
	peerAddresses *peerAddresses
	client        *http.Client
	log           *eventlog.Log
	wake          chan struct{}
	stopped       atomic.Bool
}

// trigger has the offer made now.
func (o *relayOfferer) trigger() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// stop ends the offers: the process is about to stop.
func (o *relayOfferer) stop() { o.stopped.Store(true) }

// Serve implements suture.Service.
func (o *relayOfferer) Serve(ctx context.Context) error {
	small := float64(max(0, relay.MaxCapacity-o.offer.VMs)) / relay.MaxCapacity
	delay := rand.N(offerJitter) + time.Duration(small*float64(maxLowCapacityDelay))
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

// sendOffer makes the offer, and reports whether it need not be made again soon.
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
