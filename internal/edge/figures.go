package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanwall/rattanwall/internal/leader"
)

// leaderMetrics are the leader's state as metrics. They are worked out when they are
// asked for; a process that does not lead tells only that.
type leaderMetrics struct {
	readStats func() (f leader.Stats, leading bool)

	leads, confirmed, fence, vms, lease, runs, ends, endAge *prometheus.Desc
	window, waiting, relays, relayed, oldestWaiting         *prometheus.Desc
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
		relays:        desc("relays", "Processes that carry its orders."),
		relayed:       desc("relayed_vms", "VMs that relays serve; the others it serves itself."),
	}
}

// Describe implements prometheus.Collector.
func (c *leaderMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.leads, c.confirmed, c.fence, c.vms, c.lease, c.runs, c.ends, c.endAge, c.window, c.waiting, c.relays, c.relayed, c.oldestWaiting} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *leaderMetrics) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	f, leading := c.readStats()
	gauge(c.leads, boolToFloat(leading))
	if !leading {
		return
	}
	gauge(c.confirmed, boolToFloat(f.Confirmed))
	gauge(c.fence, float64(f.Fence))
	gauge(c.lease, f.LongestLease.Seconds())
	gauge(c.runs, float64(f.Runs))
	gauge(c.ends, float64(f.UnackedEnds))
	gauge(c.endAge, f.OldestUnacked.Seconds())
	gauge(c.window, float64(f.StartWindow))
	gauge(c.waiting, float64(f.StartsWaiting))
	gauge(c.oldestWaiting, f.OldestWaiting.Seconds())
	gauge(c.relays, float64(len(f.Relays)))
	relayed := 0
	for _, vms := range f.Relays {
		relayed += vms
	}
	gauge(c.relayed, float64(relayed))
	for _, v := range []struct {
		state string
		count int
	}{
		{"known", f.VMs},
		{"unlisted", f.Unlisted},
		{"unheard", f.Unreported},
		{"silent", f.Unresponsive},
		{"leased", f.Leased},
		{"leased_silent", f.LeasedUnresponsive},
		{"waited_for", f.Awaited},
		{"withheld", f.Withheld},
	} {
		gauge(c.vms, float64(v.count), v.state)
	}
}

func boolToFloat(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// givenUpReasons are the reasons for which a VM or a run is given up, as the
// scheduler and the leader tell them. What is none of them counts as otherReason,
// so that the label set stays closed.
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

// givenUpReason is the label of a reason.
func givenUpReason(reason string) string {
	if givenUpReasons[reason] {
		return reason
	}
	return otherReason
}
