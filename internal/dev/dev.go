// Package dev is the demo: a deployment on loopback with a sample load of all
// kinds of work and a few things going wrong. It ends with what callers saw and
// the checker's verdict on the stand-ins' record.
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

// Report is the outcome of a run.
type Report struct {
	Deployment string           `json:"deployment"`
	Seconds    float64          `json:"seconds"`
	Load       load.Summary     `json:"load"`
	Calls      map[string]int64 `json:"store_calls"`
	Invariants []checker.Result `json:"invariants"`
	JobsLeft   int              `json:"jobs_left"`
}

// OK reports whether every invariant held, each on some events, and no job was
// left behind.
func (r Report) OK() bool {
	for _, i := range r.Invariants {
		if i.Broken > 0 || i.Checked == 0 {
			return false
		}
	}
	return r.JobsLeft == 0
}

// Options of a run.
type Options struct {
	Shape    deployment.Shape
	Duration time.Duration
	Log      *logrus.Logger
	// Printf is called with what happens, for people.
	Printf func(format string, args ...any)
	// Progress, if set, is called about once a second.
	Progress func(elapsed time.Duration, s load.Summary)
}

const (
	quickRate     = 300
	heavyRate     = 10
	watchCount    = 40
	jobInterval   = 700 * time.Millisecond
	tasksPerJob   = 12
	patchInterval = time.Second
	// oversizeInterval brings about requests that must not run.
	oversizeInterval = 2 * time.Second
	batchTeam        = "batch"
	burstSize        = 3_000
	// jobsTimeout bounds the wait for the last jobs after the load has ended.
	jobsTimeout = 40 * time.Second
)

// Run runs the demo.
func Run(ctx context.Context, o Options) (Report, error) {
	d, err := harness.Start(ctx, harness.Options{Shape: o.Shape, Hosts: harness.Loopback{}, Log: o.Log})
	if err != nil {
		return Report{}, err
	}
	printAddresses(d, o.Printf)
	g := load.New(load.Options{
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
		runIncidents(loadCtx, o, d, g)
	}()
	if o.Progress != nil {
		go reportProgress(loadCtx, o, g, started)
	}
	g.Run(loadCtx)
	wg.Wait()
	elapsed := time.Since(started)
	jobsCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), jobsTimeout)
	defer stop()
	o.Printf("load ended; waiting for the last jobs")
	left := g.AwaitJobs(jobsCtx)
	d.Close()
	return Report{
		Deployment: o.Shape.Name, Seconds: elapsed.Seconds(), Load: g.Summary(elapsed), Calls: d.Platform.Calls(),
		Invariants: checker.Check(d.Recorder.Events()), JobsLeft: left,
	}, nil
}

func reportProgress(ctx context.Context, o Options, g *load.Generator, started time.Time) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			elapsed := time.Since(started)
			o.Progress(elapsed, g.Summary(elapsed))
		}
	}
}

func printAddresses(d *harness.Deployment, tell func(string, ...any)) {
	nodes := d.Balancer.All()
	tell("%d nodes, %d VMs of %s serve. To try, while it runs:", len(nodes), len(d.Shape.VMs()), d.Shape.Name)
	tell("  curl -H 'Authorization: Bearer %s' 'http://%s/svc/%s/work?ms=5&size=60'", d.Team, nodes[0].Callers, d.Shape.Service)
	tell("  export RATTANWALL_ADMIN=%s RATTANWALL_TOKEN=%s", nodes[0].Admin, d.Operator)
	tell("  rattanwall status; rattanwall config get; rattanwall job list --team %s", batchTeam)
}
