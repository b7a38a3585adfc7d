package edge

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

// The operations page must document every scheduler event and every metric.
func TestOperationsPageIsComplete(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for _, event := range scheduler.Events {
		require.Contains(t, string(page), "| `"+event+"` |")
	}
	m := newMetrics(func() (leader.Stats, bool) { return leader.Stats{}, true })
	evacuations := newTestEvacuations()
	evacuations.applyItems([]durable.Item{zoneItem("a", 1)}, 1, true)
	m.registry.MustRegister(newConfigMetrics(newConfiguration(nil, nil)), newEvacuationMetrics(evacuations), newAdmissionMetrics(newTestForecasts()))
	m.recordRequest("job_submitted", 0, nil)
	m.recordDecision(scheduler.Decision{Event: scheduler.EventRunStarted})
	m.recordDecision(scheduler.Decision{Event: scheduler.EventRunLost})
	m.recordDecision(scheduler.Decision{Event: scheduler.EventCopyEnded, Reason: scheduler.ReasonSlow, Outcome: scheduler.CopyWon})
	m.recordDecision(scheduler.Decision{Event: scheduler.EventPlaceWaitEnded})
	m.recordEnd(scheduler.EndOpen)
	families, err := m.registry.Gather()
	require.NoError(t, err)
	for _, f := range families {
		if strings.HasPrefix(f.GetName(), "rattanwall_") {
			require.Contains(t, string(page), "`"+f.GetName(), f.GetName())
		}
	}
}
