package edge

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// maxPeerAddresses is how many other processes a process remembers: enough that some of them
// live and are reached, few enough to be told in every answer.
const maxPeerAddresses = 8

// peerAddresses are where some other processes serve their peers.
type peerAddresses struct {
	self string

	mu        sync.Mutex
	addresses []string
}

// add remembers processes; where there are too many, new ones take the place of any.
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

// remove forgets a process that does not answer.
func (a *peerAddresses) remove(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addresses = slices.DeleteFunc(a.addresses, func(other string) bool { return other == address })
}

// list returns the processes but one, in random order.
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
