package scheduler

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Flags of TestExploreMix, which runs any combination of faults from any seed, to search for
// violations or to read a trace:
//
//	go test ./internal/scheduler -run TestExploreMix -explore.mix crashes,list -explore.first 216 -explore.seeds 1 -v
var (
	exploreMix       = flag.String("explore.mix", "", "faults of TestExploreMix, separated by commas; 'everything' for all but carried, evacuations, lapses, latewrites, slowcrashes, successions, uneven and wakes, 'none' for only those of leaders and messages")
	exploreFirst     = flag.Uint64("explore.first", 0, "first seed of TestExploreMix")
	exploreSeedCount = flag.Uint64("explore.seeds", 1000, "seeds of TestExploreMix")
	exploreTask      = flag.String("explore.task", "", "job or task whose trace TestExploreMix prints with a single seed; empty for the task of the violation, all for all")
)

// byName returns the faults by their names in -explore.mix.
func (f *faults) byName() map[string]*bool {
	return map[string]*bool{
		"alone": &f.splitLeaders, "list": &f.unlistedVMs, "late": &f.lateWatches, "timed": &f.scheduledJobs, "attempts": &f.attemptLimits,
		"revoked": &f.revokedKeys, "crashes": &f.crashingTasks, "resizes": &f.resizes, "asks": &f.predecessorQueries, "restarts": &f.restarts,
		"carried": &f.staleOrders, "successions": &f.quickSuccessions, "lapses": &f.entryExpiry, "latewrites": &f.lateWrites, "slowcrashes": &f.slowCrashes, "wakes": &f.wakeRestarts,
		"evacuations": &f.evacuations, "uneven": &f.uneven,
	}
}

// excludedFromEverything lists the faults that "everything" leaves out: some still cause violations,
// and others would change the course of its known seeds.
var excludedFromEverything = []string{"carried", "evacuations", "lapses", "latewrites", "slowcrashes", "successions", "uneven", "wakes"}

// parseMix parses the value of -explore.mix.
func parseMix(mix string) (faults, error) {
	var f faults
	byName := f.byName()
	switch mix {
	case "none":
		return f, nil
	case "everything":
		for name, on := range byName {
			*on = !slices.Contains(excludedFromEverything, name)
		}
		return f, nil
	}
	for name := range strings.SplitSeq(mix, ",") {
		on, exists := byName[strings.TrimSpace(name)]
		if !exists {
			return f, fmt.Errorf("no fault %q; the faults are: everything, none, %s", name, strings.Join(faultNames(), ", "))
		}
		*on = true
	}
	return f, nil
}

func faultNames() []string {
	var f faults
	var names []string
	for name := range f.byName() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// findBrokenSeeds simulates seeds in parallel and returns those with violations, ordered by seed.
func findBrokenSeeds(first, seeds uint64, f faults) []seedResult {
	var next atomic.Uint64
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed []seedResult
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < seeds; i = next.Add(1) - 1 {
				w := explore(first+i, f, mutations{}, nil)
				if w.violation != "" {
					mu.Lock()
					failed = append(failed, seedResult{seed: first + i, violation: w.violation})
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	slices.SortFunc(failed, func(a, b seedResult) int { return int(a.seed) - int(b.seed) })
	return failed
}

// Runs the faults that the flags select and reports each seed with a violation.
func TestExploreMix(t *testing.T) {
	if *exploreMix == "" {
		t.Skip("run manually with -explore.mix")
	}
	f, err := parseMix(*exploreMix)
	require.NoError(t, err)
	failed := findBrokenSeeds(*exploreFirst, *exploreSeedCount, f)
	for _, result := range failed {
		t.Errorf("seed %d: %s", result.seed, result.violation)
	}
	t.Logf("%s: %d of %d seeds have violations, first seed %d", *exploreMix, len(failed), *exploreSeedCount, *exploreFirst)
	if *exploreSeedCount == 1 {
		t.Log(filteredTrace(*exploreFirst, f, mutations{}, *exploreTask))
	}
}

func TestParseMix(t *testing.T) {
	f, err := parseMix("crashes, late")
	require.NoError(t, err)
	require.Equal(t, faults{crashingTasks: true, lateWatches: true}, f)
	_, err = parseMix("crashes,rain")
	require.ErrorContains(t, err, `no fault "rain"`)
	everything, err := parseMix("everything")
	require.NoError(t, err)
	for name, on := range everything.byName() {
		require.NotEqual(t, slices.Contains(excludedFromEverything, name), *on, name)
	}
}
