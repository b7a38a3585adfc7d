package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// After the timeline, the trace lists both runs of a task that ran again although its
// first run was done.
func TestTraceListsBothRunsOfRepeatedTask(t *testing.T) {
	dir := t.TempDir()
	write := func(node, lines string) string {
		path := filepath.Join(dir, node+".log")
		require.NoError(t, os.WriteFile(path, []byte(lines), 0o600))
		return path
	}
	first := write("edge-2", `{"msg":"leader_elected","fence":706,"time":"2026-03-23T02:46:00.000Z"}
{"msg":"run_started","job":"j","task":"j.0.0.1","vm":"i-1","run":11844717423,"time":"2026-03-23T02:46:17.250Z"}
{"msg":"run_ended","job":"j","task":"j.0.0.1","vm":"i-1","run":11844717423,"reason":"done","time":"2026-03-23T02:46:19.273Z"}
`)
	second := write("edge-3", `{"msg":"leader_elected","fence":4246,"time":"2026-03-23T02:46:20.000Z"}
{"msg":"run_started","job":"j","task":"j.0.0.1","vm":"i-2","run":71236059276,"time":"2026-03-23T02:46:25.306Z"}
`)
	runTrace := func(args ...string) string {
		cmd := newTrace()
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetArgs(args)
		require.NoError(t, cmd.Execute())
		return out.String()
	}
	text := runTrace("j.0.0.1", first, second)
	require.Contains(t, text, "run_fence=706 run_leader=edge-2")
	require.Regexp(t, `(?m)^j\.0\.0\.1 +11844717423 +706 +edge-2 +i-1 +\+17\.250 s +\+19\.273 s edge-2 run_ended done$`, text)
	require.Regexp(t, `(?m)^j\.0\.0\.1 +71236059276 +4246 +edge-3 +i-2 +\+25\.306 s`, text)
	require.NotContains(t, runTrace("j.0.0.1", first), "more than once")
}
