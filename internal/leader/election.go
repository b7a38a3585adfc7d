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
	// leaseTTL is how long the store keeps the leader's key without a renewal, and thus the
	// time until other processes notice the leader's death. A renewal takes a few
	// milliseconds; two in a row may be lost.
	leaseTTL      = 1300 * time.Millisecond
	renewInterval = 350 * time.Millisecond
	renewTimeout  = 400 * time.Millisecond
	// confirmMargin covers the time between reading the clock and acting on it.
	confirmMargin = 150 * time.Millisecond
	// callTimeout bounds one store call of the election.
	callTimeout = 900 * time.Millisecond
	// maxUnrenewedTenure is how long after its last renewal a leader keeps sending orders
	// while the store does not respond. The fencing tokens at the VMs make that safe: a
	// successor sends its token to every reachable VM before its first order, and waits this
	// time out for the others.
	maxUnrenewedTenure = 6 * time.Second
	// campaignJitter spreads the candidates, so that most of them find the key taken before
	// they write it.
	campaignJitter = 120 * time.Millisecond
	// maxHandicap is the election delay of a candidate without any processor share. Smaller
	// VMs are delayed more, so that a large one leads.
	maxHandicap = 400 * time.Millisecond
	// fullProcessorShare is the share of a core from which on a VM has no handicap.
	fullProcessorShare = 0.8
	// leaderWatchTimeout bounds one watch call on the leader's key. leaderReadInterval is how
	// often the key is also read: a leader's death that no watch reports is noticed at the
	// latest after its lease and this interval.
	leaderWatchTimeout = 5 * time.Second
	leaderReadInterval = 1500 * time.Millisecond
)

// Election campaigns for the leadership and tracks the current leader.
type Election struct {
	store durable.Store
	self  Record
	// processor is this VM's share of a core.
	processor float64
	log       *eventlog.Log
	lead      func(ctx context.Context, term *Tenure)
	// OnLeaderSeen is called with each new leader other than this process; may be nil. It must
	// not block.
	OnLeaderSeen func(Record)

	mu        sync.Mutex
	leader    Record
	fence     int64
	isKeyRead bool
	tenure    *Tenure
	// successor is the highest fencing token that a leader itself has announced to this
	// process. No tenure with a lower token begins or continues.
	successor int64
	resigned  bool
	wake      chan struct{}
	follower  *follow.Follower
}

// Tenure is one uninterrupted period of leadership of this process.
type Tenure struct {
	// Fence is the fencing token: the revision of the leader's key.
	Fence int64
	lease int64

	mu        sync.Mutex
	renewedAt time.Duration
	ended     bool
	cancel    context.CancelFunc
}

// MayAct reports whether orders may be sent now. It is checked before each order, since a
// process may be suspended and resumed at any point.
func (t *Tenure) MayAct() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && steady.Now()-t.renewedAt < maxUnrenewedTenure
}

// Confirmed reports whether the lease can't have expired, so that no other process leads.
func (t *Tenure) Confirmed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && steady.Now()-t.renewedAt < leaseTTL-confirmMargin
}

// RenewedAt returns the time at which the last successful renewal was sent.
func (t *Tenure) RenewedAt() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.renewedAt
}

// End ends the tenure: another process leads, or may lead.
func (t *Tenure) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.cancel()
}

// renewed records a successful renewal of the leader's lease. A tenure that could not act in
// the meantime is over for good, since some of its loops have noticed that and ended.
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

// NewElection returns an election. lead is called for each tenure and must return when its
// context ends.
func NewElection(store durable.Store, self Record, processor float64, log *eventlog.Log, lead func(context.Context, *Tenure)) *Election {
	e := &Election{store: store, self: self, processor: processor, log: log, lead: lead, wake: make(chan struct{}, 1)}
	e.follower = &follow.Follower{
		Store: store, Prefix: leaderKey, Wait: leaderWatchTimeout, PollInterval: leaderReadInterval,
		Handle: func(items []durable.Item, _ int64, whole bool) { e.observe(items, whole) },
	}
	return e
}

// Leader returns the current leader, if this process knows one.
func (e *Election) Leader() (Record, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.fence != 0
}

// LeaderAndFence returns the current leader and its fencing token, which is 0 if no leader is
// known.
func (e *Election) LeaderAndFence() (Record, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.fence
}

// Leading returns the current tenure of this process, or nil.
func (e *Election) Leading() *Tenure {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tenure
}

// Follower returns the watcher of the leader's key; it must run beside Serve.
func (e *Election) Follower() *follow.Follower { return e.follower }

// observe processes changes of the leader's key.
func (e *Election) observe(items []durable.Item, complete bool) {
	var found *durable.Item
	for i := range items {
		if items[i].Key == leaderKey {
			found = &items[i]
		}
	}
	if found == nil && !complete {
		return
	}
	e.mu.Lock()
	if e.isKeyRead && e.fence == revisionOf(found) {
		// A repeated read without a change.
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
		// The key belongs to another process or was removed. The store may do that without any
		// call of this process reporting it.
		e.log.Event("leader_deposed", eventlog.Fields{"fence": t.Fence, "successor": e.leader.Node})
		t.End()
	}
	e.reportLeader("store")
	e.mu.Unlock()
	e.notify()
}

// LearnLeader accepts a peer's information about the leader if its fencing token is newer. A
// process that is refused by the store has no other way to learn of a new leader.
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
	e.follower.MarkKnown(fence)
	e.notify()
}

// reportLeader logs the current leader and passes it to OnLeaderSeen. e.mu is held.
func (e *Election) reportLeader(source string) {
	e.log.Event("leader_seen", eventlog.Fields{"leader": e.leader.Node, "fence": e.fence, "source": source})
	if e.OnLeaderSeen != nil && e.fence != 0 && e.leader != e.self {
		e.OnLeaderSeen(e.leader)
	}
}

// notify triggers another check of whether to campaign.
func (e *Election) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// revisionOf returns the revision of an existing item, else 0.
func revisionOf(item *durable.Item) int64 {
	if item == nil || item.Deleted {
		return 0
	}
	return item.Revision
}

// Resign gives up the leadership for good, as part of a planned stop.
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

// EndTenuresBefore ends the tenure of this process if its fencing token is lower than the
// successor's, and prevents such tenures from beginning.
func (e *Election) EndTenuresBefore(successor int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.successor = max(e.successor, successor)
	if t := e.tenure; t != nil && t.Fence < successor {
		e.log.Event("leader_deposed", eventlog.Fields{"fence": t.Fence, "successor": successor})
		t.End()
	}
}

// isVacant reports whether this process may campaign: there is no leader's key, or the key
// belongs to an earlier incarnation of this process, which has certainly ended. Without the
// latter, processes of a deployment that died together would all wait until the lease expires.
func (e *Election) isVacant() bool {
	_, ok := e.claimableRevision()
	return ok
}

// claimableRevision returns the revision of the leader's key that this process may replace: 0
// for none, or that of its earlier incarnation.
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

// campaign tries once to become the leader, and leads if it succeeds.
func (e *Election) campaign(ctx context.Context) {
	shortage := max(0, 1-e.processor/fullProcessorShare)
	delay := time.Duration(shortage*float64(maxHandicap)) + rand.N(campaignJitter)
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

// errKeyTaken is returned when another process acquired the leader's key first.
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
	// Checked again after the grant: another process may have acquired the key meanwhile, and
	// its key must not be replaced.
	previous, ok := e.claimableRevision()
	if !ok {
		return nil, errKeyTaken
	}
	revision, err := e.store.Commit(ctx, durable.Txn{
		Conditions: []durable.Condition{{Key: leaderKey, Revision: previous}},
		Writes:     []durable.Write{{Key: leaderKey, Value: value, Lease: lease}},
	})
	if err != nil {
		// If the response was lost, the key may be ours; without renewals it disappears with
		// its lease.
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
	// A read that began before the key was written would report it as absent.
	e.follower.MarkKnown(t.Fence)
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
		// The follower will report whether the key still exists; until then no leader is
		// known.
		e.leader, e.fence, e.isKeyRead = Record{}, 0, false
		e.follower.Reread()
	}
	e.mu.Unlock()
	e.log.Event("leader_stepped_down", eventlog.Fields{"fence": t.Fence})
}

// renew renews the lease until it is lost or ctx ends.
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
