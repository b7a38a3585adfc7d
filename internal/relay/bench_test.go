package relay

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// BenchmarkReports encodes reports of eleven runs as differences and restores them, in ns per
// report.
func BenchmarkReports(b *testing.B) {
	rows := make([]batch.RunStatus, 11)
	for i := range rows {
		rows[i] = batch.RunStatus{Task: batch.TaskID{Job: "5c0e7a21d94b36f8", Step: 1, Index: i}, Run: 33554432 + int64(i), Checkpoint: "00000bb87a21d94b", HasUsage: true}
	}
	sent, received := lastReports{}, lastReports{}
	for n := range b.N {
		rep := batch.Report{Running: make([]batch.RunStatus, len(rows))}
		copy(rep.Running, rows)
		for i := range rep.Running {
			rep.Running[i].Usage = float64((n * (i + 3)) % 40)
			rep.Running[i].Progress = n % 100
		}
		_, ok := received.apply(sent.diff(1, &rep))
		require.True(b, ok)
	}
}

// BenchmarkOrders measures the whole exchange of a start and its result, including the relay,
// with up to 200 starts in flight.
func BenchmarkOrders(b *testing.B) {
	relayed := &fakeAgents{}
	r := newTestRelay(b, "ra", "a", relayed)
	p := &Pool{Direct: &fakeAgents{}, Node: "leader", DirectVMs: DirectVMs, Processor: 1, Log: discardLog()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.Lead(ctx, 7)
	p.AddOffer(r.offer)
	p.SetFleet(testFleet(65))
	p.AwaitReady(ctx, time.Second)
	var starts sync.WaitGroup
	inFlight := make(chan struct{}, 200)
	for n := range b.N {
		inFlight <- struct{}{}
		starts.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			_, _ = p.Start(callCtx, testVM(n%65), batch.StartOrder{Task: batch.TaskID{Job: fmt.Sprintf("%016x", n/100), Index: n % 100}, Run: int64(n), Payload: "text", Fence: 7, LeaseUntil: time.Hour})
			<-inFlight
		})
	}
	starts.Wait()
}

// BenchmarkMessage encodes and decodes a message of a relay with the reports of forty VMs
// with eleven runs each, in ns per message.
func BenchmarkMessage(b *testing.B) {
	var m results
	last := lastReports{}
	for round := range 2 {
		m.Results = nil
		for vm := range 40 {
			rep := batch.Report{Running: make([]batch.RunStatus, 11)}
			for i := range rep.Running {
				rep.Running[i] = batch.RunStatus{
					Task: batch.TaskID{Job: "5c0e7a21d94b36f8", Step: 1, Index: i}, Run: 33554432 + int64(i), Checkpoint: "00000bb87a21d94b",
					Progress: 40 + round, Usage: float64(12 + i + round), HasUsage: true,
				}
			}
			m.Results = append(m.Results, result{Call: uint64(vm), Clock: time.Hour, Report: last.diff(vm, &rep)})
		}
	}
	var buf bytes.Buffer
	encoder, decoder := gob.NewEncoder(&buf), gob.NewDecoder(&buf)
	b.ReportAllocs()
	for range b.N {
		require.NoError(b, encoder.Encode(&m))
		b.ReportMetric(float64(buf.Len()), "bytes")
		var received results
		require.NoError(b, decoder.Decode(&received))
	}
}

// BenchmarkPayloadTable measures the cost of a new job's first start on a stream whose relay
// already stores the maximum number of payloads.
func BenchmarkPayloadTable(b *testing.B) {
	table := newPayloadTable(nil)
	for i := range b.N {
		table.use(strconv.Itoa(i), "text")
	}
}
