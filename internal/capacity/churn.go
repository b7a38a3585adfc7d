package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanwall/rattanwall/internal/cluster"
	"github.com/rattanwall/rattanwall/internal/harness"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/standin/record"
)

const (
	churnDuration    = 24 * time.Second
	churnJobInterval = 200 * time.Millisecond
	churnTasksPerJob = 10
	churnTaskMS      = 1_000
	// churnDrainDelay lets the last tasks end and be recorded.
	churnDrainDelay = 8 * time.Second
	maxStartUS      = 60_000_000
)

// measureChurn submits jobs at a steady rate and counts what they cost beyond
// rest.
func measureChurn(ctx context.Context, d *harness.Deployment, c *counters, rest Sample) (Churn, error) {
	bytes, calls, cpu, started := c.snapshot(), d.Platform.Calls(), cpuTime(), time.Now()
	submitted, err := submitJobs(ctx, d, rest.Teams)
	if err != nil {
		return Churn{}, err
	}
	time.Sleep(churnDrainDelay)
	elapsed := time.Since(started).Seconds()
	perNode := elapsed * float64(rest.Nodes)
	starts := startLatencies(d, submitted)
	n := float64(starts.TotalCount())
	churn := Churn{
		Starts: int(n), StartsPerSecond: n / churnDuration.Seconds(), BytesPerStart: map[Kind]float64{},
		CPUMSPerStart: ((cpuTime() - cpu).Seconds() - rest.CPUPerNode*perNode) * 1000 / n,
		StartP50MS:    float64(starts.ValueAtQuantile(50)) / 1000,
		StartP99MS:    float64(starts.ValueAtQuantile(99)) / 1000,
	}
	for k, now := range c.snapshot() {
		atRest := rest.BytesPerNode[k] * perNode
		if k == KindPeer {
			// Counted once here, at rest for both ends.
			atRest /= 2
		}
		churn.BytesPerStart[k] = (float64(now-bytes[k]) - atRest) / n
	}
	churn.PutsPerStart = float64(d.Platform.Calls()["put"]-calls["put"]) / n
	return churn, nil
}

// submitJobs submits jobs and returns when each was, by its key.
func submitJobs(ctx context.Context, d *harness.Deployment, teams int) (map[string]time.Time, error) {
	submitted := map[string]time.Time{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	nodes := d.Nodes()
	ticker := time.NewTicker(churnJobInterval)
	defer ticker.Stop()
	for i := range int(churnDuration / churnJobInterval) {
		<-ticker.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			spec := model.JobSpec{
				ID: fmt.Sprintf("churn%d", i), Team: fmt.Sprintf("team%03d", i%teams), Tasks: churnTasksPerJob, DurationMS: churnTaskMS,
				PerTask: model.Resources{MilliCPU: 100, MemoryMB: 10},
			}
			at := time.Now()
			_, err := nodes[i%len(nodes)].Cluster().Job(ctx, spec.Team, cluster.VerbSubmit, spec)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
			}
			submitted[spec.Team+"/"+spec.ID] = at
		}()
	}
	wg.Wait()
	return submitted, failed
}

// startLatencies are from each job's submission to each of its tasks' starts,
// as the stand-ins recorded them.
func startLatencies(d *harness.Deployment, submitted map[string]time.Time) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxStartUS, 3)
	for _, e := range d.Recorder.Events() {
		if e.Kind != record.TaskStart {
			continue
		}
		for i := len(e.ID) - 1; i > 0; i-- {
			if e.ID[i] == ':' {
				if at, ok := submitted[e.ID[:i]]; ok {
					_ = h.RecordValue(e.At.Sub(at).Microseconds())
				}
				break
			}
		}
	}
	return h
}
