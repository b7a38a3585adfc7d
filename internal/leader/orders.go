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
	// orderTimeout bounds one attempt to send an order; maxStartTries is the number of
	// attempts for a start before its run is abandoned.
	orderTimeout  = 500 * time.Millisecond
	maxStartTries = 3
	// stopRetryDelay is the delay after the first attempt of a stop. It doubles up to
	// maxStopRetryDelay; without that an overloaded leader would do nothing but repeat stops.
	stopRetryDelay    = 200 * time.Millisecond
	maxStopRetryDelay = 1600 * time.Millisecond
	// stopRetryDuration bounds how long a stop is repeated if its run does not count. The stop
	// is ordered again for as long as the VM reports the run.
	stopRetryDuration = 25 * time.Second
)

// handleFenceRefusal handles an order that an instance refused because of its fencing token.
// The instance has seen either a successor's token, which ends the tenure, or a higher one
// that this leader has used there since.
func (t *term) handleFenceRefusal(id string, token int64) {
	if token >= t.token(id) {
		t.endFenced(id)
	}
}

// endFenced ends the tenure because a VM or machine has seen a successor's fencing token.
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

// executeOrder sends an order to its instance. dequeued is called once a start has left the
// queue of starts, to be sent or dropped.
func (t *term) executeOrder(ctx context.Context, o scheduler.Order, dequeued func(now time.Duration)) {
	switch o.Kind {
	case scheduler.OrderStart:
		t.start(ctx, o, dequeued)
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

// acquireCall waits for a slot among the concurrent calls; release frees it. A stop holds a
// slot for one attempt at a time, since long repetition must not delay other orders.
func (t *term) acquireCall(vm string) (release func()) {
	slots := t.directCalls
	if t.Relays != nil && t.Relays.Relayed(vm) {
		slots = t.relayedCalls
	}
	slots <- struct{}{}
	return func() { <-slots }
}

// isStartWanted reports whether the given attempt of a start is still to be made. While an
// earlier attempt got no response, the task may have been done elsewhere or its job cancelled.
func (t *term) isStartWanted(o scheduler.Order, try int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if try == 0 {
		return t.sched.PrepareStart(steady.Now(), o)
	}
	return t.sched.ShouldResendStart(steady.Now(), o)
}

// start sends a start order until its outcome is known, up to maxStartTries times. If an
// attempt got no response, the outcome stays unknown even when a later one is refused, since
// the earlier attempt may still be carried out.
func (t *term) start(ctx context.Context, o scheduler.Order, dequeued func(now time.Duration)) {
	release, err := t.startWindow.acquire(ctx)
	dequeued(steady.Now())
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

// orderFields returns the log fields of an order with one additional field.
func orderFields(o *scheduler.Order, key string, value any) eventlog.Fields {
	return eventlog.Fields{"vm": o.Instance.ID, "job": o.Task.Job, "task": o.Task.String(), "run": o.Run, key: value}
}

// shouldRepeatStop reports whether to repeat a stop that has been repeated for the given time.
// While its run counts, only a confirmation ends the wait: the VM's lease does not expire, as
// each successful hold renews it.
func (t *term) shouldRepeatStop(o scheduler.Order, elapsed time.Duration) bool {
	if elapsed < stopRetryDuration {
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
	nextLogAt := stopRetryDuration
	delay := stopRetryDelay
	for ctx.Err() == nil && t.tenure.MayAct() {
		age := steady.Now() - began
		if age >= nextLogAt {
			t.log.Warn("stop_unconfirmed", err, orderFields(&o, "age_ms", age.Milliseconds()))
			nextLogAt += stopRetryDuration
		}
		if !t.shouldRepeatStop(o, age) {
			return
		}
		release := t.acquireCall(o.Instance.ID)
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		token := t.token(o.Instance.ID)
		err = t.Agents.Stop(callCtx, &o.Instance, o.Task, o.Run, token)
		cancel()
		release()
		switch refusalOf(err) {
		case batch.RefusedGone:
			return
		case batch.RefusedFence:
			t.handleFenceRefusal(o.Instance.ID, token)
		}
		// RefusedOld means that the run has already ended there.
		if err == nil || refusalOf(err) == batch.RefusedOld {
			t.mu.Lock()
			t.sched.Stopped(steady.Now(), o)
			t.mu.Unlock()
			return
		}
		pause.For(ctx, delay)
		delay = min(2*delay, maxStopRetryDelay)
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

// adviceTimeout bounds one call to the adviser, including any wait at the adviser.
const adviceTimeout = 4 * time.Second

func (t *term) advise(ctx context.Context, o scheduler.Order) {
	// One call at a time: the adviser accepts no more, and the validity of a ticket counts
	// from the call.
	t.adviceMu.Lock()
	defer t.adviceMu.Unlock()
	askedAt := steady.Now()
	callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	tickets, validFor, err := t.Adviser.Advise(callCtx, o.Task, o.Candidates)
	if err != nil && ctx.Err() == nil {
		t.log.Warn("advice_failed", err, eventlog.Fields{"task": o.Task.String(), "candidates": len(o.Candidates)})
	}
	t.mu.Lock()
	t.sched.Advised(steady.Now(), askedAt, o, tickets, validFor, err == nil)
	t.mu.Unlock()
	t.requestPlan()
}
