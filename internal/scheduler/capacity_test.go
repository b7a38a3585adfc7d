package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// VMs that do not guard their capacity begin whatever they are told to. Their capacity
// shrank while starts waited for their turn, and while the list of VMs could not be read:
// the starts were given all the same, and brought them over it.

// disableCapacityGuard makes the fixture's VMs begin whatever they are told to.
func (f *fixture) disableCapacityGuard() {
	c := *f.s.config
	c.Pools = map[string]batch.Pool{"pool": {Name: "pool"}}
	f.s.SetConfig(&c)
}

// resize changes what the VMs have, in thousandths of a processor.
func (f *fixture) resize(milliCPU int64) {
	for i := range f.list {
		f.list[i].Capacity.MilliCPU = milliCPU
	}
	f.s.SetInstances(f.now, f.list)
}

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
	require.False(t, f.s.PrepareStart(f.now, second), "8 processors are taken of 6")
	require.Empty(t, f.plan(), "nor is it ordered again")
	f.resize(8000)
	f.plan()
	require.Len(t, f.started["j.0.0.1"], 2, "once there is room it is")
	require.True(t, f.s.PrepareStart(f.now, f.last("j.0.0.1")))
}

// A VM that guards its capacity refuses by itself, and knows best.
func TestGuardedVMGetsStartsAfterCapacityShrank(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(2, 4000))
	f.plan()
	f.resize(6000)
	require.True(t, f.s.PrepareStart(f.now, f.last("j.0.0.1")))
}

// What is being stopped takes its room until its end is told.
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

// Fillers declare no processors, but what they use is not there either.
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
		require.False(t, f.s.PrepareStart(f.now, f.last("early.0.0.0")), "a start that has waited since")
		f.s.SetInstances(f.now, f.list)
		f.plan()
		require.Len(t, f.started["j.0.0.0"], 1)
	}
}

// The members of a gang that have begun would wait in vain for one that is not given.
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

// A VM that has not written its entry for some time may have less than that says.
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
