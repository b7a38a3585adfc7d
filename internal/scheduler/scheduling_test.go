package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Checks that a step starts only when all tasks of the steps it depends on are done.
func TestStepsWaitForThoseBefore(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	second := tasks(1, 100)
	second.After = []int{0}
	f.submit("j", tasks(2, 100), second)
	f.plan()
	a, b := f.last("j.0.0.0"), f.last("j.0.0.1")
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, a, batch.EndDone)}, Running: runningReport(b).Running})
	f.plan()
	require.NotContains(t, f.started, "j.0.1.0")
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(2, b, batch.EndDone)}})
	f.plan()
	require.Contains(t, f.started, "j.0.1.0")
}

// Guards against exceeding a VM's capacity: runs that are being stopped still use it.
func TestCapacityCountsStoppingRuns(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("a", tasks(1, 8000))
	f.plan()
	f.confirm(f.last("a.0.0.0"))
	f.s.Cancel(f.now, "a")
	f.submit("b", tasks(1, 8000))
	f.plan()
	require.Len(t, f.stops, 1)
	require.NotContains(t, f.started, "b.0.0.0")
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, f.last("a.0.0.0"), batch.EndStopped)}})
	f.plan()
	require.Contains(t, f.started, "b.0.0.0")
}

func TestLabelsAndBoundsPerVM(t *testing.T) {
	f := newFixture(t, 3)
	f.list[1].Labels[0] = "gpu"
	f.s.SetInstances(f.now, f.list)
	f.reportAll(nil)
	labelled := tasks(2, 100)
	labelled.Label = "gpu"
	f.submit("l", labelled)
	spread := tasks(5, 100)
	spread.MaxPerVM = 1
	f.submit("s", spread)
	f.plan()
	for i := range 2 {
		require.Equal(t, "vm01", f.last(fmt.Sprintf("l.0.0.%d", i)).Instance.ID)
	}
	on := map[string]int{}
	for i := range 5 {
		if orders := f.started[fmt.Sprintf("s.0.0.%d", i)]; len(orders) > 0 {
			on[orders[0].Instance.ID]++
		}
	}
	require.Equal(t, map[string]int{"vm00": 1, "vm01": 1, "vm02": 1}, on)
}

func TestDrainingVMsGetNothing(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.list[0].Draining = true
	f.s.SetInstances(f.now, f.list)
	f.submit("j", tasks(4, 100))
	f.plan()
	for i := range 4 {
		require.Equal(t, "vm01", f.last(fmt.Sprintf("j.0.0.%d", i)).Instance.ID)
	}
}

func TestDataRackIsPreferred(t *testing.T) {
	f := newFixture(t, 6)
	f.reportAll(nil)
	s := tasks(4, 100)
	s.DataRack = "r2"
	f.submit("j", s)
	f.plan()
	for i := range 4 {
		require.Equal(t, "r2", f.last(fmt.Sprintf("j.0.0.%d", i)).Instance.Labels[1])
	}
}

// Checks that a gang starts completely or not at all, under one run number, and that the
// end of one member completes it.
func TestGang(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	gang := tasks(3, 8000)
	gang.Gang = true
	f.submit("big", gang)
	gang.Tasks = 2
	f.submit("fits", gang)
	f.plan()
	require.NotContains(t, f.started, "big.0.0.0")
	a, b := f.last("fits.0.0.0"), f.last("fits.0.0.1")
	require.Equal(t, a.Run, b.Run)
	f.report(a.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(1, a, batch.EndDone)}})
	require.Equal(t, batch.Completed, f.s.PendingWrites().Records[0].Progress.State)
}

// Guards against restarting the failed member of a gang alone, before the others ended.
func TestBrokenGangStartsAgainWhole(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	gang := tasks(2, 8000)
	gang.Gang = true
	f.submit("g", gang)
	f.plan()
	a, b := f.last("g.0.0.0"), f.last("g.0.0.1")
	f.report(a.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(1, a, batch.EndFailed)}})
	f.advance(time.Second)
	f.report(a.Instance.ID, batch.Report{})
	f.report(b.Instance.ID, runningReport(b))
	f.plan()
	require.Len(t, f.started["g.0.0.0"], 1, "one member was started alone")
	f.report(b.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(1, b, batch.EndBroken)}})
	f.plan()
	require.Len(t, f.started["g.0.0.0"], 2)
	require.Equal(t, f.last("g.0.0.0").Run, f.last("g.0.0.1").Run)
	require.Greater(t, f.last("g.0.0.0").Run, a.Run)
}

func TestAttemptsAreBounded(t *testing.T) {
	f := newFixture(t, 3)
	f.reportAll(nil)
	f.submit("j", tasks(1, 100))
	seq := map[string]int64{}
	for n := 1; n <= 3; n++ {
		f.plan()
		require.Len(t, f.started["j.0.0.0"], n)
		o := f.last("j.0.0.0")
		seq[o.Instance.ID]++
		f.report(o.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(seq[o.Instance.ID], o, batch.EndFailed)}})
		f.advance(time.Second)
		f.reportAll(nil)
	}
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 3)
	require.Equal(t, batch.Failed, f.s.PendingWrites().Records[0].Progress.State)
}

// Checks that ends without a fault of the task never count as attempts.
func TestStoppedAndLapsedRunsCountNoAttempt(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(1, 100))
	for n := range 10 {
		f.plan()
		require.Len(t, f.started["j.0.0.0"], n+1)
		kind := []batch.EndKind{batch.EndLapsed, batch.EndStopped, batch.EndBroken, batch.EndAlone}[n%4]
		f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(int64(n+1), f.last("j.0.0.0"), kind)}})
	}
}

// Checks that each occurrence starts once when it is due, even if the wall clock jumps
// back or the leader changes.
func TestTimedJob(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	spec := &batch.Job{ID: "j", Steps: []batch.Step{tasks(1, 100)}, Schedule: &batch.Schedule{FirstMS: 1000, IntervalMS: 1000, Count: 3}}
	f.s.Submit(f.now, Submission{Job: spec, Queue: testQueue, Pool: "pool"})
	f.s.OpenDue(f.now, 999)
	f.plan()
	require.Empty(t, f.started)
	f.s.OpenDue(f.now, 2000)
	f.s.OpenDue(f.now, 500)
	f.plan()
	require.Len(t, f.started, 2)
	f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, f.last("j.1.0.0"), batch.EndDone)}, Running: runningReport(f.last("j.0.0.0")).Running})
	record := f.s.PendingWrites().Records[0].Progress

	next := newFixture(t, 1)
	next.s.Submit(next.now, Submission{Job: spec, Queue: testQueue, Pool: "pool", PredatesLeader: true, Progress: record})
	next.s.OpenDue(next.now, 3000)
	next.report("vm00", runningReport(f.last("j.0.0.0")))
	next.plan()
	require.NotContains(t, next.started, "j.0.0.0", "it is already running")
	require.NotContains(t, next.started, "j.1.0.0", "it is done")
	require.Contains(t, next.started, "j.2.0.0")
}

// Checks that a lasting task is restarted after any kind of end.
func TestLastingTaskIsRestarted(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	s := tasks(1, 100)
	s.Lasting = true
	f.submit("j", s)
	for n, kind := range []batch.EndKind{batch.EndFailed, batch.EndDone, batch.EndFailed, batch.EndFailed, batch.EndFailed} {
		f.plan()
		require.Len(t, f.started["j.0.0.0"], n+1)
		f.report("vm00", batch.Report{Ended: []batch.RunEnd{endOfOrder(int64(n+1), f.last("j.0.0.0"), kind)}})
		f.advance(time.Second)
		f.reportAll(nil)
	}
}

// Checks that no task of a queue with an adviser starts without a valid ticket.
func TestAdvice(t *testing.T) {
	f := newFixture(t, 2)
	f.s.SetConfig(&batch.Config{Version: 2, Queues: []batch.Queue{
		{Name: testQueue, Pool: "pool", Attempts: 3, Stretch: 2, Advice: &batch.Advice{ValidFor: 2 * time.Second}},
	}})
	f.reportAll(nil)
	f.submit("j", tasks(2, 6000))
	orders := f.plan()
	require.Len(t, orders, 1)
	ask := orders[0]
	require.Equal(t, OrderAdvise, ask.Kind)
	require.ElementsMatch(t, []string{"vm00", "vm01"}, ask.Candidates)
	f.s.Advised(f.now, f.now, ask, map[string]string{"vm01": "leave"}, 2*time.Second, true)
	f.plan()
	o := f.last("j.0.0.0")
	require.Equal(t, "vm01", o.Instance.ID)
	require.Equal(t, "leave", o.Start.Ticket)
	require.NotContains(t, f.started, "j.0.0.1", "vm00 is not allowed, vm01 is full")
	// The ticket expires; the next request names the VM once it has capacity.
	f.advance(3 * time.Second)
	f.report("vm00", batch.Report{})
	f.report("vm01", batch.Report{Ended: []batch.RunEnd{endOfOrder(1, o, batch.EndDone)}})
	orders = f.plan()
	require.Len(t, orders, 1)
	require.Equal(t, []string{"vm01"}, orders[0].Candidates)
}

// withWave adds a wave of maintenance over n machines of a fixture, at most atOnce at a time.
func withWave(f *fixture, n, atOnce int) []batch.Machine {
	var machines []batch.Machine
	w := batch.Wave{Number: 1, Duration: 20 * time.Second, MaxAtOnce: atOnce}
	for i := range n {
		name := fmt.Sprintf("m%d", i)
		w.Machines = append(w.Machines, name)
		machines = append(machines, batch.Machine{Name: name, State: batch.MachineUp, Instance: f.list[i].ID})
	}
	f.s.AddWave(f.now, w, nil)
	f.s.SetMachines(f.now, f.now, machines)
	return machines
}

func maintenances(orders []Order) []Order {
	var out []Order
	for _, o := range orders {
		if o.Kind == OrderMaintain {
			out = append(out, o)
		}
	}
	return out
}

// Checks that a wave takes each machine down once, respects its limit of machines at a
// time, and completes only when the maintenance of all has begun.
func TestWaveKeepsItsBound(t *testing.T) {
	f := newFixture(t, 3)
	f.reportAll(nil)
	machines := withWave(f, 3, 1)
	begun := map[string]bool{}
	for range 3 {
		var order Order
		for range 4 {
			f.advance(100 * time.Millisecond)
			if m := maintenances(f.plan()); len(m) > 0 {
				require.Len(t, m, 1)
				order = m[0]
			}
		}
		require.NotEmpty(t, order.Machine)
		require.False(t, begun[order.Machine])
		begun[order.Machine] = true
		f.s.HandleMaintenanceResult(f.now, order, true, "")
		for i := range machines {
			if machines[i].Name == order.Machine {
				machines[i].State, machines[i].Instance = batch.MachineMaintenance, ""
			}
		}
		f.s.SetMachines(f.now, f.now, machines)
		f.advance(100 * time.Millisecond)
		require.Empty(t, maintenances(f.plan()), "two machines of the wave down at once")
		for i := range machines {
			if machines[i].State == batch.MachineMaintenance {
				machines[i].State, machines[i].Instance = batch.MachineUp, "new-"+machines[i].Name
			}
		}
		f.s.SetMachines(f.now, f.now, machines)
	}
	require.True(t, f.s.WaveStatuses()[0].Completed)
}

// Checks that lasting tasks are moved off a machine before its maintenance, no faster
// than their step allows.
func TestWaveMovesLastingTasks(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.s.settings.UnavailableDuration = 4 * time.Second
	s := servingStep("web", 1000)
	s.Tasks, s.MaxUnavailable = 2, 1
	f.submit("j", s)
	f.plan()
	a, b := f.last("j.0.0.0"), f.last("j.0.0.1")
	require.Equal(t, a.Instance.ID, b.Instance.ID, "both tasks should be on one VM")
	f.confirm(a)
	f.confirm(b)
	f.report(a.Instance.ID, progressReport(100, a, b))
	index := 0
	if a.Instance.ID == "vm01" {
		index = 1
	}
	f.s.AddWave(f.now, batch.Wave{Number: 1, Machines: []string{"m"}, Duration: 20 * time.Second, MaxAtOnce: 1}, nil)
	f.s.SetMachines(f.now, f.now, []batch.Machine{{Name: "m", State: batch.MachineUp, Instance: f.list[index].ID}})
	for range 5 {
		f.advance(100 * time.Millisecond)
		require.Empty(t, maintenances(f.plan()))
	}
	require.Len(t, f.stops, 1, "tasks should be moved one at a time")
}

// Guards against lasting tasks that are down for ten seconds, until the lease expires,
// after their VM announced that it drains, left, and its entry was removed.
func TestLastingTasksLeaveDrainingVM(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", servingStep("web", 1000))
	f.plan()
	o := f.last("j.0.0.0")
	f.confirm(o)
	f.report(o.Instance.ID, progressReport(100, o))
	for i := range f.list {
		f.list[i].Draining = f.list[i].ID == o.Instance.ID
	}
	f.s.SetInstances(f.now, f.list)
	f.s.Tick(f.now)
	f.plan()
	require.Len(t, f.stops, 1)
	f.report(o.Instance.ID, batch.Report{Ended: []batch.RunEnd{endOfOrder(1, o, batch.EndStopped)}})
	f.plan()
	require.NotEqual(t, o.Instance.ID, f.last("j.0.0.0").Instance.ID)
}

// Guards against tasks of a drained VM that wait for the end of a regular lease of eight
// seconds. A draining VM gets short leases; its tasks are started again as soon as the
// last has expired and not before, since a partitioned VM looks the same.
func TestDrainedVMThatLeftHasAShortLease(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	o := f.last("j.0.0.0")
	f.confirm(o)
	var rest []batch.Instance
	for i := range f.list {
		f.list[i].Draining = f.list[i].ID == o.Instance.ID
		if !f.list[i].Draining {
			rest = append(rest, f.list[i])
		}
	}
	f.s.SetInstances(f.now, f.list)
	for range 12 {
		f.report(o.Instance.ID, runningReport(o))
		f.report(rest[0].ID, batch.Report{})
		f.advance(500 * time.Millisecond)
	}
	last := f.now - 500*time.Millisecond
	f.s.SetInstances(f.now, rest)
	f.advanceUntilStarted(10*time.Second, rest[0].ID, o.Task, 2)
	require.Len(t, f.started["j.0.0.0"], 2)
	require.Greater(t, f.now, last+drainingLease)
	require.Less(t, f.now, last+leaseExpiryDelay(drainingLease)+200*time.Millisecond)
}
