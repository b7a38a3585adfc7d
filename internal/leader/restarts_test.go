package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// newMovedVMTerm returns a term whose VM is about to restart at another address, while another
// VM has taken over its old one. It also returns the VM as it was when orders were sent to it.
func newMovedVMTerm(t *testing.T) (te *term, agent *fakeAgent, old batch.Instance) {
	te, agent, _ = newLoggedTerm(t)
	te.sched.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{{Name: "q", Pool: "p", Attempts: 3, Stretch: 2, Slack: time.Second}}})
	old = batch.Instance{ID: testVM, Pool: "p", Address: "10.0.0.1:1", Born: 1, Capacity: batch.Resources{MilliCPU: 1000, MemoryMB: 100}}
	now := steady.Now()
	te.sched.SetInstances(now, []batch.Instance{old})
	te.sched.HandleReport(now, now, testVM, batch.Report{Born: 1, Clock: time.Hour})
	agent.err = &batch.RefusalError{Reason: batch.RefusedGone}
	return te, agent, old
}

func (t *term) moveVM(to batch.Instance) {
	to.Address, to.Born = "10.0.0.2:1", 2
	t.sched.SetInstances(steady.Now(), []batch.Instance{to})
}

// Guards against a hold loop that ends when another VM responds at the old address, so that
// the VM is not held at its new one for the rest of the tenure.
func TestHoldContinuesAtNewAddress(t *testing.T) {
	te, agent, old := newMovedVMTerm(t)
	agent.onHold = func() {
		te.mu.Lock()
		defer te.mu.Unlock()
		te.moveVM(old)
	}
	inst := old
	ok, _ := te.holdOnce(t.Context(), &inst, 0, &holdFailures{})
	require.True(t, ok)
	require.Contains(t, te.sched.Instances(), testVM)
}

// Guards against a start that counts as under way for ever because another VM refused it at
// the old address.
func TestStartRefusedAtOldAddressIsRepeated(t *testing.T) {
	te, _, old := newMovedVMTerm(t)
	step := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second}
	now := steady.Now()
	te.sched.ConfirmLeadership(now + time.Hour)
	te.sched.Submit(now, scheduler.Submission{Job: &batch.Job{ID: "j", Payload: "p", Steps: []batch.Step{step}}, Queue: "q", Pool: "p"})
	orders := te.sched.Plan(now)
	require.Len(t, orders, 1)
	require.True(t, te.sched.PrepareStart(now, orders[0]))
	te.moveVM(old)
	te.sched.HandleReport(now, now, testVM, batch.Report{Born: 2, Clock: time.Second})
	te.sched.RaiseToken(orders[0].Start.Fence + 1)
	_, known := te.sched.Hold(now, testVM, time.Second)
	require.True(t, known)
	te.sched.HandleReport(now, now, testVM, batch.Report{Born: 2, Clock: time.Second})
	old.Born = 1
	te.executeOrder(t.Context(), scheduler.Order{Kind: orders[0].Kind, Instance: old, Task: orders[0].Task, Run: orders[0].Run, Start: orders[0].Start}, func(time.Duration) {})
	again := te.sched.Plan(steady.Now() + 200*time.Millisecond)
	require.Len(t, again, 1)
	require.Equal(t, "10.0.0.2:1", again[0].Instance.Address)
}
