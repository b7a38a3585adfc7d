package leader

import (
	"context"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// unknownJobsInterval is how often to check for reports about unknown jobs.
	unknownJobsInterval = 100 * time.Millisecond
	// unknownJobDelay is how long to wait for the watch of new jobs, which usually takes a few
	// milliseconds, before the store is queried for a job.
	unknownJobDelay = 300 * time.Millisecond
	// maxUnknownJobs bounds the jobs read in one pass, at two reads each.
	maxUnknownJobs   = 20
	storeReadTimeout = time.Second
)

// unknownJobsLoop reads jobs that VMs report and that this leader does not know because its
// watch is late or stalled. Until then their ends stay unacknowledged.
func (t *term) unknownJobsLoop(ctx context.Context) {
	pause.Every(ctx, unknownJobsInterval, func() {
		t.mu.Lock()
		ids := t.sched.UnknownJobs(steady.Now(), unknownJobDelay)
		t.mu.Unlock()
		for _, id := range ids[:min(len(ids), maxUnknownJobs)] {
			if err := t.readUnknownJob(ctx, id); err != nil {
				if ctx.Err() == nil {
					t.log.Warn("job_not_read", err, eventlog.Fields{"job": id})
				}
				return
			}
		}
	})
}

// readUnknownJob reads and submits one job, or records that it does not exist. Only a
// successful read shows that: a job's key is created before the job is started.
func (t *term) readUnknownJob(ctx context.Context, id string) error {
	items, progress, err := t.readJob(ctx, id)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := steady.Now()
	switch submitted := t.submitJobs(now, items, progress); {
	case submitted > 0:
	case len(items) > 0:
		t.sched.JobUnreadable(now, id)
	default:
		t.log.Event("job_absent", eventlog.Fields{"job": id})
		t.sched.JobAbsent(now, id)
	}
	t.requestPlan()
	return nil
}

// readJob reads a job's keys and its progress from the store, for submitJobs.
func (t *term) readJob(ctx context.Context, id string) ([]durable.Item, map[string]durable.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	progress, err := t.Store.Get(ctx, ProgressKey(id))
	if err != nil {
		return nil, nil, err
	}
	items, _, err := t.Store.Range(ctx, JobKey(id))
	if err != nil {
		return nil, nil, err
	}
	// Longer IDs may have the same prefix.
	items = slices.DeleteFunc(items, func(item durable.Item) bool {
		key, _ := parseJobKey(item.Key)
		return key != id
	})
	found := map[string]durable.Item{}
	if progress != nil {
		found[id] = *progress
	}
	return items, found, nil
}
