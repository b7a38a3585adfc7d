package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// firstDifference returns the first line in which two traces differ.
func firstDifference(a, b []string) (int, string, string) {
	for i := range max(len(a), len(b)) {
		var x, y string
		if i < len(a) {
			x = a[i]
		}
		if i < len(b) {
			y = b[i]
		}
		if x != y {
			return i, x, y
		}
	}
	return -1, "", ""
}

// Guards against decisions that follow the order of a map: a seed that broke would pass
// when it is played again, and the other way round.
func TestExploreSeedIsOneRun(t *testing.T) {
	const seeds = 10
	for _, c := range exploreProfiles() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds * *exploreScale {
				var traces [2][]string
				for i := range traces {
					explore(seed, c.faults, mutations{}, func(line string) { traces[i] = append(traces[i], line) })
				}
				require.NotEmpty(t, traces[0])
				line, first, second := firstDifference(traces[0], traces[1])
				assert.Equal(t, -1, line, "seed %d, line %d:\n%s\n%s", seed, line, first, second)
			}
		})
	}
}
