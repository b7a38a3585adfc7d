package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pressingPairs makes three families of images: the fillers of each press on what
// serves in it, and on nothing else; the fourth presses on nobody.
func (p *simulation) pressingPairs() (servingImages, fillerImages []string) {
	servingImages = []string{"web-a", "api-a", "web-b", "api-b", "web-c", "api-c"}
	fillerImages = []string{"crunch-a", "index-a", "crunch-b", "index-b", "crunch-c", "crunch-d"}
	for _, s := range servingImages {
		for _, f := range fillerImages {
			if s[len(s)-1] == f[len(f)-1] {
				p.slopes[[2]string{s, f}] = 4.5
			}
		}
	}
	return servingImages, fillerImages
}

// Symptom: of what serves a tenth is over its target while fillers wait by the
// hundred beside idle processors.
// Load: serving tasks declare nine tenths of all processors and use half of them
// on average, in swings of ten seconds, each job at its own time; fillers come for
// two thirds of what is left, with a burst of twice that for six seconds.
// Cause: a rise of the load was blamed on the fillers beside it; the lack of
// processors at the swing's peak on nobody.
func TestFillersBesideSwingingLoads(t *testing.T) {
	for seed := range uint64(3) {
		p := newSimulation(t, 40, seed)
		servingImages, fillerImages := p.pressingPairs()
		p.submitServing(36, 5, servingImages...)
		// 40 VMs have 2560 processors; some 1300 are left by what serves.
		p.submitFillers(5.3, 8, p.now+4*time.Second, 40*time.Second, fillerImages...)
		p.submitFillers(5.3, 8, 20*time.Second, 26*time.Second, fillerImages...)
		p.runUntil(46 * time.Second)
		t.Logf("seed %d: over target %.4f, fillers on time %.3f, filler work %.0f processor seconds", seed, p.overTargetShare(), onTime(p.fillers(38*time.Second)), p.doneWork)
		require.Less(t, p.overTargetShare(), 0.02)
		require.Greater(t, onTime(p.fillers(38*time.Second)), 0.5)
	}
}

// Symptom: while more work comes than there is room for, most jobs begin and few
// end on time, the largest least of all.
// Load: jobs of one to four steps, some ten times as large as others, come for
// twice the processors that are left, for twelve seconds, between quieter spells.
// Cause: the job with the least slack went first, so that all were begun and
// ended late together.
func TestOverloadOfFillerChains(t *testing.T) {
	const seeds = 8
	var jobsOnTime, work, largest float64
	for seed := range uint64(seeds) {
		p := newSimulation(t, 40, seed)
		servingImages, fillerImages := p.pressingPairs()
		p.submitServing(36, 5, servingImages...)
		p.submitFillerChains(4, p.now+4*time.Second, 40*time.Second, fillerImages...)
		p.submitFillerChains(4, 14*time.Second, 26*time.Second, fillerImages...)
		p.runUntil(60 * time.Second)
		jobs := p.fillers(40 * time.Second)
		jobsOnTime += onTime(jobs) / seeds
		work += workOnTime(jobs) / seeds
		largest += onTime(jobs[len(jobs)*9/10:]) / seeds
		require.Less(t, p.overTargetShare(), 0.02)
	}
	t.Logf("on time: %.3f of the jobs, %.3f of the work, %.3f of the largest tenth", jobsOnTime, work, largest)
	require.Greater(t, work, 0.585)
	// The largest are served at no less than half the rate of all.
	require.Greater(t, largest, jobsOnTime/2)
}
