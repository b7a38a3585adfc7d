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

// readOnlyStore is a store that keeps nothing of what is written.
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

// newReportedTerm returns a tenure that has just heard a VM with ends of one job.
func newReportedTerm(values map[string]string, ends ...batch.RunEnd) *term {
	te := &term{
		Leader: &Leader{WallMS: func() int64 { return 0 }, Store: readOnlyStore{values: values}}, tenure: &Tenure{Fence: 9},
		planRequested: make(chan struct{}, 1), log: eventlog.New(io.Discard, logrus.ErrorLevel), sched: scheduler.New(scheduler.Settings{}, 9, nil),
	}
	now := steady.Now()
	te.sched.SetInstances(now, []batch.Instance{{ID: "vm", Pool: "p", Address: "a"}})
	te.sched.HandleReport(now, now, "vm", batch.Report{Clock: now, Ended: ends})
	return te
}

// flushAndGetAcked writes what is pending and returns the highest end that is acknowledged then.
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

// A VM tells the end of a job that this leader's watch has not told it of. The store
// is asked for the job, and the end acknowledged once it is in the job's record.
func TestUnknownJobIsRead(t *testing.T) {
	te := newReportedTerm(map[string]string{JobKey("j"): twoTaskJob, JobKey("jj"): twoTaskJob}, doneEnd(1, 0, 3))
	require.Zero(t, te.flushAndGetAcked())
	require.NoError(t, te.readUnknownJob(t.Context(), "j"))
	_, known := te.sched.State("j")
	require.True(t, known)
	_, known = te.sched.State("jj")
	require.False(t, known, "another job, whose ID begins alike")
	require.EqualValues(t, 1, te.flushAndGetAcked())
}

// Where the store has no such job its record was removed long after its end: the end
// has no effect, and must not keep later ones from being acknowledged.
func TestEndOfAbsentJobIsAcknowledged(t *testing.T) {
	te := newReportedTerm(map[string]string{JobKey("jj"): twoTaskJob}, doneEnd(1, 0, 3))
	require.Zero(t, te.flushAndGetAcked())
	require.NoError(t, te.readUnknownJob(t.Context(), "j"))
	require.EqualValues(t, 1, te.flushAndGetAcked())
	require.Empty(t, te.sched.UnknownJobs(steady.Now(), 0))
}

// What happened: a job was run again from nothing.
// Sequence: a leader finds the record of a job's progress and can't read it.
// Cause: a record that can't be read was taken for none, and written over.
func TestJobWithAnUnreadableRecordIsHeld(t *testing.T) {
	te := newReportedTerm(nil)
	jobs := []durable.Item{{Key: JobKey("j"), Value: []byte(twoTaskJob)}}
	te.submitJobs(steady.Now(), jobs, map[string]durable.Item{"j": {Key: ProgressKey("j"), Value: []byte(`{"open":[{"n"`), Revision: 4}})
	te.sched.SetConfig(&batch.Config{Queues: []batch.Queue{{Name: "q", Pool: "p", Attempts: 3}}})
	now := steady.Now()
	te.sched.HandleReport(now, now, "vm", batch.Report{Clock: now, Running: []batch.RunStatus{{Task: batch.TaskID{Job: "j"}, Run: 3}}})
	require.Empty(t, te.sched.Plan(now), "neither started anew nor stopped")
	require.Nil(t, te.sched.PendingWrites(), "written over")
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
