package experiment

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/scheduler"
)

// Bursts of jobs that declare durations off by a factor of two and a half either way. Guards against
// an order of jobs that follows such declarations: jobs that only declare little go first, and
// others count as late while they can still be in time.
func TestNoisyDeclarationsDoNotDecideTheOrderUnderOverload(t *testing.T) {
	s := reducedScenario(t, "noisy-350", 10)
	variant := func(way scheduler.DurationEstimates) Variant {
		p := scheduler.DefaultPolicy()
		p.DurationEstimates = way
		return Variant{Name: string(way), Policy: p}
	}
	variants := []Variant{variant(scheduler.EstimateRatio), variant(scheduler.EstimateRegression)}
	r, err := Compare(context.Background(), &s, Options{Variants: variants, Seeds: 12, First: 1, Workers: 4})
	require.NoError(t, err)
	ratio, regression := &r.Variants[0].Means, &r.Variants[1].Means
	t.Logf("service %.3f, by the ratio %.3f; fillers %.3f and %.3f, the largest tenth %.3f and %.3f, short %.3f and %.3f",
		regression.Service, ratio.Service, regression.Kinds["fillers"], ratio.Kinds["fillers"], regression.Largest, ratio.Largest, regression.Kinds["short"], ratio.Kinds["short"])
	require.Greater(t, regression.Kinds["fillers"], ratio.Kinds["fillers"])
	require.Greater(t, regression.Service, ratio.Service)
}
