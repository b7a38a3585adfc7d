//go:build review

// Command standin plays one case of the review: it starts the platform's stand-ins in this process
// and the project's own program, with the command of the deploy file, as separate processes.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattanwall/rattanwall/internal/ports"
	"github.com/rattanwall/rattanwall/platform"
	"github.com/rattanwall/rattanwall/platform/platformtest"
)

// The size and bounds of the small deployment cofnod-criw.
const (
	edgeCount   = 9
	workerCount = 48
	zoneCount   = 3
	rackCount   = 6
	maxLease    = 10 * time.Second
	grace       = 6 * time.Second
	cancelBound = 3 * time.Second
	upkeepTime  = 2 * time.Second
	callTimeout = 3 * time.Second
	leaderKey   = "lead/leader"
)

// record is the log of what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	out   io.Writer
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// edge is one entry process with its links to the store and to the machine service.
type edge struct {
	name, callers   string
	store, machines *link
	cmd             *exec.Cmd
	ended           chan struct{}
	ports           *ports.Block
}

// deployment is a whole deployment on loopback.
type deployment struct {
	*platformtest.Deployment
	*record
	dir   string
	edges []*edge
}

// options are the stand-ins of a case.
type options struct {
	// workers is the number of the project's own workers.
	workers int
	// machines and store start other stand-ins in place of the project's; they may be nil.
	machines, store func(*platformtest.Deployment) (address string, err error)
}

// start starts the stand-ins and the processes, and waits for a leader.
func start(r *record, o options) (*deployment, error) {
	dir, err := os.MkdirTemp("", "rattanwall-review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir}
	d.Deployment, err = platformtest.Start(platformtest.Options{
		Workers: o.workers, MaxLease: maxLease, Zones: zoneCount, Racks: rackCount, WorkerCPU: 32_000,
	})
	if err != nil {
		return nil, err
	}
	machinesAddress := d.MachinesAddress()
	if o.machines != nil {
		if machinesAddress, err = o.machines(d.Deployment); err != nil {
			return d, err
		}
	}
	storeAddress := d.StoreAddress()
	if o.store != nil {
		if storeAddress, err = o.store(d.Deployment); err != nil {
			return d, err
		}
	}
	command, err := deployCommand()
	if err != nil {
		return d, err
	}
	for i := range edgeCount {
		e, err := d.startEdge(i, command, storeAddress, machinesAddress)
		if err != nil {
			return d, err
		}
		d.edges = append(d.edges, e)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.leader() != nil && d.allReady() {
			return d, nil
		}
	}
	return d, fmt.Errorf("the processes are not ready after 20 s")
}

// deployCommand returns the command of the role in the deploy file.
func deployCommand() ([]string, error) {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(raw)
	if m == nil {
		return nil, fmt.Errorf("no command in the deploy file")
	}
	return strings.Fields(string(m[1])), nil
}

func (d *deployment) startEdge(i int, command []string, store, machines string) (*edge, error) {
	block, err := ports.Claim()
	if err != nil {
		return nil, err
	}
	e := &edge{name: fmt.Sprintf("edge-%d", i), callers: block.Address(0), ports: block, ended: make(chan struct{})}
	if e.store, err = newLink(store); err != nil {
		return nil, err
	}
	if e.machines, err = newLink(machines); err != nil {
		return nil, err
	}
	settings := filepath.Join(d.dir, e.name+".conf")
	var b strings.Builder
	for z := range zoneCount {
		fmt.Fprintf(&b, "zones.%s=region-1\n", platformtest.ZoneName(z))
	}
	fmt.Fprintf(&b, "node_name=%s\nip=127.0.0.1\nzone=%s\nlisten.frontend=%s\nlisten.readiness=%s\nport_range=%d,%d\n",
		e.name, platformtest.ZoneName(i%zoneCount), e.callers, block.Address(1), block.Port(2), block.Port(3))
	fmt.Fprintf(&b, "limits.cpu_share=0.4\nlimits.cores=1\nlimits.memory_mb=284\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n")
	fmt.Fprintf(&b, "bounds.grace_s=%g\nbounds.hold_max_ms=%d\nbounds.stop_ms=400\nbounds.notice_ms=4500\nbounds.far_factor=2\nbounds.lease_ms=3000\nbounds.require_fencing=false\n",
		grace.Seconds(), maxLease.Milliseconds())
	fmt.Fprintf(&b, "platform.address=%s\ncloud_api.address=%s\nheartbeat_ms=1500\ncontrol_mode=rpc\n", e.store.address(), e.machines.address())
	if err := os.WriteFile(settings, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.dir, e.name+".log"))
	if err != nil {
		return nil, err
	}
	e.cmd = exec.Command(command[0], command[1:]...)
	e.cmd.Env = []string{platform.SettingsVariable + "=" + settings, "PATH=" + os.Getenv("PATH")}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = e.cmd.Wait()
		_ = log.Close()
		close(e.ended)
	}()
	return e, nil
}

// leader returns the process that the leader's key names, or nil.
func (d *deployment) leader() *edge {
	value, ok := d.Store.Value(leaderKey)
	var r struct{ Node string }
	if !ok || json.Unmarshal(value, &r) != nil {
		return nil
	}
	for _, e := range d.edges {
		if e.name == r.Node {
			return e
		}
	}
	return nil
}

// other returns a process other than e, the same one each time.
func (d *deployment) other(e *edge) *edge {
	for _, o := range d.edges {
		if o != e {
			return o
		}
	}
	return nil
}

func (d *deployment) allReady() bool {
	for _, e := range d.edges {
		if status, _ := d.call(e, http.MethodGet, platformtest.QueuePrefix, nil); status != http.StatusOK {
			return false
		}
	}
	return true
}

// call makes a client's call. Status 0 means that there was no response.
func (d *deployment) call(e *edge, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = platformtest.QueueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(raw))
}

// submit hands a job in at a process, and records the answer.
func (d *deployment) submit(e *edge, id string, t platformtest.Task, steps string) int {
	spec, _ := json.Marshal(t)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": json.RawMessage(steps)})
	d.Record.Submitting(id, string(spec))
	sentAt := time.Now()
	status, answer := d.call(e, http.MethodPost, platformtest.QueuePrefix+id, body)
	d.Record.Submitted(id, string(spec), status)
	d.printf("client POST %s at %s, %d ms ago: %d %s", id, e.name, time.Since(sentAt).Milliseconds(), status, answer)
	return status
}

// recordRuns records what ran of each accepted job.
func (d *deployment) recordRuns() {
	ids := d.Record.Accepted()
	slices.Sort(ids)
	for _, id := range ids {
		times := d.Record.Times(id)
		if times.StartedAt.IsZero() {
			d.printf("job %s: not started", id)
			continue
		}
		d.printf("job %s: first start at %.3f s, %d runs, %d done", id, times.StartedAt.Sub(d.began).Seconds(), times.Runs, times.DoneTasks)
	}
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, e := range d.edges {
		_ = e.cmd.Process.Signal(syscall.SIGKILL)
		<-e.ended
		e.ports.Release()
	}
	if d.Deployment != nil {
		d.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
