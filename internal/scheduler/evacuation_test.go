package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// These tests guard against starts in an availability zone whose evacuation was requested.

// newZonedFixture returns a fixture whose VMs are in the zones "a" and "b" by turns.
func newZonedFixture(t *testing.T, vms int) *fixture {
	f := newFixture(t, 0)
	for i := range vms {
		inst := instance(i)
		inst.Zone = []string{"a", "b"}[i%2]
		f.list = append(f.list, inst)
	}
	f.s.SetInstances(f.now, f.list)
	f.reportAll(nil)
	return f
}

// evacuate puts the evacuations of exactly the given zones in force, as of a revision.
func (f *fixture) evacuate(revision int64, zones ...string) {
	e := &batch.Evacuations{Revision: revision}
	for _, zone := range zones {
		e.Zones = append(e.Zones, batch.Evacuation{Zone: zone, Revision: revision})
	}
	f.s.SetEvacuations(e)
}

// startsIn counts the start orders to VMs of a zone.
func startsIn(orders []Order, zone string) int {
	n := 0
	for _, o := range orders {
		if o.Kind == OrderStart && o.Instance.Zone == zone {
			n++
		}
	}
	return n
}

// Tasks of each kind are placed in other zones only, and wait if there is no capacity there.
func TestEvacuatedZoneGetsNoStarts(t *testing.T) {
	gang := tasks(2, 1000)
	gang.Gang = true
	lasting := tasks(2, 1000)
	lasting.Lasting = true
	filler := tasks(2, 1000)
	filler.Filler, filler.Image = true, "image"
	oneEach := tasks(2, 1000)
	oneEach.MaxPerVM = 1
	rack := tasks(2, 1000)
	rack.SameRack = true
	for name, step := range map[string]batch.Step{"short": tasks(2, 1000), "gang": gang, "lasting": lasting, "filler": filler, "one per VM": oneEach, "same rack": rack} {
		t.Run(name, func(t *testing.T) {
			f := newZonedFixture(t, 4)
			f.evacuate(5, "a")
			f.submit("j", step)
			orders := f.plan()
			require.Zero(t, startsIn(orders, "a"))
			require.Equal(t, 2, startsIn(orders, "b"))
		})
	}
	f := newZonedFixture(t, 4)
	f.evacuate(5, "a", "b")
	f.submit("j", tasks(2, 1000))
	require.Empty(t, f.plan(), "started although all zones are evacuated")
	f.evacuate(6)
	require.Len(t, f.plan(), 2, "not started after the evacuations were withdrawn")
}

// A start that waits in a queue when the evacuation becomes known is dropped and decided again.
func TestDecidedStartIsNotSentToEvacuatedZone(t *testing.T) {
	f := newZonedFixture(t, 2)
	f.evacuate(5, "b")
	f.submit("j", tasks(1, 1000))
	f.plan()
	first := f.last("j.0.0.0")
	f.evacuate(6, "a")
	require.False(t, f.s.PrepareStart(f.now, first), "sent to an evacuated zone")
	f.advance(planInterval)
	f.plan()
	second := f.last("j.0.0.0")
	require.Equal(t, "b", second.Instance.Zone)
	require.True(t, f.s.PrepareStart(f.now, second))
}

// A start without a response is not repeated once its zone is evacuated: it is stopped, since it
// may still be carried out.
func TestUnansweredStartIsNotRepeatedInEvacuatedZone(t *testing.T) {
	f := newZonedFixture(t, 2)
	f.evacuate(5, "b")
	f.submit("j", tasks(1, 1000))
	f.plan()
	order := f.last("j.0.0.0")
	require.True(t, f.s.PrepareStart(f.now, order))
	require.True(t, f.s.ShouldResendStart(f.now, order))
	f.evacuate(6, "a")
	require.False(t, f.s.ShouldResendStart(f.now, order))
	f.s.Started(f.now, f.now, order, 0, "", true)
	f.plan()
	require.Len(t, f.stops, 1)
}

// The members of a gang in other zones do not wait for one whose start was dropped.
func TestGangIsStoppedWhenOneZoneIsEvacuated(t *testing.T) {
	f := newZonedFixture(t, 2)
	step := tasks(2, 6000)
	step.Gang = true
	f.submit("j", step)
	require.Len(t, f.plan(), 2)
	var inA, inB Order
	for _, o := range []Order{f.last("j.0.0.0"), f.last("j.0.0.1")} {
		if o.Instance.Zone == "a" {
			inA = o
		} else {
			inB = o
		}
	}
	require.True(t, f.s.PrepareStart(f.now, inB))
	f.confirm(inB)
	f.evacuate(5, "a")
	require.False(t, f.s.PrepareStart(f.now, inA))
	f.plan()
	require.Len(t, f.stops, 1)
	require.Equal(t, inB.Task, f.stops[0].Task)
}

// A lasting task in an evacuated zone runs on, and restarts elsewhere after its end.
func TestLastingTaskRestartsOutsideEvacuatedZone(t *testing.T) {
	f := newZonedFixture(t, 2)
	f.evacuate(5, "b")
	step := tasks(1, 1000)
	step.Lasting = true
	f.submit("j", step)
	f.plan()
	order := f.last("j.0.0.0")
	f.confirm(order)
	f.evacuate(6, "a")
	f.plan()
	require.Empty(t, f.stops)
	f.report(order.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(1, order, batch.EndFailed)}})
	f.advance(time.Second)
	f.reportAll(nil)
	f.plan()
	require.Equal(t, "b", f.last("j.0.0.0").Instance.Zone)
}

// A VM that joins an evacuated zone, or moves there, gets nothing.
func TestNewVMInEvacuatedZoneGetsNoStarts(t *testing.T) {
	f := newZonedFixture(t, 1)
	f.evacuate(5, "a")
	added := instance(7)
	added.Zone = "a"
	f.list = append(f.list, added)
	f.s.SetInstances(f.now, f.list)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	require.Empty(t, f.plan())
}

// An operator sees which zones are evacuated and what still runs there.
func TestDumpShowsWhatRunsInEvacuatedZones(t *testing.T) {
	f := newZonedFixture(t, 1)
	f.submit("j", tasks(2, 1000))
	f.plan()
	f.evacuate(5, "a")
	require.Equal(t, []EvacuatedZoneDump{{Zone: "a", Revision: 5, Runs: 2}}, f.s.Dump(f.now).Evacuated)
	f.evacuate(9)
	require.Empty(t, f.s.Dump(f.now).Evacuated)
	var events []string
	for _, d := range f.log {
		if d.Zone != "" {
			events = append(events, d.Event)
		}
	}
	require.Equal(t, []string{EventZoneEvacuated, EventZoneReopened}, events)
	require.True(t, slices.ContainsFunc(f.log, func(d Decision) bool { return d.Event == EventZoneReopened && d.Revision == 9 }))
}
