package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// A wave asks that each of its machines has its maintenance within a time, a few
// at once. A machine is first closed to new work, then emptied: lasting tasks are
// moved as fast as their steps' bounds allow, others get some time to end.

const (
	// minEmptyTime and maxEmptyTime bound the time that a machine's work has to end.
	minEmptyTime = 500 * time.Millisecond
	maxEmptyTime = 8 * time.Second
	// emptyingShare is the part of a wave's time that is kept for maintenance itself.
	emptyingShare = 0.6
	// maintainRetryDelay is the wait after an order that was refused or not answered.
	maintainRetryDelay = 500 * time.Millisecond
)

// wave is one wave under way.
type wave struct {
	spec      batch.Wave
	startedAt Time
	// begun are the machines whose maintenance has begun.
	begun map[string]bool
	// closedAt are the machines that are being emptied, with the time since when.
	closedAt map[string]Time
	// orderedAt are the machines whose order is under way or was not answered.
	orderedAt map[string]Time
	// instances holds the instance that each ordered machine had.
	instances map[string]string
	// acceptedAt are the machines whose order was accepted, with the time since when,
	// until the list of machines tells what became of their instances.
	acceptedAt map[string]Time
}

// done reports whether every machine of the wave that is still there has begun.
func (w *wave) done(machines map[string]batch.Machine) bool {
	for _, name := range w.spec.Machines {
		if _, stays := machines[name]; stays && !w.begun[name] {
			return false
		}
	}
	return true
}

// downCount counts the wave's machines that are, or may be, down for it.
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

// WaveStatus is what operators are told of a wave.
type WaveStatus struct {
	Number    int64
	Completed bool
	// Begun are the machines whose maintenance has begun.
	Begun []string
}

// AddWave takes a wave on; begun are the machines that an earlier leader has
// recorded as begun.
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

// SetMachines takes the machine service's list over, which was asked for at askedAt.
func (s *Scheduler) SetMachines(now, askedAt Time, list []batch.Machine) {
	s.machines = make(map[string]batch.Machine, len(list))
	for _, m := range list {
		s.machines[m.Name] = m
	}
	for _, w := range s.wavesInOrder() {
		for _, name := range w.spec.Machines {
			if at, accepted := w.acceptedAt[name]; accepted {
				s.settleMaintained(now, askedAt-at, w, name)
			}
		}
	}
}

// wavesInOrder returns the waves by their number.
func (s *Scheduler) wavesInOrder() []*wave {
	waves := make([]*wave, 0, len(s.waves))
	for _, number := range slices.Sorted(maps.Keys(s.waves)) {
		waves = append(waves, s.waves[number])
	}
	return waves
}

// HasUnsettledMaintenance reports whether it is not known yet what became of the instance of some
// machine whose order was accepted.
func (s *Scheduler) HasUnsettledMaintenance() bool {
	for _, w := range s.waves {
		if len(w.acceptedAt) > 0 {
			return true
		}
	}
	return false
}

// settleDelay is how long after an accepted order a machine that is still up with the
// same instance is taken not to have gone down: a machine is down for longer.
const settleDelay = time.Second

// settleMaintained looks what became of the instance of a machine whose order was accepted a
// while before the list was asked for. The order alone tells nothing: it is accepted
// again when the maintenance was done before, for an earlier leader or after a lost
// answer, and the instance that is there now lives on.
func (s *Scheduler) settleMaintained(now Time, age time.Duration, w *wave, name string) {
	m, life := s.machines[name], w.instances[name]
	switch {
	case m.State == batch.MachineMaintenance || (m.Instance != "" && m.Instance != life):
		delete(w.acceptedAt, name)
		// It may come back under the same ID.
		delete(w.instances, name)
		s.RemoveInstance(now, life, "maintenance")
	case m.State == batch.MachineUp && age > settleDelay:
		s.reopenMachine(w, name)
	}
}

// reopenMachine gives work again to a machine that was emptied and does not go down.
func (s *Scheduler) reopenMachine(w *wave, name string) {
	if v := s.vms[w.instances[name]]; v != nil {
		v.closed = false
	}
	delete(w.acceptedAt, name)
	delete(w.instances, name)
	s.planNeeded = true
}

// WaveStatuses tells how the waves go.
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

// planWaves closes, empties and maintains machines.
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

// closeMachines closes as many machines as may be down at once, those with the
// least on them first.
func (s *Scheduler) closeMachines(now Time, w *wave) {
	for w.downCount(s.machines)+len(w.closedAt) < max(w.spec.MaxAtOnce, 1) {
		var next string
		least := 0
		for _, name := range w.spec.Machines {
			m, listed := s.machines[name]
			_, ordered := w.orderedAt[name]
			_, closed := w.closedAt[name]
			if !listed || w.begun[name] || ordered || closed || m.State != batch.MachineUp {
				continue
			}
			load := 0
			if v := s.vms[m.Instance]; v != nil {
				load = len(v.runs)
			}
			if next == "" || load < least {
				next, least = name, load
			}
		}
		if next == "" {
			return
		}
		w.closedAt[next] = now
		s.logf(Decision{Event: EventMachineClosed, VM: s.machines[next].Instance, Reason: next, Value: float64(least)})
	}
}

// emptyTime is the time that the work on one machine has to end.
func (w *wave) emptyTime() time.Duration {
	rounds := (len(w.spec.Machines) + w.spec.MaxAtOnce - 1) / max(w.spec.MaxAtOnce, 1)
	each := time.Duration(float64(w.spec.Duration) * emptyingShare / float64(max(rounds, 1)))
	return min(max(each, minEmptyTime), maxEmptyTime)
}

// emptyMachine moves what lasts off a closed machine and begins its maintenance
// once nothing is lost by it, or its time is up.
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

// moveLasting stops a lasting run so that it starts elsewhere, if its step can
// spare one more task.
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

// startedProgress is the progress of a lasting run that has started up.
const startedProgress = 100

// unavailableTasks counts the step's tasks that are not at work, or that were moved so
// recently that they count as not at work still.
func (st *step) unavailableTasks(now Time, notice time.Duration) int {
	n := 0
	for k := range st.tasks {
		t := &st.tasks[k]
		up := false
		for _, r := range t.runs {
			up = up || (r.state == running && r.progress >= startedProgress)
		}
		if !up || (t.movedAt > 0 && now-t.movedAt < notice) {
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

// HandleMaintenanceResult takes the outcome of an order over: begun when the maintenance has
// begun, now or before, refused when it certainly has not. After no answer the order is repeated:
// it is idempotent.
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
