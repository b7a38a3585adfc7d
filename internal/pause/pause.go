// Package pause provides waits that end with a context.
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

// Every calls do once per interval until ctx ends, for the first time after one
// interval.
func Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		do()
	}
}
