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
	// minHoldWait is how long a hold waits for an end; it is also how often the
	// leases are renewed and the figures of serving tasks told, which cover half a
	// second. maxHoldWait bounds it where there are many VMs: one that is unheard
	// for 1.5 s gets nothing new, and copies start after 1.3 s.
	minHoldWait = 600 * time.Millisecond
	maxHoldWait = time.Second
	// holdWaitPerVM keeps the holds below a thousand a second: each takes some
	// 60 us of processor, and at 3,000 VMs with 5,000 holds a second nothing else
	// of the leader was in time.
	holdWaitPerVM = time.Millisecond
	// holdGrace is how much later a hold may answer before its connection
	// counts as silent.
	holdGrace = 700 * time.Millisecond
	// holdRetryDelay is the wait after a hold that failed.
	holdRetryDelay = 100 * time.Millisecond
	// maxAckWait bounds the wait for the flush of ends before the next hold: a
	// hold that does not acknowledge them returns at once with the same.
	maxAckWait = 150 * time.Millisecond
)

// holdWait is how long a hold waits where there are so many VMs.
func holdWait(vms int) time.Duration {
	return min(max(time.Duration(vms)*holdWaitPerVM, minHoldWait), maxHoldWait)
}

// syncHolds runs one hold loop for each instance.
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

// updateRelayFleet tells the relays which VMs are held; the first time it waits for some.
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

// holdFailures is the time that a VM has left holds without an answer.
type holdFailures struct {
	count int
	// nextLogAt is when it is worth a line again.
	nextLogAt time.Duration
}

// firstLogInterval is how long after the first line on a VM's silence the second comes;
// the time between lines doubles, so that a dead VM costs a few of them.
const firstLogInterval = time.Second

// recordFailure counts a failure and reports whether it is worth a line.
func (s *holdFailures) recordFailure(now, unheard time.Duration) bool {
	s.count++
	if s.count > 1 && now < s.nextLogAt {
		return false
	}
	s.nextLogAt = now + max(firstLogInterval, unheard)
	return true
}

// vmStatusFields are what is believed of a VM, for a line.
func vmStatusFields(vm string, x scheduler.VMStatus) eventlog.Fields {
	f := eventlog.Fields{
		"vm": vm, "unheard_ms": x.SinceReport.Milliseconds(), "lease_left_ms": x.LeaseLeft.Milliseconds(), "runs": x.Runs,
	}
	if !x.Listed {
		f["unlisted_ms"] = x.SinceUnlisted.Milliseconds()
	}
	return f
}

// holdLoop renews the leases of an instance and takes its reports over.
func (t *term) holdLoop(ctx context.Context, inst batch.Instance) {
	wait := time.Duration(0)
	var silent holdFailures
	for ctx.Err() == nil {
		ok, err := t.holdOnce(ctx, &inst, wait, &silent)
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

// holdOnce makes one hold. ok is false when the instance need not, or must not, be
// held any more.
func (t *term) holdOnce(ctx context.Context, inst *batch.Instance, wait time.Duration, silent *holdFailures) (ok bool, err error) {
	sentAt := steady.Now()
	// Asked after the look at the clock, from which the lease is counted: a process
	// that is suspended between the two must not renew one from when it wakes.
	if !t.tenure.MayAct() {
		return false, nil
	}
	t.mu.Lock()
	if present, ok := t.sched.Instance(inst.ID); ok {
		// A VM that has started again under its ID may be at another address.
		*inst = present
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
	before, known := t.sched.VMStatus(now, inst.ID)
	if !known {
		return false, nil
	}
	if err != nil {
		// A hold that fails before it has waited was not left in silence.
		t.sched.HoldFailed(now, inst.ID, now-sentAt < order.Wait)
		if silent.recordFailure(now, before.SinceReport) {
			t.log.Warn("vm_unanswered", err, vmStatusFields(inst.ID, before))
		}
		return true, err
	}
	if silent.count > 0 {
		f := vmStatusFields(inst.ID, before)
		f["failures"], f["running"], f["ended"] = silent.count, len(report.Running), len(report.Ended)
		t.log.Event("vm_answers", f)
		*silent = holdFailures{}
	}
	t.trackEnds(now, inst.ID, &report)
	if !t.sched.HandleReport(now, sentAt, inst.ID, report) {
		err = errLateRead
		t.log.Warn("vm_unanswered", err, vmStatusFields(inst.ID, before))
	}
	t.requestPlan()
	return true, err
}

// errLateRead: this process was suspended between a hold and the answer's reading.
var errLateRead = errors.New("its answer was read too late to tell what the VM is now")

// handleReplaced takes a VM out at whose address another one answers, and reports whether the VM is
// known all the same: a later start of it, at another address.
func (t *term) handleReplaced(now time.Duration, inst *batch.Instance) (known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x, ok := t.sched.VMStatus(now, inst.ID); ok {
		t.log.Event("vm_replaced", vmStatusFields(inst.ID, x))
	}
	t.sched.RemoveReplaced(now, inst)
	t.requestPlan()
	_, known = t.sched.Instance(inst.ID)
	return known
}

// unackedEnds are the ends that a VM goes on telling since they are not acknowledged.
type unackedEnds struct {
	count int
	// born is the start of the VM that tells them, oldest the sequence of the first, told since.
	born      int64
	oldestSeq int64
	since     time.Duration
	// isLogged is set once a line has told that it takes long.
	isLogged bool
}

// unackedEndsLogDelay is how long an end may be told before it is worth a line: some flushes,
// each of which may wait for the store for a second.
const unackedEndsLogDelay = 3 * time.Second

// trackEnds counts the ends of a report before it is taken over, and tells of those
// that stay unacknowledged. The caller holds the lock.
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
		if standing := t.sched.EndStatus(id, report.Born, &ends[i]); standing != scheduler.EndDuplicate && t.ObserveEnd != nil {
			t.ObserveEnd(standing)
		}
	}
	told := t.unackedEnds[id]
	if told.oldestSeq != first.Seq || told.born != report.Born {
		told = unackedEnds{born: report.Born, oldestSeq: first.Seq, since: now}
	}
	told.count = len(ends)
	if age := now - told.since; age > unackedEndsLogDelay && !told.isLogged {
		told.isLogged = true
		t.log.Event("ends_unacknowledged", eventlog.Fields{
			"vm": id, "ends": told.count, "age_ms": age.Milliseconds(),
			"job": first.Task.Job, "task": first.Task.String(), "run": first.Run, "kind": string(first.Kind),
		})
	}
	t.unackedEnds[id] = told
}

// dropHold notes that the instance's hold loop ends by itself: the instance may be
// listed again before the next look at which are held, and must be held anew then.
// t.mu is held.
func (t *term) dropHold(id string) {
	if cancel := t.holds[id]; cancel != nil {
		cancel()
		delete(t.holds, id)
		delete(t.unackedEnds, id)
	}
}

// awaitFlush waits until the ends that the instance has told may be acknowledged.
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
