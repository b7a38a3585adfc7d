package durable

import (
	"context"
	"time"
)

type firstResponseKey struct{}

// WithFirstResponse returns a context for reads that fail if the store has not begun to respond
// within d. The response as a whole may take longer, up to the context's deadline: a long one is
// complete only after seconds on a narrow link.
func WithFirstResponse(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, firstResponseKey{}, d)
}

// FirstResponse returns the time set by WithFirstResponse, or otherwise.
func FirstResponse(ctx context.Context, otherwise time.Duration) time.Duration {
	if d, ok := ctx.Value(firstResponseKey{}).(time.Duration); ok {
		return d
	}
	return otherwise
}
