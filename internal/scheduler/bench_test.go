package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// BenchmarkPlan plans with a backlog: VMs filled with serving tasks of five images, and so many
// waiting fillers of nine images that no more fit. It reports ns per plan.
func BenchmarkPlan(b *testing.B) {
	for _, vms := range []int{48, 350, 750} {
		b.Run(fmt.Sprintf("%dVMs", vms), func(b *testing.B) {
			s := New(Settings{MaxLease: 10 * time.Second}, 1, nil)
			s.SetConfig(&batch.Config{Queues: []batch.Queue{{Name: "q", Pool: "pool", Attempts: 3, Stretch: 2}}})
			now := time.Second
			var list []batch.Instance
			for i := range vms {
				inst := instance(i)
				inst.ID, inst.Address = fmt.Sprintf("vm%04d", i), fmt.Sprint(i)
				list = append(list, inst)
			}
			s.SetInstances(now, list)
			for _, inst := range list {
				s.Hold(now, inst.ID, 0)
				s.HandleReport(now, now, inst.ID, batch.Report{Clock: time.Hour})
			}
			for i := range vms {
				s.Submit(now, Submission{Job: &batch.Job{ID: fmt.Sprintf("s%d", i), Steps: []batch.Step{servingStep(fmt.Sprint("web", i%5), 4000)}}, Queue: "q", Pool: "pool"})
			}
			for i := range 10_000 / 16 {
				step := fillerStep(fmt.Sprint("crunch", i%9), int64(3000+i%7*100))
				step.Tasks = 16
				s.Submit(now, Submission{Job: &batch.Job{ID: fmt.Sprintf("f%d", i), Steps: []batch.Step{step}}, Queue: "q", Pool: "pool"})
			}
			s.Plan(now)
			b.ResetTimer()
			for range b.N {
				now += time.Microsecond
				s.planNeeded = true
				s.Plan(now)
			}
		})
	}
}
