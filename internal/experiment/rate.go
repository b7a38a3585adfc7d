package experiment

import (
	"cmp"
	"slices"
	"time"
)

// rateServing adds one time step of all serving jobs to their accounts.
func (p *player) rateServing() {
	for _, j := range p.submittedJobs {
		if j.kind == servingKind && !j.cancelled {
			p.account(j).totalTime += timeStep * time.Duration(j.spec.Steps[0].Tasks)
		}
	}
	for _, v := range p.fleet.vms {
		for _, r := range v.orderedRuns {
			if r.job.kind == servingKind && !r.job.cancelled && p.fleet.ready(p.now, r) {
				p.rateRun(r)
			}
		}
	}
	if (p.now-seconds(p.scenario.LeadS))%ratingInterval < timeStep {
		p.closeAccounts()
	}
}

func (p *player) account(j *job) *servingAccount {
	a := p.accounts[j]
	if a == nil {
		a = &servingAccount{}
		p.accounts[j] = a
	}
	return a
}

func (p *player) rateRun(r *run) {
	a := p.account(r.job)
	a.readyTime += timeStep
	switch {
	case r.harmed:
		a.lostTime += time.Duration(harmFactor * float64(timeStep))
		p.result.HarmS += timeStep.Seconds()
		p.harmDurations[r.order.Task] += timeStep
		p.result.LongestHarmS = max(p.result.LongestHarmS, p.harmDurations[r.order.Task].Seconds())
	case r.overTarget:
		a.lostTime += timeStep
	default:
		delete(p.harmDurations, r.order.Task)
	}
}

func (p *player) closeAccounts() {
	// Floating-point sums in map order would differ between plays of the same seed.
	for _, j := range p.submittedJobs {
		a := p.accounts[j]
		if a == nil {
			continue
		}
		p.earned[servingKind] += j.value * max(a.readyTime-a.lostTime, 0).Seconds() / a.totalTime.Seconds()
		p.requested[servingKind] += j.value
	}
	clear(p.accounts)
}

func (p *player) outcome(seed uint64) Outcome {
	o := p.result
	o.Seed = seed
	var fillers []*job
	for _, j := range p.submittedJobs {
		if j.kind == servingKind || j.isCrashing {
			continue
		}
		p.earned[j.kind] += j.earnedValue()
		p.requested[j.kind] += j.value
		if j.kind == fillerKind {
			fillers = append(fillers, j)
		} else {
			o.LongestWaitS = max(o.LongestWaitS, p.firstTaskWait(j).Seconds())
		}
	}
	o.Kinds = map[string]float64{}
	earned, requestedValue := 0.0, 0.0
	for k := range kindCount {
		o.Kinds[kindNames[k]] = ratio(p.earned[k], p.requested[k])
		earned, requestedValue = earned+p.earned[k], requestedValue+p.requested[k]
	}
	o.Service = ratio(earned, requestedValue)
	slices.SortStableFunc(fillers, func(a, b *job) int { return cmp.Compare(a.totalWork, b.totalWork) })
	o.Largest, o.Smallest = earnedShare(fillers[len(fillers)*9/10:]), earnedShare(fillers[:len(fillers)/2])
	p.rateZones(&o)
	capacity := 0.0
	for _, v := range p.fleet.vms {
		capacity += float64(v.inst.Capacity.MilliCPU) / 1000
	}
	o.Used = p.fleet.usedCoreSeconds / (capacity * (p.scenario.LeadS + p.scenario.LoadS + p.scenario.AfterS))
	o.WastedS = p.fleet.wastedCoreSeconds
	o.NsPerDecision = ratio(float64(p.schedulerTime.Nanoseconds()), float64(o.Starts))
	o.AllocsPerDecision = ratio(float64(p.allocs), float64(o.Starts))
	return o
}

// firstTaskWait returns how long a job waited, or has waited so far, for its first task to start.
func (p *player) firstTaskWait(j *job) time.Duration {
	if w := p.firstTaskWaits[j]; w > 0 {
		return w
	}
	return p.now - j.arrivesAt
}

// earnedValue returns the value that a batch job earned by its end time.
func (j *job) earnedValue() float64 {
	elapsed := j.endedAt - j.arrivesAt
	switch {
	case j.endedAt == 0 || j.failed:
		return 0
	case elapsed <= j.objective:
		return j.value
	case elapsed <= time.Duration(lateFactor*float64(j.objective)):
		return lateValueShare * j.value
	}
	return 0
}

func earnedShare(jobs []*job) float64 {
	earned, requestedValue := 0.0, 0.0
	for _, j := range jobs {
		earned, requestedValue = earned+j.earnedValue(), requestedValue+j.value
	}
	return ratio(earned, requestedValue)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
