package leader

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// fakeAgent is a VM that answers as it is told to.
type fakeAgent struct {
	report batch.Report
	err    error
	// onOrder is called at each start and stop, held at each hold; may be nil.
	onOrder, onHold func()
}

func (a *fakeAgent) Start(context.Context, *batch.Instance, batch.StartOrder) (time.Duration, error) {
	if a.onOrder != nil {
		a.onOrder()
	}
	return 0, a.err
}

func (a *fakeAgent) Stop(context.Context, *batch.Instance, batch.TaskID, int64, int64) error {
	if a.onOrder != nil {
		a.onOrder()
	}
	return a.err
}

func (a *fakeAgent) Pace(context.Context, *batch.Instance, batch.TaskID, int64, int, int64) error {
	return a.err
}

func (a *fakeAgent) Hold(context.Context, *batch.Instance, batch.HoldOrder) (batch.Report, error) {
	if a.onHold != nil {
		a.onHold()
	}
	return a.report, a.err
}

// logBuffer collects the lines of a log.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// line returns the one line of an event once it is written.
func (l *logBuffer) line(t *testing.T, event string) map[string]any {
	t.Helper()
	var found []map[string]any
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		found = nil
		for raw := range strings.Lines(l.text.String()) {
			var fields map[string]any
			if json.Unmarshal([]byte(raw), &fields) == nil && fields["msg"] == event {
				found = append(found, fields)
			}
		}
		return len(found) > 0
	}, 5*time.Second, 5*time.Millisecond, "no %s", event)
	require.Len(t, found, 1, event)
	return found[0]
}

const testVM = "vm1"

// newLoggedTerm is a tenure with one VM that was heard, and holds a lease.
func newLoggedTerm(t *testing.T) (*term, *fakeAgent, *logBuffer) {
	t.Helper()
	agent, out := &fakeAgent{report: batch.Report{Clock: time.Hour}}, &logBuffer{}
	log := eventlog.New(out, logrus.InfoLevel)
	x := &term{
		Leader: &Leader{Agents: agent, Log: log}, log: log,
		tenure:      &Tenure{Fence: 7, renewedAt: steady.Now(), cancel: func() {}},
		unackedEnds: map[string]unackedEnds{}, planRequested: make(chan struct{}, 1), flushed: make(chan struct{}), directCalls: make(chan struct{}, maxConcurrentOrders), startWindow: newStartWindow(maxConcurrentOrders), backlog: scheduler.NewBacklog(),
	}
	x.sched = scheduler.New(scheduler.Settings{MaxLease: 10 * time.Second}, 7, x.logDecision)
	x.sched.SetInstances(steady.Now(), []batch.Instance{{ID: testVM, Address: "10.0.0.1:1"}})
	for range 2 {
		holdTestVM(t, x, &holdFailures{}, true)
	}
	return x, agent, out
}

func holdTestVM(t *testing.T, x *term, s *holdFailures, answered bool) {
	t.Helper()
	ok, err := x.holdOnce(t.Context(), &batch.Instance{ID: testVM, Address: "10.0.0.1:1"}, 0, s)
	require.True(t, ok)
	require.Equal(t, answered, err == nil)
}

// A VM doesn't answer, and answers again: the lines tell for how long it was
// unheard, whether a lease may live there, and what failed.
func TestLogOfUnresponsiveVM(t *testing.T) {
	x, agent, out := newLoggedTerm(t)
	var s holdFailures
	agent.err = &batch.RefusalError{Reason: batch.RefusedUnreached, Cause: errors.New("connection refused")}
	for range 3 {
		holdTestVM(t, x, &s, false)
	}
	agent.err = nil
	holdTestVM(t, x, &s, true)
	silent := out.line(t, "vm_unanswered")
	require.Equal(t, "refused: unreached: connection refused", silent["error"])
	require.Contains(t, silent, "unheard_ms")
	require.InDelta(t, 8000, silent["lease_left_ms"], 1000)
	require.NotContains(t, silent, "unlisted_ms")
	back := out.line(t, "vm_answers")
	require.InDelta(t, 3, back["failures"], 0)

	x.sched.SetInstances(steady.Now(), nil)
	agent.err = &batch.RefusalError{Reason: batch.RefusedGone}
	ok, err := x.holdOnce(t.Context(), &batch.Instance{ID: testVM}, 0, &s)
	require.False(t, ok)
	require.NoError(t, err)
	require.Contains(t, out.line(t, "vm_replaced"), "unlisted_ms")
	f := x.stats()
	require.Zero(t, f.VMs)
}

// The lines on a VM that stays silent become rarer.
func TestUnresponsiveVMIsLoggedRarely(t *testing.T) {
	var s holdFailures
	told := 0
	for now := time.Duration(0); now < time.Minute; now += holdRetryDelay {
		if s.recordFailure(now, now) {
			told++
		}
	}
	require.Equal(t, 7, told)
}

// An end that is told again and again is counted, with its age, and gets one line;
// each end is observed once.
func TestUnacknowledgedEndsAreLogged(t *testing.T) {
	x, _, out := newLoggedTerm(t)
	observed := map[scheduler.EndStatus]int{}
	x.ObserveEnd = func(s scheduler.EndStatus) { observed[s]++ }
	ends := []batch.RunEnd{
		{Seq: 5, Task: batch.TaskID{Job: "j"}, Run: 7<<24 + 1, Kind: batch.EndDone},
		{Seq: 4, Task: batch.TaskID{Job: "j", Index: 1}, Run: 7<<24 + 2, Kind: batch.EndDone},
	}
	began := steady.Now()
	for _, after := range []time.Duration{0, time.Second, unackedEndsLogDelay + time.Second, unackedEndsLogDelay + 2*time.Second} {
		x.mu.Lock()
		x.trackEnds(began+after, testVM, &batch.Report{Ended: ends})
		x.mu.Unlock()
		x.sched.HandleReport(began+after, began+after, testVM, batch.Report{Clock: time.Hour, Ended: ends})
	}
	require.Equal(t, map[scheduler.EndStatus]int{scheduler.EndUnknownJob: 2}, observed)
	require.Equal(t, 2, x.stats().UnackedEnds)
	line := out.line(t, "ends_unacknowledged")
	require.Equal(t, "j.0.0.1", line["task"])
	require.InDelta(t, 4000, line["age_ms"], 0)
	x.trackEnds(began, testVM, &batch.Report{})
	require.Zero(t, x.stats().UnackedEnds)
}

// A leader that the store doesn't answer goes on for a while: lines tell since when
// it is unconfirmed, and at its end where leases may outlive it.
func TestLogOfUnconfirmedLeader(t *testing.T) {
	x, _, out := newLoggedTerm(t)
	require.True(t, x.logConfirmation(true))
	x.tenure.renewed(steady.Now() - 2*leaseTTL)
	require.False(t, x.logConfirmation(true))
	require.False(t, x.logConfirmation(false))
	x.tenure.renewed(steady.Now())
	require.True(t, x.logConfirmation(false))
	require.InDelta(t, 2*leaseTTL.Milliseconds(), out.line(t, "leader_unconfirmed")["confirmed_ago_ms"], 500)
	out.line(t, "leader_confirmed")
	x.logEnd()
	end := out.line(t, "leader_ended")
	require.InDelta(t, 1, end["leased_vms"], 0)
	require.InDelta(t, 8000, end["longest_lease_ms"], 1000)
}

// Orders whose outcome stays unknown have a line that names the run and what
// failed: a start that nobody answered, one that the end of the tenure cut short,
// and a stop that was given up.
func TestLogOfOrdersWithoutOutcome(t *testing.T) {
	x, agent, out := newLoggedTerm(t)
	x.sched.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{{Name: "q", Pool: "p", Attempts: 3, Stretch: 2, Slack: time.Second}}})
	now := steady.Now()
	x.sched.SetInstances(now, []batch.Instance{{
		ID: testVM, Pool: "p", Address: "10.0.0.1:1", Capacity: batch.Resources{MilliCPU: 1000, MemoryMB: 100},
	}})
	step := batch.Step{Tasks: 2, Need: batch.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second}
	x.sched.Submit(now, scheduler.Submission{Job: &batch.Job{ID: "j", Payload: "p", Steps: []batch.Step{step}}, Queue: "q", Pool: "p"})
	orders := x.sched.Plan(now)
	require.Len(t, orders, 2)

	agent.err = errors.New("timed out")
	x.start(t.Context(), orders[0], func(time.Duration) {})
	unanswered := out.line(t, "start_unanswered")
	require.Equal(t, "timed out", unanswered["error"])
	require.Equal(t, orders[0].Task.String(), unanswered["task"])

	agent.onOrder = func() { x.tenure.End() }
	x.start(t.Context(), orders[1], func(time.Duration) {})
	require.Equal(t, orders[1].Task.String(), out.line(t, "start_abandoned")["task"])

	calls := 0
	x.tenure.ended = false
	agent.onOrder = func() {
		if calls++; calls == 2 {
			x.tenure.End()
		}
	}
	x.stopSince(t.Context(), orders[0], steady.Now()-stopRetryDuration+time.Millisecond)
	require.Equal(t, "timed out", out.line(t, "stop_unconfirmed")["error"])
	require.Equal(t, 2, calls, "goes on after the line")
}

// What happened: a task was started a second after its end had been acknowledged.
// Sequence: a start has no answer; a copy of the run elsewhere is done, so that the run
// is ordered to stop; the next try of the start is made, and carried out.
// Cause: whether a start is still wanted was asked before its first try only.
func TestUnwantedStartIsNotRetried(t *testing.T) {
	x, agent, _ := newLoggedTerm(t)
	x.sched.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{{Name: "q", Pool: "p", Attempts: 3, Stretch: 2, Slack: time.Second}}})
	now := steady.Now()
	x.sched.SetInstances(now, []batch.Instance{{
		ID: testVM, Pool: "p", Address: "10.0.0.1:1", Capacity: batch.Resources{MilliCPU: 1000, MemoryMB: 100},
	}})
	step := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second}
	x.sched.Submit(now, scheduler.Submission{Job: &batch.Job{ID: "j", Payload: "p", Steps: []batch.Step{step}}, Queue: "q", Pool: "p"})
	orders := x.sched.Plan(now)
	require.Len(t, orders, 1)
	agent.err = errors.New("timed out")
	calls := 0
	agent.onOrder = func() {
		calls++
		x.mu.Lock()
		defer x.mu.Unlock()
		x.sched.Cancel(steady.Now(), "j")
	}
	x.start(t.Context(), orders[0], func(time.Duration) {})
	require.Equal(t, 1, calls)
}

// A process that doesn't lead has no figures; one that leads has them.
func TestStats(t *testing.T) {
	x, _, _ := newLoggedTerm(t)
	_, leading := x.Stats()
	require.False(t, leading)
	x.setTerm(x)
	f, leading := x.Stats()
	require.True(t, leading)
	require.True(t, f.Confirmed)
	require.Equal(t, int64(7), f.Fence)
	require.Equal(t, 1, f.VMs)
	x.tenure.End()
	_, leading = x.Stats()
	require.False(t, leading)
}
