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

// startMessages returns n messages of a leader with four starts each.
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

// Each message can be decoded as soon as it is written, unchanged. Compression reduces the size
// to less than half.
func TestCompressedMessagesAreFlushed(t *testing.T) {
	sizes := map[bool]int{}
	for _, compress := range []bool{false, true} {
		var wire bytes.Buffer
		w, err := newMessageWriter(&wire, compress)
		require.NoError(t, err)
		decoder := newMessageDecoder(&wire, compress)
		for _, m := range startMessages(200) {
			require.NoError(t, w.write(&m))
			sizes[compress] += wire.Len()
			var got orders
			require.NoError(t, decoder.Decode(&got))
			require.Equal(t, m, got)
			require.Zero(t, wire.Len(), "the decoder has consumed the whole message")
		}
	}
	require.Less(t, 2*sizes[true], sizes[false])
}

// A relay of an earlier version does not confirm compression. The stream then stays uncompressed,
// and the leader sends all payloads itself.
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
	for _, got := range agent.startPayloads() {
		require.Equal(t, "text", got)
	}
}

// Streams are compressed on slow links only, and not on links of unknown bandwidth.
func TestIsNarrowLink(t *testing.T) {
	require.True(t, isNarrowLink(2))
	require.False(t, isNarrowLink(20))
	require.False(t, isNarrowLink(0), "unknown bandwidth")
}
