package leader

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// memoryStore is a store in memory that can lose responses.
type memoryStore struct {
	values map[string]string
	// lostKey is a key whose first write gets no response; hasLost is set after that write.
	lostKey string
	hasLost bool
	// unreadableKey is a key whose reads get no response.
	unreadableKey string
	durable.Store
}

func (s *memoryStore) Get(_ context.Context, key string) (*durable.Item, error) {
	if key == s.unreadableKey {
		return nil, durable.ErrUnknown
	}
	value, ok := s.values[key]
	if !ok {
		return nil, nil
	}
	return &durable.Item{Key: key, Value: []byte(value), Revision: 5}, nil
}

func (s *memoryStore) Range(_ context.Context, prefix string) ([]durable.Item, int64, error) {
	var found []durable.Item
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			found = append(found, durable.Item{Key: key, Value: []byte(value), Revision: 5})
		}
	}
	return found, 5, nil
}

func (s *memoryStore) Commit(_ context.Context, txn durable.Txn) (int64, error) {
	lose := false
	for _, w := range txn.Writes {
		s.values[w.Key] = string(w.Value)
		lose = lose || (w.Key == s.lostKey && !s.hasLost)
	}
	for _, key := range txn.Deletes {
		delete(s.values, key)
	}
	if lose {
		s.hasLost = true
		return 0, durable.ErrUnknown
	}
	return 6, nil
}

// newRebuildTerm returns the term of a leader that has yet to read the state of earlier
// leaders.
func newRebuildTerm(t *testing.T, store durable.Store) *term {
	te := newTerm(t, store, 0)
	te.Node, te.Address = "self", "y"
	te.recordedInstances, te.unackedEnds = instanceAddresses{}, map[string]unackedEnds{}
	te.tenure.Fence = 9
	te.Settings = scheduler.Settings{MaxLease: testLease}
	te.sched = scheduler.New(te.Settings, 9, nil)
	te.Config = func() *batch.Config { return nil }
	te.Instances = func(context.Context) ([]batch.Instance, error) {
		return []batch.Instance{{ID: "vm", Pool: "p", Address: "a"}}, nil
	}
	return te
}

// leadersByNode forwards each request to the leader at the node.
type leadersByNode map[string]*Leader

func (b leadersByNode) LeasesLeft(_ context.Context, past PastTenure, _ int64, vms []string) (LeaseReport, error) {
	l := b[past.Node]
	if l == nil {
		return LeaseReport{}, durable.ErrUnknown
	}
	return l.LeasesLeft(past.Fence, vms), nil
}

// Guards against a leader that sends no holds and plans nothing for the life of its process.
// It records its tenure during a rebuild that then fails, or whose write gets no response; the
// repeated rebuild reads its own tenure as an earlier one. As a VM is unresponsive, it asks
// its predecessors, including itself, which closes its tenure.
func TestRepeatedRebuildDoesNotCloseOwnTenure(t *testing.T) {
	store := &memoryStore{
		values: map[string]string{
			instancesKey: `{"vm":"a","silent":"b"}`,
			tenuresKey:   `[{"fence":1,"node":"before","address":"x"}]`,
		},
		lostKey: tenuresKey,
	}
	te := newRebuildTerm(t, store)
	agents := &countingAgents{}
	te.Agents = agents
	_, err := te.rebuild(t.Context())
	require.NoError(t, err)
	te.setTerm(te)

	te.Predecessors = leadersByNode{"self": te.Leader}
	askCtx, cancel := context.WithTimeout(t.Context(), 2*predecessorsDelay)
	defer cancel()
	te.predecessorsLoop(askCtx)
	require.True(t, te.tenure.MayAct())
	ok, err := te.holdOnce(t.Context(), &batch.Instance{ID: "vm", Address: "a"}, 0, &holdFailures{})
	require.NoError(t, err)
	require.True(t, ok, "a leader that may act sends no hold")
	require.EqualValues(t, 1, agents.sent.Load())
	for _, p := range te.pastTenures {
		require.NotEqual(t, te.tenure.Fence, p.Fence, "the own tenure is treated as an earlier one")
	}
}

// Guards against VMs that stay idle after a cut. A new leader's read of the expired leases
// gets no response, and it leads without them and records a changed list of VMs. What could
// not be read must not be overwritten.
func TestUnreadExpiredLeasesAreNotReplaced(t *testing.T) {
	store := &memoryStore{values: map[string]string{instancesKey: `{"old":"b"}`, expiredLeasesKey: `{"cut":77}`}, unreadableKey: expiredLeasesKey}
	te := newRebuildTerm(t, store)
	_, err := te.rebuild(t.Context())
	require.NoError(t, err)
	require.Contains(t, store.values[instancesKey], `"vm"`)
	require.Contains(t, store.values[expiredLeasesKey], `"cut":77`)
}

// Guards against starting a task again whose end was acknowledged and forgotten. A VM reports
// the end of a run whose job is unknown to the leader, and the stored record of the job can't
// be read because a process of another version has written it. The job must not count as
// absent.
func TestJobThatCannotBeReadIsNotAbsent(t *testing.T) {
	te := newReportedTerm(map[string]string{JobKey("j"): `{"queue":"q","job":`},
		batch.RunEnd{Seq: 1, Task: batch.TaskID{Job: "j"}, Run: 7, Kind: batch.EndDone})
	require.NoError(t, te.readUnknownJob(t.Context(), "j"))
	require.Zero(t, te.flushAndGetAcked(), "the end of a stored job was acknowledged without a record")
}

// Guards against two concurrent runs of a task a few seconds after a change of leader. A job
// is submitted just after the election by a process whose wall clock is seconds ahead. The
// deposed leader, not yet aware of the election, accepts the job and starts it on a VM that is
// unreachable for the new leader, whose watch delivers the job late. Whether an earlier leader
// may know a job must not be derived from two wall clocks.
func TestJobSubmittedByAFastClock(t *testing.T) {
	te := newTerm(t, nil, 0)
	now := steady.Now()
	began := now - 4*time.Second
	vms := []batch.Instance{
		{ID: "vm", Pool: "p", Address: "a", Capacity: batch.Resources{MilliCPU: 1000, MemoryMB: 1000}},
		{ID: "silent", Pool: "p", Address: "b", Capacity: batch.Resources{MilliCPU: 1000, MemoryMB: 1000}},
	}
	te.sched.SetInstances(began, vms)
	te.sched.AwaitInstances([]string{"vm", "silent"}, began+14*time.Second)
	te.sched.HandleReport(now, now, "vm", batch.Report{Clock: time.Hour})
	const wall = 1_000_000_000
	te.WallMS = func() int64 { return wall }
	// Submitted 3.9 s ago, by a clock that is 6 s ahead.
	job := durable.Item{
		Key:     JobKey("j"),
		Value:   []byte(`{"queue":"q","pool":"p","submitted_ms":1000002100,"job":{"steps":[{"tasks":1,"need":{}}]}}`),
		Created: 40, Revision: 40,
	}
	te.observeJobs([]durable.Item{job}, false)
	for _, o := range te.sched.Plan(steady.Now()) {
		require.NotEqual(t, scheduler.OrderStart, o.Kind, "started while an earlier leader's run may be on the unresponsive VM")
	}
}

// oneVMAgents starts tasks on "vm" and reaches no other VM.
type oneVMAgents struct {
	Agents
	started chan string
}

func (a oneVMAgents) Start(_ context.Context, inst *batch.Instance, o batch.StartOrder) (time.Duration, error) {
	if inst.ID != "vm" {
		return 0, durable.ErrUnknown
	}
	a.started <- o.Task.Job
	return time.Hour, nil
}

func (a oneVMAgents) Stop(context.Context, *batch.Instance, batch.TaskID, int64, int64) error {
	return durable.ErrUnknown
}

// Guards against a cut of some VMs that blocks all starts. Many starts to them are under way
// and have to be stopped, as their outcome is unknown, and the stops are repeated until they
// are confirmed. A repeated stop must not keep its slot among the concurrent calls between
// attempts.
func TestRepeatedStopsDoNotBlockStarts(t *testing.T) {
	te := newTerm(t, nil, 0)
	te.directCalls = make(chan struct{}, maxConcurrentOrders)
	te.Config = func() *batch.Config { return nil }
	agents := oneVMAgents{started: make(chan string, 1)}
	te.Agents = agents
	capacity := batch.Resources{MilliCPU: 1_000_000, MemoryMB: 1000}
	now := steady.Now()
	te.sched.SetInstances(now, []batch.Instance{{ID: "cut", Pool: "cut", Address: "a", Capacity: capacity}, {ID: "vm", Pool: "p", Address: "b", Capacity: capacity}})
	report := func() {
		now := steady.Now()
		te.mu.Lock()
		defer te.mu.Unlock()
		for _, id := range []string{"cut", "vm"} {
			te.sched.Hold(now, id, time.Second)
		}
		te.sched.HandleReport(now, now, "vm", batch.Report{Clock: time.Hour})
	}
	te.sched.HandleReport(now, now, "cut", batch.Report{Clock: time.Hour})
	te.sched.Hold(now, "cut", time.Second)
	te.sched.Submit(now, scheduler.Submission{Job: &batch.Job{ID: "cut", Steps: []batch.Step{{Tasks: 2 * maxConcurrentOrders, Need: batch.Resources{MilliCPU: 100}}}}, Pool: "cut"})
	report()
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		te.work.Wait()
	}()
	for range 20 {
		te.plan(ctx, 0)
		time.Sleep(10 * time.Millisecond)
	}
	report()
	te.sched.Submit(steady.Now(), scheduler.Submission{Job: &batch.Job{ID: "j", Steps: []batch.Step{{Tasks: 1, Need: batch.Resources{MilliCPU: 100}}}}, Pool: "p"})
	for range 30 {
		te.plan(ctx, 0)
		time.Sleep(100 * time.Millisecond)
		report()
		te.tenure.renewed(steady.Now())
	}
	select {
	case <-agents.started:
	default:
		require.Fail(t, "not started within 3 s on a responsive VM")
	}
}
