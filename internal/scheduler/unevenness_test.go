package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler/runtimes"
)

// unevenFleet runs the orders of a fixture's scheduler on VMs of different speeds and tasks of
// different lengths, and reports every unevenInterval.
type unevenFleet struct {
	*fixture
	// lengths holds the work of tasks that do not take a second; slowdowns that of VMs on which
	// all work takes longer.
	lengths   map[string]time.Duration
	slowdowns map[string]float64
	running   map[string][]*unevenRun
	seqs      map[string]int64
	doneAt    map[string]Time
	taken     map[int64]bool
	// reportsStarts lets VMs report as soon as a run has started.
	reportsStarts bool
}

type unevenRun struct {
	order  Order
	worked time.Duration
}

const unevenInterval = 300 * time.Millisecond

func newUnevenFleet(t *testing.T, vms int, change func(*Policy)) *unevenFleet {
	f := &unevenFleet{
		fixture: newFixture(t, vms), lengths: map[string]time.Duration{}, slowdowns: map[string]float64{}, running: map[string][]*unevenRun{},
		seqs: map[string]int64{}, doneAt: map[string]Time{}, taken: map[int64]bool{},
	}
	change(&f.s.policy)
	require.NoError(t, f.s.policy.Validate())
	f.reportAll(nil)
	return f
}

func asItStands(*Policy) {}

func byGain(p *Policy) { p.Stragglers, p.SpeedWeight = runtimes.WayGain, 1 }

func onlyIdle(p *Policy) { p.Stragglers = runtimes.WayIdle }

// runFor plans, lets the runs work and reports them until d has passed.
func (f *unevenFleet) runFor(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.carryOut()
		f.advance(unevenInterval)
		for _, inst := range f.list {
			f.reportRuns(inst.ID, unevenInterval)
		}
		f.s.Tick(f.now)
	}
}

func (f *unevenFleet) carryOut() {
	for _, o := range f.plan() {
		switch o.Kind {
		case OrderStart:
			if f.s.PrepareStart(f.now, o) {
				f.confirm(o)
				f.running[o.Instance.ID] = append(f.running[o.Instance.ID], &unevenRun{order: o})
			}
			if f.reportsStarts {
				f.reportRuns(o.Instance.ID, 0)
			}
		case OrderStop:
			f.taken[o.Run] = true
			f.s.Stopped(f.now, o)
		case OrderPace, OrderAdvise, OrderMaintain:
		}
	}
}

// reportRuns lets the runs on a VM work for a time and reports them.
func (f *unevenFleet) reportRuns(vm string, worked time.Duration) {
	var rep batch.Report
	var left []*unevenRun
	for _, r := range f.running[vm] {
		slowdown := max(f.slowdowns[vm], 1)
		r.worked += time.Duration(float64(worked) / slowdown)
		length := f.lengths[r.order.Task.String()]
		if length == 0 {
			length = time.Second
		}
		switch {
		case f.taken[r.order.Run]:
			f.seqs[vm]++
			rep.Ended = append(rep.Ended, endOfOrder(f.seqs[vm], r.order, batch.EndStopped))
		case r.worked >= length:
			f.seqs[vm]++
			rep.Ended = append(rep.Ended, endOfOrder(f.seqs[vm], r.order, batch.EndDone))
			if f.doneAt[r.order.Task.String()] == 0 {
				f.doneAt[r.order.Task.String()] = f.now
			}
		default:
			rep.Running = append(rep.Running, batch.RunStatus{Task: r.order.Task, Run: r.order.Run, Progress: int(100 * r.worked / length)})
			left = append(left, r)
		}
	}
	f.running[vm] = left
	f.report(vm, rep)
}

// reasons counts the log lines of an event by reason.
func (f *unevenFleet) reasons(event string) map[string]int {
	counts := map[string]int{}
	for _, d := range f.log {
		if d.Event == event {
			counts[d.Reason]++
		}
	}
	return counts
}

// submitUneven submits a job whose last task has the given length.
func (f *unevenFleet) submitUneven(id string, count int, length time.Duration, change func(*batch.Step)) {
	s := tasks(count, 2000)
	if change != nil {
		change(&s)
	}
	f.lengths[fmt.Sprintf("%s.0.0.%d", id, count-1)] = length
	f.submit(id, s)
}

func speculative(s *batch.Step) { s.Speculative = true }

// Guards against a long task that is stopped on one sound VM after the other, and loses its work
// each time, because it progresses at a fraction of its siblings' rate.
func TestLongTaskIsRelocatedOnce(t *testing.T) {
	f := newUnevenFleet(t, 6, asItStands)
	f.reportsStarts = true
	f.submitUneven("j", 6, 7*time.Second, nil)
	f.runFor(12 * time.Second)
	require.LessOrEqual(t, f.reasons(EventRunStopped)[ReasonSlow], 1)
	require.NotZero(t, f.doneAt["j.0.0.5"], "the long task never ended")
}

// Guards against a slow VM that is taken for a long task: the run moves off it, however it is
// decided.
func TestRunLeavesSlowVM(t *testing.T) {
	for name, way := range map[string]func(*Policy){"rate": asItStands, "gain": byGain, "idle": onlyIdle} {
		f := newUnevenFleet(t, 6, way)
		f.reportsStarts = true
		f.slowdowns["vm02"] = 5
		f.submit("j", tasks(6, 6000))
		f.runFor(5 * time.Second)
		require.Equal(t, 1, f.reasons(EventRunStopped)[ReasonSlow], name)
		for k := range 6 {
			at := f.doneAt[fmt.Sprintf("j.0.0.%d", k)]
			require.NotZero(t, at, "%s: task %d", name, k)
			require.Less(t, at, 5*time.Second, "%s: task %d", name, k)
		}
	}
}

// Guards against a long task on a sound VM that is moved although other tasks progress there.
func TestLongTaskStaysBesideSoundRuns(t *testing.T) {
	f := newUnevenFleet(t, 3, byGain)
	for i := range 3 {
		f.submit(fmt.Sprintf("w%d", i), tasks(9, 1000))
		f.runFor(1800 * time.Millisecond)
	}
	f.submitUneven("j", 6, 7*time.Second, nil)
	f.runFor(10 * time.Second)
	require.Zero(t, f.reasons(EventRunStopped)[ReasonSlow])
	require.NotZero(t, f.doneAt["j.0.0.5"])
	for _, d := range f.log {
		if d.Event == EventRunSlow {
			require.Less(t, d.Value, 0.5, d.Reason)
			require.NotContains(t, d.Reason, "sound_others=0")
		}
	}
	require.NotEmpty(t, f.reasons(EventRunSlow), "the run was never considered")
}

// learnSlowVM lets the runs of a step show that vm02 is slow by five.
func learnSlowVM(t *testing.T, f *unevenFleet) {
	t.Helper()
	f.slowdowns["vm02"] = 5
	f.submit("w", tasks(12, 1500))
	f.runFor(5400 * time.Millisecond)
	require.True(t, f.s.vms["vm02"].speed.At(f.now).IsSlow(), "%+v", f.s.vms["vm02"].speed.At(f.now))
	require.False(t, f.s.vms["vm01"].speed.At(f.now).IsSlow())
}

// Guards against a VM that has just turned slow and is taken for sound because of its earlier runs.
func TestRunLeavesVMThatTurnedSlow(t *testing.T) {
	f := newUnevenFleet(t, 6, byGain)
	for i := range 3 {
		f.submit(fmt.Sprintf("w%d", i), tasks(18, 1500))
		f.runFor(1800 * time.Millisecond)
	}
	f.slowdowns["vm02"] = 5
	f.submit("j", tasks(6, 6000))
	f.runFor(5 * time.Second)
	require.Equal(t, 1, f.reasons(EventRunStopped)[ReasonSlow])
}

// Guards against work that goes to a slow VM while others have room, and against a VM that gets
// none once it has recovered.
func TestWorkAvoidsSlowVMUntilItRecovers(t *testing.T) {
	f := newUnevenFleet(t, 4, func(p *Policy) { p.SpeedWeight = 1 })
	learnSlowVM(t, f)
	f.submit("j", tasks(3, 1500))
	f.runFor(300 * time.Millisecond)
	for k := range 3 {
		require.NotEqual(t, "vm02", f.last(fmt.Sprintf("j.0.0.%d", k)).Instance.ID)
	}
	f.slowdowns["vm02"] = 1
	f.runFor(11 * time.Second)
	require.False(t, f.s.vms["vm02"].speed.At(f.now).Known())
	f.submit("k", tasks(4, 6000))
	f.runFor(3 * time.Second)
	require.NotZero(t, f.doneAt["k.0.0.3"])
	used := map[string]bool{}
	for k := range 4 {
		used[f.last(fmt.Sprintf("k.0.0.%d", k)).Instance.ID] = true
	}
	require.True(t, used["vm02"])
}

// Guards against a VM that is avoided for the speed of its previous incarnation.
func TestRestartedVMHasNoSpeed(t *testing.T) {
	f := newUnevenFleet(t, 4, func(p *Policy) { p.SpeedWeight = 1 })
	learnSlowVM(t, f)
	f.report("vm02", batch.Report{Born: 77})
	require.NotZero(t, f.s.vms["vm02"].speed.At(f.now).Runs)
	f.report("vm02", batch.Report{Born: 78})
	require.Zero(t, f.s.vms["vm02"].speed.At(f.now).Runs)
}

// A new leader has learned nothing and judges by the rates alone.
func TestNewLeaderHasNoSpeeds(t *testing.T) {
	f := newUnevenFleet(t, 4, byGain)
	learnSlowVM(t, f)
	next := newUnevenFleet(t, 6, byGain)
	for _, v := range next.s.vmList {
		require.Zero(t, next.s.slowVMPenalty(next.now, v, &batch.Step{}))
	}
	next.slowdowns["vm02"] = 5
	next.submit("j", tasks(6, 6000))
	next.runFor(5 * time.Second)
	require.Equal(t, 1, next.reasons(EventRunStopped)[ReasonSlow])
}

// Guards against copies of a run whose step does not allow them.
func TestCopiesOnlyWhereAllowed(t *testing.T) {
	for name, change := range map[string]func(*batch.Step){"allowed": speculative, "not allowed": func(*batch.Step) {}} {
		f := newUnevenFleet(t, 6, byGain)
		f.slowdowns["vm02"] = 5
		step := tasks(6, 6000)
		change(&step)
		f.submit("j", step)
		f.runFor(5 * time.Second)
		copies := 0
		if step.Speculative {
			copies = 1
		}
		require.Equal(t, copies, f.reasons(EventRunCopied)[ReasonSlow], name)
		require.Equal(t, 1-copies, f.reasons(EventRunStopped)[ReasonSlow], name)
	}
}

// Guards against a copy of a task that may have crashed its VM, which would put another VM at risk.
func TestNoCopyOfSuspect(t *testing.T) {
	f := newUnevenFleet(t, 6, byGain)
	f.slowdowns["vm02"] = 5
	step := tasks(6, 6000)
	step.Speculative = true
	f.submit("j", step)
	f.s.policy.Rescue = false
	f.runFor(1800 * time.Millisecond)
	slow := f.s.task(batch.TaskID{Job: "j", Index: 2})
	slow.crashes = []crash{{kind: crashIsolated}}
	f.s.reviewSlowRun(f.now, slow.runs[0])
	require.NotEmpty(t, f.reasons(EventRunSlow), "a copy was not considered")
	require.Empty(t, f.reasons(EventRunCopied))
	slow.crashes = nil
	f.s.reviewSlowRun(f.now, slow.runs[0])
	require.Equal(t, 1, f.reasons(EventRunCopied)[ReasonSlow], "the run would be copied otherwise")
}

// Guards against copies that take processors from waiting tasks although the task is probably
// long.
func TestCopiesUnderFullAndIdleLoad(t *testing.T) {
	for _, c := range []struct {
		name   string
		way    func(*Policy)
		load   float64
		copies int
	}{
		{"gain, idle", byGain, 0.3, 1},
		{"gain, full", byGain, 1, 0},
		{"idle, idle", onlyIdle, 0.3, 1},
		{"idle, full", onlyIdle, 1, 0},
	} {
		f := newUnevenFleet(t, 6, c.way)
		f.slowdowns["vm02"] = 5
		s := tasks(6, 6000)
		s.Speculative = true
		f.submit("j", s)
		for range 20 {
			f.s.unevenness.load, f.s.unevenness.loadAt = c.load, f.now+unevenInterval
			f.runFor(unevenInterval)
		}
		require.Equal(t, c.copies, f.reasons(EventRunCopied)[ReasonSlow], c.name)
	}
}

// The end of a copied task tells which run was first and what the other one cost.
func TestOutcomeOfCopyIsLogged(t *testing.T) {
	f := newUnevenFleet(t, 6, byGain)
	f.slowdowns["vm02"] = 5
	s := tasks(6, 6000)
	s.Speculative = true
	f.submit("j", s)
	f.runFor(5 * time.Second)
	var ended []Decision
	for _, d := range f.log {
		if d.Event == EventCopyEnded {
			ended = append(ended, d)
		}
	}
	require.Len(t, ended, 1)
	require.Equal(t, CopyWon, ended[0].Outcome)
	require.Equal(t, ReasonSlow, ended[0].Reason)
	require.Greater(t, ended[0].Value, 6.0, "processor seconds of the first run")
}

// Guards against false evidence: a run that was slowed by its pace, or that resumed from a
// checkpoint, says nothing about its VM.
func TestPacedAndResumedRunsSayNothingOfSpeed(t *testing.T) {
	f := newUnevenFleet(t, 2, byGain)
	f.submit("j", tasks(6, 1000))
	f.plan()
	for k := range 6 {
		f.confirm(f.last(fmt.Sprintf("j.0.0.%d", k)))
	}
	runOf := func(k int) *run { return f.s.task(batch.TaskID{Job: "j", Index: k}).runs[0] }
	f.advance(time.Second)
	st := runOf(0).task.step
	st.doneRuns, st.doneRateSum = 3, 300
	for k, change := range []func(*run){
		func(r *run) { r.paceOrderedAt = f.now },
		func(r *run) { r.resumed = true },
		func(r *run) { r.orderedPace = unknownPace },
		func(r *run) { r.confirmedAt = 0 },
	} {
		r := runOf(k)
		change(r)
		f.s.learnSpeed(f.now+9*time.Second, r)
		require.Zero(t, r.vm.speed.At(f.now+9*time.Second).Runs, "case %d", k)
	}
	f.s.learnSpeed(f.now+9*time.Second, runOf(4))
	require.Equal(t, 1, runOf(4).vm.speed.At(f.now+9*time.Second).Slow)
}

// A policy that does not call for learned speeds learns none.
func TestNothingIsLearnedWhereItIsNotCalledFor(t *testing.T) {
	f := newUnevenFleet(t, 4, asItStands)
	f.slowdowns["vm02"] = 5
	f.submit("w", tasks(12, 1500))
	f.runFor(6 * time.Second)
	require.Empty(t, f.s.unevenness.spreads)
	require.Empty(t, f.reasons(EventVMSpeeds))
	require.Empty(t, f.reasons(EventRunSlow))
}
