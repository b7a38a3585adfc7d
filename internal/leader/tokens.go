package leader

import (
	"context"
	"time"

	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/pause"
)

// tokenPollInterval is how often to check whether a restarted VM needs a higher fencing token,
// without which it accepts no new tasks.
const tokenPollInterval = 50 * time.Millisecond

// tokenLoop raises the fencing token when a VM needs a higher one. Mostly the writes of
// progress raise it first.
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

// token returns the fencing token for calls to an instance.
func (t *term) token(id string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sched.Token(id)
}
