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

// Guards against counting all tasks of a VM as lost and starting them again
// elsewhere while they run. The agent answers a status call with success and
// without a status, which must not be taken for that of a restarted VM.
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
