package httphosting

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/netio"
)

// Guards against evicting all tasks and owning no VM when the platform responds
// with success but without content: an empty response is taken for a list
// without VMs.
func TestAnswerWithoutContentIsNoList(t *testing.T) {
	for _, body := range []string{"", "{}", `{"vms":[]}`} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		defer s.Close()
		c := New(netio.TCP{}, strings.TrimPrefix(s.URL, "http://"))
		defer c.Close()
		_, _, err := c.VMs(context.Background(), "")
		require.Error(t, err, "%q", body)
	}
}

// Guards against a node that considers all shards free and all jobs unknown until
// its first write fails: an empty response is taken for a listing without keys.
func TestAnswerWithoutContentIsNoListing(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	c := New(netio.TCP{}, strings.TrimPrefix(s.URL, "http://"))
	defer c.Close()
	_, _, err := c.List(context.Background(), "jobs/")
	require.Error(t, err)
	_, err = c.Get(context.Background(), "config/head")
	require.Error(t, err)
}
