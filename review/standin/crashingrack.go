//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rattanwall/rattanwall/platform/platformtest"
)

const (
	// crashInterval is the time between two crashes, each of one worker of the rack, in turn.
	// crashDown is how long its machine is down, crashCount how many crashes there are.
	crashInterval = 400 * time.Millisecond
	crashDown     = 2 * time.Second
	crashCount    = 24
	badRack       = rackCount - 1
	jobsInterval  = 250 * time.Millisecond
	boundJobs     = 8
	finishTime    = 15 * time.Second
	boundMillis   = 1500
	startupMillis = 500
	boundCPU      = 2000
)

// crashingRack crashes the workers of one rack in turn, at set times, while clients hand in jobs
// that may run in this rack only, every other one of them with a task that lasts, and others.
func crashingRack(r *record, trouble bool) (int, error) {
	var f *fleet
	d, err := start(r, options{machines: func(p *platformtest.Deployment) (string, error) {
		var err error
		if f, err = newFleet(r, p.Store); err != nil {
			return "", err
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		go func() { _ = http.Serve(ln, f) }()
		return ln.Addr().String(), nil
	}})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(settleTime)
	began := time.Now()
	if trouble {
		go f.crashInTurn()
	}
	var ids []string
	for i := range boundJobs {
		id := fmt.Sprintf("00000000000b%04x", i)
		label := fmt.Sprintf(`,"required_label":%q`, platformtest.RackName(badRack))
		d.submitWork(d.edges[i%len(d.edges)], id, label, i%2 == 1)
		d.submitWork(d.edges[(i+1)%len(d.edges)], fmt.Sprintf("00000000000c%04x", i), "", false)
		ids = append(ids, id)
		time.Sleep(jobsInterval)
	}
	time.Sleep(time.Until(began.Add(crashCount*crashInterval + finishTime)))
	return d.judgeFailed(f, ids), nil
}

// crashInTurn crashes the workers of the rack one after the other.
func (f *fleet) crashInTurn() {
	perRack := workerCount / rackCount
	for i := range crashCount {
		f.hosts[badRack*perRack+i%perRack].crash(crashDown)
		time.Sleep(crashInterval)
	}
	f.r.printf("the last worker has crashed")
}

// submitWork hands in a job of one task.
func (d *deployment) submitWork(e *edge, id, label string, lasts bool) {
	millis, lasting := boundMillis, ""
	if lasts {
		millis, lasting = startupMillis, `,"long_running":true`
	}
	spec, _ := json.Marshal(map[string]any{"ms": millis, "cpu": boundCPU, "lasts": lasts})
	steps := fmt.Sprintf(`[{"count":1,"cpu":%d,"mem_mb":400,"estimate_ms":%d%s%s}]`, boundCPU, millis, label, lasting)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": json.RawMessage(steps)})
	status, reply := d.call(e, http.MethodPost, platformtest.QueuePrefix+id, body)
	d.printf("client POST %s at %s (%s): %d %s", id, e.name, strings.Trim(label+lasting, ","), status, reply)
}

// judgeFailed checks LOST: a job is shown as failed only if a task of it has ended failed as often
// as its queue has attempts. No task here ever ends so.
func (d *deployment) judgeFailed(f *fleet, ids []string) int {
	code, states := exitHeld, map[string]int{}
	for _, id := range ids {
		status, state := d.call(d.edges[0], http.MethodGet, platformtest.QueuePrefix+id, nil)
		d.printf("client GET %s: %d %s; its runs ended %v", id, status, state, f.endsOf(id))
		states[state]++
		if strings.Contains(state, `"failed"`) && f.endsOf(id)["failed"] == 0 {
			d.printf("LOST: %s is shown as failed, and no run of it has ended failed", id)
			code = exitBroken
		}
	}
	d.printf("jobs by state: %v", states)
	return code
}
