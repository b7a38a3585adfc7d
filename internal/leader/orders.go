package leader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// orderTimeout bounds one try of an order; tries is how often a start is
	// repeated before its run is given up.
	orderTimeout  = 500 * time.Millisecond
	maxStartTries = 3
	// stopRetryDelay is the wait after the first try of a stop. It doubles up to
	// maxStopRetryDelay: a leader that is behind would do nothing but repeat stops.
	stopRetryDelay    = 200 * time.Millisecond
	maxStopRetryDelay = 1600 * time.Millisecond
	// stopRetryDuration bounds how long a stop is repeated whose run does not count; while the
	// VM lists it the stop is ordered again.
	stopRetryDuration = 25 * time.Second
)

// handleFenceRefusal takes in that an instance has refused an order with a fencing token. It has seen a
// successor's, which ends the tenure, or a higher one that this leader has used there since.
func (t *term) handleFenceRefusal(id string, token int64) {
	if token >= t.token(id) {
		t.endFenced(id)
	}
}

// endFenced ends the tenure: a VM or a machine has seen a successor's fencing token.
func (t *term) endFenced(id string) {
	t.log.Event("leader_fenced", eventlog.Fields{"vm": id, "fence": t.tenure.Fence})
	t.tenure.End()
}

func refusalOf(err error) batch.Refusal {
	var refusal *batch.RefusalError
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}

// executeOrder gives an order to its instance. given is told of a start that is given, or dropped.
func (t *term) executeOrder(ctx context.Context, o scheduler.Order, given func(now time.Duration)) {
	switch o.Kind {
	case scheduler.OrderStart:
		t.start(ctx, o, given)
	case scheduler.OrderStop:
		t.stop(ctx, o)
	case scheduler.OrderPace:
		t.pace(ctx, o)
	case scheduler.OrderAdvise:
		t.advise(ctx, o)
	case scheduler.OrderMaintain:
		t.maintain(ctx, o)
	}
}

// acquireCall waits for a place among the calls under way. A stop holds it for one try
// at a time: what is repeated for long must not keep other orders from being given.
// The place is to be left when the call is over.
func (t *term) acquireCall(vm string) (leave func()) {
	places := t.directCalls
	if t.Relays != nil && t.Relays.Relayed(vm) {
		places = t.relayedCalls
	}
	places <- struct{}{}
	return func() { <-places }
}

// isStartWanted reports whether a try of a start is still to be made. A task may be done
// elsewhere, or its job cancelled, while an earlier try had no answer.
func (t *term) isStartWanted(o scheduler.Order, try int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if try == 0 {
		return t.sched.PrepareStart(steady.Now(), o)
	}
	return t.sched.ShouldResendStart(steady.Now(), o)
}

// start gives a start order until its outcome is known, a few times. A refusal
// after a try that got no answer says nothing of that try, which may be carried
// out later: the outcome is unknown.
func (t *term) start(ctx context.Context, o scheduler.Order, given func(now time.Duration)) {
	release, err := t.startWindow.acquire(ctx)
	given(steady.Now())
	if err != nil {
		return
	}
	defer release()
	unanswered := false
	var refusal batch.Refusal
	var clock time.Duration
	var sentAt time.Duration
	for try := 0; ; try++ {
		if ctx.Err() != nil || !t.tenure.MayAct() {
			if unanswered {
				t.log.Event("start_abandoned", orderFields(&o, "tries", try))
			}
			return
		}
		if !t.isStartWanted(o, try) {
			if unanswered {
				break
			}
			return
		}
		sentAt = steady.Now()
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		value, err := t.Agents.Start(callCtx, &o.Instance, o.Start)
		cancel()
		refusal = refusalOf(err)
		t.startWindow.recordOutcome(steady.Now()-sentAt, err == nil || refusal != "")
		clock = value
		if err == nil {
			unanswered = false
			break
		}
		if refusal == batch.RefusedFence {
			t.handleFenceRefusal(o.Instance.ID, o.Start.Fence)
			if !t.tenure.MayAct() {
				return
			}
			unanswered = true
			break
		}
		if refusal != "" {
			break
		}
		unanswered = true
		if try+1 >= maxStartTries {
			t.log.Warn("start_unanswered", err, orderFields(&o, "tries", maxStartTries))
			break
		}
	}
	now := steady.Now()
	if refusal == batch.RefusedGone {
		t.handleReplaced(now, &o.Instance)
	}
	t.mu.Lock()
	t.sched.Started(now, sentAt, o, clock, refusal, unanswered)
	t.mu.Unlock()
	t.requestPlan()
}

// orderFields are an order's for a line, with one figure.
func orderFields(o *scheduler.Order, figure string, value any) eventlog.Fields {
	return eventlog.Fields{"vm": o.Instance.ID, "job": o.Task.Job, "task": o.Task.String(), "run": o.Run, figure: value}
}

// shouldRepeatStop reports whether a stop that has been repeated for a time is to be
// repeated again. As long as its run counts nothing else ends the wait for it: the
// VM's lease is renewed by each hold that it answers.
func (t *term) shouldRepeatStop(o scheduler.Order, lasted time.Duration) bool {
	if lasted < stopRetryDuration {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sched.StopUnconfirmed(o)
}

// stop repeats a stop until it is confirmed.
func (t *term) stop(ctx context.Context, o scheduler.Order) { t.stopSince(ctx, o, steady.Now()) }

func (t *term) stopSince(ctx context.Context, o scheduler.Order, began time.Duration) {
	var err error
	tellAt := stopRetryDuration
	rest := stopRetryDelay
	for ctx.Err() == nil && t.tenure.MayAct() {
		age := steady.Now() - began
		if age >= tellAt {
			t.log.Warn("stop_unconfirmed", err, orderFields(&o, "age_ms", age.Milliseconds()))
			tellAt += stopRetryDuration
		}
		if !t.shouldRepeatStop(o, age) {
			return
		}
		leave := t.acquireCall(o.Instance.ID)
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		token := t.token(o.Instance.ID)
		err = t.Agents.Stop(callCtx, &o.Instance, o.Task, o.Run, token)
		cancel()
		leave()
		switch refusalOf(err) {
		case batch.RefusedGone:
			return
		case batch.RefusedFence:
			t.handleFenceRefusal(o.Instance.ID, token)
		}
		// "Old" says that the run has ended there already.
		if err == nil || refusalOf(err) == batch.RefusedOld {
			t.mu.Lock()
			t.sched.Stopped(steady.Now(), o)
			t.mu.Unlock()
			return
		}
		pause.For(ctx, rest)
		rest = min(2*rest, maxStopRetryDelay)
	}
}

func (t *term) pace(ctx context.Context, o scheduler.Order) {
	defer t.acquireCall(o.Instance.ID)()
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := t.Agents.Pace(callCtx, &o.Instance, o.Task, o.Run, o.Percent, t.token(o.Instance.ID))
	t.mu.Lock()
	t.sched.HandlePaceResult(o, err == nil)
	t.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		t.log.Warn("pace_failed", err, eventlog.Fields{"vm": o.Instance.ID, "task": o.Task.String()})
	}
}

// adviceTimeout bounds one question to the adviser, the wait for its turn included.
const adviceTimeout = 4 * time.Second

func (t *term) advise(ctx context.Context, o scheduler.Order) {
	// Questions are asked one at a time: the adviser takes no more, and a
	// ticket's life is counted from the question.
	t.adviceMu.Lock()
	defer t.adviceMu.Unlock()
	askedAt := steady.Now()
	callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	good, validFor, err := t.Adviser.Advise(callCtx, o.Task, o.Candidates)
	if err != nil && ctx.Err() == nil {
		t.log.Warn("advice_failed", err, eventlog.Fields{"task": o.Task.String(), "candidates": len(o.Candidates)})
	}
	t.mu.Lock()
	t.sched.Advised(steady.Now(), askedAt, o, good, validFor, err == nil)
	t.mu.Unlock()
	t.requestPlan()
}
