package scheduler

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// BenchmarkLooksAtALargeFleet measures the calls that a leader makes every half second, for a
// fleet of 3,000 VMs.
func BenchmarkLooksAtALargeFleet(b *testing.B) {
	var list []batch.Instance
	for i := range 3000 {
		inst := instance(0)
		inst.ID, inst.Address = fmt.Sprintf("vm%04d", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
		list = append(list, inst)
	}
	s := New(Settings{MaxLease: 10 * time.Second}, 1, nil)
	startedAt := time.Now()
	s.SetInstances(0, list)
	b.Logf("first SetInstances %v", time.Since(startedAt))
	for i := range list {
		s.HandleReport(time.Second, time.Second, list[i].ID, batch.Report{Clock: time.Hour})
	}
	for _, c := range []struct {
		name string
		do   func()
	}{
		{"SetInstances", func() { s.SetInstances(time.Second, list) }},
		{"Instances", func() { s.Instances() }},
		{"LapsedRuns", func() { s.ExpiredLeases() }},
		{"Tend", func() { s.Tick(time.Second) }},
		{"Pending", func() { s.PendingWrites() }},
		{"LeasesOver", func() { s.LeaseDeadlines() }},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				c.do()
			}
		})
	}
}

// BenchmarkStartLog measures the cost of logging 1,000 starts for a leader: encoding them,
// recording them as written, and determining that they are accounted for. It reports ns per
// start.
func BenchmarkStartLog(b *testing.B) {
	for range b.N {
		b.StopTimer()
		f := startMany(&testing.T{}, 1000, 1000)
		b.StartTimer()
		c := f.s.PendingStarts(f.now, false)
		if _, err := json.Marshal(c.Segment); err != nil {
			b.Fatal(err)
		}
		f.s.StartsWritten(c)
		f.s.PendingStarts(f.now, true)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(1000*b.N), "ns/start")
}
