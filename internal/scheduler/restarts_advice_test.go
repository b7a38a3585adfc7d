package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Guards against an adviser's permission that outlives the incarnation it was given for: the next
// one refuses the ticket, and may be allowed where the previous one was not.
func TestAdviceAppliesToOneIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 2)
	f.s.SetConfig(&batch.Config{Version: 2, Queues: []batch.Queue{
		{Name: testQueue, Pool: "pool", Attempts: 3, Stretch: 2, Advice: &batch.Advice{ValidFor: time.Minute}},
	}})
	f.submit("j", tasks(2, 6000))
	ask := f.plan()[0]
	f.s.Advised(f.now, f.now, ask, map[string]string{"vm01": "leave"}, time.Minute, true)
	f.plan()
	require.Len(t, f.started, 1)
	f.advance(200 * time.Millisecond)
	for _, inst := range f.list {
		f.deliverReport(inst.ID, batch.Report{Born: 2, Clock: time.Second})
	}
	f.relistWithBorn(2)
	orders := f.plan()
	require.Len(t, orders, 1)
	require.Equal(t, OrderAdvise, orders[0].Kind)
	require.ElementsMatch(t, []string{"vm00", "vm01"}, orders[0].Candidates)
}
