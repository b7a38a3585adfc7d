package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

const (
	// crashAfter is how long after its start a crashing task ends its VM; crashKnown how
	// much later the machine service has said so, crashBack when the machine has another.
	crashAfter = 10 * time.Millisecond
	crashKnown = 2100 * time.Millisecond
	crashBack  = 3 * time.Second
)

// crashing is what is known of tasks that end each VM which begins them.
type crashing struct {
	random *rand.Rand
	// share of the jobs that come until a moment have such a task, their first one.
	share float64
	until time.Duration
	// due are the VMs that are about to end, back those that come back.
	due, back []recovery
}

// mark decides whether a job that comes has a crashing task.
func (p *player) mark(j *job) {
	if c := &p.crashing; j.kind != servingKind && p.now < c.until && c.random.Float64() < c.share {
		j.crashes = true
		p.out.CrashingJobs++
	}
}

// began looks whether a run that has begun ends its VM.
func (p *player) began(o scheduler.Order) {
	if p.f.jobs[o.Task.Job].crashes && o.Task.Step == 0 && o.Task.Index == 0 {
		p.crashing.due = append(p.crashing.due, recovery{at: p.now + crashAfter, vm: p.f.byID[o.Instance.ID]})
	}
}

// crash ends the VMs that are to end, and brings back those that have ended.
func (p *player) crash() {
	c := &p.crashing
	due := c.due
	c.due = nil
	for _, d := range due {
		if d.vm.lost {
			continue
		}
		p.out.Crashes++
		p.lose(d.vm)
		p.lostAt[d.vm.inst.ID] = p.now + crashKnown - leaseOver
		for range 2 {
			p.sched.HoldFailed(p.now, d.vm.inst.ID, true)
		}
		c.back = append(c.back, recovery{at: p.now + crashBack, vm: d.vm})
	}
	rest := c.back[:0]
	for _, b := range c.back {
		if p.now < b.at {
			rest = append(rest, b)
			continue
		}
		p.revive(b.vm)
	}
	c.back = rest
}

// revive begins another life of a VM.
func (p *player) revive(v *vm) {
	next := &vm{inst: v.inst, runs: map[batch.TaskID]*run{}, slow: 1, bornAt: -oldStart, heardAt: p.now}
	next.inst.ID += "+"
	p.f.vms = append(p.f.vms, next)
	p.f.byID[next.inst.ID] = next
	p.sched.SetInstances(p.now, p.f.instances())
}

// resize changes what a VM has.
func (p *player) resize(v *vm, times float64) {
	if v.full == (batch.Resources{}) {
		v.full = v.inst.Capacity
	}
	v.inst.Capacity.MilliCPU = int64(float64(v.full.MilliCPU) / times)
	v.inst.Capacity.MemoryMB = int64(float64(v.full.MemoryMB) / times)
	p.sched.SetInstances(p.now, p.f.instances())
}
