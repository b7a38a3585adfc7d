package edge

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/entry"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/scheduling"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// peerServer answers the other processes of the deployment. Only a leader knows
// of jobs.
type peerServer struct {
	leader *leader.Leader
	store  durable.Store
}

var _ scheduling.Scheduling = (*peerServer)(nil)

var errNotLeading = twirp.NewError(twirp.FailedPrecondition, "this process does not lead")

func (p *peerServer) JobState(_ context.Context, r *scheduling.JobStateRequest) (*scheduling.JobStateResponse, error) {
	state, known, leading := p.leader.State(r.GetId())
	if !leading {
		return nil, errNotLeading
	}
	return &scheduling.JobStateResponse{Known: known, State: string(state)}, nil
}

func (p *peerServer) QueueState(_ context.Context, r *scheduling.QueueStateRequest) (*scheduling.QueueStateResponse, error) {
	n, leading := p.leader.Waiting(r.GetQueue())
	if !leading {
		return nil, errNotLeading
	}
	return &scheduling.QueueStateResponse{Waiting: int64(n)}, nil
}

func (p *peerServer) Announce(_ context.Context, r *scheduling.SubmitRequest) (*scheduling.SubmitResponse, error) {
	if !p.leader.Announced(leader.JobKey(r.GetId()), r.GetRecord()) {
		return nil, errNotLeading
	}
	return &scheduling.SubmitResponse{}, nil
}

func (p *peerServer) AnnounceCancel(_ context.Context, r *scheduling.CancelRequest) (*scheduling.CancelResponse, error) {
	if !p.leader.Announced(leader.CancelKey(r.GetId()), nil) {
		return nil, errNotLeading
	}
	return &scheduling.CancelResponse{Known: true}, nil
}

func (p *peerServer) Submit(ctx context.Context, r *scheduling.SubmitRequest) (*scheduling.SubmitResponse, error) {
	if err := entry.Create(ctx, p.store, leader.JobKey(r.GetId()), r.GetRecord()); err != nil {
		return nil, outcome(err)
	}
	return &scheduling.SubmitResponse{}, nil
}

func (p *peerServer) Cancel(ctx context.Context, r *scheduling.CancelRequest) (*scheduling.CancelResponse, error) {
	known, err := entry.StoreCancel(ctx, p.store, r.GetId())
	if err != nil {
		return nil, outcome(err)
	}
	return &scheduling.CancelResponse{Known: known}, nil
}

// outcome tells the asker whether anything may have been written: "unavailable"
// says that nothing was.
func outcome(err error) error {
	if errors.Is(err, durable.ErrUnknown) || !errors.Is(err, durable.ErrRefused) {
		return twirp.NewError(twirp.Unknown, err.Error())
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}

// peers asks the leader, wherever it is.
type peers struct {
	self     string
	election *leader.Election
	local    *peerServer
	client   *http.Client

	// answeredAt is when the leader last answered, on the steady clock; 0 for never.
	answeredAt atomic.Int64

	mu      sync.Mutex
	address string
	remote  scheduling.Scheduling
}

var _ entry.Peers = (*peers)(nil)

// errNoLeader: nobody is known to lead; nothing was asked.
var errNoLeader = errors.Mark(errors.New("no leader is known"), durable.ErrRefused)

func (p *peers) leader() (scheduling.Scheduling, error) {
	record, ok := p.election.Leader()
	switch {
	case !ok:
		return nil, errNoLeader
	case record.Address == p.self:
		return p.local, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != record.Address {
		p.address = record.Address
		p.remote = scheduling.NewSchedulingProtobufClient("http://"+record.Address, p.client)
	}
	return p.remote, nil
}

// answered reports whether the leader has answered within the last d.
func (p *peers) answered(d time.Duration) bool {
	at := time.Duration(p.answeredAt.Load())
	return at > 0 && steady.Now()-at < d
}

// note notes an answer of the leader.
func (p *peers) note(err error) {
	if err == nil {
		p.answeredAt.Store(int64(steady.Now()))
	}
}

// State implements entry.Peers.
func (p *peers) State(ctx context.Context, id string) (batch.State, bool, error) {
	l, err := p.leader()
	if err != nil {
		return "", false, err
	}
	r, err := l.JobState(ctx, &scheduling.JobStateRequest{Id: id})
	p.note(err)
	if err != nil {
		return "", false, err
	}
	return batch.State(r.GetState()), r.GetKnown(), nil
}

// Waiting implements entry.Peers.
func (p *peers) Waiting(ctx context.Context, queue string) (int, error) {
	l, err := p.leader()
	if err != nil {
		return 0, err
	}
	r, err := l.QueueState(ctx, &scheduling.QueueStateRequest{Queue: queue})
	if err != nil {
		return 0, err
	}
	return int(r.GetWaiting()), nil
}

// Submit implements entry.Peers.
func (p *peers) Submit(ctx context.Context, id string, record []byte) error {
	l, err := p.remoteLeader()
	if err != nil {
		return err
	}
	_, err = l.Submit(ctx, &scheduling.SubmitRequest{Id: id, Record: record})
	p.note(err)
	return storeOutcome(err)
}

// Cancel implements entry.Peers.
func (p *peers) Cancel(ctx context.Context, id string) (bool, error) {
	l, err := p.remoteLeader()
	if err != nil {
		return false, err
	}
	r, err := l.Cancel(ctx, &scheduling.CancelRequest{Id: id})
	return r.GetKnown(), storeOutcome(err)
}

// Announce implements entry.Peers.
func (p *peers) Announce(ctx context.Context, id string, record []byte) error {
	l, err := p.leader()
	if err != nil {
		return err
	}
	if record == nil {
		_, err = l.AnnounceCancel(ctx, &scheduling.CancelRequest{Id: id})
	} else {
		_, err = l.Announce(ctx, &scheduling.SubmitRequest{Id: id, Record: record})
	}
	return err
}

// remoteLeader is the leader's way to the store; a leader has tried its own already.
func (p *peers) remoteLeader() (scheduling.Scheduling, error) {
	l, err := p.leader()
	if err == nil && l == scheduling.Scheduling(p.local) {
		return nil, errNoLeader
	}
	return l, err
}

// storeOutcome turns an answer of the leader into an outcome of the store.
func storeOutcome(err error) error {
	var te twirp.Error
	if err == nil {
		return nil
	}
	if errors.As(err, &te) && te.Code() == twirp.Unavailable {
		return errors.Mark(err, durable.ErrRefused)
	}
	return errors.Mark(err, durable.ErrUnknown)
}
