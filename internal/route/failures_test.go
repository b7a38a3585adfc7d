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

// TestMain: see package harness. Benchmarks use all processors.
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

// withTestCluster runs f on a deployment in a bubble of virtual time and ends with the
// checker's verdict on all that ran.
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
		// Every node has heard of every other's room.
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

// send sends one request with a new id and returns the answer and the id.
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

// Symptom: a caller is told the wrong thing of its request, or the request runs
// twice. Sequence: the target misbehaves in the way named, each time it is sent
// this request, wherever that is. Cause, in each row: the connection's failure
// is taken for the request's.
func TestTargetMisbehaves(t *testing.T) {
	rows := []struct {
		fault, method, query string
		header               http.Header
		outcome              errkind.Outcome
		kind                 errkind.Kind
		minRuns, maxRuns     int
	}{
		// A guarded request whose body was not asked for has not run, so it is
		// offered elsewhere, and in the end the caller may do the same.
		{fault: worker.FaultResetEarly, method: http.MethodPost, outcome: errkind.NotRun, kind: errkind.TargetUnreached},
		// A GET carries no proof, but may be repeated: up to four places.
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
				require.Less(t, a.Took, 2*time.Second, "what was given up is told at once")
				// The next request is not touched by what the last left behind.
				time.Sleep(3 * time.Second)
				next, _ := b.send(http.MethodPost, "", nil)
				require.Equal(t, string(errkind.Ran), next.Outcome)
			})
		})
	}
}

// Symptom: a caller is told that its request did not run, and it ran.
// Sequence: the target runs an idempotent request and resets the connection; when
// it is offered to another place, all slots have been taken.
// Cause: the outcome of the last place was told for that of all of them.
func TestNoRoomForTheSecondTryIsNotNotRun(t *testing.T) {
	withTestCluster(t, func(t *testing.T, b *testCluster) {
		var crowd sync.WaitGroup
		defer crowd.Wait()
		time.AfterFunc(50*time.Millisecond, func() {
			for i := range 90 {
				crowd.Go(func() {
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

// Symptom: a caller takes half an answer for the whole. Sequence: the target
// resets the connection in the middle of its answer. Cause: the node ends its
// own answer cleanly.
func TestAnswerCutOffIsPassedOnAsCutOff(t *testing.T) {
	withTestCluster(t, func(t *testing.T, b *testCluster) {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			a, id := b.send(method, "fault="+worker.FaultResetMid, nil)
			require.Error(t, a.Err)
			require.Equal(t, 1, b.Runs(id))
		}
	})
}

// Symptom: a caller gets the answer to somebody else's request. Sequence: the
// target answers twice on one connection; the connection is used again. Cause:
// answers are matched to requests by their order alone.
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

// Symptom: requests hang until their deadline, or are lost, or run twice.
// Sequence: every open connection to the targets goes silent; requests follow.
// Cause: a pooled connection is taken to be good because nothing says it is not.
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

// Symptom: half a booking is executed. Sequence: the caller's connection breaks
// while it sends the body. Cause: the part that arrived is passed on as whole.
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

// Symptom: a target works on for callers who have gone. Sequence: the caller
// leaves while its request runs. Cause: the cancellation is not passed on.
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

// Symptom: work reaches a target that has left. Sequence: all slots are taken,
// requests wait; a VM begins to leave; slots come free. Cause: what waits was
// bound to the VM when it came.
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
		// Three seconds later the VM gets nothing: the checker looks (I7).
		time.Sleep(3 * time.Second)
		for range 20 {
			a, _ := b.send(http.MethodPost, "", nil)
			require.Equal(t, string(errkind.Ran), a.Outcome)
		}
	})
}

// Symptom: a planned stop cuts requests off. Sequence: requests and watches are
// under way at a node when it is told to stop, and more come until the balancer
// has noticed. Cause: the listener closes first, or watches hold the stop up.
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

// Symptom: quick requests of one service wait behind another's. Sequence: a
// service that takes seconds gets more requests than there are slots. Cause: it
// may take them all.
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

// Symptom: batch work is started while quick requests queue. Sequence: more
// quick requests than slots keep coming; an ordinary and an urgent job are
// submitted. Cause: placement looks at processors only.
func TestBatchIsShedWhileQuickRequestsWait(t *testing.T) {
	withTestCluster(t, func(t *testing.T, b *testCluster) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		// 120 callers in turn for 24 slots: always some wait at either node.
		for i := range 120 {
			caller := b.caller
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; ctx.Err() == nil; n++ {
					caller.Send(ctx, http.MethodGet, service+"/work?ms=100", fmt.Sprintf("busy-%d-%d", i, n), nil, nil)
					// What is shed is answered at once, and no time would pass.
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
