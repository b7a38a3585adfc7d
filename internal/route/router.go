package route

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/hop"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/vms"
)

// Peer is another node that owns VMs of a service.
type Peer struct {
	Node    string
	Address string
	// Free is how many more requests of the class the peer last reported it can take.
	Free int64
	// SameZone is set for a peer in this node's availability zone.
	SameZone bool
	// Waiting is how many waiting requests the peer last reported.
	Waiting int64
}

// Peers lists the peers that a request can be sent to.
type Peers interface {
	// For returns the peers with VMs of a service, best first.
	For(service string, class model.Class) []Peer
	// SetFree records the free capacity that a peer reported in an answer.
	SetFree(node, service string, class model.Class, free int64)
}

// Options configures a Router. All fields are required.
type Options struct {
	Node   string
	Config func() *config.Installed
	VMs    *vms.Manager
	Peers  Peers
	// Network dials the other nodes.
	Network netio.Network
	Metrics *Metrics
	Log     *logrus.Entry
}

// Router serves requests. It is safe for concurrent use.
type Router struct {
	Options
	client *hop.Client
	budget *retryBudget
	limits inFlightLimits
	// stopCh is closed when the node stops; standing watches then end cleanly.
	stopCh   chan struct{}
	stopOnce sync.Once
	inFlight atomic.Int64
}

const (
	// maxTries bounds how many places are tried for one request.
	maxTries = 4
	// quickWait and heavyWait bound the wait for a slot, so that a request without
	// one fails early rather than near its deadline.
	quickWait = 500 * time.Millisecond
	heavyWait = 3 * time.Second
	// answerMargin is subtracted from the time left that a peer is given, for the
	// transfer of the answer.
	answerMargin = 2 * time.Millisecond
)

// New returns a router without open connections.
func New(o Options) *Router {
	return &Router{
		Options: o,
		client:  hop.NewClient(hop.Options{Network: o.Network}),
		budget:  newRetryBudget(), stopCh: make(chan struct{}),
	}
}

// Close closes the idle connections to other nodes.
func (rt *Router) Close() { rt.client.CloseIdle() }

// EndWatches ends the standing watches cleanly.
func (rt *Router) EndWatches() { rt.stopOnce.Do(func() { close(rt.stopCh) }) }

// InFlight returns the number of requests in flight from callers and peers.
func (rt *Router) InFlight() int64 { return rt.inFlight.Load() }

// request is a parsed request of a caller or a peer.
type request struct {
	service    string
	path       string
	class      model.Class
	team       string
	origin     string
	idempotent bool
	deadline   time.Time // zero for standing watches
	resume     int64
	http       *http.Request
	config     config.Service
}

// ServeHTTP serves callers at /svc/<service>/<path>.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	rt.inFlight.Add(1)
	defer rt.inFlight.Add(-1)
	req, err := rt.admit(r)
	if err != nil {
		rt.Metrics.answered("", "", errkind.From(err).Kind, started)
		WriteError(w, err)
		return
	}
	defer rt.limits.release(req.team, req.service)
	ctx, cancel := rt.withDeadline(r.Context(), req)
	defer cancel()
	if req.class == model.Standing {
		rt.serveWatch(ctx, w, req)
		return
	}
	w.Header().Set(HeaderRequestID, req.origin)
	kind := rt.serve(ctx, w, req)
	rt.Metrics.answered(req.service, req.class, kind, started)
}

func (rt *Router) withDeadline(ctx context.Context, req *request) (context.Context, context.CancelFunc) {
	if req.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, req.deadline)
}

// admit authenticates and authorizes a caller's request, and counts it against the
// limits of its team and service.
func (rt *Router) admit(r *http.Request) (*request, error) {
	cfg := rt.Config()
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	id, known := cfg.Identify(token)
	if !ok || !known {
		return nil, errkind.New(errkind.Unauthorized, "send 'Authorization: Bearer TOKEN' of a team", nil)
	}
	req, err := parse(r, "/svc/", cfg)
	if err != nil {
		return nil, err
	}
	req.team = id.Name
	if !id.IsOperator && !req.config.Open && req.config.Team != id.Name {
		return nil, errkind.New(errkind.Forbidden, fmt.Sprintf("service %s is not open to team %s", req.service, id.Name), nil)
	}
	if req.origin == "" {
		req.origin = uuid.NewString()
	}
	if err := rt.limits.acquire(req.team, req.service, cfg.Document); err != nil {
		return nil, err
	}
	return req, nil
}

// parse parses the path and headers of a request of a caller or a peer.
func parse(r *http.Request, prefix string, cfg *config.Installed) (*request, error) {
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, prefix), "/")
	svc, ok := cfg.Document.Services[service]
	if !ok {
		return nil, errkind.New(errkind.NotFound, fmt.Sprintf("no service %q", service), nil)
	}
	req := &request{
		service: service, path: "/" + path, http: r, config: svc,
		class: model.Class(r.Header.Get(HeaderClass)), origin: r.Header.Get(HeaderRequestID),
	}
	if req.class == "" {
		req.class = model.Quick
	}
	if !req.class.Valid() {
		return nil, errkind.New(errkind.InvalidRequest, HeaderClass+": use quick, heavy or standing", nil)
	}
	if len(req.origin) > 128 {
		return nil, errkind.New(errkind.InvalidRequest, HeaderRequestID+": use at most 128 bytes", nil)
	}
	if r.ContentLength > svc.BodyLimit() {
		return nil, errkind.New(errkind.BodyTooLarge, fmt.Sprintf("service %s takes %d bytes", service, svc.BodyLimit()), nil)
	}
	req.idempotent = idempotent(r, req.class)
	if err := req.parseTimes(r); err != nil {
		return nil, err
	}
	if req.class == model.Standing && r.Method != http.MethodGet {
		return nil, errkind.New(errkind.InvalidRequest, "a standing watch is a GET", nil)
	}
	return req, nil
}

// parseTimes sets the deadline and the event to resume after.
func (req *request) parseTimes(r *http.Request) error {
	if v := r.Header.Get(HeaderResume); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			return errkind.New(errkind.InvalidRequest, HeaderResume+": give the number of events already seen", nil)
		}
		req.resume = n
	}
	if req.class == model.Standing {
		return nil
	}
	timeout := req.config.Timeout()
	if v := r.Header.Get(HeaderTimeoutMS); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return errkind.New(errkind.InvalidRequest, HeaderTimeoutMS+": give milliseconds above 0", nil)
		}
		timeout = min(timeout, ms)
	}
	req.deadline = time.Now().Add(time.Duration(timeout) * time.Millisecond)
	return nil
}

// serve finds a place for the request and passes the answer on. It tries another
// place only if the request cannot have run or is idempotent.
func (rt *Router) serve(ctx context.Context, w http.ResponseWriter, req *request) errkind.Kind {
	rt.budget.earn()
	body := req.body(w)
	// lastErr is returned to the caller when no place serves the request.
	var lastErr error
	tried := map[string]bool{}
	for try := 0; try < maxTries; try++ {
		if try > 0 && !rt.mayRetry(lastErr, req, body) {
			break
		}
		got, err := rt.tryPlace(ctx, req, body, tried, try == maxTries-1)
		if err == nil {
			return rt.relay(w, got)
		}
		lastErr = combineErrors(lastErr, err)
		if ctx.Err() != nil || !isRetryable(err) {
			break
		}
	}
	return rt.fail(ctx, w, req, lastErr, body)
}

// combineErrors returns the error that describes the request after one more try.
// If an earlier try may have run the request, a later try that did not run it does
// not change the outcome.
func combineErrors(before, err error) error {
	if before != nil && errkind.From(err).Answer().Outcome == errkind.NotRun && errkind.From(before).Answer().Outcome != errkind.NotRun {
		return before
	}
	return err
}

// mayRetry decides whether another place may be tried after err. A refusal for
// lack of capacity costs nothing; a request that may have reached a target needs
// the retry budget, so that retries do not amplify a failure.
func (rt *Router) mayRetry(err error, req *request, body *requestBody) bool {
	e := errkind.From(err)
	switch e.Kind {
	case errkind.NoCapacity, errkind.NotOwner, errkind.Draining, errkind.Overloaded:
		return true
	}
	if e.Answer().Outcome != errkind.NotRun && (!req.idempotent || !body.repeatable()) {
		return false
	}
	if !rt.budget.spend() {
		return false
	}
	rt.Metrics.retries.Inc()
	return true
}

// isRetryable reports whether the request could succeed at another place.
func isRetryable(err error) bool {
	switch errkind.From(err).Kind {
	case errkind.NoCapacity, errkind.NotOwner, errkind.NoOwner, errkind.Draining, errkind.TargetUnreached,
		errkind.ConnectionLost, errkind.AnswerMismatch, errkind.AnswerUnbounded, errkind.NotFound:
		return true
	}
	return false
}

// fail answers with an error and returns its kind.
func (rt *Router) fail(ctx context.Context, w http.ResponseWriter, req *request, err error, body *requestBody) errkind.Kind {
	e := errkind.From(err)
	notRun := e.Answer().Outcome == errkind.NotRun
	switch {
	case body.tooLarge.Load():
		e = errkind.New(errkind.BodyTooLarge, fmt.Sprintf("service %s takes %d bytes", req.service, req.config.BodyLimit()), nil)
	case ctx.Err() == context.DeadlineExceeded && notRun:
		e = errkind.New(errkind.DeadlineNotRun, "", err)
	case ctx.Err() == context.DeadlineExceeded:
		e = errkind.New(errkind.Timeout, "", err)
	case ctx.Err() != nil:
		e = errkind.New(errkind.CallerGone, "", err)
	}
	rt.Log.WithError(e).WithFields(logrus.Fields{"request": req.origin, "service": req.service}).Debug("request failed")
	w.Header().Del(HeaderRequestID)
	WriteError(w, e)
	return e.Kind
}

// tryPlace sends the request to one place: a VM of this node, else the best peer
// with free capacity, else the node with the shortest queue.
func (rt *Router) tryPlace(ctx context.Context, req *request, body *requestBody, tried map[string]bool, lastTry bool) (*answer, error) {
	grant, err := rt.VMs.Acquire(ctx, req.service, req.class, 0)
	if err == nil {
		return rt.toTarget(ctx, req, body, grant)
	}
	peers := rt.Peers.For(req.service, req.class)
	if !lastTry {
		for _, p := range peers {
			if p.Free > 0 && !tried[p.Node] {
				tried[p.Node] = true
				return rt.toPeer(ctx, req, body, p, 0)
			}
		}
	}
	wait := maxWait(req.class)
	if rt.VMs.Serves(req.service) && (len(peers) == 0 || rt.VMs.Waiting() <= shortestQueue(peers).Waiting) {
		grant, err := rt.VMs.Acquire(ctx, req.service, req.class, wait)
		if err != nil {
			return nil, err
		}
		return rt.toTarget(ctx, req, body, grant)
	}
	if len(peers) == 0 {
		return nil, errkind.New(errkind.NoOwner, "no node owns VMs of the service", nil)
	}
	return rt.toPeer(ctx, req, body, shortestQueue(peers), wait)
}

func maxWait(class model.Class) time.Duration {
	switch class {
	case model.Quick:
		return quickWait
	case model.Heavy:
		return heavyWait
	}
	return 0
}

// shortestQueue returns the peer with the fewest waiting requests; the first of
// several.
func shortestQueue(peers []Peer) Peer {
	best := peers[0]
	for _, p := range peers[1:] {
		if p.Waiting < best.Waiting {
			best = p
		}
	}
	return best
}
