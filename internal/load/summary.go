package load

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/model"
)

// Summary holds the results that callers and teams observed.
type Summary struct {
	Classes map[model.Class]ClassSummary `json:"classes"`
	Watches WatchStats                   `json:"watches"`
	Jobs    JobSummary                   `json:"jobs"`
}

// ClassSummary holds the results of one class of requests; latencies are in
// milliseconds.
type ClassSummary struct {
	Ran     int64   `json:"ran"`
	NotRun  int64   `json:"not_run"`
	Unknown int64   `json:"unknown"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
	Max     float64 `json:"max_ms"`
}

// JobSummary holds the results of the batch jobs.
type JobSummary struct {
	Submitted int64 `json:"submitted"`
	Refused   int64 `json:"refused"`
	Unknown   int64 `json:"unknown"`
	Done      int64 `json:"done"`
	Open      int   `json:"open"`
	TasksDone int64 `json:"tasks_done"`
	// TasksPerSecond is the average over the elapsed time given to Summary.
	TasksPerSecond float64 `json:"tasks_per_second"`
	Evictions      int     `json:"evictions"`
	TurnaroundP50  float64 `json:"turnaround_p50_ms"`
}

// Summary returns the results of a run that took elapsed.
func (g *Generator) Summary(elapsed time.Duration) Summary {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Summary{Classes: map[model.Class]ClassSummary{}, Watches: g.watch}
	for class, c := range g.stats {
		ms := func(q float64) float64 { return float64(c.latency.ValueAtQuantile(q)) / 1000 }
		s.Classes[class] = ClassSummary{
			Ran: c.ran, NotRun: c.notRun, Unknown: c.unknown, P50: ms(50), P99: ms(99), P999: ms(99.9), Max: float64(c.latency.Max()) / 1000,
		}
	}
	s.Jobs = JobSummary{
		Submitted: g.jobs.submitted, Refused: g.jobs.refused, Unknown: g.jobs.unknown, Done: g.jobs.done,
		Open: len(g.jobs.open), TasksDone: g.jobs.tasksDone, Evictions: g.jobs.evictions,
		TasksPerSecond: float64(g.jobs.tasksDone) / elapsed.Seconds(),
	}
	if g.jobs.turnaround != nil {
		s.Jobs.TurnaroundP50 = float64(g.jobs.turnaround.ValueAtQuantile(50)) / 1000
	}
	return s
}
