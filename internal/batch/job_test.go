package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against job objectives that ignore dependencies between steps.
func TestCriticalPathFollowsDependencies(t *testing.T) {
	j := Job{Steps: []Step{
		{Tasks: 1, Estimate: 2 * time.Second},
		{Tasks: 1, Estimate: time.Second},
		{Tasks: 3, Estimate: 3 * time.Second, After: []int{1}},
		{Tasks: 1, Estimate: time.Second, After: []int{0, 2}},
	}}
	require.NoError(t, j.Validate())
	require.Equal(t, 5*time.Second, j.CriticalPath())
}

// Guards against rejecting jobs with long tasks: their durations, in nanoseconds, were
// compared with the bound on amounts.
func TestLongTasksAreAccepted(t *testing.T) {
	j := Job{Steps: []Step{{Tasks: 1, Estimate: 6 * time.Hour}}}
	require.NoError(t, j.Validate())
	j.Steps[0].Estimate = 60 * 24 * time.Hour
	require.ErrorContains(t, j.Validate(), "steps[0]: times go from 0 to")
}

// Guards against requests that reach a queue of a shorter prefix or of another host.
func TestLongestPrefixSelectsQueue(t *testing.T) {
	c := Config{Queues: []Queue{{Name: "all", Host: "h", Prefix: "/"}, {Name: "work", Host: "h", Prefix: "/work/"}}}
	q, rest := c.Match("h", "/work/x")
	require.Equal(t, "work", q.Name)
	require.Equal(t, "x", rest)
	q, _ = c.Match("h", "/other")
	require.Equal(t, "all", q.Name)
	q, _ = c.Match("other", "/work/x")
	require.Nil(t, q)
}
