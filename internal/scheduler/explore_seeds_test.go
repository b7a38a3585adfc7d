package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// knownSeeds broke a rule once.
var knownSeeds = []struct {
	// guards names the failure.
	guards string
	mix    string
	seeds  []uint64
}{
	{"a job is given up for crashes, and no task of it has ended a VM", "restarts,alone,revoked", []uint64{1923, 3437}},
	{"a job is given up for crashes, and no task of it has ended a VM", "restarts,alone,list,revoked,asks", []uint64{801}},
	{"the VM's end is blamed on the last that began there, and a start without an answer came later", "crashes,alone,revoked", []uint64{2519}},
	{"runs that never began count as crashes", "restarts,crashes", []uint64{1346}},
}

// Guards against each failure that a seed of the explorer has shown.
func TestExploreKnownSeeds(t *testing.T) {
	for _, k := range knownSeeds {
		f, err := parseMix(k.mix)
		require.NoError(t, err)
		for _, seed := range k.seeds {
			t.Run(fmt.Sprintf("%s/%d", k.mix, seed), func(t *testing.T) {
				t.Parallel()
				if w := explore(seed, f, breaks{}, nil); w.broken != "" {
					t.Fatalf("%s: %s\n%s", k.guards, w.broken, replay(seed, f, breaks{}))
				}
			})
		}
	}
}
