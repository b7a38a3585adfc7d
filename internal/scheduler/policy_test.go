package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Deployments use the default policy, which must pass its own validation.
func TestDefaultPolicyIsValid(t *testing.T) {
	p := DefaultPolicy()
	require.NoError(t, p.Validate())
}

// The error for an invalid policy must name the field.
func TestInvalidPoliciesAreRejected(t *testing.T) {
	for field, change := range map[string]func(*Policy){
		"order":                  func(p *Policy) { p.Order = "random" },
		"placement":              func(p *Policy) { p.Placement = "" },
		"room_limit":             func(p *Policy) { p.RoomLimit = 1.5 },
		"peak_limit":             func(p *Policy) { p.PeakLimit = -0.1 },
		"move_below":             func(p *Policy) { p.MoveBelow = 101 },
		"aim_at":                 func(p *Policy) { p.AimAt = 0.95 },
		"pressed_at":             func(p *Policy) { p.PressedAt, p.AimAt = 0, 0 },
		"reserve_on":             func(p *Policy) { p.ReserveOn = 0 },
		"purity_weight":          func(p *Policy) { p.PurityWeight = -1 },
		"starved_after_ms":       func(p *Policy) { p.StarvedAfterMS = -1 },
		"keep_empty":             func(p *Policy) { p.KeepEmpty = 2 },
		"reserve_most":           func(p *Policy) { p.ReserveMost = 2 },
		"stragglers":             func(p *Policy) { p.Stragglers = "always" },
		"speed_weight":           func(p *Policy) { p.SpeedWeight = 11 },
		"speed_weight: give":     func(p *Policy) { p.SpeedWeight = math.NaN() },
		"blind_after_ms":         func(p *Policy) { p.BlindAfterMS = -5 },
		"effect_penalty":         func(p *Policy) { p.EffectPenalty = -2 },
		"reserve_patience_ms":    func(p *Policy) { p.ReservePatienceMS = -1 },
		"pressed_at, aim_at: ":   func(p *Policy) { p.AimAt = 0 },
		"admission":              func(p *Policy) { p.Admission = "some" },
		"fair_share_tolerance":   func(p *Policy) { p.FairShareTolerance = -1 },
		"fair_share_window_ms":   func(p *Policy) { p.FairShareWindowMS = 0 },
		"fair_share_patience_ms": func(p *Policy) { p.FairSharePatienceMS = -1 },
		"locality: use":          func(p *Policy) { p.Locality = "sometimes" },
		"locality_wait_ms":       func(p *Policy) { p.LocalityWaitMS = -1 },
	} {
		p := DefaultPolicy()
		change(&p)
		require.ErrorContains(t, p.Validate(), field)
	}
}
