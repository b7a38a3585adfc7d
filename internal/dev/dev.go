// Package dev runs the demo: a deployment on loopback with a sample load of all kinds of work and
// a few incidents. It reports the results that callers saw and whether the events that the
// stand-ins recorded satisfy the checker's invariants.
package dev

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/checker"
	"github.com/rattanwall/rattanwall/internal/deployment"
	"github.com/rattanwall/rattanwall/internal/harness"
	"github.com/rattanwall/rattanwall/internal/load"
	"github.com/rattanwall/rattanwall/internal/netio"
)

// Report holds the results of a run of the demo.
type Report struct {
	Deployment string           `json:"deployment"`
	Seconds    float64          `json:"seconds"`
	Load       load.Summary     `json:"load"`
	Calls      map[string]int64 `json:"store_calls"`
	Invariants []checker.Result `json:"invariants"`
	JobsLeft   int              `json:"jobs_left"`
}

// OK reports whether every invariant was checked on some events and held, and all jobs have
// ended.
func (r Report) OK() bool {
	for _, i := range r.Invariants {
		if i.Broken > 0 || i.Checked == 0 {
			return false
		}
	}
	return r.JobsLeft == 0
}

// Options configure a run of the demo.
type Options struct {
	Shape    deployment.Shape
	Duration time.Duration
	Log      *logrus.Logger
	// Printf is called with messages for the user.
	Printf func(format string, args ...any)
	// Progress, if not nil, is called about once a second with the elapsed time and the results
	// so far.
	Progress func(elapsed time.Duration, s load.Summary)
}

const (
	quickRate     = 300
	heavyRate     = 10
	watchCount    = 40
	jobInterval   = 700 * time.Millisecond
	tasksPerJob   = 12
	patchInterval = time.Second
	// oversizeInterval is the interval between requests that are too large and must not run.
	oversizeInterval = 2 * time.Second
	batchTeam        = "batch"
	burstSize        = 3_000
	// jobsTimeout bounds the wait for the last jobs after the load has ended.
	jobsTimeout = 40 * time.Second
)

// Run starts the deployment, applies the load and the incidents for o.Duration, waits for the
// last jobs and checks the invariants.
func Run(ctx context.Context, o Options) (Report, error) {
	d, err := harness.Start(ctx, harness.Options{Shape: o.Shape, Hosts: harness.Loopback{}, Log: o.Log})
	if err != nil {
		return Report{}, err
	}
	printAddresses(d, o.Printf)
	generator := load.New(load.Options{
		Recorder: d.Recorder, Balancer: d.Balancer, Network: netio.TCP{}, Service: o.Shape.Service, Team: o.Shape.Team, Token: d.Team,
		BatchTeam: batchTeam, BatchToken: d.Batch, OperatorToken: d.Operator, QuickRate: quickRate, HeavyRate: heavyRate,
		Watches: watchCount, JobEvery: jobInterval, JobTasks: tasksPerJob, PatchEvery: patchInterval, OversizeEvery: oversizeInterval, Seed: uint64(time.Now().UnixNano()),
	})
	started := time.Now()
	loadCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		runIncidents(loadCtx, o, d, generator)
	}()
	if o.Progress != nil {
		go reportProgress(loadCtx, o, generator, started)
	}
	generator.Run(loadCtx)
	wg.Wait()
	elapsed := time.Since(started)
	jobsCtx, cancelJobs := context.WithTimeout(context.WithoutCancel(ctx), jobsTimeout)
	defer cancelJobs()
	o.Printf("load ended; waiting for the last jobs")
	jobsLeft := generator.AwaitJobs(jobsCtx)
	d.Close()
	return Report{
		Deployment: o.Shape.Name, Seconds: elapsed.Seconds(), Load: generator.Summary(elapsed), Calls: d.Platform.Calls(),
		Invariants: checker.Check(d.Recorder.Events()), JobsLeft: jobsLeft,
	}, nil
}

func reportProgress(ctx context.Context, o Options, generator *load.Generator, started time.Time) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			elapsed := time.Since(started)
			o.Progress(elapsed, generator.Summary(elapsed))
		}
	}
}

func printAddresses(d *harness.Deployment, printf func(string, ...any)) {
	nodes := d.Balancer.All()
	printf("%d nodes, %d VMs of %s serve. To try, while it runs:", len(nodes), len(d.Shape.VMs()), d.Shape.Name)
	printf("  curl -H 'Authorization: Bearer %s' 'http://%s/svc/%s/work?ms=5&size=60'", d.Team, nodes[0].Callers, d.Shape.Service)
	printf("  export RATTANWALL_ADMIN=%s RATTANWALL_TOKEN=%s", nodes[0].Admin, d.Operator)
	printf("  rattanwall status; rattanwall config get; rattanwall job list --team %s", batchTeam)
}
