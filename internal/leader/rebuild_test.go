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

// memoryStore is a store that keeps what is written, and loses the answer of the first
// write of a key.
type memoryStore struct {
	values map[string]string
	// lostKey is the key, lost whether its first write's answer is lost already.
	lostKey string
	hasLost bool
	// unreadableKey is a key whose reads have no answer.
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

// newRebuildTerm is the term of a leader that is to read what earlier ones left.
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

// leadersByNode answers as the process at an address does.
type leadersByNode map[string]*Leader

func (b leadersByNode) LeasesLeft(_ context.Context, past PastTenure, _ int64, vms []string) (LeaseReport, error) {
	l := b[past.Node]
	if l == nil {
		return LeaseReport{}, durable.ErrUnknown
	}
	return l.LeasesLeft(past.Fence, vms), nil
}

// What happened: a leader went on being the leader and did nothing: no hold was sent
// and nothing planned, for as long as its process lived.
// Sequence: a new leader writes itself into the record of tenures while it reads what
// earlier ones left; a later step of the same reading fails, or the answer of that
// write is lost, and it begins anew. Now the record names its own tenure as an earlier
// one. A VM is silent, so that it asks its predecessors, itself among them.
// Cause: the question how long leases of a tenure may last keeps that tenure from
// taking further ones, also where the asker's own tenure is the one asked about.
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
	asking, stop := context.WithTimeout(t.Context(), 2*predecessorsDelay)
	defer stop()
	te.predecessorsLoop(asking)
	require.True(t, te.tenure.MayAct())
	ok, err := te.holdOnce(t.Context(), &batch.Instance{ID: "vm", Address: "a"}, 0, &holdFailures{})
	require.NoError(t, err)
	require.True(t, ok, "a leader that may act sends no hold any more")
	require.EqualValues(t, 1, agents.sent.Load())
	for _, p := range te.pastTenures {
		require.NotEqual(t, te.tenure.Fence, p.Fence, "its own tenure is taken for an earlier one")
	}
}

// What happened: VMs that were back after a cut stood idle for good.
// Sequence: a new leader's read of which leases have run out has no answer; it leads
// without, and records the list of VMs, which has changed.
// Cause: what was not read was replaced by what this leader knows, which is nothing.
func TestUnreadExpiredLeasesAreNotReplaced(t *testing.T) {
	store := &memoryStore{values: map[string]string{instancesKey: `{"old":"b"}`, expiredLeasesKey: `{"cut":77}`}, unreadableKey: expiredLeasesKey}
	te := newRebuildTerm(t, store)
	_, err := te.rebuild(t.Context())
	require.NoError(t, err)
	require.Contains(t, store.values[instancesKey], `"vm"`)
	require.Contains(t, store.values[expiredLeasesKey], `"cut":77`)
}

// What happened: the end of a task was acknowledged and forgotten, and the task was
// started again by the next leader.
// Sequence: a leader can't read the record of a job, which a process of another version
// has written. A VM tells that a run of the job has ended well. The leader doesn't know
// the job and asks the store, which has it.
// Cause: a job whose record can't be read counted as one that does not exist, so that
// what VMs tell of it has no effect.
func TestJobThatCannotBeReadIsNotAbsent(t *testing.T) {
	te := newReportedTerm(map[string]string{JobKey("j"): `{"queue":"q","job":`},
		batch.RunEnd{Seq: 1, Task: batch.TaskID{Job: "j"}, Run: 7, Kind: batch.EndDone})
	require.NoError(t, te.readUnknownJob(t.Context(), "j"))
	require.Zero(t, te.flushAndGetAcked(), "the end of a job that the store has was acknowledged without a record")
}

// What happened: two runs of one task at once, some seconds after a change of leader.
// Sequence: a job is handed in just after the election, by a process whose time of day
// is seconds ahead. The deposed leader, which has not heard of it yet, takes the job up
// and starts it on a VM that the next leader does not reach. That one's watch tells it
// of the job late, and it starts the job at once.
// Cause: whether an earlier leader may have known the job was worked out from two clocks
// of the time of day, which may differ by seconds.
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
	// Handed in 3.9 s ago, by a clock that is 6 s ahead.
	job := durable.Item{
		Key:     JobKey("j"),
		Value:   []byte(`{"queue":"q","pool":"p","submitted_ms":1000002100,"job":{"steps":[{"tasks":1,"need":{}}]}}`),
		Created: 40, Revision: 40,
	}
	te.observeJobs([]durable.Item{job}, false)
	for _, o := range te.sched.Plan(steady.Now()) {
		require.NotEqual(t, scheduler.OrderStart, o.Kind, "started while an earlier leader's run may be on the silent VM")
	}
}

// oneVMAgents answers for one VM and reaches no other.
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

// What happened: nothing was started anywhere while some VMs were cut off.
// Sequence: VMs are cut off with many starts on their way, which are to be stopped since
// nobody knows whether they were carried out; the stops are repeated until they are
// confirmed.
// Cause: a stop holds its place among the orders under way for as long as it is repeated.
func TestRepeatedStopsDoNotBlockStarts(t *testing.T) {
	te := newTerm(t, nil, 0)
	te.directCalls = make(chan struct{}, maxConcurrentOrders)
	te.Config = func() *batch.Config { return nil }
	agents := oneVMAgents{started: make(chan string, 1)}
	te.Agents = agents
	room := batch.Resources{MilliCPU: 1_000_000, MemoryMB: 1000}
	now := steady.Now()
	te.sched.SetInstances(now, []batch.Instance{{ID: "cut", Pool: "cut", Address: "a", Capacity: room}, {ID: "vm", Pool: "p", Address: "b", Capacity: room}})
	hear := func() {
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
	hear()
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		te.work.Wait()
	}()
	for range 20 {
		te.plan(ctx, 0)
		time.Sleep(10 * time.Millisecond)
	}
	hear()
	te.sched.Submit(steady.Now(), scheduler.Submission{Job: &batch.Job{ID: "j", Steps: []batch.Step{{Tasks: 1, Need: batch.Resources{MilliCPU: 100}}}}, Pool: "p"})
	for range 30 {
		te.plan(ctx, 0)
		time.Sleep(100 * time.Millisecond)
		hear()
		te.tenure.renewed(steady.Now())
	}
	select {
	case <-agents.started:
	default:
		require.Fail(t, "not begun in 3 s on a VM that answers")
	}
}
