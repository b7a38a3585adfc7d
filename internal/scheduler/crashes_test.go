package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Tasks were started again and again, every two seconds for the rest of the day, each
// time on another VM, and each VM ended some 10 ms after it had begun the task. The log
// had run_started for a task, then vm_unanswered with EOF of its VM 13 ms later, then
// vm_gone and run_lost for all that ran there, and the same task's run_started again.
// What ended with a VM was taken off "without blame for the tasks", and nothing counted
// how many VMs had ended under one.

// crashSeeds are n seeds, and half as many of polled fleets.
func crashSeeds(n uint64) []uint64 {
	var seeds []uint64
	for seed := range n * *exploreScale {
		seeds = append(seeds, seed)
	}
	for seed := range n * *exploreScale / 2 {
		seeds = append(seeds, firstPolledSeed+seed)
	}
	return seeds
}

// crashingJobs are a job of each kind whose first task ends its VMs.
var crashingJobs = map[string][]batch.Step{
	"plain":       {tasks(3, 1000)},
	"second step": {tasks(2, 1000), {Tasks: 2, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Second, After: []int{0}}},
	"lasting":     {{Tasks: 3, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 10}, Lasting: true, MaxUnavailable: 1}},
	"gang":        {{Tasks: 3, Need: batch.Resources{MilliCPU: 6000, MemoryMB: 10}, Estimate: time.Second, Gang: true}},
	"speculative": {{Tasks: 3, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Second, Speculative: true}},
	"filler":      {{Tasks: 3, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Second, Filler: true}},
}

// crashingKinds are their names, in a fixed order.
var crashingKinds = slices.Sorted(maps.Keys(crashingJobs))

// submitCrashing hands in one of them, and returns the task that ends its VMs.
func (c *crashFleet) submitCrashing(kind string) batch.TaskID {
	steps := crashingJobs[kind]
	id := batch.TaskID{Job: "bad-" + kind, Step: len(steps) - 1}
	if steps[0].Lasting {
		c.runDurations[id.Job] = 0
	}
	c.crashingTasks[id] = true
	c.submitJob(&batch.Job{ID: id.Job, Payload: "p", Steps: steps})
	return id
}

// submitHarmless hands in harmless jobs now and then while time passes.
func (c *crashFleet) submitHarmless(n int, every time.Duration) {
	for range n {
		id := fmt.Sprintf("good%d", c.harmlessJobs)
		c.harmlessJobs++
		c.runDurations[id] = time.Duration(200+c.rng.IntN(4000)) * time.Millisecond
		c.submitJob(&batch.Job{ID: id, Payload: "p", Steps: []batch.Step{tasks(1+c.rng.IntN(4), 1000)}})
		c.runFor(every)
	}
}

// requireHarmlessCompleted fails where one of the harmless jobs did not complete.
func (c *crashFleet) requireHarmlessCompleted() {
	for i := range c.harmlessJobs {
		c.requireState(fmt.Sprintf("good%d", i), batch.Completed)
	}
}

// runCrashing plays a job of a kind that ends its VMs among others: it has to be given up
// in time, and all others kept. It returns the task.
func (c *crashFleet) runCrashing(kind string) batch.TaskID {
	c.runFor(2 * time.Second)
	task := c.submitCrashing(kind)
	c.submitHarmless(40, 250*time.Millisecond)
	c.runFor(50 * time.Second)
	c.requireStartsBounded()
	c.requireState(task.Job, batch.Failed)
	c.requireHarmlessCompleted()
	return task
}

func TestTaskThatCrashesItsVMsFails(t *testing.T) {
	t.Parallel()
	forEachKind(t, "dark", func(t *testing.T, kind string, dark bool) {
		for _, seed := range crashSeeds(20) {
			c := newCrashFleet(t, 12, seed)
			c.noResets = dark
			task := c.runCrashing(kind)
			require.GreaterOrEqual(t, len(c.crashTimes[task]), 2, "given up with too little evidence")
		}
	})
}

// forEachKind runs a test for each kind of job, without and with what is named, beside each other.
func forEachKind(t *testing.T, named string, test func(t *testing.T, kind string, with bool)) {
	for _, kind := range crashingKinds {
		for _, with := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, %s %v", kind, named, with), func(t *testing.T) {
				t.Parallel()
				test(t, kind, with)
			})
		}
	}
}

// A task may end its VM some time after it began.
func TestTaskThatCrashesItsVMsLaterFails(t *testing.T) {
	t.Parallel()
	for _, kind := range crashingKinds {
		for _, seed := range crashSeeds(5) {
			c := newCrashFleet(t, 12, seed)
			c.crashDelay = 600 * time.Millisecond
			c.noResets = seed%2 == 1
			c.runCrashing(kind)
		}
	}
}

// Several such tasks that are started at the same moments end their VMs at the same
// moments: that must not pass for the loss of a rack.
func TestTasksThatCrashSimultaneouslyFail(t *testing.T) {
	t.Parallel()
	for _, seed := range crashSeeds(20) {
		c := newCrashFleet(t, 24, seed)
		c.runFor(2 * time.Second)
		for _, kind := range crashingKinds {
			c.submitCrashing(kind)
		}
		c.runFor(40 * time.Second)
		c.requireStartsBounded()
		for _, kind := range crashingKinds {
			c.requireState("bad-"+kind, batch.Failed)
		}
	}
}

// New tasks that end their VMs come each second, so that others' VMs end about when a
// suspect's does. A leader counted such ends as those of a rack, or as shared, and started
// a task six times: its trials told it nothing.
func TestCrashesOfManyTasksAreAttributed(t *testing.T) {
	t.Parallel()
	for _, seed := range crashSeeds(10) {
		c := newCrashFleet(t, 48, seed)
		c.runFor(2 * time.Second)
		for i := range 25 {
			id := batch.TaskID{Job: fmt.Sprintf("bad%d", i)}
			c.crashingTasks[id] = true
			c.submitJob(&batch.Job{ID: id.Job, Payload: "p", Steps: []batch.Step{tasks(5, 1000)}})
			for range 1 + c.rng.IntN(20) {
				c.submitHarmless(1, 50*time.Millisecond)
			}
		}
		c.runFor(30 * time.Second)
		c.requireStartsBounded()
		c.requireHarmlessCompleted()
		for i := range 25 {
			c.requireState(fmt.Sprintf("bad%d", i), batch.Failed)
		}
	}
}

// The count of a leader that dies is its successor's: without it each take-over gives a
// task its VMs anew.
func TestCrashesAreCountedOverTakeOvers(t *testing.T) {
	t.Parallel()
	for _, kind := range crashingKinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			for _, seed := range crashSeeds(40) {
				c := newCrashFleet(t, 12, seed)
				c.runFor(2 * time.Second)
				task := c.submitCrashing(kind)
				for range 12 {
					c.runFor(time.Duration(1000+c.rng.IntN(6000)) * time.Millisecond)
					c.takeOver()
				}
				c.runFor(40 * time.Second)
				c.requireStartsBounded()
				c.requireState(task.Job, batch.Failed)
			}
		})
	}
}

// Writes whose answers are lost, and a store that is away, must not lose the count.
func TestCrashesAreCountedOverLostWrites(t *testing.T) {
	t.Parallel()
	for _, seed := range crashSeeds(40) {
		c := newCrashFleet(t, 12, seed)
		c.isAnswerLost = func() bool { return c.rng.IntN(3) == 0 }
		c.runFor(2 * time.Second)
		task := c.submitCrashing("plain")
		for range 8 {
			c.runFor(time.Duration(1000+c.rng.IntN(3000)) * time.Millisecond)
			c.storeDown = c.rng.IntN(3) == 0
			c.runFor(time.Duration(500+c.rng.IntN(2000)) * time.Millisecond)
			c.takeOver()
			c.storeDown = false
		}
		c.runFor(40 * time.Second)
		c.requireStartsBounded()
		c.requireState(task.Job, batch.Failed)
	}
}

// A task that is started beside one that ends its VMs is lost with each of them, and is
// not to blame: placing puts what waits together to the same VM again and again.
func TestTasksBesideACrashAreKept(t *testing.T) {
	t.Parallel()
	for _, seed := range crashSeeds(40) {
		c := newCrashFleet(t, 3, seed)
		c.runFor(2 * time.Second)
		for _, kind := range crashingKinds {
			c.submitCrashing(kind)
		}
		c.submitHarmless(12, 50*time.Millisecond)
		for i := range 4 {
			id := fmt.Sprintf("lasting%d", i)
			c.runDurations[id] = 0
			c.submitJob(&batch.Job{ID: id, Payload: "p", Steps: []batch.Step{{Tasks: 2, Need: batch.Resources{MilliCPU: 500, MemoryMB: 10}, Lasting: true, MaxUnavailable: 1}}})
		}
		c.runFor(90 * time.Second)
		c.requireStartsBounded()
		c.requireHarmlessCompleted()
		for i := range 4 {
			c.requireState(fmt.Sprintf("lasting%d", i), batch.Running)
		}
	}
}

// Racks and the power of all fail again and again, often while a task that was lost
// before has just been started: nothing of that is the task's doing.
func TestTasksOnLostVMsAreKept(t *testing.T) {
	t.Parallel()
	for name, strike := range map[string]func(*crashFleet){
		"rack":  func(c *crashFleet) { c.killRack(fmt.Sprintf("r%d", c.rng.IntN(3))) },
		"power": func(c *crashFleet) { c.killAll() },
		"some": func(c *crashFleet) {
			for _, id := range c.livingIDs() {
				if c.rng.IntN(4) == 0 {
					c.killVM(id)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range crashSeeds(24) {
				c := newCrashFleet(t, 12, seed)
				c.noResets = seed%2 == 1
				c.runFor(2 * time.Second)
				c.runDurations["lasting"] = 0
				c.submitJob(&batch.Job{ID: "lasting", Payload: "p", Steps: []batch.Step{{Tasks: 6, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 10}, Lasting: true, MaxUnavailable: 1}}})
				c.submitJob(&batch.Job{ID: "gang", Payload: "p", Steps: []batch.Step{{Tasks: 6, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 10}, Gang: true, Estimate: 8 * time.Second}}})
				c.runDurations["gang"] = 8 * time.Second
				c.submitJob(&batch.Job{ID: "copies", Payload: "p", Steps: []batch.Step{{Tasks: 6, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 10}, Speculative: true, Estimate: 4 * time.Second}}})
				c.runDurations["copies"] = 4 * time.Second
				for range 10 {
					c.submitHarmless(3, 20*time.Millisecond)
					c.runFor(time.Duration(c.rng.IntN(3500)) * time.Millisecond)
					strike(c)
				}
				c.runFor(60 * time.Second)
				c.requireHarmlessCompleted()
				c.requireState("gang", batch.Completed)
				c.requireState("copies", batch.Completed)
				c.requireState("lasting", batch.Running)
			}
		})
	}
}

// A suspect of a queue with an adviser waited for ever: the adviser was asked for other
// tasks only, and the one VM that it had allowed was gone.
func TestAdviceIsRequestedForSuspect(t *testing.T) {
	f := newFixture(t, 3)
	c := *f.s.config
	c.Queues = []batch.Queue{{Name: testQueue, Pool: "pool", Attempts: 3, Stretch: 2, Slack: time.Second, Advice: &batch.Advice{ValidFor: time.Minute}}}
	f.s.SetConfig(&c)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	advised := func() Order {
		for _, o := range f.plan() {
			if o.Kind == OrderAdvise {
				return o
			}
		}
		return Order{}
	}
	asked := advised()
	require.NotEmpty(t, asked.Candidates)
	f.s.Advised(f.now, f.now, asked, map[string]string{"vm00": "ticket"}, time.Minute, true)
	f.plan()
	f.confirm(f.last("j.0.0.0"))
	f.s.HoldFailed(f.now, "vm00", true)
	f.s.HoldFailed(f.now, "vm00", true)
	f.s.RemoveInstance(f.now, "vm00", "machine ended it")
	f.write()
	f.list = f.list[1:]
	f.s.SetInstances(f.now, f.list)
	f.advance(time.Second)
	f.reportAll(nil)
	// The other two were refused; a new life of the first VM may be allowed.
	fresh := instance(0)
	fresh.ID = "vm00-again"
	f.list = append(f.list, fresh)
	f.s.SetInstances(f.now, f.list)
	f.report(fresh.ID, batch.Report{})
	asked = advised()
	require.Equal(t, []string{fresh.ID}, asked.Candidates)
	f.s.Advised(f.now, f.now, asked, map[string]string{fresh.ID: "ticket"}, time.Minute, true)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 2)
}

// The leases of a VM that was cut off ran out, and it came back: then it ended under a
// task, and that counts.
func TestEndOfAVMThatCameBackCounts(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	f.confirm(f.last("j.0.0.0"))
	f.s.HoldFailed(f.now, "vm00", false)
	f.advance(9 * time.Second)
	f.s.Tick(f.now)
	f.reportAll(nil)
	f.write()
	f.plan()
	second := f.last("j.0.0.0")
	require.Len(t, f.started["j.0.0.0"], 2)
	require.True(t, f.s.PrepareStart(f.now, second))
	f.confirm(second)
	f.s.HoldFailed(f.now, "vm00", true)
	f.s.RemoveInstance(f.now, "vm00", "machine ended it")
	last := f.log[len(f.log)-2]
	require.Equal(t, EventCrashNoted, last.Event)
	require.Equal(t, second.Run, last.Run)
	require.Equal(t, crashKindNames[crashShared], last.Reason)
}

// A VM that was kept for a suspect ended before it was free. The suspect was started there
// all the same, on a VM that nobody held any more: its run never ended, and the job waited
// for ever (found by the explorer, seed 180 of VMs off the list with capacities that shrink).
func TestVMKeptForASuspectMayEnd(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(1, 9000))
	f.plan()
	first := f.last("j.0.0.0")
	f.confirm(first)
	other := f.list[0].ID
	if other == first.Instance.ID {
		other = f.list[1].ID
	}
	// Something new on the other VM: it has to be kept until that has lived.
	f.submit("k", tasks(1, 500))
	f.plan()
	require.Equal(t, other, f.last("k.0.0.0").Instance.ID)
	f.confirm(f.last("k.0.0.0"))
	f.s.HoldFailed(f.now, first.Instance.ID, true)
	f.s.RemoveInstance(f.now, first.Instance.ID, "machine ended it")
	f.write()
	f.plan()
	require.NotNil(t, f.s.vms[other].reservedTask)
	f.s.RemoveInstance(f.now, other, "another instance answers")
	f.write()
	f.advance(2 * planInterval)
	f.plan()
	require.Len(t, f.started["j.0.0.0"], 1, "no VM is left")
}

// A job was given up while its step was being started, and the tasks after the one that was
// judged were started all the same: nobody stopped them.
func TestFailedJobStartsNothing(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("j", tasks(3, 100))
	first := &f.s.jobs["j"].occs[0].steps[0].tasks[0]
	for n := range int64(totalCrashLimit) {
		first.setCrash(crash{run: n + 1, kind: crashShared, vm: vmIncarnation{id: fmt.Sprintf("gone%d", n)}})
	}
	require.Empty(t, f.plan())
	require.Equal(t, batch.Failed, f.s.jobs["j"].state)
	require.Empty(t, f.started)
}

// A suspect that fills waited for ever in a fleet where every VM is pressed, where others
// start beside what serves after a while.
func TestSuspectFillerDoesNotStarve(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	serving := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 10_000, MemoryMB: 10}, Lasting: true, Image: "s", TailTarget: 20 * time.Millisecond}
	f.submit("serving", serving)
	f.plan()
	at := f.last("serving.0.0.0")
	f.confirm(at)
	filler := tasks(1, 9000)
	filler.Filler, filler.Image = true, "f"
	f.submit("j", filler)
	f.s.jobs["j"].occs[0].steps[0].tasks[0].setCrash(crash{run: 1, kind: crashShared, vm: vmIncarnation{id: "gone"}})
	for f.now < time.Minute && len(f.started["j.0.0.0"]) == 0 {
		f.advance(200 * time.Millisecond)
		rep := runningReport(at)
		rep.Running[0].Progress, rep.Running[0].Usage, rep.Running[0].HasUsage = fullPace, 15, true
		f.report("vm00", rep)
		f.plan()
	}
	require.Len(t, f.started["j.0.0.0"], 1)
}
