package relay

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// startMessages are those of a stream on which so many starts are ordered and answered.
func startMessages(n int) (list []orders) {
	for i := range n {
		m := orders{SentAt: time.Duration(i) * time.Millisecond}
		for k := range 4 {
			m.Starts = append(m.Starts, startCall{
				Head: callHead{Call: uint64(4*i + k), VM: k, Within: 499 * time.Millisecond},
				Order: batch.StartOrder{
					Task: batch.TaskID{Job: "5c0e7a21d94b36f8", Step: 1, Index: 4*i + k}, Run: int64(33554432 + 4*i + k), Fence: 7,
					LeaseUntil: time.Hour + time.Duration(i)*time.Second,
				},
			})
		}
		list = append(list, m)
	}
	return list
}

// Compressed messages come one by one as they were, in less than half of the bytes.
func TestCompressedMessagesAreFlushed(t *testing.T) {
	sizes := map[bool]int{}
	for _, pack := range []bool{false, true} {
		var wire bytes.Buffer
		c, err := newMessageWriter(&wire, pack)
		require.NoError(t, err)
		decoder := newMessageDecoder(&wire, pack)
		for _, m := range startMessages(200) {
			require.NoError(t, c.write(&m))
			sizes[pack] += wire.Len()
			var got orders
			require.NoError(t, decoder.Decode(&got))
			require.Equal(t, m, got)
			require.Zero(t, wire.Len(), "nothing of a message is held back")
		}
	}
	require.Less(t, 2*sizes[true], sizes[false])
}

// An earlier version of the process does not confirm compression: the stream goes on without,
// and payloads are sent in full.
func TestRelayWithoutCompression(t *testing.T) {
	agent := &fakeAgents{}
	r := newTestRelay(t, "old", "a", agent)
	earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		req.Header.Del("Accept-Encoding")
		r.server.ServeHTTP(w, req)
	}))
	defer earlier.Close()
	r.offer.Address = strings.TrimPrefix(earlier.URL, "http://")
	holder := newTestRelay(t, "holder", "a", &fakeAgents{})
	p := newNarrowLinkPool(t, r, holder)
	for n := range int64(3) {
		require.Empty(t, startOnAllVMs(t, p, fmt.Sprint("job", n), "text", n+1))
	}
	require.NotEmpty(t, agent.startPayloads())
	require.Zero(t, holder.payloadRequests.Load())
	for _, had := range agent.startPayloads() {
		require.Equal(t, "text", had)
	}
}

func TestIsNarrowLink(t *testing.T) {
	require.True(t, isNarrowLink(2))
	require.False(t, isNarrowLink(20))
	require.False(t, isNarrowLink(0), "not told")
}
