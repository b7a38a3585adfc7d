package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// A VM goes off the list and is not heard any more: the figures tell that a lease
// may live there, for how long, and when it is over.
func TestFiguresTellWhereALeaseMayLive(t *testing.T) {
	f := newFixture(t, 3)
	f.hear("vm00", batch.Report{})
	f.hear("vm01", batch.Report{})
	// The clocks are known now, so that these holds take leases.
	f.hear("vm00", batch.Report{})
	f.hear("vm01", batch.Report{})
	f.s.Expect([]string{"vm02"}, f.now+time.Minute)
	x := f.s.Figures(f.now)
	require.Equal(t, Figures{Fence: 1, VMs: 3, Unheard: 1, Leased: 2, Waited: 1, LongestLease: x.LongestLease}, x)
	require.InDelta(t, 8.5, x.LongestLease.Seconds(), 0.5)

	f.s.SetInstances(f.now, f.list[1:])
	f.advance(2 * time.Second)
	f.hear("vm01", batch.Report{})
	f.hear("vm02", batch.Report{})
	x = f.s.Figures(f.now)
	// On vm02 a lease of an earlier leader may live from before it was first heard.
	require.Equal(t, Figures{Fence: 1, VMs: 3, Unlisted: 1, Silent: 1, LeasedSilent: 1, Leased: 3, LongestLease: x.LongestLease}, x)
	s, ok := f.s.Standing(f.now, "vm00")
	require.True(t, ok)
	require.Equal(t, Standing{Heard: true, UnlistedFor: 2 * time.Second, UnheardFor: 2 * time.Second, LeaseLeft: s.LeaseLeft}, s)
	require.InDelta(t, 6.5, s.LeaseLeft.Seconds(), 0.5)

	f.advance(7 * time.Second)
	s, _ = f.s.Standing(f.now, "vm00")
	require.Zero(t, s.LeaseLeft)
	_, ok = f.s.Standing(f.now, "vm09")
	require.False(t, ok)
}

// An end that is told counts for something only if its task is open here; the
// other ways that it can stand are told apart.
func TestHowAnEndStands(t *testing.T) {
	f := newFixture(t, 2)
	f.hearAll(nil)
	f.hearAll(nil)
	f.submit("j", tasks(2, 1000))
	f.plan()
	first, second := f.last("j.0.0.0"), f.last("j.0.0.1")
	f.confirm(first)
	f.confirm(second)
	end := ended(1, first, batch.EndDone)
	vm := first.Instance.ID
	require.Equal(t, EndOpen, f.s.EndStanding(vm, 0, &end))
	f.hear(vm, batch.Report{Ended: []batch.RunEnd{end}})
	require.Equal(t, EndAgain, f.s.EndStanding(vm, 0, &end))

	// The next leader is told it again, and knows from the record which run counts.
	next := successor(t, 1)
	next.s.Submit(next.now, Submission{
		Job: &batch.Job{ID: "j", Steps: []batch.Step{tasks(2, 1000)}}, Queue: testQueue, Pool: "pool", Existed: true, Progress: f.write()["j"],
	})
	require.Equal(t, EndAgain, next.s.EndStanding(vm, 0, &end))
	other := end
	other.Run--
	require.Equal(t, EndAfterDone, next.s.EndStanding(vm, 0, &other))

	older := batch.RunEnd{Seq: 2, Task: first.Task, Run: first.Run - 1, Kind: batch.EndDone}
	require.Equal(t, EndAfterDone, f.s.EndStanding(vm, 0, &older))
	older.Task.Job = "none"
	require.Equal(t, EndUnknownJob, f.s.EndStanding(vm, 0, &older))
	older.Task = first.Task
	older.Task.Occurrence = 1
	require.Equal(t, EndNotOpen, f.s.EndStanding(vm, 0, &older))
	older.Task = second.Task
	f.s.Cancel(f.now, "j")
	require.Equal(t, EndAfterDone, f.s.EndStanding(vm, 0, &older))
}

// The two runs of one task were numbered by two leaders.
func TestRunNumberTellsItsLeader(t *testing.T) {
	require.Equal(t, int64(706), FenceOf(11844717423))
	require.Equal(t, int64(4246), FenceOf(71236059276))
	f := newFixture(t, 1)
	f.hearAll(nil)
	f.hearAll(nil)
	f.submit("j", tasks(1, 1000))
	f.plan()
	require.Equal(t, f.fence, FenceOf(f.last("j.0.0.0").Run))
}
