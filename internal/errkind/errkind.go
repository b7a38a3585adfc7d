// Package errkind defines the closed list of error kinds that rattanwall reports to
// callers and operators, and a table that maps each kind to its response. Each kind
// states whether the requested work was run; callers base their retries on this.
package errkind

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of an error, one of the constants below.
type Kind string

// Outcome states whether the requested work was run.
type Outcome string

// The three outcomes. After NotRun a caller may repeat any request; after Unknown it
// may repeat only idempotent ones.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Kinds of error.
const (
	InvalidRequest   Kind = "invalid_request"
	Unauthorized     Kind = "unauthorized"
	Forbidden        Kind = "forbidden"
	NotFound         Kind = "not_found"
	AlreadyExists    Kind = "already_exists"
	BodyTooLarge     Kind = "body_too_large"
	VersionConflict  Kind = "version_conflict"
	VersionRequired  Kind = "version_required"
	QuotaExceeded    Kind = "quota_exceeded"
	TeamLimit        Kind = "team_limit"
	Overloaded       Kind = "overloaded"
	NoCapacity       Kind = "no_capacity"
	Draining         Kind = "draining"
	DeadlineNotRun   Kind = "deadline_not_run"
	TargetUnreached  Kind = "target_unreached"
	StoreUnavailable Kind = "store_unavailable"
	NotOwner         Kind = "not_owner"
	NoOwner          Kind = "no_owner"

	Timeout         Kind = "timeout"
	ConnectionLost  Kind = "connection_lost"
	AnswerMismatch  Kind = "answer_mismatch"
	AnswerUnbounded Kind = "answer_unbounded"
	StoreUnknown    Kind = "store_unknown"
	CallerGone      Kind = "caller_gone"
	Internal        Kind = "internal"
)

// statusClientClosedRequest is never sent, since the caller has disconnected; it only
// appears in logs and metrics.
const statusClientClosedRequest = 499

// Answer is the response to a caller for a kind of error.
type Answer struct {
	// Status is the HTTP status.
	Status  int
	Outcome Outcome
	// Retryable is set when the same request may succeed later.
	Retryable bool
	// RetryAfter is the suggested delay before a retry; 0 means none.
	RetryAfter time.Duration
	// Hint suggests to an operator where to look.
	Hint string
}

// Table maps each kind to its response. A test checks the README of the API and the
// operators' page against it.
var Table = map[Kind]Answer{
	InvalidRequest:  {http.StatusBadRequest, NotRun, false, 0, "the message names the field and the fix"},
	Unauthorized:    {http.StatusUnauthorized, NotRun, false, 0, "send 'Authorization: Bearer TOKEN' of a team or operator"},
	Forbidden:       {http.StatusForbidden, NotRun, false, 0, "the token is of another team; use that team's or an operator's"},
	NotFound:        {http.StatusNotFound, NotRun, false, 0, "list what exists with 'rattanwall service list' or 'job list'"},
	AlreadyExists:   {http.StatusConflict, NotRun, false, 0, "the name is taken by something else; choose another"},
	BodyTooLarge:    {http.StatusRequestEntityTooLarge, NotRun, false, 0, "raise max_body_bytes of the service or send less"},
	VersionConflict: {http.StatusPreconditionFailed, NotRun, true, 0, "read the configuration again and patch the version it has now"},
	VersionRequired: {http.StatusPreconditionRequired, NotRun, false, 0, "send If-Match with the version that the patch is against"},

	QuotaExceeded:    {http.StatusTooManyRequests, NotRun, true, 10 * time.Second, "see 'rattanwall team usage'; raise the team's quota or wait"},
	TeamLimit:        {http.StatusTooManyRequests, NotRun, true, time.Second, "the team has its max_in_flight requests under way"},
	Overloaded:       {http.StatusServiceUnavailable, NotRun, true, time.Second, "requests wait at this node; see rattanwall_queue_length"},
	NoCapacity:       {http.StatusServiceUnavailable, NotRun, true, time.Second, "no free slot or connection at any target; see 'rattanwall status'"},
	Draining:         {http.StatusServiceUnavailable, NotRun, true, 100 * time.Millisecond, "this node is stopping; another will serve"},
	DeadlineNotRun:   {http.StatusGatewayTimeout, NotRun, true, 0, "the deadline passed before any target was given the request"},
	TargetUnreached:  {http.StatusBadGateway, NotRun, true, time.Second, "targets refused connections; see 'rattanwall vm list'"},
	StoreUnavailable: {http.StatusServiceUnavailable, NotRun, true, 2 * time.Second, "the platform's store is away; nothing was written"},
	NotOwner:         {http.StatusMisdirectedRequest, NotRun, true, 100 * time.Millisecond, "ownership moved; the node asks the new owner"},
	NoOwner:          {http.StatusServiceUnavailable, NotRun, true, time.Second, "no node owns that shard now; see 'rattanwall status'"},

	Timeout:         {http.StatusGatewayTimeout, Unknown, false, 0, "the target was given the request and did not answer in time"},
	ConnectionLost:  {http.StatusBadGateway, Unknown, false, 0, "the connection broke after the request was sent"},
	AnswerMismatch:  {http.StatusBadGateway, Unknown, false, 0, "the target answered another request; check the service's X-Request-Id"},
	AnswerUnbounded: {http.StatusBadGateway, Unknown, false, 0, "the target's answer had no length, so a cut-off could not be told"},
	StoreUnknown:    {http.StatusServiceUnavailable, Unknown, true, 2 * time.Second, "the store's answer was lost; repeat the same call, it is recognised"},
	CallerGone:      {statusClientClosedRequest, Unknown, false, 0, "the caller closed its connection first"},
	Internal:        {http.StatusInternalServerError, Unknown, false, 0, "see the node's log under the request id"},
}

// Error is an error of a kind, with a message for the caller.
type Error struct {
	Kind    Kind
	Message string
	// RetryAfter, if set, overrides the value in Table.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of a kind. The message is sent to the caller; cause, if not
// nil, is only logged.
func New(kind Kind, message string, cause error) *Error {
	return &Error{Kind: kind, Message: message, cause: cause}
}

// Newf returns an error of a kind with a formatted message and no cause.
func Newf(kind Kind, format string, args ...any) *Error {
	return New(kind, fmt.Sprintf(format, args...), nil)
}

// Error implements error.
func (e *Error) Error() string {
	s := string(e.Kind)
	if e.Message != "" {
		s += ": " + e.Message
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Answer returns the entry of Table for the error's kind, with the error's own
// RetryAfter if it is set.
func (e *Error) Answer() Answer {
	a := Table[e.Kind]
	if e.RetryAfter > 0 {
		a.RetryAfter = e.RetryAfter
	}
	return a
}

// From returns the *Error in err's chain, or wraps err as Internal if there is none.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "", err)
}

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
