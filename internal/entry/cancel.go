package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/pause"
)

// Cancel stores the job's cancellation. It is idempotent.
func (e *Entry) Cancel(ctx context.Context, queue *batch.Queue, id string) error {
	began := time.Now()
	err := e.cancel(ctx, id)
	e.logOutcome("job_cancelled", id, queue.Name, began, err, nil)
	if err == nil {
		e.announce(ctx, id, nil)
	}
	return err
}

func (e *Entry) cancel(ctx context.Context, id string) error {
	outcomeUnknown := false
	ctx, stop := e.withTimeout(ctx, cancelTimeout)
	defer stop()
	for {
		err := e.tryCancel(ctx, id, outcomeUnknown)
		switch {
		case err == nil:
			return nil
		case errkind.Is(err, errkind.NotFound):
			return err
		case errors.Is(err, durable.ErrUnknown):
			outcomeUnknown = true
		case errors.Is(err, errStoreUnresponsive) && !outcomeUnknown:
			return errkind.New(errkind.StoreUnavailable, "not cancelled", err)
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < responseMargin+retryPause {
			if outcomeUnknown {
				return errkind.New(errkind.StoreUnknown, "it is not known whether the job was cancelled", err)
			}
			return errkind.New(errkind.StoreUnavailable, "not cancelled", err)
		}
		if pause.For(ctx, retryPause); ctx.Err() != nil {
			return errkind.New(errkind.CallerGone, "", ctx.Err())
		}
	}
}

func (e *Entry) tryCancel(ctx context.Context, id string, afterUnknown bool) error {
	known, err := false, errStoreUnresponsive
	if afterUnknown || e.StoreReachable() {
		tryCtx, cancel := e.withTimeout(ctx, commitTimeout)
		known, err = StoreCancel(tryCtx, e.Store, id)
		cancel()
	}
	err = e.fallBackToLeader(ctx, err, func(ctx context.Context) (err error) {
		known, err = e.Peers.Cancel(ctx, id)
		return err
	})
	if err != nil {
		return err
	}
	if !known {
		return errkind.Newf(errkind.NotFound, "no such job")
	}
	return nil
}

// StoreCancel stores the cancellation of a job; known is false if there is no such job.
func StoreCancel(ctx context.Context, store durable.Store, id string) (known bool, err error) {
	item, err := store.Get(ctx, leader.JobKey(id))
	if err != nil || item == nil {
		return false, err
	}
	return true, Create(ctx, store, leader.CancelKey(id), []byte("{}"))
}
