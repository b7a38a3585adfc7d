package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a saturated leader with thousands of VMs: if each hold waited only 0.6 s,
// holds would take up its processor, the list of VMs would be read too late, and draining VMs
// would get new tasks.
func TestHoldsStayBelowAThousandASecond(t *testing.T) {
	for _, vms := range []int{1, 48, 350, 600, 750, 1000} {
		wait := holdWait(vms)
		require.GreaterOrEqual(t, wait, minHoldWait)
		require.LessOrEqual(t, float64(vms)/wait.Seconds(), 1000.0)
	}
	// For larger fleets the leases and the suspect timeout bound the wait.
	require.Equal(t, time.Second, holdWait(3000))
}
