package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// restartChecker checks the starts and acknowledged ends on VMs that restart under their IDs.
type restartChecker struct {
	// failFirst is how many runs of each task of a job fail.
	failFirst map[string]int
	ran       map[batch.TaskID]int
	// done are the tasks whose successful end was acknowledged; failed counts acknowledged
	// failures.
	done       map[batch.TaskID]bool
	failed     map[batch.TaskID]int
	violations []string
}

func newRestartChecker() *restartChecker {
	return &restartChecker{failFirst: map[string]int{}, ran: map[batch.TaskID]int{}, done: map[batch.TaskID]bool{}, failed: map[batch.TaskID]int{}}
}

// endOf returns how the next run of a task ends.
func (rc *restartChecker) endOf(task batch.TaskID) batch.EndKind {
	if rc == nil {
		return batch.EndDone
	}
	if rc.ran[task]++; rc.ran[task] <= rc.failFirst[task.Job] {
		return batch.EndFailed
	}
	return batch.EndDone
}

func (rc *restartChecker) acknowledged(e batch.RunEnd) {
	if rc == nil {
		return
	}
	switch e.Kind {
	case batch.EndDone:
		rc.done[e.Task] = true
	case batch.EndFailed:
		rc.failed[e.Task]++
	case batch.EndStopped, batch.EndLapsed, batch.EndBroken, batch.EndAlone:
	}
}

// started checks a start of a task on a VM.
func (rc *restartChecker) started(c *crashFleet, task batch.TaskID) {
	if rc == nil {
		return
	}
	spec := &c.jobOf(task).Steps[task.Step]
	if spec.Speculative {
		return
	}
	for _, id := range c.livingIDs() {
		if _, running := c.living[id].runs[task]; running {
			rc.violations = append(rc.violations, fmt.Sprintf("%v: %s started while it runs on %s", c.now, task, id))
		}
	}
	if spec.Lasting {
		return
	}
	if rc.done[task] {
		rc.violations = append(rc.violations, fmt.Sprintf("%v: %s started after its end was acknowledged", c.now, task))
	}
	if rc.failed[task] >= testAttempts {
		rc.violations = append(rc.violations, fmt.Sprintf("%v: %s started after %d failed ends were acknowledged", c.now, task, rc.failed[task]))
	}
}

func (c *crashFleet) jobOf(task batch.TaskID) *batch.Job {
	return c.jobs[slices.IndexFunc(c.jobs, func(job *batch.Job) bool { return job.ID == task.Job })]
}

// newRestartFleet returns a fleet whose VMs restart under their IDs.
func newRestartFleet(t *testing.T, vms int, seed uint64) *crashFleet {
	c := newCrashFleet(t, 0, seed)
	c.pollsMachines, c.restarts, c.checker = false, true, newRestartChecker()
	for i := range vms {
		c.addVM(i)
	}
	for _, id := range c.livingIDs() {
		v := c.living[id]
		v.bornAt, v.inst.Born = c.now, c.nextBirth()
		c.relist(v)
	}
	return c
}

// nextBirth returns the time of day at a VM's start, by a clock that jumps.
func (c *crashFleet) nextBirth() int64 {
	c.incarnations++
	return (1_000_000+c.now.Milliseconds()+int64(c.rng.IntN(5000)))<<10 + int64(c.incarnations)
}

// relist updates a VM's entry on the list.
func (c *crashFleet) relist(v *fleetVM) {
	for i := range c.list {
		if c.list[i].ID == v.inst.ID {
			c.list[i] = v.inst
		}
	}
	c.s.SetInstances(c.now, c.list)
}

// holdTimeout is how long a hold waits for a VM that has ended without closing its connections.
const holdTimeout = 1300 * time.Millisecond

// restart begins a new incarnation under the ID of a VM that has just ended.
func (c *crashFleet) restart(old *fleetVM) {
	down := 500*time.Millisecond + time.Duration(c.rng.IntN(1000))*time.Millisecond
	first := time.Duration(0)
	if c.noResets {
		first = holdTimeout
	}
	id := old.inst.ID
	fail := func() {
		if _, ok := c.s.Hold(c.now, id, holdInterval); ok {
			c.s.HoldFailed(c.now, id, !c.noResets)
		}
	}
	for at := first; at <= max(first, down); at += 100 * time.Millisecond {
		c.after(at, fail)
	}
	c.after(down, func() {
		v := &fleetVM{inst: old.inst, runs: map[batch.TaskID]fleetRun{}, bornAt: c.now, nextReport: c.now + max(0, first-down) + 100*time.Millisecond}
		v.inst.Born = c.nextBirth()
		c.living[id] = v
		c.after(time.Duration(c.rng.IntN(800))*time.Millisecond, func() {
			if c.living[id] == v {
				c.relist(v)
			}
		})
	})
}

// restartJobs has the steps of a job of each kind, long enough to be running at a restart.
var restartJobs = map[string][]batch.Step{
	"plain":       {tasks(3, 1000)},
	"second step": {tasks(2, 1000), {Tasks: 2, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Second, After: []int{0}}},
	"lasting":     {{Tasks: 3, Need: batch.Resources{MilliCPU: 500, MemoryMB: 10}, Lasting: true, MaxUnavailable: 1}},
	"gang":        {{Tasks: 3, Need: batch.Resources{MilliCPU: 2000, MemoryMB: 10}, Estimate: time.Second, Gang: true}},
	"speculative": {{Tasks: 3, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Second, Speculative: true}},
	"filler":      {{Tasks: 3, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Second, Filler: true}},
}

// playRestarts runs jobs of one kind while a third of the VMs restarts every few seconds.
// takeOvers adds changes of leader meanwhile.
func playRestarts(t *testing.T, kind string, seed uint64, takeOvers bool) *crashFleet {
	c := newRestartFleet(t, 12, seed)
	c.noResets = seed%2 == 1
	if seed%3 == 2 {
		c.isAnswerLost = func() bool { return c.rng.IntN(4) == 0 }
	}
	c.runFor(2 * time.Second)
	for i := range 12 {
		for k := range 6 {
			id := fmt.Sprintf("%s-%d-%d", kind, i, k)
			c.runDurations[id] = time.Duration(200+c.rng.IntN(1500)) * time.Millisecond
			if kind == "lasting" {
				c.runDurations[id] = 0
				if k > 0 {
					continue
				}
			} else if kind != "speculative" && c.rng.IntN(3) == 0 {
				c.checker.failFirst[id] = 1 + c.rng.IntN(4)
			}
			c.submitJob(&batch.Job{ID: id, Payload: "p", Steps: restartJobs[kind]})
			c.runFor(300 * time.Millisecond)
		}
		for _, id := range c.livingIDs() {
			if c.rng.IntN(3) == 0 {
				c.killVM(id)
			}
		}
		c.runFor(2500 * time.Millisecond)
		if takeOvers && c.rng.IntN(2) == 0 {
			c.runFor(time.Duration(c.rng.IntN(1500)) * time.Millisecond)
			c.takeOver()
		}
	}
	c.isAnswerLost = nil
	c.runFor(40 * time.Second)
	return c
}

// requireInvariants fails if a rule was broken, or if work that could be done was not.
func (c *crashFleet) requireInvariants() {
	require.Empty(c.t, c.checker.violations[:min(len(c.checker.violations), 3)], "seed %d", c.seed)
	for _, job := range c.jobs {
		if job.Steps[0].Lasting {
			c.requireRunning(job)
			continue
		}
		want := batch.Completed
		if c.checker.failFirst[job.ID] >= testAttempts {
			want = batch.Failed
		}
		state, _ := c.s.State(job.ID)
		if want == batch.Completed && state == batch.Failed {
			// Failed runs that were lost with their VMs have been repeated.
			require.GreaterOrEqual(c.t, c.checker.failFirst[job.ID], 1, "job %s, seed %d", job.ID, c.seed)
			continue
		}
		if want == batch.Failed && state == batch.Completed {
			continue
		}
		require.Equal(c.t, want, state, "job %s, seed %d", job.ID, c.seed)
	}
}

// requireRunning fails unless each task of a lasting job runs on a VM.
func (c *crashFleet) requireRunning(job *batch.Job) {
	for k := range job.Steps[0].Tasks {
		task := batch.TaskID{Job: job.ID, Index: k}
		require.True(c.t, slices.ContainsFunc(c.livingIDs(), func(id string) bool {
			_, running := c.living[id].runs[task]
			return running
		}), "%s does not run on any VM, seed %d", task, c.seed)
	}
}

// Guards against tasks of any kind that run twice, more often than their attempts allow, or
// never, when VMs restart repeatedly under their IDs.
func TestRestartsKeepEachKindOfJob(t *testing.T) {
	t.Parallel()
	forEachKind(t, "take-overs", func(t *testing.T, kind string, takeOvers bool) {
		for seed := range 12 * *exploreScale {
			playRestarts(t, kind, seed, takeOvers).requireInvariants()
		}
	})
}

// beforeRestart returns a fixture whose one VM has reported three ends in its first incarnation,
// all of them acknowledged, and then restarts while its last hold is still under way.
func beforeRestart(t *testing.T) *fixture {
	f := newFixture(t, 1)
	f.list[0].Born = 1
	f.s.SetInstances(f.now, f.list)
	f.report("vm00", batch.Report{Born: 1})
	f.submit("first", tasks(3, 100))
	f.plan()
	var ends []batch.RunEnd
	for k := range 3 {
		o := f.last(fmt.Sprintf("first.0.0.%d", k))
		f.confirm(o)
		ends = append(ends, endOfOrder(int64(k+1), o, batch.EndDone))
	}
	f.report("vm00", batch.Report{Born: 1, Ended: ends})
	f.write()
	require.EqualValues(t, 3, f.acked("vm00"))
	f.s.HandleReport(f.now, f.now, "vm00", batch.Report{Born: 1, Clock: f.now + time.Hour})
	f.advance(500 * time.Millisecond)
	return f
}

// runOnNewIncarnation starts a task on the VM before its new incarnation has reported, and lets
// the hold to the old one fail.
func (f *fixture) runOnNewIncarnation(job string) Order {
	_, ok := f.s.Hold(f.now, "vm00", time.Second)
	require.True(f.t, ok)
	f.submit(job, tasks(1, 100))
	f.plan()
	o := f.last(job + ".0.0.0")
	require.True(f.t, f.s.PrepareStart(f.now, o))
	f.s.Started(f.now, f.now, o, 50*time.Millisecond, "", false)
	f.advance(time.Second)
	f.s.HoldFailed(f.now, "vm00", false)
	return o
}

// Guards against a task that runs again: an end that the VM's new incarnation has not reported
// yet was acknowledged by the sequence number of the previous one, and the VM forgot it.
func TestEndsOfANewStartAreNotAcknowledgedUntold(t *testing.T) {
	f := beforeRestart(t)
	f.runOnNewIncarnation("second")
	require.Zero(t, f.acked("vm00"))
}

// Guards against a task that is started more often than its attempts allow: failures reported by
// a VM's new incarnation were ignored since the previous one had reported as many ends.
func TestFailuresOfANewIncarnationAreCounted(t *testing.T) {
	f := beforeRestart(t)
	o := f.runOnNewIncarnation("second")
	f.list[0].Born = 2
	f.s.SetInstances(f.now, f.list)
	for n := int64(1); n <= testAttempts; n++ {
		f.deliverReport("vm00", batch.Report{Born: 2, Clock: time.Second + time.Duration(n), Ended: []batch.RunEnd{endOfOrder(n, o, batch.EndFailed)}})
		f.advance(time.Second)
		f.plan()
		if n < testAttempts {
			o = f.last("second.0.0.0")
			require.True(t, f.s.PrepareStart(f.now, o))
			f.s.Started(f.now, f.now, o, 50*time.Millisecond, "", false)
		}
	}
	f.write()
	state, _ := f.s.State("second")
	require.Equal(t, batch.Failed, state)
}

// Guards against losing VMs with each restart until nothing can be placed: an end that is never
// acknowledged closes its VM to new work, which must not apply to the VM's next incarnation.
func TestWithheldEndClosesOneStartOnly(t *testing.T) {
	f := beforeRestart(t)
	v := f.s.vms["vm00"]
	v.ackLimit = 4
	f.list[0].Born = 2
	f.s.SetInstances(f.now, f.list)
	f.deliverReport("vm00", batch.Report{Born: 2, Clock: time.Second})
	f.submit("second", tasks(1, 100))
	f.plan()
	require.Len(t, f.started["second.0.0.0"], 1)
}

// Guards against a task that goes on crashing VMs: their next incarnations, under the same IDs,
// were taken as proof that the VMs are alive.
func TestTaskThatCrashesVMsThatStartAgainFails(t *testing.T) {
	t.Parallel()
	forEachKind(t, "dark", func(t *testing.T, kind string, dark bool) {
		for seed := range 20 * *exploreScale {
			c := newRestartFleet(t, 12, seed)
			c.noResets = dark
			c.runCrashing(kind)
		}
	})
}
