// Package experiment plays the scheduler's production decisions against a modelled
// fleet in virtual time, without sockets, and compares policies over the same seeds.
//
// What is modelled: arrivals by kind with sizes, steps and widths; VMs with true
// speeds; the load of what serves, in swings; interference between images that the
// scheduler is not told; reports that lag and are rough; VMs that slow, stall, fail
// and are lost; take-overs. What is not: the store, the network and callers' retries.
// docs/POLICY.md compares its figures with those of whole deployments.
package experiment

import (
	"fmt"
	"os"
	"time"

	"github.com/rattanwall/rattanwall/internal/settings"
)

// Scenario is a load on a fleet, and what befalls them. Times are in seconds from the
// start of the load; before it the fleet has LeadS to take up what is there already.
type Scenario struct {
	// Name heads the report.
	Name string `json:"name"`
	// LeadS is how long lasting work is there before the load; LoadS how long jobs
	// arrive; AfterS how long those that came last may take. Seconds.
	LeadS  float64 `json:"lead_s"`
	LoadS  float64 `json:"load_s"`
	AfterS float64 `json:"after_s"`
	Fleet  Fleet   `json:"fleet"`
	Leader Leader  `json:"leader"`
	// Serving is lasting work with users of its own, Short tasks hold processors for a
	// while, Fillers use what the others leave.
	Serving Serving `json:"serving"`
	Short   Batch   `json:"short"`
	Fillers Batch   `json:"fillers"`
	// Interference is who presses on whom.
	Interference Interference `json:"interference"`
	Faults       []Fault      `json:"faults"`
}

// Fleet is the VMs.
type Fleet struct {
	VMs int `json:"vms"`
	// Cores are the processors of a VM, Sizes factors of it that VMs have in turn.
	Cores float64   `json:"cores"`
	Sizes []float64 `json:"sizes"`
	// MemoryGB goes with Cores.
	MemoryGB float64 `json:"memory_gb"`
	// RackOf is how many VMs share a rack.
	RackOf int `json:"rack_of"`
	// ReportMS is the time between two reports of a VM, in milliseconds.
	ReportMS int64 `json:"report_ms"`
}

// Leader is the process that decides.
type Leader struct {
	// StartsPerS is how many starts its processor can give in a second, one after the other;
	// 0 is without bound.
	StartsPerS float64 `json:"starts_per_s"`
}

// Serving is lasting work whose tails must stay below a target.
type Serving struct {
	// Jobs are there at the start; PerS more arrive a second.
	Jobs int     `json:"jobs"`
	PerS float64 `json:"per_s"`
	// Tasks is the mean of a job's tasks, Cores that of what each declares.
	Tasks float64 `json:"tasks"`
	Cores float64 `json:"cores"`
	// Images is how many there are.
	Images int `json:"images"`
	// MeanLoad is the share of its declared processors that a task uses on average,
	// Swing by how much of it that rises and falls within SwingS seconds.
	MeanLoad float64 `json:"mean_load"`
	Swing    float64 `json:"swing"`
	SwingS   float64 `json:"swing_s"`
	// TargetTimes is the target of the tail in multiples of the tail without load.
	TargetTimes float64 `json:"target_times"`
	// StayS is how long a job that arrives during the load stays, in seconds, on average.
	StayS float64 `json:"stay_s"`
	// FailsPerMinute is how often a task fails.
	FailsPerMinute float64 `json:"fails_per_minute"`
	// Worth of a job's whole work for two seconds.
	Worth   float64 `json:"worth"`
	Terms   Terms   `json:"terms"`
	StartMS int64   `json:"start_ms"`
}

// Batch is work that ends.
type Batch struct {
	PerS float64 `json:"per_s"`
	// Steps, Tasks, Seconds and Cores are means: of a job's steps, one after the other,
	// of a step's tasks, and of what each takes.
	Steps   float64 `json:"steps"`
	Tasks   float64 `json:"tasks"`
	Seconds float64 `json:"seconds"`
	Cores   float64 `json:"cores"`
	// MemoryGB is what a task takes, on average.
	MemoryGB float64 `json:"memory_gb"`
	// EstimateError is the standard deviation of the logarithm of the declared duration
	// over the true one; 0.9 is a factor of 2.5.
	EstimateError float64 `json:"estimate_error"`
	// Used is the share of its declared processors that a task uses, on average.
	Used   float64 `json:"used"`
	Images int     `json:"images"`
	// Checkpoints is the share of steps that can resume.
	Checkpoints float64 `json:"checkpoints"`
	// Fails is the share of runs that fail.
	Fails float64 `json:"fails"`
	// Worth is that of a job of mean work.
	Worth  float64 `json:"worth"`
	Terms  Terms   `json:"terms"`
	Bursts []Burst `json:"bursts"`
}

// Terms are a queue's: the objective is Stretch times a job's longest chain of work,
// and SlackS seconds.
type Terms struct {
	Stretch  float64 `json:"stretch"`
	SlackS   float64 `json:"slack_s"`
	Attempts int     `json:"attempts"`
	Priority int     `json:"priority"`
}

// Burst multiplies arrivals for a while.
type Burst struct {
	AtS   float64 `json:"at_s"`
	ForS  float64 `json:"for_s"`
	Times float64 `json:"times"`
}

// Interference is who presses on whom: what serves minds one of the shared resources,
// a filler may press on one. Where both are the same, the tail grows by the factor
// exp(slope x share of the VM's processors that the filler uses).
type Interference struct {
	// Resources is how many there are; fewer bring more pairs that press.
	Resources int `json:"resources"`
	// Pressing is the share of filler images that press on one.
	Pressing float64 `json:"pressing"`
	// Slope is the mean, Wobble the share of it by which it changes within seconds.
	Slope  float64 `json:"slope"`
	Wobble float64 `json:"wobble"`
}

// FaultKind is what befalls VMs or the leader.
type FaultKind string

// The kinds of fault.
const (
	// FaultSlow: VMs take Times as long.
	FaultSlow FaultKind = "slow"
	// FaultStalled: what runs on VMs stands still.
	FaultStalled FaultKind = "stalled"
	// FaultFailing: VMs fail what they start.
	FaultFailing FaultKind = "failing"
	// FaultLost: VMs are gone for good.
	FaultLost FaultKind = "lost"
	// FaultTakeover: there is no leader for a while; then another takes over.
	FaultTakeover FaultKind = "takeover"
	// FaultCrashing: a share of the jobs that come have a task that ends each VM which
	// begins it; the VMs come back.
	FaultCrashing FaultKind = "crashing"
	// FaultShrunk: VMs have a part of their capacity only, one in Times.
	FaultShrunk FaultKind = "shrunk"
	// FaultRestarted: VMs end, and start again under their IDs when the fault is over.
	FaultRestarted FaultKind = "restarted"
)

// Fault befalls a share of the VMs, or the leader, for a while.
type Fault struct {
	Kind  FaultKind `json:"kind"`
	AtS   float64   `json:"at_s"`
	ForS  float64   `json:"for_s"`
	Share float64   `json:"share"`
	Times float64   `json:"times"`
}

// The largest scenario: what one process plays in minutes.
const (
	maxVMs     = 5000
	maxSeconds = 3600
	maxPerS    = 1000
	maxTasks   = 500
	maxCores   = 1024
	maxImages  = 100
	maxFaults  = 100
)

// Load reads and checks a scenario file: JSON with comments.
func Load(path string) (Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario: %w; give the path of a file, or one of the names that --list prints", err)
	}
	return Parse(path, raw)
}

// Parse checks raw; name stands for the file in errors, which list every fault.
func Parse(name string, raw []byte) (Scenario, error) {
	var s Scenario
	d, err := settings.Read(name, raw, &s)
	if err != nil {
		return s, err
	}
	s.check(d)
	return s, d.Err()
}

// bound is what a field may be.
type bound struct {
	field     string
	value     float64
	low, high float64
}

func (s *Scenario) check(d *settings.Document) {
	if s.Name == "" {
		d.Fault("name", "give the scenario a name")
	}
	bounds := []bound{
		{"lead_s", s.LeadS, 1, maxSeconds},
		{"load_s", s.LoadS, 1, maxSeconds},
		{"after_s", s.AfterS, 0, maxSeconds},
		{"fleet.vms", float64(s.Fleet.VMs), 1, maxVMs},
		{"fleet.cores", s.Fleet.Cores, 0.1, maxCores},
		{"fleet.memory_gb", s.Fleet.MemoryGB, 0.1, 1 << 20},
		{"fleet.rack_of", float64(s.Fleet.RackOf), 1, maxVMs},
		{"fleet.report_ms", float64(s.Fleet.ReportMS), 100, 10_000},
	}
	for i, size := range s.Fleet.Sizes {
		bounds = append(bounds, bound{fmt.Sprintf("fleet.sizes[%d]", i), size, 0.01, 100})
	}
	bounds = append(bounds, s.Serving.bounds()...)
	bounds = append(bounds, s.Short.bounds("short")...)
	bounds = append(bounds, s.Fillers.bounds("fillers")...)
	bounds = append(bounds, s.Interference.bounds()...)
	for _, b := range bounds {
		if b.value < b.low || b.value > b.high {
			d.Fault(b.field, fmt.Sprintf("give %g to %g, not %g", b.low, b.high, b.value))
		}
	}
	s.checkFaults(d)
}

func (s *Serving) bounds() []bound {
	return append(s.Terms.bounds("serving"),
		bound{"serving.jobs", float64(s.Jobs), 0, maxVMs}, bound{"serving.per_s", s.PerS, 0, maxPerS},
		bound{"serving.tasks", s.Tasks, 1, maxTasks}, bound{"serving.cores", s.Cores, 0.01, maxCores},
		bound{"serving.images", float64(s.Images), 1, maxImages}, bound{"serving.mean_load", s.MeanLoad, 0.01, 0.9},
		bound{"serving.swing", s.Swing, 0, 1}, bound{"serving.swing_s", s.SwingS, 0.5, maxSeconds},
		bound{"serving.target_times", s.TargetTimes, 1, 1000}, bound{"serving.stay_s", s.StayS, 1, maxSeconds},
		bound{"serving.fails_per_minute", s.FailsPerMinute, 0, 60}, bound{"serving.worth", s.Worth, 0, 1e6},
		bound{"serving.start_ms", float64(s.StartMS), 0, 60_000})
}

func (b *Batch) bounds(name string) []bound {
	list := append(b.Terms.bounds(name),
		bound{name + ".per_s", b.PerS, 0, maxPerS}, bound{name + ".steps", b.Steps, 1, 20}, bound{name + ".tasks", b.Tasks, 1, maxTasks},
		bound{name + ".seconds", b.Seconds, 0.01, maxSeconds}, bound{name + ".cores", b.Cores, 0.01, maxCores},
		bound{name + ".memory_gb", b.MemoryGB, 0, 1 << 20}, bound{name + ".estimate_error", b.EstimateError, 0, 3},
		bound{name + ".used", b.Used, 0.01, 1}, bound{name + ".images", float64(b.Images), 1, maxImages},
		bound{name + ".checkpoints", b.Checkpoints, 0, 1}, bound{name + ".fails", b.Fails, 0, 0.9}, bound{name + ".worth", b.Worth, 0, 1e6})
	for i, burst := range b.Bursts {
		at := fmt.Sprintf("%s.bursts[%d].", name, i)
		list = append(list, bound{at + "at_s", burst.AtS, 0, maxSeconds}, bound{at + "for_s", burst.ForS, 0.1, maxSeconds}, bound{at + "times", burst.Times, 0, 100})
	}
	return list
}

func (t *Terms) bounds(name string) []bound {
	return []bound{
		{name + ".terms.stretch", t.Stretch, 0, 1000},
		{name + ".terms.slack_s", t.SlackS, 0, maxSeconds},
		{name + ".terms.attempts", float64(t.Attempts), 1, 100},
		{name + ".terms.priority", float64(t.Priority), 0, 100},
	}
}

func (i *Interference) bounds() []bound {
	return []bound{
		{"interference.resources", float64(i.Resources), 1, maxImages},
		{"interference.pressing", i.Pressing, 0, 1},
		{"interference.slope", i.Slope, 0, 100},
		{"interference.wobble", i.Wobble, 0, 1},
	}
}

func (s *Scenario) checkFaults(d *settings.Document) {
	if len(s.Faults) > maxFaults {
		d.Fault("faults", fmt.Sprintf("give at most %d", maxFaults))
	}
	for i, f := range s.Faults {
		at := fmt.Sprintf("faults[%d].", i)
		switch f.Kind {
		case FaultSlow, FaultStalled, FaultFailing, FaultLost, FaultTakeover, FaultCrashing, FaultShrunk, FaultRestarted:
		default:
			d.Fault(at+"kind", fmt.Sprintf("use %s, %s, %s, %s, %s, %s, %s or %s", FaultSlow, FaultStalled, FaultFailing, FaultLost, FaultTakeover, FaultCrashing, FaultShrunk, FaultRestarted))
		}
		if f.AtS < 0 || f.AtS > maxSeconds || f.ForS < 0 || f.ForS > maxSeconds {
			d.Fault(at+"at_s", fmt.Sprintf("give times from 0 to %d", maxSeconds))
		}
		if f.Share < 0 || f.Share > 1 {
			d.Fault(at+"share", "give a share from 0 to 1")
		}
		if (f.Kind == FaultSlow || f.Kind == FaultShrunk) && f.Times < 1 {
			d.Fault(at+"times", "give how many times as long the VMs take, or as little they have, 1 or more")
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
