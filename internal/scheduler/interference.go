package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// The interference model: the logarithm of a serving task's tail is that of its load alone (see
// baseline) plus, for each filler image on the VM, a slope times the processors that its fillers
// use. Most pairs of serving and filler images have a slope of zero, a few a large one. The
// slopes are learned from differences between a task's tail and those of its siblings; for tasks
// without siblings, from changes of the tail when the fillers change.

const (
	// maxImages bounds the filler images that are distinguished; further ones share the last
	// index.
	maxImages = 24
	// priorSlope is the slope assumed for an unobserved pair. It only keeps an unknown filler off
	// tasks close to their targets. The unit is the logarithm of the tail per processors of a
	// whole VM.
	priorSlope = 0.6
	// priorWeight is the weight of the prior as evidence: that of about four fillers with a tenth
	// of a VM's processors that started or ended.
	priorWeight = 0.04
	// slopeNoise is the error of a learned slope: two standard deviations after a few hundred
	// samples. It is subtracted from slopes; otherwise ten harmless fillers together would seem
	// to interfere.
	slopeNoise = 0.25
	// evidenceDecay is the remaining share of old evidence at each solution, of which there are
	// at most 4 a second: its half-life is a minute and a half.
	evidenceDecay = 0.998
	solveInterval = 250 * time.Millisecond
	// maxObservedEffect bounds the effect in one comparison, as a logarithm.
	maxObservedEffect = 1.5
	// maxResidual bounds the deviation of one comparison from its prediction, as a logarithm: a
	// few samples in a hundred are off by a factor of two or more.
	maxResidual = 0.4
)

// offsetTerm is the index of the regression's constant term, which precedes those of the images.
// It keeps errors of the load's trend from being attributed to the fillers, which run almost
// everywhere. maxTerms is the number of terms.
const (
	offsetTerm = 0
	maxTerms   = 1 + maxImages
)

// effectModel holds the learned effects of filler images on serving images.
type effectModel struct {
	index map[string]int
	// slopesByServing holds the slopes of each serving image.
	slopesByServing map[string]*slopes
	solvedAt        Time
}

// fillerUses is the processor use of fillers by image, as shares of the VM. The constant term is
// 1 for comparisons with siblings, and 0 for comparisons over time, where it cancels out.
type fillerUses [maxTerms]float64

// slopes holds the effects of all filler images on one serving image, estimated by ridge
// regression with the normal equations a*slope = b.
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

// usedTerms is the number of terms in use, including the constant term.
func (m *effectModel) usedTerms() int { return min(len(m.index)+1, maxTerms) }

// imageIndex returns the term index of a filler image.
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

// priorCoefficient is the assumed coefficient of a term without evidence.
func priorCoefficient(term int) float64 {
	if term == offsetTerm {
		return 0
	}
	return priorSlope
}

// slope is the learned effect of a filler image on a serving image. It is at least 0, since no
// filler shortens a tail.
func (m *effectModel) slope(serving string, filler int) float64 {
	return max(0, m.slopesOf(serving).slope[filler])
}

// effect is the increase of the tail by fillers of one image with this use, as a logarithm.
func (p *slopes) effect(filler int, use float64) float64 {
	return max(0, p.slope[filler]-slopeNoise) * use
}

// effects is the increase of the tail by all fillers.
func (p *slopes) effects(x *fillerUses) float64 {
	sum := 0.0
	for i := offsetTerm + 1; i < maxTerms; i++ {
		if x[i] > 0 {
			sum += p.effect(i, x[i])
		}
	}
	return sum
}

// learn adds the observation that a tail of the serving image is longer by the factor exp(dy) for
// a difference dx in the fillers' use.
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

// solve updates the slopes that have new evidence.
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

// describe formats the slopes of 1 and more for the log.
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

// solve computes the coefficients of the first n terms by Gaussian elimination. The prior keeps
// the matrix positive definite, so no pivoting is needed.
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
