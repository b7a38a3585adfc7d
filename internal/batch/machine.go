package batch

import "time"

// MachineState is a machine's state as reported by the machine service.
type MachineState string

// The states of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "maintenance"
	MachineDown        MachineState = "down"
)

// Machine is a VM that, unlike its instances, keeps its identity through maintenance and
// moves between pools.
type Machine struct {
	Name  string
	Pool  string
	State MachineState
	// Instance is the ID of the machine's current instance.
	Instance string
}

// Wave requests the maintenance of machines within a given duration.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration
	// MaxAtOnce bounds the machines that are down for the wave at the same time.
	MaxAtOnce int
}

// MaintainOrder starts the maintenance of a machine.
type MaintainOrder struct {
	Machine string
	Wave    int64
	// Holder and Fence identify the leader that sends the order.
	Holder string
	Fence  int64
}

// Reasons for which the machine service refuses an order.
const (
	// RefusedNotUp means that the machine is not up or is leaving.
	RefusedNotUp Refusal = "not up"
	// RefusedWave means that the machine does not exist or is not part of the wave.
	RefusedWave Refusal = "wave"
)
