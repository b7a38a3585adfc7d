package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// FenceOf is the fencing token of the leader that started a run: run numbers carry
// it in their upper bits.
func FenceOf(run int64) int64 { return run >> runNumberBits }

// Stats are the state in counts that stay small however many VMs there are:
// what tells two leaders that believe different things apart.
type Stats struct {
	Fence int64
	// VMs are those that are known; Unlisted are off the store's list.
	VMs, Unlisted int
	// Unreported VMs have told this leader nothing yet; Silent ones have been unheard
	// for too long to be given work.
	Unreported, Unresponsive int
	// LeasedUnresponsive are Silent, and a lease may live there: what this leader
	// started may go on and end there without its hearing of it.
	LeasedUnresponsive int
	// Leased VMs are those where a lease may live, LongestLease is for how long.
	Leased       int
	LongestLease time.Duration
	// Awaited counts the VMs of earlier leaders that old jobs' tasks wait for.
	Awaited int
	// Withheld counts the VMs that get no work since an end of theirs is never
	// acknowledged.
	Withheld int
	// Runs are those that count.
	Runs int
	// OldestWaiting is how long the oldest step that could run has had a task without a place.
	OldestWaiting time.Duration
}

// Stats returns the state in counts.
func (s *Scheduler) Stats(now Time) Stats {
	f := Stats{Fence: s.fence, VMs: len(s.vms), Awaited: len(s.awaitedVMs)}
	for _, st := range s.readySteps {
		if st.waiting > 0 {
			f.OldestWaiting = max(f.OldestWaiting, now-st.runnableAt)
		}
	}
	for _, v := range s.vmList {
		x := v.status(now)
		f.LongestLease = max(f.LongestLease, x.LeaseLeft)
		f.Runs += x.Runs
		if x.LeaseLeft > 0 {
			f.Leased++
		}
		if !x.Listed {
			f.Unlisted++
		}
		if v.ackLimit > 0 {
			f.Withheld++
		}
		if !x.Reported {
			f.Unreported++
		}
		if v.isUnresponsive(now) {
			f.Unresponsive++
			if x.LeaseLeft > 0 {
				f.LeasedUnresponsive++
			}
		}
	}
	return f
}

// VMStatus is what a leader believes of a VM, with the ages of what it goes by.
type VMStatus struct {
	Listed bool
	// SinceUnlisted is since when it is off the list; 0 where it is listed.
	SinceUnlisted time.Duration
	// Reported is set once it has told this leader what it runs; SinceReport is since
	// when it has told nothing, from when it became known on.
	Reported    bool
	SinceReport time.Duration
	// LeaseLeft is how long a lease may live that this leader took, or an earlier one
	// before the VM was first heard; 0 is over, or none.
	LeaseLeft time.Duration
	Runs      int
}

// VMStatus returns what is believed of a VM; ok is false where it is not known.
func (s *Scheduler) VMStatus(now Time, id string) (x VMStatus, ok bool) {
	v := s.vms[id]
	if v == nil {
		return x, false
	}
	return v.status(now), true
}

func (v *vm) status(now Time) VMStatus {
	x := VMStatus{
		Listed: v.listed, Reported: v.hasReported, SinceReport: now - v.lastReportAt,
		LeaseLeft: max(0, v.leaseExpiry-now), Runs: len(v.runs),
	}
	if !v.listed {
		x.SinceUnlisted = now - v.unlistedAt
	}
	return x
}

// EndStatus is how an end that is told stands to what this leader knows.
type EndStatus string

// The standings of an end.
const (
	// EndOpen: its task is open.
	EndOpen EndStatus = "open"
	// EndDuplicate: this leader, or an earlier one, has taken it over before.
	EndDuplicate EndStatus = "again"
	// EndAfterDone: its task was done, or its job ended, before.
	EndAfterDone EndStatus = "task_done"
	// EndUnknownJob: this leader doesn't know its job.
	EndUnknownJob EndStatus = "unknown_job"
	// EndNotOpen: its occurrence is not open yet, or its job has no such task.
	EndNotOpen EndStatus = "not_open"
)

// EndStatus tells how an end stands that a start of a VM tells; ask before the report is
// taken over.
func (s *Scheduler) EndStatus(vm string, born int64, e *batch.RunEnd) EndStatus {
	if v := s.vms[vm]; v != nil && v.matchesBirth(born) && e.Seq <= v.processedSeq {
		return EndDuplicate
	}
	j := s.jobs[e.Task.Job]
	if j == nil {
		return EndUnknownJob
	}
	t := s.task(e.Task)
	switch {
	case (t != nil && t.done && t.doneRun == e.Run) || (t == nil && j.countedRun(e.Task) == e.Run):
		return EndDuplicate
	case j.state.Final() || e.Task.Occurrence < j.doneLow || j.doneOccs[e.Task.Occurrence]:
		return EndAfterDone
	case t == nil:
		return EndNotOpen
	case t.done:
		return EndAfterDone
	}
	return EndOpen
}
