package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// advanceAndReport lets what is reported make progress, and hears all VMs.
func advanceAndReport(f *fixture, reports map[string]batch.Report) {
	f.advance(100 * time.Millisecond)
	for _, rep := range reports {
		for i := range rep.Running {
			rep.Running[i].Progress++
		}
	}
	f.reportAll(reports)
}

// runUntilMaintained lets time go by, with all VMs heard, until a machine is to be
// taken down.
func runUntilMaintained(f *fixture, reports map[string]batch.Report) Order {
	for range 150 {
		advanceAndReport(f, reports)
		f.s.Tick(f.now)
		if m := maintenances(f.plan()); len(m) > 0 {
			return m[0]
		}
	}
	require.Fail(f.t, "no machine is taken down")
	return Order{}
}

// What happened: tasks were started again while they ran on a machine of a wave.
// Sequence: a leader begins a machine's maintenance and dies before it has recorded
// that; the machine is back, with a new instance, and gets work; the next leader
// orders its maintenance again and is told that it is done.
// Cause: the success was taken for the end of the instance that is there, which was
// a new one.
func TestRepeatedMaintenanceEndsNoInstance(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	o := f.last("j.0.0.0")
	f.confirm(o)
	reports := map[string]batch.Report{o.Instance.ID: runningReport(o)}
	machines := []batch.Machine{{Name: "m", State: batch.MachineUp, Instance: o.Instance.ID}}
	f.s.AddWave(f.now, batch.Wave{Number: 1, Machines: []string{"m"}, Duration: 20 * time.Second, MaxAtOnce: 1}, nil)
	f.s.SetMachines(f.now, f.now, machines)
	order := runUntilMaintained(f, reports)
	f.s.HandleMaintenanceResult(f.now, order, true, "")
	require.Contains(t, f.s.Instances(), o.Instance.ID, "taken for gone")
	f.s.SetMachines(f.now, f.now-time.Second, machines)
	for range 30 {
		advanceAndReport(f, reports)
		f.s.SetMachines(f.now, f.now, machines)
		f.s.Tick(f.now)
		f.plan()
	}
	require.Len(t, f.started["j.0.0.0"], 1, "started again while it runs")
	require.Empty(t, f.stops)
	require.True(t, f.s.WaveStatuses()[0].Completed)
	require.False(t, f.s.vms[o.Instance.ID].closed, "it gets work again")
}

// acceptFirstMaintenance is a fixture of two machines in a wave, whose first maintenance, which it
// returns, was accepted.
func acceptFirstMaintenance(t *testing.T) (*fixture, []batch.Machine, Order) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	machines := withWave(f, 2, 1)
	first := runUntilMaintained(f, nil)
	f.s.HandleMaintenanceResult(f.now, first, true, "")
	return f, machines, first
}

// What happened: a wave stood still.
// Sequence: as above; the machine counts as down until it has another instance, and
// it never gets one.
func TestWaveContinuesAfterRepeatedMaintenance(t *testing.T) {
	f, machines, first := acceptFirstMaintenance(t)
	f.advance(2 * time.Second)
	f.s.SetMachines(f.now, f.now, machines)
	second := runUntilMaintained(f, nil)
	require.NotEqual(t, first.Machine, second.Machine)
	f.s.HandleMaintenanceResult(f.now, second, false, batch.RefusedWave)
	f.advance(time.Second)
	f.plan()
	require.True(t, f.s.WaveStatuses()[0].Completed)
	for _, v := range f.s.vms {
		require.False(t, v.closed, "%s gets work again", v.inst.ID)
	}
}

// A machine whose maintenance has begun takes its instance with it, as soon as the
// list of machines tells.
func TestMaintenanceEndsTheInstance(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	o := f.last("j.0.0.0")
	f.confirm(o)
	f.s.AddWave(f.now, batch.Wave{Number: 1, Machines: []string{"m"}, Duration: 20 * time.Second, MaxAtOnce: 1}, nil)
	f.s.SetMachines(f.now, f.now, []batch.Machine{{Name: "m", State: batch.MachineUp, Instance: o.Instance.ID}})
	order := runUntilMaintained(f, map[string]batch.Report{o.Instance.ID: runningReport(o)})
	f.s.HandleMaintenanceResult(f.now, order, true, "")
	f.advance(500 * time.Millisecond)
	f.s.SetMachines(f.now, f.now, []batch.Machine{{Name: "m", State: batch.MachineMaintenance}})
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 2)
}
