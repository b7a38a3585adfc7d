package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// fixture drives a scheduler with simulated VMs.
type fixture struct {
	t     *testing.T
	s     *Scheduler
	now   Time
	fence int64
	log   []Decision
	list  []batch.Instance
	// started holds the start orders of each task in the order of their issue.
	started map[string][]Order
	stops   []Order
	paces   []Order
	// seq is the number of the last end reported by a VM, where a test counts them.
	seq int64
}

const (
	testQueue = "q"
	// testAttempts is the maximum number of attempts for tasks in testQueue.
	testAttempts = 3
)

// distantFuture is later than the end of every test, so that the leadership of the
// fixture's leader is confirmed throughout.
const distantFuture = Time(1 << 62)

func newFixture(t *testing.T, vms int) *fixture {
	f := &fixture{t: t, fence: 1, now: time.Second, started: map[string][]Order{}}
	f.s = New(Settings{MaxLease: 10 * time.Second}, f.fence, func(d Decision) { f.log = append(f.log, d) })
	f.s.ConfirmLeadership(distantFuture)
	f.s.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{
		{Name: testQueue, Pool: "pool", Attempts: testAttempts, Stretch: 2, Slack: time.Second},
	}})
	for i := range vms {
		f.list = append(f.list, instance(i))
	}
	f.s.SetInstances(f.now, f.list)
	return f
}

func instance(i int) batch.Instance {
	return batch.Instance{
		ID: fmt.Sprintf("vm%02d", i), Pool: "pool", Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "z", Labels: []string{"a", fmt.Sprintf("r%d", i/2)},
		Capacity: batch.Resources{MilliCPU: 10_000, MemoryMB: 100_000},
	}
}

// report holds a VM and delivers its report at the same moment.
func (f *fixture) report(vm string, rep batch.Report) {
	rep.Clock = f.now + time.Hour
	_, ok := f.s.Hold(f.now, vm, 0)
	require.True(f.t, ok, "unknown VM %s", vm)
	f.s.HandleReport(f.now, f.now, vm, rep)
}

// reportAll delivers a report of each VM: the given one, or an empty one.
func (f *fixture) reportAll(reports map[string]batch.Report) {
	for _, inst := range f.list {
		f.report(inst.ID, reports[inst.ID])
	}
}

// plan plans at the current time, records the orders by kind and returns them.
func (f *fixture) plan() []Order {
	orders := f.s.Plan(f.now)
	for _, o := range orders {
		switch o.Kind {
		case OrderStart:
			f.started[o.Task.String()] = append(f.started[o.Task.String()], o)
		case OrderStop:
			f.stops = append(f.stops, o)
		case OrderPace:
			f.paces = append(f.paces, o)
		}
	}
	return orders
}

func (f *fixture) advance(d time.Duration) { f.now += d }

func (f *fixture) submit(id string, steps ...batch.Step) {
	f.s.Submit(f.now, Submission{Job: &batch.Job{ID: id, Payload: "p", Steps: steps}, Queue: testQueue, Pool: "pool"})
}

func tasks(count int, milliCPU int64) batch.Step {
	return batch.Step{Tasks: count, Need: batch.Resources{MilliCPU: milliCPU, MemoryMB: 10}, Estimate: time.Second}
}

// confirm reports a start order as successful.
func (f *fixture) confirm(o Order) { f.s.Started(f.now, f.now, o, f.now+time.Hour, "", false) }

func (f *fixture) last(task string) Order {
	orders := f.started[task]
	require.NotEmpty(f.t, orders, "task %s was not started", task)
	return orders[len(orders)-1]
}

func runningReport(orders ...Order) batch.Report {
	var rep batch.Report
	for _, o := range orders {
		rep.Running = append(rep.Running, batch.RunStatus{Task: o.Task, Run: o.Run})
	}
	return rep
}

func endOfOrder(seq int64, o Order, kind batch.EndKind) batch.RunEnd {
	return batch.RunEnd{Seq: seq, Task: o.Task, Run: o.Run, Kind: kind}
}
