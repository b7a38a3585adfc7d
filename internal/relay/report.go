package relay

import "github.com/rattanwall/rattanwall/internal/batch"

// report is a VM's report as the difference from the VM's previous report on the same
// stream. Usually only a few numbers in ten rows change within a second, so that a row
// takes about 12 bytes instead of 60. This matters where the leader's link is narrow.
type report struct {
	VM      int
	Born    int64
	Running []row
	Ended   []batch.RunEnd
	More    bool
}

// row is the status of a run. If Like is set, it is the number (from 1) of a row of the
// previous report with the same task and run, and with the same checkpoint unless
// Checkpoint or NoCheckpoint is set.
type row struct {
	Like       int
	Task       batch.TaskID
	Run        int64
	Checkpoint string
	// NoCheckpoint is set when the run no longer has the checkpoint of the previous report.
	NoCheckpoint bool
	Progress     int
	Usage        float64
	HasUsage     bool
}

// lastReports holds the rows of each VM's most recent report, by the VM's number.
type lastReports map[int][]batch.RunStatus

// diff returns the difference between rep and the VM's previous report, and stores rep.
func (l lastReports) diff(vm int, rep *batch.Report) *report {
	before := make(map[int64]int, len(l[vm]))
	for i := range l[vm] {
		before[l[vm][i].Run] = i + 1
	}
	delta := &report{VM: vm, Born: rep.Born, Ended: rep.Ended, More: rep.MoreEnded, Running: make([]row, len(rep.Running))}
	for i := range rep.Running {
		r := &rep.Running[i]
		out := row{Progress: r.Progress, Usage: r.Usage, HasUsage: r.HasUsage, Checkpoint: r.Checkpoint}
		base := before[r.Run]
		if base == 0 || l[vm][base-1].Task != r.Task {
			// Members of a gang have the same run number.
			out.Task, out.Run = r.Task, r.Run
		} else {
			out.Like = base
			lastCheckpoint := l[vm][base-1].Checkpoint
			if lastCheckpoint == r.Checkpoint {
				out.Checkpoint = ""
			}
			out.NoCheckpoint = r.Checkpoint == "" && lastCheckpoint != ""
		}
		delta.Running[i] = out
	}
	l[vm] = rep.Running
	return delta
}

// apply applies a difference to the VM's previous report, and returns and stores the
// result. ok is false when the difference refers to a row that does not exist.
func (l lastReports) apply(delta *report) (rep batch.Report, ok bool) {
	before := l[delta.VM]
	rep = batch.Report{Born: delta.Born, Ended: delta.Ended, MoreEnded: delta.More, Running: make([]batch.RunStatus, len(delta.Running))}
	for i := range delta.Running {
		in := &delta.Running[i]
		out := batch.RunStatus{Task: in.Task, Run: in.Run, Checkpoint: in.Checkpoint, Progress: in.Progress, Usage: in.Usage, HasUsage: in.HasUsage}
		if in.Like > 0 {
			if in.Like > len(before) {
				return batch.Report{}, false
			}
			base := &before[in.Like-1]
			out.Task, out.Run = base.Task, base.Run
			if out.Checkpoint == "" && !in.NoCheckpoint {
				out.Checkpoint = base.Checkpoint
			}
		}
		rep.Running[i] = out
	}
	l[delta.VM] = rep.Running
	return rep, true
}
