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

// Flags that play any mix of faults from any seed, for a hunt or to read a trace:
//
//	go test ./internal/scheduler -run TestExploreMix -explore.mix crashes,list -explore.first 216 -explore.seeds 1 -v
var (
	exploreMix       = flag.String("explore.mix", "", "faults of TestExploreMix, separated by commas; 'everything' for all but carried, lapses, latewrites, slowcrashes, successions and wakes, 'none' for none beside leaders and messages")
	exploreFirst     = flag.Uint64("explore.first", 0, "first seed of TestExploreMix")
	exploreSeedCount = flag.Uint64("explore.seeds", 1000, "seeds of TestExploreMix")
	exploreTask      = flag.String("explore.task", "", "job or task whose lines TestExploreMix shows, where it plays one seed; empty for what broke, all for all")
)

// faultNames are the faults by the names that the flags take.
func (f *faults) byName() map[string]*bool {
	return map[string]*bool{
		"alone": &f.splitLeaders, "list": &f.unlistedVMs, "late": &f.lateWatches, "timed": &f.scheduledJobs, "attempts": &f.attemptLimits,
		"revoked": &f.revokedKeys, "crashes": &f.crashingTasks, "resizes": &f.resizes, "asks": &f.predecessorQueries, "restarts": &f.restarts,
		"carried": &f.staleOrders, "successions": &f.quickSuccessions, "lapses": &f.entryExpiry, "latewrites": &f.lateWrites, "slowcrashes": &f.slowCrashes, "wakes": &f.wakeRestarts,
	}
}

// excludedFromEverything are the faults that "everything" leaves out: those that break rules as yet, and
// those that would change what the seeds of it show.
var excludedFromEverything = []string{"carried", "lapses", "latewrites", "slowcrashes", "successions", "wakes"}

// parseMix reads faults by their names.
func parseMix(mix string) (faults, error) {
	var f faults
	named := f.byName()
	switch mix {
	case "none":
		return f, nil
	case "everything":
		for name, on := range named {
			*on = !slices.Contains(excludedFromEverything, name)
		}
		return f, nil
	}
	for name := range strings.SplitSeq(mix, ",") {
		on, known := named[strings.TrimSpace(name)]
		if !known {
			return f, fmt.Errorf("no fault %q; there are: everything, none, %s", name, strings.Join(faultNames(), ", "))
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

// findBrokenSeeds plays seeds, some at once, and returns all that broke, by seed.
func findBrokenSeeds(first, seeds uint64, f faults) []seedResult {
	var next atomic.Uint64
	var mu sync.Mutex
	var work sync.WaitGroup
	var broken []seedResult
	for range runtime.GOMAXPROCS(0) {
		work.Go(func() {
			for i := next.Add(1) - 1; i < seeds; i = next.Add(1) - 1 {
				w := explore(first+i, f, mutations{}, nil)
				if w.violation != "" {
					mu.Lock()
					broken = append(broken, seedResult{seed: first + i, violation: w.violation})
					mu.Unlock()
				}
			}
		})
	}
	work.Wait()
	slices.SortFunc(broken, func(a, b seedResult) int { return int(a.seed) - int(b.seed) })
	return broken
}

// Plays the mix that the flags name and tells each seed that breaks a rule.
func TestExploreMix(t *testing.T) {
	if *exploreMix == "" {
		t.Skip("played by hand: -explore.mix")
	}
	f, err := parseMix(*exploreMix)
	require.NoError(t, err)
	broken := findBrokenSeeds(*exploreFirst, *exploreSeedCount, f)
	for _, o := range broken {
		t.Errorf("seed %d: %s", o.seed, o.violation)
	}
	t.Logf("%s: %d of %d seeds from %d broken", *exploreMix, len(broken), *exploreSeedCount, *exploreFirst)
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
