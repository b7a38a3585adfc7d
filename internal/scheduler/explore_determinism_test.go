package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// firstDifference returns the index of the first line in which two traces differ, or -1, and both lines.
func firstDifference(a, b []string) (int, string, string) {
	for i := range max(len(a), len(b)) {
		var lineA, lineB string
		if i < len(a) {
			lineA = a[i]
		}
		if i < len(b) {
			lineB = b[i]
		}
		if lineA != lineB {
			return i, lineA, lineB
		}
	}
	return -1, "", ""
}

// Guards against decisions that depend on map iteration order: a failed seed would then pass when
// it is repeated, and the other way round.
func TestExploreIsDeterministic(t *testing.T) {
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
				index, first, second := firstDifference(traces[0], traces[1])
				assert.Equal(t, -1, index, "seed %d, line %d:\n%s\n%s", seed, index, first, second)
			}
		})
	}
}
