package batch

import "time"

// MachineState is what the machine service says of a machine.
type MachineState string

// The states of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "maintenance"
	MachineDown        MachineState = "down"
)

// Machine is what instances are lives of: a VM that stays the same through
// maintenance and moves between pools.
type Machine struct {
	Name  string
	Pool  string
	State MachineState
	// Instance is the ID of its present life.
	Instance string
}

// Wave asks for the maintenance of machines within a time.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration
	// MaxAtOnce bounds the machines of the wave that are down for it at one time.
	MaxAtOnce int
}

// MaintainOrder begins a machine's maintenance.
type MaintainOrder struct {
	Machine string
	Wave    int64
	// Holder and Fence tell who gives the order.
	Holder string
	Fence  int64
}

// The refusals of the machine service.
const (
	// RefusedNotUp: the machine is not up, or leaving.
	RefusedNotUp Refusal = "not up"
	// RefusedWave: the machine is not of that wave, or there is no such machine.
	RefusedWave Refusal = "wave"
)
