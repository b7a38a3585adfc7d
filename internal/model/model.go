// Package model holds the domain types that all parts of rattanwall share: VMs and
// their capacity, request classes, jobs and tasks. It has no behaviour beyond
// arithmetic and validation, and imports no other package of the project.
package model

import (
	"fmt"
	"slices"
)

// Class is the urgency of a request. Admission sheds the least urgent class first.
type Class string

// The classes, most urgent first.
const (
	// Quick is a latency-critical request. It takes a slot and a connection briefly.
	Quick Class = "quick"
	// Heavy is a request that takes a slot for a long time.
	Heavy Class = "heavy"
	// Standing is a watch. It takes a connection, but no slot.
	Standing Class = "standing"
)

// Valid reports whether c is one of the classes above.
func (c Class) Valid() bool { return c == Quick || c == Heavy || c == Standing }

// Resources holds an amount of each limited resource of a VM.
type Resources struct {
	// MilliCPU is in thousandths of a processor.
	MilliCPU int64 `json:"milli_cpu,omitempty" cbor:"1,keyasint,omitempty"`
	// MemoryMB is in units of 1,000,000 bytes.
	MemoryMB int64 `json:"memory_mb,omitempty" cbor:"2,keyasint,omitempty"`
	// Accelerators counts whole devices.
	Accelerators int64 `json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"`
	// Slots counts requests that may execute concurrently.
	Slots int64 `json:"slots,omitempty" cbor:"4,keyasint,omitempty"`
	// Connections counts concurrently open connections.
	Connections int64 `json:"connections,omitempty" cbor:"5,keyasint,omitempty"`
}

// Add returns r + o, field by field.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
		Connections:  r.Connections + o.Connections,
	}
}

// Sub returns r - o, field by field; a field of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
		Slots:        r.Slots - o.Slots,
		Connections:  r.Connections - o.Connections,
	}
}

// FitsIn reports whether no field of r is larger than that of free.
func (r Resources) FitsIn(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB &&
		r.Accelerators <= free.Accelerators && r.Slots <= free.Slots &&
		r.Connections <= free.Connections
}

// IsNegative reports whether any field is below zero.
func (r Resources) IsNegative() bool { return !(Resources{}).FitsIn(r) }

// String prints the non-zero fields.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm mem=%dMB accel=%d slots=%d conns=%d",
		r.MilliCPU, r.MemoryMB, r.Accelerators, r.Slots, r.Connections)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	// VMLive may be given work.
	VMLive VMState = "live"
	// VMLeaving must not be given new work; running work may finish.
	VMLeaving VMState = "leaving"
)

// VM is a worker machine in the platform's list.
type VM struct {
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Rack names the rack within its availability zone; it is also the unit of
	// ownership among nodes.
	Rack  string  `json:"rack"`
	State VMState `json:"state"`
	// AgentAddress is the ip:port of the platform's agent, which runs tasks.
	AgentAddress string `json:"agent_address"`
	// TargetAddress is the ip:port of the target, which serves requests.
	TargetAddress string    `json:"target_address"`
	Capacity      Resources `json:"capacity"`
}

// RackKey returns the key of the ownership shard that the VM belongs to.
func (v VM) RackKey() string { return v.Zone + "/" + v.Rack }

// InZones reports whether zone is in zones. Empty zones contain every zone.
func InZones(zones []string, zone string) bool {
	return len(zones) == 0 || slices.Contains(zones, zone)
}

// TaskID identifies a task, one of the equal parts of a job.
type TaskID struct {
	Job   string `json:"job" cbor:"1,keyasint"`
	Index int    `json:"index" cbor:"2,keyasint"`
}

// String returns the form that workers and logs use: job:index.
func (t TaskID) String() string { return fmt.Sprintf("%s:%d", t.Job, t.Index) }

// JobSpec is a team's declaration of a batch job.
type JobSpec struct {
	// ID is chosen by the submitter, so that repeated submissions are
	// recognised; letters, digits, '-', '_' and '.', at most 80 bytes.
	ID   string `json:"id" cbor:"1,keyasint"`
	Team string `json:"team" cbor:"2,keyasint"`
	// Tasks is the number of equal tasks of the job; 1 to 10,000.
	Tasks int `json:"tasks" cbor:"3,keyasint"`
	// PerTask is what each task takes on its VM.
	PerTask Resources `json:"per_task" cbor:"4,keyasint"`
	// DurationMS is the declared run time of a task in milliseconds. It may be
	// inaccurate, and no safety property depends on it.
	DurationMS int64 `json:"duration_ms" cbor:"5,keyasint"`
	// Urgent jobs start before all others.
	Urgent bool `json:"urgent,omitempty" cbor:"6,keyasint,omitempty"`
	// Zones limits where tasks may run; empty means anywhere.
	Zones []string `json:"zones,omitempty" cbor:"7,keyasint,omitempty"`
}

// Limits on a job's declaration.
const (
	MaxTasksPerJob = 10000
	maxIDBytes     = 80
)

// Validate returns a message for the submitter that names the invalid field and
// the fix, or "" if the declaration is valid.
func (s JobSpec) Validate() string {
	switch {
	case !ValidName(s.ID):
		return "id: use 1 to 80 letters, digits, '-', '_' or '.'"
	case s.Tasks < 1 || s.Tasks > MaxTasksPerJob:
		return fmt.Sprintf("tasks: give a number from 1 to %d", MaxTasksPerJob)
	case s.PerTask.IsNegative():
		return "per_task: no amount may be below 0"
	case s.PerTask.MilliCPU == 0 && s.PerTask.Accelerators == 0:
		return "per_task: give milli_cpu or accelerators above 0"
	case s.PerTask.Slots != 0 || s.PerTask.Connections != 0:
		return "per_task: slots and connections are for requests, leave them out"
	case s.DurationMS < 0:
		return "duration_ms: give 0 or more"
	}
	return ""
}

// ValidName reports whether s is a valid name of a job, team, service or watch.
func ValidName(s string) bool {
	if s == "" || len(s) > maxIDBytes {
		return false
	}
	for _, c := range s {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}
