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

// oneVM is a VM that answers as it is told to.
type oneVM struct {
	report batch.Report
	err    error
	// failed is called at each start and stop, held at each hold; may be nil.
	failed, held func()
}

func (a *oneVM) Start(context.Context, *batch.Instance, batch.StartOrder) (time.Duration, error) {
	if a.failed != nil {
		a.failed()
	}
	return 0, a.err
}

func (a *oneVM) Stop(context.Context, *batch.Instance, batch.TaskID, int64, int64) error {
	if a.failed != nil {
		a.failed()
	}
	return a.err
}

func (a *oneVM) Pace(context.Context, *batch.Instance, batch.TaskID, int64, int, int64) error {
	return a.err
}

func (a *oneVM) Hold(context.Context, *batch.Instance, batch.HoldOrder) (batch.Report, error) {
	if a.held != nil {
		a.held()
	}
	return a.report, a.err
}

// logged collects the lines of a log.
type logged struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logged) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// line returns the one line of an event once it is written.
func (l *logged) line(t *testing.T, event string) map[string]any {
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

const sightVM = "vm1"

// sightTerm is a tenure with one VM that was heard, and holds a lease.
func sightTerm(t *testing.T) (*term, *oneVM, *logged) {
	t.Helper()
	agent, out := &oneVM{report: batch.Report{Clock: time.Hour}}, &logged{}
	log := eventlog.New(out, logrus.InfoLevel)
	x := &term{
		Leader: &Leader{Agents: agent, Log: log}, log: log,
		tenure: &Tenure{Fence: 7, renewedAt: steady.Now(), cancel: func() {}},
		told:   map[string]toldEnds{}, kick: make(chan struct{}, 1), flushed: make(chan struct{}), carrying: make(chan struct{}, ordersAtOnce), starts: newWindow(ordersAtOnce), backlog: scheduler.NewBacklog(),
	}
	x.sched = scheduler.New(scheduler.Settings{MaxLease: 10 * time.Second}, 7, x.logDecision)
	x.sched.SetInstances(steady.Now(), []batch.Instance{{ID: sightVM, Address: "10.0.0.1:1"}})
	for range 2 {
		sightHold(t, x, &silence{}, true)
	}
	return x, agent, out
}

func sightHold(t *testing.T, x *term, s *silence, answered bool) {
	t.Helper()
	ok, err := x.holdOnce(t.Context(), &batch.Instance{ID: sightVM, Address: "10.0.0.1:1"}, 0, s)
	require.True(t, ok)
	require.Equal(t, answered, err == nil)
}

// A VM doesn't answer, and answers again: the lines tell for how long it was
// unheard, whether a lease may live there, and what failed.
func TestLinesOnASilentVMTellTheAgeAndTheLease(t *testing.T) {
	x, agent, out := sightTerm(t)
	var s silence
	agent.err = &batch.RefusalError{Reason: batch.RefusedUnreached, Cause: errors.New("connection refused")}
	for range 3 {
		sightHold(t, x, &s, false)
	}
	agent.err = nil
	sightHold(t, x, &s, true)
	silent := out.line(t, "vm_unanswered")
	require.Equal(t, "refused: unreached: connection refused", silent["error"])
	require.Contains(t, silent, "unheard_ms")
	require.InDelta(t, 8000, silent["lease_left_ms"], 1000)
	require.NotContains(t, silent, "unlisted_ms")
	back := out.line(t, "vm_answers")
	require.InDelta(t, 3, back["failures"], 0)

	x.sched.SetInstances(steady.Now(), nil)
	agent.err = &batch.RefusalError{Reason: batch.RefusedGone}
	ok, err := x.holdOnce(t.Context(), &batch.Instance{ID: sightVM}, 0, &s)
	require.False(t, ok)
	require.NoError(t, err)
	require.Contains(t, out.line(t, "vm_replaced"), "unlisted_ms")
	f := x.figures()
	require.Zero(t, f.VMs)
}

// The lines on a VM that stays silent become rarer.
func TestASilentVMCostsFewLines(t *testing.T) {
	var s silence
	told := 0
	for now := time.Duration(0); now < time.Minute; now += holdPause {
		if s.failed(now, now) {
			told++
		}
	}
	require.Equal(t, 7, told)
}

// An end that is told again and again is counted, with its age, and gets one line;
// each end is observed once.
func TestEndsThatStayUnacknowledgedAreTold(t *testing.T) {
	x, _, out := sightTerm(t)
	observed := map[scheduler.EndStatus]int{}
	x.ObserveEnd = func(s scheduler.EndStatus) { observed[s]++ }
	ends := []batch.RunEnd{
		{Seq: 5, Task: batch.TaskID{Job: "j"}, Run: 7<<24 + 1, Kind: batch.EndDone},
		{Seq: 4, Task: batch.TaskID{Job: "j", Index: 1}, Run: 7<<24 + 2, Kind: batch.EndDone},
	}
	began := steady.Now()
	for _, after := range []time.Duration{0, time.Second, endsLate + time.Second, endsLate + 2*time.Second} {
		x.mu.Lock()
		x.noteEnds(began+after, sightVM, &batch.Report{Ended: ends})
		x.mu.Unlock()
		x.sched.HandleReport(began+after, began+after, sightVM, batch.Report{Clock: time.Hour, Ended: ends})
	}
	require.Equal(t, map[scheduler.EndStatus]int{scheduler.EndUnknownJob: 2}, observed)
	require.Equal(t, 2, x.figures().UnackedEnds)
	line := out.line(t, "ends_unacknowledged")
	require.Equal(t, "j.0.0.1", line["task"])
	require.InDelta(t, 4000, line["age_ms"], 0)
	x.noteEnds(began, sightVM, &batch.Report{})
	require.Zero(t, x.figures().UnackedEnds)
}

// A leader that the store doesn't answer goes on for a while: lines tell since when
// it is unconfirmed, and at its end where leases may outlive it.
func TestLinesOfALeaderThatActsUnconfirmed(t *testing.T) {
	x, _, out := sightTerm(t)
	require.True(t, x.logConfirmed(true))
	x.tenure.renewed(steady.Now() - 2*leaseTTL)
	require.False(t, x.logConfirmed(true))
	require.False(t, x.logConfirmed(false))
	x.tenure.renewed(steady.Now())
	require.True(t, x.logConfirmed(false))
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
func TestLinesOfOrdersWithoutAnOutcome(t *testing.T) {
	x, agent, out := sightTerm(t)
	x.sched.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{{Name: "q", Pool: "p", Attempts: 3, Stretch: 2, Slack: time.Second}}})
	now := steady.Now()
	x.sched.SetInstances(now, []batch.Instance{{
		ID: sightVM, Pool: "p", Address: "10.0.0.1:1", Capacity: batch.Resources{MilliCPU: 1000, MemoryMB: 100},
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

	agent.failed = func() { x.tenure.End() }
	x.start(t.Context(), orders[1], func(time.Duration) {})
	require.Equal(t, orders[1].Task.String(), out.line(t, "start_abandoned")["task"])

	calls := 0
	x.tenure.ended = false
	agent.failed = func() {
		if calls++; calls == 2 {
			x.tenure.End()
		}
	}
	x.stopSince(t.Context(), orders[0], steady.Now()-stopFor+time.Millisecond)
	require.Equal(t, "timed out", out.line(t, "stop_unconfirmed")["error"])
	require.Equal(t, 2, calls, "goes on after the line")
}

// What happened: a task was started a second after its end had been acknowledged.
// Sequence: a start has no answer; a copy of the run elsewhere is done, so that the run
// is ordered to stop; the next try of the start is made, and carried out.
// Cause: whether a start is still wanted was asked before its first try only.
func TestStartThatIsNotWantedAnyMoreIsNotTriedAgain(t *testing.T) {
	x, agent, _ := sightTerm(t)
	x.sched.SetConfig(&batch.Config{Version: 1, Queues: []batch.Queue{{Name: "q", Pool: "p", Attempts: 3, Stretch: 2, Slack: time.Second}}})
	now := steady.Now()
	x.sched.SetInstances(now, []batch.Instance{{
		ID: sightVM, Pool: "p", Address: "10.0.0.1:1", Capacity: batch.Resources{MilliCPU: 1000, MemoryMB: 100},
	}})
	step := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second}
	x.sched.Submit(now, scheduler.Submission{Job: &batch.Job{ID: "j", Payload: "p", Steps: []batch.Step{step}}, Queue: "q", Pool: "p"})
	orders := x.sched.Plan(now)
	require.Len(t, orders, 1)
	agent.err = errors.New("timed out")
	calls := 0
	agent.failed = func() {
		calls++
		x.mu.Lock()
		defer x.mu.Unlock()
		x.sched.Cancel(steady.Now(), "j")
	}
	x.start(t.Context(), orders[0], func(time.Duration) {})
	require.Equal(t, 1, calls)
}

// A process that doesn't lead has no figures; one that leads has them.
func TestFiguresOfALeader(t *testing.T) {
	x, _, _ := sightTerm(t)
	_, leading := x.Figures()
	require.False(t, leading)
	x.setTerm(x)
	f, leading := x.Figures()
	require.True(t, leading)
	require.True(t, f.Confirmed)
	require.Equal(t, int64(7), f.Fence)
	require.Equal(t, 1, f.VMs)
	x.tenure.End()
	_, leading = x.Figures()
	require.False(t, leading)
}
