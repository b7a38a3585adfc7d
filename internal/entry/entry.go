// Package entry serves callers: it accepts jobs, reports their state and cancels them. A job is
// acknowledged to its caller only once it is in the durable store.
package entry

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/eventlog"
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
	// RefusalRevision makes the leader read the revision of a job's refusal, 0 for none.
	RefusalRevision(ctx context.Context, id string) (int64, error)
	// Waiting returns the number of a queue's jobs of which no task has started.
	Waiting(ctx context.Context, queue string) (int, error)
	// Submit makes the leader store a job. It returns durable.ErrRefused, ErrUnknown,
	// ErrRefusedSince or ErrCancelledBefore like the store itself.
	Submit(ctx context.Context, id string, record []byte, guard Guard) error
	// Announce informs the leader of a job that is in the store or, without a record, of its
	// cancellation.
	Announce(ctx context.Context, id string, record []byte) error
	// Cancel makes the leader record a cancellation; known is false if there is no such job, and no
	// submission under way will store it.
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
	// PeersLackStore reports whether other processes have responded recently and none of them
	// had a response from the store either; may be nil.
	PeersLackStore func() bool
	// LeaderReachable reports whether the leader has responded to this process recently.
	LeaderReachable func() bool
	// WallMS returns the wall clock time in milliseconds since 1970.
	WallMS func() int64
	// Zone is recorded with accepted jobs, "" for none.
	Zone string
	// Admission decides which jobs are refused; nil accepts all.
	Admission *Admission
	Log       *eventlog.Log
	// Observe is called for each response, for the metrics; may be nil.
	Observe func(operation string, took time.Duration, err error)

	// reachability is that of the store; probing is true while a probe runs.
	reachability Reachability
	probing      atomic.Bool
	// recordLease is that of refusals and tombstones.
	recordLease    recordLease
	unknownCancels unknownCancels
}

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

// logOutcome logs the response to a request, with further fields.
func (e *Entry) logOutcome(event, id, queue string, began time.Time, err error, more eventlog.Fields) {
	e.observe(event, began, err)
	fields := eventlog.Fields{"job": id, "queue": queue, "took_ms": time.Since(began).Milliseconds(), "outcome": "ok"}
	maps.Copy(fields, more)
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

// withTimeout returns a context that ends after d, or responseMargin before the caller's
// deadline if that is earlier.
func (e *Entry) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		d = min(d, max(time.Until(deadline)-responseMargin, 0))
	}
	return context.WithTimeout(ctx, d)
}
