package leader

import (
	"context"
	"time"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/pause"
)

// tokenPollInterval is how often it is looked whether a VM that has started again waits for a higher
// fencing token: it takes nothing new before.
const tokenPollInterval = 50 * time.Millisecond

// tokenLoop gets higher fencing tokens where they are needed. Most come with the writes of
// progress.
func (t *term) tokenLoop(ctx context.Context) {
	pause.Every(ctx, tokenPollInterval, func() {
		t.mu.Lock()
		wanted := t.sched.NeedsToken()
		t.mu.Unlock()
		if !wanted {
			return
		}
		token, err := t.commit(ctx, durable.Txn{
			Conditions: []durable.Condition{t.leaderCondition()},
			Writes:     []durable.Write{{Key: tokenKey, Value: []byte(t.Node)}},
		})
		if err != nil {
			if ctx.Err() == nil {
				t.log.Warn("token_not_raised", err, nil)
			}
			return
		}
		t.log.Event("token_raised", eventlog.Fields{"fence": t.tenure.Fence, "token": token})
		t.requestPlan()
	})
}

// token is the fencing token of what is sent to an instance.
func (t *term) token(id string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sched.Token(id)
}
