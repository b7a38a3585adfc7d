package scheduler

import (
	"fmt"
	"time"
)

// QueueOrder is what the queue goes by.
type QueueOrder string

// The orders.
const (
	// OrderWork puts first what has the least work left for its worth.
	OrderWork QueueOrder = "work_over_worth"
	// OrderSlack puts first what can wait least.
	OrderSlack QueueOrder = "slack"
	// OrderArrival is first come, first served.
	OrderArrival QueueOrder = "arrival"
)

// Placement is how a VM is chosen among those with room.
type Placement string

// The placements.
const (
	// PlacementScored rates the VMs; see score.
	PlacementScored Placement = "scored"
	// PlacementFirst takes the first that has room.
	PlacementFirst Placement = "first_fit"
	// PlacementLeastLoaded takes the one with the most processors free.
	PlacementLeastLoaded Placement = "least_loaded"
)

// Policy holds the limits and weights that decide how work waits, is placed and is
// slowed, and a switch for each mechanism, so that its worth can be measured. A
// deployment runs on DefaultPolicy; only experiments and tests change it.
type Policy struct {
	// Order is what the queue goes by among jobs of one group and priority.
	Order QueueOrder `json:"order"`
	// ShortFirst puts tasks that hold processors for a while only, of jobs that can
	// meet their objective, before new lasting work: lasting tasks hold what they get
	// for minutes.
	ShortFirst bool `json:"short_first"`
	// Placement is how a VM is chosen.
	Placement Placement `json:"placement"`
	// ReserveMost bounds the share of all processors kept from lasting tasks for short
	// ones; 0 keeps none.
	ReserveMost float64 `json:"reserve_most"`
	// ReserveOn: one VM in so many keeps the reserve of all of them.
	ReserveOn int `json:"reserve_on"`
	// ReservePatienceMS is how long a lasting task that never ran leaves the reserve to
	// others, in milliseconds.
	ReservePatienceMS int64 `json:"reserve_patience_ms"`
	// PurityWeight draws serving tasks of one image together, in a score where 1 is a
	// whole VM's processors; see purity.
	PurityWeight float64 `json:"purity_weight"`
	// EmptyPurity rates a VM that serves nothing: worse than one of the same image,
	// better than one of another.
	EmptyPurity float64 `json:"empty_purity"`
	// KeepEmpty is the share of the VMs that serving tasks leave to others as long as
	// they find room elsewhere. On them fillers that press on all that serves find whole
	// processors, where they would have a tenth of a VM beside it.
	KeepEmpty float64 `json:"keep_empty"`
	// EffectPenalty keeps fillers off VMs where they press on what serves, for each
	// unit of the logarithm of a tail.
	EffectPenalty float64 `json:"effect_penalty"`
	// PeakLimit is the share of its target up to which a serving task's tail may be
	// predicted at the peak of its load for a filler to start beside it. 0 is no limit.
	PeakLimit float64 `json:"peak_limit"`
	// RoomLimit is the share of a VM's processors that may be in use: beyond nine tenths
	// all tails there grow several times over.
	RoomLimit float64 `json:"room_limit"`
	// StarvedAfterMS is how long a job may have nothing running while one of its fillers
	// could run, before that one starts beside others, in milliseconds; 0 is for ever.
	// Without it fillers that press on every serving image wait for as long as others
	// come that do not.
	StarvedAfterMS int64 `json:"starved_after_ms"`
	// StarvedCrowdedMS is the same while lasting and short tasks declare most of all
	// processors. Then hundreds of jobs wait for the little room beside what serves: a
	// task of each would be slowed to a crawl there, keep others from ending in time, and
	// press on what serves.
	StarvedCrowdedMS int64 `json:"starved_crowded_ms"`
	// Learn takes in what tails tell of interference.
	Learn bool `json:"learn"`
	// Pace slows fillers that press on what serves.
	Pace bool `json:"pace"`
	// PaceAtStart works the paces on a VM out anew when a filler has started there. With
	// the next report only it works at full pace for up to 0.6 s, a fifth of its time.
	PaceAtStart bool `json:"pace_at_start"`
	// PressedAt is the share of its target at which a serving task's predicted tail
	// counts as pressed: fillers beside it are slowed before it is over.
	PressedAt float64 `json:"pressed_at"`
	// AimAt is the share that slowing aims for. The rest is for what the prediction
	// misses: a tenth, as a standard deviation.
	AimAt float64 `json:"aim_at"`
	// BlindAfterMS is how long a tail may stay over its target with nobody to blame
	// before all fillers beside it stand still, in milliseconds; 0 is for ever. The harm
	// counts after about 4 s.
	BlindAfterMS int64 `json:"blind_after_ms"`
	// MoveBelow is the pace, in percent, at which a filler is better off elsewhere; 0
	// moves none.
	MoveBelow int `json:"move_below"`
	// Quarantine keeps work off VMs that fail what they run.
	Quarantine bool `json:"quarantine"`
	// Rescue gives tasks that stand still or crawl another place.
	Rescue bool `json:"rescue"`
	// Copies starts copies of what an unheard VM runs, where the step allows copies.
	Copies bool `json:"copies"`
	// Evacuate moves lasting tasks off VMs that leave.
	Evacuate bool `json:"evacuate"`
}

// DefaultPolicy is what deployments run on. The figures' sources are with the fields,
// and in docs/POLICY.md.
func DefaultPolicy() Policy {
	return Policy{
		Order: OrderWork, ShortFirst: true, Placement: PlacementScored,
		ReserveMost: 0.12, ReserveOn: 3, ReservePatienceMS: 4000,
		PurityWeight: 4, EmptyPurity: 0.6, KeepEmpty: 0.1, EffectPenalty: 3, PeakLimit: 0.92, RoomLimit: 0.93, StarvedAfterMS: 2000, StarvedCrowdedMS: 20_000,
		Learn: true, Pace: true, PaceAtStart: true, PressedAt: 0.88, AimAt: 0.8, BlindAfterMS: 1500, MoveBelow: 20,
		Quarantine: true, Rescue: true, Copies: true, Evacuate: true,
	}
}

// Validate returns nil or an error that names the field and the fix.
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
	case p.AimAt > p.PressedAt:
		return fmt.Errorf("aim_at: give at most pressed_at (%g), or slowed fillers are slowed again", p.PressedAt)
	case p.PressedAt == 0 || p.AimAt == 0:
		return fmt.Errorf("pressed_at, aim_at: give more than 0; to slow nothing set pace to false")
	case p.ReserveOn < 1:
		return fmt.Errorf("reserve_on: give 1 or more")
	case p.PurityWeight < 0 || p.EffectPenalty < 0:
		return fmt.Errorf("purity_weight, effect_penalty: give 0 or more")
	case p.ReservePatienceMS < 0 || p.StarvedAfterMS < 0 || p.StarvedCrowdedMS < 0 || p.BlindAfterMS < 0:
		return fmt.Errorf("reserve_patience_ms, starved_after_ms, starved_crowded_ms, blind_after_ms: give 0 or more milliseconds")
	}
	return nil
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
