package trace

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Logs of two leaders, between which a task ran twice. The first leader (token 706) starts the task
// on i-1. Then their zone is cut off: the first leader continues for a while without the store, and
// i-1 is removed from the list. The second leader (token 4246) does not reach i-1, declares it gone
// while a lease is still valid there, and starts the task on i-2.
const (
	firstLeaderLog = `{"msg":"leader_elected","fence":706,"time":"2026-03-23T02:46:00.000Z"}
{"msg":"leader_ready","fence":706,"jobs":4,"time":"2026-03-23T02:46:00.100Z"}
{"msg":"vm_heard","vm":"i-1","time":"2026-03-23T02:46:00.200Z"}
{"msg":"run_started","job":"522c","task":"522c.0.0.1","vm":"i-1","run":11844717423,"time":"2026-03-23T02:46:17.250Z"}
{"msg":"run_started","job":"522c","task":"522c.0.0.2","vm":"i-1","run":11844717424,"time":"2026-03-23T02:46:17.251Z"}
{"msg":"run_ended","job":"522c","task":"522c.0.0.2","vm":"i-1","run":11844717424,"reason":"failed","time":"2026-03-23T02:46:17.500Z"}
{"msg":"run_started","job":"522c","task":"522c.0.0.2","vm":"i-1","run":11844717425,"time":"2026-03-23T02:46:17.700Z"}
{"msg":"run_ended","job":"522c","task":"522c.0.0.2","vm":"i-1","run":11844717425,"reason":"done","time":"2026-03-23T02:46:17.900Z"}
{"msg":"leader_unconfirmed","fence":706,"confirmed_ago_ms":1180,"time":"2026-03-23T02:46:18.900Z"}
{"msg":"run_ended","job":"522c","task":"522c.0.0.1","vm":"i-1","run":11844717423,"reason":"done","time":"2026-03-23T02:46:19.273Z"}
{"msg":"leader_ended","fence":706,"leased_vms":16,"longest_lease_ms":7900,"time":"2026-03-23T02:46:24.000Z"}
`
	secondLeaderLog = `{"msg":"leader_elected","fence":4246,"time":"2026-03-23T02:46:20.000Z"}
{"msg":"leader_ready","fence":4246,"jobs":4,"time":"2026-03-23T02:46:20.100Z"}
{"msg":"vm_unanswered","vm":"i-1","unheard_ms":700,"lease_left_ms":0,"error":"timed out","time":"2026-03-23T02:46:20.900Z"}
{"msg":"vm_unlisted","vm":"i-1","time":"2026-03-23T02:46:21.300Z"}
{"msg":"vm_unlisted","vm":"i-9","time":"2026-03-23T02:46:21.300Z"}
{"msg":"vm_gone","vm":"i-1","reason":"off the list and unheard","time":"2026-03-23T02:46:25.300Z"}
{"msg":"run_started","job":"522c","task":"522c.0.0.1","vm":"i-2","run":71236059276,"time":"2026-03-23T02:46:25.306Z"}
{"msg":"run_ended","job":"522c","task":"522c.0.0.1","vm":"i-2","run":71236059276,"reason":"done","time":"2026-03-23T02:46:27.329Z"}
`
)

func readLeaderLogs(t *testing.T) []Line {
	t.Helper()
	lines, err := Read(strings.NewReader(firstLeaderLog), "edge-2")
	require.NoError(t, err)
	more, err := Read(strings.NewReader(secondLeaderLog), "edge-3")
	require.NoError(t, err)
	return append(lines, more...)
}

// The timeline of the task has both runs with their leaders, from the election of the first leader
// on, and between the runs the second leader's view of the first run's VM.
func TestTimelineOfATaskThatRanTwice(t *testing.T) {
	var events []string
	for _, l := range Timeline(readLeaderLogs(t), "522c.0.0.1") {
		events = append(events, strings.TrimSpace(fmt.Sprintf("%s %s %s", l.Node, l.Event, l.Leader)))
	}
	require.Equal(t, []string{
		"edge-2 leader_elected", "edge-2 leader_ready", "edge-2 run_started edge-2", "edge-2 leader_unconfirmed", "edge-2 run_ended edge-2",
		"edge-3 leader_elected", "edge-3 leader_ready", "edge-3 vm_unanswered", "edge-3 vm_unlisted", "edge-2 leader_ended", "edge-3 vm_gone",
		"edge-3 run_started edge-3", "edge-3 run_ended edge-3",
	}, events)
}

// The task that ran again although it was done is listed, with leader, token, VM and end of each
// run; a task that was retried after a failure is not.
func TestRunsOfATaskThatRanTwice(t *testing.T) {
	runs := RepeatedRuns(Timeline(readLeaderLogs(t), "522c"))
	at := func(text string) time.Time {
		v, err := time.Parse(time.RFC3339Nano, "2026-03-23T02:46:"+text+"Z")
		require.NoError(t, err)
		return v
	}
	require.Equal(t, []Run{
		{
			Task: "522c.0.0.1", Number: 11844717423, VM: "i-1", Fence: 706, Leader: "edge-2", Started: at("17.250"),
			Outcomes: []Outcome{{Time: at("19.273"), Node: "edge-2", Event: "run_ended", Reason: "done"}},
		},
		{
			Task: "522c.0.0.1", Number: 71236059276, VM: "i-2", Fence: 4246, Leader: "edge-3", Started: at("25.306"),
			Outcomes: []Outcome{{Time: at("27.329"), Node: "edge-3", Event: "run_ended", Reason: "done"}},
		},
	}, runs)
	require.Empty(t, RepeatedRuns(Timeline(readLeaderLogs(t), "522c.0.0.2")))
}

// A withheld end counts as an end. If the log of the first leader is missing, its start time and
// node are unknown, but the token still shows that there were two leaders.
func TestRunsOfATaskWhoseFirstEndWasWithheld(t *testing.T) {
	lines, err := Read(strings.NewReader(secondLeaderLog+
		`{"msg":"end_withheld","job":"522c","task":"522c.0.0.1","vm":"i-1","run":11844717423,"time":"2026-03-23T02:46:26.000Z"}
`), "edge-3")
	require.NoError(t, err)
	runs := RepeatedRuns(Timeline(lines, "522c.0.0.1"))
	require.Len(t, runs, 2)
	require.True(t, runs[0].Started.IsZero())
	require.Equal(t, int64(706), runs[0].Fence)
	require.Empty(t, runs[0].Leader)
	require.Equal(t, "edge-3", runs[1].Leader)
}

// The second run was started while the first one continued on a VM that was cut off and
// unresponsive; the first was stopped when its VM became reachable again. Neither run was done
// before, but both ran at once. A run whose lease had expired does not count, although its end is
// reported late as well.
func TestRunsOfATaskThatRanOnTwoVMsAtOnce(t *testing.T) {
	for reason, runs := range map[string]int{"stopped": 2, "lapsed": 0} {
		lines, err := Read(strings.NewReader(
			`{"msg":"run_started","job":"j","task":"j.0.0.4","vm":"i-1","run":33554446,"time":"2026-03-23T02:46:04.796Z"}
{"msg":"run_started","job":"j","task":"j.0.0.4","vm":"i-2","run":16039018965,"time":"2026-03-23T02:46:26.216Z"}
{"msg":"run_ended","job":"j","task":"j.0.0.4","vm":"i-1","run":33554446,"reason":"`+reason+`","time":"2026-03-23T02:46:30.554Z"}
`), "edge-1")
		require.NoError(t, err)
		require.Len(t, RepeatedRuns(Timeline(lines, "j")), runs, reason)
	}
}
