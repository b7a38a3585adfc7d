package relay

import (
	"bufio"
	"container/list"
	"context"
	"encoding/gob"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// dialTimeout bounds the opening of a stream.
	dialTimeout = 600 * time.Millisecond
	// maxRelayPayloads bounds the payloads that a relay keeps for one stream: 512 of
	// 4 KB at most are 2 MB.
	maxRelayPayloads = 512
)

// errStreamBroken: the stream ended while the call was under way.
var errStreamBroken = errors.New("the stream to the relay is broken")

// errNotWritten: the stream ended before the call was written to it; the order may be
// given in another way.
var errNotWritten = errors.New("the relay was not told of the order")

// stream is the leader's side of a stream to a relay.
type stream struct {
	offer           Offer
	conn            net.Conn
	writer          *messageWriter
	decoder         *gob.Decoder
	payloadCache    *payloadCache
	messageInterval time.Duration
	wakeup          chan struct{}
	// observeDelay is that of the pool.
	observeDelay func(time.Duration)

	mu          sync.Mutex
	lastCallID  uint64
	pending     map[uint64]*pendingCall
	outgoing    orders
	vmNumbers   map[string]int
	payloads    payloadTable
	lastReports lastReports
	lastListing lastListing
	leaving     bool
	closed      bool
	// payloadBackoffUntil is until when the relay is not to give payloads to others.
	payloadBackoffUntil time.Duration
}

// pendingCall is a call under way.
type pendingCall struct {
	done    chan struct{}
	written bool
	result  result
	report  batch.Report
	list    []batch.Instance
	err     error
	// receivedAt is when the outcome was received.
	receivedAt time.Duration
}

// payloadTable are the jobs whose payloads the relay has.
type payloadTable struct {
	// entries has each job's place in recent, which begins with the job that was used last.
	entries map[string]*list.Element
	lru     *list.List
	// unverified are those of payloads that the relay had before this stream, until they
	// are used.
	unverified map[string]uint64
	// fetchFailed are the jobs whose payloads the relay could not fetch from another one.
	fetchFailed map[string]bool
}

func newPayloadTable(greeting []kept) payloadTable {
	t := payloadTable{entries: map[string]*list.Element{}, lru: list.New(), unverified: map[string]uint64{}, fetchFailed: map[string]bool{}}
	for _, k := range greeting {
		t.entries[k.Job], t.unverified[k.Job] = t.lru.PushBack(k.Job), k.Hash
	}
	return t
}

// use notes that a job's payload is needed. fresh is true when the relay does not have
// it; dropped is the job whose payload it need not keep any more, or "".
func (t *payloadTable) use(job, text string) (fresh bool, dropped string) {
	place, known := t.entries[job]
	if known {
		t.lru.MoveToFront(place)
	} else {
		t.entries[job] = t.lru.PushFront(job)
	}
	if hash, early := t.unverified[job]; early {
		// An ID may have been another job's once.
		known = hash == hashPayload(text)
		delete(t.unverified, job)
	}
	if known || len(t.entries) <= maxRelayPayloads {
		return !known, ""
	}
	dropped, _ = t.lru.Back().Value.(string)
	t.remove(dropped)
	return true, dropped
}

// remove notes that the relay does not have a job's payload.
func (t *payloadTable) remove(job string) {
	if place, known := t.entries[job]; known {
		t.lru.Remove(place)
	}
	delete(t.entries, job)
	delete(t.unverified, job)
}

// dial opens a stream to the relay that made the offer, compressed if both sides would.
func dial(ctx context.Context, offer Offer, h hello, pack bool, payloads *payloadCache) (*stream, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", offer.Address)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	s, err := newStream(conn, offer, h, pack, payloads)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return s, nil
}

// newStream makes a stream of a connection.
func newStream(conn net.Conn, offer Offer, h hello, pack bool, payloads *payloadCache) (*stream, error) {
	in, pack, err := upgrade(conn, offer.Address, pack)
	if err != nil {
		return nil, err
	}
	buffered := &bufferedConn{Conn: conn, reader: in}
	coder, err := newMessageWriter(conn, pack)
	if err != nil {
		return nil, err
	}
	if err := coder.write(&h); err != nil {
		return nil, err
	}
	decoder := newMessageDecoder(buffered, pack)
	var greeting results
	if err := decoder.Decode(&greeting); err != nil {
		return nil, err
	}
	return &stream{
		offer: offer, conn: buffered, writer: coder, decoder: decoder, payloadCache: payloads, messageInterval: h.Every, wakeup: make(chan struct{}, 1),
		pending: map[uint64]*pendingCall{}, vmNumbers: map[string]int{}, payloads: newPayloadTable(greeting.Kept), leaving: greeting.Leaving, lastReports: lastReports{}, lastListing: lastListing{},
	}, nil
}

// upgrade asks the other side to go on with the stream on this connection, and whether it
// would have it compressed.
func upgrade(conn net.Conn, address string, pack bool) (in *bufio.Reader, packed bool, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+Path, http.NoBody)
	if err != nil {
		return nil, false, err
	}
	req.Header.Set("Upgrade", protocol)
	req.Header.Set("Connection", "Upgrade")
	if pack {
		req.Header.Set("Accept-Encoding", contentCoding)
	}
	if err := req.Write(conn); err != nil {
		return nil, false, err
	}
	in = bufio.NewReaderSize(conn, bufferBytes)
	resp, err := http.ReadResponse(in, req)
	if err != nil {
		return nil, false, err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return nil, false, errors.Newf("the process at %s answers %s", address, resp.Status)
	}
	return in, pack && resp.Header.Get("Content-Encoding") == contentCoding, nil
}

// bufferedConn reads on from what was read ahead during the upgrade.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// serve carries messages until the stream breaks or ctx ends, and returns why.
func (s *stream) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	go s.write(ctx)
	var err error
	for err == nil {
		_ = s.conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var m results
		if err = s.decoder.Decode(&m); err == nil {
			err = s.handleResults(&m)
		}
	}
	s.failPending()
	return err
}

// write sends the calls, a batch at a time.
func (s *stream) write(ctx context.Context) {
	pace := newMessagePacer(s.messageInterval)
	defer pace.stop()
	for pace.wait(ctx, s.wakeup) {
		m := s.takeOutgoing()
		m.SentAt = steady.Now()
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if s.writer.write(&m) != nil {
			// The reader tells why the stream ended.
			_ = s.conn.Close()
			return
		}
	}
}

// takeOutgoing returns what is to be written next. From here on its calls may be carried out.
func (s *stream) takeOutgoing() orders {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.outgoing
	s.outgoing = orders{}
	for _, c := range m.Stops {
		s.markWritten(c.Head.Call)
	}
	for _, c := range m.Holds {
		s.markWritten(c.Head.Call)
	}
	for _, c := range m.Paces {
		s.markWritten(c.Head.Call)
	}
	for _, c := range m.Starts {
		s.markWritten(c.Head.Call)
	}
	for _, head := range m.Lists {
		s.markWritten(head.Call)
	}
	return m
}

func (s *stream) markWritten(call uint64) {
	if w := s.pending[call]; w != nil {
		w.written = true
	}
}

// errMissingBaseReport: a report went back to one that this side does not have.
var errMissingBaseReport = errors.New("the relay's report follows one that did not come")

// handleResults hands the outcomes to those who wait for them.
func (s *stream) handleResults(m *results) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = s.leaving || m.Leaving
	receivedAt := steady.Now()
	for i := range m.Results {
		r := &m.Results[i]
		var rep batch.Report
		if r.Report != nil {
			// Also of a call that nobody waits for any more: the next one follows it.
			var ok bool
			if rep, ok = s.lastReports.apply(r.Report); !ok {
				return errMissingBaseReport
			}
			rep.Clock = r.Clock
		}
		var list []batch.Instance
		if r.Listing != nil {
			list = s.lastListing.apply(r.Listing)
		}
		w := s.pending[r.Call]
		if w == nil {
			continue
		}
		delete(s.pending, r.Call)
		w.result, w.report, w.list, w.err, w.receivedAt = *r, rep, list, r.err(), receivedAt
		close(w.done)
	}
	return nil
}

// failPending ends all calls under way.
func (s *stream) failPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for call, w := range s.pending {
		w.err = errStreamBroken
		if !w.written {
			w.err = errNotWritten
		}
		delete(s.pending, call)
		close(w.done)
	}
}

// usable reports whether new calls may be made.
func (s *stream) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && !s.leaving
}

// payloadBackoff is how long a relay holds no payloads for others after one of them could not
// fetch one: as long as cuts between zones mostly last.
const payloadBackoff = 5 * time.Second

// stopServingPayloads notes that another relay could not fetch a payload from this one.
func (s *stream) stopServingPayloads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.payloadBackoffUntil = steady.Now() + payloadBackoff
}

// canServePayloads reports whether other relays may be told to fetch payloads from this one.
func (s *stream) canServePayloads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && !s.leaving && steady.Now() >= s.payloadBackoffUntil
}

// callVM queues a call to a VM and waits for its outcome. add puts it into the next message.
func (s *stream) callVM(ctx context.Context, vm *batch.Instance, add func(out *orders, head callHead)) (*pendingCall, error) {
	return s.callRelay(ctx, func(out *orders, head callHead) {
		head.VM = s.vmNumber(vm)
		add(out, head)
	})
}

// callRelay queues a call that is about no VM, and waits for its outcome.
func (s *stream) callRelay(ctx context.Context, add func(out *orders, head callHead)) (*pendingCall, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errors.New("a call needs a deadline")
	}
	w := &pendingCall{done: make(chan struct{})}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, errNotWritten
	}
	s.lastCallID++
	id := s.lastCallID
	s.pending[id] = w
	add(&s.outgoing, callHead{Call: id, Within: time.Until(deadline)})
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
		return w, w.err
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.pending, id)
		s.mu.Unlock()
		return nil, ctx.Err()
	}
}

// vmNumber is how the stream names a VM. s.mu is held.
func (s *stream) vmNumber(vm *batch.Instance) int {
	key := vm.ID + " " + vm.Address
	n, ok := s.vmNumbers[key]
	if !ok {
		n = len(s.vmNumbers) + 1
		s.vmNumbers[key] = n
		s.outgoing.Named = append(s.outgoing.Named, named{Number: n, ID: vm.ID, Address: vm.Address})
	}
	return n
}

// Start orders a run and returns the VM's clock.
func (s *stream) Start(ctx context.Context, vm *batch.Instance, o batch.StartOrder) (time.Duration, error) {
	packed, err := s.payloadCache.compress(o.Task.Job, o.Payload)
	if err != nil {
		return 0, errors.Mark(err, errNotWritten)
	}
	from := ""
	if s.writer.compressor != nil {
		from = s.payloadCache.holderFor(o.Task.Job, s)
	}
	w, err := s.callVM(ctx, vm, func(out *orders, head callHead) {
		fresh, dropped := s.payloads.use(o.Task.Job, o.Payload)
		switch {
		case fresh && from != "" && !s.payloads.fetchFailed[o.Task.Job]:
			out.addPayload(payload{Job: o.Task.Job, From: from, Hash: hashPayload(o.Payload)})
		case fresh:
			delete(s.payloads.fetchFailed, o.Task.Job)
			out.addPayload(payload{Job: o.Task.Job, Packed: packed})
		}
		if dropped != "" {
			out.dropPayload(dropped)
		}
		o.Payload = ""
		out.Starts = append(out.Starts, startCall{Head: head, Order: o})
	})
	if w == nil {
		return 0, err
	}
	if w.result.NoPayload {
		s.markPayloadMissing(o.Task.Job)
		s.payloadCache.fetchFailed(o.Task.Job, from)
	}
	return w.result.Clock, err
}

// markPayloadMissing notes that the relay could not fetch a payload: the next start brings it.
func (s *stream) markPayloadMissing(job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.payloads.remove(job)
	if len(s.payloads.fetchFailed) >= maxRelayPayloads {
		clear(s.payloads.fetchFailed)
	}
	s.payloads.fetchFailed[job] = true
}

// Stop ends a run.
func (s *stream) Stop(ctx context.Context, vm *batch.Instance, task batch.TaskID, run, fence int64) error {
	_, err := s.callVM(ctx, vm, func(out *orders, head callHead) {
		out.Stops = append(out.Stops, stopCall{Head: head, Task: task, Run: run, Fence: fence})
	})
	return err
}

// Pace sets the pace of a run.
func (s *stream) Pace(ctx context.Context, vm *batch.Instance, task batch.TaskID, run int64, percent int, fence int64) error {
	_, err := s.callVM(ctx, vm, func(out *orders, head callHead) {
		out.Paces = append(out.Paces, paceCall{Head: head, Task: task, Run: run, Percent: percent, Fence: fence})
	})
	return err
}

// Hold renews the leases of a VM and returns its report.
func (s *stream) Hold(ctx context.Context, vm *batch.Instance, o batch.HoldOrder) (batch.Report, error) {
	w, err := s.callVM(ctx, vm, func(out *orders, head callHead) {
		out.Holds = append(out.Holds, holdCall{Head: head, Order: o})
	})
	if err != nil {
		return batch.Report{}, err
	}
	if s.observeDelay != nil {
		s.observeDelay(steady.Now() - w.receivedAt)
	}
	return w.report, nil
}

// Instances returns the list of VMs as the relay reads it.
func (s *stream) Instances(ctx context.Context) ([]batch.Instance, error) {
	w, err := s.callRelay(ctx, func(out *orders, head callHead) { out.Lists = append(out.Lists, head) })
	if err != nil {
		return nil, err
	}
	return w.list, nil
}
