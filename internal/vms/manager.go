// Package vms manages the VMs that this node owns: one ledger per VM, the tasks'
// leases, and the slots and connections of requests. Only the owner assigns work to a
// VM, and only after it has read the VM's own list of its tasks.
package vms

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/ledger"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/ownership"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/target"
	"github.com/rattanwall/rattanwall/internal/worker"
)

// partsPerRack is the number of shards per rack, so that the VMs of a small
// deployment are spread over its nodes.
const partsPerRack = 3

// shardPrefix is the key prefix of the ownership shards that are groups of VMs.
const shardPrefix = "vm/"

// ShardOf returns the ownership shard of a VM.
func ShardOf(vm model.VM) ownership.Shard {
	part := xxhash.Sum64String(vm.Name) % partsPerRack
	return ownership.Shard{Key: fmt.Sprintf("%s%s/%d", shardPrefix, vm.RackKey(), part), Zone: vm.Zone}
}

// Ownership reports whether, and under which epoch, this node may act for a shard.
type Ownership interface {
	Epoch(shard string) (int64, bool)
}

// Reporter delivers the running and ended attempts to the leaders of the job shards.
// It returns the attempts whose end is recorded, and those still running that must be
// stopped.
type Reporter interface {
	Report(ctx context.Context, attempts []Attempt) (recorded, obsolete []worker.Ref)
}

// Attempt is an attempt to run a task on a VM, and how it ended.
type Attempt struct {
	worker.Ref
	VM string
	// End is empty while the attempt runs.
	End        End
	Checkpoint string
}

// End is how an attempt ended.
type End string

// The ends of an attempt.
const (
	EndFinished End = "finished"
	EndFailed   End = "failed"
	// EndStopped: the attempt was evicted or cancelled.
	EndStopped End = "stopped"
	// EndLost: the VM is unreachable and the lease has expired, or the VM no longer
	// holds the attempt.
	EndLost End = "lost"
	// EndRefused: the attempt was certainly not started.
	EndRefused End = "refused"
)

// Timing holds the durations of the tasks' leases and checkpoints.
type Timing struct {
	// Lease is how long a task runs without a renewal; default 30 s. Each renewal
	// costs some 350 bytes for each VM.
	Lease time.Duration
	// RenewInterval is how often leases are renewed; default 10 s.
	RenewInterval time.Duration
	// CheckpointInterval is how often running tasks are checkpointed; default 60 s.
	CheckpointInterval time.Duration
	// UnreachableGrace is the additional time, after their leases have expired,
	// before the tasks of a listed but unreachable VM are declared lost; default 2
	// min. A task may have finished there just before, and running it again would
	// execute it twice; the VM reports it when it is reachable again. For a VM off
	// the list there is no such delay.
	UnreachableGrace time.Duration
}

// DefaultTiming returns the defaults documented in Timing.
func DefaultTiming() Timing {
	return Timing{
		Lease: 30 * time.Second, RenewInterval: 10 * time.Second, CheckpointInterval: time.Minute, UnreachableGrace: 2 * time.Minute,
	}
}

// Options configures a Manager. All fields are required.
type Options struct {
	Ownership Ownership
	Reporter  Reporter
	Config    func() *config.Installed
	// NewAgent returns the client of the agent at an address.
	NewAgent func(address string) worker.Agent
	// NewTarget returns the client of the target at an address, which opens at most
	// maxConnections connections.
	NewTarget func(address string, maxConnections int) target.Target
	Timing    Timing
	Log       *logrus.Entry
}

// Manager manages the owned VMs. Serve runs it.
type Manager struct {
	Options

	mu           sync.Mutex
	listed       map[string]model.VM
	owned        map[string]*machine
	queues       map[model.Class]*queue
	ctx          context.Context
	syncRequests chan struct{}
	hopCount     uint64
}

// New returns a manager without VMs.
func New(o Options) *Manager {
	return &Manager{
		Options: o, listed: map[string]model.VM{}, owned: map[string]*machine{},
		queues: map[model.Class]*queue{model.Quick: {}, model.Heavy: {}, model.Standing: {}}, syncRequests: make(chan struct{}, 1),
	}
}

// Serve implements suture.Service.
func (m *Manager) Serve(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	go m.reportLoop(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		m.sync()
		select {
		case <-ctx.Done():
			m.removeAllVMs()
			return ctx.Err()
		case <-m.syncRequests:
		case <-ticker.C:
		}
	}
}

// reportInterval is the interval between reports of running attempts, by which
// obsolete ones are found.
const reportInterval = 30 * time.Second

func (m *Manager) reportLoop(ctx context.Context) {
	pause.Every(ctx, reportInterval, func() { m.reportRunning(ctx) })
}

// tickInterval is the interval at which reservations and waiting requests are
// checked.
const tickInterval = 250 * time.Millisecond

// Sync requests a check of VM ownership without waiting for it.
func (m *Manager) Sync() {
	select {
	case m.syncRequests <- struct{}{}:
	default:
	}
}

// SetList installs the platform's list of VMs. A VM off the list is treated as
// leaving until its tasks are gone and their ends recorded: the list lags and may
// lack a VM that still runs, and dropping an unrecorded end would execute its task
// again.
func (m *Manager) SetList(list []model.VM) {
	m.mu.Lock()
	next := make(map[string]model.VM, len(list))
	for _, vm := range list {
		next[vm.Name] = vm
	}
	for name, mc := range m.owned {
		_, listed := next[name]
		mc.unlisted = !listed
		if !listed && (mc.ledger.HeldCount() > 0 || len(mc.tasks) > 0) {
			leaving := mc.vm
			leaving.State = model.VMLeaving
			next[name] = leaving
		}
	}
	m.listed = next
	for name, mc := range m.owned {
		if vm, ok := next[name]; ok {
			mc.vm.State = vm.State
		}
	}
	m.mu.Unlock()
	m.Sync()
}

// Shards returns the ownership shards of the listed VMs.
func (m *Manager) Shards() []ownership.Shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := map[string]bool{}
	var shards []ownership.Shard
	for _, vm := range m.listed {
		if s := ShardOf(vm); !seen[s.Key] {
			seen[s.Key] = true
			shards = append(shards, s)
		}
	}
	sort.Slice(shards, func(i, j int) bool { return shards[i].Key < shards[j].Key })
	return shards
}

// Lookup returns the listed VM of that name.
func (m *Manager) Lookup(name string) (model.VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	vm, ok := m.listed[name]
	return vm, ok
}

// List returns all listed VMs, sorted by name.
func (m *Manager) List() []model.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]model.VM, 0, len(m.listed))
	for _, vm := range m.listed {
		list = append(list, vm)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// sync adds the VMs that this node owns now and removes the others.
func (m *Manager) sync() {
	m.mu.Lock()
	now := time.Now()
	doc := m.Config().Document
	for name, vm := range m.listed {
		epoch, own := m.Ownership.Epoch(ShardOf(vm).Key)
		mc := m.owned[name]
		moved := mc != nil && (mc.vm.AgentAddress != vm.AgentAddress || mc.vm.TargetAddress != vm.TargetAddress)
		if mc != nil && (!own || mc.epoch != epoch || moved) {
			m.removeVM(mc)
			mc = nil
		}
		if own && mc == nil {
			mc = m.addVM(vm, epoch, now)
		}
		if moved && mc != nil {
			// Tasks that run at the old address are missing from the new one's list.
			mc.listCompleteAfter = now.Add(m.Timing.Lease + lostMargin)
		}
		if mc != nil {
			mc.setLeaving(vm.State != model.VMLive || doc.DrainedVMs[name])
			mc.ledger.SetReserve(reserveOn(doc, vm))
			mc.ledger.ExpireReservations(now)
		}
	}
	for name, mc := range m.owned {
		if _, ok := m.listed[name]; !ok {
			m.removeVM(mc)
		}
	}
	m.wakeWaiters()
	m.mu.Unlock()
}

// setLeaving sets whether the VM is leaving. A VM that starts leaving is emptied at
// once rather than after the current status call. m.mu is held.
func (mc *machine) setLeaving(leaving bool) {
	mc.ledger.SetLeaving(leaving)
	if leaving && !mc.leaving {
		mc.refreshStatus()
	}
	mc.leaving = leaving
}

// reserveOn returns the capacity of a VM that is reserved for services.
func reserveOn(doc config.Document, vm model.VM) model.Resources {
	var sum model.Resources
	for _, s := range doc.Services {
		if s.InZone(vm.Zone) {
			sum = sum.Add(s.Reserve)
		}
	}
	return sum
}

// addVM starts managing a VM. m.mu is held.
func (m *Manager) addVM(vm model.VM, epoch int64, now time.Time) *machine {
	ctx, cancel := context.WithCancel(m.ctx)
	mc := &machine{
		vm: vm, shard: ShardOf(vm).Key, epoch: epoch, takenOverAt: now, listCompleteAfter: now.Add(startTimeout), lastContactEnd: now,
		ledger: ledger.New(vm.Capacity, model.Resources{}),
		agent:  m.NewAgent(vm.AgentAddress),
		target: m.NewTarget(vm.TargetAddress, maxConnections(vm)),
		cancel: cancel, tasks: map[worker.Ref]*heldTask{}, latency: initialLatency,
	}
	m.owned[vm.Name] = mc
	go m.watchStatus(ctx, mc)
	go m.keepLeases(ctx, mc)
	return mc
}

// maxConnections leaves headroom for closed connections that the target still counts.
func maxConnections(vm model.VM) int {
	return int(max(vm.Capacity.Connections-4, 1))
}

// removeVM stops managing a VM. Requests in flight continue; the next owner finds
// them in the VM's own list. m.mu is held.
func (m *Manager) removeVM(mc *machine) {
	mc.cancel()
	mc.target.CloseIdle()
	if c, ok := mc.agent.(interface{ Close() }); ok {
		c.Close()
	}
	delete(m.owned, mc.vm.Name)
}

func (m *Manager) removeAllVMs() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mc := range m.owned {
		m.removeVM(mc)
	}
}

// mayAct reports whether this node still owns the VM under the same epoch. It is
// called right before each action, since the process may have been paused.
func (m *Manager) mayAct(mc *machine) bool {
	epoch, ok := m.Ownership.Epoch(mc.shard)
	return ok && epoch == mc.epoch
}

// Summary is what the node reports to its peers about the VMs it owns.
type Summary struct {
	VMs int64
	// Free is the capacity still free for tasks, summed over the VMs.
	Free model.Resources
	// Services maps a service's name to the requests that could be admitted now.
	Services map[string]ServiceCapacity
}

// ServiceCapacity is the number of requests of each class that could be admitted now,
// and of those waiting.
type ServiceCapacity struct {
	Quick, Heavy, Standing int64
	Waiting                int64
}

// Summary returns the current summary.
func (m *Manager) Summary() Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Summary{Services: map[string]ServiceCapacity{}}
	doc := m.Config().Document
	waiting := m.waiting()
	for _, mc := range m.owned {
		if !mc.ledger.Ready() {
			continue
		}
		s.VMs++
		if mc.ledger.MayPlace(model.Resources{}) == ledger.Admitted {
			s.Free = s.Free.Add(mc.ledger.FreeForTasks())
		}
		for name, svc := range doc.Services {
			if !svc.InZone(mc.vm.Zone) {
				continue
			}
			available := s.Services[name]
			available.Quick += mc.ledger.FreeRequests(model.Quick)
			available.Heavy += mc.ledger.FreeRequests(model.Heavy)
			available.Standing += mc.ledger.FreeRequests(model.Standing)
			available.Waiting = waiting
			s.Services[name] = available
		}
	}
	return s
}

// VMDump is an owned VM's part of the state dump.
type VMDump struct {
	Name        string          `json:"name"`
	Epoch       int64           `json:"epoch"`
	Ready       bool            `json:"ready"`
	Reachable   bool            `json:"reachable"`
	Capacity    model.Resources `json:"capacity"`
	Used        model.Resources `json:"used"`
	Tasks       int             `json:"tasks"`
	Connections int64           `json:"connections"`
	LatencyMS   float64         `json:"latency_ms"`
}

// Dump returns the dumps of the owned VMs, sorted by name.
func (m *Manager) Dump() []VMDump {
	m.mu.Lock()
	defer m.mu.Unlock()
	var dump []VMDump
	for _, mc := range m.owned {
		dump = append(dump, VMDump{
			Name: mc.vm.Name, Epoch: mc.epoch, Ready: mc.ledger.Ready(), Reachable: mc.reachable,
			Capacity: mc.ledger.Capacity(), Used: mc.ledger.Used(), Tasks: len(mc.tasks),
			Connections: mc.target.Connections(), LatencyMS: mc.latency.Seconds() * 1000,
		})
	}
	sort.Slice(dump, func(i, j int) bool { return dump[i].Name < dump[j].Name })
	return dump
}
