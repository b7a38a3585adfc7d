package experiment

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// unevenScenario returns uneven-350 on a fifth of its fleet, until shortly after the load.
func unevenScenario(t *testing.T) Scenario { return reducedScenario(t, "uneven-350", 5) }

// Short jobs with long tasks arrive while a sixth of the VMs are slow, and processors are scarce.
// Acting by the rate of a run alone stops long tasks on sound VMs and throws their work away.
func TestRemediesByGainWasteLessThanByRate(t *testing.T) {
	s := unevenScenario(t)
	variants, err := Choose([]string{"gain-and-speeds"})
	require.NoError(t, err)
	r, err := Compare(context.Background(), &s, Options{Variants: variants, Seeds: 8, First: 1, Workers: 4})
	require.NoError(t, err)
	rate, gain := &r.Variants[0].Means, &r.Variants[1].Means
	t.Logf("service %.3f, by rate %.3f; short %.3f and %.3f; wasted %.0f s and %.0f s; slow runs stopped %d and %d, copies %d and %d",
		gain.Service, rate.Service, gain.Kinds["short"], rate.Kinds["short"], gain.WastedS, rate.WastedS, gain.SlowStops, rate.SlowStops, gain.Copies, rate.Copies)
	require.Greater(t, gain.Kinds["short"], rate.Kinds["short"])
	require.Greater(t, gain.Service, rate.Service)
	require.Less(t, gain.WastedS, rate.WastedS)
}
