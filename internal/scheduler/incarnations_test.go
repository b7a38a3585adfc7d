package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// newIncarnationFixture returns a fixture whose VMs have reported the incarnation 1.
func newIncarnationFixture(t *testing.T, vms int) *fixture {
	f := newFixture(t, vms)
	f.relistWithBorn(1)
	for _, inst := range f.list {
		f.report(inst.ID, batch.Report{Born: 1})
	}
	return f
}

// deliverReport delivers a report of a VM that may have restarted. If it has, deliverReport raises the
// fencing token if needed, sends a hold with it, and delivers the report again.
func (f *fixture) deliverReport(vm string, report batch.Report) {
	f.s.HandleReport(f.now, f.now, vm, report)
	if f.s.vms[vm].fenced {
		return
	}
	if f.s.NeedsToken() {
		f.s.RaiseToken(f.s.maxToken + 1)
	}
	_, ok := f.s.Hold(f.now, vm, time.Second)
	require.True(f.t, ok)
	f.s.HandleReport(f.now, f.now, vm, report)
}

// relistWithBorn lists all VMs with the given incarnation.
func (f *fixture) relistWithBorn(born int64) {
	for i := range f.list {
		f.list[i].Born = born
	}
	f.s.SetInstances(f.now, f.list)
}

// Guards against a double run: a start that is ordered before its VM restarts may reach the new
// incarnation, so the task must not be started elsewhere until that reports that it has no run of it.
func TestPendingStartIsResolvedByNewIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1)
	f.submit("j", tasks(1, 100))
	f.plan()
	o := f.last("j.0.0.0")
	require.True(t, f.s.PrepareStart(f.now, o))
	f.advance(100 * time.Millisecond)
	f.deliverReport("vm00", batch.Report{Born: 2, Clock: 10 * time.Millisecond})
	f.relistWithBorn(2)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 1, "started again while the order is pending")
	f.s.Started(f.now, f.now, o, 0, "", true)
	f.plan()
	require.Len(t, f.stops, 1)
	f.s.Stopped(f.now, f.stops[0])
	f.advance(100 * time.Millisecond)
	f.deliverReport("vm00", batch.Report{Born: 2, Clock: 110 * time.Millisecond})
	f.advance(time.Second)
	f.deliverReport("vm00", batch.Report{Born: 2, Clock: 1110 * time.Millisecond})
	f.s.Tick(f.now)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 2, "not started again after the reports")
}

// Guards against a double run: a start may reach a new incarnation that the leader is not aware of. It
// may run there for the maximum lease that VMs accept, as its deadline refers to the clock of the
// previous incarnation.
func TestUnreportedStartWaitsOutMaxLease(t *testing.T) {
	f := newIncarnationFixture(t, 2)
	f.submit("j", tasks(1, 100))
	f.plan()
	o := f.last("j.0.0.0")
	other := f.list[0].ID
	if other == o.Instance.ID {
		other = f.list[1].ID
	}
	f.advance(200 * time.Millisecond)
	require.True(t, f.s.PrepareStart(f.now, o))
	orderedAt := f.now
	f.s.Started(f.now, f.now, o, 0, "", true)
	for f.now < orderedAt+f.s.settings.MaxLease {
		f.advance(100 * time.Millisecond)
		f.report(other, batch.Report{Born: 1})
		f.s.Tick(f.now)
		f.plan()
		require.Len(t, f.started["j.0.0.0"], 1, "started again %v after the order", f.now-orderedAt)
	}
}

// Guards against the removal of a living VM: another VM responds at the address that the VM had before
// it restarted at a new one. The new incarnation and its runs are unaffected.
func TestVMAtOldAddressDoesNotEndNewIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1)
	previous, _ := f.s.Instance("vm00")
	f.list[0].Address = "10.0.9.9:1"
	f.relistWithBorn(2)
	f.deliverReport("vm00", batch.Report{Born: 2, Clock: time.Second})
	f.s.RemoveReplaced(f.now, &previous)
	require.Contains(t, f.s.Instances(), "vm00")
	current, _ := f.s.Instance("vm00")
	f.s.RemoveReplaced(f.now, &current)
	require.NotContains(t, f.s.Instances(), "vm00")
}

// Guards against placement by an outdated entry: a VM may differ in kind and size after a restart, so it
// gets no work until its new entry is listed.
func TestNewIncarnationWaitsForItsOwnEntry(t *testing.T) {
	f := newIncarnationFixture(t, 1)
	f.advance(time.Second)
	f.deliverReport("vm00", batch.Report{Born: 2, Clock: time.Second})
	f.submit("j", tasks(1, 100))
	f.plan()
	require.Empty(t, f.started)
	f.relistWithBorn(2)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 1)
}

// Guards against orders of a deposed leader: its successor has shown its fencing token to the VM's
// previous incarnation only, so the new one would accept orders of the deposed leader.
func TestNewIncarnationWaitsForConfirmedLead(t *testing.T) {
	f := newIncarnationFixture(t, 1)
	f.s.leadConfirmedAt = f.now
	f.advance(time.Second)
	f.deliverReport("vm00", batch.Report{Born: 2, Clock: time.Second})
	f.relistWithBorn(2)
	f.submit("j", tasks(1, 100))
	f.plan()
	require.Empty(t, f.started)
	f.s.ConfirmLeadership(f.now)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 1)
}

// Guards against runs of a new incarnation that are acknowledged as expired: the restored run number,
// up to which runs have expired with their leases, applies only to the incarnation that it names.
func TestExpiredRunsBelongToOneIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1)
	f.s.vms["vm00"].maxExpiredRun = 9
	next := newFixture(t, 1)
	next.s.RestoreExpiredLeases(f.s.ExpiredLeases())
	next.report("vm00", batch.Report{Born: 2})
	require.Zero(t, next.s.vms["vm00"].maxExpiredRun)
	same := newFixture(t, 1)
	same.s.RestoreExpiredLeases(f.s.ExpiredLeases())
	same.report("vm00", batch.Report{Born: 1})
	require.EqualValues(t, 9, same.s.vms["vm00"].maxExpiredRun)
}

// Guards against unreadable records of expired leases: earlier versions stored a plain number.
func TestExpiredRunsOfOldFormatAreRead(t *testing.T) {
	var decoded map[string]ExpiredLease
	require.NoError(t, json.Unmarshal([]byte(`{"a":7,"b":{"run":8,"born":3}}`), &decoded))
	require.Equal(t, map[string]ExpiredLease{"a": {Run: 7}, "b": {Run: 8, Born: 3}}, decoded)
}

// Guards against a double run: an order that a VM's previous incarnation accepted is carried out seconds
// later by the new one, which has not seen a higher fencing token.
func TestNewIncarnationRefusesEarlierOrders(t *testing.T) {
	f := newIncarnationFixture(t, 1)
	f.submit("j", tasks(1, 100))
	f.plan()
	previousFence := f.last("j.0.0.0").Start.Fence
	f.advance(time.Second)
	f.s.HandleReport(f.now, f.now, "vm00", batch.Report{Born: 2, Clock: time.Second})
	f.relistWithBorn(2)
	require.True(t, f.s.NeedsToken())
	f.submit("second", tasks(1, 100))
	f.plan()
	require.Empty(t, f.started["second.0.0.0"], "started before the fencing token was raised")
	f.s.RaiseToken(previousFence + 7)
	order, ok := f.s.Hold(f.now, "vm00", time.Second)
	require.True(t, ok)
	require.Greater(t, order.Fence, previousFence)
	f.plan()
	require.Empty(t, f.started["second.0.0.0"], "started before the new incarnation has seen the token")
	f.s.HandleReport(f.now, f.now, "vm00", batch.Report{Born: 2, Clock: time.Second})
	f.plan()
	require.Equal(t, previousFence+7, f.last("second.0.0.0").Start.Fence)
}

// Guards against a leader that resumes after a suspension, accepts a report from before it as the VM's
// current state, and gives orders to the VM's new incarnation.
func TestReportReadAfterASuspensionTellsNothing(t *testing.T) {
	f := newFixture(t, 1)
	f.report("vm00", batch.Report{Born: 1})
	f.submit("j", tasks(1, 1000))
	_, ok := f.s.Hold(f.now, "vm00", 0)
	require.True(t, ok)
	sentAt := f.now
	f.advance(4 * time.Second)
	require.False(t, f.s.HandleReport(f.now, sentAt, "vm00", batch.Report{Born: 1, Clock: time.Hour, Ended: []batch.RunEnd{{Seq: 7, Task: batch.TaskID{Job: "other"}, Run: 1, Kind: batch.EndDone}}}))
	require.Empty(t, f.plan(), "started although the incarnation may have ended")
	order, ok := f.s.Hold(f.now, "vm00", 0)
	require.True(t, ok)
	require.Zero(t, order.LeaseUntil, "lease extended although the incarnation may have ended")
	require.Zero(t, order.Acked)
	f.s.HandleReport(f.now, f.now, "vm00", batch.Report{Born: 1, Clock: time.Hour})
	require.Len(t, f.plan(), 1)
}

// Guards against a deposed leader that gives orders to a VM's incarnation that started after its
// successor had contacted the previous one, and has not seen any fencing token.
func TestStartThatIsFirstHeardWithoutTheLeadGetsNothing(t *testing.T) {
	f := newFixture(t, 0)
	f.s.leadConfirmedAt = f.now
	f.list = append(f.list, instance(0), instance(1))
	f.s.SetInstances(f.now, f.list)
	f.advance(time.Second)
	f.report("vm00", batch.Report{Born: 1})
	f.report("vm01", batch.Report{})
	f.submit("j", tasks(2, 9000))
	orders := f.plan()
	require.Len(t, orders, 1)
	require.Equal(t, "vm01", orders[0].Instance.ID, "only the VM whose ID belongs to one incarnation gets work")
	f.s.ConfirmLeadership(f.now)
	orders = f.plan()
	require.Len(t, orders, 1)
	require.Equal(t, "vm00", orders[0].Instance.ID)
	require.EqualValues(t, 1, orders[0].Start.Born)
}

// Guards against repeated start orders for an incarnation that has ended: each connects to the new
// incarnation and is refused.
func TestRefusedStartWaitsForVMReport(t *testing.T) {
	f := newFixture(t, 1)
	f.report("vm00", batch.Report{Born: 1})
	f.submit("j", tasks(1, 1000))
	f.plan()
	o := f.last("j.0.0.0")
	require.True(t, f.s.PrepareStart(f.now, o))
	f.s.Started(f.now, f.now, o, 0, batch.RefusedRestarted, false)
	f.advance(2 * retryDelay)
	require.Empty(t, f.plan())
	f.report("vm00", batch.Report{Born: 1})
	f.advance(planInterval)
	require.Len(t, f.plan(), 1)
}

// Guards against giving up the runs of a VM whose entry another writer has overwritten: without the
// birth that the VM reports, the entry's address is not taken for the VM's, at which another VM would
// answer for it, and nothing is placed there until its own entry is back.
func TestEntryWithoutBirthIsNotTheVMs(t *testing.T) {
	f := newIncarnationFixture(t, 1)
	f.submit("j", tasks(1, 100))
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 1)
	own := f.list[0]
	f.list[0].Born, f.list[0].Address = 0, "10.9.9.9:1"
	f.s.SetInstances(f.now, f.list)
	inst, known := f.s.Instance(own.ID)
	require.True(t, known)
	require.Equal(t, own.Address, inst.Address)
	f.submit("k", tasks(1, 100))
	f.plan()
	require.Empty(t, f.started["k.0.0.0"], "started on a VM without an entry")
	f.list[0] = own
	f.s.SetInstances(f.now, f.list)
	f.plan()
	require.Len(t, f.started["k.0.0.0"], 1)
	require.Len(t, f.started["j.0.0.0"], 1, "a run was given up")
}
