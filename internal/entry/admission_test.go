package entry

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
)

// conditionalStore is a store that several processes share. It checks conditions and can delay
// writes.
type conditionalStore struct {
	durable.Store
	revision int64
	items    map[string]durable.Item
	leases   int64
	// delayNext holds the next commit back, without a response, until deliver is called.
	delayNext bool
	// delayAll holds all commits back like that.
	delayAll bool
	// loseNext carries out the next commit and loses its response.
	loseNext bool
	// beforeCommit is called once before the next commit.
	beforeCommit   func()
	delayed        []durable.Txn
	refusesReads   bool
	refusesLeases  bool
	leaseOfRefusal int64
	// leaseOf holds the lease of each key; endedLease is one that has ended, 0 for none.
	leaseOf    map[string]int64
	endedLease int64
	// commits and reads count the calls.
	commits, reads int
}

func newConditionalStore() *conditionalStore {
	return &conditionalStore{items: map[string]durable.Item{}, leaseOf: map[string]int64{}}
}

var errLost = errors.Mark(errors.New("no response"), durable.ErrUnknown)

func (s *conditionalStore) Get(_ context.Context, key string) (*durable.Item, error) {
	s.reads++
	if s.refusesReads {
		return nil, errors.Mark(errors.New("429"), durable.ErrRefused)
	}
	if item, ok := s.items[key]; ok {
		return &item, nil
	}
	return nil, nil
}

func (s *conditionalStore) Grant(context.Context, time.Duration) (int64, error) {
	if s.refusesLeases {
		return 0, errors.Mark(errors.New("429"), durable.ErrRefused)
	}
	s.leases++
	return s.leases, nil
}

func (s *conditionalStore) Commit(_ context.Context, txn durable.Txn) (int64, error) {
	s.commits++
	if f := s.beforeCommit; f != nil {
		s.beforeCommit = nil
		f()
	}
	if s.delayNext || s.delayAll {
		s.delayNext = false
		s.delayed = append(s.delayed, txn)
		return 0, errLost
	}
	err := s.apply(txn)
	if s.loseNext {
		s.loseNext = false
		return 0, errLost
	}
	return s.revision, err
}

// deliver carries out the delayed writes whose conditions still hold.
func (s *conditionalStore) deliver() {
	for _, txn := range s.delayed {
		_ = s.apply(txn)
	}
	s.delayed = nil
}

func (s *conditionalStore) apply(txn durable.Txn) error {
	conflict := &durable.ConflictError{}
	holds := true
	for _, c := range txn.Conditions {
		item, ok := s.items[c.Key]
		if ok {
			conflict.Current = append(conflict.Current, item)
		}
		holds = holds && item.Revision == c.Revision
	}
	if !holds {
		return conflict
	}
	for _, w := range txn.Writes {
		if w.Lease != 0 && w.Lease == s.endedLease {
			return durable.ErrLeaseGone
		}
	}
	s.revision++
	for _, w := range txn.Writes {
		s.leaseOf[w.Key] = w.Lease
		s.items[w.Key] = durable.Item{Key: w.Key, Value: w.Value, Revision: s.revision}
		if w.Key == leader.RefusalKey(testID) {
			s.leaseOfRefusal = w.Lease
		}
	}
	return nil
}

func (s *conditionalStore) has(key string) bool {
	_, ok := s.items[key]
	return ok
}

func (s *conditionalStore) hasJob() bool { return s.has(leader.JobKey(testID)) }

const testID = "00000000000000aa"

// guardedEntry is a process that refuses what it knows to be late.
type guardedEntry struct {
	*entryFixture
	known   admission.Known
	reasons []admission.Reason
}

func newGuardedEntry(store durable.Store) *guardedEntry {
	g := &guardedEntry{entryFixture: newEntryFixture()}
	g.Store = store
	g.Admission = &Admission{
		Mode: admission.RefuseLate, Forecast: func(string) admission.Known { return g.known },
		Observe: func(r admission.Reason) { g.reasons = append(g.reasons, r) },
	}
	g.predict(time.Hour)
	return g
}

// predict sets what the process knows: a wait of all jobs, told just now by the current leader.
func (g *guardedEntry) predict(wait time.Duration) {
	q := &admission.QueueForecast{Queue: "q", Confidence: 1, MeanWork: 10, DurationRatio: 1}
	for class := range q.Waits {
		q.Waits[class] = wait
	}
	g.known = admission.Known{Queue: q, Fence: 1, CurrentFence: 1}
}

func (g *guardedEntry) submitTest(t *testing.T) error {
	job := &batch.Job{ID: testID, Steps: []batch.Step{{Tasks: 1, Estimate: time.Second, Need: batch.Resources{MilliCPU: 1000}}}}
	return g.Submit(t.Context(), &batch.Queue{Name: "q", Pool: "p", Stretch: 2, Slack: time.Second}, job)
}

func requireRefused(t *testing.T, err error) {
	t.Helper()
	require.True(t, errkind.Is(err, errkind.Overloaded), "%v", err)
	answer := errkind.From(err).Answer()
	require.Equal(t, errkind.NotRun, answer.Outcome)
	require.GreaterOrEqual(t, answer.RetryAfter, admission.MinRetryAfter)
}

// Guards against a caller that waits in a queue for a job that can't be done in time: it is told at
// once, nothing is stored, and the refusal does not stay in the store for good.
func TestJobThatWouldBeTooLateIsRefused(t *testing.T) {
	store := newConditionalStore()
	g := newGuardedEntry(store)
	requireRefused(t, g.submitTest(t))
	require.False(t, store.hasJob())
	require.NotZero(t, store.leaseOfRefusal)
	require.Equal(t, []admission.Reason{admission.RefusedLate}, g.reasons)
}

// Guards against a caller that returns after its Retry-After and is turned away for good: what was
// refused before is accepted once there is room.
func TestReturningCallerIsAccepted(t *testing.T) {
	store := newConditionalStore()
	g := newGuardedEntry(store)
	requireRefused(t, g.submitTest(t))
	other := newGuardedEntry(store)
	other.predict(0)
	require.NoError(t, other.submitTest(t))
	require.True(t, store.hasJob())
}

// Guards against "not run" for a job that was accepted: its caller lost the response, or submits
// again seconds after it.
func TestAcceptedJobIsNotRefused(t *testing.T) {
	store := newConditionalStore()
	g := newGuardedEntry(store)
	g.predict(0)
	require.NoError(t, g.submitTest(t))
	other := newGuardedEntry(store)
	require.NoError(t, other.submitTest(t))
	require.Equal(t, []admission.Reason{admission.AcceptedKnown}, other.reasons)
}

// Guards against a job that runs after it was refused: the write of its first submission was on its
// way to the store while another process refused the second one.
func TestDelayedWriteOfARefusedJobIsVoid(t *testing.T) {
	store := newConditionalStore()
	first, second := newGuardedEntry(store), newGuardedEntry(store)
	first.predict(0)
	store.delayNext = true
	refused := false
	first.LeaderReachable = func() bool { return true }
	first.Peers = submitFunc(func() error {
		// The first process is still at it when the caller has gone on to another one.
		if !refused {
			refused = true
			requireRefused(t, second.submitTest(t))
		}
		return errLost
	})
	requireRefused(t, first.submitTest(t))
	store.deliver()
	require.False(t, store.hasJob())
}

// submitFunc simulates a leader that is asked to store jobs.
type submitFunc func() error

func (f submitFunc) Submit(context.Context, string, []byte, Guard) error { return f() }
func (submitFunc) State(context.Context, string) (batch.State, bool, error) {
	return "", false, errUnreachable
}

func (submitFunc) RefusalRevision(context.Context, string) (int64, error) { return 0, errUnreachable }

func (submitFunc) Waiting(context.Context, string) (int, error)   { return 0, errUnreachable }
func (submitFunc) Announce(context.Context, string, []byte) error { return errUnreachable }
func (submitFunc) Cancel(context.Context, string) (bool, error)   { return false, errUnreachable }

// Guards against the same after a job was refused, submitted again and refused once more: the
// second submission's write must not follow the second refusal.
func TestDelayedWriteBetweenTwoRefusalsIsVoid(t *testing.T) {
	store := newConditionalStore()
	g := newGuardedEntry(store)
	requireRefused(t, g.submitTest(t))
	revision := store.items[leader.RefusalKey(testID)].Revision
	store.delayed = append(store.delayed, durable.Txn{
		Conditions: Guard{Active: true, Revision: revision}.conditions(testID),
		Writes:     []durable.Write{{Key: leader.JobKey(testID)}},
	})
	requireRefused(t, newGuardedEntry(store).submitTest(t))
	store.deliver()
	require.False(t, store.hasJob())
}

// Guards against a process that accepts what another has refused between its decision and its
// write: the caller that was refused last must be right.
func TestJobRefusedMeanwhileIsNotStored(t *testing.T) {
	store := newConditionalStore()
	slow, quick := newGuardedEntry(store), newGuardedEntry(store)
	slow.predict(0)
	store.beforeCommit = func() { requireRefused(t, quick.submitTest(t)) }
	requireRefused(t, slow.submitTest(t))
	require.Equal(t, []admission.Reason{admission.RefusedConcurrently}, slow.reasons)
	require.False(t, store.hasJob())
}

// Guards against a refusal whose response is lost: it is in the store, so the job must not be.
func TestLostResponseToARefusal(t *testing.T) {
	store := newConditionalStore()
	g := newGuardedEntry(store)
	store.loseNext = true
	requireRefused(t, g.submitTest(t))
	require.False(t, store.hasJob())
}

// Guards against refusals without proof: a store that does not tell whether the job is there, or
// that stores no refusal, leaves only the acceptance, which is true whatever happened before.
func TestUnprovenRefusalAccepts(t *testing.T) {
	for name, fail := range map[string]func(*conditionalStore){
		"reads":  func(s *conditionalStore) { s.refusesReads = true },
		"leases": func(s *conditionalStore) { s.refusesLeases = true },
	} {
		t.Run(name, func(t *testing.T) {
			store := newConditionalStore()
			fail(store)
			g := newGuardedEntry(store)
			require.NoError(t, g.submitTest(t))
			require.True(t, store.hasJob())
			require.Equal(t, []admission.Reason{admission.AcceptedUnproven}, g.reasons)
		})
	}
}

// Guards against refusals that fail unnoticed: the line of the submission tells what the store said.
func TestUnprovenRefusalIsLoggedWithItsCause(t *testing.T) {
	store := newConditionalStore()
	store.refusesLeases = true
	g := newGuardedEntry(store)
	lines := make(lineWriter, 2)
	g.Log = eventlog.New(lines, logrus.InfoLevel)
	require.NoError(t, g.submitTest(t))
	line := <-lines
	require.Contains(t, line, string(admission.AcceptedUnproven))
	require.Contains(t, line, `"admission_error":"429"`)
}

// leaderWithStore simulates a leader that reaches the store.
type leaderWithStore struct {
	unreachablePeers
	*Entry
}

func (l leaderWithStore) RefusalRevision(ctx context.Context, id string) (int64, error) {
	return l.RefusalRevisionForPeer(ctx, id)
}

func (l leaderWithStore) Submit(ctx context.Context, id string, record []byte, guard Guard) error {
	return l.CreateForPeer(ctx, id, record, guard)
}

func (l leaderWithStore) State(context.Context, string) (batch.State, bool, error) {
	return "", false, errUnreachable
}

func (l leaderWithStore) Waiting(context.Context, string) (int, error) { return 0, errUnreachable }

func (l leaderWithStore) Announce(context.Context, string, []byte) error { return errUnreachable }

func (l leaderWithStore) Cancel(context.Context, string) (bool, error) { return false, errUnreachable }

// Guards against turning a returning caller away for want of the store: a process that is cut off
// from it learns of the earlier refusal from the leader, and lets it store the job.
func TestReturningCallerIsAcceptedWithoutTheStore(t *testing.T) {
	store := newConditionalStore()
	g := newGuardedEntry(store)
	requireRefused(t, g.submitTest(t))
	cutOff := newGuardedEntry(&fakeStore{resetsConnections: true})
	cutOff.storeRespondedAt.Store(0)
	cutOff.LeaderReachable = func() bool { return true }
	cutOff.Peers = leaderWithStore{Entry: g.Entry}
	require.NoError(t, cutOff.submitTest(t), "nothing is refused without the store, whatever is predicted")
	require.True(t, store.hasJob())
	require.Equal(t, []admission.Reason{admission.AcceptedUnproven}, cutOff.reasons)
}

// countingPeers simulates a leader that may know the job, and counts what it is asked.
type countingPeers struct {
	unreachablePeers
	knowsJob bool
	asked    atomic.Int64
}

func (p *countingPeers) State(context.Context, string) (batch.State, bool, error) {
	p.asked.Add(1)
	return batch.Queued, p.knowsJob, nil
}

// Guards against decisions by an old forecast where the leader can tell a new one, and against a
// call to the leader for each submission. A job that the leader knows is accepted at once.
func TestOldForecastIsRefreshedBeforeADecision(t *testing.T) {
	store := newConditionalStore()
	g := newGuardedEntry(store)
	peers := &countingPeers{}
	g.Peers = peers
	g.known.Age = admission.MaxForecastAge + time.Second
	require.NoError(t, g.submitTest(t))
	asked := peers.asked.Load()
	require.Equal(t, int64(1), asked)
	require.Equal(t, []admission.Reason{admission.AcceptedStale}, g.reasons)
	g.known.Age = 0
	requireAfter := newGuardedEntry(newConditionalStore())
	requireAfter.Peers = peers
	requireRefused(t, requireAfter.submitTest(t))
	require.Equal(t, asked, peers.asked.Load(), "a new forecast is not refreshed")

	known := newGuardedEntry(newConditionalStore())
	known.Peers = &countingPeers{knowsJob: true}
	known.known.Age = time.Hour
	require.NoError(t, known.submitTest(t))
	require.Equal(t, []admission.Reason{admission.AcceptedKnown}, known.reasons)
}

// Guards against a change of outcome for three submissions that follow each other, whichever of them
// refuse, and whichever of their writes are delayed and until when: whatever a caller is told last, a job that was refused last is not stored,
// and a job that was accepted is.
func TestRefusalsAreTrueInAnyOrder(t *testing.T) {
	const writes = 3
	for pattern := range 1 << (3 * writes) {
		store := newConditionalStore()
		outcomes := []string{}
		for n := range writes {
			g := newGuardedEntry(store)
			if pattern>>(3*n)&1 != 0 {
				g.predict(0)
			}
			store.delayNext = pattern>>(3*n+1)&1 != 0
			if pattern>>(3*n+2)&1 != 0 {
				store.deliver()
			}
			// Without the retries within a submission, which take half a second.
			a := g.admit(t.Context(), &batch.Queue{Name: "q", Stretch: 2}, &batch.Job{ID: testID, Steps: []batch.Step{{Tasks: 1, Estimate: time.Second, Need: batch.Resources{MilliCPU: 1000}}}})
			switch {
			case a.decision.Refuse:
				outcomes = append(outcomes, "refused")
			case a.stored:
				outcomes = append(outcomes, "accepted")
			default:
				err := g.create(t.Context(), testID, nil, a.guard)
				switch {
				case err == nil:
					outcomes = append(outcomes, "accepted")
				case errors.Is(err, ErrRefusedSince):
					outcomes = append(outcomes, "refused")
				default:
					outcomes = append(outcomes, "unknown")
				}
			}
		}
		store.deliver()
		name := fmt.Sprintf("%09b: %v", pattern, outcomes)
		if slices.Contains(outcomes, "accepted") {
			require.True(t, store.hasJob(), name)
			require.NotContains(t, outcomes[slices.Index(outcomes, "accepted"):], "refused", name)
		}
		if outcomes[len(outcomes)-1] == "refused" {
			require.False(t, store.hasJob(), name)
		}
	}
}
