package leader

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

func recordOf(id string, state batch.State) scheduler.Record {
	spec := &batch.Job{ID: id, Payload: "text", Steps: []batch.Step{{Tasks: 2, Estimate: time.Second}}}
	return scheduler.Record{Job: id, Queue: "q", Pool: "p", Spec: spec, Progress: &scheduler.Progress{State: state}}
}

// Guards against a takeover that takes seconds on a narrow link, so that the new leader and
// its successor lose their leases. It has to read the records of hundreds of jobs that ended
// in the last ten minutes, which must not be as long as those of running jobs.
func TestEndedJobsDropTheirPayload(t *testing.T) {
	store := &memoryStore{values: map[string]string{}}
	te := newRebuildTerm(t, store)
	require.NoError(t, te.flush(t.Context(), &scheduler.Flush{Records: []scheduler.Record{recordOf("runs", ""), recordOf("ended", batch.Completed)}}, nil))
	require.NotContains(t, store.values, JobKey("runs"))
	r, err := decodeJob("ended", []byte(store.values[JobKey("ended")]))
	require.NoError(t, err)
	require.Empty(t, r.Job.Payload)
	require.Equal(t, 2, r.Job.Steps[0].Tasks, "the steps of an ended job are still needed")
	require.True(t, r.Ended)
}

// Guards against starting a task without its payload. An ended job whose record is missing, or
// that the watch delivers for the first time, must not be taken for one that has not begun.
func TestEndedJobIsNotStartedAgain(t *testing.T) {
	value, err := json.Marshal(JobRecord{Queue: "q", Pool: "p", Ended: true, Job: recordOf("j", "").Spec})
	require.NoError(t, err)
	item := durable.Item{Key: JobKey("j"), Value: value}
	for name, submit := range map[string]func(*term){
		"read":    func(te *term) { te.submitJobs(steady.Now(), []durable.Item{item}, nil) },
		"watched": func(te *term) { te.observeJobs([]durable.Item{item}, false) },
	} {
		t.Run(name, func(t *testing.T) {
			te := newTerm(t, nil, 0)
			te.sched.SetInstances(steady.Now(), []batch.Instance{{ID: "vm", Pool: "p", Address: "10.0.0.1:1", Capacity: batch.Resources{MilliCPU: 8000, MemoryMB: 8000}}})
			te.sched.Hold(steady.Now(), "vm", 0)
			te.sched.HandleReport(steady.Now(), steady.Now(), "vm", batch.Report{Clock: time.Hour})
			submit(te)
			require.Empty(t, te.sched.Plan(steady.Now()))
		})
	}
}

// Guards against transactions that exceed the store's limit of entries.
func TestCountFitting(t *testing.T) {
	var running, ended []scheduler.Record
	for range 40 {
		running = append(running, recordOf("j", ""))
		ended = append(ended, recordOf("j", batch.Failed))
	}
	require.Equal(t, 15, countFitting(running, 0))
	require.Equal(t, 10, countFitting(ended, 0))
	require.Equal(t, 1, countFitting(ended[:1], 0))
	require.Equal(t, 11, countFitting(running, 9), "with one start log segment written and eight removed")
}
