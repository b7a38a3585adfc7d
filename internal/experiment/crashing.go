package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

const (
	// crashDelay is how long after its start a crashing task ends its VM; crashDetectionDelay how
	// much later the machine service has said so, crashRecoveryDelay when the machine has another.
	crashDelay          = 10 * time.Millisecond
	crashDetectionDelay = 2100 * time.Millisecond
	crashRecoveryDelay  = 3 * time.Second
)

// crashFault is what is known of tasks that end each VM which begins them.
type crashFault struct {
	random *rand.Rand
	// share of the jobs that come until a moment have such a task, their first one.
	share float64
	until time.Duration
	// pendingCrashes are the VMs that are about to end, back those that come back.
	pendingCrashes, pendingReturns []vmEvent
}

// markCrashing decides whether a job that comes has a crashing task.
func (p *player) markCrashing(j *job) {
	if c := &p.crashFault; j.kind != servingKind && p.now < c.until && c.random.Float64() < c.share {
		j.isCrashing = true
		p.result.CrashingJobs++
	}
}

// scheduleCrash looks whether a run that has begun ends its VM.
func (p *player) scheduleCrash(o scheduler.Order) {
	if p.fleet.jobs[o.Task.Job].isCrashing && o.Task.Step == 0 && o.Task.Index == 0 {
		p.crashFault.pendingCrashes = append(p.crashFault.pendingCrashes, vmEvent{at: p.now + crashDelay, vm: p.fleet.byID[o.Instance.ID]})
	}
}

// processCrashes ends the VMs that are to end, and brings back those that have ended.
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

// replaceVM begins another life of a VM.
func (p *player) replaceVM(v *vm) {
	next := &vm{inst: v.inst, runs: map[batch.TaskID]*run{}, slowdown: 1, bornAt: -initialUptime, lastReportAt: p.now}
	next.inst.ID += "+"
	p.fleet.vms = append(p.fleet.vms, next)
	p.fleet.byID[next.inst.ID] = next
	p.sched.SetInstances(p.now, p.fleet.instances())
}

// resizeVM changes what a VM has.
func (p *player) resizeVM(v *vm, times float64) {
	if v.fullCapacity == (batch.Resources{}) {
		v.fullCapacity = v.inst.Capacity
	}
	v.inst.Capacity.MilliCPU = int64(float64(v.fullCapacity.MilliCPU) / times)
	v.inst.Capacity.MemoryMB = int64(float64(v.fullCapacity.MemoryMB) / times)
	p.sched.SetInstances(p.now, p.fleet.instances())
}
