package scheduler

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// forcedLeaders lead one after the other, each until so long after a VM began its first run
	// of the task; each case is played with forcedSeeds, which draw how long messages travel.
	forcedLeaders = 3
	forcedSeeds   = 20
	// cutBefore is how long before that start a leader is cut off from the store.
	cutBefore = 100 * time.Millisecond
	forever   = Time(1 << 62)
)

// forcedEnds are how long after the start a leader's end comes, in milliseconds: atOnce are those
// that leave no time for a write.
var (
	forcedEnds = []time.Duration{50, 100, 200, 300, 400}
	atOnce     = []time.Duration{0, 10}
)

// forcing is how leaders end, and what happens beside.
type forcing struct {
	faults faults
	// end ends a leader's tenure.
	end func(w *world, l *modelLeader)
	// beside happens as the VM ends.
	beside func(w *world)
	// storeless: each leader is cut off from the store before the start.
	storeless bool
}

// forced is a play in which a task ends its VMs and leaders end at moments of the script.
type forced struct {
	*world
	task batch.TaskID
	// stops are moments that no step passes by.
	stops []Time
	// began is when each leader's first run of the task began, 0 where none did; read is
	// whether the next leader found that run in the record, with its VM.
	began [forcedLeaders]Time
	read  [forcedLeaders]bool
	// after counts the starts since the third VM's end.
	after int
	lines []string
	last  string
}

func newForced(seed uint64, f faults) *forced {
	f.crashes = true
	p := &forced{task: batch.TaskID{Job: "j0"}}
	p.world = newWorld(seed, f, breaks{}, p.note)
	p.calm, p.calmAt = true, forever
	j := &modelJob{spec: &batch.Job{ID: p.task.Job, Steps: []batch.Step{tasks(1, taskSize)}}, queue: "many", attempts: manyAttempts, at: p.now, crashes: true}
	p.store.jobs, p.jobs[j.spec.ID] = append(p.store.jobs, j), j
	p.announce(jobEvent{at: p.now, job: j})
	return p
}

// note keeps the trace, and counts starts.
func (p *forced) note(line string) {
	p.lines = append(p.lines, line)
	if strings.Contains(line, p.task.String()+" run ") && strings.Contains(line, " starts on ") && p.history(p.task).crashes >= mostCrashes {
		p.after++
	}
}

// advance is a step of the world that passes no moment of the script, and disturbs nothing.
func (p *forced) advance() {
	before := p.now
	p.now += time.Duration(5+p.rng.IntN(100)) * time.Millisecond
	for _, at := range p.stops {
		if at > before {
			p.now = min(p.now, at)
		}
	}
	for _, m := range takeDue(&p.messages, p.now) {
		m.do()
	}
	p.carryLog()
	for _, v := range p.vms {
		p.tendVM(v)
	}
	p.elect()
	for _, l := range p.leaders {
		p.tendLeader(l)
		p.act(l)
	}
	if record := string(p.store.records[p.task.Job]); record != p.last {
		p.last = record
		p.tracef("%s is written: %s", p.task, record)
	}
}

// recorded reports whether the store has a run of the task with its VM.
func (p *forced) recorded(number int64) bool {
	var record Progress
	if value := p.store.records[p.task.Job]; value == nil || json.Unmarshal(value, &record) != nil {
		return false
	}
	for _, o := range record.Open {
		for _, st := range o.Steps {
			for _, c := range st.Crashes {
				if c.Run == number && c.VM != "" {
					return true
				}
			}
		}
	}
	return record.State.Final()
}

// lead lets the leader start the task, and ends its tenure so long after. From cut on, if it is
// not 0, it does not reach the store.
func (p *forced) lead(k int, f *forcing, d time.Duration, cut Time) {
	l, h := p.store.holder, p.history(p.task)
	known := len(h.starts)
	p.stops = []Time{cut}
	for until := p.now + 20*time.Second; p.now < until && p.store.holder == l && !l.ended && !p.final(p.store.jobs[0]); p.advance() {
		if cut > 0 && p.now >= cut {
			l.storelessUntil = forever
		}
		if len(h.starts) > known {
			p.began[k] = p.now
			break
		}
	}
	if p.began[k] == 0 {
		// One that is cut off may not start the task at all, and loses its key.
		return
	}
	number := h.starts[known].run
	p.stops = []Time{p.began[k] + crashesAfter, p.began[k] + d}
	if f.beside != nil {
		p.world.after(crashesAfter, func() { f.beside(p.world) })
	}
	for p.now < p.began[k]+d {
		p.advance()
	}
	p.electAt = p.now
	p.tracef("the tenure of leader %d ends", l.fence)
	f.end(p.world, l)
	if k == forcedLeaders-1 {
		// lastLeader waits for the next one.
		return
	}
	for p.store.holder == l {
		p.advance()
	}
	p.read[k] = p.recorded(number)
	p.tracef("leader %d reads: %s", p.store.holder.fence, p.last)
}

// playForced plays a script up to the calm in which a last leader leads.
func playForced(seed uint64, f *forcing, d time.Duration) *forced {
	var cuts [forcedLeaders]Time
	for k := range forcedLeaders {
		if !f.storeless {
			break
		}
		// Plays are alike up to the cut: one without it tells when the start comes.
		p := newForced(seed, f.faults)
		for i := range k + 1 {
			p.lead(i, f, d, cuts[i])
		}
		cuts[k] = max(1, p.began[k]-cutBefore)
	}
	p := newForced(seed, f.faults)
	for k := range forcedLeaders {
		p.lead(k, f, d, cuts[k])
	}
	p.lastLeader()
	return p
}

// lastLeader lets another leader lead in calm. It is elected once the explorer judges each start.
func (p *forced) lastLeader() {
	p.calmAt, p.electAt, p.stops = p.now, p.now+stableFor, nil
	for _, l := range p.leaders {
		l.storelessUntil = 0
	}
	for p.now < p.calmAt+stableFor+settleFor && p.broken == "" {
		p.advance()
		if p.now > p.calmAt+stableFor && p.unfinished() == "" {
			return
		}
	}
	if what := p.unfinished(); what != "" {
		p.fail(p.brokenTask, "after %v without faults: %s", settleFor, what)
	}
}

// force plays a script with each of the times, and judges as the explorer does. Starts
// before the last leader count as well.
func force(t *testing.T, f forcing, ends []time.Duration) {
	for _, d := range ends {
		d *= time.Millisecond
		t.Run(d.String(), func(t *testing.T) {
			forceAt(t, &f, d)
		})
	}
}

func forceAt(t *testing.T, f *forcing, d time.Duration) {
	var began, read [forcedLeaders]int
	var broken *forced
	broke, judged, after := 0, 0, []int{}
	for seed := range uint64(forcedSeeds) {
		p := playForced(seed, f, d)
		for k := range forcedLeaders {
			if p.began[k] > 0 {
				began[k]++
			}
			if p.read[k] {
				read[k]++
			}
		}
		after = append(after, p.after)
		if p.broken != "" {
			judged++
		}
		if p.broken != "" || p.after >= mostAfter {
			broke++
			if broken == nil {
				broken = p
			}
		}
	}
	t.Logf("%d of %d break, %d by the explorer's judgement; starts after the third end %v; leaders that started it %v, whose next leader read that run %v",
		broke, forcedSeeds, judged, after, began, read[:forcedLeaders-1])
	if broken != nil {
		t.Errorf("started a third time after its third VM: %s\n%s", broken.broken, strings.Join(broken.lines, "\n"))
	}
}

// forcedDeath ends a leader's process; its next life takes the key over at once.
func forcedDeath(w *world, l *modelLeader) {
	l.ended, l.died, l.restartAt = true, true, w.now
	w.store.keyUntil = w.now
}

// Guards against a task that is started on and on, since each leader dies as the VM ends.
func TestForcedThirdStartWhereLeadersDie(t *testing.T) {
	force(t, forcing{end: forcedDeath}, forcedEnds)
}

// Guards against the same where leaders are frozen, and wake when another one leads.
func TestForcedThirdStartWhereLeadersFreeze(t *testing.T) {
	force(t, forcing{end: freeze}, append(atOnce, forcedEnds...))
}

func freeze(w *world, l *modelLeader) { l.frozenUntil = w.now + 5*time.Second }

// Guards against the same where two VMs end with the task's by themselves.
func TestForcedThirdStartWhereInnocentVMsEndToo(t *testing.T) {
	force(t, forcing{end: forcedDeath, beside: endTwo}, forcedEnds)
}

func endTwo(w *world) {
	for _, v := range w.living()[:min(2, len(w.living()))] {
		w.die(v, false)
	}
}

// Guards against the same where VMs start again under their IDs.
func TestForcedThirdStartWhereVMsStartAgain(t *testing.T) {
	force(t, forcing{faults: faults{restarts: true}, end: forcedDeath}, forcedEnds)
}

func depose(w *world, _ *modelLeader) { w.store.keyUntil = w.now }

// Guards against the same where leaders that can't write are deposed, and are asked.
func TestForcedThirdStartWhereLeadersThatAreCutOffAreAsked(t *testing.T) {
	force(t, forcing{faults: faults{asks: true}, storeless: true, end: depose}, append(atOnce, forcedEnds...))
}

// Guards against the same where leaders that can't write are deposed, and nobody can ask them.
func TestForcedThirdStartWhereLeadersAreCutOff(t *testing.T) {
	force(t, forcing{storeless: true, end: depose}, append(atOnce, forcedEnds...))
}

// Guards against the same where leaders end before what they start can be written.
func TestForcedThirdStartWhereLeadersEndAtOnce(t *testing.T) {
	for name, f := range map[string]forcing{
		"dead":            {end: forcedDeath},
		"deposed":         {end: depose},
		"innocents":       {end: forcedDeath, beside: endTwo},
		"VMs start again": {faults: faults{restarts: true}, end: forcedDeath},
	} {
		t.Run(name, func(t *testing.T) { force(t, f, atOnce) })
	}
}
