// Package membership executes the decisions of package ownership: it maintains the
// node's session in the platform's store, watches the sessions and owners of all
// nodes, and writes ownership records.
package membership

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/hosting"
	"github.com/rattanwall/rattanwall/internal/ownership"
)

// Keys in the store. Both kinds share one prefix, so that one watch covers both.
const (
	prefix      = "members/"
	nodePrefix  = prefix + "node/"
	ownerPrefix = prefix + "own/"
)

const (
	// planInterval is the interval at which the machine plans actions.
	planInterval = 200 * time.Millisecond
	// callTimeout bounds one call to the store or a peer, so that a hanging call
	// cannot outlast the fence that it is meant to renew.
	callTimeout = 1200 * time.Millisecond
	// watchRetryDelay is the minimum delay after a failed watch.
	watchRetryDelay = 300 * time.Millisecond
	// watchTimeout is short because a watch may stop delivering events without an
	// error; only its timeout detects that.
	watchTimeout = 3 * time.Second
)

// PeerClient sends the queries that package ownership needs to other nodes.
type PeerClient interface {
	// AskPromise asks a peer not to take over this node's VMs for a time.
	AskPromise(ctx context.Context, peer, self ownership.Node, d time.Duration) ownership.PromiseState
	// AskOwner asks an owner for which of the shards it still acts. state is
	// OwnerStopped when the owner responded or certainly does not run.
	AskOwner(ctx context.Context, owner ownership.Node, shards []string) (acting []string, state ownership.OwnerState)
}

// Membership is the service that runs one node's ownership.Machine.
type Membership struct {
	store  hosting.Store
	peers  PeerClient
	timing ownership.Timing
	log    *logrus.Entry

	mu           sync.Mutex
	machine      *ownership.Machine
	lease        hosting.LeaseID
	nodeRev      hosting.Revision
	entries      map[string]hosting.Entry
	revision     hosting.Revision
	listed       bool
	onChange     []func()
	planRequests chan struct{}
	hasLeft      bool
}

// New returns a node's membership; Serve runs it.
func New(self ownership.Node, timing ownership.Timing, store hosting.Store, peers PeerClient, log *logrus.Entry) *Membership {
	return &Membership{
		store: store, peers: peers, timing: timing, log: log,
		machine: ownership.New(self, timing, time.Now()),
		entries: map[string]hosting.Entry{}, planRequests: make(chan struct{}, 1),
	}
}

// OnChange registers f to be called, without locks held, after each change of the
// view. It must be called before Serve.
func (m *Membership) OnChange(f func()) { m.onChange = append(m.onChange, f) }

// Serve implements suture.Service.
func (m *Membership) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){m.renewLoop, m.watchLoop, m.planLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
	return ctx.Err()
}

// SetShards replaces the list of existing shards.
func (m *Membership) SetShards(shards []ownership.Shard) {
	m.mu.Lock()
	m.machine.SetShards(shards)
	m.mu.Unlock()
	m.requestPlan()
}

// Epoch returns the epoch under which this node may act for a shard now, and false if
// it may not act.
func (m *Membership) Epoch(shard string) (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Epoch(shard, time.Now())
}

// OwnerOf returns the node that the store records as a shard's owner. It returns
// false if the shard has no owner or the owner's node record is missing.
func (m *Membership) OwnerOf(shard string) (ownership.Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.machine.View()
	o, ok := v.Owners[shard]
	if !ok || o.Session == "" {
		return ownership.Node{}, false
	}
	n, ok := v.Nodes[o.Node]
	return n, ok
}

// Nodes returns the known live nodes, including this one.
func (m *Membership) Nodes() map[string]ownership.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	nodes := make(map[string]ownership.Node)
	for id, n := range m.machine.View().Nodes {
		nodes[id] = n
	}
	return nodes
}

// Self returns this node's record.
func (m *Membership) Self() ownership.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Self()
}

// Promise handles a peer's request not to take over its shards for d, at most
// PromiseDuration, and reports whether the promise is given.
func (m *Membership) Promise(node string, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Promise(node, min(d, m.timing.PromiseDuration), time.Now())
}

// StoreReachable reports whether the store responded to the last renewal.
func (m *Membership) StoreReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.StoreReachable()
}

// Drain hands over all shards and returns when none is left or ctx ends.
func (m *Membership) Drain(ctx context.Context) {
	m.mu.Lock()
	m.machine.Drain()
	m.mu.Unlock()
	if m.publishNode(ctx) != nil {
		return
	}
	ticker := time.NewTicker(planInterval / 4)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.requestPlan()
		m.mu.Lock()
		left := len(m.machine.Owned(time.Now()))
		m.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// Leave ends the session, so that other nodes need not wait for it to expire.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	lease := m.lease
	m.hasLeft = true
	m.mu.Unlock()
	if lease != "" {
		_ = m.store.Revoke(ctx, lease)
	}
}

func (m *Membership) requestPlan() {
	select {
	case m.planRequests <- struct{}{}:
	default:
	}
}

func (m *Membership) notifyChange() {
	for _, f := range m.onChange {
		f()
	}
}

// Dump returns the membership's part of the state dump.
func (m *Membership) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	until, extended := m.machine.MayActUntil()
	return map[string]any{
		"self": m.machine.Self(), "store_reachable": m.machine.StoreReachable(),
		"may_act_for_ms": until.Sub(now).Milliseconds(), "by_promises": extended,
		"owned": m.machine.Owned(now), "view": m.machine.View(), "revision": m.revision,
	}
}
