// Package route serves callers' requests. Any node accepts any request, sends it
// to one of its own VMs or to the node that owns another, and passes the answer
// back. A truncated answer is visible as such to the caller, and an answer to
// another request is never passed on.
package route

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/model"
)

// Headers that callers send.
const (
	// HeaderRequestID is the caller's ID of the request; generated if absent.
	HeaderRequestID = "Rattanwall-Request-Id"
	// HeaderClass is quick (default), heavy or standing.
	HeaderClass = "Rattanwall-Class"
	// HeaderTimeoutMS is how long the caller waits, in milliseconds.
	HeaderTimeoutMS = "Rattanwall-Timeout-Ms"
	// HeaderIdempotent is "true" when the request may be run more than once. GET,
	// HEAD and OPTIONS requests are idempotent without it.
	HeaderIdempotent = "Rattanwall-Idempotent"
	// HeaderResume is the number of the last event that the caller of a standing
	// watch received. In the trailer of an answer it is the value to resume with.
	HeaderResume = "Rattanwall-Resume"
)

// Headers of answers to callers.
const (
	// HeaderOutcome is ran, not-run or unknown.
	HeaderOutcome = "Rattanwall-Outcome"
	// HeaderError is the kind of error.
	HeaderError = "Rattanwall-Error"
	// HeaderEnd is the reason why a standing watch ended, in the trailer.
	HeaderEnd = "Rattanwall-End"
)

// Headers and the path prefix of requests between nodes.
const (
	headerTeam    = "Rattanwall-Team"
	headerMayWait = "Rattanwall-May-Wait-Ms"
	headerFree    = "Rattanwall-Free"
	forwardPrefix = "/forward/"
)

// hopByHop headers apply to one connection and are not passed on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// internalHeaders are not passed on to targets.
var internalHeaders = []string{
	"Authorization", headerTeam, headerMayWait, headerFree, HeaderRequestID, HeaderClass,
	HeaderTimeoutMS, HeaderIdempotent, HeaderResume,
}

func strip(h http.Header, names []string) {
	for _, n := range names {
		h.Del(n)
	}
}

// WriteError answers with the errkind error that err holds. It discards the headers
// set so far.
func WriteError(w http.ResponseWriter, err error) {
	e := errkind.From(err)
	a := e.Answer()
	h := w.Header()
	for name := range h {
		delete(h, name)
	}
	h.Set(HeaderError, string(e.Kind))
	h.Set(HeaderOutcome, string(a.Outcome))
	if a.RetryAfter > 0 {
		// The header is in whole seconds, rounded up.
		h.Set("Retry-After", strconv.Itoa(int((a.RetryAfter+time.Second-1)/time.Second)))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(a.Status)
	_, _ = w.Write([]byte(string(e.Kind) + ": " + e.Message + "\n"))
}

// idempotent reports whether a request may be run more than once.
func idempotent(r *http.Request, class model.Class) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return class == model.Standing || r.Header.Get(HeaderIdempotent) == "true"
}
