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

// The tables in docs/CAPACITY.md must be those of the committed measurement; they differ if the
// report or the measurement changes without the page.
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

// A fit of costs computed from known coefficients must find them, and predict the held-out size.
func TestFitFindsKnownCoefficients(t *testing.T) {
	sizes, heldOut := Sizes()
	known := Coefficients{100, 7, 3, 40}
	var samples []Sample
	for _, s := range sizes {
		samples = append(samples, Sample{Size: s, CPUPerNode: known.CostAt(s)})
	}
	fitted, rms := Fit(samples, func(s Sample) float64 { return s.CPUPerNode })
	require.InDelta(t, 0, rms, 1e-6)
	require.InDelta(t, known.CostAt(heldOut), fitted.CostAt(heldOut), 1e-6)
}

// A fit must not return negative coefficients, even if the least-squares solution has one.
func TestFitHasNoNegativeCoefficients(t *testing.T) {
	sizes, _ := Sizes()
	var samples []Sample
	for _, s := range sizes {
		samples = append(samples, Sample{Size: s, CPUPerNode: Coefficients{100, 7, 3, -4}.CostAt(s)})
	}
	fitted, _ := Fit(samples, func(s Sample) float64 { return s.CPUPerNode })
	for _, v := range fitted {
		require.GreaterOrEqual(t, v, 0.0)
	}
}
