// Package target says what rattanwall needs of a back end: it takes one request
// at a time on a connection, echoes the hop's id, and heeds the deadline it is
// told. The wire format lives in an adapter package.
//
// The contract that the at-most-once promise rests on: a target executes a
// request only once its body has arrived in full, and asks for the body of a
// guarded request when it is ready for it.
package target

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/hop"
	"github.com/rattanwall/rattanwall/internal/model"
)

// Request is one request for a target.
type Request struct {
	// HopID is unique to this request at this hop; the answer must carry it.
	HopID string
	// OriginID is the caller's own id, end to end.
	OriginID string
	Class    model.Class
	// Deadline is when the caller stops waiting; zero for standing watches.
	Deadline time.Time
	// Resume is the number of events that the caller of a standing watch has seen.
	Resume int64

	Method, Path, RawQuery string
	// Header is the caller's, without what is of one hop or between nodes.
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's, in bytes; below 0 when it is not known.
	Length int64
	// Policy says how a silent connection is dealt with.
	Policy hop.SendPolicy
}

// Answer is the head of a target's answer. Body must be read to its end, or
// closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's, in bytes; below 0 when it comes in chunks.
	Length int64
	Body   io.ReadCloser
}

// What Send may return besides a *hop.Error.
var (
	// ErrMismatch: the answer belongs to another request.
	ErrMismatch = errors.New("the answer carries another request's id")
	// ErrUnbounded: the end of the answer could not be told from a cut-off.
	ErrUnbounded = errors.New("the answer has no length")
)

// Target is a back end on one VM.
type Target interface {
	// Send passes a request on and returns the head of its answer. A *hop.Error
	// tells whether the target may have run the request; after the other errors
	// it may have.
	Send(ctx context.Context, r *Request) (*Answer, error)
	// Connections returns how many connections are open to it.
	Connections() int64
	// CloseIdle closes the connections that carry no request.
	CloseIdle()
}
