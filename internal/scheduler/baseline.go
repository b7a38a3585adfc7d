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
	// levelTimeConstant is the time constant of the level, and trendTimeConstant that of
	// its trend: four times as long, so that the filter does not overshoot.
	levelTimeConstant = 200 * time.Millisecond
	trendTimeConstant = 4 * levelTimeConstant
	// tailSampleSpan is what a figure covers.
	tailSampleSpan = 500 * time.Millisecond
	// meanSampleAge is the mean age of what the level is made from: half of a
	// figure's span, and half of the span of the siblings' figures.
	meanSampleAge = (tailSampleSpan + maxSiblingAge) / 2
	// maxTrend bounds the trend, as a logarithm a second: the steepest that a
	// load that doubles and halves within ten seconds shows.
	maxTrend = 0.8
	// maxLevelStep bounds what one observation may tell.
	maxLevelStep = 0.3
	// unreliableEffect is the effect of fillers, as a logarithm, from which a figure
	// is left out where others are to be had: the effect is only an estimate.
	unreliableEffect = 0.3
	// peakWindow is how long a peak is remembered, once over at least: the load
	// of a service swings, and what it was it will be again.
	peakWindow = 12 * time.Second
	// meanServingUse is the share of their declared processors that serving tasks use in
	// the middle of their swing.
	meanServingUse = 0.48
	// assumedPeak is the peak, as a share of the target, that is taken for a step
	// that has not been watched for peakWindow.
	assumedPeak = 0.7
	// minSiblings is how many other runs, or figures of theirs, make a comparison.
	minSiblings = 3
	// maxSiblingAge is how old a sibling's figure may be that another is compared
	// with: reports come each 0.6 s, and the load must not have moved much.
	maxSiblingAge = 500 * time.Millisecond
)

// maxLoadLevel is the highest level, as a logarithm: by their own load alone tasks
// stay within their target, or nothing that is done to fillers helps them.
var maxLoadLevel = math.Log(0.95)

// baseline follows the tail that a lasting step's tasks have by their own load
// alone: its logarithm, as a share of the target.
type baseline struct {
	known     bool
	updatedAt Time
	// firstAt is when the first figure came.
	firstAt Time
	level   float64
	// trend is the change of the level a second.
	trend float64
	// peaks and troughs are the highest and lowest levels of this window and the
	// last one.
	peaks, troughs [2]float64
	windowAt       Time
	// useCache are the shares that use has worked out last; observe clears them. A plan asks for
	// the same two at each VM that the step has a task on.
	useCache [2]cachedUse
}

// cachedUse is the outcome of baseline.use for its arguments.
type cachedUse struct {
	known      bool
	now, ahead Time
	share      float64
}

// observe takes in what the siblings' figures of late say of the load.
func (b *baseline) observe(now Time, y float64) {
	y = min(y, maxLoadLevel)
	if !b.known {
		*b = baseline{known: true, updatedAt: now, firstAt: now, level: y, peaks: [2]float64{y, y}, troughs: [2]float64{y, y}, windowAt: now}
		return
	}
	b.useCache = [2]cachedUse{}
	dt := (now - b.updatedAt).Seconds()
	expected := b.level + b.trend*dt
	miss := min(max(y-expected, -maxLevelStep), maxLevelStep)
	gain := 1 - math.Exp(-dt/levelTimeConstant.Seconds())
	b.level = expected + gain*miss
	b.trend = min(max(b.trend+gain*miss/trendTimeConstant.Seconds(), -maxTrend), maxTrend)
	b.updatedAt = now
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
		return math.Log(assumedPeak)
	}
	return b.level + b.trend*(now-b.updatedAt+ahead).Seconds()
}

// peak is the highest level of late, or what is taken for it.
func (b *baseline) peak(now Time) float64 {
	if !b.known {
		return math.Log(assumedPeak)
	}
	highest := max(b.peaks[0], b.peaks[1])
	if now-b.firstAt < peakWindow {
		highest = max(highest, math.Log(assumedPeak))
	}
	return highest
}

// use is the share of its declared processors that a task of the step is taken
// to use after some time from now. Response times grow as 1/(1-use), so that the
// ratio of the highest tail of late to the lowest tells how far use swings around
// its mean, and the tail of then where it stands.
func (b *baseline) use(now Time, ahead time.Duration) float64 {
	if !b.known {
		return meanServingUse
	}
	for i := range b.useCache {
		if u := &b.useCache[i]; u.known && u.now == now && u.ahead == ahead {
			return u.share
		}
	}
	share := b.computeUse(now, ahead)
	b.useCache[1], b.useCache[0] = b.useCache[0], cachedUse{known: true, now: now, ahead: ahead, share: share}
	return share
}

func (b *baseline) computeUse(now Time, ahead time.Duration) float64 {
	low, high := min(b.troughs[0], b.troughs[1]), max(b.peaks[0], b.peaks[1])
	ratio := math.Exp(high - low)
	quiet := max(meanServingUse-(1-meanServingUse)*(ratio-1)/(ratio+1), 0)
	level := min(max(b.forecast(now, ahead), low), high)
	return 1 - (1-quiet)*math.Exp(low-level)
}

// countSiblingsElsewhere counts the running tasks of the step on other VMs.
func (st *step) countSiblingsElsewhere(v *vm) int {
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

// tailSample is one tail that a task has told, with what fillers used beside it.
type tailSample struct {
	at       Time
	vm       *vm
	logRatio float64
	uses     fillerUses
	// unreliable figures are those of VMs with hardly a processor left.
	unreliable bool
	// effect is that of x by the slopes of solved, a version of the pair's.
	effect           float64
	effectSolveCount int
}

// effectFor is the effect of the fillers beside the figure by the slopes of now.
func (g *tailSample) effectFor(p *slopes) float64 {
	if g.effectSolveCount != p.solveCount+1 {
		g.effect, g.effectSolveCount = p.effects(&g.uses), p.solveCount+1
	}
	return g.effect
}

// tailSamples holds those of a step's tasks of late.
type tailSamples []tailSample

// add notes a figure.
func (f *tailSamples) add(g tailSample) { *f = append(*f, g) }

// compare returns by how much a figure, and the use of fillers beside it, differ
// from the mean of the siblings' on other VMs; ok is false when there are too few.
func (f *tailSamples) compare(now Time, v *vm, y float64, x *fillerUses, trend float64) (dy float64, dx fillerUses, ok bool) {
	*f = slices.DeleteFunc(*f, func(g tailSample) bool { return now-g.at > maxSiblingAge })
	n, age := 0.0, time.Duration(0)
	for i := range *f {
		g := &(*f)[i]
		if g.vm == v || g.unreliable {
			continue
		}
		n++
		age += now - g.at
		dy += g.logRatio
		for k := range g.uses {
			dx[k] += g.uses[k]
		}
	}
	if n < minSiblings {
		return 0, dx, false
	}
	dy = y - dy/n - trend*age.Seconds()/n
	for k := range dx {
		dx[k] = x[k] - dx[k]/n
	}
	dx[offsetTerm] = 1
	return dy, dx, true
}

// loadLevel is the median of the figures less the effects of the fillers beside them:
// a few figures in a hundred are off by two and more, and what presses on a task
// unknown to the model must not pass for its load.
func (f tailSamples) loadLevel(p *slopes) float64 {
	var cleanBuffer, allBuffer [64]float64
	clean, all := cleanBuffer[:0], allBuffer[:0]
	for i := range f {
		effect := f[i].effectFor(p)
		all = append(all, f[i].logRatio-effect)
		if effect < unreliableEffect && !f[i].unreliable {
			clean = append(clean, f[i].logRatio-effect)
		}
	}
	if len(clean) < minSiblings {
		clean = all
	}
	slices.Sort(clean)
	return clean[(len(clean)-1)/2]
}
