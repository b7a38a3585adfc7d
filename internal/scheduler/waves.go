package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// A wave requires the maintenance of each of its machines within a given time, with a bound on
// the machines that are down at once. A machine is first closed to new tasks and then emptied:
// lasting tasks are moved as fast as their steps' bounds allow, others get some time to end.

const (
	// minEmptyTime and maxEmptyTime bound the time for emptying a machine.
	minEmptyTime = 500 * time.Millisecond
	maxEmptyTime = 8 * time.Second
	// emptyingShare is the share of a wave's duration that is available for emptying machines;
	// the rest is for the maintenance itself.
	emptyingShare = 0.6
	// maintainRetryDelay is the delay before an order that was refused or got no response is
	// repeated.
	maintainRetryDelay = 500 * time.Millisecond
)

// wave is a maintenance wave in progress.
type wave struct {
	spec      batch.Wave
	startedAt Time
	// begun holds the machines whose maintenance has begun.
	begun map[string]bool
	// closedAt is when each machine that is being emptied was closed.
	closedAt map[string]Time
	// orderedAt is when the maintenance of a machine was ordered, until the order succeeds or is
	// refused.
	orderedAt map[string]Time
	// instances holds the VM that each ordered machine ran at the time of the order.
	instances map[string]string
	// acceptedAt is when the order for a machine was accepted, until the list of machines shows
	// what happened to its VM.
	acceptedAt map[string]Time
}

// done reports whether the maintenance of every listed machine of the wave has begun.
func (w *wave) done(machines map[string]batch.Machine) bool {
	for _, name := range w.spec.Machines {
		if _, listed := machines[name]; listed && !w.begun[name] {
			return false
		}
	}
	return true
}

// downCount counts the wave's machines that are, or may be, down for maintenance.
func (w *wave) downCount(machines map[string]batch.Machine) int {
	n := 0
	for _, name := range w.spec.Machines {
		m, listed := machines[name]
		_, ordered := w.orderedAt[name]
		back := m.State == batch.MachineUp && m.Instance != "" && m.Instance != w.instances[name]
		if listed && (ordered || m.State == batch.MachineMaintenance || (w.begun[name] && !back && w.instances[name] != "")) {
			n++
		}
	}
	return n
}

// WaveStatus is the state of a wave as shown to operators.
type WaveStatus struct {
	Number    int64
	Completed bool
	// Begun lists the machines whose maintenance has begun.
	Begun []string
}

// AddWave adds a wave; begun lists the machines that an earlier leader has recorded as begun.
func (s *Scheduler) AddWave(now Time, spec batch.Wave, begun []string) {
	if s.waves[spec.Number] != nil {
		return
	}
	w := &wave{spec: spec, startedAt: now, begun: map[string]bool{}, closedAt: map[string]Time{}, orderedAt: map[string]Time{}, instances: map[string]string{}, acceptedAt: map[string]Time{}}
	for _, name := range begun {
		w.begun[name] = true
	}
	s.waves[spec.Number] = w
	s.logf(Decision{Event: EventWaveBegun, Reason: spec.Duration.String(), Value: float64(len(spec.Machines))})
}

// SetMachines processes the list of machines from the machine service, requested at requestedAt.
func (s *Scheduler) SetMachines(now, requestedAt Time, list []batch.Machine) {
	s.machines = make(map[string]batch.Machine, len(list))
	for _, m := range list {
		s.machines[m.Name] = m
	}
	for _, w := range s.wavesInOrder() {
		for _, name := range w.spec.Machines {
			if at, accepted := w.acceptedAt[name]; accepted {
				s.settleMaintained(now, requestedAt-at, w, name)
			}
		}
	}
}

// wavesInOrder returns the waves in order of their numbers.
func (s *Scheduler) wavesInOrder() []*wave {
	waves := make([]*wave, 0, len(s.waves))
	for _, number := range slices.Sorted(maps.Keys(s.waves)) {
		waves = append(waves, s.waves[number])
	}
	return waves
}

// HasUnsettledMaintenance reports whether an order was accepted for a machine of which it is not
// known yet what happened to its VM.
func (s *Scheduler) HasUnsettledMaintenance() bool {
	for _, w := range s.waves {
		if len(w.acceptedAt) > 0 {
			return true
		}
	}
	return false
}

// settleDelay is the time after an accepted order from which a machine that is still up with the
// same VM counts as not taken down: maintenance takes longer than that.
const settleDelay = time.Second

// settleMaintained determines what happened to the VM of a machine whose order was accepted some
// time before the list was requested. The success of the order is not sufficient: an order also
// succeeds if the maintenance was done before, for an earlier leader or after a lost response,
// and the current VM stays.
func (s *Scheduler) settleMaintained(now Time, age time.Duration, w *wave, name string) {
	m, instance := s.machines[name], w.instances[name]
	switch {
	case m.State == batch.MachineMaintenance || (m.Instance != "" && m.Instance != instance):
		delete(w.acceptedAt, name)
		// The VM may return under the same ID.
		delete(w.instances, name)
		s.RemoveInstance(now, instance, "maintenance")
	case m.State == batch.MachineUp && age > settleDelay:
		s.reopenMachine(w, name)
	}
}

// reopenMachine admits tasks again on a machine that was emptied and does not go down.
func (s *Scheduler) reopenMachine(w *wave, name string) {
	if v := s.vms[w.instances[name]]; v != nil {
		v.closed = false
	}
	delete(w.acceptedAt, name)
	delete(w.instances, name)
	s.planNeeded = true
}

// WaveStatuses returns the states of all waves.
func (s *Scheduler) WaveStatuses() []WaveStatus {
	var out []WaveStatus
	for _, w := range s.wavesInOrder() {
		out = append(out, WaveStatus{
			Number: w.spec.Number, Completed: s.machines != nil && w.done(s.machines),
			Begun: slices.Sorted(maps.Keys(w.begun)),
		})
	}
	return out
}

// planWaves closes and empties machines and orders their maintenance.
func (s *Scheduler) planWaves(now Time) {
	if s.machines == nil {
		return
	}
	for _, w := range s.wavesInOrder() {
		if w.done(s.machines) {
			s.reopen(w)
			continue
		}
		s.closeMachines(now, w)
		for _, name := range w.spec.Machines {
			if since, closed := w.closedAt[name]; closed {
				s.emptyMachine(now, w, name, since)
			}
		}
	}
}

func (s *Scheduler) reopen(w *wave) {
	for name := range w.closedAt {
		if v := s.vms[s.machines[name].Instance]; v != nil {
			v.closed = false
		}
		delete(w.closedAt, name)
	}
}

// closeMachines closes as many machines as may be down at once, those with the fewest runs first.
func (s *Scheduler) closeMachines(now Time, w *wave) {
	for w.downCount(s.machines)+len(w.closedAt) < max(w.spec.MaxAtOnce, 1) {
		var next string
		fewest := 0
		for _, name := range w.spec.Machines {
			m, listed := s.machines[name]
			_, ordered := w.orderedAt[name]
			_, closed := w.closedAt[name]
			if !listed || w.begun[name] || ordered || closed || m.State != batch.MachineUp {
				continue
			}
			runCount := 0
			if v := s.vms[m.Instance]; v != nil {
				runCount = len(v.runs)
			}
			if next == "" || runCount < fewest {
				next, fewest = name, runCount
			}
		}
		if next == "" {
			return
		}
		w.closedAt[next] = now
		s.logf(Decision{Event: EventMachineClosed, VM: s.machines[next].Instance, Reason: next, Value: float64(fewest)})
	}
}

// emptyTime is the time for emptying one machine.
func (w *wave) emptyTime() time.Duration {
	rounds := (len(w.spec.Machines) + w.spec.MaxAtOnce - 1) / max(w.spec.MaxAtOnce, 1)
	each := time.Duration(float64(w.spec.Duration) * emptyingShare / float64(max(rounds, 1)))
	return min(max(each, minEmptyTime), maxEmptyTime)
}

// emptyMachine moves lasting tasks off a closed machine and orders its maintenance once it is
// empty, or once only runs are left that have exceeded their time.
func (s *Scheduler) emptyMachine(now Time, w *wave, name string, since Time) {
	m := s.machines[name]
	v := s.vms[m.Instance]
	if v == nil {
		if m.State == batch.MachineUp {
			s.orderMaintenance(now, w, name)
		}
		return
	}
	v.closed = true
	late := now-since > w.emptyTime()
	lasting := 0
	for _, r := range v.runList {
		if r.task.step.spec.Lasting {
			lasting++
			s.moveLasting(now, r)
			continue
		}
		if late && r.task.step.spec.Checkpoints {
			s.stop(now, r, "maintenance")
		}
	}
	if lasting > 0 {
		return
	}
	if len(v.runs) == 0 || (late && now-since > w.emptyTime()+s.settings.StopTimeout) {
		s.orderMaintenance(now, w, name)
	}
}

// moveLasting stops a lasting run so that it restarts elsewhere, if its step tolerates one more
// unavailable task.
func (s *Scheduler) moveLasting(now Time, r *run) {
	if r.state != running {
		return
	}
	st := r.task.step
	bound := max(st.spec.MaxUnavailable, 1)
	if st.unavailableTasks(now, s.settings.UnavailableDuration) >= bound || s.chooseVM(now, r.task) == nil {
		return
	}
	r.task.movedAt = now
	s.stop(now, r, "maintenance")
}

// startedProgress is the progress of a lasting run that has completed its startup.
const startedProgress = 100

// unavailableTasks counts the step's tasks that have not completed their startup, or were moved
// so recently that they still count as unavailable.
func (st *step) unavailableTasks(now Time, moveDuration time.Duration) int {
	n := 0
	for k := range st.tasks {
		t := &st.tasks[k]
		up := false
		for _, r := range t.runs {
			up = up || (r.state == running && r.progress >= startedProgress)
		}
		if !up || (t.movedAt > 0 && now-t.movedAt < moveDuration) {
			n++
		}
	}
	return n
}

func (s *Scheduler) orderMaintenance(now Time, w *wave, name string) {
	if at, ordered := w.orderedAt[name]; ordered && now-at < maintainRetryDelay {
		return
	}
	w.orderedAt[name] = now
	w.instances[name] = s.machines[name].Instance
	s.logf(Decision{Event: EventMachineMaintained, VM: w.instances[name], Reason: name, Age: now - w.startedAt})
	s.orders = append(s.orders, Order{Kind: OrderMaintain, Machine: name, Wave: w.spec.Number})
}

// HandleMaintenanceResult processes the result of an order: begun is set if the maintenance has
// begun, now or earlier, and refusal if it certainly has not. Without a response the order is
// repeated; it is idempotent.
func (s *Scheduler) HandleMaintenanceResult(now Time, o Order, begun bool, refusal batch.Refusal) {
	w := s.waves[o.Wave]
	if w == nil {
		return
	}
	switch {
	case begun, refusal == batch.RefusedWave:
		w.begun[o.Machine] = true
		delete(w.orderedAt, o.Machine)
		delete(w.closedAt, o.Machine)
		if begun {
			w.acceptedAt[o.Machine] = now
		} else {
			s.reopenMachine(w, o.Machine)
		}
	case refusal != "":
		delete(w.orderedAt, o.Machine)
	}
}
