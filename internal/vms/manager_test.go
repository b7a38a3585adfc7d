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

// fakeAgent reports a fixed status and records the starts.
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

// fakeOwnership owns every shard; suspend delays its response, as if the process that
// asked were suspended after it.
type fakeOwnership struct {
	mu      sync.Mutex
	suspend time.Duration
	// askedAt is when Epoch was last called.
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

// fakeReporter records ends only while isRecording is set.
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

// Guards against executing a finished task again. The task is the last one on a VM
// that leaves, and the leader of its job's shard does not respond before the
// platform's list drops the VM. If the VM were removed with the unrecorded end, the
// audit would declare the attempt lost a minute later.
func TestUnrecordedEndKeepsUnlistedVM(t *testing.T) {
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
	require.Eventually(t, func() bool { return reporter.count() == 1 }, 5*time.Second, 10*time.Millisecond, "the end must be recorded after the VM has left the list")
	m.SetList(nil)
	require.Eventually(t, func() bool { return len(m.Dump()) == 0 }, 5*time.Second, 10*time.Millisecond, "the VM must be dropped once the end is recorded")
}

// Guards against a task that runs on two VMs. An owner checks that it still owns a VM
// and is suspended; another node takes the VM over, waits until no start of the first
// can be in transit, and finds that the attempt does not run; the first resumes and
// starts it. The start's deadline must therefore count from before the ownership
// check.
func TestStartDeadlineCountsFromOwnershipCheck(t *testing.T) {
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
	require.False(t, countedFrom.After(own.askedAt), "the start's deadline counts from %v after the ownership check", countedFrom.Sub(own.askedAt))
}
