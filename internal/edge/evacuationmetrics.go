package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// evacuationMetrics exports the evacuations in force; values are computed at each scrape.
type evacuationMetrics struct {
	evacuations *evacuations

	zones, since, revision, rejected *prometheus.Desc
}

func newEvacuationMetrics(e *evacuations) *evacuationMetrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("rattanwall_edge_"+name, help, labels, nil)
	}
	return &evacuationMetrics{
		evacuations: e,
		zones:       desc("evacuated_zones", "Availability zones whose VMs get no new work."),
		since:       desc("evacuation_age_seconds", "How long ago this process learned of an evacuation in force.", "zone"),
		revision:    desc("evacuation_revision", "Store revision of the request for an evacuation in force.", "zone"),
		rejected:    desc("evacuations_rejected_total", "Requests with an undecodable value or an unknown zone."),
	}
}

// Describe implements prometheus.Collector.
func (m *evacuationMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.zones, m.since, m.revision, m.rejected} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (m *evacuationMetrics) Collect(out chan<- prometheus.Metric) {
	inForce := m.evacuations.dump()
	out <- prometheus.MustNewConstMetric(m.zones, prometheus.GaugeValue, float64(len(inForce)))
	for _, z := range inForce {
		out <- prometheus.MustNewConstMetric(m.since, prometheus.GaugeValue, (time.Duration(z.SinceMS) * time.Millisecond).Seconds(), z.Zone)
		out <- prometheus.MustNewConstMetric(m.revision, prometheus.GaugeValue, float64(z.Revision), z.Zone)
	}
	out <- prometheus.MustNewConstMetric(m.rejected, prometheus.CounterValue, float64(m.evacuations.rejected.Load()))
}
