package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"

	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/graceful"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/ports"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

// logBuffer collects log output and counts events in it.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), event)
}

func newMetricsEdge(t *testing.T, address string) (*Edge, *logBuffer) {
	t.Helper()
	buffer := &logBuffer{}
	e := &Edge{settings: Settings{Metrics: address}, metrics: newMetrics((&leader.Leader{}).Stats), log: eventlog.New(buffer, logrus.InfoLevel)}
	return e, buffer
}

// The metrics listener serves the metrics and nothing else.
func TestMetricsAreServedOnTheirPort(t *testing.T) {
	block, err := ports.Claim()
	require.NoError(t, err)
	defer block.Release()
	address := block.Address(0)
	e, _ := newMetricsEdge(t, address)
	require.True(t, e.hasMetricsListener())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.metricsService().Serve(ctx) }()
	var body string
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		raw, err := io.ReadAll(resp.Body)
		body = string(raw)
		return err == nil && resp.StatusCode == http.StatusOK
	}, 5*time.Second, 10*time.Millisecond)
	require.Contains(t, body, "go_goroutines")
	resp, err := http.Get("http://" + address + "/dump")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}

// The fixed port may be taken on any machine. If another process has it, one line is logged and
// the service is not restarted, so that the process keeps running. If the process itself needs
// it for callers, metrics are not served on it.
func TestMetricsAreNotServedWhereTheirPortIsTaken(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	e, log := newMetricsEdge(t, taken.Addr().String())
	require.ErrorIs(t, e.metricsService().Serve(t.Context()), suture.ErrDoNotRestart)
	require.Eventually(t, func() bool { return log.count("metrics_not_served") == 1 }, 5*time.Second, 10*time.Millisecond)

	e.servers = []*graceful.Server{newServer(taken.Addr().String(), nil)}
	require.False(t, e.hasMetricsListener())
	e.settings.Metrics = ""
	require.False(t, e.hasMetricsListener())
}

// The port that the deploy file gives to scrapers must be the one passed to the process.
func TestDeployFileNamesTheMetricsPort(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/system.toml")
	require.NoError(t, err)
	flagPort := regexp.MustCompile(`(?m)^run = ".* --metrics-port ([0-9]+)"$`).FindSubmatch(raw)
	scrapePort := regexp.MustCompile(`(?m)^metrics = "([0-9]+)/metrics"$`).FindSubmatch(raw)
	require.NotNil(t, flagPort)
	require.NotNil(t, scrapePort)
	require.Equal(t, string(flagPort[1]), string(scrapePort[1]))
}

// scrape returns the lines that start with rattanwall_leader_.
func scrape(t *testing.T, m *metrics) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	m.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	require.Equal(t, http.StatusOK, recorder.Code)
	var leaderLines []string
	for line := range strings.Lines(recorder.Body.String()) {
		if strings.HasPrefix(line, "rattanwall_leader_") {
			leaderLines = append(leaderLines, line)
		}
	}
	return strings.Join(leaderLines, "")
}

// A leader that is cut off may have a different view of the VMs than another leader. The
// metrics show its view and its fencing token.
func TestMetricsOfALeader(t *testing.T) {
	leading := true
	m := newMetrics(func() (leader.Stats, bool) {
		return leader.Stats{
			Stats: scheduler.Stats{
				Fence: 706, VMs: 48, Unlisted: 16, Unreported: 1, Unresponsive: 3, Leased: 47, LeasedUnresponsive: 2, LongestLease: 7500 * time.Millisecond, Awaited: 4, Withheld: 2, Runs: 243,
			},
			UnackedEnds: 9, OldestUnacked: 1500 * time.Millisecond,
		}, leading
	})
	m.recordDecision(scheduler.Decision{Event: scheduler.EventRunLost, Reason: "lease over"})
	m.recordDecision(scheduler.Decision{Event: scheduler.EventVMGone, Reason: "another instance answers"})
	m.recordDecision(scheduler.Decision{Event: scheduler.EventVMGone, Reason: "a reason of tomorrow"})
	m.recordEnd(scheduler.EndAfterDone)
	m.recordEnd(scheduler.EndUnknownJob)
	text := scrape(t, m)
	require.NotContains(t, text, "go_memstats")
	for _, line := range []string{
		`leads 1`, `confirmed 0`, `fence 706`, `runs 243`, `longest_lease_seconds 7.5`, `unacknowledged_ends 9`, `unacknowledged_end_age_seconds 1.5`,
		`vms{state="known"} 48`, `vms{state="unlisted"} 16`, `vms{state="unheard"} 1`, `vms{state="silent"} 3`, `vms{state="leased"} 47`,
		`vms{state="leased_silent"} 2`, `vms{state="waited_for"} 4`, `vms{state="withheld"} 2`, `given_up_total{reason="lease over",what="run"} 1`,
		`given_up_total{reason="another instance answers",what="vm"} 1`, `given_up_total{reason="other",what="vm"} 1`,
		`ends_total{standing="task_done"} 1`, `ends_total{standing="unknown_job"} 1`,
	} {
		require.Contains(t, text, "rattanwall_leader_"+line+"\n")
	}
	leading = false
	text = scrape(t, m)
	require.Contains(t, text, "rattanwall_leader_leads 0\n")
	require.NotContains(t, text, "rattanwall_leader_fence")
	require.NotContains(t, text, "rattanwall_leader_vms")
}
