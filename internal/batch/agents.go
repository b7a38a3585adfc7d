package batch

import (
	"context"
	"time"
)

// Agents gives orders to instances. A *RefusalError is certain; after any
// other error the order may have been, or may yet be, carried out.
type Agents interface {
	Start(ctx context.Context, instance *Instance, o StartOrder) (time.Duration, error)
	Stop(ctx context.Context, instance *Instance, task TaskID, run, fence int64) error
	Pace(ctx context.Context, instance *Instance, task TaskID, run int64, percent int, fence int64) error
	Hold(ctx context.Context, instance *Instance, o HoldOrder) (Report, error)
}
