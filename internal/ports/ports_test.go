package ports

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Processes of a deployment found "address already in use" at ports that had been
// found free for them: between the look and their listening, another process had
// asked the system for any port and was given one of these. Here others ask for
// ports all the time, from the system and from this package.
func TestClaimedPortsStayFreeForTheirOwner(t *testing.T) {
	stop := make(chan struct{})
	var others sync.WaitGroup
	for range 4 {
		others.Go(func() { bindRandomPorts(stop) })
		others.Go(func() { claimBlocks(stop) })
	}
	defer others.Wait()
	defer close(stop)
	for range 20 {
		b, err := Claim()
		require.NoError(t, err)
		for range 5 {
			// The owner ends and starts anew.
			for i := range MaxPorts {
				ln, err := net.Listen("tcp", b.Address(i))
				require.NoError(t, err)
				require.NoError(t, ln.Close())
			}
		}
		b.Release()
	}
}

// bindRandomPorts holds some hundred ports that the system chose, others all the time.
func bindRandomPorts(stop chan struct{}) {
	var held [200]net.Listener
	for i := 0; ; i = (i + 1) % len(held) {
		select {
		case <-stop:
			for _, ln := range held {
				if ln != nil {
					_ = ln.Close()
				}
			}
			return
		default:
		}
		if held[i] != nil {
			_ = held[i].Close()
		}
		held[i], _ = net.Listen("tcp", "127.0.0.1:0")
	}
}

func claimBlocks(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if b, err := Claim(); err == nil {
			b.Release()
		}
	}
}

// A block of which any port is in use is passed over, and is free again once it is
// released.
func TestClaimSkipsBlocksInUse(t *testing.T) {
	b, err := Claim()
	require.NoError(t, err)
	require.Nil(t, claim(b.first))
	used, err := net.Listen("tcp", b.Address(MaxPorts-1))
	require.NoError(t, err)
	b.Release()
	require.Nil(t, claim(b.first))
	require.NoError(t, used.Close())
}
