package membership

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/rattanwall/rattanwall/internal/hosting"
	"github.com/rattanwall/rattanwall/internal/ownership"
	"github.com/rattanwall/rattanwall/internal/pause"
)

// watchLoop keeps the view up to date. After a failed watch it lists all entries: a
// watch that stopped delivering events may have missed changes.
func (m *Membership) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.watchOnce(ctx); err != nil {
			m.mu.Lock()
			m.listed = false
			m.mu.Unlock()
			pause.For(ctx, watchRetryDelay)
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
	events, rev, err := m.store.Watch(ctx, prefix, after, watchTimeout)
	if err != nil {
		return err
	}
	if !m.apply(events, rev) && len(events) > 0 {
		// A watch that replays known events returns at once each time.
		pause.For(ctx, watchRetryDelay)
	}
	return nil
}

// install replaces the view with a listing. A listing older than the view is a stale
// read and is ignored.
func (m *Membership) install(entries []hosting.Entry, rev hosting.Revision) {
	m.mu.Lock()
	if rev >= m.revision {
		m.entries = make(map[string]hosting.Entry, len(entries))
		for _, e := range entries {
			m.entries[e.Key] = e
		}
		m.revision = rev
	}
	m.listed = true
	m.rebuildView()
	m.mu.Unlock()
	m.notifyChange()
	m.requestPlan()
}

// apply adds events to the view and reports whether any was new. Events of known
// revisions are ignored: a watch may replay them.
func (m *Membership) apply(events []hosting.Event, rev hosting.Revision) bool {
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
		m.notifyChange()
		m.requestPlan()
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
		if shard, ok := strings.CutPrefix(key, ownerPrefix); ok {
			var o ownership.Owner
			if json.Unmarshal(e.Value, &o) == nil {
				o.Epoch = int64(e.Revision)
				v.Owners[shard] = o
			}
		}
	}
	m.machine.SetView(v)
}
