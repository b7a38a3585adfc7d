// Package pause waits.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
