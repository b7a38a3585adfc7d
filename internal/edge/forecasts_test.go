package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const testFence = 7

func testForecast(fence int64, wait time.Duration) *admission.Forecast {
	q := admission.QueueForecast{Queue: "q", Confidence: 1, MeanWork: 10, DurationRatio: 1, OverZones: []string{"a"}}
	for class := range q.Waits {
		q.Waits[class], q.LateWaits[class] = wait, 2*wait
	}
	return &admission.Forecast{Fence: fence, Queues: []admission.QueueForecast{q}}
}

// newTestForecasts returns forecasts that hold one of the tenure testFence, the current one.
func newTestForecasts() *forecasts {
	f := &forecasts{currentFence: func() int64 { return testFence }}
	f.set(steady.Now(), encodeForecast(testForecast(testFence, time.Minute), 0))
	return f
}

// Guards against a forecast that arrives late and replaces a newer one, or one of the new leader.
func TestOlderForecastIsNotKept(t *testing.T) {
	f := newTestForecasts()
	now := steady.Now()
	f.set(now, encodeForecast(testForecast(testFence, time.Second), time.Second))
	require.Equal(t, time.Minute, f.known("q").Queue.Waits[0], "made a second before")
	f.set(now-time.Second, encodeForecast(testForecast(testFence, time.Second), 0))
	require.Equal(t, time.Minute, f.known("q").Queue.Waits[0], "asked for a second before")
	f.set(now, encodeForecast(testForecast(testFence-1, time.Second), 0))
	require.Equal(t, time.Minute, f.known("q").Queue.Waits[0], "of the leader before")
	f.set(now-time.Second, encodeForecast(testForecast(testFence+1, time.Second), 0))
	require.Equal(t, time.Second, f.known("q").Queue.Waits[0], "of the next leader")
}

// Guards against refusals by what a leader said that leads no more.
func TestForecastOfAnotherTenureIsNotUsed(t *testing.T) {
	f := newTestForecasts()
	f.currentFence = func() int64 { return testFence + 1 }
	d := admission.Decide(admission.RefuseLate, admission.Job{Work: 10, CriticalPath: time.Second, Stretch: 2}, f.known("q"))
	require.False(t, d.Refuse)
	require.Equal(t, admission.AcceptedOtherTenure, d.Reason)
}

// Guards against a message that outgrows the narrow links of entry VMs: with six queues a forecast
// is a sixth of what a job's payload may have.
func TestForecastIsSmallOnTheWire(t *testing.T) {
	f := testForecast(testFence, time.Minute)
	for range 5 {
		f.Queues = append(f.Queues, f.Queues[0])
	}
	wire := encodeForecast(f, time.Second)
	size := proto.Size(wire)
	t.Logf("%d bytes with 6 queues", size)
	require.Less(t, size, 600)
	decoded, age := decodeForecast(wire)
	require.Equal(t, f, decoded)
	require.Equal(t, time.Second, age)
}

// Guards against a process that is asked for forecasts although its policy refuses nothing.
func TestNoForecastIsWantedWithoutAdmission(t *testing.T) {
	var f *forecasts
	require.False(t, f.wanted(steady.Now()))
	f.set(0, encodeForecast(testForecast(1, 0), 0))
	forecast, _ := f.newest()
	require.Nil(t, forecast)
}
