package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/settings"
)

// Variant is a policy to be compared, and what the scheduler knows or is spared.
type Variant struct {
	Name   string
	Policy scheduler.Policy
	// Informed tells the scheduler the true durations and who presses on whom: what the
	// same policy could reach if nothing had to be found out.
	Informed bool
	// WithoutInterference plays a world in which no filler presses: what the fleet could carry.
	WithoutInterference bool
}

// Default is the policy that deployments run on, and the first of every comparison.
const Default = "default"

// Variants are the built-in ones: baselines, ceilings, and the default policy with one
// mechanism off each, whose names begin with "no-".
func Variants() []Variant {
	list := []Variant{
		{Name: Default, Policy: scheduler.DefaultPolicy()},
		{Name: "first-come", Policy: firstComePolicy()},
		{Name: "least-loaded", Policy: leastLoadedPolicy()},
		{Name: "informed", Policy: scheduler.DefaultPolicy(), Informed: true},
		{Name: "unpressed", Policy: scheduler.DefaultPolicy(), WithoutInterference: true},
	}
	for _, off := range ablations {
		p := scheduler.DefaultPolicy()
		off.set(&p)
		list = append(list, Variant{Name: "no-" + off.name, Policy: p})
	}
	return list
}

// firstComePolicy is first come, first served with first fit.
func firstComePolicy() scheduler.Policy {
	p := scheduler.DefaultPolicy()
	p.Order, p.Placement, p.ReserveMost, p.StarvedAfterMS, p.StarvedCrowdedMS = scheduler.OrderArrival, scheduler.PlacementFirst, 0, 0, 0
	p.Learn, p.Pace, p.BlindAfterMS, p.MoveBelow = false, false, 0, 0
	return p
}

// leastLoadedPolicy goes by slack and to the VM with the most room.
func leastLoadedPolicy() scheduler.Policy {
	p := firstComePolicy()
	p.Order, p.Placement = scheduler.OrderSlack, scheduler.PlacementLeastLoaded
	return p
}

// ablations turn one mechanism off each.
var ablations = []struct {
	name string
	set  func(*scheduler.Policy)
}{
	{"work-order", func(p *scheduler.Policy) { p.Order = scheduler.OrderSlack }},
	{"short-first", func(p *scheduler.Policy) { p.ShortFirst = false }},
	{"reserve", func(p *scheduler.Policy) { p.ReserveMost = 0 }},
	{"kept-empty", func(p *scheduler.Policy) { p.KeepEmpty = 0 }},
	{"starts-paced", func(p *scheduler.Policy) { p.PaceAtStart = false }},
	{"crowded", func(p *scheduler.Policy) { p.StarvedCrowdedMS = p.StarvedAfterMS }},
	{"purity", func(p *scheduler.Policy) { p.PurityWeight = 0 }},
	{"effect-penalty", func(p *scheduler.Policy) { p.EffectPenalty = 0 }},
	{"peak-limit", func(p *scheduler.Policy) { p.PeakLimit = 0 }},
	{"room-limit", func(p *scheduler.Policy) { p.RoomLimit = 1 }},
	{"starved", func(p *scheduler.Policy) { p.StarvedAfterMS, p.StarvedCrowdedMS = 0, 0 }},
	{"learning", func(p *scheduler.Policy) { p.Learn = false }},
	{"pacing", func(p *scheduler.Policy) { p.Pace = false }},
	{"blind-stop", func(p *scheduler.Policy) { p.BlindAfterMS = 0 }},
	{"moves", func(p *scheduler.Policy) { p.MoveBelow = 0 }},
	{"quarantine", func(p *scheduler.Policy) { p.Quarantine = false }},
	{"rescue", func(p *scheduler.Policy) { p.Rescue = false }},
	{"copies", func(p *scheduler.Policy) { p.Copies = false }},
	{"evacuation", func(p *scheduler.Policy) { p.Evacuate = false }},
}

// Choose returns the named built-in variants, the default one first.
func Choose(names []string) ([]Variant, error) {
	all := Variants()
	chosen := []Variant{all[0]}
	for _, name := range names {
		i := slices.IndexFunc(all, func(v Variant) bool { return v.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("no variant %q; use %s", name, Names(all))
		}
		if i > 0 {
			chosen = append(chosen, all[i])
		}
	}
	return chosen, nil
}

// Names lists the variants' names.
func Names(list []Variant) string {
	text := ""
	for i, v := range list {
		if i > 0 {
			text += ", "
		}
		text += v.Name
	}
	return text
}

// ParseVariant returns the default policy with the fields that raw gives, as JSON.
func ParseVariant(name string, raw []byte) (Variant, error) {
	v := Variant{Name: name, Policy: scheduler.DefaultPolicy()}
	if _, err := settings.Read(name, raw, &v.Policy); err != nil {
		return v, err
	}
	if err := v.Policy.Validate(); err != nil {
		return v, fmt.Errorf("%s: %w", name, err)
	}
	return v, nil
}

// apply changes a world to what the variant asks for.
func (v *Variant) apply(w *world) {
	if v.WithoutInterference {
		clear(w.slopes)
	}
	if !v.Informed {
		return
	}
	for _, j := range w.jobs {
		for i := range j.durations {
			sum := time.Duration(0)
			for _, length := range j.durations[i] {
				sum += length
			}
			j.spec.Steps[i].Estimate = sum / time.Duration(len(j.durations[i]))
		}
	}
}

// knownWeight is the evidence, in squares of shares of a VM, that outweighs all that a
// play may tell.
const knownWeight = 1e6

// trueInterference is the interference as an earlier leader would have learned it.
func (w *world) trueInterference(servingImages, fillerImages int) scheduler.InterferenceModel {
	m := scheduler.InterferenceModel{Pairs: map[string]scheduler.NormalEquations{}}
	for f := range fillerImages {
		m.Images = append(m.Images, imageName("fill", f))
	}
	for n := range servingImages {
		e := scheduler.NormalEquations{A: make([][]float32, fillerImages+1), B: make([]float32, fillerImages+1)}
		for i := range e.A {
			e.A[i] = make([]float32, fillerImages+1)
			e.A[i][i] = knownWeight
		}
		for f := range fillerImages {
			e.B[f+1] = float32(knownWeight * w.slopes[[2]string{imageName("serve", n), imageName("fill", f)}].mean)
		}
		m.Pairs[imageName("serve", n)] = e
	}
	return m
}
