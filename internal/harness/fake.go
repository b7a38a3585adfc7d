package harness

import (
	"fmt"
	"sync"

	"github.com/rattanwall/rattanwall/internal/fakenet"
	"github.com/rattanwall/rattanwall/internal/netio"
)

// Fake gives each host an IP address of its own on a fake network.
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

// IP returns a host's IP address, which it assigns on the first call.
func (f *Fake) IP(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ips[name] == "" {
		n := len(f.ips) + 1
		f.ips[name] = fmt.Sprintf("10.0.%d.%d", n/250, n%250+1)
	}
	return f.ips[name]
}

// CutGroups blocks all traffic between the hosts of one group and those of the
// other.
func (f *Fake) CutGroups(a, b []string) {
	addresses := func(names []string) map[string]bool {
		set := map[string]bool{}
		for _, n := range names {
			set[f.IP(n)] = true
		}
		return set
	}
	left, right := addresses(a), addresses(b)
	f.SetCut(func(from, to string) bool { return left[from] && right[to] || right[from] && left[to] })
}

// Heal removes all blocks, after which held-back data is delivered.
func (f *Fake) Heal() { f.SetCut(func(string, string) bool { return false }) }
