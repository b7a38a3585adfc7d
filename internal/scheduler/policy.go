package scheduler

import (
	"fmt"
	"time"

	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
	"github.com/rattanwall/rattanwall/internal/scheduler/locality"
	"github.com/rattanwall/rattanwall/internal/scheduler/runtimes"
)

// QueueOrder selects the sort order of waiting jobs.
type QueueOrder string

// The orders.
const (
	// OrderWork puts jobs with the least remaining work per value first.
	OrderWork QueueOrder = "work_over_worth"
	// OrderSlack puts jobs with the least slack first.
	OrderSlack QueueOrder = "slack"
	// OrderArrival puts jobs in order of arrival.
	OrderArrival QueueOrder = "arrival"
)

// Placement selects how a VM is chosen among those with enough capacity.
type Placement string

// The placements.
const (
	// PlacementScored takes the VM with the highest score; see score.
	PlacementScored Placement = "scored"
	// PlacementFirst takes the first VM with enough capacity.
	PlacementFirst Placement = "first_fit"
	// PlacementLeastLoaded takes the VM with the most free processors.
	PlacementLeastLoaded Placement = "least_loaded"
)

// DurationEstimates selects how declared durations are corrected.
type DurationEstimates string

// The estimates.
const (
	// EstimateRatio multiplies declared durations by the learned ratio of their queue, as far as
	// that says something about a single job.
	EstimateRatio DurationEstimates = "ratio"
	// EstimateRegression weighs declared durations against the mean of their queue by how much
	// they have said about earlier steps, in queues where they are mostly noise. In others it is
	// EstimateRatio.
	EstimateRegression DurationEstimates = "regression"
)

// Policy holds the limits and weights of queueing, placement and pacing, and a switch for each
// mechanism so that its benefit can be measured. Deployments start from DefaultPolicy and change
// it by a policy file; see ReadPolicy.
type Policy struct {
	// Order is the sort order among jobs of equal group and priority.
	Order QueueOrder `json:"order"`
	// ShortFirst puts short tasks of jobs that can meet their objective before new lasting tasks,
	// which hold their processors for minutes.
	ShortFirst bool `json:"short_first"`
	// Placement is how a VM is chosen.
	Placement Placement `json:"placement"`
	// ReserveMost is the maximum share of all processors reserved for short tasks; 0 reserves
	// none.
	ReserveMost float64 `json:"reserve_most"`
	// ReserveOn is n if one VM in n keeps the whole reserve.
	ReserveOn int `json:"reserve_on"`
	// ReservePatienceMS is how long a lasting task that never ran leaves the reserve free, in
	// milliseconds.
	ReservePatienceMS int64 `json:"reserve_patience_ms"`
	// PurityWeight is the weight of purity in the score of a serving task, where a score of 1
	// corresponds to all processors of a VM.
	PurityWeight float64 `json:"purity_weight"`
	// EmptyPurity is the purity of a VM without serving tasks: worse than a VM that serves the
	// same image, better than one that serves another.
	EmptyPurity float64 `json:"empty_purity"`
	// KeepEmpty is the share of the VMs that serving tasks leave empty while there is capacity
	// elsewhere. Fillers that interfere with all serving images get whole processors there;
	// beside serving tasks they would get a tenth of a VM.
	KeepEmpty float64 `json:"keep_empty"`
	// EffectPenalty lowers a filler's score for a VM by this much per unit of its effect on a
	// tail, as a logarithm.
	EffectPenalty float64 `json:"effect_penalty"`
	// PeakLimit is the highest predicted tail of a serving task at its peak load, as a share of
	// its target, with which a filler may start beside it; 0 is no limit.
	PeakLimit float64 `json:"peak_limit"`
	// RoomLimit is the share of a VM's processors that may be in use. Above 0.9, all tails on the
	// VM grow several times over.
	RoomLimit float64 `json:"room_limit"`
	// StarvedAfterMS is how long a job may have nothing running before one of its ready fillers
	// starts despite its interference, in milliseconds; 0 disables this. Otherwise fillers that
	// interfere with every serving image wait as long as others arrive.
	StarvedAfterMS int64 `json:"starved_after_ms"`
	// StarvedCrowdedMS is StarvedAfterMS for a crowded fleet, in which lasting and short tasks
	// declare most processors. Hundreds of jobs then wait for the little capacity beside serving
	// tasks. If each started a task, all would be slow, delay others and interfere with the
	// serving tasks.
	StarvedCrowdedMS int64 `json:"starved_crowded_ms"`
	// LearnDurations corrects declared durations by those of completed steps.
	LearnDurations bool `json:"learn_durations"`
	// DurationEstimates is how LearnDurations corrects them.
	DurationEstimates DurationEstimates `json:"duration_estimates"`
	// Learn updates the interference model from observed tails.
	Learn bool `json:"learn"`
	// Pace slows fillers that interfere with serving tasks.
	Pace bool `json:"pace"`
	// PaceAtStart recomputes the paces on a VM when a filler has started there. Otherwise the
	// filler runs at full pace until the next report, for up to 0.6 s, a fifth of its duration.
	PaceAtStart bool `json:"pace_at_start"`
	// PressedAt is the predicted tail, as a share of the target, from which the fillers beside a
	// serving task are slowed. It is below 1 so that they are slowed before the target is
	// exceeded.
	PressedAt float64 `json:"pressed_at"`
	// AimAt is the tail that slowing aims for, as a share of the target. The margin covers the
	// prediction error, whose standard deviation is a tenth.
	AimAt float64 `json:"aim_at"`
	// BlindAfterMS is how long a tail may exceed its target without an explanation by the model
	// before all fillers on the VM are stopped, in milliseconds; 0 disables this. A violation
	// counts after about 4 s.
	BlindAfterMS int64 `json:"blind_after_ms"`
	// MoveBelow is the pace, in percent, below which a filler is moved to another VM; 0 moves
	// none.
	MoveBelow int `json:"move_below"`
	// Quarantine keeps tasks off VMs on which runs fail.
	Quarantine bool `json:"quarantine"`
	// Rescue relocates tasks whose runs make no or little progress.
	Rescue bool `json:"rescue"`
	// Copies starts copies of runs on unreachable VMs, if the step allows copies.
	Copies bool `json:"copies"`
	// MoveOffDraining moves lasting tasks off VMs that are about to leave.
	MoveOffDraining bool `json:"evacuate"`
	// Admission selects which jobs entry processes refuse.
	Admission admission.Mode `json:"admission"`
	// FairShare puts jobs of queues and callers' zones that were given more than their part of the
	// room behind others of equal group and priority.
	FairShare bool `json:"fair_share"`
	// FairShareTolerance is the fraction by which a user may exceed its part.
	FairShareTolerance float64 `json:"fair_share_tolerance"`
	// FairShareWindowMS is for how long what a user was given counts, in milliseconds.
	FairShareWindowMS int64 `json:"fair_share_window_ms"`
	// FairSharePatienceMS is how long a job may have a runnable step and nothing running before
	// one of its tasks is tried before all others of its group, in milliseconds; 0 is no bound. It
	// applies with and without FairShare.
	FairSharePatienceMS int64 `json:"fair_share_patience_ms"`

	// Stragglers is when a run that is slower than its siblings is copied or restarted. It has no
	// effect without Rescue.
	Stragglers runtimes.Way `json:"stragglers"`
	// SpeedWeight is the weight of a VM's learned speed in its score: 1 lowers the score of a VM
	// on which tasks take twice as long by as much as all of its processors being in use. 0
	// ignores learned speeds.
	SpeedWeight float64 `json:"speed_weight"`

	// Locality is how long tasks wait for a place in the rack that they prefer, if the settings
	// say that the rack makes a difference.
	Locality locality.Way `json:"locality"`
	// LocalityWaitMS is the wait with Locality "constant", in milliseconds.
	LocalityWaitMS int64 `json:"locality_wait_ms"`
	// KeepRacksFree places tasks that may run in any rack outside those that were full for tasks
	// that prefer them, as far as there is capacity.
	KeepRacksFree bool `json:"keep_racks_free"`
}

// UsesZones reports whether decisions depend on the availability zones in which jobs were
// accepted; nil is DefaultPolicy.
func (p *Policy) UsesZones() bool {
	return p != nil && (p.FairShare || p.Admission == admission.RefuseByShare)
}

// AdmissionMode returns the mode of admission; nil is that of DefaultPolicy.
func (p *Policy) AdmissionMode() admission.Mode {
	if p == nil {
		return admission.AcceptAll
	}
	return p.Admission
}

// DefaultPolicy is the policy of deployments. The sources of its values are documented with the
// fields and in docs/POLICY.md.
func DefaultPolicy() Policy {
	return Policy{
		Order: OrderWork, ShortFirst: true, Placement: PlacementScored,
		ReserveMost: 0.12, ReserveOn: 3, ReservePatienceMS: 4000,
		PurityWeight: 4, EmptyPurity: 0.6, KeepEmpty: 0.1, EffectPenalty: 3, PeakLimit: 0.92, RoomLimit: 0.93, StarvedAfterMS: 2000, StarvedCrowdedMS: 20_000,
		LearnDurations: true, DurationEstimates: EstimateRatio, Learn: true, Pace: true, PaceAtStart: true, PressedAt: 0.88, AimAt: 0.8, BlindAfterMS: 1500, MoveBelow: 20,
		Quarantine: true, Rescue: true, Copies: true, MoveOffDraining: true,
		Admission: admission.AcceptAll, FairShareTolerance: 0.1, FairShareWindowMS: 5000,
		Stragglers: runtimes.WayRate,
		Locality:   locality.ExpectedCost, LocalityWaitMS: 1000, KeepRacksFree: false,
	}
}

// Validate returns nil or an error that names the invalid field and the accepted values.
func (p *Policy) Validate() error {
	for _, share := range []struct {
		name  string
		value float64
	}{
		{"reserve_most", p.ReserveMost},
		{"peak_limit", p.PeakLimit},
		{"room_limit", p.RoomLimit},
		{"keep_empty", p.KeepEmpty},
		{"pressed_at", p.PressedAt},
		{"aim_at", p.AimAt},
		{"move_below", float64(p.MoveBelow) / 100},
		{"fair_share_tolerance", p.FairShareTolerance},
	} {
		if share.value < 0 || share.value > 1 {
			return fmt.Errorf("%s: give a share from 0 to 1 (move_below: 0 to 100), not %g", share.name, share.value)
		}
	}
	switch {
	case p.Order != OrderWork && p.Order != OrderSlack && p.Order != OrderArrival:
		return fmt.Errorf("order: use %s, %s or %s", OrderWork, OrderSlack, OrderArrival)
	case p.Placement != PlacementScored && p.Placement != PlacementFirst && p.Placement != PlacementLeastLoaded:
		return fmt.Errorf("placement: use %s, %s or %s", PlacementScored, PlacementFirst, PlacementLeastLoaded)
	case p.DurationEstimates != EstimateRatio && p.DurationEstimates != EstimateRegression:
		return fmt.Errorf("duration_estimates: use %s or %s", EstimateRatio, EstimateRegression)
	case p.Stragglers != runtimes.WayRate && p.Stragglers != runtimes.WayGain && p.Stragglers != runtimes.WayIdle:
		return fmt.Errorf("stragglers: use %s, %s or %s", runtimes.WayRate, runtimes.WayGain, runtimes.WayIdle)
	case !(p.SpeedWeight >= 0 && p.SpeedWeight <= maxSpeedWeight):
		return fmt.Errorf("speed_weight: give 0 to %g, not %g", maxSpeedWeight, p.SpeedWeight)
	case p.AimAt > p.PressedAt:
		return fmt.Errorf("aim_at: give at most pressed_at (%g), or slowed fillers are slowed again", p.PressedAt)
	case p.PressedAt == 0 || p.AimAt == 0:
		return fmt.Errorf("pressed_at, aim_at: give more than 0; to slow nothing set pace to false")
	case p.ReserveOn < 1:
		return fmt.Errorf("reserve_on: give 1 or more")
	case p.PurityWeight < 0 || p.EffectPenalty < 0:
		return fmt.Errorf("purity_weight, effect_penalty: give 0 or more")
	case !p.Locality.Valid():
		return fmt.Errorf("locality: use %s, %s or %s", locality.AtOnce, locality.Constant, locality.ExpectedCost)
	case p.LocalityWaitMS < 0:
		return fmt.Errorf("locality_wait_ms: give 0 or more milliseconds")
	case p.ReservePatienceMS < 0 || p.StarvedAfterMS < 0 || p.StarvedCrowdedMS < 0 || p.BlindAfterMS < 0:
		return fmt.Errorf("reserve_patience_ms, starved_after_ms, starved_crowded_ms, blind_after_ms: give 0 or more milliseconds")
	case !p.Admission.Valid():
		return fmt.Errorf("admission: use %s, %s or %s", admission.AcceptAll, admission.RefuseLate, admission.RefuseByShare)
	case p.FairShareWindowMS < 1:
		return fmt.Errorf("fair_share_window_ms: give 1 or more milliseconds")
	case p.FairSharePatienceMS < 0:
		return fmt.Errorf("fair_share_patience_ms: give 0 or more milliseconds")
	}
	return nil
}

// maxSpeedWeight bounds SpeedWeight; beyond it, no other term of the score counts.
const maxSpeedWeight = 10.0

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
