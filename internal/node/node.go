// Package node assembles the process of an entry VM under one supervisor tree, serves
// its listeners and stops it in order.
package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/rattanwall/rattanwall/internal/cluster"
	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/hosting/httphosting"
	"github.com/rattanwall/rattanwall/internal/jobs"
	"github.com/rattanwall/rattanwall/internal/membership"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/ownership"
	"github.com/rattanwall/rattanwall/internal/route"
	"github.com/rattanwall/rattanwall/internal/settings"
	"github.com/rattanwall/rattanwall/internal/target"
	"github.com/rattanwall/rattanwall/internal/target/httptarget"
	"github.com/rattanwall/rattanwall/internal/vms"
	"github.com/rattanwall/rattanwall/internal/worker"
	"github.com/rattanwall/rattanwall/internal/worker/httpworker"
)

const (
	// vmListInterval is the interval between reads of the platform's list of VMs. A VM
	// marked as leaving must get no new work within 3 s of the change of the list.
	vmListInterval = time.Second
	// leaveTimeout limits the last calls of a planned stop.
	leaveTimeout = 2 * time.Second
	// drainPollInterval is the interval at which a planned stop checks for requests in
	// flight.
	drainPollInterval = 20 * time.Millisecond
)

// Node is the process of one entry VM.
type Node struct {
	settings settings.Node
	network  netio.Network
	log      *logrus.Entry
	registry *prometheus.Registry

	store     *httphosting.Client
	keeper    *config.Keeper
	members   *membership.Membership
	cluster   *cluster.Cluster
	vms       *vms.Manager
	jobs      *jobs.Service
	router    *route.Router
	servers   []*server
	draining  atomic.Bool
	aborted   chan struct{}
	hasVMList atomic.Bool
}

// New opens the listeners of the settings and assembles the node; Run starts it.
func New(s settings.Node, network netio.Network, log *logrus.Logger) (*Node, error) {
	n := &Node{settings: s, network: network, log: log.WithField("node", s.Name), registry: prometheus.NewRegistry(), aborted: make(chan struct{})}
	n.store = httphosting.New(network, s.Platform.Address)
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.build()
	return n, nil
}

// build creates the parts of the node and connects them.
func (n *Node) build() {
	s := n.settings
	n.keeper = config.NewKeeper(n.store, s.BootstrapOperatorSHA256, n.log.WithField("part", "config"))
	n.cluster = cluster.New(s.Name, n.network, n.keeper, n.log.WithField("part", "cluster"))
	self := ownership.Node{
		ID: s.Name, Zone: s.Zone, PeerAddress: n.Address(Peers),
		CallerAddress: n.Address(Callers), AdminAddress: n.Address(Admin),
	}
	n.members = membership.New(self, ownershipTiming(s.Leases), n.store, n.cluster, n.log.WithField("part", "membership"))
	n.vms = vms.New(vms.Options{
		Ownership: n.members, Reporter: n.cluster, Config: n.keeper.Current,
		NewAgent: func(address string) worker.Agent { return httpworker.New(n.network, address) },
		NewTarget: func(address string, maxConnections int) target.Target {
			return httptarget.New(n.network, address, maxConnections)
		},
		Timing: taskTiming(s.Leases), Log: n.log.WithField("part", "vms"),
	})
	n.jobs = jobs.NewService(s.Name, n.store, n.members, n.cluster, n.keeper.Current, n.log.WithField("part", "jobs"))
	n.cluster.Attach(n.members, n.vms, n.jobs)
	n.members.OnChange(func() { n.vms.Sync(); n.jobs.Sync() })
	n.router = route.New(route.Options{
		Node: s.Name, Config: n.keeper.Current, VMs: n.vms, Peers: n.cluster, Network: n.network,
		Metrics: route.NewMetrics(n.registry), Log: n.log.WithField("part", "route"),
	})
	n.registerMetrics()
	n.setHandlers()
}

// ownershipTiming scales the default timing to the session's length.
func ownershipTiming(l settings.Leases) ownership.Timing {
	t := ownership.DefaultTiming()
	ttl := time.Duration(l.SessionMS) * time.Millisecond
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * float64(ttl) / float64(t.TTL)) }
	return ownership.Timing{
		TTL: ttl, RenewInterval: scale(t.RenewInterval), FenceMargin: scale(t.FenceMargin),
		PromiseDuration: scale(t.PromiseDuration), QuietPeriod: scale(t.QuietPeriod), HandOverInterval: t.HandOverInterval,
	}
}

func taskTiming(l settings.Leases) vms.Timing {
	t := vms.DefaultTiming()
	lease := time.Duration(l.TaskMS) * time.Millisecond
	return vms.Timing{Lease: lease, RenewInterval: lease / 3, CheckpointInterval: t.CheckpointInterval, UnreachableGrace: t.UnreachableGrace}
}

// Run serves until ctx is done, then performs a planned stop; see drain.
func (n *Node) Run(ctx context.Context) error {
	spec := suture.Spec{
		EventHook:                func(e suture.Event) { n.log.WithField("part", "supervisor").Warn(e.String()) },
		DontPropagateTermination: true,
	}
	root := suture.New("node", spec)
	root.Add(n.members)
	root.Add(n.keeper)
	root.Add(n.cluster)
	root.Add(n.vms)
	root.Add(n.jobs)
	root.Add(serviceFunc(n.pollVMList))
	servers := suture.New("servers", spec)
	for _, s := range n.servers {
		servers.Add(s)
	}
	root.Add(servers)

	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := root.ServeBackground(runCtx)
	n.log.WithFields(logrus.Fields{
		"callers": n.Address(Callers), "admin": n.Address(Admin), "peers": n.Address(Peers), "operations": n.Address(Operations),
	}).Info("node serves")
	select {
	case err := <-ended:
		return errors.Wrap(err, "supervisor")
	case <-ctx.Done():
		n.drain()
	case <-n.aborted:
	}
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		n.log.WithError(err).Warn("supervisor ended")
	}
	n.store.Close()
	n.cluster.Close()
	n.router.Close()
	return nil
}

// Abort makes Run return immediately, as if the process had died. It is for tests and
// must be called at most once.
func (n *Node) Abort() { close(n.aborted) }

// serviceFunc is a function run under the supervisor.
type serviceFunc func(ctx context.Context) error

// Serve implements suture.Service.
func (s serviceFunc) Serve(ctx context.Context) error { return s(ctx) }

// drain performs the planned stop. The order matters: the load balancer must see that
// the node is not ready, and stop sending, before the listeners close; requests that
// arrive meanwhile are served, not refused. Ownership is handed over at the same time,
// so that new requests find their slots at other nodes. Watches are ended cleanly
// after that, when callers that reconnect reach other nodes.
func (n *Node) drain() {
	n.log.Info("planned stop: not ready from now on")
	n.draining.Store(true)
	n.cluster.SetDraining()
	handOverCtx, cancel := context.WithTimeout(context.Background(), n.settings.Drain.Notice()+leaveTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.members.Drain(handOverCtx)
	}()
	time.Sleep(n.settings.Drain.Notice())
	n.router.EndWatches()
	deadline := time.Now().Add(n.settings.Drain.Limit())
	for n.router.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	<-done
	for _, s := range n.servers {
		if err := s.stop(deadline); err != nil {
			n.log.WithError(err).WithField("listener", s.purpose).Warn("planned stop: requests were cut off")
		}
	}
	ctx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	n.members.Leave(ctx)
	n.log.WithField("left_in_flight", n.router.InFlight()).Info("planned stop: done")
}

// pollVMList reads the platform's list of VMs periodically. While the platform is
// unreachable, the last list stays in use.
func (n *Node) pollVMList(ctx context.Context) error {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	knownVersion := ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, 2*vmListInterval)
		list, version, err := n.store.VMs(callCtx, knownVersion)
		cancel()
		if err == nil && version != knownVersion {
			knownVersion = version
			n.setVMList(list)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (n *Node) setVMList(list []model.VM) {
	n.vms.SetList(list)
	n.members.SetShards(append(n.vms.Shards(), jobs.Shards()...))
	n.hasVMList.Store(true)
}

// Ready reports whether the load balancer should send requests to this node.
func (n *Node) Ready() bool {
	return n.hasVMList.Load() && !n.keeper.ConfirmedAt().IsZero() && !n.draining.Load()
}

// Address returns the ip:port of the listener for a purpose.
func (n *Node) Address(p Purpose) string {
	for _, s := range n.servers {
		if s.purpose == p {
			return s.listener.Addr().String()
		}
	}
	return ""
}

func (n *Node) listen() error {
	l := n.settings.Listen
	for _, spec := range []struct {
		purpose Purpose
		address string
	}{{Callers, l.Callers}, {Admin, l.Admin}, {Peers, l.Peers}, {Operations, l.Operations}} {
		ln, err := n.network.Listen(spec.address)
		if err != nil {
			return errors.Wrapf(err, "listen.%s", spec.purpose)
		}
		n.servers = append(n.servers, newServer(spec.purpose, ln))
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, s := range n.servers {
		_ = s.listener.Close()
	}
}
