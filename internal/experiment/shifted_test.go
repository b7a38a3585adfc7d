package experiment

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// shiftedScenario returns shifted-350 on a tenth of its fleet, with an evacuated zone and a burst,
// until shortly after the load.
func shiftedScenario(t *testing.T) Scenario { return reducedScenario(t, "shifted-350", 10) }

// More work arrives than the fleet can do without the evacuated zone. Objectives computed from the
// declared mean durations count jobs as late while they can still be in time, and the work that was
// put into them is lost: the longest task of a step decides, and is learned.
func TestLearnedDurationsKeepJobsInTimeUnderOverload(t *testing.T) {
	s := shiftedScenario(t)
	declared, err := ParseVariant("declared durations", []byte(`{"learn_durations": false}`))
	require.NoError(t, err)
	variants, err := Choose(nil)
	require.NoError(t, err)
	r, err := Compare(context.Background(), &s, Options{Variants: append(variants, declared), Seeds: 8, First: 1, Workers: 4})
	require.NoError(t, err)
	learned, byDeclared := &r.Variants[0].Means, &r.Variants[1].Means
	t.Logf("service %.3f, by declared durations %.3f; fillers %.3f and %.3f, the largest tenth %.3f and %.3f, short %.3f and %.3f",
		learned.Service, byDeclared.Service, learned.Kinds["fillers"], byDeclared.Kinds["fillers"], learned.Largest, byDeclared.Largest, learned.Kinds["short"], byDeclared.Kinds["short"])
	require.Greater(t, learned.Kinds["fillers"], byDeclared.Kinds["fillers"]+0.01)
	require.Greater(t, learned.Service, byDeclared.Service)
}

// An evacuated zone gets no starts, and the work that runs there is not lost.
func TestEvacuationCostsOnlyTheCapacityOfTheZone(t *testing.T) {
	s := shiftedScenario(t)
	open := s
	open.Faults = nil
	for seed := range uint64(2) {
		evacuated, without := play(t, &s, Variants()[0], seed), play(t, &open, Variants()[0], seed)
		t.Logf("service %.3f, without the evacuation %.3f; wasted %.0f s and %.0f s; kinds %v", evacuated.Service, without.Service, evacuated.WastedS, without.WastedS, evacuated.Kinds)
		require.Less(t, evacuated.Service, without.Service)
		// A third of the fleet is closed for 20 of the 34 s.
		require.Greater(t, evacuated.Service, (1-20./34./3)*without.Service)
		require.InDelta(t, without.Kinds["serving"], evacuated.Kinds["serving"], 0.03)
	}
}
