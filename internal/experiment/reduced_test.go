package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// reducedScenario returns a built-in scenario with its fleet and load divided by divisor, until
// shortly after the load.
func reducedScenario(t *testing.T, name string, divisor int) Scenario {
	t.Helper()
	s, err := Find(name)
	require.NoError(t, err)
	s.Fleet.VMs /= divisor
	s.Serving.Jobs /= divisor
	s.Serving.PerS /= float64(divisor)
	s.Short.PerS /= float64(divisor)
	s.Fillers.PerS /= float64(divisor)
	s.AfterS = 12
	return s
}
