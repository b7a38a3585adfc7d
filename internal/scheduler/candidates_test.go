package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// planAt is the time of the plans in the tests below, soon after the VMs have reported.
const planAt = time.Second + 200*time.Millisecond

// mixedFleet returns a scheduler with VMs of several sizes, some with serving tasks.
func mixedFleet(seed uint64) *Scheduler {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := New(Settings{MaxLease: 10 * time.Second}, 1, nil)
	s.SetConfig(&batch.Config{Queues: []batch.Queue{{Name: "q", Pool: "pool", Attempts: 3, Stretch: 2}}})
	var list []batch.Instance
	for i := range 40 {
		inst := instance(i)
		inst.ID, inst.Address = fmt.Sprintf("vm%02d", i), fmt.Sprint(i)
		inst.Capacity.MilliCPU = int64(4000 * (1 + rng.IntN(4)))
		list = append(list, inst)
	}
	s.SetInstances(time.Second, list)
	for _, inst := range list {
		s.Hold(time.Second, inst.ID, 0)
		s.HandleReport(time.Second, time.Second, inst.ID, batch.Report{Clock: time.Hour})
	}
	for i := range 20 {
		s.Submit(time.Second, Submission{Job: &batch.Job{ID: fmt.Sprint("s", i), Steps: []batch.Step{servingStep(fmt.Sprint("web", i%3), int64(1000+500*rng.IntN(5)))}}, Queue: "q", Pool: "pool"})
	}
	s.Plan(time.Second)
	return s
}

// placements returns the VMs on which the tasks of a step are started, in order. With
// individually set, each task is rated by itself.
func placements(s *Scheduler, step batch.Step, individually bool) []string {
	s.Submit(planAt, Submission{Job: &batch.Job{ID: "j", Steps: []batch.Step{step}}, Queue: "q", Pool: "pool"})
	if individually {
		// A task that failed on a VM is rated individually.
		st := &s.jobs["j"].occs[0].steps[0]
		for k := range st.tasks {
			st.tasks[k].lastFailedOn = "elsewhere"
		}
	}
	var places []string
	for _, o := range s.Plan(planAt) {
		if o.Kind == OrderStart && o.Task.Job == "j" {
			places = append(places, o.Instance.ID)
		}
	}
	return places
}

// Rating VMs once per step must choose the same VMs, in the same order, as rating them for each
// task.
func TestCandidateListMatchesPerTaskPlacement(t *testing.T) {
	for seed := range uint64(20) {
		for name, step := range map[string]batch.Step{
			"filling": fillerStep("crunch", 1500), "serving": servingStep("web1", 1500), "short": {Need: batch.Resources{MilliCPU: 1500, MemoryMB: 10}, Estimate: time.Second},
			"apart": {Need: batch.Resources{MilliCPU: 500, MemoryMB: 10}, Estimate: time.Second, MaxPerVM: 1},
		} {
			step.Tasks = 30
			once, each := placements(mixedFleet(seed), step, false), placements(mixedFleet(seed), step, true)
			require.NotEmpty(t, once, "%s, seed %d", name, seed)
			require.Equal(t, each, once, "%s, seed %d", name, seed)
		}
	}
}

// A plan without a start budget starts nothing, and the next plan with a budget starts the
// waiting tasks.
func TestNoStartsWithoutStartBudget(t *testing.T) {
	s := mixedFleet(1)
	s.SetStartBudget(StartBudget{})
	require.Empty(t, placements(s, fillerStep("crunch", 1500), false))
	s.SetStartBudget(UnlimitedStarts)
	require.NotEmpty(t, s.Plan(planAt+time.Millisecond))
}
