package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// advanceAndReport advances the time and the progress in the reports, and delivers reports of all
// VMs.
func advanceAndReport(f *fixture, reports map[string]batch.Report) {
	f.advance(100 * time.Millisecond)
	for _, rep := range reports {
		for i := range rep.Running {
			rep.Running[i].Progress++
		}
	}
	f.reportAll(reports)
}

// runUntilMaintained advances the time, with all VMs reporting, until the maintenance of a
// machine is ordered.
func runUntilMaintained(f *fixture, reports map[string]batch.Report) Order {
	for range 150 {
		advanceAndReport(f, reports)
		f.s.Tick(f.now)
		if m := maintenances(f.plan()); len(m) > 0 {
			return m[0]
		}
	}
	require.Fail(f.t, "no maintenance was ordered")
	return Order{}
}

// Guards against tasks that are started twice while they run on a machine of a wave. A leader
// begins the machine's maintenance and dies before recording that; the machine returns with a new
// VM and gets tasks; the next leader orders the maintenance again and gets the response that it
// is done. This success was taken for the end of the new VM.
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
	require.Contains(t, f.s.Instances(), o.Instance.ID, "the VM was removed")
	f.s.SetMachines(f.now, f.now-time.Second, machines)
	for range 30 {
		advanceAndReport(f, reports)
		f.s.SetMachines(f.now, f.now, machines)
		f.s.Tick(f.now)
		f.plan()
	}
	require.Len(t, f.started["j.0.0.0"], 1, "started again while the first run continues")
	require.Empty(t, f.stops)
	require.True(t, f.s.WaveStatuses()[0].Completed)
	require.False(t, f.s.vms[o.Instance.ID].closed, "the machine was not reopened")
}

// acceptFirstMaintenance returns a fixture with two machines in a wave, and the first order,
// which was accepted.
func acceptFirstMaintenance(t *testing.T) (*fixture, []batch.Machine, Order) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	machines := withWave(f, 2, 1)
	first := runUntilMaintained(f, nil)
	f.s.HandleMaintenanceResult(f.now, first, true, "")
	return f, machines, first
}

// Guards against a wave that makes no progress: in the situation above, the machine counted as
// down until it had another VM, which it never got.
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
		require.False(t, v.closed, "%s was not reopened", v.inst.ID)
	}
}

// When maintenance has begun, the machine's VM is removed as soon as the list of machines shows
// it.
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
