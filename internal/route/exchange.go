package route

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/hop"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/target"
	"github.com/rattanwall/rattanwall/internal/vms"
)

// replayLimit is the largest body, in bytes, that is buffered for a retry.
const replayLimit = 64 << 10

// requestBody is the body of a request, which is sent to one place or, after a
// failure, to another.
type requestBody struct {
	source   io.Reader
	length   int64
	buffered []byte
	keep     bool
	read     atomic.Bool
	tooLarge atomic.Bool
}

// body returns the request's body, limited to the size that the service accepts.
// Small bodies of idempotent requests are buffered for retries.
func (req *request) body(w http.ResponseWriter) *requestBody {
	r := req.http
	b := &requestBody{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		b.keep = true
		return b
	}
	limited := http.MaxBytesReader(w, r.Body, req.config.BodyLimit())
	b.source = readerFunc(func(p []byte) (int, error) {
		b.read.Store(true)
		n, err := limited.Read(p)
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			b.tooLarge.Store(true)
		}
		return n, err
	})
	if req.idempotent && r.ContentLength >= 0 && r.ContentLength <= replayLimit {
		b.keep = true
	}
	return b
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// repeatable reports whether the body can be sent again.
func (b *requestBody) repeatable() bool { return b.keep || !b.read.Load() }

// reader returns the body for one attempt.
func (b *requestBody) reader() (io.ReadCloser, error) {
	if b.source == nil {
		return http.NoBody, nil
	}
	if !b.keep {
		return io.NopCloser(b.source), nil
	}
	if b.buffered == nil {
		data, err := io.ReadAll(b.source)
		if err != nil {
			return nil, errkind.New(errkind.InvalidRequest, "the request's body was cut off", err)
		}
		b.buffered = data
	}
	return io.NopCloser(bytes.NewReader(b.buffered)), nil
}

// forwardedHeader returns the caller's headers without hop-by-hop headers and
// those used between nodes.
func (req *request) forwardedHeader() http.Header {
	h := req.http.Header.Clone()
	strip(h, hopByHop)
	strip(h, internalHeaders)
	return h
}

func (req *request) remainingMS() int64 {
	return max((time.Until(req.deadline) - answerMargin).Milliseconds(), 1)
}

// answer is the head of an answer from a target or a peer.
type answer struct {
	*target.Answer
	// trailer returns the trailer of a peer's answer once its body is read; nil for
	// a target.
	trailer func() http.Header
	// finish is called with the result of relaying the answer.
	finish func(vms.EndKind)
}

// toTarget sends the request to a VM that this node owns.
func (rt *Router) toTarget(ctx context.Context, req *request, b *requestBody, grant *vms.Grant) (*answer, error) {
	reader, err := b.reader()
	if err == nil && !grant.MayAct() {
		err = errkind.New(errkind.NotOwner, "", nil)
	}
	if err != nil {
		grant.End(vms.EndNotRun)
		return nil, err
	}
	got, err := grant.Target.Send(ctx, &target.Request{
		HopID: grant.HopID, OriginID: req.origin, Class: req.class, Deadline: req.deadline, Resume: req.resume,
		Method: req.http.Method, Path: req.path, RawQuery: req.http.URL.RawQuery,
		Header: req.forwardedHeader(), Body: reader, Length: b.length, Policy: rt.sendPolicy(req, grant.SuspectTimeout()),
	})
	if err != nil {
		return nil, endFailed(err, grant)
	}
	got.Header.Set(HeaderOutcome, string(errkind.Ran))
	return &answer{Answer: got, finish: grant.End}, nil
}

const (
	// targetTimeout bounds the wait for "100 Continue" from a target.
	targetTimeout = 500 * time.Millisecond
	// peerTimeout covers targetTimeout and the peer's own hop.
	peerTimeout = targetTimeout + 250*time.Millisecond
	// maxErrorBytes bounds how much of a peer's error message is passed on.
	maxErrorBytes = 1 << 10
)

// sendPolicy returns how long a connection may be unresponsive. An idempotent quick
// request is abandoned after timeout, a multiple of its usual latency, if the retry
// budget allows; other idempotent requests wait until their deadline.
func (rt *Router) sendPolicy(req *request, timeout time.Duration) hop.SendPolicy {
	switch {
	case !req.idempotent:
		return hop.SendPolicy{Guarded: true, Timeout: max(timeout, targetTimeout)}
	case req.class == model.Quick:
		return hop.SendPolicy{Timeout: timeout, MayAbandon: rt.budget.spend}
	}
	return hop.SendPolicy{}
}

// endFailed ends the grant after a failed exchange and classifies the error.
func endFailed(err error, grant *vms.Grant) error {
	var failed *hop.Error
	errors.As(err, &failed)
	switch {
	case errors.Is(err, target.ErrMismatch):
		grant.End(vms.EndUncertain)
		return errkind.New(errkind.AnswerMismatch, "", err)
	case errors.Is(err, target.ErrUnbounded):
		grant.End(vms.EndUncertain)
		return errkind.New(errkind.AnswerUnbounded, "", err)
	case failed == nil || !failed.NotRun:
		grant.End(vms.EndUncertain)
		return errkind.New(errkind.ConnectionLost, "the target's connection broke or went silent", err)
	case failed.Connected:
		grant.End(vms.EndNotRun)
		return errkind.New(errkind.TargetUnreached, "the connection was silent or broke before the request was sent", err)
	}
	grant.End(vms.EndUnreached)
	return errkind.New(errkind.TargetUnreached, "", err)
}

// toPeer sends the request to a peer, where it may wait for a slot for up to wait.
func (rt *Router) toPeer(ctx context.Context, req *request, b *requestBody, p Peer, wait time.Duration) (*answer, error) {
	reader, err := b.reader()
	if err != nil {
		return nil, err
	}
	out := (&http.Request{
		Method: req.http.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Host: p.Address,
		URL:    &url.URL{Scheme: "http", Host: p.Address, Path: forwardPrefix + req.service + req.path, RawQuery: req.http.URL.RawQuery},
		Header: req.forwardedHeader(), Body: reader, ContentLength: b.length,
	}).WithContext(ctx)
	req.setPeerHeaders(out.Header, wait)
	resp, err := rt.client.Do(out, rt.sendPolicy(req, peerTimeout+wait))
	if err != nil {
		rt.Peers.SetFree(p.Node, req.service, req.class, 0)
		var failed *hop.Error
		if errors.As(err, &failed) && failed.NotRun {
			return nil, errkind.New(errkind.NoCapacity, "a peer was not reached", err)
		}
		return nil, errkind.New(errkind.ConnectionLost, "a peer's connection broke or went silent", err)
	}
	return rt.fromPeer(req, p, resp)
}

// setPeerHeaders sets the headers that are used between nodes.
func (req *request) setPeerHeaders(h http.Header, wait time.Duration) {
	h.Set(headerTeam, req.team)
	h.Set(HeaderRequestID, req.origin)
	h.Set(HeaderClass, string(req.class))
	h.Set(HeaderIdempotent, strconv.FormatBool(req.idempotent))
	h.Set(headerMayWait, strconv.FormatInt(wait.Milliseconds(), 10))
	if !req.deadline.IsZero() {
		h.Set(HeaderTimeoutMS, strconv.FormatInt(req.remainingMS(), 10))
	}
	if req.resume > 0 {
		h.Set(HeaderResume, strconv.FormatInt(req.resume, 10))
	}
}

// fromPeer converts a peer's response to an answer or an error and records the
// peer's free capacity.
func (rt *Router) fromPeer(req *request, p Peer, resp *http.Response) (*answer, error) {
	if free, err := strconv.ParseInt(resp.Header.Get(headerFree), 10, 64); err == nil {
		rt.Peers.SetFree(p.Node, req.service, req.class, free)
	}
	resp.Header.Del(headerFree)
	if kind := errkind.Kind(resp.Header.Get(HeaderError)); kind != "" {
		if kind == errkind.NoCapacity || kind == errkind.Overloaded {
			rt.Peers.SetFree(p.Node, req.service, req.class, 0)
		}
		message, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		_ = resp.Body.Close()
		return nil, errkind.New(kind, strings.TrimSpace(strings.TrimPrefix(string(message), string(kind)+":")), nil)
	}
	if !hop.Bounded(resp) || resp.Header.Get(HeaderOutcome) == "" {
		_ = resp.Body.Close()
		return nil, errkind.New(errkind.AnswerUnbounded, "", nil)
	}
	return &answer{
		Answer:  &target.Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body},
		trailer: func() http.Header { return resp.Trailer },
		finish:  func(vms.EndKind) {},
	}, nil
}

// relay passes an answer on. If the answer is truncated, it closes the caller's
// connection, so that the caller does not take a partial answer for a complete one.
func (rt *Router) relay(w http.ResponseWriter, got *answer) errkind.Kind {
	copyHeader(w.Header(), got.Header)
	if got.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(got.Length, 10))
	}
	w.WriteHeader(got.Status)
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	_, err := io.CopyBuffer(onlyWriter{w}, got.Body, *buf)
	_ = got.Body.Close()
	if err != nil {
		got.finish(vms.EndUncertain)
		rt.Metrics.cutOff.Inc()
		panic(http.ErrAbortHandler)
	}
	got.finish(vms.EndCompleted)
	return ""
}

func copyHeader(to, from http.Header) {
	strip(from, hopByHop)
	for name, values := range from {
		to[name] = values
	}
}

// onlyWriter hides the writer's other methods, so that io.CopyBuffer uses its buffer.
type onlyWriter struct{ io.Writer }

// ServePeer serves other nodes at /forward/<service>/<path>. It uses only VMs that
// this node owns, so that a request takes at most two hops.
func (rt *Router) ServePeer(w http.ResponseWriter, r *http.Request) {
	rt.inFlight.Add(1)
	defer rt.inFlight.Add(-1)
	req, err := parse(r, forwardPrefix, rt.Config())
	if err != nil {
		WriteError(w, err)
		return
	}
	req.team = r.Header.Get(headerTeam)
	ctx, cancel := rt.withDeadline(r.Context(), req)
	defer cancel()
	waitMS, _ := strconv.ParseInt(r.Header.Get(headerMayWait), 10, 64)
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWait(req.class))
	b := req.body(w)
	grant, err := rt.VMs.Acquire(ctx, req.service, req.class, wait)
	if err != nil {
		rt.fail(ctx, w, req, err, b)
		return
	}
	got, err := rt.toTarget(ctx, req, b, grant)
	if err != nil {
		rt.fail(ctx, w, req, err, b)
		return
	}
	w.Header().Set(headerFree, strconv.FormatInt(rt.VMs.Free(req.service, req.class), 10))
	if req.class == model.Standing {
		rt.relayWatch(ctx, w, got, req.resume)
		return
	}
	rt.relay(w, got)
}
