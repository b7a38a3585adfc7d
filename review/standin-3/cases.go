//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	zones = 3
	racks = 3
	// finish is how long after the end of the traffic jobs are asked for, idleFor how long a job
	// may have nothing running then.
	finish  = 14 * time.Second
	idleFor = 3 * time.Second
)

// deploy starts workers of kind a, one of kind b if special is set, and three processes.
func (w *world) deploy(workers int, cpu int64, special bool) (b *machine) {
	w.configure(1)
	for i := range workers {
		w.addMachine(i, "a", cpu)
	}
	if special {
		b = w.addMachine(0, "b", cpu)
	}
	for i := range zones {
		w.addNode(fmt.Sprintf("z%d", i+1))
	}
	w.awaitReady()
	return b
}

// ordinarySteps is a job like recurrent-recon of cofnod-criw: 2 steps of 8 tasks, each 2.2 s on 3.5 cores.
const ordinarySteps = `{"count":8,"cpu":3500,"mem_mb":1000,"estimate_ms":2200},{"count":8,"cpu":3500,"mem_mb":1000,"estimate_ms":2200,"after":[0]}`

var ordinaryTask = behaviour{MS: 2200, CPU: 3500}

// watchIdle waits until finish after the end of the traffic, asks for the jobs, and watches those
// that haven't completed for idleFor. The verdict is that of LOST.
func (w *world) watchIdle(ids []string) verdict {
	w.rec.note("end of the traffic")
	time.Sleep(finish)
	idle := map[string]bool{}
	for _, id := range ids {
		if w.state(id) != "completed" {
			idle[id] = true
		}
	}
	for until := time.Now().Add(idleFor + 200*time.Millisecond); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for id := range idle {
			if w.rec.runningOf(id) > 0 {
				delete(idle, id)
			}
		}
	}
	used, all := w.cpuInUse()
	w.rec.note("jobs with nothing running for 3 s: %d of %d; cpu in use: %d of %d", len(idle), len(ids), used, all)
	broken := len(idle) > 0 && 2*used < all
	return verdict{broken, fmt.Sprintf("LOST: %d s after the end of the traffic %d of %d jobs have nothing running for 3 s; cpu in use: %d of %d", int(finish.Seconds()), len(idle), len(ids), used, all)}
}

// cpuInUse returns the cpu of what runs and that of all workers, in thousandths of a core.
func (w *world) cpuInUse() (used, all int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.current == nil {
			continue
		}
		all += m.cpu
		m.current.mu.Lock()
		for _, r := range m.current.running {
			used += r.what.CPU
		}
		m.current.mu.Unlock()
	}
	return used, all
}

// fillersMoved: the load of tasks that serve rises, and tasks of one step that last and fill, of
// which one may be away, run beside them.
func fillersMoved(w *world, trouble bool) verdict {
	const serving, filling = "00000000000000e0", "00000000000000e1"
	const usualTail, highTail = 60, 130
	w.deploy(8, 16_000, false)
	w.setTails(w.machines, usualTail)
	var mu sync.Mutex
	// away holds the tasks that an order to stop has ended and that are not at work again.
	away := map[string]bool{}
	broken := ""
	w.rec.onStop = func(k *worker, task string, held *run) {
		if task[:len(filling)] != filling || held.percent() < 100 {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for other := range away {
			if w.rec.atWork(other) {
				delete(away, other)
			}
		}
		delete(away, task)
		if len(away) >= 1 && broken == "" {
			broken = fmt.Sprintf("AVAIL: a stop ends %s on %s, which is at work, while %d other of its step (may_miss 1) is away by such an order", task, k.id, len(away))
			w.rec.note("%s", broken)
		}
		away[task] = true
	}
	w.submit(serving, behaviour{CPU: 4000, Serves: true}, `{"count":8,"cpu":4000,"mem_mb":1000,"estimate_ms":1000,"long_running":true,"image":"web","target_ms":100,"max_per_server":1}`)
	time.Sleep(4 * time.Second)
	w.submit(filling, behaviour{CPU: 1000, Fills: true, Saves: true}, `{"count":6,"cpu":1000,"mem_mb":500,"estimate_ms":1000,"long_running":true,"saves_progress":true,"fills":true,"image":"crunch","may_miss":1}`)
	time.Sleep(8 * time.Second)
	if trouble {
		w.rec.note("TRAFFIC the load of half of the serving tasks rises: tails of %d ms, target 100 ms", highTail)
		w.setTails(w.machines[:4], highTail)
	}
	time.Sleep(6 * time.Second)
	w.rec.note("TRAFFIC the load is as usual: tails of %d ms", usualTail)
	w.setTails(w.machines, usualTail)
	time.Sleep(8 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return verdict{broken != "", broken}
}

func (w *world) setTails(machines []*machine, ms int64) {
	for _, m := range machines {
		m.tail.Store(ms)
	}
}

// pendingCount: jobs wait for room after the worker that they were ordered from is lost; then the
// leading process is killed.
func pendingCount(w *world, trouble bool) verdict {
	w.deploy(8, 8000, false)
	// Seven workers are full for longer than the case lasts.
	w.submit("00000000000000f0", behaviour{MS: 60_000, CPU: 8000}, `{"count":7,"cpu":8000,"mem_mb":100,"estimate_ms":60000,"max_per_server":1}`)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		w.lose(w.freeMachine())
	}
	const jobs = 12
	for i := range jobs {
		w.submit(fmt.Sprintf("00000000000001%02d", i), behaviour{MS: 60_000, CPU: 600}, `{"count":1,"cpu":600,"mem_mb":100,"estimate_ms":60000}`)
	}
	accepted := time.Now()
	time.Sleep(5 * time.Second)
	if trouble {
		if n := w.leader(); n != nil {
			w.signal(n, syscall.SIGKILL)
			w.startAgain(n, 500*time.Millisecond)
		}
	}
	time.Sleep(time.Until(accepted.Add(10 * time.Second)))
	v := verdict{}
	// Asked several times, since the value may be 2 s old.
	for range 3 {
		time.Sleep(2500 * time.Millisecond)
		waiting := 0
		for i := range jobs {
			if w.rec.startsOf(fmt.Sprintf("00000000000001%02d.0.0.0", i)) == 0 {
				waiting++
			}
		}
		status, raw := w.any(http.MethodGet, "", nil)
		var answer struct{ Pending int }
		if status != http.StatusOK || json.Unmarshal(raw, &answer) != nil {
			fail("pending: status %d", status)
		}
		v = verdict{2*answer.Pending < waiting, fmt.Sprintf("MIXED: pending is %d, while %d jobs that were accepted over 5 s before haven't begun", answer.Pending, waiting)}
		w.rec.note("answer pending=%d; jobs accepted over 5 s before that haven't begun: %d", answer.Pending, waiting)
		if !v.broken {
			return v
		}
	}
	return v
}

// freeMachine returns a machine on which nothing runs.
func (w *world) freeMachine() *machine {
	for _, m := range w.machines {
		m.current.mu.Lock()
		n := len(m.current.running)
		m.current.mu.Unlock()
		if n == 0 {
			return m
		}
	}
	fail("no worker is free")
	return nil
}

// waveStuck: the operator requests the upkeep of all machines, two at once. Two are of a kind that a
// job that lasts needs.
func waveStuck(w *world, trouble bool) verdict {
	w.deploy(10, 32_000, true)
	w.addMachine(1, "b", 32_000)
	time.Sleep(2 * time.Second)
	const lasting = "00000000000000d0"
	w.submit(lasting, behaviour{CPU: 4000}, `{"count":4,"cpu":4000,"mem_mb":1000,"estimate_ms":1000,"long_running":true,"may_miss":1,"required_label":"b"}`)
	time.Sleep(4 * time.Second)
	if trouble {
		w.requestWave(1, w.machines, 60, 2)
	}
	// The machines of kind b come last.
	time.Sleep(20 * time.Second)
	var ids []string
	for i := range 10 {
		time.Sleep(time.Second)
		ids = append(ids, fmt.Sprintf("00000000000003%02d", i))
		w.submit(ids[i], ordinaryTask, `{"count":4,"cpu":3500,"mem_mb":1000,"estimate_ms":2200,"required_label":"b"}`)
	}
	v := w.watchIdle(ids)
	for i := range 4 {
		task := fmt.Sprintf("%s.0.0.%d", lasting, i)
		w.rec.note("task that lasts %s: at work %t", task, w.rec.atWork(task))
	}
	status, _ := w.store.Value("status/wave/1")
	w.rec.note("status/wave/1 %s", status)
	return v
}

// requestWave writes the operator's request for a wave of upkeep.
func (w *world) requestWave(number int64, machines []*machine, durationS, maxCount int) {
	var names []string
	for _, m := range machines {
		names = append(names, m.name)
	}
	value, _ := json.Marshal(map[string]any{"wave": number, "machines": names, "duration_s": durationS, "max_count": maxCount})
	w.rec.note("OPERATOR op/wave/%d %s", number, value)
	w.store.Put(fmt.Sprintf("op/wave/%d", number), value)
}

// foreignEntry: another writer leaves an entry of a service of its own under a worker's key.
func foreignEntry(w *world, trouble bool) verdict {
	w.tellBirths = true
	w.deploy(12, 32_000, false)
	w.submit("00000000000000d0", behaviour{CPU: 4000}, `{"count":12,"cpu":4000,"mem_mb":1000,"estimate_ms":1000,"long_running":true}`)
	w.submit("00000000000000d1", behaviour{MS: 12_000, CPU: 3500}, `{"count":24,"cpu":3500,"mem_mb":1000,"estimate_ms":12000}`)
	time.Sleep(4 * time.Second)
	<-w.beaten
	<-w.beaten
	if trouble {
		w.overwriteEntry(w.machines[3])
	}
	time.Sleep(12 * time.Second)
	state := w.state("00000000000000d1")
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	return verdict{w.rec.twice > 0, fmt.Sprintf("TWICE: %d starts of tasks of which another run went on, on workers that are up; the job is %s", w.rec.twice, state)}
}

// overwriteEntry writes an entry of another service's worker under the key of a machine's worker. The
// worker's next heartbeat writes its own entry again.
func (w *world) overwriteEntry(m *machine) {
	other := newWorker(w, &machine{name: "other", pool: "elsewhere", zone: m.zone, rack: m.rack, kind: m.kind, cpu: m.cpu}, "x-0001")
	value := other.entry(1)
	w.rec.note("DISRUPTION another writer writes key=servers/%s value=%s", m.current.id, value)
	w.store.Put("servers/"+m.current.id, value)
}
