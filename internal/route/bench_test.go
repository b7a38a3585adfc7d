package route_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/deployment"
	"github.com/rattanwall/rattanwall/internal/harness"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/route"
	"github.com/rattanwall/rattanwall/internal/target/httptarget"
)

// path is one route from a caller to a target.
type path struct {
	name string
	url  string
}

// benchPaths starts two availability zones of one node each on loopback and
// returns the routes to a target in the west zone: direct, through the node that
// owns its VM, and through the other node.
func benchPaths(b *testing.B) (paths []path, token string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	shape := deployment.Shapes()["cofnod-criw"]
	shape.Zones, shape.Workers, shape.WorkersPerRack = map[string]int{"east": 1, "west": 1}, 4, 2
	d, err := harness.Start(b.Context(), harness.Options{Shape: shape, Hosts: harness.Loopback{}, Log: log})
	require.NoError(b, err)
	b.Cleanup(d.Close)
	require.NoError(b, d.Patch(b.Context(), `{"services":{"crewbook":{"zones":["west"]}}}`))
	time.Sleep(3 * time.Second)
	urls := map[string]string{}
	for _, n := range d.Balancer.All() {
		urls[n.Name] = "http://" + n.Callers + "/svc/crewbook/work?size=300"
	}
	direct := "http://" + d.Worker("west-w00").VM().TargetAddress + "/work?size=300"
	return []path{{"direct", direct}, {"owner", urls["west-n1"]}, {"other-node", urls["east-n1"]}}, d.Team
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func call(client *http.Client, method, url, token string, n int) error {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("{}")
	}
	req, err := http.NewRequestWithContext(context.Background(), method, url, body)
	if err != nil {
		return err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set(route.HeaderRequestID, fmt.Sprint(n))
	req.Header.Set(httptarget.HeaderRequestID, fmt.Sprint(n))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return err
}

// BenchmarkRequest measures sequential requests. The latency that a route adds is
// the difference to "direct" in the same run. cpu-us/op is the processor time of
// the whole process, including caller and target.
func BenchmarkRequest(b *testing.B) {
	paths, token := benchPaths(b)
	client := netio.Client(netio.TCP{}, 64)
	defer client.CloseIdleConnections()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, p := range paths {
			b.Run(method+"/"+p.name, func(b *testing.B) {
				h := hdrhistogram.New(1, 10_000_000, 3)
				b.ReportAllocs()
				before := cpuTime()
				for i := 0; b.Loop(); i++ {
					start := time.Now()
					if err := call(client, method, p.url, token, i); err != nil {
						b.Fatal(err)
					}
					_ = h.RecordValue(time.Since(start).Microseconds())
				}
				b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us")
				b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
				b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(h.TotalCount()), "cpu-us/op")
			})
		}
	}
}

// BenchmarkThroughput measures eight concurrent callers: requests per second of
// processor time, including caller and target.
func BenchmarkThroughput(b *testing.B) {
	paths, token := benchPaths(b)
	client := netio.Client(netio.TCP{}, 64)
	defer client.CloseIdleConnections()
	for _, p := range paths {
		b.Run(p.name, func(b *testing.B) {
			before := cpuTime()
			var wg sync.WaitGroup
			work := make(chan int)
			for range 8 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for i := range work {
						if err := call(client, http.MethodGet, p.url, token, i); err != nil {
							b.Error(err)
						}
					}
				}()
			}
			n := 0
			for ; b.Loop(); n++ {
				work <- n
			}
			close(work)
			wg.Wait()
			b.ReportMetric(float64(n)/(cpuTime()-before).Seconds(), "requests/core-s")
		})
	}
}
