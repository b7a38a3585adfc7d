package leader

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A deployment started nothing any more while its leader kept the lead. The leader had
// recorded its tenure, the answer of that write was lost, and the rebuild began anew:
// it read its own tenure among those before it, asked itself how long its leases may
// last, and took no further ones, as it does for a successor. Its log showed
// predecessor_answered of its own node and its own fence, 0.3 s after leader_ready;
// 30 s later 90 jobs were still queued or running.
func TestLeaderIsNotItsOwnPredecessor(t *testing.T) {
	before := PastTenure{Fence: 7, Node: "b", Address: "b:1"}
	te := newReportedTerm(map[string]string{
		tenuresKey: `[{"fence":9,"node":"a","address":"a:1"},{"fence":9,"node":"a","address":"a:1"},` +
			`{"fence":7,"node":"b","address":"b:1"},{"fence":7,"node":"b","address":"b:1"}]`,
	})
	te.tenure = &Tenure{Fence: 9, cancel: func() {}}
	past, complete, err := te.readPastTenures(t.Context())
	require.NoError(t, err)
	require.True(t, complete)
	require.Equal(t, []PastTenure{before}, past)
}
