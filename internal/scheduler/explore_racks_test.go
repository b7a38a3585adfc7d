package scheduler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler/locality"
)

// With the fault "racks", VMs are in racks and jobs prefer them, among them one that no VM is in.
// All other draws stay the same.
const (
	exploreRacks     = 3
	exploreFarFactor = 3
	// reviewTolerance is how long a wait may go on past its decision: plans come some tens of
	// milliseconds apart.
	reviewTolerance = 250 * time.Millisecond
)

// labelsOf returns the labels of a VM: its kind and its rack, which stays with its address.
func (w *world) labelsOf(v *modelVM) []string {
	if !w.faults.racks {
		return nil
	}
	sum := 0
	for _, c := range []byte(v.address) {
		sum += int(c)
	}
	return []string{"a", fmt.Sprintf("r%d", sum%exploreRacks)}
}

// preferRacks gives the steps of a job racks, by a generator of its own.
func (w *world) preferRacks(j *batch.Job) {
	if !w.faults.racks {
		return
	}
	rng := rand.New(rand.NewPCG(uint64(len(w.store.jobs)), 9))
	for i := range j.Steps {
		st := &j.Steps[i]
		switch n := rng.IntN(10); {
		case n < 6:
			// Half of these want the first rack; one in twelve wants one that does not exist.
			st.DataRack = fmt.Sprintf("r%d", max(0, rng.IntN(2*exploreRacks+1)-exploreRacks))
		case n < 8:
			st.SameRack = true
		}
		st.Gang = st.Tasks > 1 && j.Schedule == nil && rng.IntN(5) == 0 && !w.faults.crashingTasks
	}
}

func (w *world) farFactor() float64 {
	if w.faults.racks {
		return exploreFarFactor
	}
	return 0
}

// checkRackWaits checks that no leader waits for racks longer than it may: for a job with nothing
// running, or for a rack without usable VMs.
func (w *world) checkRackWaits(l *modelLeader) {
	if !w.faults.racks {
		return
	}
	for _, st := range l.s.readySteps {
		p := &st.place
		if p.since == 0 || p.tasks == 0 || w.now > p.until+reviewTolerance {
			// Nobody has decided about it again: other steps came first, or the leader stood still.
			continue
		}
		j := st.occ.job
		if j.running == 0 && j.idleWait > locality.MaxIdleWait+reviewTolerance && p.until > w.now {
			w.fail(batch.TaskID{Job: j.spec.ID}, "job %s with nothing running waits for rack %s after %v", j.spec.ID, p.rack, j.idleWait)
		}
		if left := p.until - w.now; left > time.Second {
			w.fail(batch.TaskID{Job: j.spec.ID}, "job %s is not decided about for %v", j.spec.ID, left)
		}
	}
}
