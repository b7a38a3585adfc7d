// Package cluster implements a node's side of the protocol between nodes: it exchanges
// state with peers and sends calls to the owner of a shard, which may be this node
// itself.
package cluster

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/jobs"
	"github.com/rattanwall/rattanwall/internal/membership"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/ownership"
	pb "github.com/rattanwall/rattanwall/internal/peer"
	"github.com/rattanwall/rattanwall/internal/route"
	"github.com/rattanwall/rattanwall/internal/vms"
)

const (
	// totalExchangeRate is the number of exchanges a second that all nodes start
	// together, each of about 1,100 bytes. A node's rate falls as nodes are added,
	// within the bounds below.
	totalExchangeRate   = 36.0
	minNodeExchangeRate = 0.5
	maxNodeExchangeRate = 4.0
	// farExchangePeriod: one in this many exchanges goes to another availability zone,
	// the others to the node's own, where most requests that need another node find
	// one.
	farExchangePeriod = 4
	// exchangeTimeout limits one exchange.
	exchangeTimeout = time.Second
	// idleConnections is the number of idle connections kept to each peer.
	idleConnections = 4
	// peerStateTTL is how long the capacity that a peer reported stays in use. At the
	// target size, peers in different zones exchange state only once in one or two
	// minutes, and the state only decides which peer is tried first.
	peerStateTTL = 3 * time.Minute
)

// Cluster connects a node with its peers. Serve runs the periodic exchange of state.
type Cluster struct {
	node    string
	config  *config.Keeper
	log     *logrus.Entry
	client  *http.Client
	members *membership.Membership
	vms     *vms.Manager
	jobs    *jobs.Service

	mu       sync.Mutex
	draining bool
	peers    map[string]*peerState
	// exchangeCount is the number of exchanges started.
	exchangeCount int
}

// peerState is the last state received from a peer.
type peerState struct {
	state      *pb.NodeState
	receivedAt time.Time
}

// New returns the cluster of a node. Attach must be called before Serve.
func New(node string, network netio.Network, keeper *config.Keeper, log *logrus.Entry) *Cluster {
	return &Cluster{
		node: node, config: keeper, log: log, peers: map[string]*peerState{},
		client: netio.Client(network, idleConnections),
	}
}

// Attach sets the local parts that calls to this node are served by.
func (c *Cluster) Attach(members *membership.Membership, manager *vms.Manager, service *jobs.Service) {
	c.members, c.vms, c.jobs = members, manager, service
}

// SetDraining reports the node as draining, so that peers stop sending requests to it.
func (c *Cluster) SetDraining() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// Close closes the idle connections to peers.
func (c *Cluster) Close() { c.client.CloseIdleConnections() }

// Serve implements suture.Service.
func (c *Cluster) Serve(ctx context.Context) error {
	for {
		nodes := c.otherNodes()
		if n, ok := c.nextPeer(nodes); ok {
			go c.exchange(ctx, n)
		}
		timer := time.NewTimer(time.Duration(float64(time.Second) / ExchangesPerSecond(len(nodes)+1)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// ExchangesPerSecond returns how many exchanges a second each node starts in a
// deployment of the given number of nodes.
func ExchangesPerSecond(nodes int) float64 {
	return min(max(totalExchangeRate/float64(nodes), minNodeExchangeRate), maxNodeExchangeRate)
}

// nextPeer returns the peer to exchange state with next: it cycles through the node's
// own availability zone and, every farExchangePeriod, through the others.
func (c *Cluster) nextPeer(nodes []ownership.Node) (ownership.Node, bool) {
	zone := c.members.Self().Zone
	var sameZone, otherZones []ownership.Node
	for _, n := range nodes {
		if n.Zone == zone {
			sameZone = append(sameZone, n)
		} else {
			otherZones = append(otherZones, n)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchangeCount++
	peers := sameZone
	if len(sameZone) == 0 || len(otherZones) > 0 && c.exchangeCount%farExchangePeriod == 0 {
		peers = otherZones
	}
	if len(peers) == 0 {
		return ownership.Node{}, false
	}
	i := c.exchangeCount % len(peers)
	if len(sameZone) > 0 && len(otherZones) > 0 && c.exchangeCount%farExchangePeriod == 0 {
		i = c.exchangeCount / farExchangePeriod % len(otherZones)
	}
	return peers[i], true
}

// otherNodes returns the other live nodes, sorted by ID.
func (c *Cluster) otherNodes() []ownership.Node {
	var nodes []ownership.Node
	for id, n := range c.members.Nodes() {
		if id != c.node {
			nodes = append(nodes, n)
		}
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].ID < nodes[j].ID })
	return nodes
}

func (c *Cluster) exchange(ctx context.Context, n ownership.Node) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	state, err := c.peerClient(n).Exchange(ctx, c.localState())
	if err != nil {
		return
	}
	c.recordPeerState(state)
	if state.ConfigVersion > c.config.Current().Head.Version {
		c.fetchConfig(ctx, n)
	}
}

// RefreshVersions exchanges state, in parallel, with every peer not yet known to use a
// configuration version, so that a caller that waits for the version does not wait for
// the next periodic exchange.
func (c *Cluster) RefreshVersions(ctx context.Context, version int64) {
	known := map[string]int64{}
	for _, p := range c.Dump() {
		known[p.Node] = p.ConfigVersion
	}
	var wg sync.WaitGroup
	for _, n := range c.otherNodes() {
		if known[n.ID] >= version {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.exchange(ctx, n)
		}()
	}
	wg.Wait()
}

// fetchConfig installs a newer configuration from a peer. The store's watch is usually
// faster; this serves nodes that cannot reach the store.
func (c *Cluster) fetchConfig(ctx context.Context, n ownership.Node) {
	resp, err := c.peerClient(n).Config(ctx, &pb.ConfigRequest{})
	if err != nil {
		return
	}
	if err := c.config.InstallFromPeer(resp.Head, resp.Revision); err != nil {
		c.log.WithError(err).WithField("peer", n.ID).Warn("configuration of a peer rejected")
	}
}

// localState returns the state that this node reports to peers.
func (c *Cluster) localState() *pb.NodeState {
	self := c.members.Self()
	summary := c.vms.Summary()
	s := &pb.NodeState{
		Node: self.ID, Zone: self.Zone, Incarnation: self.Session,
		ConfigVersion: c.config.Current().Head.Version, StoreReachable: c.members.StoreReachable(),
		Free: toAmount(summary.Free), Vms: summary.VMs,
	}
	c.mu.Lock()
	s.Draining = c.draining
	c.mu.Unlock()
	for name, free := range summary.Services {
		s.Services = append(s.Services, &pb.ServiceState{
			Name: name, FreeQuick: free.Quick, FreeHeavy: free.Heavy, FreeStanding: free.Standing, Waiting: free.Waiting,
		})
	}
	return s
}

func (c *Cluster) recordPeerState(s *pb.NodeState) {
	if s.GetNode() == "" || s.GetNode() == c.node {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[s.Node] = &peerState{state: s, receivedAt: time.Now()}
}

func (c *Cluster) peerClient(n ownership.Node) pb.Peer {
	return pb.NewPeerProtobufClient("http://"+n.PeerAddress, c.client)
}

func toAmount(r model.Resources) *pb.Amount {
	return &pb.Amount{MilliCpu: r.MilliCPU, MemoryMb: r.MemoryMB, Accelerators: r.Accelerators}
}

func fromAmount(a *pb.Amount) model.Resources {
	return model.Resources{MilliCPU: a.GetMilliCpu(), MemoryMB: a.GetMemoryMb(), Accelerators: a.GetAccelerators()}
}

// forEachFreshPeer calls f with the last state of each live peer that is not draining
// and whose state is younger than peerStateTTL.
func (c *Cluster) forEachFreshPeer(f func(n ownership.Node, s *pb.NodeState)) {
	nodes := c.otherNodes()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range nodes {
		if p := c.peers[n.ID]; p != nil && now.Sub(p.receivedAt) < peerStateTTL && !p.state.Draining {
			f(n, p.state)
		}
	}
}

// For implements route.Peers. It returns peers of the same availability zone first,
// then those with more free capacity.
func (c *Cluster) For(service string, class model.Class) []route.Peer {
	zone := c.members.Self().Zone
	var found []route.Peer
	c.forEachFreshPeer(func(n ownership.Node, s *pb.NodeState) {
		for _, svc := range s.Services {
			if svc.Name != service {
				continue
			}
			found = append(found, route.Peer{
				Node: n.ID, Address: n.PeerAddress, Free: freeSlots(svc, class), SameZone: n.Zone == zone, Waiting: svc.Waiting,
			})
		}
	})
	sort.Slice(found, func(i, j int) bool {
		if found[i].SameZone != found[j].SameZone {
			return found[i].SameZone
		}
		return found[i].Free > found[j].Free
	})
	return found
}

func freeSlots(s *pb.ServiceState, class model.Class) int64 {
	switch class {
	case model.Heavy:
		return s.FreeHeavy
	case model.Standing:
		return s.FreeStanding
	}
	return s.FreeQuick
}

// SetFree implements route.Peers.
func (c *Cluster) SetFree(node, service string, class model.Class, free int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[node]
	if p == nil {
		return
	}
	for _, svc := range p.state.Services {
		if svc.Name != service {
			continue
		}
		switch class {
		case model.Heavy:
			svc.FreeHeavy = free
		case model.Standing:
			svc.FreeStanding = free
		default:
			svc.FreeQuick = free
		}
	}
}

// AskPromise implements membership.PeerClient.
func (c *Cluster) AskPromise(ctx context.Context, peer, self ownership.Node, d time.Duration) ownership.PromiseState {
	resp, err := c.peerClient(peer).Promise(ctx, &pb.PromiseRequest{
		Node: self.ID, Incarnation: self.Session, DurationMs: d.Milliseconds(),
	})
	switch {
	case isConnectionRefused(err):
		return ownership.PromiseNotListening
	case err != nil:
		return ownership.PromiseNoResponse
	case resp.Granted:
		return ownership.PromiseGiven
	}
	return ownership.PromiseRefused
}

// isConnectionRefused reports whether the host refused the connection because no
// process listens on the port: the process that did has ended.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// AskOwner implements membership.PeerClient.
func (c *Cluster) AskOwner(ctx context.Context, owner ownership.Node, shards []string) (acting []string, state ownership.OwnerState) {
	resp, err := c.peerClient(owner).Acting(ctx, &pb.ActingRequest{Shards: shards})
	switch {
	case err == nil:
		return resp.Shards, ownership.OwnerStopped
	case isConnectionRefused(err):
		return nil, ownership.OwnerStopped
	}
	return nil, ownership.OwnerNoResponse
}

// callError converts an error of a call to a peer to an errkind error.
func callError(err error) error {
	var twirpErr twirp.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &twirpErr) && twirpErr.Code() == twirp.FailedPrecondition:
		return errkind.New(errkind.NotOwner, "", err)
	}
	return errkind.New(errkind.NoOwner, "the shard's owner was not reached", err)
}

// PeerDump describes a peer in the state dump.
type PeerDump struct {
	Node           string `json:"node"`
	Zone           string `json:"zone"`
	ReportAgeMS    int64  `json:"heard_ms_ago"`
	ConfigVersion  int64  `json:"config_version"`
	VMs            int64  `json:"vms"`
	Draining       bool   `json:"draining"`
	StoreReachable bool   `json:"store_reachable"`
}

// Dump returns the peers, sorted by node.
func (c *Cluster) Dump() []PeerDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	var dump []PeerDump
	for _, p := range c.peers {
		dump = append(dump, PeerDump{
			Node: p.state.Node, Zone: p.state.Zone, ReportAgeMS: time.Since(p.receivedAt).Milliseconds(),
			ConfigVersion: p.state.ConfigVersion, VMs: p.state.Vms, Draining: p.state.Draining,
			StoreReachable: p.state.StoreReachable,
		})
	}
	sort.Slice(dump, func(i, j int) bool { return dump[i].Node < dump[j].Node })
	return dump
}
