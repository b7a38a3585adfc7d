package batch

import (
	"context"
	"time"
)

// Agents sends orders to instances. A *RefusalError means that the order was not
// carried out; after any other error it may have been, or may still be, carried out.
type Agents interface {
	Start(ctx context.Context, instance *Instance, o StartOrder) (time.Duration, error)
	Stop(ctx context.Context, instance *Instance, task TaskID, run, fence int64) error
	Pace(ctx context.Context, instance *Instance, task TaskID, run int64, percent int, fence int64) error
	Hold(ctx context.Context, instance *Instance, o HoldOrder) (Report, error)
}
