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

// configuration holds the operator's configuration as received from the store or from peers.
type configuration struct {
	decode func([]byte) (*batch.Config, error)
	log    *eventlog.Log

	inForce atomic.Pointer[batch.Config]

	mu sync.Mutex
	// newest is the newest item received, decodable or not.
	newest     durable.Item
	unreadable bool
	// confirmedAt is the last time newest was confirmed to be the newest item there is, readAt
	// the last time the store itself confirmed it; both on the monotonic clock, 0 for never.
	confirmedAt, readAt time.Duration
	// confirmationChanged is closed and replaced when confirmedAt advances.
	confirmationChanged chan struct{}
}

func newConfiguration(decode func([]byte) (*batch.Config, error), log *eventlog.Log) *configuration {
	return &configuration{decode: decode, log: log, confirmationChanged: make(chan struct{})}
}

// install stores a newer item and puts it in force if it can be decoded; source is logged. An
// older item, from a response that was overtaken, is never installed.
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

// recordStoreRead records that the store held nothing newer at the given time.
func (c *configuration) recordStoreRead(at time.Duration) {
	c.mu.Lock()
	c.readAt = max(c.readAt, at)
	c.mu.Unlock()
	c.recordConfirmation(at)
}

// recordConfirmation records that there was nothing newer at the given time.
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

// confirmedAge returns the time since newest was confirmed to be the newest item; ok is false
// if it never was.
func (c *configuration) confirmedAge() (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return steady.Now() - c.confirmedAt, c.confirmedAt > 0
}

// inForceConfirmedAge returns the time since the configuration in force was confirmed to be the
// newest; ok is false also while the newest item can't be decoded.
func (c *configuration) inForceConfirmedAge() (age time.Duration, ok bool) {
	age, ok = c.confirmedAge()
	return age, ok && c.unreadableRevision() == 0
}

// sinceRead returns the time since the store last confirmed which item is the newest.
func (c *configuration) sinceRead() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return steady.Now() - c.readAt
}

// latest returns the newest item received, decodable or not.
func (c *configuration) latest() durable.Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// confirmedSince reports whether newest was confirmed to be the newest item at the given time
// or later. If not, changed is closed at the next confirmation.
func (c *configuration) confirmedSince(at time.Duration) (ok bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt > 0 && c.confirmedAt >= at, c.confirmationChanged
}

// unreadableRevision returns the revision of the newest item if it can't be decoded, else 0.
func (c *configuration) unreadableRevision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreadable {
		return c.newest.Revision
	}
	return 0
}
