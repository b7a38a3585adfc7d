package scheduler

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// The times of a VM's end as a leader sees it, and of the fleet's steps.
const (
	fleetStep = 20 * time.Millisecond
	// vmGoneDelay is how long after its end the machine service says that a VM is gone,
	// replacementDelay when its next life is listed.
	vmGoneDelay      = 2100 * time.Millisecond
	replacementDelay = 3 * time.Second
	holdInterval     = 600 * time.Millisecond
	// crashLimit of a task may be followed by fewer than excessStartLimit further starts.
	crashLimit, excessStartLimit = 3, 3
	// firstPolledSeed is the first seed of polled fleets.
	firstPolledSeed = 100_000
)

// fleetRun is a run on a VM of the fleet.
type fleetRun struct {
	number       int64
	began, until Time
}

// progress is the share of its work that is done, in percent.
func (r *fleetRun) progress(now Time) int {
	if r.until == 0 {
		return fullPace
	}
	return int(fullPace * (now - r.began) / max(r.until-r.began, 1))
}

// fleetVM is one life of a VM.
type fleetVM struct {
	inst       batch.Instance
	runs       map[batch.TaskID]fleetRun
	ended      []batch.RunEnd
	seq        int64
	nextReport Time
	crashAt    Time
	// bornAt is when it began, where VMs start again under their IDs.
	bornAt Time
	// crashingTask is the task that ends it.
	crashingTask batch.TaskID
}

// crashFleet plays a leader's scheduler against VMs of which some are ended by the tasks
// that they start.
type crashFleet struct {
	*fixture
	rng          *rand.Rand
	seed         uint64
	living       map[string]*fleetVM
	messages     []message
	incarnations int
	// harmlessJobs counts the harmless jobs.
	harmlessJobs  int
	crashingTasks map[batch.TaskID]bool
	// crashDelay is how long after its start a crashing task ends its VM.
	crashDelay time.Duration
	// runDurations is how long runs of a job take; a second where it is not given.
	runDurations map[string]time.Duration
	// pollsMachines: the leader learns which VMs live from the machine service, and the entries
	// of those that have ended are listed for some seconds more.
	pollsMachines bool
	endedVMs      map[string]Time
	nextPoll      Time
	// noResets: VMs end without a sign, and holds time out.
	noResets bool
	// restarts: VMs start again under their IDs. judge looks at what they see.
	restarts bool
	checker  *restartChecker
	// records is what the store has, by job; lost says whether a write's answer is lost,
	// down whether the store can't be written.
	jobs         []*batch.Job
	records      map[string][]byte
	isAnswerLost func() bool
	storeDown    bool
	// startTimes and crashed are the moments of each task's starts and of the crashes that
	// it brought about.
	startTimes, crashTimes map[batch.TaskID][]Time
	finalJobs              map[string]bool
}

func newCrashFleet(t *testing.T, vms int, seed uint64) *crashFleet {
	c := &crashFleet{
		fixture: newFixture(t, 0), rng: rand.New(rand.NewPCG(seed, 3)), seed: seed, pollsMachines: seed >= firstPolledSeed, endedVMs: map[string]Time{}, crashDelay: 10 * time.Millisecond, living: map[string]*fleetVM{}, crashingTasks: map[batch.TaskID]bool{},
		runDurations: map[string]time.Duration{}, records: map[string][]byte{}, startTimes: map[batch.TaskID][]Time{}, crashTimes: map[batch.TaskID][]Time{}, finalJobs: map[string]bool{},
	}
	c.s = c.newLeader()
	for i := range vms {
		c.addVM(i)
	}
	return c
}

func (c *crashFleet) newLeader() *Scheduler {
	s := New(Settings{MaxLease: 10 * time.Second}, c.fence, func(d Decision) { c.log = append(c.log, d) })
	s.SetConfig(&batch.Config{Version: 1, Pools: map[string]batch.Pool{"pool": {Name: "pool", GuardsCapacity: true}}, Queues: []batch.Queue{
		{Name: testQueue, Pool: "pool", Attempts: 3, Stretch: 2, Slack: time.Second},
	}})
	return s
}

// addVM begins a life at a place; four places share a rack.
func (c *crashFleet) addVM(place int) {
	inst := instance(place)
	c.incarnations++
	inst.ID = fmt.Sprintf("vm%02d-%03d", place, c.incarnations)
	inst.Labels = []string{"a", fmt.Sprintf("r%d", place/4)}
	c.living[inst.ID] = &fleetVM{inst: inst, runs: map[batch.TaskID]fleetRun{}, nextReport: c.now + time.Duration(c.rng.IntN(int(holdInterval)))}
	c.list = append(c.list, inst)
	c.s.SetInstances(c.now, c.list)
}

// livingIDs are the living VMs in a fixed order.
func (c *crashFleet) livingIDs() []string {
	var ids []string
	for id := range c.living {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// killVM ends a VM; the leader learns it as it would.
func (c *crashFleet) killVM(id string) {
	v := c.living[id]
	delete(c.living, id)
	var place int
	_, err := fmt.Sscanf(id, "vm%02d-", &place)
	require.NoError(c.t, err)
	c.endBrokenGangs(v)
	if c.restarts {
		c.restart(v)
		return
	}
	c.after(replacementDelay, func() { c.addVM(place) })
	c.failHolds(id)
	if c.pollsMachines {
		c.endedVMs[id] = c.now
		c.after(entryTTL, func() { c.unlist(id) })
		return
	}
	c.after(vmGoneDelay, func() {
		c.unlist(id)
		c.s.RemoveInstance(c.now, id, "machine ended it")
		c.s.SetInstances(c.now, c.list)
	})
}

func (c *crashFleet) unlist(id string) {
	c.list = slices.DeleteFunc(c.list, func(inst batch.Instance) bool { return inst.ID == id })
	delete(c.endedVMs, id)
}

// poll tells the leader what it looks at twice a second: the list of VMs, and which of
// them live.
func (c *crashFleet) poll() {
	if !c.pollsMachines || c.now < c.nextPoll {
		return
	}
	c.nextPoll = c.now + listInterval
	c.s.SetInstances(c.now, c.list)
	for id := range c.endedVMs {
		c.s.HoldFailed(c.now, id, true)
	}
	if !c.s.NeedsLivenessCheck(c.now) {
		return
	}
	var lives []batch.Machine
	for _, id := range c.livingIDs() {
		lives = append(lives, batch.Machine{Name: id, State: batch.MachineUp, Instance: id})
	}
	c.s.SetLiveInstances(c.now, c.now, lives)
}

// failHolds tells the leader of the holds that a VM which has ended leaves unanswered:
// at once, where its connections are reset, or each when it has waited.
func (c *crashFleet) failHolds(id string) {
	first, pause := time.Duration(0), 100*time.Millisecond
	if c.noResets {
		first, pause = 1300*time.Millisecond, 800*time.Millisecond
	}
	for at := first; at < vmGoneDelay; at += pause {
		c.after(at, func() { c.s.HoldFailed(c.now, id, !c.noResets) })
	}
}

// endBrokenGangs ends the runs of gangs elsewhere that had a member on a VM that has ended.
func (c *crashFleet) endBrokenGangs(v *fleetVM) {
	for _, task := range v.runningTasks() {
		if !c.isGang(task) {
			continue
		}
		for _, id := range c.livingIDs() {
			other := c.living[id]
			for _, member := range other.runningTasks() {
				o := other.runs[member]
				if member.Job == task.Job && o.number == v.runs[task].number {
					other.endRun(member, o.number, batch.EndBroken)
				}
			}
		}
	}
}

func (c *crashFleet) isGang(task batch.TaskID) bool {
	for _, job := range c.jobs {
		if job.ID == task.Job {
			return job.Steps[task.Step].Gang
		}
	}
	return false
}

// killRack ends all VMs of a rack at once.
func (c *crashFleet) killRack(rack string) {
	for _, id := range c.livingIDs() {
		if v := c.living[id]; v.inst.Rack() == rack {
			c.killVM(id)
		}
	}
}

// killAll ends all VMs at once.
func (c *crashFleet) killAll() {
	for _, id := range c.livingIDs() {
		c.killVM(id)
	}
}

func (c *crashFleet) after(d time.Duration, do func()) {
	c.messages = append(c.messages, message{c.now + d, do})
}

func (c *crashFleet) submitJob(job *batch.Job) {
	c.jobs = append(c.jobs, job)
	c.s.Submit(c.now, Submission{Job: job, Queue: testQueue, Pool: "pool"})
}

// runFor lets time pass.
func (c *crashFleet) runFor(d time.Duration) {
	for until := c.now + d; c.now < until; {
		c.advance(fleetStep)
		c.step()
	}
}

func (c *crashFleet) step() {
	due := c.messages
	c.messages = nil
	for _, m := range due {
		if m.at <= c.now {
			m.do()
		} else {
			c.messages = append(c.messages, m)
		}
	}
	c.poll()
	for _, id := range c.livingIDs() {
		c.stepVM(id, c.living[id])
	}
	if !c.storeDown {
		c.s.ConfirmLeadership(c.now)
	}
	c.s.Tick(c.now)
	for _, o := range c.plan() {
		c.dispatch(o)
	}
	c.flush()
}

func (c *crashFleet) stepVM(id string, v *fleetVM) {
	if v.crashAt > 0 && c.now >= v.crashAt {
		c.crashTimes[v.crashingTask] = append(c.crashTimes[v.crashingTask], c.now)
		c.killVM(id)
		return
	}
	if v.hasDueRun(c.now) {
		for _, task := range v.runningTasks() {
			if r := v.runs[task]; r.until > 0 && c.now >= r.until {
				v.endRun(task, r.number, c.checker.endOf(task))
			}
		}
	}
	if c.now < v.nextReport && len(v.ended) == 0 {
		return
	}
	v.nextReport = c.now + holdInterval
	order, ok := c.s.Hold(c.now, id, holdInterval)
	if !ok && c.restarts {
		// It was given up, and is not listed anew yet.
		return
	}
	require.True(c.t, ok, "unknown VM %s", id)
	for _, e := range v.ended {
		if e.Seq <= order.Acked {
			c.checker.acknowledged(e)
		}
	}
	v.ended = slices.DeleteFunc(v.ended, func(e batch.RunEnd) bool { return e.Seq <= order.Acked })
	rep := batch.Report{Born: v.inst.Born, Clock: v.clock(c.now), Ended: v.ended}
	for _, task := range v.runningTasks() {
		r := v.runs[task]
		rep.Running = append(rep.Running, batch.RunStatus{Task: task, Run: r.number, Progress: r.progress(c.now)})
	}
	c.s.HandleReport(c.now, c.now, id, rep)
}

func (v *fleetVM) clock(now Time) time.Duration {
	if v.bornAt > 0 {
		return now - v.bornAt + time.Millisecond
	}
	return now + time.Hour
}

// runningTasks are those that run on the VM, in a fixed order.
func (v *fleetVM) runningTasks() []batch.TaskID {
	var ids []batch.TaskID
	for id := range v.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b batch.TaskID) int {
		return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return ids
}

// hasDueRun reports whether a run is to end.
func (v *fleetVM) hasDueRun(now Time) bool {
	for _, r := range v.runs {
		if r.until > 0 && now >= r.until {
			return true
		}
	}
	return false
}

func (v *fleetVM) endRun(task batch.TaskID, number int64, kind batch.EndKind) {
	delete(v.runs, task)
	v.seq++
	v.ended = append(v.ended, batch.RunEnd{Seq: v.seq, Task: task, Run: number, Kind: kind})
}

func (c *crashFleet) dispatch(o Order) {
	v := c.living[o.Instance.ID]
	switch o.Kind {
	case OrderStart:
		if !c.s.PrepareStart(c.now, o) {
			return
		}
		if v == nil {
			c.s.Started(c.now, c.now, o, 0, batch.RefusedUnreached, false)
			return
		}
		c.startTimes[o.Task] = append(c.startTimes[o.Task], c.now)
		c.checker.started(c, o.Task)
		lasts, given := c.runDurations[o.Task.Job]
		if !given {
			lasts = time.Second
		}
		until := c.now + lasts
		if lasts == 0 {
			until = 0
		}
		v.runs[o.Task] = fleetRun{number: o.Run, began: c.now, until: until}
		if c.crashingTasks[o.Task] && v.crashAt == 0 {
			v.crashAt, v.crashingTask = c.now+c.crashDelay, o.Task
		}
		c.s.Started(c.now, c.now, o, v.clock(c.now), "", false)
	case OrderStop:
		if v == nil {
			return
		}
		if r, ok := v.runs[o.Task]; ok && r.number <= o.Run {
			v.endRun(o.Task, r.number, batch.EndStopped)
		}
		c.s.Stopped(c.now, o)
	case OrderPace, OrderAdvise, OrderMaintain:
	}
}

// flush writes what is pending; an answer that is lost leaves the write done.
func (c *crashFleet) flush() {
	if c.s.NeedsToken() && !c.storeDown {
		c.fence++
		c.s.RaiseToken(c.fence)
	}
	f := c.s.PendingWrites()
	if f == nil || c.storeDown {
		return
	}
	for i := range f.Records {
		value, err := json.Marshal(f.Records[i].Progress)
		require.NoError(c.t, err)
		c.records[f.Records[i].Job] = value
		c.finalJobs[f.Records[i].Job] = f.Records[i].Progress.State.Final()
	}
	if c.isAnswerLost != nil && c.isAnswerLost() {
		return
	}
	for i := range f.Records {
		c.s.RecordWritten(f.Records[i], 1)
	}
	c.s.Flushed(f)
}

// takeOver lets another leader begin, from what the store has. It has to hear the VMs
// that its predecessor used, or to learn that they are gone.
func (c *crashFleet) takeOver() {
	used := c.s.RecordedInstances(c.now)
	c.fence++
	c.s = c.newLeader()
	c.s.SetInstances(c.now, c.list)
	var expected []string
	for id, inst := range used {
		expected = append(expected, id)
		c.s.AddUnlisted(c.now, inst)
	}
	c.s.AwaitInstances(expected, c.now+14*time.Second)
	for _, job := range c.jobs {
		sub := Submission{Job: job, Queue: testQueue, Pool: "pool", PredatesLeader: true}
		if value := c.records[job.ID]; value != nil {
			sub.Progress, sub.RecordRevision = &Progress{}, 1
			require.NoError(c.t, json.Unmarshal(value, sub.Progress))
		}
		c.s.Submit(c.now, sub)
	}
}

// requireStartsBounded fails where a task was started too often after its third crash.
func (c *crashFleet) requireStartsBounded() {
	for task, crashed := range c.crashTimes {
		if len(crashed) < crashLimit {
			continue
		}
		third := crashed[crashLimit-1]
		after := 0
		for _, at := range c.startTimes[task] {
			if at > third {
				after++
			}
		}
		require.Less(c.t, after, excessStartLimit, "%s was started %d times after %d VMs had crashed under it, seed %d, crashed %v, started %v: %s",
			task, after, crashLimit, c.seed, crashed, c.startTimes[task], c.crashLog(task.Job))
	}
}

// requireState fails unless callers are told the state.
func (c *crashFleet) requireState(job string, want batch.State) {
	state, known := c.s.State(job)
	require.True(c.t, known)
	require.Equal(c.t, want, state, "job %s, seed %d: %s", job, c.seed, c.crashLog(job))
}

// crashLog is what was noted of a job's crashes, for a failure's message.
func (c *crashFleet) crashLog(job string) string {
	var b strings.Builder
	for _, d := range c.log {
		if d.Event == EventCrashNoted && d.Task.Job == job {
			fmt.Fprintf(&b, "\n%s run %s on %s: %s", d.Task, runLabel(d.Run), d.VM, d.Reason)
		}
	}
	return b.String()
}
