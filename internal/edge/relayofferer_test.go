package edge

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/relay"
	"github.com/rattanwall/rattanwall/internal/scheduling"
)

// fakeLeader simulates a leader that rejects the first offers.
type fakeLeader struct {
	scheduling.Scheduling
	mu         sync.Mutex
	rejectNext int
	accepted   []*scheduling.OfferRequest
}

func (l *fakeLeader) Offer(_ context.Context, r *scheduling.OfferRequest) (*scheduling.OfferResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rejectNext > 0 {
		l.rejectNext--
		return nil, errNotLeading
	}
	l.accepted = append(l.accepted, r)
	return &scheduling.OfferResponse{}, nil
}

func (l *fakeLeader) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accepted)
}

// If a rejected offer were not retried soon, a leader would serve a large fleet alone for
// seconds: a process that offers itself as a relay while the leader is still taking over is
// rejected.
func TestRejectedOfferIsRetried(t *testing.T) {
	l := &fakeLeader{rejectNext: 1}
	server := httptest.NewServer(scheduling.NewSchedulingServer(l))
	defer server.Close()
	record := leader.Record{Node: "leader", Address: strings.TrimPrefix(server.URL, "http://")}
	o := &relayOfferer{
		offer:  relay.Offer{Node: "n", Address: "10.0.0.1:7", Zone: "z", VMs: 20},
		leader: func() (leader.Record, bool) { return record, true }, client: server.Client(), peerAddresses: &peerAddresses{},
		log: eventlog.New(io.Discard, logrus.ErrorLevel), wake: make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = o.Serve(ctx) }()
	require.Eventually(t, func() bool { return l.count() == 1 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, "z", l.accepted[0].GetZone())
	require.EqualValues(t, 20, l.accepted[0].GetVms())
	o.trigger()
	require.Eventually(t, func() bool { return l.count() == 2 }, 5*time.Second, 5*time.Millisecond, "no prompt offer to a new leader")
	o.stop()
	o.trigger()
	time.Sleep(2 * maxLowCapacityDelay)
	require.Equal(t, 2, l.count(), "offer sent after stop")
}

func TestLeaderDoesNotOfferToItself(t *testing.T) {
	o := &relayOfferer{
		offer:  relay.Offer{Address: "10.0.0.1:7"},
		leader: func() (leader.Record, bool) { return leader.Record{Address: "10.0.0.1:7"}, true },
	}
	require.True(t, o.sendOffer(t.Context()))
}
