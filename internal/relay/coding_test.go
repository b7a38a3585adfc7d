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

// messages are those of a stream on which so many starts are ordered and answered.
func messages(n int) (list []orders) {
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
func TestCompressedMessagesComeOneByOne(t *testing.T) {
	sizes := map[bool]int{}
	for _, pack := range []bool{false, true} {
		var wire bytes.Buffer
		c, err := newCoder(&wire, pack)
		require.NoError(t, err)
		decoder := newDecoder(&wire, pack)
		for _, m := range messages(200) {
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
func TestRelayThatDoesNotCompress(t *testing.T) {
	agent := &vms{}
	r := newProcess(t, "old", "a", agent)
	earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		req.Header.Del("Accept-Encoding")
		r.server.ServeHTTP(w, req)
	}))
	defer earlier.Close()
	r.offer.Address = strings.TrimPrefix(earlier.URL, "http://")
	holder := newProcess(t, "holder", "a", &vms{})
	p := narrowPool(t, r, holder)
	for n := range int64(3) {
		require.Empty(t, startAll(t, p, fmt.Sprint("job", n), "text", n+1))
	}
	require.NotEmpty(t, agent.payloads())
	require.Zero(t, holder.asked.Load())
	for _, had := range agent.payloads() {
		require.Equal(t, "text", had)
	}
}

func TestNarrowLinks(t *testing.T) {
	require.True(t, narrow(2))
	require.False(t, narrow(20))
	require.False(t, narrow(0), "not told")
}
