package scheduler

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// The times of an election and of what a leader does beside planning, as package
// leader has them.
const (
	keyLife      = 1300 * time.Millisecond
	keyConfirmed = keyLife - 150*time.Millisecond
	renewalEvery = 350 * time.Millisecond
	actsUnseen   = 6 * time.Second
	listedEvery  = 500 * time.Millisecond
	callLost     = 500 * time.Millisecond
)

// modelLeader is one tenure.
type modelLeader struct {
	s     *Scheduler
	fence int64
	zone  int
	// ended: the process died, or learned that another leads.
	ended       bool
	frozenUntil Time
	// storelessUntil is when it reaches the store again.
	storelessUntil             Time
	renewedAt, renewAt, listAt Time
	// overlapRead is set once the leader has read from when on jobs are new.
	overlapRead bool
	watched     int
	// readyAt is when it has read what earlier leaders left, watchAt when its watch
	// tells it something, openAt when it looks at the time of day.
	readyAt, watchAt, openAt Time
	wallOffset               time.Duration
	logging                  bool
	flushing                 bool
	// openedTo is the time of day up to which it has opened the occurrences of the
	// jobs that it knows.
	openedTo int64
	recorded map[string]string
	holding  map[string]bool
	cut      map[string]Time
	// past are the tenures that it has to ask, said what they told, closed is set once
	// it has told its own leases.
	past   []*modelLeader
	said   map[string]Time
	askAt  Time
	asking bool
	closed bool
	// died is set where the process died; its next life answers from restartAt on.
	died      bool
	restartAt Time
	pruned    bool
	// knows is set once its predecessors have told of all their leases.
	knows bool
}

func (w *world) reachesStore(l *modelLeader) bool {
	return w.now >= w.store.downUntil && w.now >= l.storelessUntil && w.now >= w.zoneCut[l.zone]
}

// acts reports whether a leader may give orders now.
func (w *world) acts(l *modelLeader) bool {
	unseen := actsUnseen
	if w.breaks.actsOn {
		unseen = time.Minute
	}
	return !l.ended && w.now >= l.frozenUntil && w.now-l.renewedAt < unseen
}

// confirmed reports whether nobody else can lead by now.
func (w *world) confirmed(l *modelLeader) bool {
	return w.acts(l) && (w.now-l.renewedAt < keyConfirmed || w.breaks.unconfirmed)
}

// leads reports whether the key in the store is the leader's.
func (w *world) leads(l *modelLeader) bool { return w.store.holder == l && w.now < w.store.keyUntil }

// elect makes a new leader once the key is free, from what is durable.
func (w *world) elect() {
	if w.now < w.store.downUntil || (w.store.holder != nil && w.now < w.store.keyUntil) || w.now < w.electAt {
		return
	}
	zone := w.rng.IntN(zones)
	if w.now < w.zoneCut[zone] {
		zone = 1 - zone
	}
	w.changes++
	w.fence++
	l := &modelLeader{
		fence: w.fence, zone: zone, renewedAt: w.now, wallOffset: w.upTo(3*time.Second) - 1500*time.Millisecond,
		holding: map[string]bool{}, cut: map[string]Time{},
	}
	l.s = New(Settings{MaxLease: w.longestLease()}, l.fence, w.decisions(l))
	w.store.holder, w.store.keyUntil = l, w.now+keyLife
	w.leaders = append(w.leaders, l)
	w.tracef("leader %d elected in zone %d", l.fence, zone)
	w.rebuild(l)
	l.readyAt = w.now + w.upTo(400*time.Millisecond)
	if w.faults.asks {
		l.past, l.said, l.askAt = slices.Clone(w.store.tenures), map[string]Time{}, l.readyAt+300*time.Millisecond
		w.store.tenures = append([]*modelLeader{l}, w.store.tenures...)
	}
	if w.faults.late && w.chance(60) {
		l.watchAt = w.now + w.upTo(6*time.Second)
	}
	if w.faults.timed && w.chance(50) {
		l.openAt = w.now + w.upTo(5*time.Second)
	}
}

// rebuild reads what earlier leaders left, as package leader does.
func (w *world) rebuild(l *modelLeader) {
	l.s.SetConfig(&batch.Config{Pools: map[string]batch.Pool{"pool": {Name: "pool", GuardsCapacity: !w.faults.resizes}}, Queues: []batch.Queue{
		{Name: "many", Pool: "pool", Attempts: manyAttempts, Stretch: 2},
		{Name: "two", Pool: "pool", Attempts: 2, Stretch: 2},
		{Name: "three", Pool: "pool", Attempts: 3, Stretch: 2},
	}})
	list := w.list()
	earlier := w.store.instances
	if w.breaks.unrecorded {
		earlier = map[string]string{}
		for i := range list {
			earlier[list[i].ID] = list[i].Address
		}
	}
	l.s.RestoreExpiredLeases(w.store.lapsed)
	w.record(l, list, earlier)
	l.s.SetInstances(w.now, list)
	used := slices.Sorted(maps.Keys(earlier))
	if !w.breaks.noExpect {
		wait := l.s.settings.TakeoverWait(actsUnseen)
		if w.breaks.impatient {
			wait = time.Second
		}
		l.s.AwaitInstances(used, w.now+wait)
	}
	for _, id := range used {
		l.s.AddUnlisted(w.now, batch.Instance{ID: id, Address: earlier[id]})
	}
	for _, j := range w.store.jobs {
		sub := j.submission(w.now)
		sub.PredatesLeader, sub.Cancelled = true, j.cancelled
		if value := w.store.records[j.spec.ID]; value != nil {
			sub.Progress, sub.RecordRevision = &Progress{}, 1
			if err := json.Unmarshal(value, sub.Progress); err != nil {
				panic(err)
			}
		}
		l.s.Submit(w.now, sub)
	}
	l.watched = len(w.store.events)
	w.restoreStarts(l)
}

// record makes sure that the store names every instance before it may be given
// work. It returns false when it can't.
func (w *world) record(l *modelLeader, list []batch.Instance, earlier map[string]string) bool {
	next := map[string]string{}
	for _, id := range l.s.AwaitedInstances() {
		next[id] = l.recorded[id]
	}
	for id, inst := range l.s.RecordedInstances(w.now) {
		next[id] = inst.Address
	}
	maps.Copy(next, earlier)
	for i := range list {
		next[list[i].ID] = list[i].Address
	}
	lapsed := l.s.ExpiredLeases()
	if maps.Equal(next, l.recorded) && maps.Equal(lapsed, w.store.lapsed) {
		return true
	}
	if !w.leads(l) {
		l.ended = true
		return false
	}
	w.store.instances, l.recorded, w.store.lapsed = next, next, lapsed
	return true
}

// tendLeader does what a leader does beside planning.
func (w *world) tendLeader(l *modelLeader) {
	if l.ended || w.now < l.frozenUntil {
		return
	}
	w.watch(l)
	if w.now >= l.renewAt {
		l.renewAt = w.now + renewalEvery
		switch {
		case !w.reachesStore(l) || (!w.calm && w.chance(8)):
		case w.leads(l):
			l.renewedAt, w.store.keyUntil = w.now, w.now+keyLife
		default:
			l.ended = true
			w.tracef("leader %d learns that it does not lead", l.fence)
		}
	}
	if !w.acts(l) {
		if !l.ended {
			w.tracef("leader %d stops acting", l.fence)
		}
		l.ended = true
		return
	}
	if l.s.NeedsToken() && w.reachesStore(l) && w.leads(l) {
		w.fence++
		l.s.RaiseToken(w.fence)
	}
	if !l.overlapRead && w.now >= l.readyAt+DeposedAdmissionTimeout && w.reachesStore(l) {
		l.overlapRead = true
		l.s.SetHandoverRevision(int64(w.now))
	}
	if w.now >= max(l.listAt, l.readyAt) && w.reachesStore(l) {
		l.listAt = w.now + listedEvery
		if list := w.list(); w.record(l, list, nil) {
			l.s.SetInstances(w.now, list)
		}
		if (w.faults.crashes || w.faults.restarts) && l.s.NeedsLivenessCheck(w.now) {
			l.s.SetLiveInstances(w.now, w.now, w.machines())
		}
	}
}

// watch brings a leader the jobs and cancels that came.
func (w *world) watch(l *modelLeader) {
	if w.faults.late && !w.calm && w.chance(1) {
		l.watchAt = max(l.watchAt, w.now+w.upTo(6*time.Second))
	}
	if w.now < max(l.watchAt, l.readyAt) || !w.reachesStore(l) || !w.confirmed(l) {
		return
	}
	for ; l.watched < len(w.store.events) && w.store.events[l.watched].at < w.now-20*time.Millisecond; l.watched++ {
		w.learn(l, w.store.events[l.watched])
	}
}

func (w *world) learn(l *modelLeader, e jobEvent) {
	if e.cancel {
		l.s.Cancel(w.now, e.job.spec.ID)
		return
	}
	l.s.Submit(w.now, e.job.submission(w.now))
	l.openedTo = 0
}

// flush writes what is pending, and takes the answer over if it comes.
func (w *world) flush(l *modelLeader) {
	if l.flushing || !w.chance(50) {
		return
	}
	f := l.s.PendingWrites()
	if f == nil {
		return
	}
	if len(f.Records) == 0 {
		l.s.Flushed(f)
		return
	}
	values := make([][]byte, len(f.Records))
	for i := range f.Records {
		value, err := json.Marshal(f.Records[i].Progress)
		if err != nil {
			panic(err)
		}
		values[i] = value
		w.judgeGivenUp(f.Records[i].Job, f.Records[i].Progress)
	}
	// Many records take several calls, of which some may fail.
	written, answered := len(f.Records), w.calm || !w.chance(4)
	if !w.calm && w.chance(4) {
		written = w.rng.IntN(written)
	}
	l.flushing = true
	w.after(w.travel(), func() {
		if !w.reachesStore(l) {
			w.after(callLost, func() { l.flushing = false })
			return
		}
		if !w.leads(l) {
			l.ended = true
			return
		}
		for i := range f.Records[:written] {
			w.store.records[f.Records[i].Job] = values[i]
		}
		w.after(w.travel(), func() {
			l.flushing = false
			if !answered || l.ended {
				return
			}
			for i := range f.Records[:written] {
				l.s.RecordWritten(f.Records[i], 1)
			}
			if written == len(f.Records) {
				l.s.Flushed(f)
			}
		})
	})
}

// act lets a leader talk to the VMs and plan.
func (w *world) act(l *modelLeader) {
	if !w.acts(l) || w.now < l.readyAt || l.closed {
		return
	}
	w.askPast(l)
	for _, v := range w.vms {
		if !w.calm && w.rng.IntN(1000) < 5 {
			l.cut[v.id] = w.now + w.upTo(12*time.Second)
		}
		if !l.holding[v.id] && v.next == nil {
			w.hold(l, v)
		}
	}
	if l.s.ConfirmLeadership(l.renewedAt); w.breaks.concludes {
		l.s.ConfirmLeadership(w.now)
	}
	if w.breaks.forgetsCrashes {
		l.s.forgetCrashes()
	}
	l.s.Tick(w.now)
	if w.now >= l.openAt {
		w.openDue(l)
	}
	for _, o := range l.s.Plan(w.now) {
		w.carryOut(l, o)
	}
	w.flush(l)
	w.logStarts(l)
}

// openDue opens what is due by the leader's clock, one after the other: occurrences
// of one job that are opened at one moment have the same place in the queue.
func (w *world) openDue(l *modelLeader) {
	var due []int64
	wall := w.wall() + l.wallOffset.Milliseconds()
	for _, j := range w.store.jobs {
		if j.spec.Schedule == nil {
			continue
		}
		for n := range j.spec.Occurrences() {
			if at := j.spec.DueMS(n); at <= wall && at > l.openedTo {
				due = append(due, at)
			}
		}
	}
	l.openedTo = max(l.openedTo, wall)
	slices.Sort(due)
	for i, at := range due {
		l.s.OpenDue(w.now+time.Duration(i), at)
	}
}

// gone tells a leader that another life answers at a VM's address.
func (w *world) gone(l *modelLeader, inst *batch.Instance) { l.s.RemoveReplaced(w.now, inst) }

// fenced ends the tenure of a leader whose successor a VM has seen.
func (w *world) fenced(l *modelLeader) {
	w.tracef("leader %d is fenced", l.fence)
	l.ended = true
}

// forgetCrashes takes back what was counted.
func (s *Scheduler) forgetCrashes() {
	for _, j := range s.jobs {
		for _, o := range j.occs {
			for i := range o.steps {
				for k := range o.steps[i].tasks {
					o.steps[i].tasks[k].crashes = nil
				}
			}
		}
	}
}

func (w *world) hold(l *modelLeader, v *modelVM) {
	order, ok := l.s.Hold(w.now, v.id, 0)
	if !ok {
		return
	}
	if w.breaks.ackEarly {
		order.Acked = l.s.vms[v.id].processedSeq
	}
	if w.breaks.blindAcks {
		order.Acked = l.s.vms[v.id].ackableSeq()
	}
	l.holding[v.id] = true
	sentAt := w.now
	var report batch.Report
	fenced := false
	w.call(l, v, func(v *modelVM) { report, fenced = w.held(v, order) }, func() {
		l.holding[v.id] = false
		if fenced {
			if order.Fence >= l.s.Token(v.id) {
				w.fenced(l)
			}
			return
		}
		if w.breaks.sameStart {
			report.Born = 0
		}
		l.s.HandleReport(w.now, sentAt, v.id, report)
	}, func() {
		l.holding[v.id] = false
		l.s.HoldFailed(w.now, v.id, v.dead && !v.dark)
	})
}

func (w *world) carryOut(l *modelLeader, o Order) {
	for _, v := range w.vms {
		if v.id != o.Instance.ID || v.next != nil {
			continue
		}
		switch o.Kind {
		case OrderStart:
			w.start(l, v, o)
		case OrderStop:
			w.stop(l, v, o)
		case OrderPace, OrderAdvise, OrderMaintain:
		}
	}
}

func (w *world) start(l *modelLeader, v *modelVM, o Order) {
	if !l.s.PrepareStart(w.now, o) {
		return
	}
	sentAt := w.now
	if v.current().born != o.Start.Born {
		// A connection leads to the start that accepted it.
		w.after(2*w.travel(), func() {
			w.deliver(l, func() { l.s.Started(w.now, sentAt, o, 0, batch.RefusedRestarted, false) })
		})
		return
	}
	refusal := batch.Refusal("")
	clock := time.Duration(0)
	w.call(l, v, func(v *modelVM) { refusal, clock = w.started(v, o), v.clock(w.now) }, func() {
		if refusal == batch.RefusedFence {
			if o.Start.Fence >= l.s.Token(v.id) {
				w.fenced(l)
				return
			}
			l.s.Started(w.now, sentAt, o, 0, "", true)
			return
		}
		if !w.faults.restarts {
			clock = v.clock(w.now)
		}
		l.s.Started(w.now, sentAt, o, clock, refusal, false)
	}, func() {
		if w.breaks.forgetUnknown {
			l.s.Started(w.now, sentAt, o, 0, batch.RefusedBusy, false)
			return
		}
		l.s.Started(w.now, sentAt, o, 0, "", true)
	})
}

func (w *world) stop(l *modelLeader, v *modelVM, o Order) {
	if !w.acts(l) {
		return
	}
	known := true
	token := l.s.Token(v.id)
	w.call(l, v, func(v *modelVM) { known = w.stopped(v, token, o) }, func() {
		if !known {
			if token >= l.s.Token(v.id) {
				w.fenced(l)
				return
			}
			w.stop(l, v, o)
			return
		}
		l.s.Stopped(w.now, o)
	}, func() { w.stop(l, v, o) })
}
