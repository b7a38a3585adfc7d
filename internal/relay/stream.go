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
	// dialTimeout bounds the time to open a stream.
	dialTimeout = 600 * time.Millisecond
	// maxRelayPayloads bounds the payloads that a relay stores for one stream: 512 payloads of
	// at most 4 KB take 2 MB.
	maxRelayPayloads = 512
)

// errStreamBroken is returned if the stream ended after the call was written to it. The order
// may have been executed.
var errStreamBroken = errors.New("the stream to the relay is broken")

// errNotWritten is returned if the stream ended before the call was written to it. The order
// may safely be sent by another path.
var errNotWritten = errors.New("the order was not sent to the relay")

// stream is the leader's side of a stream to a relay.
type stream struct {
	offer           Offer
	conn            net.Conn
	writer          *messageWriter
	decoder         *gob.Decoder
	payloadCache    *payloadCache
	messageInterval time.Duration
	wakeup          chan struct{}
	// observeDelay is Pool.ObserveDelay.
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
	// payloadBackoffUntil is the time until which other relays do not fetch payloads from
	// this one.
	payloadBackoffUntil time.Duration
}

// pendingCall is a call that waits for its result.
type pendingCall struct {
	done    chan struct{}
	written bool
	result  result
	report  batch.Report
	list    []batch.Instance
	err     error
	// receivedAt is the time at which the result was received.
	receivedAt time.Duration
}

// payloadTable tracks the jobs whose payloads the relay has stored.
type payloadTable struct {
	// entries maps jobs to their elements in lru, which is ordered by last use, most recent
	// first.
	entries map[string]*list.Element
	lru     *list.List
	// unverified holds the hashes of payloads that the relay stored before this stream, until
	// their first use.
	unverified map[string]uint64
	// fetchFailed holds the jobs whose payloads the relay could not fetch from their holders.
	fetchFailed map[string]bool
}

func newPayloadTable(greeting []kept) payloadTable {
	t := payloadTable{entries: map[string]*list.Element{}, lru: list.New(), unverified: map[string]uint64{}, fetchFailed: map[string]bool{}}
	for _, k := range greeting {
		t.entries[k.Job], t.unverified[k.Job] = t.lru.PushBack(k.Job), k.Hash
	}
	return t
}

// use records a use of a job's payload. missing is true if the relay does not have it.
// evicted is the job whose payload the relay is to discard instead, or "".
func (t *payloadTable) use(job, text string) (missing bool, evicted string) {
	element, known := t.entries[job]
	if known {
		t.lru.MoveToFront(element)
	} else {
		t.entries[job] = t.lru.PushFront(job)
	}
	if hash, ok := t.unverified[job]; ok {
		// The stored payload may be that of an earlier job with the same ID.
		known = hash == hashPayload(text)
		delete(t.unverified, job)
	}
	if known || len(t.entries) <= maxRelayPayloads {
		return !known, ""
	}
	evicted, _ = t.lru.Back().Value.(string)
	t.remove(evicted)
	return true, evicted
}

// remove records that the relay does not have a job's payload.
func (t *payloadTable) remove(job string) {
	if element, known := t.entries[job]; known {
		t.lru.Remove(element)
	}
	delete(t.entries, job)
	delete(t.unverified, job)
}

// dial opens a stream to the relay that made the offer. The stream is compressed if compress is set
// and the relay supports it.
func dial(ctx context.Context, offer Offer, h hello, compress bool, cache *payloadCache) (*stream, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", offer.Address)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	s, err := newStream(conn, offer, h, compress, cache)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return s, nil
}

// newStream upgrades a connection to a stream, and exchanges the first messages.
func newStream(conn net.Conn, offer Offer, h hello, compress bool, cache *payloadCache) (*stream, error) {
	reader, compress, err := upgrade(conn, offer.Address, compress)
	if err != nil {
		return nil, err
	}
	buffered := &bufferedConn{Conn: conn, reader: reader}
	writer, err := newMessageWriter(conn, compress)
	if err != nil {
		return nil, err
	}
	if err := writer.write(&h); err != nil {
		return nil, err
	}
	decoder := newMessageDecoder(buffered, compress)
	var greeting results
	if err := decoder.Decode(&greeting); err != nil {
		return nil, err
	}
	return &stream{
		offer: offer, conn: buffered, writer: writer, decoder: decoder, payloadCache: cache, messageInterval: h.Every, wakeup: make(chan struct{}, 1),
		pending: map[uint64]*pendingCall{}, vmNumbers: map[string]int{}, payloads: newPayloadTable(greeting.Kept), leaving: greeting.Leaving, lastReports: lastReports{}, lastListing: lastListing{},
	}, nil
}

// upgrade upgrades the connection to a stream and negotiates the compression. The returned
// reader may have buffered the beginning of the stream.
func upgrade(conn net.Conn, address string, compress bool) (reader *bufio.Reader, compressed bool, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+Path, http.NoBody)
	if err != nil {
		return nil, false, err
	}
	req.Header.Set("Upgrade", protocol)
	req.Header.Set("Connection", "Upgrade")
	if compress {
		req.Header.Set("Accept-Encoding", contentCoding)
	}
	if err := req.Write(conn); err != nil {
		return nil, false, err
	}
	reader = bufio.NewReaderSize(conn, bufferBytes)
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return nil, false, err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return nil, false, errors.Newf("upgrade request to %s failed with status %s", address, resp.Status)
	}
	return reader, compress && resp.Header.Get("Content-Encoding") == contentCoding, nil
}

// bufferedConn is a connection with the reader that has read ahead during the upgrade.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// serve exchanges messages until the stream breaks or ctx ends, and returns the cause.
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

// write sends the queued calls in batches.
func (s *stream) write(ctx context.Context) {
	pacer := newMessagePacer(s.messageInterval)
	defer pacer.stop()
	for pacer.wait(ctx, s.wakeup) {
		m := s.takeOutgoing()
		m.SentAt = steady.Now()
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if s.writer.write(&m) != nil {
			// serve returns the cause.
			_ = s.conn.Close()
			return
		}
	}
}

// takeOutgoing returns the next message to write. Its calls count as written from here on: they
// may be executed.
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
	if c := s.pending[call]; c != nil {
		c.written = true
	}
}

// errMissingBaseReport is returned if a report refers to a row that the previous report lacks.
var errMissingBaseReport = errors.New("the relay's report refers to a row that the VM's previous report does not have")

// handleResults completes the pending calls of a message's results.
func (s *stream) handleResults(m *results) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = s.leaving || m.Leaving
	receivedAt := steady.Now()
	for i := range m.Results {
		r := &m.Results[i]
		var rep batch.Report
		if r.Report != nil {
			// This applies to abandoned calls too: the next report is the difference from this one.
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
		c := s.pending[r.Call]
		if c == nil {
			continue
		}
		delete(s.pending, r.Call)
		c.result, c.report, c.list, c.err, c.receivedAt = *r, rep, list, r.err(), receivedAt
		close(c.done)
	}
	return nil
}

// failPending closes the stream for calls and fails all pending ones.
func (s *stream) failPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for call, c := range s.pending {
		c.err = errStreamBroken
		if !c.written {
			c.err = errNotWritten
		}
		delete(s.pending, call)
		close(c.done)
	}
}

// isLeaving reports whether the relay has announced a planned stop.
func (s *stream) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// usable reports whether the stream accepts new calls.
func (s *stream) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && !s.leaving
}

// payloadBackoff is how long a relay is not used as a holder of payloads after another relay
// failed to fetch one from it. Most network partitions between zones last about as long.
const payloadBackoff = 5 * time.Second

// stopServingPayloads excludes the relay from being a holder for payloadBackoff.
func (s *stream) stopServingPayloads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.payloadBackoffUntil = steady.Now() + payloadBackoff
}

// canServePayloads reports whether other relays may fetch payloads from this one.
func (s *stream) canServePayloads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && !s.leaving && steady.Now() >= s.payloadBackoffUntil
}

// callVM queues a call to a VM and waits for its result. add adds the call to the next message.
func (s *stream) callVM(ctx context.Context, vm *batch.Instance, add func(out *orders, head callHead)) (*pendingCall, error) {
	return s.callRelay(ctx, func(out *orders, head callHead) {
		head.VM = s.vmNumber(vm)
		add(out, head)
	})
}

// callRelay queues a call that concerns no VM, and waits for its result. add runs with s.mu held.
func (s *stream) callRelay(ctx context.Context, add func(out *orders, head callHead)) (*pendingCall, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errors.New("a call to a relay needs a deadline")
	}
	c := &pendingCall{done: make(chan struct{})}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, errNotWritten
	}
	s.lastCallID++
	id := s.lastCallID
	s.pending[id] = c
	add(&s.outgoing, callHead{Call: id, Within: time.Until(deadline)})
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
	select {
	case <-c.done:
		return c, c.err
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.pending, id)
		s.mu.Unlock()
		return nil, ctx.Err()
	}
}

// vmNumber returns the number of a VM on the stream, and assigns one if needed. s.mu is held.
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

// Start starts a run and returns the VM's clock.
func (s *stream) Start(ctx context.Context, vm *batch.Instance, o batch.StartOrder) (time.Duration, error) {
	compressed, err := s.payloadCache.compress(o.Task.Job, o.Payload)
	if err != nil {
		return 0, errors.Mark(err, errNotWritten)
	}
	from := ""
	if s.writer.compressor != nil {
		from = s.payloadCache.holderFor(o.Task.Job, s)
	}
	c, err := s.callVM(ctx, vm, func(out *orders, head callHead) {
		missing, evicted := s.payloads.use(o.Task.Job, o.Payload)
		switch {
		case missing && from != "" && !s.payloads.fetchFailed[o.Task.Job]:
			out.addPayload(payload{Job: o.Task.Job, From: from, Hash: hashPayload(o.Payload)})
		case missing:
			delete(s.payloads.fetchFailed, o.Task.Job)
			out.addPayload(payload{Job: o.Task.Job, Packed: compressed})
		}
		if evicted != "" {
			out.dropPayload(evicted)
		}
		o.Payload = ""
		out.Starts = append(out.Starts, startCall{Head: head, Order: o})
	})
	if c == nil {
		return 0, err
	}
	if c.result.NoPayload {
		s.markPayloadMissing(o.Task.Job)
		s.payloadCache.fetchFailed(o.Task.Job, from)
	}
	return c.result.Clock, err
}

// markPayloadMissing records that the relay does not have a payload, so that the leader sends
// it with the next start.
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
	c, err := s.callVM(ctx, vm, func(out *orders, head callHead) {
		out.Holds = append(out.Holds, holdCall{Head: head, Order: o})
	})
	if err != nil {
		return batch.Report{}, err
	}
	if s.observeDelay != nil {
		s.observeDelay(steady.Now() - c.receivedAt)
	}
	return c.report, nil
}

// Instances returns the list of VMs as read by the relay.
func (s *stream) Instances(ctx context.Context) ([]batch.Instance, error) {
	c, err := s.callRelay(ctx, func(out *orders, head callHead) { out.Lists = append(out.Lists, head) })
	if err != nil {
		return nil, err
	}
	return c.list, nil
}
