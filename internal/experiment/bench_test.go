package experiment

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkLargeFleet plays the scheduler of a fleet of 1,100 VMs for its busiest seconds.
// It tells the processor time of all decisions for each run, in ns: planning, reports,
// ends and paces; not the model of the fleet.
func BenchmarkLargeFleet(b *testing.B) {
	s, err := Find("colocated-1100")
	require.NoError(b, err)
	s.LoadS, s.AfterS = 20, 4
	v := Variants()[0]
	for range b.N {
		out, err := Play(context.Background(), &s, &v, 1)
		require.NoError(b, err)
		b.ReportMetric(out.NsPerDecision, "ns/decision")
		b.ReportMetric(out.Service, "service")
	}
}
