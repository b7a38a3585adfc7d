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
	// unknownJobsInterval is how often it is looked whether VMs tell of unknown jobs.
	unknownJobsInterval = 100 * time.Millisecond
	// unknownJobDelay is how long the watch of new jobs may take before the store is
	// asked for one: it usually tells within a few milliseconds.
	unknownJobDelay = 300 * time.Millisecond
	// maxUnknownJobs bounds the jobs asked for in one pass: two reads each.
	maxUnknownJobs   = 20
	storeReadTimeout = time.Second
)

// unknownJobsLoop asks the store for jobs that VMs tell of and that this leader does not
// know, since its watch is late or silent. Until then their ends stay unacknowledged.
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

// readUnknownJob reads one job and takes it over, or notes that there is none. Only an
// answer of the store says that: a job's key is created before anybody starts it.
func (t *term) readUnknownJob(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	progress, err := t.Store.Get(ctx, ProgressKey(id))
	if err != nil {
		return err
	}
	items, _, err := t.Store.Range(ctx, JobKey(id))
	if err != nil {
		return err
	}
	// The prefix is that of longer IDs, too.
	items = slices.DeleteFunc(items, func(item durable.Item) bool {
		key, _ := parseJobKey(item.Key)
		return key != id
	})
	found := map[string]durable.Item{}
	if progress != nil {
		found[id] = *progress
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := steady.Now()
	switch taken := t.submitJobs(now, items, found); {
	case taken > 0:
	case len(items) > 0:
		t.sched.JobUnreadable(now, id)
	default:
		t.log.Event("job_absent", eventlog.Fields{"job": id})
		t.sched.JobAbsent(now, id)
	}
	t.requestPlan()
	return nil
}
