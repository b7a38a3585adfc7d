// Package target says what rattanwall needs of a back end: it takes HTTP
// requests, echoes the hop's request id and heeds the deadline it is told. The
// header names are the adapter's to know; the stand-in imports them.
package target

// The headers of the target's published protocol.
const (
	// HeaderRequestID carries an id unique to one hop; the target echoes it, so
	// that an answer that belongs to another request is recognised.
	HeaderRequestID = "X-Request-Id"
	// HeaderOriginID carries the caller's own id end to end.
	HeaderOriginID = "X-Origin-Id"
	// HeaderDeadlineMS is the time left for the request, in milliseconds.
	HeaderDeadlineMS = "X-Deadline-Ms"
	// HeaderClass is the request's class.
	HeaderClass = "X-Class"
	// HeaderResume is the last event a watch has seen; it goes on after it.
	HeaderResume = "X-Resume-From"
)
