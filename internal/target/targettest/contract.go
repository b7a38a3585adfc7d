// Package targettest tests the contract of target.Target. Every implementation
// runs it.
package targettest

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/hop"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/target"
)

func request(id, path, query string) *target.Request {
	return &target.Request{
		HopID: "hop-" + id, OriginID: id, Class: model.Quick, Deadline: time.Now().Add(5 * time.Second),
		Method: http.MethodPost, Path: path, RawQuery: "size=100&" + query, Header: http.Header{},
		Body: io.NopCloser(strings.NewReader("{}")), Length: 2, Policy: hop.SendPolicy{Guarded: true, Timeout: time.Second},
	}
}

// Target tests a target that answers path after "ms" milliseconds with the body
// that want returns for the caller's ID. At most four connections may be open to it.
func Target(t *testing.T, c target.Target, path string, want func(origin string) []byte) {
	t.Helper()
	testWholeAnswers(t, c, path, want)
	testDeadline(t, c, path)
	testCutOffBody(t, c, path)
	c.CloseIdle()
	require.Zero(t, c.Connections())
}

// testWholeAnswers checks that concurrent requests on few connections each receive
// their own complete answer.
func testWholeAnswers(t *testing.T, c target.Target, path string, want func(string) []byte) {
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := string(rune('a' + i))
			got, err := c.Send(t.Context(), request(id, path, "ms=10"))
			if err != nil {
				t.Error(err)
				return
			}
			body, err := io.ReadAll(got.Body)
			_ = got.Body.Close()
			if err != nil || string(body) != string(want(id)) || got.Length != int64(len(body)) {
				t.Errorf("%s: %v %q", id, err, body)
			}
			if c.Connections() > 4 {
				t.Errorf("%d connections", c.Connections())
			}
		}()
	}
	wg.Wait()
}

// testDeadline checks that a request whose caller stops waiting is reported as
// possibly run.
func testDeadline(t *testing.T, c target.Target, path string) {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Send(ctx, request("late", path, "ms=3000"))
	var failed *hop.Error
	require.True(t, errors.As(err, &failed))
	require.False(t, failed.NotRun)
	time.Sleep(time.Second)
}

// testCutOffBody checks that a truncated request body results in an error.
func testCutOffBody(t *testing.T, c target.Target, path string) {
	r := request("cut", path, "")
	r.Length = 1000
	_, err := c.Send(t.Context(), r)
	require.Error(t, err)
	time.Sleep(time.Second)
}
