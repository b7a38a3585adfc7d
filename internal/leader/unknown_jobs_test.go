package leader

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// readOnlyStore is a store that discards writes.
type readOnlyStore struct {
	durable.Store
	values map[string]string
}

func (s readOnlyStore) Get(_ context.Context, key string) (*durable.Item, error) {
	value, ok := s.values[key]
	if !ok {
		return nil, nil
	}
	return &durable.Item{Key: key, Value: []byte(value), Revision: 5}, nil
}

func (s readOnlyStore) Range(_ context.Context, prefix string) ([]durable.Item, int64, error) {
	var found []durable.Item
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			found = append(found, durable.Item{Key: key, Value: []byte(value), Revision: 5})
		}
	}
	return found, 5, nil
}

func (s readOnlyStore) Commit(context.Context, durable.Txn) (int64, error) { return 6, nil }

const twoTaskJob = `{"queue":"q","pool":"p","job":{"steps":[{"tasks":2,"need":{}}]}}`

// newReportedTerm returns a tenure that has just received a report of "vm" with the given
// ends.
func newReportedTerm(values map[string]string, ends ...batch.RunEnd) *term {
	te := &term{
		Leader: &Leader{
			WallMS: func() int64 { return 0 }, Store: readOnlyStore{values: values},
			Evacuations: func() *batch.Evacuations { return &batch.Evacuations{} }, ReadEvacuations: func(context.Context) error { return nil },
		}, tenure: &Tenure{Fence: 9},
		planRequested: make(chan struct{}, 1), log: eventlog.New(io.Discard, logrus.ErrorLevel), sched: scheduler.New(scheduler.Settings{}, 9, nil),
	}
	now := steady.Now()
	te.sched.SetInstances(now, []batch.Instance{{ID: "vm", Pool: "p", Address: "a"}})
	te.sched.HandleReport(now, now, "vm", batch.Report{Clock: now, Ended: ends})
	return te
}

// flushAndGetAcked marks pending records as written and returns the highest end that is
// acknowledged then.
func (t *term) flushAndGetAcked() int64 {
	if f := t.sched.PendingWrites(); f != nil {
		for i := range f.Records {
			t.sched.RecordWritten(f.Records[i], 6)
		}
		t.sched.Flushed(f)
	}
	hold, _ := t.sched.Hold(steady.Now(), "vm", 0)
	return hold.Acked
}

func doneEnd(seq int64, index int, run int64) batch.RunEnd {
	return batch.RunEnd{Seq: seq, Task: batch.TaskID{Job: "j", Index: index}, Run: run, Kind: batch.EndDone}
}

// When a VM reports the end of a run whose job the watch has not delivered, the job is read
// from the store, and the end is acknowledged once it is in the job's record.
func TestUnknownJobIsRead(t *testing.T) {
	te := newReportedTerm(map[string]string{JobKey("j"): twoTaskJob, JobKey("jj"): twoTaskJob}, doneEnd(1, 0, 3))
	require.Zero(t, te.flushAndGetAcked())
	require.NoError(t, te.readUnknownJob(t.Context(), "j"))
	_, known := te.sched.State("j")
	require.True(t, known)
	_, known = te.sched.State("jj")
	require.False(t, known, "a job whose ID has the same prefix was submitted")
	require.EqualValues(t, 1, te.flushAndGetAcked())
}

// If the store has no such job, its record was removed long after its end. The reported end
// has no effect, and must not block the acknowledgement of later ones.
func TestEndOfAbsentJobIsAcknowledged(t *testing.T) {
	te := newReportedTerm(map[string]string{JobKey("jj"): twoTaskJob}, doneEnd(1, 0, 3))
	require.Zero(t, te.flushAndGetAcked())
	require.NoError(t, te.readUnknownJob(t.Context(), "j"))
	require.EqualValues(t, 1, te.flushAndGetAcked())
	require.Empty(t, te.sched.UnknownJobs(steady.Now(), 0))
}

// Guards against running a job again from the beginning because the record of its progress
// can't be read. An unreadable record must not be treated as a missing one and overwritten.
func TestJobWithAnUnreadableRecordIsHeld(t *testing.T) {
	te := newReportedTerm(nil)
	jobs := []durable.Item{{Key: JobKey("j"), Value: []byte(twoTaskJob)}}
	te.submitJobs(steady.Now(), jobs, map[string]durable.Item{"j": {Key: ProgressKey("j"), Value: []byte(`{"open":[{"n"`), Revision: 4}})
	te.sched.SetConfig(&batch.Config{Queues: []batch.Queue{{Name: "q", Pool: "p", Attempts: 3}}})
	now := steady.Now()
	te.sched.HandleReport(now, now, "vm", batch.Report{Clock: now, Running: []batch.RunStatus{{Task: batch.TaskID{Job: "j"}, Run: 3}}})
	require.Empty(t, te.sched.Plan(now), "the job is started again or stopped")
	require.Nil(t, te.sched.PendingWrites(), "the unreadable record is overwritten")
	state, _ := te.sched.State("j")
	require.Equal(t, batch.Running, state)

	te.sched.Cancel(now, "j")
	f := te.sched.PendingWrites()
	require.Len(t, f.Records, 1)
	require.EqualValues(t, 4, f.Records[0].Revision)
	value, err := json.Marshal(f.Records[0].Progress)
	require.NoError(t, err)
	state, err = DecodeFinalState("j", value)
	require.NoError(t, err)
	require.Equal(t, batch.Cancelled, state)
}
