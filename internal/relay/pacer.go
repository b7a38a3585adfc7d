package relay

import (
	"context"
	"time"
)

// pacer spaces the messages of one side of a stream: what comes within a pause is one
// message. A message costs either side some 25 us of processor time, whatever is in it.
type pacer struct {
	every time.Duration
	beat  *time.Ticker
	last  time.Time
}

func newPacer(every time.Duration) *pacer {
	return &pacer{every: every, beat: time.NewTicker(beatEvery)}
}

func (p *pacer) stop() { p.beat.Stop() }

// wait returns true when a message is due: something is to be said and the pause since
// the last message is over, or nothing was said for long. It returns false when ctx ends.
func (p *pacer) wait(ctx context.Context, kick <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.beat.C:
	case <-kick:
	}
	if rest := p.every - time.Since(p.last); rest > 0 {
		timer := time.NewTimer(rest)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
	}
	p.last = time.Now()
	return true
}
