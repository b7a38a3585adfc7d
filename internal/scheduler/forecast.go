package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
)

// room is a part of the fleet that is measured by itself: fillers and other tasks of a pool share
// its processors by different rules.
type room struct {
	pool   string
	filler bool
}

// queueDemand is what is known of a queue's recent jobs.
type queueDemand struct {
	room     room
	arrivals admission.Arrivals
}

// demand measures what the prediction of waits needs; nil if the policy refuses nothing.
type demand struct {
	meters   map[room]*admission.Meter
	queues   map[string]*queueDemand
	forecast *admission.Forecast
	// forecastAt is when the forecast was made, loggedAt when one was last logged.
	forecastAt, loggedAt Time
}

const (
	// forecastInterval is the shortest interval between forecasts.
	forecastInterval = 200 * time.Millisecond
	// forecastLogInterval is the interval between log lines about them.
	forecastLogInterval = 2 * time.Second
)

func newDemand(p *Policy) *demand {
	if p.Admission == admission.AcceptAll {
		return nil
	}
	return &demand{meters: map[room]*admission.Meter{}, queues: map[string]*queueDemand{}}
}

func (d *demand) meter(r room) *admission.Meter {
	if d.meters[r] == nil {
		d.meters[r] = &admission.Meter{}
	}
	return d.meters[r]
}

func (st *step) room() room { return room{pool: st.occ.job.pool, filler: st.spec.Filler} }

// taskWork is the declared work of one task of the step, in core-seconds.
func (st *step) taskWork() float64 {
	return float64(st.spec.Need.MilliCPU) / 1000 * st.spec.Estimate.Seconds()
}

// isPredicted reports whether the waits of such jobs are predicted.
func (j *job) isPredicted() bool { return !j.spec.Lasts() && j.spec.Schedule == nil }

// recordArrival counts a new job, and keeps what is predicted for it.
func (s *Scheduler) recordArrival(now Time, j *job) {
	if s.demand == nil || !j.isPredicted() || j.state.Final() {
		return
	}
	if f := s.Forecast(now).Queue(j.queue); f != nil && f.Confidence >= admission.MinConfidence {
		j.predictedWait, j.hasPrediction = f.Waits[admission.ClassOf(j.work, s.meanWork[j.queue])], true
	}
	q := s.demand.queues[j.queue]
	if q == nil {
		q = &queueDemand{}
		s.demand.queues[j.queue] = q
	}
	q.room = room{pool: j.pool, filler: j.spec.Steps[0].Filler}
	q.arrivals.Add(now, admission.ClassOf(j.work, s.meanWork[j.queue]), j.work)
}

// recordDone counts a completed task.
func (s *Scheduler) recordDone(t *task) {
	if s.demand != nil {
		s.demand.meter(t.step.room()).Done(t.step.taskWork())
	}
}

// sampleDemand measures the rates of completion.
func (s *Scheduler) sampleDemand(now Time) {
	if s.demand == nil {
		return
	}
	waiting := map[room]bool{}
	for _, st := range s.readySteps {
		if st.waiting > 0 && !st.spec.Lasting {
			waiting[st.room()] = true
		}
	}
	capacities := map[string]float64{}
	for r := range waiting {
		s.demand.meter(r)
	}
	for r, m := range s.demand.meters {
		if _, known := capacities[r.pool]; !known {
			capacities[r.pool], _ = s.usableCapacity(now, r.pool)
		}
		m.Sample(now, waiting[r], capacities[r.pool])
	}
}

// usableCapacity is what may get work in a pool, in thousandths of a processor, and the share of
// its VMs that have not reported to this leader.
func (s *Scheduler) usableCapacity(now Time, pool string) (milliCPU, unheard float64) {
	known, silent := 0, 0
	for _, v := range s.vmList {
		if v.inst.Pool != pool || !v.listed {
			continue
		}
		known++
		if !v.hasReported {
			silent++
		}
		if v.hasReported && !v.isUnresponsive(now) && !v.inst.Draining && !v.closed && !v.evacuated {
			milliCPU += v.capacityMilliCPU()
		}
	}
	return milliCPU, float64(silent) / float64(max(known, 1))
}

// ForecastAge is the age of the last forecast.
func (s *Scheduler) ForecastAge(now Time) time.Duration {
	if s.demand == nil {
		return 0
	}
	return now - s.demand.forecastAt
}

// Forecast predicts the waits of new jobs. The result must not be modified.
func (s *Scheduler) Forecast(now Time) *admission.Forecast {
	d := s.demand
	if d == nil {
		return nil
	}
	if d.forecast != nil && now-d.forecastAt < forecastInterval {
		return d.forecast
	}
	s.forgetRemovedQueues()
	f := &admission.Forecast{Fence: s.fence}
	rooms := s.demandByRoom(now)
	for _, name := range slices.Sorted(maps.Keys(d.queues)) {
		q := d.queues[name]
		load := s.loadBefore(now, name, q, rooms[q.room])
		forecast := admission.QueueForecast{Queue: name, MeanWork: s.meanWork[name], DurationRatio: s.durationRatioOf(name), OverZones: s.overZones(name)}
		forecast.Predict(&load)
		if s.isStartLimited(now) {
			// Starts are scarce, not processors: the measured rate is the leader's.
			forecast.Confidence = 0
		}
		f.Queues = append(f.Queues, forecast)
		s.logForecast(now, &forecast, &load)
	}
	if now-d.loggedAt >= forecastLogInterval {
		d.loggedAt = now
	}
	d.forecast, d.forecastAt = f, now
	return f
}

// forgetRemovedQueues bounds the forecasts by the configuration.
func (s *Scheduler) forgetRemovedQueues() {
	if s.config == nil {
		return
	}
	for name := range s.demand.queues {
		if s.config.Queue(name) == nil {
			delete(s.demand.queues, name)
		}
	}
}

func (s *Scheduler) logForecast(now Time, f *admission.QueueForecast, l *admission.Load) {
	if now-s.demand.loggedAt < forecastLogInterval || f.Waits[admission.Classes-1] == 0 {
		return
	}
	s.logf(Decision{Event: EventForecast, Value: f.Confidence, Reason: fmt.Sprintf(
		"queue=%s wait_s=%.1f/%.1f/%.1f late_wait_s=%.1f/%.1f/%.1f rate=%.0f capacity=%.0f/%.0f unheard=%.2f over=%v",
		f.Queue, f.Waits[0].Seconds(), f.Waits[2].Seconds(), f.Waits[admission.Classes-1].Seconds(),
		f.LateWaits[0].Seconds(), f.LateWaits[2].Seconds(), f.LateWaits[admission.Classes-1].Seconds(), l.Rate.PerSecond, l.Capacity, l.Rate.Capacity, l.Unheard, f.OverZones)})
}

// roomDemand is the work that stands before new jobs of a room.
type roomDemand struct {
	// ahead has no run yet; arriving is per second.
	ahead, arriving workByRank
}

// workByRank sums up amounts of work in the order of their ranks.
type workByRank struct {
	items []rankedWork
	// before[i] is the sum of the first i items.
	before []float64
}

type rankedWork struct {
	rank   rank
	amount float64
}

func (w *workByRank) add(r rank, amount float64) {
	w.items = append(w.items, rankedWork{r, amount})
}

// sum is called once after all additions.
func (w *workByRank) sum() {
	slices.SortFunc(w.items, func(a, b rankedWork) int {
		return cmp.Or(compareRanks(a.rank, b.rank), cmp.Compare(a.amount, b.amount))
	})
	w.before = make([]float64, len(w.items)+1)
	for i := range w.items {
		w.before[i+1] = w.before[i] + w.items[i].amount
	}
}

// preceding returns the sum of what precedes r.
func (w *workByRank) preceding(r rank) float64 {
	n, _ := slices.BinarySearchFunc(w.items, r, func(item rankedWork, r rank) int { return compareRanks(item.rank, r) })
	return w.before[n]
}

// demandByRoom sums up the demand of all rooms that queues use.
func (s *Scheduler) demandByRoom(now Time) map[room]*roomDemand {
	rooms := map[room]*roomDemand{}
	for _, q := range s.demand.queues {
		rooms[q.room] = &roomDemand{}
	}
	for _, j := range s.jobs {
		if j.state.Final() || !j.isPredicted() {
			continue
		}
		for _, o := range j.occs {
			for _, filler := range []bool{false, true} {
				r := room{pool: j.pool, filler: filler}
				if d := rooms[r]; d != nil {
					s.addAhead(now, o, r, &d.ahead)
				}
			}
		}
	}
	for name, q := range s.demand.queues {
		for class := range admission.Classes {
			rooms[q.room].arriving.add(s.rankOfNew(name, q, admission.ClassSize(class)), q.arrivals.PerSecond(now, class))
		}
	}
	for _, d := range rooms {
		d.ahead.sum()
		d.arriving.sum()
	}
	return rooms
}

// loadBefore sums up what precedes new jobs of a queue.
func (s *Scheduler) loadBefore(now Time, queue string, q *queueDemand, d *roomDemand) admission.Load {
	l := admission.Load{Rate: s.demand.meter(q.room).Rate()}
	l.Capacity, l.Unheard = s.usableCapacity(now, q.room.pool)
	for class := range admission.Classes {
		r := s.rankOfNew(queue, q, admission.ClassSize(class))
		l.OnTime.Ahead[class], l.OnTime.Arriving[class] = d.ahead.preceding(r), d.arriving.preceding(r)
		l.Late.Ahead[class] = d.ahead.preceding(r.whenLate())
	}
	return l
}

// whenLate is the rank of the same job once it can't meet its objective any more.
func (r rank) whenLate() rank {
	switch r.group {
	case groupShort:
		r.group = groupShortLate
	case groupOnTime:
		r.group = groupLate
	case groupRestart, groupLasting, groupShortLate, groupLate, groupHopeless:
	}
	return r
}

// addAhead adds the work of an occurrence without a run in a room.
func (s *Scheduler) addAhead(now Time, o *occurrence, r room, ahead *workByRank) {
	work := 0.0
	var first *step
	for i := range o.steps {
		st := &o.steps[i]
		if st.waiting == 0 || st.room() != r {
			continue
		}
		if first == nil {
			first = st
		}
		work += float64(st.waiting) * st.taskWork()
	}
	if first != nil {
		ahead.add(s.rank(now, first), work)
	}
}

// rankOfNew is the rank of a new job of a queue, whose work is size times the mean.
func (s *Scheduler) rankOfNew(queue string, q *queueDemand, size float64) rank {
	r := rank{group: groupOnTime}
	if !q.room.filler && s.policy.ShortFirst {
		r.group = groupShort
	}
	if s.config != nil {
		if c := s.config.Queue(queue); c != nil {
			r.priority = c.Priority
		}
	}
	switch s.policy.Order {
	case OrderWork:
		r.costPerValue = size / (fixedValueShare + (1-fixedValueShare)*size)
	case OrderSlack, OrderArrival:
		// Jobs of equal rank that arrived before are ahead.
		r.slack = 1 << 62
	}
	return r
}
