package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// newMovedVMTerm is a tenure whose VM is about to start again at another address, while another VM
// has taken its own. It returns the VM as orders were given to it.
func newMovedVMTerm(t *testing.T) (x *term, agent *fakeAgent, old batch.Instance) {
	x, agent, _ = newLoggedTerm(t)
	x.sched.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{{Name: "q", Pool: "p", Attempts: 3, Stretch: 2, Slack: time.Second}}})
	old = batch.Instance{ID: testVM, Pool: "p", Address: "10.0.0.1:1", Born: 1, Capacity: batch.Resources{MilliCPU: 1000, MemoryMB: 100}}
	now := steady.Now()
	x.sched.SetInstances(now, []batch.Instance{old})
	x.sched.HandleReport(now, now, testVM, batch.Report{Born: 1, Clock: time.Hour})
	agent.err = &batch.RefusalError{Reason: batch.RefusedGone}
	return x, agent, old
}

func (t *term) moveVM(to batch.Instance) {
	to.Address, to.Born = "10.0.0.2:1", 2
	t.sched.SetInstances(steady.Now(), []batch.Instance{to})
}

// A hold loop ended when another VM answered at the old address, and the VM was not held at its
// new one for as long as its leader led.
func TestHoldContinuesAtNewAddress(t *testing.T) {
	x, agent, old := newMovedVMTerm(t)
	agent.onHold = func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.moveVM(old)
	}
	inst := old
	ok, _ := x.holdOnce(t.Context(), &inst, 0, &holdFailures{})
	require.True(t, ok)
	require.Contains(t, x.sched.Instances(), testVM)
}

// A start that another VM had refused at the old address counted as under way for ever.
func TestStartRefusedAtOldAddressIsRepeated(t *testing.T) {
	x, _, old := newMovedVMTerm(t)
	step := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second}
	now := steady.Now()
	x.sched.ConfirmLeadership(now + time.Hour)
	x.sched.Submit(now, scheduler.Submission{Job: &batch.Job{ID: "j", Payload: "p", Steps: []batch.Step{step}}, Queue: "q", Pool: "p"})
	orders := x.sched.Plan(now)
	require.Len(t, orders, 1)
	require.True(t, x.sched.PrepareStart(now, orders[0]))
	x.moveVM(old)
	x.sched.HandleReport(now, now, testVM, batch.Report{Born: 2, Clock: time.Second})
	x.sched.RaiseToken(orders[0].Start.Fence + 1)
	_, known := x.sched.Hold(now, testVM, time.Second)
	require.True(t, known)
	x.sched.HandleReport(now, now, testVM, batch.Report{Born: 2, Clock: time.Second})
	old.Born = 1
	x.executeOrder(t.Context(), scheduler.Order{Kind: orders[0].Kind, Instance: old, Task: orders[0].Task, Run: orders[0].Run, Start: orders[0].Start}, func(time.Duration) {})
	again := x.sched.Plan(steady.Now() + 200*time.Millisecond)
	require.Len(t, again, 1)
	require.Equal(t, "10.0.0.2:1", again[0].Instance.Address)
}
