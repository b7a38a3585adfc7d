package locality

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

const second = time.Second

// roomy are the facts of a two-second task that loses four seconds away, in a job with plenty of
// time and other runs.
func roomy(expected time.Duration) Facts {
	return Facts{
		Usable: true, Expected: expected, Slowdown: 3, Remaining: 2 * second, Slack: 20 * second, LateSlack: 60 * second,
	}
}

var (
	byCost   = Policy{Way: ExpectedCost}
	constant = Policy{Way: Constant, ConstantWait: second}
)

func changed(f Facts, change func(*Facts)) *Facts {
	change(&f)
	return &f
}

// Guards against waits that cost more than a run away, and runs away that cost more than a wait.
func TestWaysDecideByTheirCosts(t *testing.T) {
	for name, c := range map[string]struct {
		policy Policy
		facts  *Facts
		wait   bool
		reason Reason
	}{
		"short wait":            {byCost, changed(roomy(3*second), func(*Facts) {}), true, ReasonCheaper},
		"long wait":             {byCost, changed(roomy(5*second), func(*Facts) {}), false, ReasonDearer},
		"long wait, crowded":    {byCost, changed(roomy(5*second), func(f *Facts) { f.Crowded = true }), true, ReasonCheaper},
		"longer wait, crowded":  {byCost, changed(roomy(9*second), func(f *Facts) { f.Crowded = true }), false, ReasonDearer},
		"no place foreseen":     {byCost, changed(roomy(Never), func(f *Facts) { f.Crowded = true }), false, ReasonDearer},
		"waited long":           {byCost, changed(roomy(second), func(f *Facts) { f.Waited = 4 * second }), false, ReasonWaitedLong},
		"no slowdown":           {byCost, changed(roomy(second), func(f *Facts) { f.Slowdown = 1 }), false, ReasonDearer},
		"constant":              {constant, changed(roomy(5*second), func(f *Facts) { f.Waited = 900 * time.Millisecond }), true, ReasonConstant},
		"constant over":         {constant, changed(roomy(5*second), func(f *Facts) { f.Waited = second }), false, ReasonWaitedLong},
		"at once":               {Policy{Way: AtOnce}, changed(roomy(0), func(*Facts) {}), false, ReasonAtOnce},
		"unusable, by cost":     {byCost, changed(roomy(second), func(f *Facts) { f.Usable = false }), false, ReasonUnusable},
		"unusable, constant":    {constant, changed(roomy(second), func(f *Facts) { f.Usable = false }), false, ReasonUnusable},
		"idle":                  {byCost, changed(roomy(second), func(f *Facts) { f.Idle, f.IdleWaited = true, time.Second }), true, ReasonCheaper},
		"idle for long":         {byCost, changed(roomy(second), func(f *Facts) { f.Idle, f.IdleWaited = true, MaxIdleWait }), false, ReasonIdle},
		"idle, constant":        {constant, changed(roomy(second), func(f *Facts) { f.Idle, f.IdleWaited = true, MaxIdleWait }), false, ReasonIdle},
		"in time only away":     {byCost, changed(roomy(3500*time.Millisecond), func(f *Facts) { f.Slack, f.Remaining = 3*second, 1500*time.Millisecond; f.Crowded = true }), false, ReasonObjective},
		"in time only near":     {byCost, changed(roomy(second), func(f *Facts) { f.Slack = 2 * second }), true, ReasonCheaper},
		"late both ways":        {byCost, changed(roomy(3*second), func(f *Facts) { f.Slack = second }), true, ReasonCheaper},
		"late":                  {byCost, changed(roomy(3*second), func(f *Facts) { f.Slack, f.LateSlack = -second, 10*second }), true, ReasonCheaper},
		"late, no value by it":  {byCost, changed(roomy(3*second), func(f *Facts) { f.Slack, f.LateSlack = -second, 2*second }), false, ReasonObjective},
		"hopeless":              {byCost, changed(roomy(second), func(f *Facts) { f.Slack, f.LateSlack = -9*second, -second }), false, ReasonObjective},
		"hopeless, constant":    {constant, changed(roomy(0), func(f *Facts) { f.Slack, f.LateSlack = -9*second, -second }), false, ReasonObjective},
		"late by a const. wait": {constant, changed(roomy(3*second), func(f *Facts) { f.Remaining, f.Slack = second, 2500*time.Millisecond }), false, ReasonObjective},
	} {
		d := c.policy.Decide(time.Minute, c.facts)
		require.Equal(t, c.wait, d.Wait, "%s: %+v", name, d)
		require.Equal(t, c.reason, d.Reason, name)
	}
}

// Guards against waits that go on past a bound because nobody decides in between.
func TestWaitsEndAtTheirBounds(t *testing.T) {
	now := time.Minute
	f := roomy(10 * time.Millisecond)
	require.Equal(t, now+reviewInterval, byCost.Decide(now, &f).Until)
	f.Idle, f.IdleWaited = true, MaxIdleWait-20*time.Millisecond
	require.Equal(t, now+20*time.Millisecond, byCost.Decide(now, &f).Until)
	f = roomy(10 * time.Millisecond)
	f.Slack = 30 * time.Millisecond
	require.Equal(t, now+30*time.Millisecond, byCost.Decide(now, &f).Until)
	f = roomy(10 * time.Millisecond)
	f.Waited = 950 * time.Millisecond
	require.Equal(t, now+50*time.Millisecond, constant.Decide(now, &f).Until)
}

// Guards against a job that stands still for longer than callers bear, whatever the facts say.
func TestIdleJobsWaitBrieflyInSum(t *testing.T) {
	for _, p := range []Policy{byCost, constant, {Way: Constant, ConstantWait: time.Hour}} {
		waited := time.Duration(0)
		for now := time.Minute; now < 2*time.Minute; now += 10 * time.Millisecond {
			// Each second begins with another task's wait.
			f := changed(roomy(second), func(f *Facts) { f.Idle, f.IdleWaited, f.Crowded = true, waited, true })
			if p.Decide(now, f).Wait {
				waited += 10 * time.Millisecond
			}
		}
		require.LessOrEqual(t, waited, MaxIdleWait)
	}
}

func res(cpu int64) batch.Resources { return batch.Resources{MilliCPU: cpu} }

// Guards against forecasts that give one place to several tasks.
func TestForecastCountsPlacesOnce(t *testing.T) {
	vms := []VM{
		{Free: res(0), Releases: []Release{{2 * second, res(1000)}, {3 * second, res(1000)}}},
		{Free: res(1000), Releases: []Release{{second, res(500)}, {4 * second, res(500)}}},
	}
	q := Request{Need: res(1000), Taken: res(1000), Tasks: 4, Duration: 10 * second}
	require.Equal(t, []time.Duration{0, 2 * second, 3 * second, 4 * second}, Forecast(vms, &q))
	q.Ahead, q.Tasks = 2, 2
	require.Equal(t, []time.Duration{3 * second, 4 * second}, Forecast(vms, &q))
	q.Ahead, q.Tasks, q.Together = 0, 3, true
	require.Equal(t, []time.Duration{3 * second, 3 * second, 3 * second}, Forecast(vms, &q), "a gang starts with its last member")
	q.Tasks = 5
	require.Equal(t, Never, Forecast(vms, &q)[0], "gangs do not wait for their own members to end")
	q = Request{Need: res(900), Taken: res(1000), Tasks: 2, Duration: second}
	require.Equal(t, []time.Duration{0, second}, Forecast(vms[1:], &q), "a place is free again after the task's duration")
	q = Request{Need: res(5000), Taken: res(5000), Tasks: 1}
	require.Equal(t, []time.Duration{Never}, Forecast(vms, &q))
	require.Equal(t, []time.Duration{Never}, Forecast(nil, &q))
}

// Guards against forecasts whose time grows without bound with what waits for a rack.
func TestForecastIsBounded(t *testing.T) {
	q := Request{Need: res(1), Taken: res(1), Ahead: 1 << 30, Tasks: 1, Duration: time.Millisecond}
	startedAt := time.Now()
	require.Equal(t, []time.Duration{Never}, Forecast([]VM{{Free: res(1)}}, &q))
	require.Less(t, time.Since(startedAt), second)
}

// Guards against relocations that end later than the run they replace.
func TestMovesPayOnlyIfTheyEndEarlier(t *testing.T) {
	require.True(t, MovePays(Never, second, 3))
	require.True(t, MovePays(4*second, second, 3))
	require.False(t, MovePays(2*second, second, 3))
	require.True(t, MovePays(2*second, second, 0), "without a slowdown any gain pays")
}

// Replays a burst for one rack: twenty-four tasks of a second come at once for eight places that
// are free within a second each, and a run away takes three. Tasks of the first waves wait, those
// who would get their place after more than two seconds start away.
func TestBurstForOneRackIsSplit(t *testing.T) {
	var vms []VM
	for i := range 8 {
		vms = append(vms, VM{Releases: []Release{{time.Duration(i+1) * second / 8, res(1000)}}})
	}
	q := Request{Need: res(1000), Taken: res(1000), Tasks: 24, Duration: second}
	staying := 0
	for _, expected := range Forecast(vms, &q) {
		f := Facts{Usable: true, Expected: expected, Slowdown: 3, Remaining: second, Slack: 5 * second, LateSlack: 15 * second}
		if byCost.Decide(0, &f).Wait {
			staying++
		}
	}
	require.Equal(t, 16, staying)
}
