package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Guards against starts that are decided seconds before they can be sent.
func TestBacklogAdaptsToSendRate(t *testing.T) {
	const perSecond = 100
	b, now := NewBacklog(), Time(0)
	var longest Time
	type waiting struct {
		at   Time
		sent func(Time)
	}
	var queue []waiting
	for ; now < 10*time.Second; now += time.Second / perSecond {
		budget := b.Budget(now, 0).Starts
		sent := b.RecordPlan(now, budget, StartBudget{})
		for range budget {
			queue = append(queue, waiting{now, sent})
		}
		if len(queue) == 0 {
			continue
		}
		if now > 5*time.Second {
			longest = max(longest, now-queue[0].at)
		}
		queue[0].sent(now)
		queue = queue[1:]
	}
	size, left := b.Stats()
	require.Len(t, queue, left)
	require.Equal(t, minBacklog, size)
	// The bound allows for the decision of a whole batch of minimum size after another.
	require.LessOrEqual(t, longest, maxStartDelay+2*minBacklog*time.Second/perSecond)
}

// The backlog must not limit a leader that sends all starts without delay.
func TestBacklogGrowsWhileStartsAreSentAtOnce(t *testing.T) {
	b := NewBacklog()
	for now := Time(0); now < time.Second; now += 20 * time.Millisecond {
		budget := b.Budget(now, 0).Starts
		sent := b.RecordPlan(now, budget, StartBudget{})
		for range budget {
			sent(now + time.Millisecond)
		}
	}
	size, waiting := b.Stats()
	require.Equal(t, maxBacklog, size)
	require.Zero(t, waiting)
}

// Guards against a leader that decides more starts while those decided before are not sent at
// all.
func TestNoStartsAreDecidedBehindAnUnsentStart(t *testing.T) {
	b := NewBacklog()
	sent := b.RecordPlan(0, 1, UnlimitedStarts)
	require.Positive(t, b.Budget(maxBatchLag, 0).Batch)
	require.Positive(t, b.Budget(maxStartDelay, 0).Starts)
	require.Equal(t, StartBudget{}, b.Budget(maxStartDelay+1, 0))
	sent(maxStartDelay + 1)
	require.Positive(t, b.Budget(maxStartDelay+1, 0).Starts)
}

// Guards against batch starts that keep a leader behind with its work, which delays urgent jobs
// several times.
func TestLateLeaderDefersBatchStarts(t *testing.T) {
	b := NewBacklog()
	require.Equal(t, initialBacklog, b.Budget(0, maxBatchLag).Batch)
	late := b.Budget(0, maxBatchLag+1)
	require.Zero(t, late.Batch)
	require.Equal(t, initialBacklog, late.Starts)
	require.Less(t, b.Budget(0, 0).Batch, initialBacklog)

	s := mixedFleet(1)
	s.Submit(planAt, Submission{Job: &batch.Job{ID: "urgent", Steps: []batch.Step{{Tasks: 1, Need: batch.Resources{MilliCPU: 500, MemoryMB: 10}, Estimate: time.Second}}}, Queue: "q", Pool: "pool"})
	s.SetStartBudget(late)
	require.Empty(t, placements(s, fillerStep("crunch", 200), false))
	require.Len(t, s.jobs["urgent"].occs[0].steps[0].tasks[0].runs, 1)
	s.SetStartBudget(UnlimitedStarts)
	require.Equal(t, 1, CountStarts(s.Plan(planAt+time.Millisecond)))
}

// Guards against batch jobs that never start if the leader is always late, for instance on a slow
// processor.
func TestNoWorkIsStarvedByALeaderThatIsAlwaysLate(t *testing.T) {
	b := NewBacklog()
	batches := 0
	for now := Time(0); now < 10*time.Second; now += 20 * time.Millisecond {
		budget := b.Budget(now, time.Second)
		require.Positive(t, budget.Starts)
		if budget.Batch > 0 {
			batches++
		}
	}
	require.GreaterOrEqual(t, batches, int(10*time.Second/maxBatchWait)-2)
}

// Guards against a plan that decides more starts than its budget, within a step or over several.
func TestPlanKeepsStartBudget(t *testing.T) {
	s := mixedFleet(1)
	s.SetStartBudget(StartBudget{Starts: 3, Batch: 3})
	require.Len(t, placements(s, fillerStep("crunch", 200), false), 1)
	step := fillerStep("crunch", 200)
	step.Tasks = 10
	s.Submit(planAt, Submission{Job: &batch.Job{ID: "wide", Steps: []batch.Step{step}}, Queue: "q", Pool: "pool"})
	s.SetStartBudget(StartBudget{Starts: 3, Batch: 3})
	require.Equal(t, 3, CountStarts(s.Plan(planAt+time.Millisecond)))
	s.SetStartBudget(UnlimitedStarts)
	require.Equal(t, 7, CountStarts(s.Plan(planAt+2*time.Millisecond)))
}

// Guards against ordering by work while starts are limited: jobs of many small tasks took the
// starts of jobs with more value per start.
func TestMostValuePerStartGoesFirstWhenStartsAreLimited(t *testing.T) {
	s := mixedFleet(1)
	wide, narrow := fillerStep("crunch", 100), fillerStep("crunch", 1000)
	wide.Tasks, narrow.Tasks = 20, 4
	submit := func(id string, step batch.Step) {
		s.Submit(planAt, Submission{Job: &batch.Job{ID: id, Steps: []batch.Step{step}}, Queue: "q", Pool: "pool"})
	}
	submit("wide", wide)
	submit("narrow", narrow)
	s.SetStartBudget(StartBudget{})
	require.Zero(t, CountStarts(s.Plan(planAt)))
	s.SetStartBudget(StartBudget{Starts: 4, Batch: 4})
	for _, o := range s.Plan(planAt + time.Millisecond) {
		require.Equal(t, "narrow", o.Task.Job)
	}
}

// Guards against short tasks that are deferred because their declared duration exceeds the time
// left: most of them can still end in time.
func TestLateShortTasksPrecedeBatch(t *testing.T) {
	s := mixedFleet(1)
	submit := func(id string, step batch.Step, age time.Duration) {
		s.Submit(planAt, Submission{Job: &batch.Job{ID: id, Steps: []batch.Step{step}}, Queue: "q", Pool: "pool", Age: age})
	}
	check := batch.Step{Tasks: 2, Need: batch.Resources{MilliCPU: 500, MemoryMB: 10}, Estimate: time.Second}
	submit("batch", fillerStep("crunch", 200), 0)
	submit("late", check, 1500*time.Millisecond)
	submit("hopeless", check, time.Minute)
	submit("check", check, 0)
	var jobs []string
	for _, o := range s.Plan(planAt) {
		if o.Kind == OrderStart {
			jobs = append(jobs, o.Task.Job)
		}
	}
	require.Equal(t, []string{"check", "check", "late", "late", "batch", "hopeless", "hopeless"}, jobs)
}
