package experiment

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// initialUptime is how long before the play VMs began that have not started again.
	initialUptime = time.Hour
	// maxListingDelay is how long after it has started again a VM's entry tells so at the latest.
	maxListingDelay = 1500 * time.Millisecond
)

// clock is the VM's own: the time since its start.
func (v *vm) clock(now time.Duration) time.Duration { return now - v.bornAt }

// hasRestarts reports whether VMs of the scenario start again under their IDs.
func (s *Scenario) hasRestarts() bool {
	for _, f := range s.Faults {
		if f.Kind == FaultRestarted {
			return true
		}
	}
	return false
}

// stopVM ends a start of a VM; its connections are closed.
func (p *player) stopVM(v *vm) {
	if v.lost || v.down {
		return
	}
	p.result.Restarts++
	v.down = true
	v.runs, v.orderedRuns, v.ends = map[batch.TaskID]*run{}, nil, nil
	p.sched.HoldFailed(p.now, v.inst.ID, true)
}

// restartVM begins the next start of a VM, which knows nothing of the one before. Its entry
// tells so a little later.
func (p *player) restartVM(v *vm) {
	v.down, v.slowdown, v.failing = false, 1, false
	v.seq, v.reportedEnds, v.bornAt, v.lastReportAt = 0, 0, p.now, 0
	v.born++
	p.pendingListings = append(p.pendingListings, vmEvent{at: p.now + time.Duration(p.fleet.random.Int64N(int64(maxListingDelay))), vm: v})
}

// updateListings brings the entries of VMs that have started again up to date.
func (p *player) updateListings() {
	rest := p.pendingListings[:0]
	for _, r := range p.pendingListings {
		if p.now < r.at {
			rest = append(rest, r)
			continue
		}
		r.vm.inst.Born = r.vm.born
		p.sched.SetInstances(p.now, p.fleet.instances())
	}
	p.pendingListings = rest
}
