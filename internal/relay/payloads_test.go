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

// narrowPool is the pool of a leader on a narrow link with relays in one zone, each of
// which serves some VMs.
func narrowPool(t *testing.T, relays ...*process) *Pool {
	p := &Pool{Direct: &vms{}, Node: "leader", DirectVMs: 1, Processor: 1, LinkMbps: 2, Log: quiet()}
	p.Lead(t.Context(), 7)
	for _, r := range relays {
		r.offer.VMs = 20
		require.True(t, p.Offered(r.offer))
	}
	p.SetFleet(fleetOf(40))
	p.AwaitReady(t.Context(), 5*time.Second)
	require.Eventually(t, func() bool { return len(p.Serving()) == len(relays) }, 5*time.Second, time.Millisecond)
	return p
}

// startAll starts a task of a job on each VM and returns the errors.
func startAll(t *testing.T, p *Pool, job, text string, run int64) (failed []error) {
	var mu sync.Mutex
	var starts sync.WaitGroup
	for i := range 40 {
		starts.Go(func() {
			_, err := p.Start(soon(t), vmOf(i), batch.StartOrder{Task: batch.TaskID{Job: job, Index: i}, Run: run, Payload: text, Fence: 7, LeaseUntil: time.Hour})
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

// A leader on a narrow link writes a payload once; each VM is started with the whole of it.
func TestPayloadsAreHadFromOtherRelays(t *testing.T) {
	agents := [3]*vms{{}, {}, {}}
	var relays []*process
	for i, a := range agents {
		relays = append(relays, newProcess(t, fmt.Sprint("r", i), "a", a))
	}
	p := narrowPool(t, relays...)
	text := strings.Repeat("payload ", 300)
	require.Empty(t, startAll(t, p, "job", text, 1))
	asked := int64(0)
	for i, r := range relays {
		asked += r.asked.Load()
		require.NotEmpty(t, agents[i].payloads(), "each relay serves some VMs")
		for _, had := range agents[i].payloads() {
			require.Equal(t, text, had)
		}
	}
	require.EqualValues(t, 2, asked, "once by each relay but the holder")
	require.Empty(t, startAll(t, p, "job", text, 2))
	require.EqualValues(t, 2, relays[0].asked.Load()+relays[1].asked.Load()+relays[2].asked.Load())
}

// A relay that can't have a payload from its holder refuses the starts for certain, and gets
// the payload from the leader with the next.
func TestPayloadThatItsHolderDoesNotGiveComesFromTheLeader(t *testing.T) {
	agents := [3]*vms{{}, {}, {}}
	var relays []*process
	for i, a := range agents {
		relays = append(relays, newProcess(t, fmt.Sprint("r", i), "a", a))
		relays[i].keepsToItself.Store(true)
	}
	p := narrowPool(t, relays...)
	failed := startAll(t, p, "job", "text", 1)
	require.NotEmpty(t, failed)
	for _, err := range failed {
		var refusal *batch.RefusalError
		require.True(t, errors.As(err, &refusal), "%v", err)
		require.Equal(t, batch.RefusedUnreached, refusal.Reason)
	}
	require.Empty(t, startAll(t, p, "job", "text", 2))
	for _, a := range agents {
		for _, had := range a.payloads() {
			require.Equal(t, "text", had)
		}
	}
}

// A relay that the leader reaches and others don't costs a refused start once, not with each
// job.
func TestRelayThatDoesNotGiveHoldsNoFurtherPayloads(t *testing.T) {
	var relays []*process
	for i := range 3 {
		relays = append(relays, newProcess(t, fmt.Sprint("r", i), "a", &vms{}))
		relays[i].keepsToItself.Store(true)
	}
	p := narrowPool(t, relays...)
	refused := 0
	for n := range 8 {
		if len(startAll(t, p, fmt.Sprint("job", n), "text", 1)) > 0 {
			refused++
		}
	}
	require.Positive(t, refused)
	require.LessOrEqual(t, refused, 3, "each relay is tried once")
}

// An ID may have been another job's once: its payload is not taken for the job's.
func TestPayloadOfAnotherJobOfThatIDIsNotTaken(t *testing.T) {
	holder := newProcess(t, "holder", "a", &vms{})
	holder.server.payloads.put("job", "another text")
	agent := &vms{}
	asker := newProcess(t, "asker", "a", agent)
	asker.server.payloads.put("job", "another text")
	asker.server.keep(t.Context(), []payload{{Job: "job", From: holder.offer.Address, Hash: hashOf("text")}})
	_, known, awaited := asker.server.payloads.get("job")
	require.False(t, known)
	if awaited != nil {
		<-awaited
	}
	_, known, _ = asker.server.payloads.get("job")
	require.False(t, known)
}
