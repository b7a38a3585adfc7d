// Package worker is the stand-in for one VM of the platform: its agent, which
// runs tasks under leases, and its target, which serves requests. Tasks do no
// work: a timer stands for the time they take. All that starts and ends is
// recorded, and faults are switched by tests.
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

// Faults of one VM.
type Faults struct {
	// AgentDown makes the agent refuse connections' calls by cutting them off.
	AgentDown bool `json:"agent_down"`
	// FailTasks makes each task fail soon after its start.
	FailTasks bool `json:"fail_tasks"`
	// LoseStartAnswers cuts off the answer of the next N starts after they took effect.
	LoseStartAnswers int `json:"lose_start_answers"`
	// UsageLagMS is how old the usage reports are, in milliseconds.
	UsageLagMS int64 `json:"usage_lag_ms"`
	// SlowFactor multiplies the time that each request takes; 0 stands for 1.
	SlowFactor float64 `json:"slow_factor"`
}

// task is one attempt at the agent.
type task struct {
	worker.Task
	duration    time.Duration // true run time at full share
	workDone    time.Duration // work done up to since
	since       time.Time
	share       float64
	finishTimer *time.Timer
	leaseTimer  *time.Timer
	leaseMS     int64
	// changeSequence is the sequence of the task's last change.
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
	// samples tell what was held since when, oldest first: usage lags.
	samples []sample
	closers []func()
}

// sample is what tasks held from a moment on.
type sample struct {
	since time.Time
	used  model.Resources
}

// sampleRetention is how long samples are kept; no lag is longer.
const sampleRetention = 2 * time.Minute

// sampleUsedResources notes a change of held. w.mu is held.
func (w *Worker) sampleUsedResources() {
	now := time.Now()
	w.samples = append(w.samples, sample{now, w.usedResources})
	for len(w.samples) > 1 && now.Sub(w.samples[1].since) > sampleRetention {
		w.samples = w.samples[1:]
	}
}

// usedResourcesAt is what tasks held at a moment. w.mu is held.
func (w *Worker) usedResourcesAt(at time.Time) model.Resources {
	var held model.Resources
	for _, s := range w.samples {
		if s.since.After(at) {
			break
		}
		held = s.used
	}
	return held
}

// minRunTime keeps a stand-in task from ending before its start is answered.
const minRunTime = 20 * time.Millisecond

// Start serves vm's agent and target at host, on ports of their own choice unless
// vm names them, and returns the running stand-in; VM() tells the addresses.
func Start(vm model.VM, network netio.Network, host string, r *record.Recorder) (*Worker, error) {
	w := &Worker{
		vm: vm, recorder: r, boot: strconv.FormatInt(time.Now().UnixNano(), 36),
		tasks: map[worker.Ref]*task{}, changed: make(chan struct{}),
		inFlight: map[string]struct{}{}, conns: map[*trackedConn]struct{}{},
		// A later boot counts on above an earlier one.
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

// VM describes the stand-in as the platform's list would.
func (w *Worker) VM() model.VM { return w.vm }

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Silence makes all connections now open go silent for good; new ones work.
func (w *Worker) Silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.blackhole()
	}
}

// Close ends the VM with all it holds, as a power cut would.
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

// signalChange tells waiting status calls of a change of t. w.mu is held.
func (w *Worker) signalChange(t *task) {
	w.sequence++
	t.changeSequence = w.sequence
	close(w.changed)
	w.changed = make(chan struct{})
}

// actualDuration is what a task really takes: half to twice its declaration, the
// same for each attempt at it.
func actualDuration(ref string, declaredMS int64) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(ref))
	factor := 0.5 + 1.5*float64(h.Sum32()%1000)/1000
	d := time.Duration(float64(declaredMS)*factor) * time.Millisecond
	return max(d, minRunTime)
}

// start runs an attempt unless it is already listed.
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

// reschedule sets the timer of t's end from its progress and share. w.mu is held.
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

// updateProgress brings t.done up to now. w.mu is held.
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

// endTask moves a running attempt to a final state.
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

// status returns the tasks that changed after a sequence, and a channel that
// closes at the next change.
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

// slowdown is the factor by which batch tasks slow the VM's requests.
func (w *Worker) slowdown() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowdownFor(w.usedResources)
}

// slowdownFor is the factor by which tasks that hold so much slow requests.
// w.mu is held.
func (w *Worker) slowdownFor(held model.Resources) float64 {
	factor := max(w.faults.SlowFactor, 1)
	if w.vm.Capacity.MilliCPU == 0 {
		return factor
	}
	return factor * (1 + 0.5*float64(held.MilliCPU)/float64(w.vm.Capacity.MilliCPU))
}

// AnswerBody is the body that a target answers the caller's request id with:
// size bytes that no other id yields, so that a caller can tell its own whole
// answer from a part or from another's.
func AnswerBody(id string, size int) []byte {
	line := []byte(fmt.Sprintf("answer to %s\n", id))
	body := make([]byte, 0, size+len(line))
	for len(body) < size {
		body = append(body, line...)
	}
	return body[:size]
}
