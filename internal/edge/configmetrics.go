package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanwall/rattanwall/internal/configcheck"
)

// configMetrics exports the state of the configuration in force; values are computed at each
// scrape.
type configMetrics struct {
	config *configuration

	version, confirmedAge, unreadable, findings *prometheus.Desc
}

func newConfigMetrics(config *configuration) *configMetrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("rattanwall_edge_config_"+name, help, labels, nil)
	}
	return &configMetrics{
		config:       config,
		version:      desc("version", "Version of the configuration in force, 0 for none."),
		confirmedAge: desc("confirmed_age_seconds", "How long ago that version was known to be the newest; missing before it ever was."),
		unreadable:   desc("unreadable", "1 while the newest version can't be read, so that an older one is in force, else 0."),
		findings:     desc("findings", "Findings of a check of the configuration in force, by severity.", "severity"),
	}
}

// Describe implements prometheus.Collector.
func (c *configMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.version, c.confirmedAge, c.unreadable, c.findings} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *configMetrics) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	version, unreadable := 0.0, 0.0
	if config := c.config.inForce.Load(); config != nil {
		version = float64(config.Version)
	}
	if c.config.unreadableRevision() != 0 {
		unreadable = 1
	}
	gauge(c.version, version)
	gauge(c.unreadable, unreadable)
	errorCount, warnings := c.config.countFindings()
	gauge(c.findings, float64(errorCount), string(configcheck.Error))
	gauge(c.findings, float64(warnings), string(configcheck.Warning))
	if age, ok := c.config.confirmedAge(); ok {
		gauge(c.confirmedAge, age.Seconds())
	}
}
