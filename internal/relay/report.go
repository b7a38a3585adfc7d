package relay

import "github.com/rattanwall/rattanwall/internal/batch"

// report is a VM's report as the difference from the one that the same stream told
// before of that VM. Of ten rows mostly a few figures change within a second: a row
// takes some 12 bytes instead of 60, which counts where the leader's link is narrow.
type report struct {
	VM      int
	Born    int64
	Running []row
	Ended   []batch.RunEnd
	More    bool
}

// row is a run. Where Like is set, task, run and checkpoint are those of that row of
// the report before, counted from 1, unless they are told.
type row struct {
	Like       int
	Task       batch.TaskID
	Run        int64
	Checkpoint string
	// NoCheckpoint is set when the run has lost the checkpoint that it had.
	NoCheckpoint bool
	Progress     int
	Usage        float64
	HasUsage     bool
}

// lastReports are the rows told last of each VM, by its number.
type lastReports map[int][]batch.RunStatus

// diff returns a report as the difference from the last one, and keeps it.
func (l lastReports) diff(vm int, rep *batch.Report) *report {
	before := make(map[int64]int, len(l[vm]))
	for i := range l[vm] {
		before[l[vm][i].Run] = i + 1
	}
	short := &report{VM: vm, Born: rep.Born, Ended: rep.Ended, More: rep.MoreEnded, Running: make([]row, len(rep.Running))}
	for i := range rep.Running {
		r := &rep.Running[i]
		out := row{Progress: r.Progress, Usage: r.Usage, HasUsage: r.HasUsage, Checkpoint: r.Checkpoint}
		like := before[r.Run]
		if like == 0 || l[vm][like-1].Task != r.Task {
			// Members of a gang share the number of their runs.
			out.Task, out.Run = r.Task, r.Run
		} else {
			out.Like = like
			had := l[vm][like-1].Checkpoint
			if had == r.Checkpoint {
				out.Checkpoint = ""
			}
			out.NoCheckpoint = r.Checkpoint == "" && had != ""
		}
		short.Running[i] = out
	}
	l[vm] = rep.Running
	return short
}

// apply returns the whole report, and keeps it. ok is false when it goes back to a
// row that this side does not have.
func (l lastReports) apply(short *report) (rep batch.Report, ok bool) {
	before := l[short.VM]
	rep = batch.Report{Born: short.Born, Ended: short.Ended, MoreEnded: short.More, Running: make([]batch.RunStatus, len(short.Running))}
	for i := range short.Running {
		in := &short.Running[i]
		out := batch.RunStatus{Task: in.Task, Run: in.Run, Checkpoint: in.Checkpoint, Progress: in.Progress, Usage: in.Usage, HasUsage: in.HasUsage}
		if in.Like > 0 {
			if in.Like > len(before) {
				return batch.Report{}, false
			}
			like := &before[in.Like-1]
			out.Task, out.Run = like.Task, like.Run
			if out.Checkpoint == "" && !in.NoCheckpoint {
				out.Checkpoint = like.Checkpoint
			}
		}
		rep.Running[i] = out
	}
	l[short.VM] = rep.Running
	return rep, true
}
