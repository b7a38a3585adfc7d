package relay

import (
	"context"
	"time"
)

// messagePacer spaces the messages of one side of a stream: what comes within a pause is one
// message. A message costs either side some 25 us of processor time, whatever is in it.
type messagePacer struct {
	interval   time.Duration
	heartbeat  *time.Ticker
	lastSentAt time.Time
}

func newMessagePacer(every time.Duration) *messagePacer {
	return &messagePacer{interval: every, heartbeat: time.NewTicker(heartbeatInterval)}
}

func (p *messagePacer) stop() { p.heartbeat.Stop() }

// wait returns true when a message is due: something is to be said and the pause since
// the last message is over, or nothing was said for long. It returns false when ctx ends.
func (p *messagePacer) wait(ctx context.Context, kick <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.heartbeat.C:
	case <-kick:
	}
	if rest := p.interval - time.Since(p.lastSentAt); rest > 0 {
		timer := time.NewTimer(rest)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
	}
	p.lastSentAt = time.Now()
	return true
}
