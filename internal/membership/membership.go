// Package membership carries out the decisions of package ownership: it keeps
// the node's session in the platform's store, watches the sessions and owners
// of all nodes, and writes ownership records.
package membership

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/ownership"
	"github.com/rattanwall/rattanwall/internal/platform"
)

// Keys in the store. One prefix holds both kinds, so that one watch sees both.
const (
	prefix     = "members/"
	nodePrefix = prefix + "node/"
	ownPrefix  = prefix + "own/"
)

const (
	// planEvery is how often the machine is asked what to do.
	planEvery = 200 * time.Millisecond
	// callTimeout bounds one call to the store or a peer, so that a hanging call
	// cannot outlast the fence that it is meant to renew.
	callTimeout = 1200 * time.Millisecond
	// watchPause is the least time between two failed watches.
	watchPause = 300 * time.Millisecond
	// watchWait is short, because a watch may go silent and only its timeout
	// shows it.
	watchWait = 3 * time.Second
)

// Promiser asks a peer for a promise; reached is false when no answer came.
type Promiser interface {
	AskPromise(ctx context.Context, peer, self ownership.Node, d time.Duration) (granted, reached bool)
	// AskOwner asks for which of the shards an owner still acts; state is
	// OwnerStopped when it answered, or certainly cannot.
	AskOwner(ctx context.Context, owner ownership.Node, shards []string) (acting []string, state ownership.OwnerState)
}

// Membership is the service that runs one node's Machine.
type Membership struct {
	store  platform.Store
	peers  Promiser
	timing ownership.Timing
	log    *logrus.Entry

	mu       sync.Mutex
	machine  *ownership.Machine
	lease    platform.LeaseID
	nodeRev  platform.Revision
	entries  map[string]platform.Entry
	revision platform.Revision
	listed   bool
	onChange []func()
	planNow  chan struct{}
	drained  bool
}

// New returns the membership of a node; Serve runs it.
func New(self ownership.Node, timing ownership.Timing, store platform.Store, peers Promiser, log *logrus.Entry) *Membership {
	return &Membership{
		store: store, peers: peers, timing: timing, log: log,
		machine: ownership.New(self, timing, time.Now()),
		entries: map[string]platform.Entry{}, planNow: make(chan struct{}, 1),
	}
}

// OnChange calls f, without locks held, after each change of view. Call it
// before Serve.
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

// SetShards tells which shards exist.
func (m *Membership) SetShards(shards []ownership.Shard) {
	m.mu.Lock()
	m.machine.SetShards(shards)
	m.mu.Unlock()
	m.wake()
}

// Epoch returns the epoch under which this node may act for a shard right now.
func (m *Membership) Epoch(shard string) (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Epoch(shard, time.Now())
}

// OwnerOf returns the node that the store names for a shard, alive or not, and
// false when there is none that can be asked.
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

// Nodes returns the nodes last seen alive, this one included.
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

// Promise answers a peer's question.
func (m *Membership) Promise(node string, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Promise(node, min(d, m.timing.PromiseFor), time.Now())
}

// StoreReachable reports whether the store answered last.
func (m *Membership) StoreReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.StoreReachable()
}

// Drain starts handing over all shards and returns when none is left or ctx ends.
func (m *Membership) Drain(ctx context.Context) {
	m.mu.Lock()
	m.machine.Drain()
	m.mu.Unlock()
	if m.publish(ctx) != nil {
		return
	}
	ticker := time.NewTicker(planEvery / 4)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.wake()
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

// Leave ends the session, so that no one waits for it to lapse.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	lease := m.lease
	m.drained = true
	m.mu.Unlock()
	if lease != "" {
		_ = m.store.Revoke(ctx, lease)
	}
}

func (m *Membership) wake() {
	select {
	case m.planNow <- struct{}{}:
	default:
	}
}

func (m *Membership) changed() {
	for _, f := range m.onChange {
		f()
	}
}

// renewLoop keeps the session's lease.
func (m *Membership) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(m.timing.RenewEvery)
	defer ticker.Stop()
	for {
		m.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Membership) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	lease, session, drained := m.lease, m.machine.Self().Session, m.drained
	m.mu.Unlock()
	if drained {
		return
	}
	if lease == "" {
		m.open(ctx)
		return
	}
	sentAt := time.Now()
	err := m.store.Renew(ctx, lease)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		m.machine.Renewed(session, sentAt)
	case errors.Is(err, platform.ErrLeaseGone):
		m.log.Warn("the store ended this node's session; opening another")
		m.machine.SessionGone(time.Now())
		m.lease = ""
	default:
		m.machine.RenewFailed()
	}
}

// open starts a session: a lease, then the node's record bound to it.
func (m *Membership) open(ctx context.Context) {
	sentAt := time.Now()
	lease, err := m.store.Grant(ctx, m.timing.TTL)
	if err != nil {
		m.mu.Lock()
		m.machine.RenewFailed()
		m.mu.Unlock()
		return
	}
	session := uuid.NewString()
	m.mu.Lock()
	self := m.machine.Self()
	self.Session = session
	m.mu.Unlock()
	rev, err := m.putNode(ctx, self, lease)
	if err != nil {
		m.log.WithError(err).Warn("the node's record could not be written")
		_ = m.store.Revoke(ctx, lease)
		return
	}
	m.mu.Lock()
	m.lease, m.nodeRev = lease, rev
	m.machine.Renewed(session, sentAt)
	m.mu.Unlock()
	m.wake()
}

// publish writes the node's record anew under the present session.
func (m *Membership) publish(ctx context.Context) error {
	m.mu.Lock()
	self, lease := m.machine.Self(), m.lease
	m.mu.Unlock()
	rev, err := m.putNode(ctx, self, lease)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.nodeRev = rev
	m.mu.Unlock()
	return nil
}

// putNode writes the record over whatever an earlier process of the same node left.
func (m *Membership) putNode(ctx context.Context, self ownership.Node, lease platform.LeaseID) (platform.Revision, error) {
	value, err := json.Marshal(self)
	if err != nil {
		return 0, errors.Wrap(err, "encode node record")
	}
	key := nodePrefix + self.ID
	var expect platform.Revision
	if e, err := m.store.Get(ctx, key); err == nil {
		expect = e.Revision
	} else if !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	return m.store.Put(ctx, key, value, expect, lease)
}

// watchLoop keeps the view. After a failed watch it lists anew: a watch that
// went silent may have missed changes.
func (m *Membership) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.watchOnce(ctx); err != nil {
			m.mu.Lock()
			m.listed = false
			m.mu.Unlock()
			pause(ctx, watchPause)
		}
	}
}

func (m *Membership) watchOnce(ctx context.Context) error {
	m.mu.Lock()
	listed, after := m.listed, m.revision
	m.mu.Unlock()
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		entries, rev, err := m.store.List(ctx, prefix)
		if err != nil {
			return err
		}
		m.install(entries, rev)
		return nil
	}
	events, rev, err := m.store.Watch(ctx, prefix, after, watchWait)
	if err != nil {
		return err
	}
	if !m.apply(events, rev) && len(events) > 0 {
		// A watch that replays what is known answers at once, again and again.
		pause(ctx, watchPause)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// install replaces the view by a listing. A listing older than the view is a
// stale read and is dropped.
func (m *Membership) install(entries []platform.Entry, rev platform.Revision) {
	m.mu.Lock()
	if rev >= m.revision {
		m.entries = make(map[string]platform.Entry, len(entries))
		for _, e := range entries {
			m.entries[e.Key] = e
		}
		m.revision = rev
	}
	m.listed = true
	m.rebuildView()
	m.mu.Unlock()
	m.changed()
	m.wake()
}

// apply adds events to the view and reports whether any was new. Events of
// revisions already seen are dropped: a watch may replay them.
func (m *Membership) apply(events []platform.Event, rev platform.Revision) bool {
	m.mu.Lock()
	changed := false
	for _, e := range events {
		if e.Revision <= m.revision {
			continue
		}
		changed = true
		if e.Deleted {
			delete(m.entries, e.Key)
		} else {
			m.entries[e.Key] = e.Entry
		}
	}
	m.revision = max(m.revision, rev)
	if changed {
		m.rebuildView()
	}
	m.mu.Unlock()
	if changed {
		m.changed()
		m.wake()
	}
	return changed
}

// rebuildView decodes the entries. m.mu is held.
func (m *Membership) rebuildView() {
	v := ownership.View{Nodes: map[string]ownership.Node{}, Owners: map[string]ownership.Owner{}}
	for key, e := range m.entries {
		if id, ok := strings.CutPrefix(key, nodePrefix); ok {
			var n ownership.Node
			if json.Unmarshal(e.Value, &n) == nil {
				v.Nodes[id] = n
			}
		}
		if shard, ok := strings.CutPrefix(key, ownPrefix); ok {
			var o ownership.Owner
			if json.Unmarshal(e.Value, &o) == nil {
				o.Epoch = int64(e.Revision)
				v.Owners[shard] = o
			}
		}
	}
	m.machine.SetView(v)
}

// planLoop asks the machine what to do and does it.
func (m *Membership) planLoop(ctx context.Context) {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.planNow:
		}
		m.mu.Lock()
		var actions []ownership.Action
		if m.listed || !m.machine.StoreReachable() {
			actions = m.machine.Plan(time.Now())
		}
		m.mu.Unlock()
		m.perform(ctx, actions)
	}
}

func (m *Membership) perform(ctx context.Context, actions []ownership.Action) {
	var asked sync.WaitGroup
	for _, a := range actions {
		switch a.Kind {
		case ownership.Acquire, ownership.Release:
			m.write(ctx, a)
		case ownership.AskPromise:
			asked.Add(1)
			go func() {
				defer asked.Done()
				m.ask(ctx, a.Peer)
			}()
		case ownership.AskOwner:
			asked.Add(1)
			go func() {
				defer asked.Done()
				m.askOwner(ctx, a)
			}()
		}
	}
	asked.Wait()
}

// write puts an ownership record. On a lost answer nothing is concluded until
// the record was read back: until then the machine does not count the shard as
// owned.
func (m *Membership) write(ctx context.Context, a ownership.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	self, lease := m.machine.Self(), m.lease
	m.mu.Unlock()
	if lease == "" {
		return
	}
	record := ownership.Owner{Node: self.ID, PeerAddress: self.PeerAddress}
	if a.Kind == ownership.Acquire {
		record.Session = self.Session
	}
	value, err := json.Marshal(record)
	if err != nil {
		return
	}
	if a.Kind == ownership.Release {
		// Stop acting before others may start.
		m.forget(a.Shard)
		m.changed()
	}
	key := ownPrefix + a.Shard
	rev, err := m.store.Put(ctx, key, value, platform.Revision(a.Expect), "")
	written := platform.Entry{Key: key, Value: value, Revision: rev}
	if err != nil {
		// Conflict or lost answer: what the store holds now decides.
		if written, err = m.store.Get(ctx, key); err != nil {
			return
		}
	}
	m.log.WithFields(logrus.Fields{"shard": a.Shard, "epoch": rev}).Debug(string(a.Kind))
	m.mu.Lock()
	if m.entries[key].Revision < written.Revision {
		m.entries[key] = written
		m.rebuildView()
	}
	m.mu.Unlock()
	m.changed()
}

// forget drops a shard's record from the view until the store shows it again.
func (m *Membership) forget(shard string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.entries, ownPrefix+shard)
	m.rebuildView()
}

func (m *Membership) ask(ctx context.Context, peer ownership.Node) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	askedAt := time.Now()
	granted, reached := m.peers.AskPromise(ctx, peer, m.Self(), m.timing.PromiseFor)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.PromiseAnswer(peer.ID, granted, reached, askedAt)
}

func (m *Membership) askOwner(ctx context.Context, a ownership.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	acting, state := m.peers.AskOwner(ctx, a.Peer, a.Shards)
	acts := map[string]bool{}
	for _, shard := range acting {
		acts[shard] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, shard := range a.Shards {
		answer := state
		if acts[shard] {
			answer = ownership.OwnerActs
		}
		m.machine.OwnerAnswer(shard, answer, time.Now())
	}
	if len(acts) == 0 && state == ownership.OwnerStopped {
		m.wake()
	}
}

// Dump describes the state for the state dump.
func (m *Membership) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	until, extended := m.machine.Until()
	return map[string]any{
		"self": m.machine.Self(), "store_reachable": m.machine.StoreReachable(),
		"may_act_for_ms": until.Sub(now).Milliseconds(), "by_promises": extended,
		"owned": m.machine.Owned(now), "view": m.machine.View(), "revision": m.revision,
	}
}
