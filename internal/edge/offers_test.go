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

// taker is a leader that refuses the first offers.
type taker struct {
	scheduling.Scheduling
	mu      sync.Mutex
	refuses int
	taken   []*scheduling.OfferRequest
}

func (l *taker) Offer(_ context.Context, r *scheduling.OfferRequest) (*scheduling.OfferResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuses > 0 {
		l.refuses--
		return nil, errNotLeading
	}
	l.taken = append(l.taken, r)
	return &scheduling.OfferResponse{}, nil
}

func (l *taker) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.taken)
}

// Symptom: a leader serves a large fleet all by itself for seconds.
// Sequence: a process offers itself as a relay while the leader is still taking over.
// Cause it guards against: an offer that was not taken is not made again soon.
func TestOfferThatWasNotTakenIsMadeAgain(t *testing.T) {
	l := &taker{refuses: 1}
	server := httptest.NewServer(scheduling.NewSchedulingServer(l))
	defer server.Close()
	record := leader.Record{Node: "leader", Address: strings.TrimPrefix(server.URL, "http://")}
	o := &offers{
		offer:  relay.Offer{Node: "n", Address: "10.0.0.1:7", Zone: "z", VMs: 20},
		leader: func() (leader.Record, bool) { return record, true }, client: server.Client(), known: &addresses{},
		log: eventlog.New(io.Discard, logrus.ErrorLevel), wake: make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = o.Serve(ctx) }()
	require.Eventually(t, func() bool { return l.count() == 1 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, "z", l.taken[0].GetZone())
	require.EqualValues(t, 20, l.taken[0].GetVms())
	o.soon()
	require.Eventually(t, func() bool { return l.count() == 2 }, 5*time.Second, 5*time.Millisecond, "to a new leader at once")
	o.stop()
	o.soon()
	time.Sleep(2 * smallOffer)
	require.Equal(t, 2, l.count(), "none once the process is about to stop")
}

func TestLeaderMakesItselfNoOffer(t *testing.T) {
	o := &offers{
		offer:  relay.Offer{Address: "10.0.0.1:7"},
		leader: func() (leader.Record, bool) { return leader.Record{Address: "10.0.0.1:7"}, true },
	}
	require.True(t, o.make(t.Context()))
}
