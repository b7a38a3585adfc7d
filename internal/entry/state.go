package entry

import (
	"context"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/leader"
)

// State returns the job's state. NotFound is returned only based on the store's own response.
func (e *Entry) State(ctx context.Context, _ *batch.Queue, id string) (batch.State, error) {
	began := time.Now()
	state, err := e.state(ctx, id)
	e.observe("job_state", began, err)
	return state, err
}

func (e *Entry) state(ctx context.Context, id string) (batch.State, error) {
	leaderCtx, cancel := e.withTimeout(ctx, leaderTimeout)
	state, known, err := e.Peers.State(leaderCtx, id)
	cancel()
	if err == nil && known {
		return state, nil
	}
	if !e.StoreReachable() {
		return "", errkind.New(errkind.StoreUnavailable, "the job's state is not known here", errStoreUnresponsive)
	}
	readCtx, cancel := e.withTimeout(ctx, readTimeout)
	defer cancel()
	return e.storedState(readCtx, id)
}

func (e *Entry) storedState(ctx context.Context, id string) (batch.State, error) {
	unavailable := func(err error) error {
		return errkind.New(errkind.StoreUnavailable, "the job's state is not known here", err)
	}
	items, _, err := e.Store.Range(ctx, leader.JobKey(id))
	if err != nil {
		return "", unavailable(err)
	}
	state := batch.State("")
	for i := range items {
		switch items[i].Key {
		case leader.JobKey(id):
			if state == "" {
				state = batch.Queued
			}
		case leader.CancelKey(id):
			state = batch.Cancelled
		}
	}
	if state == "" {
		return "", errkind.Newf(errkind.NotFound, "no such job")
	}
	item, err := e.Store.Get(ctx, leader.ProgressKey(id))
	if err != nil {
		return "", unavailable(err)
	}
	if item == nil {
		return state, nil
	}
	final, err := leader.DecodeFinalState(id, item.Value)
	switch {
	case err != nil:
		return "", errkind.New(errkind.Internal, "", err)
	case final != "":
		return final, nil
	case state == batch.Queued:
		return batch.Running, nil
	}
	return state, nil
}

// Waiting returns the number of the queue's jobs of which no task has started.
func (e *Entry) Waiting(ctx context.Context, queue *batch.Queue) (int, error) {
	ctx, cancel := e.withTimeout(ctx, 2*leaderTimeout)
	defer cancel()
	n, err := e.Peers.Waiting(ctx, queue.Name)
	if err != nil {
		return 0, errkind.New(errkind.NoOwner, "no leader answers", err)
	}
	return n, nil
}
