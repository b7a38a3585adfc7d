package experiment

import (
	"fmt"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/scheduler/locality"
)

// Racks describes how much the rack of a task matters.
type Racks struct {
	// FarFactor is how many times as long a task takes in another rack than that of its data or
	// its group; 0 for no difference.
	FarFactor float64 `json:"far_factor"`
	// Hot is the share of the jobs with a data rack that have it in the first rack.
	Hot float64 `json:"hot"`
}

// Preferences are the shares of jobs that prefer a rack.
type Preferences struct {
	// Near is the share of the jobs with data in a rack, SameRack that of the others whose steps
	// have to be in one rack.
	Near     float64 `json:"near"`
	SameRack float64 `json:"same_rack"`
}

func (r *Racks) bounds() []bound {
	return []bound{{"racks.far_factor", r.FarFactor, 0, 100}, {"racks.hot", r.Hot, 0, 1}}
}

func (p *Preferences) bounds(name string) []bound {
	return []bound{{name + ".racks.near", p.Near, 0, 1}, {name + ".racks.same_rack", p.SameRack, 0, 1}}
}

func rackName(i int) string { return fmt.Sprintf("r%d", i) }

// preferRack gives a job a preferred rack by chance. Scenarios without racks draw nothing, so that
// their worlds do not change.
func (g *generator) preferRack(j *job, p *Preferences) {
	if p.Near == 0 && p.SameRack == 0 {
		return
	}
	fleet := &g.scenario.Fleet
	rack := rackName(g.IntN((fleet.VMs + fleet.RackOf - 1) / fleet.RackOf))
	if g.Float64() < g.scenario.Racks.Hot {
		rack = rackName(0)
	}
	near, sameRack := g.Float64() < p.Near, g.Float64() < p.SameRack
	for i := range j.spec.Steps {
		switch {
		case near:
			j.spec.Steps[i].DataRack = rack
		case sameRack:
			j.spec.Steps[i].SameRack = true
		}
	}
}

// stepID identifies a step of a job.
type stepID struct {
	job  string
	step int
}

// countRacks counts the runs of each step that prefers one rack, by rack.
func (f *fleet) countRacks() map[stepID]map[string]int {
	if f.scenario.Short.Racks.SameRack == 0 && f.scenario.Fillers.Racks.SameRack == 0 {
		return nil
	}
	counts := map[stepID]map[string]int{}
	for _, v := range f.vms {
		for _, r := range v.orderedRuns {
			if !r.spec.SameRack {
				continue
			}
			id := stepID{r.order.Task.Job, r.order.Task.Step}
			if counts[id] == nil {
				counts[id] = map[string]int{}
			}
			counts[id][v.inst.Rack()]++
		}
	}
	return counts
}

// isAway reports whether a run is outside the rack that its task prefers.
func (f *fleet) isAway(v *vm, r *run) bool {
	return isAwayFromData(&v.inst, r.spec) || (r.spec.SameRack && len(f.racksByStep[stepID{r.order.Task.Job, r.order.Task.Step}]) > 1)
}

func isAwayFromData(inst *batch.Instance, spec *batch.Step) bool {
	return spec.DataRack != "" && inst.Rack() != spec.DataRack
}

// rackFactor is how many times as long a run takes because of its rack.
func (f *fleet) rackFactor(v *vm, r *run) float64 {
	if f.scenario.Racks.FarFactor > 1 && f.isAway(v, r) {
		return f.scenario.Racks.FarFactor
	}
	return 1
}

// localityVariants are ways of waiting for places that are not the default.
func localityVariants() []Variant {
	at := func(name string, set func(*scheduler.Policy)) Variant {
		v := Variant{Name: name, Policy: scheduler.DefaultPolicy()}
		set(&v.Policy)
		return v
	}
	return []Variant{
		at("waits-1s", func(p *scheduler.Policy) { p.Locality, p.LocalityWaitMS = locality.Constant, 1000 }),
		at("waits-3s", func(p *scheduler.Policy) { p.Locality, p.LocalityWaitMS = locality.Constant, 3000 }),
		at("racks-kept-free", func(p *scheduler.Policy) { p.KeepRacksFree = true }),
	}
}

// countPlaces counts what the scheduler logs of runs away and waits.
func (p *player) countPlaces(d scheduler.Decision) {
	switch d.Event {
	case scheduler.EventRunAway:
		p.result.RunsAway++
	case scheduler.EventPlaceWaitEnded:
		p.result.RackWaitS += d.Age.Seconds()
	}
}
