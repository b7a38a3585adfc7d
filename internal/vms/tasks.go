package vms

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/ledger"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/placement"
	"github.com/rattanwall/rattanwall/internal/worker"
)

const (
	// reservationTimeout is how long capacity stays reserved for an attempt whose
	// commitment is being written to the store.
	reservationTimeout = 8 * time.Second
	// startTimeout bounds the time from sending a start to the agent acting on it.
	startTimeout = 4 * time.Second
	// maxParallelStarts bounds the concurrent starts of one call.
	maxParallelStarts = 16
)

// TaskRequirements is what an attempt needs of a VM.
type TaskRequirements struct {
	PerTask model.Resources
	// Zones restricts the availability zones; none means any.
	Zones []string
	// Urgent tasks are placed even while quick requests wait.
	Urgent bool
}

// Reserve reserves capacity for attempts and returns those that got it, with their
// VM. While quick requests wait at this node, only urgent tasks get capacity: batch
// work is shed first.
func (m *Manager) Reserve(refs []worker.Ref, req TaskRequirements) []Attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !req.Urgent && len(m.queues[model.Quick].waiters) > 0 {
		return nil
	}
	need := req.PerTask
	var machines []*machine
	var candidates []placement.Candidate
	for _, mc := range m.owned {
		if !model.InZones(req.Zones, mc.vm.Zone) || !mc.reachable || !m.mayAct(mc) || mc.ledger.MayPlace(need) != ledger.Admitted {
			continue
		}
		machines = append(machines, mc)
		candidates = append(candidates, placement.Candidate{
			Name: mc.vm.Name, Free: mc.ledger.FreeForTasks(), Capacity: mc.ledger.Capacity(), Slowdown: mc.slowdown,
		})
	}
	expires := time.Now().Add(reservationTimeout)
	var reserved []Attempt
	for _, ref := range refs {
		i := placement.Choose(candidates, need)
		if i < 0 {
			break
		}
		mc := machines[i]
		if v := mc.ledger.Reserve(ledgerID(ref), need, expires); v != ledger.Admitted {
			continue
		}
		candidates[i].Free = mc.ledger.FreeForTasks()
		reserved = append(reserved, Attempt{Ref: ref, VM: mc.vm.Name})
	}
	return reserved
}

// Start starts attempts on their reserved capacity and returns those that were
// refused: they certainly do not run and never will. Attempts whose outcome is
// unknown are reported later.
func (m *Manager) Start(ctx context.Context, attempts []Attempt, durationMS int64) []Attempt {
	var mu sync.Mutex
	var refused []Attempt
	var wg sync.WaitGroup
	limit := make(chan struct{}, maxParallelStarts)
	for _, a := range attempts {
		wg.Add(1)
		limit <- struct{}{}
		go func() {
			defer func() { <-limit; wg.Done() }()
			if !m.startOne(ctx, a, durationMS) {
				mu.Lock()
				refused = append(refused, a)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return refused
}

// startOne returns false if the attempt certainly does not run.
func (m *Manager) startOne(ctx context.Context, a Attempt, durationMS int64) bool {
	id := ledgerID(a.Ref)
	// The deadline is computed before ownership is checked: a process suspended after
	// the check must not start an attempt that the next owner has found not to run.
	notAfter := time.Now().Add(startTimeout)
	m.mu.Lock()
	mc := m.owned[a.VM]
	if mc == nil || mc.tasks[a.Ref] != nil {
		m.mu.Unlock()
		// If the VM is no longer owned, no other node starts the attempt, since the
		// reservation exists only here. If the attempt is already held, this call is
		// a repeat.
		return mc != nil
	}
	if !mc.ledger.Confirm(id) || !m.mayAct(mc) {
		mc.ledger.Release(id)
		m.mu.Unlock()
		return false
	}
	h := &heldTask{starting: true}
	mc.tasks[a.Ref] = h
	need := mc.ledger.HeldBy(id)
	m.mu.Unlock()

	err := mc.agent.Start(ctx, worker.StartRequest{
		Ref: a.Ref, Resources: need, DurationMS: durationMS, Resume: a.Checkpoint,
		LeaseMS:        m.Timing.Lease.Milliseconds(),
		NotAfterUnixMS: notAfter.UnixMilli(),
	})
	m.contactEnded(mc, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		h.starting, h.startResolvedAt = false, time.Now()
	case errors.Is(err, worker.ErrRefused) || errors.Is(err, worker.ErrUnreachable):
		mc.ledger.Release(id)
		delete(mc.tasks, a.Ref)
		return false
	default:
		// The response was lost. The agent acts on the start within startTimeout or
		// never; the first list requested after that shows the outcome.
		time.AfterFunc(startTimeout, func() { m.resolveStart(h) })
	}
	return true
}

// resolveStart ends the wait for a start whose response was lost: from now on the
// VM's list decides.
func (m *Manager) resolveStart(h *heldTask) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.starting, h.startResolvedAt = false, time.Now()
}

// Stop stops attempts, with a checkpoint if requested. Their ends are reported like
// all others. Attempts on VMs that this node does not own are left to their owner.
func (m *Manager) Stop(ctx context.Context, attempts []Attempt, checkpoint bool) {
	for _, a := range attempts {
		m.mu.Lock()
		mc := m.owned[a.VM]
		m.mu.Unlock()
		if mc == nil || !m.mayAct(mc) {
			continue
		}
		_, _ = mc.agent.Stop(ctx, a.Ref, checkpoint)
	}
}

// Audit returns which of the attempts have ended or certainly do not run, and which
// VMs this node does not own.
func (m *Manager) Audit(attempts []Attempt) (ended []Attempt, notOwned []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, a := range attempts {
		mc := m.owned[a.VM]
		if mc == nil || !m.mayAct(mc) {
			notOwned = append(notOwned, a.VM)
			continue
		}
		h := mc.tasks[a.Ref]
		switch {
		case h != nil && h.end == "", mc.ledger.IsHeld(ledgerID(a.Ref)):
		case h != nil:
			ended = append(ended, Attempt{Ref: a.Ref, VM: a.VM, End: h.end, Checkpoint: h.checkpoint})
		case mc.ledger.Ready() && mc.reachable && mc.listRequestedAt.After(mc.listCompleteAfter), m.attemptsLost(mc, now):
			// The VM's own list lacks the attempt and was requested when no start of
			// an earlier owner could still be in transit; or the VM has been
			// unreachable for longer than any lease.
			ended = append(ended, Attempt{Ref: a.Ref, VM: a.VM, End: EndLost})
		case now.After(mc.listCompleteAfter):
			// The list was requested before listCompleteAfter: refresh it before the
			// next audit.
			mc.refreshStatus()
		}
	}
	return ended, notOwned
}
