package scheduler

import (
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler/runtimes"
)

// VMs differ in speed and tasks in length. What is learned of both lives with this leader only: a
// new leader learns it anew from the runs that end, and until then acts by the rates alone.

const (
	// examinedRate is the rate, as a share of the siblings', below which a run is examined.
	examinedRate = 0.6
	// relocationDelay is the expected time from a decision to stop a run until its successor
	// begins: three messages and a plan.
	relocationDelay = 200 * time.Millisecond
	// usageInterval is the interval at which the processors in use are summed up.
	usageInterval = 500 * time.Millisecond
	// maxEvidenceLead is how much earlier than a slow run another one may have begun for its rate
	// to show that the VM is sound: its rate is a mean since its start.
	maxEvidenceLead = 2 * time.Second
	// fullUse is the share of a filler's declared processors from which its rate is not explained
	// by a lack of them.
	fullUse = 0.9
	// maxSlowPenalty bounds the cost of a slow VM in its score, in multiples of a task's duration.
	maxSlowPenalty = 4.0
	// knownSlowDown is the speed above which differences between VMs are within the noise.
	knownSlowDown = 0.6
)

// unevenness is what is learned of all VMs and queues together.
type unevenness struct {
	// spreads holds the spread of each queue's durations.
	spreads map[string]*runtimes.Spread
	// load is the share of all processors in use at loadAt; 1 while tasks wait.
	load   float64
	loadAt Time
	// slowVMs and knownVMs count the reachable VMs that are slow and whose speed is known; spread
	// is the ratio of the ninth to the first decile of the known speeds. Updated with load.
	slowVMs, knownVMs int
	spread            float64
	loggedAt          Time
}

// learnsSpeeds reports whether the policy uses learned speeds.
func (s *Scheduler) learnsSpeeds() bool {
	return s.policy.SpeedWeight > 0 || s.policy.Stragglers != runtimes.WayRate
}

// learnSpeed adds a completed run to the speed of its VM and the spread of its queue. It must be
// called before the run counts among the completed runs of its step.
func (s *Scheduler) learnSpeed(now Time, r *run) {
	st := r.task.step
	if !s.learnsSpeeds() || st.spec.Lasting || st.spec.Gang || !r.ranAtOwnSpeed() || r.speedLearned || st.doneRuns < minPeers {
		return
	}
	took := now - r.confirmedAt
	if took <= 0 {
		return
	}
	ratio := 100 / took.Seconds() / (st.doneRateSum / float64(st.doneRuns))
	if st.spec.Filler && ratio < knownSlowDown && !r.hadItsProcessors() {
		return
	}
	r.vm.speed.Observe(now, ratio)
	if !r.vm.speed.At(now).IsSlow() {
		s.unevenness.spreadOf(st.occ.job.queue).Observe(1 / ratio)
	}
}

func (u *unevenness) spreadOf(queue string) *runtimes.Spread {
	if u.spreads[queue] == nil {
		u.spreads[queue] = &runtimes.Spread{}
	}
	return u.spreads[queue]
}

// ranAtOwnSpeed reports whether a run's duration depends on its task and its VM only: this leader
// started it, and it neither resumed from a checkpoint nor was ever slowed.
func (r *run) ranAtOwnSpeed() bool {
	return r.confirmedAt > 0 && !r.resumed && r.paceOrderedAt == 0 && r.orderedPace == fullPace
}

// hadItsProcessors reports whether the run's last known usage is what it declares.
func (r *run) hadItsProcessors() bool {
	return r.hasUsage && r.usage >= fullUse*float64(r.task.step.spec.Need.MilliCPU)
}

// recordSlowRun records that a run was copied or stopped for its low rate. Stopped runs count in
// the speed of their VM like completed ones: on a slow VM few runs are completed.
func (s *Scheduler) recordSlowRun(now Time, r *run) {
	r.task.slowOn = r.vm.inst.ID
	if mean, n := r.task.step.siblingRate(now, r); s.learnsSpeeds() && n >= minPeers {
		r.vm.speed.Observe(now, r.progressRate(now)/mean)
		r.speedLearned = true
	}
}

// evidence returns what is known about the cause of a run's low rate.
func (s *Scheduler) evidence(now Time, r *run, rateShare float64) runtimes.Evidence {
	speed := r.vm.speed.At(now)
	e := runtimes.Evidence{
		SlowElsewhere: r.task.slowOn != "" && r.task.slowOn != r.vm.inst.ID,
		SlowOthers:    speed.Slow, SoundOthers: r.vm.speed.SoundSince(r.firstProgressAt), Age: speed.Age,
		LongShare:   s.unevenness.spreads[r.task.step.occ.job.queue].TailShare(1 / rateShare),
		SlowVMShare: runtimes.SlowShare(s.unevenness.slowVMs, s.unevenness.knownVMs),
	}
	for _, o := range r.vm.runList {
		if o == r || o.firstProgressAt < r.firstProgressAt-maxEvidenceLead || o.task.step.spec.Lasting {
			continue
		}
		mean, n := o.task.step.siblingRate(now, o)
		rate := o.progressRate(now)
		if rate <= 0 || n < minPeers || o.resumed || o.paceOrderedAt > 0 {
			continue
		}
		switch {
		case rate >= knownSlowDown*mean:
			e.SoundOthers++
		case rate <= runtimes.SlowSpeed*mean && (!o.task.step.spec.Filler || o.hadItsProcessors()):
			e.SlowOthers++
		}
	}
	return e
}

// reviewSlowRun chooses a remedy for a run that is slower than its siblings, and applies it.
func (s *Scheduler) reviewSlowRun(now Time, r *run) {
	rate := r.progressRate(now)
	mean, n := r.task.step.siblingRate(now, r)
	if rate <= 0 || n < minPeers || rate > examinedRate*mean || r.resumed || r.paceOrderedAt > 0 || len(r.task.runs) > 1 {
		return
	}
	if r.task.step.spec.Filler && !r.vm.speed.At(now).IsSlow() {
		// Its rate depends on the processors that other tasks leave.
		return
	}
	s.updateUsage(now)
	e := s.evidence(now, r, rate/mean)
	f := r.facts(now, rate, mean)
	f.SlowVM, f.Load = runtimes.ProbabilityOfSlowVM(e), s.unevenness.load
	choice := runtimes.Choose(s.policy.Stragglers, f)
	if choice.Remedy != r.loggedRemedy {
		r.loggedRemedy = choice.Remedy
		s.logSlowRun(r, choice, &f, &e)
	}
	s.applyRemedy(now, r, choice.Remedy)
}

// logSlowRun logs the remedy for a slow run and what it was weighed by.
func (s *Scheduler) logSlowRun(r *run, choice runtimes.Choice, f *runtimes.Facts, e *runtimes.Evidence) {
	s.logf(Decision{
		Event: EventRunSlow, Task: r.task.id(), VM: r.vm.inst.ID, Run: r.number, Age: e.Age, Value: f.SlowVM,
		Reason: fmt.Sprintf("%s: saved=%s cost=%s remaining=%s siblings=%s next=%s slow_others=%d sound_others=%d long_share=%.2f load=%.2f",
			choice.Remedy, rounded(choice.Saved), rounded(choice.Cost), rounded(f.Remaining), rounded(f.Siblings), rounded(f.Next), e.SlowOthers, e.SoundOthers, e.LongShare, f.Load),
	})
}

// applyRemedy copies a slow run or stops it, unless no other VM has room.
func (s *Scheduler) applyRemedy(now Time, r *run, remedy runtimes.Remedy) {
	switch remedy {
	case runtimes.Copy:
		if s.startCopy(now, r.task, ReasonSlow) {
			s.recordSlowRun(now, r)
		}
	case runtimes.Restart:
		if s.chooseVM(now, r.task) != nil {
			s.recordSlowRun(now, r)
			r.vm.health.recordRelocation(now)
			s.stop(now, r, ReasonSlow)
		}
	case runtimes.Leave:
	}
}

// rounded returns a duration as it is logged.
func rounded(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }

// facts returns the expected times of a run with the given rate of progress, whose siblings have
// the mean rate, both in percent per second.
func (r *run) facts(now Time, rate, mean float64) runtimes.Facts {
	st := r.task.step
	left := float64(100 - r.checkpointProgress)
	f := runtimes.Facts{
		Remaining: atRate(float64(100-r.progress), rate), Siblings: atRate(left, mean), Whole: atRate(left, rate),
		Lost:         now - r.confirmedAt,
		RestartDelay: relocationDelay,
		MayCopy:      st.spec.Speculative,
	}
	if r.progress > 0 {
		f.Lost = time.Duration(float64(f.Lost) * float64(r.progress-r.checkpointProgress) / float64(r.progress))
	}
	for k := range st.tasks {
		if t := &st.tasks[k]; t != r.task && !t.done && !t.runsOnlyOn(r.vm) {
			f.Next = max(f.Next, t.expectedRemaining(now, mean))
		}
	}
	return f
}

// runsOnlyOn reports whether the VM has the task's only run. If the VM is slow, that run is copied
// or restarted as well.
func (t *task) runsOnlyOn(v *vm) bool { return len(t.runs) == 1 && t.runs[0].vm == v }

// expectedRemaining returns the expected time until the task is done, given its siblings' mean rate.
func (t *task) expectedRemaining(now Time, mean float64) time.Duration {
	if len(t.runs) == 0 {
		return atRate(100, mean)
	}
	shortest := time.Duration(-1)
	for _, r := range t.runs {
		rate := r.progressRate(now)
		if rate <= 0 {
			rate = mean
		}
		if d := atRate(float64(100-r.progress), rate); shortest < 0 || d < shortest {
			shortest = d
		}
	}
	return shortest
}

// atRate returns how long a share of the work, in percent, takes at a rate in percent per second.
func atRate(percent, rate float64) time.Duration {
	return time.Duration(percent / rate * float64(time.Second))
}

// updateUsage sums up the processors in use and the learned speeds once per usageInterval.
func (s *Scheduler) updateUsage(now Time) {
	u := &s.unevenness
	if u.loadAt > 0 && now-u.loadAt < usageInterval {
		return
	}
	u.loadAt = now
	used, capacity := 0.0, 0.0
	var speeds []float64
	u.slowVMs = 0
	for _, v := range s.vmList {
		if !v.hasReported || !v.listed || v.isUnresponsive(now) {
			continue
		}
		_, fillers := v.measuredFillerUse()
		own := v.capacityMilliCPU()
		used += min(fillers+float64(v.used.MilliCPU-v.servingCPU)+v.servingUse(now, 0), own)
		capacity += own
		if e := v.speed.At(now); e.Known() {
			speeds = append(speeds, e.Ratio)
			if e.IsSlow() {
				u.slowVMs++
			}
		}
	}
	u.load = used / max(capacity, 1)
	if s.waitingTasks() > 0 {
		u.load = 1
	}
	u.knownVMs = len(speeds)
	u.spread = 0
	if len(speeds) > 0 {
		slices.Sort(speeds)
		u.spread = stat.Quantile(0.9, stat.Empirical, speeds, nil) / max(stat.Quantile(0.1, stat.Empirical, speeds, nil), 0.01)
	}
}

// logSpeeds logs what is known of the VMs' speeds every interferenceLogInterval.
func (s *Scheduler) logSpeeds(now Time) {
	u := &s.unevenness
	if !s.learnsSpeeds() || now-u.loggedAt <= interferenceLogInterval {
		return
	}
	u.loggedAt = now
	s.updateUsage(now)
	s.logf(Decision{Event: EventVMSpeeds, Value: float64(u.slowVMs), Reason: fmt.Sprintf("known=%d spread=%.2f load=%.2f", u.knownVMs, u.spread, u.load)})
}

// slowVMPenalty is the amount by which a VM's learned speed lowers its score for a task of the
// step: the time that the task loses there, in multiples of its duration.
func (s *Scheduler) slowVMPenalty(now Time, v *vm, spec *batch.Step) float64 {
	if s.policy.SpeedWeight <= 0 || spec.Lasting {
		return 0
	}
	ratio := v.speed.At(now).Ratio
	if ratio >= knownSlowDown {
		return 0
	}
	return s.policy.SpeedWeight * min(1/ratio-1, maxSlowPenalty)
}

// recordCopyEnd logs which run of a copied task was first; the others have been released or are
// about to be stopped.
func (s *Scheduler) recordCopyEnd(now Time, t *task, number int64) {
	if t.copyRun == 0 || len(t.runs) == 0 {
		return
	}
	outcome := CopyLost
	if number == t.copyRun {
		outcome = CopyWon
	}
	wasted := 0.0
	for _, r := range t.runs {
		if r.confirmedAt > 0 {
			wasted += (now - r.confirmedAt).Seconds() * float64(t.step.spec.Need.MilliCPU) / 1000
		}
	}
	s.logf(Decision{Event: EventCopyEnded, Task: t.id(), Run: number, Reason: t.copyReason, Outcome: outcome, Age: now - t.copiedAt, Value: wasted})
}

// Outcomes of a copied task.
const (
	// CopyWon: the copy was done first.
	CopyWon = "copy_won"
	// CopyLost: the original run was.
	CopyLost = "original_won"
)
