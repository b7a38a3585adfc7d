package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/hosting"
	"github.com/rattanwall/rattanwall/internal/model"
	standin "github.com/rattanwall/rattanwall/internal/standin/hosting"
	"github.com/rattanwall/rattanwall/internal/standin/record"
	"github.com/rattanwall/rattanwall/internal/vms"
)

// lossyStore is a store that loses responses: of writes that took effect, and of
// writes that did not.
type lossyStore struct {
	hosting.Store
	rng *rand.Rand
}

func (l lossyStore) Put(ctx context.Context, key string, value []byte, expect hosting.Revision, lease hosting.LeaseID) (hosting.Revision, error) {
	switch l.rng.IntN(3) {
	case 0:
		_, _ = l.Store.Put(ctx, key, value, expect, lease)
		return 0, errors.Mark(errors.New("lost after the write"), hosting.ErrUnknown)
	case 1:
		return 0, errors.Mark(errors.New("lost before the write"), hosting.ErrUnknown)
	}
	return l.Store.Put(ctx, key, value, expect, lease)
}

func newStore() hosting.Store { return standin.Direct{Platform: standin.New(&record.Recorder{})} }

func newLog(s hosting.Store) *log { return &log{store: s, prefix: "jobs/00/"} }

func spec(id string, tasks int) model.JobSpec {
	return model.JobSpec{ID: id, Team: "t", Tasks: tasks, PerTask: model.Resources{MilliCPU: 1}}
}

// referenceRecord is a simple model of the state for comparison: the current attempt
// of each task, whether it is placed, and how often it finished.
type referenceRecord struct {
	current  map[string]int64
	placed   map[string]bool
	finished map[string]int
}

// Guards against tasks that are lost, duplicated or back in an older state after a
// new leader has read the log: an entry was overwritten too early, applied twice, or
// taken for another's. Thousands of operations, some of them stale, are committed
// through a store that loses responses, over many turns of the ring; the log is
// reloaded regularly.
func TestLogMatchesReferenceRecord(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			store := lossyStore{newStore(), rng}
			l := newLog(store)
			state, err := l.load(t.Context())
			require.NoError(t, err)
			n := referenceRecord{map[string]int64{}, map[string]bool{}, map[string]int{}}
			for step := range 1200 {
				ops := commitRandom(t, rng, state, n, step)
				require.NoError(t, l.append(t.Context(), ops))
				for l.snapshotDue() {
					if l.writeSnapshot(t.Context(), state) == nil {
						break
					}
				}
				if step%97 == 0 {
					l = newLog(store)
					state, err = l.load(t.Context())
					require.NoError(t, err)
				}
			}
			requireSameRecord(t, state, n)
		})
	}
}

const differentialJobs, differentialTasks = 6, 5

// commitRandom applies a random operation to the state and, by its own simpler rules,
// to the reference record; both must agree on whether it fits.
func commitRandom(t *testing.T, rng *rand.Rand, s *State, n referenceRecord, step int) []Op {
	if step < differentialJobs {
		sp := spec(fmt.Sprintf("j%d", step), differentialTasks)
		op := Op{Kind: OpSubmit, Spec: &sp}
		require.NoError(t, s.Apply(op))
		return []Op{op}
	}
	job, index := fmt.Sprintf("t/j%d", rng.IntN(differentialJobs)), rng.IntN(differentialTasks)
	task := taskName(job, index)
	attempt := n.current[task] + int64(rng.IntN(3)) - 1
	op := Op{Kind: OpPlace, Job: job, Index: index, Attempt: attempt, VM: "v"}
	fits := !n.placed[task] && n.finished[task] == 0 && attempt == n.current[task]+1
	if rng.IntN(2) == 0 {
		op = Op{Kind: OpEnd, Job: job, Index: index, Attempt: attempt, End: vms.EndStopped, AtMS: 1}
		if rng.IntN(4) == 0 {
			op.End = vms.EndFinished
		}
		fits = n.placed[task] && attempt == n.current[task]
	}
	err := s.Apply(op)
	require.Equal(t, fits, err == nil, "%+v: %v", op, err)
	if !fits {
		return []Op{{Kind: OpLead, Node: "n"}}
	}
	if op.Kind == OpPlace {
		n.current[task], n.placed[task] = attempt, true
	} else {
		n.placed[task] = false
		if op.End == vms.EndFinished {
			n.finished[task]++
		}
	}
	return []Op{op}
}

func requireSameRecord(t *testing.T, s *State, n referenceRecord) {
	done := int64(0)
	for key, j := range s.Jobs {
		for i, task := range j.Tasks {
			name := taskName(key, i)
			require.Equal(t, n.current[name], task.Attempt, name)
			require.Equal(t, n.placed[name], task.State == Placed, name)
			require.Equal(t, n.finished[name] == 1, task.State == Done, name)
			require.LessOrEqual(t, n.finished[name], 1)
			done += int64(n.finished[name])
		}
	}
	require.Equal(t, done, s.Totals.Done)
	require.NotZero(t, done)
}

// Guards against two leaders that both commit an attempt of one task. A leader is
// paused, another takes over, and the first one continues where it was. It must learn
// of its successor from the store rather than from its clock.
func TestSupersededLeaderCommitsNothing(t *testing.T) {
	store := newStore()
	old, next := newLog(store), newLog(store)
	_, err := old.load(t.Context())
	require.NoError(t, err)
	sp := spec("j", 1)
	require.NoError(t, old.append(t.Context(), []Op{{Kind: OpSubmit, Spec: &sp}}))

	_, err = next.load(t.Context())
	require.NoError(t, err)
	require.NoError(t, next.append(t.Context(), []Op{{Kind: OpLead, Node: "next"}}))

	place := Op{Kind: OpPlace, Job: "t/j", Attempt: 1, VM: "v"}
	require.ErrorIs(t, old.append(t.Context(), []Op{place}), ErrSuperseded)
	state, err := newLog(store).load(t.Context())
	require.NoError(t, err)
	require.Equal(t, Queued, state.Jobs["t/j"].Tasks[0].State)
}

// A shard with the maximum number of open tasks must stay below the store's maximum
// value size.
func TestLargestShardFitsStoreValue(t *testing.T) {
	s := NewState()
	for i := range maxOpenTasks / model.MaxTasksPerJob {
		sp := spec(fmt.Sprintf("j%d", i), model.MaxTasksPerJob)
		require.NoError(t, s.Apply(Op{Kind: OpSubmit, Spec: &sp}))
		for index := range sp.Tasks {
			require.NoError(t, s.Apply(Op{Kind: OpPlace, Job: "t/" + sp.ID, Index: index, Attempt: 1, VM: "availability-zone-7-w00123"}))
		}
	}
	raw, err := cbor.Marshal(snapshot{State: s})
	require.NoError(t, err)
	t.Logf("%d tasks take %d bytes", maxOpenTasks, len(raw))
	require.Less(t, len(raw), hosting.MaxValueBytes)
}

// Arbitrary bytes in the store must be rejected or read, without a panic.
func FuzzRecords(f *testing.F) {
	sp := spec("j", 2)
	good, _ := cbor.Marshal(entry{Sequence: 1, Nonce: []byte("n"), Ops: []Op{{Kind: OpSubmit, Spec: &sp}}})
	snap, _ := cbor.Marshal(snapshot{Sequence: 0, State: NewState()})
	f.Add(good, snap)
	f.Add([]byte{}, []byte{0xff})
	f.Add(snap, good)
	f.Fuzz(func(t *testing.T, entryBytes, snapBytes []byte) {
		store := newStore()
		l := newLog(store)
		_, _ = store.Put(t.Context(), l.entryKey(1), entryBytes, 0, "")
		_, _ = store.Put(t.Context(), l.snapKey(), snapBytes, 0, "")
		state, err := l.load(t.Context())
		if err == nil {
			state.Open()
			state.Usage()
		}
	})
}
