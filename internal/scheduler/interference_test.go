package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// learnPairs trains the model with fillers that start and end beside tasks whose tails follow the
// true slopes, with noise.
func learnPairs(m *effectModel, truth map[string][]float64, fillers []string, samples int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	for n := range samples {
		var dx fillerUses
		for i := range fillers {
			if random.Float64() < 0.3 {
				dx[m.imageIndex(fillers[i])] = (random.Float64() - 0.5) * 0.3
			}
		}
		for serving, slopes := range truth {
			dy := random.NormFloat64() * 0.3
			for i := range fillers {
				dy += slopes[i] * dx[m.imageIndex(fillers[i])]
			}
			m.learn(serving, &dx, dy)
		}
		// Ten comparisons per solution, as with 48 VMs.
		m.solve(time.Duration(n/10) * time.Second)
	}
}

// The model must identify the few interfering pairs from noisy differences with the number of
// reports of the first seconds.
func TestSlopesAreLearned(t *testing.T) {
	fillers := []string{"light", "heavy", "some"}
	truth := map[string][]float64{"minds": {0, 6, 3}, "careless": {0, 0, 0}}
	for seed := range uint64(10) {
		m := newEffectModel()
		learnPairs(&m, truth, fillers, 1500, seed)
		for serving, slopes := range truth {
			for i, filler := range fillers {
				require.InDelta(t, slopes[i], m.slope(serving, m.imageIndex(filler)), 1.2, "%s beside %s, seed %d", filler, serving, seed)
			}
		}
	}
}

// Guards against ten seconds of exceeded targets after each change of leader: the new leader did
// not get the model that its predecessor had learned.
func TestModelIsPassedToTheNextLeader(t *testing.T) {
	first := New(Settings{}, 1, nil)
	learnPairs(&first.images, map[string][]float64{"minds": {0, 6}}, []string{"light", "heavy"}, 300, 1)
	next := New(Settings{}, 2, nil)
	next.SetInterferenceModel(first.InterferenceModel())
	for _, filler := range []string{"light", "heavy"} {
		want := first.images.slope("minds", first.images.imageIndex(filler))
		require.InDelta(t, want, next.images.slope("minds", next.images.imageIndex(filler)), 0.1)
	}
}

// More images than maxImages must neither panic nor produce invalid slopes.
func TestExcessImagesShareTheLastIndex(t *testing.T) {
	m := newEffectModel()
	for i := range 3 * maxImages {
		require.Less(t, m.imageIndex(string(rune('A'+i))), maxTerms)
	}
	require.False(t, math.IsNaN(m.slope("s", maxImages-1)))
}
