package leader

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// rebuildResult summarizes the state that a new leader has read.
type rebuildResult struct {
	jobCount int
	// startCount is the number of logged starts whose ends may not be recorded.
	startCount int
	// revision is where the watch for new jobs begins.
	revision int64
}

// rebuild restores the state of earlier leaders. It retries until it succeeds or the tenure
// ends.
func (t *term) rebuild(ctx context.Context) (rebuildResult, error) {
	for {
		r, err := t.tryRebuild(ctx)
		if err == nil || ctx.Err() != nil {
			return r, err
		}
		t.log.Warn("rebuild_failed", err, eventlog.Fields{"fence": t.tenure.Fence})
		select {
		case <-ctx.Done():
			return r, ctx.Err()
		case <-time.After(rebuildRetryDelay):
		}
	}
}

func (t *term) tryRebuild(ctx context.Context) (rebuildResult, error) {
	ctx, cancel := context.WithTimeout(ctx, rebuildTimeout)
	defer cancel()
	progress, err := t.readProgress(ctx)
	if err != nil {
		return rebuildResult{}, err
	}
	jobs, revision, err := t.Store.Range(ctx, jobsPrefix)
	if err != nil {
		return rebuildResult{}, err
	}
	earlier, err := t.readInstances(ctx)
	if err != nil {
		return rebuildResult{}, err
	}
	list, err := t.readList(ctx)
	if err != nil {
		return rebuildResult{}, err
	}
	starts, err := t.readStarts(ctx)
	if err != nil {
		return rebuildResult{}, err
	}
	if err := t.ReadEvacuations(ctx); err != nil {
		return rebuildResult{}, err
	}
	t.loadModel(ctx)
	t.restoreExpiredLeases(ctx)
	past, complete, err := t.readPastTenures(ctx)
	if err != nil {
		return rebuildResult{}, err
	}
	t.pastTenures, t.pastTenuresComplete = past, complete || earlier == nil
	if err := t.recordTenures(ctx, past); err != nil {
		return rebuildResult{}, err
	}
	if err := t.recordInstances(ctx, list, earlier); err != nil {
		return rebuildResult{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.Config(); c != nil {
		t.config = c
		t.sched.SetConfig(c)
	}
	t.sched.SetEvacuations(t.Evacuations())
	now := steady.Now()
	t.sched.SetInstances(now, list)
	used := slices.Collect(maps.Keys(earlier))
	// The earlier leader may have renewed its own lease just before this one was elected,
	// since a key can be removed before its lease expires, and may have renewed leases of VMs
	// for as long as it may act without the store.
	t.sched.AwaitInstances(used, now+t.Settings.TakeoverWait(maxUnrenewedTenure))
	for _, id := range used {
		t.sched.AddUnlisted(now, batch.Instance{ID: id, Address: earlier[id]})
	}
	count := t.submitJobs(now, jobs, progress)
	return rebuildResult{jobCount: count, startCount: t.sched.RestoreStarts(now, starts), revision: revision}, nil
}

func (t *term) readProgress(ctx context.Context) (map[string]durable.Item, error) {
	items, _, err := t.Store.Range(ctx, progressPrefix)
	if err != nil {
		return nil, err
	}
	byJob := make(map[string]durable.Item, len(items))
	for _, item := range items {
		byJob[strings.TrimPrefix(item.Key, progressPrefix)] = item
	}
	return byJob, nil
}

func (t *term) submitJobs(now time.Duration, items []durable.Item, progress map[string]durable.Item) int {
	cancelled := map[string]bool{}
	for i := range items {
		if id, c := parseJobKey(items[i].Key); c {
			cancelled[id] = true
		}
	}
	count := 0
	for i := range items {
		id, c := parseJobKey(items[i].Key)
		if c {
			continue
		}
		r, err := decodeJob(id, items[i].Value)
		if err != nil {
			t.log.Warn("job_unreadable", err, eventlog.Fields{"job": id})
			continue
		}
		sub := r.submission(t.jobAge(r))
		sub.Cancelled = cancelled[id]
		if item, ok := progress[id]; ok {
			t.addProgress(&sub, &item)
		}
		if r.Ended && (sub.Progress == nil || !sub.Progress.State.Final()) {
			// The payload was removed, so the job must not be started, whatever its record
			// contains.
			sub.Unreadable = true
		}
		sub.PredatesLeader = true
		t.sched.Submit(now, sub)
		count++
	}
	return count
}

// addProgress adds the recorded progress of a job. An unreadable record is not treated as a
// missing one.
func (t *term) addProgress(sub *scheduler.Submission, item *durable.Item) {
	var err error
	sub.RecordRevision = item.Revision
	if sub.Progress, err = decodeProgress(sub.Job.ID, item.Value); err != nil {
		sub.Unreadable = true
		t.log.Warn("progress_unreadable", err, eventlog.Fields{"job": sub.Job.ID})
	}
}

// instanceAddresses maps instance IDs to addresses.
type instanceAddresses map[string]string

// readInstances returns the instances that earlier leaders may have used.
func (t *term) readInstances(ctx context.Context) (instanceAddresses, error) {
	item, err := t.Store.Get(ctx, instancesKey)
	if err != nil || item == nil {
		return nil, err
	}
	var used instanceAddresses
	if err := json.Unmarshal(item.Value, &used); err != nil {
		return nil, errors.Wrap(err, "record of instances")
	}
	t.mu.Lock()
	t.instancesRevision = item.Revision
	t.recordedInstances = used
	t.mu.Unlock()
	return used, nil
}

// restoreExpiredLeases reads which leases earlier leaders know to have expired. Without them
// some ends that may be acknowledged are withheld, so a failure does not prevent leading; the
// read is repeated before the record is written.
func (t *term) restoreExpiredLeases(ctx context.Context) {
	if t.expiredLeasesRead {
		return
	}
	item, err := t.Store.Get(ctx, expiredLeasesKey)
	var expired map[string]scheduler.ExpiredLease
	if err == nil && item != nil {
		err = json.Unmarshal(item.Value, &expired)
	}
	if err != nil {
		t.log.Warn("lapsed_not_read", err, nil)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expiredLeases, t.expiredLeasesRead = expired, true
	t.sched.RestoreExpiredLeases(expired)
}

// recordInstances ensures that the store lists every instance before it may get work: a
// successor has to get a report from each, or wait until its lease expires. Instances that are
// known to have ended are removed, so that it need not wait for them.
func (t *term) recordInstances(ctx context.Context, list []batch.Instance, earlier instanceAddresses) error {
	t.mu.Lock()
	next := instanceAddresses{}
	for _, id := range t.sched.AwaitedInstances() {
		next[id] = t.recordedInstances[id]
	}
	for id, inst := range t.sched.RecordedInstances(steady.Now()) {
		next[id] = inst.Address
	}
	maps.Copy(next, earlier)
	for i := range list {
		next[list[i].ID] = list[i].Address
	}
	revision := t.instancesRevision
	expired := t.sched.ExpiredLeases()
	txn := durable.Txn{Conditions: []durable.Condition{t.leaderCondition()}}
	usedChanged, expiredChanged := !maps.Equal(next, t.recordedInstances), t.expiredLeasesRead && !maps.Equal(expired, t.expiredLeases)
	t.mu.Unlock()
	if usedChanged {
		value, err := json.Marshal(next)
		if err != nil {
			return err
		}
		txn.Conditions = append(txn.Conditions, durable.Condition{Key: instancesKey, Revision: revision})
		txn.Writes = append(txn.Writes, durable.Write{Key: instancesKey, Value: value})
	}
	if expiredChanged {
		value, err := json.Marshal(expired)
		if err != nil {
			return err
		}
		txn.Writes = append(txn.Writes, durable.Write{Key: expiredLeasesKey, Value: value})
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	written, err := t.commit(ctx, txn)
	var conflict *durable.ConflictError
	if errors.As(err, &conflict) {
		t.mu.Lock()
		t.instancesRevision = 0
		if item := conflict.Item(instancesKey); item != nil {
			t.instancesRevision = item.Revision
		}
		t.mu.Unlock()
	}
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if usedChanged {
		t.instancesRevision, t.recordedInstances = written, next
	}
	if expiredChanged {
		t.expiredLeases = expired
	}
	return nil
}

// listLoop refreshes the list of instances and holds each of them.
func (t *term) listLoop(ctx context.Context) {
	t.syncHolds(ctx)
	pause.Every(ctx, listInterval, func() {
		if err := t.refreshInstances(ctx); err != nil && ctx.Err() == nil {
			t.log.Warn("instances_not_read", err, nil)
		}
		t.syncHolds(ctx)
	})
}

func (t *term) refreshInstances(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := t.readList(ctx)
	if err != nil {
		return err
	}
	t.restoreExpiredLeases(ctx)
	if err := t.recordInstances(ctx, list, nil); err != nil {
		return err
	}
	t.mu.Lock()
	t.sched.SetInstances(steady.Now(), list)
	t.mu.Unlock()
	t.requestPlan()
	return nil
}
