package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// configuration is what this process knows of the operator's configuration, from the
// store or from its peers.
type configuration struct {
	decode func([]byte) (*batch.Config, error)
	log    *eventlog.Log

	inForce atomic.Pointer[batch.Config]

	mu sync.Mutex
	// newest is the newest item that was heard of, readable or not.
	newest     durable.Item
	unreadable bool
	// confirmedAt is when newest was last known to be the newest there is, readAt when the
	// store itself last said so, on the steady clock; 0 for never.
	confirmedAt, readAt time.Duration
	// confirmationChanged is closed when confirmedAt moves on.
	confirmationChanged chan struct{}
}

func newConfiguration(decode func([]byte) (*batch.Config, error), log *eventlog.Log) *configuration {
	return &configuration{decode: decode, log: log, confirmationChanged: make(chan struct{})}
}

// install takes a newer item over; source says where it comes from. An older one, from an
// answer that was overtaken, is never installed.
func (c *configuration) install(item *durable.Item, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if item.Revision <= c.newest.Revision {
		return
	}
	c.newest = *item
	config, err := c.decode(item.Value)
	if c.unreadable = err != nil; c.unreadable {
		c.log.Warn("config_unreadable", err, eventlog.Fields{"revision": item.Revision, "source": source})
		return
	}
	if current := c.inForce.Load(); current != nil && config.Version <= current.Version {
		return
	}
	c.inForce.Store(config)
	c.log.Event("config_installed", eventlog.Fields{"version": config.Version, "revision": item.Revision, "queues": len(config.Queues), "source": source})
}

// recordStoreRead notes that the store held nothing newer at a time.
func (c *configuration) recordStoreRead(at time.Duration) {
	c.mu.Lock()
	c.readAt = max(c.readAt, at)
	c.mu.Unlock()
	c.recordConfirmation(at)
}

// recordConfirmation notes that there was nothing newer at a time.
func (c *configuration) recordConfirmation(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at <= c.confirmedAt || c.newest.Revision == 0 {
		return
	}
	c.confirmedAt = at
	close(c.confirmationChanged)
	c.confirmationChanged = make(chan struct{})
}

// confirmedAge is how long ago the newest item was known to be that.
func (c *configuration) confirmedAge() (ago time.Duration, ever bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return steady.Now() - c.confirmedAt, c.confirmedAt > 0
}

// inForceConfirmedAge is how long ago what is in force was known to be the newest; ever is
// false while the newest item can't be read.
func (c *configuration) inForceConfirmedAge() (ago time.Duration, ever bool) {
	ago, ever = c.confirmedAge()
	return ago, ever && c.unreadableRevision() == 0
}

// sinceRead is for how long the store has not told this process which item is the newest.
func (c *configuration) sinceRead() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return steady.Now() - c.readAt
}

// latest is the newest item.
func (c *configuration) latest() durable.Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// confirmedSince reports whether the newest item was known to be that at a time or later,
// and, where not, what is closed when that may have changed.
func (c *configuration) confirmedSince(at time.Duration) (ok bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt > 0 && c.confirmedAt >= at, c.confirmationChanged
}

// unreadableRevision is that of the newest item where it can't be read, else 0.
func (c *configuration) unreadableRevision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreadable {
		return c.newest.Revision
	}
	return 0
}
