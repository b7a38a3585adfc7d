package scheduler

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const (
	// forcedLeaders is the number of consecutive leaders; the tenure of each ends at a given
	// delay after a VM starts its first run of the task. forcedSeeds is the number of seeds per
	// delay, which vary the message delays.
	forcedLeaders = 3
	forcedSeeds   = 20
	// storeCutLeadTime is how long before that start a leader loses the store.
	storeCutLeadTime = 100 * time.Millisecond
	farFuture        = Time(1 << 62)
)

// tenureEndDelays and immediateEndDelays are delays from a start to the end of the leader's tenure,
// in milliseconds. The immediate ones leave no time for a write.
var (
	tenureEndDelays    = []time.Duration{50, 100, 200, 300, 400}
	immediateEndDelays = []time.Duration{0, 10}
)

// forcedScenario describes how tenures end and which other events occur.
type forcedScenario struct {
	faults    faults
	endTenure func(w *world, l *modelLeader)
	// onCrash runs as the task crashes its VM; it may be nil.
	onCrash func(w *world)
	// storeless cuts each leader off from the store before the start.
	storeless bool
}

// forcedRun simulates a task that crashes its VMs while tenures end at scripted times.
type forcedRun struct {
	*world
	task batch.TaskID
	// breakpoints are times at which a simulation step has to end.
	breakpoints []Time
	// startedAt is when each leader's first run of the task started, or 0. recordSeen is whether
	// the next leader found that run in the job's record, with its VM.
	startedAt  [forcedLeaders]Time
	recordSeen [forcedLeaders]bool
	// lateStarts counts the starts after the third crash.
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

// addTrace appends a trace line and counts late starts.
func (p *forcedRun) addTrace(line string) {
	p.traceLines = append(p.traceLines, line)
	if strings.Contains(line, p.task.String()+" run ") && strings.Contains(line, " starts on ") && p.history(p.task).crashes >= crashLimit {
		p.lateStarts++
	}
}

// advance simulates a step up to the next breakpoint at most, without random faults.
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
		p.tracef("%s: record written: %s", p.task, record)
	}
}

// isRunRecorded reports whether the job's record has the run with its VM, or a final state.
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

// runTenure waits until leader k starts the task, and ends its tenure at the given delay after the start.
// If cut is not 0, the leader does not reach the store from then on.
func (p *forcedRun) runTenure(k int, f *forcedScenario, delay time.Duration, cut Time) {
	l, h := p.store.holder, p.history(p.task)
	earlierStarts := len(h.starts)
	p.breakpoints = []Time{cut}
	for until := p.now + 20*time.Second; p.now < until && p.store.holder == l && !l.ended && !p.isFinal(p.store.jobs[0]); p.advance() {
		if cut > 0 && p.now >= cut {
			l.storelessUntil = farFuture
		}
		if len(h.starts) > earlierStarts {
			p.startedAt[k] = p.now
			break
		}
	}
	if p.startedAt[k] == 0 {
		// A leader without the store may not start the task at all and then loses its key.
		return
	}
	number := h.starts[earlierStarts].run
	p.breakpoints = []Time{p.startedAt[k] + taskCrashDelay, p.startedAt[k] + delay}
	if f.onCrash != nil {
		p.after(taskCrashDelay, func() { f.onCrash(p.world) })
	}
	for p.now < p.startedAt[k]+delay {
		p.advance()
	}
	p.electAt = p.now
	p.tracef("tenure of leader %d ends", l.fence)
	f.endTenure(p.world, l)
	if k == forcedLeaders-1 {
		// runLastTenure elects the next leader.
		return
	}
	for p.store.holder == l {
		p.advance()
	}
	p.recordSeen[k] = p.isRunRecorded(number)
	p.tracef("leader %d reads the record: %s", p.store.holder.fence, p.lastRecord)
}

// runForced simulates a scenario, followed by a fault-free tenure of a last leader.
func runForced(seed uint64, f *forcedScenario, delay time.Duration) *forcedRun {
	var cuts [forcedLeaders]Time
	for k := range forcedLeaders {
		if !f.storeless {
			break
		}
		// Simulations are identical up to the cut: one without this cut yields the start time.
		p := newForced(seed, f.faults)
		for i := range k + 1 {
			p.runTenure(i, f, delay, cuts[i])
		}
		cuts[k] = max(1, p.startedAt[k]-storeCutLeadTime)
	}
	p := newForced(seed, f.faults)
	for k := range forcedLeaders {
		p.runTenure(k, f, delay, cuts[k])
	}
	p.runLastTenure()
	return p
}

// runLastTenure elects another leader without faults, once the checks count each start.
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
	if reason := p.unfinished(); reason != "" {
		p.fail(p.violationTask, "after %v without faults: %s", settleTimeout, reason)
	}
}

// testScenario runs a scenario with each delay and applies the explorer's checks. Unlike these, it
// also limits the starts before the last leader.
func testScenario(t *testing.T, f forcedScenario, delays []time.Duration) {
	for _, delay := range delays {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			testScenarioAt(t, &f, delay)
		})
	}
}

func testScenarioAt(t *testing.T, f *forcedScenario, delay time.Duration) {
	var startedBy, recordSeenBy [forcedLeaders]int
	var firstFailed *forcedRun
	failures, violations, lateStarts := 0, 0, []int{}
	for seed := range uint64(forcedSeeds) {
		p := runForced(seed, f, delay)
		for k := range forcedLeaders {
			if p.startedAt[k] > 0 {
				startedBy[k]++
			}
			if p.recordSeen[k] {
				recordSeenBy[k]++
			}
		}
		lateStarts = append(lateStarts, p.lateStarts)
		if p.violation != "" {
			violations++
		}
		if p.violation != "" || p.lateStarts >= excessStartLimit {
			failures++
			if firstFailed == nil {
				firstFailed = p
			}
		}
	}
	t.Logf("%d of %d seeds fail, %d by the explorer's checks; starts after the third crash %v; seeds in which each leader started the task %v, and in which the next leader read that run %v",
		failures, forcedSeeds, violations, lateStarts, startedBy, recordSeenBy[:forcedLeaders-1])
	if firstFailed != nil {
		t.Errorf("task started again after it crashed its third VM: %s\n%s", firstFailed.violation, strings.Join(firstFailed.traceLines, "\n"))
	}
}

// killLeader ends a leader's process, which restarts and frees the key at once.
func killLeader(w *world, l *modelLeader) {
	l.ended, l.died, l.restartAt = true, true, w.now
	w.store.keyUntil = w.now
}

// Guards against a crashing task that is started without limit, as each leader dies just when the
// task's VM ends.
func TestForcedThirdStartWhereLeadersDie(t *testing.T) {
	testScenario(t, forcedScenario{endTenure: killLeader}, tenureEndDelays)
}

// Guards against the same failure when leaders freeze and resume after another one was elected.
func TestForcedThirdStartWhereLeadersFreeze(t *testing.T) {
	testScenario(t, forcedScenario{endTenure: freezeLeader}, append(immediateEndDelays, tenureEndDelays...))
}

func freezeLeader(w *world, l *modelLeader) { l.frozenUntil = w.now + 5*time.Second }

// Guards against the same failure when two unrelated VMs end together with the task's VM.
func TestForcedThirdStartWithUnrelatedVMEnds(t *testing.T) {
	testScenario(t, forcedScenario{endTenure: killLeader, onCrash: killTwoVMs}, tenureEndDelays)
}

func killTwoVMs(w *world) {
	for _, v := range w.living()[:min(2, len(w.living()))] {
		w.killVM(v, false)
	}
}

// Guards against the same failure when VMs restart under their old IDs.
func TestForcedThirdStartWithNewIncarnations(t *testing.T) {
	testScenario(t, forcedScenario{faults: faults{restarts: true}, endTenure: killLeader}, tenureEndDelays)
}

func deposeLeader(w *world, _ *modelLeader) { w.store.keyUntil = w.now }

// Guards against the same failure when leaders without the store are deposed and their successors
// query them.
func TestForcedThirdStartWhereCutOffLeadersAreQueried(t *testing.T) {
	testScenario(t, forcedScenario{faults: faults{predecessorQueries: true}, storeless: true, endTenure: deposeLeader}, append(immediateEndDelays, tenureEndDelays...))
}

// Guards against the same failure when leaders without the store are deposed and can't be queried.
func TestForcedThirdStartWhereLeadersAreCutOff(t *testing.T) {
	testScenario(t, forcedScenario{storeless: true, endTenure: deposeLeader}, append(immediateEndDelays, tenureEndDelays...))
}

// Guards against the same failure when tenures end before the start can be written.
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
