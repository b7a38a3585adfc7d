package leader

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// testLease is what the tests' tenures take on VMs.
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

// A leader that goes on says when its leases are over, and takes no further ones.
func TestLeasesLeftOfCurrentTenure(t *testing.T) {
	l, te := newLeadingTerm()
	said := l.LeasesLeft(9, []string{"vm", "never held"})
	require.True(t, said.Remembered)
	left := said.Remaining
	require.Greater(t, left[0], testLease)
	require.Less(t, left[0], testLease+time.Second)
	require.Zero(t, left[1])
	_, err := te.holdOnce(t.Context(), &batch.Instance{ID: "vm"}, 0, &holdFailures{})
	require.NoError(t, err, "a hold was sent after the leases were told")
}

// After its end the process still knows.
func TestLeasesLeftOfEndedTenure(t *testing.T) {
	l, te := newLeadingTerm()
	l.endTerm(te)
	require.Nil(t, l.currentTerm())
	said := l.LeasesLeft(9, []string{"vm"})
	require.True(t, said.Remembered)
	require.Greater(t, said.Remaining[0], testLease)
}

// A tenure that the process does not know was that of its earlier life: whatever it
// took was taken before this life began.
func TestLeasesLeftOfUnknownTenure(t *testing.T) {
	l, _ := newLeadingTerm()
	said := l.LeasesLeft(4, []string{"vm"})
	require.False(t, said.Remembered)
	require.LessOrEqual(t, said.Remaining[0], l.Settings.TakeoverWait(0)-steady.Now()+time.Second)
}

// A leader tells of the VMs that it waits for itself, too: they may run what the one
// before it started.
func TestLeasesLeftIncludeEarlierLeaders(t *testing.T) {
	l, te := newLeadingTerm()
	te.sched.AwaitInstances([]string{"silent"}, steady.Now()+14*time.Second)
	require.Greater(t, l.LeasesLeft(9, []string{"silent"}).Remaining[0], 13*time.Second)
}

// fakePredecessors answers for the nodes that it names; the others are out of reach.
type fakePredecessors map[string]LeaseReport

func (a fakePredecessors) LeasesLeft(_ context.Context, p PastTenure, _ int64, _ []string) (LeaseReport, error) {
	said, ok := a[p.Node]
	if !ok {
		return LeaseReport{}, errors.New("unreachable")
	}
	return said, nil
}

func leaseReport(d time.Duration, remembered bool) LeaseReport {
	return LeaseReport{Remaining: []time.Duration{d}, Remembered: remembered}
}

// A silent VM is waited for until the longest lease that any predecessor tells of is
// over; while one does not answer, nothing is shortened.
func TestEveryPredecessorIsAwaited(t *testing.T) {
	_, te := newLeadingTerm()
	now := steady.Now()
	te.sched.AwaitInstances([]string{"silent"}, now+time.Minute)
	te.Predecessors = fakePredecessors{"a": leaseReport(time.Second, false), "b": leaseReport(3*time.Second, false)}
	said := map[string]time.Duration{}
	open := te.askPredecessors(t.Context(), []PastTenure{{Node: "a", Fence: 7}, {Node: "b", Fence: 6}, {Node: "dead", Fence: 5}}, said)
	require.Equal(t, []PastTenure{{Node: "dead", Fence: 5}}, open)
	te.Predecessors = fakePredecessors{"dead": leaseReport(2*time.Second, false)}
	require.Empty(t, te.askPredecessors(t.Context(), open, said))
	te.sched.ShortenWaits(said)
	te.sched.ConfirmLeadership(now + time.Minute)
	te.sched.Tick(now + 2900*time.Millisecond)
	require.Equal(t, []string{"silent"}, te.sched.AwaitedInstances())
	te.sched.Tick(steady.Now() + 3100*time.Millisecond)
	require.Empty(t, te.sched.AwaitedInstances())
}

// Who remembers its tenure speaks for the leaders before it, and for none after it.
func TestRememberedTenureCoversEarlierOnes(t *testing.T) {
	_, te := newLeadingTerm()
	te.sched.AwaitInstances([]string{"silent"}, steady.Now()+time.Minute)
	te.Predecessors = fakePredecessors{"b": leaseReport(3*time.Second, true)}
	open := te.askPredecessors(t.Context(), []PastTenure{{Node: "a", Fence: 7}, {Node: "b", Fence: 6}, {Node: "dead", Fence: 5}}, map[string]time.Duration{})
	require.Equal(t, []PastTenure{{Node: "a", Fence: 7}}, open)
}

// Guards against counts of VMs that ended under a task which a deposed leader could not write:
// its successor asks it once, also where it waits for no VM.
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

// Guards against work that runs twice: a leader took its predecessors off the record while it
// waited for leases of theirs, died, and its successor knew of its own leases only.
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
			require.Empty(t, store.committed(), "off the record while a lease may last")
		}
		return len(store.committed())
	}
	require.Eventually(t, func() bool { return commits() == 1 }, 5*time.Second, 20*time.Millisecond)
	<-ended
}

// A process that is told of a successor neither goes on nor begins a tenure with a
// lower fencing token: the answer to its own claim may be on its way.
func TestSuccessorEndsAndPreventsOlderTenures(t *testing.T) {
	began := make(chan int64, 2)
	e := NewElection(nil, Record{}, 1, newReportedTerm(nil).log, func(_ context.Context, t *Tenure) { began <- t.Fence })
	e.EndTenuresBefore(7)
	e.serveTenure(t.Context(), &Tenure{Fence: 6})
	require.Empty(t, began)
	going := &Tenure{Fence: 8, cancel: func() {}, renewedAt: steady.Now()}
	e.tenure = going
	e.EndTenuresBefore(8)
	require.True(t, going.MayAct())
	e.EndTenuresBefore(9)
	require.False(t, going.MayAct())
}
