package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// These tests guard against starts that exceed the capacity of VMs which do not guard it. Such a
// VM accepts all starts. Starts were sent although the capacity had shrunk while they were
// waiting, or while the list of VMs could not be read.

// disableCapacityGuard makes the fixture's VMs accept all starts.
func (f *fixture) disableCapacityGuard() {
	c := *f.s.config
	c.Pools = map[string]batch.Pool{"pool": {Name: "pool"}}
	f.s.SetConfig(&c)
}

// resize sets the processors of all VMs, in thousandths.
func (f *fixture) resize(milliCPU int64) {
	for i := range f.list {
		f.list[i].Capacity.MilliCPU = milliCPU
	}
	f.s.SetInstances(f.now, f.list)
}

// A start that no longer fits is dropped and ordered again when there is enough capacity.
func TestStartIsNotSentAfterCapacityShrank(t *testing.T) {
	f := newFixture(t, 1)
	f.disableCapacityGuard()
	f.reportAll(nil)
	f.submit("j", tasks(2, 4000))
	f.plan()
	first, second := f.last("j.0.0.0"), f.last("j.0.0.1")
	require.True(t, f.s.PrepareStart(f.now, first))
	f.confirm(first)
	f.resize(6000)
	require.False(t, f.s.PrepareStart(f.now, second), "sent with 8 of 6 processors in use")
	require.Empty(t, f.plan(), "ordered again without capacity")
	f.resize(8000)
	f.plan()
	require.Len(t, f.started["j.0.0.1"], 2, "not ordered again with enough capacity")
	require.True(t, f.s.PrepareStart(f.now, f.last("j.0.0.1")))
}

// A VM that guards its capacity decides on starts itself.
func TestGuardedVMGetsStartsAfterCapacityShrank(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(2, 4000))
	f.plan()
	f.resize(6000)
	require.True(t, f.s.PrepareStart(f.now, f.last("j.0.0.1")))
}

// A run that is being stopped occupies its resources until its end is reported.
func TestStoppingRunsCountAgainstAShrunkCapacity(t *testing.T) {
	f := newFixture(t, 1)
	f.disableCapacityGuard()
	f.reportAll(nil)
	f.submit("j", tasks(1, 6000))
	f.plan()
	run := f.last("j.0.0.0")
	require.True(t, f.s.PrepareStart(f.now, run))
	f.confirm(run)
	f.s.Cancel(f.now, "j")
	f.resize(6000)
	f.submit("k", tasks(1, 1000))
	f.plan()
	require.Empty(t, f.started["k.0.0.0"])
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, run, batch.EndStopped)}})
	f.plan()
	require.Len(t, f.started["k.0.0.0"], 1)
}

// Fillers must not start on a VM over its capacity either: they declare no processors but use
// some.
func TestNothingStartsOnAVMOverItsCapacity(t *testing.T) {
	f := newFixture(t, 1)
	f.disableCapacityGuard()
	f.reportAll(nil)
	f.submit("j", tasks(1, 6000))
	f.plan()
	require.True(t, f.s.PrepareStart(f.now, f.last("j.0.0.0")))
	f.confirm(f.last("j.0.0.0"))
	f.resize(4000)
	filler := tasks(1, 0)
	filler.Filler = true
	f.submit("k", filler)
	f.plan()
	require.Empty(t, f.started["k.0.0.0"])
}

// With an outdated list of VMs, only VMs that guard their capacity get starts.
func TestNothingStartsOnUnguardedVMsWhileTheListIsOld(t *testing.T) {
	for _, unguarded := range []bool{false, true} {
		f := newFixture(t, 1)
		if unguarded {
			f.disableCapacityGuard()
		}
		f.reportAll(nil)
		f.submit("early", tasks(1, 1000))
		f.plan()
		f.advance(listMaxAge + time.Millisecond)
		f.reportAll(map[string]batch.Report{})
		f.submit("j", tasks(1, 1000))
		f.plan()
		if !unguarded {
			require.Len(t, f.started["j.0.0.0"], 1)
			continue
		}
		require.Empty(t, f.started["j.0.0.0"])
		require.False(t, f.s.PrepareStart(f.now, f.last("early.0.0.0")), "a start ordered before the list became outdated was sent")
		f.s.SetInstances(f.now, f.list)
		f.plan()
		require.Len(t, f.started["j.0.0.0"], 1)
	}
}

// The started members of a gang would wait forever for a member whose start is not sent.
func TestGangIsStoppedWhenAMemberIsNotSent(t *testing.T) {
	f := newFixture(t, 2)
	f.disableCapacityGuard()
	f.reportAll(nil)
	gang := tasks(2, 6000)
	gang.Gang = true
	f.submit("j", gang)
	f.plan()
	first, second := f.last("j.0.0.0"), f.last("j.0.0.1")
	require.True(t, f.s.PrepareStart(f.now, first))
	f.confirm(first)
	f.resize(5000)
	require.False(t, f.s.PrepareStart(f.now, second))
	f.plan()
	require.Len(t, f.stops, 1)
	require.Equal(t, first.Run, f.stops[0].Run)
}

// A VM that has not updated its entry for some time may have less capacity than the entry shows.
func TestNothingStartsOnUnguardedVMsWhileTheEntryIsStale(t *testing.T) {
	f := newFixture(t, 1)
	f.disableCapacityGuard()
	f.list[0].Stale = true
	f.s.SetInstances(f.now, f.list)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	require.Empty(t, f.started["j.0.0.0"])
	f.list[0].Stale = false
	f.s.SetInstances(f.now, f.list)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 1)
}
