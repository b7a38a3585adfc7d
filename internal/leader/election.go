package leader

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/follow"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// leaseTTL is how long the store keeps the leader's key without a renewal:
	// the time until the others notice its death. Renewals travel a few
	// milliseconds; two in a row may be lost.
	leaseTTL      = 1300 * time.Millisecond
	renewInterval = 350 * time.Millisecond
	renewTimeout  = 400 * time.Millisecond
	// confirmMargin covers what passes between the look at the clock and the act.
	confirmMargin = 150 * time.Millisecond
	// callTimeout bounds one call of the election.
	callTimeout = 900 * time.Millisecond
	// maxUnrenewedTenure is how long after its last renewal a leader goes on giving
	// orders while the store does not answer. The VMs' fencing tokens keep it
	// safe: a successor shows its token to every VM it reaches before its first
	// order, and waits the time out for those that it does not reach.
	maxUnrenewedTenure = 6 * time.Second
	// campaignJitter spreads the candidates, so that most find the key taken
	// before they write.
	campaignJitter = 120 * time.Millisecond
	// maxHandicap delays a candidate on a small VM, so that a large one leads: for
	// a VM with no processor at all.
	maxHandicap = 400 * time.Millisecond
	// fullProcessorShare is the share of a core from which a VM has no handicap.
	fullProcessorShare = 0.8
	// leaderWatchTimeout is how long one watch of the leader's key waits, leaderReadInterval how often
	// the key is read beside it: a leader's death that no watch tells of is noticed as soon
	// as its lease and that are over.
	leaderWatchTimeout = 5 * time.Second
	leaderReadInterval = 1500 * time.Millisecond
)

// Election takes part in the choice of the leader.
type Election struct {
	store durable.Store
	self  Record
	// processor is the share of a core that this VM has.
	processor float64
	log       *eventlog.Log
	lead      func(ctx context.Context, term *Tenure)
	// OnLeaderSeen is told of each leader that is not this process; may be nil. It must not wait.
	OnLeaderSeen func(Record)

	mu        sync.Mutex
	leader    Record
	fence     int64
	isKeyRead bool
	tenure    *Tenure
	// successor is the highest fencing token of a leader that this process was told of
	// by that leader itself: no tenure with a lower one begins or goes on.
	successor int64
	resigned  bool
	wake      chan struct{}
	follower  *follow.Follower
}

// Tenure is one time of being the leader.
type Tenure struct {
	// Fence is the fencing token: the revision of the leader's key.
	Fence int64
	lease int64

	mu        sync.Mutex
	renewedAt time.Duration
	ended     bool
	cancel    context.CancelFunc
}

// MayAct reports whether orders may be given now. It is asked before each one:
// a process that was suspended wakes up in the middle of anything.
func (t *Tenure) MayAct() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && steady.Now()-t.renewedAt < maxUnrenewedTenure
}

// Confirmed reports whether the lease can't have run out: nobody else leads.
func (t *Tenure) Confirmed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && steady.Now()-t.renewedAt < leaseTTL-confirmMargin
}

// RenewedAt is when the last renewal of the lease that succeeded was sent.
func (t *Tenure) RenewedAt() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.renewedAt
}

// End ends the tenure: another one leads, or may.
func (t *Tenure) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.cancel()
}

// renewed notes that the store has renewed the leader's lease. A tenure that could not
// act in between is over for good: some of its loops have found that and ended.
func (t *Tenure) renewed(sentAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if steady.Now()-t.renewedAt >= maxUnrenewedTenure {
		t.ended = true
		t.cancel()
		return
	}
	t.renewedAt = sentAt
}

// NewElection returns an election; lead is called for each tenure and returns
// when its context ends.
func NewElection(store durable.Store, self Record, processor float64, log *eventlog.Log, lead func(context.Context, *Tenure)) *Election {
	e := &Election{store: store, self: self, processor: processor, log: log, lead: lead, wake: make(chan struct{}, 1)}
	e.follower = &follow.Follower{Store: store, Prefix: leaderKey, Wait: leaderWatchTimeout, ReadEvery: leaderReadInterval, Handle: e.observe}
	return e
}

// Leader returns who leads, as far as this process knows.
func (e *Election) Leader() (Record, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.fence != 0
}

// LeaderAndFence returns who leads, as far as this process knows, and its fencing token; 0
// for nobody.
func (e *Election) LeaderAndFence() (Record, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.fence
}

// Leading returns the tenure of this process, or nil.
func (e *Election) Leading() *Tenure {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tenure
}

// Follower watches the leader's key; run it beside Serve.
func (e *Election) Follower() *follow.Follower { return e.follower }

// observe takes a change of the leader's key over.
func (e *Election) observe(items []durable.Item, whole bool) {
	var found *durable.Item
	for i := range items {
		if items[i].Key == leaderKey {
			found = &items[i]
		}
	}
	if found == nil && !whole {
		return
	}
	e.mu.Lock()
	if e.isKeyRead && e.fence == revisionOf(found) {
		// Read again, and nothing has changed.
		e.mu.Unlock()
		return
	}
	e.isKeyRead = true
	if e.fence = revisionOf(found); e.fence == 0 {
		e.leader = Record{}
	} else {
		var r Record
		if err := json.Unmarshal(found.Value, &r); err != nil {
			e.log.Warn("leader_record_unreadable", err, nil)
		}
		e.leader = r
	}
	if t := e.tenure; t != nil && e.fence != t.Fence && (found == nil || found.Revision > t.Fence) {
		// The key is another's, or was taken away: the store may do that without
		// any call showing it.
		e.log.Event("leader_deposed", eventlog.Fields{"fence": t.Fence, "successor": e.leader.Node})
		t.End()
	}
	e.reportLeader("store")
	e.mu.Unlock()
	e.notify()
}

// LearnLeader takes over what a peer knows of the leader, which is believed if its fencing token is
// newer: a process that the store turns away has no other way to learn of one.
func (e *Election) LearnLeader(r Record, fence int64, peer string) {
	e.mu.Lock()
	if fence <= e.fence {
		e.mu.Unlock()
		return
	}
	e.leader, e.fence = r, fence
	if t := e.tenure; t != nil && t.Fence < fence {
		e.log.Event("leader_deposed", eventlog.Fields{"fence": t.Fence, "successor": r.Node})
		t.End()
	}
	e.reportLeader(peer)
	e.mu.Unlock()
	e.follower.Known(fence)
	e.notify()
}

// reportLeader tells of the leader that is known now. e.mu is held.
func (e *Election) reportLeader(source string) {
	e.log.Event("leader_seen", eventlog.Fields{"leader": e.leader.Node, "fence": e.fence, "source": source})
	if e.OnLeaderSeen != nil && e.fence != 0 && e.leader != e.self {
		e.OnLeaderSeen(e.leader)
	}
}

// notify has the election looked at again.
func (e *Election) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// revisionOf is the revision of an item that is there, else 0.
func revisionOf(item *durable.Item) int64 {
	if item == nil || item.Deleted {
		return 0
	}
	return item.Revision
}

// Resign gives the lead up for good, as part of a planned stop.
func (e *Election) Resign(ctx context.Context) {
	e.mu.Lock()
	e.resigned = true
	t := e.tenure
	e.mu.Unlock()
	if t == nil {
		return
	}
	t.End()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := e.store.End(ctx, t.lease); err != nil {
		e.log.Warn("leader_resign_failed", err, eventlog.Fields{"fence": t.Fence})
	}
}

// EndTenuresBefore ends the tenure of this process, and keeps one from beginning, that has a
// lower fencing token than the leader that says so.
func (e *Election) EndTenuresBefore(successor int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.successor = max(e.successor, successor)
	if t := e.tenure; t != nil && t.Fence < successor {
		e.log.Event("leader_deposed", eventlog.Fields{"fence": t.Fence, "successor": successor})
		t.End()
	}
}

// isVacant reports whether nobody leads: there is no leader's key, or it is that of
// this process's own earlier life, which has certainly ended. Without the latter
// all processes of a deployment that died together would wait the lease out.
func (e *Election) isVacant() bool {
	_, ok := e.claimableRevision()
	return ok
}

// claimableRevision returns the revision of the leader's key that this process may replace:
// 0 for none, or that of its own earlier life.
func (e *Election) claimableRevision() (revision int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence, e.isKeyRead && !e.resigned && e.tenure == nil && (e.fence == 0 || e.leader == e.self)
}

// Serve implements suture.Service.
func (e *Election) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if !e.isVacant() {
			select {
			case <-ctx.Done():
			case <-e.wake:
			}
			continue
		}
		e.campaign(ctx)
	}
	return ctx.Err()
}

// campaign tries to become the leader once, and leads if it succeeds.
func (e *Election) campaign(ctx context.Context) {
	small := max(0, 1-e.processor/fullProcessorShare)
	delay := time.Duration(small*float64(maxHandicap)) + rand.N(campaignJitter)
	select {
	case <-ctx.Done():
		return
	case <-time.After(delay):
	}
	if !e.isVacant() {
		return
	}
	t, err := e.acquire(ctx)
	if err != nil {
		var conflict *durable.ConflictError
		if errors.As(err, &conflict) {
			var current []durable.Item
			if item := conflict.Item(leaderKey); item != nil {
				current = append(current, *item)
			}
			e.observe(current, true)
			return
		}
		if !errors.Is(err, errKeyTaken) {
			e.log.Warn("leader_campaign_failed", err, nil)
		}
		return
	}
	e.log.Event("leader_elected", eventlog.Fields{"fence": t.Fence})
	e.serveTenure(ctx, t)
}

// errKeyTaken: another process came first.
var errKeyTaken = errors.New("another leads")

func (e *Election) acquire(ctx context.Context) (*Tenure, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := steady.Now()
	lease, err := e.store.Grant(ctx, leaseTTL)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(e.self)
	if err != nil {
		return nil, err
	}
	// Asked again after the grant: another may have come first meanwhile, and its
	// key must not be replaced.
	previous, ok := e.claimableRevision()
	if !ok {
		return nil, errKeyTaken
	}
	revision, err := e.store.Commit(ctx, durable.Txn{
		Conditions: []durable.Condition{{Key: leaderKey, Revision: previous}},
		Writes:     []durable.Write{{Key: leaderKey, Value: value, Lease: lease}},
	})
	if err != nil {
		// After a lost answer the key may be ours: without renewals it goes
		// with its lease.
		return nil, err
	}
	return &Tenure{Fence: revision, lease: lease, renewedAt: sentAt}, nil
}

// serveTenure leads until the tenure ends.
func (e *Election) serveTenure(ctx context.Context, t *Tenure) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.cancel = cancel
	e.mu.Lock()
	if t.Fence < e.successor {
		e.mu.Unlock()
		return
	}
	e.tenure = t
	e.leader, e.fence = e.self, t.Fence
	e.mu.Unlock()
	// A reading that began before the key was written would say that it is not there.
	e.follower.Known(t.Fence)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.lead(ctx, t)
	}()
	e.renew(ctx, t)
	t.End()
	<-done
	e.mu.Lock()
	e.tenure = nil
	if e.fence == t.Fence {
		// Whether the key is still there the follower will tell; until then
		// nobody is known to lead.
		e.leader, e.fence, e.isKeyRead = Record{}, 0, false
		e.follower.Reread()
	}
	e.mu.Unlock()
	e.log.Event("leader_stepped_down", eventlog.Fields{"fence": t.Fence})
}

// renew keeps the lease until it is lost or ctx ends.
func (e *Election) renew(ctx context.Context, t *Tenure) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		sentAt := steady.Now()
		callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		err := e.store.Renew(callCtx, t.lease)
		cancel()
		switch {
		case err == nil:
			t.renewed(sentAt)
		case errors.Is(err, durable.ErrLeaseGone):
			e.log.Event("leader_lease_gone", eventlog.Fields{"fence": t.Fence})
			return
		case !t.MayAct():
			e.log.Event("leader_lease_unrenewed", eventlog.Fields{"fence": t.Fence})
			return
		}
	}
}
