package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// The interference model: the logarithm of a serving task's tail grows with the
// processors that fillers beside it use, by a slope for each pair of images. The
// slopes are learned from how the tails change when the fillers beside them do;
// most pairs have none, a few a large one. Differences between two reports of one
// VM cancel the task's own load, which drifts over tens of seconds.

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
	// forgetting is what remains of old evidence at each solution, 4 a second at
	// most: half of it is forgotten after half a minute.
	forgetting = 0.995
	solveEvery = 250 * time.Millisecond
	// sampleMin and sampleMax bound the time between two reports that are
	// compared: the figures cover half a second, and a task's own load must not
	// have moved much.
	sampleMin = 600 * time.Millisecond
	sampleMax = 1800 * time.Millisecond
	// maxJump bounds what one comparison may tell, as a logarithm.
	maxJump = 1.5
	// leastChange is the change of use, as a share of the VM, below which a
	// comparison tells nothing.
	leastChange = 0.01
)

// images numbers filler images.
type images struct {
	index map[string]int
	// pairs holds the model of each serving image.
	pairs    map[string]*slopes
	solvedAt Time
}

// slopes are the effects of all filler images on one serving image: ridge
// regression by its normal equations.
type slopes struct {
	a     [maxImages][maxImages]float64
	b     [maxImages]float64
	slope [maxImages]float64
	fresh bool
}

func newImages() images { return images{index: map[string]int{}, pairs: map[string]*slopes{}} }

// number returns the place of a filler image.
func (m *images) number(image string) int {
	i, ok := m.index[image]
	if !ok {
		i = min(len(m.index), maxImages-1)
		m.index[image] = i
	}
	return i
}

func (m *images) pair(serving string) *slopes {
	p := m.pairs[serving]
	if p == nil {
		p = &slopes{}
		for i := range p.slope {
			p.slope[i] = priorSlope
		}
		m.pairs[serving] = p
	}
	return p
}

// slope is the effect of a filler image on a serving image; never below 0, since
// no filler helps.
func (m *images) slope(serving string, filler int) float64 {
	return max(0, m.pair(serving).slope[filler])
}

// learn takes in that the tail of a task of the serving image changed by the
// factor exp(dy) while fillers changed their use by dx, in shares of the VM.
func (m *images) learn(serving string, dx *[maxImages]float64, dy float64) {
	dy = min(max(dy, -maxJump), maxJump)
	p := m.pair(serving)
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
	n := min(len(m.index), maxImages)
	for _, p := range m.pairs {
		if p.fresh {
			p.solve(n)
			p.fresh = false
		}
	}
}

// describe tells the slopes that matter, for the log.
func (m *images) describe() string {
	names := make([]string, min(len(m.index), maxImages))
	for name, i := range m.index {
		names[i] = name
	}
	var b strings.Builder
	for _, serving := range slices.Sorted(maps.Keys(m.pairs)) {
		fmt.Fprintf(&b, "%s:", serving)
		for i, name := range names {
			if slope := m.slope(serving, i); slope >= 1 {
				fmt.Fprintf(&b, " %s=%.1f", name, slope)
			}
		}
		b.WriteString("; ")
	}
	return b.String()
}

// solve finds the slopes of the first n images by Gaussian elimination. The
// prior keeps the matrix positive definite, so no pivoting is needed.
func (p *slopes) solve(n int) {
	var m [maxImages][maxImages + 1]float64
	for i := range n {
		for k := range n {
			m[i][k] = p.a[i][k]
			p.a[i][k] *= forgetting
		}
		m[i][i] += priorWeight
		m[i][n] = p.b[i] + priorWeight*priorSlope
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

// sample is a VM's report as the model needs it.
type sample struct {
	at    Time
	use   [maxImages]float64
	tails map[*run]float64
}

// observeTails compares a VM's new report with an earlier one.
func (s *Scheduler) observeTails(now Time, v *vm) {
	if v.serving == 0 {
		v.sample = sample{}
		return
	}
	if now-v.sample.at < sampleMin {
		return
	}
	next := sample{at: now, tails: make(map[*run]float64, v.serving)}
	capacity := float64(max(v.inst.Capacity.MilliCPU, 1))
	for _, r := range v.runs {
		spec := r.task.step.spec
		switch {
		case !r.hasUsage || r.state != running:
		case spec.Serves() && r.usage > 0:
			next.tails[r] = r.usage
		case spec.Filler:
			next.use[s.images.number(spec.Image)] += r.usage / capacity
		}
	}
	if now-v.sample.at <= sampleMax {
		s.compare(&v.sample, &next)
	}
	v.sample = next
}

func (s *Scheduler) compare(before, after *sample) {
	var dx [maxImages]float64
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

// tail is the worst tail of one serving image on a VM, as a share of the target,
// with the effect of fillers that the figures do not show yet.
type tail struct {
	image string
	ratio float64
}

const (
	// unknownRatio is taken for a serving task that has told no figure yet.
	unknownRatio = 0.4
	// figureLag is how long a filler's effect takes to show in the figures, with
	// the time of a report.
	figureLag = 900 * time.Millisecond
)

// tails returns the VM's tails; they are worked out anew after each change.
func (s *Scheduler) tailsOf(now Time, v *vm) []tail {
	if v.serving == 0 {
		return nil
	}
	if v.tailsAt == now && !v.tailsStale {
		return v.tails
	}
	v.tails = v.tails[:0]
	for _, r := range v.runs {
		spec := r.task.step.spec
		if !spec.Serves() {
			continue
		}
		ratio := r.ratio() * math.Exp(s.unseen(now, v, spec.Image))
		v.addTail(spec.Image, ratio)
	}
	v.tailsAt, v.tailsStale = now, false
	return v.tails
}

func (v *vm) addTail(image string, ratio float64) {
	for i := range v.tails {
		if v.tails[i].image == image {
			v.tails[i].ratio = max(v.tails[i].ratio, ratio)
			return
		}
	}
	v.tails = append(v.tails, tail{image: image, ratio: ratio})
}

// ratio is a serving run's tail as a share of its target.
func (r *run) ratio() float64 {
	if !r.hasUsage || r.usage <= 0 {
		return unknownRatio
	}
	return r.usage / (float64(r.task.step.spec.TailTarget) / float64(time.Millisecond))
}

// unseen is the effect on a serving image of the fillers that started so
// recently that the tails do not show them.
func (s *Scheduler) unseen(now Time, v *vm, serving string) float64 {
	sum := 0.0
	capacity := float64(max(v.inst.Capacity.MilliCPU, 1))
	for _, r := range v.runs {
		spec := r.task.step.spec
		if spec.Filler && now-r.orderedAt < figureLag {
			sum += s.images.slope(serving, s.images.number(spec.Image)) * float64(spec.Need.MilliCPU) / capacity
		}
	}
	return sum
}

// growth is exp(e). Most effects are next to nothing, and this is the innermost
// loop of placing: 350 VMs, five tails each, for every start.
func growth(e float64) float64 {
	if e < 0.02 {
		return 1 + e
	}
	return math.Exp(e)
}

// pressure predicts the worst tail on a VM, as a share of its target, with one
// more filler of an image that uses so many thousandths of a processor. effect
// is the largest growth of a tail by it alone, as a logarithm.
func (s *Scheduler) pressure(now Time, v *vm, image string, milliCPU int64) (worst, effect float64) {
	tails := s.tailsOf(now, v)
	if len(tails) == 0 {
		return 0, 0
	}
	number := s.images.number(image)
	share := float64(milliCPU) / float64(max(v.inst.Capacity.MilliCPU, 1))
	for i := range tails {
		e := s.images.slope(tails[i].image, number) * share
		effect = max(effect, e)
		worst = max(worst, tails[i].ratio*growth(e))
	}
	return worst, effect
}
