package leader

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// testLease is the lease duration of the tenures in these tests.
const testLease = 8 * time.Second

// newLeadingTerm returns a leader whose tenure of fence 9 has just renewed the lease of "vm".
func newLeadingTerm() (*Leader, *term) {
	te := newReportedTerm(nil)
	te.Settings = scheduler.Settings{MaxLease: testLease}
	te.sched = scheduler.New(te.Settings, 9, nil)
	now := steady.Now()
	te.sched.SetInstances(now, []batch.Instance{{ID: "vm", Pool: "p", Address: "a"}})
	te.sched.HandleReport(now, now, "vm", batch.Report{Clock: time.Hour})
	te.sched.Hold(now, "vm", 0)
	te.tenure = &Tenure{Fence: 9, cancel: func() {}, renewedAt: now}
	te.setTerm(te)
	return te.Leader, te
}

// A current leader reports when its leases expire, and renews none afterwards.
func TestLeasesLeftOfCurrentTenure(t *testing.T) {
	l, te := newLeadingTerm()
	report := l.LeasesLeft(9, []string{"vm", "never held"})
	require.True(t, report.Remembered)
	remaining := report.Remaining
	require.Greater(t, remaining[0], testLease)
	require.Less(t, remaining[0], testLease+time.Second)
	require.Zero(t, remaining[1])
	_, err := te.holdOnce(t.Context(), &batch.Instance{ID: "vm"}, 0, &holdFailures{})
	require.NoError(t, err, "a hold was sent after the leases were reported")
}

// The process remembers the leases of a tenure that has ended.
func TestLeasesLeftOfEndedTenure(t *testing.T) {
	l, te := newLeadingTerm()
	l.endTerm(te)
	require.Nil(t, l.currentTerm())
	report := l.LeasesLeft(9, []string{"vm"})
	require.True(t, report.Remembered)
	require.Greater(t, report.Remaining[0], testLease)
}

// An unknown tenure belongs to an earlier incarnation of the process, whose leases were all
// renewed before this one began.
func TestLeasesLeftOfUnknownTenure(t *testing.T) {
	l, _ := newLeadingTerm()
	report := l.LeasesLeft(4, []string{"vm"})
	require.False(t, report.Remembered)
	require.LessOrEqual(t, report.Remaining[0], l.Settings.TakeoverWait(0)-steady.Now()+time.Second)
}

// The reported leases include those of VMs that the leader itself still awaits, which may run
// tasks of its predecessor.
func TestLeasesLeftIncludeEarlierLeaders(t *testing.T) {
	l, te := newLeadingTerm()
	te.sched.AwaitInstances([]string{"silent"}, steady.Now()+14*time.Second)
	require.Greater(t, l.LeasesLeft(9, []string{"silent"}).Remaining[0], 13*time.Second)
}

// fakePredecessors returns the report of each node that it contains; other nodes are
// unreachable.
type fakePredecessors map[string]LeaseReport

func (f fakePredecessors) LeasesLeft(_ context.Context, p PastTenure, _ int64, _ []string) (LeaseReport, error) {
	report, ok := f[p.Node]
	if !ok {
		return LeaseReport{}, errors.New("unreachable")
	}
	return report, nil
}

func leaseReport(remaining time.Duration, remembered bool) LeaseReport {
	return LeaseReport{Remaining: []time.Duration{remaining}, Remembered: remembered}
}

// An unresponsive VM is awaited until the longest lease reported by any predecessor expires.
// While one does not respond, nothing is shortened.
func TestEveryPredecessorIsAwaited(t *testing.T) {
	_, te := newLeadingTerm()
	now := steady.Now()
	te.sched.AwaitInstances([]string{"silent"}, now+time.Minute)
	te.Predecessors = fakePredecessors{"a": leaseReport(time.Second, false), "b": leaseReport(3*time.Second, false)}
	expiry := map[string]time.Duration{}
	unanswered := te.askPredecessors(t.Context(), []PastTenure{{Node: "a", Fence: 7}, {Node: "b", Fence: 6}, {Node: "dead", Fence: 5}}, expiry)
	require.Equal(t, []PastTenure{{Node: "dead", Fence: 5}}, unanswered)
	te.Predecessors = fakePredecessors{"dead": leaseReport(2*time.Second, false)}
	require.Empty(t, te.askPredecessors(t.Context(), unanswered, expiry))
	te.sched.ShortenWaits(expiry)
	te.sched.ConfirmLeadership(now + time.Minute)
	te.sched.Tick(now + 2900*time.Millisecond)
	require.Equal(t, []string{"silent"}, te.sched.AwaitedInstances())
	te.sched.Tick(steady.Now() + 3100*time.Millisecond)
	require.Empty(t, te.sched.AwaitedInstances())
}

// A process that remembers its tenure covers earlier leaders, but no later ones.
func TestRememberedTenureCoversEarlierOnes(t *testing.T) {
	_, te := newLeadingTerm()
	te.sched.AwaitInstances([]string{"silent"}, steady.Now()+time.Minute)
	te.Predecessors = fakePredecessors{"b": leaseReport(3*time.Second, true)}
	unanswered := te.askPredecessors(t.Context(), []PastTenure{{Node: "a", Fence: 7}, {Node: "b", Fence: 6}, {Node: "dead", Fence: 5}}, map[string]time.Duration{})
	require.Equal(t, []PastTenure{{Node: "a", Fence: 7}}, unanswered)
}

// Guards against losing crashes that a deposed leader could not write: its successor asks it
// at least once, even if it awaits no VM.
func TestPredecessorIsAskedWithoutUnresponsiveVMs(t *testing.T) {
	_, te := newLeadingTerm()
	te.sched.Submit(steady.Now(), scheduler.Submission{Job: &batch.Job{ID: "j", Steps: []batch.Step{{Tasks: 1}}}, Queue: "q", Pool: "p"})
	task := batch.TaskID{Job: "j"}
	te.Predecessors = fakePredecessors{"a": {Remaining: []time.Duration{}, Remembered: true, Crashes: []scheduler.CrashReport{{Task: task, Run: 3, VM: "vm"}}}}
	te.pastTenures, te.pastTenuresComplete = []PastTenure{{Node: "a", Fence: 7}}, true
	te.Store = &unreachableStore{isReachable: true}
	te.predecessorsLoop(t.Context())
	require.Len(t, te.sched.UnrecordedCrashes(), 1)
}

// Guards against tasks that run twice. A leader removed its predecessors from the record while
// it awaited their leases, and died; its successor knew only of its own leases.
func TestPredecessorsStayOnRecordWhileTheirLeasesLast(t *testing.T) {
	_, te := newLeadingTerm()
	store := &unreachableStore{isReachable: true}
	te.Store = store
	te.Predecessors = fakePredecessors{"a": leaseReport(time.Second, true)}
	te.pastTenures, te.pastTenuresComplete = []PastTenure{{Node: "a", Fence: 7}, {Node: "cut off", Fence: 6}}, true
	te.sched.AwaitInstances([]string{"silent"}, steady.Now()+time.Minute)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		te.predecessorsLoop(t.Context())
	}()
	commits := func() int {
		te.mu.Lock()
		defer te.mu.Unlock()
		te.sched.ConfirmLeadership(steady.Now())
		te.sched.Tick(steady.Now())
		if len(te.sched.AwaitedInstances()) > 0 {
			require.Empty(t, store.committed(), "predecessors removed from the record while a lease may last")
		}
		return len(store.committed())
	}
	require.Eventually(t, func() bool { return commits() == 1 }, 5*time.Second, 20*time.Millisecond)
	<-ended
}

// A process that learns of a successor neither continues nor begins a tenure with a lower
// fencing token. The response to its own claim may still be on its way.
func TestSuccessorEndsAndPreventsOlderTenures(t *testing.T) {
	began := make(chan int64, 2)
	e := NewElection(nil, Record{}, 1, newReportedTerm(nil).log, func(_ context.Context, t *Tenure) { began <- t.Fence })
	e.EndTenuresBefore(7)
	e.serveTenure(t.Context(), &Tenure{Fence: 6})
	require.Empty(t, began)
	current := &Tenure{Fence: 8, cancel: func() {}, renewedAt: steady.Now()}
	e.tenure = current
	e.EndTenuresBefore(8)
	require.True(t, current.MayAct())
	e.EndTenuresBefore(9)
	require.False(t, current.MayAct())
}

// leadersUnreached is a set of predecessors that do not respond.
type leadersUnreached struct{}

func (leadersUnreached) LeasesLeft(context.Context, PastTenure, int64, []string) (LeaseReport, error) {
	return LeaseReport{}, errors.New("not reached")
}

// A predecessor that does not respond is logged: its VMs are waited for, and an operator has to see
// why.
func TestUnansweredPredecessorIsLogged(t *testing.T) {
	_, te := newLeadingTerm()
	out := &logBuffer{}
	te.log = eventlog.New(out, logrus.InfoLevel)
	te.Predecessors = leadersUnreached{}
	past := []PastTenure{{Fence: 4, Node: "before"}}
	require.Equal(t, past, te.askPredecessors(t.Context(), past, map[string]time.Duration{}))
	line := out.line(t, "predecessor_unanswered")
	require.Equal(t, "before", line["node"])
	require.Equal(t, "not reached", line["error"])
}
