package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// FenceOf returns the fencing token of the leader that started a run, which is in the
// upper bits of the run number.
func FenceOf(run int64) int64 { return run >> runNumberBits }

// Stats summarizes the state in a fixed number of counts, independent of the number of
// VMs. It shows where the views of two leaders differ.
type Stats struct {
	Fence int64
	// VMs counts the known VMs, Unlisted those that are not on the store's list.
	VMs, Unlisted int
	// Unreported counts the VMs that have not reported to this leader yet, Unresponsive
	// those whose last report is too old for them to be given work.
	Unreported, Unresponsive int
	// LeasedUnresponsive counts the unresponsive VMs with a possibly valid lease: runs that
	// this leader started may continue and end there without a report.
	LeasedUnresponsive int
	// Leased counts the VMs with a possibly valid lease, LongestLease is the longest
	// remaining time of such a lease.
	Leased       int
	LongestLease time.Duration
	// Awaited counts the VMs of earlier leaders whose first report tasks of old jobs wait for.
	Awaited int
	// Withheld counts the VMs that get no work because one of their ends is never
	// acknowledged.
	Withheld int
	// Runs counts the runs that occupy VMs.
	Runs int
	// OldestWaiting is the longest time since a step with waiting tasks became runnable.
	OldestWaiting time.Duration
	// SlowVMs counts the VMs that are known to be slow, and SpeedSpread is the ratio of the ninth
	// to the first decile of the known speeds; both are 0 while none is known.
	SlowVMs     int
	SpeedSpread float64
}

// Stats returns the current summary.
func (s *Scheduler) Stats(now Time) Stats {
	f := Stats{Fence: s.fence, VMs: len(s.vms), Awaited: len(s.awaitedVMs), SlowVMs: s.unevenness.slowVMs, SpeedSpread: s.unevenness.spread}
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

// VMStatus is a leader's view of a VM with the ages of the underlying information.
type VMStatus struct {
	Listed bool
	// SinceUnlisted is the time since the VM left the list; 0 if it is listed.
	SinceUnlisted time.Duration
	// Reported is set once the VM has reported its runs to this leader. SinceReport is the
	// time since the last report or, if there was none, since the VM became known.
	Reported    bool
	SinceReport time.Duration
	// LeaseLeft is how long a lease of this leader, or of an earlier one before the VM's
	// first report, may still be valid; 0 if expired or none.
	LeaseLeft time.Duration
	Runs      int
}

// VMStatus returns the status of a VM; ok is false if the VM is unknown.
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

// EndStatus classifies a reported end by this leader's view of its task.
type EndStatus string

// The statuses of an end.
const (
	// EndOpen: its task is open.
	EndOpen EndStatus = "open"
	// EndDuplicate: this leader or an earlier one has already processed it.
	EndDuplicate EndStatus = "again"
	// EndAfterDone: its task was already done or its job had ended.
	EndAfterDone EndStatus = "task_done"
	// EndUnknownJob: its job is unknown to this leader.
	EndUnknownJob EndStatus = "unknown_job"
	// EndNotOpen: its occurrence is not open yet or its job has no such task.
	EndNotOpen EndStatus = "not_open"
)

// EndStatus classifies an end reported by an incarnation of a VM. It must be called
// before the report is passed to HandleReport.
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
