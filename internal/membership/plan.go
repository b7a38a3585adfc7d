package membership

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/hosting"
	"github.com/rattanwall/rattanwall/internal/ownership"
)

// planLoop executes the machine's planned actions, periodically and on request.
func (m *Membership) planLoop(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.planRequests:
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
	var queries sync.WaitGroup
	for _, a := range actions {
		switch a.Kind {
		case ownership.Acquire, ownership.Release:
			m.write(ctx, a)
		case ownership.AskPromise:
			queries.Add(1)
			go func() {
				defer queries.Done()
				m.askPromise(ctx, a.Peer)
			}()
		case ownership.AskOwner:
			queries.Add(1)
			go func() {
				defer queries.Done()
				m.askOwner(ctx, a)
			}()
		}
	}
	queries.Wait()
}

// write writes an ownership record. After a lost response the machine does not count
// the shard as owned until the record has been read back.
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
		// Stop acting before other nodes may start.
		m.forget(a.Shard)
		m.notifyChange()
	}
	key := ownerPrefix + a.Shard
	rev, err := m.store.Put(ctx, key, value, hosting.Revision(a.Expect), "")
	written := hosting.Entry{Key: key, Value: value, Revision: rev}
	if err != nil {
		// Conflict or lost response: the stored record decides.
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
	m.notifyChange()
}

// forget removes a shard's record from the view until the store shows it again.
func (m *Membership) forget(shard string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.entries, ownerPrefix+shard)
	m.rebuildView()
}

func (m *Membership) askPromise(ctx context.Context, peer ownership.Node) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	askedAt := time.Now()
	state := m.peers.AskPromise(ctx, peer, m.Self(), m.timing.PromiseDuration)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.RecordPromiseState(peer.ID, state, askedAt)
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
		ownerState := state
		if acts[shard] {
			ownerState = ownership.OwnerActs
		}
		m.machine.RecordOwnerState(shard, ownerState, time.Now())
	}
	if len(acts) == 0 && state == ownership.OwnerStopped {
		m.requestPlan()
	}
}
