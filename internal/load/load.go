// Package load generates load for tests and experiments: callers that send quick
// and heavy requests and keep watches open, teams that submit jobs, and operators
// that patch the configuration, all through a simple substitute for the platform's
// load balancer. It records what each caller sent and received.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/checker"
	"github.com/rattanwall/rattanwall/internal/deployment"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/route"
	"github.com/rattanwall/rattanwall/internal/standin/record"
	"github.com/rattanwall/rattanwall/internal/standin/worker"
)

// Options configures a Generator.
type Options struct {
	Recorder *record.Recorder
	Balancer *Balancer
	Network  netio.Network
	Service  string
	// Team and Token are the credentials for requests, BatchTeam and BatchToken those
	// for jobs.
	Team, Token           string
	BatchTeam, BatchToken string
	// OperatorToken authorizes configuration patches.
	OperatorToken string
	// QuickRate and HeavyRate are in requests per second; Watches is the number of
	// concurrent watches.
	QuickRate, HeavyRate float64
	Watches              int
	// JobEvery is the interval between jobs of JobTasks tasks.
	JobEvery time.Duration
	JobTasks int
	// PatchEvery is the interval between configuration patches.
	PatchEvery time.Duration
	// OversizeEvery is the interval between requests whose body is detected as too
	// large only while it is transferred. They must get the outcome not-run and must
	// not run.
	OversizeEvery time.Duration
	Seed          uint64
}

// Generator generates load and collects statistics.
type Generator struct {
	Options
	client *http.Client

	mu    sync.Mutex
	stats map[model.Class]*classStats
	watch WatchStats
	jobs  jobStats
	rng   *rand.Rand
	next  int
}

type classStats struct {
	latency *hdrhistogram.Histogram
	ran     int64
	notRun  int64
	unknown int64
}

// WatchStats holds statistics of the standing watches.
type WatchStats struct {
	Events  int64 `json:"events"`
	Resumed int64 `json:"resumed"`
	// Gaps counts the breaks in the sequence of events, by missed or repeated ones.
	Gaps int64 `json:"gaps"`
}

const (
	// maxLatencyUS is the largest recorded latency, in microseconds.
	maxLatencyUS = 60_000_000
	quickWorkMS  = 3
	heavyWorkMS  = 200
	answerBytes  = 600
	// idleConnections is the number of idle connections kept to each node.
	idleConnections = 256
	// writeShare is the share of quick requests that are not idempotent.
	writeShare      = 0.3
	watchIntervalMS = 200
)

// New returns a generator that starts with Run.
func New(o Options) *Generator {
	return &Generator{
		Options: o, stats: map[model.Class]*classStats{},
		client: netio.Client(o.Network, idleConnections),
		rng:    rand.New(rand.NewPCG(o.Seed, 1)),
	}
}

// Close closes the callers' idle connections.
func (g *Generator) Close() { g.client.CloseIdleConnections() }

// Run generates load until ctx ends, then waits for the requests in flight.
func (g *Generator) Run(ctx context.Context) {
	var wg sync.WaitGroup
	spawn := func(f func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx)
		}()
	}
	spawn(func(ctx context.Context) { g.stream(ctx, &wg, g.QuickRate, model.Quick) })
	spawn(func(ctx context.Context) { g.stream(ctx, &wg, g.HeavyRate, model.Heavy) })
	for range g.Watches {
		spawn(g.holdWatch)
	}
	spawn(g.sendOversize)
	spawn(g.submitJobs)
	spawn(g.patchConfig)
	wg.Wait()
}

// stream sends requests at a fixed rate without waiting for the answers.
func (g *Generator) stream(ctx context.Context, wg *sync.WaitGroup, rate float64, class model.Class) {
	if rate <= 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.Send(context.WithoutCancel(ctx), class)
		}()
	}
}

// Burst sends n concurrent requests of a class and waits for their answers.
func (g *Generator) Burst(ctx context.Context, class model.Class, n int) {
	var wg sync.WaitGroup
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.Send(ctx, class)
		}()
	}
	wg.Wait()
}

// nextRequestID returns a new request ID and a random number in [0, 1).
func (g *Generator) nextRequestID() (id string, random float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	return fmt.Sprintf("r%d-%x", g.next, g.Seed), g.rng.Float64()
}

// Send sends one request and records the answer.
func (g *Generator) Send(ctx context.Context, class model.Class) {
	node, ok := g.Balancer.Pick()
	if !ok {
		return
	}
	id, p := g.nextRequestID()
	work := quickWorkMS
	if class == model.Heavy {
		work = heavyWorkMS
	}
	idempotent := class == model.Quick && p > writeShare
	method, body := http.MethodGet, io.Reader(nil)
	if !idempotent {
		method, body = http.MethodPost, strings.NewReader(`{"course":"recurrent","member":"`+id+`"}`)
	}
	g.send(ctx, request{node: node, id: id, class: class, work: work, method: method, body: body, idempotent: idempotent})
}

// request is a request to send.
type request struct {
	node       NodeAddress
	id         string
	class      model.Class
	work       int
	method     string
	body       io.Reader
	idempotent bool
}

// sendOversize sends bodies without a declared length that exceed the service's
// limit.
func (g *Generator) sendOversize(ctx context.Context) {
	if g.OversizeEvery <= 0 {
		return
	}
	ticker := time.NewTicker(g.OversizeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		node, ok := g.Balancer.Pick()
		if !ok {
			continue
		}
		id, _ := g.nextRequestID()
		body := io.MultiReader(strings.NewReader(strings.Repeat("x", 2*deployment.MaxBodyBytes)))
		g.send(context.WithoutCancel(ctx), request{node: node, id: id, class: model.Quick, method: http.MethodPost, body: body})
	}
}

// send sends a request and records it and its answer.
func (g *Generator) send(ctx context.Context, r request) {
	url := fmt.Sprintf("http://%s/svc/%s/work?ms=%d&size=%d", r.node.Callers, g.Service, r.work, answerBytes)
	req, err := http.NewRequestWithContext(ctx, r.method, url, r.body)
	if err != nil {
		return
	}
	req.GetBody = nil
	g.setHeaders(req, r.id, r.class)
	g.Recorder.Add(record.Event{Kind: record.CallerSent, Node: r.node.Name, ID: r.id, Class: r.class, Idempotent: r.idempotent})
	started := time.Now()
	e := g.exchange(req, r.id)
	e.Kind, e.Node, e.ID, e.Class, e.Latency = record.CallerAnswer, r.node.Name, r.id, r.class, time.Since(started)
	g.Recorder.Add(e)
	g.count(r.class, e)
}

func (g *Generator) setHeaders(req *http.Request, id string, class model.Class) {
	req.Header.Set("Authorization", "Bearer "+g.Token)
	req.Header.Set(route.HeaderRequestID, id)
	req.Header.Set(route.HeaderClass, string(class))
}

// exchange sends a request and returns the outcome as the caller can determine it.
func (g *Generator) exchange(req *http.Request, id string) record.Event {
	resp, err := g.client.Do(req)
	if err != nil {
		return record.Event{Outcome: string(errkind.Unknown), Reason: failureReason(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	e := record.Event{Outcome: resp.Header.Get(route.HeaderOutcome), Reason: resp.Header.Get(route.HeaderError)}
	if e.Outcome != string(errkind.Ran) {
		return e
	}
	if err != nil {
		// The truncation is visible to the caller.
		e.Outcome, e.Reason = string(errkind.Unknown), checker.ReasonCut
		return e
	}
	e.Whole = bytes.Equal(got, worker.AnswerBody(id, answerBytes))
	e.Mixed = !e.Whole
	return e
}

// failureReason distinguishes a connection that failed to open from one that broke.
func failureReason(err error) string {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return "refused"
	}
	return checker.ReasonCut
}

func (g *Generator) count(class model.Class, e record.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats[class]
	if s == nil {
		s = &classStats{latency: hdrhistogram.New(1, maxLatencyUS, 3)}
		g.stats[class] = s
	}
	switch e.Outcome {
	case string(errkind.Ran):
		s.ran++
		_ = s.latency.RecordValue(e.Latency.Microseconds())
	case string(errkind.NotRun):
		s.notRun++
	default:
		s.unknown++
	}
}

// holdWatch keeps one standing watch open and resumes it where it ended.
func (g *Generator) holdWatch(ctx context.Context) {
	seen := int64(0)
	for ctx.Err() == nil {
		if seen > 0 {
			g.mu.Lock()
			g.watch.Resumed++
			g.mu.Unlock()
		}
		g.watchOnce(ctx, &seen)
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (g *Generator) watchOnce(ctx context.Context, seen *int64) {
	node, ok := g.Balancer.Pick()
	if !ok {
		return
	}
	id, _ := g.nextRequestID()
	url := fmt.Sprintf("http://%s/svc/%s/watch?interval_ms=%d", node.Callers, g.Service, watchIntervalMS)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	g.setHeaders(req, id, model.Standing)
	if *seen > 0 {
		req.Header.Set(route.HeaderResume, strconv.FormatInt(*seen, 10))
	}
	g.Recorder.Add(record.Event{Kind: record.CallerSent, Node: node.Name, ID: id, Class: model.Standing, Idempotent: true})
	e := record.Event{Kind: record.CallerAnswer, Node: node.Name, ID: id, Class: model.Standing}
	e.Outcome, e.Reason = g.readEvents(req, seen)
	if ctx.Err() != nil {
		// The caller itself ended the watch.
		e.Reason = ""
	}
	g.Recorder.Add(e)
}

// readEvents reads a watch to its end and returns the outcome and the reason.
func (g *Generator) readEvents(req *http.Request, seen *int64) (outcome, reason string) {
	resp, err := g.client.Do(req)
	if err != nil {
		return string(errkind.Unknown), failureReason(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(route.HeaderOutcome) != string(errkind.Ran) {
		return resp.Header.Get(route.HeaderOutcome), resp.Header.Get(route.HeaderError)
	}
	lines := newLineReader(resp.Body)
	for {
		line, err := lines.next()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return string(errkind.Unknown), checker.ReasonCut
			}
			return string(errkind.Ran), resp.Trailer.Get(route.HeaderEnd)
		}
		g.countEvent(line, seen)
	}
}

func (g *Generator) countEvent(line string, seen *int64) {
	n, _ := strconv.ParseInt(strings.TrimPrefix(line, "event "), 10, 64)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watch.Events++
	if n != *seen+1 {
		g.watch.Gaps++
	}
	*seen = n
}
