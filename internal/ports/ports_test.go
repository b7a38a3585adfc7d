package ports

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against "address already in use" at a port that was found free before: the
// system assigned it to another process that requested an ephemeral port. Here
// other goroutines request ports from the system and from this package all the time.
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
			// The owner stops and restarts.
			for i := range MaxPorts {
				ln, err := net.Listen("tcp", b.Address(i))
				require.NoError(t, err)
				require.NoError(t, ln.Close())
			}
		}
		b.Release()
	}
}

// bindRandomPorts keeps up to 200 ports bound that the system chooses, and
// continually replaces them.
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

// Guards against assigning a block that another owner has claimed, or of which another
// process uses a port.
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
