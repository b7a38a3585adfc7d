package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// Submit stores the job, or returns why it was not accepted.
func (e *Entry) Submit(ctx context.Context, queue *batch.Queue, job *batch.Job) error {
	began := time.Now()
	content := leader.NewJobRecord(queue, job, e.WallMS())
	content.Zone = e.Zone
	record, err := json.Marshal(content)
	if err != nil {
		return errkind.New(errkind.Internal, "", err)
	}
	if e.Admission != nil {
		return e.submitGuarded(ctx, queue, job, record, began)
	}
	err = e.store(ctx, job.ID, record, Guard{})
	e.logOutcome("job_submitted", job.ID, queue.Name, began, err, nil)
	if err == nil {
		e.announce(ctx, job.ID, record)
	}
	return err
}

// submitGuarded stores the job unless it is refused.
func (e *Entry) submitGuarded(ctx context.Context, queue *batch.Queue, job *batch.Job, record []byte, began time.Time) error {
	a := e.admit(ctx, queue, job)
	var err error
	switch {
	case a.decision.Refuse:
		err = a.refusalError()
	case !a.stored:
		err = e.store(ctx, job.ID, record, a.guard)
		switch {
		case errors.Is(err, ErrRefusedSince):
			a.decision.Reason = admission.RefusedConcurrently
		case errors.Is(err, ErrCancelledBefore):
			a.decision.Reason = admission.RefusedCancelled
		}
	}
	if e.Admission.Observe != nil {
		e.Admission.Observe(a.decision.Reason)
	}
	e.logOutcome("job_submitted", job.ID, queue.Name, began, err, a.logFields())
	if err == nil && !a.stored {
		e.announce(ctx, job.ID, record)
	}
	return err
}

// announceDelay is the time given to the leader's watch to deliver a new job, which mostly
// takes a few milliseconds. An announcement sends the whole record a second time over the
// leader's link.
const announceDelay = 60 * time.Millisecond

// announce informs the leader of a job that its watch has not delivered, which takes seconds
// while the store's watches deliver nothing. Cancellations are short and are announced
// immediately. It is best effort: the caller does not wait, and correctness does not depend on
// it.
func (e *Entry) announce(ctx context.Context, id string, record []byte) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceDelay+2*leaderTimeout)
	go func() {
		defer cancel()
		if record != nil {
			pause.For(ctx, announceDelay)
			if _, known, err := e.Peers.State(ctx, id); err == nil && known {
				return
			}
		}
		if err := e.Peers.Announce(ctx, id, record); err != nil {
			e.Log.Event("announce_failed", eventlog.Fields{"job": id, "error": err.Error()})
		}
	}()
}

// store creates the job's key. A refusal is returned only if no attempt can have written it.
// After an unknown outcome the same write is repeated, and finds what the earlier attempt has
// written. A process that is cut off returns an error within about a second, so that the
// caller's retry reaches another process.
func (e *Entry) store(ctx context.Context, id string, record []byte, guard Guard) error {
	outcomeUnknown := false
	began := steady.Now()
	for attempt := 1; ; attempt++ {
		err := e.tryStore(ctx, id, record, guard, outcomeUnknown)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrRefusedSince):
			return refusedConcurrently(err)
		case errors.Is(err, ErrCancelledBefore):
			return cancelledBefore(err)
		case errors.Is(err, durable.ErrUnknown):
			outcomeUnknown = true
		case !outcomeUnknown:
			return e.refusal(err)
		}
		if deadline, ok := ctx.Deadline(); (attempt >= minStoreAttempts && steady.Now()-began >= minRetryDuration) || (ok && time.Until(deadline) < responseMargin+retryPause) {
			return errkind.New(errkind.StoreUnknown, "it is not known whether the job was accepted", err)
		}
		if pause.For(ctx, retryPause); ctx.Err() != nil {
			return errkind.New(errkind.CallerGone, "", ctx.Err())
		}
	}
}

// tryStore writes to the store, unless it is known to be unreachable, and otherwise through the
// leader. After an attempt of unknown outcome the store is used even if considered unreachable:
// nothing can be lost, and the response may show what the earlier attempt has written.
func (e *Entry) tryStore(ctx context.Context, id string, record []byte, guard Guard, afterUnknown bool) error {
	err := errStoreUnresponsive
	if afterUnknown || e.StoreReachable() {
		tryCtx, cancel := e.withTimeout(ctx, commitTimeout)
		err = e.create(tryCtx, id, record, guard)
		cancel()
	}
	if isVoided(err) {
		return err
	}
	return e.fallBackToLeader(ctx, err, func(ctx context.Context) error { return e.Peers.Submit(ctx, id, record, guard) })
}
