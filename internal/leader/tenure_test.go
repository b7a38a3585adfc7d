package leader

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// Symptom: 40 tasks run twice at the moment at which a zone is joined again.
// Sequence: the leader's zone is cut off; another leads after 2 s and starts the
// jobs that come; after 5 s the cut ends, and the first leader's watch brings it
// the same jobs before its next renewal tells it that its lease is gone.
// Cause: a leader that may still act took new jobs up without knowing whether it leads.
func TestUnconfirmedLeaderAcceptsNoJobs(t *testing.T) {
	_, cancel := context.WithCancel(context.Background())
	tenure := &Tenure{Fence: 1, renewedAt: steady.Now() - 3*time.Second, cancel: cancel}
	require.True(t, tenure.MayAct())
	require.False(t, tenure.Confirmed())
	te := &term{
		Leader: &Leader{WallMS: func() int64 { return 0 }}, tenure: tenure, planRequested: make(chan struct{}, 1),
		sched: scheduler.New(scheduler.Settings{}, 1, nil),
	}
	item := durable.Item{Key: JobKey("j"), Value: []byte(`{"queue":"q","pool":"p","job":{"steps":[{"tasks":1,"need":{}}]}}`)}

	taken := make(chan struct{})
	go func() {
		defer close(taken)
		te.observeJobs([]durable.Item{item}, false)
	}()
	time.Sleep(3 * confirmPollInterval)
	te.mu.Lock()
	_, known := te.sched.State("j")
	te.mu.Unlock()
	require.False(t, known, "taken up by a leader that may have been deposed")

	tenure.renewed(steady.Now())
	<-taken
	state, known := te.sched.State("j")
	require.True(t, known, "not taken up by a leader that was confirmed")
	require.Equal(t, batch.Queued, state)
}
