// Package worker is the stand-in for one VM of the platform: its agent, which
// runs tasks under leases, and its target, which serves requests. Tasks do no
// work: a timer simulates their run time. All starts and ends are recorded, and
// tests can inject faults.
package worker

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"sync"
	"time"

	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/standin/record"
	"github.com/rattanwall/rattanwall/internal/worker"
)

// Faults are the faults injected into one VM.
type Faults struct {
	// AgentDown makes the agent abort all calls but those that set faults.
	AgentDown bool `json:"agent_down"`
	// FailTasks makes each task fail soon after its start.
	FailTasks bool `json:"fail_tasks"`
	// LoseStartAnswers aborts the next N start calls after each took effect.
	LoseStartAnswers int `json:"lose_start_answers"`
	// UsageLagMS is the age of the reported usage, in milliseconds.
	UsageLagMS int64 `json:"usage_lag_ms"`
	// SlowFactor multiplies the time that each request takes; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
}

// task is one attempt of a task at the agent.
type task struct {
	worker.Task
	duration    time.Duration // actual run time at full share
	workDone    time.Duration // work done up to since
	since       time.Time
	share       float64
	finishTimer *time.Timer
	leaseTimer  *time.Timer
	leaseMS     int64
	// changeSequence is the sequence number of the task's last change.
	changeSequence int64
}

// Worker is one stand-in VM.
type Worker struct {
	vm       model.VM
	recorder *record.Recorder
	boot     string

	mu            sync.Mutex
	faults        Faults
	tasks         map[worker.Ref]*task
	sequence      int64
	changed       chan struct{}
	inFlight      map[string]struct{}
	conns         map[*trackedConn]struct{}
	usedResources model.Resources
	// samples is the history of usedResources, oldest first, for delayed usage
	// reports.
	samples []sample
	closers []func()
}

// sample holds the resources that tasks used from a time on.
type sample struct {
	since time.Time
	used  model.Resources
}

// sampleRetention is how long samples are kept; no usage lag is longer.
const sampleRetention = 2 * time.Minute

// sampleUsedResources records a change of usedResources. w.mu is held.
func (w *Worker) sampleUsedResources() {
	now := time.Now()
	w.samples = append(w.samples, sample{now, w.usedResources})
	for len(w.samples) > 1 && now.Sub(w.samples[1].since) > sampleRetention {
		w.samples = w.samples[1:]
	}
}

// usedResourcesAt returns the resources that tasks used at a time. w.mu is held.
func (w *Worker) usedResourcesAt(at time.Time) model.Resources {
	var used model.Resources
	for _, s := range w.samples {
		if s.since.After(at) {
			break
		}
		used = s.used
	}
	return used
}

// minRunTime keeps a stand-in task from ending before the response to its start.
const minRunTime = 20 * time.Millisecond

// Start serves vm's agent and target at host, on any free ports unless vm names
// them, and returns the running stand-in, whose VM method returns the addresses.
func Start(vm model.VM, network netio.Network, host string, r *record.Recorder) (*Worker, error) {
	w := &Worker{
		vm: vm, recorder: r, boot: strconv.FormatInt(time.Now().UnixNano(), 36),
		tasks: map[worker.Ref]*task{}, changed: make(chan struct{}),
		inFlight: map[string]struct{}{}, conns: map[*trackedConn]struct{}{},
		// A later boot has higher sequence numbers than an earlier one.
		sequence: time.Now().UnixMicro(),
	}
	if err := w.serveAgent(network, host); err != nil {
		return nil, err
	}
	if err := w.serveTarget(network, host); err != nil {
		w.Close()
		return nil, err
	}
	r.Add(record.Event{Kind: record.VMStarted, VM: vm.Name, Resources: &vm.Capacity})
	return w, nil
}

// VM returns the stand-in's description for the platform's list.
func (w *Worker) VM() model.VM { return w.vm }

// SetFaults replaces all faults of the VM; the zero value removes them.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Silence makes all connections now open drop all further data permanently; new
// ones work.
func (w *Worker) Silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.blackhole()
	}
}

// Close ends the VM with all its tasks and connections, as a power failure does.
func (w *Worker) Close() {
	w.mu.Lock()
	closers := w.closers
	w.closers = nil
	for _, t := range w.tasks {
		t.stopTimers()
	}
	w.tasks = map[worker.Ref]*task{}
	w.mu.Unlock()
	if len(closers) == 0 {
		return
	}
	w.recorder.Add(record.Event{Kind: record.VMGone, VM: w.vm.Name})
	for _, c := range closers {
		c()
	}
}

// signalChange records a change of t and wakes waiting status calls. w.mu is held.
func (w *Worker) signalChange(t *task) {
	w.sequence++
	t.changeSequence = w.sequence
	close(w.changed)
	w.changed = make(chan struct{})
}

// actualDuration returns the run time of a task: half to twice the declared one,
// the same for each attempt.
func actualDuration(ref string, declaredMS int64) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(ref))
	factor := 0.5 + 1.5*float64(h.Sum32()%1000)/1000
	d := time.Duration(float64(declaredMS)*factor) * time.Millisecond
	return max(d, minRunTime)
}

// start runs an attempt unless the agent already has it.
func (w *Worker) start(req worker.StartRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[req.Ref] != nil {
		return
	}
	resumed, _ := strconv.ParseInt(req.Resume, 10, 64)
	t := &task{
		Task:     worker.Task{Ref: req.Ref, State: worker.Running, Resources: req.Resources, Checkpoint: req.Resume},
		duration: actualDuration(req.Task, req.DurationMS), workDone: time.Duration(resumed) * time.Millisecond,
		since: time.Now(), share: 1, leaseMS: req.LeaseMS,
	}
	w.tasks[req.Ref] = t
	w.usedResources = w.usedResources.Add(req.Resources)
	w.sampleUsedResources()
	w.recorder.Add(record.Event{
		Kind: record.TaskStart, VM: w.vm.Name, ID: req.Task, Attempt: req.Attempt,
		Resources: &t.Resources, Checkpoint: req.Resume,
	})
	if w.faults.FailTasks {
		t.finishTimer = time.AfterFunc(minRunTime, func() { w.endTask(t, worker.Failed) })
	} else {
		w.reschedule(t)
	}
	t.leaseTimer = time.AfterFunc(time.Duration(t.leaseMS)*time.Millisecond, func() { w.endTask(t, worker.Lapsed) })
	w.signalChange(t)
}

// reschedule sets the timer for t's end from its work done and share. w.mu is held.
func (w *Worker) reschedule(t *task) {
	if t.finishTimer != nil {
		t.finishTimer.Stop()
	}
	if t.share <= 0 {
		return
	}
	left := max(t.duration-t.workDone, 0)
	wait := max(time.Duration(float64(left)/t.share), minRunTime)
	t.finishTimer = time.AfterFunc(wait, func() { w.endTask(t, worker.Finished) })
}

// updateProgress brings t.workDone up to now. w.mu is held.
func (t *task) updateProgress() {
	now := time.Now()
	t.workDone += time.Duration(float64(now.Sub(t.since)) * t.share)
	t.since = now
}

func (t *task) stopTimers() {
	if t.finishTimer != nil {
		t.finishTimer.Stop()
	}
	if t.leaseTimer != nil {
		t.leaseTimer.Stop()
	}
}

func (t *task) takeCheckpoint() {
	t.updateProgress()
	t.Checkpoint = strconv.FormatInt(t.workDone.Milliseconds(), 10)
}

// endTask moves a running attempt to a final state; it ignores one that has ended.
func (w *Worker) endTask(t *task, state worker.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endTaskLocked(t, state)
}

func (w *Worker) endTaskLocked(t *task, state worker.State) {
	if t.State != worker.Running || w.tasks[t.Ref] != t {
		return
	}
	t.State = state
	t.stopTimers()
	w.usedResources = w.usedResources.Sub(t.Resources)
	w.sampleUsedResources()
	w.recorder.Add(record.Event{
		Kind: record.TaskEnd, VM: w.vm.Name, ID: t.Ref.Task, Attempt: t.Attempt,
		Reason: string(state), Checkpoint: t.Checkpoint, Resources: &t.Resources,
	})
	w.signalChange(t)
}

func (w *Worker) renew(lease time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.State == worker.Running {
			t.leaseTimer.Reset(lease)
		}
	}
}

func (w *Worker) stop(req worker.Ref, checkpoint bool) (worker.Task, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[req]
	if t == nil {
		return worker.Task{}, false
	}
	if checkpoint && t.State == worker.Running {
		t.takeCheckpoint()
	}
	w.endTaskLocked(t, worker.Stopped)
	return t.Task, true
}

func (w *Worker) checkpointAll() []worker.Task {
	w.mu.Lock()
	defer w.mu.Unlock()
	saved := []worker.Task{}
	for _, t := range w.tasks {
		if t.State == worker.Running {
			t.takeCheckpoint()
			saved = append(saved, t.Task)
		}
	}
	return saved
}

func (w *Worker) throttle(ref worker.Ref, share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[ref]
	if t == nil || t.State != worker.Running {
		return false
	}
	t.updateProgress()
	t.share = share
	w.reschedule(t)
	return true
}

func (w *Worker) forget(refs []worker.Ref) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ref := range refs {
		if t := w.tasks[ref]; t != nil && t.State != worker.Running {
			delete(w.tasks, ref)
		}
	}
}

// status returns the tasks that changed after a sequence number, and a channel
// that is closed at the next change.
func (w *Worker) status(after int64) (worker.Status, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := worker.Status{Sequence: w.sequence, Boot: w.boot, Connections: len(w.conns), Usage: w.usage()}
	for _, t := range w.tasks {
		if t.changeSequence > after {
			s.Tasks = append(s.Tasks, t.Task)
		}
	}
	for id := range w.inFlight {
		s.InFlight = append(s.InFlight, id)
	}
	return s, w.changed
}

// slowdown returns the factor by which batch tasks slow down the VM's requests.
func (w *Worker) slowdown() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowdownFor(w.usedResources)
}

// slowdownFor returns the factor by which tasks that use the given resources slow
// down requests. w.mu is held.
func (w *Worker) slowdownFor(used model.Resources) float64 {
	factor := max(w.faults.SlowFactor, 1)
	if w.vm.Capacity.MilliCPU == 0 {
		return factor
	}
	return factor * (1 + 0.5*float64(used.MilliCPU)/float64(w.vm.Capacity.MilliCPU))
}

// AnswerBody returns the body of a target's response to the caller's request id:
// size bytes that no other ID yields, so that a caller can distinguish its own
// complete response from a partial one or that to another request.
func AnswerBody(id string, size int) []byte {
	line := []byte(fmt.Sprintf("answer to %s\n", id))
	body := make([]byte, 0, size+len(line))
	for len(body) < size {
		body = append(body, line...)
	}
	return body[:size]
}
