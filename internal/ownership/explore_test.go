package ownership

import (
	"fmt"
	"maps"
	"os"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// The explorer runs the production Machine of two nodes of one availability zone
// against a model of the store with three kinds of keys, and tries every order of
// events up to a depth: clock ticks; renewals that succeed, are lost on the way, or
// take effect while their response is lost; stale or fresh views; actions executed
// with or without a response; promise requests that do or do not reach the peer; and
// crashes with a restart. A paused node is one without events while time passes.
//
// In each state it checks that at most one node may act for the shard.

const tick = time.Second

// exploreTiming has small values, in ticks, in the proportions of DefaultTiming.
var exploreTiming = Timing{TTL: 4 * tick, RenewInterval: tick, FenceMargin: tick, PromiseDuration: 3 * tick, QuietPeriod: 4 * tick}

// bounds limits the search. noCondition, earlyExpiry and partitioned violate
// assumptions of the design.
type bounds struct {
	depth   int
	crashes int
	timing  Timing
	// slowClock makes the first node's clock run at 3/4 of the rate of the store's.
	slowClock bool
	// noCondition makes the store accept writes without comparing revisions.
	noCondition bool
	// earlyExpiry makes the store end leases after half their TTL.
	earlyExpiry bool
	// partitioned makes every owner that is asked look stopped, as when nodes of a
	// zone cannot reach each other: the open case of docs/design/002-ownership.md.
	partitioned bool
}

// world is one state of the search.
type world struct {
	now      int
	revision int64
	nodes    [2]*Machine
	// expires is when each node's current session expires, in ticks of the store.
	session  [2]string
	expires  [2]int
	sessions int
	owner    Owner
	hasOwner bool
	crashes  int
	// down marks nodes that are dead until they restart; no process listens there.
	down [2]bool
}

var exploreShard = Shard{Key: "s", Zone: "z"}

func nodeID(i int) string { return string(rune('a' + i)) }

func (b bounds) localTime(w *world, i int) time.Time {
	n := w.now
	if b.slowClock && i == 0 {
		n = n * 3 / 4
	}
	return time.Unix(0, 0).Add(time.Duration(n) * tick)
}

func (b bounds) machine(w *world, i int) *Machine {
	m := New(Node{ID: nodeID(i), Zone: "z", PeerAddress: nodeID(i)}, b.timing, b.localTime(w, i))
	m.SetShards([]Shard{exploreShard})
	return m
}

func (b bounds) start() *world {
	w := &world{}
	for i := range w.nodes {
		w.nodes[i] = b.machine(w, i)
	}
	return w
}

func (w *world) clone() *world {
	c := *w
	for i, m := range w.nodes {
		n := *m
		n.promisesGiven, n.promisesReceived, n.retained, n.inquiries = maps.Clone(m.promisesGiven), maps.Clone(m.promisesReceived), maps.Clone(m.retained), maps.Clone(m.inquiries)
		n.view = View{Nodes: maps.Clone(m.view.Nodes), Owners: maps.Clone(m.view.Owners)}
		c.nodes[i] = &n
	}
	return &c
}

// key returns a hash of the state that ignores shifts in time and the names of
// sessions.
func (b bounds) key(w *world) uint64 {
	buf := make([]byte, 0, 128)
	names := map[string]byte{"": 0}
	session := func(name string) {
		if _, ok := names[name]; !ok {
			names[name] = byte(len(names))
		}
		buf = append(buf, names[name])
	}
	number := func(n int) { buf = append(buf, byte(max(min(n, 9), -9)+10)) }
	flag := func(flags ...bool) {
		for _, f := range flags {
			if f {
				buf = append(buf, 1)
			} else {
				buf = append(buf, 0)
			}
		}
	}
	session(w.owner.Session)
	buf = append(buf, w.owner.Node...)
	number(w.crashes)
	if b.slowClock {
		number(w.now % 4)
	}
	for i, m := range w.nodes {
		now := b.localTime(w, i)
		rel := func(t time.Time) { number(int(t.Sub(now) / tick)) }
		session(w.session[i])
		number(max(w.expires[i]-w.now, -1))
		session(m.session)
		rel(m.fence)
		rel(m.extendedUntil)
		number(int(now.Sub(m.startedAt) / tick))
		for _, id := range []string{"a", "b"} {
			n, p := m.view.Nodes[id], m.promisesReceived[id]
			session(n.Session)
			rel(m.promisesGiven[id])
			rel(p.until)
			flag(p.given, p.refused, p.unreachable)
		}
		o, q := m.view.Owners["s"], m.inquiries["s"]
		session(o.Session)
		session(q.session)
		rel(q.stoppedAt)
		buf = append(buf, o.Node...)
		flag(m.storeOK, o.Epoch == w.owner.Epoch, m.retained["s"], w.down[i])
	}
	return xxhash.Sum64(buf)
}

// expireSessions ends the sessions whose lease has expired at the store.
func (w *world) expireSessions() {
	for i := range w.nodes {
		if w.session[i] != "" && w.now >= w.expires[i] {
			w.session[i] = ""
		}
	}
}

func (b bounds) ttl() int {
	ttl := int(b.timing.TTL / tick)
	if b.earlyExpiry {
		ttl /= 2
	}
	return ttl
}

// renew sends one renewal, or opens a session, and passes the response to the node,
// or its loss if answered is false.
func (b bounds) renew(w *world, i int, answered bool) {
	m := w.nodes[i]
	switch {
	case m.session == "":
		w.sessions++
		w.session[i] = fmt.Sprintf("%s%d", nodeID(i), w.sessions)
		w.expires[i] = w.now + b.ttl()
		if answered {
			m.Renewed(w.session[i], b.localTime(w, i))
		}
	case w.session[i] != m.session:
		if answered {
			m.SessionGone(b.localTime(w, i))
		}
	default:
		w.expires[i] = w.now + b.ttl()
		if answered {
			m.Renewed(m.session, b.localTime(w, i))
		}
	}
	if !answered {
		m.RenewFailed()
	}
}

func (w *world) refreshView(i int) {
	v := View{Nodes: map[string]Node{}, Owners: map[string]Owner{}}
	for j := range w.nodes {
		if w.session[j] != "" {
			v.Nodes[nodeID(j)] = Node{ID: nodeID(j), Zone: "z", Session: w.session[j]}
		}
	}
	if w.hasOwner {
		v.Owners["s"] = w.owner
	}
	w.nodes[i].SetView(v)
}

// perform executes the actions that the node plans.
func (b bounds) perform(w *world, i int, reached, answered bool) {
	m := w.nodes[i]
	for _, a := range m.Plan(b.localTime(w, i)) {
		switch a.Kind {
		case AskPromise:
			j := 1 - i
			state := PromiseNoResponse
			switch {
			case reached && w.down[j]:
				state = PromiseNotListening
			case reached && w.nodes[j].Promise(nodeID(i), b.timing.PromiseDuration, b.localTime(w, j)):
				state = PromiseGiven
			case reached:
				state = PromiseRefused
			}
			m.RecordPromiseState(nodeID(j), state, b.localTime(w, i))
		case AskOwner:
			// A live owner reports whether it acts; a restarted one acts for no
			// shard. Two live nodes of a zone are assumed to reach each other here.
			state := OwnerStopped
			if j := int(a.Peer.ID[0] - 'a'); !b.partitioned && !w.down[j] {
				if _, ok := w.nodes[j].Epoch("s", b.localTime(w, j)); ok {
					state = OwnerActs
				}
			}
			m.RecordOwnerState("s", state, b.localTime(w, i))
		case Acquire, Release:
			if w.owner.Epoch != a.Expect && !b.noCondition {
				continue
			}
			o := Owner{Node: nodeID(i), PeerAddress: nodeID(i)}
			if a.Kind == Acquire {
				o.Session = m.session
			} else {
				v := View{Nodes: m.view.Nodes, Owners: map[string]Owner{}}
				m.SetView(v)
			}
			w.revision++
			o.Epoch = w.revision
			w.owner, w.hasOwner = o, true
			if answered {
				v := View{Nodes: m.view.Nodes, Owners: map[string]Owner{"s": o}}
				m.SetView(v)
			}
		}
	}
}

// step is one event with a name for the trace.
type step struct {
	name string
	do   func(w *world)
}

func (b bounds) steps(w *world) []step {
	steps := []step{{"tick", func(w *world) { w.now++; w.expireSessions() }}}
	for i := range w.nodes {
		id := nodeID(i)
		if w.down[i] {
			steps = append(steps, step{id + " restarts", func(w *world) {
				w.down[i] = false
				w.nodes[i] = b.machine(w, i)
			}})
			continue
		}
		steps = append(steps,
			step{id + " renews, looks and acts", func(w *world) {
				b.renew(w, i, true)
				w.refreshView(i)
				// The first call asks, the second acts on the response.
				b.perform(w, i, true, true)
				b.perform(w, i, true, true)
			}},
			step{id + " renews, answer lost", func(w *world) { b.renew(w, i, false) }},
			step{id + " renews with an old view", func(w *world) { b.renew(w, i, true) }},
			step{id + " looks and acts, answers lost", func(w *world) { w.refreshView(i); b.perform(w, i, true, false) }},
			step{id + " acts on an old view", func(w *world) { b.perform(w, i, true, true) }},
			step{id + " does not reach the store", func(w *world) {
				w.nodes[i].RenewFailed()
				b.perform(w, i, true, false)
			}},
			step{id + " reaches neither store nor peer", func(w *world) {
				w.nodes[i].RenewFailed()
				b.perform(w, i, false, false)
			}})
		if w.crashes < b.crashes {
			steps = append(steps, step{id + " crashes", func(w *world) {
				w.crashes++
				w.down[i] = true
				w.nodes[i] = b.machine(w, i)
			}})
		}
	}
	return steps
}

// acting returns the nodes that may act for the shard now.
func (b bounds) acting(w *world) []string {
	var acting []string
	for i, m := range w.nodes {
		if _, ok := m.Epoch("s", b.localTime(w, i)); ok {
			acting = append(acting, nodeID(i))
		}
	}
	return acting
}

// explore searches all states within the bounds. It returns their number and, if a
// state violates the invariant, the events that lead to it.
func (b bounds) explore() (states int, trace []string) {
	type entry struct {
		w     *world
		depth int
		from  int
		name  string
	}
	queue := []entry{{w: b.start(), from: -1}}
	seen := map[uint64]bool{b.key(queue[0].w): true}
	for at := 0; at < len(queue); at++ {
		e := queue[at]
		if e.depth == b.depth {
			continue
		}
		for _, s := range b.steps(e.w) {
			next := e.w.clone()
			s.do(next)
			key := b.key(next)
			if seen[key] {
				continue
			}
			seen[key] = true
			queue = append(queue, entry{next, e.depth + 1, at, s.name})
			if len(b.acting(next)) > 1 {
				for i := len(queue) - 1; i > 0; i = queue[i].from {
					trace = append([]string{queue[i].name}, trace...)
				}
				return len(seen), trace
			}
		}
		queue[at].w = nil
	}
	return len(seen), nil
}

// Guards against two nodes that act as owners of one VM at the same time, which would
// both start work on it. All orders of events within the bounds are tried.
func TestAtMostOneOwner(t *testing.T) {
	for _, c := range []struct {
		name string
		b    bounds
	}{
		{"no crash", bounds{depth: 8, timing: exploreTiming}},
		{"one crash", bounds{depth: 7, crashes: 1, timing: exploreTiming}},
		{"slow clock", bounds{depth: 7, timing: exploreTiming, slowClock: true}},
	} {
		// RATTANWALL_DEEPER=1 searches one step deeper, and so on.
		deeper, _ := strconv.Atoi(os.Getenv("RATTANWALL_DEEPER"))
		c.b.depth += deeper
		states, trace := c.b.explore()
		t.Logf("%s: %d states to depth %d", c.name, states, c.b.depth)
		require.Empty(t, trace, c.name)
	}
}

// Guards against an explorer that overlooks faults: each deliberate violation of the
// design's assumptions must be found.
func TestInjectedFaultsAreFound(t *testing.T) {
	noMargin := exploreTiming
	noMargin.FenceMargin = -tick
	breaks := map[string]bounds{
		"fence after the lease":         {depth: 9, timing: noMargin, partitioned: true},
		"writes without condition":      {depth: 12, timing: exploreTiming, noCondition: true},
		"leases lapse early":            {depth: 9, timing: exploreTiming, earlyExpiry: true, partitioned: true},
		"an owner unknown to the taker": {depth: 9, timing: exploreTiming, partitioned: true},
	}
	var names []string
	for name := range breaks {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		states, trace := breaks[name].explore()
		t.Logf("%s: found after %d states: %s", name, states, strings.Join(trace, "; "))
		require.NotEmpty(t, trace, name)
	}
}
