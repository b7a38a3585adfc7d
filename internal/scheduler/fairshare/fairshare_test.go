package fairshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func user(zone string) User { return User{Queue: "q", Zone: zone} }

func shareOf(t *testing.T, list []Share, u User) Share {
	for _, s := range list {
		if s.User == u {
			return s
		}
	}
	require.Fail(t, "no share", "%+v", u)
	return Share{}
}

// Guards against a zone whose callers ask twice as much taking twice the room of the others.
func TestZoneThatAsksTwiceAsMuchIsOverItsPart(t *testing.T) {
	l := NewLedger(5 * time.Second)
	waiting := map[User]float64{user("a"): 20, user("b"): 10, user("c"): 10}
	l.Charge(time.Second, user("a"), 20)
	l.Charge(time.Second, user("b"), 10)
	l.Charge(time.Second, user("c"), 10)
	list := l.Shares(time.Second, waiting, 0.1)
	require.True(t, shareOf(t, list, user("a")).Over)
	require.False(t, shareOf(t, list, user("b")).Over)
	require.InDelta(t, 40./3, shareOf(t, list, user("b")).Part, 1e-9)
}

// Guards against holding back a user while nobody else wants the room.
func TestNobodyIsOverWhileTheOthersGetAllTheyAskFor(t *testing.T) {
	l := NewLedger(5 * time.Second)
	l.Charge(0, user("a"), 100)
	l.Charge(0, user("b"), 1)
	list := l.Shares(0, map[User]float64{user("a"): 50}, 0)
	require.False(t, shareOf(t, list, user("a")).Over)
	require.Equal(t, 1.0, shareOf(t, list, user("b")).Part)
}

// Guards against counting the room of urgent queues against the users of other priorities.
func TestPrioritiesDoNotCompete(t *testing.T) {
	l := NewLedger(5 * time.Second)
	urgent := User{Priority: 0, Queue: "urgent", Zone: "a"}
	batch := User{Priority: 2, Queue: "batch", Zone: "a"}
	l.Charge(0, urgent, 100)
	l.Charge(0, batch, 10)
	list := l.Shares(0, map[User]float64{batch: 100}, 0)
	require.False(t, shareOf(t, list, urgent).Over)
	require.Equal(t, 10.0, shareOf(t, list, batch).Part)
}

// Guards against punishing a user for what it was given long ago, and against a ledger that
// grows without bound.
func TestLedgerForgets(t *testing.T) {
	l := NewLedger(5 * time.Second)
	l.Charge(0, user("a"), 100)
	require.InDelta(t, 100/2.718281828, l.Given(5*time.Second, user("a")), 1e-3)
	require.Empty(t, l.Shares(5*time.Minute, nil, 0))
	require.Empty(t, l.given)
}

// Guards against holding back jobs whose zone an older process did not record.
func TestUnknownZoneIsNeverOver(t *testing.T) {
	l := NewLedger(5 * time.Second)
	l.Charge(0, user(""), 100)
	list := l.Shares(0, map[User]float64{user(""): 10, user("b"): 100}, 0)
	require.False(t, shareOf(t, list, user("")).Over)
}

// Guards against a job that counts as overdue although it runs, or without a bound.
func TestOverdueNeedsABoundAndNothingRunning(t *testing.T) {
	require.True(t, IsOverdue(11*time.Second, 10*time.Second, 0))
	require.False(t, IsOverdue(10*time.Second, 10*time.Second, 0))
	require.False(t, IsOverdue(time.Hour, 0, 0))
	require.False(t, IsOverdue(time.Hour, 10*time.Second, 1))
}

// Guards against a zone held back for good: replays three zones, one of which asks for twice as
// much as the others, on room for half of the demand, and compares what each is given.
func TestReplayOfAZoneThatAsksTwiceAsMuch(t *testing.T) {
	given := map[string]float64{}
	l := NewLedger(5 * time.Second)
	waiting := map[User]float64{}
	perStep := map[string]float64{"a": 2, "b": 1, "c": 1}
	for now := time.Duration(0); now < 60*time.Second; now += 100 * time.Millisecond {
		for zone, amount := range perStep {
			waiting[user(zone)] += amount
		}
		list := l.Shares(now, waiting, 0)
		for range 2 {
			pick := -1
			for i := range list {
				// The largest backlog of those that are not over stands for any order within.
				if w := waiting[list[i].User]; w >= 1 && (pick < 0 || (!list[i].Over && list[pick].Over) || (list[i].Over == list[pick].Over && w > waiting[list[pick].User])) {
					pick = i
				}
			}
			u := list[pick].User
			waiting[u]--
			given[u.Zone]++
			l.Charge(now, u, 1)
		}
	}
	require.InDelta(t, given["a"], given["b"], 0.1*given["a"])
	require.InDelta(t, given["a"], given["c"], 0.1*given["a"])
}
