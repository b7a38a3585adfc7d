package edge

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// keptAddresses is how many other processes a process remembers: enough that some of them
// live and are reached, few enough to be told in every answer.
const keptAddresses = 8

// addresses are where some other processes serve their peers.
type addresses struct {
	self string

	mu   sync.Mutex
	kept []string
}

// add remembers processes; where there are too many, new ones take the place of any.
func (a *addresses) add(list ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, address := range list {
		switch {
		case address == "" || address == a.self || slices.Contains(a.kept, address):
		case len(a.kept) < keptAddresses:
			a.kept = append(a.kept, address)
		default:
			a.kept[rand.IntN(keptAddresses)] = address
		}
	}
}

// remove forgets a process that does not answer.
func (a *addresses) remove(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kept = slices.DeleteFunc(a.kept, func(other string) bool { return other == address })
}

// list returns the processes but one, in random order.
func (a *addresses) list(except string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]string, 0, len(a.kept))
	for _, i := range rand.Perm(len(a.kept)) {
		if a.kept[i] != except {
			list = append(list, a.kept[i])
		}
	}
	return list
}
