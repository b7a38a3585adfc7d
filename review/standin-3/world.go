//go:build review3

// Command review3 plays the cases of the third review: it starts the project's own processes with
// the command of the deploy file, and stand-ins for the platform, its workers and clients.
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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rattanwall/rattanwall/internal/ports"
	"github.com/rattanwall/rattanwall/platform/platformtest"
)

// Figures like those of the small deployments.
const (
	holdMax    = 10 * time.Second
	heartbeat  = 1500 * time.Millisecond
	valueBytes = 1 << 20
	graceS     = 6
	attempts   = 4
	host       = "jobs.example"
	prefix     = "/q0/"
)

// machine is what a worker lives on.
type machine struct {
	name, pool, zone, rack, kind string
	cpu                          int64
	// state is the machine's state at the machine service; current is its worker, nil for none.
	state   string
	current *worker
	lives   int
	// upkeeps holds the waves for which the machine has had its upkeep.
	upkeeps map[int64]bool
	// tail is the tail of the tasks that serve here, in milliseconds.
	tail atomic.Int64
}

// node is an entry VM: a process of the project at fixed addresses.
type node struct {
	name, callers, settings string
	block                   *ports.Block

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

type world struct {
	rec   *record
	store *platformtest.Store
	dir   string

	storeAddress, cloudAddress string
	// beaten holds a value after the workers' heartbeats.
	beaten chan struct{}
	// tellBirths is set if workers tell when they were born, as on the pages of demands/.
	tellBirths bool

	mu       sync.Mutex
	machines []*machine
	nodes    []*node
	closed   bool
	client   *http.Client
}

func (w *world) listen() (net.Listener, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return ln, ln.Addr().String()
}

// serve serves a handler on a free port and returns its address.
func (w *world) serve(h http.Handler) string {
	ln, address := w.listen()
	go func() { _ = http.Serve(ln, h) }()
	return address
}

// fail ends the case as one that could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if theWorld != nil {
		theWorld.close()
	}
	os.Exit(2)
}

var theWorld *world

// newWorld starts the platform's stand-ins.
func newWorld(recordPath string) *world {
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		fail("%v", err)
	}
	w := &world{store: platformtest.NewStore(), dir: dir, beaten: make(chan struct{}, 1), client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	w.rec = newRecord(recordPath)
	theWorld = w
	w.storeAddress = w.serve(w.store)
	w.cloudAddress = w.serve(machineService{w})
	go w.heartbeats()
	return w
}

// addMachine adds a machine and starts a worker on it.
func (w *world) addMachine(i int, kind string, cpu int64) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := &machine{name: fmt.Sprintf("m%02d", len(w.machines)), pool: "pool", zone: fmt.Sprintf("z%d", i%zones+1), rack: fmt.Sprintf("r%d", i%racks), kind: kind, cpu: cpu, state: "up", upkeeps: map[int64]bool{}}
	w.machines = append(w.machines, m)
	w.startLife(m)
	return m
}

// startLife starts a worker on a machine; w.mu is held. Its id is new.
func (w *world) startLife(m *machine) {
	m.lives++
	m.state = "up"
	m.current = newWorker(w, m, fmt.Sprintf("i-%s-%d", m.name, m.lives))
	w.rec.note("worker up id=%s machine=%s", m.current.id, m.name)
	w.store.Put("servers/"+m.current.id, m.current.entry(1))
}

// lose cuts the power of a machine for good: its calls hang, and its entry goes after three
// heartbeats of silence.
func (w *world) lose(m *machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := m.current
	w.rec.note("DISRUPTION machine is lost for good machine=%s worker=%s", m.name, k.id)
	k.mu.Lock()
	k.silent = true
	for task, r := range k.running {
		w.rec.ended(k, task, r.number, "crashed")
	}
	k.running = map[string]*run{}
	k.mu.Unlock()
	m.current, m.state = nil, "down"
	time.AfterFunc(3*heartbeat, func() { w.store.Remove("servers/" + k.id) })
}

func (w *world) heartbeats() {
	for seq := int64(2); ; seq++ {
		time.Sleep(heartbeat)
		w.mu.Lock()
		if w.closed {
			w.mu.Unlock()
			return
		}
		for _, m := range w.machines {
			if m.current != nil {
				w.store.Put("servers/"+m.current.id, m.current.entry(seq))
			}
		}
		w.mu.Unlock()
		select {
		case w.beaten <- struct{}{}:
		default:
		}
	}
}

// configure writes a version of the configuration.
func (w *world) configure(version int) {
	w.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"q","host":%q,"prefix":%q,"service":"pool","slo_ms":1000,"priority":1,"attempts":%d,"stretch":2}],`+
		`"services":[{"name":"pool","admission_check":true}],"limits":{"max_body_bytes":262144}}`, version, host, prefix, attempts))
}

// runLine returns the command of the role in the deploy file.
func runLine() []string {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		fail("%v", err)
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(rest), `"`))
		}
	}
	fail("deploy/system.toml has no run line")
	return nil
}

// addNode starts a process of the project.
func (w *world) addNode(zone string) *node {
	block, err := ports.Claim()
	if err != nil {
		fail("%v", err)
	}
	n := &node{name: fmt.Sprintf("edge-%d", len(w.nodes)+1), callers: block.Address(0), block: block}
	n.settings = filepath.Join(w.dir, n.name+".conf")
	var b strings.Builder
	fmt.Fprintf(&b, "node_name=%s\nrole=edge\nmachine_class=edge\nserves=edge\nip=127.0.0.1\nzone=%s\nregion=r\nzones.z1=r\nzones.z2=r\nzones.z3=r\n", n.name, zone)
	fmt.Fprintf(&b, "listen.frontend=%s\nlisten.readiness=%s\nport_range=%d,%d\nbootstrap=true\n", n.callers, block.Address(1), block.Port(2), block.Port(9))
	fmt.Fprintf(&b, "limits.cpu_share=0.4\nlimits.cores=1\nlimits.memory_mb=284\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\ndiscovery=platform\nentry=vip\nheartbeat_ms=%d\n", heartbeat.Milliseconds())
	fmt.Fprintf(&b, "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\nbounds.grace_s=%d\nbounds.hold_max_ms=%d\nbounds.stop_ms=400\nbounds.gang_timeout_ms=3000\nbounds.notice_ms=4500\nbounds.far_factor=2\nbounds.lease_ms=3000\nbounds.require_fencing=false\nbounds.maintenance_s=2\nbounds.move_s=1.5\n", graceS, holdMax.Milliseconds())
	fmt.Fprintf(&b, "control_mode=rpc\nplatform.address=%s\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=%d\nplatform.ttl_min_ms=1000\ncloud_api.address=%s\ncloud_api.rate_per_s=60\ncloud_api.duty_per_s=60\n", w.storeAddress, valueBytes, w.cloudAddress)
	if err := os.WriteFile(n.settings, []byte(b.String()), 0o600); err != nil {
		fail("%v", err)
	}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	w.startNode(n)
	return n
}

func (w *world) startNode(n *node) {
	words := runLine()
	log, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"RATTANWALL_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("%v", err)
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	w.rec.note("process up node=%s", n.name)
}

// signal sends a signal to the node's process.
func (w *world) signal(n *node, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w.rec.note("DISRUPTION signal=%v node=%s", s, n.name)
	_ = n.cmd.Process.Signal(s)
}

// startAgain starts the node's process again some time after it has ended, as the platform does.
func (w *world) startAgain(n *node, pause time.Duration) {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	<-done
	time.AfterFunc(pause, func() {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if !closed {
			w.startNode(n)
		}
	})
}

// leader returns the node that holds the leader's key in the store, or nil.
func (w *world) leader() *node {
	raw, ok := w.store.Value("lead/leader")
	if !ok {
		return nil
	}
	var holder struct{ Node string }
	_ = json.Unmarshal(raw, &holder)
	for _, n := range w.nodes {
		if n.name == holder.Node {
			return n
		}
	}
	return nil
}

// awaitReady waits until a leader knows the workers.
func (w *world) awaitReady() {
	until := time.Now().Add(15 * time.Second)
	for time.Now().Before(until) {
		if n := w.leader(); n != nil {
			if status, _ := w.call(n, http.MethodGet, "", nil); status == http.StatusOK {
				time.Sleep(1500 * time.Millisecond)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	fail("no leader after 15 s")
}

// call makes a client's call; status 0 means no answer.
func (w *world) call(n *node, method, id string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+prefix+id, bytes.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// any calls the nodes in turn until one gives an answer that is final for the client.
func (w *world) any(method, id string, body []byte) (int, []byte) {
	for try := range 12 {
		n := w.nodes[try%len(w.nodes)]
		status, raw := w.call(n, method, id, body)
		switch status {
		case 0, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			w.rec.note("%s id=%s node=%s status=%d, again", method, id, n.name, status)
			time.Sleep(300 * time.Millisecond)
		default:
			return status, raw
		}
	}
	return 0, nil
}

// submit hands in a job until it is accepted.
func (w *world) submit(id string, b behaviour, steps string) {
	spec, _ := json.Marshal(b)
	body := fmt.Appendf(nil, `{"spec":%q,"steps":[%s]}`, spec, steps)
	status, _ := w.any(http.MethodPost, id, body)
	w.rec.note("POST id=%s body=%s status=%d", id, body, status)
	if status/100 != 2 {
		fail("job %s was not accepted: %d", id, status)
	}
}

// state asks for a job's state.
func (w *world) state(id string) string {
	status, raw := w.any(http.MethodGet, id, nil)
	if status == http.StatusGone {
		return "gone"
	}
	var s struct{ State string }
	_ = json.Unmarshal(raw, &s)
	if s.State == "" {
		s.State = fmt.Sprintf("status %d", status)
	}
	w.rec.note("GET id=%s answer=%s", id, s.State)
	return s.State
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.rec.close()
	w.mu.Lock()
	w.closed = true
	nodes, machines := w.nodes, w.machines
	w.mu.Unlock()
	for _, n := range nodes {
		n.mu.Lock()
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		done := n.done
		n.mu.Unlock()
		<-done
		n.block.Release()
	}
	for _, m := range machines {
		if m.current != nil {
			m.current.crash()
		}
	}
	_ = os.RemoveAll(w.dir)
}
