// Package edge puts the parts of an entry VM's process together that serve
// callers and schedule steps, under one supervisor tree, and stops them in order.
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

// Settings of the process.
type Settings struct {
	// Node is the process's name in logs.
	Node string
	Zone string
	// Callers, Readiness, Peers and Operations are the ip:port to listen on.
	Callers    string
	Readiness  string
	Peers      string
	Operations string
	// Metrics is one more ip:port for the metrics alone, "" for none: a place that
	// scrapers know beforehand, where the other ports change. The process does
	// without where it can't be had.
	Metrics string
	// Processor is the share of a core that the VM has.
	Processor float64
	// DirectVMs is up to how many VMs this process, while it leads, serves itself; the
	// orders to more go through relays.
	DirectVMs int
	// LinkMbps is the bandwidth of the VM's link, 0 where it is not told.
	LinkMbps float64
	// MemoryMB is the memory limit of the process.
	MemoryMB float64
	// Grace is the time from the signal to stop until the process is killed.
	Grace  time.Duration
	Bounds scheduler.Settings
}

// Platform is what the process needs of the outside.
type Platform struct {
	Store     durable.Store
	Agents    leader.Agents
	Adviser   leader.Adviser
	Machines  leader.Machines
	Instances leader.Instances
	// OperatorPrefix is where the operator writes, ConfigKey the key of the
	// configuration; DecodeConfig and DecodeWave read what is there.
	OperatorPrefix string
	ConfigKey      string
	DecodeConfig   func([]byte) (*batch.Config, error)
	DecodeWave     func(durable.Item) (batch.Wave, bool, error)
	ReportWave     leader.WaveReport
	// CallerHandlers makes the handler of callers' requests, and of the balancer's probe.
	CallerHandlers func(*entry.Entry) (callers, ready http.Handler)
	// PeerClient is the client for the other processes.
	PeerClient *http.Client
}

const (
	// configWatchTimeout is how long one watch of the configuration waits. What it does not tell,
	// because its connection went silent or the store's watches hear nothing, is read.
	configWatchTimeout = 5 * time.Second
	// configReadInterval is how often the configuration is read beside its watch: with two
	// tries of a reading a version is in force within 2 s that no watch tells of.
	configReadInterval = time.Second
	// maxLeaderResponseAge is how old the leader's last answer may be for it to count as
	// a way to the store.
	maxLeaderResponseAge = 3 * time.Second
	// balancerNoticeDelay is how long the balancer takes to see that a process is not
	// ready: two probes, one a second, and their way.
	balancerNoticeDelay = 2500 * time.Millisecond
	// shutdownMargin is kept of the grace for the last steps of a stop.
	shutdownMargin = 700 * time.Millisecond
	// headerTimeout bounds the time that a client takes to send its headers,
	// idleTimeout that between its requests.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// memoryLimitShare is the part of the memory limit at which the collector works
	// harder; the rest is for stacks and bytes not yet read.
	memoryLimitShare = 0.6
	// gcPercent is the growth of the heap between collections, in percent: twice
	// the usual, since the heap is small beside the limit.
	gcPercent = 400
)

// Edge is the process.
type Edge struct {
	settings Settings
	platform Platform
	log      *eventlog.Log
	election *leader.Election
	leader   *leader.Leader
	entry    *entry.Entry
	config   *configuration
	// waves are those that the operator asked for, by number.
	wavesMu          sync.Mutex
	waves            map[int64]batch.Wave
	draining         atomic.Bool
	aborted          chan struct{}
	servers          []*graceful.Server
	metrics          *metrics
	operatorFollower *follow.Follower
	leaderClient     *leaderClient
	// relays are the processes that carry orders for this one while it leads; relay
	// carries those of another leader.
	relays       *relay.Pool
	relay        *relay.Server
	relayOfferer *relayOfferer
	// peerAddresses are some of the other processes; configFetcher asks them.
	peerAddresses *peerAddresses
	configFetcher *configFetcher
}

// New puts the process together.
func New(s Settings, p Platform, log *eventlog.Log) *Edge {
	e := &Edge{
		settings: s, platform: p, log: log, waves: map[int64]batch.Wave{}, aborted: make(chan struct{}),
		config: newConfiguration(p.DecodeConfig, log), peerAddresses: &peerAddresses{self: s.Peers},
	}
	e.relays = &relay.Pool{Direct: p.Agents, List: relay.Instances(p.Instances), Node: s.Node, DirectVMs: s.DirectVMs, Processor: s.Processor, LinkMbps: s.LinkMbps, Log: log}
	e.relay = &relay.Server{Agents: p.Agents, Instances: relay.Instances(p.Instances), Client: p.PeerClient, Log: log}
	e.leader = &leader.Leader{
		Store: p.Store, Agents: e.relays, Relays: e.relays, Adviser: p.Adviser, Instances: e.relays.Instances, Config: e.config.inForce.Load,
		Settings: s.Bounds, Log: log, WallMS: wallMS,
		Machines: p.Machines, Node: s.Node, Address: s.Peers, Predecessors: &predecessorClient{client: p.PeerClient}, Waves: e.listWaves, ReportWave: p.ReportWave,
	}
	e.metrics = newMetrics(e.leader.Stats)
	e.metrics.registry.MustRegister(newConfigMetrics(e.config))
	e.leader.ObserveDecision, e.leader.ObserveEnd, e.leader.ObserveDelay = e.metrics.recordDecision, e.metrics.recordEnd, e.metrics.recordDelay
	e.relays.ObserveDelay = func(waited time.Duration) { e.metrics.recordDelay(leader.DelayReport, waited) }
	e.election = leader.NewElection(p.Store, leader.Record{Node: s.Node, Address: s.Peers}, s.Processor, log, e.leader.Lead)
	local := &peerServer{node: s.Node, leader: e.leader, election: e.election, store: p.Store, relays: e.relays, config: e.config, peerAddresses: e.peerAddresses, lookUpConfig: e.lookUpConfig}
	e.relayOfferer = &relayOfferer{
		offer:  relay.Offer{Node: s.Node, Address: s.Peers, Zone: s.Zone, VMs: relay.Capacity(s.Processor, s.LinkMbps)},
		leader: e.election.Leader, peerAddresses: e.peerAddresses, client: p.PeerClient, log: log, wake: make(chan struct{}, 1),
	}
	e.configFetcher = &configFetcher{
		config: e.config, peers: e.peerAddresses, leader: e.election.Leader, onLeaderReported: e.election.LearnLeader, onPeerResponse: e.recordPeerResponse,
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
		Observe: e.metrics.recordRequest, StoreRespondedAt: e.operatorFollower.LastResponseAt, LeaderReachable: e.leaderReachable,
		Peers: e.leaderClient,
	}
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

// Abort makes Run end at once, as if the process had died. For tests; call it at
// most once.
func (e *Edge) Abort() { close(e.aborted) }

// Leads reports whether this process leads and is done with the rebuild.
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

// Run serves until ctx ends, then stops in order.
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
	// The servers do not know of streams that were taken over from them.
	e.relay.Close()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		e.log.Warn("supervisor_ended", err, nil)
	}
	e.log.Event("process_stopped", nil)
	return nil
}

// ready reports whether callers should come here: the process has a configuration
// and a way to the store, its own or the leader's.
func (e *Edge) ready() bool {
	return e.config.inForce.Load() != nil && !e.draining.Load() && (e.entry.StoreReachable() || e.leaderReachable())
}

// leaderReachable reports whether another process that leads has answered of late.
func (e *Edge) leaderReachable() bool {
	return e.leaderClient.reachability.RespondedWithin(maxLeaderResponseAge, 0)
}

// sourceStore is the source of configurations that the store told.
const sourceStore = "store"

// recordPeerResponse notes that a peer was reached: the leader is a way to the store.
func (e *Edge) recordPeerResponse(address string) {
	if record, known := e.election.Leader(); known && record.Address == address {
		e.leaderClient.reachability.RecordResponse()
	}
}

// applyOperatorItems takes over what the operator wrote.
func (e *Edge) applyOperatorItems(items []durable.Item, _ bool) {
	for i := range items {
		if items[i].Key == e.platform.ConfigKey && !items[i].Deleted {
			e.config.install(&items[i], sourceStore)
			continue
		}
		w, ok, err := e.platform.DecodeWave(items[i])
		if err != nil {
			e.log.Warn("wave_unreadable", err, eventlog.Fields{"key": items[i].Key})
		}
		if ok {
			e.wavesMu.Lock()
			e.waves[w.Number] = w
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
	// maxConfirmationAge is how long ago the configuration may have been confirmed for it
	// not to be looked up again: it bounds the readings that callers of queues which do
	// not exist bring about to four a second.
	maxConfirmationAge = 250 * time.Millisecond
	// confirmTimeout bounds the wait of such a caller: one who comes 250 ms later may not be
	// answered by an older version than this one is, and both wait for a processor besides.
	// storeLookupTimeout is how long a reading may take before peers are asked besides.
	confirmTimeout     = 150 * time.Millisecond
	storeLookupTimeout = confirmTimeout / 2
	// peerLookupTimeout bounds the wait of a peer that asks for such a caller.
	peerLookupTimeout = confirmTimeout / 2
)

// confirmConfig looks the newest configuration up, in the store and, where that is silent,
// at peers, and waits until one has told it.
func (e *Edge) confirmConfig(ctx context.Context) {
	if e.lookUpConfig(ctx, maxConfirmationAge, storeLookupTimeout) {
		return
	}
	e.configFetcher.trigger()
	e.lookUpConfig(ctx, maxConfirmationAge, confirmTimeout-storeLookupTimeout)
}

// lookUpConfig looks the newest configuration up in the store, unless it was confirmed so
// short ago, and waits for up to timeout until it is. It reports whether it was.
func (e *Edge) lookUpConfig(ctx context.Context, within, timeout time.Duration) bool {
	since := steady.Now() - within
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

// drain is the planned stop. The lead is given up first, by a write, so that
// another takes over at once. The listener stays open until the balancer has
// seen that the process is not ready: a request that comes meanwhile is served.
func (e *Edge) drain() {
	began := time.Now()
	e.log.Event("process_stopping", eventlog.Fields{"grace_ms": e.settings.Grace.Milliseconds()})
	e.draining.Store(true)
	e.relayOfferer.stop()
	e.election.Resign(context.Background())
	go e.relay.Leave()
	time.Sleep(balancerNoticeDelay)
	limit := began.Add(e.settings.Grace - shutdownMargin)
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	for _, s := range e.servers {
		if err := s.Stop(ctx); err != nil {
			e.log.Warn("requests_cut_off", err, eventlog.Fields{"listener": s.Addr()})
		}
	}
}

// httpService runs a server under the supervisor.
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

// String names the service in the supervisor's events.
func (s httpService) String() string { return "server " + s.server.Addr() }
