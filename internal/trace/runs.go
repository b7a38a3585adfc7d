package trace

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

// Run is one run of a task, as recorded in the logs.
type Run struct {
	Task   string `json:"task"`
	Number int64  `json:"run"`
	VM     string `json:"vm"`
	// Fence is the fencing token of the leader that started the run. Leader is the node where
	// that leader was elected, "" if the logs don't contain the election.
	Fence  int64  `json:"fence"`
	Leader string `json:"leader"`
	// Started is when the start was ordered; zero if it is not in the logs.
	Started time.Time `json:"started"`
	// Outcomes are the log lines of all leaders about how the run went on or ended, in order.
	Outcomes []Outcome `json:"outcomes"`
}

// Outcome is a leader's log line about how a run went on or ended.
type Outcome struct {
	Time   time.Time `json:"time"`
	Node   string    `json:"node"`
	Event  string    `json:"event"`
	Reason string    `json:"reason,omitempty"`
}

// isDone reports whether the run's VM reported it as done, even if the leader withheld that
// end.
func (r *Run) isDone() bool {
	return slices.ContainsFunc(r.Outcomes, func(o Outcome) bool {
		return o.Event == scheduler.EventEndWithheld || (o.Event == scheduler.EventRunEnded && o.Reason == string(batch.EndDone))
	})
}

// outlivedStart reports whether the run was reported as running, or its end was, after the given
// start of another run. The end of a run by an expired lease is always reported late and does not
// count.
func (r *Run) outlivedStart(start time.Time) bool {
	return !start.IsZero() && slices.ContainsFunc(r.Outcomes, func(o Outcome) bool {
		if !o.Time.After(start) {
			return false
		}
		switch o.Event {
		case scheduler.EventRunAdopted, scheduler.EventRunUnwanted:
			return true
		case scheduler.EventRunEnded:
			return o.Reason != string(batch.EndLapsed)
		}
		return false
	})
}

// ranTwice reports whether the task of the runs, given in the order of their numbers, was run
// again although an earlier run was done or outlived the start of a later one.
func ranTwice(runs []*Run) bool {
	for i, r := range runs[:len(runs)-1] {
		if r.isDone() || slices.ContainsFunc(runs[i+1:], func(later *Run) bool { return r.outlivedStart(later.Started) }) {
			return true
		}
	}
	return false
}

// RepeatedRuns returns the runs of those tasks in a timeline for which a later run was started
// although an earlier one was done or was still running: for each task, its runs in the order of
// their numbers, which is that of their starts. A task that was retried after a failure is not
// included; one that was copied (run_copied) may be.
func RepeatedRuns(timeline []Line) []Run {
	byTask := map[string][]*Run{}
	var order []string
	for i := range timeline {
		l := &timeline[i]
		task, number := l.stringField("task"), l.intField("run")
		if task == "" || number == 0 {
			continue
		}
		if byTask[task] == nil {
			order = append(order, task)
		}
		runs := byTask[task]
		index := slices.IndexFunc(runs, func(r *Run) bool { return r.Number == number })
		if index < 0 {
			index = len(runs)
			runs = append(runs, &Run{Task: task, Number: number, Fence: l.Fence, Leader: l.Leader})
			byTask[task] = runs
		}
		runs[index].addLine(l)
	}
	var found []Run
	for _, task := range order {
		runs := byTask[task]
		slices.SortFunc(runs, func(a, b *Run) int { return cmp.Compare(a.Number, b.Number) })
		if !ranTwice(runs) {
			continue
		}
		for _, r := range runs {
			found = append(found, *r)
		}
	}
	return found
}

// addLine adds the information of a log line to the run.
func (r *Run) addLine(l *Line) {
	if vm := l.stringField("vm"); vm != "" {
		r.VM = vm
	}
	switch l.Event {
	case scheduler.EventRunStarted:
		r.Started = l.Time
	case scheduler.EventRunEnded, scheduler.EventRunLost, scheduler.EventEndWithheld, scheduler.EventRunUnwanted, scheduler.EventRunAdopted,
		scheduler.EventStartRefused, scheduler.EventStartUnknown, scheduler.EventRunNotBegun:
		r.Outcomes = append(r.Outcomes, Outcome{Time: l.Time, Node: l.Node, Event: l.Event, Reason: l.stringField("reason")})
	}
}
