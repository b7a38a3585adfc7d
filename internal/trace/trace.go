// Package trace tells the story of one job, task or VM from the structured logs of
// all processes: every line that names it, and those that explain them.
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
)

// maxLine bounds one line of a log, in bytes; a longer one is an error.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time time.Time `json:"time"`
	// Node is where it was logged: the name that was given for the log.
	Node  string `json:"node"`
	Event string `json:"event"`
	// Fields are the line's other fields.
	Fields map[string]any `json:"fields"`
}

// Read returns the lines of one process's log. What comes before a line's first
// brace is left out, as collectors put times and names there; lines without one
// are no events and are left out too.
func Read(r io.Reader, node string) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	var lines []Line
	for scanner.Scan() {
		raw := scanner.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		if line, ok := decode(raw[start:], node); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "log of %s", node)
}

func decode(raw []byte, node string) (Line, bool) {
	fields := map[string]any{}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	// Run numbers have more digits than a float keeps.
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

func (l *Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// about reports whether the line names the job, task or VM.
func (l *Line) about(id string) bool {
	for _, field := range [...]string{"job", "task", "vm", "request"} {
		if v := l.text(field); v == id || (field == "task" && strings.HasPrefix(v, id+".")) {
			return true
		}
	}
	return false
}

// explains reports whether the line tells something of the VMs or of the leader
// that bears on whatever happened at the time.
func (l *Line) explains(vms map[string]bool) bool {
	switch l.Event {
	case "leader_elected", "leader_ready", "leader_deposed", "leader_stepped_down", "leader_fenced", "leader_lease_gone", "leader_lease_unrenewed":
		return true
	case "vm_suspected", "vm_gone", "vm_unanswered", "vm_unlisted", "vm_draining", "vm_waited_out":
		return vms[l.text("vm")]
	}
	return false
}

// Story returns, in order of time, the lines about id, and between the first and
// the last of them those that explain what became of it: changes of the leader,
// and what was believed of the VMs that ran it.
func Story(lines []Line, id string) []Line {
	vms := map[string]bool{}
	var first, last time.Time
	for i := range lines {
		l := &lines[i]
		if !l.about(id) {
			continue
		}
		if vm := l.text("vm"); vm != "" {
			vms[vm] = true
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	if first.IsZero() {
		return nil
	}
	var story []Line
	for i := range lines {
		l := &lines[i]
		within := !l.Time.Before(first) && !l.Time.After(last)
		if l.about(id) || (within && l.explains(vms)) {
			story = append(story, *l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story
}

// Keys are the names of the line's fields, in order.
func (l *Line) Keys() []string { return slices.Sorted(maps.Keys(l.Fields)) }
