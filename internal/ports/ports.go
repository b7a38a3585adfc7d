// Package ports hands out loopback ports to processes of tests and demonstrations
// that must know their addresses before they listen, and that may listen there anew
// after they were ended.
//
// A port that was found free by listening and closing is anybody's until its owner
// listens: the next one who asks the system for any port may get it. So blocks come
// from below the ports that the system gives out by itself, and the first port of a
// block stays bound as long as the block is in use, which keeps other tests and
// processes that use this package away.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

const (
	// minPort and highest bound the ports handed out: above those of well-known
	// services, below 32768, from where Linux gives ports to those who ask for any.
	minPort, maxPort = 12_000, 32_000
	// blockPorts is the size of a block, the claiming port among them.
	blockPorts = 16
	blocks     = (maxPort - minPort) / blockPorts
	// MaxPorts is how many ports one block has for its owner.
	MaxPorts = blockPorts - 1
	host     = "127.0.0.1"
)

// Block is a block of ports that nobody else is given until it is released.
type Block struct {
	claim net.Listener
	first int
}

// Claim returns a block in which no port is in use.
func Claim() (*Block, error) {
	start := rand.IntN(blocks)
	for i := range blocks {
		if b := claim(minPort + (start+i)%blocks*blockPorts); b != nil {
			return b, nil
		}
	}
	return nil, fmt.Errorf("none of %d blocks of ports from %d on is free", blocks, minPort)
}

// claim takes the block that begins at a port, or returns nil.
func claim(first int) *Block {
	ln, err := net.Listen("tcp", address(first))
	if err != nil {
		return nil
	}
	b := &Block{claim: ln, first: first}
	for i := range MaxPorts {
		// Another program, or a process that outlived its test, may listen there.
		used, err := net.Listen("tcp", b.Address(i))
		if err != nil {
			b.Release()
			return nil
		}
		_ = used.Close()
	}
	return b
}

func address(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// Port is the block's port i, from 0 to below Most.
func (b *Block) Port(i int) int { return b.first + 1 + i }

// Address is ip:port of the block's port i.
func (b *Block) Address(i int) string { return address(b.Port(i)) }

// Release gives the block back; call it once its ports are in use no more.
func (b *Block) Release() { _ = b.claim.Close() }
