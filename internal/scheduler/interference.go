package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// The interference model: the logarithm of a serving task's tail is that of its
// load alone (see baseline) and grows with the processors that fillers beside it
// use, by a slope for each pair of images. Most pairs have none, a few a large
// one. The slopes are learned from what sets a task's tail apart from those of its
// siblings; where it has none, from how the tail changes when the fillers do.

const (
	// maxImages bounds the filler images that are told apart; further ones share
	// the last place.
	maxImages = 24
	// priorSlope is what a pair is taken to do before it was seen: the prior
	// keeps an unknown filler off a task that is near its target, no more. The
	// unit is the logarithm of the tail per whole VM of processors.
	priorSlope = 0.6
	// priorWeight is how much evidence the prior counts for: that of about four
	// fillers with a tenth of a VM's processors that came or went.
	priorWeight = 0.04
	// slopeNoise is the error of a learned slope: two standard deviations of what
	// a few hundred figures tell. Less counts as nothing, or ten harmless fillers
	// together would seem to press.
	slopeNoise = 0.25
	// forgetting is what remains of old evidence at each solution, 4 a second at
	// most: half of it is forgotten after a minute and a half.
	forgetting = 0.998
	solveEvery = 250 * time.Millisecond
	// sampleMin and sampleMax bound the time between two reports that are
	// compared: the figures cover half a second, and a task's own load must not
	// have moved much.
	sampleMin = 600 * time.Millisecond
	sampleMax = 1800 * time.Millisecond
	// maxJump bounds what one comparison may tell, as a logarithm.
	maxJump = 1.5
	// maxSurprise bounds how far one comparison may be from what is predicted, as
	// a logarithm: a few figures in a hundred are off by two and more.
	maxSurprise = 0.4
	// leastChange is the use, as a share of the VM, below which a figure tells
	// nothing of fillers.
	leastChange = 0.01
	// leastRatio is taken for a tail that rounds to nothing.
	leastRatio = 0.04
)

// offset is the place of the regression's constant term, before those of the
// images: an error of the load's trend must not be taken for an effect of the
// fillers, of which there are some nearly everywhere. terms counts all places.
const (
	offset = 0
	terms  = 1 + maxImages
)

// images numbers filler images.
type images struct {
	index map[string]int
	// pairs holds the model of each serving image.
	pairs    map[string]*slopes
	solvedAt Time
}

// uses are the processors that fillers of each image use, as shares of the VM.
// The place of the constant term is 1 where figures of siblings are compared, 0
// where it cancels.
type uses [terms]float64

// slopes are the effects of all filler images on one serving image: ridge
// regression by its normal equations.
type slopes struct {
	a     [terms][terms]float64
	b     [terms]float64
	slope [terms]float64
	fresh bool
}

func newImages() images { return images{index: map[string]int{}, pairs: map[string]*slopes{}} }

// places is how many places are taken, that of the constant term included.
func (m *images) places() int { return min(len(m.index)+1, terms) }

// number returns the place of a filler image.
func (m *images) number(image string) int {
	i, ok := m.index[image]
	if !ok {
		i = min(len(m.index)+1, terms-1)
		m.index[image] = i
	}
	return i
}

func (m *images) pair(serving string) *slopes {
	p := m.pairs[serving]
	if p == nil {
		p = &slopes{}
		for i := range p.slope {
			p.slope[i] = prior(i)
		}
		m.pairs[serving] = p
	}
	return p
}

// prior is what a place's coefficient is taken to be before anything was seen.
func prior(place int) float64 {
	if place == offset {
		return 0
	}
	return priorSlope
}

// slope is the effect of a filler image on a serving image; never below 0, since
// no filler helps.
func (m *images) slope(serving string, filler int) float64 {
	return max(0, m.pair(serving).slope[filler])
}

// effect is how much a filler image's use lengthens the tail, as a logarithm.
func (p *slopes) effect(filler int, use float64) float64 {
	return max(0, p.slope[filler]-slopeNoise) * use
}

// effects is the effect of all fillers together.
func (p *slopes) effects(x *uses) float64 {
	sum := 0.0
	for i := offset + 1; i < terms; i++ {
		if x[i] > 0 {
			sum += p.effect(i, x[i])
		}
	}
	return sum
}

// learn takes in that the tail of a task of the serving image is longer by the
// factor exp(dy) with the fillers' use dx, or with that much more of it.
func (m *images) learn(serving string, dx *uses, dy float64) {
	dy = min(max(dy, -maxJump), maxJump)
	p := m.pair(serving)
	expected := 0.0
	for i, x := range dx {
		expected += x * p.slope[i]
	}
	dy = min(max(dy, expected-maxSurprise), expected+maxSurprise)
	for i, x := range dx {
		if x == 0 {
			continue
		}
		p.b[i] += x * dy
		for k, z := range dx {
			p.a[i][k] += x * z
		}
	}
	p.fresh = true
}

// solve brings the slopes up to date.
func (m *images) solve(now Time) {
	if now-m.solvedAt < solveEvery {
		return
	}
	m.solvedAt = now
	n := m.places()
	for _, p := range m.pairs {
		if p.fresh {
			p.solve(n)
			p.fresh = false
		}
	}
}

// describe tells the slopes that matter, for the log.
func (m *images) describe() string {
	names := make([]string, m.places())
	for name, i := range m.index {
		names[i] = name
	}
	var b strings.Builder
	for _, serving := range slices.Sorted(maps.Keys(m.pairs)) {
		fmt.Fprintf(&b, "%s:", serving)
		for i := offset + 1; i < len(names); i++ {
			if slope := m.slope(serving, i); slope >= 1 {
				fmt.Fprintf(&b, " %s=%.1f", names[i], slope)
			}
		}
		b.WriteString("; ")
	}
	return b.String()
}

// solve finds the coefficients of the first n places by Gaussian elimination. The
// prior keeps the matrix positive definite, so no pivoting is needed.
func (p *slopes) solve(n int) {
	var m [terms][terms + 1]float64
	for i := range n {
		for k := range n {
			m[i][k] = p.a[i][k]
			p.a[i][k] *= forgetting
		}
		m[i][i] += priorWeight
		m[i][n] = p.b[i] + priorWeight*prior(i)
		p.b[i] *= forgetting
	}
	for i := range n {
		for r := i + 1; r < n; r++ {
			f := m[r][i] / m[i][i]
			if f == 0 {
				continue
			}
			for k := i; k <= n; k++ {
				m[r][k] -= f * m[i][k]
			}
		}
	}
	for i := n - 1; i >= 0; i-- {
		sum := m[i][n]
		for k := i + 1; k < n; k++ {
			sum -= m[i][k] * p.slope[k]
		}
		p.slope[i] = sum / m[i][i]
	}
}

// endedFiller is a filler that has just ended on a VM: the figures still show it.
type endedFiller struct {
	image int
	use   float64
	at    Time
}

// noteEndedFiller remembers what a filler used.
func (s *Scheduler) noteEndedFiller(now Time, r *run) {
	v, spec := r.vm, r.task.step.spec
	if v.serving == 0 || !r.hasUsage || r.usage <= 0 {
		return
	}
	v.ended = append(v.ended, endedFiller{image: s.images.number(spec.Image), use: r.usage / v.processors(), at: now})
}

// processors are the VM's processors, in thousandths; never 0.
func (v *vm) processors() float64 { return float64(max(v.inst.Capacity.MilliCPU, 1)) }

// figureUses are the fillers' uses that the VM's figures of now show.
func (s *Scheduler) figureUses(now Time, v *vm) uses {
	var x uses
	for _, r := range v.runs {
		spec := r.task.step.spec
		if spec.Filler && r.hasUsage {
			x[s.images.number(spec.Image)] += r.usage / v.processors()
		}
	}
	v.ended = slices.DeleteFunc(v.ended, func(e endedFiller) bool { return now-e.at >= figureSpan })
	for _, e := range v.ended {
		x[e.image] += e.use * (1 - float64(now-e.at)/float64(figureSpan))
	}
	return x
}

// observeTails takes in what a VM's new report tells of loads and effects.
func (s *Scheduler) observeTails(now Time, v *vm) {
	if v.serving == 0 {
		v.sample = sample{}
		v.excess = 0
		return
	}
	x := s.figureUses(now, v)
	full := v.total(now, &x) > nearlyFull
	if !full {
		s.compareSamples(now, v, &x)
	}
	excess, figures := 0.0, 0
	for _, r := range v.runs {
		st := r.task.step
		if !st.spec.Serves() || !r.atWork() {
			continue
		}
		y := math.Log(max(r.ratio(), leastRatio))
		pair := s.images.pair(st.spec.Image)
		effect := pair.effects(&x)
		if st.base.known {
			excess += y - effect - st.base.forecast(now, siblingSpan/2)
			figures++
		}
		if dy, dx, ok := st.figures.compare(now, v, y, &x, st.base.trend); ok && !full {
			s.images.learn(st.spec.Image, &dx, dy)
		}
		st.figures.add(figure{at: now, vm: v, y: y, x: x, doubtful: full})
		st.base.observe(now, st.figures.load(pair))
	}
	if figures > 0 {
		v.excess += excessGain * (excess/float64(figures) - v.excess)
	}
}

// nearlyFull is the share of a VM's processors in use from which its tails tell of
// the lack of processors rather than of who presses.
const nearlyFull = 0.85

// total is the share of the VM's processors in use, as far as it is known.
func (v *vm) total(now Time, x *uses) float64 {
	sum := float64(v.used.MilliCPU-v.servingCPU) + v.servingUse(now, 0)
	for _, use := range x {
		sum += use * v.processors()
	}
	return sum / v.processors()
}

// servingUse is what the serving tasks are taken to use after some time from now,
// in thousandths of a processor.
func (v *vm) servingUse(now Time, ahead time.Duration) float64 {
	sum := 0.0
	for _, r := range v.runs {
		if st := r.task.step; st.spec.Serves() {
			sum += st.base.use(now, ahead+baselineAge) * float64(st.spec.Need.MilliCPU)
		}
	}
	return sum
}

// excessGain is the weight of a new report in a VM's excess: two to three reports
// decide it.
const excessGain = 0.4

// sample is a VM's report as it is compared with the next.
type sample struct {
	at    Time
	use   uses
	tails map[*run]float64
}

// compareSamples learns of tasks without siblings by comparing a VM's new report
// with an earlier one.
func (s *Scheduler) compareSamples(now Time, v *vm, x *uses) {
	if now-v.sample.at < sampleMin {
		return
	}
	next := sample{at: now, use: *x, tails: make(map[*run]float64, v.serving)}
	for _, r := range v.runs {
		st := r.task.step
		if st.spec.Serves() && r.atWork() && st.siblingsElsewhere(v) < leastSiblings {
			next.tails[r] = r.usage
		}
	}
	if now-v.sample.at <= sampleMax {
		s.compare(&v.sample, &next)
	}
	v.sample = next
}

func (s *Scheduler) compare(before, after *sample) {
	var dx uses
	largest := 0.0
	for i := range dx {
		dx[i] = after.use[i] - before.use[i]
		largest = max(largest, math.Abs(dx[i]))
	}
	if largest < leastChange {
		return
	}
	for r, tail := range after.tails {
		if earlier := before.tails[r]; earlier > 0 {
			s.images.learn(r.task.step.spec.Image, &dx, math.Log(tail/earlier))
		}
	}
}

// tail is what is predicted for the tasks of one serving image on a VM, as
// logarithms of shares of their targets, with all fillers at full pace.
type tail struct {
	image string
	pair  *slopes
	// peak is for the peak of the load, soon for the next second.
	peak, soon float64
}

const (
	// tailsValid is how long predicted tails are used.
	tailsValid = 100 * time.Millisecond
	// paceLead is how far ahead a rising load is looked at: an order takes 0.1 s
	// to work, and the next report comes within 0.6 s.
	paceLead = 700 * time.Millisecond
	// excessNoise is the excess that the figures' noise alone gives.
	excessNoise = 0.1
	// maxExcess bounds what an unexplained excess may hold back.
	maxExcess = 0.5
)

// held is the excess of the VM's tails that the model does not explain, as far as
// it is not noise.
func (v *vm) held() float64 { return min(max(v.excess-excessNoise, 0), maxExcess) }

// soon is the level of the step's load that fillers have to leave room for now:
// that of the next second where it rises.
func (b *baseline) soon(now Time) float64 {
	return max(b.forecast(now, baselineAge), b.forecast(now, baselineAge+paceLead))
}

const (
	// roomLimit is the share of a VM's processors that may be in use.
	roomLimit = 0.93
	// roomLead is how far ahead a filler that starts has to have room.
	roomLead = 1500 * time.Millisecond
)

// roomFor is what fillers may use of the VM now and after some time, in
// thousandths of a processor.
func (v *vm) roomFor(now Time, ahead time.Duration) float64 {
	rest := roomLimit*v.processors() - float64(v.used.MilliCPU-v.servingCPU)
	return rest - max(v.servingUse(now, 0), v.servingUse(now, ahead))
}

// tailsOf returns the VM's predicted tails.
func (s *Scheduler) tailsOf(now Time, v *vm) []tail {
	if v.serving == 0 {
		return nil
	}
	if !v.tailsStale && now-v.tailsAt < tailsValid {
		return v.tails
	}
	v.tails = v.tails[:0]
	v.room = v.roomFor(now, roomLead)
	v.fillersUse = 0
	for _, r := range v.runs {
		st := r.task.step
		if st.spec.Serves() {
			v.addTail(s.images.pair(st.spec.Image), st.spec.Image, st.base.peak(now), st.base.soon(now)+v.held())
		}
	}
	for _, r := range v.runs {
		spec := r.task.step.spec
		if !spec.Filler {
			continue
		}
		v.fillersUse += r.fullUse()
		number, use := s.images.number(spec.Image), r.fullUse()/v.processors()
		for i := range v.tails {
			e := v.tails[i].pair.effect(number, use)
			v.tails[i].peak += e
			v.tails[i].soon += e
		}
	}
	v.tailsAt, v.tailsStale = now, false
	return v.tails
}

func (v *vm) addTail(pair *slopes, image string, peak, soon float64) {
	for i := range v.tails {
		if t := &v.tails[i]; t.image == image {
			t.peak, t.soon = max(t.peak, peak), max(t.soon, soon)
			return
		}
	}
	v.tails = append(v.tails, tail{image: image, pair: pair, peak: peak, soon: soon})
}

// atWork reports whether a serving run is past its startup and tells a tail.
func (r *run) atWork() bool {
	return r.state == running && r.hasUsage && r.usage > 0 && r.progress >= 100
}

// ratio is a serving run's tail as a share of its target.
func (r *run) ratio() float64 {
	if !r.hasUsage || r.usage <= 0 {
		return unknownPeak
	}
	return r.usage / (float64(r.task.step.spec.TailTarget) / float64(time.Millisecond))
}

// pressure is what a filler would do to the tails on a VM; the tails are
// logarithms of shares of their targets.
type pressure struct {
	// effect is the largest growth of a tail by the filler alone.
	effect float64
	// worst is the highest tail soon; peak the highest at the peak of the load, and
	// soon the highest soon, of those that the filler has an effect on.
	worst, peak, soon float64
}

// pressure predicts the tails on a VM with one more filler of an image that uses
// so many thousandths of a processor.
func (s *Scheduler) pressure(now Time, v *vm, image string, milliCPU int64) pressure {
	p := pressure{worst: math.Inf(-1), peak: math.Inf(-1), soon: math.Inf(-1)}
	number := s.images.number(image)
	share := float64(milliCPU) / v.processors()
	for i := range s.tailsOf(now, v) {
		t := &v.tails[i]
		e := t.pair.effect(number, share)
		p.effect = max(p.effect, e)
		p.worst = max(p.worst, t.soon+e)
		if e > negligible {
			p.peak = max(p.peak, t.peak+e)
			p.soon = max(p.soon, t.soon+e)
		}
	}
	return p
}
