package harness

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/checker"
	"github.com/rattanwall/rattanwall/internal/deployment"
	"github.com/rattanwall/rattanwall/internal/load"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/standin/hosting"
	"github.com/rattanwall/rattanwall/internal/standin/record"
	"github.com/rattanwall/rattanwall/internal/standin/worker"
)

// smallShape is a deployment of two availability zones, two nodes and four VMs each.
func smallShape() deployment.Shape {
	shape := deployment.Shapes()["cofnod-criw"]
	shape.Zones = map[string]int{"east": 2, "west": 2}
	shape.Workers, shape.WorkersPerRack = 8, 2
	return shape
}

// The hosts of the small deployment by zone.
var (
	eastNodes = []string{"east-n1", "east-n2"}
	westNodes = []string{"west-n1", "west-n2"}
	eastVMs   = []string{"east-w00", "east-w01", "east-w02", "east-w03"}
	westVMs   = []string{"west-w00", "west-w01", "west-w02", "west-w03"}
	east      = append(append([]string{}, eastNodes...), eastVMs...)
	west      = append(append([]string{}, westNodes...), westVMs...)
	platforms = []string{PlatformHost("east"), PlatformHost("west")}
)

// run is one deployment under load in a synctest bubble, in virtual time.
type run struct {
	*Deployment
	t     *testing.T
	hosts *Fake
	load  *load.Generator
}

// fault injects a failure and returns when it has ended.
type fault func(ctx context.Context, r *run)

// outcome holds the results of a run.
type outcome struct {
	results  []checker.Result
	load     load.Summary
	jobsLeft int
	calls    map[string]int64
}

// runUnderLoad runs a small deployment under load in virtual time, injects the
// faults concurrently, heals the network, and waits for all jobs.
func runUnderLoad(t *testing.T, lasts time.Duration, faults ...fault) (o outcome) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		hosts := NewFake()
		d, err := Start(t.Context(), Options{Shape: smallShape(), Hosts: hosts, Log: log})
		require.NoError(t, err)
		callers, _ := hosts.Host(CallerHost)
		g := load.New(load.Options{
			Recorder: d.Recorder, Balancer: d.Balancer, Network: callers, Service: d.Shape.Service,
			Team: d.Shape.Team, Token: d.Team, BatchTeam: "batch", BatchToken: d.Batch, OperatorToken: d.Operator,
			QuickRate: 20, HeavyRate: 2, Watches: 6, JobEvery: 2 * time.Second, JobTasks: 6,
			PatchEvery: 2 * time.Second, Seed: 7,
		})
		ctx, cancel := context.WithTimeout(t.Context(), lasts)
		defer cancel()
		var wg sync.WaitGroup
		for _, f := range faults {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(3 * time.Second)
				f(ctx, &run{Deployment: d, t: t, hosts: hosts, load: g})
			}()
		}
		g.Run(ctx)
		wg.Wait()
		hosts.Heal()
		wait, stop := context.WithTimeout(t.Context(), 5*time.Minute)
		defer stop()
		o.jobsLeft = g.AwaitJobs(wait)
		o.load = g.Summary(lasts)
		d.Close()
		g.Close()
		o.results, o.calls = checker.Check(d.Recorder.Events()), d.Platform.Calls()
	})
	return o
}

func (r *run) storeFaults(f hosting.Faults) {
	for _, zone := range r.Shape.ZoneNames() {
		r.Listener(zone).SetFaults(f)
	}
}

// storeFaultsFor sets faults of the store in all zones for a duration.
func storeFaultsFor(d time.Duration, f hosting.Faults) fault {
	return func(_ context.Context, r *run) {
		r.storeFaults(f)
		time.Sleep(d)
		r.storeFaults(hosting.Faults{})
	}
}

// partitionFor partitions two groups of hosts from each other for a duration.
func partitionFor(d time.Duration, a, b []string) fault {
	return func(_ context.Context, r *run) {
		r.hosts.CutGroups(a, b)
		time.Sleep(d)
		r.hosts.Heal()
	}
}

// isolateEast partitions the east's nodes and VMs from the west and the platform
// for a duration.
func isolateEast(d time.Duration) fault {
	return func(ctx context.Context, r *run) {
		for _, n := range eastNodes {
			r.Recorder.Add(record.Event{Kind: record.NodeCutOff, Node: n})
		}
		partitionFor(d, east, append(append([]string{}, west...), platforms...))(ctx, r)
		for _, n := range eastNodes {
			r.Recorder.Add(record.Event{Kind: record.NodeReached, Node: n})
		}
	}
}

func oneWayLoss(d time.Duration, from, to []string) fault {
	return func(_ context.Context, r *run) {
		lost := map[string]bool{}
		for _, a := range from {
			for _, b := range to {
				lost[r.hosts.IP(a)+">"+r.hosts.IP(b)] = true
			}
		}
		r.hosts.SetCut(func(a, b string) bool { return lost[a+">"+b] })
		time.Sleep(d)
		r.hosts.Heal()
	}
}

func killNodes(names ...string) fault {
	return func(_ context.Context, r *run) {
		for _, name := range names {
			r.hosts.Kill(r.hosts.IP(name))
			r.KillNode(name)
		}
	}
}

// killAndReplace kills nodes of the east and starts nodes without state in their
// place after a delay.
func killAndReplace(after time.Duration, names ...string) fault {
	return func(ctx context.Context, r *run) {
		killNodes(names...)(ctx, r)
		time.Sleep(after)
		for _, name := range names {
			require.NoError(r.t, r.StartNode(name, "east"))
		}
	}
}

// replaceInTurn stops nodes as planned and replaces them, one after the other.
func replaceInTurn(names ...string) fault {
	return func(_ context.Context, r *run) {
		for _, name := range names {
			require.NoError(r.t, r.ReplaceNode(name))
			time.Sleep(3 * time.Second)
		}
	}
}

// blackholeConnections makes the open connections between two groups of hosts
// drop all data.
func blackholeConnections(a, b []string) fault {
	return func(_ context.Context, r *run) {
		for _, x := range a {
			for _, y := range b {
				r.hosts.Silence(r.hosts.IP(x), r.hosts.IP(y))
			}
		}
	}
}

func vmFaultsFor(d time.Duration, name string, f worker.Faults) fault {
	return func(_ context.Context, r *run) {
		r.Worker(name).SetFaults(f)
		time.Sleep(d)
		r.Worker(name).SetFaults(worker.Faults{})
	}
}

// vmListLag is how long the platform's list still shows a VM after its crash.
const vmListLag = 20 * time.Second

func crashVM(name string) fault {
	return func(_ context.Context, r *run) {
		r.Worker(name).Close()
		r.hosts.Kill(r.hosts.IP(name))
		time.Sleep(vmListLag)
		r.Platform.RemoveVM(name)
	}
}

// restartVM ends a VM with all its tasks and connections and starts an empty one
// in its place, on other ports.
func restartVM(name string) fault {
	return func(_ context.Context, r *run) {
		r.Worker(name).Close()
		r.hosts.Kill(r.hosts.IP(name))
		time.Sleep(2 * time.Second)
		require.NoError(r.t, r.RestartWorker(name))
	}
}

func markVMLeaving(name string) fault {
	return func(_ context.Context, r *run) { r.Platform.SetVMState(name, model.VMLeaving) }
}

func burstOfRequests(n int) fault {
	return func(ctx context.Context, r *run) { r.load.Burst(context.WithoutCancel(ctx), model.Quick, n) }
}

// inSequence returns a fault that runs the given ones one after the other.
func inSequence(faults ...fault) fault {
	return func(ctx context.Context, r *run) {
		for _, f := range faults {
			f(ctx, r)
		}
	}
}

// faultCase is one row of the table: the faults, and which effects callers may
// see besides late responses.
type faultCase struct {
	name   string
	faults []fault
	// unknown is the maximum share of quick requests whose outcome is unknown to
	// the caller, notRun that of requests reported as not run.
	unknown, notRun float64
}

// singleFaults returns the faults of the design brief's section 4, one a case.
// Pauses of real processes are tested by package faults (make faults).
func singleFaults() []faultCase {
	return []faultCase{
		{"quiet", nil, 0, 0},
		{"store down 30s", []fault{storeFaultsFor(30*time.Second, hosting.Faults{Down: true, ListDown: true})}, 0, 0},
		{"store hangs 30s", []fault{storeFaultsFor(30*time.Second, hosting.Faults{Cut: true})}, 0, 0},
		{"store slow 900ms", []fault{storeFaultsFor(20*time.Second, hosting.Faults{SlowMS: 900})}, 0, 0},
		{"store slow 5s", []fault{storeFaultsFor(20*time.Second, hosting.Faults{SlowMS: 5000})}, 0, 0},
		{"store loses answers", []fault{storeFaultsFor(20*time.Second, hosting.Faults{LoseAnswers: 40})}, 0, 0},
		{"store watch silent", []fault{storeFaultsFor(25*time.Second, hosting.Faults{WatchSilent: true})}, 0, 0},
		{"store watch replays", []fault{storeFaultsFor(20*time.Second, hosting.Faults{WatchReplay: true})}, 0, 0},
		{"node killed", []fault{killNodes("east-n1")}, 0.02, 0.3},
		{"node killed and replaced", []fault{killAndReplace(2*time.Second, "east-n1")}, 0.02, 0.3},
		{"zone's nodes killed and replaced", []fault{killAndReplace(5*time.Second, eastNodes...)}, 0.02, 0.3},
		{"rolling planned stop", []fault{replaceInTurn("east-n1", "east-n2", "west-n1", "west-n2")}, 0, 0},
		{"zone cut off from platform", []fault{partitionFor(25*time.Second, east, platforms)}, 0, 0},
		{"zones cut off from each other", []fault{partitionFor(25*time.Second, east, west)}, 0, 0},
		{"zone cut off from both", []fault{isolateEast(25 * time.Second)}, 0, 0},
		{"one-way loss between nodes", []fault{oneWayLoss(20*time.Second, []string{"east-n1"}, []string{"east-n2"})}, 0.05, 0.1},
		{"one-way loss to platform", []fault{oneWayLoss(20*time.Second, []string{"east-n1"}, platforms)}, 0.05, 0.1},
		{"connections to targets go silent", []fault{blackholeConnections(eastNodes, eastVMs)}, 0, 0},
		{"connections between nodes go silent", []fault{blackholeConnections(eastNodes, append(append([]string{}, westNodes...), "east-n2"))}, 0, 0},
		{"connections to platform go silent", []fault{blackholeConnections(append(append([]string{}, eastNodes...), westNodes...), platforms)}, 0, 0},
		{"VM dies", []fault{crashVM("east-w01")}, 0.02, 0.02},
		{"VM restarts", []fault{restartVM("east-w01")}, 0.02, 0.02},
		{"VM restarts twice", []fault{inSequence(restartVM("east-w01"), func(context.Context, *run) { time.Sleep(5 * time.Second) }, restartVM("east-w01"))}, 0.02, 0.02},
		{"VM cut off 40s and back", []fault{partitionFor(40*time.Second, []string{"east-w01"}, append(append([]string{}, eastNodes...), westNodes...))}, 0.02, 0.02},
		{"VM cut off 8s and back", []fault{partitionFor(8*time.Second, []string{"east-w01"}, append(append([]string{}, eastNodes...), westNodes...))}, 0.02, 0.02},
		{"VM fails all tasks", []fault{vmFaultsFor(20*time.Second, "east-w01", worker.Faults{FailTasks: true})}, 0, 0},
		{"VM loses answers to starts", []fault{vmFaultsFor(20*time.Second, "east-w01", worker.Faults{LoseStartAnswers: 20})}, 0, 0},
		{"VM leaves", []fault{markVMLeaving("east-w01")}, 0, 0},
		{"burst of callers", []fault{burstOfRequests(2000)}, 0, 1},
	}
}

// Guards against violated invariants, unfinished jobs, gaps in watches and too
// many failed requests when one fault occurs under load.
func TestSingleFaults(t *testing.T) { runFaultCases(t, singleFaults()) }

// Guards against violated invariants, unfinished jobs, gaps in watches and too
// many failed requests when two faults overlap or one occurs twice.
func TestPairsOfFaults(t *testing.T) {
	storeDown := storeFaultsFor(20*time.Second, hosting.Faults{Down: true})
	lost := storeFaultsFor(20*time.Second, hosting.Faults{LoseAnswers: 60})
	runFaultCases(t, []faultCase{
		{"node killed while store down", []fault{storeDown, killNodes("east-n1")}, 0.05, 0.5},
		{"node killed twice", []fault{inSequence(killAndReplace(3*time.Second, "east-n1"), func(context.Context, *run) { time.Sleep(8 * time.Second) }, killAndReplace(3*time.Second, "east-n1"))}, 0.05, 0.5},
		{"both nodes killed in turn", []fault{inSequence(killAndReplace(2*time.Second, "east-n1"), killAndReplace(2*time.Second, "east-n2"))}, 0.05, 0.5},
		{"node killed, answers lost", []fault{lost, killAndReplace(3*time.Second, "east-n1")}, 0.05, 0.5},
		{"VM dies, its owner too", []fault{crashVM("east-w01"), killNodes("east-n1")}, 0.05, 0.5},
		{"VM dies while store down", []fault{crashVM("east-w01"), storeDown}, 0.05, 0.05},
		{"VM leaves while store down", []fault{markVMLeaving("east-w01"), storeDown}, 0.05, 0.05},
		{"zone cut off, node killed", []fault{isolateEast(25 * time.Second), killNodes("east-n1")}, 0.05, 0.5},
		{"rolling stop while answers lost", []fault{lost, replaceInTurn("east-n1", "west-n1")}, 0.01, 0.05},
		{"rolling stop while store slow", []fault{storeFaultsFor(20*time.Second, hosting.Faults{SlowMS: 700}), replaceInTurn("east-n1", "west-n1")}, 0.01, 0.05},
		{"store down twice", []fault{inSequence(storeDown, func(context.Context, *run) { time.Sleep(4 * time.Second) }, storeDown)}, 0, 0},
		{"burst while node killed", []fault{burstOfRequests(1000), killNodes("west-n2")}, 0.2, 1},
		{"VM cut off, node replaced", []fault{partitionFor(20*time.Second, []string{"east-w01"}, append(append([]string{}, eastNodes...), westNodes...)), killAndReplace(3*time.Second, "east-n2")}, 0.05, 0.5},
		{"starts' answers lost, node killed", []fault{vmFaultsFor(20*time.Second, "east-w02", worker.Faults{LoseStartAnswers: 20}), killNodes("east-n2")}, 0.05, 0.5},
	})
}

func runFaultCases(t *testing.T, cases []faultCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := runUnderLoad(t, 50*time.Second, c.faults...)
			total := 0
			for _, r := range o.results {
				require.Zerof(t, r.Broken, "%s %s: %v", r.ID, r.Title, r.Examples)
				total += r.Checked
			}
			q := o.load.Classes[model.Quick]
			all := float64(q.Ran + q.NotRun + q.Unknown)
			t.Logf("%d events; quick ran %d not-run %d unknown %d p99 %.0f ms; watches %+v; jobs %+v", total, q.Ran, q.NotRun, q.Unknown, q.P99, o.load.Watches, o.load.Jobs)
			require.Zero(t, o.jobsLeft, "unfinished jobs")
			require.Zero(t, o.load.Watches.Gaps, "events of watches missed or repeated")
			require.LessOrEqual(t, float64(q.Unknown)/all, c.unknown, "share of unknown outcomes")
			require.LessOrEqual(t, float64(q.NotRun)/all, c.notRun, "share of requests reported as not run")
		})
	}
}
