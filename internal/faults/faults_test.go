//go:build faults

// Package faults runs the program's real processes and kills, pauses and stops
// them by process id, while stand-ins record what really ran. Each row ends with
// the checker's verdict on that record. Run it with 'make faults'.
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
	inject func(w *testDeployment)
}

func faultCases() []faultCase {
	storeDown := func(w *testDeployment, d time.Duration) {
		w.storeFaults(hosting.Faults{Down: true})
		time.Sleep(d)
		w.storeFaults(hosting.Faults{})
	}
	both := func(fs ...func()) {
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
		{"node killed and replaced", func(w *testDeployment) {
			w.kill("cardiff-n1")
			took := w.await(30*time.Second, func() bool { return w.ownedVMs() == w.shape.Workers })
			w.t.Logf("all VMs owned again %v after the kill", took)
			w.startNode("cardiff-n1")
		}},
		{"zone's nodes killed and replaced", func(w *testDeployment) {
			for _, n := range []string{"newport-n1", "newport-n2", "newport-n3"} {
				w.kill(n)
			}
			for _, n := range []string{"newport-n1", "newport-n2", "newport-n3"} {
				w.startNode(n)
			}
			took := w.await(30*time.Second, func() bool { return w.ownedVMs() == w.shape.Workers })
			w.t.Logf("all VMs owned again %v after the restart", took)
		}},
		{"node paused 1s", func(w *testDeployment) { w.pause("cardiff-n2", time.Second) }},
		{"node paused 8s", func(w *testDeployment) { w.pause("cardiff-n2", 8*time.Second) }},
		{"node paused 20s", func(w *testDeployment) { w.pause("cardiff-n2", 20*time.Second) }},
		{"two nodes of a zone paused in turn", func(w *testDeployment) {
			w.pause("cardiff-n1", 7*time.Second)
			w.pause("cardiff-n2", 7*time.Second)
		}},
		{"workers paused 3s", func(w *testDeployment) { w.pause("workers-swansea", 3*time.Second) }},
		{"workers paused 20s", func(w *testDeployment) { w.pause("workers-swansea", 20*time.Second) }},
		{"platform paused 10s", func(w *testDeployment) { w.pause("platform", 10*time.Second) }},
		{"store down 15s, node paused 8s", func(w *testDeployment) {
			both(func() { storeDown(w, 15*time.Second) }, func() { time.Sleep(2 * time.Second); w.pause("cardiff-n2", 8*time.Second) })
		}},
		{"store down 15s, node killed", func(w *testDeployment) {
			both(func() { storeDown(w, 15*time.Second) }, func() { time.Sleep(2 * time.Second); w.kill("cardiff-n2"); w.startNode("cardiff-n2") })
		}},
		{"answers lost, node killed", func(w *testDeployment) {
			w.storeFaults(hosting.Faults{LoseAnswers: 60})
			w.kill("swansea-n1")
			w.startNode("swansea-n1")
		}},
		{"rolling planned stop of all nodes", func(w *testDeployment) {
			for _, n := range w.shape.Nodes() {
				w.stopNode(n.Name)
				w.startNode(n.Name)
				w.await(20*time.Second, func() bool { return w.balancer.Ready() == len(w.shape.Nodes()) })
			}
		}},
	}
}

func TestRealProcesses(t *testing.T) {
	for _, r := range faultCases() {
		t.Run(r.name, func(t *testing.T) {
			w := newTestDeployment(t, deployment.Shapes()["cofnod-criw"])
			g := load.New(load.Options{
				Recorder: w.recorder, Balancer: w.balancer, Network: netio.TCP{}, Service: w.shape.Service,
				Team: w.shape.Team, Token: teamToken, BatchTeam: "batch", BatchToken: batchToken, OperatorToken: operatorToken,
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
			r.inject(w)
			time.Sleep(recoveryDuration)
			cancel()
			wg.Wait()
			jobsCtx, stop := context.WithTimeout(t.Context(), 3*time.Minute)
			defer stop()
			left := g.AwaitJobs(jobsCtx)
			s := g.Summary(time.Since(started))
			q := s.Classes[model.Quick]
			t.Logf("quick ran %d not-run %d unknown %d p99 %.0f ms; watches %+v; jobs %+v", q.Ran, q.NotRun, q.Unknown, q.P99, s.Watches, s.Jobs)
			for _, i := range checker.Check(w.events()) {
				t.Logf("%s checked on %d, broken %d %v", i.ID, i.Checked, i.Broken, i.Examples)
				require.Zerof(t, i.Broken, "%s %s", i.ID, i.Title)
			}
			require.Zero(t, left, "jobs left behind")
			require.Zero(t, s.Watches.Gaps, "events missed or repeated")
		})
	}
}
