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
	// mostPayloads bounds the payloads that a relay keeps for one stream: 512 of
	// 4 KB at most are 2 MB.
	mostPayloads = 512
)

// errBroken: the stream ended while the call was under way.
var errBroken = errors.New("the stream to the relay is broken")

// errNotWritten: the stream ended before the call was written to it; the order may be
// given in another way.
var errNotWritten = errors.New("the relay was not told of the order")

// stream is the leader's side of a stream to a relay.
type stream struct {
	offer   Offer
	conn    net.Conn
	coder   *coder
	decoder *gob.Decoder
	packer  *packer
	every   time.Duration
	kick    chan struct{}
	// observeDelay is that of the pool.
	observeDelay func(time.Duration)

	mu       sync.Mutex
	next     uint64
	waiting  map[uint64]*waiter
	out      orders
	numbers  map[string]int
	payloads payloadTable
	last     lastReports
	listed   lastListing
	leaving  bool
	closed   bool
	// distrustedUntil is until when the relay is not to give payloads to others.
	distrustedUntil time.Duration
}

// waiter is a call under way.
type waiter struct {
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
	// used has each job's place in recent, which begins with the job that was used last.
	used   map[string]*list.Element
	recent *list.List
	// hashes are those of payloads that the relay had before this stream, until they
	// are used.
	hashes map[string]uint64
	// whole are the jobs whose payloads the relay could not fetch from another one.
	whole map[string]bool
}

func newPayloadTable(greeting []kept) payloadTable {
	t := payloadTable{used: map[string]*list.Element{}, recent: list.New(), hashes: map[string]uint64{}, whole: map[string]bool{}}
	for _, k := range greeting {
		t.used[k.Job], t.hashes[k.Job] = t.recent.PushBack(k.Job), k.Hash
	}
	return t
}

// use notes that a job's payload is needed. fresh is true when the relay does not have
// it; dropped is the job whose payload it need not keep any more, or "".
func (t *payloadTable) use(job, text string) (fresh bool, dropped string) {
	place, known := t.used[job]
	if known {
		t.recent.MoveToFront(place)
	} else {
		t.used[job] = t.recent.PushFront(job)
	}
	if hash, early := t.hashes[job]; early {
		// An ID may have been another job's once.
		known = hash == hashOf(text)
		delete(t.hashes, job)
	}
	if known || len(t.used) <= mostPayloads {
		return !known, ""
	}
	dropped, _ = t.recent.Back().Value.(string)
	t.forget(dropped)
	return true, dropped
}

// forget notes that the relay does not have a job's payload.
func (t *payloadTable) forget(job string) {
	if place, known := t.used[job]; known {
		t.recent.Remove(place)
	}
	delete(t.used, job)
	delete(t.hashes, job)
}

// dial opens a stream to the relay that made the offer, compressed if both sides would.
func dial(ctx context.Context, offer Offer, h hello, pack bool, payloads *packer) (*stream, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", offer.Address)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	s, err := open(conn, offer, h, pack, payloads)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return s, nil
}

// open makes a stream of a connection.
func open(conn net.Conn, offer Offer, h hello, pack bool, payloads *packer) (*stream, error) {
	in, pack, err := upgrade(conn, offer.Address, pack)
	if err != nil {
		return nil, err
	}
	buffered := &bufferedConn{Conn: conn, in: in}
	coder, err := newCoder(conn, pack)
	if err != nil {
		return nil, err
	}
	if err := coder.write(&h); err != nil {
		return nil, err
	}
	decoder := newDecoder(buffered, pack)
	var greeting results
	if err := decoder.Decode(&greeting); err != nil {
		return nil, err
	}
	return &stream{
		offer: offer, conn: buffered, coder: coder, decoder: decoder, packer: payloads, every: h.Every, kick: make(chan struct{}, 1),
		waiting: map[uint64]*waiter{}, numbers: map[string]int{}, payloads: newPayloadTable(greeting.Kept), leaving: greeting.Leaving, last: lastReports{}, listed: lastListing{},
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
		req.Header.Set("Accept-Encoding", packing)
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
	return in, pack && resp.Header.Get("Content-Encoding") == packing, nil
}

// bufferedConn reads on from what was read ahead during the upgrade.
type bufferedConn struct {
	net.Conn
	in *bufio.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.in.Read(p) }

// serve carries messages until the stream breaks or ctx ends, and returns why.
func (s *stream) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	go s.write(ctx)
	var err error
	for err == nil {
		_ = s.conn.SetReadDeadline(time.Now().Add(silentAfter))
		var m results
		if err = s.decoder.Decode(&m); err == nil {
			err = s.take(&m)
		}
	}
	s.fail()
	return err
}

// write sends the calls, a batch at a time.
func (s *stream) write(ctx context.Context) {
	pace := newPacer(s.every)
	defer pace.stop()
	for pace.wait(ctx, s.kick) {
		m := s.takeOut()
		m.SentAt = steady.Now()
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if s.coder.write(&m) != nil {
			// The reader tells why the stream ended.
			_ = s.conn.Close()
			return
		}
	}
}

// takeOut returns what is to be written next. From here on its calls may be carried out.
func (s *stream) takeOut() orders {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.out
	s.out = orders{}
	for _, c := range m.Stops {
		s.mark(c.Head.Call)
	}
	for _, c := range m.Holds {
		s.mark(c.Head.Call)
	}
	for _, c := range m.Paces {
		s.mark(c.Head.Call)
	}
	for _, c := range m.Starts {
		s.mark(c.Head.Call)
	}
	for _, head := range m.Lists {
		s.mark(head.Call)
	}
	return m
}

func (s *stream) mark(call uint64) {
	if w := s.waiting[call]; w != nil {
		w.written = true
	}
}

// errReport: a report went back to one that this side does not have.
var errReport = errors.New("the relay's report follows one that did not come")

// take hands the outcomes to those who wait for them.
func (s *stream) take(m *results) error {
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
			if rep, ok = s.last.restore(r.Report); !ok {
				return errReport
			}
			rep.Clock = r.Clock
		}
		var list []batch.Instance
		if r.Listing != nil {
			list = s.listed.restore(r.Listing)
		}
		w := s.waiting[r.Call]
		if w == nil {
			continue
		}
		delete(s.waiting, r.Call)
		w.result, w.report, w.list, w.err, w.receivedAt = *r, rep, list, r.err(), receivedAt
		close(w.done)
	}
	return nil
}

// fail ends all calls under way.
func (s *stream) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for call, w := range s.waiting {
		w.err = errBroken
		if !w.written {
			w.err = errNotWritten
		}
		delete(s.waiting, call)
		close(w.done)
	}
}

// usable reports whether new calls may be made.
func (s *stream) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && !s.leaving
}

// distrusted is how long a relay holds no payloads for others after one of them could not
// fetch one: as long as cuts between zones mostly last.
const distrusted = 5 * time.Second

// distrust notes that another relay could not fetch a payload from this one.
func (s *stream) distrust() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.distrustedUntil = steady.Now() + distrusted
}

// gives reports whether other relays may be told to fetch payloads from this one.
func (s *stream) gives() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && !s.leaving && steady.Now() >= s.distrustedUntil
}

// call queues a call to a VM and waits for its outcome. add puts it into the next message.
func (s *stream) call(ctx context.Context, vm *batch.Instance, add func(out *orders, head callHead)) (*waiter, error) {
	return s.callAny(ctx, func(out *orders, head callHead) {
		head.VM = s.number(vm)
		add(out, head)
	})
}

// callAny queues a call that is about no VM, and waits for its outcome.
func (s *stream) callAny(ctx context.Context, add func(out *orders, head callHead)) (*waiter, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errors.New("a call needs a deadline")
	}
	w := &waiter{done: make(chan struct{})}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, errNotWritten
	}
	s.next++
	id := s.next
	s.waiting[id] = w
	add(&s.out, callHead{Call: id, Within: time.Until(deadline)})
	s.mu.Unlock()
	select {
	case s.kick <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
		return w, w.err
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.waiting, id)
		s.mu.Unlock()
		return nil, ctx.Err()
	}
}

// number is how the stream names a VM. s.mu is held.
func (s *stream) number(vm *batch.Instance) int {
	key := vm.ID + " " + vm.Address
	n, ok := s.numbers[key]
	if !ok {
		n = len(s.numbers) + 1
		s.numbers[key] = n
		s.out.Named = append(s.out.Named, named{Number: n, ID: vm.ID, Address: vm.Address})
	}
	return n
}

// Start orders a run and returns the VM's clock.
func (s *stream) Start(ctx context.Context, vm *batch.Instance, o batch.StartOrder) (time.Duration, error) {
	packed, err := s.packer.pack(o.Task.Job, o.Payload)
	if err != nil {
		return 0, errors.Mark(err, errNotWritten)
	}
	from := ""
	if s.coder.packed != nil {
		from = s.packer.holder(o.Task.Job, s)
	}
	w, err := s.call(ctx, vm, func(out *orders, head callHead) {
		fresh, dropped := s.payloads.use(o.Task.Job, o.Payload)
		switch {
		case fresh && from != "" && !s.payloads.whole[o.Task.Job]:
			out.keep(payload{Job: o.Task.Job, From: from, Hash: hashOf(o.Payload)})
		case fresh:
			delete(s.payloads.whole, o.Task.Job)
			out.keep(payload{Job: o.Task.Job, Packed: packed})
		}
		if dropped != "" {
			out.drop(dropped)
		}
		o.Payload = ""
		out.Starts = append(out.Starts, startCall{Head: head, Order: o})
	})
	if w == nil {
		return 0, err
	}
	if w.result.NoPayload {
		s.lacks(o.Task.Job)
		s.packer.withheld(o.Task.Job, from)
	}
	return w.result.Clock, err
}

// lacks notes that the relay could not fetch a payload: the next start brings it.
func (s *stream) lacks(job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.payloads.forget(job)
	if len(s.payloads.whole) >= mostPayloads {
		clear(s.payloads.whole)
	}
	s.payloads.whole[job] = true
}

// Stop ends a run.
func (s *stream) Stop(ctx context.Context, vm *batch.Instance, task batch.TaskID, run, fence int64) error {
	_, err := s.call(ctx, vm, func(out *orders, head callHead) {
		out.Stops = append(out.Stops, stopCall{Head: head, Task: task, Run: run, Fence: fence})
	})
	return err
}

// Pace sets the pace of a run.
func (s *stream) Pace(ctx context.Context, vm *batch.Instance, task batch.TaskID, run int64, percent int, fence int64) error {
	_, err := s.call(ctx, vm, func(out *orders, head callHead) {
		out.Paces = append(out.Paces, paceCall{Head: head, Task: task, Run: run, Percent: percent, Fence: fence})
	})
	return err
}

// Hold renews the leases of a VM and returns its report.
func (s *stream) Hold(ctx context.Context, vm *batch.Instance, o batch.HoldOrder) (batch.Report, error) {
	w, err := s.call(ctx, vm, func(out *orders, head callHead) {
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
	w, err := s.callAny(ctx, func(out *orders, head callHead) { out.Lists = append(out.Lists, head) })
	if err != nil {
		return nil, err
	}
	return w.list, nil
}
