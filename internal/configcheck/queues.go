package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// AdviceTerms are the terms of the scheduler for requests to an adviser.
type AdviceTerms struct {
	// VMs is the largest number of VMs in one request.
	VMs int
	// Margin is subtracted from the validity of a ticket.
	Margin time.Duration
}

// CheckQueues finds the faults of a decoded configuration of queues. Paths use the product's
// terms: queues[2].pool; pools are given by name: pools[p].standby.
func CheckQueues(c *batch.Config, advice AdviceTerms) []Finding {
	q := newQueueCheck(c, advice)
	if c.Version < 1 {
		q.add(Error, "version", fmt.Sprintf("%d is no version", c.Version), "give a number above that of the version in force")
	}
	for i := range c.Queues {
		path := fmt.Sprintf("queues[%d]", i)
		q.identity(path, i)
		q.address(path, i)
		q.pool(path, &c.Queues[i])
		q.objective(path, &c.Queues[i])
		q.adviceTerms(path, &c.Queues[i])
	}
	q.pools()
	q.limits()
	return q.findings
}

type queueCheck struct {
	*batch.Config
	advice   AdviceTerms
	findings []Finding
	// byName and byAddress hold the index of the first queue of each name and address.
	byName    map[string]int
	byAddress map[queueAddress]int
}

type queueAddress struct{ host, prefix string }

func newQueueCheck(c *batch.Config, advice AdviceTerms) *queueCheck {
	q := &queueCheck{Config: c, advice: advice, byName: map[string]int{}, byAddress: map[queueAddress]int{}}
	for i, queue := range slices.Backward(c.Queues) {
		q.byName[queue.Name] = i
		q.byAddress[queueAddress{queue.Host, queue.Prefix}] = i
	}
	return q
}

func (c *queueCheck) add(s Severity, path, problem, mend string) {
	c.findings = append(c.findings, Finding{s, path, problem, mend})
}

// identity checks the queue's name. Jobs find their queue by name, so a second queue of a name
// has no jobs of its own.
func (c *queueCheck) identity(path string, i int) {
	name := c.Queues[i].Name
	if name == "" {
		c.add(Error, path+".name", "empty", "give each queue a name of its own")
		return
	}
	if first := c.byName[name]; first < i {
		c.add(Error, path+".name", fmt.Sprintf("%q is the name of entry %d too: the terms of the first apply to the jobs of both", name, first), "give each queue a name of its own")
	}
}

// jobIDDigits is the number of hexadecimal digits of a job's ID, which follows the prefix.
const jobIDDigits = 16

// address finds queues that no request can match.
func (c *queueCheck) address(path string, i int) {
	q := &c.Queues[i]
	switch {
	case q.Host == "":
		c.add(Error, path+".host", "empty: no request matches", "give the host that callers name")
	case strings.ContainsAny(q.Host, ":/ "):
		c.add(Error, path+".host", fmt.Sprintf("%q: requests are matched by host name without scheme and port", shorten(q.Host)), "give the host name alone")
	case strings.ToLower(q.Host) != q.Host:
		c.add(Warning, path+".host", fmt.Sprintf("%q: hosts are matched exactly, and callers usually send small letters", shorten(q.Host)), "use small letters")
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		c.add(Error, path+".prefix", fmt.Sprintf("%q: no path begins so", shorten(q.Prefix)), "start it with '/'")
	}
	if first := c.byAddress[queueAddress{q.Host, q.Prefix}]; first < i {
		c.add(Error, path+".prefix", fmt.Sprintf("host and prefix are those of entry %d (%q), which gets all requests", first, c.Queues[first].Name), "give each queue a host and prefix of its own")
	}
	c.overlap(path, q)
}

// overlap finds queues whose jobs the queue takes: its prefix is another's and the first digits of
// a job's ID.
func (c *queueCheck) overlap(path string, q *batch.Queue) {
	digits := len(q.Prefix) - len(strings.TrimRight(q.Prefix, "0123456789abcdefABCDEF"))
	for n := 1; n <= min(digits, jobIDDigits); n++ {
		shorter, rest := q.Prefix[:len(q.Prefix)-n], q.Prefix[len(q.Prefix)-n:]
		if other, ok := c.byAddress[queueAddress{q.Host, shorter}]; ok {
			c.add(Warning, path+".prefix", fmt.Sprintf("takes the jobs of entry %d (%q) whose IDs begin with %q", other, c.Queues[other].Name, rest), "end prefixes with '/'")
		}
	}
}

func (c *queueCheck) pool(path string, q *batch.Queue) {
	pool, ok := c.Pools[q.Pool]
	switch {
	case !ok:
		c.add(Error, path+".pool", fmt.Sprintf("there is no pool %q: no VM runs the queue's tasks", shorten(q.Pool)), "add the pool, or correct the name")
	case pool.Standby:
		c.add(Warning, path+".pool", fmt.Sprintf("the VMs of pool %q are off, on standby: no VM runs the queue's tasks", shorten(q.Pool)), "name a pool that runs, or clear standby")
	}
}

// objective checks the terms of a job: attempts, priority and the objective, which is Stretch
// times the critical path plus Slack.
func (c *queueCheck) objective(path string, q *batch.Queue) {
	if q.Attempts < 1 {
		c.add(Error, path+".attempts", fmt.Sprintf("%d: each task needs one attempt", q.Attempts), "give 1 or more")
	}
	if q.Priority < 0 {
		c.add(Error, path+".priority", fmt.Sprintf("%d: 0 is the highest priority", q.Priority), "give 0 or more")
	}
	if q.Slack < 0 {
		c.add(Error, path+".slack", fmt.Sprintf("%s is below 0", q.Slack), "give 0 or more")
		return
	}
	// No job starts faster than one answer of the adviser, if there is one.
	var startTime time.Duration
	if q.Advice != nil {
		startTime = max(q.Advice.Base, 0) + max(q.Advice.PerVM, 0)
	}
	switch {
	case q.Stretch <= 0:
		c.add(Error, path+".stretch", fmt.Sprintf("%g: the objective is not above 0 for any length of a job", q.Stretch), "give 1 or more")
	case q.Stretch <= 1 && q.Slack <= startTime:
		c.add(Error, path+".stretch", fmt.Sprintf("%g with %s of slack: no job can start in time to meet that", q.Stretch, q.Slack), "raise the stretch above 1, or the slack")
	case q.Stretch < 1:
		c.add(Warning, path+".stretch", fmt.Sprintf("%g is below 1: jobs with a critical path above %s can't meet their objective", q.Stretch, longestPath(q)), "give 1 or more")
	}
}

// longestPath returns the critical path above which an objective with a stretch below 1 is
// shorter than the path.
func longestPath(q *batch.Queue) time.Duration {
	const maxSeconds = 1e6
	return time.Duration(min(q.Slack.Seconds()/(1-q.Stretch), maxSeconds) * float64(time.Second)).Round(time.Millisecond)
}

// adviceTerms compares the validity of tickets with the time until the adviser has answered.
func (c *queueCheck) adviceTerms(path string, q *batch.Queue) {
	a := q.Advice
	if a == nil {
		return
	}
	path += ".advice"
	if a.Base < 0 || a.PerVM < 0 || a.ValidFor <= 0 {
		c.add(Error, path, "times below 0, or tickets that are never valid", "give the answer times as 0 or more, and a validity above 0")
		return
	}
	usable := a.ValidFor - c.advice.Margin
	usual := a.Base + time.Duration(c.advice.VMs)*a.PerVM
	switch {
	case usable <= a.Base+a.PerVM:
		c.add(Error, path+".valid", fmt.Sprintf("tickets of %s have run out when the adviser has answered, after %s for one VM and a margin of %s: no task starts", a.ValidFor, a.Base+a.PerVM, c.advice.Margin), "raise the validity")
	case usable <= usual:
		c.add(Warning, path+".valid", fmt.Sprintf("tickets of %s have run out when the adviser has answered for %d VMs, after %s and a margin of %s", a.ValidFor, c.advice.VMs, usual, c.advice.Margin), "raise the validity")
	}
}

// pools finds pools that no queue uses. A standby pool lends its VMs to other pools and needs no
// queue, but there must be a pool in use that its VMs can be moved to.
func (c *queueCheck) pools() {
	used := map[string]bool{}
	servesAny := false
	for i := range c.Queues {
		name := c.Queues[i].Pool
		used[name] = true
		pool, ok := c.Pools[name]
		servesAny = servesAny || ok && !pool.Standby
	}
	for _, name := range slices.Sorted(maps.Keys(c.Pools)) {
		path := fmt.Sprintf("pools[%s]", name)
		switch pool := c.Pools[name]; {
		case name == "":
			c.add(Error, path+".name", "empty", "give each pool a name of its own")
		case pool.Standby && !servesAny:
			c.add(Warning, path+".standby", "no queue uses a pool that runs: there is nothing that VMs could be moved to", "add a pool that runs, with a queue")
		case !pool.Standby && !used[name]:
			c.add(Warning, path, "no queue uses the pool", "remove it, or name it at a queue")
		}
	}
}

// minLargestJobBytes is the least size of a request for a job with the longest payload and the
// most steps, each {"count":1}, with commas.
const minLargestJobBytes = batch.MaxSpecBytes + batch.MaxSteps*len(`{"count":1},`)

func (c *queueCheck) limits() {
	l := c.Limits
	switch {
	case l.BodyBytes <= 0:
		c.add(Error, "limits.body", fmt.Sprintf("%d is no limit", l.BodyBytes), "give a number of bytes above 0")
	case l.BodyBytes < int64(minLargestJobBytes):
		c.add(Error, "limits.body", fmt.Sprintf("%d bytes: a job with a payload of %d bytes and %d steps is valid and needs %d", l.BodyBytes, batch.MaxSpecBytes, batch.MaxSteps, minLargestJobBytes), "raise the limit")
	}
	if l.HeaderBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		c.add(Error, "limits", "a size or time below 0", "give values above 0, or leave them out")
	}
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(Warning, "limits.header_timeout", fmt.Sprintf("%s is above the idle timeout of %s: a connection that is slow to send may stay longer than an idle one", l.HeaderTimeout, l.IdleTimeout), "give a header timeout below the idle timeout")
	}
}

// CheckVersion reports a version that is not newer than the one in force, which is never
// installed.
func CheckVersion(version, inForce int64) []Finding {
	if version > inForce {
		return nil
	}
	return []Finding{{Error, "version", fmt.Sprintf("%d is not newer than version %d in force: it is not installed", version, inForce), fmt.Sprintf("give a number above %d", inForce)}}
}
