package leader

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

// modelStoreInterval is the interval at which the learned model is stored; a successor lacks
// at most what was learned since.
const modelStoreInterval = 3 * time.Second

// modelLoop stores the learned model periodically.
func (t *term) modelLoop(ctx context.Context) {
	pause.Every(ctx, modelStoreInterval, func() {
		if err := t.storeModel(ctx); err != nil && ctx.Err() == nil {
			t.log.Warn("model_not_stored", err, nil)
		}
	})
}

func (t *term) storeModel(ctx context.Context) error {
	if !t.modelRead && !t.loadModel(ctx) {
		// The stored model is worth more than what was learned since.
		return nil
	}
	t.mu.Lock()
	model := t.sched.InterferenceModel()
	t.mu.Unlock()
	if len(model.Pairs) == 0 {
		return nil
	}
	value, err := json.Marshal(model)
	if err != nil {
		return err
	}
	_, err = t.commit(ctx, durable.Txn{
		Conditions: []durable.Condition{t.leaderCondition()},
		Writes:     []durable.Write{{Key: modelKey, Value: value}},
	})
	return err
}

// loadModel reads the model that an earlier leader stored, and reports whether the stored
// state is known. A failure does not prevent leading, since the leader can learn anew; but a
// model that could not be read must not be overwritten.
func (t *term) loadModel(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	item, err := t.Store.Get(ctx, modelKey)
	if err != nil {
		t.log.Warn("model_not_read", err, nil)
		return false
	}
	t.modelRead = true
	if item == nil {
		return true
	}
	var model scheduler.InterferenceModel
	if err := json.Unmarshal(item.Value, &model); err != nil {
		t.log.Warn("model_unreadable", err, nil)
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sched.SetInterferenceModel(model)
	return true
}
