package route

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/hop"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/target"
	"github.com/rattanwall/rattanwall/internal/vms"
)

// replayLimit is how much of an idempotent request's body is kept for a repeat.
const replayLimit = 64 << 10

// body is a request's body on its way to one place or, if that fails, another.
type body struct {
	source   io.Reader
	length   int64
	buffered []byte
	keep     bool
	read     atomic.Bool
	tooLarge atomic.Bool
}

// body returns the request's body, limited to what the service takes. Small
// bodies of idempotent requests are kept, so that they can be repeated.
func (req *request) body(w http.ResponseWriter) *body {
	r := req.http
	b := &body{length: r.ContentLength}
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

// repeatable reports whether the body can be sent once more.
func (b *body) repeatable() bool { return b.keep || !b.read.Load() }

// reader returns the body for one try.
func (b *body) reader() (io.ReadCloser, error) {
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

// finishFunc is told how the passing on of an answer ended.
type finishFunc func(vms.EndKind)

// outgoing builds the request for the next hop.
func (req *request) outgoing(ctx context.Context, address, path string, b *body) (*http.Request, error) {
	reader, err := b.reader()
	if err != nil {
		return nil, err
	}
	out := &http.Request{
		Method: req.http.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:  &url.URL{Scheme: "http", Host: address, Path: path, RawQuery: req.http.URL.RawQuery},
		Host: address, Header: req.http.Header.Clone(), Body: reader, ContentLength: b.length,
	}
	strip(out.Header, hopByHop)
	return out.WithContext(ctx), nil
}

func (req *request) leftMS() int64 {
	return max((time.Until(req.deadline) - answerMargin).Milliseconds(), 1)
}

// toTarget sends the request to an own VM.
func (rt *Router) toTarget(ctx context.Context, req *request, b *body, grant *vms.Grant) (*http.Response, finishFunc, error) {
	out, err := req.outgoing(ctx, grant.Address, req.path, b)
	if err != nil {
		grant.End(vms.EndNotRun)
		return nil, nil, err
	}
	strip(out.Header, internalHeaders)
	out.Header.Set(target.HeaderRequestID, grant.HopID)
	out.Header.Set(target.HeaderOriginID, req.origin)
	out.Header.Set(target.HeaderClass, string(req.class))
	if !req.deadline.IsZero() {
		out.Header.Set(target.HeaderDeadlineMS, strconv.FormatInt(req.leftMS(), 10))
	}
	if req.resume > 0 {
		out.Header.Set(target.HeaderResume, strconv.FormatInt(req.resume, 10))
	}
	if !grant.MayAct() {
		grant.End(vms.EndNotRun)
		return nil, nil, errkind.New(errkind.NotOwner, "", nil)
	}
	resp, err := grant.Client.Do(out, rt.patience(req, grant.Patience()))
	if err != nil {
		return nil, nil, endFailed(err, grant)
	}
	if err := checkAnswer(resp, grant.HopID); err != nil {
		_ = resp.Body.Close()
		grant.End(vms.EndUncertain)
		return nil, nil, err
	}
	resp.Header.Del(target.HeaderRequestID)
	resp.Header.Set(HeaderOutcome, string(errkind.Ran))
	return resp, grant.End, nil
}

const (
	// targetPatience is how long a target may take to say "100 Continue".
	targetPatience = 500 * time.Millisecond
	// peerPatience covers that and the peer's own hop.
	peerPatience = targetPatience + 250*time.Millisecond
)

// patience says how long a connection may show no sign of life. A quick request
// that may run twice is given up after usual, its usual time many times over,
// if the retry budget allows; others wait for their deadline.
func (rt *Router) patience(req *request, usual time.Duration) hop.Patience {
	switch {
	case !req.idempotent:
		return hop.Patience{Guarded: true, For: max(usual, targetPatience)}
	case req.class == model.Quick:
		return hop.Patience{For: usual, GiveUp: rt.budget.spend}
	}
	return hop.Patience{}
}

// endFailed gives the place back after a failed exchange and names the failure.
func endFailed(err error, grant *vms.Grant) error {
	var failed *hop.Error
	if !errors.As(err, &failed) || !failed.NotRun {
		grant.End(vms.EndUncertain)
		if failed != nil && failed.Silent {
			return errkind.New(errkind.ConnectionLost, "the connection was silent", err)
		}
		return errkind.New(errkind.ConnectionLost, "the target's connection broke", err)
	}
	if failed.Silent {
		grant.End(vms.EndNotRun)
		return errkind.New(errkind.TargetUnreached, "the connection was silent", err)
	}
	grant.End(vms.EndUnreached)
	return errkind.New(errkind.TargetUnreached, "", err)
}

// checkAnswer refuses an answer to another request, which a target sends that
// answers twice or out of order on one connection, and an answer whose end
// could not be told from a cut-off.
func checkAnswer(resp *http.Response, hopID string) error {
	if resp.Header.Get(target.HeaderRequestID) != hopID {
		return errkind.New(errkind.AnswerMismatch, "", nil)
	}
	if !hop.Bounded(resp) {
		return errkind.New(errkind.AnswerUnbounded, "", nil)
	}
	return nil
}

// toPeer sends the request to the node that owns a VM with room.
func (rt *Router) toPeer(ctx context.Context, req *request, b *body, p Peer, wait time.Duration) (*http.Response, finishFunc, error) {
	out, err := req.outgoing(ctx, p.Address, forwardPrefix+req.service+req.path, b)
	if err != nil {
		return nil, nil, err
	}
	h := out.Header
	h.Del("Authorization")
	h.Set(headerTeam, req.team)
	h.Set(HeaderRequestID, req.origin)
	h.Set(HeaderClass, string(req.class))
	h.Set(HeaderIdempotent, strconv.FormatBool(req.idempotent))
	h.Set(headerMayWait, strconv.FormatInt(wait.Milliseconds(), 10))
	if !req.deadline.IsZero() {
		h.Set(HeaderTimeoutMS, strconv.FormatInt(req.leftMS(), 10))
	}
	if req.resume > 0 {
		h.Set(HeaderResume, strconv.FormatInt(req.resume, 10))
	}
	resp, err := rt.client.Do(out, rt.patience(req, peerPatience+wait))
	if err != nil {
		rt.Peers.Heard(p.Node, req.service, req.class, 0)
		var failed *hop.Error
		if errors.As(err, &failed) && failed.NotRun {
			return nil, nil, errkind.New(errkind.NoCapacity, "a peer was not reached", err)
		}
		return nil, nil, errkind.New(errkind.ConnectionLost, "a peer's connection broke", err)
	}
	if free, err := strconv.ParseInt(resp.Header.Get(headerFree), 10, 64); err == nil {
		rt.Peers.Heard(p.Node, req.service, req.class, free)
	}
	resp.Header.Del(headerFree)
	if kind := errkind.Kind(resp.Header.Get(HeaderError)); kind != "" {
		_ = resp.Body.Close()
		return nil, nil, errkind.New(kind, "", nil)
	}
	if !hop.Bounded(resp) || resp.Header.Get(HeaderOutcome) == "" {
		_ = resp.Body.Close()
		return nil, nil, errkind.New(errkind.AnswerUnbounded, "", nil)
	}
	return resp, func(vms.EndKind) {}, nil
}

// relay passes an answer on. When it breaks off, the caller's connection is cut
// too: a part must never look like the whole.
func (rt *Router) relay(w http.ResponseWriter, resp *http.Response, finish finishFunc) errkind.Kind {
	copyHeader(w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.StatusCode)
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	_, err := io.CopyBuffer(onlyWriter{w}, resp.Body, *buf)
	_ = resp.Body.Close()
	if err != nil {
		finish(vms.EndUncertain)
		rt.Metrics.cutOff.Inc()
		panic(http.ErrAbortHandler)
	}
	finish(vms.EndWhole)
	return ""
}

func copyHeader(to, from http.Header) {
	strip(from, hopByHop)
	for name, values := range from {
		to[name] = values
	}
}

// onlyWriter hides the writer's other methods, so that the copy uses our buffer.
type onlyWriter struct{ io.Writer }

// ServePeer serves other nodes at /forward/<service>/<path>: only own VMs are
// used, so that a request takes at most two hops.
func (rt *Router) ServePeer(w http.ResponseWriter, r *http.Request) {
	rt.inFlight.Add(1)
	defer rt.inFlight.Add(-1)
	req, err := parse(r, forwardPrefix, rt.Config())
	if err != nil {
		WriteError(w, err)
		return
	}
	req.team = r.Header.Get(headerTeam)
	ctx, cancel := rt.requestContext(r.Context(), req)
	defer cancel()
	waitMS, _ := strconv.ParseInt(r.Header.Get(headerMayWait), 10, 64)
	wait := min(time.Duration(waitMS)*time.Millisecond, waitFor(req.class))
	b := req.body(w)
	grant, err := rt.VMs.Acquire(ctx, req.service, req.class, wait)
	if err != nil {
		rt.fail(ctx, w, req, err, b)
		return
	}
	resp, finish, err := rt.toTarget(ctx, req, b, grant)
	if err != nil {
		rt.fail(ctx, w, req, err, b)
		return
	}
	w.Header().Set(headerFree, strconv.FormatInt(rt.VMs.Free(req.service, req.class), 10))
	if req.class == model.Standing {
		rt.relayWatch(ctx, w, resp, finish, req.resume)
		return
	}
	rt.relay(w, resp, finish)
}
