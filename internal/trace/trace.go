// Package trace builds the timeline of one job, task, VM or request from the structured logs of
// all processes: every line that names it, and the lines about VMs and leaders that explain them.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/scheduler"
)

// maxLineBytes bounds the length of a log line; a longer one is an error.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time time.Time `json:"time"`
	// Node is the name that the caller of Read gave to the log.
	Node  string `json:"node"`
	Event string `json:"event"`
	// Fields are the remaining fields, without the level.
	Fields map[string]any `json:"fields"`
	// Fence is the fencing token of the leader that started the run that the line names; 0 if
	// it names none. Leader is the node where that leader was elected; "" if the logs don't
	// contain the election.
	Fence  int64  `json:"run_fence,omitempty"`
	Leader string `json:"run_leader,omitempty"`
}

// Read returns the events of one process's log. Text before the first brace of a line is
// ignored, since log collectors put times and names there. Lines that are not events are skipped.
func Read(r io.Reader, node string) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		raw := scanner.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		if line, ok := decodeLine(raw[start:], node); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "log of %s", node)
}

func decodeLine(raw []byte, node string) (Line, bool) {
	fields := map[string]any{}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	// Run numbers have more digits than a float64 can represent.
	decoder.UseNumber()
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	event, _ := fields["msg"].(string)
	text, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if event == "" || err != nil {
		return Line{}, false
	}
	delete(fields, "msg")
	delete(fields, "time")
	delete(fields, "level")
	return Line{Time: at, Node: node, Event: event, Fields: fields}, true
}

func (l *Line) intField(field string) int64 {
	n, _ := l.Fields[field].(json.Number)
	i, _ := n.Int64()
	return i
}

func (l *Line) stringField(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// mentions reports whether the line names the job, task, VM or request, or a task of the job.
func (l *Line) mentions(id string) bool {
	for _, field := range [...]string{"job", "task", "vm", "request"} {
		if v := l.stringField(field); v == id || (field == "task" && strings.HasPrefix(v, id+".")) {
			return true
		}
	}
	return false
}

// isLeaderEvent reports whether the line is about a change of the leader, or a leader's lease or
// confirmation in the store.
func (l *Line) isLeaderEvent() bool {
	switch l.Event {
	case "leader_elected", "leader_ready", "leader_deposed", "leader_stepped_down", "leader_fenced", "leader_lease_gone", "leader_lease_unrenewed",
		"leader_unconfirmed", "leader_confirmed", "leader_ended":
		return true
	}
	return false
}

// isContext reports whether the line is about the state of one of the VMs or of the leader, which
// may explain events at that time.
func (l *Line) isContext(vms map[string]bool) bool {
	switch l.Event {
	case scheduler.EventVMListed, scheduler.EventVMHeard, scheduler.EventVMSuspected, scheduler.EventVMGone, scheduler.EventVMUnlisted,
		scheduler.EventVMDraining, scheduler.EventVMWaitedOut, "vm_unanswered", "vm_answers", "vm_replaced", "ends_unacknowledged":
		return vms[l.stringField("vm")]
	}
	return l.isLeaderEvent()
}

// subject holds the VMs, the fencing tokens of leaders and the time span of a timeline.
type subject struct {
	vms         map[string]bool
	fences      map[int64]bool
	first, last time.Time
}

// findSubject collects the subject from the lines that mention id.
func findSubject(lines []Line, id string) subject {
	s := subject{vms: map[string]bool{}, fences: map[int64]bool{}}
	for i := range lines {
		l := &lines[i]
		if !l.mentions(id) {
			continue
		}
		if vm := l.stringField("vm"); vm != "" {
			s.vms[vm] = true
		}
		if run := l.intField("run"); run != 0 {
			s.fences[scheduler.FenceOf(run)] = true
		}
		if s.first.IsZero() || l.Time.Before(s.first) {
			s.first = l.Time
		}
		if l.Time.After(s.last) {
			s.last = l.Time
		}
	}
	return s
}

// Timeline returns, in order of time, the lines that mention id and, between the first and the
// last of them, the lines that may explain them: changes of the leader, and the leaders' view of
// the VMs that ran it. Lines about the leaders that started its runs are included from their
// election to their end.
func Timeline(lines []Line, id string) []Line {
	subj := findSubject(lines, id)
	if subj.first.IsZero() {
		return nil
	}
	elected := electedNodes(lines)
	var timeline []Line
	for i := range lines {
		l := lines[i]
		inSpan := !l.Time.Before(subj.first) && !l.Time.After(subj.last)
		ofStartingLeader := l.isLeaderEvent() && subj.fences[l.intField("fence")]
		if included := l.mentions(id) || ofStartingLeader || (inSpan && l.isContext(subj.vms)); !included {
			continue
		}
		if run := l.intField("run"); run != 0 {
			l.Fence = scheduler.FenceOf(run)
			l.Leader = elected[l.Fence]
		}
		timeline = append(timeline, l)
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return timeline
}

// electedNodes returns the nodes where leaders were elected, by fencing token.
func electedNodes(lines []Line) map[int64]string {
	elected := map[int64]string{}
	for i := range lines {
		if lines[i].Event == "leader_elected" {
			elected[lines[i].intField("fence")] = lines[i].Node
		}
	}
	return elected
}

// Keys returns the names of the line's fields in alphabetical order.
func (l *Line) Keys() []string { return slices.Sorted(maps.Keys(l.Fields)) }
