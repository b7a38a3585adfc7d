package leader

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a leader that takes itself for its predecessor and starts nothing. It records
// its tenure, the response is lost, and the repeated rebuild reads its own tenure among the
// earlier ones; asking itself about its leases closes the tenure. The log showed
// predecessor_answered of its own node and fence 0.3 s after leader_ready; 30 s later 90 jobs
// were still queued or running.
func TestLeaderIsNotItsOwnPredecessor(t *testing.T) {
	predecessor := PastTenure{Fence: 7, Node: "b", Address: "b:1"}
	te := newReportedTerm(map[string]string{
		tenuresKey: `[{"fence":9,"node":"a","address":"a:1"},{"fence":9,"node":"a","address":"a:1"},` +
			`{"fence":7,"node":"b","address":"b:1"},{"fence":7,"node":"b","address":"b:1"}]`,
	})
	te.tenure = &Tenure{Fence: 9, cancel: func() {}}
	past, complete, err := te.readPastTenures(t.Context())
	require.NoError(t, err)
	require.True(t, complete)
	require.Equal(t, []PastTenure{predecessor}, past)
}
