// Package locality decides how long a task waits for a place in the rack that it prefers, near its
// data or its group, before it starts elsewhere and runs several times as long. Decisions are
// functions of facts and times: the package keeps no state, reads no clock and sends nothing.
//
// It answers a load in which many tasks want one rack: all of them fit into the fleet but not into
// the rack.
package locality

import (
	"math"
	"time"
)

// Way selects how long a task waits.
type Way string

// The ways.
const (
	// AtOnce places a task away as soon as its rack is full.
	AtOnce Way = "at_once"
	// Constant waits for a fixed time.
	Constant Way = "constant"
	// ExpectedCost waits while the wait is expected to cost less than a run away.
	ExpectedCost Way = "expected_cost"
)

// Valid reports whether w is one of the ways.
func (w Way) Valid() bool { return w == AtOnce || w == Constant || w == ExpectedCost }

const (
	// MaxIdleWait bounds the time for which a job with nothing running waits, in sum over its
	// tasks: callers count a job as forgotten that stands still for 3 s while there is capacity.
	MaxIdleWait = 1500 * time.Millisecond
	// reviewInterval is the time after which a wait is decided anew.
	reviewInterval = 100 * time.Millisecond
	// crowdedFactor weighs the additional processor time of a run away in a fleet that is short of
	// processors: what the run takes longer, another task waits.
	crowdedFactor = 2.0
)

// Never is an expected wait without an end.
const Never = time.Duration(math.MaxInt64)

// Facts are the inputs of a decision about one task. All durations are non-negative except slacks.
type Facts struct {
	// Usable is set if the rack has a VM that may get the task once it has capacity.
	Usable bool
	// Expected is the expected time until the task has a place in the rack; Never if unknown.
	Expected time.Duration
	// Slowdown is the factor by which the task takes longer in other racks.
	Slowdown float64
	// Remaining is the expected duration of the task in the rack.
	Remaining time.Duration
	// Crowded is set if other tasks wait for processors.
	Crowded bool
	// Slack is the time that the job can lose without missing its objective, LateSlack that
	// without losing its reduced value as well. They are negative if missed already.
	Slack, LateSlack time.Duration
	// Waited is how long the step has waited for this rack.
	Waited time.Duration
	// Idle is set if the job has nothing running, IdleWaited is how long it has waited so in all.
	Idle       bool
	IdleWaited time.Duration
}

// Reason is why a decision was taken.
type Reason string

// The reasons. The first group is of waits, the others of starts away.
const (
	// ReasonCheaper: the wait costs less than a run away.
	ReasonCheaper Reason = "wait is cheaper"
	// ReasonConstant: the constant wait is not over.
	ReasonConstant Reason = "constant wait"

	// ReasonAtOnce: tasks do not wait.
	ReasonAtOnce Reason = "no waits"
	// ReasonUnusable: no VM of the rack can be used.
	ReasonUnusable Reason = "rack unusable"
	// ReasonIdle: the job has had nothing running for as long as it may.
	ReasonIdle Reason = "job idle"
	// ReasonObjective: the wait would make the job miss its objective.
	ReasonObjective Reason = "objective"
	// ReasonDearer: the wait costs more than a run away.
	ReasonDearer Reason = "wait is dearer"
	// ReasonWaitedLong: the task has waited for what a run away would have cost, or for the
	// constant time.
	ReasonWaitedLong Reason = "waited long"
)

// Decision is the outcome for a task.
type Decision struct {
	// Wait is set if the task waits, until Until at the latest, else it starts away.
	Wait   bool
	Until  time.Duration
	Reason Reason
	// WaitCost and AwayCost are the expected costs of both, in time of the job.
	WaitCost, AwayCost time.Duration
}

// Policy selects a way; ConstantWait is the wait of Constant.
type Policy struct {
	Way          Way
	ConstantWait time.Duration
}

// Decide decides about a task without a place in its rack at the time now.
func (p Policy) Decide(now time.Duration, f *Facts) Decision {
	d := Decision{WaitCost: f.Expected, AwayCost: f.awayCost()}
	if !f.Usable && p.Way != AtOnce {
		d.Reason = ReasonUnusable
		return d
	}
	left, reason := p.wayLimit(f)
	for _, bound := range [...]func() (time.Duration, Reason){f.objectiveLimit, f.idleLimit} {
		if l, r := bound(); l < left {
			left, reason = l, r
		}
	}
	if left <= 0 {
		d.Reason = reason
		return d
	}
	d.Wait, d.Until, d.Reason = true, now+min(left, reviewInterval), ReasonCheaper
	if p.Way == Constant {
		d.Reason = ReasonConstant
	}
	return d
}

// wayLimit is how much longer the way lets the task wait, and why not longer. An expected cost is
// a guess: a task that has waited for as long as a run away would have cost goes away, so that it
// loses at most twice the lesser cost.
func (p Policy) wayLimit(f *Facts) (time.Duration, Reason) {
	switch p.Way {
	case Constant:
		return p.ConstantWait - f.Waited, ReasonWaitedLong
	case ExpectedCost:
		away := f.awayCost()
		if f.Expected > away {
			return 0, ReasonDearer
		}
		return away - f.Waited, ReasonWaitedLong
	case AtOnce:
	}
	return 0, ReasonAtOnce
}

// extra is how much longer the task takes away.
func (f *Facts) extra() time.Duration {
	return time.Duration(max(f.Slowdown-1, 0) * float64(f.Remaining))
}

// awayCost is the cost of a run away: the time that the job loses and, where processors are short,
// the time that others lose.
func (f *Facts) awayCost() time.Duration {
	if f.Crowded {
		return time.Duration(crowdedFactor * float64(f.extra()))
	}
	return f.extra()
}

// objectiveLimit is how much longer the job may wait without losing value that a start away would
// keep. A job that misses its objective both ways may wait as long as it keeps its reduced value.
func (f *Facts) objectiveLimit() (time.Duration, Reason) {
	limit := f.Slack
	if min(f.extra(), f.Expected) > f.Slack {
		limit = f.LateSlack
	}
	if f.Expected > limit {
		return 0, ReasonObjective
	}
	return limit, ReasonObjective
}

// idleLimit is how much longer the job may wait with nothing running.
func (f *Facts) idleLimit() (time.Duration, Reason) {
	if !f.Idle {
		return Never, ReasonIdle
	}
	return MaxIdleWait - f.IdleWaited, ReasonIdle
}

// MovePays reports whether a task with a run in its rack is started away instead: here is the time
// until the run ends, or until the task can run in the rack again if the run is lost.
func MovePays(here, duration time.Duration, slowdown float64) bool {
	return here > time.Duration(max(slowdown, 1)*float64(duration))
}
