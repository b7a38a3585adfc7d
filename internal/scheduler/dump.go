package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
	"github.com/rattanwall/rattanwall/internal/scheduler/fairshare"
)

// Dump is a snapshot of the scheduler's state for operators.
type Dump struct {
	Fence int64 `json:"fence"`
	// OpenJobs counts the jobs without a final state, WaitingTasks the runnable tasks
	// without a run.
	OpenJobs     int      `json:"open_jobs"`
	WaitingTasks int      `json:"waiting_tasks"`
	Awaited      []string `json:"silent,omitempty"`
	// Evacuated are the evacuated availability zones.
	Evacuated    []EvacuatedZoneDump `json:"evacuated,omitempty"`
	VMs          []VMDump            `json:"vms"`
	Interference string              `json:"interference"`
	// RackWaits are the waits for places in racks, by rack.
	RackWaits []RackWaitDump `json:"rack_waits,omitempty"`
	// ReserveShare is the share of the VMs' capacity kept free of lasting tasks.
	ReserveShare float64 `json:"reserve_share"`
	// Forecast is the last prediction of the waits of new jobs, ForecastAgeMS its age; nil if
	// nothing is refused.
	Forecast      *admission.Forecast `json:"forecast,omitempty"`
	ForecastAgeMS int64               `json:"forecast_age_ms,omitempty"`
	// Shares are what the callers of each queue and zone were given of late, as shares of the
	// fleet in seconds; empty if the policy has no use for them.
	Shares []fairshare.Share `json:"shares,omitempty"`
}

// EvacuatedZoneDump is what still runs in an evacuated availability zone.
type EvacuatedZoneDump struct {
	Zone string `json:"zone"`
	// Revision is the store revision of the operator's request.
	Revision int64 `json:"revision"`
	Runs     int   `json:"runs"`
}

// RackWaitDump is what waits for places in a rack.
type RackWaitDump struct {
	Rack  string `json:"rack"`
	Steps int    `json:"steps"`
	Tasks int    `json:"tasks"`
	// LongestMS is the longest wait so far.
	LongestMS int64 `json:"longest_ms"`
}

// VMDump is the state of one VM. CPU amounts are in thousandths of a processor.
type VMDump struct {
	ID string `json:"id"`
	// Born identifies the VM's incarnation; 0 if unknown.
	Born          int64           `json:"born,omitempty"`
	Zone          string          `json:"zone"`
	Listed        bool            `json:"listed"`
	Draining      bool            `json:"draining"`
	Closed        bool            `json:"closed"`
	SinceReportMS int64           `json:"heard_ago_ms"`
	Runs          int             `json:"runs"`
	Capacity      batch.Resources `json:"capacity"`
	Used          batch.Resources `json:"used"`
	FillerCPU     int64           `json:"filler_milli_cpu"`
	WorstTail     float64         `json:"worst_tail_ratio"`
	AvoidForMS    int64           `json:"avoid_for_ms"`
	LeaseLeftMS   int64           `json:"lease_left_ms"`
	// Speed is what tasks do here in the time in which they would do 1 elsewhere, as learned from
	// SpeedRuns runs, the newest of which ended SpeedAgeMS ago; 1 if it is not known.
	Speed      float64 `json:"speed"`
	SpeedRuns  int     `json:"speed_runs,omitempty"`
	SpeedAgeMS int64   `json:"speed_age_ms,omitempty"`
}

// Dump returns a snapshot of the state.
func (s *Scheduler) Dump(now Time) Dump {
	d := Dump{Fence: s.fence, Awaited: s.AwaitedInstances(), Interference: s.images.describe(), ReserveShare: s.reserve.share(s.policy.ReserveMost)}
	for _, j := range s.jobs {
		if !j.state.Final() {
			d.OpenJobs++
		}
	}
	d.WaitingTasks = s.waitingTasks()
	if s.demand != nil && s.demand.forecast != nil {
		d.Forecast, d.ForecastAgeMS = s.demand.forecast, (now - s.demand.forecastAt).Milliseconds()
	}
	if s.fairness != nil {
		d.Shares = s.fairness.shares
	}
	for _, z := range s.evacuations.Zones {
		d.Evacuated = append(d.Evacuated, EvacuatedZoneDump{Zone: z.Zone, Revision: z.Revision, Runs: s.runsInZone(z.Zone)})
	}
	d.RackWaits = s.rackWaits(now)
	for _, v := range s.vmList {
		x := VMDump{
			ID: v.inst.ID, Born: v.born, Zone: v.inst.Zone, Listed: v.listed, Draining: v.inst.Draining, Closed: v.closed,
			SinceReportMS: (now - v.lastReportAt).Milliseconds(), Runs: len(v.runs), Capacity: v.inst.Capacity, Used: v.used,
			FillerCPU: v.fillerCPU, AvoidForMS: max(0, v.health.avoidUntil-now).Milliseconds(),
			LeaseLeftMS: max(0, v.leaseExpiry-now).Milliseconds(),
		}
		speed := v.speed.At(now)
		x.Speed, x.SpeedRuns, x.SpeedAgeMS = speed.Ratio, speed.Runs, speed.Age.Milliseconds()
		if worst := v.worstServingRun(); worst != nil {
			x.WorstTail = worst.tailRatio()
		}
		d.VMs = append(d.VMs, x)
	}
	return d
}

// Explanation describes a job's state and the obstacles of its waiting tasks.
type Explanation struct {
	Job       string        `json:"job"`
	Queue     string        `json:"queue"`
	Pool      string        `json:"pool"`
	State     batch.State   `json:"state"`
	AgeMS     int64         `json:"age_ms"`
	Objective time.Duration `json:"objective_ns"`
	Runs      []RunDump     `json:"runs"`
	Waiting   []WaitDump    `json:"waiting"`
}

// RunDump is one run of the job. Progress and Pace are in percent.
type RunDump struct {
	Task     string `json:"task"`
	VM       string `json:"vm"`
	Run      int64  `json:"run"`
	Progress int    `json:"progress"`
	Pace     int    `json:"pace"`
	AgeMS    int64  `json:"age_ms"`
}

// WaitDump is a step with waiting tasks.
type WaitDump struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Tasks      int `json:"tasks"`
	// StepsBefore counts the unfinished steps that the step depends on.
	StepsBefore int `json:"steps_before"`
	// Obstacles lists how many VMs each obstacle currently rules out.
	Obstacles string `json:"obstacles,omitempty"`
	// Rack is the rack that the tasks wait for, if they do, and RackReason why.
	Rack       string  `json:"rack,omitempty"`
	RackReason string  `json:"rack_reason,omitempty"`
	SlackS     float64 `json:"slack_s"`
}

// Explain describes a job's state; ok is false if the job is unknown.
func (s *Scheduler) Explain(now Time, id string) (x Explanation, ok bool) {
	j := s.jobs[id]
	if j == nil {
		return x, false
	}
	state, _ := s.State(id)
	x = Explanation{Job: id, Queue: j.queue, Pool: j.pool, State: state, AgeMS: (now - j.submittedAt).Milliseconds(), Objective: s.objective(j)}
	for _, o := range j.occs {
		for i := range o.steps {
			st := &o.steps[i]
			s.explainStep(now, st, &x)
		}
	}
	return x, true
}

func (s *Scheduler) explainStep(now Time, st *step, x *Explanation) {
	var unplaced *task
	for k := range st.tasks {
		t := &st.tasks[k]
		if !t.done && len(t.runs) == 0 {
			unplaced = t
		}
		for _, r := range t.runs {
			x.Runs = append(x.Runs, RunDump{
				Task: t.id().String(), VM: r.vm.inst.ID, Run: r.number, Progress: r.progress, Pace: r.orderedPace, AgeMS: (now - r.orderedAt).Milliseconds(),
			})
		}
	}
	if unplaced == nil {
		return
	}
	w := WaitDump{Occurrence: st.occ.number, Step: st.index, Tasks: st.waiting, StepsBefore: st.blockers, SlackS: s.rank(now, st).slack.Seconds()}
	if st.place.since > 0 {
		w.Rack, w.RackReason = st.place.rack, string(st.place.decision.Reason)
	}
	if st.blockers == 0 {
		w.Obstacles = s.obstaclesOf(now, unplaced)
	}
	x.Waiting = append(x.Waiting, w)
}
