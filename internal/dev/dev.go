// Package dev runs a whole deployment in one process on loopback: stand-in
// platform and workers, the real nodes, and a sample load of all kinds of work,
// with a few things going wrong on the way. It ends with what callers saw and
// the checker's verdict on the stand-ins' record.
package dev

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"
	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/admin"
	"github.com/rattanwall/rattanwall/internal/checker"
	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/deployment"
	"github.com/rattanwall/rattanwall/internal/load"
	"github.com/rattanwall/rattanwall/internal/node"
	"github.com/rattanwall/rattanwall/internal/settings"
	"github.com/rattanwall/rattanwall/internal/standin/platform"
	"github.com/rattanwall/rattanwall/internal/standin/record"
	"github.com/rattanwall/rattanwall/internal/standin/worker"
)

const (
	loopback = "127.0.0.1"
	anyPort  = loopback + ":0"
	// startTimeout bounds the time until all VMs have an owner.
	startTimeout = 30 * time.Second
	settlePause  = 100 * time.Millisecond
	batchTeam    = "batch"
	// drainNotice of the demo's nodes is several probes of its balancer.
	drainNotice = time.Second
	drainLimit  = 20 * time.Second
)

// Deployment is a running deployment.
type Deployment struct {
	Shape    deployment.Shape
	Recorder *record.Recorder
	Platform *platform.Platform
	Balancer *load.Balancer
	// Operator, Team and Batch are the tokens of the demo's identities.
	Operator, Team, Batch string

	log       *logrus.Logger
	listeners map[string]*platform.Listener
	workers   map[string]*worker.Worker
	bootstrap string
	cancel    context.CancelFunc

	mu    sync.Mutex
	nodes map[string]*runningNode
}

type runningNode struct {
	node *node.Node
	zone string
	stop context.CancelFunc
	done chan struct{}
}

// Start starts the shape's stand-ins and nodes and returns once every VM has an
// owner that has read it.
func Start(ctx context.Context, shape deployment.Shape, log *logrus.Logger) (*Deployment, error) {
	recorder := &record.Recorder{}
	d := &Deployment{
		Shape: shape, Recorder: recorder, Platform: platform.New(recorder), Balancer: load.NewBalancer(),
		Operator: token(), Team: token(), Batch: token(), bootstrap: token(), log: log,
		listeners: map[string]*platform.Listener{}, workers: map[string]*worker.Worker{}, nodes: map[string]*runningNode{},
	}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// token returns a new random token.
func token() string {
	raw := make([]byte, 24)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func (d *Deployment) start(ctx context.Context) error {
	for _, zone := range d.Shape.ZoneNames() {
		l, err := d.Platform.Listen(anyPort)
		if err != nil {
			return errors.Wrap(err, "stand-in platform")
		}
		d.listeners[zone] = l
	}
	for _, vm := range d.Shape.VMs() {
		w, err := worker.Start(vm, loopback, d.Recorder)
		if err != nil {
			return errors.Wrap(err, "stand-in worker")
		}
		d.workers[vm.Name] = w
		d.Platform.SetVM(w.VM())
	}
	for _, n := range d.Shape.Nodes() {
		if err := d.StartNode(n.Name, n.Zone); err != nil {
			return err
		}
	}
	balancerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	go d.Balancer.Run(balancerCtx)
	return d.awaitStart(ctx)
}

// StartNode starts a node, empty, as when its VM is replaced.
func (d *Deployment) StartNode(name, zone string) error {
	s := settings.Node{
		Name: name, Zone: zone,
		Listen:                  settings.Listen{Callers: anyPort, Admin: anyPort, Peers: anyPort, Operations: anyPort},
		Platform:                settings.Platform{Address: d.listeners[zone].Address()},
		Drain:                   settings.Drain{NoticeMS: drainNotice.Milliseconds(), LimitMS: drainLimit.Milliseconds()},
		Leases:                  settings.Leases{SessionMS: 5_000, TaskMS: 12_000},
		BootstrapOperatorSHA256: config.HashToken(d.bootstrap),
	}
	n, err := node.New(s, d.log)
	if err != nil {
		return errors.Wrapf(err, "node %s", name)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningNode{node: n, zone: zone, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		if err := n.Run(ctx); err != nil {
			d.log.WithError(err).Error("node ended")
		}
	}()
	d.mu.Lock()
	d.nodes[name] = r
	d.mu.Unlock()
	d.Balancer.Set(load.NodeAddress{Name: name, Callers: n.Address(node.Callers), Admin: n.Address(node.Admin)})
	return nil
}

// StopNode stops a node as planned and returns when it has ended.
func (d *Deployment) StopNode(name string) {
	d.mu.Lock()
	r := d.nodes[name]
	delete(d.nodes, name)
	d.mu.Unlock()
	if r == nil {
		return
	}
	d.Recorder.Add(record.Event{Kind: record.NodeStopping, Node: name})
	r.stop()
	<-r.done
	d.Recorder.Add(record.Event{Kind: record.NodeStopped, Node: name})
}

// ReplaceNode stops a node as planned and starts an empty one in its place.
func (d *Deployment) ReplaceNode(name string) error {
	d.mu.Lock()
	zone := d.nodes[name].zone
	d.mu.Unlock()
	d.StopNode(name)
	return d.StartNode(name, zone)
}

// Worker returns a stand-in VM by name.
func (d *Deployment) Worker(name string) *worker.Worker { return d.workers[name] }

// Listener returns the platform's listener that a zone's nodes use.
func (d *Deployment) Listener(zone string) *platform.Listener { return d.listeners[zone] }

// Nodes returns the running nodes, sorted by name.
func (d *Deployment) Nodes() []*node.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.nodes {
		names = append(names, name)
	}
	sort.Strings(names)
	var nodes []*node.Node
	for _, name := range names {
		nodes = append(nodes, d.nodes[name].node)
	}
	return nodes
}

// awaitStart waits for readiness, seeds the configuration and waits until every
// VM is owned and read.
func (d *Deployment) awaitStart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := await(ctx, func() bool { return d.Balancer.Ready() == len(d.Shape.Nodes()) }); err != nil {
		return errors.Wrap(err, "nodes did not get ready")
	}
	if err := d.seed(ctx); err != nil {
		return err
	}
	err := await(ctx, func() bool {
		owned := int64(0)
		for _, n := range d.Nodes() {
			owned += n.Status().(node.Status).VMsOwned
		}
		return owned == int64(len(d.workers))
	})
	return errors.Wrap(err, "VMs were not taken up")
}

func await(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(settlePause):
		}
	}
	return nil
}

// seed makes the first configuration through the administration API.
func (d *Deployment) seed(ctx context.Context) error {
	n, _ := d.Balancer.Pick()
	doc := d.Shape.Document(d.Operator, d.Team, d.Batch)
	base := sling.New().Base("http://"+n.Admin).Set("Authorization", "Bearer "+d.bootstrap)
	req, err := base.New().Patch("/v1/config").Set("If-Match", `"0"`).BodyJSON(doc).Request()
	if err != nil {
		return errors.Wrap(err, "seed configuration")
	}
	var failed admin.ErrorBody
	resp, err := base.Do(req.WithContext(ctx), nil, &failed)
	if err != nil && resp == nil {
		return errors.Wrap(err, "seed configuration")
	}
	if resp.StatusCode != http.StatusOK {
		raw, _ := json.Marshal(failed)
		return errors.Newf("seed configuration: %d %s", resp.StatusCode, raw)
	}
	return nil
}

// Close stops the nodes as planned, then the stand-ins.
func (d *Deployment) Close() {
	var wg sync.WaitGroup
	d.mu.Lock()
	var names []string
	for name := range d.nodes {
		names = append(names, name)
	}
	d.mu.Unlock()
	for _, name := range names {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.StopNode(name)
		}()
	}
	wg.Wait()
	if d.cancel != nil {
		d.cancel()
	}
	for _, w := range d.workers {
		w.Close()
	}
	for _, l := range d.listeners {
		l.Close()
	}
}

// Report is the outcome of a run.
type Report struct {
	Deployment string           `json:"deployment"`
	Seconds    float64          `json:"seconds"`
	Load       load.Summary     `json:"load"`
	Calls      map[string]int64 `json:"store_calls"`
	Invariants []checker.Result `json:"invariants"`
	JobsLeft   int              `json:"jobs_left"`
}

// OK reports whether every invariant held, each on some events, and no job was
// left behind.
func (r Report) OK() bool {
	for _, i := range r.Invariants {
		if i.Broken > 0 || i.Checked == 0 {
			return false
		}
	}
	return r.JobsLeft == 0
}

// Options of a run.
type Options struct {
	Shape    deployment.Shape
	Duration time.Duration
	Log      *logrus.Logger
	// Tell is called with what happens, for people.
	Tell func(format string, args ...any)
	// Progress, if set, is called about once a second.
	Progress func(elapsed time.Duration, s load.Summary)
}

const (
	quickRate  = 300
	heavyRate  = 10
	watches    = 40
	jobEvery   = 700 * time.Millisecond
	jobTasks   = 12
	patchEvery = time.Second
	burstSize  = 3_000
	// awaitJobs bounds the wait for the last jobs after the load has ended.
	awaitJobs = 40 * time.Second
)

// Run runs the demo.
func Run(ctx context.Context, o Options) (Report, error) {
	d, err := Start(ctx, o.Shape, o.Log)
	if err != nil {
		return Report{}, err
	}
	d.tellAddresses(o.Tell)
	g := load.New(load.Options{
		Recorder: d.Recorder, Balancer: d.Balancer, Service: o.Shape.Service, Team: o.Shape.Team, Token: d.Team,
		BatchTeam: batchTeam, BatchToken: d.Batch, OperatorToken: d.Operator, QuickRate: quickRate, HeavyRate: heavyRate,
		Watches: watches, JobEvery: jobEvery, JobTasks: jobTasks, PatchEvery: patchEvery, Seed: uint64(time.Now().UnixNano()),
	})
	started := time.Now()
	loadCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		d.mishaps(loadCtx, o, g)
	}()
	if o.Progress != nil {
		go progress(loadCtx, o, g, started)
	}
	g.Run(loadCtx)
	wg.Wait()
	elapsed := time.Since(started)
	jobsCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), awaitJobs)
	defer stop()
	o.Tell("load ended; waiting for the last jobs")
	left := g.AwaitJobs(jobsCtx)
	d.Close()
	return Report{
		Deployment: o.Shape.Name, Seconds: elapsed.Seconds(), Load: g.Summary(elapsed), Calls: d.Platform.Calls(),
		Invariants: checker.Check(d.Recorder.Events()), JobsLeft: left,
	}, nil
}

func progress(ctx context.Context, o Options, g *load.Generator, started time.Time) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			elapsed := time.Since(started)
			o.Progress(elapsed, g.Summary(elapsed))
		}
	}
}

func (d *Deployment) tellAddresses(tell func(string, ...any)) {
	nodes := d.Balancer.All()
	tell("%d nodes, %d VMs of %s serve. To try, while it runs:", len(nodes), len(d.workers), d.Shape.Name)
	tell("  curl -H 'Authorization: Bearer %s' 'http://%s/svc/%s/work?ms=5&size=60'", d.Team, nodes[0].Callers, d.Shape.Service)
	tell("  export RATTANWALL_ADMIN=%s RATTANWALL_TOKEN=%s", nodes[0].Admin, d.Operator)
	tell("  rattanwall status; rattanwall config get; rattanwall job list --team %s", batchTeam)
}
