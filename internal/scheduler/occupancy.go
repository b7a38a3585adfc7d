package scheduler

import (
	"github.com/rattanwall/rattanwall/internal/batch"
)

// occupy counts what a run needs on its VM.
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

// vacate takes off what occupy has counted.
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

// addPerVM counts a run of the step on v, where the step bounds them.
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

// unwantedRun is a run that a VM has and that does not count: it was ordered to stop, and
// takes its room until it is not listed any more. Left out of the account, what is
// started in its place is refused for want of room, runs beside it where the VM does
// not look, or beside more of its step than there may be.
type unwantedRun struct {
	number int64
	spec   *batch.Step
	// step is nil where its occurrence has ended.
	step *step
}

// stopUnwanted orders a run to stop that does not count, and counts its room.
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

// clearUnwanted takes the unwanted runs off the account; a report that lists them
// counts them again.
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
