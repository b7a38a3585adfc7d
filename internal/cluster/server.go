package cluster

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/jobs"
	pb "github.com/rattanwall/rattanwall/internal/peer"
	"github.com/rattanwall/rattanwall/internal/vms"
)

// Server serves the calls of peers: it is the receiving side of Cluster.
type Server struct{ *Cluster }

var _ pb.Peer = Server{}

// errNotOwner is the error of a call to a node that does not own the shard.
var errNotOwner = twirp.NewError(twirp.FailedPrecondition, string(errkind.NotOwner))

// Exchange implements pb.Peer.
func (s Server) Exchange(_ context.Context, in *pb.NodeState) (*pb.NodeState, error) {
	s.recordPeerState(in)
	return s.localState(), nil
}

// Config implements pb.Peer.
func (s Server) Config(context.Context, *pb.ConfigRequest) (*pb.ConfigResponse, error) {
	head, revision, err := s.config.EncodeHead()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &pb.ConfigResponse{Head: head, Revision: revision}, nil
}

// Promise implements pb.Peer.
func (s Server) Promise(_ context.Context, in *pb.PromiseRequest) (*pb.PromiseResponse, error) {
	granted := s.members.Promise(in.Node, time.Duration(in.DurationMs)*time.Millisecond)
	out := &pb.PromiseResponse{Granted: granted}
	if !granted {
		out.Reason = "this node reaches the store"
	}
	return out, nil
}

// Acting implements pb.Peer.
func (s Server) Acting(_ context.Context, in *pb.ActingRequest) (*pb.ActingResponse, error) {
	out := &pb.ActingResponse{}
	for _, shard := range in.Shards {
		if _, ok := s.members.Epoch(shard); ok {
			out.Shards = append(out.Shards, shard)
		}
	}
	return out, nil
}

// Reserve implements pb.Peer.
func (s Server) Reserve(_ context.Context, in *pb.ReserveRequest) (*pb.ReserveResponse, error) {
	reserved := s.vms.Reserve(refsFromWire(in.Attempts), vms.TaskRequirements{PerTask: fromAmount(in.PerTask), Zones: in.Zones, Urgent: in.Urgent})
	return &pb.ReserveResponse{Attempts: toWire(reserved)}, nil
}

// Start implements pb.Peer.
func (s Server) Start(ctx context.Context, in *pb.StartRequest) (*pb.StartResponse, error) {
	refused := s.vms.Start(ctx, fromWire(in.Attempts), in.DurationMs)
	return &pb.StartResponse{Refused: toWire(refused)}, nil
}

// Stop implements pb.Peer.
func (s Server) Stop(ctx context.Context, in *pb.StopRequest) (*pb.StopResponse, error) {
	s.vms.Stop(ctx, fromWire(in.Attempts), in.Checkpoint)
	return &pb.StopResponse{}, nil
}

// Audit implements pb.Peer.
func (s Server) Audit(_ context.Context, in *pb.AuditRequest) (*pb.AuditResponse, error) {
	ended, notOwned := s.vms.Audit(fromWire(in.Attempts))
	return &pb.AuditResponse{Ended: toWire(ended), NotOwned: notOwned}, nil
}

// Report implements pb.Peer.
func (s Server) Report(ctx context.Context, in *pb.ReportRequest) (*pb.ReportResponse, error) {
	if len(in.Attempts) == 0 {
		return &pb.ReportResponse{}, nil
	}
	leader, err := s.jobs.Leader(jobs.ShardOfTask(in.Attempts[0].Task))
	if err != nil {
		return nil, errNotOwner
	}
	obsolete, err := leader.Report(ctx, fromWire(in.Attempts))
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, string(errkind.From(err).Kind)), err)
	}
	return &pb.ReportResponse{Obsolete: toWire(attemptsFromRefs(obsolete))}, nil
}

// Job implements pb.Peer.
func (s Server) Job(ctx context.Context, in *pb.JobRequest) (*pb.JobResponse, error) {
	leader, err := s.jobs.Leader(in.Shard)
	if err != nil {
		return nil, errNotOwner
	}
	body, err := handleJobCall(ctx, leader, in.Verb, in.Body)
	if err != nil {
		e := errkind.From(err)
		return &pb.JobResponse{ErrorKind: string(e.Kind), ErrorMessage: e.Message}, nil
	}
	return &pb.JobResponse{Body: body}, nil
}
