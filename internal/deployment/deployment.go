// Package deployment describes the two deployments that the system currently runs in,
// for the demo, tests and measurements.
package deployment

import (
	"fmt"
	"sort"

	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/model"
)

// Shape describes the size and configuration of a deployment.
type Shape struct {
	Name    string
	Service string
	Team    string
	// Zones maps each availability zone to the number of its entry VMs.
	Zones map[string]int
	// Workers is the number of worker VMs over all zones; WorkersPerRack of them share
	// a rack.
	Workers, WorkersPerRack int
	Capacity                model.Resources
	Weights                 config.Weights
	// ReservePerVM is kept free for the service on each VM.
	ReservePerVM model.Resources
}

// Values common to both deployments.
const (
	slotsPerVM       = 8
	connectionsPerVM = 64
	// vmsPerAccelerator: one in this many VMs has an accelerator. The users'
	// documentation does not give the real number.
	vmsPerAccelerator = 4
	// MaxBodyBytes is the maximum request body that the services accept.
	MaxBodyBytes = 64 << 10
)

// Shapes returns the deployments by name.
func Shapes() map[string]Shape {
	return map[string]Shape{
		"cofnod-criw": {
			Name: "cofnod-criw", Service: "crewbook", Team: "rostering",
			Zones: map[string]int{"cardiff": 3, "newport": 3, "swansea": 3}, Workers: 48, WorkersPerRack: 8,
			Capacity:     model.Resources{MilliCPU: 32_000, MemoryMB: 125_000, Slots: slotsPerVM, Connections: connectionsPerVM},
			Weights:      config.Weights{Tail: 5, Throughput: 1, Evictions: 2},
			ReservePerVM: model.Resources{MilliCPU: 8_000, MemoryMB: 16_000},
		},
		"thessaly": {
			Name: "thessaly", Service: "orders", Team: "counter",
			Zones: map[string]int{"larisa": 3, "volos": 2, "trikala": 2, "karditsa": 2}, Workers: 48, WorkersPerRack: 6,
			Capacity:     model.Resources{MilliCPU: 64_000, MemoryMB: 250_000, Slots: slotsPerVM, Connections: connectionsPerVM},
			Weights:      config.Weights{Tail: 2, Throughput: 4, Evictions: 2},
			ReservePerVM: model.Resources{MilliCPU: 8_000, MemoryMB: 16_000},
		},
	}
}

// ZoneNames returns the availability zones, sorted.
func (s Shape) ZoneNames() []string {
	var names []string
	for z := range s.Zones {
		names = append(names, z)
	}
	sort.Strings(names)
	return names
}

// VMs returns the worker VMs; their addresses are not set.
func (s Shape) VMs() []model.VM {
	zones := s.ZoneNames()
	perZone := s.Workers / len(zones)
	var list []model.VM
	for _, zone := range zones {
		for i := range perZone {
			capacity := s.Capacity
			if i%vmsPerAccelerator == 0 {
				capacity.Accelerators = 1
			}
			list = append(list, model.VM{
				Name: fmt.Sprintf("%s-w%02d", zone, i), Zone: zone, Rack: fmt.Sprintf("rack%d", i/s.WorkersPerRack),
				State: model.VMLive, Capacity: capacity,
			})
		}
	}
	return list
}

// Node is the name and availability zone of an entry VM.
type Node struct{ Name, Zone string }

// Nodes returns the entry VMs, sorted by zone.
func (s Shape) Nodes() []Node {
	var nodes []Node
	for _, zone := range s.ZoneNames() {
		for i := range s.Zones[zone] {
			nodes = append(nodes, Node{Name: fmt.Sprintf("%s-n%d", zone, i+1), Zone: zone})
		}
	}
	return nodes
}

// Document returns a configuration for the shape: its service, the team that owns it,
// a batch team and a standing watch. The arguments are the tokens of the operator and
// the two teams.
func (s Shape) Document(operator, team, batch string) config.Document {
	return config.Document{
		Operators: map[string]config.Credential{"operator": {TokenSHA256: config.HashToken(operator)}},
		Teams: map[string]config.Team{
			s.Team:  {Credential: config.Credential{TokenSHA256: config.HashToken(team)}, Weight: 1},
			"batch": {Credential: config.Credential{TokenSHA256: config.HashToken(batch)}, Weight: 1},
		},
		Services: map[string]config.Service{s.Service: {
			Team: s.Team, Reserve: s.ReservePerVM, TimeoutMS: 10_000, MaxBodyBytes: MaxBodyBytes, ObjectiveMS: 50,
		}},
		Watches: map[string]config.Watch{"changes": {Team: s.Team, Service: s.Service, Path: "/watch"}},
		Weights: s.Weights,
	}
}
