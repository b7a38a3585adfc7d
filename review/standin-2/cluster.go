//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattanwall/rattanwall/internal/ports"
)

const (
	edgeCount   = 3
	workerCount = 12
	callTimeout = 4 * time.Second
	queueHost   = "jobs.example"
	queuePrefix = "/tasks/"
	// laterPrefix is that of a queue with a lower priority.
	laterPrefix   = "/later/"
	queueAttempts = 4
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// node is one entry machine.
type node struct {
	name, callers, readiness, settings string
	cmd                                *exec.Cmd
}

// cluster is a deployment on loopback.
type cluster struct {
	record   *record
	command  []string
	dir      string
	store    *store
	servers  []*http.Server
	machines []*machine
	nodes    []*node
	client   *http.Client
	// blocks are the ports that are used.
	blocks []*ports.Block
	// upkeep serves orders for the upkeep of machines, stopped is called when an order has ended a
	// run; both may be nil.
	upkeep    http.HandlerFunc
	stopped   func(w *worker, task string)
	portsUsed int

	mu     sync.Mutex
	starts map[string][]time.Time
	ends   map[string]map[string]int
	active map[string]int
	// terse is set for jobs whose single runs are not recorded.
	terse map[string]bool
}

func newCluster(r *record, command []string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "rattanwall-review-2")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		record: r, command: command, dir: dir, store: newStore(r), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		starts: map[string][]time.Time{}, ends: map[string]map[string]int{}, active: map[string]int{}, terse: map[string]bool{},
	}
	if err := c.start(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start() error {
	storeAddress, err := c.listen(c.store)
	if err != nil {
		return err
	}
	machinesAddress, err := c.listen(http.HandlerFunc(c.serveMachines))
	if err != nil {
		return err
	}
	config := fmt.Sprintf(`{"version":7,"routes":[{"name":"r-work","host":%q,"prefix":%q,"kind":"non_idempotent","timeout_ms":3000,"slo_ms":250,"priority":0,"service":"pool","attempts":%d,"stretch":1.5},`+
		`{"name":"r-later","host":%q,"prefix":%q,"kind":"non_idempotent","timeout_ms":3000,"slo_ms":1000,"priority":2,"service":"pool","attempts":%d,"stretch":2.0}],`+
		`"services":[{"name":"pool","admission_check":true}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":5000,"idle_timeout_ms":60000}}`, queueHost, queuePrefix, queueAttempts, queueHost, laterPrefix, queueAttempts)
	c.store.put("op/config", []byte(config))
	for i := range workerCount {
		port, err := c.nextPort()
		if err != nil {
			return err
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		labels := []string{"a", fmt.Sprintf("r1-%d", 1+i/8)}
		if i == workerCount-1 {
			// The only machine of its kind.
			labels[0] = "b"
		}
		m := &machine{name: fmt.Sprintf("m%02d", i), address: address, zone: fmt.Sprintf("z%d", 1+i%3), labels: labels, cluster: c}
		c.machines = append(c.machines, m)
		if err := m.start(); err != nil {
			return err
		}
	}
	for i := range edgeCount {
		n, err := c.newNode(i, storeAddress, machinesAddress)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
		if err := c.startNode(n); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

// listen serves a handler on a free port.
func (c *cluster) listen(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}

// blockPorts is the number of ports that are taken from one block.
const blockPorts = 14

// nextPort returns a port that no other program takes while the case runs.
func (c *cluster) nextPort() (int, error) {
	if c.portsUsed%blockPorts == 0 {
		block, err := ports.Claim()
		if err != nil {
			return 0, err
		}
		c.blocks = append(c.blocks, block)
	}
	port := c.blocks[len(c.blocks)-1].Port(c.portsUsed % blockPorts)
	c.portsUsed++
	return port, nil
}

// newNode writes a process's settings: those of a small deployment, with loopback addresses.
func (c *cluster) newNode(i int, storeAddress, machinesAddress string) (*node, error) {
	ip := fmt.Sprintf("127.0.2.%d", i+1)
	block, err := ports.Claim()
	if err != nil {
		return nil, err
	}
	c.blocks = append(c.blocks, block)
	address := func(k int) string { return net.JoinHostPort(ip, strconv.Itoa(block.Port(k))) }
	n := &node{name: fmt.Sprintf("edge-z%d-1", i+1), callers: address(0), readiness: address(1), settings: filepath.Join(c.dir, fmt.Sprintf("edge-%d.conf", i))}
	return n, os.WriteFile(n.settings, fmt.Appendf(nil, `node_name=%s
role=edge
machine_class=edge
serves=edge
ip=%s
zone=z%d
region=r1
zones.z1=r1
zones.z2=r1
zones.z3=r1
listen.frontend=%s
listen.readiness=%s
port_range=%d,%d
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
heartbeat_ms=%d
bounds.grace_s=6
bounds.hold_max_ms=%d
bounds.stop_ms=400
bounds.notice_ms=4500
bounds.far_factor=2
control_mode=rpc
platform.address=%s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=%d
platform.ttl_min_ms=1000
cloud_api.address=%s
cloud_api.rate_per_s=60.0
`, n.name, ip, i+1, n.callers, n.readiness, block.Port(2), block.Port(9), heartbeat.Milliseconds(), maxLease.Milliseconds(), storeAddress, maxValueBytes, machinesAddress), 0o600)
}

func (c *cluster) startNode(n *node) error {
	out, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	n.cmd = exec.Command(c.command[0], c.command[1:]...)
	n.cmd.Env = []string{"RATTANWALL_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.cmd.Start()
}

// awaitReady waits until all processes are ready.
func (c *cluster) awaitReady() error {
	for _, n := range c.nodes {
		if err := c.awaitNode(n); err != nil {
			return err
		}
	}
	c.record.logf("all %d processes are ready", len(c.nodes))
	// A new deployment's first leader takes a moment to hear all workers.
	time.Sleep(2 * time.Second)
	return nil
}

func (c *cluster) awaitNode(n *node) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := c.client.Get("http://" + n.readiness + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}

// serveMachines is the machine service's list.
func (c *cluster) serveMachines(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/machine-upkeep" && c.upkeep != nil {
		c.upkeep(rw, r)
		return
	}
	if r.URL.Path != "/-/machines" {
		reply(rw, http.StatusNotFound, nil)
		return
	}
	list := []any{}
	for _, m := range c.machines {
		row := map[string]any{
			"machine": m.name, "pool": "pool", "state": "down", "zone": m.zone, "labels": m.labels, "id": "",
			"capacity": map[string]int64{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0},
		}
		if w := m.current(); w != nil {
			row["state"], row["id"] = "up", w.id
		}
		list = append(list, row)
	}
	reply(rw, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (c *cluster) observeStart(w *worker, o *order) {
	job := jobOf(o.Task)
	c.mu.Lock()
	c.starts[job] = append(c.starts[job], time.Now())
	c.active[job]++
	terse := c.terse[job]
	c.mu.Unlock()
	if !terse {
		c.record.logf("worker %s starts %s/%d", w.id, o.Task, o.Run)
	}
}

func (c *cluster) observeEnd(w *worker, task string, run int64, how string) {
	job := jobOf(task)
	c.mu.Lock()
	if c.ends[job] == nil {
		c.ends[job] = map[string]int{}
	}
	c.ends[job][how]++
	terse := c.terse[job]
	c.mu.Unlock()
	if !terse {
		c.record.logf("worker %s lists the end of %s/%d: %s", w.id, task, run, how)
	}
}

// endsOf returns the number of runs of a job that ended in a way.
func (c *cluster) endsOf(job, how string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ends[job][how]
}

// runningOf returns how many runs of a job the workers have now.
func (c *cluster) runningOf(job string) int {
	n := 0
	for _, m := range c.machines {
		w := m.current()
		if w == nil {
			continue
		}
		w.mu.Lock()
		for task := range w.running {
			if jobOf(task) == job {
				n++
			}
		}
		w.mu.Unlock()
	}
	return n
}

// startsSince returns the number of a job's starts since a time.
func (c *cluster) startsSince(job string, at time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.starts[job] {
		if s.After(at) {
			n++
		}
	}
	return n
}

// call makes a client's call; status 0 means no answer.
func (c *cluster) call(ctx context.Context, n *node, method, prefix, id string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, raw
}

// submit hands a job in and returns the status.
func (c *cluster) submit(n *node, id string, b behaviour, steps []map[string]any) int {
	return c.submitTo(n, queuePrefix, id, b, steps)
}

// submitTo hands a job in to the queue at a prefix.
func (c *cluster) submitTo(n *node, prefix, id string, b behaviour, steps []map[string]any) int {
	spec, err := json.Marshal(b)
	if err != nil {
		return 0
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "steps": steps})
	if err != nil {
		return 0
	}
	status, _ := c.call(context.Background(), n, http.MethodPost, prefix, id, body)
	c.record.logf("client: POST %s%s to %s: %d", prefix, id, n.name, status)
	return status
}

// state asks for a job's state; "" if there is none.
func (c *cluster) state(n *node, id string) (string, int) {
	status, raw := c.call(context.Background(), n, http.MethodGet, queuePrefix, id, nil)
	var out struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(raw, &out)
	return out.State, status
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	c.record.logf("the case is over: all processes and stand-ins are ended")
	for _, n := range c.nodes {
		if n.cmd == nil || n.cmd.Process == nil {
			continue
		}
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
	}
	for _, m := range c.machines {
		m.crash()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	for _, b := range c.blocks {
		b.Release()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		c.record.logf("logs are kept in %s", c.dir)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
