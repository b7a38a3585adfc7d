package route

import (
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/model"
)

// inFlightLimits counts the requests in flight by team and by service and enforces
// their limits, so that one team or one slow service leaves capacity for others.
type inFlightLimits struct {
	mu        sync.Mutex
	byTeam    map[string]int64
	byService map[string]int64
}

func (l *inFlightLimits) acquire(team, service string, doc config.Document) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byTeam == nil {
		l.byTeam, l.byService = map[string]int64{}, map[string]int64{}
	}
	if limit := doc.Teams[team].MaxInFlight; limit > 0 && l.byTeam[team] >= limit {
		return errkind.New(errkind.TeamLimit, fmt.Sprintf("team %s has %d requests under way", team, limit), nil)
	}
	if limit := doc.Services[service].MaxInFlight; limit > 0 && l.byService[service] >= limit {
		return errkind.New(errkind.Overloaded, fmt.Sprintf("service %s has %d requests under way", service, limit), nil)
	}
	l.byTeam[team]++
	l.byService[service]++
	return nil
}

func (l *inFlightLimits) release(team, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decrement(l.byTeam, team)
	decrement(l.byService, service)
}

func decrement(m map[string]int64, key string) {
	if m[key]--; m[key] <= 0 {
		delete(m, key)
	}
}

// retryBudget is a token bucket that limits retries to a fixed share of the
// requests, with a small burst for times of low load. Without it a failing target
// multiplies the requests when there is least capacity for them.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

const (
	tokensPerRequest = 0.1
	maxTokens        = 20.0
)

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxTokens} }

func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokensPerRequest, maxTokens)
}

func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Metrics holds the metrics of the request path.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	retries  prometheus.Counter
	cutOff   prometheus.Counter
}

// NewMetrics creates the metrics and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanwall_requests_total", Help: "Requests answered to callers, by the kind of error (empty: answered by the target).",
		}, []string{"service", "class", "kind"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rattanwall_request_seconds", Help: "Time from a caller's request to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"service", "class"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{Name: "rattanwall_retries_total", Help: "Requests offered again under the retry budget."}),
		cutOff:  prometheus.NewCounter(prometheus.CounterOpts{Name: "rattanwall_answers_cut_off_total", Help: "Answers that broke off; the caller's connection was cut as well."}),
	}
	r.MustRegister(m.requests, m.latency, m.retries, m.cutOff)
	return m
}

func (m *Metrics) answered(service string, class model.Class, kind errkind.Kind, started time.Time) {
	m.requests.WithLabelValues(service, string(class), string(kind)).Inc()
	if kind == "" {
		m.latency.WithLabelValues(service, string(class)).Observe(time.Since(started).Seconds())
	}
}
