package experiment

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// initialUptime is the uptime of VMs at the start of the play.
	initialUptime = time.Hour
	// maxListingDelay bounds the time after a restart until the VM is listed with its new
	// incarnation.
	maxListingDelay = 1500 * time.Millisecond
)

// clock returns the VM's own monotonic clock: the time since its incarnation began.
func (v *vm) clock(now time.Duration) time.Duration { return now - v.bornAt }

// hasRestarts reports whether VMs of the scenario restart under their IDs.
func (s *Scenario) hasRestarts() bool {
	for _, f := range s.Faults {
		if f.Kind == FaultRestarted {
			return true
		}
	}
	return false
}

// stopVM ends the incarnation of a VM and closes its connections.
func (p *player) stopVM(v *vm) {
	if v.lost || v.down {
		return
	}
	p.result.Restarts++
	v.down = true
	v.runs, v.orderedRuns, v.ends = map[batch.TaskID]*run{}, nil, nil
	p.sched.HoldFailed(p.now, v.inst.ID, true)
}

// restartVM begins a new incarnation of a VM, which has no state of the previous one. The
// list of VMs shows it after a random delay of up to maxListingDelay.
func (p *player) restartVM(v *vm) {
	v.down, v.slowdown, v.failing = false, 1, false
	v.seq, v.reportedEnds, v.bornAt, v.lastReportAt = 0, 0, p.now, 0
	v.born++
	p.pendingListings = append(p.pendingListings, vmEvent{at: p.now + time.Duration(p.fleet.random.Int64N(int64(maxListingDelay))), vm: v})
}

// updateListings lists restarted VMs with their new incarnation once their delay is over.
func (p *player) updateListings() {
	remaining := p.pendingListings[:0]
	for _, r := range p.pendingListings {
		if p.now < r.at {
			remaining = append(remaining, r)
			continue
		}
		r.vm.inst.Born = r.vm.born
		p.sched.SetInstances(p.now, p.fleet.instances())
	}
	p.pendingListings = remaining
}
