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

// unreachableStore is a store that does not respond until isReachable is set.
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

// commitRevision is the revision of each commit to unreachableStore.
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

// newTerm returns the term of a leader whose lease was renewed the given time ago.
func newTerm(t *testing.T, store durable.Store, sinceRenewed time.Duration) *term {
	_, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &term{
		Leader: &Leader{
			Store: store, WallMS: func() int64 { return 0 },
			Evacuations: func() *batch.Evacuations { return &batch.Evacuations{} }, ReadEvacuations: func(context.Context) error { return nil },
		},
		tenure: &Tenure{Fence: 1, renewedAt: steady.Now() - sinceRenewed, cancel: cancel},
		log:    eventlog.New(io.Discard, logrus.ErrorLevel), planRequested: make(chan struct{}, 1), directCalls: make(chan struct{}, maxConcurrentOrders), startWindow: newStartWindow(maxConcurrentOrders), backlog: scheduler.NewBacklog(),
		sched: scheduler.New(scheduler.Settings{}, 1, nil), removed: removals{}, cancelledEarly: map[string]time.Duration{},
	}
}

var queuedJobItem = durable.Item{Key: JobKey("j"), Value: []byte(`{"queue":"q","pool":"p","job":{"steps":[{"tasks":1,"need":{}}]}}`)}

// Guards against renewing a lease on a VM that the next leader did not reach and no longer
// awaits, so that tasks run both there and elsewhere. A process is suspended between checking
// whether it may act and reading the clock from which the lease is counted, and resumes
// seconds later. The clock must be read before the check.
func TestNoLeaseFromAMomentThatWasNotAskedAbout(t *testing.T) {
	te := newTerm(t, nil, maxUnrenewedTenure+time.Second)
	agents := &countingAgents{}
	te.Agents = agents
	inst := batch.Instance{ID: "vm", Address: "10.0.0.1:1"}
	te.sched.SetInstances(steady.Now(), []batch.Instance{inst})
	_, _ = te.holdOnce(context.Background(), &inst, 0, &holdFailures{})
	require.Zero(t, agents.sent.Load())
}

// Guards against two leaders starting the same new job. A leader finds that it is confirmed
// and waits for the lock to accept a job; meanwhile its lease expires and another process
// leads. It must check again once it has the lock.
func TestJobIsAcceptedOnlyWhileConfirmed(t *testing.T) {
	te := newTerm(t, nil, 0)
	te.mu.Lock()
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		te.observeJobs([]durable.Item{queuedJobItem}, false)
	}()
	time.Sleep(3 * confirmPollInterval)
	te.tenure.renewed(steady.Now() - 3*time.Second)
	te.mu.Unlock()
	time.Sleep(3 * confirmPollInterval)
	te.mu.Lock()
	_, known := te.sched.State("j")
	te.mu.Unlock()
	require.False(t, known, "accepted by a leader that may be deposed")
	te.tenure.End()
	<-accepted
}

// Guards against executing an ended job again. A leader forgets a job that ended long ago
// while the store does not respond to the removal of its keys; later its watch loses its
// history, and it reads all jobs. A forgotten job whose keys still exist must not count as
// new.
func TestForgottenJobIsNotResubmitted(t *testing.T) {
	store := &unreachableStore{}
	te := newTerm(t, store, 0)
	longAgo := steady.Now() - 2*endedJobRetention
	te.sched.Submit(longAgo, scheduler.Submission{Job: &batch.Job{ID: "j", Steps: []batch.Step{{Tasks: 1}}}, Cancelled: true})
	te.sched.RecordWritten(te.sched.PendingWrites().Records[0], 1)
	te.forget(context.Background())
	stale := queuedJobItem
	stale.Created = 5
	te.observeJobs([]durable.Item{stale}, true)
	state, known := te.sched.State("j")
	require.True(t, !known || state == batch.Cancelled, "job is executed again, state %s", state)

	store.isReachable = true
	te.forget(context.Background())
	require.Len(t, store.commits, 1, "commits after the store is reachable again")
	require.Contains(t, store.commits[0].Deletes, JobKey("j"))
	te.forget(context.Background())
	require.Len(t, store.commits, 1, "the job is removed a second time")
	te.observeJobs([]durable.Item{stale}, true)
	_, known = te.sched.State("j")
	require.False(t, known, "a read from before the removal resubmits the job")

	resubmitted := stale
	resubmitted.Created = commitRevision + 1
	te.observeJobs([]durable.Item{resubmitted}, false)
	_, known = te.sched.State("j")
	require.True(t, known, "a submission after the removal is not accepted")
}

// Guards against losing the learned interference model with a change of leader. The new
// leader's read of the model gets no response, and seconds later it stores what it has learned
// itself. A model that could not be read must not count as absent.
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

// Guards against a listed VM that gets no new tasks and whose runs expire. The scheduler
// removes a VM and its hold loop ends; the VM is listed again before the next syncHolds. An
// ended loop must not count as holding the VM.
func TestRelistedInstanceIsHeldAgain(t *testing.T) {
	te := newTerm(t, nil, 0)
	agents := &countingAgents{}
	te.Agents = agents
	ctx, cancel := context.WithCancel(context.Background())
	te.holds = map[string]context.CancelFunc{"vm": cancel}
	inst := batch.Instance{ID: "vm", Address: "10.0.0.1:1"}
	ok, _ := te.holdOnce(ctx, &inst, 0, &holdFailures{})
	require.False(t, ok, "an instance unknown to the scheduler is held")

	te.sched.SetInstances(steady.Now(), []batch.Instance{inst})
	tenure, endTenure := context.WithCancel(context.Background())
	te.syncHolds(tenure)
	require.Eventually(t, func() bool { return agents.sent.Load() > 0 }, time.Second, time.Millisecond)
	endTenure()
	te.work.Wait()
}

// Guards against a task that waits for ever. A start gets no response, so its run is to be
// stopped; the VM responds to holds but refuses stops for half a minute. The stop must be
// repeated while its run counts, since each hold renews the VM's lease.
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
	require.True(t, te.shouldRepeatStop(stop, stopRetryDuration-time.Second), "stop of a run that this leader did not start")
	require.False(t, te.shouldRepeatStop(stop, stopRetryDuration+time.Second))
}

// Guards against executing a job after its caller was told that it is cancelled. The
// announcement of the job is lost and the watch is late; the cancellation is announced; then
// the watch delivers the job, and the cancellation only with its next response. The
// cancellation of an unknown job must be remembered.
func TestCancellationBeforeItsJob(t *testing.T) {
	te := newTerm(t, nil, 0)
	te.observeJobs([]durable.Item{{Key: CancelKey("j")}}, false)
	te.observeJobs([]durable.Item{queuedJobItem}, false)
	state, known := te.sched.State("j")
	require.True(t, known)
	require.Equal(t, batch.Cancelled, state)
}

// Guards against holding a restarted VM at its old address. Its new incarnation has the same
// ID at another address, and would get no tasks for the rest of the tenure.
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
