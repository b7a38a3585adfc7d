package harness

import (
	"fmt"
	"sync"

	"github.com/rattanwall/rattanwall/internal/fakenet"
	"github.com/rattanwall/rattanwall/internal/netio"
)

// Fake puts each host at an IP number of its own on a fake network.
type Fake struct {
	*fakenet.Network

	mu  sync.Mutex
	ips map[string]string
}

// NewFake returns hosts on a new fake network.
func NewFake() *Fake { return &Fake{Network: fakenet.New(), ips: map[string]string{}} }

// Host implements Hosts.
func (f *Fake) Host(name string) (network netio.Network, ip string) {
	ip = f.IP(name)
	return f.Network.Host(ip), ip
}

// IP returns a host's IP number.
func (f *Fake) IP(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ips[name] == "" {
		n := len(f.ips) + 1
		f.ips[name] = fmt.Sprintf("10.0.%d.%d", n/250, n%250+1)
	}
	return f.ips[name]
}

// CutGroups cuts every host of one group off from every host of the other.
func (f *Fake) CutGroups(a, b []string) {
	in := func(names []string) map[string]bool {
		set := map[string]bool{}
		for _, n := range names {
			set[f.IP(n)] = true
		}
		return set
	}
	left, right := in(a), in(b)
	f.SetCut(func(from, to string) bool { return left[from] && right[to] || right[from] && left[to] })
}

// Heal lets everything through again.
func (f *Fake) Heal() { f.SetCut(func(string, string) bool { return false }) }
