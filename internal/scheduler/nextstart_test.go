package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// newIncarnationFixture is a fixture whose VMs tell that they were born at 1.
func newIncarnationFixture(t *testing.T, vms int) *fixture {
	f := newFixture(t, vms)
	f.relistWithBorn(1)
	for _, inst := range f.list {
		f.report(inst.ID, batch.Report{Born: 1})
	}
	return f
}

// deliverReport delivers a report of a VM that may have started again, and the next one, of a hold with
// a higher fencing token, where it has.
func (f *fixture) deliverReport(vm string, rep batch.Report) {
	f.s.HandleReport(f.now, f.now, vm, rep)
	if f.s.vms[vm].fenced {
		return
	}
	if f.s.NeedsToken() {
		f.s.RaiseToken(f.s.maxToken + 1)
	}
	_, ok := f.s.Hold(f.now, vm, time.Second)
	require.True(f.t, ok)
	f.s.HandleReport(f.now, f.now, vm, rep)
}

// relistWithBorn lists all VMs with another birth.
func (f *fixture) relistWithBorn(born int64) {
	for i := range f.list {
		f.list[i].Born = born
	}
	f.s.SetInstances(f.now, f.list)
}

// A start that was ordered before its VM started again may be on the VM's new start: it must
// not be given elsewhere before that has said that it is not.
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
	require.Len(t, f.started["j.0.0.0"], 1, "started again while the order is under way")
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
	require.Len(t, f.started["j.0.0.0"], 2, "never started again")
}

// A start that went to a VM's next start unknown to anybody may run there for the longest
// lease that VMs grant: its deadline was meant for another clock.
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
	given := f.now
	f.s.Started(f.now, f.now, o, 0, "", true)
	for f.now < given+f.s.settings.MaxLease {
		f.advance(100 * time.Millisecond)
		f.report(other, batch.Report{Born: 1})
		f.s.Tick(f.now)
		f.plan()
		require.Len(t, f.started["j.0.0.0"], 1, "started again %v after the order", f.now-given)
	}
}

// Another VM answers at the address that a VM had before it started again elsewhere: that
// says nothing of the new start, and what runs there goes on.
func TestVMAtOldAddressDoesNotEndNewIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1)
	old, _ := f.s.Instance("vm00")
	f.list[0].Address = "10.0.9.9:1"
	f.relistWithBorn(2)
	f.deliverReport("vm00", batch.Report{Born: 2, Clock: time.Second})
	f.s.RemoveReplaced(f.now, &old)
	require.Contains(t, f.s.Instances(), "vm00")
	present, _ := f.s.Instance("vm00")
	f.s.RemoveReplaced(f.now, &present)
	require.NotContains(t, f.s.Instances(), "vm00")
}

// A VM may be of another kind and size after it has started again: until its new entry is
// there, nobody knows what it may be given.
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

// A successor that has heard a VM relies on the fencing token that it showed. The VM's next
// start has not seen it, and takes orders of the leader before.
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

// Runs that were given up when all leases on a VM were over may be acknowledged; a later
// start of it has runs and leases of its own.
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

// What earlier versions kept of lapsed leases is a bare number.
func TestExpiredRunsOfOldFormatAreRead(t *testing.T) {
	var read map[string]ExpiredLease
	require.NoError(t, json.Unmarshal([]byte(`{"a":7,"b":{"run":8,"born":3}}`), &read))
	require.Equal(t, map[string]ExpiredLease{"a": {Run: 7}, "b": {Run: 8, Born: 3}}, read)
}

// Guards against work that runs twice: an order that was taken by a VM's start before is carried
// out seconds later by the next one, which has seen no higher fencing token.
func TestNewIncarnationRefusesEarlierOrders(t *testing.T) {
	f := newIncarnationFixture(t, 1)
	f.submit("j", tasks(1, 100))
	f.plan()
	before := f.last("j.0.0.0").Start.Fence
	f.advance(time.Second)
	f.s.HandleReport(f.now, f.now, "vm00", batch.Report{Born: 2, Clock: time.Second})
	f.relistWithBorn(2)
	require.True(t, f.s.NeedsToken())
	f.submit("second", tasks(1, 100))
	f.plan()
	require.Empty(t, f.started["second.0.0.0"], "started where the order may come late")
	f.s.RaiseToken(before + 7)
	order, known := f.s.Hold(f.now, "vm00", time.Second)
	require.True(t, known)
	require.Greater(t, order.Fence, before)
	f.plan()
	require.Empty(t, f.started["second.0.0.0"], "the start has not seen the token yet")
	f.s.HandleReport(f.now, f.now, "vm00", batch.Report{Born: 2, Clock: time.Second})
	f.plan()
	require.Equal(t, before+7, f.last("second.0.0.0").Start.Fence)
}

// Guards against a leader that wakes from a suspension, takes a report of before for what its VM is
// now, and gives orders to the VM's next start.
func TestReportReadAfterASuspensionTellsNothing(t *testing.T) {
	f := newFixture(t, 1)
	f.report("vm00", batch.Report{Born: 1})
	f.submit("j", tasks(1, 1000))
	_, ok := f.s.Hold(f.now, "vm00", 0)
	require.True(t, ok)
	sentAt := f.now
	f.advance(4 * time.Second)
	require.False(t, f.s.HandleReport(f.now, sentAt, "vm00", batch.Report{Born: 1, Clock: time.Hour, Ended: []batch.RunEnd{{Seq: 7, Task: batch.TaskID{Job: "other"}, Run: 1, Kind: batch.EndDone}}}))
	require.Empty(t, f.plan(), "whether that start lives is not known")
	o, ok := f.s.Hold(f.now, "vm00", 0)
	require.True(t, ok)
	require.Zero(t, o.LeaseUntil, "it may run out")
	require.Zero(t, o.Acked)
	f.s.HandleReport(f.now, f.now, "vm00", batch.Report{Born: 1, Clock: time.Hour})
	require.Len(t, f.plan(), 1)
}

// Guards against a deposed leader that gives orders to a start of a VM which began after its successor
// had spoken to the one before: no leader's fencing token has been seen there.
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
	require.Equal(t, "vm01", orders[0].Instance.ID, "its ID is that of one start")
	f.s.ConfirmLeadership(f.now)
	orders = f.plan()
	require.Len(t, orders, 1)
	require.Equal(t, "vm00", orders[0].Instance.ID)
	require.EqualValues(t, 1, orders[0].Start.Born)
}

// Guards against starts that are ordered again and again from a start that has ended: each makes a
// connection to the next one, and is refused.
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
