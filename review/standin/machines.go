//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rattanwall/rattanwall/platform/platformtest"
)

// States of a machine.
const (
	stateUp     = "up"
	stateUpkeep = "upkeep"
)

// machine is one machine with its current worker.
type machine struct {
	name   string
	state  string
	worker *platformtest.Worker
	// begun is set once its upkeep for the wave has begun.
	begun bool
	// highest is the highest fencing token that arrived for it, by holder.
	highest int64
	holder  string
}

// machineService is the stand-in of the machine service. It does not check fencing tokens
// (require_fencing is false), and records who sends which.
type machineService struct {
	d *platformtest.Deployment
	r *record

	mu       sync.Mutex
	machines []*machine
	byName   map[string]*machine
	wave     wave
	orders   int
	broken   []string
}

// wave is the operator's request, as in op/wave/N.
type wave struct {
	Wave     int64    `json:"wave"`
	Machines []string `json:"machines"`
	Duration float64  `json:"duration_s"`
	MaxCount int      `json:"max_count"`
}

// serve starts the service and returns its address.
func (m *machineService) serve(d *platformtest.Deployment) (string, error) {
	m.d, m.byName = d, map[string]*machine{}
	for i, w := range d.Workers() {
		one := &machine{name: fmt.Sprintf("m-%02d", i), state: stateUp, worker: w}
		m.machines = append(m.machines, one)
		m.byName[one.name] = one
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", m.list)
	mux.HandleFunc("POST /-/machine-upkeep", m.upkeep)
	go func() { _ = http.Serve(ln, mux) }()
	return ln.Addr().String(), nil
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (m *machineService) list(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	rows := []any{}
	for _, one := range m.machines {
		row := map[string]any{"machine": one.name, "pool": "pool", "state": one.state}
		if one.state == stateUp {
			row["id"] = one.worker.ID
		}
		rows = append(rows, row)
	}
	m.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"machines": rows})
}

func (m *machineService) upkeep(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	_ = json.NewDecoder(r.Body).Decode(&order)
	holder := r.Header.Get("Holder")
	fence, _ := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	m.mu.Lock()
	status, reason := m.begin(order.Machine, order.Wave, holder, fence)
	m.mu.Unlock()
	answer(w, status, map[string]any{"reason": reason})
}

// begin carries an order out. m.mu is held.
func (m *machineService) begin(name string, number int64, holder string, fence int64) (status int, reason string) {
	m.orders++
	one := m.byName[name]
	if one == nil {
		return http.StatusBadRequest, ""
	}
	defer func() {
		m.r.printf("machine-upkeep %s wave %d from %s with fence %d: %d %s", name, number, holder, fence, status, reason)
	}()
	m.judgeOrder(one, holder, fence)
	switch {
	case number != m.wave.Wave || !m.listed(name):
		return http.StatusConflict, "wave"
	case one.begun:
		return http.StatusOK, ""
	case one.state != stateUp:
		return http.StatusConflict, "busy"
	}
	if down := m.down(); down >= m.wave.MaxCount {
		m.broken = append(m.broken, fmt.Sprintf("LIMIT: upkeep of %s begins while %d machines of the wave are down for theirs", name, down))
	}
	one.begun, one.state = true, stateUpkeep
	one.worker.Crash()
	time.AfterFunc(upkeepTime, func() { m.finish(one) })
	return http.StatusOK, ""
}

// judgeOrder checks ONE: no holder sends a lower fencing token after a higher one, and no two
// holders send the same.
func (m *machineService) judgeOrder(one *machine, holder string, fence int64) {
	switch {
	case fence < one.highest:
		m.broken = append(m.broken, fmt.Sprintf("ONE: order for %s from %s with fence %d after one from %s with fence %d", one.name, holder, fence, one.holder, one.highest))
	case fence == one.highest && one.holder != holder:
		m.broken = append(m.broken, fmt.Sprintf("ONE: orders for %s from %s and %s with fence %d", one.name, holder, one.holder, fence))
	default:
		one.highest, one.holder = fence, holder
	}
}

func (m *machineService) finish(one *machine) {
	w, err := m.d.AddWorker()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.r.printf("no new worker on %s: %v", one.name, err)
		return
	}
	one.worker, one.state = w, stateUp
	m.r.printf("%s is up with %s", one.name, w.ID)
}

func (m *machineService) listed(name string) bool {
	for _, n := range m.wave.Machines {
		if n == name {
			return true
		}
	}
	return false
}

func (m *machineService) down() int {
	n := 0
	for _, name := range m.wave.Machines {
		if m.byName[name].state == stateUpkeep {
			n++
		}
	}
	return n
}

// begunCount returns how many machines of the wave have begun their upkeep, and what was broken.
func (m *machineService) begunCount() (begun int, broken []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range m.wave.Machines {
		if m.byName[name].begun {
			begun++
		}
	}
	return begun, append([]string(nil), m.broken...)
}

// request makes the operator's request for a wave.
func (m *machineService) request(w wave) error {
	m.mu.Lock()
	m.wave = w
	m.mu.Unlock()
	raw, err := json.Marshal(w)
	if err != nil {
		return err
	}
	m.d.Store.Put(fmt.Sprintf("op/wave/%d", w.Wave), raw)
	m.r.printf("operator writes op/wave/%d: %s", w.Wave, raw)
	return nil
}
