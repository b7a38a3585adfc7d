// Package edge assembles the entry VM process, which serves callers and schedules steps: it
// runs its parts under one supervisor tree and shuts them down in order.
package edge

import (
	"context"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/entry"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/follow"
	"github.com/rattanwall/rattanwall/internal/graceful"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/relay"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/scheduling"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// Settings configures the process: listen addresses, the VM's resources and the scheduler's
// bounds.
type Settings struct {
	// Node is the process's name in logs and in its leader record.
	Node string
	Zone string
	// Zones are the deployment's availability zones.
	Zones []string
	// Callers, Readiness, Peers and Operations are the ip:port addresses to listen on.
	Callers    string
	Readiness  string
	Peers      string
	Operations string
	// Metrics is an additional ip:port that serves only the metrics, "" for none. Its port is
	// fixed, so that scrapers can be configured in advance; the other ports change. If it can't
	// be bound, the process runs without it.
	Metrics string
	// Processor is the VM's share of a processor core.
	Processor float64
	// DirectVMs is the maximum number of VMs that this process serves directly while it leads;
	// with more VMs, orders go through relays.
	DirectVMs int
	// LinkMbps is the bandwidth of the VM's network link, 0 if unknown.
	LinkMbps float64
	// MemoryMB is the memory limit of the process.
	MemoryMB float64
	// Grace is the time between the stop signal and the kill of the process.
	Grace  time.Duration
	Bounds scheduler.Settings
}

// Platform holds the external dependencies of the process.
type Platform struct {
	Store     durable.Store
	Agents    leader.Agents
	Adviser   leader.Adviser
	Machines  leader.Machines
	Instances leader.Instances
	// OperatorPrefix is the store prefix that the operator writes to, ConfigKey the key of the
	// configuration below it. DecodeConfig and DecodeWave decode the values.
	OperatorPrefix string
	ConfigKey      string
	DecodeConfig   func([]byte) (*batch.Config, error)
	DecodeWave     func(durable.Item) (batch.Wave, bool, error)
	ReportWave     leader.WaveReport
	// EvacuationsPrefix is the part of OperatorPrefix with the requests to evacuate zones.
	EvacuationsPrefix string
	DecodeEvacuation  DecodeEvacuation
	// CallerHandlers returns the handlers for callers' requests and for the balancer's
	// readiness probe.
	CallerHandlers func(*entry.Entry) (callers, ready http.Handler)
	// PeerClient is the HTTP client for calls to the other processes.
	PeerClient *http.Client
}

const (
	// configWatchTimeout bounds one watch of the configuration. Changes that a watch misses,
	// because its connection is dead or the store's watches deliver nothing, are found by
	// reading.
	configWatchTimeout = 5 * time.Second
	// configReadInterval is how often the configuration is read in addition to the watch. With
	// two attempts of a read, a version that no watch delivers is in force within 2 s.
	configReadInterval = time.Second
	// maxLeaderResponseAge is the maximum age of the leader's last response for the leader to
	// count as a path to the store.
	maxLeaderResponseAge = 3 * time.Second
	// balancerNoticeDelay is how long the balancer takes to notice that a process is not ready:
	// two probes, one a second, plus their latency.
	balancerNoticeDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period reserved for the last steps of a shutdown.
	shutdownMargin = 700 * time.Millisecond
	// headerTimeout bounds the time in which a client sends its headers, idleTimeout the time
	// between its requests.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// memoryLimitShare is the share of the memory limit that is set as the Go runtime's soft
	// memory limit; the rest is for stacks and bytes not yet read.
	memoryLimitShare = 0.6
	// gcPercent is the heap growth between collections. It is above the runtime's default,
	// since the heap is small compared to the memory limit.
	gcPercent = 400
)

// Edge is one entry process with its servers, its leader candidacy and its relay.
type Edge struct {
	settings Settings
	platform Platform
	log      *eventlog.Log
	election *leader.Election
	leader   *leader.Leader
	entry    *entry.Entry
	config   *configuration
	// evacuations holds the operator's requests to evacuate zones.
	evacuations *evacuations
	// waves holds the maintenance waves that the operator requested, by number.
	wavesMu          sync.Mutex
	waves            map[int64]batch.Wave
	draining         atomic.Bool
	aborted          chan struct{}
	servers          []*graceful.Server
	metrics          *metrics
	operatorFollower *follow.Follower
	leaderClient     *leaderClient
	// forecasts is nil if nothing is refused.
	forecasts *forecasts
	// relays are the processes that relay this leader's orders; relay relays the orders of
	// another leader.
	relays       *relay.Pool
	relay        *relay.Server
	relayOfferer *relayOfferer
	// peerAddresses holds the addresses of some other processes, which configFetcher asks.
	peerAddresses *peerAddresses
	configFetcher *configFetcher
}

// New assembles the process without starting it.
func New(s Settings, p Platform, log *eventlog.Log) *Edge {
	e := &Edge{
		settings: s, platform: p, log: log, waves: map[int64]batch.Wave{}, aborted: make(chan struct{}),
		config: newConfiguration(p.DecodeConfig, log), evacuations: newEvacuations(p.DecodeEvacuation, s.Zones, log),
		peerAddresses: &peerAddresses{self: s.Peers},
	}
	e.relays = &relay.Pool{Direct: p.Agents, List: relay.Instances(p.Instances), Node: s.Node, DirectVMs: s.DirectVMs, Processor: s.Processor, LinkMbps: s.LinkMbps, Log: log}
	e.relay = &relay.Server{Agents: p.Agents, Instances: relay.Instances(p.Instances), Client: p.PeerClient, Log: log}
	e.leader = &leader.Leader{
		Store: p.Store, Agents: e.relays, Relays: e.relays, Adviser: p.Adviser, Instances: e.relays.Instances, Config: e.config.inForce.Load,
		Evacuations: e.evacuations.inForce.Load, ReadEvacuations: e.readEvacuations,
		Settings: s.Bounds, Log: log, WallMS: wallMS,
		Machines: p.Machines, Node: s.Node, Address: s.Peers, Predecessors: &predecessorClient{client: p.PeerClient}, Waves: e.listWaves, ReportWave: p.ReportWave,
	}
	e.metrics = newMetrics(e.leader.Stats)
	e.metrics.registry.MustRegister(newConfigMetrics(e.config), newEvacuationMetrics(e.evacuations))
	e.leader.ObserveDecision, e.leader.ObserveEnd, e.leader.ObserveDelay = e.metrics.recordDecision, e.metrics.recordEnd, e.metrics.recordDelay
	e.relays.ObserveDelay = func(waited time.Duration) { e.metrics.recordDelay(leader.DelayReport, waited) }
	e.election = leader.NewElection(p.Store, leader.Record{Node: s.Node, Address: s.Peers}, s.Processor, log, e.leader.Lead)
	local := &peerServer{node: s.Node, leader: e.leader, election: e.election, relays: e.relays, config: e.config, evacuations: e.evacuations, peerAddresses: e.peerAddresses, lookUpConfig: e.lookUpConfig}
	e.relayOfferer = &relayOfferer{
		offer:  relay.Offer{Node: s.Node, Address: s.Peers, Zone: s.Zone, VMs: relay.Capacity(s.Processor, s.LinkMbps)},
		leader: e.election.Leader, peerAddresses: e.peerAddresses, client: p.PeerClient, log: log, wake: make(chan struct{}, 1),
	}
	e.configFetcher = &configFetcher{
		config: e.config, evacuations: e.evacuations, peers: e.peerAddresses, leader: e.election.Leader, onLeaderReported: e.election.LearnLeader, onPeerResponse: e.recordPeerResponse,
		client: p.PeerClient, log: log, wake: make(chan struct{}, 1),
	}
	e.election.OnLeaderSeen = func(leader.Record) { e.relayOfferer.trigger() }
	e.operatorFollower = &follow.Follower{
		Store: p.Store, Prefix: p.OperatorPrefix, Wait: configWatchTimeout, PollInterval: configReadInterval, Handle: e.applyOperatorItems,
		OnRead:  e.config.recordStoreRead,
		OnError: func(err error) { log.Warn("config_watch_failed", err, nil) },
	}
	e.leaderClient = &leaderClient{self: s.Peers, election: e.election, local: local, client: p.PeerClient}
	e.entry = &entry.Entry{
		Store: p.Store, InForce: e.config.inForce.Load, ConfirmedAge: e.config.inForceConfirmedAge, ConfirmConfig: e.confirmConfig, Accepting: e.ready, WallMS: wallMS, Log: log,
		Observe: e.metrics.recordRequest, StoreRespondedAt: e.operatorFollower.LastResponseAt, LeaderReachable: e.leaderReachable, PeersLackStore: e.configFetcher.peersLackStore,
		Peers: e.leaderClient,
	}
	local.entry = e.entry
	e.useAdmission()
	callers, ready := p.CallerHandlers(e.entry)
	e.addServer(s.Callers, callers)
	e.addServer(s.Readiness, ready)
	peers := http.NewServeMux()
	peers.Handle("/", scheduling.NewSchedulingServer(local))
	peers.Handle("GET "+relay.Path, e.relay)
	peers.HandleFunc("GET "+relay.PayloadPath, e.relay.ServePayload)
	e.addServer(s.Peers, peers)
	if s.Operations != "" {
		e.addServer(s.Operations, e.operations())
	}
	return e
}

// Abort makes Run return immediately, as if the process had crashed. It is for tests and must
// be called at most once.
func (e *Edge) Abort() { close(e.aborted) }

// Leads reports whether this process leads and has finished rebuilding its state.
func (e *Edge) Leads() bool {
	_, leading := e.leader.Waiting("")
	return leading
}

func wallMS() int64 { return time.Now().UnixMilli() }

func (e *Edge) addServer(address string, handler http.Handler) {
	e.servers = append(e.servers, newServer(address, handler))
}

func newServer(address string, handler http.Handler) *graceful.Server {
	return graceful.New(&http.Server{
		Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	})
}

// Run serves until ctx ends, then shuts down in order.
func (e *Edge) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(e.settings.MemoryMB * memoryLimitShare * (1 << 20)))
	e.log.Event("process_started", eventlog.Fields{"zone": e.settings.Zone, "processor": e.settings.Processor})
	tree := suture.New("edge", suture.Spec{
		EventHook:                func(ev suture.Event) { e.log.Event("supervisor", ev.Map()) },
		DontPropagateTermination: true,
	})
	tree.Add(e.operatorFollower)
	tree.Add(e.election.Follower())
	tree.Add(e.election)
	tree.Add(e.relayOfferer)
	tree.Add(e.configFetcher)
	for _, s := range e.servers {
		tree.Add(httpService{s})
	}
	if e.hasMetricsListener() {
		tree.Add(e.metricsService())
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := tree.ServeBackground(runCtx)
	select {
	case err := <-ended:
		return errors.Wrap(err, "supervisor")
	case <-ctx.Done():
		e.drain()
	case <-e.aborted:
	}
	cancel()
	// Closing the servers does not close hijacked connections.
	e.relay.Close()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		e.log.Warn("supervisor_ended", err, nil)
	}
	e.log.Event("process_stopped", nil)
	return nil
}

// ready reports whether the balancer should send callers to this process: it has a
// configuration and a path to the store, either its own or through the leader.
func (e *Edge) ready() bool {
	return e.config.inForce.Load() != nil && !e.draining.Load() && (e.entry.StoreReachable() || e.leaderReachable())
}

// leaderReachable reports whether another process that leads has responded recently.
func (e *Edge) leaderReachable() bool {
	return e.leaderClient.reachability.RespondedWithin(maxLeaderResponseAge, 0)
}

// sourceStore is the logged source of configurations read from the store.
const sourceStore = "store"

// recordPeerResponse records a response from the leader, which counts as a path to the store;
// responses from other peers are ignored.
func (e *Edge) recordPeerResponse(address string) {
	if record, known := e.election.Leader(); known && record.Address == address {
		e.leaderClient.reachability.RecordResponse()
	}
}

// readEvacuations reads the operator's evacuations from the store and applies them.
func (e *Edge) readEvacuations(ctx context.Context) error {
	items, revision, err := e.platform.Store.Range(ctx, e.platform.EvacuationsPrefix)
	if err != nil {
		return errors.Wrap(err, "evacuations")
	}
	e.evacuations.applyItems(items, revision, true)
	return nil
}

// applyOperatorItems installs configurations, evacuations and maintenance waves that the
// operator wrote.
func (e *Edge) applyOperatorItems(items []durable.Item, revision int64, whole bool) {
	e.evacuations.applyItems(items, revision, whole)
	for i := range items {
		if items[i].Key == e.platform.ConfigKey && !items[i].Deleted {
			e.config.install(&items[i], sourceStore)
			continue
		}
		wave, ok, err := e.platform.DecodeWave(items[i])
		if err != nil {
			e.log.Warn("wave_unreadable", err, eventlog.Fields{"key": items[i].Key})
		}
		if ok {
			e.wavesMu.Lock()
			e.waves[wave.Number] = wave
			e.wavesMu.Unlock()
		}
	}
}

func (e *Edge) listWaves() []batch.Wave {
	e.wavesMu.Lock()
	defer e.wavesMu.Unlock()
	return slices.Collect(maps.Values(e.waves))
}

const (
	// maxConfirmationAge is the maximum age of a confirmation of the configuration for which it
	// is not looked up again. It limits the reads caused by callers of nonexistent queues to
	// four a second.
	maxConfirmationAge = 250 * time.Millisecond
	// confirmTimeout bounds the wait of such a caller. A caller that arrives 250 ms later must
	// not be answered from an older version than this one, and both also wait for a processor.
	// storeLookupTimeout is how long a read may take before peers are asked as well.
	confirmTimeout     = 150 * time.Millisecond
	storeLookupTimeout = confirmTimeout / 2
	// peerLookupTimeout bounds the lookup on behalf of a peer that has such a caller.
	peerLookupTimeout = confirmTimeout / 2
)

// confirmConfig looks up the newest configuration in the store and, if the store does not
// respond, from peers, and waits a bounded time for a confirmation.
func (e *Edge) confirmConfig(ctx context.Context) {
	if e.lookUpConfig(ctx, maxConfirmationAge, storeLookupTimeout) {
		return
	}
	e.configFetcher.trigger()
	e.lookUpConfig(ctx, maxConfirmationAge, confirmTimeout-storeLookupTimeout)
}

// lookUpConfig reads the configuration from the store unless it was confirmed within maxAge,
// and waits up to timeout for the confirmation. It reports whether there is one.
func (e *Edge) lookUpConfig(ctx context.Context, maxAge, timeout time.Duration) bool {
	since := steady.Now() - maxAge
	ok, changed := e.config.confirmedSince(since)
	if ok {
		return true
	}
	e.operatorFollower.PollNow()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !ok {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
		ok, changed = e.config.confirmedSince(since)
	}
	return true
}

// drain is the graceful shutdown. Leadership is resigned first, by a write, so that another
// process takes over immediately. The listeners stay open until the balancer has noticed that
// the process is not ready, so that requests that arrive in the meantime are served.
func (e *Edge) drain() {
	began := time.Now()
	e.log.Event("process_stopping", eventlog.Fields{"grace_ms": e.settings.Grace.Milliseconds()})
	e.draining.Store(true)
	e.relayOfferer.stop()
	e.election.Resign(context.Background())
	go e.relay.Leave()
	time.Sleep(balancerNoticeDelay)
	deadline := began.Add(e.settings.Grace - shutdownMargin)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for _, s := range e.servers {
		if err := s.Stop(ctx); err != nil {
			e.log.Warn("requests_cut_off", err, eventlog.Fields{"listener": s.Addr()})
		}
	}
}

// httpService runs a server as a service of the supervisor.
type httpService struct{ server *graceful.Server }

// Serve implements suture.Service.
func (s httpService) Serve(ctx context.Context) error {
	ln, err := net.Listen("tcp", s.server.Addr())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.server.Addr())
	}
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err = s.server.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// String returns the service's name in supervisor events.
func (s httpService) String() string { return "server " + s.server.Addr() }
