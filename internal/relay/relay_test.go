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

// fakeAgents are the VMs of a test, as whoever gives orders to them sees them.
type fakeAgents struct {
	mu     sync.Mutex
	starts []batch.StartOrder
	holds  map[string]int
	acked  []int64
	report func(id string) (batch.Report, error)
	stop   error
	// delay delays each answer.
	delay time.Duration
}

func (v *fakeAgents) Start(ctx context.Context, _ *batch.Instance, o batch.StartOrder) (time.Duration, error) {
	v.mu.Lock()
	v.starts = append(v.starts, o)
	v.mu.Unlock()
	select {
	case <-time.After(v.delay):
		return time.Hour, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// startPayloads are those of the starts.
func (v *fakeAgents) startPayloads() (all []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.starts {
		all = append(all, v.starts[i].Payload)
	}
	return all
}

func (v *fakeAgents) Stop(context.Context, *batch.Instance, batch.TaskID, int64, int64) error {
	return v.stop
}

func (v *fakeAgents) Pace(context.Context, *batch.Instance, batch.TaskID, int64, int, int64) error {
	return nil
}

func (v *fakeAgents) Hold(_ context.Context, vm *batch.Instance, o batch.HoldOrder) (batch.Report, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.holds == nil {
		v.holds = map[string]int{}
	}
	v.holds[vm.ID]++
	v.acked = append(v.acked, o.Acked)
	if v.report == nil {
		return batch.Report{Clock: time.Hour}, nil
	}
	return v.report(vm.ID)
}

// acknowledged is what each hold has acknowledged.
func (v *fakeAgents) acknowledged() []int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.acked)
}

func (v *fakeAgents) holdCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, c := range v.holds {
		n += c
	}
	return n
}

func discardLog() *eventlog.Log { return eventlog.New(io.Discard, logrus.ErrorLevel) }

// testRelay is a relay of a test.
type testRelay struct {
	server     *Server
	httpServer *httptest.Server
	offer      Offer
	// payloadRequests counts the payloads that other relays have asked for; one that keeps them to
	// itself serves none.
	payloadRequests        atomic.Int64
	rejectsPayloadRequests atomic.Bool
}

func newTestRelay(t testing.TB, node, zone string, agents batch.Agents) *testRelay {
	p := &testRelay{server: &Server{Agents: agents, Client: http.DefaultClient, Log: discardLog()}, offer: Offer{Node: node, Zone: zone, VMs: 80}}
	serveRelay(t, p)
	return p
}

func serveRelay(t testing.TB, p *testRelay) {
	mux := http.NewServeMux()
	mux.Handle(Path, p.server)
	mux.HandleFunc(PayloadPath, func(w http.ResponseWriter, r *http.Request) {
		p.payloadRequests.Add(1)
		if p.rejectsPayloadRequests.Load() {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		p.server.ServePayload(w, r)
	})
	p.httpServer = httptest.NewServer(mux)
	t.Cleanup(p.httpServer.Close)
	p.offer.Address = strings.TrimPrefix(p.httpServer.URL, "http://")
	p.offer.VMs = max(p.offer.VMs, 80)
}

func (p *testRelay) streamCount() int {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	if p.server.current == nil {
		return 0
	}
	return 1
}

// closeStream breaks the streams to the relay.
func (p *testRelay) closeStream() {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	_ = p.server.current.conn.Close()
}

// newPool is the pool of a leader of a fleet of so many VMs in two availability zones.
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

func TestSmallFleetsAreServedDirectly(t *testing.T) {
	direct, relayed := &fakeAgents{}, &fakeAgents{}
	p := newPool(t, direct, DirectVMs, newTestRelay(t, "ra", "a", relayed))
	_, err := p.Hold(shortContext(t), testVM(1), batch.HoldOrder{})
	require.NoError(t, err)
	require.Equal(t, 1, direct.holdCount())
	require.Empty(t, p.Serving())
}

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

func TestReportsAreRestored(t *testing.T) {
	task := func(i int) batch.TaskID { return batch.TaskID{Job: "job", Step: 1, Index: i} }
	full := []batch.Report{
		{Clock: 1, Running: []batch.RunStatus{{Task: task(1), Run: 5, Checkpoint: "c1", Progress: 4, Usage: 2, HasUsage: true}, {Task: task(2), Run: 6}}},
		{Clock: 2, Running: []batch.RunStatus{{Task: task(2), Run: 6, Progress: 1}, {Task: task(1), Run: 5, Checkpoint: "c1", Progress: 8}}},
		{Clock: 3, Running: []batch.RunStatus{{Task: task(1), Run: 5}, {Task: task(3), Run: 9}}, Ended: []batch.RunEnd{{Seq: 1, Task: task(2), Run: 6, Kind: batch.EndDone}}},
		// Members of a gang have one number.
		{Clock: 4, Running: []batch.RunStatus{{Task: task(4), Run: 9}, {Task: task(3), Run: 9, Checkpoint: "x"}}, MoreEnded: true},
		{Clock: 5, Running: []batch.RunStatus{}},
		{Clock: 1, Born: 1790000000123, Running: []batch.RunStatus{}},
	}
	next := 0
	relayed := &fakeAgents{report: func(string) (batch.Report, error) {
		next++
		return full[next-1], nil
	}}
	p := newPool(t, &fakeAgents{}, 100, newTestRelay(t, "ra", "a", relayed), newTestRelay(t, "rb", "b", relayed))
	for i := range full {
		rep, err := p.Hold(shortContext(t), testVM(0), batch.HoldOrder{})
		require.NoError(t, err)
		require.Equal(t, full[i], rep)
	}
}

// Symptom: the VMs of a relay that died are unheard until their calls time out.
// Sequence: a relay's connections are cut while calls are under way.
// Cause: nothing but the timeout of each call told of it.
func TestVMsOfALostRelayAreServedByOthers(t *testing.T) {
	relayed := &fakeAgents{delay: time.Minute}
	ra, rb := newTestRelay(t, "ra", "a", relayed), newTestRelay(t, "rb", "b", &fakeAgents{})
	p := newPool(t, &fakeAgents{}, 100, ra, rb)
	began := steady.Now()
	failed := make(chan error, 1)
	go func() {
		_, err := p.Start(shortContext(t), testVM(0), batch.StartOrder{Task: batch.TaskID{Job: "j"}})
		failed <- err
	}()
	require.Eventually(t, func() bool {
		relayed.mu.Lock()
		defer relayed.mu.Unlock()
		return len(relayed.starts) == 1
	}, time.Second, time.Millisecond)
	ra.closeStream()
	err := <-failed
	require.ErrorIs(t, err, errStreamBroken, "it may have been carried out")
	var refusal *batch.RefusalError
	require.NotErrorAs(t, err, &refusal)
	require.Less(t, steady.Now()-began, time.Second)
	require.Eventually(t, func() bool { return p.Serving()["ra"] == 0 }, time.Second, time.Millisecond)
	_, err = p.Hold(shortContext(t), testVM(0), batch.HoldOrder{})
	require.NoError(t, err)
	require.Equal(t, 1, p.Serving()["rb"])
}

// Symptom: a VM that is alive gets nothing, and what it runs is started elsewhere.
// Sequence: the path between a VM and its relay is cut; other processes reach it.
// Cause: the VM stayed with the relay that did not reach it.
func TestUnreachedVMIsMovedToAnotherRelay(t *testing.T) {
	cut := func(string) (batch.Report, error) { return batch.Report{}, errors.New("no answer") }
	unreached, other := &fakeAgents{report: cut}, &fakeAgents{}
	p := newPool(t, &fakeAgents{}, 100, newTestRelay(t, "ra", "a", unreached), newTestRelay(t, "rb", "b", other))
	_, err := p.Hold(shortContext(t), testVM(0), batch.HoldOrder{})
	require.Error(t, err)
	_, err = p.Hold(shortContext(t), testVM(0), batch.HoldOrder{})
	require.NoError(t, err)
	require.Equal(t, 1, other.holdCount())
	other.report = cut
	var routes []*stream
	for range 3 * maxReroutes {
		_, err = p.Hold(shortContext(t), testVM(0), batch.HoldOrder{})
		require.Error(t, err)
		routes = append(routes, p.routes[testVM(0).ID])
	}
	require.NotEqual(t, routes[0].offer, routes[1].offer)
	for _, s := range routes[maxReroutes:] {
		require.Same(t, routes[maxReroutes], s, "it is the VM that does not answer")
	}
}

// Symptom: a relay that stops cuts off what it has under way.
// Sequence: a planned stop of a relay, with orders under way and others to come.
// Cause: the leader did not know that it was about to stop.
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

// Symptom: orders of a leader that was replaced reach VMs that its successor has not
// reached yet.
// Sequence: a relay serves a leader when a later one opens a stream to it.
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

// Symptom: a task is started seconds after its leader had given the start up.
// Sequence: a relay is suspended; meanwhile the leader sends it starts and gives them
// up; the relay wakes and finds them in its queue.
// Cause: a call's time was counted from when it was read.
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
	require.Equal(t, batch.RefusedUnreached, st.queue[1].Refusal, "a pace of then would undo a later one")
	require.Empty(t, relayed.starts)
}

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

// Symptom: a task is started with an empty payload.
// Sequence: a relay is to forget a job's payload; before that is written a task of the job
// is started again.
// Cause: the relay was told the payload and to drop it in one message, and dropped it last.
func TestPayloadNeededAgainIsKept(t *testing.T) {
	var m orders
	m.dropPayload("j")
	m.addPayload(payload{Job: "j", Packed: []byte("packed")})
	require.Empty(t, m.Dropped)
	require.Empty(t, m.Payloads)
	st := &servedStream{server: &Server{Agents: &fakeAgents{}, Log: discardLog()}, wakeup: make(chan struct{}, 1), instances: map[int]*batch.Instance{1: {ID: "vm"}}, lastReports: lastReports{}}
	m = orders{SentAt: steady.Now(), Starts: []startCall{{Head: callHead{Call: 3, VM: 1, Within: time.Second}}}}
	st.handleOrders(t.Context(), &m)
	require.Equal(t, batch.RefusedUnreached, st.queue[0].Refusal, "a payload that was not told is no empty one")
}

// Symptom: a leader that takes over has no link left for anything else for seconds.
// Sequence: a leader takes over while hundreds of jobs run; it sends each job's payload to
// each relay again.
// Cause: relays forgot the payloads with the leader that had told them.
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
	require.Equal(t, "new", relayed.starts[3].Payload, "an ID that was another job's once")
}

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
	require.Equal(t, list, read(), "a VM that differs in its start only")
	reader := p.listReader
	require.NoError(t, func() error { _, err := p.Hold(shortContext(t), testVM(0), batch.HoldOrder{}); return err }())
	require.Same(t, reader, p.selectListReader(), "the same relay, however much others have to do")
	list = []batch.Instance{}
	require.Empty(t, read())
	ra.server.Instances = func(context.Context) ([]batch.Instance, error) { return nil, errors.New("cut off") }
	require.Equal(t, []batch.Instance{*testVM(9)}, read(), "read from here where the relay can't")
}

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

func TestCapacityFollowsProcessorAndLink(t *testing.T) {
	require.Equal(t, 64, Capacity(0.8, 200))
	require.Equal(t, 64, Capacity(0.192, 20))
	require.Equal(t, 8, Capacity(0.12, 2))
	require.Equal(t, 43, Capacity(0.11, 10))
	require.Equal(t, 55, Capacity(0.11, 20))
	require.Equal(t, 64, Capacity(0.4, 0))
}

// A relay that wakes from a suspension has holds in its queue whose VMs may have started
// again since: an acknowledgement meant for the start before makes them forget ends that
// nobody has been told.
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
