// Package ownership decides which shards a node owns, and for how long it may
// act as their owner. A shard is a group of VMs or of job records. The package
// is pure: events and times go in, actions come out; package membership carries
// them out against the store and the peers.
//
// Safety argument. A shard's record in the store names a node and its session;
// a session is a key that dies with a store lease. Taking over needs the
// session's key to be gone, and a session once gone never returns, so a stale
// view can only delay. The holder stops acting FenceMargin before the lease can
// lapse, counted on its own monotonic clock from the moment it sent the last
// successful renewal; the store counts from later. A paused process therefore
// finds its fence passed when it wakes.
//
// Without the store no renewal succeeds. A holder then asks the other nodes of
// its availability zone, the only ones that may take its shards, to promise not
// to. A promise is given only by a node that does not reach the store either,
// and kept in memory; a restarted node, which has lost its promises, takes over
// nothing by expiry until Quiet has passed, which is longer than any promise.
// docs/design/002-ownership.md tells what remains open.
package ownership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Node is a node's record in the store, alive as long as its session.
type Node struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Session string `json:"session"`
	// PeerAddress is the ip:port that serves the other nodes.
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	AdminAddress  string `json:"admin_address"`
	// Draining nodes take no shards and hand theirs over.
	Draining bool `json:"draining,omitempty"`
}

// Owner is a shard's record in the store. It outlives the owner's session.
type Owner struct {
	Node string `json:"node"`
	// Session is empty when the shard was released.
	Session string `json:"session,omitempty"`
	// PeerAddress is where the owner is asked, after its session has ended,
	// whether it still acts.
	PeerAddress string `json:"peer_address,omitempty"`
	// Epoch is the store revision of the record: it grows with each change of owner.
	Epoch int64 `json:"-"`
}

// Shard is a group of things with one owner at a time.
type Shard struct {
	Key string
	// Zone limits the owners to one availability zone; empty for any.
	Zone string
}

// Timing holds the durations that the safety argument rests on.
type Timing struct {
	// TTL is the store lease's time to live; default 5 s.
	TTL time.Duration
	// RenewInterval is how often the lease is renewed; default 1.5 s.
	RenewInterval time.Duration
	// FenceMargin is how long before the lease may lapse the holder stops; it
	// covers clocks that run at different rates; default 1 s.
	FenceMargin time.Duration
	// PromiseDuration is how long a peer's promise holds; default 4 s.
	PromiseDuration time.Duration
	// QuietPeriod is how long a new process takes over nothing by expiry; default 5 s.
	QuietPeriod time.Duration
	// HandOverInterval is the least time between two hand-overs for balance; default 500 ms.
	HandOverInterval time.Duration
}

// DefaultTiming returns the defaults named in Timing.
func DefaultTiming() Timing {
	return Timing{
		TTL: 5 * time.Second, RenewInterval: 1500 * time.Millisecond, FenceMargin: time.Second,
		PromiseDuration: 4 * time.Second, QuietPeriod: 5 * time.Second, HandOverInterval: 500 * time.Millisecond,
	}
}

// View is what the store was last seen to hold.
type View struct {
	Nodes  map[string]Node
	Owners map[string]Owner
}

// ActionKind says what an Action asks for.
type ActionKind string

// The actions.
const (
	// Acquire: write the shard's record, expecting Expect.
	Acquire ActionKind = "acquire"
	// Release: write the shard's record without a session, expecting Expect.
	Release ActionKind = "release"
	// AskPromise: ask Peer for a promise.
	AskPromise ActionKind = "ask-promise"
	// AskOwner: ask Peer for which of Shards it still acts.
	AskOwner ActionKind = "ask-owner"
)

// PromiseState is what became of asking a peer for a promise.
type PromiseState int

// The answers.
const (
	// PromiseGiven: it will not take over for a time.
	PromiseGiven PromiseState = iota
	// PromiseRefused: it reaches the store.
	PromiseRefused
	// PromiseNotListening: its host is there and nothing listens. Whatever starts in its
	// place asks the owner before it takes over.
	PromiseNotListening
	// PromiseNoResponse: no answer. It may be cut off from us only.
	PromiseNoResponse
)

// OwnerState is what became of asking an owner whose session has ended.
type OwnerState int

// The answers.
const (
	// OwnerActs: it still acts, by promises.
	OwnerActs OwnerState = iota
	// OwnerStopped: it does not, or nothing listens at its address.
	OwnerStopped
	// OwnerNoResponse: no answer. It may be dead, cut off or paused.
	OwnerNoResponse
)

// inquiry is what is known of an owner whose session has ended.
type inquiry struct {
	session string
	// stoppedAt is when it was last found not to act; zero for not yet.
	stoppedAt time.Time
	// noResponseSince is when it first did not answer; zero when it did.
	noResponseSince time.Time
}

// ownerStoppedValidity is how long an owner found not to act counts as such: it acts again
// only after it has acquired the shard anew.
const ownerStoppedValidity = 3 * time.Second

// Action is something for the shell to do.
type Action struct {
	Kind   ActionKind
	Shard  string
	Expect int64
	Peer   Node
	Shards []string
}

// promise is what a peer said in the present outage.
type promise struct {
	until time.Time
	// given is set once the peer has promised in this outage: it was cut off
	// from the store as well, so its later silence does not mean it took over.
	given bool
	// refused is set when the peer reaches the store.
	refused     bool
	unreachable bool
}

// Machine is the state of one node. It is not safe for concurrent use.
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
	// retained are shards of a session that lapsed while promises kept them ours.
	retained map[string]bool
	// inquiries tells of owners whose session has ended, by shard.
	inquiries map[string]inquiry
}

// New returns the machine of a node that started at now and has no session.
func New(self Node, timing Timing, now time.Time) *Machine {
	return &Machine{
		timing: timing, self: self, startedAt: now,
		view:          View{Nodes: map[string]Node{}, Owners: map[string]Owner{}},
		promisesGiven: map[string]time.Time{}, promisesReceived: map[string]promise{}, retained: map[string]bool{}, inquiries: map[string]inquiry{},
	}
}

// Renewed tells that the session's lease was granted or renewed by a call sent
// at sentAt.
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

// RenewFailed tells that the store did not answer a renewal.
func (m *Machine) RenewFailed() { m.storeOK = false }

// SessionGone tells that the store has ended the session. What promises still
// protect stays ours to act on, and to acquire again under the next session.
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

// SetView replaces what the store holds.
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

// View returns what the store was last seen to hold.
func (m *Machine) View() View { return m.view }

// SetShards replaces the list of shards that exist.
func (m *Machine) SetShards(shards []Shard) { m.shards = shards }

// Drain makes the node hand over all it owns.
func (m *Machine) Drain() { m.draining, m.self.Draining = true, true }

// Self returns the node's record as it should stand in the store.
func (m *Machine) Self() Node { return m.self }

// StoreReachable reports whether the last renewal was answered.
func (m *Machine) StoreReachable() bool { return m.storeOK }

// MayActUntil returns when the node's right to act for what it owns ends unless it
// is renewed; extended reports that it rests on promises rather than the store.
func (m *Machine) MayActUntil() (until time.Time, extended bool) {
	if m.extendedUntil.After(m.fence) {
		return m.extendedUntil, true
	}
	return m.fence, false
}

// Epoch returns the epoch under which the node may act for a shard at now, and
// false when it may not.
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

// Plan returns what to do now.
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

// planShard decides on one shard while the store answers.
func (m *Machine) planShard(s Shard, now time.Time) (Action, bool) {
	o, known := m.view.Owners[s.Key]
	want := m.Desired(s)
	mine := known && o.Node == m.self.ID && o.Session != ""
	switch {
	case mine && m.retained[s.Key]:
		return Action{Kind: Acquire, Shard: s.Key, Expect: o.Epoch}, true
	case mine && o.Session == m.session:
		return m.planHandOver(s, o, want, now)
	case want != m.self.ID:
		return Action{}, false
	case !known || o.Session == "":
		return Action{Kind: Acquire, Shard: s.Key, Expect: o.Epoch}, true
	case m.sessionLive(o):
		return Action{}, false
	case now.Sub(m.startedAt) < m.timing.QuietPeriod || now.Before(m.promisesGiven[o.Node]):
		// The owner's lease lapsed, but this process, or an earlier one of the
		// same node, may have promised the owner not to take over.
		return Action{}, false
	case !m.ownerStopped(s.Key, o, now):
		return Action{Kind: AskOwner, Shard: s.Key, Peer: Node{ID: o.Node, PeerAddress: o.PeerAddress}}, true
	}
	return Action{Kind: Acquire, Shard: s.Key, Expect: o.Epoch}, true
}

// ownerStopped reports whether the owner, whose session has ended, was lately
// found not to act. Without asking, a node that the owner does not know of, and
// so asked for no promise, would take over while the owner goes on.
func (m *Machine) ownerStopped(shard string, o Owner, now time.Time) bool {
	if o.PeerAddress == m.self.PeerAddress {
		// An earlier process at this very address.
		return true
	}
	q := m.inquiries[shard]
	return q.session == o.Session && !q.stoppedAt.IsZero() && now.Sub(q.stoppedAt) < ownerStoppedValidity
}

// RecordOwnerState tells what became of asking a shard's owner. One that is silent
// counts as stopped after PromiseDuration: a paused process asks for no promises, so
// by then what it had has run out.
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

// planHandOver gives an own shard to the node that should have it, one at a
// time unless the node is draining.
func (m *Machine) planHandOver(s Shard, o Owner, want string, now time.Time) (Action, bool) {
	if want == m.self.ID || want == "" {
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

// Desired returns the node that should own the shard: of the eligible ones the
// one with the highest hash together with the shard, so that a node's coming or
// going moves only the shards that it gains or loses.
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

// zonePeers returns the other nodes of the zone that were last seen alive.
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

// planOutage asks for promises while the store does not answer.
func (m *Machine) planOutage(now time.Time) []Action {
	if until, _ := m.MayActUntil(); !now.Before(until) {
		// The fence has passed: a peer may own the shards by now.
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

// RecordPromiseState tells what a peer said to a question sent at askedAt.
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

// extend moves the end of the right to act to the earliest end of the promises
// that it rests on.
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
			// It promised in this outage and is silent now: cut off like us, or
			// dead. A successor would keep quiet and ask us first.
			continue
		case p.until.Before(until):
			until = p.until
		}
	}
	if until.After(m.extendedUntil) {
		m.extendedUntil = until
	}
}

// Promise decides whether to promise a peer not to take over its shards, and
// remembers it. A node that reaches the store refuses: it may have to take over.
func (m *Machine) Promise(node string, d time.Duration, now time.Time) bool {
	if m.storeOK {
		return false
	}
	m.promisesGiven[node] = now.Add(d)
	return true
}
