package experiment

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// racksScenario returns racks-350 on a tenth of its fleet, until shortly after the load.
func racksScenario(t *testing.T) Scenario { return reducedScenario(t, "racks-350", 10) }

// Guards against waits for places that serve callers no better than runs away at once, with data in
// racks and with groups.
func TestWaitsForPlacesServeMoreThanRunsAway(t *testing.T) {
	for name, prefer := range map[string]Preferences{"data": {Near: 0.4}, "groups": {SameRack: 0.4}} {
		s := racksScenario(t)
		s.Short.Racks, s.Fillers.Racks = prefer, prefer
		variants, err := Choose([]string{"no-locality"})
		require.NoError(t, err)
		r, err := Compare(context.Background(), &s, Options{Variants: variants, Seeds: 6, First: 1, Workers: 4})
		require.NoError(t, err)
		waits, atOnce := &r.Variants[0].Means, &r.Variants[1].Means
		t.Logf("%s: service %.3f with waits, %.3f at once; runs away %d and %d, waited %.0f s", name, waits.Service, atOnce.Service, waits.RunsAway, atOnce.RunsAway, waits.RackWaitS)
		require.Greater(t, waits.Service, atOnce.Service, name)
		require.Less(t, waits.RunsAway, atOnce.RunsAway, name)
		require.Zero(t, atOnce.RackWaitS, name)
	}
}

// Guards against racks that change the worlds of scenarios without any.
func TestScenariosWithoutRacksDrawNone(t *testing.T) {
	s := smallScenario(t)
	without := newWorld(&s, 3)
	s.Racks = Racks{FarFactor: 3, Hot: 0.5}
	require.Equal(t, without.jobs, newWorld(&s, 3).jobs)
	for _, j := range without.jobs {
		for i := range j.spec.Steps {
			require.Empty(t, j.spec.Steps[i].DataRack)
			require.False(t, j.spec.Steps[i].SameRack)
		}
	}
}
