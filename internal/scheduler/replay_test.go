package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pressingPairs makes three families of images: the fillers of each press on what
// serves in it, and on nothing else; the fourth presses on nobody.
func (p *player) pressingPairs() (servingImages, fillerImages []string) {
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
		p := newPlayer(t, 40, seed)
		servingImages, fillerImages := p.pressingPairs()
		p.serve(36, 5, servingImages...)
		// 40 VMs have 2560 processors; some 1300 are left by what serves.
		p.fill(5.3, 8, p.now+4*time.Second, 40*time.Second, fillerImages...)
		p.fill(5.3, 8, 20*time.Second, 26*time.Second, fillerImages...)
		p.play(46 * time.Second)
		t.Logf("seed %d: over target %.4f, fillers on time %.3f, filler work %.0f processor seconds", seed, p.over(), p.onTime(38*time.Second), p.doneWork)
		require.Less(t, p.over(), 0.02)
		require.Greater(t, p.onTime(38*time.Second), 0.5)
	}
}
