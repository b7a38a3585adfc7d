//go:build review3

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

type runID struct {
	task   string
	number int64
}

// record is what clients, workers and the platform have seen.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	// closed is set once the case is over; what ends then isn't written.
	closed bool
	starts map[string]int
	// liveSince holds when each run that goes on has begun.
	liveSince map[runID]time.Time
	// twice counts the starts of tasks of which another run went on.
	twice int
	// onStop observes the orders to stop; nil if the case has no need of it.
	onStop func(k *worker, task string, held *run)
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fail("%v", err)
	}
	return &record{file: f, began: time.Now(), starts: map[string]int{}, liveSince: map[runID]time.Time{}}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

func (r *record) line(format string, args ...any) {
	if r.closed {
		return
	}
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// atWork reports whether a run of the task that lasts is at work.
func (r *record) atWork(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, since := range r.liveSince {
		if id.task == task && time.Since(since) > startup {
			return true
		}
	}
	return false
}

func (r *record) started(k *worker, task string, number int64, spec string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	for id := range r.liveSince {
		if id.task == task && id.number != number {
			r.twice++
			r.line("TWICE task=%s run=%d begins on worker=%s while run=%d goes on", task, number, k.id, id.number)
		}
	}
	r.liveSince[runID{task, number}] = time.Now()
	r.line("start task=%s run=%d worker=%s", task, number, k.id)
}

func (r *record) ended(k *worker, task string, number int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.liveSince, runID{task, number})
	r.line("end task=%s run=%d worker=%s how=%s", task, number, k.id, how)
}

// stopping is called before an order to stop ends a run.
func (r *record) stopping(k *worker, task string, held *run) {
	if r.onStop != nil {
		r.onStop(k, task, held)
	}
}

func (r *record) paced(k *worker, task string, number int64, percent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("pace task=%s run=%d worker=%s percent=%d", task, number, k.id, percent)
}

func (r *record) noted(k *worker, task string, number int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("noted task=%s run=%d worker=%s how=%s", task, number, k.id, how)
}

// startsOf returns how many runs of a task have begun.
func (r *record) startsOf(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[task]
}

// runningOf returns how many runs of a job go on.
func (r *record) runningOf(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id := range r.liveSince {
		if strings.HasPrefix(id.task, job+".") {
			n++
		}
	}
	return n
}
