package experiment

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// oldStart is how long before the play VMs began that have not started again.
	oldStart = time.Hour
	// heartbeat is how long after it has started again a VM's entry tells so at the latest.
	heartbeat = 1500 * time.Millisecond
)

// clock is the VM's own: the time since its start.
func (v *vm) clock(now time.Duration) time.Duration { return now - v.bornAt }

// restarts reports whether VMs of the scenario start again under their IDs.
func (s *Scenario) restarts() bool {
	for _, f := range s.Faults {
		if f.Kind == FaultRestarted {
			return true
		}
	}
	return false
}

// endStart ends a start of a VM; its connections are closed.
func (p *player) endStart(v *vm) {
	if v.lost || v.down {
		return
	}
	p.out.Restarts++
	v.down = true
	v.runs, v.list, v.ends = map[batch.TaskID]*run{}, nil, nil
	p.sched.HoldFailed(p.now, v.inst.ID, true)
}

// startAgain begins the next start of a VM, which knows nothing of the one before. Its entry
// tells so a little later.
func (p *player) startAgain(v *vm) {
	v.down, v.slow, v.failing = false, 1, false
	v.seq, v.told, v.bornAt, v.heardAt = 0, 0, p.now, 0
	v.born++
	p.relist = append(p.relist, recovery{at: p.now + time.Duration(p.f.random.Int64N(int64(heartbeat))), vm: v})
}

// relistVMs brings the entries of VMs that have started again up to date.
func (p *player) relistVMs() {
	rest := p.relist[:0]
	for _, r := range p.relist {
		if p.now < r.at {
			rest = append(rest, r)
			continue
		}
		r.vm.inst.Born = r.vm.born
		p.sched.SetInstances(p.now, p.f.instances())
	}
	p.relist = rest
}
