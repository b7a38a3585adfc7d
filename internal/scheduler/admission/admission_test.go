package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lateJob has an objective of 3 s, so that it has no value after 9 s.
var lateJob = Job{Work: 10, CriticalPath: time.Second, Stretch: 2, Slack: time.Second, Zone: "a"}

func knownWait(wait time.Duration, overZones ...string) Known {
	q := &QueueForecast{Queue: "q", Confidence: 1, MeanWork: 10, DurationRatio: 1, OverZones: overZones}
	for class := range q.Waits {
		q.Waits[class] = wait
	}
	return Known{Queue: q, Fence: 3, CurrentFence: 3}
}

// Guards against refusals by what is not known: whatever is missing, old, unsure or of another
// leader, the job is accepted.
func TestWhatIsNotKnownIsAccepted(t *testing.T) {
	for reason, change := range map[Reason]func(*Job, *Known){
		AcceptedNoForecast:    func(_ *Job, k *Known) { k.Queue = nil },
		AcceptedStale:         func(_ *Job, k *Known) { k.Age = MaxForecastAge + 1 },
		AcceptedOtherTenure:   func(_ *Job, k *Known) { k.CurrentFence = 4 },
		AcceptedLowConfidence: func(_ *Job, k *Known) { k.Queue.Confidence = MinConfidence / 2 },
		AcceptedNotPredicted:  func(j *Job, _ *Known) { j.Unpredicted = true },
	} {
		job, known := lateJob, knownWait(time.Minute)
		change(&job, &known)
		d := Decide(RefuseLate, job, known)
		require.False(t, d.Refuse, reason)
		require.Equal(t, reason, d.Reason)
	}
	require.Equal(t, AcceptedOtherTenure, Decide(RefuseLate, lateJob, Known{Queue: knownWait(time.Minute).Queue}).Reason, "no leader is known")
	require.False(t, Decide(AcceptAll, lateJob, knownWait(time.Minute)).Refuse)
}

// Guards against refusing a job that still has a value when it ends late.
func TestOnlyJobsWithoutAnyValueAreRefused(t *testing.T) {
	require.False(t, Decide(RefuseLate, lateJob, knownWait(8*time.Second)).Refuse)
	d := Decide(RefuseLate, lateJob, knownWait(8*time.Second+time.Millisecond))
	require.True(t, d.Refuse)
	require.Equal(t, 9*time.Second, d.Limit)
	longer := knownWait(8*time.Second + time.Millisecond)
	longer.Queue.DurationRatio = 2
	require.False(t, Decide(RefuseLate, lateJob, longer).Refuse, "the objective grows with the durations")
}

// Guards against refusing callers of a zone that was given less than its part before those of one
// that was given more.
func TestThoseOverTheirPartAreRefusedFirst(t *testing.T) {
	known := knownWait(12*time.Second, "a")
	require.True(t, Decide(RefuseByShare, lateJob, known).Refuse)
	other := lateJob
	other.Zone = "b"
	require.Equal(t, AcceptedUnderserved, Decide(RefuseByShare, other, known).Reason)
	require.True(t, Decide(RefuseByShare, other, knownWait(18*time.Second, "a")).Refuse)
}

// Guards against refused callers who all return at the same moment, and against delays beyond the
// time in which they still care.
func TestReturningCallersAreSpreadOverTheTimeOfRoom(t *testing.T) {
	job, known := lateJob, knownWait(9*time.Second)
	// A new job is in time once the wait has fallen by 7 s.
	job.Spread = 0
	require.Equal(t, 7*time.Second, Decide(RefuseLate, job, known).RetryAfter)
	job.Spread = 0.25
	require.Equal(t, 8750*time.Millisecond, Decide(RefuseLate, job, known).RetryAfter)
	job.Spread = 1
	require.Equal(t, MaxRetryAfter, Decide(RefuseLate, job, known).RetryAfter)
	require.Equal(t, MinRetryAfter, retryAfter(-time.Second, 0))
}

// Guards against predictions from a rate that was measured for a moment, by a leader that does not
// know its fleet yet, or by capacity that is gone.
func TestPrediction(t *testing.T) {
	load := Load{Rate: Rate{PerSecond: 100, Measured: time.Hour, Capacity: 1000}, Capacity: 1000}
	load.OnTime.Ahead[3], load.OnTime.Arriving[3] = 500, 20
	predict := func(l *Load) ([Classes]time.Duration, float64) {
		var f QueueForecast
		f.Predict(l)
		return f.Waits, f.Confidence
	}
	waits, confidence := predict(&load)
	require.Equal(t, 1.0, confidence)
	require.Zero(t, waits[0])
	require.Equal(t, 6*time.Second, waits[3], "a fifth of the room goes to those that come first")
	load.Capacity = 500
	waits, _ = predict(&load)
	require.Greater(t, waits[3], 10*time.Second, "a zone is evacuated")
	load.Rate.Measured = time.Second
	_, confidence = predict(&load)
	require.Less(t, confidence, MinConfidence)
	load.Rate.Measured, load.Unheard = time.Hour, 0.3
	_, confidence = predict(&load)
	require.Less(t, confidence, MinConfidence)
	_, confidence = predict(&Load{})
	require.Zero(t, confidence)
	load.OnTime.Ahead[5] = 1e12
	waits, _ = predict(&load)
	require.Equal(t, maxWait, waits[5])
}

// Guards against taking the demand of a quiet time for what the fleet can do.
func TestMeterCountsOnlyWhileWorkWaits(t *testing.T) {
	var m Meter
	now := time.Duration(0)
	step := func(waiting bool, work float64) {
		now += 100 * time.Millisecond
		m.Done(work)
		m.Sample(now, waiting, 1000)
	}
	for range 50 {
		step(false, 1)
	}
	require.Zero(t, m.Rate())
	for range 50 {
		step(true, 10)
	}
	require.InDelta(t, 100, m.Rate().PerSecond, 1)
	require.InDelta(t, 1000, m.Rate().Capacity, 1e-9)
	for range 50 {
		step(false, 1)
	}
	require.InDelta(t, 100, m.Rate().PerSecond, 1)
}

// Guards against sizes that fall into no class or into that of others.
func TestClassesOfSizes(t *testing.T) {
	for class := range Classes {
		require.Equal(t, class, ClassOf(ClassSize(class)*7, 7))
	}
	require.Zero(t, ClassOf(1, 0))
	require.Equal(t, Classes-1, ClassOf(1e9, 1))
}

// Guards against a rate of arrivals that outlasts its burst.
func TestArrivalsForgetABurst(t *testing.T) {
	var a Arrivals
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		a.Add(now, 2, 10)
	}
	require.InDelta(t, 100, a.PerSecond(10*time.Second, 2), 5)
	require.Less(t, a.PerSecond(16*time.Second, 2), 6.0)
}

// Guards against taking a job that misses its objective for one that ends soon after: it comes
// behind all jobs that can still be in time.
func TestJobThatMissesItsObjectiveWaitsBehindOthers(t *testing.T) {
	known := knownWait(2 * time.Second)
	for class := range known.Queue.LateWaits {
		known.Queue.LateWaits[class] = time.Minute
	}
	require.False(t, Decide(RefuseLate, lateJob, known).Refuse, "it ends exactly within its objective")
	known.Queue.Waits = knownWait(2*time.Second + time.Millisecond).Queue.Waits
	d := Decide(RefuseLate, lateJob, known)
	require.True(t, d.Refuse)
	require.Equal(t, time.Minute, d.Wait)
	require.Equal(t, MinRetryAfter, d.RetryAfter, "there is room as soon as the wait has fallen a little")
}
