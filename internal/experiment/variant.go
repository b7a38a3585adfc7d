package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
	"github.com/rattanwall/rattanwall/internal/scheduler/locality"
	"github.com/rattanwall/rattanwall/internal/scheduler/runtimes"
)

// Variant is a policy to compare, optionally with changed knowledge or interference.
type Variant struct {
	Name   string
	Policy scheduler.Policy
	// Informed gives the scheduler the true mean durations and the true interference. It bounds
	// what the policy could reach if it had nothing to learn.
	Informed bool
	// WithoutInterference removes the effects of fillers on serving tasks. It bounds the work
	// that the fleet could do.
	WithoutInterference bool
}

// Default names the variant with the default policy, which is the first of every comparison.
const Default = "default"

// Variants returns the built-in variants: the default policy, baselines, upper bounds, the default
// policy with one question decided otherwise, and the default policy with one mechanism disabled each, whose names begin with "no-".
func Variants() []Variant {
	list := []Variant{
		{Name: Default, Policy: scheduler.DefaultPolicy()},
		{Name: "first-come", Policy: firstComePolicy()},
		{Name: "least-loaded", Policy: leastLoadedPolicy()},
		{Name: "informed", Policy: scheduler.DefaultPolicy(), Informed: true},
		{Name: "refuse-late", Policy: admissionPolicy(admission.RefuseLate)},
		{Name: "refuse-by-share", Policy: admissionPolicy(admission.RefuseByShare)},
		{Name: "fair-share", Policy: fairSharePolicy()},
		{Name: "unpressed", Policy: scheduler.DefaultPolicy(), WithoutInterference: true},
	}
	for _, alternative := range alternatives {
		p := scheduler.DefaultPolicy()
		alternative.set(&p)
		list = append(list, Variant{Name: alternative.name, Policy: p})
	}
	list = append(list, localityVariants()...)
	for _, ablation := range ablations {
		p := scheduler.DefaultPolicy()
		ablation.set(&p)
		list = append(list, Variant{Name: "no-" + ablation.name, Policy: p})
	}
	return list
}

// admissionPolicy refuses jobs that can't be done in time.
func admissionPolicy(mode admission.Mode) scheduler.Policy {
	p := scheduler.DefaultPolicy()
	p.Admission = mode
	return p
}

// fairSharePolicy divides scarce room among queues and zones of callers.
func fairSharePolicy() scheduler.Policy {
	p := scheduler.DefaultPolicy()
	p.FairShare = true
	return p
}

// firstComePolicy orders jobs first come, first served, and places tasks by first fit.
func firstComePolicy() scheduler.Policy {
	p := scheduler.DefaultPolicy()
	p.Order, p.Placement, p.ReserveMost, p.StarvedAfterMS, p.StarvedCrowdedMS = scheduler.OrderArrival, scheduler.PlacementFirst, 0, 0, 0
	p.Learn, p.Pace, p.BlindAfterMS, p.MoveBelow = false, false, 0, 0
	return p
}

// leastLoadedPolicy orders jobs by slack and places tasks on the VM with the most free capacity.
func leastLoadedPolicy() scheduler.Policy {
	p := firstComePolicy()
	p.Order, p.Placement = scheduler.OrderSlack, scheduler.PlacementLeastLoaded
	return p
}

// alternatives decide one question otherwise than the default policy.
var alternatives = []struct {
	name string
	set  func(*scheduler.Policy)
}{
	{"copies-by-gain", func(p *scheduler.Policy) { p.Stragglers = runtimes.WayGain }},
	{"copies-if-idle", func(p *scheduler.Policy) { p.Stragglers = runtimes.WayIdle }},
	{"learned-speeds", func(p *scheduler.Policy) { p.SpeedWeight = 1 }},
	{"gain-and-speeds", func(p *scheduler.Policy) { p.Stragglers, p.SpeedWeight = runtimes.WayGain, 1 }},
}

// ablations disable one mechanism of the default policy each.
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
	{"durations", func(p *scheduler.Policy) { p.LearnDurations = false }},
	{"learning", func(p *scheduler.Policy) { p.Learn = false }},
	{"pacing", func(p *scheduler.Policy) { p.Pace = false }},
	{"blind-stop", func(p *scheduler.Policy) { p.BlindAfterMS = 0 }},
	{"moves", func(p *scheduler.Policy) { p.MoveBelow = 0 }},
	{"quarantine", func(p *scheduler.Policy) { p.Quarantine = false }},
	{"rescue", func(p *scheduler.Policy) { p.Rescue = false }},
	{"copies", func(p *scheduler.Policy) { p.Copies = false }},
	{"locality", func(p *scheduler.Policy) { p.Locality = locality.AtOnce }},
	{"evacuation", func(p *scheduler.Policy) { p.MoveOffDraining = false }},
}

// Choose returns the default variant followed by the named built-in variants.
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

// Names returns the names of the variants, separated by commas.
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

// ParseVariant returns a variant of the default policy with the fields that raw, as JSON, sets.
func ParseVariant(name string, raw []byte) (Variant, error) {
	policy, err := scheduler.ReadPolicy(name, raw)
	if err != nil {
		return Variant{Name: name}, err
	}
	return Variant{Name: name, Policy: policy}, nil
}

// apply modifies a world as the variant requires.
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

// knownWeight is the weight of the true interference in the model, in squares of shares of a
// VM; it outweighs all observations during a play.
const knownWeight = 1e6

// trueInterference returns the world's interference in the form that an earlier leader would
// have learned.
func (w *world) trueInterference(servingImages, fillerImages int) scheduler.InterferenceModel {
	m := scheduler.InterferenceModel{Pairs: map[string]scheduler.NormalEquations{}}
	for f := range fillerImages {
		m.Images = append(m.Images, imageName("fill", f))
	}
	for n := range servingImages {
		equations := scheduler.NormalEquations{A: make([][]float32, fillerImages+1), B: make([]float32, fillerImages+1)}
		for i := range equations.A {
			equations.A[i] = make([]float32, fillerImages+1)
			equations.A[i][i] = knownWeight
		}
		for f := range fillerImages {
			equations.B[f+1] = float32(knownWeight * w.slopes[[2]string{imageName("serve", n), imageName("fill", f)}].mean)
		}
		m.Pairs[imageName("serve", n)] = equations
	}
	return m
}
