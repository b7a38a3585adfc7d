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
	// untoldEvery is how often it is looked whether VMs tell of unknown jobs.
	untoldEvery = 100 * time.Millisecond
	// untoldPatience is how long the watch of new jobs may take before the store is
	// asked for one: it usually tells within a few milliseconds.
	untoldPatience = 300 * time.Millisecond
	// untoldAtOnce bounds the jobs asked for in one pass: two reads each.
	untoldAtOnce = 20
	untoldCall   = time.Second
)

// untoldLoop asks the store for jobs that VMs tell of and that this leader does not
// know, since its watch is late or silent. Until then their ends stay unacknowledged.
func (t *term) untoldLoop(ctx context.Context) {
	pause.Every(ctx, untoldEvery, func() {
		t.mu.Lock()
		ids := t.sched.UnknownJobs(steady.Now(), untoldPatience)
		t.mu.Unlock()
		for _, id := range ids[:min(len(ids), untoldAtOnce)] {
			if err := t.readUntold(ctx, id); err != nil {
				if ctx.Err() == nil {
					t.log.Warn("job_not_read", err, eventlog.Fields{"job": id})
				}
				return
			}
		}
	})
}

// readUntold reads one job and takes it over, or notes that there is none. Only an
// answer of the store says that: a job's key is created before anybody starts it.
func (t *term) readUntold(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, untoldCall)
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
		key, _ := jobKey(item.Key)
		return key != id
	})
	found := map[string]durable.Item{}
	if progress != nil {
		found[id] = *progress
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := steady.Now()
	switch taken := t.takeJobs(now, items, found); {
	case taken > 0:
	case len(items) > 0:
		t.sched.JobUnreadable(now, id)
	default:
		t.log.Event("job_absent", eventlog.Fields{"job": id})
		t.sched.JobAbsent(now, id)
	}
	t.awake()
	return nil
}
