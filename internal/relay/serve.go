package relay

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// Server carries the orders of leaders out. It is the handler of Path.
type Server struct {
	Agents    batch.Agents
	Instances Instances
	// Client fetches payloads from other relays.
	Client *http.Client
	Log    *eventlog.Log

	mu sync.Mutex
	// fence is the highest fencing token of a leader that opened a stream.
	fence int64
	// current is the stream that is served; a later one ends it.
	current *servedStream
	leaving bool
	closed  bool
	// payloads are those of jobs of which tasks were started.
	payloads payloadStore
}

const (
	// maxTransitDelay is how much longer than the quickest message of its stream one may
	// have been under way for its starts and paces to be carried out. The leader has
	// given them up by then, and a relay that wakes from a suspension has a queue of
	// them: a pace of then would undo one that was ordered by another way since.
	maxTransitDelay = 600 * time.Millisecond
	// leaveTimeout bounds the wait for calls under way at a planned stop: a hold
	// takes a second at most.
	leaveTimeout = 1500 * time.Millisecond
)

// ServeHTTP implements http.Handler: it takes the connection over for a stream.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != protocol {
		w.Header().Set("Upgrade", protocol)
		http.Error(w, "this address takes streams of "+protocol, http.StatusUpgradeRequired)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.Log.Warn("relay_not_taken_over", err, nil)
		return
	}
	defer func() { _ = conn.Close() }()
	switching := http.Response{
		StatusCode: http.StatusSwitchingProtocols, ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Upgrade": {protocol}, "Connection": {"Upgrade"}},
	}
	packed := r.Header.Get("Accept-Encoding") == contentCoding
	if packed {
		switching.Header.Set("Content-Encoding", contentCoding)
	}
	_ = conn.SetDeadline(time.Now().Add(idleTimeout))
	if err := switching.Write(conn); err != nil {
		s.Log.Warn("relay_not_taken_over", err, nil)
		return
	}
	s.serve(conn, buffered.Reader, packed)
}

// errSuperseded: a leader with a higher fencing token has opened a stream.
var errSuperseded = errors.New("a later leader is served")

// errClosed: the process has ended its work.
var errClosed = errors.New("this process carries no orders any more")

// serve carries out what comes on one stream until it ends.
func (s *Server) serve(conn net.Conn, in *bufio.Reader, packed bool) {
	decoder := newMessageDecoder(in, packed)
	var h hello
	_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
	if err := decoder.Decode(&h); err != nil {
		s.Log.Warn("relay_not_opened", err, nil)
		return
	}
	coder, err := newMessageWriter(conn, packed)
	if err != nil {
		s.Log.Warn("relay_not_opened", err, nil)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	st := &servedStream{
		server: s, conn: conn, writer: coder, messageInterval: h.Every, wakeup: make(chan struct{}, 1), cancel: cancel, fence: h.Fence,
		instances: map[int]*batch.Instance{}, lastReports: lastReports{}, lastListing: lastListing{},
	}
	if err := s.admit(st); err != nil {
		s.Log.Warn("relay_not_opened", err, eventlog.Fields{"leader": h.Node, "fence": h.Fence})
		return
	}
	s.Log.Event("relay_opened", eventlog.Fields{"leader": h.Node, "fence": h.Fence})
	go st.write(ctx)
	err = st.read(ctx, decoder)
	s.remove(st)
	s.Log.Event("relay_closed", eventlog.Fields{"leader": h.Node, "fence": h.Fence, "error": err.Error()})
}

// admit takes a stream on and ends the one before.
func (s *Server) admit(st *servedStream) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	if st.fence < s.fence {
		return errSuperseded
	}
	s.fence = st.fence
	if s.current != nil {
		_ = s.current.conn.Close()
	}
	s.current = st
	st.leaving = s.leaving
	st.greeting = s.payloads.hashes()
	st.wake()
	return nil
}

// drop forgets payloads, if the stream that says so is the one that is served.
func (s *Server) drop(st *servedStream, jobs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != st {
		return
	}
	s.payloads.drop(jobs)
}

func (s *Server) remove(st *servedStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == st {
		s.current = nil
	}
}

// Close ends the stream that is served, and takes no further ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.current != nil {
		_ = s.current.conn.Close()
	}
}

// Leave tells the leader that this process is about to stop, and waits until the calls
// under way have their answers.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	st := s.current
	s.mu.Unlock()
	if st == nil {
		return
	}
	st.leave()
	limit := time.Now().Add(leaveTimeout)
	for st.isBusy() && time.Now().Before(limit) {
		time.Sleep(heartbeatInterval / 10)
	}
}

// servedStream is the relay's side of a stream.
type servedStream struct {
	server          *Server
	conn            net.Conn
	writer          *messageWriter
	fence           int64
	messageInterval time.Duration
	wakeup          chan struct{}
	cancel          context.CancelFunc

	// What the reader alone uses.
	instances map[int]*batch.Instance
	// minTransit is the least difference between the arrival of a message and its
	// SentAt: the two clocks differ by it, and by the quickest way.
	minTransit    time.Duration
	hasMinTransit bool

	mu          sync.Mutex
	greeting    []kept
	lastReports lastReports
	lastListing lastListing
	queue       []result
	openCalls   int
	leaving     bool
}

func (st *servedStream) isBusy() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.openCalls > 0 || len(st.queue) > 0
}

func (st *servedStream) leave() {
	st.mu.Lock()
	st.leaving = true
	st.mu.Unlock()
	st.wake()
}

func (st *servedStream) wake() {
	select {
	case st.wakeup <- struct{}{}:
	default:
	}
}

// read takes messages until the stream breaks.
func (st *servedStream) read(ctx context.Context, decoder *gob.Decoder) error {
	defer st.cancel()
	for {
		_ = st.conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var m orders
		if err := decoder.Decode(&m); err != nil {
			return err
		}
		st.handleOrders(ctx, &m)
	}
}

// isStale reports whether a message was under way for so long that the leader has given
// its calls up.
func (st *servedStream) isStale(sentAt time.Duration) bool {
	took := steady.Now() - sentAt
	if !st.hasMinTransit || took < st.minTransit {
		st.hasMinTransit, st.minTransit = true, took
	}
	return took-st.minTransit > maxTransitDelay
}

// handleOrders begins the calls of a message: what ends work first, what renews leases next,
// and new starts last.
func (st *servedStream) handleOrders(ctx context.Context, m *orders) {
	stale := st.isStale(m.SentAt)
	for _, n := range m.Named {
		st.instances[n.Number] = &batch.Instance{ID: n.ID, Address: n.Address}
	}
	st.server.storePayloads(ctx, m.Payloads)
	for _, c := range m.Stops {
		st.runVMCall(ctx, c.Head, func(ctx context.Context, vm *batch.Instance, _ *result) error {
			return st.server.Agents.Stop(ctx, vm, c.Task, c.Run, c.Fence)
		})
	}
	for _, c := range m.Holds {
		if stale {
			// The VM may have started again since, and count its ends anew.
			c.Order.Acked = 0
		}
		st.runVMCall(ctx, c.Head, func(ctx context.Context, vm *batch.Instance, r *result) error {
			rep, err := st.server.Agents.Hold(ctx, vm, c.Order)
			if err == nil {
				r.Clock = rep.Clock
				st.setReport(r, c.Head.VM, &rep)
			}
			return err
		})
	}
	for _, head := range m.Lists {
		st.runCall(ctx, head, func(ctx context.Context, r *result) (err error) {
			r.fullList, err = st.server.Instances(ctx)
			return err
		})
	}
	for _, c := range m.Paces {
		if stale {
			st.refuse(c.Head.Call, "it was too long under way to this relay")
			continue
		}
		st.runVMCall(ctx, c.Head, func(ctx context.Context, vm *batch.Instance, _ *result) error {
			return st.server.Agents.Pace(ctx, vm, c.Task, c.Run, c.Percent, c.Fence)
		})
	}
	for _, c := range m.Starts {
		if stale {
			st.refuse(c.Head.Call, "it was too long under way to this relay")
			continue
		}
		st.startTask(ctx, c)
	}
	st.server.drop(st, m.Dropped)
}

// startTask begins a start, once its payload is there.
func (st *servedStream) startTask(ctx context.Context, c startCall) {
	job := c.Order.Task.Job
	text, known, awaited := st.server.payloads.get(job)
	if !known && awaited == nil {
		// A task must not be started with less than its job says.
		r := result{Call: c.Head.Call}
		r.setError(errNoPayload)
		st.queueResult(r)
		return
	}
	st.runVMCall(ctx, c.Head, func(ctx context.Context, vm *batch.Instance, r *result) (err error) {
		if !known {
			select {
			case <-awaited:
			case <-ctx.Done():
			}
			if text, known, _ = st.server.payloads.get(job); !known {
				return errNoPayload
			}
		}
		c.Order.Payload = text
		r.Clock, err = st.server.Agents.Start(ctx, vm, c.Order)
		return err
	})
}

// errNoPayload: the relay does not have the payload of a start, which it has not given.
var errNoPayload = &batch.RefusalError{Reason: batch.RefusedUnreached, Cause: errors.New("the relay does not have the job's payload")}

// refuse answers a call that was certainly not made.
func (st *servedStream) refuse(call uint64, why string) {
	st.queueResult(result{Call: call, Refusal: batch.RefusedUnreached, Error: why})
}

// setReport puts a report into a result. The differences follow each other in the order in
// which the results are queued.
func (st *servedStream) setReport(r *result, vm int, rep *batch.Report) {
	r.Report = &report{VM: vm, More: rep.MoreEnded, Ended: rep.Ended}
	r.fullReport = rep
}

// runVMCall makes one call to a VM.
func (st *servedStream) runVMCall(ctx context.Context, head callHead, do func(context.Context, *batch.Instance, *result) error) {
	vm := st.instances[head.VM]
	if vm == nil {
		st.refuse(head.Call, "the stream has not named the VM")
		return
	}
	st.runCall(ctx, head, func(ctx context.Context, r *result) error { return do(ctx, vm, r) })
}

// runCall makes one call beside the others and queues its outcome.
func (st *servedStream) runCall(ctx context.Context, head callHead, do func(context.Context, *result) error) {
	st.mu.Lock()
	st.openCalls++
	st.mu.Unlock()
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, head.Within)
		defer cancel()
		r := result{Call: head.Call}
		if err := do(callCtx, &r); err != nil {
			r.setError(err)
		}
		st.mu.Lock()
		st.openCalls--
		st.mu.Unlock()
		st.queueResult(r)
	}()
}

// setError notes an error of a call.
func (r *result) setError(err error) {
	var refusal *batch.RefusalError
	if !errors.As(err, &refusal) {
		r.Error = err.Error()
		return
	}
	r.Refusal = refusal.Reason
	r.NoPayload = refusal == errNoPayload
	if refusal.Cause != nil {
		r.Error = refusal.Cause.Error()
	}
}

func (st *servedStream) queueResult(r result) {
	st.mu.Lock()
	if r.fullReport != nil {
		r.Report = st.lastReports.diff(r.Report.VM, r.fullReport)
	}
	if r.fullList != nil {
		r.Listing = st.lastListing.diff(r.fullList)
	}
	st.queue = append(st.queue, r)
	st.mu.Unlock()
	st.wake()
}

// write sends the outcomes, a batch at a time.
func (st *servedStream) write(ctx context.Context) {
	pace := newMessagePacer(st.messageInterval)
	defer pace.stop()
	for pace.wait(ctx, st.wakeup) {
		st.mu.Lock()
		m := results{Kept: st.greeting, Results: st.queue, Leaving: st.leaving}
		st.greeting, st.queue = nil, nil
		st.mu.Unlock()
		_ = st.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if st.writer.write(&m) != nil {
			// The reader tells why the stream ended.
			_ = st.conn.Close()
			return
		}
	}
}
