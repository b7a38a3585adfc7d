package edge

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/entry"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/relay"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/scheduling"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// peerServer serves the other processes of the deployment. Only the leader can answer calls
// about jobs.
type peerServer struct {
	node          string
	leader        *leader.Leader
	election      *leader.Election
	entry         *entry.Entry
	relays        *relay.Pool
	config        *configuration
	evacuations   *evacuations
	peerAddresses *peerAddresses
	// lookUpConfig reads the configuration from the store if its confirmation is older than
	// maxAge.
	lookUpConfig func(ctx context.Context, maxAge, timeout time.Duration) bool
}

var _ scheduling.Scheduling = (*peerServer)(nil)

var errNotLeading = twirp.NewError(twirp.FailedPrecondition, "this process does not lead")

func (p *peerServer) JobState(ctx context.Context, r *scheduling.JobStateRequest) (*scheduling.JobStateResponse, error) {
	state, known, leading := p.leader.State(r.GetId())
	if !leading {
		return nil, errNotLeading
	}
	resp := &scheduling.JobStateResponse{Known: known, State: string(state)}
	if r.GetForecast() {
		f, age := p.leader.Forecast()
		resp.Forecast = encodeForecast(f, age)
	}
	if r.GetRefusal() {
		revision, err := p.entry.RefusalRevisionForPeer(ctx, r.GetId())
		resp.RefusalRead, resp.RefusalRevision = err == nil, revision
	}
	return resp, nil
}

func (p *peerServer) QueueState(_ context.Context, r *scheduling.QueueStateRequest) (*scheduling.QueueStateResponse, error) {
	n, leading := p.leader.Waiting(r.GetQueue())
	if !leading {
		return nil, errNotLeading
	}
	return &scheduling.QueueStateResponse{Waiting: int64(n)}, nil
}

func (p *peerServer) Announce(_ context.Context, r *scheduling.SubmitRequest) (*scheduling.SubmitResponse, error) {
	if !p.leader.AcceptAnnouncement(leader.JobKey(r.GetId()), r.GetRecord()) {
		return nil, errNotLeading
	}
	return &scheduling.SubmitResponse{}, nil
}

func (p *peerServer) AnnounceCancel(_ context.Context, r *scheduling.CancelRequest) (*scheduling.CancelResponse, error) {
	if !p.leader.AcceptAnnouncement(leader.CancelKey(r.GetId()), nil) {
		return nil, errNotLeading
	}
	return &scheduling.CancelResponse{Known: true}, nil
}

func (p *peerServer) Submit(ctx context.Context, r *scheduling.SubmitRequest) (*scheduling.SubmitResponse, error) {
	if err := p.entry.CreateForPeer(ctx, r.GetId(), r.GetRecord(), entry.Guard{Active: r.GetGuarded(), Revision: r.GetRefusalRevision()}); err != nil {
		return nil, toTwirpError(err)
	}
	return &scheduling.SubmitResponse{}, nil
}

func (p *peerServer) Cancel(ctx context.Context, r *scheduling.CancelRequest) (*scheduling.CancelResponse, error) {
	known, err := p.entry.CancelForPeer(ctx, r.GetId())
	if err != nil {
		return nil, toTwirpError(err)
	}
	return &scheduling.CancelResponse{Known: known}, nil
}

// LeasesLeft implements scheduling.Scheduling. The node name is checked because another process
// at the former leader's address has no record of its leases.
func (p *peerServer) LeasesLeft(_ context.Context, r *scheduling.LeasesLeftRequest) (*scheduling.LeasesLeftResponse, error) {
	if r.GetNode() != p.node {
		return nil, twirp.NotFoundError("this process is " + p.node)
	}
	if r.GetSuccessor() <= r.GetFence() {
		return nil, twirp.InvalidArgumentError("successor", "is not later than the tenure asked about")
	}
	p.election.EndTenuresBefore(r.GetSuccessor())
	report := p.leader.LeasesLeft(r.GetFence(), r.GetVms())
	resp := &scheduling.LeasesLeftResponse{LeftMs: make([]int64, len(report.Remaining)), Remembered: report.Remembered}
	for i := range report.Crashes {
		crash := &report.Crashes[i]
		resp.Crashes = append(resp.Crashes, &scheduling.Crash{
			Job: crash.Task.Job, Occurrence: int64(crash.Task.Occurrence), Step: int64(crash.Task.Step), Index: int64(crash.Task.Index),
			Run: crash.Run, Kind: crash.Kind, Vm: crash.VM, Born: crash.Born,
		})
	}
	for i, d := range report.Remaining {
		// Rounded up: the reported remaining time may be too long but never too short.
		resp.LeftMs[i] = int64((d + time.Millisecond - 1) / time.Millisecond)
	}
	return resp, nil
}

// Offer implements scheduling.Scheduling; it fails unless this process leads.
func (p *peerServer) Offer(_ context.Context, r *scheduling.OfferRequest) (*scheduling.OfferResponse, error) {
	if !p.relays.AddOffer(relay.Offer{Node: r.GetNode(), Address: r.GetAddress(), Zone: r.GetZone(), VMs: max(int(r.GetVms()), 1)}) {
		return nil, errNotLeading
	}
	p.peerAddresses.add(r.GetAddress())
	return &scheduling.OfferResponse{Peers: p.peerAddresses.list(r.GetAddress())}, nil
}

// Config implements scheduling.Scheduling. The response also carries known peers and the
// leader.
func (p *peerServer) Config(ctx context.Context, r *scheduling.ConfigRequest) (*scheduling.ConfigResponse, error) {
	if r.GetWithinMs() > 0 {
		p.lookUpConfig(ctx, time.Duration(r.GetWithinMs())*time.Millisecond, peerLookupTimeout)
	}
	resp := p.config.configResponse(r)
	p.evacuations.addTo(resp, r)
	p.peerAddresses.add(r.GetAddress())
	resp.Peers = p.peerAddresses.list(r.GetAddress())
	record, fence := p.election.LeaderAndFence()
	resp.LeaderNode, resp.LeaderAddress, resp.LeaderFence = record.Node, record.Address, fence
	return resp, nil
}

// predecessorClient queries processes that led earlier tenures.
type predecessorClient struct{ client *http.Client }

var _ leader.Predecessors = (*predecessorClient)(nil)

// LeasesLeft implements leader.Predecessors.
func (p *predecessorClient) LeasesLeft(ctx context.Context, past leader.PastTenure, successor int64, vms []string) (leader.LeaseReport, error) {
	remote := scheduling.NewSchedulingProtobufClient("http://"+past.Address, p.client)
	r, err := remote.LeasesLeft(ctx, &scheduling.LeasesLeftRequest{Node: past.Node, Fence: past.Fence, Successor: successor, Vms: vms})
	if err != nil {
		return leader.LeaseReport{}, err
	}
	report := leader.LeaseReport{Remaining: make([]time.Duration, len(r.GetLeftMs())), Remembered: r.GetRemembered()}
	for i, ms := range r.GetLeftMs() {
		report.Remaining[i] = time.Duration(ms) * time.Millisecond
	}
	for _, crash := range r.GetCrashes() {
		report.Crashes = append(report.Crashes, scheduler.CrashReport{
			Task: batch.TaskID{Job: crash.GetJob(), Occurrence: int(crash.GetOccurrence()), Step: int(crash.GetStep()), Index: int(crash.GetIndex())},
			Run:  crash.GetRun(), Kind: crash.GetKind(), VM: crash.GetVm(), Born: crash.GetBorn(),
		})
	}
	return report, nil
}

// toTwirpError converts a store error to a code that says whether anything may have been
// written: Unavailable means that nothing was.
func toTwirpError(err error) error {
	switch {
	case errors.Is(err, entry.ErrRefusedSince):
		return twirp.NewError(twirp.Aborted, err.Error())
	case errors.Is(err, entry.ErrCancelledBefore):
		return twirp.NewError(twirp.AlreadyExists, err.Error())
	case errors.Is(err, entry.ErrCancelLimit):
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
	if errors.Is(err, durable.ErrUnknown) || !errors.Is(err, durable.ErrRefused) {
		return twirp.NewError(twirp.Unknown, err.Error())
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}

// leaderClient calls the leader, whether that is another process or this one.
type leaderClient struct {
	self     string
	election interface{ Leader() (leader.Record, bool) }
	local    *peerServer
	client   *http.Client

	// forecasts holds what the leader predicts; nil if nothing is refused.
	forecasts *forecasts
	// reachability is that of a remote leader.
	reachability entry.Reachability

	mu      sync.Mutex
	address string
	remote  scheduling.Scheduling
}

var _ entry.Peers = (*leaderClient)(nil)

// errNoLeader is returned if no leader is known; nothing was sent.
var errNoLeader = errors.Mark(errors.New("no leader is known"), durable.ErrRefused)

func (p *leaderClient) leader() (scheduling.Scheduling, error) {
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

// call makes one call to the leader and records whether it responded. An error that wraps
// durable.ErrRefused is certain not to have reached the leader.
func (p *leaderClient) call(ctx context.Context, send func(ctx context.Context) error) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	sentAt := steady.Now()
	err := send(httptrace.WithClientTrace(ctx, trace))
	switch {
	case isLeaderResponse(err):
		p.reachability.RecordResponse()
		return err
	case connected.Load():
		p.reachability.RecordUnanswered(sentAt)
		return err
	default:
		p.reachability.RecordUnanswered(sentAt)
		return errors.Mark(err, durable.ErrRefused)
	}
}

// isLeaderResponse reports whether err is a response from the leader: it is if it has one of
// the codes below.
func isLeaderResponse(err error) bool {
	if err == nil {
		return true
	}
	var te twirp.Error
	if !errors.As(err, &te) {
		return false
	}
	switch te.Code() {
	case twirp.FailedPrecondition, twirp.Unavailable, twirp.Unknown, twirp.Aborted, twirp.AlreadyExists:
		return true
	default:
		return false
	}
}

// State implements entry.Peers.
func (p *leaderClient) State(ctx context.Context, id string) (batch.State, bool, error) {
	l, err := p.leader()
	if err != nil {
		return "", false, err
	}
	var r *scheduling.JobStateResponse
	sentAt := steady.Now()
	err = p.call(ctx, func(ctx context.Context) (err error) {
		r, err = l.JobState(ctx, &scheduling.JobStateRequest{Id: id, Forecast: p.forecasts.wanted(sentAt)})
		return err
	})
	if err != nil {
		return "", false, err
	}
	p.forecasts.set(sentAt, r.GetForecast())
	return batch.State(r.GetState()), r.GetKnown(), nil
}

// errRefusalUnread is returned if the leader does not reach the store either.
var errRefusalUnread = errors.New("the leader can't read the job's refusal")

// RefusalRevision implements entry.Peers.
func (p *leaderClient) RefusalRevision(ctx context.Context, id string) (int64, error) {
	l, err := p.remoteLeader()
	if err != nil {
		return 0, err
	}
	var r *scheduling.JobStateResponse
	err = p.call(ctx, func(ctx context.Context) (err error) {
		r, err = l.JobState(ctx, &scheduling.JobStateRequest{Id: id, Refusal: true})
		return err
	})
	if err == nil && !r.GetRefusalRead() {
		err = errRefusalUnread
	}
	return r.GetRefusalRevision(), err
}

// Waiting implements entry.Peers.
func (p *leaderClient) Waiting(ctx context.Context, queue string) (int, error) {
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
func (p *leaderClient) Submit(ctx context.Context, id string, record []byte, guard entry.Guard) error {
	l, err := p.remoteLeader()
	if err != nil {
		return err
	}
	return toStoreError(p.call(ctx, func(ctx context.Context) error {
		_, err := l.Submit(ctx, &scheduling.SubmitRequest{Id: id, Record: record, Guarded: guard.Active, RefusalRevision: guard.Revision})
		return err
	}))
}

// Cancel implements entry.Peers.
func (p *leaderClient) Cancel(ctx context.Context, id string) (bool, error) {
	l, err := p.remoteLeader()
	if err != nil {
		return false, err
	}
	var r *scheduling.CancelResponse
	err = p.call(ctx, func(ctx context.Context) (err error) {
		r, err = l.Cancel(ctx, &scheduling.CancelRequest{Id: id})
		return err
	})
	return r.GetKnown(), toStoreError(err)
}

// Announce implements entry.Peers.
func (p *leaderClient) Announce(ctx context.Context, id string, record []byte) error {
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

// remoteLeader returns the leader as a path to the store. It fails if this process leads, since
// the leader has already tried its own path.
func (p *leaderClient) remoteLeader() (scheduling.Scheduling, error) {
	l, err := p.leader()
	if err == nil && l == scheduling.Scheduling(p.local) {
		return nil, errNoLeader
	}
	return l, err
}

// toStoreError converts an error from the leader to a store error.
func toStoreError(err error) error {
	var te twirp.Error
	if err == nil {
		return nil
	}
	if errors.Is(err, durable.ErrRefused) {
		return err
	}
	if !errors.As(err, &te) {
		return errors.Mark(err, durable.ErrUnknown)
	}
	switch te.Code() {
	case twirp.Aborted:
		return errors.Mark(err, entry.ErrRefusedSince)
	case twirp.AlreadyExists:
		return errors.Mark(err, entry.ErrCancelledBefore)
	case twirp.Unavailable:
		return errors.Mark(errors.Mark(err, durable.ErrRefused), entry.ErrPeerRefused)
	default:
		return errors.Mark(err, durable.ErrUnknown)
	}
}
