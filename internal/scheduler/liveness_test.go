package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// machinesOf returns a list of the machine service with the given instances up.
func machinesOf(ids ...string) []batch.Machine {
	var list []batch.Machine
	for _, id := range ids {
		list = append(list, batch.Machine{Name: "m-" + id, State: batch.MachineUp, Instance: id})
	}
	return list
}

// setLiveInstances applies a list of the machine service requested now.
func (f *fixture) setLiveInstances(ids ...string) {
	f.s.SetLiveInstances(f.now, f.now, machinesOf(ids...))
}

// unresponsiveVM returns a fixture with three VMs, of which the one that runs a task has not
// reported for a while.
func unresponsiveVM(t *testing.T) (f *fixture, first Order, others []string) {
	f = newFixture(t, 3)
	f.reportAll(nil)
	f.submit("j", tasks(1, 100))
	f.plan()
	first = f.last("j.0.0.0")
	f.confirm(first)
	for _, inst := range f.list {
		if inst.ID != first.Instance.ID {
			others = append(others, inst.ID)
		}
	}
	f.advance(livenessCheckDelay + time.Millisecond)
	for _, id := range others {
		f.report(id, batch.Report{})
	}
	return f, first, others
}

// Guards against tasks of a crashed VM that are down for its whole lease, 8.5 s. The machine
// service reports the crash at once: two of its lists lack the VM's instance.
func TestVMThatItsMachineEndedIsGone(t *testing.T) {
	f, first, others := unresponsiveVM(t)
	require.True(t, f.s.NeedsLivenessCheck(f.now))
	f.setLiveInstances(others...)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 1, "a single list may lack a machine that is up")
	f.advance(minMissingDuration)
	f.setLiveInstances(others...)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 2)
	require.NotEqual(t, first.Instance.ID, f.last("j.0.0.0").Instance.ID)
	require.False(t, f.s.NeedsLivenessCheck(f.now))
}

// Guards against restarting the tasks of a VM that is only cut off: the machine service lists it,
// and its lease counts whatever the store's list has.
func TestVMThatIsCutOffLives(t *testing.T) {
	f, first, others := unresponsiveVM(t)
	f.s.SetInstances(f.now, []batch.Instance{})
	for range 8 {
		f.setLiveInstances(append(others, first.Instance.ID)...)
		f.advance(minMissingDuration)
		for _, id := range others {
			f.report(id, batch.Report{})
		}
		f.s.Tick(f.now)
		f.plan()
	}
	require.Len(t, f.started["j.0.0.0"], 1)
}

// Guards against VMs that are declared lost by a useless list: one that was requested before the
// VM's last report, one that lacks most of the reporting VMs, and an empty one.
func TestImplausibleMachineListsAreIgnored(t *testing.T) {
	for name, setList := range map[string]func(f *fixture, first Order, others []string){
		"empty":         func(f *fixture, _ Order, _ []string) { f.setLiveInstances() },
		"mostly others": func(f *fixture, _ Order, _ []string) { f.setLiveInstances("vm77", "vm78") },
		"one lacks it": func(f *fixture, first Order, others []string) {
			f.setLiveInstances(others...)
			f.setLiveInstances(append(others, first.Instance.ID)...)
		},
		"old": func(f *fixture, first Order, others []string) {
			v := f.s.vms[first.Instance.ID]
			f.s.SetLiveInstances(f.now, v.lastReportAt-time.Millisecond, machinesOf(others...))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, first, others := unresponsiveVM(t)
			for range 4 {
				setList(f, first, others)
				f.advance(minMissingDuration)
			}
			f.plan()
			require.Len(t, f.started["j.0.0.0"], 1)
		})
	}
}

// Guards against waiting for ended VMs of earlier leaders: a machine that is down, or that runs
// another instance, has ended the one before.
func TestEarlierInstanceOfAMachineIsNotAwaited(t *testing.T) {
	f := newCutOffFixture(t)
	f.advance(livenessCheckDelay + time.Millisecond)
	f.report("vm00", batch.Report{})
	list := append(machinesOf("vm00", "new life"), batch.Machine{Name: "m-cut", State: batch.MachineDown, Instance: "cut"})
	f.s.SetLiveInstances(f.now, f.now, list)
	f.advance(minMissingDuration)
	f.s.SetLiveInstances(f.now, f.now, list)
	require.Empty(t, f.s.AwaitedInstances())
	f.plan()
	require.Len(t, f.started, 1)
}

// Guards against a successor that waits for a VM that has left and whose lease has expired: it
// would delay all older jobs as long as for a VM that is cut off.
func TestVMThatLeftIsNotRecorded(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.reportAll(nil)
	f.s.SetInstances(f.now, f.list[:1])
	require.Contains(t, f.s.RecordedInstances(f.now), "vm01", "its lease may still be valid")
	f.advance(leaseExpiryDelay(f.s.settings.Lease()) + time.Second)
	f.report("vm00", batch.Report{})
	require.NotContains(t, f.s.RecordedInstances(f.now), "vm01")
	require.Contains(t, f.s.RecordedInstances(f.now), "vm00")
}
