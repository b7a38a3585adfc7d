package edge

import "github.com/prometheus/client_golang/prometheus"

// configMetrics exports the state of the configuration in force; values are computed at each
// scrape.
type configMetrics struct {
	config *configuration

	version, confirmedAge, unreadable *prometheus.Desc
}

func newConfigMetrics(config *configuration) *configMetrics {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("rattanwall_edge_config_"+name, help, nil, nil)
	}
	return &configMetrics{
		config:       config,
		version:      desc("version", "Version of the configuration in force, 0 for none."),
		confirmedAge: desc("confirmed_age_seconds", "How long ago that version was known to be the newest; missing before it ever was."),
		unreadable:   desc("unreadable", "1 while the newest version can't be read, so that an older one is in force, else 0."),
	}
}

// Describe implements prometheus.Collector.
func (c *configMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.version, c.confirmedAge, c.unreadable} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *configMetrics) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value)
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
	if age, ok := c.config.confirmedAge(); ok {
		gauge(c.confirmedAge, age.Seconds())
	}
}
