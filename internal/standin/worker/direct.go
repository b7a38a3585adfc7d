package worker

import (
	"context"
	"net/http"
	"time"

	"github.com/rattanwall/rattanwall/internal/worker"
)

// Direct calls the stand-in's agent without a network, for the contract tests of
// the stand-in itself.
type Direct struct{ *Worker }

var _ worker.Agent = Direct{}

// Status implements worker.Agent.
func (d Direct) Status(ctx context.Context, after int64, wait time.Duration) (worker.Status, error) {
	return d.awaitChange(ctx, after, wait), ctx.Err()
}

// Start implements worker.Agent.
func (d Direct) Start(_ context.Context, req worker.StartRequest) error {
	if _, status := d.handleStart(req); status != http.StatusOK {
		return worker.ErrRefused
	}
	return nil
}

// Renew implements worker.Agent.
func (d Direct) Renew(_ context.Context, lease time.Duration) error {
	d.renew(lease)
	return nil
}

// Stop implements worker.Agent.
func (d Direct) Stop(_ context.Context, ref worker.Ref, checkpoint bool) (worker.Task, error) {
	t, ok := d.stop(ref, checkpoint)
	return t, noTaskError(ok)
}

// CheckpointAll implements worker.Agent.
func (d Direct) CheckpointAll(context.Context) ([]worker.Task, error) { return d.checkpointAll(), nil }

// Throttle implements worker.Agent.
func (d Direct) Throttle(_ context.Context, ref worker.Ref, share float64) error {
	return noTaskError(d.throttle(ref, share))
}

// Forget implements worker.Agent.
func (d Direct) Forget(_ context.Context, refs []worker.Ref) error {
	d.forget(refs)
	return nil
}

func noTaskError(ok bool) error {
	if !ok {
		return worker.ErrNoTask
	}
	return nil
}
