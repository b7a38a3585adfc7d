package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler/locality"
)

// Tasks run faster in the rack of their data or of their step's other tasks. While that rack is
// full, package locality decides whether they wait for a place there; this file provides the facts
// and carries the decisions out. Steps without a preferred rack do not come here.

const (
	// keepFreePenalty lowers the score of VMs in racks that tasks wait for, for tasks that may run
	// in any rack.
	keepFreePenalty = 1.0
	// keepFreeDuration is how long a rack is kept free after tasks that prefer it found it full.
	keepFreeDuration = 10 * time.Second
	// crowdedDuration is how long after a task found no place in the fleet processors count as
	// short.
	crowdedDuration = time.Second
	// overdueShare is the remaining time of a run past its declared duration, as a share of its
	// age.
	overdueShare = 0.25
	// minProgress is the progress, in percent, from which it tells a run's duration: it is reported
	// in whole percents.
	minProgress = 10
	// maxForecastRacks bounds the racks that are compared for a group without a rack.
	maxForecastRacks = 4
)

// Place is where a run is, relative to the rack that its task prefers.
type Place string

// The places.
const (
	PlaceNear         Place = "near"
	PlaceAway         Place = "away"
	PlaceNoPreference Place = "no_preference"
	// PlaceNone is the outcome of a wait whose job ended.
	PlaceNone Place = "none"
)

// prefersRack reports whether waits for a place in a rack are considered for the step. Lasting
// tasks do not wait: their duration says nothing about what they lose elsewhere. Where an adviser
// chooses the VMs, its answer decides.
func (s *Scheduler) prefersRack(st *step) bool {
	spec := st.spec
	if spec.DataRack == "" && !spec.SameRack {
		return false
	}
	return s.settings.FarFactor > 1 && s.policy.Locality != locality.AtOnce && !spec.Lasting && !s.needsAdvice(st) && !st.isSuspect()
}

// nearSearch looks for places of a step's tasks in their rack within one pass.
type nearSearch struct {
	s    *Scheduler
	pass *planPass
	step *step
	need placementNeed
	rack string
	vms  []*vm
	// full is set once the rack had no place for a task; away is the number of tasks that then
	// start away.
	full bool
	away int
}

// nearSearchFor returns a search for the step, or nil if it has no preferred rack.
func (s *Scheduler) nearSearchFor(r *planPass, st *step, need placementNeed) *nearSearch {
	if !s.prefersRack(st) || st.isSpread() {
		return nil
	}
	n := &nearSearch{s: s, pass: r, step: st, need: need}
	n.rack = n.wantedRack()
	n.vms = r.racksOf(s)[n.rack]
	n.need.rack = n.rack
	return n
}

// racksOf returns the VMs by rack.
func (r *planPass) racksOf(s *Scheduler) map[string][]*vm {
	if r.racks == nil {
		r.racks = map[string][]*vm{}
		for _, v := range s.vmList {
			rack := v.inst.Rack()
			r.racks[rack] = append(r.racks[rack], v)
		}
	}
	return r.racks
}

// isSpread reports whether runs of a step that prefers one rack are in several, so that another
// one elsewhere costs nothing.
func (st *step) isSpread() bool {
	if !st.spec.SameRack {
		return false
	}
	rack := st.currentRack()
	for k := range st.tasks {
		for _, r := range st.tasks[k].runs {
			if r.vm.inst.Rack() != rack {
				return true
			}
		}
	}
	return false
}

// isGroup reports whether all waiting tasks need places in the rack, or none gains from one.
func (n *nearSearch) isGroup() bool { return n.step.spec.Gang || n.step.spec.SameRack }

// wantedRack returns the rack of the data or of the step's runs, or else the rack where the whole
// group has a place first.
func (n *nearSearch) wantedRack() string {
	if rack := n.step.spec.DataRack; rack != "" {
		return rack
	}
	if rack := n.step.currentRack(); rack != "" {
		return rack
	}
	type option struct {
		rack   string
		places int
	}
	var options []option
	for rack, vms := range n.pass.racksOf(n.s) {
		if rack == "" {
			continue
		}
		if places, usable := n.countPlaces(vms); usable {
			options = append(options, option{rack, places})
		}
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.places, a.places), cmp.Compare(a.rack, b.rack))
	})
	best, earliest := "", locality.Never
	for i, o := range options {
		if i == maxForecastRacks || (i == 0 && o.places >= n.step.waiting) {
			break
		}
		if times := n.forecast(n.pass.racks[o.rack], o.rack); times[len(times)-1] < earliest {
			best, earliest = o.rack, times[len(times)-1]
		}
	}
	if best == "" && len(options) > 0 {
		best = options[0].rack
	}
	return best
}

// countPlaces returns how many tasks of the step the VMs have places for now, and whether any of
// the VMs can be used.
func (n *nearSearch) countPlaces(vms []*vm) (places int, usable bool) {
	t := &n.step.tasks[0]
	for _, v := range vms {
		o := n.s.placementObstacle(n.pass.now, v, t)
		usable = usable || !o.excludesVM()
		if o != obstacleNone {
			continue
		}
		room := locality.VM{Free: n.s.freeFor(n.pass.now, v, n.step.spec)}
		q := n.s.placeRequest(n.step)
		for _, at := range locality.Forecast([]locality.VM{room}, &q) {
			if at == 0 {
				places++
			}
		}
	}
	return places, usable
}

// excludesVM reports whether the obstacle stands for a VM that is out of use, not for one that is
// full.
func (o obstacle) excludesVM() bool {
	switch o {
	case obstacleUnreachable, obstacleRestarted, obstacleDraining, obstacleEvacuated, obstaclePool, obstacleSuspected:
		return true
	}
	return false
}

// place returns a VM in the rack for the task, or whether the task waits for one. If neither, the
// task starts wherever there is a place.
func (n *nearSearch) place(t *task) (v *vm, wait bool) {
	if n == nil {
		return nil, false
	}
	if !n.full {
		if !n.pass.isFull(n.need) {
			v = n.s.bestOf(n.pass.now, t, n.vms)
		}
		if v != nil {
			return v, false
		}
		n.recordFull()
		n.away = n.step.waiting - n.tasksThatWait()
	}
	if n.away > 0 {
		n.away--
		return nil, false
	}
	return nil, true
}

// placeGang allocates all members of a gang in the rack, or reports whether the gang waits.
func (n *nearSearch) placeGang() (allocated []*run, wait bool) {
	if n == nil {
		return nil, false
	}
	if !n.pass.isFull(n.need) {
		allocated = n.s.allocateGang(n.pass.now, n.step, n.s.nextRunNumber(), func(now Time, t *task) *vm { return n.s.bestOf(now, t, n.vms) })
	}
	if allocated != nil {
		return allocated, false
	}
	n.full = true
	return nil, n.tasksThatWait() > 0
}

// recordFull keeps steps that need as much in the same rack from looking for it in this pass.
func (n *nearSearch) recordFull() {
	n.full = true
	if n.step.spec.MaxPerVM == 0 {
		n.pass.full = append(n.pass.full, n.need)
	}
}

// demand records processors that waiting tasks want in a rack.
func (r *planPass) demand(rack string, milliCPU int64) {
	if r.ahead == nil {
		r.ahead = map[string]int64{}
	}
	r.ahead[rack] += milliCPU
}

// forecast returns the expected times until the step's waiting tasks have places on the rack's VMs.
func (n *nearSearch) forecast(vms []*vm, rack string) []time.Duration {
	spec, now := n.step.spec, n.pass.now
	q := n.s.placeRequest(n.step)
	q.Ahead = int(n.pass.ahead[rack] / max(spec.Need.MilliCPU, 1))
	var rooms []locality.VM
	for _, v := range vms {
		switch n.s.placementObstacle(now, v, &n.step.tasks[0]) {
		case obstacleNone:
			if _, ok := n.s.score(now, v, spec); !ok {
				continue
			}
		case obstacleProcessor, obstacleMemory, obstacleLeftover:
		default:
			continue
		}
		room := locality.VM{Free: n.s.freeFor(now, v, spec)}
		for _, r := range v.runList {
			if rs := r.task.step.spec; !rs.Lasting && (spec.Filler || !rs.Filler) {
				room.Releases = append(room.Releases, locality.Release{After: n.s.remainingOf(now, r), Freed: rs.Need})
			}
		}
		rooms = append(rooms, room)
	}
	return locality.Forecast(rooms, &q)
}

// freeFor returns the VM's free capacity as far as it counts for tasks of the step.
func (s *Scheduler) freeFor(now Time, v *vm, spec *batch.Step) batch.Resources {
	free := v.inst.Capacity.Sub(v.used)
	if spec.Filler {
		free.MilliCPU = int64(s.fillerHeadroom(now, v))
	}
	return free
}

// placeRequest returns the request for places of all waiting tasks of the step.
func (s *Scheduler) placeRequest(st *step) locality.Request {
	q := locality.Request{Need: st.spec.Need, Taken: st.spec.Need, Tasks: st.waiting, Together: st.spec.Gang, Duration: s.nearDuration(st)}
	if st.spec.Filler {
		q.Need.MilliCPU = int64(fillerUseShare * float64(q.Need.MilliCPU))
	}
	return q
}

// nearDuration is the duration of the step's tasks in their rack: that of completed runs, or
// else the declared one.
func (s *Scheduler) nearDuration(st *step) time.Duration {
	if st.doneRuns > 0 && st.doneRateSum > 0 {
		return time.Duration(100 * float64(st.doneRuns) / st.doneRateSum * float64(time.Second))
	}
	return s.expectedDuration(st.occ.job, st.spec)
}

// remainingOf returns the expected time until a run ends, by its progress or else by the declared
// duration.
func (s *Scheduler) remainingOf(now Time, r *run) time.Duration {
	left, at := 0.0, r.progressAt
	switch {
	case r.progress >= r.firstProgress+minProgress && r.progressAt > r.firstProgressAt:
		left = float64(r.progressAt-r.firstProgressAt) / float64(r.progress-r.firstProgress) * float64(100-r.progress)
	case r.progress >= minProgress && !r.resumed && r.confirmedAt > 0 && r.progressAt > r.confirmedAt:
		left = float64(r.progressAt-r.confirmedAt) / float64(r.progress) * float64(100-r.progress)
	default:
		at = r.orderedAt
		left = float64(s.nearDuration(r.task.step))
		if s.placeOf(r) == PlaceAway {
			left *= max(s.settings.FarFactor, 1)
		}
	}
	if d := time.Duration(left) - (now - at); d > 0 {
		return d
	}
	return scaled(now-r.orderedAt, overdueShare)
}

// placeOf returns where a run is, relative to the rack that its task prefers.
func (s *Scheduler) placeOf(r *run) Place {
	spec := r.task.step.spec
	rack := r.vm.inst.Rack()
	switch {
	case spec.DataRack != "" && spec.DataRack != rack, spec.SameRack && r.task.step.isSpread():
		return PlaceAway
	case spec.DataRack != "" || spec.SameRack:
		return PlaceNear
	}
	return PlaceNoPreference
}

// recordPlace logs the start of a run away from the rack that its task prefers, and ends the time
// for which its job had nothing running.
func (s *Scheduler) recordPlace(now Time, r *run) Place {
	st := r.task.step
	st.occ.job.idleMark = 0
	place := s.placeOf(r)
	if place == PlaceAway {
		wanted := st.spec.DataRack
		if wanted == "" {
			wanted = st.currentRack()
		}
		d := &st.place.decision
		s.logf(Decision{
			Event: EventRunAway, Task: r.task.id(), VM: r.vm.inst.ID, Run: r.number, Place: place, Age: st.place.waited(now),
			Reason: fmt.Sprintf("%s wants=%s is_in=%s wait_ms=%d away_ms=%d", d.Reason, wanted, r.vm.inst.Rack(), costMS(d.WaitCost), costMS(d.AwayCost)),
		})
	}
	return place
}

// movePays reports whether a task with a run in its rack may be started on a VM elsewhere.
func (s *Scheduler) movePays(now Time, t *task, v *vm) bool {
	if len(t.runs) == 0 || !s.prefersRack(t.step) {
		return true
	}
	r := t.runs[0]
	rack := r.vm.inst.Rack()
	if v.inst.Rack() == rack || (t.step.spec.DataRack != "" && rack != t.step.spec.DataRack) {
		return true
	}
	duration := s.nearDuration(t.step)
	here := s.remainingOf(now, r)
	switch {
	case r.vm.isUnresponsive(now) || r.vm.firstUnansweredAt > 0:
		here = max(0, r.vm.leaseExpiry-now) + duration
	case r.progressAt > 0 && now-max(r.progressAt, r.paceOrderedAt) > stallTimeout:
		here = locality.Never
	}
	return locality.MovePays(here, duration, s.settings.FarFactor)
}

// isKeptFree reports whether the VM is kept for tasks that wait for its rack.
func (s *Scheduler) isKeptFree(now Time, v *vm, spec *batch.Step) bool {
	if !s.policy.KeepRacksFree || len(s.wantedRacks) == 0 || spec.DataRack != "" || spec.SameRack {
		return false
	}
	at, wanted := s.wantedRacks[v.inst.Rack()]
	return wanted && now-at < keepFreeDuration
}
