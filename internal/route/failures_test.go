package route_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/checker"
	"github.com/rattanwall/rattanwall/internal/cluster"
	"github.com/rattanwall/rattanwall/internal/deployment"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/harness"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/route"
	"github.com/rattanwall/rattanwall/internal/standin/record"
	"github.com/rattanwall/rattanwall/internal/standin/worker"
)

// TestMain limits tests to one processor; see package harness. Benchmarks use all
// processors.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("test.bench").Value.String() == "" {
		runtime.GOMAXPROCS(1)
	}
	os.Exit(m.Run())
}

// testCluster is a deployment of one availability zone, two nodes and three VMs.
type testCluster struct {
	*harness.Deployment
	t            *testing.T
	hosts        *harness.Fake
	caller       *harness.Caller
	requestCount int
}

const (
	service    = "crewbook"
	firstNode  = "east-n1"
	secondNode = "east-n2"
)

// withTestCluster runs f on a deployment in a synctest bubble and then requires that
// the checker finds no violation in the recorded events.
func withTestCluster(t *testing.T, f func(t *testing.T, b *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		shape := deployment.Shapes()["cofnod-criw"]
		shape.Zones, shape.Workers, shape.WorkersPerRack = map[string]int{"east": 2}, 3, 3
		hosts := harness.NewFake()
		d, err := harness.Start(t.Context(), harness.Options{Shape: shape, Hosts: hosts, Log: log})
		require.NoError(t, err)
		// Each node then has the free capacity of every other.
		time.Sleep(3 * time.Second)
		b := &testCluster{Deployment: d, t: t, hosts: hosts, caller: d.Caller(firstNode)}
		func() {
			defer func() {
				b.caller.Close()
				d.Close()
			}()
			f(t, b)
		}()
		for _, r := range checker.Check(d.Recorder.Events()) {
			require.Zerof(t, r.Broken, "%s %s: %v", r.ID, r.Title, r.Examples)
		}
	})
}

// send sends one request with a new ID and returns the answer and the ID.
func (b *testCluster) send(method, query string, header http.Header) (harness.Answer, string) {
	b.requestCount++
	id := fmt.Sprintf("%s-%d", method, b.requestCount)
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("{}")
	}
	return b.caller.Send(context.Background(), method, service+"/work?size=100&"+query, id, body, header), id
}

func (b *testCluster) silenceTargets() {
	for _, node := range []string{firstNode, secondNode} {
		for _, vm := range b.Shape.VMs() {
			b.hosts.Silence(b.hosts.IP(node), b.hosts.IP(vm.Name))
		}
	}
}

// openConnections makes both nodes open connections to every VM and to each other.
func (b *testCluster) openConnections() {
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := b.caller.Send(context.Background(), http.MethodGet, service+"/work?size=100&ms=50", fmt.Sprintf("warm-%d", i), nil, nil)
			require.Equal(b.t, string(errkind.Ran), a.Outcome)
		}()
	}
	wg.Wait()
}

// Guards against a wrong outcome for the caller, or a second run of a request that
// is not idempotent. Every target handles this request with the fault of the row.
// The router must not take the failure of the connection for that of the request.
func TestTargetMisbehaves(t *testing.T) {
	rows := []struct {
		fault, method, query string
		header               http.Header
		outcome              errkind.Outcome
		kind                 errkind.Kind
		minRuns, maxRuns     int
	}{
		// A guarded request whose body was not requested has not run, so the router
		// tries other places, and finally the caller may retry too.
		{fault: worker.FaultResetEarly, method: http.MethodPost, outcome: errkind.NotRun, kind: errkind.TargetUnreached},
		// A GET may have run, but it is idempotent: up to four places are tried.
		{fault: worker.FaultResetEarly, method: http.MethodGet, outcome: errkind.Unknown, kind: errkind.ConnectionLost},
		{fault: worker.FaultResetAfter, method: http.MethodPost, outcome: errkind.Unknown, kind: errkind.ConnectionLost, minRuns: 1, maxRuns: 1},
		{fault: worker.FaultResetAfter, method: http.MethodGet, outcome: errkind.Unknown, kind: errkind.ConnectionLost, minRuns: 2, maxRuns: 4},
		{fault: worker.FaultWrongID, method: http.MethodPost, outcome: errkind.Unknown, kind: errkind.AnswerMismatch, minRuns: 1, maxRuns: 1},
		{fault: worker.FaultCloseDelimited, method: http.MethodPost, outcome: errkind.Unknown, kind: errkind.AnswerUnbounded, minRuns: 1, maxRuns: 1},
		{
			fault: worker.FaultLate, method: http.MethodPost, query: "ms=2000", header: http.Header{route.HeaderTimeoutMS: {"300"}},
			outcome: errkind.Unknown, kind: errkind.Timeout, minRuns: 1, maxRuns: 1,
		},
	}
	for _, row := range rows {
		t.Run(row.fault+" "+row.method, func(t *testing.T) {
			withTestCluster(t, func(t *testing.T, b *testCluster) {
				a, id := b.send(row.method, row.query+"&fault="+row.fault, row.header)
				require.NoError(t, a.Err)
				require.Equal(t, string(row.outcome), a.Outcome)
				require.Equal(t, string(row.kind), a.Kind)
				require.Equal(t, errkind.Table[row.kind].Status, a.Status)
				require.GreaterOrEqual(t, b.Runs(id), row.minRuns)
				require.LessOrEqual(t, b.Runs(id), row.maxRuns)
				require.Less(t, a.Took, 2*time.Second, "a failed request is answered without delay")
				// The fault does not affect the next request.
				time.Sleep(3 * time.Second)
				next, _ := b.send(http.MethodPost, "", nil)
				require.Equal(t, string(errkind.Ran), next.Outcome)
			})
		})
	}
}

// Guards against the outcome not-run for a request that ran. The target runs an
// idempotent request and resets the connection; when the router tries another
// place, all slots are taken. The outcome of the last try must not replace that of
// the earlier one.
func TestNoRoomForTheSecondTryIsNotNotRun(t *testing.T) {
	withTestCluster(t, func(t *testing.T, b *testCluster) {
		var others sync.WaitGroup
		defer others.Wait()
		time.AfterFunc(50*time.Millisecond, func() {
			for i := range 90 {
				others.Go(func() {
					_ = b.caller.Send(context.Background(), http.MethodGet, service+"/work?size=100&ms=8000", fmt.Sprintf("crowd-%d", i), nil, nil)
				})
			}
		})
		a, id := b.send(http.MethodGet, "ms=200&fault="+worker.FaultResetAfter, nil)
		require.NoError(t, a.Err)
		require.Positive(t, b.Runs(id))
		require.Equal(t, string(errkind.Unknown), a.Outcome, a.Kind)
	})
}

// Guards against a caller taking a partial answer for a complete one. The target
// resets the connection in the middle of its answer; the node must not end its own
// answer cleanly.
func TestAnswerCutOffIsPassedOnAsCutOff(t *testing.T) {
	withTestCluster(t, func(t *testing.T, b *testCluster) {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			a, id := b.send(method, "fault="+worker.FaultResetMid, nil)
			require.Error(t, a.Err)
			require.Equal(t, 1, b.Runs(id))
		}
	})
}

// Guards against a caller receiving the answer to another request. The target
// answers twice on one connection, which is then reused. Answers must not be
// matched to requests by their order alone.
func TestDuplicateAnswerIsNotGivenToAnotherRequest(t *testing.T) {
	withTestCluster(t, func(t *testing.T, b *testCluster) {
		for range 20 {
			a, _ := b.send(http.MethodGet, "fault="+worker.FaultDuplicate, nil)
			require.NoError(t, a.Err)
			for range 4 {
				next, id := b.send(http.MethodGet, "", nil)
				require.Equal(t, string(errkind.Ran), next.Outcome)
				require.Equal(t, worker.AnswerBody(id, 100), next.Body)
			}
		}
	})
}

// Guards against requests that wait until their deadline, are lost, or run twice.
// Every open connection to the targets, or between the nodes, stops responding, and
// requests follow. The router must not assume that pooled connections work.
func TestSilentConnections(t *testing.T) {
	for _, between := range []string{"targets", "nodes"} {
		t.Run(between, func(t *testing.T) {
			withTestCluster(t, func(t *testing.T, b *testCluster) {
				b.openConnections()
				if between == "targets" {
					b.silenceTargets()
				} else {
					b.hosts.Silence(b.hosts.IP(firstNode), b.hosts.IP(secondNode))
				}
				for range 5 {
					for _, method := range []string{http.MethodPost, http.MethodGet} {
						a, id := b.send(method, "ms=3", nil)
						require.NoError(t, a.Err)
						require.Equal(t, string(errkind.Ran), a.Outcome, "%s %s", method, a.Kind)
						require.Equal(t, 1, b.Runs(id))
						require.Less(t, a.Took, 3*time.Second)
					}
				}
			})
		})
	}
}

// Guards against the execution of a partial booking. The caller's connection breaks
// while it sends the body; the part that arrived must not be passed on as complete.
func TestBodyCutOffByCallerIsNotRun(t *testing.T) {
	withTestCluster(t, func(t *testing.T, b *testCluster) {
		ctx, cancel := context.WithCancel(context.Background())
		reader, writer := io.Pipe()
		go func() {
			_, _ = writer.Write([]byte(`{"member":`))
			time.Sleep(200 * time.Millisecond)
			cancel()
			_ = writer.CloseWithError(io.ErrUnexpectedEOF)
		}()
		a := b.caller.Send(ctx, http.MethodPost, service+"/work?size=100", "half", reader, nil)
		require.Error(t, a.Err)
		time.Sleep(2 * time.Second)
		require.Zero(t, b.Runs("half"))
	})
}

// Guards against a target working for a caller that has disconnected. The caller
// leaves while its request runs; the cancellation must be passed on.
func TestCallerLeaving(t *testing.T) {
	withTestCluster(t, func(t *testing.T, b *testCluster) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		a := b.caller.Send(ctx, http.MethodGet, service+"/work?ms=5000", "gone", nil, nil)
		require.Error(t, a.Err)
		time.Sleep(time.Second)
		for _, e := range b.Recorder.Events() {
			require.False(t, e.ID == "gone" && e.Reason == "done")
		}
		require.Zero(t, b.inFlight(), "its slot is free again")
	})
}

func (b *testCluster) inFlight() (n int64) {
	for _, node := range b.Nodes() {
		for _, vm := range node.VMDumps() {
			n += vm.Used.Slots
		}
	}
	return n
}

// Guards against requests reaching a target that has left. All slots are taken and
// requests wait; a VM begins to leave, and slots become free. A waiting request
// must not be bound to a VM when it arrives.
func TestTargetLeavesWithQueuedWork(t *testing.T) {
	withTestCluster(t, func(t *testing.T, b *testCluster) {
		var wg sync.WaitGroup
		answers := make([]harness.Answer, 60)
		for i := range answers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				header := http.Header{route.HeaderClass: {string(model.Heavy)}}
				answers[i] = b.caller.Send(context.Background(), http.MethodPost, service+"/work?size=100&ms=1000", fmt.Sprintf("queued-%d", i), strings.NewReader("{}"), header)
			}()
		}
		time.Sleep(500 * time.Millisecond)
		b.Platform.SetVMState("east-w00", model.VMLeaving)
		wg.Wait()
		for i, a := range answers {
			id := fmt.Sprintf("queued-%d", i)
			require.Contains(t, []string{string(errkind.Ran), string(errkind.NotRun)}, a.Outcome)
			require.Equal(t, a.Outcome == string(errkind.Ran), b.Runs(id) == 1)
		}
		// From three seconds later the VM receives no requests; the checker verifies
		// this (I7).
		time.Sleep(3 * time.Second)
		for range 20 {
			a, _ := b.send(http.MethodPost, "", nil)
			require.Equal(t, string(errkind.Ran), a.Outcome)
		}
	})
}

// Guards against a planned stop that aborts requests. Requests and a watch are in
// flight at a node when it is stopped, and more arrive until the balancer detects
// this. The listener must not close first, and watches must not delay the stop.
func TestPlannedStopUnderLoad(t *testing.T) {
	withTestCluster(t, func(t *testing.T, b *testCluster) {
		var wg sync.WaitGroup
		watch := harness.Answer{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			watch = b.caller.Send(context.Background(), http.MethodGet, service+"/watch?interval_ms=100", "watch", nil, http.Header{route.HeaderClass: {string(model.Standing)}})
		}()
		answers := make([]harness.Answer, 40)
		for i := range answers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				answers[i] = b.caller.Send(context.Background(), http.MethodPost, service+"/work?size=100&ms=900", fmt.Sprintf("stop-%d", i), strings.NewReader("{}"), nil)
			}()
		}
		time.Sleep(time.Second)
		b.StopNode(firstNode)
		wg.Wait()
		for i, a := range answers {
			require.NoError(t, a.Err, i)
			require.Equal(t, string(errkind.Ran), a.Outcome, "%d %s", i, a.Kind)
		}
		require.NoError(t, watch.Err, "the watch ends cleanly")
		require.True(t, strings.HasSuffix(string(watch.Body), "\n"))
	})
}

// Guards against quick requests of one service waiting for those of another. A
// service whose requests take seconds gets more of them than there are slots; it
// must not take all slots.
func TestSlowServiceBesideQuickOne(t *testing.T) {
	withTestCluster(t, func(t *testing.T, b *testCluster) {
		b.patch(`{"services":{"slow":{"team":"rostering"}}}`)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				b.caller.Send(ctx, http.MethodGet, "slow/work?ms=8000", fmt.Sprintf("slow-%d", i), nil, nil)
			}()
		}
		time.Sleep(time.Second)
		for range 50 {
			a, _ := b.send(http.MethodPost, "ms=3", nil)
			require.Equal(t, string(errkind.Ran), a.Outcome, a.Kind)
			require.Less(t, a.Took, 50*time.Millisecond)
		}
		cancel()
		wg.Wait()
	})
}

func (b *testCluster) patch(patch string) {
	require.NoError(b.t, b.Patch(b.t.Context(), patch))
}

// Guards against batch work starting while quick requests wait. More quick requests
// than slots keep arriving while an ordinary and an urgent job are submitted.
// Placement must consider more than the free processors.
func TestBatchIsShedWhileQuickRequestsWait(t *testing.T) {
	withTestCluster(t, func(t *testing.T, b *testCluster) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		// 120 callers for 24 slots: some always wait at each node.
		for i := range 120 {
			caller := b.caller
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; ctx.Err() == nil; n++ {
					caller.Send(ctx, http.MethodGet, service+"/work?ms=100", fmt.Sprintf("busy-%d-%d", i, n), nil, nil)
					// A shed request is answered immediately, and no virtual time would pass.
					time.Sleep(10 * time.Millisecond)
				}
			}()
		}
		time.Sleep(time.Second)
		submit := func(id string, urgent bool) {
			spec := model.JobSpec{ID: id, Team: "batch", Tasks: 2, DurationMS: 500, Urgent: urgent, PerTask: model.Resources{MilliCPU: 100}}
			_, err := b.Nodes()[0].Cluster().Job(ctx, "batch", cluster.VerbSubmit, spec)
			require.NoError(t, err)
		}
		submit("ordinary", false)
		submit("urgent", true)
		time.Sleep(1400 * time.Millisecond)
		require.Equal(t, 2, b.taskStarts("batch/urgent"), "urgent work starts within 1.4 s")
		require.Zero(t, b.taskStarts("batch/ordinary"))
		cancel()
		wg.Wait()
		time.Sleep(3 * time.Second)
		require.Equal(t, 2, b.taskStarts("batch/ordinary"))
	})
}

func (b *testCluster) taskStarts(job string) int {
	n := 0
	for _, e := range b.Recorder.Events() {
		if e.Kind == record.TaskStart && strings.HasPrefix(e.ID, job+":") {
			n++
		}
	}
	return n
}
