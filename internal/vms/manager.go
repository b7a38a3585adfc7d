// Package vms manages the VMs that this node owns: one ledger each, the tasks'
// leases, the requests' slots and connections. Only the owner gives work to a
// VM, and only after it has read the VM's own list of what it holds.
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

// partsPerRack divides a rack's VMs into shards, so that the VMs of a small
// deployment spread over its nodes.
const partsPerRack = 3

// shardPrefix marks the ownership shards that are groups of VMs.
const shardPrefix = "vm/"

// ShardOf returns the ownership shard of a VM.
func ShardOf(vm model.VM) ownership.Shard {
	part := xxhash.Sum64String(vm.Name) % partsPerRack
	return ownership.Shard{Key: fmt.Sprintf("%s%s/%d", shardPrefix, vm.RackKey(), part), Zone: vm.Zone}
}

// Ownership tells whether this node may act for a shard.
type Ownership interface {
	Epoch(shard string) (int64, bool)
}

// Reporter carries the ends of attempts to whoever records them. It returns
// the attempts that are recorded, and those still running that should not be.
type Reporter interface {
	Report(ctx context.Context, attempts []Attempt) (recorded, obsolete []worker.Ref)
}

// Attempt is an attempt with how it ended.
type Attempt struct {
	worker.Ref
	VM string
	// End is empty while the attempt runs.
	End        End
	Checkpoint string
}

// End says how an attempt ended.
type End string

// The ends of an attempt.
const (
	EndFinished End = "finished"
	EndFailed   End = "failed"
	// EndStopped: evicted or cancelled.
	EndStopped End = "stopped"
	// EndLost: the VM cannot be reached and the lease has run out.
	EndLost End = "lost"
	// EndRefused: it was certainly not started.
	EndRefused End = "refused"
)

// Timing of the tasks' leases.
type Timing struct {
	// Lease is how long a task runs without a renewal; default 30 s. Each renewal
	// costs some 350 bytes for each VM.
	Lease time.Duration
	// RenewInterval is how often leases are renewed; default 10 s.
	RenewInterval time.Duration
	// CheckpointInterval is how often running tasks are checkpointed; default 60 s.
	CheckpointInterval time.Duration
	// UnreachableGrace is how long the tasks of a VM that is listed but not reached are
	// waited for after their leases have run out; default 2 min. A task may have
	// finished there just before, and to run it again would double it; the VM
	// tells when it comes back. A VM off the list is not waited for.
	UnreachableGrace time.Duration
}

// DefaultTiming returns the defaults named in Timing.
func DefaultTiming() Timing {
	return Timing{
		Lease: 30 * time.Second, RenewInterval: 10 * time.Second, CheckpointInterval: time.Minute, UnreachableGrace: 2 * time.Minute,
	}
}

// Options of a Manager. All fields are needed.
type Options struct {
	Ownership Ownership
	Reporter  Reporter
	Config    func() *config.Installed
	// NewAgent returns the adapter to the agent at an address.
	NewAgent func(address string) worker.Agent
	// NewTarget returns the adapter to the target at an address, which opens at
	// most so many connections.
	NewTarget func(address string, maxConnections int) target.Target
	Timing    Timing
	Log       *logrus.Entry
}

// Manager holds the owned VMs. Serve runs it.
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

// reportInterval is how often running attempts are reported, so that those that
// should not run are found.
const reportInterval = 30 * time.Second

func (m *Manager) reportLoop(ctx context.Context) {
	pause.Every(ctx, reportInterval, func() { m.reportRunning(ctx) })
}

// tickInterval is how often reservations and waiters are looked at.
const tickInterval = 250 * time.Millisecond

// Sync asks for a look at who owns what; it does not wait for it.
func (m *Manager) Sync() {
	select {
	case m.syncRequests <- struct{}{}:
	default:
	}
}

// SetList takes the platform's list. A VM off the list is treated as leaving until
// its tasks are gone and their ends recorded: the list lags and may miss a VM that
// still runs, and an end that is dropped here has its task executed again.
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
			gone := mc.vm
			gone.State = model.VMLeaving
			next[name] = gone
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

// Lookup returns a listed VM.
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

// sync takes up the VMs that this node owns now and drops the others.
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
			// What runs at the old address is not in the new one's list.
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

// setLeaving makes a VM that begins to leave be emptied at once rather than
// after the present status call. m.mu is held.
func (mc *machine) setLeaving(leaving bool) {
	mc.ledger.SetLeaving(leaving)
	if leaving && !mc.leaving {
		mc.refreshStatus()
	}
	mc.leaving = leaving
}

// reserveOn is what a VM keeps free of tasks for its services.
func reserveOn(doc config.Document, vm model.VM) model.Resources {
	var sum model.Resources
	for _, s := range doc.Services {
		if s.InZone(vm.Zone) {
			sum = sum.Add(s.Reserve)
		}
	}
	return sum
}

// addVM starts to manage a VM. m.mu is held.
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

// maxConnections leaves room for connections whose end the target has not yet seen.
func maxConnections(vm model.VM) int {
	return int(max(vm.Capacity.Connections-4, 1))
}

// removeVM stops managing a VM. Requests under way go on to their end; the next
// owner sees them in the VM's own list. m.mu is held.
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

// mayAct reports whether this node still owns the VM under the same epoch. It
// is asked right before each act, since the process may have been paused.
func (m *Manager) mayAct(mc *machine) bool {
	epoch, ok := m.Ownership.Epoch(mc.shard)
	return ok && epoch == mc.epoch
}

// Summary is what the node tells its peers of the VMs that it owns.
type Summary struct {
	VMs int64
	// Free is what tasks may still take, summed over the VMs.
	Free model.Resources
	// Services maps a service's name to the requests it could take now.
	Services map[string]ServiceCapacity
}

// ServiceCapacity is how many requests of each class could be admitted now.
type ServiceCapacity struct {
	Quick, Heavy, Standing int64
	Waiting                int64
}

// Summary returns the present summary.
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
			room := s.Services[name]
			room.Quick += mc.ledger.FreeRequests(model.Quick)
			room.Heavy += mc.ledger.FreeRequests(model.Heavy)
			room.Standing += mc.ledger.FreeRequests(model.Standing)
			room.Waiting = waiting
			s.Services[name] = room
		}
	}
	return s
}

// VMDump describes one owned VM for the state dump.
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

// Dump describes the owned VMs, sorted by name.
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
