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

// Guards against tasks that run twice when a zone is reconnected, as 40 once did. The leader's
// zone is cut off; another process leads after 2 s and starts new jobs; after 5 s the cut
// ends, and the first leader's watch delivers the same jobs before its next renewal fails. A
// leader that may still act must not accept jobs while its lease is unconfirmed.
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

	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		te.observeJobs([]durable.Item{item}, false)
	}()
	time.Sleep(3 * confirmPollInterval)
	te.mu.Lock()
	_, known := te.sched.State("j")
	te.mu.Unlock()
	require.False(t, known, "accepted by a leader that may be deposed")

	tenure.renewed(steady.Now())
	<-accepted
	state, known := te.sched.State("j")
	require.True(t, known, "not accepted by a confirmed leader")
	require.Equal(t, batch.Queued, state)
}
