package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

func servingStep(image string, milliCPU int64) batch.Step {
	s := tasks(1, milliCPU)
	s.Lasting, s.Image, s.TailTarget = true, image, 100*time.Millisecond
	return s
}

func fillerStep(image string, milliCPU int64) batch.Step {
	s := tasks(1, milliCPU)
	s.Filler, s.Image, s.Checkpoints = true, image, true
	return s
}

// startServingAndFiller starts a serving task and a filler on the only VM and returns their
// orders.
func startServingAndFiller(t *testing.T) (f *fixture, serves, fills Order) {
	f = newFixture(t, 1)
	f.reportAll(nil)
	f.submit("s", servingStep("web", 4000))
	f.submit("f", fillerStep("crunch", 3000))
	f.plan()
	serves, fills = f.last("s.0.0.0"), f.last("f.0.0.0")
	f.confirm(serves)
	f.confirm(fills)
	return f, serves, fills
}

func usageReport(serves, fills Order, tailMS, cpu float64) batch.Report {
	return batch.Report{Running: []batch.RunStatus{
		{Task: serves.Task, Run: serves.Run, Progress: 100, Usage: tailMS, HasUsage: true},
		{Task: fills.Task, Run: fills.Run, Progress: 10, Usage: cpu, HasUsage: true},
	}}
}

// Guards against a serving task that is over its target for four seconds because of a filler that
// the model considers harmless: fillers must be stopped without waiting for evidence against one
// of them.
func TestUnexplainedTailStopsAllFillers(t *testing.T) {
	f, serves, fills := startServingAndFiller(t)
	p := f.s.images.slopesOf("web")
	for i := range p.slope {
		p.slope[i] = 0
	}
	start := f.now
	for f.now-start < 3*time.Second {
		f.advance(500 * time.Millisecond)
		f.report("vm00", usageReport(serves, fills, 130, 3000))
		f.plan()
		if len(f.paces) > 0 {
			break
		}
	}
	require.NotEmpty(t, f.paces, "the filler is not slowed beside a task over its target")
	require.Zero(t, f.paces[0].Percent)
	require.Less(t, f.now-start, 3*time.Second)
}

// Guards against a serving task that is over its target for half a second whenever an interfering
// filler starts on its VM. Runs start at full pace, and paces were computed only with reports: if
// the filler starts just after one, the next report arrives 0.6 s later.
func TestFillerIsSlowedAsSoonAsItHasStarted(t *testing.T) {
	f, serves, fills := startServingAndFiller(t)
	f.s.images.slopesOf("web").slope[f.s.images.imageIndex("crunch")] = 5
	f.advance(2 * time.Second)
	f.report("vm00", usageReport(serves, fills, 60, 1000))
	f.plan()
	f.s.policy.PeakLimit = 0
	f.submit("g", fillerStep("crunch", 4000))
	f.plan()
	f.paces = nil
	f.advance(5 * time.Millisecond)
	f.confirm(f.last("g.0.0.0"))
	f.plan()
	require.NotEmpty(t, f.paces, "the filler runs at full pace until the next report")
}

// A filler with a known effect is slowed before the target is reached, by no more than the tail
// requires, and restored when the tail allows it.
func TestInterferingFillerIsSlowedAndRestored(t *testing.T) {
	f, serves, fills := startServingAndFiller(t)
	p := f.s.images.slopesOf("web")
	p.slope[f.s.images.imageIndex("crunch")] = 5
	f.advance(2 * time.Second)
	f.report("vm00", usageReport(serves, fills, 95, 3000))
	f.plan()
	require.Len(t, f.paces, 1)
	require.Greater(t, f.paces[0].Percent, 0)
	require.Less(t, f.paces[0].Percent, 100)
	for range 8 {
		f.advance(time.Second)
		f.report("vm00", usageReport(serves, fills, 40, 1000))
		f.plan()
	}
	require.Equal(t, 100, f.paces[len(f.paces)-1].Percent)
}

// A filler without effect must not be slowed beside a task close to its target.
func TestHarmlessFillerIsNotSlowed(t *testing.T) {
	f, serves, fills := startServingAndFiller(t)
	p := f.s.images.slopesOf("web")
	p.slope[f.s.images.imageIndex("crunch")] = 0
	f.advance(2 * time.Second)
	f.report("vm00", usageReport(serves, fills, 95, 3000))
	f.plan()
	require.Empty(t, f.paces)
}

// A pace order without a response is repeated.
func TestUnansweredPaceIsRepeated(t *testing.T) {
	f, serves, fills := startServingAndFiller(t)
	f.s.images.slopesOf("web").slope[f.s.images.imageIndex("crunch")] = 5
	f.advance(2 * time.Second)
	f.report("vm00", usageReport(serves, fills, 95, 3000))
	f.plan()
	require.Len(t, f.paces, 1)
	f.s.HandlePaceResult(f.paces[0], false)
	f.advance(time.Second)
	f.report("vm00", usageReport(serves, fills, 95, 3000))
	f.plan()
	require.Len(t, f.paces, 2)
}

// Fillers are placed away from the serving tasks that they affect while there are other VMs.
func TestFillerAvoidsAffectedServingTasks(t *testing.T) {
	f := newFixture(t, 2)
	f.reportAll(nil)
	f.submit("s", servingStep("web", 4000))
	f.plan()
	served := f.last("s.0.0.0")
	f.s.images.slopesOf("web").slope[f.s.images.imageIndex("crunch")] = 6
	for i := range 3 {
		id := string(rune('a' + i))
		f.submit(id, fillerStep("crunch", 2000))
		f.plan()
		require.NotEqual(t, served.Instance.ID, f.last(id+".0.0.0").Instance.ID)
	}
}

// Serving tasks of the same image are placed together, those of different images apart.
func TestServingImagesAreKeptApart(t *testing.T) {
	f := newFixture(t, 4)
	f.reportAll(nil)
	vms := map[string]map[string]bool{"a": {}, "b": {}}
	for i := range 8 {
		image := string(rune('a' + i%2))
		id := string(rune('p' + i))
		// Four tasks of an image leave a quarter of a VM free as its reserve.
		f.submit(id, servingStep(image, 1800))
		f.plan()
		vms[image][f.last(id+".0.0.0").Instance.ID] = true
	}
	for vm := range vms["a"] {
		require.NotContains(t, vms["b"], vm)
	}
	require.Len(t, vms["a"], 1)
}

// Guards against a filler that affects every serving image and never starts while others come and
// go.
func TestStarvingFillerStarts(t *testing.T) {
	f, _, _ := startServingAndFiller(t)
	f.s.images.slopesOf("web").slope[f.s.images.imageIndex("heavy")] = 50
	f.submit("h", fillerStep("heavy", 3000))
	f.plan()
	require.NotContains(t, f.started, "h.0.0.0")
	f.advance(milliseconds(f.s.policy.StarvedAfterMS) + time.Millisecond)
	f.report("vm00", batch.Report{Running: []batch.RunStatus{}})
	f.plan()
	require.Contains(t, f.started, "h.0.0.0")
}

// Guards against short tasks that wait while lasting tasks occupy all free capacity.
func TestLastingTasksLeaveRoomForShortOnes(t *testing.T) {
	f := newFixture(t, 4)
	f.reportAll(nil)
	s := servingStep("web", 2400)
	s.Tasks = 20
	f.submit("s", s)
	f.plan()
	f.submit("q", tasks(4, 400))
	f.plan()
	for i := range 4 {
		require.Contains(t, f.started, batch.TaskID{Job: "q", Index: i}.String())
	}
}

// Guards against lasting tasks of VMs that left which do not run again although other VMs have
// capacity: the reserve for short tasks was kept without a time limit.
func TestLastingTaskUsesReserveAfterPatience(t *testing.T) {
	f := newFixture(t, 8)
	reserveVMs := 0
	for i := range f.list {
		f.list[i].Draining = !f.s.vms[f.list[i].ID].keepsReserve(f.s.policy.ReserveOn)
		if !f.list[i].Draining {
			reserveVMs++
		}
	}
	require.Positive(t, reserveVMs)
	f.s.SetInstances(f.now, f.list)
	f.reportAll(nil)
	f.submit("s", servingStep("web", 9800))
	f.plan()
	require.NotContains(t, f.started, "s.0.0.0")
	f.advance(milliseconds(f.s.policy.ReservePatienceMS) + time.Millisecond)
	f.reportAll(nil)
	f.plan()
	require.Contains(t, f.started, "s.0.0.0")
}

// The wait of a filler that affects every serving image is bounded in a crowded fleet, too, by a
// longer time.
func TestStarvedFillerStartsInACrowdedFleet(t *testing.T) {
	f := newFixture(t, 1)
	f.reportAll(nil)
	f.submit("s", servingStep("web", 7000))
	f.plan()
	serves := f.last("s.0.0.0")
	f.confirm(serves)
	f.s.images.slopesOf("web").slope[f.s.images.imageIndex("crunch")] = 9
	f.submit("f", fillerStep("crunch", 3000))
	servingReport := batch.Report{Running: []batch.RunStatus{{Task: serves.Task, Run: serves.Run, Progress: 100, Usage: 95, HasUsage: true}}}
	start := f.now
	for len(f.started["f.0.0.0"]) == 0 && f.now-start < time.Minute {
		f.advance(500 * time.Millisecond)
		f.report("vm00", servingReport)
		f.plan()
	}
	require.Greater(t, f.now-start, milliseconds(f.s.policy.StarvedAfterMS)+time.Second)
	require.LessOrEqual(t, f.now-start, milliseconds(f.s.policy.StarvedCrowdedMS)+time.Second)
}

// Guards against orders of a pace that is not a number, where no filler runs and serving tasks
// leave no processors for any.
func TestLimitedUseOfStoppedFillersIsANumber(t *testing.T) {
	fillers := []pacedFiller{{use: 1, aim: 0}, {use: 0, aim: 1}}
	limitTotalUse(fillers, -1, aimPace)
	require.Zero(t, fillers[0].aim)
	require.InDelta(t, 1, fillers[1].aim, 1e-9)
}
