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

// The explorer runs the scheduler of production against VMs of a model, with
// leaders that die, are frozen, cut off or deposed without knowing, messages that
// are lost, late or carried out after newer ones, and clocks that are 2 % slow.
// What the VMs see is judged. faults says what may go wrong beside.
type faults struct {
	// splitLeaders: leaders without the store are left with some of the VMs, which nobody else
	// reaches.
	splitLeaders bool
	// unlistedVMs: zones and VMs are cut off, from the store, its leader or both, so that
	// VMs that live go off the list and come back; others drain, crash, and begin a
	// new life.
	unlistedVMs bool
	// lateWatches: leaders learn jobs and cancels seconds late.
	lateWatches bool
	// scheduledJobs: jobs have occurrences, which leaders open late and by clocks that differ.
	scheduledJobs bool
	// attemptLimits: queues bound how often a task may fail.
	attemptLimits bool
	// revokedKeys: the key is taken from leaders that have just renewed it, and that are cut
	// off from the store and left with some of the VMs.
	revokedKeys bool
	// crashingTasks: some tasks end each VM that begins them.
	crashingTasks bool
	// resizes: VMs do not guard their capacity, which shrinks and grows.
	resizes bool
	// predecessorQueries: new leaders ask their predecessors how long leases may last.
	predecessorQueries bool
	// restarts: VMs start again under the IDs that they had, many at once.
	restarts bool
	// staleOrders: an order that a VM has taken and carries out late is carried out by its next
	// start, where it has started again meanwhile.
	staleOrders bool
	// entryExpiry: the entries of VMs that have ended go, as they do with list and restarts.
	entryExpiry bool
	// wakeRestarts: VMs start again within a second before a frozen leader wakes.
	wakeRestarts bool
	// quickSuccessions: leaders follow each other within seconds while one is left alone, which no
	// other process reaches; leases are shorter than it may act.
	quickSuccessions bool
	// lateWrites: writes to the log of starts are carried out seconds late, without an answer.
	lateWrites bool
	// slowCrashes: tasks end their VMs as late as a second and a half after they began.
	slowCrashes bool
}

// mutations leave a safeguard out; each has to be found.
type mutations struct {
	// noExpect: a new leader starts old tasks without hearing the VMs.
	noExpect bool
	// ackBeforeWrite: ends are acknowledged before their record is written.
	ackBeforeWrite bool
	// shortWait: a new leader waits a second for VMs that it does not reach.
	shortWait bool
	// dropUnansweredStarts: a start without an answer is taken not to have happened.
	dropUnansweredStarts bool
	// noFencing: VMs do not look at fencing tokens.
	noFencing bool
	// ignoreRecordedVMs: a new leader knows of no VMs but those on the list.
	ignoreRecordedVMs bool
	// actWithoutStore: a leader without the store goes on giving orders.
	actWithoutStore bool
	// acceptUnconfirmed: a leader takes new jobs up that may no longer lead.
	acceptUnconfirmed bool
	// expireUnconfirmed: a leader that may no longer lead takes leases to be over by time.
	expireUnconfirmed bool
	// keepPredecessorActive: a predecessor that is asked goes on.
	keepPredecessorActive bool
	// skipCrashCounts: nobody counts the VMs that ended under a task.
	skipCrashCounts bool
	// skipStartLog: a successor is not told of starts whose VMs' ends nobody has noted.
	skipStartLog bool
	// ignoreResizes: a VM's capacity is taken for what it was at first.
	ignoreResizes bool
	// ackUnanswered: ends are acknowledged after holds that had no answer.
	ackUnanswered bool
	// ignoreIncarnations: a VM's next start is taken for the one before.
	ignoreIncarnations bool
}

// exploreScale runs more seeds of everything, for a hunt: -explore.scale 10.
var exploreScale = flag.Uint64("explore.scale", 1, "times as many seeds of the explorer")

const (
	exploreSteps = 700
	// maxTraceLines bounds what is shown of a seed that broke.
	maxTraceLines = 80
)

// explore runs one seed and returns what broke.
func explore(seed uint64, f faults, b mutations, traced func(string)) *world {
	w := newWorld(seed, f, b, traced)
	for range exploreSteps {
		w.step()
		if w.violation != "" {
			return w
		}
	}
	w.settle()
	return w
}

// seedResult is what is kept of a seed.
type seedResult struct {
	seed                                uint64
	violation                           string
	starts, leaderChanges, withheldAcks int
	saturated                           bool
}

// exploreSeeds runs seeds from first on, some at once, up to the first that breaks, which comes last.
func exploreSeeds(first, seeds uint64, f faults, b mutations) []seedResult {
	outcomes := make([]seedResult, seeds)
	var next, broken atomic.Uint64
	broken.Store(seeds)
	var work sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		work.Go(func() {
			for seed := next.Add(1) - 1; seed < broken.Load(); seed = next.Add(1) - 1 {
				w := explore(first+seed, f, b, nil)
				outcomes[seed] = seedResult{first + seed, w.violation, w.starts, w.leaderChanges, w.withheldAcks, w.saturated}
				for least := broken.Load(); w.violation != "" && seed < least && !broken.CompareAndSwap(least, seed); {
					least = broken.Load()
				}
			}
		})
	}
	work.Wait()
	return outcomes[:min(broken.Load()+1, seeds)]
}

// taskPattern finds the task in a line of a trace.
var taskPattern = regexp.MustCompile(`\bj\d+\.\d+\.\d+\.\d+\b`)

// failureTrace returns the last lines of what a seed that broke shows of it.
func failureTrace(seed uint64, f faults, b mutations) string {
	lines := strings.Split(filteredTrace(seed, f, b, ""), "\n")
	return strings.Join(lines[max(0, len(lines)-maxTraceLines):], "\n")
}

// allTasks has filteredTrace show everything.
const allTasks = "all"

// filteredTrace returns what a seed shows of a task, of a job, or of what broke where about is "",
// with all that tells of no task.
func filteredTrace(seed uint64, f faults, b mutations, about string) string {
	var lines []string
	w := explore(seed, f, b, func(line string) { lines = append(lines, line) })
	if about == "" && w.violationTask.Job != "" {
		about = w.violationTask.String()
	}
	var shown []string
	for _, line := range lines {
		ofTask := taskPattern.FindString(line)
		of := about == "" || ofTask == about || strings.HasPrefix(ofTask, about+".")
		if of || about == allTasks || (ofTask == "" && !strings.Contains(line, "job_")) {
			shown = append(shown, line)
		}
	}
	return strings.Join(shown, "\n")
}

// exploreProfile is some seeds of some faults.
type exploreProfile struct {
	name   string
	faults faults
	seeds  uint64
}

// ownershipProfiles are the faults of VMs that have a new ID each time they start.
var ownershipProfiles = []exploreProfile{
	{"leaders and messages", faults{}, 120},
	{"leaders alone with some VMs", faults{splitLeaders: true}, 120},
	{"VMs off the list", faults{unlistedVMs: true}, 160},
	{"jobs learned late", faults{lateWatches: true}, 120},
	{"timed jobs", faults{scheduledJobs: true}, 120},
	{"attempts", faults{attemptLimits: true}, 120},
	{"tasks that end their VMs", faults{crashingTasks: true}, 120},
	{"tasks that end their VMs, log written late", faults{crashingTasks: true, lateWrites: true, attemptLimits: true}, 120},
	{"tasks that end their VMs, VMs off the list", faults{crashingTasks: true, unlistedVMs: true, splitLeaders: true, predecessorQueries: true}, 120},
	{"capacities that shrink", faults{resizes: true}, 120},
	{"capacities that shrink, VMs off the list", faults{resizes: true, unlistedVMs: true, splitLeaders: true, predecessorQueries: true, crashingTasks: true}, 120},
	{"keys taken away", faults{splitLeaders: true, revokedKeys: true}, 120},
	{"predecessors asked", faults{splitLeaders: true, predecessorQueries: true}, 160},
	{"predecessors asked, leaders that follow each other", faults{splitLeaders: true, predecessorQueries: true, quickSuccessions: true}, 160},
	{"predecessors asked, VMs off the list", faults{splitLeaders: true, unlistedVMs: true, revokedKeys: true, predecessorQueries: true}, 160},
	{"all, predecessors asked", faults{splitLeaders: true, unlistedVMs: true, lateWatches: true, scheduledJobs: true, attemptLimits: true, revokedKeys: true, predecessorQueries: true}, 160},
	{"all", faults{splitLeaders: true, unlistedVMs: true, lateWatches: true, scheduledJobs: true, attemptLimits: true, revokedKeys: true}, 120},
}

// restartProfiles are those of VMs that start again under the IDs that they had.
var restartProfiles = []exploreProfile{
	{"restarts", faults{restarts: true}, 160},
	{"restarts, attempts, timed jobs", faults{restarts: true, attemptLimits: true, scheduledJobs: true}, 160},
	{"restarts, VMs off the list", faults{restarts: true, unlistedVMs: true}, 160},
	{"restarts, leaders alone with some VMs", faults{restarts: true, splitLeaders: true, revokedKeys: true}, 160},
	{"restarts, tasks that end their VMs", faults{restarts: true, crashingTasks: true}, 160},
	{"restarts, capacities that shrink", faults{restarts: true, resizes: true, unlistedVMs: true}, 120},
	{"restarts, predecessors asked", faults{restarts: true, splitLeaders: true, unlistedVMs: true, revokedKeys: true, predecessorQueries: true}, 160},
	{"restarts, VMs that start as a frozen leader wakes", faults{restarts: true, wakeRestarts: true}, 160},
	{"all with restarts", faults{splitLeaders: true, unlistedVMs: true, lateWatches: true, scheduledJobs: true, attemptLimits: true, revokedKeys: true, predecessorQueries: true, restarts: true}, 160},
}

func exploreProfiles() []exploreProfile { return slices.Concat(ownershipProfiles, restartProfiles) }

// No task runs in two places, and none starts after its end was acknowledged or
// is acknowledged later, whatever happens to leaders, messages, clocks and VMs; and
// once nothing happens any more, all that can end has ended.
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
	starts, changes, cautious, full := 0, 0, 0, 0
	for _, o := range exploreSeeds(0, seeds, c.faults, mutations{}) {
		if o.violation != "" {
			t.Fatalf("seed %d: %s\n%s", o.seed, o.violation, failureTrace(o.seed, c.faults, mutations{}))
		}
		starts += o.starts
		changes += o.leaderChanges
		cautious += min(o.withheldAcks, 1)
		if o.saturated {
			full++
		}
	}
	t.Logf("%d seeds: %d starts, %d leaders, nothing broken; %d with ends withheld though their lease had lapsed, %d with all VMs withheld", seeds, starts, changes, cautious, full)
	require.Greater(t, starts, int(seeds)*20)
}

// The same where VMs start again under the IDs that they had: of all that is kept per VM it
// has to be clear which start was meant.
func TestExploreRestarts(t *testing.T) {
	for _, c := range restartProfiles {
		t.Run(c.name, c.run)
	}
}

// Each safeguard is needed: without it the explorer finds a double run.
func TestExploreDetectsMutations(t *testing.T) {
	for name, c := range map[string]struct {
		breaks mutations
		faults faults
		// first is the first of the seeds.
		first uint64
	}{
		"starts without hearing the VMs":     {breaks: mutations{noExpect: true}},
		"acknowledges before it writes":      {breaks: mutations{ackBeforeWrite: true}},
		"waits a second for silent VMs":      {breaks: mutations{shortWait: true}},
		"forgets unanswered starts":          {breaks: mutations{dropUnansweredStarts: true}},
		"VMs without fencing":                {breaks: mutations{noFencing: true}},
		"acts without the store for ever":    {breaks: mutations{actWithoutStore: true}, faults: faults{splitLeaders: true}},
		"takes jobs up without the lead":     {breaks: mutations{acceptUnconfirmed: true}, faults: faults{splitLeaders: true}},
		"gives up VMs without the lead":      {breaks: mutations{expireUnconfirmed: true}, faults: faults{splitLeaders: true}},
		"a predecessor goes on":              {breaks: mutations{keepPredecessorActive: true}, faults: faults{splitLeaders: true, predecessorQueries: true}},
		"does not count crashes":             {breaks: mutations{skipCrashCounts: true}, faults: faults{crashingTasks: true}},
		"does not log its starts":            {breaks: mutations{skipStartLog: true}, faults: faults{crashingTasks: true, attemptLimits: true}},
		"overlooks that capacities shrink":   {breaks: mutations{ignoreResizes: true}, faults: faults{resizes: true}},
		"acknowledges after silence":         {breaks: mutations{ackUnanswered: true}, faults: faults{restarts: true}, first: 9600},
		"takes a new start for the old":      {breaks: mutations{ignoreIncarnations: true}, faults: faults{restarts: true}},
		"knows no VMs that are off the list": {breaks: mutations{ignoreRecordedVMs: true}, faults: faults{unlistedVMs: true}},
	} {
		t.Run(name, func(t *testing.T) {
			const seeds = 400
			outcomes := exploreSeeds(c.first, seeds, c.faults, c.breaks)
			last := outcomes[len(outcomes)-1]
			require.NotEmpty(t, last.violation, "not found")
			t.Logf("seed %d: %s", last.seed, last.violation)
		})
	}
}
