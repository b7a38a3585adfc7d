package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A replay serves jobs by least work over value on room for a part of the demand, as a leader does,
// while entry processes decide by forecasts of some age and refused callers return. It counts what
// callers have in the end, returns included.
type replay struct {
	mode    Mode
	random  *rand.Rand
	now     time.Duration
	queue   []*replayJob
	callers []*replayJob
	// forecasts are those of the last seconds, the newest last; entry processes see one that is
	// forecastAge old.
	forecasts   []Known
	forecastAge time.Duration
	fence       int64
	meter       Meter
	arrivals    Arrivals
	zoneGiven   map[string]float64
	refusals    int
	doneWork    float64
}

type replayJob struct {
	Job
	firstSent, nextSend, ended time.Duration
	left                       float64
	tries                      int
	told                       bool
	toldAfter                  time.Duration
}

const (
	replayStep = 50 * time.Millisecond
	// replayRoom is the room in core-seconds a second; jobs have replayWork in the mean.
	replayRoom = 200.0
	replayWork = 20.0
	// replayTries is how often callers submit a job.
	replayTries = 5
)

func (j *replayJob) cost() float64 {
	return j.left / (0.3*replayWork + 0.7*j.Work)
}

func (j *replayJob) objective() time.Duration {
	return time.Duration(j.Stretch*float64(j.CriticalPath)) + j.Slack
}

// value is 1 for a job within its objective, less for a late one, per unit of fixed and own work.
func (j *replayJob) value() float64 {
	worth := 0.3*replayWork + 0.7*j.Work
	switch took := j.ended - j.firstSent; {
	case j.ended == 0 || took > LateFactor*j.objective():
		return 0
	case took <= j.objective():
		return worth
	}
	return 0.15 * worth
}

func newReplay(mode Mode, seed uint64, forecastAge time.Duration) *replay {
	return &replay{mode: mode, random: rand.New(rand.NewPCG(seed, 5)), fence: 1, forecastAge: forecastAge, zoneGiven: map[string]float64{}}
}

// addCallers lets jobs of a zone arrive for a time at a rate, as a multiple of the room.
func (r *replay) addCallers(zone string, load float64, from, until time.Duration) {
	for at := from; at < until; at += time.Duration(r.random.ExpFloat64() * replayWork / (load * replayRoom) * float64(time.Second)) {
		work := replayWork * min(math.Exp(r.random.NormFloat64()*0.8-0.32), 4)
		r.callers = append(r.callers, &replayJob{
			Job:       Job{Work: work, CriticalPath: 2 * time.Second, Stretch: 2, Slack: time.Second, Zone: zone, Spread: r.random.Float64()},
			firstSent: at, nextSend: at, left: work,
		})
	}
}

func (r *replay) run(until time.Duration) {
	for ; r.now < until; r.now += replayStep {
		r.submitDue()
		r.serve(replayRoom * replayStep.Seconds())
		r.meter.Sample(r.now, len(r.queue) > 0, replayRoom)
		r.forecast()
	}
}

func (r *replay) forecast() {
	load := Load{Rate: r.meter.Rate(), Capacity: replayRoom}
	cost := func(class int) float64 { return ClassSize(class) / (0.3 + 0.7*ClassSize(class)) }
	for class := range Classes {
		for _, j := range r.queue {
			if r.group(j) == 0 && j.cost() < cost(class) {
				load.OnTime.Ahead[class] += j.left
			}
			if r.group(j) == 0 || (r.group(j) == 1 && j.cost() < cost(class)) {
				load.Late.Ahead[class] += j.left
			}
		}
		for c := range class {
			load.OnTime.Arriving[class] += r.arrivals.PerSecond(r.now, c)
		}
	}
	q := &QueueForecast{Queue: "q", MeanWork: replayWork, DurationRatio: 1, OverZones: r.overZones()}
	q.Predict(&load)
	r.forecasts = append(r.forecasts, Known{Queue: q, Fence: r.fence})
}

// group is 0 for a job that can be in time, 1 for a late one and 2 for one without value.
func (r *replay) group(j *replayJob) int {
	switch slack := j.firstSent + j.objective() - r.now - j.CriticalPath; {
	case slack >= 0:
		return 0
	case slack+(LateFactor-1)*j.objective() >= 0:
		return 1
	}
	return 2
}

func (r *replay) overZones() []string {
	mean := 0.0
	for _, given := range r.zoneGiven {
		mean += given / float64(len(r.zoneGiven))
	}
	var over []string
	for zone, given := range r.zoneGiven {
		if given > 1.1*mean {
			over = append(over, zone)
		}
	}
	return over
}

func (r *replay) known() Known {
	i := len(r.forecasts) - 1 - int(r.forecastAge/replayStep)
	if i < 0 {
		return Known{}
	}
	k := r.forecasts[i]
	k.Age, k.CurrentFence = r.forecastAge, r.fence
	return k
}

func (r *replay) submitDue() {
	for _, j := range r.callers {
		if j.told || j.tries >= replayTries || j.nextSend > r.now {
			continue
		}
		j.tries++
		d := Decide(r.mode, j.Job, r.known())
		if d.Refuse {
			r.refusals++
			if j.toldAfter == 0 {
				j.toldAfter = r.now - j.firstSent
			}
			j.nextSend = r.now + d.RetryAfter
			continue
		}
		j.told = true
		r.arrivals.Add(r.now, ClassOf(j.Work, replayWork), j.Work)
		r.queue = append(r.queue, j)
	}
}

func (r *replay) serve(room float64) {
	slices.SortStableFunc(r.queue, func(a, b *replayJob) int {
		return cmp.Or(cmp.Compare(r.group(a), r.group(b)), cmp.Compare(a.cost(), b.cost()))
	})
	for len(r.queue) > 0 && room > 0 {
		j := r.queue[0]
		work := min(j.left, room)
		j.left -= work
		room -= work
		r.doneWork += work
		r.zoneGiven[j.Zone] += work
		r.meter.Done(work)
		if j.left > 0 {
			return
		}
		j.ended = r.now
		r.queue = r.queue[1:]
	}
}

// served is the value that callers have in the end over what they asked for, by zone.
func (r *replay) served() (all float64, zones map[string]float64) {
	asked, got := map[string]float64{}, map[string]float64{}
	total, sum := 0.0, 0.0
	for _, j := range r.callers {
		worth := 0.3*replayWork + 0.7*j.Work
		asked[j.Zone] += worth
		got[j.Zone] += j.value()
		total, sum = total+worth, sum+j.value()
	}
	zones = map[string]float64{}
	for zone := range asked {
		zones[zone] = got[zone] / asked[zone]
	}
	return sum / total, zones
}

// uselessWaits is the mean time that callers waited for a job that then had no value, or until they
// were told.
func (r *replay) uselessWaits() time.Duration {
	sum, n := time.Duration(0), 0
	for _, j := range r.callers {
		if j.value() > 0 {
			continue
		}
		wait := r.now - j.firstSent
		switch {
		case j.toldAfter > 0 || (!j.told && j.tries > 0):
			wait = j.toldAfter
		case j.ended > 0:
			wait = j.ended - j.firstSent
		}
		sum, n = sum+wait, n+1
	}
	return sum / time.Duration(max(n, 1))
}

var modes = []Mode{AcceptAll, RefuseLate, RefuseByShare}

// burst is a load of two and a half times the room for eight seconds, within one of 0.8.
func burst(mode Mode, seed uint64, age time.Duration) *replay {
	r := newReplay(mode, seed, age)
	for _, zone := range []string{"a", "b"} {
		r.addCallers(zone, 0.4, 0, 40*time.Second)
		r.addCallers(zone, 0.85, 6*time.Second, 14*time.Second)
	}
	return r
}

// Guards against refusals that cost callers more than they save: over a burst, with callers who
// return, callers get at least what they get without refusals, and those whose job can't be done are
// told sooner.
func TestReplayOfABurst(t *testing.T) {
	for _, age := range []time.Duration{200 * time.Millisecond, MaxForecastAge} {
		served, useless, refused := map[Mode]float64{}, map[Mode]time.Duration{}, map[Mode]int{}
		const seeds = 8
		for _, mode := range modes {
			for seed := range uint64(seeds) {
				r := burst(mode, seed, age)
				r.run(80 * time.Second)
				all, _ := r.served()
				served[mode] += all / seeds
				useless[mode] += r.uselessWaits() / seeds
				refused[mode] += r.refusals
			}
		}
		for _, mode := range modes {
			t.Logf("forecasts %s old: %-16s served %.3f, %4d refusals, useless waits of %s", age, mode, served[mode], refused[mode], useless[mode].Round(time.Millisecond))
		}
		require.Positive(t, refused[RefuseLate])
		require.GreaterOrEqual(t, served[RefuseLate], served[AcceptAll]-0.01)
		require.Less(t, useless[RefuseLate], useless[AcceptAll])
	}
}

// Guards against a zone that pays for another whose callers ask twice as much.
func TestReplayOfAZoneThatAsksTwiceAsMuch(t *testing.T) {
	for _, mode := range modes {
		worst, other, all := 0.0, 0.0, 0.0
		const seeds = 8
		for seed := range uint64(seeds) {
			r := newReplay(mode, seed, 200*time.Millisecond)
			r.addCallers("greedy", 1.2, 0, 40*time.Second)
			r.addCallers("modest", 0.6, 0, 40*time.Second)
			r.run(80 * time.Second)
			total, zones := r.served()
			worst, other, all = worst+zones["modest"]/seeds, other+zones["greedy"]/seeds, all+total/seeds
		}
		t.Logf("%-16s all %.3f, modest %.3f, greedy %.3f", mode, all, worst, other)
		require.Greater(t, worst, other-0.05)
	}
}

// Guards against refusals by a leader that is gone: nothing is refused until the next one has
// measured for long enough.
func TestReplayOfALeaderChangeUnderLoad(t *testing.T) {
	r := burst(RefuseLate, 1, 200*time.Millisecond)
	r.addCallers("c", 2, 4*time.Second, 20*time.Second)
	r.run(12 * time.Second)
	before := r.refusals
	require.Positive(t, before)
	r.fence++
	r.meter, r.arrivals = Meter{}, Arrivals{}
	r.run(13 * time.Second)
	require.NotEmpty(t, r.queue)
	require.Equal(t, before, r.refusals)
}

// Guards against refusals by forecasts that reach an entry process too late.
func TestReplayWithStaleForecastsRefusesNothing(t *testing.T) {
	r := burst(RefuseLate, 1, MaxForecastAge+replayStep)
	r.run(60 * time.Second)
	require.Zero(t, r.refusals)
}
