// Package ownership decides which shards a node owns and for how long it may act as
// their owner. A shard is a group of VMs or of job records. The package has no I/O
// and no clock: it receives events and times and returns actions; package membership
// executes them against the store and the peers.
//
// Safety argument: a shard's record in the store names a node and its session; a
// session is a key that is deleted when its store lease ends. Taking over a shard
// requires that the session's key is gone, and a deleted session never returns, so a
// stale view can only cause delay. The holder stops acting FenceMargin before the
// lease can expire, measured on its own monotonic clock from the moment it sent the
// last successful renewal; the store starts counting later. A process that resumes
// after a pause therefore finds that its fence has passed.
//
// While the store is unreachable, no renewal succeeds. A holder then asks the other
// nodes of its availability zone, the only ones that may take over its shards, to
// promise not to do so. A node gives a promise only if it cannot reach the store
// either, and keeps it in memory. A restarted node has lost its promises, so it takes
// over no expired shard until QuietPeriod has passed, which is longer than any
// promise. docs/design/002-ownership.md describes the remaining gaps.
package ownership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Node is a node's record in the store. It exists as long as the node's session.
type Node struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Session string `json:"session"`
	// PeerAddress is the ip:port for calls from other nodes.
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	AdminAddress  string `json:"admin_address"`
	// Draining nodes acquire no shards and hand over those they own.
	Draining bool `json:"draining,omitempty"`
}

// Owner is a shard's record in the store. It outlives the owner's session.
type Owner struct {
	Node string `json:"node"`
	// Session is empty when the shard was released.
	Session string `json:"session,omitempty"`
	// PeerAddress is where the owner, once its session has ended, can be asked
	// whether it still acts.
	PeerAddress string `json:"peer_address,omitempty"`
	// Epoch is the store revision of the record; it grows with each change of owner.
	Epoch int64 `json:"-"`
}

// Shard is a group of VMs or of job records that has at most one owner at a time.
type Shard struct {
	Key string
	// Zone restricts the owners to one availability zone; empty means any.
	Zone string
}

// Timing holds the durations on which the safety argument rests.
type Timing struct {
	// TTL is the store lease's time to live; default 5 s.
	TTL time.Duration
	// RenewInterval is how often the lease is renewed; default 1.5 s.
	RenewInterval time.Duration
	// FenceMargin is how long before the lease can expire the holder stops acting; it
	// covers clocks that run at different rates; default 1 s.
	FenceMargin time.Duration
	// PromiseDuration is how long a peer's promise is valid; default 4 s.
	PromiseDuration time.Duration
	// QuietPeriod is how long a new process takes over no expired shard; default 5 s.
	QuietPeriod time.Duration
	// HandOverInterval is the minimum time between two hand-overs for balancing;
	// default 500 ms.
	HandOverInterval time.Duration
}

// DefaultTiming returns the defaults documented in Timing.
func DefaultTiming() Timing {
	return Timing{
		TTL: 5 * time.Second, RenewInterval: 1500 * time.Millisecond, FenceMargin: time.Second,
		PromiseDuration: 4 * time.Second, QuietPeriod: 5 * time.Second, HandOverInterval: 500 * time.Millisecond,
	}
}

// View is the last known content of the store.
type View struct {
	Nodes  map[string]Node
	Owners map[string]Owner
}

// ActionKind is the kind of an Action.
type ActionKind string

// The actions.
const (
	// Acquire: write the shard's record on condition that its revision is Expect.
	Acquire ActionKind = "acquire"
	// Release: write the shard's record without a session, on the same condition.
	Release ActionKind = "release"
	// AskPromise: ask Peer for a promise.
	AskPromise ActionKind = "ask-promise"
	// AskOwner: ask Peer for which of Shards it still acts as the owner.
	AskOwner ActionKind = "ask-owner"
)

// PromiseState is the outcome of asking a peer for a promise.
type PromiseState int

// The outcomes of asking a peer for a promise.
const (
	// PromiseGiven: the peer takes over none of this node's shards for
	// PromiseDuration.
	PromiseGiven PromiseState = iota
	// PromiseRefused: the peer can reach the store.
	PromiseRefused
	// PromiseNotListening: the peer's host responds but no process listens. A process
	// that starts there asks the owner before it takes over.
	PromiseNotListening
	// PromiseNoResponse: no response; the peer may be cut off from this node only.
	PromiseNoResponse
)

// OwnerState is the outcome of asking an owner whose session has ended.
type OwnerState int

// The outcomes of asking an owner.
const (
	// OwnerActs: the owner still acts, on the basis of promises.
	OwnerActs OwnerState = iota
	// OwnerStopped: the owner does not act, or no process listens at its address.
	OwnerStopped
	// OwnerNoResponse: no response; the owner may be dead, cut off or paused.
	OwnerNoResponse
)

// inquiry is what is known about an owner whose session has ended.
type inquiry struct {
	session string
	// stoppedAt is when the owner was last found not to act; zero if never.
	stoppedAt time.Time
	// noResponseSince is when the owner first failed to respond; zero if it
	// responded.
	noResponseSince time.Time
}

// ownerStoppedValidity is how long the finding that an owner does not act stays
// valid: the owner acts again only after it has reacquired the shard.
const ownerStoppedValidity = 3 * time.Second

// Action is a request to the caller of Plan.
type Action struct {
	Kind   ActionKind
	Shard  string
	Expect int64
	Peer   Node
	Shards []string
}

// promise is a peer's answer during the current store outage.
type promise struct {
	until time.Time
	// given is set once the peer has promised in this outage: it was cut off from the
	// store as well, so a later missing response does not mean that it took over.
	given bool
	// refused is set when the peer can reach the store.
	refused     bool
	unreachable bool
}

// Machine is the ownership state machine of one node. It is not safe for concurrent
// use.
type Machine struct {
	timing    Timing
	self      Node
	startedAt time.Time

	session  string
	fence    time.Time
	storeOK  bool
	view     View
	shards   []Shard
	draining bool

	lastHandOver     time.Time
	promisesGiven    map[string]time.Time
	promisesReceived map[string]promise
	extendedUntil    time.Time
	// retained holds the shards of an expired session that promises still protect.
	retained map[string]bool
	// inquiries holds, by shard, what is known about owners whose session has ended.
	inquiries map[string]inquiry
}

// New returns the machine of a node that starts at now and has no session.
func New(self Node, timing Timing, now time.Time) *Machine {
	return &Machine{
		timing: timing, self: self, startedAt: now,
		view:          View{Nodes: map[string]Node{}, Owners: map[string]Owner{}},
		promisesGiven: map[string]time.Time{}, promisesReceived: map[string]promise{}, retained: map[string]bool{}, inquiries: map[string]inquiry{},
	}
}

// Renewed records that the session's lease was granted or renewed by a call sent at
// sentAt.
func (m *Machine) Renewed(session string, sentAt time.Time) {
	if session != m.session {
		m.session = session
		m.self.Session = session
	}
	m.storeOK = true
	if f := sentAt.Add(m.timing.TTL - m.timing.FenceMargin); f.After(m.fence) {
		m.fence = f
	}
	m.promisesReceived = map[string]promise{}
}

// RenewFailed records that the store did not respond to a renewal.
func (m *Machine) RenewFailed() { m.storeOK = false }

// SessionGone records that the store has ended the session. The node may still act
// for shards that promises protect, and reacquires them under its next session.
func (m *Machine) SessionGone(now time.Time) {
	protected := now.Before(m.extendedUntil)
	for key, o := range m.view.Owners {
		if o.Node == m.self.ID && o.Session == m.session && protected {
			m.retained[key] = true
		}
	}
	m.session = ""
	m.fence = time.Time{}
}

// SetView replaces the known content of the store.
func (m *Machine) SetView(v View) {
	m.view = v
	for key, q := range m.inquiries {
		if v.Owners[key].Session != q.session {
			delete(m.inquiries, key)
		}
	}
	for key := range m.retained {
		o := v.Owners[key]
		if o.Node != m.self.ID || o.Session == m.session {
			delete(m.retained, key)
		}
	}
}

// View returns the last known content of the store.
func (m *Machine) View() View { return m.view }

// SetShards replaces the list of existing shards.
func (m *Machine) SetShards(shards []Shard) { m.shards = shards }

// Drain makes the node hand over all shards it owns.
func (m *Machine) Drain() { m.draining, m.self.Draining = true, true }

// Self returns the node's record as it should be stored.
func (m *Machine) Self() Node { return m.self }

// StoreReachable reports whether the store responded to the last renewal.
func (m *Machine) StoreReachable() bool { return m.storeOK }

// MayActUntil returns when the node's right to act for its shards ends unless it is
// renewed; extended reports that the right rests on promises rather than the store.
func (m *Machine) MayActUntil() (until time.Time, extended bool) {
	if m.extendedUntil.After(m.fence) {
		return m.extendedUntil, true
	}
	return m.fence, false
}

// Epoch returns the epoch under which the node may act for a shard at now, and false
// if it may not act.
func (m *Machine) Epoch(shard string, now time.Time) (int64, bool) {
	if until, _ := m.MayActUntil(); !now.Before(until) {
		return 0, false
	}
	o, ok := m.view.Owners[shard]
	if !ok || o.Node != m.self.ID || o.Session == "" {
		return 0, false
	}
	if o.Session != m.session && !m.retained[shard] {
		return 0, false
	}
	return o.Epoch, true
}

// Owned returns the shards that the node may act for at now, sorted.
func (m *Machine) Owned(now time.Time) []string {
	var owned []string
	for key := range m.view.Owners {
		if _, ok := m.Epoch(key, now); ok {
			owned = append(owned, key)
		}
	}
	sort.Strings(owned)
	return owned
}

// Plan returns the actions to execute at now.
func (m *Machine) Plan(now time.Time) []Action {
	if !m.storeOK {
		return m.planOutage(now)
	}
	if m.session == "" {
		return nil
	}
	var actions []Action
	ask := map[string]*Action{}
	for _, s := range m.shards {
		a, ok := m.planShard(s, now)
		switch {
		case !ok:
		case a.Kind != AskOwner:
			actions = append(actions, a)
		case ask[a.Peer.ID] == nil:
			a.Shards = []string{s.Key}
			ask[a.Peer.ID] = &a
		default:
			ask[a.Peer.ID].Shards = append(ask[a.Peer.ID].Shards, s.Key)
		}
	}
	for _, a := range ask {
		actions = append(actions, *a)
	}
	return actions
}

// planShard decides on one shard while the store is reachable.
func (m *Machine) planShard(s Shard, now time.Time) (Action, bool) {
	o, known := m.view.Owners[s.Key]
	desired := m.Desired(s)
	owned := known && o.Node == m.self.ID && o.Session != ""
	switch {
	case owned && m.retained[s.Key]:
		return Action{Kind: Acquire, Shard: s.Key, Expect: o.Epoch}, true
	case owned && o.Session == m.session:
		return m.planHandOver(s, o, desired, now)
	case desired != m.self.ID:
		return Action{}, false
	case !known || o.Session == "":
		return Action{Kind: Acquire, Shard: s.Key, Expect: o.Epoch}, true
	case m.sessionLive(o):
		return Action{}, false
	case now.Sub(m.startedAt) < m.timing.QuietPeriod || now.Before(m.promisesGiven[o.Node]):
		// The owner's lease has expired, but this process, or an earlier process of
		// the same node, may have promised the owner not to take over.
		return Action{}, false
	case !m.ownerStopped(s.Key, o, now):
		return Action{Kind: AskOwner, Shard: s.Key, Peer: Node{ID: o.Node, PeerAddress: o.PeerAddress}}, true
	}
	return Action{Kind: Acquire, Shard: s.Key, Expect: o.Epoch}, true
}

// ownerStopped reports whether the owner, whose session has ended, was recently found
// not to act. Without this check, a node unknown to the owner, and so never asked for
// a promise, would take over while the owner continues to act.
func (m *Machine) ownerStopped(shard string, o Owner, now time.Time) bool {
	if o.PeerAddress == m.self.PeerAddress {
		// The owner was an earlier process at this node's own address.
		return true
	}
	q := m.inquiries[shard]
	return q.session == o.Session && !q.stoppedAt.IsZero() && now.Sub(q.stoppedAt) < ownerStoppedValidity
}

// RecordOwnerState records the outcome of asking a shard's owner. An owner that does
// not respond counts as stopped after PromiseDuration: a paused process asks for no
// promises, so by then all its promises have expired.
func (m *Machine) RecordOwnerState(shard string, state OwnerState, now time.Time) {
	o := m.view.Owners[shard]
	q := m.inquiries[shard]
	if q.session != o.Session {
		q = inquiry{session: o.Session}
	}
	switch {
	case state == OwnerNoResponse && q.noResponseSince.IsZero():
		q.noResponseSince = now
	case state == OwnerStopped, state == OwnerNoResponse && now.Sub(q.noResponseSince) >= m.timing.PromiseDuration:
		q.stoppedAt = now
	case state == OwnerActs:
		q = inquiry{session: o.Session}
	}
	m.inquiries[shard] = q
}

// planHandOver hands over an owned shard to its desired owner, at most one per
// HandOverInterval unless the node is draining.
func (m *Machine) planHandOver(s Shard, o Owner, desired string, now time.Time) (Action, bool) {
	if desired == m.self.ID || desired == "" {
		return Action{}, false
	}
	if !m.draining && now.Sub(m.lastHandOver) < m.timing.HandOverInterval {
		return Action{}, false
	}
	m.lastHandOver = now
	return Action{Kind: Release, Shard: s.Key, Expect: o.Epoch}, true
}

func (m *Machine) sessionLive(o Owner) bool {
	n, ok := m.view.Nodes[o.Node]
	return ok && n.Session == o.Session
}

// Desired returns the node that should own the shard, by rendezvous hashing among the
// eligible nodes: when a node joins or leaves, only the shards that it gains or loses
// move.
func (m *Machine) Desired(s Shard) string {
	var best string
	var bestHash uint64
	for id, n := range m.view.Nodes {
		if n.Draining || s.Zone != "" && n.Zone != s.Zone {
			continue
		}
		h := xxhash.Sum64String(s.Key + "\x00" + id)
		if best == "" || h > bestHash || h == bestHash && id < best {
			best, bestHash = id, h
		}
	}
	return best
}

// zonePeers returns the other known live nodes of the zone, sorted by ID.
func (m *Machine) zonePeers() []Node {
	var peers []Node
	for id, n := range m.view.Nodes {
		if id != m.self.ID && n.Zone == m.self.Zone {
			peers = append(peers, n)
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].ID < peers[j].ID })
	return peers
}

// planOutage requests promises while the store is unreachable.
func (m *Machine) planOutage(now time.Time) []Action {
	if until, _ := m.MayActUntil(); !now.Before(until) {
		// The right to act has ended: a peer may own the shards by now.
		return nil
	}
	var actions []Action
	for _, p := range m.zonePeers() {
		actions = append(actions, Action{Kind: AskPromise, Peer: p})
	}
	if len(actions) == 0 {
		m.extend(now)
	}
	return actions
}

// RecordPromiseState records a peer's response to a promise request sent at askedAt.
func (m *Machine) RecordPromiseState(peer string, state PromiseState, askedAt time.Time) {
	p := m.promisesReceived[peer]
	p.unreachable = state == PromiseNoResponse
	switch state {
	case PromiseGiven, PromiseNotListening:
		p.given, p.refused = true, false
		p.until = askedAt.Add(m.timing.PromiseDuration - m.timing.FenceMargin)
	case PromiseRefused:
		p.refused = true
	}
	m.promisesReceived[peer] = p
	m.extend(askedAt)
}

// extend extends the right to act to the earliest end of the promises on which it
// rests.
func (m *Machine) extend(askedAt time.Time) {
	if m.storeOK {
		return
	}
	until := askedAt.Add(m.timing.PromiseDuration - m.timing.FenceMargin)
	for _, n := range m.zonePeers() {
		p := m.promisesReceived[n.ID]
		switch {
		case p.refused:
			return
		case p.unreachable && p.given:
			// The peer promised in this outage and does not respond now: it is cut
			// off as well, or dead. A successor process would observe its quiet
			// period and ask this node first.
			continue
		case p.until.Before(until):
			until = p.until
		}
	}
	if until.After(m.extendedUntil) {
		m.extendedUntil = until
	}
}

// Promise decides whether to promise a peer not to take over its shards, and records
// the promise. A node that can reach the store refuses, since it may have to take
// over.
func (m *Machine) Promise(node string, d time.Duration, now time.Time) bool {
	if m.storeOK {
		return false
	}
	m.promisesGiven[node] = now.Add(d)
	return true
}
