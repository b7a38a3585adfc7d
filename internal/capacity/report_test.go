package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	tablesBegin = "<!-- tables: rattanwall capacity report -->\n"
	tablesEnd   = "<!-- end of tables -->"
)

// The page's tables are those that the committed measurement gives.
func TestPageShowsTheMeasurement(t *testing.T) {
	m, err := Read("../../docs/capacity/measured.json")
	require.NoError(t, err)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(page), tablesBegin)
	require.True(t, found)
	tables, _, found := strings.Cut(rest, tablesEnd)
	require.True(t, found)
	require.Equal(t, Report(m), tables, "run: rattanwall capacity report")
}

// A cost that is the sum of known parts is found again.
func TestFitFindsKnownSlopes(t *testing.T) {
	sizes, held := Sizes()
	known := Coefficients{100, 7, 3, 40}
	var samples []Sample
	for _, s := range sizes {
		samples = append(samples, Sample{Size: s, CPUPerNode: known.CostAt(s)})
	}
	slope, rms := Fit(samples, func(s Sample) float64 { return s.CPUPerNode })
	require.InDelta(t, 0, rms, 1e-6)
	require.InDelta(t, known.CostAt(held), slope.CostAt(held), 1e-6)
}

// A part that would come out negative is left out rather than believed.
func TestFitHasNoNegativeParts(t *testing.T) {
	sizes, _ := Sizes()
	var samples []Sample
	for _, s := range sizes {
		samples = append(samples, Sample{Size: s, CPUPerNode: Coefficients{100, 7, 3, -4}.CostAt(s)})
	}
	slope, _ := Fit(samples, func(s Sample) float64 { return s.CPUPerNode })
	for _, v := range slope {
		require.GreaterOrEqual(t, v, 0.0)
	}
}
