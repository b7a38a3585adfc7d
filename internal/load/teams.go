package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/dghubble/sling"

	"github.com/rattanwall/rattanwall/internal/admin"
	"github.com/rattanwall/rattanwall/internal/jobs"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/standin/record"
)

// jobStats holds statistics of the jobs.
type jobStats struct {
	submitted, refused, unknown int64
	open                        map[string]int
	done                        int64
	tasksDone                   int64
	evictions                   int
	// turnaround is from submission until a poll finds the job ended, in microseconds.
	turnaround  *hdrhistogram.Histogram
	submittedAt map[string]time.Time
}

const (
	pollInterval = 250 * time.Millisecond
	taskMilliCPU = 2_000
	taskMemoryMB = 4_000
	taskMS       = 1_500
	// jobsPerUrgentJob means that one job of this many is urgent.
	jobsPerUrgentJob = 5
	// httpTimeout bounds a call of the administration API.
	httpTimeout = 10 * time.Second
)

// callAdmin calls the administration API of a ready node. The status is 0 when there
// was no response.
func (g *Generator) callAdmin(ctx context.Context, token string, build func(*sling.Sling) *sling.Sling, answer any) (int, error) {
	node, ok := g.Balancer.Pick()
	if !ok {
		return 0, fmt.Errorf("no node is ready")
	}
	ctx, cancel := context.WithTimeout(ctx, httpTimeout)
	defer cancel()
	base := sling.New().Client(g.client).Base("http://"+node.Admin).Set("Authorization", "Bearer "+token)
	req, err := build(base).Request()
	if err != nil {
		return 0, err
	}
	resp, err := base.Do(req.WithContext(ctx), answer, nil)
	if resp == nil {
		return 0, err
	}
	return resp.StatusCode, err
}

// submitJobs submits jobs and polls them until ctx ends.
func (g *Generator) submitJobs(ctx context.Context) {
	if g.JobEvery <= 0 {
		return
	}
	g.mu.Lock()
	g.jobs = jobStats{open: map[string]int{}, submittedAt: map[string]time.Time{}, turnaround: hdrhistogram.New(1, maxLatencyUS, 3)}
	g.mu.Unlock()
	submit, poll := time.NewTicker(g.JobEvery), time.NewTicker(pollInterval)
	defer submit.Stop()
	defer poll.Stop()
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-submit.C:
			n++
			g.submitJob(ctx, n)
		case <-poll.C:
			g.pollJobs(ctx)
		}
	}
}

func (g *Generator) submitJob(ctx context.Context, n int) {
	spec := model.JobSpec{
		ID: fmt.Sprintf("job-%d", n), Team: g.BatchTeam, Tasks: g.JobTasks, DurationMS: taskMS, Urgent: n%jobsPerUrgentJob == 0,
		PerTask: model.Resources{MilliCPU: taskMilliCPU, MemoryMB: taskMemoryMB},
	}
	status, err := g.callAdmin(ctx, g.BatchToken, func(s *sling.Sling) *sling.Sling {
		return s.Post("/v1/teams/" + g.BatchTeam + "/jobs").BodyJSON(spec)
	}, nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case status == http.StatusOK:
		g.jobs.submitted++
		g.jobs.open[g.BatchTeam+"/"+spec.ID] = spec.Tasks
		g.jobs.submittedAt[g.BatchTeam+"/"+spec.ID] = time.Now()
	case status != 0 && err == nil:
		g.jobs.refused++
	default:
		g.jobs.unknown++
	}
}

// pollJobs lists the jobs and records the open ones that have ended.
func (g *Generator) pollJobs(ctx context.Context) {
	var listing jobs.Listing
	status, err := g.callAdmin(ctx, g.BatchToken, func(s *sling.Sling) *sling.Sling {
		return s.Get("/v1/teams/" + g.BatchTeam + "/jobs")
	}, &listing)
	if err != nil || status != http.StatusOK {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.jobs.evictions = 0
	for _, j := range listing.Jobs {
		g.jobs.evictions += j.Evictions
		key := jobs.JobKey(j.Spec.Team, j.Spec.ID)
		tasks, open := g.jobs.open[key]
		if !open || j.EndedMS == 0 {
			continue
		}
		delete(g.jobs.open, key)
		g.jobs.done++
		g.jobs.tasksDone += int64(tasks)
		_ = g.jobs.turnaround.RecordValue(time.Since(g.jobs.submittedAt[key]).Microseconds())
		g.Recorder.Add(record.Event{Kind: record.JobDone, ID: key, Version: int64(tasks)})
	}
}

// AwaitJobs polls the open jobs until all have ended or ctx ends, and returns the
// number of those left.
func (g *Generator) AwaitJobs(ctx context.Context) int {
	for {
		g.pollJobs(ctx)
		g.mu.Lock()
		left := len(g.jobs.open)
		g.mu.Unlock()
		if left == 0 || ctx.Err() != nil {
			return left
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// patchConfig patches the configuration and records which version each node uses.
// Each patch sets two fields to the same number, so that a partially applied patch
// is detectable.
func (g *Generator) patchConfig(ctx context.Context) {
	if g.PatchEvery <= 0 {
		return
	}
	patch, poll := time.NewTicker(g.PatchEvery), time.NewTicker(pollInterval)
	defer patch.Stop()
	defer poll.Stop()
	for n := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-patch.C:
			n++
			g.patchOnce(ctx, n)
		case <-poll.C:
			g.recordConfigVersions(ctx)
		}
	}
}

func (g *Generator) patchOnce(ctx context.Context, n int) {
	var current admin.ConfigResponse
	if status, err := g.callAdmin(ctx, g.OperatorToken, func(s *sling.Sling) *sling.Sling { return s.Get("/v1/config") }, &current); err != nil || status != http.StatusOK {
		return
	}
	body := map[string]any{"weights": map[string]any{"tail": n, "throughput": n}}
	var patched admin.PatchResponse
	status, err := g.callAdmin(ctx, g.OperatorToken, func(s *sling.Sling) *sling.Sling {
		return s.Patch("/v1/config").Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(current.Version))).BodyJSON(body)
	}, &patched)
	if err == nil && status == http.StatusOK {
		g.Recorder.Add(record.Event{Kind: record.ConfigAccepted, Version: patched.Version})
	}
}

// recordConfigVersions records the version that each node uses.
func (g *Generator) recordConfigVersions(ctx context.Context) {
	for _, node := range g.Balancer.All() {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		req, err := http.NewRequestWithContext(callCtx, http.MethodGet, "http://"+node.Admin+"/v1/config", nil)
		if err != nil {
			cancel()
			continue
		}
		req.Header.Set("Authorization", "Bearer "+g.OperatorToken)
		var answer struct {
			Version  int64 `json:"version"`
			Document struct {
				Weights struct {
					Tail       float64 `json:"tail"`
					Throughput float64 `json:"throughput"`
				} `json:"weights"`
			} `json:"document"`
		}
		resp, err := sling.New().Client(g.client).Do(req, &answer, nil)
		cancel()
		if err != nil || resp.StatusCode != http.StatusOK {
			continue
		}
		w := answer.Document.Weights
		g.Recorder.Add(record.Event{
			Kind: record.ConfigInForce, Node: node.Name, Version: answer.Version, Mixed: answer.Version > 1 && w.Tail != w.Throughput,
		})
	}
}

// lineReader reads complete lines; an incomplete last line is an error.
type lineReader struct{ r *bufio.Reader }

func newLineReader(r io.Reader) lineReader { return lineReader{bufio.NewReader(r)} }

func (l lineReader) next() (string, error) {
	line, err := l.r.ReadString('\n')
	if err == io.EOF && line != "" {
		return "", io.ErrUnexpectedEOF
	}
	return strings.TrimSuffix(line, "\n"), err
}
