package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
)

// admissionMetrics counts the decisions about submissions and exports the forecast on which they
// are based. Only processes that may refuse jobs have them.
type admissionMetrics struct {
	forecasts *forecasts
	decisions *prometheus.CounterVec

	age, wait, confidence *prometheus.Desc
}

// meanSize is the size of a job whose predicted wait is exported, in multiples of the mean.
const meanSize = 1

func newAdmissionMetrics(f *forecasts) *admissionMetrics {
	m := &admissionMetrics{
		forecasts: f,
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanwall_edge_admissions_total", Help: "Submissions by the reason for which they were accepted or refused.",
		}, []string{"reason"}),
		age:        prometheus.NewDesc("rattanwall_edge_forecast_age_seconds", "Age of the newest forecast of waits that this process has.", nil, nil),
		wait:       prometheus.NewDesc("rattanwall_edge_predicted_wait_seconds", "Predicted wait of a new job of mean size until its first start.", []string{"queue"}, nil),
		confidence: prometheus.NewDesc("rattanwall_edge_forecast_confidence", "Confidence of the forecast, 0 to 1.", []string{"queue"}, nil),
	}
	for _, reason := range admission.Reasons {
		m.decisions.WithLabelValues(string(reason))
	}
	return m
}

// count counts a decision.
func (m *admissionMetrics) count(reason admission.Reason) {
	m.decisions.WithLabelValues(string(reason)).Inc()
}

// Describe implements prometheus.Collector.
func (m *admissionMetrics) Describe(out chan<- *prometheus.Desc) {
	m.decisions.Describe(out)
	out <- m.age
	out <- m.wait
	out <- m.confidence
}

// Collect implements prometheus.Collector.
func (m *admissionMetrics) Collect(out chan<- prometheus.Metric) {
	m.decisions.Collect(out)
	forecast, age := m.forecasts.newest()
	if forecast == nil {
		return
	}
	out <- prometheus.MustNewConstMetric(m.age, prometheus.GaugeValue, age.Seconds())
	for i := range forecast.Queues {
		q := &forecast.Queues[i]
		wait := q.Waits[admission.ClassOf(meanSize, 1)]
		out <- prometheus.MustNewConstMetric(m.wait, prometheus.GaugeValue, wait.Seconds(), q.Queue)
		out <- prometheus.MustNewConstMetric(m.confidence, prometheus.GaugeValue, q.Confidence, q.Queue)
	}
}
