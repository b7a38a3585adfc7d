// Package ports assigns loopback ports to processes of tests and demonstrations
// that must know their addresses before they listen, and that may listen there
// again after a restart.
//
// A port that was found free by listening and closing may be taken by any process
// that requests an ephemeral port before its owner listens. Blocks are therefore
// below the ephemeral port range, and the first port of a block stays bound while
// the block is in use, which excludes other users of this package.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

const (
	// minPort and maxPort bound the assigned ports: above those of well-known
	// services and below 32768, where the ephemeral ports of Linux start.
	minPort, maxPort = 12_000, 32_000
	// blockPorts is the size of a block, including the bound first port.
	blockPorts = 16
	blocks     = (maxPort - minPort) / blockPorts
	// MaxPorts is the number of ports of a block that its owner can use.
	MaxPorts = blockPorts - 1
	host     = "127.0.0.1"
)

// Block is a block of ports that is exclusive to its owner until it is released.
type Block struct {
	claim net.Listener
	first int
}

// Claim returns a block without a port in use.
func Claim() (*Block, error) {
	start := rand.IntN(blocks)
	for i := range blocks {
		if b := claim(minPort + (start+i)%blocks*blockPorts); b != nil {
			return b, nil
		}
	}
	return nil, fmt.Errorf("none of %d blocks of ports from %d on is free", blocks, minPort)
}

// claim returns the block whose first port is given, or nil if a port of it is in use.
func claim(first int) *Block {
	ln, err := net.Listen("tcp", address(first))
	if err != nil {
		return nil
	}
	b := &Block{claim: ln, first: first}
	for i := range MaxPorts {
		// Another program, or a process left over from a test, may use the port.
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

// Port returns the block's port i, from 0 to MaxPorts-1.
func (b *Block) Port(i int) int { return b.first + 1 + i }

// Address returns the ip:port of the block's port i.
func (b *Block) Address(i int) string { return address(b.Port(i)) }

// Release makes the block available again. Its ports must not be in use.
func (b *Block) Release() { _ = b.claim.Close() }
