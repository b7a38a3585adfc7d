package edge

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// maxPeerAddresses bounds the addresses that a process keeps: enough that some of them are
// reachable, few enough to be sent in every response.
const maxPeerAddresses = 8

// peerAddresses holds the peer-listener addresses of some other processes.
type peerAddresses struct {
	self string

	mu        sync.Mutex
	addresses []string
}

// add adds addresses; at the limit each new one replaces a random one.
func (a *peerAddresses) add(list ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, address := range list {
		switch {
		case address == "" || address == a.self || slices.Contains(a.addresses, address):
		case len(a.addresses) < maxPeerAddresses:
			a.addresses = append(a.addresses, address)
		default:
			a.addresses[rand.IntN(maxPeerAddresses)] = address
		}
	}
}

// remove drops the address of an unresponsive process.
func (a *peerAddresses) remove(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addresses = slices.DeleteFunc(a.addresses, func(other string) bool { return other == address })
}

// list returns all addresses except one, in random order.
func (a *peerAddresses) list(except string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]string, 0, len(a.addresses))
	for _, i := range rand.Perm(len(a.addresses)) {
		if a.addresses[i] != except {
			list = append(list, a.addresses[i])
		}
	}
	return list
}
