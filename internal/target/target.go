// Package target defines the interface to a back end. A target processes one
// request at a time on a connection, echoes the hop ID, and observes the deadline
// of the request. The wire format is in an adapter package.
//
// The at-most-once guarantee depends on this contract: a target executes a request
// only after its body has arrived in full, and requests the body of a guarded
// request when it is ready for it.
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

// Request is a request to a target.
type Request struct {
	// HopID is unique to this request at this hop; the answer must repeat it.
	HopID string
	// OriginID is the caller's ID of the request, the same at all hops.
	OriginID string
	Class    model.Class
	// Deadline is when the caller stops waiting; zero for a standing watch.
	Deadline time.Time
	// Resume is the number of events that the caller of a standing watch has received.
	Resume int64

	Method, Path, RawQuery string
	// Header holds the caller's headers without hop-by-hop headers and those between
	// nodes.
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of Body in bytes; below 0 if unknown.
	Length int64
	// Policy controls when a request on an unresponsive connection is abandoned.
	Policy hop.SendPolicy
}

// Answer is a target's answer. Body must be read to its end or closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of Body in bytes; below 0 for a chunked body.
	Length int64
	Body   io.ReadCloser
}

// Errors that Send returns besides a *hop.Error.
var (
	// ErrMismatch means that the answer belongs to another request.
	ErrMismatch = errors.New("the answer carries another request's id")
	// ErrUnbounded means that the end of the answer cannot be distinguished from a
	// truncation.
	ErrUnbounded = errors.New("the answer has no length")
)

// Target is the back end on one VM.
type Target interface {
	// Send sends a request and returns its answer with an unread body. A *hop.Error
	// states whether the target may have run the request; after other errors it may
	// have.
	Send(ctx context.Context, r *Request) (*Answer, error)
	// Connections returns the number of open connections to the target.
	Connections() int64
	// CloseIdle closes the connections that carry no request.
	CloseIdle()
}
