package batch

import (
	"strings"
	"time"
)

// Config is one complete version of the operator's configuration.
type Config struct {
	Version int64
	Queues  []Queue
	Pools   map[string]Pool
	Limits  Limits
}

// Queue is where callers submit jobs.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a request; the longest matching prefix wins.
	Host   string
	Prefix string
	// Pool is the name of the pool whose VMs execute the queue's tasks.
	Pool string
	// Priority orders the queues; 0 is the highest.
	Priority int
	// Attempts is the maximum number of failed runs of a task.
	Attempts int
	// Stretch and Slack define a job's objective: Stretch times its critical path,
	// plus Slack.
	Stretch float64
	Slack   time.Duration
	// Advice is set when an adviser decides which VMs may run a step.
	Advice *Advice
}

// Advice describes the response time and the tickets of a queue's adviser.
type Advice struct {
	// A response takes Base plus PerVM for each VM.
	Base  time.Duration
	PerVM time.Duration
	// ValidFor is the lifetime of a ticket.
	ValidFor time.Duration
}

// Pool is a set of VMs that a queue's tasks may run on.
type Pool struct {
	Name string
	// GuardsCapacity is set when the VMs refuse runs that exceed their capacity.
	GuardsCapacity bool
	// Standby is set when the pool's VMs are off until they are moved to another pool.
	Standby bool
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Match returns the queue that serves path on host, and the part of path after the
// queue's prefix. It returns nil when no queue matches.
func (c *Config) Match(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Queue returns the queue with the given name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
