package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// unavailableRetryAfter is the delay after which a caller that was refused because the store is
// unreachable may retry. Usually only this process has lost the store, and the balancer sends
// the caller to another one; each second of waiting makes a short job late.
const unavailableRetryAfter = time.Second

// maxOutageRetryAfter bounds the delay for callers that are refused during an outage of the store
// that other processes see as well. No process can accept them before its end, and callers repeat
// only so often. An outage that has lasted for some time is assumed to last as long again.
const maxOutageRetryAfter = 3 * time.Second

// refusal returns the error for a job that was certainly not accepted.
func (e *Entry) refusal(cause error) *errkind.Error {
	err := unavailableError("not accepted", cause)
	if errors.Is(cause, errLeaderRefused) || (e.PeersLackStore != nil && e.PeersLackStore()) {
		err.RetryAfter = min(max(e.sinceStoreResponse(), unavailableRetryAfter), maxOutageRetryAfter)
	}
	return err
}

// sinceStoreResponse returns the time since the store last responded to this process.
func (e *Entry) sinceStoreResponse() time.Duration {
	return steady.Now() - max(e.reachability.LastResponseAt(), e.StoreRespondedAt())
}

func unavailableError(message string, cause error) *errkind.Error {
	err := errkind.New(errkind.StoreUnavailable, message, cause)
	err.RetryAfter = unavailableRetryAfter
	return err
}

// cancelledBefore returns the error for a job that was cancelled before it was stored. Its ID can
// be used again once the tombstone has been removed.
func cancelledBefore(cause error) *errkind.Error {
	err := errkind.New(errkind.AlreadyExists, "not accepted: the job was cancelled", cause)
	err.RetryAfter = voidingTTL
	return err
}
