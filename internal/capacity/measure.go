// Package capacity measures the cost of a node (traffic, store calls, processor time and memory)
// at several small sizes, fits a linear model to it, and extrapolates to the target size. It runs
// the real nodes with the stand-ins on loopback.
package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/deployment"
	"github.com/rattanwall/rattanwall/internal/harness"
	"github.com/rattanwall/rattanwall/internal/model"
)

// Size is a deployment's size.
type Size struct {
	Nodes    int `json:"nodes"`
	Zones    int `json:"zones"`
	VMs      int `json:"vms"`
	Tasks    int `json:"tasks"`
	Teams    int `json:"teams"`
	Services int `json:"services"`
}

// Sample is the cost of one size at rest: tasks run, but there are no requests and no starts.
type Sample struct {
	Size
	// Seconds is the duration of the measurement.
	Seconds float64 `json:"seconds"`
	// BytesPerNode is the traffic of a node by kind, in bytes per second, in both directions,
	// counted at the sockets.
	BytesPerNode map[Kind]float64 `json:"bytes_per_node_s"`
	// CallsPerNode is the number of store calls of a node per second, by kind.
	CallsPerNode map[string]float64 `json:"store_calls_per_node_s"`
	// CPUPerNode is the processor time of the whole process, stand-ins included, as a share of a
	// core per node.
	CPUPerNode float64 `json:"cpu_per_node"`
	// HeapPerNode is the live heap of the whole process after garbage collection, stand-ins
	// included, in bytes per node.
	HeapPerNode float64 `json:"heap_per_node"`
	// ConfigBytes is the size of the encoded head of the configuration.
	ConfigBytes int `json:"config_bytes"`
}

// Measurement holds all results of Measure; it is stored as a JSON file.
type Measurement struct {
	Samples []Sample `json:"samples"`
	// HeldOut is the sample of a size that is not used for the fit but to check it.
	HeldOut Sample `json:"held"`
	// Churn is the additional cost at the held-out size while tasks start and end.
	Churn Churn `json:"churn"`
}

// Churn is the cost of task starts, with their ends, beyond the cost at rest.
type Churn struct {
	Starts          int     `json:"starts"`
	StartsPerSecond float64 `json:"starts_per_second"`
	// BytesPerStart is the traffic of all nodes by kind, counted at the sockets.
	BytesPerStart map[Kind]float64 `json:"bytes_per_start"`
	// PutsPerStart is the number of writes to the store. Under load several starts share one.
	PutsPerStart float64 `json:"puts_per_start"`
	// CPUMSPerStart is the processor time in ms, stand-ins included.
	CPUMSPerStart float64 `json:"cpu_ms_per_start"`
	// StartP50MS and StartP99MS are quantiles of the time from a job's submission to a task's
	// start on its VM.
	StartP50MS float64 `json:"start_p50_ms"`
	StartP99MS float64 `json:"start_p99_ms"`
}

// Sizes returns the sizes used for the fit, and the one held out to check it.
func Sizes() (fit []Size, heldOut Size) {
	fit = []Size{
		{Nodes: 4, Zones: 2, VMs: 48, Tasks: 0, Teams: 10, Services: 1},
		{Nodes: 4, Zones: 2, VMs: 48, Tasks: 240, Teams: 10, Services: 1},
		{Nodes: 4, Zones: 2, VMs: 16, Tasks: 80, Teams: 10, Services: 1},
		{Nodes: 8, Zones: 4, VMs: 96, Tasks: 480, Teams: 60, Services: 1},
		{Nodes: 12, Zones: 4, VMs: 48, Tasks: 480, Teams: 10, Services: 4},
		{Nodes: 16, Zones: 4, VMs: 192, Tasks: 960, Teams: 180, Services: 1},
		{Nodes: 24, Zones: 12, VMs: 240, Tasks: 2400, Teams: 60, Services: 4},
	}
	return fit, Size{Nodes: 12, Zones: 4, VMs: 144, Tasks: 1440, Teams: 120, Services: 2}
}

const (
	// settleDuration is the wait until a deployment is at rest.
	settleDuration = 8 * time.Second
	// measureDuration is much longer than every period of the protocol.
	measureDuration = 24 * time.Second
	// longTaskMS keeps tasks running throughout the measurement.
	longTaskMS = 3_600_000
	// startTimeout bounds the wait until all tasks run.
	startTimeout = 90 * time.Second
)

// Measure measures all sizes; printf is called with the result of each size of the fit.
func Measure(ctx context.Context, log *logrus.Logger, printf func(format string, args ...any)) (Measurement, error) {
	var m Measurement
	fit, heldOut := Sizes()
	for _, size := range fit {
		s, _, err := measureSize(ctx, size, log, false)
		if err != nil {
			return m, errors.Wrapf(err, "size %+v", size)
		}
		printf("%+v: %.0f bytes/s and node, %.3f of a core", size, totalBytes(s.BytesPerNode), s.CPUPerNode)
		m.Samples = append(m.Samples, s)
	}
	var err error
	m.HeldOut, m.Churn, err = measureSize(ctx, heldOut, log, true)
	return m, errors.Wrapf(err, "size %+v", heldOut)
}

func totalBytes(m map[Kind]float64) float64 {
	sum := 0.0
	for _, v := range m {
		sum += v
	}
	return sum
}

// shape returns the shape of a deployment of this size.
func (s Size) shape() deployment.Shape {
	shape := deployment.Shapes()["cofnod-criw"]
	shape.Zones = map[string]int{}
	for i := range s.Zones {
		shape.Zones[fmt.Sprintf("z%02d", i)] = s.Nodes / s.Zones
	}
	shape.Workers = s.VMs
	return shape
}

func measureSize(ctx context.Context, size Size, log *logrus.Logger, churn bool) (Sample, Churn, error) {
	shape := size.shape()
	counters := newCounters()
	h := countingHosts{counters: counters, nodes: map[string]bool{}}
	for _, n := range shape.Nodes() {
		h.nodes[n.Name] = true
	}
	d, err := harness.Start(ctx, harness.Options{Shape: shape, Hosts: h, Log: log})
	if err != nil {
		return Sample{}, Churn{}, err
	}
	defer d.Close()
	for _, zone := range shape.ZoneNames() {
		counters.setKind(d.Listener(zone).Address(), KindStore)
	}
	for _, vm := range d.Platform.VMs() {
		counters.setKind(vm.AgentAddress, KindAgent)
		counters.setKind(vm.TargetAddress, KindTarget)
	}
	if err := populate(ctx, d, size); err != nil {
		return Sample{}, Churn{}, err
	}
	time.Sleep(settleDuration)
	rest := measureAtRest(d, counters, size)
	if !churn {
		return rest, Churn{}, nil
	}
	c, err := measureChurn(ctx, d, counters, rest)
	return rest, c, err
}

// populate adds the teams and services of a size and starts its tasks.
func populate(ctx context.Context, d *harness.Deployment, size Size) error {
	teams, services := map[string]config.Team{}, map[string]config.Service{}
	for i := range size.Teams {
		teams[fmt.Sprintf("team%03d", i)] = config.Team{
			Credential: config.Credential{TokenSHA256: config.HashToken(fmt.Sprint("token", i))},
			Quota:      model.Resources{MilliCPU: 1_000_000, MemoryMB: 4_000_000},
		}
	}
	for i := 1; i < size.Services; i++ {
		services[fmt.Sprintf("service%03d", i)] = config.Service{Team: "team000"}
	}
	patch, err := json.Marshal(map[string]any{"teams": teams, "services": services})
	if err != nil {
		return errors.Wrap(err, "encode patch")
	}
	if err := d.Patch(ctx, string(patch)); err != nil {
		return err
	}
	return startTasks(ctx, d, size)
}

// startTasks submits the tasks as jobs of ten tasks, spread over the teams, and waits until all
// of them run.
func startTasks(ctx context.Context, d *harness.Deployment, size Size) error {
	const tasksPerJob = 10
	c := d.Nodes()[0].Cluster()
	for i := 0; i*tasksPerJob < size.Tasks; i++ {
		team := fmt.Sprintf("team%03d", i%size.Teams)
		spec := model.JobSpec{
			ID: fmt.Sprintf("job%d", i), Team: team, Tasks: tasksPerJob, DurationMS: longTaskMS,
			PerTask: model.Resources{MilliCPU: 1_000, MemoryMB: 2_000},
		}
		if _, err := c.Job(ctx, team, "submit", spec); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		running := 0
		for _, n := range d.Nodes() {
			for _, vm := range n.VMDumps() {
				running += vm.Tasks
			}
		}
		if running >= size.Tasks {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("only %d of %d tasks are running", running, size.Tasks)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// measureAtRest measures a deployment for measureDuration.
func measureAtRest(d *harness.Deployment, c *counters, size Size) Sample {
	bytes, calls, cpu, started := c.snapshot(), d.Platform.Calls(), cpuTime(), time.Now()
	time.Sleep(measureDuration)
	elapsed := time.Since(started).Seconds()
	s := Sample{Size: size, Seconds: elapsed, BytesPerNode: map[Kind]float64{}, CallsPerNode: map[string]float64{}}
	nodeSeconds := elapsed * float64(size.Nodes)
	s.CPUPerNode = (cpuTime() - cpu).Seconds() / nodeSeconds
	for k, n := range c.snapshot() {
		if k == KindPeer {
			// An exchange between peers is traffic of both nodes.
			n, bytes[k] = 2*n, 2*bytes[k]
		}
		s.BytesPerNode[k] = float64(n-bytes[k]) / nodeSeconds
	}
	for k, n := range d.Platform.Calls() {
		s.CallsPerNode[k] = float64(n-calls[k]) / nodeSeconds
	}
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	s.HeapPerNode = float64(mem.HeapAlloc) / float64(size.Nodes)
	if head, _, err := d.Nodes()[0].Keeper().EncodeHead(); err == nil {
		s.ConfigBytes = len(head)
	}
	return s
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
