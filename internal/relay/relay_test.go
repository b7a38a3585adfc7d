package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// fakeAgents is a batch.Agents that records orders and returns the configured results.
type fakeAgents struct {
	mu     sync.Mutex
	starts []batch.StartOrder
	holds  map[string]int
	acked  []int64
	report func(id string) (batch.Report, error)
	stop   error
	// delay is the duration of each start.
	delay time.Duration
}

func (f *fakeAgents) Start(ctx context.Context, _ *batch.Instance, o batch.StartOrder) (time.Duration, error) {
	f.mu.Lock()
	f.starts = append(f.starts, o)
	f.mu.Unlock()
	select {
	case <-time.After(f.delay):
		return time.Hour, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// startPayloads returns the payloads of all starts so far.
func (f *fakeAgents) startPayloads() (all []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.starts {
		all = append(all, f.starts[i].Payload)
	}
	return all
}

func (f *fakeAgents) Stop(context.Context, *batch.Instance, batch.TaskID, int64, int64) error {
	return f.stop
}

func (f *fakeAgents) Pace(context.Context, *batch.Instance, batch.TaskID, int64, int, int64) error {
	return nil
}

func (f *fakeAgents) Hold(_ context.Context, vm *batch.Instance, o batch.HoldOrder) (batch.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holds == nil {
		f.holds = map[string]int{}
	}
	f.holds[vm.ID]++
	f.acked = append(f.acked, o.Acked)
	if f.report == nil {
		return batch.Report{Clock: time.Hour}, nil
	}
	return f.report(vm.ID)
}

// acknowledged returns the Acked value of each hold so far.
func (f *fakeAgents) acknowledged() []int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.acked)
}

func (f *fakeAgents) holdCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.holds {
		n += c
	}
	return n
}

func discardLog() *eventlog.Log { return eventlog.New(io.Discard, logrus.ErrorLevel) }

// testRelay is a relay with its HTTP server and its offer.
type testRelay struct {
	server     *Server
	httpServer *httptest.Server
	offer      Offer
	// payloadRequests counts the requests for payloads by other relays. They all fail if
	// rejectsPayloadRequests is set.
	payloadRequests        atomic.Int64
	rejectsPayloadRequests atomic.Bool
}

func newTestRelay(t testing.TB, node, zone string, agents batch.Agents) *testRelay {
	tr := &testRelay{server: &Server{Agents: agents, Client: http.DefaultClient, Log: discardLog()}, offer: Offer{Node: node, Zone: zone, VMs: 80}}
	serveRelay(t, tr)
	return tr
}

func serveRelay(t testing.TB, tr *testRelay) {
	mux := http.NewServeMux()
	mux.Handle(Path, tr.server)
	mux.HandleFunc(PayloadPath, func(w http.ResponseWriter, r *http.Request) {
		tr.payloadRequests.Add(1)
		if tr.rejectsPayloadRequests.Load() {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		tr.server.ServePayload(w, r)
	})
	tr.httpServer = httptest.NewServer(mux)
	t.Cleanup(tr.httpServer.Close)
	tr.offer.Address = strings.TrimPrefix(tr.httpServer.URL, "http://")
	tr.offer.VMs = max(tr.offer.VMs, 80)
}

func (tr *testRelay) streamCount() int {
	tr.server.mu.Lock()
	defer tr.server.mu.Unlock()
	if tr.server.current == nil {
		return 0
	}
	return 1
}

// closeStream closes the connection of the relay's current stream.
func (tr *testRelay) closeStream() {
	tr.server.mu.Lock()
	defer tr.server.mu.Unlock()
	_ = tr.server.current.conn.Close()
}

// newPool returns the pool of a leader with a fleet of the given size in two availability zones,
// after the relays have been offered.
func newPool(t testing.TB, direct batch.Agents, fleet int, relays ...*testRelay) *Pool {
	p := &Pool{Direct: direct, Node: "leader", DirectVMs: DirectVMs, Processor: 1, Log: discardLog()}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p.Lead(ctx, 7)
	for _, r := range relays {
		require.True(t, p.AddOffer(r.offer))
	}
	p.SetFleet(testFleet(fleet))
	p.AwaitReady(ctx, 5*time.Second)
	return p
}

func testFleet(n int) map[string]string {
	fleet := map[string]string{}
	for i := range n {
		vm := testVM(i)
		fleet[vm.ID] = vm.Zone
	}
	return fleet
}

func testVM(i int) *batch.Instance {
	return &batch.Instance{ID: fmt.Sprintf("vm%03d", i), Address: "10.0.0.1:1", Zone: []string{"a", "b"}[i%2]}
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Orders must go through a relay in the VM's zone: traffic between zones costs more.
func TestOrdersUseRelaysOfTheirZone(t *testing.T) {
	near, far, direct := &fakeAgents{}, &fakeAgents{}, &fakeAgents{}
	p := newPool(t, direct, 100, newTestRelay(t, "ra", "a", near), newTestRelay(t, "rb", "b", far))
	for i := range 100 {
		_, err := p.Hold(shortContext(t), testVM(i), batch.HoldOrder{})
		require.NoError(t, err)
	}
	require.Equal(t, map[string]int{"ra": 50, "rb": 50}, p.Serving())
	require.Equal(t, 50, near.holdCount())
	require.Equal(t, 50, far.holdCount())
	require.Zero(t, direct.holdCount())
	require.True(t, p.Relayed("vm003"))
}

// A fleet of up to DirectVMs VMs is served without relays, even if one is offered.
func TestSmallFleetsAreServedDirectly(t *testing.T) {
	direct, relayed := &fakeAgents{}, &fakeAgents{}
	p := newPool(t, direct, DirectVMs, newTestRelay(t, "ra", "a", relayed))
	_, err := p.Hold(shortContext(t), testVM(1), batch.HoldOrder{})
	require.NoError(t, err)
	require.Equal(t, 1, direct.holdCount())
	require.Empty(t, p.Serving())
}

// Clocks, refusals with their causes, other errors and payloads pass through a relay unchanged.
func TestOutcomesArePreserved(t *testing.T) {
	cause := &batch.RefusalError{Reason: batch.RefusedUnreached, Cause: errors.New("no route")}
	relayed := &fakeAgents{stop: cause, report: func(string) (batch.Report, error) { return batch.Report{}, errors.New("cut off") }}
	p := newPool(t, &fakeAgents{}, 100, newTestRelay(t, "ra", "a", relayed), newTestRelay(t, "rb", "b", relayed))
	clock, err := p.Start(shortContext(t), testVM(0), batch.StartOrder{Task: batch.TaskID{Job: "j"}, Payload: "text", Fence: 7, Born: 3})
	require.NoError(t, err)
	require.Equal(t, time.Hour, clock)
	_, err = p.Start(shortContext(t), testVM(2), batch.StartOrder{Task: batch.TaskID{Job: "j", Index: 1}, Payload: "text"})
	require.NoError(t, err)
	require.Equal(t, "text", relayed.starts[0].Payload)
	require.EqualValues(t, 3, relayed.starts[0].Born)
	require.Equal(t, "text", relayed.starts[1].Payload)
	var refusal *batch.RefusalError
	require.ErrorAs(t, p.Stop(shortContext(t), testVM(0), batch.TaskID{Job: "j"}, 1, 7), &refusal)
	require.Equal(t, batch.RefusedUnreached, refusal.Reason)
	require.ErrorContains(t, refusal, "no route")
	_, err = p.Hold(shortContext(t), testVM(0), batch.HoldOrder{})
	require.ErrorContains(t, err, "cut off")
	require.NotErrorAs(t, err, &refusal)
}

// Reports sent as differences are restored completely when rows move, appear or vanish, lose
// their checkpoint or share a run number, and when the VM restarts.
func TestReportsAreRestored(t *testing.T) {
	task := func(i int) batch.TaskID { return batch.TaskID{Job: "job", Step: 1, Index: i} }
	reports := []batch.Report{
		{Clock: 1, Running: []batch.RunStatus{{Task: task(1), Run: 5, Checkpoint: "c1", Progress: 4, Usage: 2, HasUsage: true}, {Task: task(2), Run: 6}}},
		{Clock: 2, Running: []batch.RunStatus{{Task: task(2), Run: 6, Progress: 1}, {Task: task(1), Run: 5, Checkpoint: "c1", Progress: 8}}},
		{Clock: 3, Running: []batch.RunStatus{{Task: task(1), Run: 5}, {Task: task(3), Run: 9}}, Ended: []batch.RunEnd{{Seq: 1, Task: task(2), Run: 6, Kind: batch.EndDone}}},
		// Members of a gang have the same run number.
		{Clock: 4, Running: []batch.RunStatus{{Task: task(4), Run: 9}, {Task: task(3), Run: 9, Checkpoint: "x"}}, MoreEnded: true},
		{Clock: 5, Running: []batch.RunStatus{}},
		{Clock: 1, Born: 1790000000123, Running: []batch.RunStatus{}},
	}
	next := 0
	relayed := &fakeAgents{report: func(string) (batch.Report, error) {
		next++
		return reports[next-1], nil
	}}
	p := newPool(t, &fakeAgents{}, 100, newTestRelay(t, "ra", "a", relayed), newTestRelay(t, "rb", "b", relayed))
	for i := range reports {
		rep, err := p.Hold(shortContext(t), testVM(0), batch.HoldOrder{})
		require.NoError(t, err)
		require.Equal(t, reports[i], rep)
	}
}

// When the connection to a relay breaks, pending calls fail at once and its VMs move to other
// relays. Otherwise the VMs would be unreachable until each call timed out.
func TestVMsOfALostRelayAreServedByOthers(t *testing.T) {
	relayed := &fakeAgents{delay: time.Minute}
	ra, rb := newTestRelay(t, "ra", "a", relayed), newTestRelay(t, "rb", "b", &fakeAgents{})
	p := newPool(t, &fakeAgents{}, 100, ra, rb)
	start := steady.Now()
	result := make(chan error, 1)
	go func() {
		_, err := p.Start(shortContext(t), testVM(0), batch.StartOrder{Task: batch.TaskID{Job: "j"}})
		result <- err
	}()
	require.Eventually(t, func() bool {
		relayed.mu.Lock()
		defer relayed.mu.Unlock()
		return len(relayed.starts) == 1
	}, time.Second, time.Millisecond)
	ra.closeStream()
	err := <-result
	require.ErrorIs(t, err, errStreamBroken, "the order may have been carried out")
	var refusal *batch.RefusalError
	require.NotErrorAs(t, err, &refusal)
	require.Less(t, steady.Now()-start, time.Second)
	require.Eventually(t, func() bool { return p.Serving()["ra"] == 0 }, time.Second, time.Millisecond)
	_, err = p.Hold(shortContext(t), testVM(0), batch.HoldOrder{})
	require.NoError(t, err)
	require.Equal(t, 1, p.Serving()["rb"])
}

// When only the path between a VM and its relay fails, the VM moves to another relay. Otherwise
// a running VM would get no orders, and its tasks would be started elsewhere.
func TestUnreachedVMIsMovedToAnotherRelay(t *testing.T) {
	unreachable := func(string) (batch.Report, error) { return batch.Report{}, errors.New("no answer") }
	unreached, other := &fakeAgents{report: unreachable}, &fakeAgents{}
	p := newPool(t, &fakeAgents{}, 100, newTestRelay(t, "ra", "a", unreached), newTestRelay(t, "rb", "b", other))
	_, err := p.Hold(shortContext(t), testVM(0), batch.HoldOrder{})
	require.Error(t, err)
	_, err = p.Hold(shortContext(t), testVM(0), batch.HoldOrder{})
	require.NoError(t, err)
	require.Equal(t, 1, other.holdCount())
	other.report = unreachable
	var routes []*stream
	for range 3 * maxReroutes {
		_, err = p.Hold(shortContext(t), testVM(0), batch.HoldOrder{})
		require.Error(t, err)
		routes = append(routes, p.routes[testVM(0).ID])
	}
	require.NotEqual(t, routes[0].offer, routes[1].offer)
	for _, s := range routes[maxReroutes:] {
		require.Same(t, routes[maxReroutes], s, "after maxReroutes relays the VM itself counts as unresponsive and is not moved")
	}
}

// A relay that shuts down as planned completes its calls in progress and reports to the leader
// that it is leaving, so that new orders go through another relay. Otherwise calls would break.
func TestLeavingRelayFinishesItsCalls(t *testing.T) {
	relayed := &fakeAgents{delay: 300 * time.Millisecond}
	ra, rb := newTestRelay(t, "ra", "a", relayed), newTestRelay(t, "rb", "b", &fakeAgents{})
	p := newPool(t, &fakeAgents{}, 100, ra, rb)
	done := make(chan error, 1)
	go func() {
		_, err := p.Start(shortContext(t), testVM(0), batch.StartOrder{Task: batch.TaskID{Job: "j"}})
		done <- err
	}()
	require.Eventually(t, func() bool { return p.Serving()["ra"] == 1 }, time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	ra.server.Leave()
	require.NoError(t, <-done)
	_, err := p.Hold(shortContext(t), testVM(0), batch.HoldOrder{})
	require.NoError(t, err)
	require.Equal(t, 1, p.Serving()["rb"])
}

// A relay that serves a leader drops it when a leader with a higher fencing token opens a stream,
// and rejects its further streams. Otherwise orders of the deposed leader could reach VMs that its
// successor has not reached yet.
func TestRelayDropsSupersededLeader(t *testing.T) {
	ra := newTestRelay(t, "ra", "a", &fakeAgents{})
	first := newPool(t, &fakeAgents{}, 65, ra)
	require.Eventually(t, func() bool { return ra.streamCount() == 1 }, time.Second, time.Millisecond)
	later := &Pool{Direct: &fakeAgents{}, Node: "later", DirectVMs: DirectVMs, Processor: 1, Log: discardLog()}
	later.Lead(t.Context(), 8)
	require.True(t, later.AddOffer(ra.offer))
	later.SetFleet(testFleet(65))
	require.Eventually(t, func() bool { return len(first.Serving()) == 0 && len(later.Serving()) == 1 }, 2*time.Second, time.Millisecond)
	_, err := dial(shortContext(t), ra.offer, hello{Fence: 7}, false, &payloadCache{})
	require.Error(t, err)
	require.Len(t, later.Serving(), 1)
	require.Equal(t, 1, ra.streamCount())
}

// A relay that resumes after a suspension finds starts in its queue whose calls have timed out at
// the leader. It refuses them: Within alone counts from when a call is read, so that the tasks would
// be started seconds late.
func TestDelayedStartsAreRefused(t *testing.T) {
	relayed := &fakeAgents{}
	st := &servedStream{server: &Server{Agents: relayed, Log: discardLog()}, wakeup: make(chan struct{}, 1), instances: map[int]*batch.Instance{1: {ID: "vm"}}, lastReports: lastReports{}}
	at := steady.Now()
	st.handleOrders(t.Context(), &orders{SentAt: at})
	head := callHead{Call: 3, VM: 1, Within: time.Second}
	late := orders{SentAt: at - maxTransitDelay - 100*time.Millisecond, Starts: []startCall{{Head: head}}, Paces: []paceCall{{Head: head}}}
	st.handleOrders(t.Context(), &late)
	require.Len(t, st.queue, 2)
	require.Equal(t, batch.RefusedUnreached, st.queue[0].Refusal)
	require.Equal(t, batch.RefusedUnreached, st.queue[1].Refusal, "an old pace would undo a later one")
	require.Empty(t, relayed.starts)
}

// A payload is sent once per stream, and the least recently used one is dropped above the limit.
func TestPayloadsAreSentOnceAndBounded(t *testing.T) {
	table := newPayloadTable(nil)
	for i := range maxRelayPayloads {
		fresh, dropped := table.use(fmt.Sprint(i), "text")
		require.True(t, fresh)
		require.Empty(t, dropped)
	}
	fresh, _ := table.use("0", "text")
	require.False(t, fresh)
	fresh, dropped := table.use("new", "text")
	require.True(t, fresh)
	require.Equal(t, "1", dropped)
}

// If a payload is to be dropped and needed again before the message is written, the drop is
// cancelled. With both in one message the relay dropped the payload last, and started a later task
// with an empty payload. A start whose payload is missing is refused.
func TestPayloadNeededAgainIsKept(t *testing.T) {
	var m orders
	m.dropPayload("j")
	m.addPayload(payload{Job: "j", Packed: []byte("packed")})
	require.Empty(t, m.Dropped)
	require.Empty(t, m.Payloads)
	st := &servedStream{server: &Server{Agents: &fakeAgents{}, Log: discardLog()}, wakeup: make(chan struct{}, 1), instances: map[int]*batch.Instance{1: {ID: "vm"}}, lastReports: lastReports{}}
	m = orders{SentAt: steady.Now(), Starts: []startCall{{Head: callHead{Call: 3, VM: 1, Within: time.Second}}}}
	st.handleOrders(t.Context(), &m)
	require.Equal(t, batch.RefusedUnreached, st.queue[0].Refusal, "a missing payload does not count as an empty one")
}

// Relays keep payloads across a change of leader. Otherwise a leader that takes over while hundreds
// of jobs run would send each payload to each relay again, and saturate its link for seconds.
func TestPayloadsSurviveLeaderChange(t *testing.T) {
	relayed := &fakeAgents{}
	ra := newTestRelay(t, "ra", "a", relayed)
	order := func(job, text string) batch.StartOrder {
		return batch.StartOrder{Task: batch.TaskID{Job: job}, Payload: text}
	}
	first := newPool(t, &fakeAgents{}, 65, ra)
	_, err := first.Start(shortContext(t), testVM(0), order("same", "text"))
	require.NoError(t, err)
	_, err = first.Start(shortContext(t), testVM(0), order("other", "old"))
	require.NoError(t, err)
	later := &Pool{Direct: &fakeAgents{}, Node: "later", DirectVMs: DirectVMs, Processor: 1, Log: discardLog()}
	later.Lead(t.Context(), 8)
	require.True(t, later.AddOffer(ra.offer))
	later.SetFleet(testFleet(65))
	later.AwaitReady(t.Context(), 5*time.Second)
	s := later.streams["ra"]
	fresh, _ := s.payloads.use("same", "text")
	require.False(t, fresh)
	_, err = later.Start(shortContext(t), testVM(0), order("same", "text"))
	require.NoError(t, err)
	_, err = later.Start(shortContext(t), testVM(0), order("other", "new"))
	require.NoError(t, err)
	require.Equal(t, "text", relayed.starts[2].Payload)
	require.Equal(t, "new", relayed.starts[3].Payload, "the ID belonged to another job before")
}

// A relay reads the list of VMs and sends its changes, which the leader restores to the whole list.
// If the relay fails, the leader reads the list itself.
func TestListIsReadByARelay(t *testing.T) {
	list := []batch.Instance{*testVM(1), *testVM(2)}
	ra := newTestRelay(t, "ra", "a", &fakeAgents{})
	ra.server.Instances = func(context.Context) ([]batch.Instance, error) { return list, nil }
	p := newPool(t, &fakeAgents{}, 65, ra)
	p.List = func(context.Context) ([]batch.Instance, error) { return []batch.Instance{*testVM(9)}, nil }
	read := func() []batch.Instance {
		got, err := p.Instances(shortContext(t))
		require.NoError(t, err)
		return got
	}
	require.Equal(t, list, read())
	draining := *testVM(2)
	draining.Draining = true
	list = []batch.Instance{draining, *testVM(3)}
	require.Equal(t, list, read())
	restarted := draining
	restarted.Born = 1790000000123
	list = []batch.Instance{restarted, *testVM(3)}
	require.Equal(t, list, read(), "a VM that differs only in its incarnation")
	reader := p.listReader
	require.NoError(t, func() error { _, err := p.Hold(shortContext(t), testVM(0), batch.HoldOrder{}); return err }())
	require.Same(t, reader, p.selectListReader(), "the reader stays the same when loads change")
	list = []batch.Instance{}
	require.Empty(t, read())
	ra.server.Instances = func(context.Context) ([]batch.Instance, error) { return nil, errors.New("cut off") }
	require.Equal(t, []batch.Instance{*testVM(9)}, read(), "the leader reads the list itself if the relay fails")
}

// Compression shrinks a payload to less than 60 % and is reversible.
func TestPayloadsAreCompressed(t *testing.T) {
	text := strings.Repeat("abcdefghijklmnop", 150)
	var p payloadCache
	packed, err := p.compress("j", text)
	require.NoError(t, err)
	require.Less(t, len(packed), len(text)*6/10)
	got, err := decompressPayload(packed)
	require.NoError(t, err)
	require.Equal(t, text, got)
}

// A relay's capacity is limited by its processor, its link and MaxCapacity.
func TestCapacityFollowsProcessorAndLink(t *testing.T) {
	require.Equal(t, 64, Capacity(0.8, 200))
	require.Equal(t, 64, Capacity(0.192, 20))
	require.Equal(t, 8, Capacity(0.12, 2))
	require.Equal(t, 43, Capacity(0.11, 10))
	require.Equal(t, 55, Capacity(0.11, 20))
	require.Equal(t, 64, Capacity(0.4, 0))
}

// A relay that resumes after a suspension has holds in its queue whose VMs may have restarted since.
// An acknowledgement for the previous incarnation would make the new one discard ends of runs that
// it has not reported yet.
func TestDelayedHoldsAcknowledgeNothing(t *testing.T) {
	relayed := &fakeAgents{}
	st := &servedStream{server: &Server{Agents: relayed, Log: discardLog()}, wakeup: make(chan struct{}, 1), instances: map[int]*batch.Instance{1: {ID: "vm"}}, lastReports: lastReports{}}
	at := steady.Now()
	head := callHead{Call: 3, VM: 1, Within: time.Second}
	st.handleOrders(t.Context(), &orders{SentAt: at, Holds: []holdCall{{Head: head, Order: batch.HoldOrder{Acked: 7, LeaseUntil: time.Hour}}}})
	st.handleOrders(t.Context(), &orders{SentAt: at - maxTransitDelay - 100*time.Millisecond, Holds: []holdCall{{Head: head, Order: batch.HoldOrder{Acked: 8, LeaseUntil: time.Hour}}}})
	require.Eventually(t, func() bool { return relayed.holdCount() == 2 }, time.Second, time.Millisecond)
	require.ElementsMatch(t, []int64{7, 0}, relayed.acknowledged())
}
