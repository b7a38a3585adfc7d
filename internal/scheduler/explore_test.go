package scheduler

import (
	"flag"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// faults selects what the explorer injects in addition to its basic faults.
//
// The explorer runs the production scheduler against simulated VMs and a simulated store.
// Leaders crash, freeze, lose connections or are deposed without noticing; messages are
// lost, delayed or processed after newer ones; clocks run 2 % slow. The checks use what
// the VMs observe.
type faults struct {
	// splitLeaders isolates leaders from the store, together with some VMs that no other
	// process reaches.
	splitLeaders bool
	// unlistedVMs cuts zones and VMs off from the store, the leader or both, so that living
	// VMs leave the list and return; other VMs drain or crash and are replaced.
	unlistedVMs bool
	// lateWatches delays the watch events of jobs and cancellations by seconds.
	lateWatches bool
	// scheduledJobs adds jobs with occurrences, which leaders open late and by differing clocks.
	scheduledJobs bool
	// attemptLimits adds queues that limit how often a task may fail.
	attemptLimits bool
	// revokedKeys revokes the key of leaders that have just renewed it and are then cut off
	// from the store, connected to some VMs only.
	revokedKeys bool
	// crashingTasks adds tasks that crash each VM that starts them.
	crashingTasks bool
	// resizes lets VMs accept starts beyond their capacity, which shrinks and grows.
	resizes bool
	// predecessorQueries lets new leaders ask their predecessors how long leases may last.
	predecessorQueries bool
	// restarts lets VMs restart under their old IDs, many at once.
	restarts bool
	// staleOrders lets a VM's next incarnation carry out a delayed order that the previous
	// incarnation accepted.
	staleOrders bool
	// entryExpiry expires the store entries of ended VMs, as unlistedVMs and restarts do.
	entryExpiry bool
	// wakeRestarts restarts VMs within a second before a frozen leader resumes.
	wakeRestarts bool
	// quickSuccessions lets leaders follow each other within seconds while one is isolated
	// from all other processes; leases are shorter than it may act without the store.
	quickSuccessions bool
	// lateWrites applies some writes to the start log seconds late, without a response.
	lateWrites bool
	// slowCrashes lets tasks crash their VMs 1.5 s after their start.
	slowCrashes bool
	// evacuations requests and withdraws the evacuation of zones, one or all at a time.
	evacuations bool
	// uneven makes some VMs several times slower and lets leaders judge slow runs by what a copy
	// or a restart gains; VMs report the true progress of their runs.
	uneven bool
}

// mutations disable safeguards of the scheduler or of the VMs. The explorer has to detect each.
type mutations struct {
	// skipAwaitInstances: a new leader starts old tasks before the VMs have reported.
	skipAwaitInstances bool
	// ackBeforeWrite: ends are acknowledged before their record is written.
	ackBeforeWrite bool
	// shortWait: a new leader waits only a second for unreachable VMs.
	shortWait bool
	// dropUnansweredStarts: a start without a response counts as not carried out.
	dropUnansweredStarts bool
	// noFencing: VMs ignore fencing tokens.
	noFencing bool
	// ignoreRecordedVMs: a new leader only considers the VMs on the list.
	ignoreRecordedVMs bool
	// actWithoutStore: a leader without the store keeps giving orders.
	actWithoutStore bool
	// acceptUnconfirmed: a leader that may have been deposed accepts new jobs.
	acceptUnconfirmed bool
	// expireUnconfirmed: a leader that may have been deposed expires leases by time.
	expireUnconfirmed bool
	// keepPredecessorActive: a predecessor keeps leading after it was queried.
	keepPredecessorActive bool
	// skipCrashCounts: VM ends are not counted against tasks.
	skipCrashCounts bool
	// skipStartLog: starts are not logged, so a successor can't attribute VM ends to them.
	skipStartLog bool
	// ignoreResizes: the initial capacity of a VM is used throughout.
	ignoreResizes bool
	// ackUnanswered: ends are acknowledged after holds without a response.
	ackUnanswered bool
	// ignoreIncarnations: a VM's new incarnation is treated as the previous one.
	ignoreIncarnations bool
	// ignoreEvacuations: leaders do not learn of evacuations.
	ignoreEvacuations bool
}

// exploreScale multiplies the number of seeds, for a longer search: -explore.scale 10.
var exploreScale = flag.Uint64("explore.scale", 1, "factor for the number of seeds that the explorer runs")

const (
	exploreSteps = 700
	// maxTraceLines limits the trace that is printed for a failed seed.
	maxTraceLines = 80
)

// explore simulates one seed, up to the first violation.
func explore(seed uint64, f faults, m mutations, trace func(string)) *world {
	w := newWorld(seed, f, m, trace)
	for range exploreSteps {
		w.step()
		if w.violation != "" {
			return w
		}
	}
	w.settle()
	return w
}

// seedResult summarizes the simulation of a seed.
type seedResult struct {
	seed                                uint64
	violation                           string
	starts, leaderChanges, withheldAcks int
	saturated                           bool
}

// exploreSeeds simulates seeds in parallel, starting with first. It returns the results up to
// and including the first violation.
func exploreSeeds(first, seeds uint64, f faults, m mutations) []seedResult {
	results := make([]seedResult, seeds)
	var next, firstFailed atomic.Uint64
	firstFailed.Store(seeds)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for seed := next.Add(1) - 1; seed < firstFailed.Load(); seed = next.Add(1) - 1 {
				w := explore(first+seed, f, m, nil)
				results[seed] = seedResult{first + seed, w.violation, w.starts, w.leaderChanges, w.withheldAcks, w.saturated}
				for lowest := firstFailed.Load(); w.violation != "" && seed < lowest && !firstFailed.CompareAndSwap(lowest, seed); {
					lowest = firstFailed.Load()
				}
			}
		})
	}
	wg.Wait()
	return results[:min(firstFailed.Load()+1, seeds)]
}

// taskPattern matches a task ID in a trace line.
var taskPattern = regexp.MustCompile(`\bj\d+\.\d+\.\d+\.\d+\b`)

// failureTrace returns the last trace lines that concern the violation of a seed.
func failureTrace(seed uint64, f faults, m mutations) string {
	lines := strings.Split(filteredTrace(seed, f, m, ""), "\n")
	return strings.Join(lines[max(0, len(lines)-maxTraceLines):], "\n")
}

// allTasks makes filteredTrace return every line.
const allTasks = "all"

// filteredTrace returns the trace lines of a seed that concern the task or job named by filter,
// and the lines without a task. An empty filter selects the task of the violation.
func filteredTrace(seed uint64, f faults, m mutations, filter string) string {
	var lines []string
	w := explore(seed, f, m, func(line string) { lines = append(lines, line) })
	if filter == "" && w.violationTask.Job != "" {
		filter = w.violationTask.String()
	}
	var selected []string
	for _, line := range lines {
		task := taskPattern.FindString(line)
		matches := filter == "" || task == filter || strings.HasPrefix(task, filter+".")
		if matches || filter == allTasks || (task == "" && !strings.Contains(line, "job_")) {
			selected = append(selected, line)
		}
	}
	return strings.Join(selected, "\n")
}

// exploreProfile is a combination of faults and the number of seeds to run with it.
type exploreProfile struct {
	name   string
	faults faults
	seeds  uint64
}

// ownershipProfiles are the profiles in which VMs get a new ID with each start.
var ownershipProfiles = []exploreProfile{
	{"leaders and messages", faults{}, 120},
	{"leaders isolated with some VMs", faults{splitLeaders: true}, 120},
	{"unlisted VMs", faults{unlistedVMs: true}, 160},
	{"late watches", faults{lateWatches: true}, 120},
	{"scheduled jobs", faults{scheduledJobs: true}, 120},
	{"attempts", faults{attemptLimits: true}, 120},
	{"crashing tasks", faults{crashingTasks: true}, 120},
	{"crashing tasks, late log writes", faults{crashingTasks: true, lateWrites: true, attemptLimits: true}, 120},
	{"crashing tasks, unlisted VMs", faults{crashingTasks: true, unlistedVMs: true, splitLeaders: true, predecessorQueries: true}, 120},
	{"shrinking capacities", faults{resizes: true}, 120},
	{"shrinking capacities, unlisted VMs", faults{resizes: true, unlistedVMs: true, splitLeaders: true, predecessorQueries: true, crashingTasks: true}, 120},
	{"revoked keys", faults{splitLeaders: true, revokedKeys: true}, 120},
	{"predecessor queries", faults{splitLeaders: true, predecessorQueries: true}, 160},
	{"predecessor queries, quick successions", faults{splitLeaders: true, predecessorQueries: true, quickSuccessions: true}, 160},
	{"predecessor queries, unlisted VMs", faults{splitLeaders: true, unlistedVMs: true, revokedKeys: true, predecessorQueries: true}, 160},
	{"all, predecessor queries", faults{splitLeaders: true, unlistedVMs: true, lateWatches: true, scheduledJobs: true, attemptLimits: true, revokedKeys: true, predecessorQueries: true}, 160},
	{"evacuations", faults{evacuations: true}, 160},
	{"evacuations, unlisted VMs, crashing tasks", faults{evacuations: true, unlistedVMs: true, splitLeaders: true, predecessorQueries: true, crashingTasks: true}, 160},
	{"all", faults{splitLeaders: true, unlistedVMs: true, lateWatches: true, scheduledJobs: true, attemptLimits: true, revokedKeys: true}, 120},
}

// restartProfiles are the profiles in which VMs restart under their old IDs.
var restartProfiles = []exploreProfile{
	{"restarts", faults{restarts: true}, 160},
	{"restarts, attempts, scheduled jobs", faults{restarts: true, attemptLimits: true, scheduledJobs: true}, 160},
	{"restarts, unlisted VMs", faults{restarts: true, unlistedVMs: true}, 160},
	{"restarts, leaders isolated with some VMs", faults{restarts: true, splitLeaders: true, revokedKeys: true}, 160},
	{"restarts, crashing tasks", faults{restarts: true, crashingTasks: true}, 160},
	{"restarts, shrinking capacities", faults{restarts: true, resizes: true, unlistedVMs: true}, 120},
	{"restarts, predecessor queries", faults{restarts: true, splitLeaders: true, unlistedVMs: true, revokedKeys: true, predecessorQueries: true}, 160},
	{"restarts as a frozen leader resumes", faults{restarts: true, wakeRestarts: true}, 160},
	{"evacuations, restarts", faults{restarts: true, evacuations: true, unlistedVMs: true, scheduledJobs: true}, 160},
	{"all with restarts", faults{splitLeaders: true, unlistedVMs: true, lateWatches: true, scheduledJobs: true, attemptLimits: true, revokedKeys: true, predecessorQueries: true, restarts: true}, 160},
}

func exploreProfiles() []exploreProfile { return slices.Concat(ownershipProfiles, restartProfiles) }

// Guards against tasks that run on two VMs, start after their end was acknowledged, or end with an
// acknowledgement after a later start, whatever faults occur in leaders, messages, clocks and VMs.
// Guards also against jobs that have not ended after the faults are over, although they could.
func TestExploreOwnership(t *testing.T) {
	for _, c := range ownershipProfiles {
		t.Run(c.name, c.run)
	}
}

func (c exploreProfile) run(t *testing.T) {
	seeds := c.seeds * *exploreScale
	if testing.Short() {
		seeds /= 10
	}
	starts, leaderChanges, withheldSeeds, saturatedSeeds := 0, 0, 0, 0
	for _, result := range exploreSeeds(0, seeds, c.faults, mutations{}) {
		if result.violation != "" {
			t.Fatalf("seed %d: %s\n%s", result.seed, result.violation, failureTrace(result.seed, c.faults, mutations{}))
		}
		starts += result.starts
		leaderChanges += result.leaderChanges
		withheldSeeds += min(result.withheldAcks, 1)
		if result.saturated {
			saturatedSeeds++
		}
	}
	t.Logf("%d seeds: %d starts, %d leaders, no violations; %d with ends withheld although their lease had expired, %d with ends withheld on all VMs", seeds, starts, leaderChanges, withheldSeeds, saturatedSeeds)
	require.Greater(t, starts, int(seeds)*20)
}

// Guards against the same violations when VMs restart under their old IDs: state that is kept per
// VM may then be applied to the wrong incarnation.
func TestExploreRestarts(t *testing.T) {
	for _, c := range restartProfiles {
		t.Run(c.name, c.run)
	}
}

// Guards against an explorer that misses violations, and against safeguards without effect: it has to
// find a violation with each safeguard disabled.
func TestExploreDetectsMutations(t *testing.T) {
	for name, c := range map[string]struct {
		mutations mutations
		faults    faults
		firstSeed uint64
	}{
		"starts before VMs report":            {mutations: mutations{skipAwaitInstances: true}},
		"acknowledges before writing":         {mutations: mutations{ackBeforeWrite: true}},
		"waits a second for unresponsive VMs": {mutations: mutations{shortWait: true}},
		"drops unanswered starts":             {mutations: mutations{dropUnansweredStarts: true}},
		"VMs without fencing":                 {mutations: mutations{noFencing: true}},
		"acts without the store indefinitely": {mutations: mutations{actWithoutStore: true}, faults: faults{splitLeaders: true}},
		"accepts jobs without the lead":       {mutations: mutations{acceptUnconfirmed: true}, faults: faults{splitLeaders: true}},
		"expires leases without the lead":     {mutations: mutations{expireUnconfirmed: true}, faults: faults{splitLeaders: true}},
		"predecessor keeps leading":           {mutations: mutations{keepPredecessorActive: true}, faults: faults{splitLeaders: true, predecessorQueries: true}},
		"does not count crashes":              {mutations: mutations{skipCrashCounts: true}, faults: faults{crashingTasks: true}},
		"does not log starts":                 {mutations: mutations{skipStartLog: true}, faults: faults{crashingTasks: true, attemptLimits: true}},
		"ignores shrinking capacities":        {mutations: mutations{ignoreResizes: true}, faults: faults{resizes: true}},
		"acknowledges unanswered holds":       {mutations: mutations{ackUnanswered: true}, faults: faults{restarts: true}, firstSeed: 9600},
		"ignores new incarnations":            {mutations: mutations{ignoreIncarnations: true}, faults: faults{restarts: true}},
		"ignores evacuations":                 {mutations: mutations{ignoreEvacuations: true}, faults: faults{evacuations: true}},
		"ignores recorded VMs":                {mutations: mutations{ignoreRecordedVMs: true}, faults: faults{unlistedVMs: true}},
	} {
		t.Run(name, func(t *testing.T) {
			const seeds = 400
			results := exploreSeeds(c.firstSeed, seeds, c.faults, c.mutations)
			last := results[len(results)-1]
			require.NotEmpty(t, last.violation, "no violation found")
			t.Logf("seed %d: %s", last.seed, last.violation)
		})
	}
}
