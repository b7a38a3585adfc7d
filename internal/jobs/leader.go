package jobs

import (
	"context"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/hosting"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/vms"
	"github.com/rattanwall/rattanwall/internal/worker"
)

// Offer is the free capacity for tasks that a node last reported.
type Offer struct {
	Node string
	Zone string
	Free model.Resources
}

// Cluster gives a shard leader access to the nodes that own VMs.
type Cluster interface {
	// Offers returns the last reported free capacity of each node.
	Offers() []Offer
	// Owner returns the node that owns a VM. listed is false when the platform's list
	// lacks the VM; known is false when no live node owns it.
	Owner(vm string) (node string, listed, known bool)
	// FitsNowhere returns why no VM can ever run a task of the job, or "" if one can.
	FitsNowhere(spec model.JobSpec) string
	Reserve(ctx context.Context, node string, refs []worker.Ref, req vms.TaskRequirements) ([]vms.Attempt, error)
	Start(ctx context.Context, node string, attempts []vms.Attempt, durationMS int64) ([]vms.Attempt, error)
	Stop(ctx context.Context, node string, attempts []vms.Attempt, checkpoint bool) error
	Audit(ctx context.Context, node string, attempts []vms.Attempt) (ended []vms.Attempt, notOwned []string, err error)
}

const (
	// maxBatch bounds the commands committed with one log entry.
	maxBatch = 256
	// planInterval is the longest time between two passes over the queue.
	planInterval = 100 * time.Millisecond
	// maxEndedJobs is how many ended jobs a shard keeps.
	maxEndedJobs = 200
	// maxOpenTasks bounds the tasks of a shard's open jobs, so that its snapshot
	// stays far below the store's maximum value size.
	maxOpenTasks = 20_000
)

// command is a request executed by the leader's loop.
type command struct {
	// ops returns the operations to commit; on an error none is committed.
	ops func(s *State) ([]Op, error)
	// done is called with nil once the operations are committed, or with the error.
	done func(error)
}

// Leader is the only writer of one shard while this node owns it.
type Leader struct {
	shard   string
	node    string
	log     log
	cluster Cluster
	config  func() *config.Installed
	// isLeader reports whether the node may still act for the shard.
	isLeader func() bool
	logger   *logrus.Entry

	commands chan command
	stopped  chan struct{}
	planner  *planner

	// state is accessed only by the loop's goroutine.
	state *State
}

func newLeader(shard, node string, store hosting.Store, cluster Cluster, cfg func() *config.Installed, leads func() bool, logger *logrus.Entry) *Leader {
	l := &Leader{
		shard: shard, node: node, cluster: cluster, config: cfg, isLeader: leads, logger: logger.WithField("shard", shard),
		log:      log{store: store, prefix: "jobs/" + shard + "/"},
		commands: make(chan command, maxBatch), stopped: make(chan struct{}),
	}
	l.planner = newPlanner(l)
	return l
}

// run leads the shard until ctx ends or another node takes over.
func (l *Leader) run(ctx context.Context) {
	defer close(l.stopped)
	if !l.takeOver(ctx) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.logger.WithField("jobs", len(l.state.Jobs)).Info("leading job shard")
	go l.planner.auditLoop(ctx)
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		var batch []command
		select {
		case <-ctx.Done():
			return
		case c := <-l.commands:
			batch = l.collectBatch(c)
		case <-ticker.C:
		}
		if err := l.process(ctx, batch); err != nil {
			l.logger.WithError(err).Info("no longer leading job shard")
			return
		}
		l.planner.plan(ctx, l.state)
	}
}

// takeOver loads the shard and writes the entry that fences off earlier leaders.
func (l *Leader) takeOver(ctx context.Context) bool {
	for ctx.Err() == nil {
		state, err := l.log.load(ctx)
		if err == nil {
			if l.log.snapshotOverdue() {
				err = l.log.writeSnapshot(ctx, state)
			}
			if err == nil {
				err = l.log.append(ctx, []Op{{Kind: OpLead, Node: l.node}})
			}
		}
		if err == nil {
			l.state = state
			l.planner.adopt(state, time.Now())
			return true
		}
		l.logger.WithError(err).Warn("failed to take over job shard; retrying")
		pause.For(ctx, commitRetryDelay)
	}
	return false
}

// collectBatch adds the commands that are already queued, so that they share one
// entry.
func (l *Leader) collectBatch(first command) []command {
	batch := []command{first}
	for len(batch) < maxBatch {
		select {
		case c := <-l.commands:
			batch = append(batch, c)
		default:
			return batch
		}
	}
	return batch
}

// process applies a batch, commits it with one entry and completes its commands.
// After an error the state in memory is ahead of the store and the leader must stop.
func (l *Leader) process(ctx context.Context, batch []command) error {
	var ops []Op
	var waiting []command
	for _, c := range batch {
		proposed, err := c.ops(l.state)
		if err != nil || len(proposed) == 0 {
			c.done(l.uncommittedResult(err))
			continue
		}
		applied := l.applyAll(proposed)
		ops = append(ops, applied...)
		waiting = append(waiting, c)
	}
	for _, key := range l.state.Forgettable(maxEndedJobs) {
		ops = append(ops, l.applyAll([]Op{{Kind: OpForget, Job: key}})...)
	}
	if len(ops) == 0 {
		for _, c := range waiting {
			c.done(l.uncommittedResult(nil))
		}
		return nil
	}
	err := l.commit(ctx, ops)
	for _, c := range waiting {
		c.done(err)
	}
	return err
}

// uncommittedResult returns the result of a command for which nothing is committed.
// Only a commit proves that no other node leads. Without this check, a leader that
// resumes after a pause could confirm the end of an attempt that it does not know as
// recorded, or report an existing job as missing.
func (l *Leader) uncommittedResult(err error) error {
	if !l.isLeader() {
		return ErrSuperseded
	}
	return err
}

// applyAll applies the operations that the state accepts and returns them.
func (l *Leader) applyAll(ops []Op) []Op {
	applied := ops[:0:0]
	for _, op := range ops {
		if err := l.state.Apply(op); err == nil {
			applied = append(applied, op)
			l.planner.recordOp(op)
		}
	}
	return applied
}

// commit writes an entry, and a snapshot when one is due. It blocks while the store
// is unavailable: running tasks continue, and waiting callers time out with an
// unknown outcome.
func (l *Leader) commit(ctx context.Context, ops []Op) error {
	if err := l.log.append(ctx, ops); err != nil {
		return err
	}
	for l.log.snapshotDue() && ctx.Err() == nil {
		err := l.log.writeSnapshot(ctx, l.state)
		if errors.Is(err, ErrSuperseded) {
			return err
		}
		if err == nil || !l.log.snapshotOverdue() {
			break
		}
		l.logger.WithError(err).Warn("failed to write snapshot of job shard; the log ring is full, retrying")
		pause.For(ctx, commitRetryDelay)
	}
	return ctx.Err()
}

// do runs ops in the loop and returns once they are committed. If ctx ends first, the
// outcome is unknown.
func (l *Leader) do(ctx context.Context, ops func(s *State) ([]Op, error)) error {
	result := make(chan error, 1)
	c := command{ops: ops, done: func(err error) { result <- err }}
	select {
	case l.commands <- c:
	case <-l.stopped:
		return errkind.New(errkind.NotOwner, "", nil)
	case <-ctx.Done():
		// The command was not accepted, so it is certainly not executed.
		return errkind.New(errkind.StoreUnavailable, "the job shard waits for the store", ctx.Err())
	}
	select {
	case err := <-result:
		return commandError(err)
	case <-l.stopped:
		select {
		case err := <-result:
			return commandError(err)
		default:
			return errkind.New(errkind.StoreUnknown, "the job shard changed hands meanwhile", nil)
		}
	case <-ctx.Done():
		return errkind.New(errkind.StoreUnknown, "repeat the call, it is recognised", ctx.Err())
	}
}

// commandError maps an error of the state or the log to an errkind error.
func commandError(err error) error {
	var known *errkind.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &known):
		return known
	case errors.Is(err, ErrNoJob):
		return errkind.New(errkind.NotFound, "no such job", nil)
	case errors.Is(err, ErrSuperseded):
		return errkind.New(errkind.NotOwner, "", err)
	}
	return errkind.New(errkind.StoreUnknown, "repeat the call, it is recognised", err)
}

// Submit accepts a job. It is idempotent: submitting an identical job again succeeds.
func (l *Leader) Submit(ctx context.Context, spec model.JobSpec) error {
	if reason := l.cluster.FitsNowhere(spec); reason != "" {
		return errkind.New(errkind.InvalidRequest, "the job can never run: "+reason, nil)
	}
	return l.do(ctx, func(s *State) ([]Op, error) {
		if j := s.Jobs[JobKey(spec.Team, spec.ID)]; j != nil {
			if reflect.DeepEqual(j.Spec, spec) {
				return nil, nil
			}
			return nil, errkind.New(errkind.AlreadyExists, "the team has another job of that id", nil)
		}
		open := spec.Tasks
		for _, j := range s.Jobs {
			if j.EndedMS == 0 {
				open += len(j.Tasks)
			}
		}
		if open > maxOpenTasks {
			return nil, errkind.New(errkind.QuotaExceeded, "too many open tasks in the team's job shard", nil)
		}
		return []Op{{Kind: OpSubmit, Spec: &spec, AtMS: time.Now().UnixMilli()}}, nil
	})
}

// Cancel cancels a job; its running tasks are stopped by the owners of their VMs.
func (l *Leader) Cancel(ctx context.Context, key string) error {
	var placed []vms.Attempt
	err := l.do(ctx, func(s *State) ([]Op, error) {
		j := s.Jobs[key]
		if j == nil {
			return nil, ErrNoJob
		}
		if j.Cancelled || j.EndedMS != 0 {
			return nil, nil
		}
		for i, t := range j.Tasks {
			if t.State == Placed {
				placed = append(placed, attemptOf(key, i, t))
			}
		}
		return []Op{{Kind: OpCancel, Job: key, AtMS: time.Now().UnixMilli()}}, nil
	})
	if err == nil {
		l.planner.stop(placed)
	}
	return err
}

// Report processes the attempts that a VM's owner reports. On success all reported
// ends are recorded and need no further report; the attempts returned as obsolete
// must be stopped.
func (l *Leader) Report(ctx context.Context, attempts []vms.Attempt) (obsolete []worker.Ref, err error) {
	now := time.Now()
	err = l.do(ctx, func(s *State) ([]Op, error) {
		var ops []Op
		for _, a := range attempts {
			key, index, ok := parseTask(a.Task)
			if !ok {
				continue
			}
			if a.End != "" {
				ops = append(ops, endOp(key, index, a, now))
				continue
			}
			if current(s, key, index, a.Attempt) {
				l.planner.recordReport(a.Ref, now)
			} else {
				obsolete = append(obsolete, a.Ref)
			}
		}
		return ops, nil
	})
	return obsolete, err
}

// current reports whether an attempt is the one that should be running.
func current(s *State, key string, index int, attempt int64) bool {
	j := s.Jobs[key]
	if j == nil || index >= len(j.Tasks) || j.Cancelled {
		return false
	}
	t := j.Tasks[index]
	return t.State == Placed && t.Attempt == attempt
}

func endOp(key string, index int, a vms.Attempt, at time.Time) Op {
	return Op{
		Kind: OpEnd, Job: key, Index: index, Attempt: a.Attempt, End: a.End,
		Checkpoint: a.Checkpoint, AtMS: at.UnixMilli(),
	}
}

// Read calls f in the loop with the committed state.
func (l *Leader) Read(ctx context.Context, f func(s *State)) error {
	return l.do(ctx, func(s *State) ([]Op, error) {
		f(s)
		return nil, nil
	})
}
