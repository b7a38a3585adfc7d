package scheduler

import (
	"math"
	"slices"
	"time"
)

// The tasks of one lasting step serve the same users: their load, and with it their tails, vary
// together on all VMs. What their tails have in common is caused by the load, and deviations of
// one task by the other runs on its VM. Without this distinction, a rise of the load would be
// attributed to the fillers, which would be slowed without interfering, and the effects of
// fillers would be lost in the variation of the load.

const (
	// levelTimeConstant is the time constant of the level, and trendTimeConstant that of its
	// trend: four times as long, so that the filter does not overshoot.
	levelTimeConstant = 200 * time.Millisecond
	trendTimeConstant = 4 * levelTimeConstant
	// tailSampleSpan is the period that a reported tail covers.
	tailSampleSpan = 500 * time.Millisecond
	// meanSampleAge is the mean age of the data behind the level: half of the period of a sample
	// plus half of the age limit of the siblings' samples.
	meanSampleAge = (tailSampleSpan + maxSiblingAge) / 2
	// maxTrend bounds the trend, as a logarithm per second: the steepest trend of a load that
	// doubles and halves within ten seconds.
	maxTrend = 0.8
	// maxLevelStep bounds the deviation of one observation from the forecast.
	maxLevelStep = 0.3
	// unreliableEffect is the effect of fillers, as a logarithm, from which a sample is ignored
	// if there are enough others: the effect is only an estimate.
	unreliableEffect = 0.3
	// peakWindow is the minimum time for which a peak is remembered; it is kept for up to two
	// windows. The load of a service varies periodically and returns to earlier peaks.
	peakWindow = 12 * time.Second
	// meanServingUse is the share of their declared processors that serving tasks use at their
	// mean load.
	meanServingUse = 0.48
	// assumedPeak is the peak, as a share of the target, assumed for a step that was observed for
	// less than peakWindow.
	assumedPeak = 0.7
	// minSiblings is the minimum number of other runs, or of their samples, for a comparison.
	minSiblings = 3
	// maxSiblingAge is the maximum age of a sibling's sample in comparisons: reports arrive every
	// 0.6 s, and the load must not have changed much.
	maxSiblingAge = 500 * time.Millisecond
)

// maxLoadLevel is the maximum level, as a logarithm. By their own load alone, tasks are assumed
// to meet their target; otherwise slowing fillers would not help.
var maxLoadLevel = math.Log(0.95)

// baseline estimates the tail that the tasks of a lasting step have by their own load alone, as
// the logarithm of its share of the target.
type baseline struct {
	known     bool
	updatedAt Time
	// firstAt is the time of the first observation.
	firstAt Time
	level   float64
	// trend is the change of the level per second.
	trend float64
	// peaks and troughs are the highest and lowest levels of the current and the previous window.
	peaks, troughs [2]float64
	windowAt       Time
	// useCache holds the last two results of use and is cleared by observe. A plan needs the same
	// two values for each VM with a task of the step.
	useCache [2]cachedUse
}

// cachedUse is the result of baseline.use for its arguments.
type cachedUse struct {
	known      bool
	now, ahead Time
	share      float64
}

// observe updates the level with the load derived from the siblings' recent samples.
func (b *baseline) observe(now Time, y float64) {
	y = min(y, maxLoadLevel)
	if !b.known {
		*b = baseline{known: true, updatedAt: now, firstAt: now, level: y, peaks: [2]float64{y, y}, troughs: [2]float64{y, y}, windowAt: now}
		return
	}
	b.useCache = [2]cachedUse{}
	dt := (now - b.updatedAt).Seconds()
	expected := b.level + b.trend*dt
	residual := min(max(y-expected, -maxLevelStep), maxLevelStep)
	gain := 1 - math.Exp(-dt/levelTimeConstant.Seconds())
	b.level = expected + gain*residual
	b.trend = min(max(b.trend+gain*residual/trendTimeConstant.Seconds(), -maxTrend), maxTrend)
	b.updatedAt = now
	if now-b.windowAt > peakWindow {
		b.peaks[1], b.peaks[0] = b.peaks[0], b.level
		b.troughs[1], b.troughs[0] = b.troughs[0], b.level
		b.windowAt = now
	}
	b.peaks[0] = max(b.peaks[0], b.level)
	b.troughs[0] = min(b.troughs[0], b.level)
}

// forecast is the level predicted for the time ahead from now, as samples will show it.
func (b *baseline) forecast(now Time, ahead time.Duration) float64 {
	if !b.known {
		return math.Log(assumedPeak)
	}
	return b.level + b.trend*(now-b.updatedAt+ahead).Seconds()
}

// peak is the highest recent level, or an assumed one.
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

// use is the estimated share of its declared processors that a task of the step uses at the time
// ahead from now. Response times grow as 1/(1-use): the ratio of the highest to the lowest recent
// tail gives the amplitude of use around its mean, and the predicted tail its position within
// that range.
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
	lowestUse := max(meanServingUse-(1-meanServingUse)*(ratio-1)/(ratio+1), 0)
	level := min(max(b.forecast(now, ahead), low), high)
	return 1 - (1-lowestUse)*math.Exp(low-level)
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

// tailSample is a reported tail and the use of the fillers on the same VM.
type tailSample struct {
	at       Time
	vm       *vm
	logRatio float64
	uses     fillerUses
	// unreliable marks samples of VMs with hardly a free processor.
	unreliable bool
	// effect caches the effect of uses by the slopes with solve count effectSolveCount-1.
	effect           float64
	effectSolveCount int
}

// effectFor is the effect of the sample's fillers by the current slopes.
func (g *tailSample) effectFor(p *slopes) float64 {
	if g.effectSolveCount != p.solveCount+1 {
		g.effect, g.effectSolveCount = p.effects(&g.uses), p.solveCount+1
	}
	return g.effect
}

// tailSamples holds the recent samples of a step's tasks.
type tailSamples []tailSample

func (f *tailSamples) add(g tailSample) { *f = append(*f, g) }

// compare returns the differences between a sample, with its fillers' use, and the mean of the
// siblings' samples on other VMs; ok is false if there are too few.
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

// loadLevel is the median of the samples minus the effects of their fillers. A median is used
// because a few samples in a hundred are off by a factor of two or more, and because interference
// unknown to the model must not count as load.
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
