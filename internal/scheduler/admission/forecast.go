package admission

import "time"

// Classes is the number of size classes of a queue's jobs.
const Classes = 6

// classBounds are the upper bounds of the size classes but the last, in multiples of the mean work
// of the queue's jobs. The largest class begins where a tenth of the jobs and a good part of the
// work is.
var classBounds = [Classes - 1]float64{0.25, 0.5, 1, 2, 4}

// classSizes are the sizes at which the classes are predicted.
var classSizes = [Classes]float64{0.15, 0.35, 0.75, 1.5, 3, 5}

// ClassOf returns the size class of a job, given the mean work of the queue's jobs.
func ClassOf(work, mean float64) int {
	if mean <= 0 {
		return 0
	}
	for class, bound := range classBounds {
		if work <= bound*mean {
			return class
		}
	}
	return Classes - 1
}

// ClassSize returns the size at which a class is predicted, in multiples of the mean work.
func ClassSize(class int) float64 { return classSizes[class] }

// QueueForecast is what new jobs of a queue are predicted to wait.
type QueueForecast struct {
	Queue string `json:"queue"`
	// Waits are the times until the first start of a job that arrives now, by size class.
	Waits [Classes]time.Duration `json:"waits_ns"`
	// LateWaits are the same of a job that does not end within its objective: it then comes behind
	// all that can.
	LateWaits [Classes]time.Duration `json:"late_waits_ns"`
	// Confidence is between 0 and 1.
	Confidence float64 `json:"confidence"`
	// MeanWork is the mean work of the queue's jobs, in core-seconds.
	MeanWork float64 `json:"mean_work"`
	// DurationRatio is the ratio of real durations of steps to declared ones.
	DurationRatio float64 `json:"duration_ratio"`
	// OverZones are the callers' zones that were given more than their part of the room.
	OverZones []string `json:"over_zones,omitempty"`
}

// Forecast is a leader's prediction for all queues.
type Forecast struct {
	// Fence is the leader's fencing token.
	Fence  int64           `json:"fence"`
	Queues []QueueForecast `json:"queues"`
}

// Queue returns the forecast of a queue, or nil.
func (f *Forecast) Queue(name string) *QueueForecast {
	for i := range f.Queues {
		if f.Queues[i].Queue == name {
			return &f.Queues[i]
		}
	}
	return nil
}

// Load is what stands before a new job of a queue.
type Load struct {
	// OnTime precedes a job that can end within its objective, Late one that can't. Arrivals are
	// not counted for the latter: they would all precede it, but a burst may end before.
	OnTime, Late Before
	// Rate is the rate at which work was completed while some waited; see Meter.
	Rate Rate
	// Capacity is the fleet's usable capacity now, in the unit of Rate.Capacity.
	Capacity float64
	// Unheard is the share of the fleet that has not reported to this leader.
	Unheard float64
}

// Before is the work that precedes new jobs.
type Before struct {
	// Ahead is the work without a run that precedes a new job, by its size class, in core-seconds.
	Ahead [Classes]float64
	// Arriving is the rate at which such work arrives, in core-seconds a second.
	Arriving [Classes]float64
}

const (
	// maxWait bounds a predicted wait.
	maxWait = time.Minute
	// minCapacityShare bounds the correction for capacity lost since the rate was measured.
	minCapacityShare = 0.05
	// fullyMeasured is for how long a rate is measured before it is trusted.
	fullyMeasured = 3 * time.Second
	// trustedUnheard is the unheard share of the fleet at which nothing is predicted.
	trustedUnheard = 0.5
)

// Predict sets the waits of a forecast, and how far they are to be trusted.
func (f *QueueForecast) Predict(l *Load) {
	rate := l.Rate.PerSecond
	if l.Rate.Capacity > 0 {
		rate *= max(l.Capacity/l.Rate.Capacity, minCapacityShare)
	}
	if rate <= 0 {
		f.Confidence = 0
		return
	}
	f.Waits, f.LateWaits = l.OnTime.waits(rate), l.Late.waits(rate)
	f.Confidence = min(l.Rate.Measured.Seconds()/fullyMeasured.Seconds(), 1) * max(1-l.Unheard/trustedUnheard, 0)
}

// waits returns the waits by size class. Work that arrives during the wait and precedes the job is
// counted for the wait that there is without it: that arrivals go on for longer is not known.
func (b *Before) waits(rate float64) (waits [Classes]time.Duration) {
	for class := range waits {
		wait := b.Ahead[class] / rate
		wait += b.Arriving[class] * wait / rate
		waits[class] = min(time.Duration(min(wait, maxWait.Seconds())*float64(time.Second)), maxWait)
	}
	return waits
}
