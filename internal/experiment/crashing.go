package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

const (
	// crashDelay is the time from the start of a crashing task to the end of its VM.
	// crashDetectionDelay is the time from there until the machine service reports the VM's end,
	// crashRecoveryDelay until the VM's replacement is up.
	crashDelay          = 10 * time.Millisecond
	crashDetectionDelay = 2100 * time.Millisecond
	crashRecoveryDelay  = 3 * time.Second
)

// crashFault is the state of a FaultCrashing: tasks that crash every VM on which they start.
type crashFault struct {
	random *rand.Rand
	// share is the fraction of the batch jobs arriving before until whose first task crashes
	// its VM.
	share float64
	until time.Duration
	// pendingCrashes are VMs about to crash, pendingReturns crashed VMs to be replaced.
	pendingCrashes, pendingReturns []vmEvent
}

// markCrashing decides at random whether an arriving job has a crashing task.
func (p *player) markCrashing(j *job) {
	if c := &p.crashFault; j.kind != servingKind && p.now < c.until && c.random.Float64() < c.share {
		j.isCrashing = true
		p.result.CrashingJobs++
	}
}

// scheduleCrash schedules the crash of the VM if the started run is one of a crashing task.
func (p *player) scheduleCrash(o scheduler.Order) {
	if p.fleet.jobs[o.Task.Job].isCrashing && o.Task.Step == 0 && o.Task.Index == 0 {
		p.crashFault.pendingCrashes = append(p.crashFault.pendingCrashes, vmEvent{at: p.now + crashDelay, vm: p.fleet.byID[o.Instance.ID]})
	}
}

// processCrashes ends the VMs that are due to crash and replaces those that crashed earlier.
func (p *player) processCrashes() {
	c := &p.crashFault
	due := c.pendingCrashes
	c.pendingCrashes = nil
	for _, d := range due {
		if d.vm.lost {
			continue
		}
		p.result.Crashes++
		p.loseVM(d.vm)
		p.lostAt[d.vm.inst.ID] = p.now + crashDetectionDelay - leaseExpiryDelay
		for range 2 {
			p.sched.HoldFailed(p.now, d.vm.inst.ID, true)
		}
		c.pendingReturns = append(c.pendingReturns, vmEvent{at: p.now + crashRecoveryDelay, vm: d.vm})
	}
	rest := c.pendingReturns[:0]
	for _, b := range c.pendingReturns {
		if p.now < b.at {
			rest = append(rest, b)
			continue
		}
		p.replaceVM(b.vm)
	}
	c.pendingReturns = rest
}

// replaceVM adds a new VM with the properties of a crashed one and an ID of its own.
func (p *player) replaceVM(v *vm) {
	replacement := &vm{inst: v.inst, runs: map[batch.TaskID]*run{}, slowdown: 1, bornAt: -initialUptime, lastReportAt: p.now}
	replacement.inst.ID += "+"
	p.fleet.vms = append(p.fleet.vms, replacement)
	p.fleet.byID[replacement.inst.ID] = replacement
	p.sched.SetInstances(p.now, p.fleet.instances())
}

// resizeVM sets the capacity of a VM to its full capacity over divisor.
func (p *player) resizeVM(v *vm, divisor float64) {
	if v.fullCapacity == (batch.Resources{}) {
		v.fullCapacity = v.inst.Capacity
	}
	v.inst.Capacity.MilliCPU = int64(float64(v.fullCapacity.MilliCPU) / divisor)
	v.inst.Capacity.MemoryMB = int64(float64(v.fullCapacity.MemoryMB) / divisor)
	p.sched.SetInstances(p.now, p.fleet.instances())
}
