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
	// churnDrainDelay allows the last tasks to end and be recorded.
	churnDrainDelay = 8 * time.Second
	maxStartUS      = 60_000_000
)

// measureChurn submits jobs at a steady rate and measures the cost per task start beyond that at
// rest.
func measureChurn(ctx context.Context, d *harness.Deployment, c *counters, rest Sample) (Churn, error) {
	bytes, calls, cpu, started := c.snapshot(), d.Platform.Calls(), cpuTime(), time.Now()
	submitted, err := submitJobs(ctx, d, rest.Teams)
	if err != nil {
		return Churn{}, err
	}
	time.Sleep(churnDrainDelay)
	elapsed := time.Since(started).Seconds()
	nodeSeconds := elapsed * float64(rest.Nodes)
	latencies := startLatencies(d, submitted)
	starts := float64(latencies.TotalCount())
	churn := Churn{
		Starts: int(starts), StartsPerSecond: starts / churnDuration.Seconds(), BytesPerStart: map[Kind]float64{},
		CPUMSPerStart: ((cpuTime() - cpu).Seconds() - rest.CPUPerNode*nodeSeconds) * 1000 / starts,
		StartP50MS:    float64(latencies.ValueAtQuantile(50)) / 1000,
		StartP99MS:    float64(latencies.ValueAtQuantile(99)) / 1000,
	}
	for k, now := range c.snapshot() {
		atRest := rest.BytesPerNode[k] * nodeSeconds
		if k == KindPeer {
			// Bytes between peers are counted once here, but for both nodes in the sample at rest.
			atRest /= 2
		}
		churn.BytesPerStart[k] = (float64(now-bytes[k]) - atRest) / starts
	}
	churn.PutsPerStart = float64(d.Platform.Calls()["put"]-calls["put"]) / starts
	return churn, nil
}

// submitJobs submits jobs at a steady rate and returns the time of each submission by team/ID.
func submitJobs(ctx context.Context, d *harness.Deployment, teams int) (map[string]time.Time, error) {
	submitted := map[string]time.Time{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var lastErr error
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
				lastErr = err
			}
			submitted[spec.Team+"/"+spec.ID] = at
		}()
	}
	wg.Wait()
	return submitted, lastErr
}

// startLatencies returns the times, in µs, from a job's submission to the start of each of its
// tasks as recorded by the stand-ins.
func startLatencies(d *harness.Deployment, submitted map[string]time.Time) *hdrhistogram.Histogram {
	latencies := hdrhistogram.New(1, maxStartUS, 3)
	for _, e := range d.Recorder.Events() {
		if e.Kind != record.TaskStart {
			continue
		}
		for i := len(e.ID) - 1; i > 0; i-- {
			if e.ID[i] == ':' {
				if at, ok := submitted[e.ID[:i]]; ok {
					_ = latencies.RecordValue(e.At.Sub(at).Microseconds())
				}
				break
			}
		}
	}
	return latencies
}
