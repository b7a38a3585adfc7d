package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// lateObjectiveFactor is the multiple of its objective up to which a late job still has a
	// reduced value.
	lateObjectiveFactor = 3
	// planInterval is the interval between plans when nothing has changed: pauses after failures
	// end with time.
	planInterval = 50 * time.Millisecond
)

// rank is the sort key of a waiting step; lower ranks start first.
type rank struct {
	group    rankGroup
	priority int
	// overShare is set if the job's user was given more than its part of the room.
	overShare bool
	// costPerValue is the remaining work per value of the job. Under overload, ordering by it
	// completes more jobs, more work and more of the largest tenth of jobs than ordering by
	// slack, which starts all jobs and finishes them late: 0.63 instead of 0.54 of the work on
	// time, with twice the available capacity requested for twelve seconds
	// (TestOverloadOfFillerChains).
	costPerValue float64
	// slack is the time that may be lost without missing the objective.
	slack time.Duration
}

// rankGroup is the primary sort key of the queue, most urgent first.
type rankGroup int

const (
	// groupRestart holds lasting tasks of jobs that ran before.
	groupRestart rankGroup = iota
	// groupShort holds tasks that occupy processors for a second or two, of jobs that can meet
	// their objective. They precede new lasting tasks, which hold their processors for minutes
	// and have to wait in any case when more of them arrive than fit.
	groupShort
	// groupLasting holds lasting tasks of jobs that have not run yet.
	groupLasting
	// groupShortLate holds short tasks of jobs that are late but still have a value.
	groupShortLate
	// groupOnTime holds all other jobs that can meet their objective, groupLate those that are
	// late but still have a value, and groupHopeless those past lateObjectiveFactor times their
	// objective.
	groupOnTime
	groupLate
	groupHopeless
)

// groupNames are the names of the groups in metrics and logs.
var groupNames = [...]string{"restart", "short", "lasting", "short_late", "on_time", "late", "hopeless"}

// urgent reports whether steps of the group are started even if the leader is behind with its
// work.
func (g rankGroup) urgent() bool { return g < groupOnTime }

func (g rankGroup) String() string { return groupNames[g] }

func (s *Scheduler) rank(now Time, st *step) rank {
	o := st.occ
	j := o.job
	if s.policy.Order == OrderArrival {
		return rank{group: groupOnTime, slack: o.dueAt - now}
	}
	if j.spec.Lasts() {
		group := groupLasting
		if j.started {
			group = groupRestart
		}
		return rank{group: group, priority: j.priority, slack: o.dueAt - now}
	}
	remaining, objective := s.remaining(o), s.objective(j)
	slack := o.dueAt + objective - now - remaining
	r := rank{group: groupOnTime, priority: j.priority, overShare: s.isOverShare(j), costPerValue: s.costPerValue(now, o), slack: slack}
	if isShort(st.spec) && s.policy.ShortFirst {
		r.group = groupShort
	}
	if slack < 0 {
		if r.group == groupShort {
			r.group = groupShortLate
		} else {
			r.group = groupLate
		}
		r.slack = o.dueAt + lateObjectiveFactor*objective - now - remaining
		if r.slack < 0 {
			r.group = groupHopeless
			r.slack = o.dueAt - now
		}
	}
	return r
}

// fixedValueShare is the part of a job's value that is independent of its size: this share of the
// mean work in its queue. The rest is proportional to the job's own work.
const fixedValueShare = 0.3

// costPerValue returns the occurrence's remaining demand for the scarce resource per value: work,
// or starts while the leader can send fewer than it could decide.
func (s *Scheduler) costPerValue(now Time, o *occurrence) float64 {
	if s.policy.Order != OrderWork {
		return 0
	}
	value := fixedValueShare*s.meanWork[o.job.queue] + (1-fixedValueShare)*s.jobWork(o.job)
	if value <= 0 {
		return 0
	}
	if s.isStartLimited(now) {
		return float64(o.remainingStarts()) / value
	}
	return s.remainingWork(o) / value
}

// startLimitedDuration is how long starts count as scarce after a plan had to omit some. A leader
// at its limit makes such plans many times a second.
const startLimitedDuration = time.Second

// isStartLimited reports whether recent plans had to omit starts.
func (s *Scheduler) isStartLimited(now Time) bool {
	return s.startLimitHitAt > 0 && now-s.startLimitHitAt < startLimitedDuration
}

// remainingStarts counts the tasks that are neither done nor have a run.
func (o *occurrence) remainingStarts() int {
	sum := 0
	for i := range o.steps {
		sum += o.steps[i].waiting
	}
	return sum
}

// meanWorkWeight is the weight of a new job in the moving average of its queue's work.
const meanWorkWeight = 1.0 / 32

// updateMeanWork adds a job to the mean work of its queue.
func (s *Scheduler) updateMeanWork(j *job) {
	mean, known := s.meanWork[j.queue]
	if !known {
		mean = j.work
	}
	s.meanWork[j.queue] = mean + meanWorkWeight*(j.work-mean)
}

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.priority, b.priority), compareBools(a.overShare, b.overShare), cmp.Compare(a.costPerValue, b.costPerValue), cmp.Compare(a.slack, b.slack))
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// SetStartBudget bounds the starts that plans may decide until the next call. A leader that is
// behind with sending starts should not decide more, since urgent ones cannot overtake them. A
// gang is started whole even if it exceeds the budget.
func (s *Scheduler) SetStartBudget(budget StartBudget) { s.startBudget = budget }

// StartBudgetLeft returns the unused part of the budget.
func (s *Scheduler) StartBudgetLeft() StartBudget { return s.startBudget }

// mayStart reports whether the budget admits a start of the step.
func (s *Scheduler) mayStart(st *step) bool {
	return s.startBudget.Starts > 0 && (s.startBudget.Batch > 0 || st.rank.group.urgent())
}

// Plan starts the tasks that can be started and returns the orders to carry out. The others wait
// in the order of their ranks.
func (s *Scheduler) Plan(now Time) []Order {
	if s.planNeeded || now-s.plannedAt >= planInterval {
		s.plannedAt = now
		s.planNeeded = false
		s.planWaves(now)
		if s.startBudget.Starts > 0 {
			s.startWaiting(now)
		}
		s.sampleDemand(now)
		if s.startBudget.exhausted() {
			// Plan again as soon as the budget allows.
			s.planNeeded = true
			s.startLimitHitAt = now
		}
	}
	orders := s.orders
	s.orders = nil
	return orders
}

func (s *Scheduler) startWaiting(now Time) {
	s.readySteps = slices.DeleteFunc(s.readySteps, func(st *step) bool {
		drop := st.waiting == 0 || st.occ.job.state.Final()
		if drop {
			st.queued = false
		}
		return drop
	})
	s.updateShares(now)
	for _, st := range s.readySteps {
		st.rank = s.rank(now, st)
	}
	slices.SortStableFunc(s.readySteps, func(a, b *step) int { return compareRanks(a.rank, b.rank) })
	s.updateShortUse(now)
	pass := &planPass{now: now}
	overdue := s.overdueSteps(now)
	for _, st := range s.readySteps {
		for len(overdue) > 0 && overdue[0].rank.group <= st.rank.group {
			s.startOverdue(pass, overdue[0])
			overdue = overdue[1:]
		}
		if !s.mayStart(st) {
			return
		}
		s.startStep(pass, st)
	}
}

// maxFailedNeeds bounds the needs without a suitable VM in one pass, since each check of all VMs
// takes some 20 us at 350 VMs. Steps further back in the queue are tried when capacity has
// changed.
const maxFailedNeeds = 60

// planPass is the state of one pass over the waiting steps.
type planPass struct {
	now Time
	// failed holds the needs for which no VM was found in this pass.
	failed []placementNeed
	// full holds the needs for which their rack had no VM, ahead the processors wanted in each
	// rack by waiting tasks, in thousandths. racks holds the VMs by rack once they are needed.
	full  []placementNeed
	ahead map[string]int64
	racks map[string][]*vm
	// suspectCount counts the suspects considered for a trial in this pass, overdueCount those of
	// them that have waited longer than maxTrialWait.
	suspectCount, overdueCount int
}

// placementNeed holds the requirements of a task that decide which VMs are suitable.
type placementNeed struct {
	pool  string
	label string
	// image is set for fillers only: their interference with serving tasks differs by image.
	image   string
	filler  bool
	lasting bool
	// rack is set where only VMs of a rack are considered.
	rack string
	res  batch.Resources
}

// covers reports whether a VM that does not suit n suits no task that needs o.
func (n *placementNeed) covers(o *placementNeed) bool {
	return n.pool == o.pool && n.filler == o.filler && n.image == o.image && n.lasting == o.lasting &&
		(n.label == "" || n.label == o.label) && (n.rack == "" || n.rack == o.rack) && n.res.FitsIn(o.res)
}

// unplaceable reports whether no VM was found in this pass for a need that asks for no more.
func (r *planPass) unplaceable(n placementNeed) bool {
	return isCovered(r.failed, &n)
}

// isFull reports whether no VM was found in this pass for a need in the same rack that asks for no
// more.
func (r *planPass) isFull(n placementNeed) bool { return isCovered(r.full, &n) }

func isCovered(failed []placementNeed, n *placementNeed) bool {
	for i := range failed {
		if failed[i].covers(n) {
			return true
		}
	}
	return false
}

func (s *Scheduler) startStep(r *planPass, st *step) {
	j := st.occ.job
	if len(s.awaitedVMs) > 0 && j.predatesLeader {
		return
	}
	n := placementNeed{pool: j.pool, label: st.spec.Label, filler: st.spec.Filler, lasting: st.spec.Lasting, res: st.spec.Need}
	if st.spec.Filler {
		n.image = st.spec.Image
	}
	if (r.unplaceable(n) || len(r.failed) >= maxFailedNeeds) && !s.isStarving(r.now, &st.tasks[0]) {
		return
	}
	near := s.nearSearchFor(r, st, n)
	if st.spec.Gang {
		s.startGang(r, st, near)
		if st.waiting > 0 && s.needsAdvice(st) {
			s.askAdvice(r.now, st)
		}
	} else {
		s.startTasks(r, st, n, near)
	}
	near.finish()
}

// startTasks starts the tasks of a step that is no gang, as far as there are places.
func (s *Scheduler) startTasks(r *planPass, st *step, n placementNeed, near *nearSearch) {
	j := st.occ.job
	var list *candidates
	for k := range st.tasks {
		t := &st.tasks[k]
		if t.done || len(t.runs) > 0 || !s.isStartable(r.now, t) {
			continue
		}
		if !s.mayStart(st) {
			return
		}
		if t.isSuspect() {
			// Its runs change VMs outside the candidate list.
			if r.admitsSuspect(t) {
				s.startSuspect(r.now, t)
				list = nil
			}
			if j.state.Final() {
				// The job failed: do not start its other tasks.
				return
			}
			if len(t.runs) == 0 && s.needsAdvice(st) {
				s.askAdvice(r.now, st)
			}
			continue
		}
		v, wait := near.place(t)
		if wait {
			continue
		}
		if v != nil {
			s.start(r.now, t, v, s.nextRunNumber())
			continue
		}
		if s.usesCandidateList(t) {
			if list == nil {
				list = s.candidatesFor(r.now, t)
			}
			v = s.takeBest(r.now, list, t)
		} else {
			v = s.chooseVM(r.now, t)
		}
		if v == nil && s.isStarving(r.now, t) {
			v = s.leastAffectedVM(r.now, t)
		}
		if v == nil {
			s.explainWait(r.now, t)
			if s.needsAdvice(st) {
				s.askAdvice(r.now, st)
				return
			}
			s.unplacedAt = r.now
			if st.spec.MaxPerVM == 0 {
				r.failed = append(r.failed, n)
			}
			return
		}
		s.start(r.now, t, v, s.nextRunNumber())
	}
}

// startGang starts all members at once or none: a single member would hold its resources without
// making progress.
func (s *Scheduler) startGang(r *planPass, st *step, near *nearSearch) {
	for k := range st.tasks {
		if len(st.tasks[k].runs) > 0 || !s.isStartable(r.now, &st.tasks[k]) {
			return
		}
	}
	var allocated []*run
	if st.isSuspect() {
		allocated = s.reserveGangTrial(r.now, st)
	} else {
		var wait bool
		if allocated, wait = near.placeGang(); wait {
			return
		}
		if allocated == nil {
			allocated = s.allocateGang(r.now, st, s.nextRunNumber(), s.chooseVM)
		}
	}
	if allocated == nil {
		return
	}
	checkpoint := ""
	for k := range st.tasks {
		if c := st.tasks[k].checkpoint; c != "" {
			checkpoint = c
		}
	}
	for _, h := range allocated {
		h.task.checkpoint = checkpoint
		s.orderStart(r.now, h)
	}
}

// allocateGang allocates resources for all members of a gang, or returns nil.
func (s *Scheduler) allocateGang(now Time, st *step, number int64, choose func(Time, *task) *vm) []*run {
	allocated := make([]*run, 0, len(st.tasks))
	for k := range st.tasks {
		v := choose(now, &st.tasks[k])
		if v == nil {
			for _, h := range allocated {
				s.detachRun(now, h)
			}
			return nil
		}
		h := &run{task: &st.tasks[k], vm: v, number: number, orderedAt: now, orderedPace: fullPace}
		s.attachRun(h)
		allocated = append(allocated, h)
	}
	return allocated
}

func (s *Scheduler) nextRunNumber() int64 {
	s.nextRun++
	return s.nextRun
}

func (s *Scheduler) start(now Time, t *task, v *vm, number int64) *run {
	r := &run{task: t, vm: v, number: number, orderedAt: now, orderedPace: fullPace}
	s.attachRun(r)
	s.orderStart(now, r)
	return r
}

func (s *Scheduler) orderStart(now Time, r *run) {
	t, v := r.task, r.vm
	j := t.step.occ.job
	if v.leaseUntil == 0 {
		// The VM's clock is known from its first report, but no hold has granted a lease yet.
		v.renew(now, s.settings.Lease())
	}
	allowed, _ := t.step.validTicket(now, v)
	s.startBudget.Starts--
	if !t.step.rank.group.urgent() {
		s.startBudget.Batch--
	}
	r.resumed = t.checkpoint != ""
	s.chargeShare(now, t)
	s.logStart(r)
	s.logf(Decision{
		Event: EventRunStarted, Task: t.id(), VM: v.inst.ID, Run: r.number, Age: now - t.step.occ.dueAt, Group: t.step.rank.group.String(), Place: s.recordPlace(now, r), Value: t.step.rank.slack.Seconds(),
		HasPrediction: j.hasPrediction, PredictedWait: j.predictedWait,
	})
	j.hasPrediction = false
	s.orders = append(s.orders, Order{
		Kind: OrderStart, Instance: v.inst, Task: t.id(), Run: r.number,
		Start: batch.StartOrder{
			Task: t.id(), Run: r.number, Payload: j.spec.Payload, Checkpoint: t.checkpoint, Ticket: allowed,
			Fence: v.token, Born: v.born, LeaseUntil: v.leaseUntil,
		},
	})
}

// explainInterval is the minimum interval between log lines about waiting tasks.
const explainInterval = 500 * time.Millisecond

// explainWait logs the obstacles of a waiting task, which is the first unplaced one in the queue,
// at most once per explainInterval.
func (s *Scheduler) explainWait(now Time, t *task) {
	if now-s.waitLoggedAt < explainInterval {
		return
	}
	s.waitLoggedAt = now
	s.logf(Decision{
		Event: EventTaskWaits, Task: t.id(), Reason: s.obstaclesOf(now, t), Age: now - t.step.occ.dueAt, Value: float64(s.waitingTasks()),
	})
}

// waitingTasks counts the tasks that are ready but not placed.
func (s *Scheduler) waitingTasks() int {
	n := 0
	for _, st := range s.readySteps {
		n += st.waiting
	}
	return n
}
