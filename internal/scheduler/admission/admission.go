// Package admission predicts how long new jobs wait under overload, and decides whether an entry
// process refuses a job that can't be done in time. It holds no clock and does no I/O.
package admission

import "time"

// Mode selects which jobs are refused.
type Mode string

// The modes.
const (
	// AcceptAll accepts every job.
	AcceptAll Mode = "accept_all"
	// RefuseLate refuses a job that is predicted to end when it has no value any more.
	RefuseLate Mode = "refuse_late"
	// RefuseByShare is RefuseLate, but users that were given less than their part of the room are
	// refused only at twice the predicted time.
	RefuseByShare Mode = "refuse_by_share"
)

// Valid reports whether m is one of the modes.
func (m Mode) Valid() bool { return m == AcceptAll || m == RefuseLate || m == RefuseByShare }

const (
	// MaxForecastAge is the age above which a forecast refuses nothing: within it a burst may
	// have ended.
	MaxForecastAge = 1500 * time.Millisecond
	// MinConfidence is the confidence below which a forecast refuses nothing.
	MinConfidence = 0.5
	// LateFactor is the multiple of its objective up to which a late job has a value.
	LateFactor = 3
	// underservedFactor is how much later a job of a user below its part may be than others.
	underservedFactor = 2
	// MinRetryAfter is the shortest delay suggested to refused callers.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the longest one.
	MaxRetryAfter = 10 * time.Second
)

// Reason is why a job was accepted or refused.
type Reason string

// The reasons.
const (
	AcceptedFits          Reason = "fits"
	AcceptedNotPredicted  Reason = "not_predicted"
	AcceptedNoForecast    Reason = "no_forecast"
	AcceptedStale         Reason = "stale_forecast"
	AcceptedOtherTenure   Reason = "other_tenure"
	AcceptedLowConfidence Reason = "low_confidence"
	AcceptedUnderserved   Reason = "below_its_part"
	// AcceptedKnown: the job was accepted before.
	AcceptedKnown Reason = "known_job"
	// AcceptedUnproven: it is not certain that an earlier submission of the job is void.
	AcceptedUnproven Reason = "refusal_unproven"
	RefusedLate      Reason = "too_late"
	// RefusedConcurrently: another process refused the same submission meanwhile.
	RefusedConcurrently Reason = "refused_elsewhere"
	// RefusedCancelled: the job was cancelled before it was stored.
	RefusedCancelled Reason = "cancelled_before"
)

// Reasons lists all reasons.
var Reasons = []Reason{
	AcceptedFits, AcceptedNotPredicted, AcceptedNoForecast, AcceptedStale, AcceptedOtherTenure, AcceptedLowConfidence, AcceptedUnderserved,
	AcceptedKnown, AcceptedUnproven, RefusedLate, RefusedConcurrently, RefusedCancelled,
}

// Job is what decides about a new job.
type Job struct {
	// Work is its declared work in core-seconds, CriticalPath its longest chain of declared
	// durations.
	Work         float64
	CriticalPath time.Duration
	// Stretch and Slack are the queue's: the objective is Stretch times the corrected critical path,
	// plus Slack.
	Stretch float64
	Slack   time.Duration
	// Unpredicted is set for lasting and timed jobs, which are always accepted.
	Unpredicted bool
	// Zone is where the job arrived.
	Zone string
	// Spread is a number from 0 to 1 by which returning callers are distributed over time.
	Spread float64
}

// Known is a forecast as an entry process knows it.
type Known struct {
	// Queue is the forecast of the job's queue; nil if there is none.
	Queue *QueueForecast
	Age   time.Duration
	// Fence is the tenure that made it, CurrentFence that of the leader known now; 0 if unknown.
	Fence, CurrentFence int64
}

// Decision is the outcome for one job.
type Decision struct {
	Refuse bool
	Reason Reason
	// Wait and End are the predicted times from now to the first start and to the end, Limit
	// the end from which a job is refused. They are 0 where nothing was predicted.
	Wait, End, Limit time.Duration
	// RetryAfter is when a refused caller may return.
	RetryAfter time.Duration
}

// Decide decides about a job. What is not known to be too late is accepted.
func Decide(mode Mode, job Job, known Known) Decision {
	switch {
	case mode == AcceptAll || job.Unpredicted:
		return Decision{Reason: AcceptedNotPredicted}
	case known.Queue == nil:
		return Decision{Reason: AcceptedNoForecast}
	case known.Fence == 0 || known.Fence != known.CurrentFence:
		return Decision{Reason: AcceptedOtherTenure}
	case known.Age > MaxForecastAge:
		return Decision{Reason: AcceptedStale}
	case known.Queue.Confidence < MinConfidence:
		return Decision{Reason: AcceptedLowConfidence}
	}
	return decide(mode, job, known.Queue)
}

func decide(mode Mode, job Job, q *QueueForecast) Decision {
	path := time.Duration(float64(job.CriticalPath) * max(q.DurationRatio, 1))
	objective := time.Duration(job.Stretch*float64(path)) + job.Slack
	class := ClassOf(job.Work, q.MeanWork)
	d := Decision{Reason: AcceptedFits, Wait: q.Waits[class], Limit: LateFactor * objective}
	room := d.Wait - (objective - path)
	if room > 0 {
		d.Wait = max(d.Wait, q.LateWaits[class])
	}
	d.End = d.Wait + path
	if d.End <= d.Limit {
		return d
	}
	if mode == RefuseByShare && !q.isOver(job.Zone) {
		d.Limit *= underservedFactor
		if d.End <= d.Limit {
			d.Reason = AcceptedUnderserved
			return d
		}
	}
	d.Refuse, d.Reason = true, RefusedLate
	d.RetryAfter = retryAfter(room, job.Spread)
	return d
}

// retryAfter spreads returning callers over the time from room, when a new job of the class is
// predicted to be in time, to twice that.
func retryAfter(room time.Duration, spread float64) time.Duration {
	at := time.Duration(float64(room) * (1 + min(max(spread, 0), 1)))
	return min(max(at, MinRetryAfter), MaxRetryAfter)
}

func (q *QueueForecast) isOver(zone string) bool {
	for _, over := range q.OverZones {
		if over == zone {
			return true
		}
	}
	return false
}
