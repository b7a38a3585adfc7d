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
	// livenessInterval is the interval between queries of the machine service while the state
	// of VMs is uncertain. The service handles a few tens of calls a second from all processes
	// together.
	livenessInterval = 500 * time.Millisecond
	// newJobsRevisionRetryDelay is the delay between attempts to read the store's revision.
	newJobsRevisionRetryDelay = 200 * time.Millisecond
)

// livenessLoop queries the machine service for running VMs while some are unresponsive.
// Without its response they are awaited until their leases expire, 8.5 s after their last
// report.
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

// newJobsRevisionLoop reads a store revision once earlier leaders have certainly learned that
// they are deposed. Jobs created after that revision need not wait for unresponsive VMs.
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
