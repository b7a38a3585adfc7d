//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rattanwall/rattanwall/platform/platformtest"
)

const (
	// machineCut is how long the leader's machine is cut off from the platform.
	machineCut = 12 * time.Second
	// cutAfter is when the cut begins, counted from the operator's request.
	cutAfter    = 3 * time.Second
	waveSize    = 14
	waveAtOnce  = 12
	waveSeconds = 60
	waveTimeout = 60 * time.Second
	afterWave   = 4 * time.Second
	loadPause   = 30 * time.Millisecond
	loadSteps   = `[{"count":2,"cpu":2000,"mem_mb":400,"estimate_ms":3000}]`
)

// staleUpkeep cuts the leader's machine off from the platform during a wave, while it sends orders
// for machines of the wave.
func staleUpkeep(r *record, trouble bool) (int, error) {
	m := &machineService{r: r}
	d, err := start(r, options{workers: workerCount, machines: m.serve})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return exitNotRun, err
	}
	stopLoad := make(chan struct{})
	defer close(stopLoad)
	go d.load(stopLoad)
	time.Sleep(4 * time.Second)
	w := wave{Wave: 1, Duration: waveSeconds, MaxCount: waveAtOnce}
	for i := range waveSize {
		w.Machines = append(w.Machines, fmt.Sprintf("m-%02d", i))
	}
	if err := m.request(w); err != nil {
		return exitNotRun, err
	}
	time.Sleep(cutAfter)
	first := d.leader()
	if first == nil {
		return exitNotRun, fmt.Errorf("no leader")
	}
	if trouble {
		r.printf("node_cut: %s, which leads, is cut off from the platform for %s", first.name, machineCut)
		first.store.setCut(true)
		first.machines.setCut(true)
		time.AfterFunc(machineCut, func() {
			r.printf("node_cut ends")
			first.store.setCut(false)
			first.machines.setCut(false)
		})
	}
	time.Sleep(machineCut)
	for end := time.Now().Add(waveTimeout - machineCut); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if begun, _ := m.begunCount(); begun == waveSize {
			break
		}
	}
	time.Sleep(afterWave)
	d.recordRuns()
	begun, broken := m.begunCount()
	status, _ := d.Store.Value("status/wave/1")
	r.printf("%d of %d machines have begun their upkeep; status/wave/1 is %s", begun, waveSize, status)
	violations, starts, ends := d.Record.Results()
	r.printf("%d starts, %d ends; the stand-in's own record: %v", starts, ends, violations)
	if m.orders == 0 {
		return exitNotRun, fmt.Errorf("no order was sent")
	}
	for _, b := range broken {
		r.printf("%s", b)
	}
	if len(broken) > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// load hands jobs in at random processes until stop is closed.
func (d *deployment) load(stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(loadPause):
		}
		id := fmt.Sprintf("00000000000a%04x", i)
		t := platformtest.Task{Millis: 2000 + rand.Int64N(2000)}
		e := d.edges[rand.IntN(len(d.edges))]
		go d.submit(e, id, t, loadSteps)
	}
}
