package relay

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// newNarrowLinkPool returns the pool of a leader on a narrow link, connected to all the given
// relays.
func newNarrowLinkPool(t *testing.T, relays ...*testRelay) *Pool {
	p := &Pool{Direct: &fakeAgents{}, Node: "leader", DirectVMs: 1, Processor: 1, LinkMbps: 2, Log: discardLog()}
	p.Lead(t.Context(), 7)
	for _, r := range relays {
		r.offer.VMs = 20
		require.True(t, p.AddOffer(r.offer))
	}
	p.SetFleet(testFleet(40))
	p.AwaitReady(t.Context(), 5*time.Second)
	require.Eventually(t, func() bool { return len(p.Serving()) == len(relays) }, 5*time.Second, time.Millisecond)
	return p
}

// startOnAllVMs starts one task of a job on each VM concurrently and returns the errors.
func startOnAllVMs(t *testing.T, p *Pool, job, text string, run int64) (failed []error) {
	var mu sync.Mutex
	var starts sync.WaitGroup
	for i := range 40 {
		starts.Go(func() {
			_, err := p.Start(shortContext(t), testVM(i), batch.StartOrder{Task: batch.TaskID{Job: job, Index: i}, Run: run, Payload: text, Fence: 7, LeaseUntil: time.Hour})
			if err != nil {
				mu.Lock()
				failed = append(failed, err)
				mu.Unlock()
			}
		})
	}
	starts.Wait()
	return failed
}

// A leader on a narrow link sends a payload to one relay only. The others fetch it from there,
// and each task is started with the complete payload.
func TestPayloadsAreFetchedFromOtherRelays(t *testing.T) {
	agents := [3]*fakeAgents{{}, {}, {}}
	var relays []*testRelay
	for i, a := range agents {
		relays = append(relays, newTestRelay(t, fmt.Sprint("r", i), "a", a))
	}
	p := newNarrowLinkPool(t, relays...)
	text := strings.Repeat("payload ", 300)
	require.Empty(t, startOnAllVMs(t, p, "job", text, 1))
	requests := int64(0)
	for i, r := range relays {
		requests += r.payloadRequests.Load()
		require.NotEmpty(t, agents[i].startPayloads(), "each relay serves some VMs")
		for _, got := range agents[i].startPayloads() {
			require.Equal(t, text, got)
		}
	}
	require.EqualValues(t, 2, requests, "one request by each relay except the holder")
	require.Empty(t, startOnAllVMs(t, p, "job", text, 2))
	require.EqualValues(t, 2, relays[0].payloadRequests.Load()+relays[1].payloadRequests.Load()+relays[2].payloadRequests.Load())
}

// A relay that cannot fetch a payload from its holder refuses the starts, which are then certainly
// not carried out. The leader sends the payload itself with the next start.
func TestLeaderSendsPayloadAfterFailedFetch(t *testing.T) {
	agents := [3]*fakeAgents{{}, {}, {}}
	var relays []*testRelay
	for i, a := range agents {
		relays = append(relays, newTestRelay(t, fmt.Sprint("r", i), "a", a))
		relays[i].rejectsPayloadRequests.Store(true)
	}
	p := newNarrowLinkPool(t, relays...)
	failed := startOnAllVMs(t, p, "job", "text", 1)
	require.NotEmpty(t, failed)
	for _, err := range failed {
		var refusal *batch.RefusalError
		require.True(t, errors.As(err, &refusal), "%v", err)
		require.Equal(t, batch.RefusedUnreached, refusal.Reason)
	}
	require.Empty(t, startOnAllVMs(t, p, "job", "text", 2))
	for _, a := range agents {
		for _, got := range a.startPayloads() {
			require.Equal(t, "text", got)
		}
	}
}

// A holder that the leader reaches but the other relays do not would cause refused starts with
// each job. It causes them once only: after that it is no holder for a while.
func TestRelayWithFailedFetchIsNoLongerHolder(t *testing.T) {
	var relays []*testRelay
	for i := range 3 {
		relays = append(relays, newTestRelay(t, fmt.Sprint("r", i), "a", &fakeAgents{}))
		relays[i].rejectsPayloadRequests.Store(true)
	}
	p := newNarrowLinkPool(t, relays...)
	refused := 0
	for n := range 8 {
		if len(startOnAllVMs(t, p, fmt.Sprint("job", n), "text", 1)) > 0 {
			refused++
		}
	}
	require.Positive(t, refused)
	require.LessOrEqual(t, refused, 3, "each relay is the holder at most once")
}

// A stored payload may belong to an earlier job with the same ID. Its hash differs, and neither the
// relay nor its holder may use it for the new job.
func TestPayloadOfReusedJobIDIsRejected(t *testing.T) {
	holder := newTestRelay(t, "holder", "a", &fakeAgents{})
	holder.server.payloads.put("job", "another text")
	agent := &fakeAgents{}
	relay := newTestRelay(t, "asker", "a", agent)
	relay.server.payloads.put("job", "another text")
	relay.server.storePayloads(t.Context(), []payload{{Job: "job", From: holder.offer.Address, Hash: hashPayload("text")}})
	_, found, fetched := relay.server.payloads.get("job")
	require.False(t, found)
	if fetched != nil {
		<-fetched
	}
	_, found, _ = relay.server.payloads.get("job")
	require.False(t, found)
}
