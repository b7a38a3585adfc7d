package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// The interference model: the logarithm of a serving task's tail is that of its
// load alone (see baseline) and grows with the processors that fillers beside it
// use, by a slope for each pair of images. Most pairs have none, a few a large
// one. The slopes are learned from what sets a task's tail apart from those of its
// siblings; where it has none, from how the tail changes when the fillers do.

const (
	// maxImages bounds the filler images that are told apart; further ones share
	// the last place.
	maxImages = 24
	// priorSlope is what a pair is taken to do before it was seen: the prior
	// keeps an unknown filler off a task that is near its target, no more. The
	// unit is the logarithm of the tail per whole VM of processors.
	priorSlope = 0.6
	// priorWeight is how much evidence the prior counts for: that of about four
	// fillers with a tenth of a VM's processors that came or went.
	priorWeight = 0.04
	// slopeNoise is the error of a learned slope: two standard deviations of what
	// a few hundred figures tell. Less counts as nothing, or ten harmless fillers
	// together would seem to press.
	slopeNoise = 0.25
	// evidenceDecay is what remains of old evidence at each solution, 4 a second at
	// most: half of it is forgotten after a minute and a half.
	evidenceDecay = 0.998
	solveInterval = 250 * time.Millisecond
	// maxObservedEffect bounds what one comparison may tell, as a logarithm.
	maxObservedEffect = 1.5
	// maxResidual bounds how far one comparison may be from what is predicted, as
	// a logarithm: a few figures in a hundred are off by two and more.
	maxResidual = 0.4
)

// offset is the place of the regression's constant term, before those of the
// images: an error of the load's trend must not be taken for an effect of the
// fillers, of which there are some nearly everywhere. terms counts all places.
const (
	offsetTerm = 0
	maxTerms   = 1 + maxImages
)

// effectModel numbers filler images.
type effectModel struct {
	index map[string]int
	// slopesByServing holds the model of each serving image.
	slopesByServing map[string]*slopes
	solvedAt        Time
}

// fillerUses are the processors that fillers of each image use, as shares of the VM.
// The place of the constant term is 1 where figures of siblings are compared, 0
// where it cancels.
type fillerUses [maxTerms]float64

// slopes are the effects of all filler images on one serving image: ridge
// regression by its normal equations.
type slopes struct {
	a              [maxTerms][maxTerms]float64
	b              [maxTerms]float64
	slope          [maxTerms]float64
	hasNewEvidence bool
	// solveCount counts the solutions.
	solveCount int
}

func newEffectModel() effectModel {
	return effectModel{index: map[string]int{}, slopesByServing: map[string]*slopes{}}
}

// usedTerms is how many places are taken, that of the constant term included.
func (m *effectModel) usedTerms() int { return min(len(m.index)+1, maxTerms) }

// imageIndex returns the place of a filler image.
func (m *effectModel) imageIndex(image string) int {
	i, ok := m.index[image]
	if !ok {
		i = min(len(m.index)+1, maxTerms-1)
		m.index[image] = i
	}
	return i
}

func (m *effectModel) slopesOf(serving string) *slopes {
	p := m.slopesByServing[serving]
	if p == nil {
		p = &slopes{}
		for i := range p.slope {
			p.slope[i] = priorCoefficient(i)
		}
		m.slopesByServing[serving] = p
	}
	return p
}

// priorCoefficient is what a place's coefficient is taken to be before anything was seen.
func priorCoefficient(place int) float64 {
	if place == offsetTerm {
		return 0
	}
	return priorSlope
}

// slope is the effect of a filler image on a serving image; never below 0, since
// no filler helps.
func (m *effectModel) slope(serving string, filler int) float64 {
	return max(0, m.slopesOf(serving).slope[filler])
}

// effect is how much a filler image's use lengthens the tail, as a logarithm.
func (p *slopes) effect(filler int, use float64) float64 {
	return max(0, p.slope[filler]-slopeNoise) * use
}

// effects is the effect of all fillers together.
func (p *slopes) effects(x *fillerUses) float64 {
	sum := 0.0
	for i := offsetTerm + 1; i < maxTerms; i++ {
		if x[i] > 0 {
			sum += p.effect(i, x[i])
		}
	}
	return sum
}

// learn takes in that the tail of a task of the serving image is longer by the
// factor exp(dy) with the fillers' use dx, or with that much more of it.
func (m *effectModel) learn(serving string, dx *fillerUses, dy float64) {
	dy = min(max(dy, -maxObservedEffect), maxObservedEffect)
	p := m.slopesOf(serving)
	expected := 0.0
	for i, x := range dx {
		expected += x * p.slope[i]
	}
	dy = min(max(dy, expected-maxResidual), expected+maxResidual)
	for i, x := range dx {
		if x == 0 {
			continue
		}
		p.b[i] += x * dy
		for k, z := range dx {
			p.a[i][k] += x * z
		}
	}
	p.hasNewEvidence = true
}

// solve brings the slopes up to date.
func (m *effectModel) solve(now Time) {
	if now-m.solvedAt < solveInterval {
		return
	}
	m.solvedAt = now
	n := m.usedTerms()
	for _, p := range m.slopesByServing {
		if p.hasNewEvidence {
			p.solve(n)
			p.hasNewEvidence = false
		}
	}
}

// describe tells the slopes that matter, for the log.
func (m *effectModel) describe() string {
	names := make([]string, m.usedTerms())
	for name, i := range m.index {
		names[i] = name
	}
	var b strings.Builder
	for _, serving := range slices.Sorted(maps.Keys(m.slopesByServing)) {
		fmt.Fprintf(&b, "%s:", serving)
		for i := offsetTerm + 1; i < len(names); i++ {
			if slope := m.slope(serving, i); slope >= 1 {
				fmt.Fprintf(&b, " %s=%.1f", names[i], slope)
			}
		}
		b.WriteString("; ")
	}
	return b.String()
}

// solve finds the coefficients of the first n places by Gaussian elimination. The
// prior keeps the matrix positive definite, so no pivoting is needed.
func (p *slopes) solve(n int) {
	p.solveCount++
	var m [maxTerms][maxTerms + 1]float64
	for i := range n {
		for k := range n {
			m[i][k] = p.a[i][k]
			p.a[i][k] *= evidenceDecay
		}
		m[i][i] += priorWeight
		m[i][n] = p.b[i] + priorWeight*priorCoefficient(i)
		p.b[i] *= evidenceDecay
	}
	for i := range n {
		for r := i + 1; r < n; r++ {
			f := m[r][i] / m[i][i]
			if f == 0 {
				continue
			}
			for k := i; k <= n; k++ {
				m[r][k] -= f * m[i][k]
			}
		}
	}
	for i := n - 1; i >= 0; i-- {
		sum := m[i][n]
		for k := i + 1; k < n; k++ {
			sum -= m[i][k] * p.slope[k]
		}
		p.slope[i] = sum / m[i][i]
	}
}
