package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
)

// newPolicyFixture returns a fixture whose policy is changed.
func newPolicyFixture(t *testing.T, vms int, change func(*Policy)) *fixture {
	f := newFixture(t, vms)
	config := f.s.config
	p := DefaultPolicy()
	change(&p)
	require.NoError(t, p.Validate())
	f.s = New(Settings{MaxLease: 10 * time.Second, Policy: &p}, f.fence, func(d Decision) { f.log = append(f.log, d) })
	f.s.ConfirmLeadership(distantFuture)
	f.s.SetConfig(config)
	f.s.SetInstances(f.now, f.list)
	f.reportAll(nil)
	return f
}

func (f *fixture) submitFrom(zone, id string, steps ...batch.Step) {
	f.s.Submit(f.now, Submission{Job: &batch.Job{ID: id, Payload: "p", Steps: steps}, Queue: testQueue, Pool: "pool", Zone: zone})
}

// finishAll ends what was started and not ended, lets all VMs report, and plans.
func (f *fixture) finishAll(ended map[string]bool) {
	reports := map[string]batch.Report{}
	for _, task := range slices.Sorted(maps.Keys(f.started)) {
		if order := f.started[task][0]; !ended[task] {
			ended[task] = true
			f.seq++
			f.confirm(order)
			report := reports[order.Instance.ID]
			report.Ended = append(report.Ended, endOfOrder(f.seq, order, batch.EndDone))
			reports[order.Instance.ID] = report
		}
	}
	f.s.SetInstances(f.now, f.list)
	f.reportAll(reports)
	f.write()
	f.plan()
}

func (f *fixture) events(event string) int {
	n := 0
	for i := range f.log {
		if f.log[i].Event == event {
			n++
		}
	}
	return n
}

// Guards against a large job that waits as long as smaller ones arrive: after the bound one of its
// tasks starts before all others of its group, and no more than one.
func TestLongestWaiterGetsOneTaskAfterTheBound(t *testing.T) {
	const bound = 3 * time.Second
	firstStart := func(patience time.Duration) (after time.Duration, first int) {
		f := newPolicyFixture(t, 1, func(p *Policy) { p.FairSharePatienceMS = patience.Milliseconds() })
		// One slot: each task takes all processors, and lives for a report.
		long := tasks(8, 9000)
		long.Estimate = 20 * time.Second
		began := f.now
		ended := map[string]bool{}
		f.submit("small0", tasks(1, 9000))
		f.submit("large", long)
		f.plan()
		for n := 1; n < 40; n++ {
			f.submit(fmt.Sprintf("small%d", n), tasks(1, 9000))
			f.advance(250 * time.Millisecond)
			f.finishAll(ended)
			if _, started := f.started["large.0.0.0"]; started && after == 0 {
				after = f.now - began
			}
		}
		for k := range 8 {
			if _, started := f.started[fmt.Sprintf("large.0.0.%d", k)]; started {
				first++
			}
		}
		return after, first
	}
	after, _ := firstStart(0)
	require.Zero(t, after, "without a bound it waits as long as smaller jobs arrive")
	after, first := firstStart(bound)
	require.Greater(t, after, bound)
	require.LessOrEqual(t, after, bound+time.Second)
	require.Less(t, first, 4, "it waits for the bound again after each task")
}

// Guards against a zone of callers that keeps the room it was given, while others that ask for less
// wait behind it.
func TestZoneOverItsPartComesBehindOthers(t *testing.T) {
	f := newPolicyFixture(t, 1, func(p *Policy) { p.FairShare = true })
	ended := map[string]bool{}
	for n := range 4 {
		f.submitFrom("greedy", fmt.Sprintf("g%d", n), tasks(1, 9000))
	}
	f.plan()
	for range 2 {
		f.advance(250 * time.Millisecond)
		f.finishAll(ended)
	}
	// Larger, so that it would come behind by its work.
	larger := tasks(1, 9000)
	larger.Estimate = 2 * time.Second
	f.submitFrom("modest", "m", larger)
	f.advance(250 * time.Millisecond)
	f.finishAll(ended)
	require.Contains(t, f.started, "m.0.0.0")
	require.NotContains(t, f.started, "g3.0.0.0")
	require.Positive(t, f.events(EventFairShare))
}

// Guards against decisions, measurements or log lines of parts that are switched off.
func TestDefaultPolicyMeasuresNothingOfAdmissionAndShares(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submitFrom("a", "j", tasks(3, 9000))
	f.plan()
	require.Nil(t, f.s.Forecast(f.now))
	require.Nil(t, f.s.demand)
	require.Nil(t, f.s.fairness)
	require.Zero(t, f.events(EventFairShare)+f.events(EventForecast)+f.events(EventTaskOverdue))
}

// newBusyFixture returns a scheduler of a fleet with ten VMs on which jobs of a second have waited
// for some time, and the ended tasks.
func newBusyFixture(t *testing.T) (*fixture, map[string]bool) {
	f := newPolicyFixture(t, 10, func(p *Policy) { p.Admission = admission.RefuseLate })
	ended := map[string]bool{}
	for n := range 60 {
		for k := range 3 {
			f.submit(fmt.Sprintf("j%d-%d", n, k), tasks(5, 9000))
		}
		f.advance(250 * time.Millisecond)
		f.finishAll(ended)
	}
	return f, ended
}

// Guards against a forecast that says nothing under load, and one that does not see capacity that
// an evacuation takes away.
func TestForecastUnderLoad(t *testing.T) {
	f, ended := newBusyFixture(t)
	q := f.s.Forecast(f.now).Queue(testQueue)
	require.NotNil(t, q)
	require.Equal(t, 1.0, q.Confidence)
	require.Greater(t, q.Waits[admission.Classes-1], q.Waits[0])
	require.Equal(t, f.fence, f.s.Forecast(f.now).Fence)

	// What waits divided by what ends in a second.
	waiting := float64(f.s.waitingTasks())
	require.InDelta(t, waiting/40, q.Waits[admission.Classes-1].Seconds(), 0.6*waiting/40)

	f.s.SetEvacuations(&batch.Evacuations{Revision: 1, Zones: []batch.Evacuation{{Zone: "z", Revision: 1}}})
	f.advance(forecastInterval)
	require.Greater(t, f.s.Forecast(f.now).Queue(testQueue).Waits[admission.Classes-1], q.Waits[admission.Classes-1])
	_ = ended
}

// Guards against forecasts of a new leader that has measured nothing.
func TestNewLeaderForecastsNothing(t *testing.T) {
	f := newPolicyFixture(t, 2, func(p *Policy) { p.Admission = admission.RefuseLate })
	for n := range 50 {
		f.s.Submit(f.now, Submission{Job: &batch.Job{ID: fmt.Sprintf("old%d", n), Steps: []batch.Step{tasks(5, 9000)}}, Queue: testQueue, Pool: "pool", PredatesLeader: true})
	}
	f.plan()
	require.Nil(t, f.s.Forecast(f.now).Queue(testQueue), "no job has arrived")
	f.advance(forecastInterval)
	f.submit("new", tasks(5, 9000))
	f.plan()
	f.advance(forecastInterval)
	q := f.s.Forecast(f.now).Queue(testQueue)
	require.NotNil(t, q)
	require.Less(t, q.Confidence, admission.MinConfidence)
}

// Guards against forecasts, log lines and metrics of each queue that there ever was, in a deployment
// that adds and removes queues all day.
func TestRemovedQueueIsForecastNoMore(t *testing.T) {
	f, _ := newBusyFixture(t)
	require.NotNil(t, f.s.Forecast(f.now).Queue(testQueue))
	f.s.SetConfig(&batch.Config{Version: f.s.config.Version + 1})
	f.advance(forecastInterval)
	require.Nil(t, f.s.Forecast(f.now).Queue(testQueue))
	require.Empty(t, f.s.demand.queues)
}

// Guards against a forecast that counts other work than what precedes a new job.
func TestForecastCountsWhatPrecedes(t *testing.T) {
	f, _ := newBusyFixture(t)
	f.s.Forecast(f.now)
	q := f.s.demand.queues[testQueue]
	l := f.s.loadBefore(f.now, testQueue, q, f.s.demandByRoom(f.now)[q.room])
	positive := 0
	for class := range admission.Classes {
		r := f.s.rankOfNew(testQueue, q, admission.ClassSize(class))
		onTime, late, arriving := 0.0, 0.0, 0.0
		for _, j := range f.s.jobs {
			for _, o := range j.occs {
				for i := range o.steps {
					st := &o.steps[i]
					if !j.state.Final() && compareRanks(f.s.rank(f.now, st), r) < 0 {
						onTime += float64(st.waiting) * st.taskWork()
					}
					if !j.state.Final() && compareRanks(f.s.rank(f.now, st), r.whenLate()) < 0 {
						late += float64(st.waiting) * st.taskWork()
					}
				}
			}
		}
		for other := range admission.Classes {
			if compareRanks(f.s.rankOfNew(testQueue, q, admission.ClassSize(other)), r) < 0 {
				arriving += q.arrivals.PerSecond(f.now, other)
			}
		}
		require.InDelta(t, onTime, l.OnTime.Ahead[class], 1e-6)
		require.InDelta(t, late, l.Late.Ahead[class], 1e-6)
		require.InDelta(t, arriving, l.OnTime.Arriving[class], 1e-6)
		if onTime > 0 && late > onTime {
			positive++
		}
	}
	require.Positive(t, positive)
}

// Guards against the age of a forecast that was never made.
func TestDumpWithoutForecastHasNoAge(t *testing.T) {
	f := newPolicyFixture(t, 1, func(p *Policy) { p.Admission = admission.RefuseLate })
	f.advance(time.Second)
	d := f.s.Dump(f.now)
	require.Nil(t, d.Forecast)
	require.Zero(t, d.ForecastAgeMS)
}

// Guards against trust in a rate that the leader's own processor has set.
func TestForecastIsNotTrustedWhileStartsAreScarce(t *testing.T) {
	f, _ := newBusyFixture(t)
	f.s.startLimitHitAt = f.now
	f.advance(forecastInterval)
	require.Zero(t, f.s.Forecast(f.now).Queue(testQueue).Confidence)
}

// Guards against predictions that nobody compares with what came.
func TestPredictionIsToldAtTheFirstStart(t *testing.T) {
	f, ended := newBusyFixture(t)
	f.submit("x", tasks(1, 100))
	for range 200 {
		f.advance(250 * time.Millisecond)
		f.finishAll(ended)
	}
	predicted := 0
	for i := range f.log {
		if d := &f.log[i]; d.Event == EventRunStarted && d.HasPrediction {
			predicted++
		}
	}
	require.Positive(t, predicted)
	require.Less(t, predicted, 181, "at most once a job")
}
