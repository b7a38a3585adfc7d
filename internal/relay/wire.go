// Package relay forwards a leader's orders to VMs through other processes, the relays.
// A relay keeps the connections to its VMs, writes requests, reads responses and waits
// for them. The leader makes all decisions and exchanges one small batch of messages
// with each relay every few milliseconds, so that neither its processor nor its link
// limits the size of the fleet.
//
// A relay makes no decisions and stores nothing durably. Errors mean the same as for an
// order that the leader sends itself: a refused order has certainly not been carried
// out; after any other error it may have been, or may still be, carried out.
package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Instances reads the list of VMs from the store.
type Instances func(ctx context.Context) ([]batch.Instance, error)

// Path is the URL path at which each process accepts the stream of a leader.
const Path = "/relay"

// protocol identifies the stream and its version in the HTTP upgrade. Each version has its own.
const protocol = "rattanwall-relay/1"

const (
	// heartbeatInterval is the time between the empty messages that each side sends on an
	// idle stream.
	heartbeatInterval = 250 * time.Millisecond
	// idleTimeout is the time without a message after which a stream counts as broken.
	// It is longer than the 0.3 s within which a lost packet is retransmitted, and shorter
	// than the 1.5 s after which VMs that have not reported get no new work.
	idleTimeout = 900 * time.Millisecond
	// writeTimeout bounds a write of a message to a peer that has stopped reading.
	writeTimeout = 900 * time.Millisecond
	// bufferBytes is the size of the buffers that join the parts of a batch into few writes.
	bufferBytes = 32 << 10
)

// hello is the leader's first message on a stream.
type hello struct {
	Node  string
	Fence int64
	// Every is the minimum time between two messages of the relay.
	Every time.Duration
}

// orders is a message from the leader to a relay.
type orders struct {
	// SentAt is the leader's monotonic clock. A relay uses it to compare a message's
	// transit time with that of the fastest one.
	SentAt time.Duration
	// Named assigns VMs the numbers by which calls refer to them.
	Named []named
	// Payloads are the payloads of jobs whose tasks are started by this or a later message.
	// Dropped lists the jobs whose payloads are no longer needed.
	Payloads []payload
	Dropped  []string
	Stops    []stopCall
	Holds    []holdCall
	Paces    []paceCall
	Starts   []startCall
	Lists    []callHead
}

// addPayload adds a job's payload to the message. If the same message was to drop the
// payload, it cancels the drop instead: the relay still has it.
func (o *orders) addPayload(p payload) {
	for i, other := range o.Dropped {
		if other == p.Job {
			o.Dropped = slices.Delete(o.Dropped, i, i+1)
			return
		}
	}
	o.Payloads = append(o.Payloads, p)
}

// dropPayload makes the relay discard a job's payload after it has processed the starts of
// this message.
func (o *orders) dropPayload(job string) { o.Dropped = append(o.Dropped, job) }

// named is a VM and the number assigned to it on a stream.
type named struct {
	Number      int
	ID, Address string
}

// payload is the input shared by all tasks of a job. It is sent once per stream, not once
// per task: at 2 KB it is ten times as large as the rest of a start order.
type payload struct {
	Job string
	// Packed is the compressed text.
	Packed []byte
	// From is set instead of Packed: the address of the relay from which to fetch the
	// payload. Hash is then the hash of the text.
	From string
	Hash uint64
}

// callHead holds the fields common to all calls.
type callHead struct {
	// Call identifies the call on its stream.
	Call uint64
	// VM is a number assigned by orders.Named.
	VM int
	// Within is the time left until the call's deadline.
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

// kept identifies a payload that a relay has stored, by its job and the hash of its text.
type kept struct {
	Job  string
	Hash uint64
}

// hashPayload returns the hash that identifies a payload's text among relays.
func hashPayload(text string) uint64 { return xxhash.Sum64String(text) }

// results is a message from a relay to the leader.
type results struct {
	// Kept is set in the first message: the payloads stored from an earlier leader. Without
	// it, a leader that takes over while jobs run would send each payload to each relay again.
	Kept    []kept
	Results []result
	// Leaving is set from when the relay begins to shut down.
	Leaving bool
}

// result is the outcome of one call.
type result struct {
	Call    uint64
	Refusal batch.Refusal
	// NoPayload is set when a start is refused because the relay lacks its payload.
	NoPayload bool
	// Error is the text of an error, or the cause of a refusal.
	Error string
	Clock time.Duration
	// Report is set after a hold, Listing after a read of the list of VMs.
	Report  *report
	Listing *listing

	// fullReport and fullList are the values from which Report and Listing are computed
	// when the result is queued.
	fullReport *batch.Report
	fullList   []batch.Instance
}

// err returns the error of the call, with refusals as *batch.RefusalError.
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

// relayedError is the text of an error that a relay reported.
type relayedError string

// Error implements error.
func (e relayedError) Error() string { return "by relay: " + string(e) }
