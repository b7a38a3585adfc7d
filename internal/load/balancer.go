package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rattanwall/rattanwall/internal/netio"
)

// NodeAddress holds the addresses that a node serves callers and administrators at.
type NodeAddress struct {
	Name, Callers, Admin string
}

// Balancer is a simple substitute for the platform's load balancer. It probes the
// readiness of each node and returns the ready ones round robin.
type Balancer struct {
	client *http.Client

	mu    sync.Mutex
	nodes []NodeAddress
	ready map[string]bool
	next  int
}

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// NewBalancer returns a balancer without nodes.
func NewBalancer(network netio.Network) *Balancer {
	client := netio.Client(network, 1)
	client.Timeout = probeTimeout
	return &Balancer{client: client, ready: map[string]bool{}}
}

// Set adds a node, or replaces the one of the same name.
func (b *Balancer) Set(n NodeAddress) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.nodes {
		if b.nodes[i].Name == n.Name {
			b.nodes[i] = n
			b.ready[n.Name] = false
			return
		}
	}
	b.nodes = append(b.nodes, n)
}

// All returns all nodes, ready or not.
func (b *Balancer) All() []NodeAddress {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]NodeAddress(nil), b.nodes...)
}

// Pick returns the next ready node.
func (b *Balancer) Pick() (NodeAddress, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.nodes {
		b.next = (b.next + 1) % len(b.nodes)
		if n := b.nodes[b.next]; b.ready[n.Name] {
			return n, true
		}
	}
	return NodeAddress{}, false
}

// Ready returns the number of ready nodes.
func (b *Balancer) Ready() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, ok := range b.ready {
		if ok {
			n++
		}
	}
	return n
}

// Run probes the nodes until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	defer b.client.CloseIdleConnections()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		var wg sync.WaitGroup
		for _, n := range b.All() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				b.probe(ctx, n)
			}()
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Balancer) probe(ctx context.Context, n NodeAddress) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Callers+"/readyz", nil)
	if err != nil {
		return
	}
	ok := false
	if resp, err := b.client.Do(req); err == nil {
		ok = resp.StatusCode == http.StatusOK
		_ = resp.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, current := range b.nodes {
		if current == n {
			b.ready[n.Name] = ok
		}
	}
}
