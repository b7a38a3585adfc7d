package leader

import (
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

func (t *term) logDecision(d scheduler.Decision) {
	if t.ObserveDecision != nil {
		t.ObserveDecision(d)
	}
	t.log.EventOf(d.Event, func() eventlog.Fields { return decisionFields(&d) })
}

// decisionFields returns the log fields of a decision.
func decisionFields(d *scheduler.Decision) eventlog.Fields {
	f := eventlog.Fields{}
	if d.Job != "" {
		f["job"] = d.Job
	}
	if d.Task.Job != "" {
		f["job"], f["task"] = d.Task.Job, d.Task.String()
	}
	if d.VM != "" {
		f["vm"] = d.VM
	}
	if d.Run != 0 {
		f["run"] = d.Run
	}
	if d.Reason != "" {
		f["reason"] = d.Reason
	}
	if d.Place != "" && d.Place != scheduler.PlaceNoPreference {
		f["place"] = d.Place
	}
	if d.Age != 0 {
		f["age_ms"] = d.Age.Milliseconds()
	}
	if d.Outcome != "" {
		f["outcome"] = d.Outcome
	}
	if d.Value != 0 {
		f["value"] = d.Value
	}
	if d.Event == scheduler.EventRunLost {
		f["lived_ms"], f["lived_at_most_ms"] = d.MinLifetime.Milliseconds(), d.MaxLifetime.Milliseconds()
	}
	if d.RecentRuns != 0 {
		f["new_runs"] = d.RecentRuns
	}
	if d.SinceReport != 0 {
		f["unheard_ms"] = d.SinceReport.Milliseconds()
	}
	if d.Born != 0 {
		f["born"], f["acked"] = d.Born, d.Acked
	}
	if d.HasPrediction {
		f["predicted_wait_ms"] = d.PredictedWait.Milliseconds()
	}
	if d.Zone != "" {
		f["zone"] = d.Zone
	}
	if d.Revision != 0 {
		f["revision"] = d.Revision
	}
	if d.LeaseLeft != 0 {
		f["lease_left_ms"] = d.LeaseLeft.Milliseconds()
	}
	return f
}
