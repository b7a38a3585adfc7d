package jobs

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/hosting"
	"github.com/rattanwall/rattanwall/internal/ownership"
	"github.com/rattanwall/rattanwall/internal/vms"
)

const (
	// shardCount must be the same at all nodes of a deployment and must never change.
	shardCount   = 24
	shardPrefix  = "jobs/"
	syncInterval = 500 * time.Millisecond
)

// Shards returns the ownership shards of job records. Any node may lead one.
func Shards() []ownership.Shard {
	shards := make([]ownership.Shard, shardCount)
	for i := range shards {
		shards[i] = ownership.Shard{Key: fmt.Sprintf("%s%02d", shardPrefix, i)}
	}
	return shards
}

// ShardOfTeam returns the shard that holds all of a team's jobs, so that one leader
// sees the team's whole usage against its quota.
func ShardOfTeam(team string) string {
	return fmt.Sprintf("%s%02d", shardPrefix, xxhash.Sum64String(team)%shardCount)
}

// ShardOfTask returns the shard of a task, given its name team/job:index.
func ShardOfTask(task string) string {
	team, _, _ := strings.Cut(task, "/")
	return ShardOfTeam(team)
}

// Service runs the leaders of the shards that this node owns.
type Service struct {
	node      string
	store     hosting.Store
	ownership vms.Ownership
	cluster   Cluster
	config    func() *config.Installed
	logger    *logrus.Entry

	mu           sync.Mutex
	leaders      map[string]*runningLeader
	syncRequests chan struct{}
}

type runningLeader struct {
	leader *Leader
	epoch  int64
	cancel context.CancelFunc
}

// NewService returns a node's service; Serve runs it.
func NewService(node string, store hosting.Store, own vms.Ownership, cluster Cluster, cfg func() *config.Installed, logger *logrus.Entry) *Service {
	return &Service{
		node: node, store: store, ownership: own, cluster: cluster, config: cfg, logger: logger,
		leaders: map[string]*runningLeader{}, syncRequests: make(chan struct{}, 1),
	}
}

// Sync requests a check of shard ownership without waiting for it.
func (s *Service) Sync() {
	select {
	case s.syncRequests <- struct{}{}:
	default:
	}
}

// Serve implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		s.sync(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.syncRequests:
		case <-ticker.C:
		}
	}
}

func (s *Service) sync(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, shard := range Shards() {
		epoch, own := s.ownership.Epoch(shard.Key)
		r := s.leaders[shard.Key]
		if r != nil && (!own || r.epoch != epoch || r.ended()) {
			r.cancel()
			delete(s.leaders, shard.Key)
			r = nil
		}
		if own && r == nil {
			s.leaders[shard.Key] = s.start(ctx, shard.Key, epoch)
		}
	}
}

func (s *Service) start(ctx context.Context, shard string, epoch int64) *runningLeader {
	ctx, cancel := context.WithCancel(ctx)
	suffix := strings.TrimPrefix(shard, shardPrefix)
	isLeader := func() bool {
		current, own := s.ownership.Epoch(shard)
		return own && current == epoch
	}
	l := newLeader(suffix, s.node, s.store, s.cluster, s.config, isLeader, s.logger)
	go l.run(ctx)
	return &runningLeader{leader: l, epoch: epoch, cancel: cancel}
}

func (r *runningLeader) ended() bool {
	select {
	case <-r.leader.stopped:
		return true
	default:
		return false
	}
}

// Leader returns the leader of a shard if this node leads it.
func (s *Service) Leader(shard string) (*Leader, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.leaders[shard]
	if r == nil || r.ended() {
		return nil, errkind.New(errkind.NotOwner, "", nil)
	}
	return r.leader, nil
}

// Led returns the shards that this node leads.
func (s *Service) Led() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var led []string
	for shard := range s.leaders {
		led = append(led, shard)
	}
	return led
}
