package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// completeStep starts the tasks of a job that was just submitted, and ends each after its
// duration.
func (f *fixture) completeStep(id string, durations ...time.Duration) {
	f.submit(id, tasks(len(durations), 1000))
	f.plan()
	began := f.now
	orders := make([]Order, len(durations))
	for i := range durations {
		orders[i] = f.last(batch.TaskID{Job: id, Index: i}.String())
		f.confirm(orders[i])
	}
	for i, d := range durations {
		f.now = began + d
		f.seq++
		rep := runningReport(orders[i+1:]...)
		rep.Ended = []batch.RunEnd{endOfOrder(f.seq, orders[i], batch.EndDone)}
		f.report(orders[i].Instance.ID, rep)
	}
}

// The ratio follows the longest tasks of completed steps, which declare one second each.
func TestDurationRatioFollowsTheLongestTask(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	require.EqualValues(t, 1, f.s.durationRatios[testQueue].value())
	for i := range 80 {
		f.completeStep("j"+string(rune('a'+i/26))+string(rune('a'+i%26)), time.Second, 2*time.Second)
	}
	require.InDelta(t, 2, f.s.durationRatios[testQueue].value(), 0.02)
	require.EqualValues(t, 1, f.s.durationRatios["other"].value())
}

// Guards against a correction where declared durations are off by a factor of two and a half either
// way: its mean made jobs count as in time that were late, and work was lost to them.
func TestUnreliableDurationsAreNotCorrected(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	ratioOf := func(spread float64) float64 {
		d := &durationRatio{}
		for range 500 {
			d.add(1.6 * math.Exp(spread*rng.NormFloat64()))
		}
		return d.value()
	}
	require.InDelta(t, 1.6, ratioOf(0.2), 0.15)
	require.EqualValues(t, 1, ratioOf(1.2))
}

// Guards against jobs that are put behind all others as late while they can still meet their
// objective: the longest tasks of their steps take longer than the declared mean, and the
// objective grows with them.
func TestJobIsNotLateBeforeItsLongestTaskIs(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	group := func(age time.Duration) rankGroup {
		f.s.Submit(f.now, Submission{Job: &batch.Job{ID: age.String(), Steps: []batch.Step{fillerStep("image", 1000)}}, Queue: testQueue, Pool: "pool", Age: age})
		o := f.s.jobs[age.String()].occs[0]
		return f.s.rank(f.now, &o.steps[0]).group
	}
	// The objective is 2 times the chain of one second plus 1 s.
	require.Equal(t, groupOnTime, group(1900*time.Millisecond))
	require.Equal(t, groupLate, group(2100*time.Millisecond))
	for range 200 {
		f.s.durationRatios.observe(&step{spec: &batch.Step{Tasks: 4, Estimate: time.Second}, occ: &occurrence{job: &job{queue: testQueue}}, measuredRuns: 4, longestRun: 2 * time.Second})
	}
	require.Equal(t, groupOnTime, group(2900*time.Millisecond))
	require.Equal(t, groupLate, group(3100*time.Millisecond))
}

// Runs that resumed from a checkpoint or were slowed do not show how long a task takes.
func TestResumedAndSlowedRunsAreNotMeasured(t *testing.T) {
	st := &step{spec: &batch.Step{Tasks: 2}}
	for _, r := range []*run{{resumed: true, confirmedAt: 1}, {paceOrderedAt: 1, confirmedAt: 1}, {}} {
		r.task = &task{step: st}
		r.measureDuration(5 * time.Second)
	}
	require.Zero(t, st.measuredRuns)
}
