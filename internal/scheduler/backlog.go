package scheduler

import (
	"math"
	"sync"
	"time"
)

// Backlog bounds how long starts wait between their decision and their dispatch to VMs. Starts
// that were decided cannot be overtaken: if a leader at its processor limit decides more than it
// can send, urgent starts queue behind all others, its calls time out, and it loses its lease. It
// therefore decides only what it can send within a given time. The rest waits in the scheduler's
// queue, where each plan starts with the most urgent tasks at that time.
type Backlog struct {
	mu sync.Mutex
	// size is the maximum number of waiting starts, batchSize the maximum number of starts of
	// batch jobs per plan.
	size, batchSize float64
	// batches are the waiting starts by plan, the oldest first.
	batches []*startBatch
	waiting int
	// batchAllowedAt is when the budget last admitted batch starts.
	batchAllowedAt Time
}

// CountStarts returns the number of start orders among orders.
func CountStarts(orders []Order) int {
	n := 0
	for i := range orders {
		if orders[i].Kind == OrderStart {
			n++
		}
	}
	return n
}

// startBatch tracks the unsent starts of one plan.
type startBatch struct {
	decidedAt Time
	remaining int
	// limited is set if the budget kept the plan from deciding more starts.
	limited bool
}

// StartBudget is the number of starts that may be decided.
type StartBudget struct {
	// Starts bounds all starts, Batch those of batch jobs.
	Starts, Batch int
}

// UnlimitedStarts is a budget without limits.
var UnlimitedStarts = StartBudget{Starts: math.MaxInt, Batch: math.MaxInt}

// exhausted reports whether the budget has no starts left for some jobs.
func (r StartBudget) exhausted() bool { return r.Starts <= 0 || r.Batch <= 0 }

const (
	// maxStartDelay is the target for the time between decision and dispatch of a start. Urgent
	// tasks have some 0.3 s for everything but their own work, and many of their jobs have two
	// steps.
	maxStartDelay = 80 * time.Millisecond
	// maxBatchLag is the lag of the leader up to which it decides starts of batch jobs. Urgent
	// jobs incur the lag several times: with their submission, their start and the end of each
	// step.
	maxBatchLag = 25 * time.Millisecond
	// maxBatchWait is the longest time for which a lagging leader decides no batch starts.
	maxBatchWait = 500 * time.Millisecond
	// initialBacklog is the initial number of waiting starts, enough for 5,000 starts a second.
	// minBacklog keeps starts flowing, and maxBacklog is the number of starts that may be in
	// flight through relays.
	initialBacklog = 256
	minBacklog     = 16
	maxBacklog     = 2048
	// backlogShrinkFactor and backlogGrowthFactor adjust the sizes after each plan whose starts
	// took longer than the target, or less than half of it.
	backlogShrinkFactor = 0.7
	backlogGrowthFactor = 1.25
)

// NewBacklog returns an empty backlog.
func NewBacklog() *Backlog { return &Backlog{size: initialBacklog, batchSize: initialBacklog} }

// Budget returns how many more starts may be decided now, where lag is the delay of the leader's
// own work.
func (b *Backlog) Budget(now Time, lag time.Duration) StartBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := time.Duration(0)
	if len(b.batches) > 0 {
		oldest = now - b.batches[0].decidedAt
	}
	budget := StartBudget{Starts: max(0, int(b.size)-b.waiting)}
	if oldest > maxStartDelay {
		budget.Starts = 0
	}
	switch {
	case max(lag, oldest) <= maxBatchLag:
		budget.Batch = int(b.batchSize)
	case now-b.batchAllowedAt > maxBatchWait:
		// Batch jobs must progress even if the process always lags.
		budget.Batch = minBacklog
	default:
		b.shrinkBatch()
	}
	if budget.Batch = min(budget.Batch, budget.Starts); budget.Batch > 0 {
		b.batchAllowedAt = now
	}
	return budget
}

func (b *Backlog) shrinkBatch() { b.batchSize = max(b.batchSize*backlogShrinkFactor, minBacklog) }

// RecordPlan records the starts that a plan has decided and the budget that it left. The returned
// function must be called once for each start when it is sent or dropped.
func (b *Backlog) RecordPlan(now Time, starts int, left StartBudget) (sent func(now Time)) {
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

// Stats returns the maximum and the current number of waiting starts.
func (b *Backlog) Stats() (size, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(b.size), b.waiting
}
