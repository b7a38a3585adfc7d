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
	// batchAt is when there last was room for batch starts.
	batchAt Time
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
	left      int
	// full is set where the plan was kept from deciding more.
	full bool
}

// Room is how many starts may be decided.
type Room struct {
	// Starts bounds all of them, Batch those of batch jobs.
	Starts, Batch int
}

// Unthrottled has a plan start whatever can be started.
var Unthrottled = Room{Starts: math.MaxInt, Batch: math.MaxInt}

// short reports whether there is none for some.
func (r Room) short() bool { return r.Starts <= 0 || r.Batch <= 0 }

const (
	// backlogTarget is how long a start may wait to be given: urgent tasks have some 0.3 s for
	// all that is not their own work, and many of them two steps.
	backlogTarget = 80 * time.Millisecond
	// batchTarget is how far the leader may be behind and decide starts of batch jobs: urgent
	// ones pass it several times, with their job, their order and the end of each step.
	batchTarget = 25 * time.Millisecond
	// batchWaits is for how long a leader that is late decides no batch starts at most.
	batchWaits = 500 * time.Millisecond
	// firstBacklog is how many starts may wait at first: 5,000 a second. leastBacklog keeps
	// starts coming, mostBacklog is as many as may be under way through relays.
	firstBacklog = 256
	leastBacklog = 16
	mostBacklog  = 2048
	// backlogShrinks and backlogGrows change the size after each plan whose starts took longer
	// than the target, or less than half of it.
	backlogShrinks = 0.7
	backlogGrows   = 1.25
)

// NewBacklog returns an empty backlog.
func NewBacklog() *Backlog { return &Backlog{size: firstBacklog, batchSize: firstBacklog} }

// Room is how many more starts may be decided now, by a leader that is so late with what it
// does itself.
func (b *Backlog) Room(now Time, late time.Duration) Room {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := time.Duration(0)
	if len(b.batches) > 0 {
		oldest = now - b.batches[0].decidedAt
	}
	room := Room{Starts: max(0, int(b.size)-b.waiting)}
	if oldest > backlogTarget {
		room.Starts = 0
	}
	switch {
	case max(late, oldest) <= batchTarget:
		room.Batch = int(b.batchSize)
	case now-b.batchAt > batchWaits:
		// A process that is always late still has to get its batch work done.
		room.Batch = leastBacklog
	default:
		b.shrinkBatch()
	}
	if room.Batch = min(room.Batch, room.Starts); room.Batch > 0 {
		b.batchAt = now
	}
	return room
}

func (b *Backlog) shrinkBatch() { b.batchSize = max(b.batchSize*backlogShrinks, leastBacklog) }

// Decided notes the starts of a plan that had so much room left. It returns what is to be
// called once for each of them, with the time, when it is given or dropped.
func (b *Backlog) Decided(now Time, starts int, left Room) (given func(now Time)) {
	batch := &startBatch{decidedAt: now, left: starts, full: left.short()}
	b.mu.Lock()
	defer b.mu.Unlock()
	if starts > 0 {
		b.batches = append(b.batches, batch)
		b.waiting += starts
	}
	return func(now Time) { b.given(now, batch) }
}

func (b *Backlog) given(now Time, batch *startBatch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	if batch.left--; batch.left > 0 {
		return
	}
	for len(b.batches) > 0 && b.batches[0].left == 0 {
		b.batches = b.batches[1:]
	}
	took := now - batch.decidedAt
	switch {
	case took > backlogTarget:
		b.size = max(b.size*backlogShrinks, leastBacklog)
	case batch.full && took < backlogTarget/2:
		b.size = min(b.size*backlogGrows, mostBacklog)
	}
	switch {
	case took > batchTarget:
		b.shrinkBatch()
	case batch.full && took < batchTarget/2:
		b.batchSize = min(b.batchSize*backlogGrows, mostBacklog)
	}
}

// Figures are how many starts may wait and how many do.
func (b *Backlog) Figures() (size, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(b.size), b.waiting
}
