package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler/locality"
)

// These tests guard against tasks that run away from the rack of their data although a wait pays,
// and against waits for a rack that go on for too long.

const testFarFactor = 3

// rackFixture runs the started tasks: each for its declared duration, or testFarFactor times as
// long in another rack than that of its data. Each rack has two VMs with ten processors.
type rackFixture struct {
	*fixture
	running map[string][]*rackRun
	seqs    map[string]int64
	// steps are the submitted steps by job; ended is when each task ended.
	steps map[string][]batch.Step
	ended map[string]Time
	// silent VMs leave holds without an answer.
	silent map[string]bool
}

type rackRun struct {
	order    Order
	begun    Time
	duration time.Duration
}

func newRackFixture(t *testing.T, vms int, policy func(*Policy)) *rackFixture {
	f := &rackFixture{
		fixture: newFixture(t, vms), running: map[string][]*rackRun{}, seqs: map[string]int64{}, steps: map[string][]batch.Step{}, ended: map[string]Time{}, silent: map[string]bool{},
	}
	f.s.settings.FarFactor = testFarFactor
	if policy != nil {
		policy(&f.s.policy)
	}
	f.reportAll(nil)
	return f
}

func (f *rackFixture) submit(id string, steps ...batch.Step) {
	f.steps[id] = steps
	f.fixture.submit(id, steps...)
}

// run passes some time in steps of 50 ms.
func (f *rackFixture) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.advance(50 * time.Millisecond) {
		for _, inst := range f.list {
			if !f.silent[inst.ID] {
				f.report(inst.ID, f.reportOf(inst.ID))
			}
		}
		f.s.Tick(f.now)
		f.s.Flushed(f.flush())
		for _, o := range f.plan() {
			f.execute(o)
		}
	}
}

func (f *rackFixture) flush() *Flush {
	writes := f.s.PendingWrites()
	if writes == nil {
		return &Flush{}
	}
	for _, r := range writes.Records {
		f.s.RecordWritten(r, 1)
	}
	return writes
}

func (f *rackFixture) execute(o Order) {
	switch o.Kind {
	case OrderStart:
		f.confirm(o)
		spec := f.steps[o.Task.Job][o.Task.Step]
		r := &rackRun{order: o, begun: f.now, duration: spec.Estimate}
		if spec.DataRack != "" && o.Instance.Rack() != spec.DataRack {
			r.duration *= testFarFactor
		}
		f.running[o.Instance.ID] = append(f.running[o.Instance.ID], r)
	case OrderStop:
		f.s.Stopped(f.now, o)
	}
}

func (f *rackFixture) reportOf(vm string) batch.Report {
	var rep batch.Report
	var left []*rackRun
	for _, r := range f.running[vm] {
		age := f.now - r.begun
		if age >= r.duration {
			f.seqs[vm]++
			rep.Ended = append(rep.Ended, endOfOrder(f.seqs[vm], r.order, batch.EndDone))
			f.ended[r.order.Task.String()] = f.now
			continue
		}
		left = append(left, r)
		rep.Running = append(rep.Running, batch.RunStatus{Task: r.order.Task, Run: r.order.Run, Progress: int(100 * age / r.duration)})
	}
	f.running[vm] = left
	return rep
}

// startsByPlace counts the first starts of a job's tasks by whether they were in a rack.
func (f *rackFixture) startsByPlace(job, rack string) (near, away int) {
	for task, orders := range f.started {
		switch {
		case !strings.HasPrefix(task, job+"."):
		case orders[0].Instance.Rack() == rack:
			near++
		default:
			away++
		}
	}
	return near, away
}

// rackOf returns the rack of the task's last start.
func (f *rackFixture) rackOf(task string) string {
	inst := f.last(task).Instance
	return inst.Rack()
}

func (f *rackFixture) events(event string) []Decision {
	var found []Decision
	for _, d := range f.log {
		if d.Event == event {
			found = append(found, d)
		}
	}
	return found
}

// nearData returns a step of tasks that take a whole VM each, with their data in a rack.
func nearData(count int, rack string, estimate time.Duration) batch.Step {
	st := tasks(count, 10_000)
	st.DataRack, st.Estimate = rack, estimate
	return st
}

// fillRack occupies the rack r0 for some time.
func (f *rackFixture) fillRack(d time.Duration) {
	f.submit("full", nearData(2, "r0", d))
	f.run(50 * time.Millisecond)
	near, _ := f.startsByPlace("full", "r0")
	require.Equal(f.t, 2, near)
}

// Guards against tasks that run away three times as long from a rack with a place half a second
// later.
func TestTaskWaitsForPlaceNearItsData(t *testing.T) {
	f := newRackFixture(t, 6, nil)
	f.fillRack(600 * time.Millisecond)
	f.submit("j", nearData(2, "r0", time.Second))
	f.run(500 * time.Millisecond)
	require.NotContains(t, f.started, "j.0.0.0")
	dump := f.s.Dump(f.now).RackWaits
	require.Len(t, dump, 1)
	require.Equal(t, RackWaitDump{Rack: "r0", Steps: 1, Tasks: 2, LongestMS: dump[0].LongestMS}, dump[0])
	x, _ := f.s.Explain(f.now, "j")
	require.Equal(t, "r0", x.Waiting[0].Rack)
	f.run(time.Second)
	near, away := f.startsByPlace("j", "r0")
	require.Equal(t, [2]int{2, 0}, [2]int{near, away})
	require.Len(t, f.events(EventPlaceWaitBegun), 1)
	ends := f.events(EventPlaceWaitEnded)
	require.Len(t, ends, 1)
	require.Equal(t, PlaceNear, ends[0].Place)
	require.Positive(t, ends[0].Age)
	require.Empty(t, f.events(EventRunAway))
	require.Empty(t, f.s.Dump(f.now).RackWaits)
}

// Guards against waits where the settings do not say that racks make a difference, or the policy
// turns them off.
func TestWaitsAreSwitchedOnBySettingsAndPolicy(t *testing.T) {
	for name, change := range map[string]func(*rackFixture){
		"no factor":   func(f *rackFixture) { f.s.settings.FarFactor = 0 },
		"factor of 1": func(f *rackFixture) { f.s.settings.FarFactor = 1 },
		"at once":     func(f *rackFixture) { f.s.policy.Locality = locality.AtOnce },
	} {
		t.Run(name, func(t *testing.T) {
			f := newRackFixture(t, 6, nil)
			change(f)
			f.fillRack(600 * time.Millisecond)
			f.submit("j", nearData(2, "r0", time.Second))
			f.run(50 * time.Millisecond)
			near, away := f.startsByPlace("j", "r0")
			require.Equal(t, [2]int{0, 2}, [2]int{near, away})
			require.Empty(t, f.events(EventPlaceWaitBegun))
			require.Len(t, f.events(EventRunAway), 2)
		})
	}
}

// Guards against constant waits that end early or late.
func TestConstantWait(t *testing.T) {
	f := newRackFixture(t, 6, func(p *Policy) { p.Locality, p.LocalityWaitMS = locality.Constant, 800 })
	f.fillRack(10 * time.Second)
	f.submit("j", nearData(1, "r0", 2*time.Second))
	f.run(750 * time.Millisecond)
	require.NotContains(t, f.started, "j.0.0.0")
	f.run(150 * time.Millisecond)
	_, away := f.startsByPlace("j", "r0")
	require.Equal(t, 1, away)
}

// Guards against a job that stands still for seconds while there is capacity: it waits for at most
// 1.5 s with nothing running, then one of its tasks starts away and the others may wait on.
func TestIdleJobStartsOneTaskAway(t *testing.T) {
	f := newRackFixture(t, 6, nil)
	f.fillRack(2500 * time.Millisecond)
	f.submit("j", nearData(2, "r0", 2*time.Second))
	f.run(1450 * time.Millisecond)
	require.NotContains(t, f.started, "j.0.0.0")
	f.run(200 * time.Millisecond)
	near, away := f.startsByPlace("j", "r0")
	require.Equal(t, [2]int{0, 1}, [2]int{near, away})
	f.run(time.Second)
	near, away = f.startsByPlace("j", "r0")
	require.Equal(t, [2]int{1, 1}, [2]int{near, away})
	require.Contains(t, f.events(EventRunAway)[0].Reason, string(locality.ReasonIdle))
}

// Guards against a job that stands still for longer in sum because each of its steps waits anew.
func TestIdleWaitsOfAllStepsAreBoundedInSum(t *testing.T) {
	f := newRackFixture(t, 6, nil)
	f.fillRack(time.Second)
	second := nearData(1, "r0", 2*time.Second)
	second.After = []int{0}
	f.submit("j", nearData(1, "r0", 500*time.Millisecond), second)
	f.run(1200 * time.Millisecond)
	require.Contains(t, f.started, "j.0.0.0")
	// Another job takes the rack before the second step is ready.
	f.submit("other", nearData(1, "r0", 1500*time.Millisecond))
	f.run(200 * time.Millisecond)
	f.submit("more", nearData(1, "r0", 1500*time.Millisecond))
	f.run(2 * time.Second)
	require.Contains(t, f.started, "j.0.1.0")
	idle := f.s.jobs["j"].idleWait
	require.Positive(t, idle)
	require.LessOrEqual(t, idle, locality.MaxIdleWait+100*time.Millisecond)
}

// Guards against waits by which a job misses an objective that a run away would meet.
func TestNoWaitPastTheObjective(t *testing.T) {
	f := newRackFixture(t, 6, nil)
	// Another task finds no place at all, so that processors count as short.
	f.submit("huge", tasks(1, 50_000))
	f.fillRack(1400 * time.Millisecond)
	// The objective is twice the duration and 1 s: 1.4 s may be lost. A run away loses 0.8 s and
	// costs twice that, the wait 1.35 s.
	step := nearData(1, "r0", 400*time.Millisecond)
	f.submit("j", step)
	f.run(50 * time.Millisecond)
	require.NotContains(t, f.started, "j.0.0.0")
	f = newRackFixture(t, 6, nil)
	f.submit("huge", tasks(1, 50_000))
	f.fillRack(1600 * time.Millisecond)
	f.submit("j", step)
	f.run(50 * time.Millisecond)
	require.Contains(t, f.started, "j.0.0.0")
	require.Contains(t, f.events(EventRunAway)[0].Reason, string(locality.ReasonObjective))
}

// Guards against waits for a rack whose VMs have left, drain, are evacuated, suspected or unheard.
func TestWaitEndsWithItsRack(t *testing.T) {
	for name, lose := range map[string]func(f *rackFixture, i int){
		"left":     func(f *rackFixture, i int) { f.list[i].ID = fmt.Sprintf("other%d", i); f.list[i].Labels[1] = "r9" },
		"drains":   func(f *rackFixture, i int) { f.list[i].Draining = true },
		"suspect":  func(f *rackFixture, i int) { f.s.vms[f.list[i].ID].health.recordStall(f.now) },
		"evacuate": func(f *rackFixture, _ int) { f.evacuate(5, "lost") },
		"unheard":  func(f *rackFixture, i int) { f.silent[f.list[i].ID] = true },
	} {
		t.Run(name, func(t *testing.T) {
			f := newRackFixture(t, 6, nil)
			for i := range 2 {
				f.list[i].Zone = "lost"
			}
			f.s.SetInstances(f.now, f.list)
			f.fillRack(1200 * time.Millisecond)
			f.submit("j", nearData(1, "r0", 2*time.Second))
			f.run(50 * time.Millisecond)
			require.NotContains(t, f.started, "j.0.0.0")
			lose(f, 0)
			lose(f, 1)
			f.s.SetInstances(f.now, f.list)
			d := 50 * time.Millisecond
			if name == "unheard" {
				d = unresponsiveMargin + 100*time.Millisecond
			}
			f.run(d)
			_, away := f.startsByPlace("j", "r0")
			require.Equal(t, 1, away)
			require.Contains(t, f.events(EventPlaceWaitEnded)[0].Reason, string(locality.ReasonUnusable))
		})
	}
}

// Guards against waits that a change of the leader starts anew: with nothing running, a job of the
// predecessor waits only for what is left since its submission.
func TestNewLeaderDoesNotStartWaitsAnew(t *testing.T) {
	for age, waits := range map[time.Duration]time.Duration{time.Second: 500 * time.Millisecond, 2 * time.Second: 0} {
		f := newRackFixture(t, 6, nil)
		f.fillRack(10 * time.Second)
		step := nearData(1, "r0", 10*time.Second)
		f.steps["j"] = []batch.Step{step}
		f.s.Submit(f.now, Submission{Job: &batch.Job{ID: "j", Steps: f.steps["j"]}, Queue: testQueue, Pool: "pool", Age: age, PredatesLeader: true})
		if waits > 0 {
			f.run(waits - 50*time.Millisecond)
			require.NotContains(t, f.started, "j.0.0.0", age)
		}
		f.run(150 * time.Millisecond)
		_, away := f.startsByPlace("j", "r0")
		require.Equal(t, 1, away, age)
	}
}

// Guards against groups that are spread although they fit into a rack, or into one soon.
func TestGroupsWaitForOneRack(t *testing.T) {
	for name, change := range map[string]func(*batch.Step){
		"gang at its data":  func(st *batch.Step) { st.Gang, st.DataRack = true, "r0" },
		"gang in one rack":  func(st *batch.Step) { st.Gang, st.SameRack = true, true },
		"tasks in one rack": func(st *batch.Step) { st.SameRack = true },
	} {
		t.Run(name, func(t *testing.T) {
			f := newRackFixture(t, 4, nil)
			// One VM of each rack is in use, for longer in the second one.
			for i, d := range []time.Duration{600 * time.Millisecond, 5 * time.Second} {
				st := nearData(1, fmt.Sprintf("r%d", i), d)
				f.submit(fmt.Sprintf("full%d", i), st)
			}
			f.run(50 * time.Millisecond)
			st := tasks(2, 10_000)
			change(&st)
			f.submit("j", st)
			f.run(400 * time.Millisecond)
			require.NotContains(t, f.started, "j.0.0.1")
			if st.Gang {
				require.NotContains(t, f.started, "j.0.0.0")
			}
			f.run(400 * time.Millisecond)
			near, away := f.startsByPlace("j", "r0")
			require.Equal(t, [2]int{2, 0}, [2]int{near, away})
		})
	}
}

// Guards against gangs that wait for a rack that never has room for them, and against other groups
// that are spread although the rest has a place in their rack soon.
func TestGroupLargerThanAnyRack(t *testing.T) {
	st := tasks(3, 10_000)
	st.SameRack, st.Gang = true, true
	f := newRackFixture(t, 4, nil)
	f.submit("j", st)
	f.run(50 * time.Millisecond)
	require.Contains(t, f.started, "j.0.0.2")
	require.Len(t, f.events(EventRunAway), 3)
	st.Gang = false
	f = newRackFixture(t, 4, nil)
	f.submit("j", st)
	f.run(1200 * time.Millisecond)
	near, away := f.startsByPlace("j", f.rackOf("j.0.0.0"))
	require.Equal(t, [2]int{3, 0}, [2]int{near, away})
}

// Guards against restarts that ignore the rack: the run of a leaving VM starts again in its rack.
func TestRestartWaitsForItsRack(t *testing.T) {
	f := newRackFixture(t, 6, nil)
	f.fillRack(700 * time.Millisecond)
	f.submit("j", nearData(1, "r0", 2*time.Second))
	f.run(800 * time.Millisecond)
	first := f.last("j.0.0.0")
	require.Equal(t, "r0", first.Instance.Rack())
	// The other VM of the rack is in use for half a second more.
	f.submit("next", nearData(1, "r0", 500*time.Millisecond))
	f.run(100 * time.Millisecond)
	vm := first.Instance.ID
	f.seqs[vm]++
	f.running[vm] = nil
	for i := range f.list {
		f.list[i].Draining = f.list[i].Draining || f.list[i].ID == vm
	}
	f.s.SetInstances(f.now, f.list)
	f.report(vm, batch.Report{Ended: []batch.RunEnd{endOfOrder(f.seqs[vm], first, batch.EndStopped)}})
	f.run(200 * time.Millisecond)
	require.Len(t, f.started["j.0.0.0"], 1)
	f.run(500 * time.Millisecond)
	require.Len(t, f.started["j.0.0.0"], 2)
	require.Equal(t, "r0", f.rackOf("j.0.0.0"))
}

// Guards against copies and relocations to another rack that end later than the run does.
func TestRunMovesAwayOnlyIfThatPays(t *testing.T) {
	f := newRackFixture(t, 6, nil)
	st := nearData(2, "r0", time.Second)
	st.Speculative = true
	f.submit("j", st)
	f.run(500 * time.Millisecond)
	task := &f.s.jobs["j"].occs[0].steps[0].tasks[0]
	require.Nil(t, f.s.chooseVM(f.now, task), "half of a run is left, a run away takes three")
	task.runs[0].progress, task.runs[0].progressAt = 10, f.now
	task.runs[0].firstProgressAt, task.runs[0].firstProgress = f.now-900*time.Millisecond, 0
	require.NotNil(t, f.s.chooseVM(f.now, task), "eight seconds are left")
	task.runs[0].progress, task.runs[0].progressAt = 50, f.now
	require.Nil(t, f.s.chooseVM(f.now, task))
	f.silent[task.runs[0].vm.inst.ID] = true
	f.run(unresponsiveMargin + 100*time.Millisecond)
	require.NotNil(t, f.s.chooseVM(f.now, task), "the lease of an unheard VM ends later")
}

// Guards against a full rack that keeps tasks with other racks or none from starting, and tasks
// that find no place anywhere from keeping others out of their rack.
func TestFullRackBlocksNoOthers(t *testing.T) {
	f := newRackFixture(t, 6, nil)
	f.fillRack(600 * time.Millisecond)
	for i := range maxFailedNeeds + 20 {
		st := nearData(1, "r0", time.Second)
		st.Need.MilliCPU = int64(100 + i)
		f.submit(fmt.Sprintf("wait%03d", i), st)
	}
	f.submit("other-rack", nearData(1, "r1", time.Second))
	f.submit("any", tasks(1, 10_000))
	f.submit("small", func() batch.Step { st := nearData(1, "r2", time.Second); st.Need.MilliCPU = 500; return st }())
	f.run(50 * time.Millisecond)
	for _, id := range []string{"other-rack", "any", "small"} {
		require.Contains(t, f.started, id+".0.0.0")
	}
	require.Len(t, f.events(EventPlaceWaitBegun), maxFailedNeeds+20)
	require.Empty(t, f.events(EventRunAway))
}

// Guards against a policy that keeps racks free where it is not asked to, or does not where it is.
func TestRackInDemandIsKeptFree(t *testing.T) {
	for _, keep := range []bool{false, true} {
		f := newRackFixture(t, 4, func(p *Policy) { p.KeepRacksFree = keep })
		// The first VM is full for long, the second has a little room that the waiting task needs.
		f.submit("full", func() batch.Step { st := nearData(2, "r0", time.Second); st.Need.MilliCPU = 6000; return st }())
		f.submit("rest", func() batch.Step { st := nearData(2, "r1", time.Second); st.Need.MilliCPU = 7000; return st }())
		f.run(50 * time.Millisecond)
		f.submit("j", func() batch.Step { st := nearData(1, "r0", time.Second); st.Need.MilliCPU = 8000; return st }())
		f.run(50 * time.Millisecond)
		require.NotContains(t, f.started, "j.0.0.0")
		f.submit("any", tasks(1, 1000))
		f.run(50 * time.Millisecond)
		want := "r0"
		if keep {
			want = "r1"
		}
		require.Equal(t, want, f.rackOf("any.0.0.0"))
	}
}

// Guards against a cancelled job whose wait is counted as going on.
func TestWaitEndsWithItsJob(t *testing.T) {
	f := newRackFixture(t, 6, nil)
	f.fillRack(time.Second)
	f.submit("j", nearData(1, "r0", time.Second))
	f.run(50 * time.Millisecond)
	f.s.Cancel(f.now, "j")
	ends := f.events(EventPlaceWaitEnded)
	require.Len(t, ends, 1)
	require.Equal(t, PlaceNone, ends[0].Place)
	require.Empty(t, f.s.Dump(f.now).RackWaits)
}

// Guards against a burst for one rack whose tasks all run away, or all queue for the rack. Thirty
// jobs of two tasks of a second come within two seconds for a rack with two places, and another
// thirty that may run anywhere: more work ends in time than with tasks that never wait.
func TestBurstForOneRack(t *testing.T) {
	inTime := func(way locality.Way) (n int) {
		f := newRackFixture(t, 24, func(p *Policy) { p.Locality = way })
		submitted := map[string]Time{}
		for i := range 30 {
			near, any := fmt.Sprintf("near%02d", i), fmt.Sprintf("any%02d", i)
			submitted[near], submitted[any] = f.now, f.now
			f.submit(near, nearData(2, fmt.Sprintf("r%d", (i%3)*(i%2)), time.Second))
			f.submit(any, tasks(2, 10_000))
			f.run(100 * time.Millisecond)
		}
		f.run(20 * time.Second)
		for id, at := range submitted {
			end := max(f.ended[id+".0.0.0"], f.ended[id+".0.0.1"])
			require.Positive(t, end, id)
			if end-at <= 3*time.Second {
				n++
			}
		}
		for _, d := range f.events(EventPlaceWaitEnded) {
			require.LessOrEqual(t, d.Age, lateObjectiveFactor*3*time.Second)
		}
		return n
	}
	atOnce := inTime(locality.AtOnce)
	byCost := inTime(locality.ExpectedCost)
	t.Logf("in time: %d of 60 at once, %d by expected cost", atOnce, byCost)
	require.Greater(t, byCost, atOnce)
}

// Guards against waits that change what is done with tasks that prefer no rack.
func TestLoadWithoutRacksIsPlacedAsWithoutTheFeature(t *testing.T) {
	play := func(factor float64) []string {
		f := newRackFixture(t, 12, nil)
		f.s.settings.FarFactor = factor
		for i := range 40 {
			st := tasks(1+i%7, int64(1000+700*(i%9)))
			st.Estimate = time.Duration(200+100*(i%5)) * time.Millisecond
			st.Gang = i%6 == 0 && st.Tasks > 1
			st.Filler, st.Image = i%4 == 1, "image"
			if i%5 == 0 {
				st.MaxPerVM = 1
			}
			f.submit(fmt.Sprintf("j%02d", i), st)
			f.run(50 * time.Millisecond)
		}
		f.run(5 * time.Second)
		var log []string
		for _, d := range f.log {
			log = append(log, fmt.Sprint(d))
		}
		return log
	}
	require.Equal(t, play(0), play(testFarFactor))
}
