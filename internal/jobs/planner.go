package jobs

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/vms"
	"github.com/rattanwall/rattanwall/internal/worker"
)

const (
	// maxReserveBatch bounds the tasks of one reservation request.
	maxReserveBatch = 32
	// maxPendingReservations bounds the concurrent reservation requests.
	maxPendingReservations = 4
	// noCapacityDelay is how long a node without capacity receives no further
	// requests.
	noCapacityDelay = 200 * time.Millisecond
	// callTimeout bounds one call to a peer.
	callTimeout = 5 * time.Second
	// auditInterval is the interval between audits of unreported attempts.
	auditInterval = 3 * time.Second
	// reportTimeout is how long an attempt may go unreported before it is audited:
	// two reports may be missed.
	reportTimeout = 75 * time.Second
	// firstAuditDelay is the time from an attempt's commitment to its first audit:
	// its start may have been lost.
	firstAuditDelay = 6 * time.Second
	// unlistedTimeout is how long an attempt on a VM that the platform no longer
	// lists counts as running. It is longer than any lease and any owner's fence.
	unlistedTimeout = 60 * time.Second
	// failureBackoff is the delay before a failed task is retried; it doubles with
	// each failure of the task, up to maxBackoff.
	failureBackoff = 500 * time.Millisecond
	maxBackoff     = 30 * time.Second
)

// planner finds capacity for a shard's queued tasks and monitors the placed ones.
// plan, recordOp, adopt and recordReport run in the leader's loop.
type planner struct {
	leader *Leader

	mu                  sync.Mutex
	reserving           map[worker.Ref]bool
	pendingReservations int
	noCapacityUntil     map[string]time.Time
	notBefore           map[string]time.Time
	lastReport          map[worker.Ref]time.Time
	unlistedSince       map[worker.Ref]time.Time
}

func newPlanner(l *Leader) *planner {
	return &planner{
		leader: l, reserving: map[worker.Ref]bool{}, noCapacityUntil: map[string]time.Time{},
		notBefore: map[string]time.Time{}, lastReport: map[worker.Ref]time.Time{}, unlistedSince: map[worker.Ref]time.Time{},
	}
}

func taskName(key string, index int) string { return key + ":" + strconv.Itoa(index) }

func parseTask(name string) (key string, index int, ok bool) {
	i := strings.LastIndexByte(name, ':')
	if i < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(name[i+1:])
	return name[:i], index, err == nil && index >= 0
}

func attemptOf(key string, index int, t Task) vms.Attempt {
	return vms.Attempt{Ref: worker.Ref{Task: taskName(key, index), Attempt: t.Attempt}, VM: t.VM, Checkpoint: t.Checkpoint}
}

// adopt starts monitoring the attempts that an earlier leader placed.
func (p *planner) adopt(s *State, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, j := range s.Jobs {
		for i, t := range j.Tasks {
			if t.State == Placed {
				p.lastReport[attemptOf(key, i, t).Ref] = now.Add(-reportTimeout)
			}
		}
	}
}

// recordOp updates the planner after an operation was applied.
func (p *planner) recordOp(op Op) {
	p.mu.Lock()
	defer p.mu.Unlock()
	task := taskName(op.Job, op.Index)
	ref := worker.Ref{Task: task, Attempt: op.Attempt}
	switch op.Kind {
	case OpPlace:
		p.lastReport[ref] = time.Now().Add(firstAuditDelay - reportTimeout)
	case OpEnd:
		delete(p.lastReport, ref)
		delete(p.unlistedSince, ref)
		if op.End == vms.EndFailed {
			j := p.leader.state.Jobs[op.Job]
			backoff := min(failureBackoff<<min(j.Tasks[op.Index].Failures, 8), maxBackoff)
			p.notBefore[task] = time.Now().Add(backoff)
		} else {
			delete(p.notBefore, task)
		}
	}
}

func (p *planner) recordReport(ref worker.Ref, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReport[ref] = now
}

// plan requests reservations for queued tasks, urgent jobs first, each team within
// its quota. The results are committed as commands.
func (p *planner) plan(ctx context.Context, s *State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingReservations >= maxPendingReservations {
		return
	}
	var usage map[string]model.Resources
	now := time.Now()
	for _, j := range s.Open() {
		if j.Cancelled {
			continue
		}
		if usage == nil {
			usage = s.Usage()
		}
		refs := p.queued(j, now, p.withinQuota(j, usage))
		if len(refs) == 0 {
			continue
		}
		node := p.pickNode(j.Spec, now)
		if node == "" {
			continue
		}
		for _, ref := range refs {
			p.reserving[ref] = true
		}
		p.pendingReservations++
		checkpoints := checkpointsOf(j, refs)
		go p.place(ctx, node, j.Spec, refs, checkpoints)
		if p.pendingReservations >= maxPendingReservations {
			return
		}
	}
}

// withinQuota returns how many more tasks of the job its team's quota allows, up to
// maxReserveBatch.
func (p *planner) withinQuota(j *Job, usage map[string]model.Resources) int {
	quota := p.leader.config().Document.Teams[j.Spec.Team].Quota
	used, need := usage[j.Spec.Team], j.Spec.PerTask
	n := int64(maxReserveBatch)
	limitBy := func(quota, used, need int64) {
		if quota > 0 && need > 0 {
			n = min(n, max(quota-used, 0)/need)
		}
	}
	limitBy(quota.MilliCPU, used.MilliCPU, need.MilliCPU)
	limitBy(quota.MemoryMB, used.MemoryMB, need.MemoryMB)
	limitBy(quota.Accelerators, used.Accelerators, need.Accelerators)
	return int(n)
}

// queued returns up to limit queued tasks of the job that may be placed now.
func (p *planner) queued(j *Job, now time.Time, limit int) []worker.Ref {
	var refs []worker.Ref
	for i, t := range j.Tasks {
		if len(refs) >= limit {
			break
		}
		name := taskName(j.Key(), i)
		ref := worker.Ref{Task: name, Attempt: t.Attempt + 1}
		if t.State == Queued && !p.reserving[ref] && !now.Before(p.notBefore[name]) {
			refs = append(refs, ref)
		}
	}
	return refs
}

func checkpointsOf(j *Job, refs []worker.Ref) map[worker.Ref]string {
	checkpoints := map[worker.Ref]string{}
	for _, ref := range refs {
		if _, index, ok := parseTask(ref.Task); ok && j.Tasks[index].Checkpoint != "" {
			checkpoints[ref] = j.Tasks[index].Checkpoint
		}
	}
	return checkpoints
}

// pickNode picks a node at random, weighted by its free CPU, so that the leaders of
// different shards do not all choose the same one.
func (p *planner) pickNode(spec model.JobSpec, now time.Time) string {
	var total int64
	var picked string
	for _, o := range p.leader.cluster.Offers() {
		if now.Before(p.noCapacityUntil[o.Node]) || !spec.PerTask.FitsIn(o.Free) || !model.InZones(spec.Zones, o.Zone) {
			continue
		}
		weight := max(o.Free.MilliCPU, 1)
		total += weight
		if rand.Int64N(total) < weight {
			picked = o.Node
		}
	}
	return picked
}

// place reserves capacity for a batch of tasks, commits the attempts in the store and
// starts them. Failing after any step is safe: an unused reservation expires, and an
// attempt that is committed but not started is found by the audit.
func (p *planner) place(ctx context.Context, node string, spec model.JobSpec, refs []worker.Ref, checkpoints map[worker.Ref]string) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pendingReservations--
		for _, ref := range refs {
			delete(p.reserving, ref)
		}
	}()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reserved, err := p.leader.cluster.Reserve(callCtx, node, refs, vms.TaskRequirements{PerTask: spec.PerTask, Zones: spec.Zones, Urgent: spec.Urgent})
	if err != nil || len(reserved) < len(refs) {
		p.mu.Lock()
		p.noCapacityUntil[node] = time.Now().Add(noCapacityDelay)
		p.mu.Unlock()
	}
	if err != nil || len(reserved) == 0 {
		return
	}
	placed := p.commitPlaces(callCtx, reserved)
	if len(placed) == 0 {
		return
	}
	for i := range placed {
		placed[i].Checkpoint = checkpoints[placed[i].Ref]
	}
	refused, err := p.leader.cluster.Start(callCtx, node, placed, spec.DurationMS)
	if err != nil {
		// The response was lost; the audit finds out whether the attempts run.
		return
	}
	p.recordEnds(ctx, refused, vms.EndRefused)
}

// commitPlaces commits reserved attempts and returns those that are committed.
func (p *planner) commitPlaces(ctx context.Context, reserved []vms.Attempt) []vms.Attempt {
	var placed []vms.Attempt
	err := p.leader.do(ctx, func(s *State) ([]Op, error) {
		var ops []Op
		for _, a := range reserved {
			key, index, _ := parseTask(a.Task)
			j := s.Jobs[key]
			if j == nil || j.Cancelled || j.Tasks[index].State != Queued || j.Tasks[index].Attempt != a.Attempt-1 {
				continue
			}
			ops = append(ops, Op{Kind: OpPlace, Job: key, Index: index, Attempt: a.Attempt, VM: a.VM})
			placed = append(placed, a)
		}
		return ops, nil
	})
	if err != nil {
		return nil
	}
	return placed
}

func (p *planner) recordEnds(ctx context.Context, attempts []vms.Attempt, end vms.End) {
	if len(attempts) == 0 {
		return
	}
	now := time.Now()
	_ = p.leader.do(ctx, func(*State) ([]Op, error) {
		var ops []Op
		for _, a := range attempts {
			if key, index, ok := parseTask(a.Task); ok {
				if end != "" {
					a.End = end
				}
				ops = append(ops, endOp(key, index, a, now))
			}
		}
		return ops, nil
	})
}

// stop asks the owners of the attempts' VMs to stop them. An attempt missed here is
// stopped when its VM's owner reports it.
func (p *planner) stop(attempts []vms.Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	go func() {
		defer cancel()
		byNode, _ := p.byOwner(attempts, time.Now())
		for node, list := range byNode {
			_ = p.leader.cluster.Stop(ctx, node, list, false)
		}
	}()
}

// auditLoop audits unreported attempts. It finds those whose start was lost, whose
// VM's owner died, or whose VM is gone.
func (p *planner) auditLoop(ctx context.Context) {
	pause.Every(ctx, auditInterval, func() {
		var unheard []vms.Attempt
		if p.leader.Read(ctx, func(s *State) { unheard = p.unreported(s, time.Now()) }) != nil {
			// The shard's leadership ended, and with it ctx.
			return
		}
		byNode, gone := p.byOwner(unheard, time.Now())
		p.recordEnds(ctx, gone, vms.EndLost)
		for node, list := range byNode {
			p.audit(ctx, node, list)
		}
	})
}

func (p *planner) audit(ctx context.Context, node string, list []vms.Attempt) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ended, notOwned, err := p.leader.cluster.Audit(callCtx, node, list)
	if err != nil {
		return
	}
	p.recordEnds(ctx, ended, "")
	notOwnedVMs := map[string]bool{}
	for _, vm := range notOwned {
		notOwnedVMs[vm] = true
	}
	now := time.Now()
	for _, a := range list {
		if !notOwnedVMs[a.VM] {
			p.recordReport(a.Ref, now)
		}
	}
	for _, a := range ended {
		p.forgetReport(a.Ref)
	}
}

func (p *planner) forgetReport(ref worker.Ref) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lastReport, ref)
}

// unreported returns the placed attempts without a report within reportTimeout.
func (p *planner) unreported(s *State, now time.Time) []vms.Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []vms.Attempt
	for key, j := range s.Jobs {
		if j.EndedMS != 0 {
			continue
		}
		for i, t := range j.Tasks {
			if t.State != Placed {
				continue
			}
			a := attemptOf(key, i, t)
			if now.Sub(p.lastReport[a.Ref]) >= reportTimeout {
				list = append(list, a)
			}
		}
	}
	return list
}

// byOwner groups attempts by the node that owns their VM. gone holds the attempts
// whose VM has been off the platform's list for longer than a task can run without an
// owner.
func (p *planner) byOwner(attempts []vms.Attempt, now time.Time) (byNode map[string][]vms.Attempt, gone []vms.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byNode = map[string][]vms.Attempt{}
	for _, a := range attempts {
		node, listed, known := p.leader.cluster.Owner(a.VM)
		switch {
		case known:
			byNode[node] = append(byNode[node], a)
		case listed:
		case p.unlistedSince[a.Ref].IsZero():
			p.unlistedSince[a.Ref] = now
		case now.Sub(p.unlistedSince[a.Ref]) > unlistedTimeout:
			gone = append(gone, a)
		}
		if listed {
			delete(p.unlistedSince, a.Ref)
		}
	}
	return byNode, gone
}
