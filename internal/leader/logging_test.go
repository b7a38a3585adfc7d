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

// fakeAgent is a VM that returns preset responses.
type fakeAgent struct {
	report batch.Report
	err    error
	// onOrder is called at each start and stop, onHold at each hold; may be nil.
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

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// line waits for the line of an event, which must be the only one, and returns its fields.
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

// newLoggedTerm returns a tenure with one VM that has reported and holds a lease.
func newLoggedTerm(t *testing.T) (*term, *fakeAgent, *logBuffer) {
	t.Helper()
	agent, out := &fakeAgent{report: batch.Report{Clock: time.Hour}}, &logBuffer{}
	log := eventlog.New(out, logrus.InfoLevel)
	te := &term{
		Leader: &Leader{Agents: agent, Log: log}, log: log,
		tenure:      &Tenure{Fence: 7, renewedAt: steady.Now(), cancel: func() {}},
		unackedEnds: map[string]unackedEnds{}, planRequested: make(chan struct{}, 1), flushed: make(chan struct{}), directCalls: make(chan struct{}, maxConcurrentOrders), startWindow: newStartWindow(maxConcurrentOrders), backlog: scheduler.NewBacklog(),
	}
	te.sched = scheduler.New(scheduler.Settings{MaxLease: 10 * time.Second}, 7, te.logDecision)
	te.sched.SetInstances(steady.Now(), []batch.Instance{{ID: testVM, Address: "10.0.0.1:1"}})
	for range 2 {
		holdTestVM(t, te, &holdFailures{}, true)
	}
	return te, agent, out
}

func holdTestVM(t *testing.T, te *term, s *holdFailures, answered bool) {
	t.Helper()
	ok, err := te.holdOnce(t.Context(), &batch.Instance{ID: testVM, Address: "10.0.0.1:1"}, 0, s)
	require.True(t, ok)
	require.Equal(t, answered, err == nil)
}

// When a VM stops responding and responds again, the log lines contain the time since its last
// report, the remaining lease and the cause of the failures.
func TestLogOfUnresponsiveVM(t *testing.T) {
	te, agent, out := newLoggedTerm(t)
	var failures holdFailures
	agent.err = &batch.RefusalError{Reason: batch.RefusedUnreached, Cause: errors.New("connection refused")}
	for range 3 {
		holdTestVM(t, te, &failures, false)
	}
	agent.err = nil
	holdTestVM(t, te, &failures, true)
	unanswered := out.line(t, "vm_unanswered")
	require.Equal(t, "refused: unreached: connection refused", unanswered["error"])
	require.Contains(t, unanswered, "unheard_ms")
	require.InDelta(t, 8000, unanswered["lease_left_ms"], 1000)
	require.NotContains(t, unanswered, "unlisted_ms")
	answers := out.line(t, "vm_answers")
	require.InDelta(t, 3, answers["failures"], 0)

	te.sched.SetInstances(steady.Now(), nil)
	agent.err = &batch.RefusalError{Reason: batch.RefusedGone}
	ok, err := te.holdOnce(t.Context(), &batch.Instance{ID: testVM}, 0, &failures)
	require.False(t, ok)
	require.NoError(t, err)
	require.Contains(t, out.line(t, "vm_replaced"), "unlisted_ms")
	f := te.stats()
	require.Zero(t, f.VMs)
}

// Log lines about a VM that stays unresponsive become rarer.
func TestUnresponsiveVMIsLoggedRarely(t *testing.T) {
	var failures holdFailures
	lines := 0
	for now := time.Duration(0); now < time.Minute; now += holdRetryDelay {
		if failures.recordFailure(now, now) {
			lines++
		}
	}
	require.Equal(t, 7, lines)
}

// Ends that stay unacknowledged are counted with their age and logged once; each is observed
// once.
func TestUnacknowledgedEndsAreLogged(t *testing.T) {
	te, _, out := newLoggedTerm(t)
	observed := map[scheduler.EndStatus]int{}
	te.ObserveEnd = func(s scheduler.EndStatus) { observed[s]++ }
	ends := []batch.RunEnd{
		{Seq: 5, Task: batch.TaskID{Job: "j"}, Run: 7<<24 + 1, Kind: batch.EndDone},
		{Seq: 4, Task: batch.TaskID{Job: "j", Index: 1}, Run: 7<<24 + 2, Kind: batch.EndDone},
	}
	began := steady.Now()
	for _, after := range []time.Duration{0, time.Second, unackedEndsLogDelay + time.Second, unackedEndsLogDelay + 2*time.Second} {
		te.mu.Lock()
		te.trackEnds(began+after, testVM, &batch.Report{Ended: ends})
		te.mu.Unlock()
		te.sched.HandleReport(began+after, began+after, testVM, batch.Report{Clock: time.Hour, Ended: ends})
	}
	require.Equal(t, map[scheduler.EndStatus]int{scheduler.EndUnknownJob: 2}, observed)
	require.Equal(t, 2, te.stats().UnackedEnds)
	line := out.line(t, "ends_unacknowledged")
	require.Equal(t, "j.0.0.1", line["task"])
	require.InDelta(t, 4000, line["age_ms"], 0)
	te.trackEnds(began, testVM, &batch.Report{})
	require.Zero(t, te.stats().UnackedEnds)
}

// A leader continues for some time while the store does not respond. The log shows since when
// it is unconfirmed and, at its end, which leases outlast it.
func TestLogOfUnconfirmedLeader(t *testing.T) {
	te, _, out := newLoggedTerm(t)
	require.True(t, te.logConfirmation(true))
	te.tenure.renewed(steady.Now() - 2*leaseTTL)
	require.False(t, te.logConfirmation(true))
	require.False(t, te.logConfirmation(false))
	te.tenure.renewed(steady.Now())
	require.True(t, te.logConfirmation(false))
	require.InDelta(t, 2*leaseTTL.Milliseconds(), out.line(t, "leader_unconfirmed")["confirmed_ago_ms"], 500)
	out.line(t, "leader_confirmed")
	te.logEnd()
	end := out.line(t, "leader_ended")
	require.InDelta(t, 1, end["leased_vms"], 0)
	require.InDelta(t, 8000, end["longest_lease_ms"], 1000)
}

// An order whose outcome stays unknown is logged with its run and the failure: a start without
// a response, a start that the end of the tenure interrupted, and a stop that stays
// unconfirmed.
func TestLogOfOrdersWithoutOutcome(t *testing.T) {
	te, agent, out := newLoggedTerm(t)
	te.sched.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{{Name: "q", Pool: "p", Attempts: 3, Stretch: 2, Slack: time.Second}}})
	now := steady.Now()
	te.sched.SetInstances(now, []batch.Instance{{
		ID: testVM, Pool: "p", Address: "10.0.0.1:1", Capacity: batch.Resources{MilliCPU: 1000, MemoryMB: 100},
	}})
	step := batch.Step{Tasks: 2, Need: batch.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second}
	te.sched.Submit(now, scheduler.Submission{Job: &batch.Job{ID: "j", Payload: "p", Steps: []batch.Step{step}}, Queue: "q", Pool: "p"})
	orders := te.sched.Plan(now)
	require.Len(t, orders, 2)

	agent.err = errors.New("timed out")
	te.start(t.Context(), orders[0], func(time.Duration) {})
	unanswered := out.line(t, "start_unanswered")
	require.Equal(t, "timed out", unanswered["error"])
	require.Equal(t, orders[0].Task.String(), unanswered["task"])

	agent.onOrder = func() { te.tenure.End() }
	te.start(t.Context(), orders[1], func(time.Duration) {})
	require.Equal(t, orders[1].Task.String(), out.line(t, "start_abandoned")["task"])

	calls := 0
	te.tenure.ended = false
	agent.onOrder = func() {
		if calls++; calls == 2 {
			te.tenure.End()
		}
	}
	te.stopSince(t.Context(), orders[0], steady.Now()-stopRetryDuration+time.Millisecond)
	require.Equal(t, "timed out", out.line(t, "stop_unconfirmed")["error"])
	require.Equal(t, 2, calls, "the stop is not repeated after the log line")
}

// Guards against starting a task a second after its end was acknowledged. A start gets no
// response, a copy of the run completes elsewhere, and the run is to be stopped. Whether the
// start is still wanted must be checked before each attempt, not only the first.
func TestUnwantedStartIsNotRetried(t *testing.T) {
	te, agent, _ := newLoggedTerm(t)
	te.sched.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{{Name: "q", Pool: "p", Attempts: 3, Stretch: 2, Slack: time.Second}}})
	now := steady.Now()
	te.sched.SetInstances(now, []batch.Instance{{
		ID: testVM, Pool: "p", Address: "10.0.0.1:1", Capacity: batch.Resources{MilliCPU: 1000, MemoryMB: 100},
	}})
	step := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second}
	te.sched.Submit(now, scheduler.Submission{Job: &batch.Job{ID: "j", Payload: "p", Steps: []batch.Step{step}}, Queue: "q", Pool: "p"})
	orders := te.sched.Plan(now)
	require.Len(t, orders, 1)
	agent.err = errors.New("timed out")
	calls := 0
	agent.onOrder = func() {
		calls++
		te.mu.Lock()
		defer te.mu.Unlock()
		te.sched.Cancel(steady.Now(), "j")
	}
	te.start(t.Context(), orders[0], func(time.Duration) {})
	require.Equal(t, 1, calls)
}

// Stats are available only while the process leads and may act.
func TestStats(t *testing.T) {
	te, _, _ := newLoggedTerm(t)
	_, leading := te.Stats()
	require.False(t, leading)
	te.setTerm(te)
	f, leading := te.Stats()
	require.True(t, leading)
	require.True(t, f.Confirmed)
	require.Equal(t, int64(7), f.Fence)
	require.Equal(t, 1, f.VMs)
	te.tenure.End()
	_, leading = te.Stats()
	require.False(t, leading)
}
