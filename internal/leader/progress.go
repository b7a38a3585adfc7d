package leader

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// flushInterval is how often progress is written. The acknowledgement of ends to VMs, and
	// of completed jobs to callers, waits for it.
	flushInterval = 40 * time.Millisecond
	flushTimeout  = time.Second
	// entriesPerRecord counts a record's condition and write; an ended job needs one more
	// write, for the job's key. maxTxnEntries leaves room for the condition on the leader's
	// key.
	entriesPerRecord = 2
	maxTxnEntries    = durable.MaxTxnEntries - 1
	// endedJobRetention is how long ended jobs are remembered: longer than callers may ask for
	// them, and longer than a repeated submission may be delayed.
	endedJobRetention = 10 * time.Minute
	// forgetInterval allows for ten jobs a second with maxJobsPerForget.
	forgetInterval = 700 * time.Millisecond
	// maxJobsPerForget bounds the jobs removed in one transaction, at three keys and a condition
	// each.
	maxJobsPerForget = maxTxnEntries / 4
)

// flushLoop writes progress periodically.
func (t *term) flushLoop(ctx context.Context) {
	pause.Every(ctx, flushInterval, func() { t.flushPending(ctx) })
}

func (t *term) flushPending(ctx context.Context) {
	t.mu.Lock()
	f := t.sched.PendingWrites()
	starts := t.sched.PendingStarts(steady.Now(), f != nil && len(f.Records) > 0)
	t.mu.Unlock()
	if f == nil && starts == nil {
		return
	}
	if f == nil {
		f = &scheduler.Flush{}
	}
	if err := t.flush(ctx, f, starts); err != nil {
		if ctx.Err() == nil {
			t.log.Warn("progress_not_written", err, eventlog.Fields{"records": len(f.Records), "starts": starts.Len()})
		}
		if len(f.Records) > 0 {
			return
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sched.Flushed(f)
	close(t.flushed)
	t.flushed = make(chan struct{})
}

// errDeposed is returned when the leader's key no longer belongs to this tenure.
var errDeposed = errors.New("another leads")

// flush writes records in as many transactions as needed. The first one includes the change of
// the start log, if starts is not nil.
func (t *term) flush(ctx context.Context, f *scheduler.Flush, starts *scheduler.StartLogChange) error {
	for rest := f.Records; len(rest) > 0 || starts != nil; starts = nil {
		txn, err := t.startsTxn(starts)
		if err != nil {
			return err
		}
		n := countFitting(rest, len(txn.Writes)+len(txn.Deletes))
		err = t.writeRecords(ctx, txn, rest[:n])
		if starts != nil {
			t.recordStartsOutcome(starts, err)
		}
		if err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// recordStartsOutcome passes the result of writing a start log change to the scheduler.
func (t *term) recordStartsOutcome(starts *scheduler.StartLogChange, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.sched.StartsWritten(starts)
		return
	}
	var conflict *durable.ConflictError
	notWritten := errors.Is(err, durable.ErrRefused) || errors.As(err, &conflict)
	t.sched.StartsNotWritten(steady.Now(), starts, !notWritten)
}

// startsTxn returns a transaction with a change of the start log, to which records can be
// added.
func (t *term) startsTxn(starts *scheduler.StartLogChange) (durable.Txn, error) {
	txn := durable.Txn{Conditions: []durable.Condition{t.leaderCondition()}}
	if starts == nil {
		return txn, nil
	}
	if starts.Segment != nil {
		value, err := json.Marshal(starts.Segment)
		if err != nil {
			return txn, err
		}
		txn.Writes = append(txn.Writes, durable.Write{Key: startsKey(starts.Segment.ID), Value: value})
	}
	for _, id := range starts.Obsolete {
		txn.Deletes = append(txn.Deletes, startsKey(id))
	}
	return txn, nil
}

// countFitting returns how many of the records fit into a transaction that has the given
// number of other entries.
func countFitting(records []scheduler.Record, entries int) int {
	for i := range records {
		entries += entriesPerRecord
		if records[i].Progress.State.Final() {
			entries++
		}
		if entries > maxTxnEntries {
			return i
		}
	}
	return len(records)
}

// writeRecords adds records to a transaction and commits it, provided that this tenure is
// current.
func (t *term) writeRecords(ctx context.Context, txn durable.Txn, records []scheduler.Record) error {
	for i := range records {
		value, err := json.Marshal(records[i].Progress)
		if err != nil {
			return err
		}
		key := ProgressKey(records[i].Job)
		txn.Conditions = append(txn.Conditions, durable.Condition{Key: key, Revision: records[i].Revision})
		txn.Writes = append(txn.Writes, durable.Write{Key: key, Value: value})
		if records[i].Progress.State.Final() {
			// This write is conditional on the record's revision like the record itself, also
			// when the response is lost.
			ended, err := encodeEndedJob(&records[i])
			if err != nil {
				return err
			}
			txn.Writes = append(txn.Writes, durable.Write{Key: JobKey(records[i].Job), Value: ended})
		}
	}
	revision, err := t.commit(ctx, txn)
	if err != nil {
		jobs := make([]string, len(records))
		for i := range records {
			jobs[i] = records[i].Job
		}
		t.adoptRecordRevisions(err, jobs)
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range records {
		t.sched.RecordWritten(records[i], revision)
	}
	return nil
}

// adoptRecordRevisions makes the next write use the stored revisions of the jobs' records if err is
// a conflict: the response of an earlier write was lost.
func (t *term) adoptRecordRevisions(err error, jobs []string) {
	var conflict *durable.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range jobs {
		found := int64(0)
		if item := conflict.Item(ProgressKey(id)); item != nil {
			found = item.Revision
		}
		t.sched.RecordFound(id, found)
	}
}

// leaderCondition is the condition that this tenure is current.
func (t *term) leaderCondition() durable.Condition {
	return durable.Condition{Key: leaderKey, Revision: t.tenure.Fence}
}

// commit writes if the leader's key is unchanged, and ends the tenure if it has changed.
func (t *term) commit(ctx context.Context, txn durable.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	revision, err := t.Store.Commit(ctx, txn)
	var conflict *durable.ConflictError
	if errors.As(err, &conflict) {
		if item := conflict.Item(leaderKey); item == nil || item.Revision != t.tenure.Fence {
			t.log.Event("leader_deposed", eventlog.Fields{"fence": t.tenure.Fence})
			t.tenure.End()
			return 0, errDeposed
		}
	}
	if err == nil {
		t.mu.Lock()
		t.sched.RaiseToken(revision)
		t.mu.Unlock()
	}
	return revision, err
}

// forgetLoop removes jobs that ended long ago.
func (t *term) forgetLoop(ctx context.Context) {
	pause.Every(ctx, forgetInterval, func() { t.forget(ctx) })
}

// forget removes jobs that ended long ago, from the store first: a job that this leader does
// not know counts as new while its keys exist. The removal is conditional on the record of the
// job's progress, so that one that is carried out late leaves a later job of the same ID alone.
func (t *term) forget(ctx context.Context) {
	now := steady.Now()
	t.mu.Lock()
	t.removed.purge(now)
	maps.DeleteFunc(t.cancelledEarly, func(_ string, at time.Duration) bool { return now-at > removalRetention })
	ended := t.sched.RemovableJobs(now, endedJobRetention, maxJobsPerForget)
	txn := durable.Txn{Conditions: []durable.Condition{t.leaderCondition()}}
	for _, id := range ended {
		txn.Conditions = append(txn.Conditions, durable.Condition{Key: ProgressKey(id), Revision: t.sched.RecordRevision(id)})
		txn.Deletes = append(txn.Deletes, JobKey(id), CancelKey(id), ProgressKey(id))
	}
	t.mu.Unlock()
	if len(ended) == 0 {
		return
	}
	revision, err := t.commit(ctx, txn)
	if err != nil {
		t.log.Warn("jobs_not_removed", err, eventlog.Fields{"jobs": len(ended)})
		t.resolveRemovalConflict(ctx, err, ended)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sched.DropJobs(ended)
	for _, id := range ended {
		t.removed[id] = removal{at: now, revision: revision}
	}
}

// resolveRemovalConflict handles a removal that failed because the jobs' records have other
// revisions: the response to the last write of a record was lost, or, where there is no record any
// more, the response to the removal of the job.
func (t *term) resolveRemovalConflict(ctx context.Context, err error, jobs []string) {
	var conflict *durable.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	var recorded []string
	for _, id := range jobs {
		if conflict.Item(ProgressKey(id)) != nil {
			recorded = append(recorded, id)
			continue
		}
		if err := t.dropRemoved(ctx, id); err != nil {
			t.log.Warn("job_not_read", err, eventlog.Fields{"job": id})
		}
	}
	t.adoptRecordRevisions(err, recorded)
}

// dropRemoved drops a job that was removed from the store, and submits a later job of its ID, which
// counted as known until now.
func (t *term) dropRemoved(ctx context.Context, id string) error {
	items, progress, err := t.readJob(ctx, id)
	if err != nil {
		return err
	}
	if !t.lockConfirmed() {
		return errDeposed
	}
	defer t.mu.Unlock()
	now := steady.Now()
	t.removed[id] = removal{at: now, revision: t.sched.RecordRevision(id)}
	t.sched.DropJobs([]string{id})
	t.submitJobs(now, items, progress)
	t.requestPlan()
	return nil
}

// removal records when a job was removed from the store.
type removal struct {
	at       time.Duration
	revision int64
}

// removals holds the recently removed jobs by ID.
type removals map[string]removal

// removalRetention is how long a removal, or an early cancellation, is remembered: longer than
// an announcement, or a read of all jobs, may be under way.
const removalRetention = time.Minute

func (r removals) purge(now time.Duration) {
	maps.DeleteFunc(r, func(_ string, job removal) bool { return now-job.at > removalRetention })
}

// covers reports whether the item is a stale copy of a removed job rather than a job submitted
// since. An announcement has no revision and counts as stale; the watch delivers a new job as
// well.
func (r removals) covers(id string, item *durable.Item) bool {
	job, ok := r[id]
	return ok && item.Created <= job.revision
}
