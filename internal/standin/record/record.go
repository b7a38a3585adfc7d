// Package record collects the events that the stand-ins and the callers observe:
// which requests and tasks ran where and when, which outcomes callers received,
// which VMs were listed as leaving. The invariant checker uses them as ground
// truth; nodes never write to the record.
package record

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/model"
)

// Kind is the type of an event.
type Kind string

// The kinds of event.
const (
	RequestStart Kind = "request_start" // a target began to execute a request
	RequestEnd   Kind = "request_end"   // the execution ended, complete or not
	ConnOpen     Kind = "conn_open"     // a target accepted a connection
	ConnClose    Kind = "conn_close"
	TaskStart    Kind = "task_start"
	TaskEnd      Kind = "task_end"
	VMStarted    Kind = "vm_started" // with its capacity
	VMGone       Kind = "vm_gone"    // the VM ended with all its tasks and connections
	VMLeaving    Kind = "vm_leaving" // the platform's list shows the VM as leaving from now on
	CallerSent   Kind = "caller_sent"
	CallerAnswer Kind = "caller_answer"
	NodeStopping Kind = "node_stopping" // a planned stop began
	NodeStopped  Kind = "node_stopped"
	// ConfigAccepted: an operator's change was confirmed as a new version.
	ConfigAccepted Kind = "config_accepted"
	// JobDone: a job with Version tasks was reported to its team as done.
	JobDone Kind = "job_done"
	// NodeCutOff: neither the platform nor any node that it reaches can reach
	// the node, until NodeReached.
	NodeCutOff    Kind = "node_cut_off"
	NodeReached   Kind = "node_reached"
	ConfigWrite   Kind = "config_write"    // the store accepted a configuration
	ConfigInForce Kind = "config_in_force" // a node was observed to use a version
)

// Event is one observation. Only the fields that its kind needs are set.
type Event struct {
	Sequence int64     `json:"sequence"`
	At       time.Time `json:"at"`
	Kind     Kind      `json:"kind"`
	VM       string    `json:"vm,omitempty"`
	Node     string    `json:"node,omitempty"`
	// ID is the caller's request id, the task id, or the connection id.
	ID      string `json:"id,omitempty"`
	Hop     string `json:"hop,omitempty"`
	Attempt int64  `json:"attempt,omitempty"`
	// Reason is how a task or a request ended.
	Reason     string           `json:"reason,omitempty"`
	Checkpoint string           `json:"checkpoint,omitempty"`
	Class      model.Class      `json:"class,omitempty"`
	Resources  *model.Resources `json:"resources,omitempty"`
	// Outcome is the outcome reported to a caller: ran, not-run or unknown.
	Outcome string `json:"outcome,omitempty"`
	// Whole is set when the caller received the complete response to its own
	// request.
	Whole bool `json:"whole,omitempty"`
	// Mixed is set when the caller received the response to another request or a
	// partial one presented as complete, or when a node uses a version in part.
	Mixed bool `json:"mixed,omitempty"`
	// Idempotent is set when the caller declared the request idempotent.
	Idempotent bool          `json:"idempotent,omitempty"`
	Version    int64         `json:"version,omitempty"`
	Latency    time.Duration `json:"latency,omitempty"`
}

// Recorder collects events from many goroutines, in one order.
type Recorder struct {
	// Sink, if set, receives each event at once as a line of JSON, so that the
	// record outlives its process.
	Sink io.Writer

	mu     sync.Mutex
	events []Event
}

// Add appends e with the next sequence number and the current time.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Sequence = int64(len(r.events)) + 1
	e.At = time.Now()
	r.events = append(r.events, e)
	if r.Sink != nil {
		_ = json.NewEncoder(r.Sink).Encode(e)
	}
}

// Events returns a copy of all events so far.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// Read reads events as written by Dump and to Sink. An incomplete last line,
// left by a writer that was killed, is ignored.
func Read(r io.Reader) ([]Event, error) {
	dec := json.NewDecoder(r)
	var events []Event
	for {
		var e Event
		err := dec.Decode(&e)
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return events, nil
		case err != nil:
			return events, err
		}
		events = append(events, e)
	}
}

// Dump writes the events as JSON, one a line.
func (r *Recorder) Dump(w io.Writer) error {
	enc := json.NewEncoder(w)
	for _, e := range r.Events() {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}
