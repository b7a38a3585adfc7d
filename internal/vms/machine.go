package vms

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/ledger"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/target"
	"github.com/rattanwall/rattanwall/internal/worker"
)

const (
	// statusWait is how long one status call waits for a change. It is long because
	// each call costs a few hundred bytes for each VM; the loss of a VM is detected
	// at once by the other calls sent to it.
	statusWait = 15 * time.Second
	// uncertainInterval is the interval between status reads while the VM's state is
	// uncertain.
	uncertainInterval = 100 * time.Millisecond
	// reportRetryDelay is the delay before an unrecorded end is reported again.
	reportRetryDelay = time.Second
	// statusRetryDelay is the minimum delay after a failed status call.
	statusRetryDelay = 500 * time.Millisecond
	// lostMargin is added to the lease before an attempt counts as lost: it covers a
	// renewal still in transit and clocks that run at different rates.
	lostMargin = 5 * time.Second
	// initialLatency is the assumed latency of a VM that has served no request yet.
	initialLatency = 5 * time.Millisecond
)

// machine is the state of one owned VM. Its fields are guarded by the manager's
// mutex.
type machine struct {
	vm     model.VM
	shard  string
	epoch  int64
	ledger *ledger.Ledger
	agent  worker.Agent
	target target.Target
	cancel context.CancelFunc

	// takenOverAt is when this node became the VM's owner.
	takenOverAt time.Time
	// listRequestedAt is when the newest list was requested. A call that waited for a
	// change may have been sent long before its response.
	listRequestedAt time.Time
	// listCompleteAfter is when the VM's list covers all attempts: any attempt that
	// an earlier owner started, or that runs at the VM's earlier address, has ended
	// by then.
	listCompleteAfter time.Time
	reachable         bool
	// unlisted is set while the platform's list lacks the VM.
	unlisted bool
	// leaving is set while the VM gets no new work and its tasks are evicted.
	leaving bool
	// lastContactEnd is when the last call that may have started a task or renewed
	// its lease returned, with or without a response.
	lastContactEnd time.Time
	// suspectUntil is the time before which the VM gets no requests, after it refused
	// a connection.
	suspectUntil time.Time
	// connectFailures counts the consecutive failures to connect to the target.
	connectFailures int
	tasks           map[worker.Ref]*heldTask
	// list is a copy of the VM's own task list, as of its boot ID.
	list map[worker.Ref]worker.Task
	boot string
	// latency is a moving average over completed requests.
	latency  time.Duration
	slowdown float64
	// cancelStatus cancels the current status call; it may be called repeatedly.
	cancelStatus func()
}

// heldTask is an attempt that the VM holds or held.
type heldTask struct {
	checkpoint string
	// end is set once the attempt has ended; the attempt is kept until its end is
	// recorded.
	end End
	// starting is set while the outcome of the start is unknown.
	starting bool
	// startResolvedAt is when the outcome of the start was resolved. A list requested
	// earlier may lack the task although it runs; taking that for its end would start
	// the task a second time elsewhere.
	startResolvedAt time.Time
	stopping        bool
}

func ledgerID(ref worker.Ref) string {
	return ref.Task + "#" + itoa(ref.Attempt)
}

// watchStatus keeps the copy of the VM's task list up to date.
func (m *Manager) watchStatus(ctx context.Context, mc *machine) {
	var after int64 = -1
	for ctx.Err() == nil {
		askedAt := time.Now()
		ownConnections := mc.target.Connections()
		whole := after < 0
		status, uncertain, err := m.readStatus(ctx, mc, after)
		if errors.Is(err, errStatusCancelled) {
			continue
		}
		if err != nil {
			// The VM may still hold attempts declared lost meanwhile: read the whole
			// list.
			after = -1
			m.statusFailed(ctx, mc)
			continue
		}
		after = status.Sequence
		m.observe(mc, status, whole, askedAt, ownConnections)
		m.processEnds(ctx, mc)
		if uncertain {
			pause.For(ctx, uncertainInterval)
		}
	}
}

// errStatusCancelled: a status call was cancelled in order to read the list at once.
var errStatusCancelled = errors.New("status call cancelled to refresh the list")

// readStatus reads the VM's list: at once while anything is uncertain, otherwise when
// it changes. machine.refreshStatus cancels the call. State that becomes uncertain
// after the ledger is checked here always does so, since the check and the setting of
// cancelStatus share one critical section.
func (m *Manager) readStatus(ctx context.Context, mc *machine, after int64) (s worker.Status, uncertain bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wait := statusWait
	m.mu.Lock()
	mc.cancelStatus = func() { cancel(errStatusCancelled) }
	uncertain = mc.ledger.Uncertain() || !mc.ledger.Ready()
	if mc.unrecorded() {
		wait = reportRetryDelay
	}
	m.mu.Unlock()
	if uncertain {
		wait = 0
	}
	s, err = mc.agent.Status(ctx, after, wait)
	if err != nil && errors.Is(context.Cause(ctx), errStatusCancelled) {
		err = errStatusCancelled
	}
	return s, uncertain, err
}

// unrecorded reports whether the end of any attempt has yet to be recorded.
func (mc *machine) unrecorded() bool {
	for _, h := range mc.tasks {
		if h.end != "" {
			return true
		}
	}
	return false
}

// statusFailed marks the VM as unreachable and declares its attempts lost once their
// leases have certainly expired.
func (m *Manager) statusFailed(ctx context.Context, mc *machine) {
	m.mu.Lock()
	mc.reachable = false
	if m.attemptsLost(mc, time.Now()) {
		for _, t := range mc.tasks {
			if t.end == "" {
				t.end = EndLost
			}
		}
	}
	m.mu.Unlock()
	m.processEnds(ctx, mc)
	pause.For(ctx, statusRetryDelay)
}

// leasesExpired reports whether every lease given to tasks on the VM has expired, by
// this or an earlier owner. Renewals stop while the VM is unreachable, so this
// eventually holds. An earlier owner's last renewal ended before its fence, which
// passed before this node took over. m.mu is held.
func (m *Manager) leasesExpired(mc *machine, now time.Time) bool {
	return now.Sub(mc.lastContactEnd) > m.Timing.Lease+lostMargin
}

// attemptsLost reports whether attempts on an unreachable VM count as lost: their
// leases have expired, and the VM is either off the platform's list or has been
// unreachable for UnreachableGrace longer.
func (m *Manager) attemptsLost(mc *machine, now time.Time) bool {
	doubt := now.Sub(mc.lastContactEnd) < m.Timing.Lease+lostMargin+m.Timing.UnreachableGrace
	return m.leasesExpired(mc, now) && (mc.unlisted || !doubt)
}

// observe applies the VM's own list to the ledger and to the held tasks.
func (m *Manager) observe(mc *machine, s worker.Status, whole bool, askedAt time.Time, ownConnections int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mc.reachable, mc.slowdown, mc.listRequestedAt = true, s.Usage.Slowdown, askedAt
	o := ledger.Observation{AskedAt: askedAt, Tasks: map[string]model.Resources{}, InFlight: s.InFlight}
	if !mc.ledger.Ready() || mc.ledger.Uncertain() {
		o.ForeignConnections = max(int64(s.Connections)-max(ownConnections, mc.target.Connections()), 0)
	}
	mc.merge(s, whole)
	for _, t := range mc.list {
		if t.State == worker.Running {
			o.Tasks[ledgerID(t.Ref)] = t.Resources
		}
		h := mc.tasks[t.Ref]
		if h == nil {
			h = &heldTask{}
			mc.tasks[t.Ref] = h
		}
		h.starting = false
		h.checkpoint = t.Checkpoint
		if t.State != worker.Running && h.end == "" {
			h.end = endOf(t.State)
		}
	}
	mc.ledger.Observe(o)
	for ref, h := range mc.tasks {
		if _, listed := mc.list[ref]; !listed && h.end == "" && !h.starting && askedAt.After(h.startResolvedAt) {
			// The VM restarted and no longer holds the attempt.
			h.end = EndLost
		}
		if h.end != "" {
			mc.ledger.Release(ledgerID(ref))
		}
	}
	m.wakeWaiters()
}

// merge updates the copy of the VM's list; whole is set when s lists all tasks. After
// a restart the VM holds only the tasks that it reports from then on.
func (mc *machine) merge(s worker.Status, whole bool) {
	if whole || mc.boot != s.Boot {
		mc.list, mc.boot = map[worker.Ref]worker.Task{}, s.Boot
	}
	for _, t := range s.Tasks {
		mc.list[t.Ref] = t
	}
}

func endOf(s worker.State) End {
	switch s {
	case worker.Finished:
		return EndFinished
	case worker.Failed:
		return EndFailed
	case worker.Lapsed:
		return EndLost
	}
	return EndStopped
}

// processEnds reports the ended attempts, forgets those whose end is recorded, and
// evicts the tasks of a VM that is leaving.
func (m *Manager) processEnds(ctx context.Context, mc *machine) {
	m.mu.Lock()
	var report []Attempt
	var evict []worker.Ref
	leaving := mc.ledger.MayPlace(model.Resources{}) == ledger.Leaving
	for ref, h := range mc.tasks {
		if h.end != "" {
			report = append(report, Attempt{Ref: ref, VM: mc.vm.Name, End: h.end, Checkpoint: h.checkpoint})
		}
		if leaving && h.end == "" && !h.starting && !h.stopping && mc.reachable {
			h.stopping = true
			evict = append(evict, ref)
		}
	}
	m.mu.Unlock()
	m.stopAll(ctx, mc, evict)
	if len(report) == 0 {
		return
	}
	recorded, _ := m.Reporter.Report(ctx, report)
	m.forget(ctx, mc, recorded)
}

// reportRunning reports the running attempts of all VMs to the leaders of the job
// shards and stops those that are obsolete.
func (m *Manager) reportRunning(ctx context.Context) {
	m.mu.Lock()
	var report []Attempt
	machines := map[worker.Ref]*machine{}
	for _, mc := range m.owned {
		for ref, h := range mc.tasks {
			if h.end == "" && !h.starting && mc.reachable {
				report = append(report, Attempt{Ref: ref, VM: mc.vm.Name})
				machines[ref] = mc
			}
		}
	}
	m.mu.Unlock()
	if len(report) == 0 {
		return
	}
	_, obsolete := m.Reporter.Report(ctx, report)
	for _, ref := range obsolete {
		if mc := machines[ref]; mc != nil {
			m.stopAll(ctx, mc, []worker.Ref{ref})
		}
	}
}

// stopAll stops attempts with a checkpoint; their end appears in the next status.
func (m *Manager) stopAll(ctx context.Context, mc *machine, refs []worker.Ref) {
	for _, ref := range refs {
		if !m.mayAct(mc) {
			return
		}
		if _, err := mc.agent.Stop(ctx, ref, true); err != nil {
			m.mu.Lock()
			if h := mc.tasks[ref]; h != nil {
				h.stopping = false
			}
			m.mu.Unlock()
		}
	}
}

// forget removes attempts whose end is recorded, here and at the agent.
func (m *Manager) forget(ctx context.Context, mc *machine, recorded []worker.Ref) {
	var ended []worker.Ref
	m.mu.Lock()
	for _, ref := range recorded {
		if h := mc.tasks[ref]; h != nil && h.end != "" {
			ended = append(ended, ref)
		}
	}
	reachable := mc.reachable
	m.mu.Unlock()
	if len(ended) == 0 {
		return
	}
	if reachable && mc.agent.Forget(ctx, ended) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ref := range ended {
		mc.ledger.Release(ledgerID(ref))
		delete(mc.tasks, ref)
		delete(mc.list, ref)
	}
}

// keepLeases renews the leases of the VM's tasks and checkpoints them. It does
// neither while the VM is unreachable or no longer owned.
func (m *Manager) keepLeases(ctx context.Context, mc *machine) {
	ticker := time.NewTicker(m.Timing.RenewInterval)
	defer ticker.Stop()
	lastCheckpoint := time.Now()
	for {
		m.mu.Lock()
		due := mc.reachable && len(mc.tasks) > 0
		m.mu.Unlock()
		if due && m.mayAct(mc) {
			err := mc.agent.Renew(ctx, m.Timing.Lease)
			m.contactEnded(mc, err)
		}
		if due && time.Since(lastCheckpoint) >= m.Timing.CheckpointInterval {
			lastCheckpoint = time.Now()
			m.checkpointAll(ctx, mc)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// contactEnded records the end of a call that may have started or renewed a lease.
// After a call without a response the VM gets no new work until its list is read
// again.
func (m *Manager) contactEnded(mc *machine, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mc.lastContactEnd = time.Now()
	if err != nil && !errors.Is(err, worker.ErrRefused) {
		mc.reachable = false
		mc.refreshStatus()
	}
}

// refreshStatus cancels the current status call, so that the list is read at once: a
// call that waits for a change of tasks does not return when a request ends.
func (mc *machine) refreshStatus() {
	if mc.cancelStatus != nil {
		mc.cancelStatus()
	}
}

func (m *Manager) checkpointAll(ctx context.Context, mc *machine) {
	saved, err := mc.agent.CheckpointAll(ctx)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range saved {
		if h := mc.tasks[t.Ref]; h != nil && h.end == "" {
			h.checkpoint = t.Checkpoint
			// Checkpointing does not count as a change in the VM's list.
			mc.list[t.Ref] = t
		}
	}
}
