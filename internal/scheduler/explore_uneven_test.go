package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/scheduler/runtimes"
)

const (
	// slowRunFactor is how many times as long runs take on a slow VM, up to maxSlowRun: longer ones
	// would outlast the phase without faults.
	slowRunFactor = 5
	maxSlowRun    = 20 * time.Second
	// unevenTasks is the maximum number of tasks of a step with uneven VMs: a run is compared with
	// two siblings.
	unevenTasks = 3
)

// maxTasks returns the maximum number of tasks of a step.
func (w *world) maxTasks() int {
	if w.faults.uneven {
		return unevenTasks
	}
	return 2
}

// policy returns the policy of the leaders.
func (w *world) policy() *Policy {
	p := declaredDurations()
	if w.faults.uneven {
		p.Stragglers, p.SpeedWeight = runtimes.WayGain, 1
	}
	return p
}

// reportedProgress returns the progress that a VM reports of a run, in percent: the true one with
// uneven VMs, else any.
func (w *world) reportedProgress(r modelRun) int {
	if !w.faults.uneven {
		return w.rng.IntN(100)
	}
	return int(100 * (w.now - r.from) / max(r.until-r.from, 1))
}

// Guards against violations by the stops and restarts of slow runs, beside changes of the leader,
// restarts of VMs, tasks that crash them, limits of attempts and evacuations.
func TestExploreUneven(t *testing.T) {
	for _, mix := range []string{"uneven", "uneven,restarts,attempts", "uneven,crashes,late", "uneven,alone,revoked,asks", "uneven,evacuations,list"} {
		f, err := parseMix(mix)
		require.NoError(t, err)
		failed := findBrokenSeeds(0, 60**exploreScale, f)
		for _, result := range failed {
			t.Errorf("%s, seed %d: %s", mix, result.seed, result.violation)
		}
	}
}

// The mix must reach the decisions that it is meant to test.
func TestUnevenMixRelocatesRuns(t *testing.T) {
	f, err := parseMix("uneven")
	require.NoError(t, err)
	reviewed, stopped := 0, 0
	for seed := range uint64(40) {
		explore(seed, f, mutations{}, func(line string) {
			switch {
			case strings.Contains(line, EventRunSlow):
				reviewed++
			case strings.Contains(line, EventRunStopped) && strings.Contains(line, ReasonSlow):
				stopped++
			}
		})
	}
	t.Logf("%d runs considered, %d stopped as slow", reviewed, stopped)
	require.NotZero(t, reviewed)
	require.NotZero(t, stopped)
}
