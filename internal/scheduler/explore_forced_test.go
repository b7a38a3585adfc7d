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
	// storeCutLeadTime is how long before that start a leader is cut off from the store.
	storeCutLeadTime = 100 * time.Millisecond
	farFuture        = Time(1 << 62)
)

// tenureEndDelays are how long after the start a leader's end comes, in milliseconds: immediateEndDelays are those
// that leave no time for a write.
var (
	tenureEndDelays    = []time.Duration{50, 100, 200, 300, 400}
	immediateEndDelays = []time.Duration{0, 10}
)

// forcedScenario is how leaders end, and what happens beside.
type forcedScenario struct {
	faults faults
	// endTenure ends a leader's tenure.
	endTenure func(w *world, l *modelLeader)
	// onCrash happens as the VM ends.
	onCrash func(w *world)
	// storeless: each leader is cut off from the store before the start.
	storeless bool
}

// forcedRun is a play in which a task ends its VMs and leaders end at moments of the script.
type forcedRun struct {
	*world
	task batch.TaskID
	// breakpoints are moments that no step passes by.
	breakpoints []Time
	// startedAt is when each leader's first run of the task began, 0 where none did; read is
	// whether the next leader found that run in the record, with its VM.
	startedAt  [forcedLeaders]Time
	recordSeen [forcedLeaders]bool
	// lateStarts counts the starts since the third VM's end.
	lateStarts int
	traceLines []string
	lastRecord string
}

func newForced(seed uint64, f faults) *forcedRun {
	f.crashingTasks = true
	p := &forcedRun{task: batch.TaskID{Job: "j0"}}
	p.world = newWorld(seed, f, mutations{}, p.addTrace)
	p.faultFree, p.faultFreeSince = true, farFuture
	j := &modelJob{spec: &batch.Job{ID: p.task.Job, Steps: []batch.Step{tasks(1, taskSize)}}, queue: "many", attempts: unlimitedAttempts, acceptedAt: p.now, crashes: true}
	p.store.jobs, p.jobs[j.spec.ID] = append(p.store.jobs, j), j
	p.publish(jobEvent{at: p.now, job: j})
	return p
}

// addTrace keeps the trace, and counts starts.
func (p *forcedRun) addTrace(line string) {
	p.traceLines = append(p.traceLines, line)
	if strings.Contains(line, p.task.String()+" run ") && strings.Contains(line, " starts on ") && p.history(p.task).crashes >= crashLimit {
		p.lateStarts++
	}
}

// advance is a step of the world that passes no moment of the script, and disturbs nothing.
func (p *forcedRun) advance() {
	before := p.now
	p.now += time.Duration(5+p.rng.IntN(100)) * time.Millisecond
	for _, at := range p.breakpoints {
		if at > before {
			p.now = min(p.now, at)
		}
	}
	for _, m := range popDue(&p.messages, p.now) {
		m.do()
	}
	p.deliverLogMessages()
	for _, v := range p.vms {
		p.stepVM(v)
	}
	p.elect()
	for _, l := range p.leaders {
		p.stepLeader(l)
		p.runLeader(l)
	}
	if record := string(p.store.records[p.task.Job]); record != p.lastRecord {
		p.lastRecord = record
		p.tracef("%s is written: %s", p.task, record)
	}
}

// isRunRecorded reports whether the store has a run of the task with its VM.
func (p *forcedRun) isRunRecorded(number int64) bool {
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

// runTenure lets the leader start the task, and ends its tenure so long after. From cut on, if it is
// not 0, it does not reach the store.
func (p *forcedRun) runTenure(k int, f *forcedScenario, d time.Duration, cut Time) {
	l, h := p.store.holder, p.history(p.task)
	known := len(h.starts)
	p.breakpoints = []Time{cut}
	for until := p.now + 20*time.Second; p.now < until && p.store.holder == l && !l.ended && !p.isFinal(p.store.jobs[0]); p.advance() {
		if cut > 0 && p.now >= cut {
			l.storelessUntil = farFuture
		}
		if len(h.starts) > known {
			p.startedAt[k] = p.now
			break
		}
	}
	if p.startedAt[k] == 0 {
		// One that is cut off may not start the task at all, and loses its key.
		return
	}
	number := h.starts[known].run
	p.breakpoints = []Time{p.startedAt[k] + taskCrashDelay, p.startedAt[k] + d}
	if f.onCrash != nil {
		p.world.after(taskCrashDelay, func() { f.onCrash(p.world) })
	}
	for p.now < p.startedAt[k]+d {
		p.advance()
	}
	p.electAt = p.now
	p.tracef("the tenure of leader %d ends", l.fence)
	f.endTenure(p.world, l)
	if k == forcedLeaders-1 {
		// runLastTenure waits for the next one.
		return
	}
	for p.store.holder == l {
		p.advance()
	}
	p.recordSeen[k] = p.isRunRecorded(number)
	p.tracef("leader %d reads: %s", p.store.holder.fence, p.lastRecord)
}

// runForced plays a script up to the calm in which a last leader leads.
func runForced(seed uint64, f *forcedScenario, d time.Duration) *forcedRun {
	var cuts [forcedLeaders]Time
	for k := range forcedLeaders {
		if !f.storeless {
			break
		}
		// Plays are alike up to the cut: one without it tells when the start comes.
		p := newForced(seed, f.faults)
		for i := range k + 1 {
			p.runTenure(i, f, d, cuts[i])
		}
		cuts[k] = max(1, p.startedAt[k]-storeCutLeadTime)
	}
	p := newForced(seed, f.faults)
	for k := range forcedLeaders {
		p.runTenure(k, f, d, cuts[k])
	}
	p.runLastTenure()
	return p
}

// runLastTenure lets another leader lead in calm. It is elected once the explorer judges each start.
func (p *forcedRun) runLastTenure() {
	p.faultFreeSince, p.electAt, p.breakpoints = p.now, p.now+stableDuration, nil
	for _, l := range p.leaders {
		l.storelessUntil = 0
	}
	for p.now < p.faultFreeSince+stableDuration+settleTimeout && p.violation == "" {
		p.advance()
		if p.now > p.faultFreeSince+stableDuration && p.unfinished() == "" {
			return
		}
	}
	if what := p.unfinished(); what != "" {
		p.fail(p.violationTask, "after %v without faults: %s", settleTimeout, what)
	}
}

// testScenario plays a script with each of the times, and judges as the explorer does. Starts
// before the last leader count as well.
func testScenario(t *testing.T, f forcedScenario, ends []time.Duration) {
	for _, d := range ends {
		d *= time.Millisecond
		t.Run(d.String(), func(t *testing.T) {
			testScenarioAt(t, &f, d)
		})
	}
}

func testScenarioAt(t *testing.T, f *forcedScenario, d time.Duration) {
	var began, read [forcedLeaders]int
	var broken *forcedRun
	broke, judged, after := 0, 0, []int{}
	for seed := range uint64(forcedSeeds) {
		p := runForced(seed, f, d)
		for k := range forcedLeaders {
			if p.startedAt[k] > 0 {
				began[k]++
			}
			if p.recordSeen[k] {
				read[k]++
			}
		}
		after = append(after, p.lateStarts)
		if p.violation != "" {
			judged++
		}
		if p.violation != "" || p.lateStarts >= excessStartLimit {
			broke++
			if broken == nil {
				broken = p
			}
		}
	}
	t.Logf("%d of %d break, %d by the explorer's judgement; starts after the third end %v; leaders that started it %v, whose next leader read that run %v",
		broke, forcedSeeds, judged, after, began, read[:forcedLeaders-1])
	if broken != nil {
		t.Errorf("started a third time after its third VM: %s\n%s", broken.violation, strings.Join(broken.traceLines, "\n"))
	}
}

// killLeader ends a leader's process; its next life takes the key over at once.
func killLeader(w *world, l *modelLeader) {
	l.ended, l.died, l.restartAt = true, true, w.now
	w.store.keyUntil = w.now
}

// Guards against a task that is started on and on, since each leader dies as the VM ends.
func TestForcedThirdStartWhereLeadersDie(t *testing.T) {
	testScenario(t, forcedScenario{endTenure: killLeader}, tenureEndDelays)
}

// Guards against the same where leaders are frozen, and wake when another one leads.
func TestForcedThirdStartWhereLeadersFreeze(t *testing.T) {
	testScenario(t, forcedScenario{endTenure: freezeLeader}, append(immediateEndDelays, tenureEndDelays...))
}

func freezeLeader(w *world, l *modelLeader) { l.frozenUntil = w.now + 5*time.Second }

// Guards against the same where two VMs end with the task's by themselves.
func TestForcedThirdStartWithUnrelatedVMEnds(t *testing.T) {
	testScenario(t, forcedScenario{endTenure: killLeader, onCrash: killTwoVMs}, tenureEndDelays)
}

func killTwoVMs(w *world) {
	for _, v := range w.living()[:min(2, len(w.living()))] {
		w.killVM(v, false)
	}
}

// Guards against the same where VMs start again under their IDs.
func TestForcedThirdStartWithNewIncarnations(t *testing.T) {
	testScenario(t, forcedScenario{faults: faults{restarts: true}, endTenure: killLeader}, tenureEndDelays)
}

func deposeLeader(w *world, _ *modelLeader) { w.store.keyUntil = w.now }

// Guards against the same where leaders that can't write are deposed, and are asked.
func TestForcedThirdStartWhereCutOffLeadersAreQueried(t *testing.T) {
	testScenario(t, forcedScenario{faults: faults{predecessorQueries: true}, storeless: true, endTenure: deposeLeader}, append(immediateEndDelays, tenureEndDelays...))
}

// Guards against the same where leaders that can't write are deposed, and nobody can ask them.
func TestForcedThirdStartWhereLeadersAreCutOff(t *testing.T) {
	testScenario(t, forcedScenario{storeless: true, endTenure: deposeLeader}, append(immediateEndDelays, tenureEndDelays...))
}

// Guards against the same where leaders end before what they start can be written.
func TestForcedThirdStartWhereLeadersEndAtOnce(t *testing.T) {
	for name, f := range map[string]forcedScenario{
		"dead":            {endTenure: killLeader},
		"deposed":         {endTenure: deposeLeader},
		"innocents":       {endTenure: killLeader, onCrash: killTwoVMs},
		"VMs start again": {faults: faults{restarts: true}, endTenure: killLeader},
	} {
		t.Run(name, func(t *testing.T) { testScenario(t, f, immediateEndDelays) })
	}
}
