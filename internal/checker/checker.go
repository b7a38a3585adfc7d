// Package checker verifies nine invariants against the events recorded by the
// stand-ins and the callers, and counts the events that each was checked on.
package checker

import (
	"fmt"
	"sort"
	"time"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/standin/record"
	"github.com/rattanwall/rattanwall/internal/worker"
)

const (
	// leavingGrace is how long after the platform's list first shows a VM as
	// leaving the VM may still receive new work.
	leavingGrace = 3 * time.Second
	// maxConfigDelay is the maximum time from the acceptance of a configuration
	// until every reachable node uses it.
	maxConfigDelay = 10 * time.Second
	// maxExamples limits the examples kept of each violated invariant.
	maxExamples = 5
)

// Reason values of record.CallerAnswer events that the checks use.
const (
	// ReasonCut means that the caller's connection broke.
	ReasonCut = "cut"
)

// Result is the outcome of checking one invariant.
type Result struct {
	ID    string `json:"id"`
	Title string `json:"title"`
	// Checked counts the events that could have violated it.
	Checked int `json:"checked"`
	// Broken counts the violations; Examples describes the first ones.
	Broken   int      `json:"broken"`
	Examples []string `json:"examples,omitempty"`
}

func (r *Result) fail(e record.Event, format string, args ...any) {
	r.Broken++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf("event %d: ", e.Sequence)+fmt.Sprintf(format, args...))
	}
}

// Check verifies I1 to I9 against events, which it orders by time, and returns
// their results in that order.
func Check(events []record.Event) []Result {
	events = append([]record.Event(nil), events...)
	sort.SliceStable(events, func(i, j int) bool { return events[i].At.Before(events[j].At) })
	return []Result{
		checkCapacity(events), checkSinglePlacement(events), checkResume(events), checkAnswerIntegrity(events),
		checkNotRun(events), checkAtMostOnce(events), checkLeaving(events), checkPlannedStop(events), checkConfig(events),
	}
}

// Broken reports whether any invariant was violated.
func Broken(results []Result) bool {
	for _, r := range results {
		if r.Broken > 0 {
			return true
		}
	}
	return false
}

type vmLoad struct {
	capacity model.Resources
	used     model.Resources
}

func checkCapacity(events []record.Event) Result {
	r := Result{ID: "I1", Title: "no VM holds more than it can"}
	load := map[string]*vmLoad{}
	for _, e := range events {
		if e.Kind == record.VMStarted {
			load[e.VM] = &vmLoad{capacity: *e.Resources}
			continue
		}
		l := load[e.VM]
		if l == nil {
			continue
		}
		change, sign := loadChange(e)
		switch sign {
		case 1:
			r.Checked++
			l.used = l.used.Add(change)
			if !l.used.FitsIn(l.capacity) {
				r.fail(e, "%s holds %s of %s", e.VM, l.used, l.capacity)
			}
		case -1:
			l.used = l.used.Sub(change)
		}
		if e.Kind == record.VMGone {
			delete(load, e.VM)
		}
	}
	return r
}

// loadChange returns the resources that an event concerns and whether it adds
// them to a VM's load (1), removes them (-1) or leaves it unchanged (0).
func loadChange(e record.Event) (model.Resources, int) {
	slot := model.Resources{}
	if e.Class != model.Standing {
		slot.Slots = 1
	}
	switch e.Kind {
	case record.RequestStart:
		return slot, 1
	case record.RequestEnd:
		return slot, -1
	case record.ConnOpen:
		return model.Resources{Connections: 1}, 1
	case record.ConnClose:
		return model.Resources{Connections: 1}, -1
	case record.TaskStart:
		return *e.Resources, 1
	case record.TaskEnd:
		return *e.Resources, -1
	}
	return slot, 0
}

func checkSinglePlacement(events []record.Event) Result {
	r := Result{ID: "I2", Title: "no task runs in two places"}
	running := map[string]record.Event{}
	for _, e := range events {
		switch e.Kind {
		case record.TaskStart:
			r.Checked++
			if other, ok := running[e.ID]; ok {
				r.fail(e, "%s attempt %d starts on %s while attempt %d runs on %s", e.ID, e.Attempt, e.VM, other.Attempt, other.VM)
			}
			running[e.ID] = e
		case record.TaskEnd:
			if cur := running[e.ID]; cur.Attempt == e.Attempt {
				delete(running, e.ID)
			}
		case record.VMGone:
			for id, t := range running {
				if t.VM == e.VM {
					delete(running, id)
				}
			}
		}
	}
	return r
}

// taskHistory holds the latest attempt of a task and how it ended.
type taskHistory struct {
	attempt    int64
	ended      bool
	finished   bool
	stopped    bool
	checkpoint string
}

func checkResume(events []record.Event) Result {
	r := Result{ID: "I3", Title: "evicted work resumes exactly once"}
	tasks := map[string]*taskHistory{}
	for _, e := range events {
		switch e.Kind {
		case record.TaskStart:
			h := tasks[e.ID]
			if h == nil {
				tasks[e.ID] = &taskHistory{attempt: e.Attempt}
				continue
			}
			r.Checked++
			checkStart(&r, e, h)
			*h = taskHistory{attempt: e.Attempt}
		case record.TaskEnd:
			if h := tasks[e.ID]; h != nil && h.attempt == e.Attempt {
				h.ended, h.finished = true, e.Reason == string(worker.Finished)
				h.stopped, h.checkpoint = e.Reason == string(worker.Stopped), e.Checkpoint
			}
		case record.JobDone:
			checkJobDone(&r, e, tasks)
		}
	}
	return r
}

// checkStart checks a restart of a task against the end of its last attempt.
func checkStart(r *Result, e record.Event, h *taskHistory) {
	switch {
	case h.finished:
		r.fail(e, "%s starts again after it finished", e.ID)
	case e.Attempt <= h.attempt:
		r.fail(e, "%s attempt %d starts after attempt %d", e.ID, e.Attempt, h.attempt)
	case h.stopped && e.Checkpoint != h.checkpoint:
		r.fail(e, "%s resumes from checkpoint %q, was evicted at %q", e.ID, e.Checkpoint, h.checkpoint)
	}
}

// checkJobDone checks that each task of a job reported as done has finished.
func checkJobDone(r *Result, e record.Event, tasks map[string]*taskHistory) {
	for i := range e.Version {
		r.Checked++
		id := fmt.Sprintf("%s:%d", e.ID, i)
		if h := tasks[id]; h == nil || !h.finished {
			r.fail(e, "job %s is said to be done, task %d never finished", e.ID, i)
		}
	}
}

func checkAnswerIntegrity(events []record.Event) Result {
	r := Result{ID: "I4", Title: "the caller gets the whole answer to its own request"}
	for _, e := range events {
		if e.Kind != record.CallerAnswer || e.Outcome != string(errkind.Ran) {
			continue
		}
		r.Checked++
		if e.Mixed {
			r.fail(e, "request %s got a part passed off as whole, or another's answer", e.ID)
		}
	}
	return r
}

func checkNotRun(events []record.Event) Result {
	r := Result{ID: "I5", Title: "told 'not run' means it was not run"}
	started := map[string]bool{}
	for _, e := range events {
		if e.Kind == record.RequestStart {
			started[e.ID] = true
		}
	}
	for _, e := range events {
		if e.Kind != record.CallerAnswer || e.Outcome != string(errkind.NotRun) {
			continue
		}
		r.Checked++
		if started[e.ID] {
			r.fail(e, "request %s was told not run, and ran", e.ID)
		}
	}
	return r
}

func checkAtMostOnce(events []record.Event) Result {
	r := Result{ID: "I6", Title: "a non-idempotent request runs at most once"}
	runs := map[string]int{}
	for _, e := range events {
		switch {
		case e.Kind == record.CallerSent && !e.Idempotent:
			runs[e.ID] = 0
		case e.Kind == record.RequestStart:
			n, sent := runs[e.ID]
			if !sent {
				continue
			}
			r.Checked++
			if runs[e.ID] = n + 1; n+1 > 1 {
				r.fail(e, "request %s ran %d times", e.ID, n+1)
			}
		}
	}
	return r
}

func checkLeaving(events []record.Event) Result {
	r := Result{ID: "I7", Title: "a leaving target gets no new work"}
	leaving := map[string]time.Time{}
	for _, e := range events {
		switch e.Kind {
		case record.VMLeaving:
			leaving[e.VM] = e.At
		case record.VMStarted:
			delete(leaving, e.VM)
		case record.RequestStart, record.TaskStart:
			if len(leaving) == 0 {
				continue
			}
			r.Checked++
			if at, ok := leaving[e.VM]; ok && e.At.Sub(at) > leavingGrace {
				r.fail(e, "%s gets %s %s %v after it began to leave", e.VM, e.Kind, e.ID, e.At.Sub(at))
			}
		}
	}
	return r
}

func checkPlannedStop(events []record.Event) Result {
	r := Result{ID: "I8", Title: "a planned stop cuts off no request"}
	// open holds the IDs of the requests in progress, by node.
	open := map[string]map[string]bool{}
	duringStop := map[string]bool{}
	stopping := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case record.CallerSent:
			if open[e.Node] == nil {
				open[e.Node] = map[string]bool{}
			}
			open[e.Node][e.ID] = true
			if stopping[e.Node] {
				duringStop[e.ID] = true
			}
		case record.NodeStopping:
			stopping[e.Node] = true
			for id := range open[e.Node] {
				duringStop[id] = true
			}
		case record.NodeStopped:
			delete(stopping, e.Node)
		case record.CallerAnswer:
			delete(open[e.Node], e.ID)
			if duringStop[e.ID] {
				r.Checked++
				if e.Reason == ReasonCut {
					r.fail(e, "request %s was cut off while %s stopped", e.ID, e.Node)
				}
			}
		}
	}
	return r
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func checkConfig(events []record.Event) Result {
	r := Result{ID: "I9", Title: "an accepted configuration is soon in force everywhere and never reverts"}
	seen := map[string]int64{}
	cutOff := map[string]bool{}
	reachedAt := map[string]time.Time{}
	var accepted []record.Event
	for _, e := range events {
		switch e.Kind {
		case record.ConfigAccepted:
			accepted = append(accepted, e)
		case record.NodeStopped:
			delete(seen, e.Node)
		case record.NodeCutOff:
			cutOff[e.Node] = true
		case record.NodeReached:
			delete(cutOff, e.Node)
			reachedAt[e.Node] = e.At
		case record.ConfigInForce:
			r.Checked++
			if e.Mixed {
				r.fail(e, "%s shows a half-applied version %d", e.Node, e.Version)
			}
			if e.Version < seen[e.Node] {
				r.fail(e, "%s went from version %d back to %d", e.Node, seen[e.Node], e.Version)
			}
			seen[e.Node] = e.Version
			for _, a := range accepted {
				// An unreachable node cannot receive a new version; its time limit
				// starts when it is reachable again.
				since := later(a.At, reachedAt[e.Node])
				if !cutOff[e.Node] && e.At.Sub(since) > maxConfigDelay && e.Version < a.Version {
					r.fail(e, "%s uses version %d, %v after %d was accepted", e.Node, e.Version, e.At.Sub(a.At), a.Version)
				}
			}
		}
	}
	return r
}
