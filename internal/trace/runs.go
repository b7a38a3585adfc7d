package trace

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

// Run is what the logs tell of one run of a task.
type Run struct {
	Task   string `json:"task"`
	Number int64  `json:"run"`
	VM     string `json:"vm"`
	// Fence is the fencing token of the leader that started it, Leader where that
	// one was elected, "" where no log tells.
	Fence  int64  `json:"fence"`
	Leader string `json:"leader"`
	// Started is when its start was ordered; zero where no log tells.
	Started time.Time `json:"started"`
	// Outcomes are what was told of its end, by each leader, in order.
	Outcomes []Outcome `json:"outcomes"`
}

// Outcome is what one leader told of a run's end.
type Outcome struct {
	Time   time.Time `json:"time"`
	Node   string    `json:"node"`
	Event  string    `json:"event"`
	Reason string    `json:"reason,omitempty"`
}

// isDone reports whether its VM told that the run was done, whether a leader took
// note of it or not.
func (r *Run) isDone() bool {
	return slices.ContainsFunc(r.Outcomes, func(o Outcome) bool {
		return o.Event == scheduler.EventEndWithheld || (o.Event == scheduler.EventRunEnded && o.Reason == string(batch.EndDone))
	})
}

// outlivedStart reports whether the run was seen at its VM, or told to have ended there,
// after another was started. A lease that lapsed is told late as a matter of course.
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

// ranTwice reports whether runs, in the order of their numbers, are more than one
// after the other: an earlier one was done, or outlived the start of a later one.
func ranTwice(runs []*Run) bool {
	for i, r := range runs[:len(runs)-1] {
		if r.isDone() || slices.ContainsFunc(runs[i+1:], func(later *Run) bool { return r.outlivedStart(later.Started) }) {
			return true
		}
	}
	return false
}

// RepeatedRuns returns the runs of those tasks in a story of which a later run was
// started although an earlier one was done, or was yet to be: of each task the runs
// in the order of their numbers, which is that of their starts. A task that failed
// and was done at its last try is none of them; one that was copied (run_copied)
// may be.
func RepeatedRuns(story []Line) []Run {
	byTask := map[string][]*Run{}
	var order []string
	for i := range story {
		l := &story[i]
		task, number := l.stringField("task"), l.intField("run")
		if task == "" || number == 0 {
			continue
		}
		if byTask[task] == nil {
			order = append(order, task)
		}
		runs := byTask[task]
		k := slices.IndexFunc(runs, func(r *Run) bool { return r.Number == number })
		if k < 0 {
			k = len(runs)
			runs = append(runs, &Run{Task: task, Number: number, Fence: l.Fence, Leader: l.Leader})
			byTask[task] = runs
		}
		runs[k].addLine(l)
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

// addLine adds what a line tells of the run.
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
