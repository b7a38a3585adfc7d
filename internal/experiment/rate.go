package experiment

import (
	"cmp"
	"slices"
	"time"
)

// rateServing takes the state of lasting work into its account.
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
	// In the order of the jobs: sums must not follow the order of a map.
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
	earned, owed := 0.0, 0.0
	for k := range kindCount {
		o.Kinds[kindNames[k]] = ratio(p.earned[k], p.requested[k])
		earned, owed = earned+p.earned[k], owed+p.requested[k]
	}
	o.Service = ratio(earned, owed)
	slices.SortStableFunc(fillers, func(a, b *job) int { return cmp.Compare(a.totalWork, b.totalWork) })
	o.Largest, o.Smallest = earnedShare(fillers[len(fillers)*9/10:]), earnedShare(fillers[:len(fillers)/2])
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

// firstTaskWait is how long a job waited for its first task, so far.
func (p *player) firstTaskWait(j *job) time.Duration {
	if w := p.firstTaskWaits[j]; w > 0 {
		return w
	}
	return p.now - j.arrivesAt
}

// earnedValue is what a job that ends came to.
func (j *job) earnedValue() float64 {
	took := j.endedAt - j.arrivesAt
	switch {
	case j.endedAt == 0 || j.failed:
		return 0
	case took <= j.objective:
		return j.value
	case took <= time.Duration(lateFactor*float64(j.objective)):
		return lateValueShare * j.value
	}
	return 0
}

func earnedShare(jobs []*job) float64 {
	earned, owed := 0.0, 0.0
	for _, j := range jobs {
		earned, owed = earned+j.earnedValue(), owed+j.value
	}
	return ratio(earned, owed)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
