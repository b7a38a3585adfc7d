package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/scheduler/locality"
)

// placeWait is a step's wait for a place in a rack.
type placeWait struct {
	rack string
	// since is when the wait began, 0 if there is none; earlier is the duration of those before.
	since   Time
	earlier time.Duration
	// tasks wait until the time until; decision is the one about the last of them, idle whether
	// the job had nothing running then.
	tasks    int
	until    Time
	idle     bool
	decision locality.Decision
}

func (w *placeWait) waited(now Time) time.Duration {
	if w.since == 0 {
		return w.earlier
	}
	return w.earlier + now - w.since
}

// tasksThatWait decides how many of the waiting tasks wait for a place in the rack.
func (n *nearSearch) tasksThatWait() int {
	w, now, j := &n.step.place, n.pass.now, n.step.occ.job
	usable := slices.ContainsFunc(n.vms, func(v *vm) bool {
		return !n.s.placementObstacle(now, v, &n.step.tasks[0]).excludesVM()
	})
	if w.since == 0 || w.rack != n.rack || !usable || now >= w.until || w.tasks < n.step.waiting || w.idle != (j.running == 0) {
		n.decide(usable)
	}
	if w.tasks > 0 {
		n.pass.demand(n.rack, int64(w.tasks)*n.step.spec.Need.MilliCPU)
	}
	if usable {
		n.s.wantedRacks[n.rack] = now
	}
	return w.tasks
}

// decide decides anew about the waiting tasks, the first of which gets the first place.
func (n *nearSearch) decide(usable bool) {
	w, now, st := &n.step.place, n.pass.now, n.step
	facts := n.facts(usable)
	policy := locality.Policy{Way: n.s.policy.Locality, ConstantWait: milliseconds(n.s.policy.LocalityWaitMS)}
	times := []time.Duration{locality.Never}
	if usable {
		times = n.forecast(n.vms, n.rack)
	}
	staying, d := n.countStaying(policy, facts, times)
	if d.Reason == locality.ReasonIdle && !d.Wait && !n.isGroup() {
		// One run is enough for the job to stand still no longer.
		facts.Idle = false
		others, _ := n.countStaying(policy, facts, times)
		staying = min(others, st.waiting-1)
		facts.Idle = true
	}
	w.idle, w.until, w.decision = facts.Idle, d.Until, d
	if staying == 0 {
		n.s.endPlaceWait(now, st, PlaceAway)
		w.rack, w.tasks = n.rack, 0
		return
	}
	if w.since == 0 {
		w.rack, w.since = n.rack, now
		n.s.logf(Decision{Event: EventPlaceWaitBegun, Task: st.tasks[0].id(), Reason: n.describe(&facts), Age: now - st.occ.dueAt, Value: float64(staying)})
	}
	w.rack, w.tasks = n.rack, staying
}

// countStaying returns how many tasks wait, by the expected times until they have places, and the
// decision about the first that does not, or else about the last.
func (n *nearSearch) countStaying(policy locality.Policy, facts locality.Facts, times []time.Duration) (staying int, d locality.Decision) {
	until := n.pass.now
	for _, facts.Expected = range times {
		if d = policy.Decide(n.pass.now, &facts); !d.Wait {
			break
		}
		staying, until = staying+1, d.Until
	}
	if n.isGroup() && staying < len(times) {
		staying = 0
	}
	d.Until = until
	return staying, d
}

// facts returns the inputs of decisions about the step's tasks, without the expected wait.
func (n *nearSearch) facts(usable bool) locality.Facts {
	s, now, st := n.s, n.pass.now, n.step
	j := st.occ.job
	objective := s.objective(j)
	slack := st.occ.dueAt + objective - now - s.remaining(st.occ)
	f := locality.Facts{
		Usable: usable, Slowdown: s.settings.FarFactor, Remaining: s.nearDuration(st),
		Crowded: len(n.pass.failed) > 0 || (s.unplacedAt > 0 && now-s.unplacedAt < crowdedDuration),
		Slack:   slack, LateSlack: slack + (lateObjectiveFactor-1)*objective,
		Waited: st.place.waited(now), Idle: j.running == 0,
	}
	if j.predatesLeader {
		f.Waited = max(f.Waited, now-j.submittedAt)
	}
	f.IdleWaited = j.idleWaited(now)
	return f
}

// idleWaited returns for how long the job's tasks have waited for places while it had nothing
// running. What it waited under earlier leaders is not known: all of its age may be.
func (j *job) idleWaited(now Time) time.Duration {
	if j.running > 0 {
		j.idleMark = 0
		return 0
	}
	if j.idleMark > 0 {
		j.idleWait += now - j.idleMark
	}
	j.idleMark = now
	if j.predatesLeader {
		return max(j.idleWait, now-j.submittedAt)
	}
	return j.idleWait
}

// describe returns the inputs of a decision for the log.
func (n *nearSearch) describe(f *locality.Facts) string {
	oldest := time.Duration(0)
	for _, v := range n.vms {
		oldest = max(oldest, n.pass.now-v.lastReportAt)
	}
	d := &n.step.place.decision
	return fmt.Sprintf("%s rack=%s wait_ms=%d away_ms=%d slack_ms=%d crowded=%t idle_ms=%d reported_ago_ms=%d",
		d.Reason, n.rack, costMS(d.WaitCost), costMS(d.AwayCost), f.Slack.Milliseconds(), f.Crowded, f.IdleWaited.Milliseconds(), oldest.Milliseconds())
}

// costMS returns a cost in milliseconds, -1 for Never.
func costMS(d time.Duration) int64 {
	if d == locality.Never {
		return -1
	}
	return d.Milliseconds()
}

// finish ends the step's wait if no task waits any more.
func (n *nearSearch) finish() {
	if n != nil && n.step.waiting == 0 {
		n.s.endPlaceWait(n.pass.now, n.step, PlaceNear)
	}
}

// endPlaceWait ends a step's wait, if there is one.
func (s *Scheduler) endPlaceWait(now Time, st *step, outcome Place) {
	w := &st.place
	if w.since == 0 {
		return
	}
	reason := string(w.decision.Reason)
	switch outcome {
	case PlaceNear:
		reason = "place found"
	case PlaceNone:
		reason = "job ended"
	case PlaceAway, PlaceNoPreference:
	}
	s.logf(Decision{
		Event: EventPlaceWaitEnded, Task: st.tasks[0].id(), Place: outcome, Age: now - w.since, Value: float64(st.waiting),
		Reason: fmt.Sprintf("%s rack=%s wait_ms=%d away_ms=%d", reason, w.rack, costMS(w.decision.WaitCost), costMS(w.decision.AwayCost)),
	})
	w.earlier, w.since, w.tasks, w.until = w.waited(now), 0, 0, 0
}

// rackWaits sums up the waits for places by rack.
func (s *Scheduler) rackWaits(now Time) []RackWaitDump {
	byRack := map[string]*RackWaitDump{}
	for _, st := range s.readySteps {
		w := &st.place
		if w.since == 0 || st.occ.job.state.Final() {
			continue
		}
		d := byRack[w.rack]
		if d == nil {
			d = &RackWaitDump{Rack: w.rack}
			byRack[w.rack] = d
		}
		d.Steps++
		d.Tasks += w.tasks
		d.LongestMS = max(d.LongestMS, (now - w.since).Milliseconds())
	}
	var list []RackWaitDump
	for _, rack := range slices.Sorted(maps.Keys(byRack)) {
		list = append(list, *byRack[rack])
	}
	return list
}
