package scheduler

import (
	"math"
	"sync"
	"time"
)

// Backlog bounds how long starts wait between their decision and their being given. What has
// been decided can't be overtaken: a leader whose processor is full and that decides more than
// it can give has urgent work wait behind all of it, its calls time out, and it loses its
// lease. So no more is decided than it gives within a time, and the rest waits in the
// scheduler's queue, where each plan begins with what is most urgent then.
type Backlog struct {
	mu sync.Mutex
	// size is how many starts may wait, batchSize how many of batch jobs one plan may decide.
	size, batchSize float64
	// batches are those that wait, by plan, the oldest first.
	batches []*startBatch
	waiting int
	// batchAllowedAt is when there last was room for batch starts.
	batchAllowedAt Time
}

// CountStarts counts the starts among orders.
func CountStarts(orders []Order) int {
	n := 0
	for i := range orders {
		if orders[i].Kind == OrderStart {
			n++
		}
	}
	return n
}

// startBatch is the starts that one plan has decided.
type startBatch struct {
	decidedAt Time
	remaining int
	// limited is set where the plan was kept from deciding more.
	limited bool
}

// StartBudget is how many starts may be decided.
type StartBudget struct {
	// Starts bounds all of them, Batch those of batch jobs.
	Starts, Batch int
}

// UnlimitedStarts has a plan start whatever can be started.
var UnlimitedStarts = StartBudget{Starts: math.MaxInt, Batch: math.MaxInt}

// exhausted reports whether there is none for some.
func (r StartBudget) exhausted() bool { return r.Starts <= 0 || r.Batch <= 0 }

const (
	// maxStartDelay is how long a start may wait to be given: urgent tasks have some 0.3 s for
	// all that is not their own work, and many of them two steps.
	maxStartDelay = 80 * time.Millisecond
	// maxBatchLag is how far the leader may be behind and decide starts of batch jobs: urgent
	// ones pass it several times, with their job, their order and the end of each step.
	maxBatchLag = 25 * time.Millisecond
	// maxBatchWait is for how long a leader that is late decides no batch starts at most.
	maxBatchWait = 500 * time.Millisecond
	// initialBacklog is how many starts may wait at first: 5,000 a second. minBacklog keeps
	// starts coming, maxBacklog is as many as may be under way through relays.
	initialBacklog = 256
	minBacklog     = 16
	maxBacklog     = 2048
	// backlogShrinkFactor and backlogGrowthFactor change the size after each plan whose starts took longer
	// than the target, or less than half of it.
	backlogShrinkFactor = 0.7
	backlogGrowthFactor = 1.25
)

// NewBacklog returns an empty backlog.
func NewBacklog() *Backlog { return &Backlog{size: initialBacklog, batchSize: initialBacklog} }

// Budget is how many more starts may be decided now, by a leader that is so late with what it
// does itself.
func (b *Backlog) Budget(now Time, late time.Duration) StartBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := time.Duration(0)
	if len(b.batches) > 0 {
		oldest = now - b.batches[0].decidedAt
	}
	room := StartBudget{Starts: max(0, int(b.size)-b.waiting)}
	if oldest > maxStartDelay {
		room.Starts = 0
	}
	switch {
	case max(late, oldest) <= maxBatchLag:
		room.Batch = int(b.batchSize)
	case now-b.batchAllowedAt > maxBatchWait:
		// A process that is always late still has to get its batch work done.
		room.Batch = minBacklog
	default:
		b.shrinkBatch()
	}
	if room.Batch = min(room.Batch, room.Starts); room.Batch > 0 {
		b.batchAllowedAt = now
	}
	return room
}

func (b *Backlog) shrinkBatch() { b.batchSize = max(b.batchSize*backlogShrinkFactor, minBacklog) }

// RecordPlan notes the starts of a plan that had so much room left. It returns what is to be
// called once for each of them, with the time, when it is given or dropped.
func (b *Backlog) RecordPlan(now Time, starts int, left StartBudget) (given func(now Time)) {
	batch := &startBatch{decidedAt: now, remaining: starts, limited: left.exhausted()}
	b.mu.Lock()
	defer b.mu.Unlock()
	if starts > 0 {
		b.batches = append(b.batches, batch)
		b.waiting += starts
	}
	return func(now Time) { b.release(now, batch) }
}

func (b *Backlog) release(now Time, batch *startBatch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	if batch.remaining--; batch.remaining > 0 {
		return
	}
	for len(b.batches) > 0 && b.batches[0].remaining == 0 {
		b.batches = b.batches[1:]
	}
	took := now - batch.decidedAt
	switch {
	case took > maxStartDelay:
		b.size = max(b.size*backlogShrinkFactor, minBacklog)
	case batch.limited && took < maxStartDelay/2:
		b.size = min(b.size*backlogGrowthFactor, maxBacklog)
	}
	switch {
	case took > maxBatchLag:
		b.shrinkBatch()
	case batch.limited && took < maxBatchLag/2:
		b.batchSize = min(b.batchSize*backlogGrowthFactor, maxBacklog)
	}
}

// Stats are how many starts may wait and how many do.
func (b *Backlog) Stats() (size, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(b.size), b.waiting
}
