package edge

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/thejerf/suture/v4"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
)

// metrics holds the process's counters and histograms. Label sets are closed: events, callers'
// operations and error kinds.
type metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	decisions *prometheus.CounterVec
	startWait prometheus.Histogram
	// predictionError is by how much jobs waited longer than predicted.
	predictionError prometheus.Histogram
	runDuration     prometheus.Histogram
	// jobAge is the age of jobs when the leader accepts them. jobEnds counts ended jobs by
	// whether they met their objective, starts counts task starts by queue group, and delays
	// holds waiting and planning times in the leader.
	jobAge  prometheus.Histogram
	jobEnds *prometheus.CounterVec
	starts  *prometheus.CounterVec
	delays  *prometheus.HistogramVec
	// places counts task starts by place, placeWaits holds the waits for places by outcome.
	places     *prometheus.CounterVec
	placeWaits *prometheus.HistogramVec
	// givenUp counts VMs and runs declared lost, by reason; ends counts run ends reported by
	// VMs, by status.
	givenUp *prometheus.CounterVec
	// copies counts copied tasks, copyWaste the processor seconds that their other runs cost.
	copies    *prometheus.CounterVec
	copyWaste prometheus.Counter
	ends      *prometheus.CounterVec
}

// newMetrics returns the process's metrics; readStats returns the leader's statistics.
func newMetrics(readStats func() (leader.Stats, bool)) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanwall_edge_requests_total", Help: "Callers' requests by operation and outcome.",
		}, []string{"operation", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rattanwall_edge_request_seconds", Help: "Time until a caller was answered.", Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}, []string{"operation"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanwall_leader_decisions_total", Help: "Decisions of this process while it led, by event.",
		}, []string{"event"}),
		startWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "rattanwall_leader_start_wait_seconds", Help: "Time from a job's submission to each start of its tasks.", Buckets: prometheus.ExponentialBuckets(0.01, 2, 14),
		}),
		predictionError: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "rattanwall_leader_wait_prediction_error_seconds", Help: "Wait until a job's first start less the wait predicted when it arrived.", Buckets: []float64{-20, -10, -5, -2, -1, -0.5, 0, 0.5, 1, 2, 5, 10, 20},
		}),
		runDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "rattanwall_leader_run_seconds", Help: "Time from a start order to the end of its run.", Buckets: prometheus.ExponentialBuckets(0.05, 2, 12),
		}),
		jobAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "rattanwall_leader_job_age_seconds", Help: "Time from a job's submission until the leader has it.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		jobEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanwall_leader_jobs_ended_total", Help: "Jobs that ended, by whether that was within their objective.",
		}, []string{"within"}),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanwall_leader_starts_total", Help: "Starts that were decided, by the group of the queue.",
		}, []string{"group"}),
		places: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanwall_leader_starts_by_place_total", Help: "Starts that were decided, by where they are relative to the rack that the task prefers.",
		}, []string{"place"}),
		placeWaits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rattanwall_leader_place_wait_seconds", Help: "How long steps waited for a place in the rack that they prefer, by where they were then started.", Buckets: prometheus.ExponentialBuckets(0.025, 2, 11),
		}, []string{"outcome"}),
		delays: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rattanwall_leader_delay_seconds", Help: "How long starts and reports waited within this process, and how long plans took.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}, []string{"of"}),
		givenUp: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanwall_leader_given_up_total", Help: "VMs, and runs without a told end, that were given up, by reason.",
		}, []string{"what", "reason"}),
		copies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanwall_leader_copies_total", Help: "Copied tasks that are done, by why they were copied and which run was first.",
		}, []string{"reason", "outcome"}),
		copyWaste: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rattanwall_leader_copy_wasted_processor_seconds_total", Help: "Declared processor time of the runs of copied tasks that were not first.",
		}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanwall_leader_ends_total", Help: "Ends of runs that VMs told this leader for the first time, by how they stood.",
		}, []string{"standing"}),
	}
	for _, d := range leader.Delays {
		m.delays.WithLabelValues(string(d))
	}
	m.registry.MustRegister(
		m.jobAge, m.jobEnds, m.starts, m.places, m.placeWaits, m.delays, m.requests, m.latency, m.decisions, m.startWait, m.predictionError, m.runDuration, m.givenUp, m.ends, m.copies, m.copyWaste, newLeaderMetrics(readStats),
		// Scrapers truncate long responses, and the memory statistics would precede the
		// rattanwall metrics.
		collectors.NewGoCollector(collectors.WithGoCollectorMemStatsMetricsDisabled(), collectors.WithGoCollectorRuntimeMetrics(collectors.MetricsScheduler)),
	)
	return m
}

// handler serves the metrics in the Prometheus text format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// recordRequest counts a caller's request and observes its latency.
func (m *metrics) recordRequest(operation string, took time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(errkind.From(err).Kind)
	}
	m.requests.WithLabelValues(operation, outcome).Inc()
	m.latency.WithLabelValues(operation).Observe(took.Seconds())
}

// recordDecision counts a scheduler decision and observes the times that it carries.
func (m *metrics) recordDecision(d scheduler.Decision) {
	m.decisions.WithLabelValues(d.Event).Inc()
	switch d.Event {
	case scheduler.EventRunStarted:
		m.startWait.Observe(d.Age.Seconds())
		if d.HasPrediction {
			m.predictionError.Observe((d.Age - d.PredictedWait).Seconds())
		}
		m.starts.WithLabelValues(d.Group).Inc()
		m.places.WithLabelValues(string(d.Place)).Inc()
	case scheduler.EventPlaceWaitEnded:
		m.placeWaits.WithLabelValues(string(d.Place)).Observe(d.Age.Seconds())
	case scheduler.EventJobTaken:
		m.jobAge.Observe(d.Age.Seconds())
	case scheduler.EventJobEnded:
		m.jobEnds.WithLabelValues(objectiveLabel(d.Age.Seconds(), d.Value)).Inc()
	case scheduler.EventRunEnded:
		m.runDuration.Observe(d.Age.Seconds())
	case scheduler.EventCopyEnded:
		m.copies.WithLabelValues(copyReason(d.Reason), d.Outcome).Inc()
		m.copyWaste.Add(d.Value)
	case scheduler.EventVMGone:
		m.givenUp.WithLabelValues("vm", givenUpReason(d.Reason)).Inc()
	case scheduler.EventRunLost:
		m.givenUp.WithLabelValues("run", givenUpReason(d.Reason)).Inc()
	}
}

// lateFactor is the multiple of its objective up to which a job counts as late, not too late.
const lateFactor = 3

// objectiveLabel returns the label for a job that ended at the given age; both values are in
// seconds.
func objectiveLabel(age, objective float64) string {
	switch {
	case age <= objective:
		return "objective"
	case age <= lateFactor*objective:
		return "late"
	}
	return "too_late"
}

// recordDelay observes how long work of the leader waited or took.
func (m *metrics) recordDelay(d leader.Delay, took time.Duration) {
	m.delays.WithLabelValues(string(d)).Observe(took.Seconds())
}

// recordEnd counts a run end that a VM reported to the leader.
func (m *metrics) recordEnd(status scheduler.EndStatus) {
	m.ends.WithLabelValues(string(status)).Inc()
}

// Dump is the process's state, for diagnosis.
type Dump struct {
	Node          string `json:"node"`
	Zone          string `json:"zone"`
	Ready         bool   `json:"ready"`
	ConfigVersion int64  `json:"config_version"`
	// ConfigConfirmedAgoMS is the time since that version was confirmed to be the newest, -1
	// for never.
	ConfigConfirmedAgoMS int64 `json:"config_confirmed_ago_ms"`
	// ConfigUnreadable is the revision of a newer configuration that can't be decoded.
	ConfigUnreadable int64 `json:"config_unreadable,omitempty"`
	Queues           int   `json:"queues"`
	// Evacuations are the evacuated availability zones as this process knows them.
	Evacuations []EvacuationDump `json:"evacuations,omitempty"`
	// EvacuationsRejected counts the faulty requests.
	EvacuationsRejected int64         `json:"evacuations_rejected,omitempty"`
	Leader              leader.Record `json:"leader"`
	// Admission is the mode of admission, Forecast what this process knows of waits and
	// ForecastAgeMS its age; all empty if nothing is refused.
	Admission     admission.Mode      `json:"admission,omitempty"`
	Forecast      *admission.Forecast `json:"forecast,omitempty"`
	ForecastAgeMS int64               `json:"forecast_age_ms,omitempty"`
	Scheduler     *scheduler.Dump     `json:"scheduler,omitempty"`
	// Relays maps the processes that relay this leader's orders to the number of VMs that each
	// serves; empty if the leader serves all VMs directly.
	Relays map[string]int `json:"relays,omitempty"`
}

// Dump returns a snapshot of the process's state.
func (e *Edge) Dump() Dump {
	d := Dump{
		Node: e.settings.Node, Zone: e.settings.Zone, Ready: e.ready(), Scheduler: e.leader.Dump(),
		ConfigConfirmedAgoMS: -1, ConfigUnreadable: e.config.unreadableRevision(), Evacuations: e.evacuations.dump(), EvacuationsRejected: e.evacuations.rejected.Load(),
	}
	if age, ok := e.config.confirmedAge(); ok {
		d.ConfigConfirmedAgoMS = age.Milliseconds()
	}
	if d.Scheduler != nil {
		d.Relays = e.relays.Serving()
	}
	d.Leader, _ = e.election.Leader()
	if e.entry.Admission != nil {
		d.Admission = e.entry.Admission.Mode
	}
	if forecast, age := e.forecasts.newest(); forecast != nil {
		d.Forecast, d.ForecastAgeMS = forecast, age.Milliseconds()
	}
	if c := e.config.inForce.Load(); c != nil {
		d.ConfigVersion, d.Queues = c.Version, len(c.Queues)
	}
	return d
}

// operations serves metrics, the state dump, job explanations and profiles.
func (e *Edge) operations() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.metrics.handler())
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(e.Dump()); err != nil {
			e.log.Warn("dump_not_sent", err, nil)
		}
	})
	mux.HandleFunc("GET /jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
		explanation, ok := e.leader.Explain(r.PathValue("id"))
		if !ok {
			http.Error(w, "this process does not lead, or does not know the job; see leader in /dump", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(explanation); err != nil {
			e.log.Warn("explanation_not_sent", err, eventlog.Fields{"job": explanation.Job})
		}
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

// hasMetricsListener reports whether the metrics have a listener of their own. They have none
// if another server of the process uses the port.
func (e *Edge) hasMetricsListener() bool {
	_, port, err := net.SplitHostPort(e.settings.Metrics)
	if err != nil {
		return false
	}
	for _, s := range e.servers {
		if _, other, _ := net.SplitHostPort(s.Addr()); other == port {
			return false
		}
	}
	return true
}

func (e *Edge) metricsService() optionalService {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.metrics.handler())
	return optionalService{
		httpService: httpService{newServer(e.settings.Metrics, mux)},
		log:         e.log,
	}
}

// optionalService is a server that the process runs without if its port can't be bound: it logs
// one line and does not restart.
type optionalService struct {
	httpService
	log *eventlog.Log
}

// Serve implements suture.Service.
func (s optionalService) Serve(ctx context.Context) error {
	err := s.httpService.Serve(ctx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	s.log.Warn("metrics_not_served", err, eventlog.Fields{"listener": s.server.Addr()})
	return suture.ErrDoNotRestart
}
