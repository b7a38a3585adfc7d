package scheduler

import (
	"math"
	"slices"
	"time"
)

// The tasks of one lasting step serve the same users: their load moves together,
// and with it their tails, wherever they run. What their tails have in common is
// the load; what sets one apart from its siblings is what runs beside it. Without
// this distinction a rise of the load is blamed on the fillers, which are slowed
// though they press on nobody, and a filler's effect is lost in the load's swings.

const (
	// baselineSettle is the time constant of the level, and trendSettle that of
	// its trend: four times as long, so that the filter does not overshoot.
	baselineSettle = 200 * time.Millisecond
	trendSettle    = 4 * baselineSettle
	// figureSpan is what a figure covers.
	figureSpan = 500 * time.Millisecond
	// baselineAge is the mean age of what the level is made from: half of a
	// figure's span, and half of the span of the siblings' figures.
	baselineAge = (figureSpan + siblingSpan) / 2
	// maxTrend bounds the trend, as a logarithm a second: the steepest that a
	// load that doubles and halves within ten seconds shows.
	maxTrend = 0.8
	// baselineJump bounds what one observation may tell.
	baselineJump = 0.3
	// doubtfulEffect is the effect of fillers, as a logarithm, from which a figure
	// is left out where others are to be had: the effect is only an estimate.
	doubtfulEffect = 0.3
	// peakWindow is how long a peak is remembered, once over at least: the load
	// of a service swings, and what it was it will be again.
	peakWindow = 12 * time.Second
	// meanUse is the share of their declared processors that serving tasks use in
	// the middle of their swing.
	meanUse = 0.48
	// unknownPeak is the peak, as a share of the target, that is taken for a step
	// that has not been watched for peakWindow.
	unknownPeak = 0.7
	// leastSiblings is how many other runs, or figures of theirs, make a comparison.
	leastSiblings = 3
	// siblingSpan is how old a sibling's figure may be that another is compared
	// with: reports come each 0.6 s, and the load must not have moved much.
	siblingSpan = 500 * time.Millisecond
)

// highestLoad is the highest level, as a logarithm: by their own load alone tasks
// stay within their target, or nothing that is done to fillers helps them.
var highestLoad = math.Log(0.95)

// baseline follows the tail that a lasting step's tasks have by their own load
// alone: its logarithm, as a share of the target.
type baseline struct {
	known bool
	at    Time
	// since is when the first figure came.
	since Time
	level float64
	// trend is the change of the level a second.
	trend float64
	// peaks and troughs are the highest and lowest levels of this window and the
	// last one.
	peaks, troughs [2]float64
	windowAt       Time
	// used are the shares that use has worked out last; observe clears them. A plan asks for
	// the same two at each VM that the step has a task on.
	used [2]usedShare
}

// usedShare is the outcome of baseline.use for its arguments.
type usedShare struct {
	known      bool
	now, ahead Time
	share      float64
}

// observe takes in what the siblings' figures of late say of the load.
func (b *baseline) observe(now Time, y float64) {
	y = min(y, highestLoad)
	if !b.known {
		*b = baseline{known: true, at: now, since: now, level: y, peaks: [2]float64{y, y}, troughs: [2]float64{y, y}, windowAt: now}
		return
	}
	b.used = [2]usedShare{}
	dt := (now - b.at).Seconds()
	expected := b.level + b.trend*dt
	miss := min(max(y-expected, -baselineJump), baselineJump)
	gain := 1 - math.Exp(-dt/baselineSettle.Seconds())
	b.level = expected + gain*miss
	b.trend = min(max(b.trend+gain*miss/trendSettle.Seconds(), -maxTrend), maxTrend)
	b.at = now
	if now-b.windowAt > peakWindow {
		b.peaks[1], b.peaks[0] = b.peaks[0], b.level
		b.troughs[1], b.troughs[0] = b.troughs[0], b.level
		b.windowAt = now
	}
	b.peaks[0] = max(b.peaks[0], b.level)
	b.troughs[0] = min(b.troughs[0], b.level)
}

// forecast is the level that the figures show after some time from now.
func (b *baseline) forecast(now Time, ahead time.Duration) float64 {
	if !b.known {
		return math.Log(unknownPeak)
	}
	return b.level + b.trend*(now-b.at+ahead).Seconds()
}

// peak is the highest level of late, or what is taken for it.
func (b *baseline) peak(now Time) float64 {
	if !b.known {
		return math.Log(unknownPeak)
	}
	highest := max(b.peaks[0], b.peaks[1])
	if now-b.since < peakWindow {
		highest = max(highest, math.Log(unknownPeak))
	}
	return highest
}

// use is the share of its declared processors that a task of the step is taken
// to use after some time from now. Response times grow as 1/(1-use), so that the
// ratio of the highest tail of late to the lowest tells how far use swings around
// its mean, and the tail of then where it stands.
func (b *baseline) use(now Time, ahead time.Duration) float64 {
	if !b.known {
		return meanUse
	}
	for i := range b.used {
		if u := &b.used[i]; u.known && u.now == now && u.ahead == ahead {
			return u.share
		}
	}
	share := b.workOutUse(now, ahead)
	b.used[1], b.used[0] = b.used[0], usedShare{known: true, now: now, ahead: ahead, share: share}
	return share
}

func (b *baseline) workOutUse(now Time, ahead time.Duration) float64 {
	low, high := min(b.troughs[0], b.troughs[1]), max(b.peaks[0], b.peaks[1])
	ratio := math.Exp(high - low)
	quiet := max(meanUse-(1-meanUse)*(ratio-1)/(ratio+1), 0)
	level := min(max(b.forecast(now, ahead), low), high)
	return 1 - (1-quiet)*math.Exp(low-level)
}

// siblingsElsewhere counts the running tasks of the step on other VMs.
func (st *step) siblingsElsewhere(v *vm) int {
	n := 0
	for k := range st.tasks {
		for _, r := range st.tasks[k].runs {
			if r.vm != v && r.state == running && r.hasUsage {
				n++
			}
		}
	}
	return n
}

// figure is one tail that a task has told, with what fillers used beside it.
type figure struct {
	at Time
	vm *vm
	y  float64
	x  uses
	// doubtful figures are those of VMs with hardly a processor left.
	doubtful bool
	// effect is that of x by the slopes of solved, a version of the pair's.
	effect float64
	solved int
}

// effectBy is the effect of the fillers beside the figure by the slopes of now.
func (g *figure) effectBy(p *slopes) float64 {
	if g.solved != p.version+1 {
		g.effect, g.solved = p.effects(&g.x), p.version+1
	}
	return g.effect
}

// figureLog holds those of a step's tasks of late.
type figureLog []figure

// add notes a figure.
func (f *figureLog) add(g figure) { *f = append(*f, g) }

// compare returns by how much a figure, and the use of fillers beside it, differ
// from the mean of the siblings' on other VMs; ok is false when there are too few.
func (f *figureLog) compare(now Time, v *vm, y float64, x *uses, trend float64) (dy float64, dx uses, ok bool) {
	*f = slices.DeleteFunc(*f, func(g figure) bool { return now-g.at > siblingSpan })
	n, age := 0.0, time.Duration(0)
	for i := range *f {
		g := &(*f)[i]
		if g.vm == v || g.doubtful {
			continue
		}
		n++
		age += now - g.at
		dy += g.y
		for k := range g.x {
			dx[k] += g.x[k]
		}
	}
	if n < leastSiblings {
		return 0, dx, false
	}
	dy = y - dy/n - trend*age.Seconds()/n
	for k := range dx {
		dx[k] = x[k] - dx[k]/n
	}
	dx[offset] = 1
	return dy, dx, true
}

// load is the median of the figures less the effects of the fillers beside them:
// a few figures in a hundred are off by two and more, and what presses on a task
// unknown to the model must not pass for its load.
func (f figureLog) load(p *slopes) float64 {
	var cleanBuffer, allBuffer [64]float64
	clean, all := cleanBuffer[:0], allBuffer[:0]
	for i := range f {
		effect := f[i].effectBy(p)
		all = append(all, f[i].y-effect)
		if effect < doubtfulEffect && !f[i].doubtful {
			clean = append(clean, f[i].y-effect)
		}
	}
	if len(clean) < leastSiblings {
		clean = all
	}
	slices.Sort(clean)
	return clean[(len(clean)-1)/2]
}
