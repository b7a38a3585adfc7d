// Package placement chooses the VM for a task from a snapshot of candidates. Its
// functions are pure.
package placement

import (
	"github.com/rattanwall/rattanwall/internal/model"
)

// Candidate describes a VM that a task could be placed on.
type Candidate struct {
	Name string
	// Free is the amount of resources that tasks may still take.
	Free     model.Resources
	Capacity model.Resources
	// Slowdown is the latest measured factor by which the VM's tasks slow its
	// requests; 1 means no slowdown.
	Slowdown float64
}

// The weights of a task's score; see Score.
const (
	weightFit          = 1.0
	weightAccelerators = 2.0
	weightSlowdown     = 1.0
)

// Choose returns the index of the best candidate with the resources need free, or -1.
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

// Score rates a candidate that has need free; higher is better. It spreads load by
// processors, keeps tasks that need no accelerators off VMs with free ones, and
// avoids VMs whose requests are already slowed down.
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
