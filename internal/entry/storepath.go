package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// maxStoreResponseAge is how long the store may leave this process without a response before it
// counts as unreachable. It covers one read of the configuration, which is made every second
// and times out after 0.7 s, and a second attempt.
const maxStoreResponseAge = 2400 * time.Millisecond

// StoreReachable reports whether the store has responded to this process recently.
func (e *Entry) StoreReachable() bool {
	return e.reachability.RespondedWithin(maxStoreResponseAge, e.StoreRespondedAt())
}

// create stores a job and records whether the store is usable: one that repeatedly breaks
// connections is considered unreachable.
func (e *Entry) create(ctx context.Context, id string, record []byte, guard Guard) error {
	sentAt := steady.Now()
	err := createJob(ctx, e.Store, id, record, guard)
	switch {
	case err == nil, isVoided(err):
		e.reachability.RecordResponse()
	case errors.Is(err, durable.ErrUnknown) && ctx.Err() == nil:
		e.reachability.RecordReset(sentAt)
	default:
		e.reachability.RecordUnanswered(sentAt)
	}
	if !e.StoreReachable() {
		e.probe()
	}
	return err
}

// CreateForPeer stores a job on behalf of another process. Nothing is sent while the store is
// considered unreachable from here, so that the peer can refuse its caller instead of leaving
// the outcome unknown.
func (e *Entry) CreateForPeer(ctx context.Context, id string, record []byte, guard Guard) error {
	if !e.StoreReachable() {
		return errStoreUnresponsive
	}
	return e.create(ctx, id, record, guard)
}

// probe reads from the store until it responds, one read at a time, so that its recovery is
// detected without risking a caller's job.
func (e *Entry) probe() {
	if !e.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.probing.Store(false)
		for !e.StoreReachable() {
			time.Sleep(probeInterval)
			ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
			_, err := e.Store.Get(ctx, leader.JobKey(probeJobID))
			cancel()
			if err == nil {
				e.reachability.RecordResponse()
			}
		}
	}()
}

// probeJobID is not a valid job ID, so no caller can create such a job.
const probeJobID = "probe"

// errStoreUnresponsive is returned without a write while the store has not responded to this
// process recently.
var errStoreUnresponsive = errors.Mark(errors.New("the store does not answer this process"), durable.ErrRefused)

// ErrPeerRefused marks an error with which the leader itself responded that nothing was written.
var ErrPeerRefused = errors.New("the leader has stored nothing")

// errLeaderRefused marks a refusal although the leader was reached: it does not reach the store
// either.
var errLeaderRefused = errors.New("the leader does not reach the store")

// fallBackToLeader makes the leader perform a write that failed here with err. The outcome is
// unknown if either attempt's outcome is.
func (e *Entry) fallBackToLeader(ctx context.Context, err error, write func(ctx context.Context) error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, errStoreUnresponsive) && !e.LeaderReachable() {
		// Cut off from both: sending the write anyway would make the outcome unknown, whereas
		// now it is certain that nothing was written.
		return err
	}
	ctx, cancel := e.withTimeout(ctx, leaderTimeout)
	defer cancel()
	leaderErr := write(ctx)
	if leaderErr == nil {
		return nil
	}
	switch {
	case isVoided(leaderErr):
		// The write from here had the same condition, so it has not stored the job and never will.
		return leaderErr
	case errors.Is(err, durable.ErrUnknown), errors.Is(leaderErr, durable.ErrUnknown):
		return errors.Mark(err, durable.ErrUnknown)
	case errors.Is(leaderErr, ErrPeerRefused):
		return errors.Mark(err, errLeaderRefused)
	}
	return err
}

// ErrCancelledBefore is returned for a job that was cancelled before it was stored. Nothing of this
// submission was or will be stored.
var ErrCancelledBefore = errors.New("the job was cancelled before it was stored")

// isVoided reports whether a submission failed because a refusal or a tombstone voids it.
func isVoided(err error) bool {
	return errors.Is(err, ErrRefusedSince) || errors.Is(err, ErrCancelledBefore)
}

// errContradictoryConflict is returned if the store names none of the keys that can prevent a job
// from being stored.
var errContradictoryConflict = errors.Mark(errors.New("the store reports a conflict without an item"), durable.ErrUnknown)

// emptyRecord is the value of keys that only need to exist.
var emptyRecord = []byte("{}")

// createJob stores a job. It succeeds if the job is stored already.
func createJob(ctx context.Context, store durable.Store, id string, record []byte, guard Guard) error {
	_, err := store.Commit(ctx, durable.Txn{
		Conditions: append(guard.conditions(id), durable.Condition{Key: leader.TombstoneKey(id)}),
		Writes:     []durable.Write{{Key: leader.JobKey(id), Value: record}},
	})
	var conflict *durable.ConflictError
	switch {
	case !errors.As(err, &conflict):
		return err
	case conflict.Item(leader.JobKey(id)) != nil:
		return nil
	case conflict.Item(leader.TombstoneKey(id)) != nil:
		return ErrCancelledBefore
	case guard.Active:
		return ErrRefusedSince
	}
	return errContradictoryConflict
}
