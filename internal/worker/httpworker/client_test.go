package httpworker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/netio"
)

// What happened: all tasks of a VM were counted as lost and started again elsewhere
// while they ran.
// Sequence: the agent answers a status call with success and nothing else.
// Cause: an answer without its content was taken for the list of a VM that has
// restarted and holds nothing.
func TestAnswerWithoutContentIsNoStatus(t *testing.T) {
	for _, body := range []string{"", "{}", `{"tasks":[]}`} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		defer s.Close()
		c := New(netio.TCP{}, strings.TrimPrefix(s.URL, "http://"))
		defer c.Close()
		_, err := c.Status(context.Background(), -1, 0)
		require.Error(t, err, "%q", body)
	}
}
