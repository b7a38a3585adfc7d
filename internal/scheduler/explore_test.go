package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// The explorer runs the scheduler of production against VMs of a model, with
// leaders that die, are cut off or deposed without knowing, messages that are
// lost, late or carried out after newer ones, and clocks that are 2 % slow. What
// the VMs see is judged. Breaks leave a safeguard out; each has to be found.
type breaks struct {
	// noExpect: a new leader starts old tasks without hearing the VMs.
	noExpect bool
	// ackEarly: ends are acknowledged before their record is written.
	ackEarly bool
	// impatient: a new leader waits a second for VMs that it does not reach.
	impatient bool
	// forgetUnknown: a start without an answer is taken not to have happened.
	forgetUnknown bool
	// noFence: VMs do not look at fencing tokens.
	noFence bool
}

type modelVM struct {
	id      string
	fence   int64
	running map[batch.TaskID]int64
	last    map[batch.TaskID]int64
	ended   []batch.RunEnd
	seq     int64
	// lease is on the VM's clock, which runs at rate.
	lease time.Duration
	rate  float64
}

func (v *modelVM) clock(now Time) time.Duration {
	return time.Hour + time.Duration(float64(now)*v.rate)
}

// tasks are what runs, in a fixed order, so that a seed gives the same run again.
func (v *modelVM) tasks() []batch.TaskID {
	return slices.SortedFunc(maps.Keys(v.running), func(a, b batch.TaskID) int { return strings.Compare(a.String(), b.String()) })
}

type message struct {
	at Time
	do func()
}

type modelLeader struct {
	s     *Scheduler
	fence int64
	// actsUntil is when it stops giving orders; takesUntil when it stops taking new jobs.
	actsUntil, takesUntil Time
	holding               map[string]bool
	cut                   map[string]Time
}

type world struct {
	rng      *rand.Rand
	breaks   breaks
	now      Time
	vms      []*modelVM
	leaders  []*modelLeader
	fence    int64
	records  map[string]*Progress
	jobs     []*batch.Job
	messages []message
	noted    map[batch.TaskID]bool
	broken   string
	starts   int
	changes  int
}

func newWorld(seed uint64, b breaks) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), breaks: b, now: time.Second, records: map[string]*Progress{}, noted: map[batch.TaskID]bool{}}
	for i := range 3 {
		rate := 1.0
		if w.rng.IntN(2) == 0 {
			rate = slowClock
		}
		w.vms = append(w.vms, &modelVM{id: fmt.Sprintf("vm%d", i), running: map[batch.TaskID]int64{}, last: map[batch.TaskID]int64{}, rate: rate})
	}
	w.elect()
	return w
}

func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *world) after(d time.Duration, do func()) {
	w.messages = append(w.messages, message{w.now + d, do})
}

// travel is the time of one message.
func (w *world) travel() time.Duration {
	return time.Duration(1+w.rng.IntN(30)) * time.Millisecond
}

// elect makes a new leader from what is durable; the one before dies, or goes on
// for as long as its rules let it.
func (w *world) elect() {
	w.changes++
	for _, old := range w.leaders {
		switch n := w.rng.IntN(10); {
		case n < 4:
			// It died.
			old.actsUntil, old.takesUntil = w.now, w.now
		case n < 7:
			// Its key was taken away: its next renewal tells it.
			old.actsUntil = min(old.actsUntil, w.now+deposedWithin/2)
			old.takesUntil = old.actsUntil
		default:
			// It is cut off from the store: its key ran out 1.3 s after its last
			// renewal, and it has taken no new jobs since shortly before.
			old.actsUntil = min(old.actsUntil, w.now+4700*time.Millisecond)
			old.takesUntil = w.now
		}
	}
	w.fence++
	l := &modelLeader{
		s: New(Settings{MaxLease: 10 * time.Second}, w.fence, nil), fence: w.fence,
		actsUntil: 1 << 62, takesUntil: 1 << 62, holding: map[string]bool{}, cut: map[string]Time{},
	}
	l.s.SetConfig(&batch.Config{Queues: []batch.Queue{{Name: "q", Pool: "pool", Attempts: 1 << 20, Stretch: 2}}})
	var list []batch.Instance
	var ids []string
	for i, v := range w.vms {
		list = append(list, batch.Instance{ID: v.id, Pool: "pool", Address: fmt.Sprint(i), Capacity: batch.Resources{MilliCPU: 2000, MemoryMB: 2000}})
		ids = append(ids, v.id)
	}
	l.s.SetInstances(w.now, list)
	if !w.breaks.noExpect {
		wait := 13 * time.Second
		if w.breaks.impatient {
			wait = time.Second
		}
		l.s.Expect(w.now, ids, w.now+wait)
	}
	for _, j := range w.jobs {
		l.s.Submit(w.now, Submission{Job: j, Queue: "q", Pool: "pool", Existed: true, Progress: w.records[j.ID]})
	}
	w.leaders = append(w.leaders, l)
}

func (w *world) submit() {
	j := &batch.Job{ID: fmt.Sprintf("j%d", len(w.jobs)), Steps: []batch.Step{tasks(2, 900)}}
	w.jobs = append(w.jobs, j)
	for _, l := range w.leaders {
		if w.now < l.takesUntil {
			l.s.Submit(w.now, Submission{Job: j, Queue: "q", Pool: "pool"})
		}
	}
}

// call carries a message to a VM and its answer back: lost on either way, late,
// or carried out seconds after without an answer.
func (w *world) call(l *modelLeader, v *modelVM, do func(), answer, silence func()) {
	switch {
	case w.now < l.cut[v.id] || w.chance(4):
		w.after(500*time.Millisecond, silence)
	case w.chance(4):
		w.after(time.Duration(500+w.rng.IntN(5000))*time.Millisecond, do)
		w.after(500*time.Millisecond, silence)
	case w.chance(4):
		w.after(w.travel(), do)
		w.after(500*time.Millisecond, silence)
	default:
		w.after(w.travel(), func() {
			do()
			w.after(w.travel(), answer)
		})
	}
}

func (w *world) hold(l *modelLeader, v *modelVM) {
	order, ok := l.s.Hold(w.now, v.id, 0)
	if !ok {
		return
	}
	if w.breaks.ackEarly {
		order.Acked = l.s.vms[v.id].seen
	}
	l.holding[v.id] = true
	sentAt := w.now
	var report batch.Report
	fenced := false
	w.call(l, v, func() { report, fenced = w.held(v, order) }, func() {
		l.holding[v.id] = false
		if fenced {
			l.actsUntil = min(l.actsUntil, w.now)
			return
		}
		l.s.Heard(w.now, sentAt, v.id, report)
	}, func() { l.holding[v.id] = false })
}

func (w *world) held(v *modelVM, o batch.HoldOrder) (batch.Report, bool) {
	w.lapse(v)
	if o.Fence < v.fence && !w.breaks.noFence {
		return batch.Report{}, true
	}
	v.fence = max(v.fence, o.Fence)
	v.lease = max(v.lease, o.LeaseUntil)
	for len(v.ended) > 0 && v.ended[0].Seq <= o.Acked {
		if v.ended[0].Kind == batch.EndDone {
			w.noted[v.ended[0].Task] = true
		}
		v.ended = v.ended[1:]
	}
	rep := batch.Report{Clock: v.clock(w.now), Ended: append([]batch.RunEnd(nil), v.ended...)}
	for _, task := range v.tasks() {
		run := v.running[task]
		rep.Running = append(rep.Running, batch.RunStatus{Task: task, Run: run, Progress: w.rng.IntN(100)})
	}
	return rep, false
}

// lapse kills everything on a VM whose lease is over.
func (w *world) lapse(v *modelVM) {
	if v.clock(w.now) <= v.lease {
		return
	}
	for _, task := range v.tasks() {
		w.end(v, task, v.running[task], batch.EndLapsed)
	}
}

func (w *world) end(v *modelVM, task batch.TaskID, run int64, kind batch.EndKind) {
	delete(v.running, task)
	v.last[task] = max(v.last[task], run)
	v.seq++
	v.ended = append(v.ended, batch.RunEnd{Seq: v.seq, Task: task, Run: run, Kind: kind})
}

func (w *world) carryOut(l *modelLeader, o Order) {
	for _, v := range w.vms {
		if v.id != o.Instance.ID {
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
	sentAt := w.now
	refusal := batch.Refusal("")
	w.call(l, v, func() { refusal = w.started(v, o) }, func() {
		l.s.Started(w.now, sentAt, o, v.clock(w.now), refusal, false)
	}, func() {
		if w.breaks.forgetUnknown {
			l.s.Started(w.now, sentAt, o, 0, batch.RefusedBusy, false)
			return
		}
		l.s.Started(w.now, sentAt, o, 0, "", true)
	})
}

// started is the VM's side of a start, and where double runs are seen.
func (w *world) started(v *modelVM, o Order) batch.Refusal {
	w.lapse(v)
	switch {
	case o.Start.Fence < v.fence && !w.breaks.noFence:
		return batch.RefusedFence
	case o.Start.LeaseUntil < v.clock(w.now):
		return batch.RefusedLate
	}
	v.fence = max(v.fence, o.Start.Fence)
	v.lease = max(v.lease, o.Start.LeaseUntil)
	if v.running[o.Task] == o.Run {
		return ""
	}
	if o.Run <= v.last[o.Task] || v.running[o.Task] != 0 {
		return batch.RefusedOld
	}
	w.starts++
	for _, other := range w.vms {
		w.lapse(other)
		if run := other.running[o.Task]; run != 0 && w.broken == "" {
			w.broken = fmt.Sprintf("%v: %s run %d started on %s while run %d is on %s", w.now, o.Task, o.Run, v.id, run, other.id)
		}
	}
	if w.noted[o.Task] && w.broken == "" {
		w.broken = fmt.Sprintf("%v: %s started on %s after its end was acknowledged", w.now, o.Task, v.id)
	}
	v.running[o.Task] = o.Run
	return ""
}

func (w *world) stop(l *modelLeader, v *modelVM, o Order) {
	if w.now > l.actsUntil {
		return
	}
	w.call(l, v, func() {
		w.lapse(v)
		if l.fence < v.fence && !w.breaks.noFence {
			return
		}
		v.last[o.Task] = max(v.last[o.Task], o.Run)
		if run := v.running[o.Task]; run != 0 && run <= o.Run {
			w.end(v, o.Task, run, batch.EndStopped)
		}
	}, func() { l.s.Stopped(w.now, o) }, func() { w.stop(l, v, o) })
}

// step lets one random thing happen, and what is due.
func (w *world) step() {
	w.now += time.Duration(5+w.rng.IntN(100)) * time.Millisecond
	var due []message
	rest := w.messages[:0:0]
	for _, m := range w.messages {
		if m.at <= w.now {
			due = append(due, m)
		} else {
			rest = append(rest, m)
		}
	}
	w.messages = rest
	w.rng.Shuffle(len(due), func(i, k int) { due[i], due[k] = due[k], due[i] })
	for _, m := range due {
		m.do()
	}
	for _, v := range w.vms {
		w.lapse(v)
		for _, task := range v.tasks() {
			run := v.running[task]
			if w.chance(8) {
				kind := batch.EndDone
				if w.chance(30) {
					kind = batch.EndFailed
				}
				w.end(v, task, run, kind)
			}
		}
	}
	if w.chance(10) {
		w.submit()
	}
	if w.chance(1) {
		w.elect()
	}
	for _, l := range w.leaders {
		w.act(l)
	}
}

func (w *world) act(l *modelLeader) {
	if w.now > l.actsUntil {
		return
	}
	for _, v := range w.vms {
		if w.chance(1) {
			l.cut[v.id] = w.now + time.Duration(w.rng.IntN(12_000))*time.Millisecond
		}
		if !l.holding[v.id] {
			w.hold(l, v)
		}
	}
	l.s.Tend(w.now)
	for _, o := range l.s.Plan(w.now) {
		w.carryOut(l, o)
	}
	// Only the newest leader's writes succeed.
	if f := l.s.Pending(); f != nil && l.fence == w.fence && w.chance(50) {
		for _, r := range f.Records {
			w.records[r.Job] = r.Progress
			l.s.RecordWritten(r, 1)
		}
		l.s.Flushed(f)
	}
}

// explore runs one seed and returns what broke.
func explore(seed uint64, steps int, b breaks) *world {
	w := newWorld(seed, b)
	for range steps {
		w.step()
		if w.broken != "" {
			break
		}
	}
	return w
}

// No task runs in two places, and none starts after its end was acknowledged,
// whatever happens to leaders, messages and clocks.
func TestExploreOwnership(t *testing.T) {
	seeds := uint64(400)
	if testing.Short() {
		seeds = 40
	}
	starts, changes := 0, 0
	for seed := range seeds {
		w := explore(seed, 700, breaks{})
		require.Empty(t, w.broken, "seed %d", seed)
		starts += w.starts
		changes += w.changes
	}
	t.Logf("%d seeds: %d starts, %d leaders, nothing broken", seeds, starts, changes)
	require.Greater(t, starts, int(seeds)*20)
}

// Each safeguard is needed: without it the explorer finds a double run.
func TestExploreFindsBreaks(t *testing.T) {
	for name, b := range map[string]breaks{
		"starts without hearing the VMs": {noExpect: true}, "acknowledges before it writes": {ackEarly: true},
		"waits a second for silent VMs": {impatient: true}, "forgets unanswered starts": {forgetUnknown: true},
		"VMs without fencing": {noFence: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(400) {
				if w := explore(seed, 700, b); w.broken != "" {
					t.Logf("seed %d: %s", seed, w.broken)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
