package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: with thousands of VMs the list of them is read too late, and VMs that
// leave get new tasks. Cause: holds, each 0.6 s, took the leader's processor.
func TestHoldsStayBelowAThousandASecond(t *testing.T) {
	for _, vms := range []int{1, 48, 350, 600, 750, 1000} {
		wait := holdWait(vms)
		require.GreaterOrEqual(t, wait, minHoldWait)
		require.LessOrEqual(t, float64(vms)/wait.Seconds(), 1000.0)
	}
	// Beyond that leases and suspicions bound the wait.
	require.Equal(t, time.Second, holdWait(3000))
}
