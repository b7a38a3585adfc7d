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

// What happened: all tasks of a deployment were evicted, and no VM was owned.
// Sequence: the platform answers with success and nothing else.
// Cause: an answer without its content was taken for a list without VMs.
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

// What happened: a node took all shards for free and all jobs for unknown until its
// first write failed. Sequence and cause as above, for the store.
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
