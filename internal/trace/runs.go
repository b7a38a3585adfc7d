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

// done reports whether its VM told that the run was done, whether a leader took
// note of it or not.
func (r *Run) done() bool {
	return slices.ContainsFunc(r.Outcomes, func(o Outcome) bool {
		return o.Event == scheduler.EventEndWithheld || (o.Event == scheduler.EventRunEnded && o.Reason == string(batch.EndDone))
	})
}

// TwiceRuns returns the runs of those tasks in a story of which a run was done and
// yet a later one was started: of each task the runs in the order of their numbers,
// which is that of their starts. A task that failed and was done at its last try is
// none of them; one that was copied (run_copied) may be.
func TwiceRuns(story []Line) []Run {
	byTask := map[string][]*Run{}
	var order []string
	for i := range story {
		l := &story[i]
		task, number := l.text("task"), l.number("run")
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
		runs[k].note(l)
	}
	var twice []Run
	for _, task := range order {
		runs := byTask[task]
		slices.SortFunc(runs, func(a, b *Run) int { return cmp.Compare(a.Number, b.Number) })
		if !slices.ContainsFunc(runs[:len(runs)-1], (*Run).done) {
			continue
		}
		for _, r := range runs {
			twice = append(twice, *r)
		}
	}
	return twice
}

// note adds what a line tells of the run.
func (r *Run) note(l *Line) {
	if vm := l.text("vm"); vm != "" {
		r.VM = vm
	}
	switch l.Event {
	case scheduler.EventRunStarted:
		r.Started = l.Time
	case scheduler.EventRunEnded, scheduler.EventRunLost, scheduler.EventEndWithheld, scheduler.EventRunUnwanted, scheduler.EventRunAdopted,
		scheduler.EventStartRefused, scheduler.EventStartUnknown, scheduler.EventRunNotBegun:
		r.Outcomes = append(r.Outcomes, Outcome{Time: l.Time, Node: l.Node, Event: l.Event, Reason: l.text("reason")})
	}
}
