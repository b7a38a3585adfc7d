// Package workertest tests the contract of worker.Agent. Every implementation runs
// it.
package workertest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/worker"
)

const leaseDuration = 4 * time.Second

var need = model.Resources{MilliCPU: 1000}

func start(t *testing.T, a worker.Agent, task string, attempt, durationMS int64, resume string) worker.Ref {
	t.Helper()
	ref := worker.Ref{Task: task, Attempt: attempt}
	require.NoError(t, a.Start(t.Context(), worker.StartRequest{
		Ref: ref, Resources: need, DurationMS: durationMS, Resume: resume, LeaseMS: leaseDuration.Milliseconds(),
	}))
	return ref
}

func find(t *testing.T, a worker.Agent, ref worker.Ref) (worker.Task, bool) {
	t.Helper()
	s, err := a.Status(t.Context(), -1, 0)
	require.NoError(t, err)
	for _, task := range s.Tasks {
		if task.Ref == ref {
			return task, true
		}
	}
	return worker.Task{}, false
}

// Agent tests the contract on an agent without tasks. It must run in a synctest
// bubble.
func Agent(t *testing.T, a worker.Agent) {
	t.Helper()
	testFinish(t, a)
	testRepeatedStart(t, a)
	testLeaseExpiry(t, a)
	testResume(t, a)
	testRefusals(t, a)
	testStatusWait(t, a)
}

func testFinish(t *testing.T, a worker.Agent) {
	ref := start(t, a, "finishes", 1, 500, "")
	task, ok := find(t, a, ref)
	require.True(t, ok)
	require.Equal(t, worker.Running, task.State)
	require.Equal(t, need, task.Resources)
	time.Sleep(2 * time.Second)
	task, _ = find(t, a, ref)
	require.Equal(t, worker.Finished, task.State, "an ended task is listed until Forget is called")
	require.NoError(t, a.Forget(t.Context(), []worker.Ref{ref}))
	_, ok = find(t, a, ref)
	require.False(t, ok)
}

func testRepeatedStart(t *testing.T, a worker.Agent) {
	ref := start(t, a, "repeated", 1, 60_000, "")
	start(t, a, "repeated", 1, 60_000, "")
	s, err := a.Status(t.Context(), -1, 0)
	require.NoError(t, err)
	require.Len(t, s.Tasks, 1, "a repeat has no effect")
	require.NoError(t, a.Forget(t.Context(), []worker.Ref{ref}))
	_, ok := find(t, a, ref)
	require.True(t, ok, "a running task is not removed by Forget")
	_, err = a.Stop(t.Context(), ref, false)
	require.NoError(t, err)
	again, err := a.Stop(t.Context(), ref, false)
	require.NoError(t, err, "stopping an ended attempt again succeeds")
	require.Equal(t, worker.Stopped, again.State)
	require.NoError(t, a.Forget(t.Context(), []worker.Ref{ref}))
}

func testLeaseExpiry(t *testing.T, a worker.Agent) {
	ref := start(t, a, "lapses", 1, 60_000, "")
	time.Sleep(3 * time.Second)
	require.NoError(t, a.Renew(t.Context(), leaseDuration))
	time.Sleep(3 * time.Second)
	task, _ := find(t, a, ref)
	require.Equal(t, worker.Running, task.State, "a renewed lease keeps the task running")
	time.Sleep(2 * time.Second)
	task, _ = find(t, a, ref)
	require.Equal(t, worker.Lapsed, task.State)
	require.NoError(t, a.Forget(t.Context(), []worker.Ref{ref}))
}

func testResume(t *testing.T, a worker.Agent) {
	ref := start(t, a, "resumes", 1, 60_000, "")
	time.Sleep(time.Second)
	saved, err := a.CheckpointAll(t.Context())
	require.NoError(t, err)
	require.Len(t, saved, 1, "one checkpoint for the running task")
	require.Equal(t, ref, saved[0].Ref)
	require.NotEmpty(t, saved[0].Checkpoint)
	time.Sleep(time.Second)
	stopped, err := a.Stop(t.Context(), ref, true)
	require.NoError(t, err)
	require.Equal(t, worker.Stopped, stopped.State)
	require.NotEqual(t, saved[0].Checkpoint, stopped.Checkpoint, "stopping saves the progress since the last checkpoint")
	next := start(t, a, "resumes", 2, 60_000, stopped.Checkpoint)
	task, _ := find(t, a, next)
	require.Equal(t, stopped.Checkpoint, task.Checkpoint)
	_, err = a.Stop(t.Context(), next, false)
	require.NoError(t, err)
	require.NoError(t, a.Forget(t.Context(), []worker.Ref{ref, next}))
}

func testRefusals(t *testing.T, a worker.Agent) {
	unknown := worker.Ref{Task: "unknown", Attempt: 1}
	_, err := a.Stop(t.Context(), unknown, false)
	require.ErrorIs(t, err, worker.ErrNoTask)
	require.ErrorIs(t, a.Throttle(t.Context(), unknown, 0.5), worker.ErrNoTask)
	late := worker.StartRequest{Ref: unknown, LeaseMS: 1000, NotAfterUnixMS: time.Now().Add(-time.Second).UnixMilli()}
	require.ErrorIs(t, a.Start(t.Context(), late), worker.ErrRefused, "a start after its NotAfterUnixMS")
	_, ok := find(t, a, unknown)
	require.False(t, ok)
}

func testStatusWait(t *testing.T, a worker.Agent) {
	s, err := a.Status(t.Context(), -1, 0)
	require.NoError(t, err)
	began := time.Now()
	same, err := a.Status(t.Context(), s.Sequence, 2*time.Second)
	require.NoError(t, err)
	require.Equal(t, s.Sequence, same.Sequence)
	require.Empty(t, same.Tasks, "unchanged tasks are not sent again")
	require.InDelta(t, 2.0, time.Since(began).Seconds(), 0.5, "nothing changed")
	time.AfterFunc(time.Second, func() {
		_ = a.Start(t.Context(), worker.StartRequest{Ref: worker.Ref{Task: "w", Attempt: 1}, DurationMS: 100, LeaseMS: 1000})
	})
	began = time.Now()
	changed, err := a.Status(t.Context(), s.Sequence, 10*time.Second)
	require.NoError(t, err)
	require.Greater(t, changed.Sequence, s.Sequence)
	require.InDelta(t, 1.0, time.Since(began).Seconds(), 0.5, "a change is returned without delay")
	require.Len(t, changed.Tasks, 1, "only the changed task")
	time.Sleep(200 * time.Millisecond)
	ended, err := a.Status(t.Context(), changed.Sequence, 0)
	require.NoError(t, err)
	require.Len(t, ended.Tasks, 1)
	require.Equal(t, worker.Finished, ended.Tasks[0].State)
	time.Sleep(time.Second)
	require.NoError(t, a.Forget(t.Context(), []worker.Ref{{Task: "w", Attempt: 1}}))
}
