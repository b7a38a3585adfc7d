package vms

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/target"
	"github.com/rattanwall/rattanwall/internal/worker"
)

// fakeAgent has one status and notes the starts.
type fakeAgent struct {
	worker.Agent
	status worker.Status
	starts chan worker.StartRequest
}

func (a *fakeAgent) Status(ctx context.Context, after int64, wait time.Duration) (worker.Status, error) {
	if after < 0 || wait == 0 {
		return a.status, nil
	}
	select {
	case <-ctx.Done():
		return worker.Status{}, ctx.Err()
	case <-time.After(wait):
		return worker.Status{Boot: a.status.Boot, Sequence: a.status.Sequence}, nil
	}
}

func (a *fakeAgent) Renew(context.Context, time.Duration) error           { return nil }
func (a *fakeAgent) Forget(context.Context, []worker.Ref) error           { return nil }
func (a *fakeAgent) Start(_ context.Context, r worker.StartRequest) error { a.starts <- r; return nil }

type fakeTarget struct{ target.Target }

func (fakeTarget) Connections() int64 { return 0 }
func (fakeTarget) CloseIdle()         {}

// fakeOwnership owns all; a process that asks it may be suspended after the answer.
type fakeOwnership struct {
	mu      sync.Mutex
	suspend time.Duration
	// askedAt is when it was last asked.
	askedAt time.Time
}

func (o *fakeOwnership) Epoch(string) (int64, bool) {
	o.mu.Lock()
	d := o.suspend
	o.askedAt = time.Now()
	o.mu.Unlock()
	time.Sleep(d)
	return 1, true
}

// fakeReporter records ends once it is told to.
type fakeReporter struct {
	mu          sync.Mutex
	isRecording bool
	reported    int
}

func (r *fakeReporter) Report(_ context.Context, attempts []Attempt) (recorded, obsolete []worker.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range attempts {
		if a.End != "" && r.isRecording {
			r.reported++
			recorded = append(recorded, a.Ref)
		}
	}
	return recorded, nil
}

func (r *fakeReporter) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reported
}

func newManager(t *testing.T, agent *fakeAgent, own Ownership, reporter Reporter) *Manager {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	m := New(Options{
		Ownership: own, Reporter: reporter, Config: func() *config.Installed { return &config.Installed{} },
		NewAgent:  func(string) worker.Agent { return agent },
		NewTarget: func(string, int) target.Target { return fakeTarget{} },
		Timing:    DefaultTiming(), Log: logrus.NewEntry(logger),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return m
}

var oneVM = []model.VM{{Name: "v", Zone: "z", Rack: "r", State: model.VMLive, Capacity: model.Resources{MilliCPU: 1000, MemoryMB: 1000, Slots: 8, Connections: 64}}}

// What happened: a task that had finished was executed again.
// Sequence: the task is the last on a VM that leaves; the leader of its job's shard
// does not answer just then; the VM goes off the platform's list.
// Cause: the VM was dropped for holding nothing, with the end that nobody had
// recorded yet; the audit found the attempt lost a minute later.
func TestUnrecordedEndOutlivesItsVM(t *testing.T) {
	ref := worker.Ref{Task: "t/j:0", Attempt: 1}
	agent := &fakeAgent{status: worker.Status{Sequence: 1, Boot: "b", Tasks: []worker.Task{{Ref: ref, State: worker.Finished}}}}
	reporter := &fakeReporter{}
	m := newManager(t, agent, &fakeOwnership{}, reporter)
	m.SetList(oneVM)
	require.Eventually(t, func() bool { d := m.Dump(); return len(d) == 1 && d[0].Tasks == 1 }, 5*time.Second, time.Millisecond)
	m.SetList(nil)
	time.Sleep(2 * tickInterval)
	reporter.mu.Lock()
	reporter.isRecording = true
	reporter.mu.Unlock()
	require.Eventually(t, func() bool { return reporter.count() == 1 }, 5*time.Second, 10*time.Millisecond, "the end is never recorded")
	m.SetList(nil)
	require.Eventually(t, func() bool { return len(m.Dump()) == 0 }, 5*time.Second, 10*time.Millisecond, "the VM is never dropped")
}

// What happened: a task ran on two VMs.
// Sequence: an owner asks whether it still owns a VM and is suspended; another node
// takes the VM over, waits until no start of the first can be under way, and finds
// that the attempt does not run; the first wakes and starts it.
// Cause: the time until which the agent may act on the start was counted from after
// the question.
func TestStartIsInTimeForWhoeverAskedBeforeIt(t *testing.T) {
	agent := &fakeAgent{status: worker.Status{Sequence: 1, Boot: "b"}, starts: make(chan worker.StartRequest, 1)}
	own := &fakeOwnership{}
	m := newManager(t, agent, own, &fakeReporter{})
	m.SetList(oneVM)
	ref := worker.Ref{Task: "t/j:0", Attempt: 1}
	var reserved []Attempt
	require.Eventually(t, func() bool {
		reserved = m.Reserve([]worker.Ref{ref}, TaskRequirements{PerTask: model.Resources{MilliCPU: 1}})
		return len(reserved) == 1
	}, 5*time.Second, 10*time.Millisecond)
	own.mu.Lock()
	own.suspend = 300 * time.Millisecond
	own.mu.Unlock()
	m.Start(t.Context(), reserved, 1000)
	own.mu.Lock()
	defer own.mu.Unlock()
	own.suspend = 0
	start := <-agent.starts
	countedFrom := time.UnixMilli(start.NotAfterUnixMS).Add(-startTimeout)
	require.False(t, countedFrom.After(own.askedAt), "counted from %v after the question", countedFrom.Sub(own.askedAt))
}
