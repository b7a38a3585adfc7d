package scheduler

import (
	"github.com/rattanwall/rattanwall/internal/batch"
)

// occupy adds a run's declared needs to the VM's used resources.
func (v *vm) occupy(spec *batch.Step) {
	if spec.Filler {
		v.fillerCPU += spec.Need.MilliCPU
		v.used.MemoryMB += spec.Need.MemoryMB
		v.used.Accelerators += spec.Need.Accelerators
	} else {
		v.used = v.used.Add(spec.Need)
	}
	if isShort(spec) {
		v.shortCPU += spec.Need.MilliCPU
	}
}

// vacate subtracts what occupy has added.
func (v *vm) vacate(spec *batch.Step) {
	if spec.Filler {
		v.fillerCPU -= spec.Need.MilliCPU
		v.used.MemoryMB -= spec.Need.MemoryMB
		v.used.Accelerators -= spec.Need.Accelerators
	} else {
		v.used = v.used.Sub(spec.Need)
	}
	if isShort(spec) {
		v.shortCPU -= spec.Need.MilliCPU
	}
}

// addPerVM counts a run of the step on v if the step bounds runs per VM.
func (st *step) addPerVM(v *vm) {
	if st.spec.MaxPerVM == 0 {
		return
	}
	if st.runsPerVM == nil {
		st.runsPerVM = map[*vm]int{}
	}
	st.runsPerVM[v]++
}

func (st *step) removePerVM(v *vm) {
	if st.runsPerVM != nil {
		st.runsPerVM[v]--
	}
}

// unwantedRun is a run on a VM that no longer counts for its task. It was ordered to stop and
// occupies its resources until the VM no longer lists it. If these were not counted, starts in
// its place would be refused for lack of capacity, overload a VM that does not check its
// capacity, or exceed the step's bound per VM.
type unwantedRun struct {
	number int64
	spec   *batch.Step
	// step is nil if its occurrence has ended.
	step *step
}

// stopUnwanted orders an unwanted run to stop and counts its resources.
func (s *Scheduler) stopUnwanted(v *vm, st *batch.RunStatus) {
	s.logf(Decision{Event: EventRunUnwanted, Task: st.Task, VM: v.inst.ID, Run: st.Run})
	s.orderStop(v, st.Task, st.Run)
	j := s.jobs[st.Task.Job]
	if j == nil || st.Task.Step >= len(j.spec.Steps) {
		v.recordUnknownRun(st)
		return
	}
	u := unwantedRun{number: st.Run, spec: &j.spec.Steps[st.Task.Step]}
	if t := s.task(st.Task); t != nil {
		u.step = t.step
		u.step.addPerVM(v)
	}
	v.occupy(u.spec)
	v.unwantedRuns = append(v.unwantedRuns, u)
}

// clearUnwanted releases the resources of unwanted runs. A report that lists them adds them
// again.
func (s *Scheduler) clearUnwanted(v *vm) {
	for _, u := range v.unwantedRuns {
		v.vacate(u.spec)
		if u.step != nil {
			u.step.removePerVM(v)
		}
		s.planNeeded = true
	}
	v.unwantedRuns = v.unwantedRuns[:0]
}
