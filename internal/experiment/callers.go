package experiment

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanwall/rattanwall/internal/scheduler/admission"
	"github.com/rattanwall/rattanwall/internal/settings"
)

// Callers describes who submits the jobs.
type Callers struct {
	// ZoneShares are the relative shares of the jobs by availability zone of their callers, who
	// are in one unknown zone if there are none.
	ZoneShares []float64 `json:"zone_shares"`
	// Tries is how often a caller submits a job that is refused; 0 is once.
	Tries int `json:"tries"`
}

// forecastAge is the age of the forecasts by which entry processes decide.
const forecastAge = 300 * time.Millisecond

// maxTries and maxCallerZones bound the callers of a scenario.
const (
	maxTries       = 20
	maxCallerZones = 20
)

func (c *Callers) check(d *settings.Document) {
	if c.Tries < 0 || c.Tries > maxTries {
		d.Fault("callers.tries", fmt.Sprintf("give 0 to %d", maxTries))
	}
	if len(c.ZoneShares) > maxCallerZones {
		d.Fault("callers.zone_shares", fmt.Sprintf("give at most %d", maxCallerZones))
	}
	for i, share := range c.ZoneShares {
		if share <= 0 || share > 1000 {
			d.Fault(fmt.Sprintf("callers.zone_shares[%d]", i), "give more than 0, up to 1000")
		}
	}
}

// hashShare returns a number from 0 to 1 that depends on a job only, so that worlds of the same seed
// are alike whatever the callers.
func hashShare(id, purpose string) float64 {
	return float64(xxhash.Sum64String(purpose+id)) / math.MaxUint64
}

// zoneOf returns the zone of a job's caller, "" if unknown.
func (c *Callers) zoneOf(id string) string {
	total := 0.0
	for _, share := range c.ZoneShares {
		total += share
	}
	at := hashShare(id, "zone ") * total
	for i, share := range c.ZoneShares {
		if at -= share; at < 0 || i == len(c.ZoneShares)-1 {
			return fmt.Sprintf("c%d", i)
		}
	}
	return ""
}

// returningJob is a job that was refused and is submitted again.
type returningJob struct {
	job *job
	at  time.Duration
}

// keepForecast keeps the leader's forecasts until they have the age by which entry processes decide.
func (p *player) keepForecast() {
	f := p.sched.Forecast(p.now)
	if f == nil {
		return
	}
	p.forecasts = append(p.forecasts, timedForecast{f, p.now})
	for len(p.forecasts) > 1 && p.now-p.forecasts[1].at >= forecastAge {
		p.forecasts = p.forecasts[1:]
	}
}

type timedForecast struct {
	forecast *admission.Forecast
	at       time.Duration
}

// refuses decides about a submission as an entry process does, and lets a refused caller return.
func (p *player) refuses(j *job) bool {
	known := admission.Known{CurrentFence: p.fence}
	if len(p.forecasts) > 0 {
		f := p.forecasts[0]
		known.Queue, known.Age, known.Fence = f.forecast.Queue(kindNames[j.kind]), p.now-f.at, f.forecast.Fence
	}
	queue := p.config().Queue(kindNames[j.kind])
	d := admission.Decide(p.variant.Policy.Admission, admission.Job{
		Work: j.spec.Work(), CriticalPath: j.spec.CriticalPath(), Stretch: queue.Stretch, Slack: queue.Slack, Unpredicted: j.spec.Lasts(),
		Zone: p.scenario.Callers.zoneOf(j.spec.ID), Spread: hashShare(j.spec.ID, "spread "),
	}, known)
	if !d.Refuse {
		return false
	}
	p.result.Refusals++
	j.tries++
	if j.tries < p.scenario.Callers.Tries {
		p.returning = append(p.returning, returningJob{j, p.now + d.RetryAfter})
	}
	return true
}

// submitReturning submits the refused jobs whose callers return now.
func (p *player) submitReturning() {
	if p.noLeader || len(p.returning) == 0 {
		return
	}
	due := p.returning
	p.returning = nil
	for _, r := range due {
		switch {
		case r.at > p.now:
			p.returning = append(p.returning, r)
		case !p.refuses(r.job):
			p.accept(r.job)
		}
	}
}

// rateZones sets what the callers of each zone have of the batch work that they asked for.
func (p *player) rateZones(o *Outcome) {
	if len(p.scenario.Callers.ZoneShares) == 0 {
		return
	}
	earned, requested := map[string]float64{}, map[string]float64{}
	for _, j := range p.submittedJobs {
		if j.kind == servingKind || j.isCrashing {
			continue
		}
		zone := p.scenario.Callers.zoneOf(j.spec.ID)
		earned[zone] += j.earnedValue()
		requested[zone] += j.value
		if j.accepted && j.endedAt == 0 {
			o.LongestUnservedS = max(o.LongestUnservedS, (p.now - j.arrivesAt).Seconds())
		}
	}
	var zones []float64
	for zone := range requested {
		zones = append(zones, ratio(earned[zone], requested[zone]))
	}
	o.WorstZone, o.BestZone = slices.Min(zones), slices.Max(zones)
}
