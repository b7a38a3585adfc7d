package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanwall/rattanwall/internal/leader"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

// leaderMetrics exports the leader's state; values are computed at each scrape. A process that
// does not lead exports only that fact.
type leaderMetrics struct {
	readStats func() (f leader.Stats, leading bool)

	leads, confirmed, fence, vms, lease, runs, ends, endAge *prometheus.Desc
	window, waiting, relays, relayed, oldestWaiting         *prometheus.Desc
	slowVMs, speedSpread                                    *prometheus.Desc
}

func newLeaderMetrics(read func() (leader.Stats, bool)) *leaderMetrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("rattanwall_leader_"+name, help, labels, nil)
	}
	return &leaderMetrics{
		readStats:     read,
		leads:         desc("leads", "1 while this process leads and may give orders, else 0."),
		confirmed:     desc("confirmed", "1 while nobody else can lead, 0 while it acts without the store's answer."),
		fence:         desc("fence", "Fencing token: that of its run numbers is run >> 24."),
		vms:           desc("vms", "VMs by what is believed of them; one VM may count in several.", "state"),
		lease:         desc("longest_lease_seconds", "For how long a lease that it took may live on any VM."),
		runs:          desc("runs", "Runs that count."),
		ends:          desc("unacknowledged_ends", "Ends that VMs go on telling."),
		endAge:        desc("unacknowledged_end_age_seconds", "Since when the oldest of them is told."),
		window:        desc("start_window", "Starts that may be under way; it shrinks while most of them are slow."),
		waiting:       desc("starts_waiting", "Starts that wait for their turn."),
		oldestWaiting: desc("oldest_waiting_seconds", "For how long the oldest step that could run has had a task without a place."),
		slowVMs:       desc("slow_vms", "VMs on which tasks are known to take three times as long or more."),
		speedSpread:   desc("vm_speed_spread", "Ratio of the ninth to the first decile of the VMs' known speeds; 0 while none is known."),
		relays:        desc("relays", "Processes that carry its orders."),
		relayed:       desc("relayed_vms", "VMs that relays serve; the others it serves itself."),
	}
}

// Describe implements prometheus.Collector.
func (c *leaderMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.leads, c.confirmed, c.fence, c.vms, c.lease, c.runs, c.ends, c.endAge, c.window, c.waiting, c.relays, c.relayed, c.oldestWaiting, c.slowVMs, c.speedSpread} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *leaderMetrics) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	stats, leading := c.readStats()
	gauge(c.leads, boolToFloat(leading))
	if !leading {
		return
	}
	gauge(c.confirmed, boolToFloat(stats.Confirmed))
	gauge(c.fence, float64(stats.Fence))
	gauge(c.lease, stats.LongestLease.Seconds())
	gauge(c.runs, float64(stats.Runs))
	gauge(c.ends, float64(stats.UnackedEnds))
	gauge(c.endAge, stats.OldestUnacked.Seconds())
	gauge(c.window, float64(stats.StartWindow))
	gauge(c.waiting, float64(stats.StartsWaiting))
	gauge(c.oldestWaiting, stats.OldestWaiting.Seconds())
	gauge(c.slowVMs, float64(stats.SlowVMs))
	gauge(c.speedSpread, stats.SpeedSpread)
	gauge(c.relays, float64(len(stats.Relays)))
	relayed := 0
	for _, vms := range stats.Relays {
		relayed += vms
	}
	gauge(c.relayed, float64(relayed))
	for _, v := range []struct {
		state string
		count int
	}{
		{"known", stats.VMs},
		{"unlisted", stats.Unlisted},
		{"unheard", stats.Unreported},
		{"silent", stats.Unresponsive},
		{"leased", stats.Leased},
		{"leased_silent", stats.LeasedUnresponsive},
		{"waited_for", stats.Awaited},
		{"withheld", stats.Withheld},
	} {
		gauge(c.vms, float64(v.count), v.state)
	}
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// givenUpReasons are the reasons that the scheduler and the leader give for declaring a VM or a
// run lost. Any other reason is counted as otherReason, so that the label set stays closed.
var givenUpReasons = map[string]bool{
	"lease over":               true,
	"not listed":               true,
	"another instance answers": true,
	"unlisted":                 true,
	"maintenance":              true,
	"machine ended it":         true,
	"started again":            true,
}

const otherReason = "other"

// copyReason maps a reason for a copy to its metric label.
func copyReason(reason string) string {
	switch reason {
	case scheduler.ReasonSlow:
		return "slow"
	case scheduler.ReasonStalled:
		return "stalled"
	case scheduler.ReasonUnheard:
		return "unheard"
	}
	return otherReason
}

// givenUpReason maps a reason to its metric label.
func givenUpReason(reason string) string {
	if givenUpReasons[reason] {
		return reason
	}
	return otherReason
}
