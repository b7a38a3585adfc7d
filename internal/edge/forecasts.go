package edge

import (
	"math"
	"sync"
	"time"

	"github.com/rattanwall/rattanwall/internal/entry"
	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
	"github.com/rattanwall/rattanwall/internal/scheduling"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// forecastInterval is the minimum age of a forecast before the leader is asked for another one.
const forecastInterval = 200 * time.Millisecond

// forecasts holds the newest forecast that this process received. A nil value holds none.
type forecasts struct {
	// currentFence returns the fencing token of the leader known now, 0 for none.
	currentFence func() int64

	mu       sync.Mutex
	forecast *admission.Forecast
	// madeAt is when it was made at the latest, on the monotonic clock.
	madeAt time.Duration
}

// useAdmission lets the process refuse jobs if its policy asks for it.
func (e *Edge) useAdmission() {
	policy := e.settings.Bounds.Policy
	if policy.UsesZones() {
		e.entry.Zone = e.settings.Zone
	}
	mode := policy.AdmissionMode()
	if mode == admission.AcceptAll {
		return
	}
	e.forecasts = &forecasts{currentFence: func() int64 {
		_, fence := e.election.LeaderAndFence()
		return fence
	}}
	e.leaderClient.forecasts = e.forecasts
	admissions := newAdmissionMetrics(e.forecasts)
	e.metrics.registry.MustRegister(admissions)
	e.entry.Admission = &entry.Admission{Mode: mode, Zone: e.settings.Zone, Forecast: e.forecasts.known, Observe: admissions.count}
}

// wanted reports whether the leader should be asked for a forecast.
func (f *forecasts) wanted(now time.Duration) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.forecast == nil || now-f.madeAt >= forecastInterval
}

// set keeps a forecast that was asked for at sentAt, unless a newer one is known.
func (f *forecasts) set(sentAt time.Duration, wire *scheduling.Forecast) {
	if f == nil || wire == nil {
		return
	}
	forecast, age := decodeForecast(wire)
	f.mu.Lock()
	defer f.mu.Unlock()
	if madeAt := sentAt - age; f.forecast == nil || forecast.Fence > f.forecast.Fence || (forecast.Fence == f.forecast.Fence && madeAt > f.madeAt) {
		f.forecast, f.madeAt = forecast, madeAt
	}
}

// unknownAge is the age of a forecast that was never received.
const unknownAge = time.Duration(math.MaxInt64)

// newest returns the newest forecast and its age, nil for none.
func (f *forecasts) newest() (*admission.Forecast, time.Duration) {
	if f == nil {
		return nil, unknownAge
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.forecast == nil {
		return nil, unknownAge
	}
	return f.forecast, steady.Now() - f.madeAt
}

// known returns what is known of a queue.
func (f *forecasts) known(queue string) admission.Known {
	forecast, age := f.newest()
	if forecast == nil {
		return admission.Known{Age: age}
	}
	return admission.Known{Queue: forecast.Queue(queue), Age: age, Fence: forecast.Fence, CurrentFence: f.currentFence()}
}

// encodeForecast returns nil for nil.
func encodeForecast(f *admission.Forecast, age time.Duration) *scheduling.Forecast {
	if f == nil {
		return nil
	}
	wire := &scheduling.Forecast{Fence: f.Fence, AgeMs: age.Milliseconds()}
	for i := range f.Queues {
		q := &f.Queues[i]
		w := &scheduling.QueueForecast{
			Queue: q.Queue, Confidence: float32(q.Confidence), MeanWork: float32(q.MeanWork), DurationRatio: float32(q.DurationRatio), OverZones: q.OverZones,
		}
		for class := range q.Waits {
			w.WaitMs = append(w.WaitMs, q.Waits[class].Milliseconds())
			w.LateWaitMs = append(w.LateWaitMs, q.LateWaits[class].Milliseconds())
		}
		wire.Queues = append(wire.Queues, w)
	}
	return wire
}

// decodeForecast leaves out queues whose size classes differ from this process's.
func decodeForecast(wire *scheduling.Forecast) (*admission.Forecast, time.Duration) {
	f := &admission.Forecast{Fence: wire.GetFence()}
	for _, w := range wire.GetQueues() {
		if len(w.GetWaitMs()) != admission.Classes || len(w.GetLateWaitMs()) != admission.Classes {
			continue
		}
		q := admission.QueueForecast{
			Queue: w.GetQueue(), Confidence: float64(w.GetConfidence()), MeanWork: float64(w.GetMeanWork()), DurationRatio: float64(w.GetDurationRatio()), OverZones: w.GetOverZones(),
		}
		for class := range q.Waits {
			q.Waits[class] = time.Duration(w.GetWaitMs()[class]) * time.Millisecond
			q.LateWaits[class] = time.Duration(w.GetLateWaitMs()[class]) * time.Millisecond
		}
		f.Queues = append(f.Queues, q)
	}
	return f, time.Duration(wire.GetAgeMs()) * time.Millisecond
}
