// Package record keeps what the stand-ins saw really happen: which requests
// and tasks ran where and when, what callers were told, which VMs were said to
// leave. It is the ground truth that the invariant checker reads; nothing in a
// node writes to it.
package record

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/model"
)

// Kind says what an event is.
type Kind string

// The kinds of event.
const (
	RequestStart Kind = "request_start" // a target began to execute a request
	RequestEnd   Kind = "request_end"   // it ended, whole or not
	ConnOpen     Kind = "conn_open"     // a target accepted a connection
	ConnClose    Kind = "conn_close"
	TaskStart    Kind = "task_start"
	TaskEnd      Kind = "task_end"
	VMStarted    Kind = "vm_started" // with its capacity
	VMGone       Kind = "vm_gone"    // the VM died with all it held
	VMLeaving    Kind = "vm_leaving" // the platform's list says so from now on
	CallerSent   Kind = "caller_sent"
	CallerAnswer Kind = "caller_answer"
	NodeStopping Kind = "node_stopping" // a planned stop began
	NodeStopped  Kind = "node_stopped"
	// ConfigAccepted: an operator was told that a version was made.
	ConfigAccepted Kind = "config_accepted"
	// JobDone: a team was told that a job with Version tasks is done.
	JobDone Kind = "job_done"
	// NodeCutOff: nothing reaches the node, neither from the platform nor from
	// any node that the platform reaches, until NodeReached.
	NodeCutOff    Kind = "node_cut_off"
	NodeReached   Kind = "node_reached"
	ConfigWrite   Kind = "config_write"    // the store took a configuration
	ConfigInForce Kind = "config_in_force" // a node was seen to use a version
)

// Event is one thing that happened. Only the fields that its kind needs are set.
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
	// Reason says how a task or a request ended.
	Reason     string           `json:"reason,omitempty"`
	Checkpoint string           `json:"checkpoint,omitempty"`
	Class      model.Class      `json:"class,omitempty"`
	Resources  *model.Resources `json:"resources,omitempty"`
	// Outcome is what a caller was told: ran, not-run or unknown.
	Outcome string `json:"outcome,omitempty"`
	// Whole is set when the caller holds the whole answer to its own request.
	Whole bool `json:"whole,omitempty"`
	// Mixed is set when the caller holds an answer that is not to its request,
	// or a part that was passed off as the whole.
	Mixed bool `json:"mixed,omitempty"`
	// Idempotent is whether the caller declared the request idempotent.
	Idempotent bool          `json:"idempotent,omitempty"`
	Version    int64         `json:"version,omitempty"`
	Latency    time.Duration `json:"latency,omitempty"`
}

// Recorder collects events from many goroutines, in one order.
type Recorder struct {
	// Sink, if set, is written each event as a line of JSON at once, so that the
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

// Read reads events as Dump and Sink write them. A line cut off at the end, by
// the death of its writer, is left out.
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
