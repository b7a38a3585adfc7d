package leader

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// unreachableStore is a store that does not answer until it is back.
type unreachableStore struct {
	durable.Store
	isReachable bool
	items       map[string]durable.Item

	mu      sync.Mutex
	commits []durable.Txn
}

func (s *unreachableStore) committed() []durable.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// commitRevision is the revision of what unreachableStore writes.
const commitRevision = 9

func (s *unreachableStore) Get(_ context.Context, key string) (*durable.Item, error) {
	if !s.isReachable {
		return nil, durable.ErrUnknown
	}
	if item, ok := s.items[key]; ok {
		return &item, nil
	}
	return nil, nil
}

func (s *unreachableStore) Commit(_ context.Context, txn durable.Txn) (int64, error) {
	if !s.isReachable {
		return 0, durable.ErrUnknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits = append(s.commits, txn)
	return commitRevision, nil
}

// countingAgents counts the holds that are sent.
type countingAgents struct {
	Agents
	sent atomic.Int64
}

func (a *countingAgents) Hold(context.Context, *batch.Instance, batch.HoldOrder) (batch.Report, error) {
	a.sent.Add(1)
	return batch.Report{}, nil
}

// newTerm is the term of a leader that renewed its lease a while ago.
func newTerm(t *testing.T, store durable.Store, renewed time.Duration) *term {
	_, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &term{
		Leader: &Leader{Store: store, WallMS: func() int64 { return 0 }},
		tenure: &Tenure{Fence: 1, renewedAt: steady.Now() - renewed, cancel: cancel},
		log:    eventlog.New(io.Discard, logrus.ErrorLevel), planRequested: make(chan struct{}, 1), directCalls: make(chan struct{}, maxConcurrentOrders), startWindow: newStartWindow(maxConcurrentOrders), backlog: scheduler.NewBacklog(),
		sched: scheduler.New(scheduler.Settings{}, 1, nil), removed: removals{}, cancelledEarly: map[string]time.Duration{},
	}
}

var queuedJobItem = durable.Item{Key: JobKey("j"), Value: []byte(`{"queue":"q","pool":"p","job":{"steps":[{"tasks":1,"need":{}}]}}`)}

// What happened: a lease was renewed on a VM that the next leader did not reach and
// had waited out; the VM's tasks ran there and elsewhere.
// Sequence: a process is suspended between the question whether it may act and the
// look at the clock from which the lease is counted; it wakes seconds later.
// Cause: the question was asked before the clock was read.
func TestNoLeaseFromAMomentThatWasNotAskedAbout(t *testing.T) {
	te := newTerm(t, nil, maxUnrenewedTenure+time.Second)
	agents := &countingAgents{}
	te.Agents = agents
	inst := batch.Instance{ID: "vm", Address: "10.0.0.1:1"}
	te.sched.SetInstances(steady.Now(), []batch.Instance{inst})
	_, _ = te.holdOnce(context.Background(), &inst, 0, &holdFailures{})
	require.Zero(t, agents.sent.Load())
}

// What happened: two leaders started the same new job.
// Sequence: a leader finds that it is confirmed and waits for its turn to take a job
// up; meanwhile its lease runs out, and another leads.
// Cause: it did not ask again once it had its turn.
func TestJobIsAcceptedOnlyWhileConfirmed(t *testing.T) {
	te := newTerm(t, nil, 0)
	te.mu.Lock()
	taken := make(chan struct{})
	go func() {
		defer close(taken)
		te.observeJobs([]durable.Item{queuedJobItem}, false)
	}()
	time.Sleep(3 * confirmPollInterval)
	te.tenure.renewed(steady.Now() - 3*time.Second)
	te.mu.Unlock()
	time.Sleep(3 * confirmPollInterval)
	te.mu.Lock()
	_, known := te.sched.State("j")
	te.mu.Unlock()
	require.False(t, known, "taken up by a leader that may have been deposed")
	te.tenure.End()
	<-taken
}

// What happened: a job that had ended was executed again from the beginning.
// Sequence: a leader forgets a job that ended long ago, and the store does not
// answer when its keys are to be removed; later the watch has lost its history, and
// the leader reads all jobs that there are.
// Cause: a job that the leader had forgotten was taken for a new one, though its
// keys were there still.
func TestForgottenJobIsNotResubmitted(t *testing.T) {
	store := &unreachableStore{}
	te := newTerm(t, store, 0)
	long := steady.Now() - 2*endedJobRetention
	te.sched.Submit(long, scheduler.Submission{Job: &batch.Job{ID: "j", Steps: []batch.Step{{Tasks: 1}}}, Cancelled: true})
	te.sched.RecordWritten(te.sched.PendingWrites().Records[0], 1)
	te.forget(context.Background())
	old := queuedJobItem
	old.Created = 5
	te.observeJobs([]durable.Item{old}, true)
	state, known := te.sched.State("j")
	require.True(t, !known || state == batch.Cancelled, "executed again: %s", state)

	store.isReachable = true
	te.forget(context.Background())
	require.Len(t, store.commits, 1, "removed when the store is back")
	require.Contains(t, store.commits[0].Deletes, JobKey("j"))
	te.forget(context.Background())
	require.Len(t, store.commits, 1, "removed once")
	te.observeJobs([]durable.Item{old}, true)
	_, known = te.sched.State("j")
	require.False(t, known, "a read that began before the removal")

	again := old
	again.Created = commitRevision + 1
	te.observeJobs([]durable.Item{again}, false)
	_, known = te.sched.State("j")
	require.True(t, known, "handed in anew after the removal")
}

// What happened: what leaders had learned of interference was lost with a change of
// leader.
// Sequence: the new leader reads the model and gets no answer; seconds later it
// stores what it has learned by itself.
// Cause: a model that was not read counted as one that does not exist.
func TestUnreadModelIsNotReplaced(t *testing.T) {
	model := []byte(`{"images":["fill"],"pairs":{"web":{"a":[[1,0],[0,1]],"b":[1,1]}}}`)
	store := &unreachableStore{items: map[string]durable.Item{modelKey: {Key: modelKey, Value: model, Revision: 3}}}
	te := newTerm(t, store, 0)
	te.loadModel(context.Background())
	te.sched.SetInterferenceModel(scheduler.InterferenceModel{Pairs: map[string]scheduler.NormalEquations{"other": {}}})
	store.isReachable = true
	require.NoError(t, te.storeModel(context.Background()))
	require.Contains(t, te.sched.InterferenceModel().Pairs, "web")
	for _, txn := range store.commits {
		require.Contains(t, string(txn.Writes[0].Value), `"web"`)
	}
}

// What happened: a VM that is up and listed got nothing new, and what it ran lapsed.
// Sequence: the scheduler takes the VM out, and its hold loop ends; the VM is on the
// list again before the leader has looked which VMs are held.
// Cause: a loop that had ended counted as one that holds the VM.
func TestRelistedInstanceIsHeldAgain(t *testing.T) {
	te := newTerm(t, nil, 0)
	agents := &countingAgents{}
	te.Agents = agents
	ctx, cancel := context.WithCancel(context.Background())
	te.holds = map[string]context.CancelFunc{"vm": cancel}
	inst := batch.Instance{ID: "vm", Address: "10.0.0.1:1"}
	ok, _ := te.holdOnce(ctx, &inst, 0, &holdFailures{})
	require.False(t, ok, "the scheduler does not know it")

	te.sched.SetInstances(steady.Now(), []batch.Instance{inst})
	tenure, end := context.WithCancel(context.Background())
	te.syncHolds(tenure)
	require.Eventually(t, func() bool { return agents.sent.Load() > 0 }, time.Second, time.Millisecond)
	end()
	te.work.Wait()
}

// What happened: a task waited for ever.
// Sequence: a start has no answer, so that its run is to be stopped; the VM answers
// its holds and refuses stops for half a minute.
// Cause: the stop was given up while its run still counted, as if a lease had run
// out that each hold renews.
func TestStopIsRepeatedWhileItsRunCounts(t *testing.T) {
	te := newTerm(t, nil, 0)
	inst := batch.Instance{ID: "vm", Pool: "p", Address: "10.0.0.1:1", Capacity: batch.Resources{MilliCPU: 1000, MemoryMB: 1000}}
	now := steady.Now()
	te.sched.SetInstances(now, []batch.Instance{inst})
	te.sched.HandleReport(now, now, "vm", batch.Report{Clock: time.Hour})
	te.sched.Submit(now, scheduler.Submission{Job: &batch.Job{ID: "j", Steps: []batch.Step{{Tasks: 1}}}, Pool: "p"})
	start := te.sched.Plan(now)[0]
	te.sched.Started(now, now, start, 0, "", true)
	stop := te.sched.Plan(now)[0]
	require.Equal(t, scheduler.OrderStop, stop.Kind)
	require.True(t, te.shouldRepeatStop(stop, stopRetryDuration+time.Second))
	te.sched.Stopped(now, stop)
	require.False(t, te.shouldRepeatStop(stop, stopRetryDuration+time.Second))

	stop.Run++
	require.True(t, te.shouldRepeatStop(stop, stopRetryDuration-time.Second), "a run that the leader did not start")
	require.False(t, te.shouldRepeatStop(stop, stopRetryDuration+time.Second))
}

// What happened: a job was executed after its caller had been told that it is
// cancelled.
// Sequence: the announcement of the job is lost, and the watch tells nothing for a
// while; the cancellation is announced; then the watch tells of the job, and of its
// cancellation only with its next answer.
// Cause: the cancellation of a job that was not known was forgotten.
func TestCancellationBeforeItsJob(t *testing.T) {
	te := newTerm(t, nil, 0)
	te.observeJobs([]durable.Item{{Key: CancelKey("j")}}, false)
	te.observeJobs([]durable.Item{queuedJobItem}, false)
	state, known := te.sched.State("j")
	require.True(t, known)
	require.Equal(t, batch.Cancelled, state)
}

// A VM that had started again under its ID at another address was held at the old one for
// as long as its leader led, and got nothing.
func TestHoldFollowsItsVMToAnotherAddress(t *testing.T) {
	te := newTerm(t, nil, 0)
	te.Agents = &countingAgents{}
	inst := batch.Instance{ID: "vm", Address: "10.0.0.1:1", Born: 1}
	te.sched.SetInstances(steady.Now(), []batch.Instance{inst})
	moved := inst
	moved.Address, moved.Born = "10.0.0.2:1", 2
	te.sched.SetInstances(steady.Now(), []batch.Instance{moved})
	_, _ = te.holdOnce(t.Context(), &inst, 0, &holdFailures{})
	require.Equal(t, "10.0.0.2:1", inst.Address)
}
