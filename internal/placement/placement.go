// Package placement chooses the VM for a task or a request. It is pure: a
// snapshot of candidates goes in, a choice comes out.
package placement

import (
	"github.com/rattanwall/rattanwall/internal/model"
)

// Candidate is one VM as the chooser sees it.
type Candidate struct {
	Name string
	// Free is what tasks may still take on it.
	Free     model.Resources
	Capacity model.Resources
	// Slowdown is the newest measured factor by which its tasks slow its
	// requests; 1 is none.
	Slowdown float64
}

// The weights of a task's score; see Score.
const (
	weightFit          = 1.0
	weightAccelerators = 2.0
	weightSlowdown     = 1.0
)

// Choose returns the index of the best candidate that holds need, or -1.
func Choose(candidates []Candidate, need model.Resources) int {
	best, bestScore := -1, 0.0
	for i, c := range candidates {
		if !need.FitsIn(c.Free) {
			continue
		}
		if s := Score(c, need); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Score rates a candidate that holds need; higher is better. It spreads load
// over processors, keeps tasks without accelerators off the VMs that have them
// free, and avoids VMs whose requests are already slowed.
func Score(c Candidate, need model.Resources) float64 {
	score := 0.0
	if c.Capacity.MilliCPU > 0 {
		score += weightFit * float64(c.Free.MilliCPU-need.MilliCPU) / float64(c.Capacity.MilliCPU)
	}
	if need.Accelerators == 0 && c.Free.Accelerators > 0 {
		score -= weightAccelerators
	}
	return score - weightSlowdown*(max(c.Slowdown, 1)-1)
}
