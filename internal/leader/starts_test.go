package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// oneTaskJob is the record of an accepted job of one task.
const oneTaskJob = `{"queue":"q","pool":"p","job":{"steps":[{"tasks":1,"need":{}}]}}`

// startOneJob returns a leader that has started the job "j" on "vm" and written its state.
func startOneJob(t *testing.T, store *memoryStore) *term {
	te := newRebuildTerm(t, store)
	te.flushed = make(chan struct{})
	te.tenure.renewedAt = steady.Now()
	_, err := te.rebuild(t.Context())
	require.NoError(t, err)
	now := steady.Now()
	te.sched.Hold(now, "vm", 0)
	te.sched.HandleReport(now, now, "vm", batch.Report{Clock: time.Hour})
	require.NotEmpty(t, te.sched.Plan(now))
	te.flushPending(t.Context())
	return te
}

func countSegments(store *memoryStore) int {
	n := 0
	for key := range store.values {
		if _, err := decodeStarts(key, []byte("{}")); err == nil {
			n++
		}
	}
	return n
}

// Guards against a start that is in no record when its leader dies: the successor reads it
// from the start log, and removes the log once it is obsolete.
func TestSuccessorReadsStartLog(t *testing.T) {
	store := &memoryStore{values: map[string]string{JobKey("j"): oneTaskJob}}
	startOneJob(t, store)
	require.Equal(t, 1, countSegments(store))

	next := newRebuildTerm(t, store)
	next.flushed = make(chan struct{})
	next.tenure.Fence = 10
	next.sched = scheduler.New(next.Settings, 10, nil)
	r, err := next.rebuild(t.Context())
	require.NoError(t, err)
	require.Equal(t, 1, r.startCount)
	next.flushPending(t.Context())
	require.Equal(t, 1, countSegments(store), "the start log is removed before the VM has reported")
	next.sched.RemoveInstance(steady.Now(), "vm", "machine ended it")
	next.flushPending(t.Context())
	require.Contains(t, store.values[ProgressKey("j")], `"v":"vm"`)
	next.flushPending(t.Context())
	require.Eventually(t, func() bool {
		next.flushPending(t.Context())
		return countSegments(store) == 0
	}, 5*time.Second, flushInterval)
}

// Guards against starts that are in no record because the response to their write was lost.
// They are written again under another key, since the first write may still be applied late.
func TestStartLogIsRewrittenUnderAnotherKey(t *testing.T) {
	key := startsKey(scheduler.SegmentID{Fence: 9, Number: 1})
	store := &memoryStore{values: map[string]string{JobKey("j"): oneTaskJob}, lostKey: key}
	te := startOneJob(t, store)
	delete(store.values, key)
	te.flushPending(t.Context())
	require.NotContains(t, store.values, key)
	require.Contains(t, store.values, startsKey(scheduler.SegmentID{Fence: 9, Number: 2}))
}

// Guards against VMs that get no new tasks while the store is unreachable. Ends that need no
// record must be acknowledged even if the start log can't be written.
func TestEndsWithoutRecordDoNotWaitForStartLog(t *testing.T) {
	store := &memoryStore{values: map[string]string{JobKey("j"): oneTaskJob}}
	te := startOneJob(t, store)
	task := batch.TaskID{Job: "j"}
	now := steady.Now()
	te.sched.HandleReport(now, now, "vm", batch.Report{Clock: time.Hour, Ended: []batch.RunEnd{{Seq: 1, Task: task, Run: 9<<24 | 1, Kind: batch.EndStopped}}})
	require.NotEmpty(t, te.sched.Plan(now+2*flushInterval), "started again")
	store.lostKey, store.hasLost = startsKey(scheduler.SegmentID{Fence: 9, Number: 2}), false
	te.flushPending(t.Context())
	require.True(t, store.hasLost, "the log was not written")
	require.False(t, te.sched.HasUnackedEnds("vm"))
}

// An unreadable start log does not prevent leading, and is removed.
func TestUnreadableStartLogIsRemoved(t *testing.T) {
	store := &memoryStore{values: map[string]string{startsKey(scheduler.SegmentID{Fence: 4, Number: 2}): "{"}}
	te := newRebuildTerm(t, store)
	te.flushed = make(chan struct{})
	_, err := te.rebuild(t.Context())
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		te.flushPending(t.Context())
		return countSegments(store) == 0
	}, 5*time.Second, flushInterval)
}
