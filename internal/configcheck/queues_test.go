package configcheck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

var adviceTerms = AdviceTerms{VMs: 30, Margin: 300 * time.Millisecond}

func validQueues() *batch.Config {
	return &batch.Config{
		Version: 7,
		Queues: []batch.Queue{
			{Name: "q1", Host: "h.example", Prefix: "/one/", Pool: "p", Attempts: 3, Stretch: 1.5, Slack: 300 * time.Millisecond},
			{
				Name: "q2", Host: "h.example", Prefix: "/two/", Pool: "p", Attempts: 1, Stretch: 1, Slack: time.Second, Priority: 2,
				Advice: &batch.Advice{Base: 20 * time.Millisecond, PerVM: 5 * time.Millisecond, ValidFor: 2 * time.Second},
			},
		},
		Pools: map[string]batch.Pool{"p": {Name: "p", GuardsCapacity: true}, "spare": {Name: "spare", Standby: true}},
		Limits: batch.Limits{
			HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
		},
	}
}

func TestValidQueuesHaveNoFindings(t *testing.T) {
	require.Empty(t, CheckQueues(validQueues(), adviceTerms))
}

// Guards against faults of queues, pools and limits that the check overlooks, or reports at
// another field.
func TestFindingsOfQueues(t *testing.T) {
	for _, c := range []struct {
		change   func(*batch.Config)
		severity Severity
		path     string
		problem  string
	}{
		{func(c *batch.Config) { c.Version = 0 }, Error, "version", "no version"},
		{func(c *batch.Config) { c.Queues[0].Name = "" }, Error, "queues[0].name", "empty"},
		{func(c *batch.Config) { c.Queues[1].Name = "q1" }, Error, "queues[1].name", "entry 0 too"},
		{func(c *batch.Config) { c.Queues[0].Host = "" }, Error, "queues[0].host", "no request matches"},
		{func(c *batch.Config) { c.Queues[0].Host = "h.example:80" }, Error, "queues[0].host", "without scheme and port"},
		{func(c *batch.Config) { c.Queues[0].Host = "H.example" }, Warning, "queues[0].host", "matched exactly"},
		{func(c *batch.Config) { c.Queues[0].Prefix = "one/" }, Error, "queues[0].prefix", "no path begins so"},
		{func(c *batch.Config) { c.Queues[0].Prefix = "" }, Error, "queues[0].prefix", "no path begins so"},
		{func(c *batch.Config) { c.Queues[1].Prefix = "/one/" }, Error, "queues[1].prefix", "gets all requests"},
		{func(c *batch.Config) { c.Queues[1].Prefix = "/one/a0" }, Warning, "queues[1].prefix", `whose IDs begin with "a0"`},
		{func(c *batch.Config) { c.Queues[0].Pool = "x" }, Error, "queues[0].pool", `no pool "x"`},
		{func(c *batch.Config) { c.Queues[0].Pool = "spare" }, Warning, "queues[0].pool", "on standby"},
		{func(c *batch.Config) { c.Queues[0].Attempts = 0 }, Error, "queues[0].attempts", "one attempt"},
		{func(c *batch.Config) { c.Queues[0].Priority = -1 }, Error, "queues[0].priority", "highest"},
		{func(c *batch.Config) { c.Queues[0].Slack = -1 }, Error, "queues[0].slack", "below 0"},
		{func(c *batch.Config) { c.Queues[0].Stretch = 0 }, Error, "queues[0].stretch", "not above 0"},
		{func(c *batch.Config) { c.Queues[0].Stretch, c.Queues[0].Slack = 1, 0 }, Error, "queues[0].stretch", "no job can start in time"},
		{func(c *batch.Config) { c.Queues[1].Slack = 25 * time.Millisecond }, Error, "queues[1].stretch", "no job can start in time"},
		{func(c *batch.Config) { c.Queues[0].Stretch = 0.5 }, Warning, "queues[0].stretch", "above 600ms"},
		{func(c *batch.Config) { c.Queues[1].Advice.Base = -1 }, Error, "queues[1].advice", "below 0"},
		{func(c *batch.Config) { c.Queues[1].Advice.ValidFor = 0 }, Error, "queues[1].advice", "never valid"},
		{func(c *batch.Config) { c.Queues[1].Advice.ValidFor = 325 * time.Millisecond }, Error, "queues[1].advice.valid", "no task starts"},
		{func(c *batch.Config) { c.Queues[1].Advice.ValidFor = 470 * time.Millisecond }, Warning, "queues[1].advice.valid", "for 30 VMs"},
		{func(c *batch.Config) { c.Pools["idle"] = batch.Pool{Name: "idle"} }, Warning, "pools[idle]", "no queue uses"},
		{func(c *batch.Config) { c.Pools[""] = batch.Pool{} }, Error, "pools[].name", "empty"},
		{func(c *batch.Config) { c.Pools["p"] = batch.Pool{Name: "p", Standby: true} }, Warning, "pools[spare].standby", "nothing that VMs could be moved to"},
		{func(c *batch.Config) { c.Queues = nil }, Warning, "pools[p]", "no queue uses"},
		{func(c *batch.Config) { c.Limits.BodyBytes = 0 }, Error, "limits.body", "no limit"},
		{func(c *batch.Config) { c.Limits.BodyBytes = batch.MaxSpecBytes }, Error, "limits.body", "is valid and needs"},
		{func(c *batch.Config) { c.Limits.HeaderBytes = -1 }, Error, "limits", "below 0"},
		{func(c *batch.Config) { c.Limits.HeaderTimeout = 16 * time.Second }, Warning, "limits.header_timeout", "above the idle timeout"},
	} {
		config := validQueues()
		c.change(config)
		findings := CheckQueues(config, adviceTerms)
		require.True(t, has(findings, c.severity, c.path, c.problem), "%s: %v", c.path, findings)
		requireComplete(t, findings)
	}
}

// Guards against a warning about prefixes that share no job.
func TestNestedPrefixesWithoutSharedJobsAreNoFindings(t *testing.T) {
	for _, prefix := range []string{"/one/x/", "/one/aa/", "/on", "/one/0123456789abcdef0"} {
		c := validQueues()
		c.Queues[1].Prefix = prefix
		require.Empty(t, CheckQueues(c, adviceTerms), prefix)
	}
	c := validQueues()
	c.Queues[1].Host, c.Queues[1].Prefix = "other.example", c.Queues[0].Prefix
	require.Empty(t, CheckQueues(c, adviceTerms))
}

// Guards against a finding about a shadowed queue that in truth is matched, or the reverse.
func TestShadowedQueuesAreNeverMatched(t *testing.T) {
	c := validQueues()
	c.Queues[1].Prefix = c.Queues[0].Prefix
	q, _ := c.Match("h.example", "/one/0123456789abcdef")
	require.Equal(t, "q1", q.Name)
}

// Guards against a version that is sent and never installed.
func TestVersionsMustRise(t *testing.T) {
	require.Empty(t, CheckVersion(8, 7))
	for _, v := range []int64{7, 6} {
		require.True(t, has(CheckVersion(v, 7), Error, "version", "not newer"))
	}
}
