// Package relay carries a leader's orders to VMs through other processes, the
// relays: they hold the connections to the VMs, write and read the bodies, and wait.
// The leader decides, and exchanges one small batch of messages with each relay every
// few milliseconds, so that neither its processor nor its link bounds the fleet.
//
// A relay decides nothing and keeps nothing that lasts. For the leader an order through
// a relay is like one that it sent itself: a refusal is certain; after any other error
// it may have been, or may yet be, carried out.
package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Instances returns the list of VMs.
type Instances func(ctx context.Context) ([]batch.Instance, error)

// Path is where each process serves the stream to a leader.
const Path = "/relay"

// protocol names the stream in the HTTP upgrade; another version gets another name.
const protocol = "rattanwall-relay/1"

const (
	// heartbeatInterval is how often either side of an idle stream sends an empty message.
	heartbeatInterval = 250 * time.Millisecond
	// idleTimeout is how long a stream may be without a message before it counts as
	// broken: a lost packet is sent again within 0.3 s, and VMs that are unheard for
	// 1.5 s get no new work.
	idleTimeout = 900 * time.Millisecond
	// writeTimeout bounds one write to a peer that does not read.
	writeTimeout = 900 * time.Millisecond
	// bufferBytes joins what one batch has to say into few writes.
	bufferBytes = 32 << 10
)

// hello opens a stream: who leads, and how often the relay may write.
type hello struct {
	Node  string
	Fence int64
	// Every is the pause between two messages of the relay.
	Every time.Duration
}

// orders is a message of the leader.
type orders struct {
	// SentAt is the leader's steady clock: a relay tells from it how long a message
	// was under way in comparison with the quickest.
	SentAt time.Duration
	// Named gives VMs the numbers by which the calls name them.
	Named []named
	// Payloads are those of jobs whose starts follow, now or later; Dropped are the
	// jobs whose payloads need not be kept any more.
	Payloads []payload
	Dropped  []string
	Stops    []stopCall
	Holds    []holdCall
	Paces    []paceCall
	Starts   []startCall
	Lists    []callHead
}

// addPayload has the relay keep a job's payload. One that the same message was to drop is
// there still.
func (o *orders) addPayload(p payload) {
	for i, other := range o.Dropped {
		if other == p.Job {
			o.Dropped = slices.Delete(o.Dropped, i, i+1)
			return
		}
	}
	o.Payloads = append(o.Payloads, p)
}

// dropPayload has the relay forget a job's payload, once it has taken this message's starts.
func (o *orders) dropPayload(job string) { o.Dropped = append(o.Dropped, job) }

type named struct {
	Number      int
	ID, Address string
}

// payload is what all tasks of a job are started with: it is sent once a stream, not
// once a task. At 2 KB it is ten times as long as all else that a start says.
type payload struct {
	Job string
	// Packed is the text, compressed.
	Packed []byte
	// From is the address of the process that has it, instead of Packed; Hash is that of
	// the text then.
	From string
	Hash uint64
}

// callHead is common to all calls.
type callHead struct {
	// Call numbers the calls of a stream.
	Call uint64
	// VM is a number that the stream has named.
	VM int
	// Within is the time that the call has left.
	Within time.Duration
}

type startCall struct {
	Head  callHead
	Order batch.StartOrder
}

type stopCall struct {
	Head  callHead
	Task  batch.TaskID
	Run   int64
	Fence int64
}

type paceCall struct {
	Head    callHead
	Task    batch.TaskID
	Run     int64
	Percent int
	Fence   int64
}

type holdCall struct {
	Head  callHead
	Order batch.HoldOrder
}

// kept names a payload that a relay has, by a hash of its text.
type kept struct {
	Job  string
	Hash uint64
}

// hashPayload is the hash of a payload.
func hashPayload(text string) uint64 { return xxhash.Sum64String(text) }

// results is a message of a relay.
type results struct {
	// Kept is told in the first message: what an earlier leader has told. A leader that
	// takes over while jobs run would send each payload to each relay again.
	Kept    []kept
	Results []result
	// Leaving is set from the moment at which the relay is about to stop.
	Leaving bool
}

// result is the outcome of a call.
type result struct {
	Call    uint64
	Refusal batch.Refusal
	// NoPayload is set with the refusal of a start whose payload the relay does not have.
	NoPayload bool
	// Error is the text of an error; with a refusal, its cause.
	Error string
	Clock time.Duration
	// Report is set after a hold, Listing after a look at the list of VMs.
	Report  *report
	Listing *listing

	// fullReport and list are what Report and Listing are the differences of, until the
	// result is queued.
	fullReport *batch.Report
	fullList   []batch.Instance
}

// err is the error of a call as the leader takes it.
func (r *result) err() error {
	var cause error
	if r.Error != "" {
		cause = relayedError(r.Error)
	}
	if r.Refusal != "" {
		return &batch.RefusalError{Reason: r.Refusal, Cause: cause}
	}
	return cause
}

// relayedError is an error that a relay told.
type relayedError string

// Error implements error.
func (e relayedError) Error() string { return "by relay: " + string(e) }
