package batch

import (
	"strings"
	"time"
)

// Config is one version of the operator's configuration, whole.
type Config struct {
	Version int64
	Queues  []Queue
	Pools   map[string]Pool
	Limits  Limits
}

// Queue is where callers submit jobs.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a request: the longest prefix wins.
	Host   string
	Prefix string
	// Pool names the VMs that execute the queue's tasks.
	Pool string
	// Priority orders the queues; 0 comes first.
	Priority int
	// Attempts is how many runs of a task may fail.
	Attempts int
	// Stretch and Slack give a job's objective: Stretch times its longest chain
	// of work, and Slack more.
	Stretch float64
	Slack   time.Duration
	// Advice is set when only the adviser knows which VMs may run a step.
	Advice *Advice
}

// Advice is how the adviser of a queue answers.
type Advice struct {
	// Base and PerVM make up the time of an answer.
	Base  time.Duration
	PerVM time.Duration
	// ValidFor is how long a ticket lasts.
	ValidFor time.Duration
}

// Pool is a set of VMs that a queue's tasks may run on.
type Pool struct {
	Name string
	// GuardsCapacity is set when the VMs refuse what does not fit.
	GuardsCapacity bool
	// Standby VMs are off until they are moved to another pool.
	Standby bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Match returns the queue that a request for path on host goes to, and what of
// the path follows the prefix. It returns nil when there is none.
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

// Queue returns the queue of that name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
