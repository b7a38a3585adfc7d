package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/admin"
	"github.com/rattanwall/rattanwall/internal/cluster"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/peer"
	"github.com/rattanwall/rattanwall/internal/route"
	"github.com/rattanwall/rattanwall/internal/standin/hosting"
	"github.com/rattanwall/rattanwall/internal/standin/worker"
)

// errorKindTest is a deployment in which errors are provoked.
type errorKindTest struct {
	*run
	caller *Caller
	client *http.Client
	lastID int
}

func (k *errorKindTest) nextID() string {
	k.lastID++
	return fmt.Sprintf("k%d", k.lastID)
}

// request sends a caller's request and returns the error kind of the response.
func (k *errorKindTest) request(method, path string, header http.Header, body io.Reader) errkind.Kind {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return errkind.Kind(k.caller.Send(ctx, method, path, k.nextID(), body, header).Kind)
}

func (k *errorKindTest) post(query string, header http.Header) errkind.Kind {
	return k.request(http.MethodPost, "crewbook/work?"+query, header, strings.NewReader("{}"))
}

// admin calls the administration API and returns the kind of its error.
func (k *errorKindTest) admin(method, path, token, version, body string) errkind.Kind {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+k.Balancer.All()[0].Admin+path, strings.NewReader(body))
	require.NoError(k.t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	if version != "" {
		req.Header.Set("If-Match", version)
	}
	resp, err := k.client.Do(req)
	require.NoError(k.t, err)
	defer func() { _ = resp.Body.Close() }()
	var answer admin.ErrorBody
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	if answer.Error != "" {
		require.Equal(k.t, errkind.Table[answer.Error].Status, resp.StatusCode)
		require.Equal(k.t, errkind.Table[answer.Error].Outcome, answer.Outcome)
	}
	return answer.Error
}

func jobBody(id string, tasks int) string {
	return fmt.Sprintf(`{"id":%q,"tasks":%d,"per_task":{"milli_cpu":1000},"duration_ms":60000}`, id, tasks)
}

const batchJobs = "/v1/teams/batch/jobs"

// holdRequests keeps n requests or watches in progress until release is called.
func (k *errorKindTest) holdRequests(n int, path string, header http.Header) (release func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range n {
		wg.Add(1)
		id := k.nextID()
		go func() {
			defer wg.Done()
			k.caller.Send(ctx, http.MethodGet, path, id, nil, header)
		}()
	}
	time.Sleep(2 * time.Second)
	return func() {
		cancel()
		wg.Wait()
		time.Sleep(2 * time.Second)
	}
}

var standingHeader = http.Header{route.HeaderClass: {string(model.Standing)}}

// errorKindCases provokes each kind as a caller, team, operator or peer receives it.
var errorKindCases = []struct {
	kind    errkind.Kind
	provoke func(k *errorKindTest) errkind.Kind
}{
	{errkind.InvalidRequest, func(k *errorKindTest) errkind.Kind {
		return k.post("", http.Header{route.HeaderTimeoutMS: {"soon"}})
	}},
	{errkind.InvalidRequest, func(k *errorKindTest) errkind.Kind {
		return k.admin(http.MethodPost, batchJobs, k.Batch, "", `{"id":"big","tasks":1,"per_task":{"milli_cpu":99000000}}`)
	}},
	{errkind.Unauthorized, func(k *errorKindTest) errkind.Kind { return k.admin(http.MethodGet, "/v1/config", "wrong", "", "") }},
	{errkind.Forbidden, func(k *errorKindTest) errkind.Kind { return k.admin(http.MethodGet, "/v1/config", k.Batch, "", "") }},
	{errkind.NotFound, func(k *errorKindTest) errkind.Kind {
		return k.request(http.MethodGet, "nowhere/work", nil, nil)
	}},
	{errkind.AlreadyExists, func(k *errorKindTest) errkind.Kind {
		require.Empty(k.t, k.admin(http.MethodPost, batchJobs, k.Batch, "", jobBody("a", 1)))
		require.Empty(k.t, k.admin(http.MethodPost, batchJobs, k.Batch, "", jobBody("a", 1)), "a repeated submission is accepted")
		return k.admin(http.MethodPost, batchJobs, k.Batch, "", jobBody("a", 2))
	}},
	{errkind.BodyTooLarge, func(k *errorKindTest) errkind.Kind {
		return k.request(http.MethodPost, "crewbook/work", nil, strings.NewReader(strings.Repeat("x", 2<<20)))
	}},
	{errkind.BodyTooLarge, func(k *errorKindTest) errkind.Kind {
		// Without a length the limit is detected while the body is forwarded.
		return k.request(http.MethodPost, "crewbook/work", nil, io.MultiReader(strings.NewReader(strings.Repeat("x", 2<<20))))
	}},
	{errkind.VersionConflict, func(k *errorKindTest) errkind.Kind {
		return k.admin(http.MethodPatch, "/v1/config", k.Operator, `"0"`, `{"weights":{"tail":3}}`)
	}},
	{errkind.VersionRequired, func(k *errorKindTest) errkind.Kind {
		return k.admin(http.MethodPatch, "/v1/config", k.Operator, "", `{"weights":{"tail":3}}`)
	}},
	{errkind.QuotaExceeded, func(k *errorKindTest) errkind.Kind {
		var kind errkind.Kind
		for i := range 3 {
			kind = k.admin(http.MethodPost, batchJobs, k.Batch, "", jobBody(fmt.Sprintf("many%d", i), 10_000))
		}
		return kind
	}},
	{errkind.TeamLimit, func(k *errorKindTest) errkind.Kind {
		require.NoError(k.t, k.Patch(k.t.Context(), `{"teams":{"rostering":{"max_in_flight":2}}}`))
		release := k.holdRequests(2, "crewbook/work?ms=8000", nil)
		kind := k.post("", nil)
		release()
		require.NoError(k.t, k.Patch(k.t.Context(), `{"teams":{"rostering":{"max_in_flight":null}}}`))
		return kind
	}},
	{errkind.Overloaded, func(k *errorKindTest) errkind.Kind {
		require.NoError(k.t, k.Patch(k.t.Context(), `{"services":{"crewbook":{"max_in_flight":2}}}`))
		release := k.holdRequests(2, "crewbook/work?ms=8000", nil)
		kind := k.post("", nil)
		release()
		require.NoError(k.t, k.Patch(k.t.Context(), `{"services":{"crewbook":{"max_in_flight":null}}}`))
		return kind
	}},
	{errkind.NoCapacity, func(k *errorKindTest) errkind.Kind {
		// 8 VMs accept at most 48 watches each; more are refused.
		release := k.holdRequests(8*48+100, "crewbook/watch?interval_ms=500", standingHeader)
		kind := k.request(http.MethodGet, "crewbook/watch", standingHeader, nil)
		release()
		return kind
	}},
	{errkind.DeadlineNotRun, func(k *errorKindTest) errkind.Kind {
		// Two rounds: the capacity of remote nodes is known only after their
		// next exchange.
		first := k.holdRequests(300, "crewbook/work?ms=9000", nil)
		second := k.holdRequests(300, "crewbook/work?ms=9000", nil)
		kind := k.post("", http.Header{route.HeaderTimeoutMS: {"50"}})
		first()
		second()
		return kind
	}},
	{errkind.TargetUnreached, func(k *errorKindTest) errkind.Kind { return k.post("fault="+worker.FaultResetEarly, nil) }},
	{errkind.NoOwner, func(k *errorKindTest) errkind.Kind {
		require.NoError(k.t, k.Patch(k.t.Context(), `{"services":{"lost":{"team":"rostering","zones":["atlantis"]}}}`))
		return k.request(http.MethodGet, "lost/work", nil, nil)
	}},
	{errkind.Timeout, func(k *errorKindTest) errkind.Kind {
		return k.post("ms=4000&fault="+worker.FaultLate, http.Header{route.HeaderTimeoutMS: {"100"}})
	}},
	{errkind.ConnectionLost, func(k *errorKindTest) errkind.Kind { return k.post("fault="+worker.FaultResetAfter, nil) }},
	{errkind.AnswerMismatch, func(k *errorKindTest) errkind.Kind { return k.post("fault="+worker.FaultWrongID, nil) }},
	{errkind.AnswerUnbounded, func(k *errorKindTest) errkind.Kind { return k.post("fault="+worker.FaultCloseDelimited, nil) }},
	{errkind.StoreUnavailable, func(k *errorKindTest) errkind.Kind {
		k.storeFaults(hosting.Faults{Down: true})
		defer k.storeFaults(hosting.Faults{})
		version := fmt.Sprintf("%q", fmt.Sprint(k.Nodes()[0].Keeper().Current().Head.Version))
		return k.admin(http.MethodPatch, "/v1/config", k.Operator, version, `{"weights":{"tail":3}}`)
	}},
	{errkind.StoreUnknown, func(k *errorKindTest) errkind.Kind {
		// The write takes effect, its response is lost, and then no read succeeds.
		time.Sleep(2 * time.Second)
		version := fmt.Sprintf("%q", fmt.Sprint(k.Nodes()[0].Keeper().Current().Head.Version))
		k.storeFaults(hosting.Faults{SlowMS: 900, LoseAnswers: 1000})
		time.AfterFunc(time.Second, func() { k.storeFaults(hosting.Faults{Down: true}) })
		defer k.storeFaults(hosting.Faults{})
		return k.admin(http.MethodPatch, "/v1/config", k.Operator, version, `{"weights":{"tail":4}}`)
	}},
	{errkind.NotOwner, func(k *errorKindTest) errkind.Kind { return k.requestFromNonLeader() }},
	{errkind.Draining, func(k *errorKindTest) errkind.Kind { return k.watchWhileStopping() }},
}

// requestFromNonLeader requests a job shard from a node that does not lead it.
func (k *errorKindTest) requestFromNonLeader() errkind.Kind {
	for _, n := range k.Nodes() {
		if _, err := (cluster.Server{Cluster: n.Cluster()}).Job(k.t.Context(), &peer.JobRequest{Shard: "jobs/none"}); err != nil {
			return errkind.NotOwner
		}
	}
	return ""
}

// watchWhileStopping requests a watch from a stopping node after its drain
// notice, while a long request still delays the stop.
func (k *errorKindTest) watchWhileStopping() errkind.Kind {
	release := k.holdRequests(1, "crewbook/work?ms=6000", nil)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		k.StopNode(k.Balancer.All()[0].Name)
	}()
	time.Sleep(drainNotice + 500*time.Millisecond)
	kind := k.request(http.MethodGet, "crewbook/watch", standingHeader, nil)
	release()
	<-stopped
	return kind
}

// unobservableKinds are the kinds that no caller receives here: CallerGone is for
// a caller that has left, Internal for a fault in the program itself.
var unobservableKinds = []errkind.Kind{errkind.CallerGone, errkind.Internal}

// Guards against returning an error kind that the table does not explain, and
// against a kind in the table that never occurs. Each case provokes its kind.
func TestEachKindIsReached(t *testing.T) {
	reached := map[errkind.Kind]bool{}
	for _, k := range unobservableKinds {
		reached[k] = true
	}
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		hosts := NewFake()
		d, err := Start(t.Context(), Options{Shape: smallShape(), Hosts: hosts, Log: log})
		require.NoError(t, err)
		callers, _ := hosts.Host(CallerHost)
		k := &errorKindTest{run: &run{Deployment: d, t: t, hosts: hosts}, caller: d.Caller("east-n1"), client: netio.Client(callers, 1)}
		defer func() {
			k.caller.Close()
			k.client.CloseIdleConnections()
			d.Close()
		}()
		time.Sleep(3 * time.Second)
		for _, c := range errorKindCases {
			got := c.provoke(k)
			require.Equal(t, c.kind, got)
			reached[got] = true
		}
	})
	for kind, row := range errkind.Table {
		require.True(t, reached[kind], "%s is never reached", kind)
		require.NotZero(t, row.Status)
		require.NotEmpty(t, row.Hint)
	}
}
