package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// suspectStartTimeout is how long a suspect that fits may wait beside free capacity:
// maxTrialWait, and as long again for the other suspects to be considered.
const suspectStartTimeout = 2 * maxTrialWait

// Guards against suspects that wait for each other: while the first few of the queue waited for
// VMs without recent runs, those behind them were not considered, beside a fleet that was mostly
// free.
func TestSuspectsDoNotWaitForEachOther(t *testing.T) {
	t.Parallel()
	for _, seed := range crashSeeds(2) {
		c := newCrashFleet(t, 40, seed)
		c.runFor(2 * time.Second)
		// Every VM has a recent run at any time.
		var ids []string
		busy := func() {
			for range 40 {
				id := fmt.Sprintf("busy%d", c.harmlessJobs)
				c.harmlessJobs++
				c.runDurations[id] = 1500 * time.Millisecond
				c.submitJob(&batch.Job{ID: id, Payload: "p", Steps: []batch.Step{tasks(1, 500)}})
			}
		}
		busy()
		c.runFor(300 * time.Millisecond)
		const suspects = 200
		for i := range suspects {
			id := fmt.Sprintf("suspect%d", i)
			ids = append(ids, id)
			c.runDurations[id] = 300 * time.Millisecond
			c.submitJob(&batch.Job{ID: id, Payload: "p", Steps: []batch.Step{tasks(1, 500)}})
			c.markSuspect(id)
		}
		submittedAt := c.now
		for c.now < submittedAt+suspectStartTimeout {
			c.runFor(400 * time.Millisecond)
			busy()
		}
		waiting := 0
		for _, id := range ids {
			if len(c.startTimes[batch.TaskID{Job: id}]) == 0 {
				waiting++
			}
		}
		require.Zero(t, waiting, "of %d suspects, seed %d", suspects, seed)
	}
}
