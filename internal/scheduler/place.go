package scheduler

import "github.com/rattanwall/rattanwall/internal/batch"

const (
	// servingShare is the part of their declared processors that serving tasks
	// are taken to use on average; the rest is left to fillers.
	servingShare = 0.6
	// fillerOvercommit is how much more than the predicted rest fillers may ask
	// for on one VM.
	fillerOvercommit = 1.0
	// farPenalty is what a place away from the data costs in the score, where 1
	// is a whole VM's processors.
	farPenalty = 2.0
	// rackBonus draws the tasks of one step to one rack.
	rackBonus = 2.0
	// effectPenalty keeps fillers off VMs where they press on what serves, for
	// each unit of the logarithm of a tail.
	effectPenalty = 3.0
	// negligible is the effect, as a logarithm, of a filler that may start beside
	// any serving task.
	negligible = 0.02
)

// choose returns the best VM for a task, or nil.
func (s *Scheduler) choose(now Time, t *task) *vm {
	var best *vm
	bestScore := 0.0
	rack := ""
	if t.step.spec.SameRack {
		rack = t.step.rack()
	}
	for _, v := range s.order {
		if !s.fits(now, v, t) {
			continue
		}
		score, ok := s.score(now, v, t.step.spec)
		if !ok {
			continue
		}
		if rack != "" && v.inst.Rack() == rack {
			score += rackBonus
		}
		if v.inst.ID == t.lastFailedOn {
			score -= farPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// rack is where a task of the step runs already, or "".
func (st *step) rack() string {
	for k := range st.tasks {
		for _, r := range st.tasks[k].runs {
			return r.vm.inst.Rack()
		}
	}
	return ""
}

// fits reports whether the VM may be given the task now.
func (s *Scheduler) fits(now Time, v *vm, t *task) bool {
	spec := t.step.spec
	switch {
	case !v.heard || !v.listed || v.inst.Draining || now-v.heardAt > silentAfter:
		return false
	case v.inst.Pool != t.step.occ.job.pool || !v.inst.HasLabel(spec.Label):
		return false
	case !v.health.usable(now, len(v.runs)):
		return false
	case spec.MaxPerVM > 0 && t.step.perVM[v] >= spec.MaxPerVM:
		return false
	case v.runs[t.id()] != nil:
		return false
	}
	free := v.inst.Capacity.Sub(v.used)
	if !spec.Filler {
		return spec.Need.FitsIn(free)
	}
	need := batch.Resources{MemoryMB: spec.Need.MemoryMB, Accelerators: spec.Need.Accelerators}
	return need.FitsIn(free) && float64(v.fillerCPU+spec.Need.MilliCPU) <= fillerOvercommit*v.rest()
}

// rest is what fillers may be expected to get of the VM, in thousandths of a processor.
func (v *vm) rest() float64 {
	return float64(v.inst.Capacity.MilliCPU-v.used.MilliCPU) + (1-servingShare)*float64(v.servingCPU)
}

// score rates a VM that fits; higher is better. ok is false when the task would
// press too hard on what serves there.
func (s *Scheduler) score(now Time, v *vm, spec *batch.Step) (score float64, ok bool) {
	capacity := float64(max(v.inst.Capacity.MilliCPU, 1))
	free := float64(v.inst.Capacity.MilliCPU-v.used.MilliCPU) / capacity
	score = free
	switch {
	case spec.Filler:
		score = (v.rest() - float64(v.fillerCPU)) / capacity
		worst, effect := s.pressure(now, v, spec.Image, spec.Need.MilliCPU)
		if worst > aimAt && effect > negligible {
			return 0, false
		}
		score -= effectPenalty * effect
	case spec.Serves():
		score -= float64(v.fillerCPU) / capacity
	}
	if spec.DataRack != "" && v.inst.Rack() != spec.DataRack {
		score -= farPenalty
	}
	if spec.Need.Accelerators == 0 && v.inst.Capacity.Accelerators > 0 {
		score -= farPenalty
	}
	return score, true
}
