package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/jobs"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/ownership"
	pb "github.com/rattanwall/rattanwall/internal/peer"
	"github.com/rattanwall/rattanwall/internal/vms"
	"github.com/rattanwall/rattanwall/internal/worker"
)

func toWire(attempts []vms.Attempt) []*pb.Attempt {
	wire := make([]*pb.Attempt, len(attempts))
	for i, a := range attempts {
		wire[i] = &pb.Attempt{Task: a.Task, Attempt: a.Attempt, Vm: a.VM, End: string(a.End), Checkpoint: a.Checkpoint}
	}
	return wire
}

func fromWire(wire []*pb.Attempt) []vms.Attempt {
	attempts := make([]vms.Attempt, len(wire))
	for i, a := range wire {
		attempts[i] = vms.Attempt{
			Ref: worker.Ref{Task: a.Task, Attempt: a.Attempt}, VM: a.Vm, End: vms.End(a.End), Checkpoint: a.Checkpoint,
		}
	}
	return attempts
}

func refsFromWire(wire []*pb.Attempt) []worker.Ref {
	refs := make([]worker.Ref, len(wire))
	for i, a := range wire {
		refs[i] = worker.Ref{Task: a.Task, Attempt: a.Attempt}
	}
	return refs
}

func attemptsFromRefs(refs []worker.Ref) []vms.Attempt {
	attempts := make([]vms.Attempt, len(refs))
	for i, r := range refs {
		attempts[i] = vms.Attempt{Ref: r}
	}
	return attempts
}

// peerByID returns a live node, or an error of kind NoOwner.
func (c *Cluster) peerByID(id string) (ownership.Node, error) {
	n, ok := c.members.Nodes()[id]
	if !ok {
		return n, errkind.New(errkind.NoOwner, fmt.Sprintf("node %s is gone", id), nil)
	}
	return n, nil
}

// Offers implements jobs.Cluster.
func (c *Cluster) Offers() []jobs.Offer {
	self := c.members.Self()
	var offers []jobs.Offer
	if summary := c.vms.Summary(); summary.VMs > 0 {
		offers = append(offers, jobs.Offer{Node: c.node, Zone: self.Zone, Free: summary.Free})
	}
	c.forEachFreshPeer(func(n ownership.Node, s *pb.NodeState) {
		if s.Vms > 0 {
			offers = append(offers, jobs.Offer{Node: n.ID, Zone: n.Zone, Free: fromAmount(s.Free)})
		}
	})
	return offers
}

// Owner implements jobs.Cluster.
func (c *Cluster) Owner(name string) (node string, listed, known bool) {
	vm, listed := c.vms.Lookup(name)
	if !listed {
		return "", false, false
	}
	owner, known := c.members.OwnerOf(vms.ShardOf(vm).Key)
	return owner.ID, true, known
}

// FitsNowhere implements jobs.Cluster.
func (c *Cluster) FitsNowhere(spec model.JobSpec) string {
	all := c.vms.List()
	if len(all) == 0 {
		return ""
	}
	zones := map[string]bool{}
	for _, z := range spec.Zones {
		zones[z] = true
	}
	inZone, cpu, memory, accelerators := 0, 0, 0, 0
	for _, vm := range all {
		if len(zones) > 0 && !zones[vm.Zone] {
			continue
		}
		inZone++
		if spec.PerTask.FitsIn(vm.Capacity) {
			return ""
		}
		cpu += boolToInt(spec.PerTask.MilliCPU > vm.Capacity.MilliCPU)
		memory += boolToInt(spec.PerTask.MemoryMB > vm.Capacity.MemoryMB)
		accelerators += boolToInt(spec.PerTask.Accelerators > vm.Capacity.Accelerators)
	}
	return fmt.Sprintf("of %d VMs %d are in its availability zones; of these %d have too few processors, %d too little memory, %d too few accelerators",
		len(all), inZone, cpu, memory, accelerators)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Reserve implements jobs.Cluster.
func (c *Cluster) Reserve(ctx context.Context, node string, refs []worker.Ref, req vms.TaskRequirements) ([]vms.Attempt, error) {
	if node == c.node {
		return c.vms.Reserve(refs, req), nil
	}
	n, err := c.peerByID(node)
	if err != nil {
		return nil, err
	}
	resp, err := c.peerClient(n).Reserve(ctx, &pb.ReserveRequest{
		Attempts: toWire(attemptsFromRefs(refs)), PerTask: toAmount(req.PerTask), Zones: req.Zones, Urgent: req.Urgent,
	})
	if err != nil {
		return nil, callError(err)
	}
	return fromWire(resp.Attempts), nil
}

// Start implements jobs.Cluster.
func (c *Cluster) Start(ctx context.Context, node string, attempts []vms.Attempt, durationMS int64) ([]vms.Attempt, error) {
	if node == c.node {
		return c.vms.Start(ctx, attempts, durationMS), nil
	}
	n, err := c.peerByID(node)
	if err != nil {
		return nil, err
	}
	resp, err := c.peerClient(n).Start(ctx, &pb.StartRequest{Attempts: toWire(attempts), DurationMs: durationMS})
	if err != nil {
		return nil, callError(err)
	}
	return fromWire(resp.Refused), nil
}

// Stop implements jobs.Cluster.
func (c *Cluster) Stop(ctx context.Context, node string, attempts []vms.Attempt, checkpoint bool) error {
	if node == c.node {
		c.vms.Stop(ctx, attempts, checkpoint)
		return nil
	}
	n, err := c.peerByID(node)
	if err != nil {
		return err
	}
	_, err = c.peerClient(n).Stop(ctx, &pb.StopRequest{Attempts: toWire(attempts), Checkpoint: checkpoint})
	return callError(err)
}

// Audit implements jobs.Cluster.
func (c *Cluster) Audit(ctx context.Context, node string, attempts []vms.Attempt) (ended []vms.Attempt, notOwned []string, err error) {
	if node == c.node {
		ended, notOwned = c.vms.Audit(attempts)
		return ended, notOwned, nil
	}
	n, err := c.peerByID(node)
	if err != nil {
		return nil, nil, err
	}
	resp, err := c.peerClient(n).Audit(ctx, &pb.AuditRequest{Attempts: toWire(attempts)})
	if err != nil {
		return nil, nil, callError(err)
	}
	return fromWire(resp.Ended), resp.NotOwned, nil
}

// reportTimeout limits one report to a job shard's leader.
const reportTimeout = 3 * time.Second

// Report implements vms.Reporter. It sends each report to the leader of the task's job
// shard; reports that a leader did not acknowledge are sent again later.
func (c *Cluster) Report(ctx context.Context, attempts []vms.Attempt) (recorded, obsolete []worker.Ref) {
	byShard := map[string][]vms.Attempt{}
	for _, a := range attempts {
		shard := jobs.ShardOfTask(a.Task)
		byShard[shard] = append(byShard[shard], a)
	}
	for shard, list := range byShard {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		obsoleteRefs, err := c.reportToLeader(callCtx, shard, list)
		cancel()
		if err != nil {
			continue
		}
		obsolete = append(obsolete, obsoleteRefs...)
		for _, a := range list {
			if a.End != "" {
				recorded = append(recorded, a.Ref)
			}
		}
	}
	return recorded, obsolete
}

func (c *Cluster) reportToLeader(ctx context.Context, shard string, list []vms.Attempt) ([]worker.Ref, error) {
	if leader, err := c.jobs.Leader(shard); err == nil {
		return leader.Report(ctx, list)
	}
	n, ok := c.members.OwnerOf(shard)
	if !ok || n.ID == c.node {
		return nil, errkind.New(errkind.NoOwner, "", nil)
	}
	resp, err := c.peerClient(n).Report(ctx, &pb.ReportRequest{Attempts: toWire(list)})
	if err != nil {
		return nil, callError(err)
	}
	return refsFromWire(resp.Obsolete), nil
}

// Verbs of a job call.
const (
	VerbSubmit = "submit"
	VerbCancel = "cancel"
	VerbList   = "list"
	VerbGet    = "get"
)

const (
	// jobCallTimeout limits one attempt of a job call.
	jobCallTimeout = 4 * time.Second
	// maxJobCallRetries and jobCallRetryDelay cover the time in which a job shard
	// changes its owner.
	maxJobCallRetries = 10
	jobCallRetryDelay = 150 * time.Millisecond
)

// Job sends a call to the leader of a team's job shard and returns its response. It
// retries while ownership moves; a repeated submit or cancel is recognised by the
// leader.
func (c *Cluster) Job(ctx context.Context, team, verb string, body any) (json.RawMessage, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	shard := jobs.ShardOfTeam(team)
	uncertain := false
	for retries := 0; ; retries++ {
		resp, err := c.tryJobCall(ctx, shard, verb, raw)
		connectionLost := errkind.Is(err, errkind.ConnectionLost)
		uncertain = uncertain || connectionLost
		retryable := connectionLost || errkind.Is(err, errkind.NotOwner) || errkind.Is(err, errkind.NoOwner)
		if !retryable {
			return resp, err
		}
		if retries == maxJobCallRetries || ctx.Err() != nil {
			if uncertain {
				// An earlier attempt may have taken effect.
				err = errkind.New(errkind.StoreUnknown, "repeat the call, it is recognised", err)
			}
			return nil, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(jobCallRetryDelay):
		}
	}
}

func (c *Cluster) tryJobCall(ctx context.Context, shard, verb string, body []byte) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	if leader, err := c.jobs.Leader(shard); err == nil {
		return handleJobCall(ctx, leader, verb, body)
	}
	n, ok := c.members.OwnerOf(shard)
	if !ok || n.ID == c.node {
		return nil, errkind.New(errkind.NoOwner, "no node leads the team's job shard now", nil)
	}
	resp, err := c.peerClient(n).Job(ctx, &pb.JobRequest{Shard: shard, Verb: verb, Body: body})
	if err != nil {
		if e := callError(err); errkind.Is(e, errkind.NotOwner) {
			return nil, e
		}
		return nil, errkind.New(errkind.ConnectionLost, "the job shard's owner did not answer", err)
	}
	if resp.ErrorKind != "" {
		return nil, errkind.New(errkind.Kind(resp.ErrorKind), resp.ErrorMessage, nil)
	}
	return resp.Body, nil
}

// handleJobCall executes a job call at the leader.
func handleJobCall(ctx context.Context, leader *jobs.Leader, verb string, body []byte) (json.RawMessage, error) {
	switch verb {
	case VerbSubmit:
		var spec model.JobSpec
		if err := json.Unmarshal(body, &spec); err != nil {
			return nil, errkind.New(errkind.InvalidRequest, "job", err)
		}
		return nil, leader.Submit(ctx, spec)
	case VerbCancel:
		var key string
		if err := json.Unmarshal(body, &key); err != nil {
			return nil, errkind.New(errkind.InvalidRequest, "job", err)
		}
		return nil, leader.Cancel(ctx, key)
	case VerbList, VerbGet:
		var key string
		if err := json.Unmarshal(body, &key); err != nil {
			return nil, errkind.New(errkind.InvalidRequest, "job", err)
		}
		return readJobs(ctx, leader, verb, key)
	}
	return nil, errkind.New(errkind.InvalidRequest, "no such call "+verb, nil)
}

// readJobs returns one job by its key, or all jobs of a team.
func readJobs(ctx context.Context, leader *jobs.Leader, verb, key string) (json.RawMessage, error) {
	var found []jobs.Info
	var totals jobs.Totals
	err := leader.Read(ctx, func(s *jobs.State) {
		totals = s.Totals
		for k, j := range s.Jobs {
			if k == key || verb == VerbList && j.Spec.Team == key {
				found = append(found, jobs.InfoOf(j, verb == VerbGet))
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if verb == VerbGet {
		if len(found) == 0 {
			return nil, errkind.New(errkind.NotFound, "no such job", nil)
		}
		return json.Marshal(found[0])
	}
	jobs.SortInfos(found)
	return json.Marshal(jobs.Listing{Jobs: found, Totals: totals})
}
