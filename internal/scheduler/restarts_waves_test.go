package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Guards against a maintenance wave that never goes on: a machine that returned from maintenance
// with its VM under the same ID counted as down for good.
func TestMachineThatIsBackUnderItsIDIsNotDown(t *testing.T) {
	f, machines, first := acceptFirstMaintenance(t)
	down := append([]batch.Machine(nil), machines...)
	for i := range down {
		if down[i].Name == first.Machine {
			down[i].State = batch.MachineMaintenance
		}
	}
	f.advance(500 * time.Millisecond)
	f.s.SetMachines(f.now, f.now, down)
	f.advance(2 * time.Second)
	f.s.SetMachines(f.now, f.now, machines)
	f.s.SetInstances(f.now, f.list)
	require.NotEqual(t, first.Machine, runUntilMaintained(f, nil).Machine)
}
