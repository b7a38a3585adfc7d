package membership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rattanwall/rattanwall/internal/hosting"
	"github.com/rattanwall/rattanwall/internal/ownership"
)

// renewLoop renews the session's lease.
func (m *Membership) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(m.timing.RenewInterval)
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
	lease, session, left := m.lease, m.machine.Self().Session, m.hasLeft
	m.mu.Unlock()
	if left {
		return
	}
	if lease == "" {
		m.openSession(ctx)
		return
	}
	sentAt := time.Now()
	err := m.store.Renew(ctx, lease)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		m.machine.Renewed(session, sentAt)
	case errors.Is(err, hosting.ErrLeaseGone):
		m.log.Warn("the store ended this node's session; opening a new one")
		m.machine.SessionGone(time.Now())
		m.lease = ""
	default:
		m.machine.RenewFailed()
	}
}

// openSession starts a session: it obtains a lease and writes the node's record bound
// to it.
func (m *Membership) openSession(ctx context.Context) {
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
		m.log.WithError(err).Warn("failed to write the node's record")
		_ = m.store.Revoke(ctx, lease)
		return
	}
	m.mu.Lock()
	m.lease, m.nodeRev = lease, rev
	m.machine.Renewed(session, sentAt)
	m.mu.Unlock()
	m.requestPlan()
}

// publishNode rewrites the node's record under the current session.
func (m *Membership) publishNode(ctx context.Context) error {
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

// putNode writes the node's record, replacing one left by an earlier process of the
// node.
func (m *Membership) putNode(ctx context.Context, self ownership.Node, lease hosting.LeaseID) (hosting.Revision, error) {
	value, err := json.Marshal(self)
	if err != nil {
		return 0, errors.Wrap(err, "encode node record")
	}
	key := nodePrefix + self.ID
	var expect hosting.Revision
	if e, err := m.store.Get(ctx, key); err == nil {
		expect = e.Revision
	} else if !errors.Is(err, hosting.ErrNotFound) {
		return 0, err
	}
	return m.store.Put(ctx, key, value, expect, lease)
}
