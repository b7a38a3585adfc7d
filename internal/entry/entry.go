// Package entry serves callers: it accepts jobs, reports their state and cancels them. A job is
// acknowledged to its caller only once it is in the durable store.
package entry

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// commitTimeout bounds one attempt of a write. The store normally responds within
	// milliseconds, but can be slow for seconds at a time; a store sixty times slower than
	// usual still responds in time.
	commitTimeout = 500 * time.Millisecond
	// minStoreAttempts and minRetryDuration are how often and for how long a write of unknown
	// outcome is attempted at least; the duration is needed because an attempt takes only
	// milliseconds where connections are reset. A later attempt finds what an earlier one has
	// written. A process that gets no response to any attempt is cut off, and its caller is
	// better served by another process.
	minStoreAttempts = 2
	minRetryDuration = commitTimeout + retryPause
	// probeInterval is the wait between probes of a store that is considered unreachable.
	probeInterval = 200 * time.Millisecond
	// leaderTimeout bounds one call to the leader, after which the store is used.
	leaderTimeout = 500 * time.Millisecond
	// readTimeout bounds one read of a job's records.
	readTimeout = 800 * time.Millisecond
	// cancelTimeout bounds all attempts of a cancellation.
	cancelTimeout = 2 * time.Second
	// responseMargin is reserved from a caller's deadline for the delivery of the response.
	responseMargin = 100 * time.Millisecond
	// retryPause is the wait between attempts of a write.
	retryPause = 60 * time.Millisecond
)

// Peers calls the leader.
type Peers interface {
	// State returns a job's state; known is false if the leader has no such job.
	State(ctx context.Context, id string) (state batch.State, known bool, err error)
	// Waiting returns the number of a queue's jobs of which no task has started.
	Waiting(ctx context.Context, queue string) (int, error)
	// Submit makes the leader store a job. It returns durable.ErrRefused or ErrUnknown like the
	// store itself.
	Submit(ctx context.Context, id string, record []byte) error
	// Announce informs the leader of a job that is in the store or, without a record, of its
	// cancellation.
	Announce(ctx context.Context, id string, record []byte) error
	// Cancel makes the leader store a cancellation; known is false if there is no such job.
	Cancel(ctx context.Context, id string) (known bool, err error)
}

// Entry serves callers' requests from the store and the leader.
type Entry struct {
	Store durable.Store
	Peers Peers
	// InForce returns the configuration in force, nil if there is none.
	InForce func() *batch.Config
	// Accepting reports whether the balancer should send callers to this process.
	Accepting func() bool
	// ConfirmedAge returns the time since the configuration in force was confirmed to be the
	// newest; ok is false if it never was, or if a newer one is known to exist.
	ConfirmedAge func() (age time.Duration, ok bool)
	// ConfirmConfig looks up the newest configuration, unless it was confirmed very recently,
	// and waits a bounded time for the result.
	ConfirmConfig func(ctx context.Context)
	// StoreRespondedAt returns when the store last responded to this process's reads and
	// watches of the configuration, on the monotonic clock; 0 for never.
	StoreRespondedAt func() time.Duration
	// LeaderReachable reports whether the leader has responded to this process recently.
	LeaderReachable func() bool
	// WallMS returns the wall clock time in milliseconds since 1970.
	WallMS func() int64
	Log    *eventlog.Log
	// Observe is called for each response, for the metrics; may be nil.
	Observe func(operation string, took time.Duration, err error)

	// reachability is that of the store; probing is true while a probe runs.
	reachability Reachability
	probing      atomic.Bool
}

// maxStoreResponseAge is how long the store may leave this process without a response before it
// counts as unreachable. It covers one read of the configuration, which is made every second
// and times out after 0.7 s, and a second attempt.
const maxStoreResponseAge = 2400 * time.Millisecond

// StoreReachable reports whether the store has responded to this process recently.
func (e *Entry) StoreReachable() bool {
	return e.reachability.RespondedWithin(maxStoreResponseAge, e.StoreRespondedAt())
}

// create creates a key in the store and records whether the store is usable: one that
// repeatedly breaks connections is considered unreachable.
func (e *Entry) create(ctx context.Context, key string, value []byte) error {
	sentAt := steady.Now()
	err := Create(ctx, e.Store, key, value)
	switch {
	case err == nil:
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

// CreateForPeer creates a key on behalf of another process. Nothing is sent while the store is
// considered unreachable from here, so that the peer can refuse its caller instead of leaving
// the outcome unknown.
func (e *Entry) CreateForPeer(ctx context.Context, key string, value []byte) error {
	if !e.StoreReachable() {
		return errStoreUnresponsive
	}
	return e.create(ctx, key, value)
}

// CancelForPeer stores a cancellation on behalf of another process, like CreateForPeer.
func (e *Entry) CancelForPeer(ctx context.Context, id string) (known bool, err error) {
	if !e.StoreReachable() {
		return false, errStoreUnresponsive
	}
	return StoreCancel(ctx, e.Store, id)
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

// Config returns the configuration in force, nil if there is none.
func (e *Entry) Config() *batch.Config { return e.InForce() }

// maxConfigPropagationDelay is how long after its acknowledgement a configuration version is in
// force in all processes. "no such queue" is only returned based on a version confirmed to be
// the newest within that time.
const maxConfigPropagationDelay = 2 * time.Second

// Route returns the queue for a request for path on host, and the part of path after the
// queue's prefix. NotFound is final for the caller, so it is returned only based on a confirmed
// configuration, which is looked up again if necessary.
func (e *Entry) Route(ctx context.Context, host, path string) (*batch.Queue, string, error) {
	config := e.InForce()
	if config == nil {
		return nil, "", unavailableError("no configuration yet", nil)
	}
	if queue, rest := config.Match(host, path); queue != nil {
		return queue, rest, nil
	}
	e.ConfirmConfig(ctx)
	config = e.InForce()
	if queue, rest := config.Match(host, path); queue != nil {
		return queue, rest, nil
	}
	err := errkind.Newf(errkind.NotFound, "no such queue")
	if age, ok := e.ConfirmedAge(); !ok || age > maxConfigPropagationDelay {
		err = unavailableError("it is not known here whether there is such a queue", nil)
	}
	e.logUnknownQueue(host, path, config, err)
	return nil, "", err
}

// maxLoggedLength limits the logged host and path of a request without a queue.
const maxLoggedLength = 80

func (e *Entry) logUnknownQueue(host, path string, config *batch.Config, err *errkind.Error) {
	e.observe("queue_unknown", time.Now(), err)
	fields := eventlog.Fields{"host": truncate(host), "path": truncate(path), "version": config.Version, "outcome": string(err.Kind)}
	if age, ok := e.ConfirmedAge(); ok {
		fields["confirmed_ago_ms"] = age.Milliseconds()
	}
	e.Log.Event("queue_unknown", fields)
}

func truncate(text string) string { return text[:min(len(text), maxLoggedLength)] }

// Ready reports whether the balancer should send callers to this process.
func (e *Entry) Ready() bool { return e.Accepting() }

// Submit stores the job, or returns why it was not accepted.
func (e *Entry) Submit(ctx context.Context, queue *batch.Queue, job *batch.Job) error {
	began := time.Now()
	record, err := json.Marshal(leader.NewJobRecord(queue, job, e.WallMS()))
	if err != nil {
		return errkind.New(errkind.Internal, "", err)
	}
	err = e.store(ctx, job.ID, record)
	e.logOutcome("job_submitted", job.ID, queue.Name, began, err)
	if err == nil {
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

func (e *Entry) logOutcome(event, id, queue string, began time.Time, err error) {
	e.observe(event, began, err)
	fields := eventlog.Fields{"job": id, "queue": queue, "took_ms": time.Since(began).Milliseconds(), "outcome": "ok"}
	if err != nil {
		fields["outcome"] = string(errkind.From(err).Kind)
		fields["error"] = err.Error()
	}
	e.Log.Event(event, fields)
}

func (e *Entry) observe(operation string, began time.Time, err error) {
	if e.Observe != nil {
		e.Observe(operation, time.Since(began), err)
	}
}

// store creates the job's key. A refusal is returned only if no attempt can have written it.
// After an unknown outcome the same write is repeated, and finds what the earlier attempt has
// written. A process that is cut off returns an error within about a second, so that the
// caller's retry reaches another process.
func (e *Entry) store(ctx context.Context, id string, record []byte) error {
	outcomeUnknown := false
	began := steady.Now()
	for attempt := 1; ; attempt++ {
		err := e.tryStore(ctx, id, record, outcomeUnknown)
		switch {
		case err == nil:
			return nil
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

// unavailableRetryAfter is the delay after which a caller that was refused because the store is
// unreachable may retry. Usually only this process has lost the store, and the balancer sends
// the caller to another one; each second of waiting makes a short job late.
const unavailableRetryAfter = time.Second

// maxOutageRetryAfter bounds the delay for callers that are refused during an outage of the store
// that the leader sees as well. No process can accept them before its end, and callers repeat
// only so often. An outage that has lasted for some time is assumed to last as long again.
const maxOutageRetryAfter = 3 * time.Second

// refusal returns the error for a job that was certainly not accepted.
func (e *Entry) refusal(cause error) *errkind.Error {
	err := unavailableError("not accepted", cause)
	if errors.Is(cause, errLeaderRefused) {
		err.RetryAfter = min(max(e.sinceStoreResponse(), unavailableRetryAfter), maxOutageRetryAfter)
	}
	return err
}

// sinceStoreResponse returns the time since the store last responded to this process.
func (e *Entry) sinceStoreResponse() time.Duration {
	return steady.Now() - max(e.reachability.LastResponseAt(), e.StoreRespondedAt())
}

func unavailableError(message string, cause error) *errkind.Error {
	err := errkind.New(errkind.StoreUnavailable, message, cause)
	err.RetryAfter = unavailableRetryAfter
	return err
}

// errStoreUnresponsive is returned without a write while the store has not responded to this
// process recently.
var errStoreUnresponsive = errors.Mark(errors.New("the store does not answer this process"), durable.ErrRefused)

// ErrPeerRefused marks an error with which the leader itself responded that nothing was written.
var ErrPeerRefused = errors.New("the leader has stored nothing")

// errLeaderRefused marks a refusal although the leader was reached: it does not reach the store
// either.
var errLeaderRefused = errors.New("the leader does not reach the store")

// tryStore writes to the store, unless it is known to be unreachable, and otherwise through the
// leader. After an attempt of unknown outcome the store is used even if considered unreachable:
// nothing can be lost, and the response may show what the earlier attempt has written.
func (e *Entry) tryStore(ctx context.Context, id string, record []byte, afterUnknown bool) error {
	err := errStoreUnresponsive
	if afterUnknown || e.StoreReachable() {
		tryCtx, cancel := e.withTimeout(ctx, commitTimeout)
		err = e.create(tryCtx, leader.JobKey(id), record)
		cancel()
	}
	return e.fallBackToLeader(ctx, err, func(ctx context.Context) error { return e.Peers.Submit(ctx, id, record) })
}

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
	case errors.Is(err, durable.ErrUnknown), errors.Is(leaderErr, durable.ErrUnknown):
		return errors.Mark(err, durable.ErrUnknown)
	case errors.Is(leaderErr, ErrPeerRefused):
		return errors.Mark(err, errLeaderRefused)
	}
	return err
}

// Create creates a key. It succeeds if the key exists already, since then an earlier attempt or
// another process has created it for the same ID.
func Create(ctx context.Context, store durable.Store, key string, value []byte) error {
	_, err := store.Commit(ctx, durable.Txn{
		Conditions: []durable.Condition{{Key: key}},
		Writes:     []durable.Write{{Key: key, Value: value}},
	})
	var conflict *durable.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// withTimeout returns a context that ends after d, or responseMargin before the caller's
// deadline if that is earlier.
func (e *Entry) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		d = min(d, max(time.Until(deadline)-responseMargin, 0))
	}
	return context.WithTimeout(ctx, d)
}

// State returns the job's state. NotFound is returned only based on the store's own response.
func (e *Entry) State(ctx context.Context, _ *batch.Queue, id string) (batch.State, error) {
	began := time.Now()
	state, err := e.state(ctx, id)
	e.observe("job_state", began, err)
	return state, err
}

func (e *Entry) state(ctx context.Context, id string) (batch.State, error) {
	leaderCtx, cancel := e.withTimeout(ctx, leaderTimeout)
	state, known, err := e.Peers.State(leaderCtx, id)
	cancel()
	if err == nil && known {
		return state, nil
	}
	if !e.StoreReachable() {
		return "", errkind.New(errkind.StoreUnavailable, "the job's state is not known here", errStoreUnresponsive)
	}
	readCtx, cancel := e.withTimeout(ctx, readTimeout)
	defer cancel()
	return e.storedState(readCtx, id)
}

func (e *Entry) storedState(ctx context.Context, id string) (batch.State, error) {
	unavailable := func(err error) error {
		return errkind.New(errkind.StoreUnavailable, "the job's state is not known here", err)
	}
	items, _, err := e.Store.Range(ctx, leader.JobKey(id))
	if err != nil {
		return "", unavailable(err)
	}
	state := batch.State("")
	for i := range items {
		switch items[i].Key {
		case leader.JobKey(id):
			if state == "" {
				state = batch.Queued
			}
		case leader.CancelKey(id):
			state = batch.Cancelled
		}
	}
	if state == "" {
		return "", errkind.Newf(errkind.NotFound, "no such job")
	}
	item, err := e.Store.Get(ctx, leader.ProgressKey(id))
	if err != nil {
		return "", unavailable(err)
	}
	if item == nil {
		return state, nil
	}
	final, err := leader.DecodeFinalState(id, item.Value)
	switch {
	case err != nil:
		return "", errkind.New(errkind.Internal, "", err)
	case final != "":
		return final, nil
	case state == batch.Queued:
		return batch.Running, nil
	}
	return state, nil
}

// Waiting returns the number of the queue's jobs of which no task has started.
func (e *Entry) Waiting(ctx context.Context, queue *batch.Queue) (int, error) {
	ctx, cancel := e.withTimeout(ctx, 2*leaderTimeout)
	defer cancel()
	n, err := e.Peers.Waiting(ctx, queue.Name)
	if err != nil {
		return 0, errkind.New(errkind.NoOwner, "no leader answers", err)
	}
	return n, nil
}

// Cancel stores the job's cancellation. It is idempotent.
func (e *Entry) Cancel(ctx context.Context, queue *batch.Queue, id string) error {
	began := time.Now()
	err := e.cancel(ctx, id)
	e.logOutcome("job_cancelled", id, queue.Name, began, err)
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
