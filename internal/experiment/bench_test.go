package experiment

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkLargeFleet plays the busiest seconds of a fleet of 1,100 VMs. It reports the processor
// time of the scheduler per started run, in ns, for planning, reports, run ends and paces, without
// the model of the fleet.
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
