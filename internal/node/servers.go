package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/rattanwall/rattanwall/internal/admin"
	"github.com/rattanwall/rattanwall/internal/cluster"
	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/graceful"
	pb "github.com/rattanwall/rattanwall/internal/peer"
	"github.com/rattanwall/rattanwall/internal/vms"
)

// Purpose names the clients that a listener serves.
type Purpose string

// Purposes, named as in the settings.
const (
	Callers    Purpose = "callers"
	Admin      Purpose = "admin"
	Peers      Purpose = "peers"
	Operations Purpose = "operations"
)

const (
	// headerTimeout limits the time in which a client must send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a client's idle connection is kept open.
	idleTimeout = 2 * time.Minute
)

// server runs one listener under the supervisor.
type server struct {
	purpose  Purpose
	listener net.Listener
	http     *graceful.Server
}

func newServer(p Purpose, ln net.Listener) *server {
	return &server{purpose: p, listener: ln, http: graceful.New(&http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})}
}

// Serve implements suture.Service.
func (s *server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		// The server was closed intentionally: wait for the end, because the
		// supervisor would restart it.
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.Wrapf(err, "serve %s", s.purpose)
}

// stop closes the listener and waits for requests in flight.
func (s *server) stop(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return s.http.Stop(ctx)
}

func (n *Node) setHandlers() {
	peers := http.NewServeMux()
	peers.Handle(pb.PeerPathPrefix, pb.NewPeerServer(cluster.Server{Cluster: n.cluster}))
	peers.HandleFunc("/forward/", n.router.ServePeer)
	handlers := map[Purpose]http.Handler{
		Callers: n.callersHandler(), Admin: admin.New(n, n.log.WithField("part", "admin")),
		Peers: peers, Operations: n.operationsHandler(),
	}
	for _, s := range n.servers {
		s.http.SetHandler(handlers[s.purpose])
	}
}

// callersHandler serves requests, and readiness for a load balancer that probes the
// same port.
func (n *Node) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/svc/", n.router)
	mux.HandleFunc("GET /readyz", n.serveReady)
	return mux
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (n *Node) operationsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(n.Dump())
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func (n *Node) registerMetrics() {
	gauge := func(name, help string, f func() float64) {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
	}
	gauge("rattanwall_config_version", "Version of the configuration in force here.", func() float64 {
		return float64(n.keeper.Current().Head.Version)
	})
	gauge("rattanwall_requests_in_flight", "Requests under way, of callers and peers.", func() float64 { return float64(n.router.InFlight()) })
	gauge("rattanwall_queue_length", "Requests waiting for a slot.", func() float64 { return float64(n.vms.Waiting()) })
	gauge("rattanwall_vms_owned", "VMs that this node owns and has read.", func() float64 { return float64(n.vms.Summary().VMs) })
	gauge("rattanwall_job_shards_led", "Job shards that this node leads.", func() float64 { return float64(len(n.jobs.Led())) })
	gauge("rattanwall_store_reachable", "1 while the platform's store answers.", func() float64 {
		if n.members.StoreReachable() {
			return 1
		}
		return 0
	})
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}

var _ admin.Node = (*Node)(nil)

// Keeper implements admin.Node.
func (n *Node) Keeper() *config.Keeper { return n.keeper }

// Cluster implements admin.Node.
func (n *Node) Cluster() *cluster.Cluster { return n.cluster }

// ConfigVersions implements admin.Node.
func (n *Node) ConfigVersions() map[string]int64 {
	versions := map[string]int64{}
	for id := range n.members.Nodes() {
		versions[id] = 0
	}
	for _, p := range n.cluster.Dump() {
		if _, live := versions[p.Node]; live {
			versions[p.Node] = p.ConfigVersion
		}
	}
	versions[n.settings.Name] = n.keeper.Current().Head.Version
	return versions
}

// VMs implements admin.Node.
func (n *Node) VMs() []admin.VMInfo {
	drained := n.keeper.Current().Document.DrainedVMs
	infos := []admin.VMInfo{}
	for _, vm := range n.vms.List() {
		owner, _ := n.members.OwnerOf(vms.ShardOf(vm).Key)
		infos = append(infos, admin.VMInfo{VM: vm, Owner: owner.ID, Drained: drained[vm.Name]})
	}
	return infos
}

// Status summarizes a node's state.
type Status struct {
	Node           string             `json:"node"`
	Zone           string             `json:"zone"`
	Ready          bool               `json:"ready"`
	StoreReachable bool               `json:"store_reachable"`
	ConfigVersion  int64              `json:"config_version"`
	ConfirmedMSAgo int64              `json:"config_confirmed_ms_ago"`
	InFlight       int64              `json:"in_flight"`
	Waiting        int64              `json:"waiting"`
	VMsOwned       int64              `json:"vms_owned"`
	JobShards      []string           `json:"job_shards"`
	Peers          []cluster.PeerDump `json:"peers"`
}

// Status implements admin.Node.
func (n *Node) Status() any { return n.status() }

func (n *Node) status() Status {
	led := n.jobs.Led()
	sort.Strings(led)
	return Status{
		Node: n.settings.Name, Zone: n.settings.Zone, Ready: n.Ready(),
		StoreReachable: n.members.StoreReachable(), ConfigVersion: n.keeper.Current().Head.Version,
		ConfirmedMSAgo: time.Since(n.keeper.ConfirmedAt()).Milliseconds(), InFlight: n.router.InFlight(),
		Waiting: n.vms.Waiting(), VMsOwned: n.vms.Summary().VMs, JobShards: led, Peers: n.cluster.Dump(),
	}
}

// DumpState is the whole state of a node, for troubleshooting.
type DumpState struct {
	Status     Status       `json:"status"`
	Membership any          `json:"membership"`
	VMs        []vms.VMDump `json:"vms"`
}

// Dump implements admin.Node. The result contains no credentials.
func (n *Node) Dump() any {
	return DumpState{Status: n.status(), Membership: n.members.Dump(), VMs: n.vms.Dump()}
}

// VMDumps returns the state of the VMs that this node owns.
func (n *Node) VMDumps() []vms.VMDump { return n.vms.Dump() }
