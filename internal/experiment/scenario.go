// Package experiment runs the production scheduler against a simulated fleet in virtual time,
// without sockets, and compares policies over the same seeds.
//
// The model includes job arrivals by kind, with sizes, steps and widths; VMs with true speeds;
// the periodic load of serving tasks; interference between images, which the scheduler has to
// infer; delayed and inaccurate reports; VMs that slow down, stall, fail tasks, crash, restart,
// shrink or are lost; and changes of the leader. It does not include the store, the network and
// callers' retries other than those of refused jobs. docs/POLICY.md compares its results with those of whole deployments.
package experiment

import (
	"fmt"
	"os"
	"time"

	"github.com/rattanwall/rattanwall/internal/settings"
)

// Scenario describes a fleet, its load and its faults. Times are in seconds from the start of
// the load; the fleet has LeadS before that to start the serving jobs present at the beginning.
type Scenario struct {
	// Name is shown at the head of the report.
	Name string `json:"name"`
	// LeadS is the time before the load, for the first serving jobs to start; LoadS the time
	// during which jobs arrive; AfterS the time after it, for the last jobs to finish. Seconds.
	LeadS  float64 `json:"lead_s"`
	LoadS  float64 `json:"load_s"`
	AfterS float64 `json:"after_s"`
	Fleet  Fleet   `json:"fleet"`
	Leader Leader  `json:"leader"`
	// Serving jobs have lasting tasks with a latency target, Short jobs have tasks that reserve
	// processors for a limited time, and Fillers use the processors that the others leave idle.
	Serving Serving `json:"serving"`
	Short   Batch   `json:"short"`
	Fillers Batch   `json:"fillers"`
	// Racks is how much the rack of a task matters; see Batch.Racks.
	Racks Racks `json:"racks"`
	// Interference is the effect of fillers on serving tasks.
	Interference Interference `json:"interference"`
	Faults       []Fault      `json:"faults"`
	Callers      Callers      `json:"callers"`
}

// Fleet describes the VMs.
type Fleet struct {
	VMs int `json:"vms"`
	// Cores is the number of processors of a VM. Sizes are factors of a VM's size, assigned to
	// VMs in turn.
	Cores float64   `json:"cores"`
	Sizes []float64 `json:"sizes"`
	// MemoryGB is the memory of a VM of size 1.
	MemoryGB float64 `json:"memory_gb"`
	// RackOf is the number of VMs per rack.
	RackOf int `json:"rack_of"`
	// ReportMS is the interval between reports of a VM, in milliseconds.
	ReportMS int64 `json:"report_ms"`
}

// Leader describes the process that runs the scheduler.
type Leader struct {
	// StartsPerS is the maximum number of starts per second that its processor can send, one
	// after the other; 0 is unlimited.
	StartsPerS float64 `json:"starts_per_s"`
}

// Serving describes jobs of lasting tasks whose tail latency must stay below a target.
type Serving struct {
	// Jobs is the number of jobs present at the start; PerS more arrive per second.
	Jobs int     `json:"jobs"`
	PerS float64 `json:"per_s"`
	// Tasks is the mean number of tasks of a job, Cores the mean processors that each declares.
	Tasks float64 `json:"tasks"`
	Cores float64 `json:"cores"`
	// Images is the number of different images.
	Images int `json:"images"`
	// MeanLoad is the mean share of its declared processors that a task uses. The load varies
	// by the fraction Swing of it, with a period of SwingS seconds.
	MeanLoad float64 `json:"mean_load"`
	Swing    float64 `json:"swing"`
	SwingS   float64 `json:"swing_s"`
	// TargetTimes is the target of the tail latency in multiples of that without load.
	TargetTimes float64 `json:"target_times"`
	// StayS is the mean time until a job that arrives during the load is cancelled, in seconds.
	StayS float64 `json:"stay_s"`
	// FailsPerMinute is the failure rate of a running task.
	FailsPerMinute float64 `json:"fails_per_minute"`
	// Worth is the value of a job for each two seconds in which all its tasks are ready and
	// within their target.
	Worth   float64 `json:"worth"`
	Terms   Terms   `json:"terms"`
	StartMS int64   `json:"start_ms"`
}

// Batch describes jobs of tasks that finish.
type Batch struct {
	PerS float64 `json:"per_s"`
	// Steps is the mean number of steps of a job, which run one after the other; Tasks the mean
	// number of tasks of a step; Seconds and Cores the mean duration and processors of a task.
	Steps   float64 `json:"steps"`
	Tasks   float64 `json:"tasks"`
	Seconds float64 `json:"seconds"`
	Cores   float64 `json:"cores"`
	// MemoryGB is the mean memory of a task.
	MemoryGB float64 `json:"memory_gb"`
	// EstimateError is the standard deviation of the logarithm of the ratio of declared to true
	// duration; 0.9 is a factor of 2.5.
	EstimateError float64 `json:"estimate_error"`
	// Used is the mean share of its declared processors that a task uses.
	Used   float64 `json:"used"`
	Images int     `json:"images"`
	// LongTasks is the share of tasks, LongJobs that of jobs all of whose tasks, take LongTimes
	// times as long. A job's declared durations cover LongJobs, but not LongTasks.
	LongTasks float64 `json:"long_tasks"`
	LongJobs  float64 `json:"long_jobs"`
	LongTimes float64 `json:"long_times"`
	// Copies is the share of steps whose tasks may run in several copies.
	Copies float64 `json:"copies"`
	// Checkpoints is the share of steps whose tasks resume from checkpoints.
	Checkpoints float64 `json:"checkpoints"`
	// RestoreMS is the time that a task takes to resume from a checkpoint, in milliseconds.
	RestoreMS int64 `json:"restore_ms"`
	// Fails is the share of runs that fail.
	Fails float64 `json:"fails"`
	// Worth is the value of a job of mean work.
	Worth  float64 `json:"worth"`
	Terms  Terms   `json:"terms"`
	Bursts []Burst `json:"bursts"`
	// Racks are the shares of jobs that prefer a rack.
	Racks Preferences `json:"racks"`
}

// Terms are the settings of a queue. A job's objective is to finish within Stretch times its
// critical path plus SlackS seconds.
type Terms struct {
	Stretch  float64 `json:"stretch"`
	SlackS   float64 `json:"slack_s"`
	Attempts int     `json:"attempts"`
	Priority int     `json:"priority"`
}

// Burst multiplies the arrival rate by Times for ForS seconds.
type Burst struct {
	AtS   float64 `json:"at_s"`
	ForS  float64 `json:"for_s"`
	Times float64 `json:"times"`
}

// Interference describes the effect of fillers on serving tasks of the same VM. Each serving
// image is sensitive to one of the shared resources; a filler image may put pressure on one. If
// both are the same, the tail latency grows by the factor
// exp(slope x share of the VM's processors that the filler uses).
type Interference struct {
	// Resources is the number of shared resources; with fewer, more pairs of images interfere.
	Resources int `json:"resources"`
	// Pressing is the share of filler images that put pressure on a resource.
	Pressing float64 `json:"pressing"`
	// Slope is the mean slope, Wobble the fraction of it by which it varies within seconds.
	Slope  float64 `json:"slope"`
	Wobble float64 `json:"wobble"`
}

// FaultKind is a kind of fault of VMs or of the leader.
type FaultKind string

// The kinds of fault.
const (
	// FaultSlow multiplies the duration of work on VMs by Times.
	FaultSlow FaultKind = "slow"
	// FaultStalled stops the progress of all runs on VMs.
	FaultStalled FaultKind = "stalled"
	// FaultFailing makes all runs fail that VMs start.
	FaultFailing FaultKind = "failing"
	// FaultLost removes VMs permanently.
	FaultLost FaultKind = "lost"
	// FaultTakeover leaves the fleet without a leader until another takes over.
	FaultTakeover FaultKind = "takeover"
	// FaultCrashing gives a share of the arriving jobs a task that crashes every VM on which it
	// starts; the VMs are replaced.
	FaultCrashing FaultKind = "crashing"
	// FaultShrunk divides the capacity of VMs by Times.
	FaultShrunk FaultKind = "shrunk"
	// FaultRestarted ends VMs, which restart under their IDs when the fault is over.
	FaultRestarted FaultKind = "restarted"
	// FaultEvacuated evacuates a share of the availability zones.
	FaultEvacuated FaultKind = "evacuated"
)

// Fault affects a share of the VMs, or the leader, for ForS seconds.
type Fault struct {
	Kind  FaultKind `json:"kind"`
	AtS   float64   `json:"at_s"`
	ForS  float64   `json:"for_s"`
	Share float64   `json:"share"`
	Times float64   `json:"times"`
}

// Limits of a scenario, so that one process plays it within minutes.
const (
	maxVMs     = 5000
	maxSeconds = 3600
	maxPerS    = 1000
	maxTasks   = 500
	maxCores   = 1024
	maxImages  = 100
	maxFaults  = 100
)

// Load reads and validates a scenario file, which is JSON with comments.
func Load(path string) (Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario: %w; give the path of a file, or one of the names that --list prints", err)
	}
	return Parse(path, raw)
}

// Parse decodes and validates a scenario. Errors name the file as name and list every invalid
// field.
func Parse(name string, raw []byte) (Scenario, error) {
	var s Scenario
	d, err := settings.Read(name, raw, &s)
	if err != nil {
		return s, err
	}
	s.check(d)
	return s, d.Err()
}

// bound is the allowed range of a field.
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
	bounds = append(bounds, s.Racks.bounds()...)
	for _, b := range bounds {
		if b.value < b.low || b.value > b.high {
			d.Fault(b.field, fmt.Sprintf("give %g to %g, not %g", b.low, b.high, b.value))
		}
	}
	s.Callers.check(d)
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

// batchOf returns the description of a kind of batch work; that of serving jobs is empty.
func (s *Scenario) batchOf(k jobKind) *Batch {
	switch k {
	case shortKind:
		return &s.Short
	case fillerKind:
		return &s.Fillers
	case servingKind, kindCount:
	}
	return &Batch{}
}

func (b *Batch) bounds(name string) []bound {
	list := append(append(b.Terms.bounds(name), b.Racks.bounds(name)...),
		bound{name + ".per_s", b.PerS, 0, maxPerS}, bound{name + ".steps", b.Steps, 1, 20}, bound{name + ".tasks", b.Tasks, 1, maxTasks},
		bound{name + ".seconds", b.Seconds, 0.01, maxSeconds}, bound{name + ".cores", b.Cores, 0.01, maxCores},
		bound{name + ".memory_gb", b.MemoryGB, 0, 1 << 20}, bound{name + ".estimate_error", b.EstimateError, 0, 3},
		bound{name + ".used", b.Used, 0.01, 1}, bound{name + ".images", float64(b.Images), 1, maxImages},
		bound{name + ".checkpoints", b.Checkpoints, 0, 1}, bound{name + ".restore_ms", float64(b.RestoreMS), 0, 60_000}, bound{name + ".fails", b.Fails, 0, 0.9}, bound{name + ".worth", b.Worth, 0, 1e6})
	list = append(list,
		bound{name + ".long_tasks", b.LongTasks, 0, 1}, bound{name + ".long_jobs", b.LongJobs, 0, 1},
		bound{name + ".long_times", b.LongTimes, 0, 100}, bound{name + ".copies", b.Copies, 0, 1})
	for i, burst := range b.Bursts {
		prefix := fmt.Sprintf("%s.bursts[%d].", name, i)
		list = append(list, bound{prefix + "at_s", burst.AtS, 0, maxSeconds}, bound{prefix + "for_s", burst.ForS, 0.1, maxSeconds}, bound{prefix + "times", burst.Times, 0, 100})
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
		prefix := fmt.Sprintf("faults[%d].", i)
		switch f.Kind {
		case FaultSlow, FaultStalled, FaultFailing, FaultLost, FaultTakeover, FaultCrashing, FaultShrunk, FaultRestarted, FaultEvacuated:
		default:
			d.Fault(prefix+"kind", fmt.Sprintf("use %s, %s, %s, %s, %s, %s, %s, %s or %s", FaultSlow, FaultStalled, FaultFailing, FaultLost, FaultTakeover, FaultCrashing, FaultShrunk, FaultRestarted, FaultEvacuated))
		}
		if f.AtS < 0 || f.AtS > maxSeconds || f.ForS < 0 || f.ForS > maxSeconds {
			d.Fault(prefix+"at_s", fmt.Sprintf("give times from 0 to %d", maxSeconds))
		}
		if f.Share < 0 || f.Share > 1 {
			d.Fault(prefix+"share", "give a share from 0 to 1")
		}
		if (f.Kind == FaultSlow || f.Kind == FaultShrunk) && f.Times < 1 {
			d.Fault(prefix+"times", "give how many times as long the VMs take, or as little they have, 1 or more")
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
