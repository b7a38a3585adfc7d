package leader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// minHoldWait is how long a hold waits for an end. It is also the interval at which leases
	// are renewed and metrics of serving tasks are reported, which cover half a second.
	// maxHoldWait caps the wait for large fleets: a VM without a report for 1.5 s gets no new
	// tasks, and copies of its tasks start after 1.3 s.
	minHoldWait = 600 * time.Millisecond
	maxHoldWait = time.Second
	// holdWaitPerVM limits the holds to a thousand a second. Each takes about 60 us of
	// processor time; with 5,000 holds a second at 3,000 VMs all other work of the leader was
	// late.
	holdWaitPerVM = time.Millisecond
	// holdGrace is how much later than its wait a hold may respond before the VM counts as
	// unresponsive.
	holdGrace = 700 * time.Millisecond
	// holdRetryDelay is the delay after a failed hold.
	holdRetryDelay = 100 * time.Millisecond
	// maxAckWait bounds the wait for the flush of ends before the next hold: a hold that does
	// not acknowledge them returns at once with the same ends.
	maxAckWait = 150 * time.Millisecond
)

// holdWait returns the wait of a hold for a fleet of the given size.
func holdWait(vms int) time.Duration {
	return min(max(time.Duration(vms)*holdWaitPerVM, minHoldWait), maxHoldWait)
}

// syncHolds runs one hold loop per known instance and stops the loops of the others.
func (t *term) syncHolds(ctx context.Context) {
	t.mu.Lock()
	instances := t.sched.Instances()
	t.mu.Unlock()
	t.updateRelayFleet(ctx, instances)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.currentHoldWait.Store(int64(holdWait(len(instances))))
	t.fleetSize.Store(int64(len(instances)))
	for id := range t.holds {
		if _, ok := instances[id]; !ok {
			t.dropHold(id)
		}
	}
	for id, inst := range instances {
		if t.holds[id] != nil {
			continue
		}
		holdCtx, cancel := context.WithCancel(ctx)
		t.holds[id] = cancel
		t.work.Go(func() { t.holdLoop(holdCtx, inst) })
	}
}

// updateRelayFleet passes the held VMs to the relays. The first call waits until relays are
// ready.
func (t *term) updateRelayFleet(ctx context.Context, instances map[string]batch.Instance) {
	if t.Relays == nil {
		return
	}
	fleet := make(map[string]string, len(instances))
	for id := range instances {
		fleet[id] = instances[id].Zone
	}
	t.Relays.SetFleet(fleet)
	if !t.relaysAwaited {
		t.relaysAwaited = true
		t.Relays.AwaitReady(ctx, relaysReadyTimeout)
	}
}

// holdFailures counts the consecutive failed holds of a VM and limits their log lines.
type holdFailures struct {
	count int
	// nextLogAt is the earliest time of the next log line.
	nextLogAt time.Duration
}

// firstLogInterval is the minimum time between the first and the second log line about an
// unresponsive VM. The interval doubles with each line, so that a dead VM causes only a few.
const firstLogInterval = time.Second

// recordFailure counts a failure and reports whether to log it.
func (h *holdFailures) recordFailure(now, sinceReport time.Duration) bool {
	h.count++
	if h.count > 1 && now < h.nextLogAt {
		return false
	}
	h.nextLogAt = now + max(firstLogInterval, sinceReport)
	return true
}

// vmStatusFields returns the log fields of a VM's status.
func vmStatusFields(vm string, status scheduler.VMStatus) eventlog.Fields {
	f := eventlog.Fields{
		"vm": vm, "unheard_ms": status.SinceReport.Milliseconds(), "lease_left_ms": status.LeaseLeft.Milliseconds(), "runs": status.Runs,
	}
	if !status.Listed {
		f["unlisted_ms"] = status.SinceUnlisted.Milliseconds()
	}
	return f
}

// holdLoop renews the leases of an instance and processes its reports.
func (t *term) holdLoop(ctx context.Context, inst batch.Instance) {
	wait := time.Duration(0)
	var failures holdFailures
	for ctx.Err() == nil {
		ok, err := t.holdOnce(ctx, &inst, wait, &failures)
		if !ok {
			return
		}
		if err != nil {
			wait = 0
			pause.For(ctx, holdRetryDelay)
			continue
		}
		wait = time.Duration(t.currentHoldWait.Load())
		t.awaitFlush(ctx, inst.ID)
	}
}

// holdOnce sends one hold. ok is false when the instance must not, or need not, be held any
// longer.
func (t *term) holdOnce(ctx context.Context, inst *batch.Instance, wait time.Duration, failures *holdFailures) (ok bool, err error) {
	sentAt := steady.Now()
	// Checked after reading the clock from which the lease is counted: a process that is
	// suspended between the two must not renew a lease from the time at which it resumes.
	if !t.tenure.MayAct() {
		return false, nil
	}
	t.mu.Lock()
	if current, ok := t.sched.Instance(inst.ID); ok {
		// A restarted VM may have the same ID at another address.
		*inst = current
	}
	order, known := t.sched.Hold(sentAt, inst.ID, wait)
	closed := t.closed
	if !known && ctx.Err() == nil {
		t.dropHold(inst.ID)
	}
	t.mu.Unlock()
	if !known || closed {
		return false, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, order.Wait+holdGrace)
	report, err := t.Agents.Hold(callCtx, inst, order)
	cancel()
	if ctx.Err() != nil {
		return false, nil
	}
	now := steady.Now()
	switch refusalOf(err) {
	case batch.RefusedGone:
		if t.handleReplaced(now, inst) {
			return true, err
		}
		return false, nil
	case batch.RefusedFence:
		t.handleFenceRefusal(inst.ID, order.Fence)
		return t.tenure.MayAct(), err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	status, known := t.sched.VMStatus(now, inst.ID)
	if !known {
		return false, nil
	}
	if err != nil {
		// A hold that failed before its wait was over is not a sign of an unresponsive VM.
		t.sched.HoldFailed(now, inst.ID, now-sentAt < order.Wait)
		if failures.recordFailure(now, status.SinceReport) {
			t.log.Warn("vm_unanswered", err, vmStatusFields(inst.ID, status))
		}
		return true, err
	}
	if failures.count > 0 {
		f := vmStatusFields(inst.ID, status)
		f["failures"], f["running"], f["ended"] = failures.count, len(report.Running), len(report.Ended)
		t.log.Event("vm_answers", f)
		*failures = holdFailures{}
	}
	t.trackEnds(now, inst.ID, &report)
	if !t.sched.HandleReport(now, sentAt, inst.ID, report) {
		err = errLateRead
		t.log.Warn("vm_unanswered", err, vmStatusFields(inst.ID, status))
	}
	t.requestPlan()
	return true, err
}

// errLateRead is returned when this process was suspended between sending a hold and reading
// its response.
var errLateRead = errors.New("response read too late to reflect the current state of the VM")

// handleReplaced removes a VM whose address is now used by another one. It reports whether the
// VM is still known: as a later incarnation at another address.
func (t *term) handleReplaced(now time.Duration, inst *batch.Instance) (known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if status, ok := t.sched.VMStatus(now, inst.ID); ok {
		t.log.Event("vm_replaced", vmStatusFields(inst.ID, status))
	}
	t.sched.RemoveReplaced(now, inst)
	t.requestPlan()
	_, known = t.sched.Instance(inst.ID)
	return known
}

// unackedEnds summarizes the ends that a VM keeps reporting because they are not acknowledged.
type unackedEnds struct {
	count int
	// born identifies the incarnation of the VM that reports the ends, oldestSeq is the
	// sequence number of the oldest, which was first reported at since.
	born      int64
	oldestSeq int64
	since     time.Duration
	// isLogged is set once the delay has been logged.
	isLogged bool
}

// unackedEndsLogDelay is how long an end may stay unacknowledged before it is logged: the time
// of a few flushes, each of which may wait up to a second for the store.
const unackedEndsLogDelay = 3 * time.Second

// trackEnds counts the ends of a report before it is processed, and logs those that stay
// unacknowledged. t.mu is held.
func (t *term) trackEnds(now time.Duration, id string, report *batch.Report) {
	ends := report.Ended
	if len(ends) == 0 {
		delete(t.unackedEnds, id)
		return
	}
	first := &ends[0]
	for i := range ends {
		if ends[i].Seq < first.Seq {
			first = &ends[i]
		}
		if status := t.sched.EndStatus(id, report.Born, &ends[i]); status != scheduler.EndDuplicate && t.ObserveEnd != nil {
			t.ObserveEnd(status)
		}
	}
	unacked := t.unackedEnds[id]
	if unacked.oldestSeq != first.Seq || unacked.born != report.Born {
		unacked = unackedEnds{born: report.Born, oldestSeq: first.Seq, since: now}
	}
	unacked.count = len(ends)
	if age := now - unacked.since; age > unackedEndsLogDelay && !unacked.isLogged {
		unacked.isLogged = true
		t.log.Event("ends_unacknowledged", eventlog.Fields{
			"vm": id, "ends": unacked.count, "age_ms": age.Milliseconds(),
			"job": first.Task.Job, "task": first.Task.String(), "run": first.Run, "kind": string(first.Kind),
		})
	}
	t.unackedEnds[id] = unacked
}

// dropHold stops the instance's hold loop and removes it at once: the instance may be listed
// again before the next syncHolds, which must then start a new loop. t.mu is held.
func (t *term) dropHold(id string) {
	if cancel := t.holds[id]; cancel != nil {
		cancel()
		delete(t.holds, id)
		delete(t.unackedEnds, id)
	}
}

// awaitFlush waits until the reported ends of the instance may be acknowledged.
func (t *term) awaitFlush(ctx context.Context, id string) {
	limit := time.NewTimer(maxAckWait)
	defer limit.Stop()
	for {
		t.mu.Lock()
		unacked := t.sched.HasUnackedEnds(id)
		flushed := t.flushed
		t.mu.Unlock()
		if !unacked {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case <-flushed:
		}
	}
}
