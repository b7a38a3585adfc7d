package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// interferingPairs returns images of three families. The fillers of a family affect its serving
// images and no others; one more filler image affects none.
func (sim *simulation) interferingPairs() (servingImages, fillerImages []string) {
	servingImages = []string{"web-a", "api-a", "web-b", "api-b", "web-c", "api-c"}
	fillerImages = []string{"crunch-a", "index-a", "crunch-b", "index-b", "crunch-c", "crunch-d"}
	for _, s := range servingImages {
		for _, f := range fillerImages {
			if s[len(s)-1] == f[len(f)-1] {
				sim.slopes[[2]string{s, f}] = 4.5
			}
		}
	}
	return servingImages, fillerImages
}

// Guards against a tenth of the serving time over target while hundreds of fillers wait beside
// idle processors. A rise of the load was attributed to the fillers on the VM, and the lack of
// processors at peak load was not taken into account. Load: serving tasks declare nine tenths of
// all processors and use half of them on average, in periods of ten seconds, with a different
// phase for each job. Fillers demand two thirds of the remaining processors, and twice that for
// six seconds.
func TestFillersBesideSwingingLoads(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(t, 40, seed)
		servingImages, fillerImages := sim.interferingPairs()
		sim.submitServing(36, 5, servingImages...)
		// 40 VMs have 2560 processors, of which the serving tasks leave some 1300.
		sim.submitFillers(5.3, 8, sim.now+4*time.Second, 40*time.Second, fillerImages...)
		sim.submitFillers(5.3, 8, 20*time.Second, 26*time.Second, fillerImages...)
		sim.runUntil(46 * time.Second)
		t.Logf("seed %d: over target %.4f, fillers on time %.3f, filler work %.0f processor seconds", seed, sim.overTargetShare(), onTime(sim.fillers(38*time.Second)), sim.doneWork)
		require.Less(t, sim.overTargetShare(), 0.02)
		require.Greater(t, onTime(sim.fillers(38*time.Second)), 0.5)
	}
}

// Guards against an overload in which most jobs start and few end on time, the largest least of
// all: with the job of least slack first, all jobs were started and ended late together. Load:
// jobs of one to four steps, some ten times as large as others, demand twice the available
// processors for twelve seconds between quieter periods.
func TestOverloadOfFillerChains(t *testing.T) {
	const seeds = 8
	var jobsOnTime, work, largest float64
	for seed := range uint64(seeds) {
		sim := newSimulation(t, 40, seed)
		servingImages, fillerImages := sim.interferingPairs()
		sim.submitServing(36, 5, servingImages...)
		sim.submitFillerChains(4, sim.now+4*time.Second, 40*time.Second, fillerImages...)
		sim.submitFillerChains(4, 14*time.Second, 26*time.Second, fillerImages...)
		sim.runUntil(60 * time.Second)
		jobs := sim.fillers(40 * time.Second)
		jobsOnTime += onTime(jobs) / seeds
		work += workOnTime(jobs) / seeds
		largest += onTime(jobs[len(jobs)*9/10:]) / seeds
		require.Less(t, sim.overTargetShare(), 0.02)
	}
	t.Logf("on time: %.3f of the jobs, %.3f of the work, %.3f of the largest tenth", jobsOnTime, work, largest)
	require.Greater(t, work, 0.585)
	// The largest tenth must reach at least half the rate of all jobs.
	require.Greater(t, largest, jobsOnTime/2)
}
