// Package hosting is the stand-in for the platform: the key-value service
// with compare-and-swap, leases and watches, and the list of VMs. It keeps
// all data in memory, counts each call by kind, and injects faults for tests.
package hosting

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	wire "github.com/rattanwall/rattanwall/internal/hosting/httphosting"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/standin/record"
)

// configHead is the key whose writes are recorded as configuration versions.
const configHead = "config/head"

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Platform is the state shared by all its listeners.
type Platform struct {
	Recorder *record.Recorder

	mu       sync.Mutex
	revision int64
	entries  map[string]wire.WireEntry
	history  []wire.WireEntry
	leases   map[string]*lease
	vms      map[string]model.VM
	// vmsVersion counts the changes of vms.
	vmsVersion int64
	changed    chan struct{}
	calls      map[string]int64
}

// New returns an empty platform that records to r.
func New(r *record.Recorder) *Platform {
	return &Platform{
		Recorder: r,
		entries:  map[string]wire.WireEntry{},
		leases:   map[string]*lease{},
		vms:      map[string]model.VM{},
		changed:  make(chan struct{}),
		calls:    map[string]int64{},
	}
}

// SetVM adds or changes a VM of the list.
func (p *Platform) SetVM(vm model.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, known := p.vms[vm.Name]
	p.vms[vm.Name] = vm
	p.vmsVersion++
	if vm.State == model.VMLeaving && (!known || before.State != model.VMLeaving) {
		p.Recorder.Add(record.Event{Kind: record.VMLeaving, VM: vm.Name})
	}
}

// SetVMState changes a VM's state; it reports whether the VM is known.
func (p *Platform) SetVMState(name string, state model.VMState) bool {
	p.mu.Lock()
	vm, ok := p.vms[name]
	p.mu.Unlock()
	if ok {
		vm.State = state
		p.SetVM(vm)
	}
	return ok
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
	p.vmsVersion++
}

// VMs returns the list, sorted by name.
func (p *Platform) VMs() []model.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := make([]model.VM, 0, len(p.vms))
	for _, vm := range p.vms {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return vms
}

// vmList returns the list and its version, without the VMs if the version is
// the known one.
func (p *Platform) vmList(known string) wire.WireVMs {
	p.mu.Lock()
	version := strconv.FormatInt(p.vmsVersion, 10)
	p.mu.Unlock()
	if version == known {
		return wire.WireVMs{Version: version}
	}
	return wire.WireVMs{Version: version, VMs: p.VMs()}
}

// Calls returns the number of calls of each kind since the start.
func (p *Platform) Calls() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make(map[string]int64, len(p.calls))
	for k, n := range p.calls {
		calls[k] = n
	}
	return calls
}

func (p *Platform) count(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[kind]++
}

// write applies a change to one key and wakes waiting watches. p.mu is held.
func (p *Platform) write(e wire.WireEntry) int64 {
	p.revision++
	e.Revision = p.revision
	if e.Deleted {
		delete(p.entries, e.Key)
	} else {
		p.entries[e.Key] = e
	}
	p.history = append(p.history, e)
	close(p.changed)
	p.changed = make(chan struct{})
	if e.Key == configHead && !e.Deleted {
		p.Recorder.Add(record.Event{Kind: record.ConfigWrite, Version: e.Revision})
	}
	return p.revision
}

// expire ends the leases that have expired. p.mu is held.
func (p *Platform) expire(now time.Time) {
	for id, l := range p.leases {
		if now.After(l.expires) {
			p.endLease(id)
		}
	}
}

// endLease deletes a lease and its keys. p.mu is held.
func (p *Platform) endLease(id string) {
	delete(p.leases, id)
	for key, e := range p.entries {
		if e.Lease == id {
			p.write(wire.WireEntry{Key: key, Deleted: true})
		}
	}
}

func (p *Platform) get(key string) (wire.WireEntry, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	e, ok := p.entries[key]
	if !ok {
		return e, statusNotFound
	}
	return e, statusOK
}

func (p *Platform) list(prefix string) wire.WireList {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	answer := wire.WireList{Revision: p.revision}
	for key, e := range p.entries {
		if strings.HasPrefix(key, prefix) {
			answer.Entries = append(answer.Entries, e)
		}
	}
	sort.Slice(answer.Entries, func(i, j int) bool { return answer.Entries[i].Key < answer.Entries[j].Key })
	return answer
}

func (p *Platform) put(key string, w wire.WirePut) (wire.WireList, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	if w.Lease != "" && p.leases[w.Lease] == nil {
		return wire.WireList{}, statusGone
	}
	if p.entries[key].Revision != w.Expect {
		return wire.WireList{}, statusConflict
	}
	rev := p.write(wire.WireEntry{Key: key, Value: w.Value, Lease: w.Lease})
	return wire.WireList{Revision: rev}, statusOK
}

func (p *Platform) remove(key string, expect int64) (wire.WireList, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	e, ok := p.entries[key]
	if !ok {
		return wire.WireList{}, statusNotFound
	}
	if e.Revision != expect {
		return wire.WireList{}, statusConflict
	}
	rev := p.write(wire.WireEntry{Key: key, Deleted: true})
	return wire.WireList{Revision: rev}, statusOK
}

func (p *Platform) grant(ttl time.Duration) wire.WireLease {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	id := fmt.Sprintf("lease-%d", p.revision)
	p.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return wire.WireLease{ID: id, TTLMS: ttl.Milliseconds()}
}

func (p *Platform) renew(id string) (wire.WireLease, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.expire(now)
	l := p.leases[id]
	if l == nil {
		return wire.WireLease{}, statusGone
	}
	l.expires = now.Add(l.ttl)
	return wire.WireLease{ID: id}, statusOK
}

func (p *Platform) revoke(id string) (wire.WireLease, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leases[id] == nil {
		return wire.WireLease{}, statusGone
	}
	p.endLease(id)
	return wire.WireLease{ID: id}, statusOK
}

// changesSince returns the changes under prefix after a revision, and a channel
// that is closed at the next change.
func (p *Platform) changesSince(prefix string, after int64) (wire.WireList, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	answer := wire.WireList{Revision: p.revision}
	first := sort.Search(len(p.history), func(i int) bool { return p.history[i].Revision > after })
	for _, e := range p.history[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			answer.Entries = append(answer.Entries, e)
		}
	}
	return answer, p.changed
}
