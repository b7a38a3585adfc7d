package trace

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const leaderLog = `   7.1 edge-1 {"msg":"leader_elected","fence":3,"level":"info","time":"2026-03-23T02:46:40.000Z"}
{"msg":"job_taken","job":"06ad","reason":"q","time":"2026-03-23T02:46:41.000Z"}
{"msg":"run_started","job":"06ad","task":"06ad.0.0.5","vm":"i-1","run":922210010639,"time":"2026-03-23T02:46:41.002Z"}
{"msg":"run_started","job":"06ad1","task":"06ad1.0.0.5","vm":"i-2","run":8,"time":"2026-03-23T02:46:41.003Z"}
not a line of ours
{"msg":"vm_suspected","vm":"i-1","reason":"failed runs","time":"2026-03-23T02:46:42.000Z"}
{"msg":"vm_suspected","vm":"i-2","reason":"failed runs","time":"2026-03-23T02:46:42.100Z"}
{"msg":"leader_deposed","fence":3,"time":"2026-03-23T02:46:43.000Z"}
{"msg":"run_ended","job":"06ad","task":"06ad.0.0.5","vm":"i-1","run":7,"reason":"done","time":"2026-03-23T02:46:44.000Z"}
{"msg":"vm_gone","vm":"i-1","time":"2026-03-23T02:46:49.000Z"}
`

const entryLog = `{"msg":"job_submitted","job":"06ad","outcome":"ok","time":"2026-03-23T02:46:40.990Z"}
`

// The timeline of a job has its lines from all processes in order and the lines about its VMs and
// the leader in between; nothing of other jobs, and nothing from before or after.
func TestTimelineOfAJob(t *testing.T) {
	lines, err := Read(strings.NewReader(leaderLog), "edge-1")
	require.NoError(t, err)
	more, err := Read(strings.NewReader(entryLog), "edge-2")
	require.NoError(t, err)
	var events []string
	for _, l := range Timeline(append(lines, more...), "06ad") {
		events = append(events, l.Node+" "+l.Event)
	}
	require.Equal(t, []string{
		"edge-2 job_submitted", "edge-1 job_taken", "edge-1 run_started", "edge-1 vm_suspected", "edge-1 leader_deposed", "edge-1 run_ended",
	}, events)
	require.Empty(t, Timeline(lines, "none"))
	require.Equal(t, "922210010639", fmt.Sprint(Timeline(lines, "06ad")[1].Fields["run"]))
	require.Len(t, Timeline(lines, "06ad.0.0.5"), 4)
}
