// Package harness runs a whole deployment in one process: real nodes with
// stand-ins for the platform and the workers, on loopback or on a fake network.
// The demo, the tests and the measurements use it.
package harness

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"
	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/admin"
	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/deployment"
	"github.com/rattanwall/rattanwall/internal/load"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/node"
	"github.com/rattanwall/rattanwall/internal/settings"
	"github.com/rattanwall/rattanwall/internal/standin/hosting"
	"github.com/rattanwall/rattanwall/internal/standin/record"
	"github.com/rattanwall/rattanwall/internal/standin/worker"
)

const (
	// startTimeout limits the time until all VMs have an owner.
	startTimeout = 30 * time.Second
	pollInterval = 100 * time.Millisecond
	// drainNotice of the nodes spans several probes of the balancer.
	drainNotice = time.Second
	drainLimit  = 20 * time.Second
)

// Hosts assigns the parts of a deployment to hosts on a network.
type Hosts interface {
	// Host returns the network as the named host sees it, and its IP address.
	Host(name string) (network netio.Network, ip string)
}

// Loopback runs all parts on 127.0.0.1.
type Loopback struct{}

// Host implements Hosts.
func (Loopback) Host(string) (network netio.Network, ip string) { return netio.TCP{}, "127.0.0.1" }

// Names of the hosts that are neither nodes nor VMs. Nodes and VMs use their own
// names.
const (
	// CallerHost is the host of the callers and the balancer.
	CallerHost = "callers"
	// platformHost is a prefix, followed by the availability zone.
	platformHost = "platform-"
)

// PlatformHost returns the name of the host at which a zone's nodes reach the
// platform.
func PlatformHost(zone string) string { return platformHost + zone }

// Options configures a Deployment. All fields are required.
type Options struct {
	Shape deployment.Shape
	Hosts Hosts
	Log   *logrus.Logger
}

// Deployment is a running set of nodes with their stand-in platform and workers.
type Deployment struct {
	Options
	Recorder *record.Recorder
	Platform *hosting.Platform
	Balancer *load.Balancer
	// Operator, Team and Batch are the access tokens of the demo's identities.
	Operator, Team, Batch string

	listeners map[string]*hosting.Listener
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

// Start starts the shape's stand-ins and nodes. It returns once every VM has an
// owner that has read its state.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	recorder := &record.Recorder{}
	callers, _ := o.Hosts.Host(CallerHost)
	d := &Deployment{
		Options: o, Recorder: recorder, Platform: hosting.New(recorder), Balancer: load.NewBalancer(callers),
		Operator: token(), Team: token(), Batch: token(), bootstrap: token(),
		listeners: map[string]*hosting.Listener{}, workers: map[string]*worker.Worker{}, nodes: map[string]*runningNode{},
	}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// token returns 24 random bytes in hexadecimal.
func token() string {
	raw := make([]byte, 24)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func (d *Deployment) start(ctx context.Context) error {
	for _, zone := range d.Shape.ZoneNames() {
		network, ip := d.Hosts.Host(PlatformHost(zone))
		l, err := d.Platform.Listen(network, anyPort(ip))
		if err != nil {
			return errors.Wrap(err, "stand-in platform")
		}
		d.listeners[zone] = l
	}
	for _, vm := range d.Shape.VMs() {
		network, ip := d.Hosts.Host(vm.Name)
		w, err := worker.Start(vm, network, ip, d.Recorder)
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

// StartNode starts a node without state, as when its VM is replaced.
func (d *Deployment) StartNode(name, zone string) error {
	network, ip := d.Hosts.Host(name)
	address := anyPort(ip)
	s := settings.Node{
		Name: name, Zone: zone,
		Listen:                  settings.Listen{Callers: address, Admin: address, Peers: address, Operations: address},
		Platform:                settings.Platform{Address: d.listeners[zone].Address()},
		Drain:                   settings.Drain{NoticeMS: drainNotice.Milliseconds(), LimitMS: drainLimit.Milliseconds()},
		Leases:                  settings.Leases{SessionMS: settings.DefaultSessionMS, TaskMS: settings.DefaultTaskMS},
		BootstrapOperatorSHA256: config.HashToken(d.bootstrap),
	}
	n, err := node.New(s, network, d.Log)
	if err != nil {
		return errors.Wrapf(err, "node %s", name)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningNode{node: n, zone: zone, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		if err := n.Run(ctx); err != nil {
			d.Log.WithError(err).Error("node ended")
		}
	}()
	d.mu.Lock()
	d.nodes[name] = r
	d.mu.Unlock()
	d.Balancer.Set(load.NodeAddress{Name: name, Callers: n.Address(node.Callers), Admin: n.Address(node.Admin)})
	return nil
}

func anyPort(ip string) string { return net.JoinHostPort(ip, "0") }

// removeNode removes a running node from the deployment and returns it, or nil if
// there is none.
func (d *Deployment) removeNode(name string) *runningNode {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.nodes[name]
	delete(d.nodes, name)
	return r
}

// KillNode ends a node as a crash does, without a handover or a notice.
func (d *Deployment) KillNode(name string) {
	r := d.removeNode(name)
	if r == nil {
		return
	}
	r.node.Abort()
	<-r.done
	d.Recorder.Add(record.Event{Kind: record.NodeStopped, Node: name})
}

// StopNode stops a node as planned and returns when it has ended.
func (d *Deployment) StopNode(name string) {
	r := d.removeNode(name)
	if r == nil {
		return
	}
	d.Recorder.Add(record.Event{Kind: record.NodeStopping, Node: name})
	r.stop()
	<-r.done
	d.Recorder.Add(record.Event{Kind: record.NodeStopped, Node: name})
}

// ReplaceNode stops a node as planned and starts one without state in its place.
func (d *Deployment) ReplaceNode(name string) error {
	d.mu.Lock()
	zone := d.nodes[name].zone
	d.mu.Unlock()
	d.StopNode(name)
	return d.StartNode(name, zone)
}

// Worker returns a stand-in VM by name.
func (d *Deployment) Worker(name string) *worker.Worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.workers[name]
}

// RestartWorker starts an empty stand-in VM in the place of a closed one, on
// newly chosen ports.
func (d *Deployment) RestartWorker(name string) error {
	for _, vm := range d.Shape.VMs() {
		if vm.Name != name {
			continue
		}
		network, ip := d.Hosts.Host(name)
		w, err := worker.Start(vm, network, ip, d.Recorder)
		if err != nil {
			return errors.Wrap(err, "stand-in worker")
		}
		d.mu.Lock()
		d.workers[name] = w
		d.mu.Unlock()
		d.Platform.SetVM(w.VM())
	}
	return nil
}

// Listener returns the platform's listener that a zone's nodes use.
func (d *Deployment) Listener(zone string) *hosting.Listener { return d.listeners[zone] }

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

// awaitStart waits until all nodes are ready, seeds the configuration and waits
// until every VM has an owner that has read its state.
func (d *Deployment) awaitStart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := await(ctx, func() bool { return d.Balancer.Ready() == len(d.Shape.Nodes()) }); err != nil {
		return errors.Wrap(err, "nodes did not become ready")
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
	return errors.Wrap(err, "not every VM has an owner")
}

func await(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// seed creates the first configuration through the administration API.
func (d *Deployment) seed(ctx context.Context) error {
	n, _ := d.Balancer.Pick()
	doc := d.Shape.Document(d.Operator, d.Team, d.Batch)
	network, _ := d.Hosts.Host(CallerHost)
	client := netio.Client(network, 1)
	defer client.CloseIdleConnections()
	base := sling.New().Client(client).Base("http://"+n.Admin).Set("Authorization", "Bearer "+d.bootstrap)
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
