package leader

import (
	"context"
	"time"

	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// livenessInterval is how often the machine service is asked while VMs are in doubt; it
	// takes some tens of calls a second of all processes together.
	livenessInterval = 500 * time.Millisecond
	// newJobsRevisionRetryDelay is the pause between reads of the store's revision until one succeeds.
	newJobsRevisionRetryDelay = 200 * time.Millisecond
)

// livenessLoop asks the machine service which VMs live while some are unheard. Without its
// word they are waited for until their leases are over, 8.5 s after they were last heard.
func (t *term) livenessLoop(ctx context.Context) {
	pause.Every(ctx, livenessInterval, func() {
		t.mu.Lock()
		doubtful := t.sched.NeedsLivenessCheck(steady.Now())
		t.mu.Unlock()
		if !doubtful || !t.tenure.MayAct() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
		defer cancel()
		askedAt := steady.Now()
		list, err := t.Machines.List(callCtx)
		if err != nil {
			if ctx.Err() == nil {
				t.log.Warn("machines_not_read", err, nil)
			}
			return
		}
		t.mu.Lock()
		t.sched.SetLiveInstances(steady.Now(), askedAt, list)
		t.mu.Unlock()
		t.requestPlan()
	})
}

// newJobsRevisionLoop reads a revision of the store once earlier leaders have certainly learned
// that they were succeeded. Jobs created after it need not wait for VMs that are silent.
func (t *term) newJobsRevisionLoop(ctx context.Context) {
	pause.For(ctx, scheduler.DeposedAdmissionTimeout)
	for ctx.Err() == nil && t.awaitsVMs() {
		callCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
		_, revision, err := t.Store.Range(callCtx, leaderKey)
		cancel()
		if err == nil {
			t.mu.Lock()
			t.sched.SetHandoverRevision(revision)
			t.mu.Unlock()
			t.log.Event("new_since", eventlog.Fields{"revision": revision})
			return
		}
		pause.For(ctx, newJobsRevisionRetryDelay)
	}
}
