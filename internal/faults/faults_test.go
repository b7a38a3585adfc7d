//go:build faults

// Package faults runs the program's real processes and kills, pauses and stops
// them by process ID, while stand-ins record what runs. Each case ends with a
// check of the invariants on that record. Run it with 'make faults'.
package faults

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/checker"
	"github.com/rattanwall/rattanwall/internal/deployment"
	"github.com/rattanwall/rattanwall/internal/load"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/standin/hosting"
)

const (
	warmUpDuration   = 3 * time.Second
	recoveryDuration = 6 * time.Second
)

type faultCase struct {
	name   string
	inject func(td *testDeployment)
}

func faultCases() []faultCase {
	storeDown := func(td *testDeployment, d time.Duration) {
		td.storeFaults(hosting.Faults{Down: true})
		time.Sleep(d)
		td.storeFaults(hosting.Faults{})
	}
	inParallel := func(fs ...func()) {
		var wg sync.WaitGroup
		for _, f := range fs {
			wg.Add(1)
			go func() {
				defer wg.Done()
				f()
			}()
		}
		wg.Wait()
	}
	return []faultCase{
		{"node killed and replaced", func(td *testDeployment) {
			td.kill("cardiff-n1")
			took := td.await(30*time.Second, func() bool { return td.ownedVMs() == td.shape.Workers })
			td.t.Logf("all VMs owned again %v after the kill", took)
			td.startNode("cardiff-n1")
		}},
		{"zone's nodes killed and replaced", func(td *testDeployment) {
			for _, n := range []string{"newport-n1", "newport-n2", "newport-n3"} {
				td.kill(n)
			}
			for _, n := range []string{"newport-n1", "newport-n2", "newport-n3"} {
				td.startNode(n)
			}
			took := td.await(30*time.Second, func() bool { return td.ownedVMs() == td.shape.Workers })
			td.t.Logf("all VMs owned again %v after the restart", took)
		}},
		{"node paused 1s", func(td *testDeployment) { td.pause("cardiff-n2", time.Second) }},
		{"node paused 8s", func(td *testDeployment) { td.pause("cardiff-n2", 8*time.Second) }},
		{"node paused 20s", func(td *testDeployment) { td.pause("cardiff-n2", 20*time.Second) }},
		{"two nodes of a zone paused in turn", func(td *testDeployment) {
			td.pause("cardiff-n1", 7*time.Second)
			td.pause("cardiff-n2", 7*time.Second)
		}},
		{"workers paused 3s", func(td *testDeployment) { td.pause("workers-swansea", 3*time.Second) }},
		{"workers paused 20s", func(td *testDeployment) { td.pause("workers-swansea", 20*time.Second) }},
		{"platform paused 10s", func(td *testDeployment) { td.pause("platform", 10*time.Second) }},
		{"store down 15s, node paused 8s", func(td *testDeployment) {
			inParallel(func() { storeDown(td, 15*time.Second) }, func() { time.Sleep(2 * time.Second); td.pause("cardiff-n2", 8*time.Second) })
		}},
		{"store down 15s, node killed", func(td *testDeployment) {
			inParallel(func() { storeDown(td, 15*time.Second) }, func() { time.Sleep(2 * time.Second); td.kill("cardiff-n2"); td.startNode("cardiff-n2") })
		}},
		{"answers lost, node killed", func(td *testDeployment) {
			td.storeFaults(hosting.Faults{LoseAnswers: 60})
			td.kill("swansea-n1")
			td.startNode("swansea-n1")
		}},
		{"rolling planned stop of all nodes", func(td *testDeployment) {
			for _, n := range td.shape.Nodes() {
				td.stopNode(n.Name)
				td.startNode(n.Name)
				td.await(20*time.Second, func() bool { return td.balancer.Ready() == len(td.shape.Nodes()) })
			}
		}},
	}
}

// Guards against violated invariants, unfinished jobs and gaps in watches when real
// processes under load crash, are paused or are stopped as planned.
func TestRealProcesses(t *testing.T) {
	for _, r := range faultCases() {
		t.Run(r.name, func(t *testing.T) {
			td := newTestDeployment(t, deployment.Shapes()["cofnod-criw"])
			g := load.New(load.Options{
				Recorder: td.recorder, Balancer: td.balancer, Network: netio.TCP{}, Service: td.shape.Service,
				Team: td.shape.Team, Token: teamToken, BatchTeam: "batch", BatchToken: batchToken, OperatorToken: operatorToken,
				QuickRate: 100, HeavyRate: 5, Watches: 18, JobEvery: time.Second, JobTasks: 8, PatchEvery: 2 * time.Second, Seed: 11,
			})
			defer g.Close()
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Add(1)
			go func() {
				defer wg.Done()
				g.Run(ctx)
			}()
			started := time.Now()
			time.Sleep(warmUpDuration)
			r.inject(td)
			time.Sleep(recoveryDuration)
			cancel()
			wg.Wait()
			jobsCtx, stop := context.WithTimeout(t.Context(), 3*time.Minute)
			defer stop()
			jobsLeft := g.AwaitJobs(jobsCtx)
			s := g.Summary(time.Since(started))
			q := s.Classes[model.Quick]
			t.Logf("quick ran %d not-run %d unknown %d p99 %.0f ms; watches %+v; jobs %+v", q.Ran, q.NotRun, q.Unknown, q.P99, s.Watches, s.Jobs)
			for _, i := range checker.Check(td.events()) {
				t.Logf("%s checked on %d, broken %d %v", i.ID, i.Checked, i.Broken, i.Examples)
				require.Zerof(t, i.Broken, "%s %s", i.ID, i.Title)
			}
			require.Zero(t, jobsLeft, "unfinished jobs")
			require.Zero(t, s.Watches.Gaps, "events of watches missed or repeated")
		})
	}
}
