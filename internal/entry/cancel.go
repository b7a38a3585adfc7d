package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/pause"
)

const (
	// peersQueue stands for the queues of cancellations that other processes pass on, which don't
	// name them.
	peersQueue = ""
	// maxCancelAttempts bounds the writes of a cancellation whose condition does not hold: the
	// job may be stored, end and be removed meanwhile.
	maxCancelAttempts = 4
	// knownJobTimeout bounds the call that asks the leader whether it knows a job. It delays the
	// caller.
	knownJobTimeout = 150 * time.Millisecond
	// cancelLimitRetryAfter is the delay for callers whose cancellation is over the limit: the time in
	// which a queue may have one more.
	cancelLimitRetryAfter = time.Second
)

// cancellation is the cancellation of a job by one caller.
type cancellation struct {
	queue, id string
	// outcomeUnknown is set once an attempt may have been, or may still be, carried out.
	outcomeUnknown bool
	// admitted is set once the cancellation was counted as one of an unknown job, before its
	// tombstone is written.
	admitted bool
}

// ErrCancelLimit is returned for a cancellation of an unknown job that was not recorded, because
// too many others were. Nothing was written.
var ErrCancelLimit = errors.New("too many cancellations of unknown jobs")

// Cancel stores the job's cancellation. It is idempotent. NotFound means that there is no such job,
// and that no submission that is under way will store it.
func (e *Entry) Cancel(ctx context.Context, queue *batch.Queue, id string) error {
	began := time.Now()
	c := &cancellation{queue: queue.Name, id: id}
	err := e.cancel(ctx, c)
	e.logOutcome("job_cancelled", id, queue.Name, began, err, eventlog.Fields{"tombstone": c.admitted})
	if err == nil {
		e.announce(ctx, id, nil)
	}
	return err
}

func (e *Entry) cancel(ctx context.Context, c *cancellation) error {
	ctx, stop := e.withTimeout(ctx, cancelTimeout)
	defer stop()
	for {
		err := e.tryCancel(ctx, c)
		switch {
		case err == nil:
			return nil
		case errkind.Is(err, errkind.NotFound):
			return err
		case errors.Is(err, durable.ErrUnknown):
			c.outcomeUnknown = true
		case errors.Is(err, ErrCancelLimit) && !c.outcomeUnknown:
			limited := errkind.New(errkind.Overloaded, "not cancelled", err)
			limited.RetryAfter = cancelLimitRetryAfter
			return limited
		case errors.Is(err, errStoreUnresponsive) && !c.outcomeUnknown:
			return errkind.New(errkind.StoreUnavailable, "not cancelled", err)
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < responseMargin+retryPause {
			if c.outcomeUnknown {
				return errkind.New(errkind.StoreUnknown, "it is not known whether the job was cancelled", err)
			}
			return errkind.New(errkind.StoreUnavailable, "not cancelled", err)
		}
		if pause.For(ctx, retryPause); ctx.Err() != nil {
			return errkind.New(errkind.CallerGone, "", ctx.Err())
		}
	}
}

func (e *Entry) tryCancel(ctx context.Context, c *cancellation) error {
	known, err := false, errStoreUnresponsive
	if c.outcomeUnknown || e.StoreReachable() {
		tryCtx, cancel := e.withTimeout(ctx, commitTimeout)
		known, err = e.recordCancel(tryCtx, c)
		cancel()
	}
	if !errors.Is(err, ErrCancelLimit) {
		err = e.fallBackToLeader(ctx, err, func(ctx context.Context) (err error) {
			known, err = e.Peers.Cancel(ctx, c.id)
			return err
		})
	}
	if err != nil {
		return err
	}
	if !known {
		return errkind.Newf(errkind.NotFound, "no such job")
	}
	return nil
}

// recordCancel records a cancellation in the store; known is false if there is no such job, which
// then has a tombstone. Each write is conditional on what it is based on: a job that is stored
// meanwhile is cancelled, and one that was removed leaves no cancellation behind.
func (e *Entry) recordCancel(ctx context.Context, c *cancellation) (known bool, err error) {
	if !c.admitted && e.unknownCancels.exhausted(c.queue) && !e.mayBeKnown(ctx, c.id) {
		return false, ErrCancelLimit
	}
	job, err := e.Store.Get(ctx, leader.JobKey(c.id))
	if err != nil {
		return false, err
	}
	for range maxCancelAttempts {
		if job != nil {
			err = e.markCancelled(ctx, c.id, job.Revision)
		} else {
			err = e.writeTombstone(ctx, c)
		}
		var conflict *durable.ConflictError
		if !errors.As(err, &conflict) {
			return job != nil, err
		}
		if conflict.Item(leader.CancelKey(c.id)) != nil {
			return true, nil
		}
		job = conflict.Item(leader.JobKey(c.id))
	}
	return false, errors.Mark(err, durable.ErrRefused)
}

// mayBeKnown asks the leader whether it knows a job. It returns false only based on a response.
func (e *Entry) mayBeKnown(ctx context.Context, id string) bool {
	ctx, cancel := e.withTimeout(ctx, knownJobTimeout)
	defer cancel()
	_, known, err := e.Peers.State(ctx, id)
	return err != nil || known
}

// markCancelled marks the job with a revision as cancelled. The mark is removed with the job.
func (e *Entry) markCancelled(ctx context.Context, id string, jobRevision int64) error {
	_, err := e.Store.Commit(ctx, durable.Txn{
		Conditions: []durable.Condition{{Key: leader.JobKey(id), Revision: jobRevision}, {Key: leader.CancelKey(id)}},
		Writes:     []durable.Write{{Key: leader.CancelKey(id), Value: emptyRecord}},
	})
	return err
}

// writeTombstone records that a job that is not stored was cancelled, so that no submission under
// way stores it.
func (e *Entry) writeTombstone(ctx context.Context, c *cancellation) error {
	if !c.admitted {
		if !e.unknownCancels.admit(c.queue) {
			return ErrCancelLimit
		}
		c.admitted = true
	}
	return e.writeVoidingRecord(ctx, leader.TombstoneKey(c.id), []durable.Condition{{Key: leader.JobKey(c.id)}})
}

// CancelForPeer records a cancellation on behalf of another process, like CreateForPeer.
func (e *Entry) CancelForPeer(ctx context.Context, id string) (known bool, err error) {
	if !e.StoreReachable() {
		return false, errStoreUnresponsive
	}
	return e.recordCancel(ctx, &cancellation{queue: peersQueue, id: id})
}
