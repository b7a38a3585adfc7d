package entry

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// Admission refuses jobs that can't be done in time.
//
// A refusal is a record in the store, written on condition that the job is not there. A submission
// reads the revision of that record before anything else, and is stored only on condition that it
// is still the same. So a write of an earlier submission that is still under way can't store the
// job once it is refused, and a job that was stored can't be refused.
type Admission struct {
	Mode admission.Mode
	// Zone is the availability zone of the callers of this process.
	Zone string
	// Forecast returns what is known of the waits of a queue's jobs.
	Forecast func(queue string) admission.Known
	// Observe is called with the outcome of each submission; may be nil.
	Observe func(admission.Reason)

	// refreshedAt is when the leader was last asked for a forecast, in nanoseconds of the
	// monotonic clock.
	refreshedAt atomic.Int64
}

const (
	// refreshAge is the age from which a forecast is refreshed before a decision. It is also the
	// minimum interval between such calls to the leader.
	refreshAge = 400 * time.Millisecond
	// refreshTimeout bounds such a call, which delays the caller.
	refreshTimeout = 150 * time.Millisecond
	// refusalReadTimeout bounds the read of an earlier refusal.
	refusalReadTimeout = 300 * time.Millisecond
	// concurrentRetryAfter is the delay for callers whose job another process refused while this
	// one was about to store it.
	concurrentRetryAfter = time.Second
)

// Guard makes the storing of a job conditional on its refusals.
type Guard struct {
	// Active is set if the job may have been refused.
	Active bool
	// Revision is the revision of the job's refusal when the submission arrived, 0 for none.
	Revision int64
}

// conditions returns the conditions of storing a job.
func (g Guard) conditions(id string) []durable.Condition {
	list := []durable.Condition{{Key: leader.JobKey(id)}}
	if g.Active {
		list = append(list, durable.Condition{Key: leader.RefusalKey(id), Revision: g.Revision})
	}
	return list
}

// ErrRefusedSince is returned for a job that was refused after its submission arrived. Nothing of
// this submission was or will be stored.
var ErrRefusedSince = errors.New("the job was refused by another process")

// admitted is the outcome of admission for one submission.
type admitted struct {
	decision admission.Decision
	known    admission.Known
	guard    Guard
	// stored is set if the job was stored before.
	stored bool
	// unproven is why a refusal could not be proven; nil if none was tried, or it was.
	unproven error
}

// admit decides about a submission. A refusal is returned only once it is in the store.
func (e *Entry) admit(ctx context.Context, queue *batch.Queue, job *batch.Job) admitted {
	a := admitted{guard: Guard{Active: true}}
	revision, err := e.refusalRevision(ctx, job.ID)
	a.guard.Revision = revision
	if e.refreshForecast(ctx, queue.Name, job.ID) {
		a.stored, a.decision.Reason = true, admission.AcceptedKnown
		return a
	}
	a.known = e.Admission.Forecast(queue.Name)
	a.decision = admission.Decide(e.Admission.Mode, jobFacts(queue, job, e.Admission.Zone), a.known)
	if !a.decision.Refuse {
		return a
	}
	if err == nil && e.StoreReachable() {
		err = e.recordRefusal(ctx, job.ID, a.guard)
	} else if err == nil {
		err = errStoreUnresponsive
	}
	switch {
	case err == nil:
		return a
	case errors.Is(err, errAlreadyStored):
		a.stored, a.decision.Reason = true, admission.AcceptedKnown
	case errors.Is(err, ErrRefusedSince):
		a.decision.Reason = admission.RefusedConcurrently
		return a
	default:
		a.decision.Reason, a.unproven = admission.AcceptedUnproven, err
	}
	a.decision.Refuse = false
	return a
}

// jobFacts returns what decides about a job.
func jobFacts(queue *batch.Queue, job *batch.Job, zone string) admission.Job {
	return admission.Job{
		Work: job.Work(), CriticalPath: job.CriticalPath(), Stretch: queue.Stretch, Slack: queue.Slack, Zone: zone,
		Unpredicted: job.Lasts() || job.Schedule != nil,
		Spread:      float64(xxhash.Sum64String(job.ID)) / math.MaxUint64,
	}
}

// refusalRevision returns the revision of the job's refusal, 0 for none. A process without the
// store asks the leader: without the revision it could not accept callers who return.
func (e *Entry) refusalRevision(ctx context.Context, id string) (int64, error) {
	ctx, cancel := e.withTimeout(ctx, refusalReadTimeout)
	defer cancel()
	revision, err := e.RefusalRevisionForPeer(ctx, id)
	if errors.Is(err, errStoreUnresponsive) && e.LeaderReachable() {
		return e.Peers.RefusalRevision(ctx, id)
	}
	return revision, err
}

// RefusalRevisionForPeer reads the revision of a job's refusal on behalf of another process.
func (e *Entry) RefusalRevisionForPeer(ctx context.Context, id string) (int64, error) {
	if !e.StoreReachable() {
		return 0, errStoreUnresponsive
	}
	item, err := e.Store.Get(ctx, leader.RefusalKey(id))
	if err != nil || item == nil {
		return 0, err
	}
	return item.Revision, nil
}

// refreshForecast asks the leader for a forecast if the known one is old, and reports whether the
// leader knows the job.
func (e *Entry) refreshForecast(ctx context.Context, queue, id string) (known bool) {
	now, last := steady.Now(), e.Admission.refreshedAt.Load()
	if e.Admission.Forecast(queue).Age < refreshAge || (last != 0 && now-time.Duration(last) < refreshAge) || !e.Admission.refreshedAt.CompareAndSwap(last, int64(now)) {
		return false
	}
	ctx, cancel := e.withTimeout(ctx, refreshTimeout)
	defer cancel()
	_, known, err := e.Peers.State(ctx, id)
	return err == nil && known
}

// errAlreadyStored is returned for the refusal of a job that was stored before.
var errAlreadyStored = errors.New("the job was accepted before")

// recordRefusal stores that the job is refused, unless it is stored.
func (e *Entry) recordRefusal(ctx context.Context, id string, g Guard) error {
	ctx, cancel := e.withTimeout(ctx, commitTimeout)
	defer cancel()
	err := e.writeVoidingRecord(ctx, leader.RefusalKey(id), g.conditions(id))
	var conflict *durable.ConflictError
	switch {
	case errors.As(err, &conflict) && conflict.Item(leader.JobKey(id)) != nil:
		return errAlreadyStored
	case errors.As(err, &conflict):
		return ErrRefusedSince
	}
	return err
}

// refusalError is the response to a refused caller.
func (a *admitted) refusalError() *errkind.Error {
	if a.decision.Reason == admission.RefusedConcurrently {
		return refusedConcurrently(nil)
	}
	err := errkind.Newf(errkind.Overloaded, "not accepted: the job would end in %s, which is later than %s",
		a.decision.End.Round(time.Second), a.decision.Limit.Round(time.Second))
	err.RetryAfter = a.decision.RetryAfter
	return err
}

func refusedConcurrently(cause error) *errkind.Error {
	err := errkind.New(errkind.Overloaded, "not accepted: another process has refused the job", cause)
	err.RetryAfter = concurrentRetryAfter
	return err
}

// logFields returns the decision with its inputs and their age.
func (a *admitted) logFields() eventlog.Fields {
	f := eventlog.Fields{"admission": string(a.decision.Reason)}
	if a.unproven != nil {
		f["admission_error"] = a.unproven.Error()
	}
	if a.known.Queue == nil {
		return f
	}
	f["forecast_age_ms"], f["forecast_fence"] = a.known.Age.Milliseconds(), a.known.Fence
	f["confidence"] = fmt.Sprintf("%.2f", a.known.Queue.Confidence)
	if a.decision.End > 0 {
		f["predicted_wait_ms"], f["predicted_end_ms"], f["limit_ms"] = a.decision.Wait.Milliseconds(), a.decision.End.Milliseconds(), a.decision.Limit.Milliseconds()
	}
	if a.decision.Refuse {
		f["retry_after_ms"] = a.decision.RetryAfter.Milliseconds()
	}
	return f
}
